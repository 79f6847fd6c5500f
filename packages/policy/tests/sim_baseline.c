#include "sim.h"

#include <glib.h>
#include <math.h>

#include "place_first_version.h"

#define FAILED_SIZES_MAX 16
#define RACK_SKIP_MS 100

/** struct baseline - a single queue of the whole cell, in order of arrival */
struct baseline {
	uint32_t *queue;
	size_t n, cap;
	uint64_t rng;
	/* The next two are used by the first version only. */
	int64_t skip_until_ms[SIM_TEAMS][1024]; /* by team and rack */
	uint32_t next_rack_index[SIM_TEAMS];
	struct vh_res failed[FAILED_SIZES_MAX]; /* sizes that fit nowhere now */
	size_t n_failed;
};

typedef size_t choose_fn(struct sim *s, const struct sim_task *t);

static void baseline_init(struct sim *s)
{
	struct baseline *b = g_new0(struct baseline, 1);

	b->rng = s->spec.seed ^ 77;
	s->state = b;
}

static void baseline_finish(struct sim *s)
{
	struct baseline *b = s->state;

	g_free(b->queue);
	g_free(b);
}

static void baseline_arrived(struct sim *s, uint32_t task)
{
	struct baseline *b = s->state;

	if (b->n == b->cap) {
		b->cap = b->cap ? 2 * b->cap : 1024;
		b->queue = g_renew(uint32_t, b->queue, b->cap);
	}
	b->queue[b->n++] = task;
}

static void baseline_ended(struct sim *s, uint32_t task, bool failed)
{
	(void)s;
	(void)task;
	(void)failed;
}

static size_t first_fit(struct sim *s, const struct sim_task *t)
{
	size_t i = 0;

	while (i < s->n_workers &&
	       !vh_res_fits(&t->declared, &s->workers[i].free))
		i++;
	return i;
}

static size_t best_fit(struct sim *s, const struct sim_task *t)
{
	double least = INFINITY;
	size_t best = s->n_workers;

	for (size_t i = 0; i < s->n_workers; i++) {
		const struct vh_candidate *w = &s->workers[i];
		double left = 0;

		if (!vh_res_fits(&t->declared, &w->free))
			continue;
		for (int d = VH_CPU; d <= VH_ACCEL; d++) {
			if (w->capacity.v[d])
				left += (double)(w->free.v[d] -
						 t->declared.v[d]) /
					w->capacity.v[d];
		}
		if (left < least) {
			least = left;
			best = i;
		}
	}
	return best;
}

static size_t two_choices(struct sim *s, const struct sim_task *t)
{
	struct baseline *b = s->state;
	size_t best = s->n_workers;

	for (int i = 0; i < 2; i++) {
		size_t at = sim_random(&b->rng) % s->n_workers;

		if (vh_res_fits(&t->declared, &s->workers[at].free) &&
		    (best == s->n_workers ||
		     s->workers[at].free.v[VH_CPU] >
			     s->workers[best].free.v[VH_CPU]))
			best = at;
	}
	return best;
}

/* Whether a size that is not larger did not fit earlier in this step. */
static bool is_known_to_fail(const struct baseline *b,
			     const struct vh_res *size)
{
	for (size_t i = 0; i < b->n_failed; i++) {
		if (vh_res_fits(&b->failed[i], size))
			return true;
	}
	return false;
}

/* Starts all @n tasks of a gang, which are adjacent in the queue, or none. */
static bool start_gang(struct sim *s, const uint32_t *tasks, size_t n,
		       choose_fn *choose)
{
	size_t at[64], placed = 0;

	for (; placed < n && placed < 64; placed++) {
		const struct sim_task *t = &s->tasks[tasks[placed]];

		at[placed] = choose(s, t);
		if (at[placed] >= s->n_workers)
			break;
		vh_res_sub(&s->workers[at[placed]].free, &t->declared);
	}
	for (size_t i = 0; i < placed; i++)
		vh_res_add(&s->workers[at[i]].free,
			   &s->tasks[tasks[i]].declared);
	if (placed < n)
		return false;
	for (size_t i = 0; i < n; i++)
		sim_start(s, tasks[i], (uint32_t)at[i],
			  &s->tasks[tasks[i]].declared);
	return true;
}

