#include "append_limiter.h"

#define BURST_MS 500 /* capacity: this long at the rate, plus one */
#define TOKEN_POLL_MS 5

struct queued_append {
	struct queued_append *next;
	char *stream;
	struct vh_buf bytes;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

static void refill(struct append_limiter *l)
{
	int64_t now = vh_kernel_now_ms(l->kernel);
	double rate = l->appends_per_s / l->count_nodes(l->count_nodes_ctx);
	double capacity = 1 + rate * BURST_MS / VH_MS_PER_S;

	l->tokens += rate * (double)(now - l->refilled_ms) / VH_MS_PER_S;
	if (l->tokens > capacity)
		l->tokens = capacity;
	l->refilled_ms = now;
}

static void append_free(struct queued_append *a)
{
	vh_buf_finish(&a->bytes);
	g_free(a->stream);
	g_free(a);
}

static void send_queued(void *ctx)
{
	struct append_limiter *l = ctx;

	refill(l);
	while (l->queue && l->tokens >= 1) {
		struct queued_append *a = l->queue;

		l->queue = a->next;
		if (!l->queue)
			l->queue_tail = &l->queue;
		l->tokens -= 1;
		l->inner->append(l->inner->ctx, vh_slice_str(a->stream),
				 vh_buf_slice(&a->bytes), a->done, a->arg);
		append_free(a);
	}
	if (l->queue)
		vh_timer_start(&l->timer, TOKEN_POLL_MS);
}

static void
limiter_append(void *ctx, struct vh_slice stream, struct vh_slice bytes,
	       void (*done)(void *arg, enum vh_err err, uint64_t offset),
	       void *arg)
{
	struct append_limiter *l = ctx;
	struct queued_append *a;

	refill(l);
	if (!l->queue && l->tokens >= 1) {
		l->tokens -= 1;
		l->inner->append(l->inner->ctx, stream, bytes, done, arg);
		return;
	}
	a = g_new0(struct queued_append, 1);
	a->stream = vh_slice_dup(stream);
	vh_buf_add_slice(&a->bytes, bytes);
	a->done = done;
	a->arg = arg;
	*l->queue_tail = a;
	l->queue_tail = &a->next;
	if (!vh_timer_pending(&l->timer))
		vh_timer_start(&l->timer, TOKEN_POLL_MS);
}

static void limiter_read(void *ctx, struct vh_slice stream, uint64_t from,
			 size_t max_bytes, int64_t wait_ms,
			 void (*done)(void *arg,
				      const struct vh_log_read *result),
			 void *arg)
{
	struct append_limiter *l = ctx;

	l->inner->read(l->inner->ctx, stream, from, max_bytes, wait_ms, done,
		       arg);
}

void append_limiter_init(struct append_limiter *l, struct vh_kernel *kernel,
			 const struct vh_log_transport *inner,
			 uint32_t appends_per_s,
			 uint32_t (*count_nodes)(void *ctx),
			 void *count_nodes_ctx)
{
	memset(l, 0, sizeof(*l));
	l->kernel = kernel;
	l->inner = inner;
	l->transport.append = limiter_append;
	l->transport.read = limiter_read;
	l->transport.ctx = l;
	l->appends_per_s = appends_per_s ? appends_per_s : 1;
	l->count_nodes = count_nodes;
	l->count_nodes_ctx = count_nodes_ctx;
	l->tokens = 1;
	l->refilled_ms = vh_kernel_now_ms(kernel);
	l->queue_tail = &l->queue;
	vh_timer_init(&l->timer, kernel, send_queued, l);
}

void append_limiter_finish(struct append_limiter *l)
{
	while (l->queue) {
		struct queued_append *a = l->queue;

		l->queue = a->next;
		append_free(a);
	}
	vh_timer_finish(&l->timer);
}
