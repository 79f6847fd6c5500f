#include "owner_priv.h"

/*
 * Many nodes receive 50 to 200 jobs a second in total, while the store handles
 * one append at a time per topic and takes up to 0.2 s for each when it is
 * slow. The owner therefore stores all jobs in shared appends, and does not
 * have to read them back.
 */
#define LINGER_MS 12 /* time to collect records for one append */

/* A record that is being stored. Without @done, the reply goes to the node at
 * @conn_id, under the @sequence of its request. */
struct submission {
	struct owner *owner;
	struct vh_buf key;
	struct vh_buf value;
	uint64_t conn_id;
	uint64_t sequence;
	int64_t deadline_ms;
	void (*done)(void *ctx, bool known, uint64_t outcome);
	void *ctx;
};

static void submission_end(struct submission *s, uint64_t outcome)
{
	if (s->done)
		s->done(s->ctx, true, outcome);
	else
		peer_server_reply_submit(s->owner->peer_server, s->conn_id,
					 s->sequence, outcome);
	vh_buf_finish(&s->key);
	vh_buf_finish(&s->value);
	g_free(s);
}

static void on_stored(void *ctx, enum write_outcome outcome)
{
	struct submission *s = ctx;
	struct owner *o = s->owner;

	/* During recovery a job must not be applied before its state. */
	if (outcome == WRITE_STORED && o->phase == OWNER_ACTIVE)
		owner_apply_record(o, vh_buf_slice(&s->key),
				   vh_buf_slice(&s->value), "written");
	owner_admission_written(o, vh_buf_slice(&s->key), outcome);
	submission_end(s, outcome);
}

static void on_decided(void *ctx, int retry_after_s)
{
	struct submission *s = ctx;

	if (retry_after_s)
		submission_end(s,
			       WIRE_SUBMIT_REFUSED + (uint64_t)retry_after_s);
	else
		writer_add(&s->owner->writer, vh_buf_slice(&s->key),
			   vh_buf_slice(&s->value), s->deadline_ms, false,
			   on_stored, s);
}

static void store_record(struct owner *o, struct submission *s,
			 struct vh_slice key, struct vh_slice value,
			 int64_t timeout_ms, bool may_refuse)
{
	s->owner = o;
	s->deadline_ms = owner_now_ms(o) + timeout_ms;
	vh_buf_add_slice(&s->key, key);
	vh_buf_add_slice(&s->value, value);
	owner_admission_ask(o, key, value, timeout_ms, may_refuse, on_decided,
			    s);
}

void owner_submit(struct owner *o, struct vh_slice key, struct vh_slice value,
		  int64_t timeout_ms, bool may_refuse,
		  void (*done)(void *ctx, bool known, uint64_t outcome),
		  void *ctx)
{
	struct submission *s = g_new0(struct submission, 1);

	s->done = done;
	s->ctx = ctx;
	store_record(o, s, key, value, timeout_ms, may_refuse);
}

void owner_on_submit(void *ctx, struct peer_conn *conn,
		     const struct vh_frame *f)
{
	struct owner *o = ctx;
	struct submission *s;

	if (!owner_accepts_submits(o)) {
		peer_server_reply_submit(o->peer_server, conn->id,
					 wire_u64(f, 0), WRITE_NOT_SENT);
		return;
	}
	s = g_new0(struct submission, 1);
	s->conn_id = conn->id;
	s->sequence = wire_u64(f, 0);
	store_record(o, s, wire_bytes(f, 1), wire_bytes(f, 2),
		     (int64_t)wire_u64(f, 3), wire_u64(f, 4));
}

bool owner_accepts_submits(const struct owner *o)
{
	return o->phase == OWNER_LOADING || o->phase == OWNER_ACTIVE;
}

void owner_submit_init(struct owner *o, const struct vh_store_limits *limits)
{
	writer_init(&o->writer, o->kernel, o->ports, VH_TOPIC_JOBS, limits);
	o->writer.linger_ms = LINGER_MS;
}
