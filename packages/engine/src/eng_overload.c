#include "eng_priv.h"

/*
 * Recognition of overload, by service, and room kept for urgent work.
 *
 * A service is overloaded when the usual order of eng_order.c would make steps
 * late that could still be in time: the room that the steps ahead of them need
 * takes longer to come free than their slack. Room comes free at the rate of
 * the capacity divided by the time for which a task usually holds its room. See
 * docs/design/overload-order.md.
 */
#define BEGIN_SHARE 0.1	   /* of the capacity at risk, for overload to begin */
#define BEGIN_AFTER_MS 300 /* shorter bursts keep the usual order */
#define END_SHARE 0.02	   /* of the capacity at risk, for overload to end */
#define END_AFTER_MS 1000
#define HOLD_TURNOVERS 4 /* of the capacity, in the mean of holding times */
#define URGENT_PRIORITY 0
#define YIELDING_PRIORITY 2 /* from this on, work leaves the headroom free */
#define HEADROOM_SHARE_MAX 0.15 /* bound, of the capacity */
#define HEADROOM_USED_SHARE 0.8 /* of the capacity, from which it is kept */
#define URGENT_WINDOW_MS 250	/* of one sample of the urgent arrivals */
#define URGENT_EWMA_WEIGHT 0.15 /* of a sample: about 1.5 s of memory */

struct pool *eng_pool_get(struct engine *e, const char *service)
{
	struct pool *p;

	for (guint i = 0; i < e->pools->len; i++) {
		p = e->pools->pdata[i];
		if (p->service == service)
			return p;
	}
	p = g_new0(struct pool, 1);
	p->service = service;
	g_ptr_array_add(e->pools, p);
	return p;
}

static int64_t task_cpu(const struct step *s)
{
	return s->spec->filler ? 0 : s->spec->need.cpu_milli;
}

int64_t eng_step_cpu(const struct step *s)
{
	return task_cpu(s) * s->n_waiting;
}

static double usual_ms(const struct step *s)
{
	return (double)MAX(s->spec->estimate_ms, 1) *
	       s->job->queue->usual_ratio;
}

static double share_of(int64_t need, int64_t capacity)
{
	return capacity > 0 ? (double)need / (double)capacity : 0;
}

double eng_step_work(const struct step *s, uint32_t n)
{
	const struct eng_resources *need = &s->spec->need;
	const struct eng_resources *all = &s->job->pool->capacity;
	double share = share_of(task_cpu(s), all->cpu_milli);

	share = MAX(share, share_of(need->mem_mb, all->mem_mb));
	share = MAX(share, share_of(need->gpu, all->gpu));
	return share * n * usual_ms(s);
}

/*
 * Before the first run has ended, as after a takeover, the estimates of the
 * waiting tasks stand in for measured times.
 */
static double hold_ms(const struct pool *p)
{
	if (p->hold_cpu > 0)
		return p->hold_work / p->hold_cpu;
	return p->waiting_cpu ? p->waiting_work / (double)p->waiting_cpu : 0;
}

int64_t eng_pool_wait_ms(const struct pool *p, int64_t cpu)
{
	if (cpu <= p->free_cpu || !p->capacity.cpu_milli)
		return 0;
	return (int64_t)((double)(cpu - p->free_cpu) * hold_ms(p) /
			 (double)p->capacity.cpu_milli);
}

static void clear_inputs(struct pool *p)
{
	memset(&p->capacity, 0, sizeof(p->capacity));
	p->free_cpu = 0;
	p->waiting_cpu = 0;
	p->waiting_tasks = 0;
	p->waiting_work = 0;
	p->at_risk_cpu = 0;
	p->ahead_cpu = 0;
	p->others_wait = false;
}

static bool can_be_in_time(const struct step *s)
{
	return s->tier == TIER_IN_TIME || s->tier == TIER_OVER_SHARE;
}

static void add_waiting(const GPtrArray *steps)
{
	for (guint i = 0; i < steps->len; i++) {
		const struct step *s = steps->pdata[i];
		struct pool *p = s->job->pool;

		if (!can_be_in_time(s))
			continue;
		p->waiting_cpu += eng_step_cpu(s);
		p->waiting_tasks += s->n_waiting;
		p->waiting_work += (double)eng_step_cpu(s) * usual_ms(s);
	}
}

/* Parts of a worker that are too small for the usual task do not count. */
static int64_t usable_free_cpu(const struct pool *p, const struct worker *w)
{
	int64_t free = MAX(eng_free_resources(w).cpu_milli, 0);
	int64_t usual =
		p->waiting_tasks ? p->waiting_cpu / p->waiting_tasks : 0;

	return usual ? free / usual * usual : free;
}

static void add_workers(struct engine *e)
{
	struct pool *p = NULL;

	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		if (!eng_worker_usable(e, w))
			continue;
		if (!p || p->service != w->service)
			p = eng_pool_get(e, w->service);
		p->capacity.cpu_milli += w->capacity.cpu_milli;
		p->capacity.mem_mb += w->capacity.mem_mb;
		p->capacity.gpu += w->capacity.gpu;
		p->free_cpu += usable_free_cpu(p, w);
	}
}

