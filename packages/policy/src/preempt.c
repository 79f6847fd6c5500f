#include "vh/preempt.h"

#define ACCEL_CORES 16 /* cores that an accelerator counts as */
#define MS_PER_MIN 60000
#define MS_PER_S 1000
#define MILLI_CPU_PER_CORE 1000
/* Time from the victim's end to the start of the urgent task. */
#define START_MARGIN_MS 800
#define PROTECT_DOUBLINGS_MAX 6 /* of protect_ms */
#define BASE_COST_S 4 /* per core, so that no preemption is free of cost */

/* Cores, with accelerators converted to cores; at least 1. */
static uint64_t core_equivalents(const struct vh_res *size)
{
	uint64_t c = size->v[VH_CPU] / MILLI_CPU_PER_CORE;

	return c + (uint64_t)size->v[VH_ACCEL] * ACCEL_CORES + 1;
}

/* Core-seconds of work that preempting the task now would lose. */
static uint64_t lost_work(const struct vh_victim *v, int64_t now_ms)
{
	int64_t since = v->checkpoint_ms > v->started_ms ? v->checkpoint_ms
							 : v->started_ms;
	int64_t s = (now_ms - since) / MS_PER_S;

	return s > 0 ? core_equivalents(&v->size) * (uint64_t)s : 0;
}

/* Lost work plus a base cost, doubled for each earlier preemption and halved
 * for a team above its fair share. */
static uint64_t victim_cost(const struct vh_victim *v, int64_t now_ms)
{
	uint64_t c =
		lost_work(v, now_ms) + BASE_COST_S * core_equivalents(&v->size);

	c <<= v->preempted < 16 ? v->preempted : 16;
	return v->team_share > v->team_due ? c / 2 : c;
}

static bool is_preemptible(const struct vh_preempt_settings *s,
			   const struct vh_victim *v, int64_t now_ms)
{
	unsigned int doublings;

	if (v->cls != VH_CLASS_BATCH || !v->idempotent)
		return false;
	if (v->preempted >= s->max_preempted)
		return false;
	if (!v->preempted)
		return true;
	doublings = v->preempted - 1 < PROTECT_DOUBLINGS_MAX
			    ? v->preempted - 1
			    : PROTECT_DOUBLINGS_MAX;
	return now_ms - v->started_ms >= s->protect_ms << doublings;
}

/** struct victim_set - the chosen victims on one worker */
struct victim_set {
	struct vh_res missing; /* amounts that are still to be freed */
	size_t victims[VH_VICTIMS_MAX];
	size_t n;
	uint64_t cost;
	uint64_t lost;
};

static bool is_zero(const struct vh_res *missing)
{
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		if (missing->v[d])
			return false;
	}
	return true;
}

/* Fractions of the missing amounts that the task would free, in thousandths,
 * summed over the dimensions. */
static uint64_t coverage(const struct vh_res *size,
			 const struct vh_res *missing)
{
	uint64_t sum = 0;

	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint64_t part;

		if (!missing->v[d])
			continue;
		part = (uint64_t)size->v[d] * 1000 / missing->v[d];
		sum += part < 1000 ? part : 1000;
	}
	return sum;
}

static bool contains_victim(const struct victim_set *a, size_t victim)
{
	for (size_t i = 0; i < a->n; i++) {
		if (a->victims[i] == victim)
			return true;
	}
	return false;
}

/* Adds the task with the least cost per coverage; false if there is none. */
static bool add_victim(struct victim_set *a, const struct vh_victim *running,
		       size_t n, const bool *allowed, size_t worker,
		       int64_t now_ms)
{
	uint64_t best_cost = 0, best_coverage = 0;
	size_t best = n;

	for (size_t i = 0; i < n; i++) {
		uint64_t c, k;

		if (!allowed[i] || running[i].worker != worker ||
		    contains_victim(a, i))
			continue;
		k = coverage(&running[i].size, &a->missing);
		if (!k)
			continue;
		c = victim_cost(&running[i], now_ms);
		if (best == n || c * best_coverage < best_cost * k) {
			best = i;
			best_cost = c;
			best_coverage = k;
		}
	}
	if (best == n || a->n == VH_VICTIMS_MAX)
		return false;
	a->victims[a->n++] = best;
	vh_res_sub(&a->missing, &running[best].size);
	return true;
}

