#include "eng_priv.h"

/*
 * Placement of waiting tasks on workers.
 *
 * Designed for a cluster with 80 % mean load and bursts that double the load of
 * one class of jobs. Steps are placed in tiers: first those that can still meet
 * the objective of their job; then late ones that complete before the cutoff;
 * then those in time of jobs that exceeded the share of their team; last all
 * others. Within a tier, steps are ordered by the priority of the job, then by
 * latest start time.
 */
#define CRITICAL_PATH_FACTOR 0.8 /* of the critical path, in step_tier() */
#define FAILURE_SCORE_LIMIT 2.5	 /* score at which a worker is avoided */
#define FAILURE_SCORE_RESUME 1.5 /* score that it is reset to then */
#define FAILURE_AVOID_MS 3000	 /* how long it is avoided */
#define CORE_MILLI 1000		 /* thousandths of a processor */

/* Terms of cost(), in the unit of one processor left free. */
#define LATENCY_COST_PER_MS 0.15 /* of start latency, for short steps */
#define DATA_RACK_BONUS 1000 /* for a worker in the rack of the step's data */
#define FAILURE_COST 4	     /* per point of the failure score */
#define RESERVED_COST 500.0  /* for a worker that a gang waits for */
#define TRIAL_COST 500.0     /* for a worker with a task on trial */
#define TRIAL_COST_PER_MS 5  /* of start latency, for a task on trial */
#define AT_RISK_COST 50.0    /* per task that one on trial may take with it */

enum tier {
	TIER_IN_TIME,
	TIER_LATE,
	TIER_OVER_SHARE, /* in time, but beyond the share of its team */
	TIER_LAST	 /* past the cutoff, or late and over the share */
};

static enum tier step_tier(const struct engine *e, const struct step *s)
{
	int64_t end = e->now_ms + (int64_t)(CRITICAL_PATH_FACTOR *
					    (double)s->critical_path_ms);

	if (s->job->over_share)
		return end <= s->job->due_ms ? TIER_OVER_SHARE : TIER_LAST;
	if (end <= s->job->due_ms)
		return TIER_IN_TIME;
	return end <= s->job->cutoff_ms ? TIER_LATE : TIER_LAST;
}

static int by_tier(gconstpointer a, gconstpointer b)
{
	const struct step *x = *(const struct step *const *)a;
	const struct step *y = *(const struct step *const *)b;
	const struct eng_job_spec *p = x->job->spec;
	const struct eng_job_spec *q = y->job->spec;

	if (x->tier != y->tier)
		return x->tier < y->tier ? -1 : 1;
	if (p->priority != q->priority)
		return p->priority < q->priority ? -1 : 1;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	return p->id < q->id ? -1 : p->id > q->id;
}

static bool placement_allowed(const struct step *s, const struct engine *e,
			      const struct worker *w)
{
	const struct worker_advice *a;

	if (!s->job->spec->advice.needed)
		return true;
	a = eng_advice_find(s, w);
	return a && eng_ticket_valid(e, a);
}

static void avoid_failing_workers(struct engine *e)
{
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];

		if (w->failure_score < FAILURE_SCORE_LIMIT)
			continue;
		w->failure_score = FAILURE_SCORE_RESUME;
		w->avoid_until_ms = e->now_ms + FAILURE_AVOID_MS;
	}
}

/*
 * Cost of placing a task on a worker; lower is better. Prefers a tight fit, few
 * failures, low latency for short steps, and the rack of the step's data. Keeps
 * tasks on trial, see eng_loss.c, and other work apart.
 */
static double cost(const struct engine *e, const struct step *s,
		   const struct worker *w, bool on_trial)
{
	double left = (double)(w->capacity.cpu_milli - w->used.cpu_milli -
			       s->spec->need.cpu_milli) /
		      CORE_MILLI;
	double c = left + FAILURE_COST * w->failure_score +
		   LATENCY_COST_PER_MS * eng_worker_latency_ms(w, s);

	if (eng_worker_trial_active(e, w))
		c += TRIAL_COST;
	/* A near one, since a reply that is faster than the crash proves that
	 * the run had started. */
	if (on_trial)
		c += AT_RISK_COST * w->tasks->len +
		     TRIAL_COST_PER_MS * w->start_latency_ms;
	/* Keeps tasks that are placed before a waiting gang off its workers. */
	if (eng_recently_reserved(e, w))
		c += RESERVED_COST;
	if (s->spec->rack.len) {
		for (char **l = w->labels; *l; l++) {
			if (vh_slice_eq_str(s->spec->rack, *l))
				return c - DATA_RACK_BONUS;
		}
	}
	return c;
}

/* The best worker found so far. */
struct choice {
	struct worker *w;
	double cost;
};

static void update_best(struct engine *e, const struct task *t,
			struct worker *w, struct choice *best)
{
	bool on_trial = eng_task_needs_trial(t);
	double c;

	if (!eng_free_slots(e, t->step, w))
		return;
	/* Two trials at once could not be told apart. */
	if (on_trial && eng_worker_trial_starting(e, w))
		return;
	c = cost(e, t->step, w, on_trial);
	if (best->w &&
	    (c > best->cost || (c == best->cost && w->index > best->w->index)))
		return;
	best->w = w;
	best->cost = c;
}

static struct worker *best_worker(struct engine *e, const struct task *t)
{
	struct step *s = t->step;
	struct choice best = { NULL, 0 };
	GHashTableIter it;
	gpointer w;
	gpointer a;

