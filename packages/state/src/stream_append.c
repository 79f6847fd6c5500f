#include "stream_priv.h"

void stream_queue_init(struct stream_queue *q)
{
	q->head = NULL;
	q->tail = &q->head;
	q->bytes = 0;
}

static void queue_push(struct stream_queue *q, struct stream_record *rec)
{
	rec->next = NULL;
	*q->tail = rec;
	q->tail = &rec->next;
	q->bytes += rec->len;
}

static struct stream_record *queue_pop(struct stream_queue *q)
{
	struct stream_record *rec = q->head;

	if (!rec)
		return NULL;
	q->head = rec->next;
	if (!q->head)
		q->tail = &q->head;
	q->bytes -= rec->len;
	return rec;
}

/* Empties @q first, because the callbacks may queue more records. */
static void queue_complete(struct stream_queue *q, enum vh_err err,
			   uint64_t offset)
{
	struct stream_record *rec = q->head;

	stream_queue_init(q);
	while (rec) {
		struct stream_record *next = rec->next;

		if (rec->done)
			rec->done(rec->arg, err, offset);
		g_free(rec);
		rec = next;
	}
}

static void append_complete(struct vh_stream *s, enum vh_err err,
			    uint64_t offset)
{
	s->append.state = APPEND_NONE;
	vh_buf_clear(&s->append.bytes);
	vh_backoff_reset(&s->append.backoff);
	queue_complete(&s->append.in_flight, err, offset);
}

void vh_stream_append(struct vh_stream *s, enum vh_rec_kind kind,
		      struct vh_slice body,
		      void (*done)(void *arg, enum vh_err err, uint64_t offset),
		      void *arg)
{
	struct stream_record *rec;
	struct vh_buf record;

	if (s->epoch < s->open_epoch) {
		if (done)
			done(arg, VH_ERR_STALE_EPOCH, 0);
		return;
	}
	vh_buf_init(&record);
	vh_record_add(&record, kind, body);
	if (s->queued.bytes + record.len > s->settings.max_queued_bytes) {
		vh_buf_finish(&record);
		s->stats.refused++;
		if (done)
			done(arg, VH_ERR_LOG_UNAVAILABLE, 0);
		return;
	}
	rec = g_malloc(sizeof(*rec) + record.len);
	rec->epoch = s->epoch;
	rec->done = done;
	rec->arg = arg;
	rec->len = record.len;
	memcpy(rec->record, record.data, record.len);
	vh_buf_finish(&record);
	queue_push(&s->queued, rec);
}

void stream_append_applied(struct vh_stream *s, uint64_t seq, uint64_t offset)
{
	if (s->append.state == APPEND_NONE || s->append.seq != seq)
		return;
	append_complete(s, VH_OK, offset);
}

void stream_append_fence(struct vh_stream *s)
{
	struct stream_queue old;
	struct stream_queue stale;
	struct stream_record *rec;

	if (s->append.state != APPEND_NONE && s->append.epoch < s->open_epoch)
		append_complete(s, VH_ERR_STALE_EPOCH, 0);
	if (!s->queued.head || s->queued.head->epoch >= s->open_epoch)
		return;
	old = s->queued;
	stream_queue_init(&s->queued);
	stream_queue_init(&stale);
	while ((rec = queue_pop(&old)))
		queue_push(rec->epoch < s->open_epoch ? &stale : &s->queued,
			   rec);
	queue_complete(&stale, VH_ERR_STALE_EPOCH, 0);
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
		append_complete(s, VH_ERR_UNKNOWN_OUTCOME, 0);
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
	struct stream_request *request = arg;
	struct vh_stream *s = request->stream;
	int64_t start_ms = request->start_ms;
	bool current = s && s->append.state == APPEND_SENT &&
		       request->token == s->append.token;

	stream_request_free(request);
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
	struct stream_request *request = stream_request_new(s);

	s->append.state = APPEND_SENT;
	s->append.token = request->token;
	s->append.start_ms = s->now_ms;
	s->stats.appends++;
	s->transport.append(s->transport.ctx, s->settings.name,
			    vh_buf_slice(&s->append.bytes), append_done,
			    request);
}

/* Moves queued records of one epoch, up to the size limit, into a batch. */
static void append_pack(struct vh_stream *s)
{
	struct vh_buf records;
	struct vh_batch batch;
	struct stream_record *rec;

	vh_buf_init(&records);
	s->append.epoch = s->queued.head->epoch;
	while ((rec = s->queued.head)) {
		if (rec->epoch != s->append.epoch)
			break;
		if (records.len &&
		    records.len + rec->len > s->settings.max_batch_bytes)
			break;
		vh_buf_add(&records, rec->record, rec->len);
		queue_push(&s->append.in_flight, queue_pop(&s->queued));
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

	if (!s->started || !s->queued.head)
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
	struct stream_record *rec;

	while ((rec = queue_pop(&s->queued)))
		g_free(rec);
	while ((rec = queue_pop(&s->append.in_flight)))
		g_free(rec);
	vh_buf_finish(&s->append.bytes);
}
