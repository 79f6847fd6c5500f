#include "append_limiter.h"

#define BURST_MS 500 /* of unused budget is kept */
#define TOKEN_POLL_MS 5

struct queued_append {
	struct queued_append *next;
	char *stream;
	struct vh_buf bytes;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

static void refill(struct budget *b)
{
	int64_t now = vh_kernel_now_ms(b->kernel);
	double rate = b->appends_per_s / b->nodes(b->nodes_ctx);
	double most = 1 + rate * BURST_MS / VH_MS_PER_S;

	b->tokens += rate * (double)(now - b->filled_ms) / VH_MS_PER_S;
	if (b->tokens > most)
		b->tokens = most;
	b->filled_ms = now;
}

static void append_free(struct queued_append *a)
{
	vh_buf_finish(&a->bytes);
	g_free(a->stream);
	g_free(a);
}

static void release(void *ctx)
{
	struct budget *b = ctx;

	refill(b);
	while (b->held && b->tokens >= 1) {
		struct queued_append *a = b->held;

		b->held = a->next;
		if (!b->held)
			b->held_tail = &b->held;
		b->tokens -= 1;
		b->inner->append(b->inner->ctx, vh_slice_str(a->stream),
				 vh_buf_slice(&a->bytes), a->done, a->arg);
		append_free(a);
	}
	if (b->held)
		vh_timer_start(&b->release, TOKEN_POLL_MS);
}

static void
queued_append(void *ctx, struct vh_slice stream, struct vh_slice bytes,
	      void (*done)(void *arg, enum vh_err err, uint64_t offset),
	      void *arg)
{
	struct budget *b = ctx;
	struct queued_append *a;

	refill(b);
	if (!b->held && b->tokens >= 1) {
		b->tokens -= 1;
		b->inner->append(b->inner->ctx, stream, bytes, done, arg);
		return;
	}
	a = g_new0(struct queued_append, 1);
	a->stream = vh_slice_dup(stream);
	vh_buf_add_slice(&a->bytes, bytes);
	a->done = done;
	a->arg = arg;
	*b->held_tail = a;
	b->held_tail = &a->next;
	if (!vh_timer_pending(&b->release))
		vh_timer_start(&b->release, TOKEN_POLL_MS);
}

static void budget_read(void *ctx, struct vh_slice stream, uint64_t from,
			size_t max_bytes, int64_t wait_ms,
			void (*done)(void *arg,
				     const struct vh_log_read *result),
			void *arg)
{
	struct budget *b = ctx;

	b->inner->read(b->inner->ctx, stream, from, max_bytes, wait_ms, done,
		       arg);
}

void append_limiter_init(struct budget *b, struct vh_kernel *kernel,
			 const struct vh_log_transport *inner,
			 uint32_t appends_per_s, uint32_t (*nodes)(void *ctx),
			 void *nodes_ctx)
{
	memset(b, 0, sizeof(*b));
	b->kernel = kernel;
	b->inner = inner;
	b->transport.append = queued_append;
	b->transport.read = budget_read;
	b->transport.ctx = b;
	b->appends_per_s = appends_per_s ? appends_per_s : 1;
	b->nodes = nodes;
	b->nodes_ctx = nodes_ctx;
	b->tokens = 1;
	b->filled_ms = vh_kernel_now_ms(kernel);
	b->held_tail = &b->held;
	vh_timer_init(&b->release, kernel, release, b);
}

void append_limiter_finish(struct budget *b)
{
	while (b->held) {
		struct queued_append *a = b->held;

		b->held = a->next;
		append_free(a);
	}
	vh_timer_finish(&b->release);
}
