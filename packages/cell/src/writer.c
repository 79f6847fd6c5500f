#include "writer.h"

#define RETRY_MS 60	     /* after a try without success */
#define RETRY_MOST_MS 480    /* after many */
#define RETRIES_CLOSE 2u     /* tries without an answer before it grows */
#define SILENT_MS 600	     /* a try out for so long: the store is silent */
#define SILENT_MOST_MS 1300  /* the same for a store that is slow */
#define SILENT_TIMES 3	     /* against how long an append took lately */
#define TIMEOUT_EXTRA_MS 100 /* a try is given up so long after that */
#define TOOK_KEPT 0.8	     /* of a longer append before, in took_ms */
#define DOUBT_SHARE 0.43     /* of a caller's time, then doubt is told */
#define TICK_MS 20
#define BATCH_RECORDS 200
#define BATCH_BYTES (1024 * 1024)

struct entry {
	struct vh_buf key;
	struct vh_buf value;
	int64_t deadline_ms;
	int64_t doubt_ms; /* when a record without an answer is given up */
	bool doubtful;	  /* a try had no answer */
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

static void on_tick(void *ctx)
{
	struct writer *w = ctx;

	writer_tick(w);
	if (w->open || w->waiting.length)
		vh_timer_start(&w->tick, TICK_MS);
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
	vh_timer_init(&w->tick, kernel, on_tick, w);
}

void writer_finish(struct writer *w)
{
	struct entry *en;

	w->closed = true;
	vh_timer_finish(&w->tick);
	while ((en = g_queue_pop_head(&w->sent)))
		entry_end(en, WRITE_UNKNOWN);
	while ((en = g_queue_pop_head(&w->waiting)))
		entry_end(en, en->doubtful ? WRITE_UNKNOWN : WRITE_NOT_SENT);
}

bool writer_idle(const struct writer *w)
{
	return !w->open;
}

static void pump(struct writer *w);

static void stored(struct writer *w)
{
	struct entry *en;

	while ((en = g_queue_pop_head(&w->sent)))
		entry_end(en, WRITE_STORED);
}

static void not_stored(struct writer *w, bool refused)
{
	struct entry *en;

	while ((en = g_queue_pop_tail(&w->sent))) {
		if (refused && !en->doubtful) {
			entry_end(en, WRITE_REJECTED);
			continue;
		}
		en->doubtful = true;
		g_queue_push_head(&w->waiting, en);
	}
}

static void note_took(struct writer *w, int64_t took_ms)
{
	int64_t kept = (int64_t)((double)w->took_ms * TOOK_KEPT);

	w->took_ms = MAX(took_ms, kept);
	w->consecutive_timeouts = 0;
}

/* The first tries follow each other closely: most answers that are lost are
 * lost alone. */
static int64_t retry_ms(const struct writer *w)
{
	unsigned int more =
		MAX(w->consecutive_timeouts, RETRIES_CLOSE) - RETRIES_CLOSE;

	return MIN((int64_t)RETRY_MS << MIN(more, 8u), RETRY_MOST_MS);
}

static void on_append(void *ctx, const struct vh_append_reply *r)
{
	struct writer *w = ctx;
	int64_t now = vh_kernel_now_ms(w->kernel);

	w->open = false;
	if (w->closed)
		return;
	if (r->result == VH_STORE_OK) {
		note_took(w, now - w->sent_ms);
		stored(w);
		pump(w);
		return;
	}
	w->consecutive_timeouts =
		r->result == VH_STORE_UNKNOWN ? w->consecutive_timeouts + 1 : 0;
	not_stored(w, r->result != VH_STORE_UNKNOWN);
	w->pause_until_ms = now + retry_ms(w);
}

static int64_t silent_ms(const struct writer *w)
{
	return CLAMP(SILENT_TIMES * w->took_ms, SILENT_MS, SILENT_MOST_MS);
}

static bool silent(const struct writer *w, int64_t now_ms)
{
	if (!w->open)
		return w->consecutive_timeouts > RETRIES_CLOSE &&
		       now_ms < w->pause_until_ms;
	return now_ms - w->sent_ms >= silent_ms(w);
}

/* What has been sent may be stored, whether its try has ended or not. */
static bool given_up(const struct writer *w, const struct entry *en, bool sent,
		     int64_t now_ms)
{
	if (en->deadline_ms <= now_ms)
		return true;
	if (sent || en->doubtful)
		return en->doubt_ms <= now_ms;
	return silent(w, now_ms);
}

static void expire(struct writer *w, GQueue *queue, int64_t now_ms)
{
	bool sent = queue == &w->sent;
	GList *next;

	for (GList *l = queue->head; l; l = next) {
		struct entry *en = l->data;

		next = l->next;
		if (!given_up(w, en, sent, now_ms))
			continue;
		g_queue_delete_link(queue, l);
		entry_end(en, sent || en->doubtful ? WRITE_UNKNOWN
						   : WRITE_NOT_SENT);
	}
}

void writer_tick(struct writer *w)
{
	int64_t now = vh_kernel_now_ms(w->kernel);

	expire(w, &w->waiting, now);
	expire(w, &w->sent, now);
	pump(w);
}

static size_t collect(struct writer *w, struct vh_record *records)
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
		n++;
	}
	return n;
}

static void pump(struct writer *w)
{
	struct vh_record records[BATCH_RECORDS] = { 0 };
	struct vh_append a = { .topic = w->topic,
			       .records = records,
			       .timeout_ms = silent_ms(w) + TIMEOUT_EXTRA_MS };
	int64_t now = vh_kernel_now_ms(w->kernel);

	if (w->open || now < w->pause_until_ms)
		return;
	if (now - w->first_ms < w->linger_ms)
		return;
	a.n = collect(w, records);
	if (!a.n)
		return;
	w->open = true;
	w->sent_ms = now;
	w->ports->store->append(w->ports->store_self, &a, on_append, w);
}

void writer_add(struct writer *w, struct vh_slice key, struct vh_slice value,
		int64_t deadline_ms, bool doubtful,
		void (*done)(void *ctx, enum write_outcome outcome), void *ctx)
{
	int64_t now = vh_kernel_now_ms(w->kernel);
	struct entry *en;

	if (silent(w, now)) {
		done(ctx, doubtful ? WRITE_UNKNOWN : WRITE_NOT_SENT);
		return;
	}
	en = g_new0(struct entry, 1);
	vh_buf_add_slice(&en->key, key);
	vh_buf_add_slice(&en->value, value);
	en->deadline_ms = deadline_ms;
	en->doubt_ms =
		now + (int64_t)((double)(deadline_ms - now) * DOUBT_SHARE);
	en->doubtful = doubtful;
	en->done = done;
	en->ctx = ctx;
	if (!w->waiting.length)
		w->first_ms = now;
	g_queue_push_tail(&w->waiting, en);
	pump(w);
	if (!vh_timer_pending(&w->tick))
		vh_timer_start(&w->tick, w->linger_ms ? w->linger_ms : TICK_MS);
}
