#include "stream_priv.h"

void stream_queue_init(struct stream_queue *q)
{
	q->head = NULL;
	q->tail = &q->head;
	q->bytes = 0;
}

static void queue_push(struct stream_queue *q, struct stream_record *item)
{
	item->next = NULL;
	*q->tail = item;
	q->tail = &item->next;
	q->bytes += item->len;
}

static struct stream_record *queue_pop(struct stream_queue *q)
{
	struct stream_record *item = q->head;

	if (!item)
		return NULL;
	q->head = item->next;
	if (!q->head)
		q->tail = &q->head;
	q->bytes -= item->len;
	return item;
}

/* Empties @q first: the callbacks may queue more. */
static void queue_end(struct stream_queue *q, enum vh_err err, uint64_t offset)
{
	struct stream_record *item = q->head;

	stream_queue_init(q);
	while (item) {
		struct stream_record *next = item->next;

		if (item->done)
			item->done(item->arg, err, offset);
		g_free(item);
		item = next;
	}
}

static void append_end(struct vh_stream *s, enum vh_err err, uint64_t offset)
{
	s->append.state = APPEND_NONE;
	vh_buf_clear(&s->append.bytes);
	vh_backoff_reset(&s->append.backoff);
	queue_end(&s->append.items, err, offset);
}

void vh_stream_append(struct vh_stream *s, enum vh_rec_kind kind,
		      struct vh_slice body,
		      void (*done)(void *arg, enum vh_err err, uint64_t offset),
		      void *arg)
{
	struct stream_record *item;
	struct vh_buf record;

	if (s->epoch < s->opened) {
		if (done)
			done(arg, VH_ERR_STALE_EPOCH, 0);
		return;
	}
	vh_buf_init(&record);
	vh_record_add(&record, kind, body);
	if (s->waiting.bytes + record.len > s->settings.max_queued_bytes) {
		vh_buf_finish(&record);
		s->stats.refused++;
		if (done)
			done(arg, VH_ERR_LOG_UNAVAILABLE, 0);
		return;
	}
	item = g_malloc(sizeof(*item) + record.len);
	item->epoch = s->epoch;
	item->done = done;
	item->arg = arg;
	item->len = record.len;
	memcpy(item->record, record.data, record.len);
	vh_buf_finish(&record);
	queue_push(&s->waiting, item);
}

void stream_append_applied(struct vh_stream *s, uint64_t seq, uint64_t offset)
{
	if (s->append.state == APPEND_NONE || s->append.seq != seq)
		return;
	append_end(s, VH_OK, offset);
}

void stream_append_fence(struct vh_stream *s)
{
	struct stream_queue old;
	struct stream_queue stale;
	struct stream_record *item;

	if (s->append.state != APPEND_NONE && s->append.epoch < s->opened)
		append_end(s, VH_ERR_STALE_EPOCH, 0);
	if (!s->waiting.head || s->waiting.head->epoch >= s->opened)
		return;
	old = s->waiting;
	stream_queue_init(&s->waiting);
	stream_queue_init(&stale);
	while ((item = queue_pop(&old)))
		queue_push(item->epoch < s->opened ? &stale : &s->waiting,
			   item);
	queue_end(&stale, VH_ERR_STALE_EPOCH, 0);
}

static void append_retry(struct vh_stream *s)
{
	s->append.state = APPEND_BACKOFF;
	vh_backoff_fail(&s->append.backoff, s->rand, s->now_ms);
}

void stream_append_missed(struct vh_stream *s)
{
	if (s->append.state != APPEND_ACKED || s->append.offset >= s->next)
		return;
	s->stats.service_errors++;
	append_retry(s);
}

void stream_append_restart(struct vh_stream *s)
{
	if (s->append.state != APPEND_NONE)
		append_end(s, VH_ERR_UNKNOWN_OUTCOME, 0);
}

static void append_acked(struct vh_stream *s, uint64_t offset, int64_t start_ms)
{
	struct vh_buf bytes = s->append.bytes;

	s->append.state = APPEND_ACKED;
	s->append.offset = offset;
	if (offset < s->next) {
		stream_append_missed(s);
		return;
	}
	if (offset != s->next || !s->started)
		return;
	if (start_ms > s->fresh_ms)
		s->fresh_ms = start_ms;
	s->caught_up = true;
	vh_buf_init(&s->append.bytes);
	stream_apply_entry(s, vh_buf_slice(&bytes));
	vh_buf_finish(&bytes);
	stream_append_missed(s);
}

static void append_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct stream_request *call = arg;
	struct vh_stream *s = call->stream;
	int64_t start_ms = call->start_ms;
	bool current = s && s->append.state == APPEND_SENT &&
		       call->token == s->append.token;

	stream_request_free(call);
	if (!current)
		return;
	if (err == VH_OK) {
		append_acked(s, offset, start_ms);
		return;
	}
	s->stats.append_errors++;
	append_retry(s);
}

static void append_send(struct vh_stream *s)
{
	struct stream_request *call = stream_request_new(s);

	s->append.state = APPEND_SENT;
	s->append.token = call->token;
	s->append.start_ms = s->now_ms;
	s->stats.appends++;
	s->transport.append(s->transport.ctx, s->settings.name,
			    vh_buf_slice(&s->append.bytes), append_done, call);
}

/* Moves what waits, of one epoch and up to the size of a batch, into it. */
static void append_pack(struct vh_stream *s)
{
	struct vh_buf records;
	struct vh_batch batch;
	struct stream_record *item;

	vh_buf_init(&records);
	s->append.epoch = s->waiting.head->epoch;
	while ((item = s->waiting.head)) {
		if (item->epoch != s->append.epoch)
			break;
		if (records.len &&
		    records.len + item->len > s->settings.max_batch_bytes)
			break;
		vh_buf_add(&records, item->record, item->len);
		queue_push(&s->append.items, queue_pop(&s->waiting));
		s->stats.records++;
	}
	s->append.seq++;
	batch.writer = s->settings.writer;
	batch.seq = s->append.seq;
	batch.epoch = s->append.epoch;
	batch.records = vh_buf_slice(&records);
	vh_buf_clear(&s->append.bytes);
	vh_batch_pack(&batch, &s->append.bytes);
	vh_buf_finish(&records);
}

static int64_t append_begin(struct vh_stream *s)
{
	int64_t at = s->append.start_ms;

	if (!s->started || !s->waiting.head)
		return INT64_MAX;
	at = at == INT64_MIN ? s->now_ms
			     : at + s->settings.min_append_interval_ms;
	if (s->now_ms < at)
		return at;
	append_pack(s);
	append_send(s);
	return s->now_ms + s->settings.reply_timeout_ms;
}

int64_t stream_append_tick(struct vh_stream *s)
{
	int64_t limit = s->append.start_ms + s->settings.reply_timeout_ms;

	switch (s->append.state) {
	case APPEND_NONE:
		return append_begin(s);
	case APPEND_ACKED:
		return INT64_MAX;
	case APPEND_SENT:
		if (s->now_ms < limit)
			return limit;
		s->stats.timeouts++;
		append_retry(s);
		return s->append.backoff.until_ms;
	case APPEND_BACKOFF:
		break;
	}
	if (s->now_ms < s->append.backoff.until_ms)
		return s->append.backoff.until_ms;
	append_send(s);
	return s->now_ms + s->settings.reply_timeout_ms;
}

void stream_append_finish(struct vh_stream *s)
{
	struct stream_record *item;

	while ((item = queue_pop(&s->waiting)))
		g_free(item);
	while ((item = queue_pop(&s->append.items)))
		g_free(item);
	vh_buf_finish(&s->append.bytes);
}
