#include "vh/kernel.h"

#include "vh/log.h"

#define MAX_SERIES 4096

/*
 * Priorities of events. libevent gives new events the middle one. It calls events
 * of one priority only if none of a higher priority was active after a new poll;
 * those of the same priority follow each other without a poll between them.
 */
enum {
	PRIORITY_DEFAULT = 2,
	PRIORITY_YIELD,
	PRIORITY_IDLE,
	N_PRIORITIES
};

G_STATIC_ASSERT(PRIORITY_DEFAULT == N_PRIORITIES / 2);

void vh_kernel_init(struct vh_kernel *kernel, const struct vh_clock *clock)
{
	memset(kernel, 0, sizeof(*kernel));
	kernel->base = event_base_new();
	event_base_priority_init(kernel->base, N_PRIORITIES);
	kernel->clock = clock;
	vh_metrics_init(&kernel->metrics, MAX_SERIES);
}

void vh_kernel_finish(struct vh_kernel *kernel)
{
	vh_metrics_finish(&kernel->metrics);
	event_base_free(kernel->base);
	memset(kernel, 0, sizeof(*kernel));
}

void vh_kernel_add(struct vh_kernel *kernel, struct vh_service *service)
{
	struct vh_service **tail = &kernel->services;

	while (*tail)
		tail = &(*tail)->next;
	service->next = NULL;
	service->drained = false;
	*tail = service;
}

struct vh_service *vh_kernel_find(const struct vh_kernel *kernel,
				  const char *name)
{
	for (struct vh_service *s = kernel->services; s; s = s->next) {
		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

/* Stops all services that precede @end, in reverse order of start. */
static void stop_before(struct vh_kernel *kernel, struct vh_service *end)
{
	while (kernel->services != end) {
		struct vh_service *last = kernel->services;

		while (last->next != end)
			last = last->next;
		if (last->stop)
			last->stop(last->self);
		end = last;
	}
}

bool vh_kernel_start(struct vh_kernel *kernel, GError **err)
{
	for (struct vh_service *s = kernel->services; s; s = s->next) {
		if (s->start && !s->start(s->self, kernel, err)) {
			stop_before(kernel, s);
			return false;
		}
	}
	return true;
}

void vh_kernel_run(struct vh_kernel *kernel)
{
	kernel->stopped = false;
	event_base_loop(kernel->base, EVLOOP_NO_EXIT_ON_EMPTY);
	kernel->stopped = true;
	stop_before(kernel, NULL);
}

/* Drains the last service not yet drained; if there is none, exits the loop. */
static void drain_next(struct vh_kernel *kernel)
{
	struct vh_service *next = NULL;

	for (struct vh_service *s = kernel->services; s; s = s->next) {
		if (!s->drained)
			next = s;
	}
	if (!next) {
		vh_kernel_stop(kernel);
		return;
	}
	if (next->drain) {
		vh_log(G_LOG_LEVEL_INFO, "draining", "service", next->name,
		       NULL);
		next->drain(next->self);
		return;
	}
	vh_kernel_drained(kernel, next);
}

void vh_kernel_drain(struct vh_kernel *kernel)
{
	if (kernel->draining)
		return;
	kernel->draining = true;
	drain_next(kernel);
}

void vh_kernel_drained(struct vh_kernel *kernel, struct vh_service *service)
{
	if (service->drained)
		return;
	service->drained = true;
	drain_next(kernel);
}

void vh_kernel_stop(struct vh_kernel *kernel)
{
	event_base_loopbreak(kernel->base);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct vh_timer *timer = ctx;

	(void)fd;
	(void)what;
	timer->fn(timer->ctx);
}

void vh_timer_init(struct vh_timer *timer, struct vh_kernel *kernel,
		   void (*fn)(void *ctx), void *ctx)
{
	timer->fn = fn;
	timer->ctx = ctx;
	timer->ev = evtimer_new(kernel->base, on_timer, timer);
}

void vh_timer_finish(struct vh_timer *timer)
{
	if (timer->ev)
		event_free(timer->ev);
	timer->ev = NULL;
}

void vh_timer_yield(struct vh_timer *timer)
{
	event_priority_set(timer->ev, PRIORITY_YIELD);
}

void vh_timer_wait_idle(struct vh_timer *timer)
{
	event_priority_set(timer->ev, PRIORITY_IDLE);
}

void vh_timer_start(struct vh_timer *timer, int64_t delay_ms)
{
	struct timeval tv;

	if (delay_ms < 0)
		delay_ms = 0;
	tv.tv_sec = (time_t)(delay_ms / VH_MS_PER_S);
	tv.tv_usec = (suseconds_t)(delay_ms % VH_MS_PER_S) * 1000;
	evtimer_add(timer->ev, &tv);
}

void vh_timer_stop(struct vh_timer *timer)
{
	evtimer_del(timer->ev);
}

bool vh_timer_pending(const struct vh_timer *timer)
{
	return evtimer_pending(timer->ev, NULL) != 0;
}

struct deferred_call {
	void (*fn)(void *ctx);
	void *ctx;
};

static void run_deferred(evutil_socket_t fd, short what, void *ctx)
{
	struct deferred_call d = *(struct deferred_call *)ctx;

	(void)fd;
	(void)what;
	g_free(ctx);
	d.fn(d.ctx);
}

void vh_kernel_defer(struct vh_kernel *kernel, void (*fn)(void *ctx), void *ctx)
{
	struct deferred_call *d = g_new(struct deferred_call, 1);
	struct timeval now = { 0, 0 };

	d->fn = fn;
	d->ctx = ctx;
	event_base_once(kernel->base, -1, EV_TIMEOUT, run_deferred, d, &now);
}
