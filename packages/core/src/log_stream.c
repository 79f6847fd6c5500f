#include "log_stream.h"

#include "vh/log.h"

#define MAX_QUEUED_BYTES (4u << 20)
#define MAX_BATCH_BYTES (256u << 10)
#define REPLY_TIMEOUT_MS 3000
/* A stream's age is at most twice this plus the time of a reply. */
#define POLL_WAIT_MS 1000

struct vh_log_stream {
	struct vh_log_streams *streams;
	struct vh_stream *stream;
	struct vh_timer timer;
	char *name;
	struct vh_log_stream_user user;
	struct vh_snap_reader reader;
	bool rebuilding; /* reading on to a snapshot; batches are not applied */
	bool snapshot_writing;
	int64_t snapshot_ms;  /* of the newest complete one; INT64_MIN: none */
	unsigned int pending; /* transport calls not yet called back */
	bool closed;
};

struct append_call {
	struct vh_log_stream *ls;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

struct read_call {
	struct vh_log_stream *ls;
	void (*done)(void *arg, const struct vh_log_read *result);
	void *arg;
};

static void stream_free(struct vh_log_stream *ls)
{
	vh_snap_reader_finish(&ls->reader);
	vh_timer_finish(&ls->timer);
	g_free(ls->name);
	g_free(ls);
}

static void call_done(struct vh_log_stream *ls)
{
	ls->pending--;
	if (!ls->closed)
		vh_timer_start(&ls->timer, 0);
	else if (!ls->pending)
		stream_free(ls);
}

static void append_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct append_call call = *(struct append_call *)arg;

	g_free(arg);
	call.done(call.arg, err, offset);
	call_done(call.ls);
}

static void
transport_append(void *ctx, struct vh_slice stream, struct vh_slice bytes,
		 void (*done)(void *arg, enum vh_err err, uint64_t offset),
		 void *arg)
{
	struct vh_log_stream *ls = ctx;
	const struct vh_log_transport *t = ls->streams->transport;
	struct append_call *call = g_new(struct append_call, 1);

	call->ls = ls;
	call->done = done;
	call->arg = arg;
	ls->pending++;
	t->append(t->ctx, stream, bytes, append_done, call);
}

static void read_done(void *arg, const struct vh_log_read *result)
{
	struct read_call call = *(struct read_call *)arg;

	g_free(arg);
	call.done(call.arg, result);
	call_done(call.ls);
}

static void transport_read(void *ctx, struct vh_slice stream, uint64_t from,
			   size_t max_bytes, int64_t wait_ms,
			   void (*done)(void *arg,
					const struct vh_log_read *result),
			   void *arg)
{
	struct vh_log_stream *ls = ctx;
	const struct vh_log_transport *t = ls->streams->transport;
	struct read_call *call = g_new(struct read_call, 1);

	call->ls = ls;
	call->done = done;
	call->arg = arg;
	ls->pending++;
	t->read(t->ctx, stream, from, max_bytes, wait_ms, read_done, call);
}

static void snapshot_written(void *arg, enum vh_err err, uint64_t offset)
{
	struct vh_log_stream *ls = arg;

	(void)offset;
	ls->snapshot_writing = false;
	if (err == VH_OK)
		ls->snapshot_ms = vh_kernel_now_ms(ls->streams->kernel);
}

/* Writes a snapshot before retention removes the records it is built from. */
static void snapshot_if_due(struct vh_log_stream *ls, int64_t now)
{
	struct vh_buf state;
	uint64_t next = vh_stream_next(ls->stream);

	if (ls->snapshot_writing || !vh_log_stream_caught_up(ls) ||
	    vh_log_stream_is_stale(ls) || next <= 1)
		return;
	if (ls->snapshot_ms == INT64_MIN)
		ls->snapshot_ms = now - ls->streams->retention_ms / 4;
	if (now < vh_snap_due_ms(ls->snapshot_ms, ls->streams->retention_ms,
				 ls->user.rank(ls->user.ctx)))
		return;
	ls->snapshot_writing = true;
	vh_buf_init(&state);
	ls->user.dump(ls->user.ctx, &state);
	vh_snap_write(ls->stream, next - 1, vh_buf_slice(&state),
		      snapshot_written, ls);
	vh_buf_finish(&state);
	vh_timer_start(&ls->timer, 0);
}

/* Loads a complete snapshot; false if it cannot be used. */
static bool snapshot_load(struct vh_log_stream *ls, const struct vh_snapshot *s)
{
	if (!ls->user.load(ls->user.ctx, s->state) ||
	    !vh_stream_restore(ls->stream, s->stream))
		return false;
	ls->rebuilding = false;
	vh_stream_start(ls->stream, s->covers + 1,
			vh_kernel_now_ms(ls->streams->kernel));
	vh_timer_start(&ls->timer, 0);
	return true;
}

