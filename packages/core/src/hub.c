#include "hub.h"

#define MAX_WAITING_BYTES (4u << 20)
#define MAX_BATCH_BYTES (256u << 10)
#define REPLY_TIMEOUT_MS 3000
#define POLL_WAIT_MS 2000

struct vh_hub_stream {
	struct vh_hub *hub;
	struct vh_stream *stream;
	struct vh_timer timer;
	char *name;
	unsigned int pending; /* transport calls that will still call back */
	bool closed;
};

struct append_call {
	struct vh_hub_stream *hs;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

struct read_call {
	struct vh_hub_stream *hs;
	void (*done)(void *arg, const struct vh_log_read *result);
	void *arg;
};

static void stream_release(struct vh_hub_stream *hs)
{
	vh_timer_finish(&hs->timer);
	g_free(hs->name);
	g_free(hs);
}

static void call_over(struct vh_hub_stream *hs)
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
	struct vh_hub_stream *hs = ctx;
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
	struct vh_hub_stream *hs = ctx;
	const struct vh_log_transport *t = hs->hub->transport;
	struct read_call *call = g_new(struct read_call, 1);

	call->hs = hs;
	call->done = done;
	call->arg = arg;
	hs->pending++;
	t->read(t->ctx, stream, from, max_bytes, wait_ms, read_over, call);
}

static void hub_tick(void *ctx)
{
	struct vh_hub_stream *hs = ctx;
	int64_t now = vh_kernel_now_ms(hs->hub->kernel);
	int64_t next = vh_stream_tick(hs->stream, now);

	if (!hs->closed && next != INT64_MAX && !vh_timer_pending(&hs->timer))
		vh_timer_start(&hs->timer, next - now);
}

void vh_hub_init(struct vh_hub *hub, struct vh_kernel *kernel,
		 const struct vh_log_transport *transport,
		 struct vh_slice writer, int64_t min_gap_ms)
{
	hub->kernel = kernel;
	hub->transport = transport;
	hub->writer = writer;
	hub->min_gap_ms = min_gap_ms;
	hub->next_seed = vh_slice_hash(writer, 0);
}

struct vh_hub_stream *vh_hub_open(struct vh_hub *hub, struct vh_slice name,
				  uint64_t epoch,
				  const struct vh_stream_callbacks *callbacks)
{
	struct vh_hub_stream *hs = g_new0(struct vh_hub_stream, 1);
	struct vh_log_transport transport = { hub_append, hub_read, hs };
	struct vh_stream_settings settings = {
		.writer = hub->writer,
		.max_waiting_bytes = MAX_WAITING_BYTES,
		.max_batch_bytes = MAX_BATCH_BYTES,
		.min_gap_ms = hub->min_gap_ms,
		.reply_timeout_ms = REPLY_TIMEOUT_MS,
		.poll_wait_ms = POLL_WAIT_MS,
		.seed = hub->next_seed++,
	};

	hs->hub = hub;
	hs->name = vh_slice_dup(name);
	settings.name = vh_slice_str(hs->name);
	vh_timer_init(&hs->timer, hub->kernel, hub_tick, hs);
	hs->stream = vh_stream_new(&settings, &transport, callbacks);
	vh_stream_set_epoch(hs->stream, epoch);
	vh_stream_start(hs->stream, 1, vh_kernel_now_ms(hub->kernel));
	vh_timer_start(&hs->timer, 0);
	return hs;
}

void vh_hub_close(struct vh_hub_stream *hs)
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

void vh_hub_append(struct vh_hub_stream *hs, enum vh_rec_kind kind,
		   struct vh_slice body,
		   void (*done)(void *arg, enum vh_err err, uint64_t offset),
		   void *arg)
{
	vh_stream_append(hs->stream, kind, body, done, arg);
	vh_timer_start(&hs->timer, 0);
}

void vh_hub_restart(struct vh_hub_stream *hs, uint64_t from)
{
	vh_stream_start(hs->stream, from, vh_kernel_now_ms(hs->hub->kernel));
	vh_timer_start(&hs->timer, 0);
}

struct vh_stream *vh_hub_stream(struct vh_hub_stream *hs)
{
	return hs->stream;
}

int64_t vh_hub_age_ms(const struct vh_hub_stream *hs)
{
	int64_t fresh = vh_stream_fresh_ms(hs->stream);

	if (fresh == INT64_MIN)
		return INT64_MAX;
	return vh_kernel_now_ms(hs->hub->kernel) - fresh;
}

bool vh_hub_down(const struct vh_hub_stream *hs)
{
	return vh_hub_age_ms(hs) > VH_HUB_DOWN_MS;
}
