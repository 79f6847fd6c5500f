#include "run_timer.h"

/*
 * Replies of workers, reads and writes of the store and requests of other nodes
 * are handled before a run. When a run begins because of @latest, the sockets
 * that were ready together with it have been read, since libevent adds timers
 * that have expired behind them.
 */
static void on_due(void *ctx)
{
	struct run_timer *t = ctx;
	int64_t late = vh_kernel_now_ms(t->kernel) - t->due_ms;

	vh_timer_stop(&t->yielding);
	vh_timer_stop(&t->latest);
	t->delay_ms = late > 0 ? late : 0;
	t->fn(t->ctx);
}

void run_timer_init(struct run_timer *t, struct vh_kernel *kernel,
		    int64_t latest_ms, void (*fn)(void *ctx), void *ctx)
{
	t->kernel = kernel;
	t->latest_ms = latest_ms;
	t->fn = fn;
	t->ctx = ctx;
	vh_timer_init(&t->yielding, kernel, on_due, t);
	vh_timer_yield(&t->yielding);
	vh_timer_init(&t->latest, kernel, on_due, t);
}

void run_timer_finish(struct run_timer *t)
{
	vh_timer_finish(&t->yielding);
	vh_timer_finish(&t->latest);
}

void run_timer_start(struct run_timer *t, int64_t delay_ms)
{
	t->due_ms = vh_kernel_now_ms(t->kernel) + delay_ms;
	vh_timer_start(&t->yielding, delay_ms);
	vh_timer_start(&t->latest, delay_ms + t->latest_ms);
}

bool run_timer_pending(const struct run_timer *t)
{
	return vh_timer_pending(&t->latest);
}
