#ifndef VH_KERNEL_H
#define VH_KERNEL_H

#include <event2/event.h>
#include <stdbool.h>

#include "vh/clock.h"
#include "vh/error.h"
#include "vh/metrics.h"

struct vh_kernel;

/**
 * struct vh_service - one part of the daemon, found by name
 * @name: unique, constant
 * @self: the part's own state; passed to all callbacks
 * @ops: the part's table of operations, typed in the part's header; may be NULL
 * @start: begins work; false and an error if it cannot. May be NULL.
 * @drain: stops taking new work and calls vh_kernel_drained() once nothing
 *	   that it holds would be cut off. NULL if it holds nothing.
 * @stop: gives back everything; called in reverse order of start. May be NULL.
 * @next: used by the kernel
 * @drained: used by the kernel
 */
struct vh_service {
	const char *name;
	void *self;
	const void *ops;
	bool (*start)(void *self, struct vh_kernel *kernel, GError **err);
	void (*drain)(void *self);
	void (*stop)(void *self);
	struct vh_service *next;
	bool drained;
};

/**
 * struct vh_kernel - the loop, the clock, the counters and the services
 *
 * One loop on one thread. Services are added before vh_kernel_run() and
 * started in the order in which they were added.
 */
struct vh_kernel {
	struct event_base *base;
	const struct vh_clock *clock;
	struct vh_metrics metrics;
	struct vh_service *services;
	bool draining;
	bool stopped;
};

void vh_kernel_init(struct vh_kernel *kernel, const struct vh_clock *clock);
void vh_kernel_finish(struct vh_kernel *kernel);

/* vh_kernel_add - the service is borrowed until vh_kernel_finish() */
void vh_kernel_add(struct vh_kernel *kernel, struct vh_service *service);

/* vh_kernel_find - the service of that name, or NULL */
struct vh_service *vh_kernel_find(const struct vh_kernel *kernel,
				  const char *name);

/* vh_kernel_start - starts all; on an error stops those already started */
bool vh_kernel_start(struct vh_kernel *kernel, GError **err);

/* vh_kernel_run - runs until vh_kernel_stop() or the end of a drain */
void vh_kernel_run(struct vh_kernel *kernel);

/* vh_kernel_drain - begins a graceful stop; drains services in reverse order,
 * each one when the one added after it has drained */
void vh_kernel_drain(struct vh_kernel *kernel);

/* vh_kernel_drained - called by a service when its drain is complete */
void vh_kernel_drained(struct vh_kernel *kernel, struct vh_service *service);

/* vh_kernel_stop - leaves the loop at once */
void vh_kernel_stop(struct vh_kernel *kernel);

/**
 * struct vh_timer - a timer that calls back on the loop
 *
 * It fires once for each vh_timer_start(); starting again moves it.
 */
struct vh_timer {
	struct event *ev;
	void (*fn)(void *ctx);
	void *ctx;
};

void vh_timer_init(struct vh_timer *timer, struct vh_kernel *kernel,
		   void (*fn)(void *ctx), void *ctx);
void vh_timer_finish(struct vh_timer *timer);
void vh_timer_start(struct vh_timer *timer, int64_t delay_ms);
void vh_timer_stop(struct vh_timer *timer);
bool vh_timer_pending(const struct vh_timer *timer);

/* vh_kernel_defer - calls @fn once from the loop, soon; for breaking cycles */
void vh_kernel_defer(struct vh_kernel *kernel, void (*fn)(void *ctx),
		     void *ctx);

static inline int64_t vh_kernel_now_ms(const struct vh_kernel *kernel)
{
	return vh_clock_ms(kernel->clock);
}

#endif
