#ifndef VH_KERNEL_H
#define VH_KERNEL_H

/*
 * Event loop of a program, with timers, and services that it starts, drains and
 * stops in order. Used by the daemon, platform/main.c and the stand-ins, and by
 * the packages cell, core, gateway, peer and platform.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "vh/clock.h"
#include "vh/error.h"
#include "vh/metrics.h"

struct vh_kernel;

/**
 * struct vh_service - a component of the daemon, registered by name
 * @name: unique, constant
 * @self: the service's state; passed to all callbacks
 * @ops: the service's operations, typed in its own header; may be NULL
 * @start: starts the service; returns false and sets the error on failure. May
 *	   be NULL.
 * @drain: stops accepting new work and calls vh_kernel_drained() once a stop
 *	   would interrupt no work. NULL if the service holds no work.
 * @stop: releases all resources; called in reverse order of start. May be NULL.
 * @next: private to the kernel
 * @drained: private to the kernel
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
 * struct vh_kernel - the event loop, clock, metrics and list of services
 *
 * There is one event loop on one thread. Services are added before
 * vh_kernel_start(), which starts them in the order in which they were added.
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

/* vh_kernel_add - registers a service; the caller keeps ownership and must not
 * free it before vh_kernel_finish() */
void vh_kernel_add(struct vh_kernel *kernel, struct vh_service *service);

/* vh_kernel_find - returns the service with that name, or NULL */
struct vh_service *vh_kernel_find(const struct vh_kernel *kernel,
				  const char *name);

/* vh_kernel_start - starts all services; on an error, stops those already
 * started */
bool vh_kernel_start(struct vh_kernel *kernel, GError **err);

/* vh_kernel_run - runs the event loop until vh_kernel_stop() or the end of a
 * drain, then stops all services */
void vh_kernel_run(struct vh_kernel *kernel);

/* vh_kernel_drain - begins a graceful shutdown; drains the services one at a
 * time, in reverse order of their addition */
void vh_kernel_drain(struct vh_kernel *kernel);

/* vh_kernel_drained - to be called by a service when its drain is complete */
void vh_kernel_drained(struct vh_kernel *kernel, struct vh_service *service);

/* vh_kernel_stop - exits the event loop without draining */
void vh_kernel_stop(struct vh_kernel *kernel);

/**
 * struct vh_timer - a one-shot timer on the event loop
 *
 * It fires once per vh_timer_start(); starting a pending timer reschedules it.
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

/* vh_timer_yield - the timer fires only when no socket, other timer or deferred
 * call is ready; to be called before it is started */
void vh_timer_yield(struct vh_timer *timer);

/* vh_timer_wait_idle - the timer fires only when the sockets have just been
 * polled and nothing else is ready, timers that yield included; to be called
 * before it is started. On a loop that is never idle it does not fire. */
void vh_timer_wait_idle(struct vh_timer *timer);

/* vh_kernel_defer - calls @fn once from the next pass of the event loop; for
 * code that must not call back directly */
void vh_kernel_defer(struct vh_kernel *kernel, void (*fn)(void *ctx),
		     void *ctx);

static inline int64_t vh_kernel_now_ms(const struct vh_kernel *kernel)
{
	return vh_clock_ms(kernel->clock);
}

#endif
