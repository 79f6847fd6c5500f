#include "owner_priv.h"

/*
 * Load that it answers: 50 to 200 jobs a second come in at many nodes, and the
 * store takes one append at a time on a topic, each for up to 0.2 s when it is
 * slow. The owner stores them together, and need not read them back.
 */
#define LINGER_MS 12 /* a record waits so long for company */

/* A record that is being stored. */
struct submission {
	struct lead *lead;
	struct vh_buf key;
	struct vh_buf value;
	uint64_t link;
	uint64_t sequence;
	void (*done)(void *ctx, enum write_outcome outcome);
	void *ctx;
};

static void on_stored(void *ctx, enum write_outcome outcome)
{
	struct submission *s = ctx;
	struct lead *l = s->lead;

	/* While it reads back, jobs must not come before their states. */
	if (outcome == WRITE_STORED && l->phase == OWNER_ACTIVE)
		owner_apply_record(l, vh_buf_slice(&s->key),
				   vh_buf_slice(&s->value));
	if (s->done)
		s->done(s->ctx, outcome);
	else
		peer_server_reply_submit(l->hub, s->link, s->sequence, outcome);
	vh_buf_finish(&s->key);
	vh_buf_finish(&s->value);
	g_free(s);
}

static void store(struct lead *l, struct submission *s, struct vh_slice key,
		  struct vh_slice value, int64_t patience_ms)
{
	s->lead = l;
	vh_buf_add_slice(&s->key, key);
	vh_buf_add_slice(&s->value, value);
	writer_add(&l->writer, key, value, owner_now_ms(l) + patience_ms, false,
		   on_stored, s);
}

void owner_submit(struct lead *l, struct vh_slice key, struct vh_slice value,
		  int64_t patience_ms,
		  void (*done)(void *ctx, enum write_outcome outcome),
		  void *ctx)
{
	struct submission *s = g_new0(struct submission, 1);

	s->done = done;
	s->ctx = ctx;
	store(l, s, key, value, patience_ms);
}

void owner_on_submit(void *ctx, struct peer_conn *link,
		     const struct vh_frame *f)
{
	struct lead *l = ctx;
	struct submission *s;

	if (!owner_accepts_submits(l)) {
		peer_server_reply_submit(l->hub, link->number, wire_u64(f, 0),
					 WRITE_NOT_SENT);
		return;
	}
	s = g_new0(struct submission, 1);
	s->link = link->number;
	s->sequence = wire_u64(f, 0);
	store(l, s, wire_bytes(f, 1), wire_bytes(f, 2),
	      (int64_t)wire_u64(f, 3));
}

bool owner_accepts_submits(const struct lead *l)
{
	return l->phase == OWNER_LOADING || l->phase == OWNER_ACTIVE;
}

void owner_submit_init(struct lead *l)
{
	writer_init(&l->writer, l->kernel, l->ports, VH_TOPIC_JOBS);
	l->writer.linger_ms = LINGER_MS;
}
