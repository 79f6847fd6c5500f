#include "writer.h"

#include "keys.h"

#define RETRY_MS 60 /* doubles with each timeout in a row after QUICK_RETRIES */
#define RETRY_MAX_MS 480
#define QUICK_RETRIES 2u
#define UNRESPONSIVE_MIN_MS 600	 /* lowest limit for an append in flight */
#define UNRESPONSIVE_MAX_MS 1300 /* highest limit, for a slow store */
#define UNRESPONSIVE_FACTOR 3	 /* limit as a multiple of latency_ms */
#define TIMEOUT_MARGIN_MS 100	 /* from the limit to the append's timeout */
#define LATENCY_DECAY 0.8	 /* factor on latency_ms per stored append */
/* unknown_at_ms of a record is after this share of the time to its deadline. */
#define UNKNOWN_TIME_SHARE 0.43
#define TIMER_MS 20
#define BATCH_RECORDS 200
#define BATCH_BYTES (1024 * 1024)

struct entry {
	struct vh_buf key;
	struct vh_buf value;
	int64_t deadline_ms;
	int64_t unknown_at_ms; /* if it may be stored, gives up at this time */
	bool maybe_stored;     /* an attempt had no answer, see writer_add() */
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

static void on_timer(void *ctx)
{
	struct writer *w = ctx;

	writer_tick(w);
	if (w->in_flight || w->waiting.length)
		vh_timer_start(&w->timer, TIMER_MS);
}

void writer_init(struct writer *w, struct vh_kernel *kernel,
		 const struct vh_ports *ports, enum vh_topic topic,
		 const struct vh_store_limits *limits)
{
	memset(w, 0, sizeof(*w));
	w->kernel = kernel;
	w->ports = ports;
	w->topic = topic;
	w->batch_bytes_max = limits->call_bytes
				     ? MIN(BATCH_BYTES, limits->call_bytes)
				     : BATCH_BYTES;
	w->batch_bytes = w->batch_bytes_max;
	g_queue_init(&w->waiting);
	g_queue_init(&w->sent);
	vh_timer_init(&w->timer, kernel, on_timer, w);
}

void writer_finish(struct writer *w)
{
	struct entry *en;

	w->closed = true;
	vh_timer_finish(&w->timer);
	while ((en = g_queue_pop_head(&w->sent)))
		entry_end(en, WRITE_UNKNOWN);
	while ((en = g_queue_pop_head(&w->waiting)))
		entry_end(en,
			  en->maybe_stored ? WRITE_UNKNOWN : WRITE_NOT_SENT);
}

bool writer_idle(const struct writer *w)
{
	return !w->in_flight;
}

static void send_batch(struct writer *w);

static void complete_sent(struct writer *w)
{
	struct entry *en;

	while ((en = g_queue_pop_head(&w->sent)))
		entry_end(en, WRITE_STORED);
}

static void requeue_sent(struct writer *w, bool refused)
{
	struct entry *en;

	while ((en = g_queue_pop_tail(&w->sent))) {
		if (refused && !en->maybe_stored) {
			entry_end(en, WRITE_REJECTED);
			continue;
		}
		en->maybe_stored = true;
		g_queue_push_head(&w->waiting, en);
	}
}

static size_t entry_bytes(const struct entry *en)
{
	return VH_RECORD_OVERHEAD + en->key.len + en->value.len;
}

/* The store would refuse the same append again: the records are sent apart. */
static void divide_sent(struct writer *w)
{
	struct entry *en;
	size_t bytes = 0;

	if (!w->sent.length)
		return; /* all were given up meanwhile */
	if (w->sent.length == 1) {
		en = g_queue_pop_head(&w->sent);
		w->batch_bytes = w->batch_bytes_max;
		entry_end(en, en->maybe_stored ? WRITE_UNKNOWN : WRITE_INVALID);
		return;
	}
	while ((en = g_queue_pop_tail(&w->sent))) {
		bytes += entry_bytes(en);
		g_queue_push_head(&w->waiting, en);
	}
	w->batch_bytes = bytes / 2;
}

static void record_latency(struct writer *w, int64_t latency_ms)
{
	int64_t decayed_ms = (int64_t)((double)w->latency_ms * LATENCY_DECAY);

	w->latency_ms = MAX(latency_ms, decayed_ms);
	w->consecutive_timeouts = 0;
}

/* The first retries follow quickly, since most losses of an answer are
 * isolated. */
static int64_t retry_ms(const struct writer *w)
{
	unsigned int extra =
		MAX(w->consecutive_timeouts, QUICK_RETRIES) - QUICK_RETRIES;

	return MIN((int64_t)RETRY_MS << MIN(extra, 8u), RETRY_MAX_MS);
}

static void on_append(void *ctx, const struct vh_append_reply *r)
{
	struct writer *w = ctx;
	int64_t now = vh_kernel_now_ms(w->kernel);

	w->in_flight = false;
	if (w->closed)
		return;
	if (r->result == VH_STORE_OK) {
		record_latency(w, now - w->sent_ms);
		complete_sent(w);
		send_batch(w);
		return;
	}
	if (r->result == VH_STORE_INVALID) {
		w->consecutive_timeouts = 0;
		divide_sent(w);
		send_batch(w);
		return;
	}
	w->consecutive_timeouts =
		r->result == VH_STORE_UNKNOWN ? w->consecutive_timeouts + 1 : 0;
	requeue_sent(w, r->result != VH_STORE_UNKNOWN);
	w->retry_at_ms = now + retry_ms(w);
}

static int64_t unresponsive_after_ms(const struct writer *w)
{
	return CLAMP(UNRESPONSIVE_FACTOR * w->latency_ms, UNRESPONSIVE_MIN_MS,
		     UNRESPONSIVE_MAX_MS);
}

static bool unresponsive(const struct writer *w, int64_t now_ms)
{
	if (!w->in_flight)
		return w->consecutive_timeouts > QUICK_RETRIES &&
		       now_ms < w->retry_at_ms;
	return now_ms - w->sent_ms >= unresponsive_after_ms(w);
}

/* A record whose append is in flight may already be stored. */
static bool should_give_up(const struct writer *w, const struct entry *en,
			   bool sent, int64_t now_ms)
{
	if (en->deadline_ms <= now_ms)
		return true;
	if (sent || en->maybe_stored)
		return en->unknown_at_ms <= now_ms;
	return unresponsive(w, now_ms);
}

static void expire(struct writer *w, GQueue *queue, int64_t now_ms)
{
	bool sent = queue == &w->sent;
	GList *next;

	for (GList *l = queue->head; l; l = next) {
		struct entry *en = l->data;

		next = l->next;
		if (!should_give_up(w, en, sent, now_ms))
			continue;
		g_queue_delete_link(queue, l);
		entry_end(en, sent || en->maybe_stored ? WRITE_UNKNOWN
						       : WRITE_NOT_SENT);
	}
}

void writer_tick(struct writer *w)
{
	int64_t now = vh_kernel_now_ms(w->kernel);

	expire(w, &w->waiting, now);
	expire(w, &w->sent, now);
	send_batch(w);
}

static size_t fill_batch(struct writer *w, struct vh_record *records)
{
	size_t bytes = 0;
	size_t n = 0;

	while (n < BATCH_RECORDS) {
		struct entry *en = g_queue_peek_head(&w->waiting);

		if (!en)
			break;
		bytes += entry_bytes(en);
		if (n && bytes > w->batch_bytes)
			break;
		g_queue_push_tail(&w->sent, g_queue_pop_head(&w->waiting));
		records[n].key = vh_buf_slice(&en->key);
		records[n].value = vh_buf_slice(&en->value);
		n++;
	}
	return n;
}

static void send_batch(struct writer *w)
{
	struct vh_record records[BATCH_RECORDS] = { 0 };
	struct vh_append a = { .topic = w->topic,
			       .records = records,
			       .timeout_ms = unresponsive_after_ms(w) +
					     TIMEOUT_MARGIN_MS };
	int64_t now = vh_kernel_now_ms(w->kernel);

	if (w->in_flight || now < w->retry_at_ms)
		return;
	if (now - w->queued_since_ms < w->linger_ms)
		return;
	a.n = fill_batch(w, records);
	if (!a.n)
		return;
	w->in_flight = true;
	w->sent_ms = now;
	w->ports->store->append(w->ports->store_self, &a, on_append, w);
}

void writer_add(struct writer *w, struct vh_slice key, struct vh_slice value,
		int64_t deadline_ms, bool maybe_stored,
		void (*done)(void *ctx, enum write_outcome outcome), void *ctx)
{
	int64_t now = vh_kernel_now_ms(w->kernel);
	struct entry *en;

	if (unresponsive(w, now)) {
		done(ctx, maybe_stored ? WRITE_UNKNOWN : WRITE_NOT_SENT);
		return;
	}
	en = g_new0(struct entry, 1);
	vh_buf_add_slice(&en->key, key);
	vh_buf_add_slice(&en->value, value);
	en->deadline_ms = deadline_ms;
	en->unknown_at_ms = now + (int64_t)((double)(deadline_ms - now) *
					    UNKNOWN_TIME_SHARE);
	en->maybe_stored = maybe_stored;
	en->done = done;
	en->ctx = ctx;
	if (!w->waiting.length)
		w->queued_since_ms = now;
	g_queue_push_tail(&w->waiting, en);
	send_batch(w);
	if (!vh_timer_pending(&w->timer))
		vh_timer_start(&w->timer,
			       w->linger_ms ? w->linger_ms : TIMER_MS);
}
