#include "eng_priv.h"

/*
 * Order of placement of the steps that have tasks to place.
 *
 * Designed for a cluster with 80 % mean load and bursts that double the load of
 * one class of jobs. Steps are placed in tiers: first those that can still meet
 * the objective of their job; then late ones that complete before the cutoff;
 * then those in time of jobs that exceeded the share of their team; last all
 * others. Within a tier, steps are ordered by the priority of the job, then by
 * latest start time, which the past use of the team shifts (eng_usage.c).
 *
 * At sustained overload this order keeps choosing what is about to be late.
 * Within a tier, the steps of an overloaded service are then ordered so that
 * the most jobs are served, see docs/design/overload-order.md: those due to a
 * team or class that is short of its minimum share; then those expected to end
 * before the limit of the tier, despite the steps before them; then the others.
 * Within each of these the priority decides, then whether the job has begun,
 * then the work that is left of it, least first.
 */
#define CRITICAL_PATH_FACTOR 0.8 /* of the critical path, in step_tier() */

static enum tier step_tier(const struct engine *e, const struct step *s)
{
	int64_t end = e->now_ms +
		      (int64_t)(CRITICAL_PATH_FACTOR * (double)eng_path_ms(s));

	if (s->job->over_share)
		return end <= s->job->due_ms ? TIER_OVER_SHARE : TIER_LAST;
	if (end <= s->job->due_ms)
		return TIER_IN_TIME;
	return end <= s->job->cutoff_ms ? TIER_LATE : TIER_LAST;
}

static bool is_late(const struct step *s)
{
	return s->tier == TIER_LATE || s->tier == TIER_LAST;
}

static int by_latest_start(const struct step *x, const struct step *y)
{
	const struct eng_job_spec *p = x->job->spec;
	const struct eng_job_spec *q = y->job->spec;

	if (p->priority != q->priority)
		return p->priority < q->priority ? -1 : 1;
	if (x->order_ms != y->order_ms)
		return x->order_ms < y->order_ms ? -1 : 1;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	return p->id < q->id ? -1 : p->id > q->id;
}

static int by_tier(gconstpointer a, gconstpointer b)
{
	const struct step *x = *(const struct step *const *)a;
	const struct step *y = *(const struct step *const *)b;

	if (x->tier != y->tier)
		return x->tier < y->tier ? -1 : 1;
	return by_latest_start(x, y);
}

/* Steps of services that are not overloaded keep the usual order. */
static int by_band(gconstpointer a, gconstpointer b)
{
	const struct step *x = *(const struct step *const *)a;
	const struct step *y = *(const struct step *const *)b;

	if (x->tier != y->tier)
		return x->tier < y->tier ? -1 : 1;
	if (x->ranked != y->ranked)
		return x->ranked ? 1 : -1;
	if (!x->ranked)
		return by_latest_start(x, y);
	if (x->band != y->band)
		return x->band < y->band ? -1 : 1;
	if (x->job->spec->priority != y->job->spec->priority)
		return x->job->spec->priority < y->job->spec->priority ? -1 : 1;
	if (x->begun != y->begun)
		return x->begun ? -1 : 1;
	if (x->remaining_work != y->remaining_work)
		return x->remaining_work < y->remaining_work ? -1 : 1;
	return by_latest_start(x, y);
}

static double remaining_work(const struct engine *e, struct job *j)
{
	if (j->ranked_pass == e->ranked_pass)
		return j->remaining_work;
	j->ranked_pass = e->ranked_pass;
	j->remaining_work = 0;
	for (size_t i = 0; i < j->spec->n_steps; i++)
		j->remaining_work +=
			eng_step_work(&j->steps[i], j->steps[i].n_waiting);
	return j->remaining_work;
}

static void rank_step(struct engine *e, struct step *s)
{
	s->ranked = s->job->pool->overloaded;
	if (!s->ranked)
		return;
	s->band = BAND_CAN;
	s->begun = false;
	s->remaining_work = 0;
	if (s->tier == TIER_LAST)
		return;
	s->begun = s->job->started || s->n_placed;
	s->remaining_work = remaining_work(e, s->job);
}