/* Removes victims that later ones made redundant, the most costly first. */
static void remove_redundant_victims(struct victim_set *a,
				     const struct vh_victim *running,
				     const struct vh_res *needed,
				     int64_t now_ms)
{
	for (;;) {
		struct vh_res sum = { { 0 } };
		uint64_t most = 0;
		size_t drop = a->n;

		for (size_t i = 0; i < a->n; i++)
			vh_res_add(&sum, &running[a->victims[i]].size);
		for (size_t i = 0; i < a->n; i++) {
			const struct vh_victim *v = &running[a->victims[i]];
			struct vh_res without = sum;

			vh_res_sub(&without, &v->size);
			if (!vh_res_fits(needed, &without) ||
			    victim_cost(v, now_ms) < most)
				continue;
			most = victim_cost(v, now_ms);
			drop = i;
		}
		if (drop == a->n)
			return;
		a->victims[drop] = a->victims[--a->n];
	}
}

/* Chooses victims on one worker; false if they would not free enough. */
static bool choose_on_worker(struct victim_set *a,
			     const struct vh_place_request *want,
			     const struct vh_candidate *worker, size_t index,
			     const struct vh_victim *running, size_t n,
			     const bool *allowed, int64_t now_ms)
{
	struct vh_res needed = want->size;

	vh_res_sub(&needed, &worker->free);
	*a = (struct victim_set){ .missing = needed };
	while (!is_zero(&a->missing)) {
		if (!add_victim(a, running, n, allowed, index, now_ms))
			return false;
	}
	remove_redundant_victims(a, running, &needed, now_ms);
	for (size_t i = 0; i < a->n; i++) {
		a->cost += victim_cost(&running[a->victims[i]], now_ms);
		a->lost += lost_work(&running[a->victims[i]], now_ms);
	}
	return true;
}

static void set_decision(struct vh_preempt_decision *out,
			 const struct victim_set *a, size_t worker)
{
	out->reason = VH_PREEMPT_OK;
	out->worker = worker;
	out->n = a->n;
	out->lost = a->lost;
	for (size_t i = 0; i < a->n; i++)
		out->victims[i] = a->victims[i];
}

/* Running tasks that one decision considers. */
#define RUNNING_MAX 1024

void vh_preempt_choose(const struct vh_preempt_settings *settings,
		       const struct vh_place_request *want,
		       const struct vh_candidate *workers, size_t n,
		       const struct vh_victim *running, size_t n_running,
		       int64_t now_ms, struct vh_preempt_decision *out)
{
	bool allowed[RUNNING_MAX];
	uint64_t best = UINT64_MAX;

	*out = (struct vh_preempt_decision){ .reason = VH_PREEMPT_NO_VICTIMS,
					     .worker = n };
	if (want->cls != VH_CLASS_URGENT) {
		out->reason = VH_PREEMPT_CLASS;
		return;
	}
	if (n_running > RUNNING_MAX)
		n_running = RUNNING_MAX;
	for (size_t i = 0; i < n_running; i++)
		allowed[i] = is_preemptible(settings, &running[i], now_ms);
	for (size_t i = 0; i < n; i++) {
		struct victim_set a;

		if (!workers[i].usable ||
		    !vh_res_fits(&want->size, &workers[i].capacity) ||
		    !choose_on_worker(&a, want, &workers[i], i, running,
				      n_running, allowed, now_ms))
			continue;
		if (a.cost < best) {
			best = a.cost;
			set_decision(out, &a, i);
		}
	}
}

enum vh_preempt_mode vh_preempt_mode(const struct vh_victim *victim,
				     int64_t accepted_ms,
				     int64_t checkpoint_duration_ms,
				     int64_t now_ms)
{
	int64_t start_by = accepted_ms + VH_URGENT_START_MS - START_MARGIN_MS;

	if (!victim->can_checkpoint ||
	    now_ms + checkpoint_duration_ms > start_by)
		return VH_PREEMPT_KILL;
	return VH_PREEMPT_CHECKPOINT;
}

void vh_preempt_budget_init(struct vh_preempt_budget *b, uint32_t per_min,
			    int64_t now_ms)
{
	b->per_min = per_min;
	b->left = (uint64_t)per_min * MS_PER_MIN;
	b->filled_ms = now_ms;
}

bool vh_preempt_budget_take(struct vh_preempt_budget *b, uint32_t n,
			    int64_t now_ms)
{
	uint64_t full = (uint64_t)b->per_min * MS_PER_MIN;

	if (now_ms > b->filled_ms) {
		int64_t ms = now_ms - b->filled_ms;

		ms = ms < MS_PER_MIN ? ms : MS_PER_MIN;
		b->left += (uint64_t)ms * b->per_min;
		b->left = b->left < full ? b->left : full;
		b->filled_ms = now_ms;
	}
	if (b->left < (uint64_t)n * MS_PER_MIN)
		return false;
	b->left -= (uint64_t)n * MS_PER_MIN;
	return true;
}
