#include "stream_priv.h"

#define READ_MAX_BYTES (256 * 1024)

struct vh_stream *vh_stream_new(const struct vh_stream_settings *settings,
				const struct vh_log_transport *transport,
				const struct vh_stream_callbacks *callbacks)
{
	static uint64_t instances;
	struct vh_stream *s = g_new0(struct vh_stream, 1);

	s->settings = *settings;
	s->writer = g_strdup_printf("%.*s.%" G_GUINT64_FORMAT,
				    VH_SLICE_ARGS(settings->writer),
				    (guint64)++instances);
	s->settings.writer = vh_slice_str(s->writer);
	s->transport = *transport;
	s->callbacks = *callbacks;
	s->rand = g_rand_new_with_seed(
		(guint32)(settings->seed ^ settings->seed >> 32));
	s->fresh_ms = INT64_MIN;
	vh_backoff_reset(&s->read_backoff);
	vh_backoff_reset(&s->append.backoff);
	s->append.start_ms = INT64_MIN;
	stream_queue_init(&s->queued);
	stream_queue_init(&s->append.in_flight);
	return s;
}

void vh_stream_free(struct vh_stream *s)
{
	if (!s)
		return;
	for (struct stream_request *request = s->requests; request;
	     request = request->next)
		request->stream = NULL;
	stream_append_finish(s);
	snap_writes_free(s);
	vh_writers_finish(&s->writers);
	g_rand_free(s->rand);
	g_free(s->writer);
	g_free(s);
}

struct stream_request *stream_request_new(struct vh_stream *s)
{
	struct stream_request *request = g_new0(struct stream_request, 1);

	request->stream = s;
	request->token = ++s->last_token;
	request->start_ms = s->now_ms;
	request->next = s->requests;
	s->requests = request;
	return request;
}

void stream_request_free(struct stream_request *request)
{
	struct stream_request **at;

	if (request->stream) {
		at = &request->stream->requests;
		while (*at != request)
			at = &(*at)->next;
		*at = request->next;
	}
	g_free(request);
}

void vh_stream_start(struct vh_stream *s, uint64_t from, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (s->next)
		stream_append_restart(s);
	s->started = true;
	s->next = from ? from : 1;
	s->reading = false;
	vh_backoff_reset(&s->read_backoff);
}

void vh_stream_set_epoch(struct vh_stream *s, uint64_t epoch)
{
	s->epoch = epoch;
}

void vh_stream_set_open_epoch(struct vh_stream *s, uint64_t epoch)
{
	if (epoch <= s->open_epoch)
		return;
	s->open_epoch = epoch;
	stream_append_fence(s);
}

uint64_t vh_stream_next(const struct vh_stream *s)
{
	return s->next;
}

bool vh_stream_caught_up(const struct vh_stream *s)
{
	return s->caught_up;
}

int64_t vh_stream_fresh_ms(const struct vh_stream *s)
{
	return s->fresh_ms;
}

void vh_stream_save(struct vh_stream *s, struct vh_buf *out, struct vh_buf *id)
{
	vh_pack_array(out, 2);
	vh_pack_u64(out, s->open_epoch);
	vh_writers_pack(&s->writers, out);
	vh_buf_printf(id, "%s/%" G_GUINT64_FORMAT, s->writer,
		      (guint64)++s->snapshots);
}

bool vh_stream_restore(struct vh_stream *s, struct vh_slice bytes)
{
	struct vh_unpack u;
	uint64_t open_epoch;
	bool ok;

	vh_writers_finish(&s->writers);
	vh_unpack_init(&u, bytes, NULL);
	open_epoch = vh_unpack_u64(&u);
	ok = u.ok && vh_writers_unpack(&s->writers, &u);
	vh_unpack_finish(&u);
	if (ok)
		vh_stream_set_open_epoch(s, open_epoch);
	return ok;
}

const struct vh_stream_stats *vh_stream_stats(const struct vh_stream *s)
{
	return &s->stats;
}

static bool batch_has_open(const struct vh_batch *batch)
{
	struct vh_slice rest = batch->records;
	struct vh_slice body;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body)) {
		if (kind == VH_REC_OPEN)
			return true;
	}
	return false;
}

