#include "log_stream.h"

#include "vh/log.h"

#define MAX_WAITING_BYTES (4u << 20)
#define MAX_BATCH_BYTES (256u << 10)
#define REPLY_TIMEOUT_MS 3000
#define POLL_WAIT_MS 1000 /* a stream's age is at most twice this and a reply */

struct vh_log_stream {
	struct vh_log_streams *hub;
	struct vh_stream *stream;
	struct vh_timer timer;
	char *name;
	struct vh_log_stream_user user;
	struct vh_snap_reader reader;
	bool rebuilding; /* looks for a snapshot, applies nothing */
	bool writing;
	int64_t newest_ms;    /* newest complete snapshot; INT64_MIN: none */
	unsigned int pending; /* transport calls that will still call back */
	bool closed;
};

struct append_call {
	struct vh_log_stream *hs;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

struct read_call {
	struct vh_log_stream *hs;
	void (*done)(void *arg, const struct vh_log_read *result);
	void *arg;
};

static void stream_release(struct vh_log_stream *hs)
{
	vh_snap_reader_finish(&hs->reader);
	vh_timer_finish(&hs->timer);
	g_free(hs->name);
	g_free(hs);
}

static void call_over(struct vh_log_stream *hs)
{
	hs->pending--;
	if (!hs->closed)
		vh_timer_start(&hs->timer, 0);
	else if (!hs->pending)
		stream_release(hs);
}

static void append_over(void *arg, enum vh_err err, uint64_t offset)
{
	struct append_call call = *(struct append_call *)arg;

	g_free(arg);
	call.done(call.arg, err, offset);
	call_over(call.hs);
}

static void
hub_append(void *ctx, struct vh_slice stream, struct vh_slice bytes,
	   void (*done)(void *arg, enum vh_err err, uint64_t offset), void *arg)
{
	struct vh_log_stream *hs = ctx;
	const struct vh_log_transport *t = hs->hub->transport;
	struct append_call *call = g_new(struct append_call, 1);

	call->hs = hs;
	call->done = done;
	call->arg = arg;
	hs->pending++;
	t->append(t->ctx, stream, bytes, append_over, call);
}

static void read_over(void *arg, const struct vh_log_read *result)
{
	struct read_call call = *(struct read_call *)arg;

	g_free(arg);
	call.done(call.arg, result);
	call_over(call.hs);
}

static void hub_read(void *ctx, struct vh_slice stream, uint64_t from,
		     size_t max_bytes, int64_t wait_ms,
		     void (*done)(void *arg, const struct vh_log_read *result),
		     void *arg)
{
	struct vh_log_stream *hs = ctx;
	const struct vh_log_transport *t = hs->hub->transport;
	struct read_call *call = g_new(struct read_call, 1);

	call->hs = hs;
	call->done = done;
	call->arg = arg;
	hs->pending++;
	t->read(t->ctx, stream, from, max_bytes, wait_ms, read_over, call);
}

static void snapshot_written(void *arg, enum vh_err err, uint64_t offset)
{
	struct vh_log_stream *hs = arg;

	(void)offset;
	hs->writing = false;
	if (err == VH_OK)
		hs->newest_ms = vh_kernel_now_ms(hs->hub->kernel);
}

/* Writes the state again before retention removes what it came from. */
static void snapshot_if_due(struct vh_log_stream *hs, int64_t now)
{
	struct vh_buf state;
	uint64_t next = vh_stream_next(hs->stream);

	if (hs->writing || !vh_log_stream_caught_up(hs) ||
	    vh_log_stream_is_stale(hs) || next <= 1)
		return;
	if (hs->newest_ms == INT64_MIN)
		hs->newest_ms = now - hs->hub->retention_ms / 4;
	if (now < vh_snap_due_ms(hs->newest_ms, hs->hub->retention_ms,
				 hs->user.rank(hs->user.ctx)))
		return;
	hs->writing = true;
	vh_buf_init(&state);
	hs->user.dump(hs->user.ctx, &state);
	vh_snap_write(hs->stream, next - 1, vh_buf_slice(&state),
		      snapshot_written, hs);
	vh_buf_finish(&state);
	vh_timer_start(&hs->timer, 0);
}

/* Loads a complete snapshot; false if it cannot be used. */
static bool snapshot_load(struct vh_log_stream *hs, const struct vh_snapshot *s)
{
	if (!hs->user.load(hs->user.ctx, s->state) ||
	    !vh_stream_restore(hs->stream, s->stream))
		return false;
	hs->rebuilding = false;
	vh_stream_start(hs->stream, s->covers + 1,
			vh_kernel_now_ms(hs->hub->kernel));
	vh_timer_start(&hs->timer, 0);
	return true;
}

static void on_batch(void *ctx, uint64_t offset, const struct vh_batch *batch)
{
	struct vh_log_stream *hs = ctx;
	struct vh_slice rest = batch->records;
	struct vh_snapshot snapshot;
	struct vh_slice body;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body)) {
		if (!vh_snap_reader_apply(&hs->reader, kind, body, &snapshot))
			continue;
		hs->newest_ms = vh_kernel_now_ms(hs->hub->kernel);
		if (hs->rebuilding && snapshot_load(hs, &snapshot))
			return;
	}
	if (!hs->rebuilding)
		hs->user.batch(hs->user.ctx, offset, batch);
}

