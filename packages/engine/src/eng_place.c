#include "eng_priv.h"

/* Placement of waiting tasks on workers, in the order of eng_order.c. */
#define FAILURE_SCORE_LIMIT 2.5	 /* score at which a worker is avoided */
#define FAILURE_SCORE_RESUME 1.5 /* score that it is reset to then */
#define FAILURE_AVOID_MS 3000	 /* how long it is avoided */

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
	c = eng_placement_cost(e, t->step, w, on_trial);
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
	w->zone->used_cpu += t->step->spec->need.cpu_milli;
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
	bool cold;
};

static int by_slots(const void *a, const void *b)
{
	const struct part *x = a;
	const struct part *y = b;

	if (x->cold != y->cold)
		return x->cold ? 1 : -1;
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
		parts[n++] = (struct part){ w, slots,
					    eng_placement_cost(e, s, w, false),
					    eng_worker_cold_for(e, s, w) };
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
	eng_order_steps(e, steps);
	for (guint i = 0; i < steps->len; i++) {
		place_step(e, steps->pdata[i]);
		eng_usage_passed(e, steps->pdata[i]);
	}
	for (guint i = 0; i < steps->len; i++)
		eng_step_update(e, steps->pdata[i]);
	g_ptr_array_free(steps, TRUE);
}
