#ifndef CELL_RUN_TIMER_H
#define CELL_RUN_TIMER_H

/*
 * Timer of the owner's scheduling runs, which give way to all other events of
 * the loop, but not for long. Used by owner.c; internal to the package.
 */

#include "vh/kernel.h"

/**
 * struct run_timer
 * @yielding: fires when no other event is ready
 * @latest: fires @latest_ms later than that is due, if others are always ready
 * @due_ms: when the run is due
 * @delay_ms: how late the last run began, which is the delay of the loop
 */
struct run_timer {
	struct vh_kernel *kernel;
	struct vh_timer yielding;
	struct vh_timer latest;
	int64_t latest_ms;
	int64_t due_ms;
	int64_t delay_ms;
	void (*fn)(void *ctx);
	void *ctx;
};

void run_timer_init(struct run_timer *t, struct vh_kernel *kernel,
		    int64_t latest_ms, void (*fn)(void *ctx), void *ctx);
void run_timer_finish(struct run_timer *t);
void run_timer_start(struct run_timer *t, int64_t delay_ms);
bool run_timer_pending(const struct run_timer *t);

#endif