static void on_gone(void *ctx, uint64_t first)
{
	struct vh_log_stream *hs = ctx;

	vh_log(G_LOG_LEVEL_WARNING,
	       "records removed by retention: looking for a snapshot", "stream",
	       hs->name, NULL);
	hs->rebuilding = true;
	vh_stream_start(hs->stream, first, vh_kernel_now_ms(hs->hub->kernel));
	vh_timer_start(&hs->timer, 0);
}

static void hub_tick(void *ctx)
{
	struct vh_log_stream *hs = ctx;
	int64_t now = vh_kernel_now_ms(hs->hub->kernel);
	int64_t next;

	snapshot_if_due(hs, now);
	next = vh_stream_tick(hs->stream, now);

	if (!hs->closed && next != INT64_MAX && !vh_timer_pending(&hs->timer))
		vh_timer_start(&hs->timer, next - now);
}

void vh_log_streams_init(struct vh_log_streams *hub, struct vh_kernel *kernel,
			 const struct vh_log_transport *transport,
			 struct vh_slice writer, int64_t min_append_interval_ms,
			 int64_t retention_ms)
{
	hub->retention_ms = retention_ms;
	hub->kernel = kernel;
	hub->transport = transport;
	hub->writer = writer;
	hub->min_append_interval_ms = min_append_interval_ms;
	hub->next_seed = vh_slice_hash(writer, 0);
}

struct vh_log_stream *vh_log_stream_open(struct vh_log_streams *hub,
					 struct vh_slice name, uint64_t epoch,
					 const struct vh_log_stream_user *user)
{
	struct vh_log_stream *hs = g_new0(struct vh_log_stream, 1);
	struct vh_log_transport transport = { hub_append, hub_read, hs };
	struct vh_stream_callbacks callbacks = { on_batch, on_gone, hs };
	struct vh_stream_settings settings = {
		.writer = hub->writer,
		.max_queued_bytes = MAX_WAITING_BYTES,
		.max_batch_bytes = MAX_BATCH_BYTES,
		.min_append_interval_ms = hub->min_append_interval_ms,
		.reply_timeout_ms = REPLY_TIMEOUT_MS,
		.poll_wait_ms = POLL_WAIT_MS,
		.seed = hub->next_seed++,
	};

	hs->hub = hub;
	hs->user = *user;
	hs->newest_ms = INT64_MIN;
	hs->name = vh_slice_dup(name);
	settings.name = vh_slice_str(hs->name);
	vh_timer_init(&hs->timer, hub->kernel, hub_tick, hs);
	hs->stream = vh_stream_new(&settings, &transport, &callbacks);
	vh_stream_set_epoch(hs->stream, epoch);
	vh_stream_start(hs->stream, 1, vh_kernel_now_ms(hub->kernel));
	vh_timer_start(&hs->timer, 0);
	return hs;
}

void vh_log_stream_close(struct vh_log_stream *hs)
{
	if (!hs)
		return;
	hs->closed = true;
	vh_timer_stop(&hs->timer);
	vh_stream_free(hs->stream);
	hs->stream = NULL;
	if (!hs->pending)
		stream_release(hs);
}

void vh_log_stream_append(
	struct vh_log_stream *hs, enum vh_rec_kind kind, struct vh_slice body,
	void (*done)(void *arg, enum vh_err err, uint64_t offset), void *arg)
{
	vh_stream_append(hs->stream, kind, body, done, arg);
	vh_timer_start(&hs->timer, 0);
}

bool vh_log_stream_caught_up(const struct vh_log_stream *hs)
{
	return !hs->rebuilding && vh_stream_caught_up(hs->stream);
}

struct vh_stream *vh_log_stream(struct vh_log_stream *hs)
{
	return hs->stream;
}

int64_t vh_log_stream_age_ms(const struct vh_log_stream *hs)
{
	int64_t fresh = vh_stream_fresh_ms(hs->stream);

	if (fresh == INT64_MIN || hs->rebuilding)
		return INT64_MAX;
	return vh_kernel_now_ms(hs->hub->kernel) - fresh;
}

bool vh_log_stream_is_stale(const struct vh_log_stream *hs)
{
	return vh_log_stream_age_ms(hs) > VH_LOG_STREAM_STALE_MS;
}
