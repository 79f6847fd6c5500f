#include "writer.h"

#define APPEND_TIMEOUT_MS 900 /* for one try */
#define RETRY_MS 60	      /* after a try without success */
#define BATCH_RECORDS 200
#define BATCH_BYTES (1024 * 1024)

struct entry {
	struct vh_buf key;
	struct vh_buf value;
	int64_t deadline_ms;
	bool doubtful; /* a try had no answer */
	void (*done)(void *ctx, enum write_outcome outcome);
	void *ctx;
};

static void entry_end(struct entry *en, enum write_outcome outcome)
{
	en->done(en->ctx, outcome);
	vh_buf_finish(&en->key);
	vh_buf_finish(&en->value);
	g_free(en);
}

static void pump(struct writer *w);

static void on_retry(void *ctx)
{
	pump(ctx);
}

void writer_init(struct writer *w, struct vh_kernel *kernel,
		 const struct vh_ports *ports, enum vh_topic topic)
{
	memset(w, 0, sizeof(*w));
	w->kernel = kernel;
	w->ports = ports;
	w->topic = topic;
	g_queue_init(&w->waiting);
	g_queue_init(&w->sent);
	vh_timer_init(&w->retry, kernel, on_retry, w);
}

void writer_finish(struct writer *w)
{
	struct entry *en;

	vh_timer_finish(&w->retry);
	while ((en = g_queue_pop_head(&w->sent)))
		entry_end(en, WRITE_UNKNOWN);
	while ((en = g_queue_pop_head(&w->waiting)))
		entry_end(en, en->doubtful ? WRITE_UNKNOWN : WRITE_REFUSED);
}

size_t writer_pending(const struct writer *w)
{
	return w->waiting.length + w->sent.length;
}

static void stored(struct writer *w)
{
	struct entry *en;

	w->stored_ms = vh_kernel_now_ms(w->kernel);
	while ((en = g_queue_pop_head(&w->sent)))
		entry_end(en, WRITE_STORED);
}

static void not_stored(struct writer *w, bool refused)
{
	struct entry *en;

	while ((en = g_queue_pop_tail(&w->sent))) {
		if (refused && !en->doubtful) {
			entry_end(en, WRITE_REFUSED);
			continue;
		}
		en->doubtful = true;
		g_queue_push_head(&w->waiting, en);
	}
}

static void on_append(void *ctx, const struct vh_append_reply *r)
{
	struct writer *w = ctx;

	w->open = false;
	if (r->result == VH_STORE_OK) {
		stored(w);
		pump(w);
		return;
	}
	not_stored(w, r->result != VH_STORE_UNKNOWN);
	vh_timer_start(&w->retry, RETRY_MS);
}

static void expire(struct writer *w, int64_t now_ms)
{
	GList *next;

	for (GList *l = w->waiting.head; l; l = next) {
		struct entry *en = l->data;

		next = l->next;
		if (en->deadline_ms > now_ms)
			continue;
		g_queue_delete_link(&w->waiting, l);
		entry_end(en, en->doubtful ? WRITE_UNKNOWN : WRITE_REFUSED);
	}
}

static size_t collect(struct writer *w, struct vh_record *records,
		      int64_t *deadline_ms)
{
	size_t bytes = 0;
	size_t n = 0;

	while (n < BATCH_RECORDS && bytes < BATCH_BYTES) {
		struct entry *en = g_queue_pop_head(&w->waiting);

		if (!en)
			break;
		g_queue_push_tail(&w->sent, en);
		records[n].key = vh_buf_slice(&en->key);
		records[n].value = vh_buf_slice(&en->value);
		bytes += en->key.len + en->value.len;
		*deadline_ms = n ? MIN(*deadline_ms, en->deadline_ms) :
				   en->deadline_ms;
		n++;
	}
	return n;
}

static void pump(struct writer *w)
{
	struct vh_record records[BATCH_RECORDS] = { 0 };
	struct vh_append a = { .topic = w->topic, .records = records };
	int64_t now = vh_kernel_now_ms(w->kernel);
	int64_t deadline = 0;

	if (w->open)
		return;
	expire(w, now);
	a.n = collect(w, records, &deadline);
	if (!a.n)
		return;
	a.timeout_ms = CLAMP(deadline - now, 1, APPEND_TIMEOUT_MS);
	w->open = true;
	w->ports->store->append(w->ports->store_self, &a, on_append, w);
}

void writer_add(struct writer *w, struct vh_slice key, struct vh_slice value,
		int64_t deadline_ms,
		void (*done)(void *ctx, enum write_outcome outcome), void *ctx)
{
	struct entry *en = g_new0(struct entry, 1);

	vh_buf_add_slice(&en->key, key);
	vh_buf_add_slice(&en->value, value);
	en->deadline_ms = deadline_ms;
	en->done = done;
	en->ctx = ctx;
	g_queue_push_tail(&w->waiting, en);
	if (!w->open && !vh_timer_pending(&w->retry))
		pump(w);
}
