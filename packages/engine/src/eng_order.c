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
 */
#define CRITICAL_PATH_FACTOR 0.8 /* of the critical path, in step_tier() */

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

static bool is_late(const struct step *s)
{
	return s->tier == TIER_LATE || s->tier == TIER_LAST;
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
	if (x->order_ms != y->order_ms)
		return x->order_ms < y->order_ms ? -1 : 1;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	return p->id < q->id ? -1 : p->id > q->id;
}

void eng_order_steps(struct engine *e, GPtrArray *out)
{
	eng_usage_begin_pass(e);
	for (guint i = 0; i < e->runnable_steps->len; i++) {
		struct step *s = e->runnable_steps->pdata[i];

		s->tier = step_tier(e, s);
		s->latest_start_ms = s->job->due_ms - s->critical_path_ms;
		s->order_ms = eng_usage_start_ms(e, s, is_late(s));
		g_ptr_array_add(out, s);
	}
	g_ptr_array_sort(out, by_tier);
}