static void on_batch(void *ctx, uint64_t offset, const struct vh_batch *batch)
{
	struct vh_log_stream *ls = ctx;
	struct vh_slice rest = batch->records;
	struct vh_snapshot snapshot;
	struct vh_slice body;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body)) {
		if (!vh_snap_reader_apply(&ls->reader, kind, body, &snapshot))
			continue;
		ls->snapshot_ms = vh_kernel_now_ms(ls->streams->kernel);
		if (ls->rebuilding && snapshot_load(ls, &snapshot))
			return;
	}
	if (!ls->rebuilding)
		ls->user.batch(ls->user.ctx, offset, batch);
}

static void on_truncated(void *ctx, uint64_t first)
{
	struct vh_log_stream *ls = ctx;

	vh_log(G_LOG_LEVEL_WARNING,
	       "unread records removed by retention; reading on to the next "
	       "snapshot",
	       "stream", ls->name, NULL);
	ls->rebuilding = true;
	vh_stream_start(ls->stream, first,
			vh_kernel_now_ms(ls->streams->kernel));
	vh_timer_start(&ls->timer, 0);
}

static void stream_tick(void *ctx)
{
	struct vh_log_stream *ls = ctx;
	int64_t now = vh_kernel_now_ms(ls->streams->kernel);
	int64_t next;

	snapshot_if_due(ls, now);
	next = vh_stream_tick(ls->stream, now);

	if (!ls->closed && next != INT64_MAX && !vh_timer_pending(&ls->timer))
		vh_timer_start(&ls->timer, next - now);
}

void vh_log_streams_init(struct vh_log_streams *streams,
			 struct vh_kernel *kernel,
			 const struct vh_log_transport *transport,
			 struct vh_slice writer, int64_t min_append_interval_ms,
			 int64_t retention_ms)
{
	streams->retention_ms = retention_ms;
	streams->kernel = kernel;
	streams->transport = transport;
	streams->writer = writer;
	streams->min_append_interval_ms = min_append_interval_ms;
	streams->next_seed = vh_slice_hash(writer, 0);
}

struct vh_log_stream *vh_log_stream_open(struct vh_log_streams *streams,
					 struct vh_slice name, uint64_t epoch,
					 const struct vh_log_stream_user *user)
{
	struct vh_log_stream *ls = g_new0(struct vh_log_stream, 1);
	struct vh_log_transport transport = { transport_append, transport_read,
					      ls };
	struct vh_stream_callbacks callbacks = { on_batch, on_truncated, ls };
	struct vh_stream_settings settings = {
		.writer = streams->writer,
		.max_queued_bytes = MAX_QUEUED_BYTES,
		.max_batch_bytes = MAX_BATCH_BYTES,
		.min_append_interval_ms = streams->min_append_interval_ms,
		.reply_timeout_ms = REPLY_TIMEOUT_MS,
		.poll_wait_ms = POLL_WAIT_MS,
		.seed = streams->next_seed++,
	};

	ls->streams = streams;
	ls->user = *user;
	ls->snapshot_ms = INT64_MIN;
	ls->name = vh_slice_dup(name);
	settings.name = vh_slice_str(ls->name);
	vh_timer_init(&ls->timer, streams->kernel, stream_tick, ls);
	ls->stream = vh_stream_new(&settings, &transport, &callbacks);
	vh_stream_set_epoch(ls->stream, epoch);
	vh_stream_start(ls->stream, 1, vh_kernel_now_ms(streams->kernel));
	vh_timer_start(&ls->timer, 0);
	return ls;
}

void vh_log_stream_close(struct vh_log_stream *ls)
{
	if (!ls)
		return;
	ls->closed = true;
	vh_timer_stop(&ls->timer);
	vh_stream_free(ls->stream);
	ls->stream = NULL;
	if (!ls->pending)
		stream_free(ls);
}

void vh_log_stream_append(
	struct vh_log_stream *ls, enum vh_rec_kind kind, struct vh_slice body,
	void (*done)(void *arg, enum vh_err err, uint64_t offset), void *arg)
{
	vh_stream_append(ls->stream, kind, body, done, arg);
	vh_timer_start(&ls->timer, 0);
}

bool vh_log_stream_caught_up(const struct vh_log_stream *ls)
{
	return !ls->rebuilding && vh_stream_caught_up(ls->stream);
}

struct vh_stream *vh_log_stream(struct vh_log_stream *ls)
{
	return ls->stream;
}

int64_t vh_log_stream_age_ms(const struct vh_log_stream *ls)
{
	int64_t fresh = vh_stream_fresh_ms(ls->stream);

	if (fresh == INT64_MIN || ls->rebuilding)
		return INT64_MAX;
	return vh_kernel_now_ms(ls->streams->kernel) - fresh;
}

bool vh_log_stream_is_stale(const struct vh_log_stream *ls)
{
	return vh_log_stream_age_ms(ls) > VH_LOG_STREAM_STALE_MS;
}