static bool batch_accept(struct vh_stream *s, const struct vh_batch *batch)
{
	if (!vh_writers_accept(&s->writers, batch->writer, batch->seq)) {
		s->stats.duplicates++;
		return false;
	}
	if (batch->epoch < s->open_epoch) {
		s->stats.stale++;
		stream_append_fence(s);
		return false;
	}
	if (batch->epoch > s->open_epoch && batch_has_open(batch))
		s->open_epoch = batch->epoch;
	return true;
}

void stream_apply_entry(struct vh_stream *s, struct vh_slice bytes)
{
	uint64_t offset = s->next++;
	struct vh_batch batch;

	if (!vh_batch_unpack(bytes, &batch, NULL)) {
		s->stats.corrupt++;
		return;
	}
	if (!batch_accept(s, &batch))
		return;
	s->stats.batches++;
	s->callbacks.batch(s->callbacks.ctx, offset, &batch);
	if (vh_slice_eq(batch.writer, s->settings.writer))
		stream_append_applied(s, batch.seq, offset);
	stream_append_fence(s);
}

static void read_failed(struct vh_stream *s)
{
	vh_backoff_fail(&s->read_backoff, s->rand, s->now_ms);
}

static void read_gone(struct vh_stream *s, uint64_t first)
{
	s->started = false;
	s->caught_up = false;
	s->stats.gone++;
	s->callbacks.gone(s->callbacks.ctx, first);
}

/* Returns false if the reply contradicts itself or earlier replies. */
static bool read_apply(struct vh_stream *s, const struct vh_log_read *r)
{
	for (size_t i = 0; i < r->n; i++) {
		if (r->entries[i].offset < s->next)
			continue;
		if (r->entries[i].offset > s->next)
			return false;
		stream_apply_entry(s, r->entries[i].bytes);
	}
	return r->next >= s->next;
}

static void read_done(void *arg, const struct vh_log_read *r)
{
	struct stream_request *request = arg;
	struct vh_stream *s = request->stream;
	bool current = s && s->reading && request->token == s->read_token;
	int64_t start_ms = request->start_ms;

	stream_request_free(request);
	if (!current)
		return;
	s->reading = false;
	if (r->err != VH_OK && r->err != VH_ERR_OFFSET_GONE) {
		read_failed(s);
		return;
	}
	if (r->first > s->next) {
		read_gone(s, r->first);
		return;
	}
	if (r->err != VH_OK || !read_apply(s, r)) {
		s->stats.service_errors++;
		read_failed(s);
		return;
	}
	vh_backoff_reset(&s->read_backoff);
	stream_append_missed(s);
	if (r->next == s->next) {
		s->caught_up = true;
		if (start_ms > s->fresh_ms)
			s->fresh_ms = start_ms;
	}
}

static void read_start(struct vh_stream *s)
{
	struct stream_request *request = stream_request_new(s);

	s->reading = true;
	s->read_token = request->token;
	s->read_start_ms = s->now_ms;
	s->read_wait_ms = s->caught_up ? s->settings.poll_wait_ms : 0;
	s->transport.read(s->transport.ctx, s->settings.name, s->next,
			  READ_MAX_BYTES, s->read_wait_ms, read_done, request);
}

static int64_t read_tick(struct vh_stream *s)
{
	int64_t limit;

	if (!s->started)
		return INT64_MAX;
	if (s->reading) {
		limit = s->read_start_ms + s->read_wait_ms +
			s->settings.reply_timeout_ms;
		if (s->now_ms < limit)
			return limit;
		s->reading = false;
		s->stats.timeouts++;
		read_failed(s);
	}
	if (s->now_ms < s->read_backoff.until_ms)
		return s->read_backoff.until_ms;
	read_start(s);
	return s->now_ms + s->settings.reply_timeout_ms;
}

int64_t vh_stream_tick(struct vh_stream *s, int64_t now_ms)
{
	int64_t append_at;
	int64_t read_at;

	s->now_ms = now_ms;
	append_at = stream_append_tick(s);
	read_at = read_tick(s);
	return append_at < read_at ? append_at : read_at;
}