	if (!s->job->spec->advice.needed) {
		for (guint i = 0; i < e->worker_list->len; i++)
			update_best(e, t, e->worker_list->pdata[i], &best);
		return best.w;
	}
	g_hash_table_iter_init(&it, s->advice_by_worker);
	while (g_hash_table_iter_next(&it, &w, &a)) {
		if (eng_ticket_valid(e, a))
			update_best(e, t, w, &best);
	}
	return best.w;
}

static void place_task(struct engine *e, struct task *t, struct worker *w,
		       uint32_t run)
{
	eng_task_assign(e, t, w);
	t->run = run;
	t->store_batch = e->open_batch;
	eng_task_set_state(e, t, TASK_STORING);
	g_queue_push_tail(&e->storing, t);
	eng_report_decision(e, "place", t, w);
}

static void place_tasks(struct engine *e, struct step *s)
{
	for (uint32_t k = 0; k < s->spec->n_tasks && s->n_waiting; k++) {
		struct task *t = &s->tasks[k];
		struct worker *w;

		if (t->worker || t->done)
			continue;
		if (!eng_team_quota_allows(s, 1))
			return;
		w = best_worker(e, t);
		if (!w)
			return;
		place_task(e, t, w, t->run + 1);
	}
}

/* The tasks of a gang that one worker can take. */
struct part {
	struct worker *w;
	uint32_t slots;
	double cost;
};

static int by_slots(const void *a, const void *b)
{
	const struct part *x = a;
	const struct part *y = b;

	if (x->slots != y->slots)
		return x->slots < y->slots ? 1 : -1;
	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->w->index < y->w->index ? -1 : 1;
}

static uint32_t next_gang_run(const struct step *s)
{
	uint32_t run = 0;

	for (uint32_t k = 0; k < s->spec->n_tasks; k++)
		run = MAX(run, s->tasks[k].run);
	return run + 1;
}

static void place_gang_parts(struct engine *e, struct step *s,
			     const struct part *parts)
{
	uint32_t run = next_gang_run(s);
	uint32_t left = parts->slots;

	for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
		if (!left)
			left = (++parts)->slots;
		place_task(e, &s->tasks[k], parts->w, run);
		left--;
	}
}

/* Places all tasks of a gang, or none. */
static void place_gang(struct engine *e, struct step *s)
{
	struct part *parts;
	uint64_t n_slots = 0;
	size_t n = 0;

	if (s->n_placed || !eng_team_quota_allows(s, s->spec->n_tasks))
		return;
	parts = g_new(struct part, e->worker_list->len + 1);
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];
		uint32_t slots = placement_allowed(s, e, w)
					 ? eng_free_slots(e, s, w)
					 : 0;

		if (!slots)
			continue;
		parts[n++] = (struct part){ w, slots, cost(e, s, w, false) };
		n_slots += slots;
	}
	if (n_slots >= s->spec->n_tasks) {
		qsort(parts, n, sizeof(*parts), by_slots);
		place_gang_parts(e, s, parts);
	}
	g_free(parts);
}

/* Logs why a step waits, once per change of the reason. */
static void report_wait(struct engine *e, struct step *s, const char *reason)
{
	if (s->wait_reason == reason)
		return;
	s->wait_reason = reason;
	eng_report_decision(e, reason, &s->tasks[0], NULL);
}

static void handle_waiting_gang(struct engine *e, struct step *s)
{
	const char *reason = eng_gang_plan(e, s);

	if (!eng_team_quota_allows(s, s->spec->n_tasks)) {
		s->reservation_active = false;
		reason = "gang waits for its team's limit";
	}
	report_wait(e, s, reason);
	eng_request_advice(e, s);
	eng_gang_preempt(e, s);
	eng_gang_reserve(e, s);
}

/* Fails the job if a task to place has reached its limit of losses. */
static bool give_up(struct engine *e, struct step *s)
{
	for (uint32_t k = 0; s->has_losses && k < s->spec->n_tasks; k++) {
		struct task *t = &s->tasks[k];

		if (t->worker || t->done || !eng_loss_limit_reached(t))
			continue;
		eng_job_give_up(e, t);
		return true;
	}
	return false;
}

static void place_step(struct engine *e, struct step *s)
{
	if (give_up(e, s))
		return;
	if (s->spec->gang)
		place_gang(e, s);
	else
		place_tasks(e, s);
	if (!s->n_waiting)
		return;
	if (s->spec->gang && !s->n_placed)
		handle_waiting_gang(e, s);
	else
		eng_request_advice(e, s);
}

void eng_place_steps(struct engine *e)
{
	GPtrArray *steps;

	if (!e->runnable_steps->len)
		return;
	avoid_failing_workers(e);
	eng_reservations_clear(e);
	steps = g_ptr_array_sized_new(e->runnable_steps->len);
	for (guint i = 0; i < e->runnable_steps->len; i++) {
		struct step *s = e->runnable_steps->pdata[i];

		s->tier = step_tier(e, s);
		s->latest_start_ms = s->job->due_ms - s->critical_path_ms;
		g_ptr_array_add(steps, s);
	}
	g_ptr_array_sort(steps, by_tier);
	for (guint i = 0; i < steps->len; i++)
		place_step(e, steps->pdata[i]);
	for (guint i = 0; i < steps->len; i++)
		eng_step_update(e, steps->pdata[i]);
	g_ptr_array_free(steps, TRUE);
}