/* Latest start for the limit of the step's tier. */
static int64_t tier_latest_start_ms(const struct step *s)
{
	if (s->tier == TIER_LATE)
		return s->job->cutoff_ms - s->critical_path_ms;
	return s->latest_start_ms;
}

/*
 * Adds the steps' needs in their order; one that would have to wait too long
 * for its own is left out, and so does not delay those behind it.
 */
static void find_doubtful(const struct engine *e, const GPtrArray *steps)
{
	for (guint i = 0; i < e->pools->len; i++)
		((struct pool *)e->pools->pdata[i])->ahead_cpu = 0;
	for (guint i = 0; i < steps->len; i++) {
		struct step *s = steps->pdata[i];
		struct pool *p = s->job->pool;
		int64_t cpu = p->ahead_cpu + eng_step_cpu(s);

		s->ahead_cpu = p->ahead_cpu;
		if (!s->ranked || s->tier == TIER_LAST)
			continue;
		if (s->band != BAND_FLOOR &&
		    e->now_ms + eng_pool_wait_ms(p, cpu) >
			    tier_latest_start_ms(s))
			s->band = BAND_DOUBTFUL;
		else
			p->ahead_cpu = cpu;
	}
}

/* Moves the doubtful steps behind the others of their tier, in O(n). */
static void move_doubtful(GPtrArray *steps)
{
	GPtrArray *doubtful = g_ptr_array_sized_new(steps->len);
	enum tier tier = TIER_IN_TIME;
	guint n = 0;

	for (guint i = 0; i <= steps->len; i++) {
		struct step *s = i < steps->len ? steps->pdata[i] : NULL;

		if (!s || s->tier != tier) {
			for (guint k = 0; k < doubtful->len; k++)
				steps->pdata[n++] = doubtful->pdata[k];
			g_ptr_array_set_size(doubtful, 0);
			tier = s ? s->tier : tier;
		}
		if (s && s->ranked && s->band == BAND_DOUBTFUL)
			g_ptr_array_add(doubtful, s);
		else if (s)
			steps->pdata[n++] = s;
	}
	g_ptr_array_free(doubtful, TRUE);
}

static void order_for_overload(struct engine *e, GPtrArray *steps)
{
	e->ranked_pass++;
	for (guint i = 0; i < steps->len; i++)
		rank_step(e, steps->pdata[i]);
	eng_floors_begin(e, steps);
	for (guint i = 0; i < steps->len; i++) {
		struct step *s = steps->pdata[i];

		if (eng_floor_take(e, s))
			s->band = BAND_FLOOR;
	}
	g_ptr_array_sort(steps, by_band);
	find_doubtful(e, steps);
	move_doubtful(steps);
}

void eng_order_steps(struct engine *e, GPtrArray *out)
{
	bool overloaded;

	eng_usage_begin_pass(e);
	for (guint i = 0; i < e->runnable_steps->len; i++) {
		struct step *s = e->runnable_steps->pdata[i];

		s->tier = step_tier(e, s);
		s->latest_start_ms = s->job->due_ms - eng_path_ms(s);
		s->ranked = false;
		s->order_ms = eng_usage_start_ms(e, s, is_late(s));
		g_ptr_array_add(out, s);
	}
	g_ptr_array_sort(out, by_tier);
	if (!e->settings.overload_order)
		return;
	overloaded = eng_overload_update(e, out);
	if (overloaded)
		order_for_overload(e, out);
	if (overloaded || e->reported_teams->len)
		eng_waiting_report(e, out);
}

void eng_order_idle(struct engine *e)
{
	bool overloaded = false;

	for (guint i = 0; i < e->pools->len; i++)
		overloaded |= ((struct pool *)e->pools->pdata[i])->overloaded;
	if (overloaded)
		eng_overload_update(e, e->runnable_steps);
	if (overloaded || e->reported_teams->len)
		eng_waiting_report(e, e->runnable_steps);
}