static bool start_single(struct sim *s, uint32_t task, choose_fn *choose)
{
	struct baseline *b = s->state;
	const struct sim_task *t = &s->tasks[task];
	size_t at;

	if (is_known_to_fail(b, &t->declared))
		return false;
	at = choose(s, t);
	if (at < s->n_workers) {
		sim_start(s, task, (uint32_t)at, &t->declared);
		return true;
	}
	if (b->n_failed < FAILED_SIZES_MAX && choose != two_choices)
		b->failed[b->n_failed++] = t->declared;
	return false;
}

/* Number of tasks of the gang that starts at @at in the queue; 1 for a task
 * without a gang or one that failed before. */
static size_t gang_length(const struct sim *s, const struct baseline *b,
			  size_t at)
{
	const struct sim_task *t = &s->tasks[b->queue[at]];
	size_t n = 1;

	if (!t->gang || t->attempts)
		return 1;
	while (at + n < b->n && s->tasks[b->queue[at + n]].job == t->job &&
	       !s->tasks[b->queue[at + n]].attempts)
		n++;
	return n;
}

/* Tries every task in the queue; one that does not fit blocks no other. */
static void run_queue(struct sim *s, choose_fn *choose)
{
	struct baseline *b = s->state;
	size_t kept = 0;

	b->n_failed = 0;
	for (size_t i = 0; i < b->n;) {
		size_t n = gang_length(s, b, i);
		bool ok = n > 1 ? start_gang(s, &b->queue[i], n, choose)
				: start_single(s, b->queue[i], choose);

		for (size_t k = 0; !ok && k < n; k++)
			b->queue[kept++] = b->queue[i + k];
		i += n;
	}
	b->n = kept;
}

static void first_fit_step(struct sim *s)
{
	run_queue(s, first_fit);
}

static void best_fit_step(struct sim *s)
{
	run_queue(s, best_fit);
}

static void two_choices_step(struct sim *s)
{
	run_queue(s, two_choices);
}

/* The next rack, round robin, that did not refuse the team's tasks within the
 * last RACK_SKIP_MS; racks of the preferred region first. */
static size_t find_next_rack(struct sim *s, const struct sim_task *t)
{
	struct baseline *b = s->state;
	size_t n = s->n_workers / SIM_RACK_SIZE;

	for (int other_region = 0; other_region < 2; other_region++) {
		for (size_t i = 0; i < n; i++) {
			size_t r = (b->next_rack_index[t->team] + i) % n;

			if (b->skip_until_ms[t->team][r] > s->now_ms ||
			    (s->workers[r * SIM_RACK_SIZE].region !=
			     t->region) != other_region)
				continue;
			b->next_rack_index[t->team] = (uint32_t)(r + 1);
			return r;
		}
	}
	return n;
}

/* The choice of the first version of the scheduler: requests room from racks,
 * round robin, until one has it. */
static size_t round_robin(struct sim *s, const struct sim_task *t)
{
	struct baseline *b = s->state;
	size_t n = s->n_workers / SIM_RACK_SIZE, r;

	while ((r = find_next_rack(s, t)) < n) {
		struct vh_place_request want =
			sim_place_request(t, &t->declared);
		struct vh_place_result out;

		s->stats.requests++;
		vh_place_first_version(&want, &s->workers[r * SIM_RACK_SIZE],
				       SIM_RACK_SIZE, &out);
		if (out.reason == VH_PLACE_OK)
			return r * SIM_RACK_SIZE + out.index;
		s->stats.refused++;
		b->skip_until_ms[t->team][r] = s->now_ms + RACK_SKIP_MS;
	}
	return s->n_workers;
}

static void first_version_step(struct sim *s)
{
	struct baseline *b = s->state;
	bool any = false;

	for (size_t r = 0; r < s->n_workers / SIM_RACK_SIZE && !any; r++) {
		for (int t = 0; t < SIM_TEAMS; t++)
			any |= b->skip_until_ms[t][r] <= s->now_ms;
	}
	if (any)
		run_queue(s, round_robin);
}

#define BASELINE(var, text, step_fn)         \
	const struct sim_policy var = {      \
		.name = text,                \
		.init = baseline_init,       \
		.arrived = baseline_arrived, \
		.ended = baseline_ended,     \
		.step = step_fn,             \
		.finish = baseline_finish,   \
	}

BASELINE(sim_first_fit, "first_fit", first_fit_step);
BASELINE(sim_best_fit, "best_fit", best_fit_step);
BASELINE(sim_two_choices, "two_choices", two_choices_step);
BASELINE(sim_first_version, "first_version", first_version_step);
