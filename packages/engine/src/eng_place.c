#include "eng_priv.h"

/* Placement of waiting tasks on workers, in the order of eng_order.c. */
#define FAILURE_SCORE_STEP 1.0	 /* added by a failed run or a refusal */
#define FAILURE_SCORE_LIMIT 2.5	 /* score at which a worker is avoided */
#define FAILURE_SCORE_RESUME 1.5 /* score that it is reset to then */
#define FAILURE_AVOID_MS 3000	 /* how long it is avoided */
/* Time for the steps, after which events are handled; half of the 10 ms that a
 * call of eng_schedule() may take, since it also polls and sorts. */
#define PASS_MAX_US 5000
#define GANG_SLOTS_FACTOR 4 /* slots to choose from, per task of a gang */

void eng_worker_failed(struct engine *e, struct worker *w)
{
	w->failure_score += FAILURE_SCORE_STEP;
	if (w->failure_score >= FAILURE_SCORE_LIMIT)
		g_ptr_array_add(e->failing_workers, w);
}

static void avoid_failing_workers(struct engine *e)
{
	for (guint i = 0; i < e->failing_workers->len; i++) {
		struct worker *w = e->failing_workers->pdata[i];

		if (w->failure_score < FAILURE_SCORE_LIMIT)
			continue;
		w->failure_score = FAILURE_SCORE_RESUME;
		w->avoid_until_ms = e->now_ms + FAILURE_AVOID_MS;
	}
	g_ptr_array_set_size(e->failing_workers, 0);
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

static void best_approved(struct engine *e, const struct task *t,
			  struct choice *best)
{
	struct step *s = t->step;

	for (guint i = 0; i < s->open->len; i++) {
		const struct approval *a =
			&g_array_index(s->open, struct approval, i);

		if (eng_ticket_valid(e, a->advice) && eng_index_usable(e, a->w))
			update_best(e, t, a->w, best);
	}
}

/* Whether to look at further parts of the cell for a better worker. */
static bool good_enough(struct engine *e, const struct task *t,
			const struct choice *best)
{
	if (!best->w || t->step->spec->rack.len || eng_task_needs_trial(t))
		return false;
	return !eng_recently_reserved(e, best->w) &&
	       !eng_worker_trial_active(e, best->w);
}

static void best_in_parts(struct engine *e, const struct task *t,
			  struct room_scan *scan, struct choice *best)
{
	struct worker *w;

	while (!good_enough(e, t, best) && eng_scan_next_part(scan)) {
		while ((w = eng_scan_next(scan)))
			update_best(e, t, w, best);
	}
}

/*
 * In a cell of several parts, the search ends with the part in which a worker
 * was found; a task for which latency matters is placed on a near one.
 */
static void best_with_room(struct engine *e, const struct task *t,
			   struct choice *best)
{
	struct room_scan scan;

	eng_scan_begin(e, t->step, &scan);
	if (scan.n_parts <= 1 || t->step->spec->rack.len ||
	    !eng_latency_matters(t->step)) {
		best_in_parts(e, t, &scan, best);
		return;
	}
	for (int b = 0; b < LATENCY_BUCKETS && !good_enough(e, t, best); b++) {
		eng_scan_restart(&scan, b);
		best_in_parts(e, t, &scan, best);
	}
}

static struct worker *best_worker(struct engine *e, const struct task *t)
{
	struct choice best = { NULL, 0 };

	if (t->step->job->spec->advice.needed)
		best_approved(e, t, &best);
	else
		best_with_room(e, t, &best);
	return best.w;
}

static void place_task(struct engine *e, struct task *t, struct worker *w,
		       uint32_t run)
{
	eng_task_assign(e, t, w);
	t->run = run;
	t->store_batch = e->open_batch;
	eng_task_set_state(e, t, TASK_STORING);
	t->step->waits_since_ms = e->now_ms;
	g_queue_push_tail(&e->storing, t);
	w->zone->used_cpu += t->step->spec->need.cpu_milli;
	eng_floor_placed(e, t->step);
	eng_report_decision(e, "place", t, w);
}

static void place_tasks(struct engine *e, struct step *s)
{
	if (s->job->spec->advice.needed && !s->open->len)
		return;
	for (uint32_t k = 0; k < s->spec->n_tasks && s->n_waiting; k++) {
		struct task *t = &s->tasks[k];
		struct worker *w;

		if (t->worker || t->done)
			continue;
		if (!eng_team_quota_allows(s, 1) || !eng_headroom_allows(s, 1))
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
	int speed_class;
	uint32_t slots;
	double cost;
	bool cold;
};

/*
 * Workers on which the gang is in time come first, by eng_speed_class(); the
 * slowest member of a gang delays all.
 */
static int by_slots(gconstpointer a, gconstpointer b)
{
	const struct part *x = a;
	const struct part *y = b;

	if (x->cold != y->cold)
		return x->cold ? 1 : -1;
	if (x->speed_class != y->speed_class)
		return x->speed_class < y->speed_class ? -1 : 1;
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

/* The parts of a gang that can be placed now. */
struct parts {
	GArray *array; /* struct part */
	uint64_t n_slots;
};

static void add_part(struct engine *e, struct step *s, struct worker *w,
		     struct parts *out)
{
	struct part part = { .w = w,
			     .speed_class = eng_speed_class(s, w),
			     .slots = eng_free_slots(e, s, w),
			     .cold = eng_worker_cold_for(e, s, w) };

	if (!part.slots)
		return;
	part.cost = eng_placement_cost(e, s, w, false);
	out->n_slots += part.slots;
	g_array_append_val(out->array, part);
}

static void find_parts(struct engine *e, struct step *s, struct parts *out)
{
	struct room_scan scan;
	struct worker *w;

	for (guint i = 0; i < s->open->len; i++) {
		const struct approval *a =
			&g_array_index(s->open, struct approval, i);

		if (eng_ticket_valid(e, a->advice) && eng_index_usable(e, a->w))
			add_part(e, s, a->w, out);
	}
	if (s->job->spec->advice.needed)
		return;
	eng_scan_begin(e, s, &scan);
	while (out->n_slots < GANG_SLOTS_FACTOR * s->spec->n_tasks &&
	       eng_scan_next_part(&scan)) {
		while ((w = eng_scan_next(&scan)))
			add_part(e, s, w, out);
	}
}

/* Places all tasks of a gang, or none. */
static void place_gang(struct engine *e, struct step *s)
{
	struct parts parts = { NULL, 0 };

	if (s->n_placed || !eng_team_quota_allows(s, s->spec->n_tasks) ||
	    !eng_headroom_allows(s, s->spec->n_tasks))
		return;
	parts.array = g_array_new(FALSE, FALSE, sizeof(struct part));
	find_parts(e, s, &parts);
	if (parts.n_slots >= s->spec->n_tasks) {
		g_array_sort(parts.array, by_slots);
		place_gang_parts(e, s,
				 &g_array_index(parts.array, struct part, 0));
	}
	g_array_free(parts.array, TRUE);
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
	if (s->tier != TIER_LAST || !e->advice_wanted)
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

/*
 * At overload, a step without value waits for as long as others of its service
 * do, and does not ask for advice.
 */
static bool deferred(struct engine *e, struct step *s)
{
	s->deferred =
		s->ranked && s->tier == TIER_LAST && s->job->pool->others_wait;
	if (!s->deferred)
		return false;
	s->reservation_active = false;
	report_wait(e, s, "without value, waits behind all others");
	return true;
}

/* Whether the step still waits for something other than its team's limit. */
static void note_waiting(struct engine *e, struct step *s)
{
	if (s->tier == TIER_LAST || !eng_team_quota_allows(s, 1))
		return;
	s->job->pool->others_wait = true;
	if (s->ranked && s->job->spec->advice.needed)
		e->advice_wanted = true;
}

/*
 * At overload, calls to the policy service are for steps that may have a value,
 * and that could use the answer.
 */
static bool advice_useful(struct engine *e, struct step *s)
{
	if (s->tier == TIER_LAST && e->advice_wanted)
		return false;
	if (eng_headroom_allows(s, 1))
		return true;
	report_wait(e, s, "waits, room is kept for urgent work");
	return false;
}

static void place_step(struct engine *e, struct step *s)
{
	if (give_up(e, s) || deferred(e, s))
		return;
	eng_step_examine(e, s);
	eng_speed_plan(e, s);
	if (s->spec->gang)
		place_gang(e, s);
	else
		place_tasks(e, s);
	if (!s->n_waiting)
		return;
	note_waiting(e, s);
	if (s->spec->gang && !s->n_placed)
		handle_waiting_gang(e, s);
	else if (advice_useful(e, s))
		eng_request_advice(e, s);
}

static void begin_pass(struct engine *e)
{
	e->pass++;
	e->advice_wanted = false;
	avoid_failing_workers(e);
	eng_reservations_clear(e);
	eng_index_begin_pass(e);
}

/* Places the steps until the time is used up; at least one. */
static bool place_until(struct engine *e, GPtrArray *steps)
{
	int64_t (*elapsed_us)(void *ctx) = e->callbacks.elapsed_us;
	int64_t end =
		elapsed_us ? elapsed_us(e->callbacks.ctx) + PASS_MAX_US : 0;

	for (guint i = 0; i < steps->len; i++) {
		struct step *s = steps->pdata[i];

		if (s->handled_pass == e->pass) { /* before the interruption */
			if (s->n_waiting)
				note_waiting(e, s);
			continue;
		}
		place_step(e, s);
		eng_usage_passed(e, s);
		s->handled_pass = e->pass;
		if (elapsed_us && elapsed_us(e->callbacks.ctx) >= end)
			return false;
	}
	return true;
}

bool eng_place_steps(struct engine *e)
{
	GPtrArray *steps;
	bool done;

	if (!e->runnable_steps->len) {
		e->pass_interrupted = false;
		eng_order_idle(e);
		return true;
	}
	if (!e->pass_interrupted)
		begin_pass(e);
	e->no_advice_cost_ms = 0;
	steps = g_ptr_array_sized_new(e->runnable_steps->len);
	eng_order_steps(e, steps);
	done = place_until(e, steps);
	e->pass_interrupted = !done;
	for (guint i = 0; i < steps->len; i++)
		eng_step_update(e, steps->pdata[i]);
	g_ptr_array_free(steps, TRUE);
	if (done)
		eng_long_waits_report(e);
	return done;
}