/* What could be in time if it were placed now, but not in the usual order. */
static void add_at_risk(const struct engine *e, const GPtrArray *steps)
{
	for (guint i = 0; i < steps->len; i++) {
		const struct step *s = steps->pdata[i];
		struct pool *p = s->job->pool;
		int64_t spare_ms = s->latest_start_ms - e->now_ms;

		if (!can_be_in_time(s))
			continue;
		p->ahead_cpu += eng_step_cpu(s);
		if (spare_ms >= 0 &&
		    spare_ms < eng_pool_wait_ms(p, p->ahead_cpu))
			p->at_risk_cpu += eng_step_cpu(s);
	}
}

static void report_change(const struct engine *e, const struct pool *p)
{
	struct eng_overload_event event = {
		.service = eng_str(p->service),
		.active = p->overloaded,
		.lasted_ms = p->overloaded ? 0 : e->now_ms - p->since_ms,
		.cpu_capacity = p->capacity.cpu_milli,
		.free_cpu = p->free_cpu,
		.waiting_cpu = p->waiting_cpu,
		.at_risk_cpu = p->at_risk_cpu,
		.hold_ms = (int64_t)hold_ms(p),
	};

	if (e->callbacks.overload)
		e->callbacks.overload(e->callbacks.ctx, &event);
}

static void update_state(const struct engine *e, struct pool *p)
{
	double share = p->overloaded ? END_SHARE : BEGIN_SHARE;
	int64_t after_ms = p->overloaded ? END_AFTER_MS : BEGIN_AFTER_MS;
	bool at_risk =
		(double)p->at_risk_cpu > share * (double)p->capacity.cpu_milli;

	if (at_risk == p->overloaded) {
		p->change_since_ms = 0;
		return;
	}
	if (!p->change_since_ms)
		p->change_since_ms = e->now_ms;
	if (e->now_ms - p->change_since_ms < after_ms)
		return;
	p->change_since_ms = 0;
	p->overloaded = at_risk;
	report_change(e, p);
	p->since_ms = e->now_ms;
}

static void update_urgent_rate(const struct engine *e, struct pool *p)
{
	int64_t elapsed_ms = e->now_ms - p->urgent_from_ms;

	if (elapsed_ms < URGENT_WINDOW_MS)
		return;
	p->urgent_rate +=
		URGENT_EWMA_WEIGHT *
		(p->urgent_arrived / (double)elapsed_ms - p->urgent_rate);
	p->urgent_arrived = 0;
	p->urgent_from_ms = e->now_ms;
}

/* What urgent arrivals keep busy, less what urgent tasks hold already. */
static void update_headroom(const struct engine *e, struct pool *p)
{
	double cpu = (double)p->capacity.cpu_milli;
	double used = cpu - (double)p->free_cpu;

	update_urgent_rate(e, p);
	p->headroom = 0;
	if (!p->overloaded || used < HEADROOM_USED_SHARE * cpu)
		return;
	p->headroom = (int64_t)CLAMP(p->urgent_rate - (double)p->urgent_used, 0,
				     HEADROOM_SHARE_MAX * cpu);
}

bool eng_overload_update(struct engine *e, const GPtrArray *steps)
{
	bool any = false;

	for (guint i = 0; i < e->pools->len; i++)
		clear_inputs(e->pools->pdata[i]);
	add_waiting(steps);
	add_workers(e);
	add_at_risk(e, steps);
	for (guint i = 0; i < e->pools->len; i++) {
		struct pool *p = e->pools->pdata[i];

		update_state(e, p);
		update_headroom(e, p);
		any |= p->overloaded;
	}
	return any;
}

void eng_overload_job_added(struct engine *e, const struct job *j)
{
	if (!e->ready || j->spec->priority != URGENT_PRIORITY)
		return;
	for (size_t i = 0; i < j->spec->n_steps; i++) {
		const struct step *s = &j->steps[i];

		j->pool->urgent_arrived +=
			(double)(task_cpu(s) * s->spec->n_tasks) * usual_ms(s);
	}
}

void eng_overload_assigned(const struct task *t)
{
	if (t->step->job->spec->priority == URGENT_PRIORITY)
		t->step->job->pool->urgent_used += task_cpu(t->step);
}

void eng_overload_released(const struct engine *e, const struct task *t)
{
	struct pool *p = t->step->job->pool;
	int64_t cpu = task_cpu(t->step);

	if (t->step->job->spec->priority == URGENT_PRIORITY)
		p->urgent_used -= cpu;
	/* Not sent, or sent by a former owner: its time is not known. */
	if (!t->first_sent_ms)
		return;
	p->hold_work += (double)(cpu * (e->now_ms - t->first_sent_ms));
	p->hold_cpu += (double)cpu;
	if (p->hold_cpu < HOLD_TURNOVERS * (double)p->capacity.cpu_milli)
		return;
	p->hold_work /= 2;
	p->hold_cpu /= 2;
}

bool eng_headroom_allows(const struct step *s, int64_t n)
{
	const struct pool *p = s->job->pool;

	if (!p->headroom || s->job->spec->priority < YIELDING_PRIORITY)
		return true;
	return p->free_cpu - task_cpu(s) * n >= p->headroom;
}
