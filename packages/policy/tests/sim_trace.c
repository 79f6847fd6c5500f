#include "sim.h"

#include <glib.h>
#include <math.h>

#define SERVICE_PERCENT 20 /* of the load on processors */
#define GANG_PER_MILLE 4   /* of batch jobs */
#define BROKEN_PER_MILLE 5 /* of jobs; see @broken in struct sim_task */

uint64_t sim_random(uint64_t *state)
{
	uint64_t x = *state += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

static double uniform(uint64_t *rng)
{
	return (double)(sim_random(rng) >> 11) / (double)(UINT64_C(1) << 53);
}

/* A Pareto distribution from @least, cut off at @most. */
static double pareto(uint64_t *rng, double least, double most, double alpha)
{
	double x = least / pow(1 - uniform(rng), 1 / alpha);

	return x < most ? x : most;
}

static uint32_t pick_team(uint64_t *rng)
{
	static const double part[SIM_TEAMS] = { .35, .6, .75, .85, .95, 1 };
	double u = uniform(rng);
	uint32_t t = 0;

	while (u > part[t])
		t++;
	return t;
}

/* Ratio of declared to used size of a team's tasks. */
static double declaration_factor(uint32_t team)
{
	static const double by[SIM_TEAMS] = { 2, 10, 1, .5, 4, .1 };

	return by[team];
}

static void declare(const struct sim *s, struct sim_task *t)
{
	double by = s->spec.misdeclared ? declaration_factor(t->team) : 1;
	const struct vh_res *most = &s->workers[0].capacity;

	t->declared = t->used;
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		double x = t->used.v[d] * by;

		x = x < most->v[d] ? x : most->v[d];
		t->declared.v[d] = x > 10 ? (uint32_t)x : 10;
	}
}

/* Appends a task to the trace. */
static struct sim_task *add(struct sim *s, size_t *cap)
{
	if (s->n_tasks == *cap) {
		*cap = *cap ? *cap * 2 : 1024;
		s->tasks = g_renew(struct sim_task, s->tasks, *cap);
	}
	s->tasks[s->n_tasks] =
		(struct sim_task){ .first_start_ms = -1, .job = 0 };
	return &s->tasks[s->n_tasks++];
}

static void draw_size(struct sim *s, struct sim_task *t, uint64_t *rng)
{
	bool large = s->spec.user == SIM_FASERKREIS;
	double most = large ? 48 : 14, cores, gb;

	if (t->cls == VH_CLASS_URGENT)
		cores = pareto(rng, .25, 2, 1.5);
	else
		cores = pareto(rng, .25, most, 1.1);
	gb = cores * pareto(rng, 1.5, 12, 1.3);
	t->used.v[VH_CPU] = (uint32_t)(cores * 1000);
	t->used.v[VH_MEM] = (uint32_t)(gb * 1024);
	if (t->used.v[VH_MEM] > s->workers[0].capacity.v[VH_MEM])
		t->used.v[VH_MEM] = s->workers[0].capacity.v[VH_MEM];
	if (large && t->cls == VH_CLASS_BATCH && uniform(rng) < .1)
		t->used.v[VH_ACCEL] = 1u << sim_random(rng) % 3;
}

/* The rate of arrivals follows one period of a sine over the horizon, like load
 * over a day. */
static int64_t draw_arrival(const struct sim *s, uint64_t *rng)
{
	for (;;) {
		double at = uniform(rng);

		if (uniform(rng) * 1.5 < 1 + .5 * sin(2 * M_PI * at))
			return (int64_t)(at * (double)s->spec.horizon_ms);
	}
}

static void add_services(struct sim *s, size_t *cap, uint64_t *rng)
{
	uint64_t want = (uint64_t)s->fleet.v[VH_CPU] * SERVICE_PERCENT / 100 *
			s->spec.load / 100;
	uint64_t sum = 0;

	for (uint32_t i = 0; sum < want; i++) {
		struct sim_task *t = add(s, cap);
		uint32_t cores = s->spec.user == SIM_FASERKREIS ? 4 : 1;

		t->cls = VH_CLASS_SERVICE;
		t->job = i / 12 + 1;
		t->team = t->job % SIM_TEAMS;
		t->region = i % SIM_REGIONS;
		t->used = (struct vh_res){ { cores * 1000, cores * 4096, 0, 1,
					     8 } };
		t->run_ms = 10 * s->spec.horizon_ms;
		t->arrive_ms = (int64_t)(sim_random(rng) % 20000);
		declare(s, t);
		sum += t->used.v[VH_CPU];
	}
}

/* Adds a job and returns its work, in milli-processors times milliseconds. */
static double add_job(struct sim *s, size_t *cap, uint64_t *rng, uint32_t job)
{
	struct sim_task first = { .first_start_ms = -1, .job = job };
	double work = 0;
	uint32_t n = 1;

	first.team = pick_team(rng);
	first.cls = uniform(rng) < .35 ? VH_CLASS_URGENT : VH_CLASS_BATCH;
	first.region = first.team % SIM_REGIONS;
	if (uniform(rng) < .2)
		first.region = (uint32_t)(sim_random(rng) % SIM_REGIONS);
	first.arrive_ms = draw_arrival(s, rng);
	first.broken = uniform(rng) * 1000 < BROKEN_PER_MILLE;
	first.transfer_bytes = (uint64_t)pareto(rng, 1e6, 1e9, 1.1);
	draw_size(s, &first, rng);
	if (first.cls == VH_CLASS_BATCH &&
	    uniform(rng) * 1000 < GANG_PER_MILLE) {
		first.gang = n = 4 + (uint32_t)(sim_random(rng) % 13);
		first.broken = false;
		first.used.v[VH_CPU] = s->workers[0].capacity.v[VH_CPU] / 4;
		first.used.v[VH_MEM] = s->workers[0].capacity.v[VH_MEM] / 4;
	} else if (first.cls == VH_CLASS_BATCH) {
		n = (uint32_t)pareto(rng, 1, 60, 1.2);
	}
	for (uint32_t i = 0; i < n; i++) {
		struct sim_task *t = add(s, cap);

		*t = first;
		t->run_ms = (int64_t)(t->cls == VH_CLASS_URGENT
					      ? pareto(rng, 300, 20000, 1.3)
					      : pareto(rng, 5000, 600000, 1.1));
		if (t->gang)
			t->run_ms = 60000;
		declare(s, t);
		work += (double)t->used.v[VH_CPU] * (double)t->run_ms;
	}
	return work;
}

static int by_arrival(const void *a, const void *b)
{
	const struct sim_task *x = a, *y = b;

	if (x->arrive_ms != y->arrive_ms)
		return x->arrive_ms < y->arrive_ms ? -1 : 1;
	return x->job < y->job ? -1 : x->job > y->job;
}

void sim_generate_trace(struct sim *s)
{
	uint64_t rng = s->spec.seed;
	double want = (double)s->fleet.v[VH_CPU] * (double)s->spec.horizon_ms *
		      s->spec.load / 100 * (100 - SERVICE_PERCENT) / 100;
	uint32_t job = 100000;
	size_t cap = 0;

	add_services(s, &cap, &rng);
	while (want > 0)
		want -= add_job(s, &cap, &rng, job++);
	qsort(s->tasks, s->n_tasks, sizeof(*s->tasks), by_arrival);
}
