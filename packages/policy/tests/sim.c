#include "sim.h"

#include <glib.h>

#define WARM_UP_DIVISOR 6 /* the first sixth of the horizon is not measured */
#define WINDOW_BUCKET_MS 10000

static void make_workers(struct sim *s)
{
	bool large = s->spec.user == SIM_FASERKREIS;

	s->n_workers = s->spec.workers / SIM_RACK_SIZE * SIM_RACK_SIZE;
	s->workers = g_new0(struct vh_candidate, s->n_workers);
	for (size_t i = 0; i < s->n_workers; i++) {
		struct vh_candidate *w = &s->workers[i];
		uint32_t rack = (uint32_t)(i / SIM_RACK_SIZE);
		uint32_t cores = large ? 64 : 16;

		w->capacity = (struct vh_res){ { cores * 1000, cores * 4096,
						 large && rack % 4 == 0 ? 4 : 0,
						 8, 64 } };
		w->free = w->capacity;
		w->usable = true;
		w->rack = rack;
		w->region = rack % SIM_REGIONS;
		w->zone = rack % (2 * SIM_REGIONS);
		vh_res_add(&s->fleet, &w->capacity);
	}
	s->faulty_worker =
		s->spec.faulty_worker ? (uint32_t)s->n_workers / 2 : UINT32_MAX;
}

void sim_init(struct sim *s, const struct sim_spec *spec,
	      const struct sim_policy *policy)
{
	static const uint32_t weights[SIM_TEAMS] = { 4, 2, 1, 1, 1, 1 };

	*s = (struct sim){ .spec = *spec, .policy = policy };
	make_workers(s);
	sim_generate_trace(s);
	for (int t = 0; t < SIM_TEAMS; t++) {
		s->weights[t] = weights[t];
		s->windows[t].bucket_ms = WINDOW_BUCKET_MS;
	}
	policy->init(s);
}

void sim_finish(struct sim *s)
{
	s->policy->finish(s);
	g_free(s->workers);
	g_free(s->tasks);
	g_free(s->ends);
}

static void push_end(struct sim *s, struct sim_end e)
{
	size_t i;

	if (s->n_ends == s->cap_ends) {
		s->cap_ends = s->cap_ends ? 2 * s->cap_ends : 1024;
		s->ends = g_renew(struct sim_end, s->ends, s->cap_ends);
	}
	for (i = s->n_ends++; i && s->ends[(i - 1) / 2].at_ms > e.at_ms;
	     i = (i - 1) / 2)
		s->ends[i] = s->ends[(i - 1) / 2];
	s->ends[i] = e;
}

static struct sim_end pop_end(struct sim *s)
{
	struct sim_end top = s->ends[0], last = s->ends[--s->n_ends];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child + 1 < s->n_ends &&
		    s->ends[child + 1].at_ms < s->ends[child].at_ms)
			child++;
		if (child >= s->n_ends || s->ends[child].at_ms >= last.at_ms)
			break;
		s->ends[i] = s->ends[child];
		i = child;
	}
	s->ends[i] = last;
	return top;
}

struct vh_place_request sim_place_request(const struct sim_task *t,
					  const struct vh_res *size)
{
	return (struct vh_place_request){ .size = *size,
					  .cls = t->cls,
					  .region = t->region,
					  .spread =
						  t->cls == VH_CLASS_SERVICE };
}

void sim_start(struct sim *s, uint32_t task, uint32_t worker,
	       const struct vh_res *size)
{
	struct sim_task *t = &s->tasks[task];
	struct vh_candidate *w = &s->workers[worker];
	bool fails = t->broken || worker == s->faulty_worker;
	int64_t run = t->run_ms;

	g_assert(t->state == SIM_WAITING && vh_res_sub(&w->free, size));
	if (t->used.v[VH_CPU] > size->v[VH_CPU])
		run = run * t->used.v[VH_CPU] / size->v[VH_CPU];
	t->state = SIM_RUNNING;
	t->committed = *size;
	t->worker = worker;
	t->start_ms = s->now_ms;
	t->end_ms = s->now_ms + (fails ? SIM_FAILS_AFTER_MS : run);
	t->starts++;
	if (t->first_start_ms < 0)
		t->first_start_ms = s->now_ms;
	push_end(s, (struct sim_end){ t->end_ms, task, t->starts });
	vh_res_add(&s->running[t->team], size);
	vh_res_sub(&s->waiting[t->team], &t->declared);
	s->stats.starts++;
	if (w->region != t->region)
		s->stats.cross_bytes += t->transfer_bytes;
	if (worker == s->faulty_worker) {
		s->stats.faulty_starts++;
		s->stats.faulty_last_start_ms = s->now_ms;
	}
}

static void release_task(struct sim *s, struct sim_task *t)
{
	vh_res_add(&s->workers[t->worker].free, &t->committed);
	vh_res_sub(&s->running[t->team], &t->committed);
}

void sim_preempt(struct sim *s, uint32_t task)
{
	struct sim_task *t = &s->tasks[task];
	int64_t ran = s->now_ms - t->start_ms;
	int64_t kept = ran / SIM_CHECKPOINT_MS * SIM_CHECKPOINT_MS;

	release_task(s, t);
	s->stats.preemptions++;
	s->stats.lost_core_s +=
		(uint64_t)(ran - kept) * t->committed.v[VH_CPU] / 1000000;
	t->run_ms = t->run_ms > kept + 100 ? t->run_ms - kept : 100;
	t->preempted++;
	t->starts++; /* invalidates the end event in the heap */
	t->state = SIM_WAITING;
	vh_res_add(&s->waiting[t->team], &t->declared);
	s->policy->arrived(s, task);
}

static void end_task(struct sim *s, struct sim_end e)
{
	struct sim_task *t = &s->tasks[e.task];
	bool failed;

	if (t->state != SIM_RUNNING || t->starts != e.start)
		return;
	release_task(s, t);
	failed = t->broken || t->worker == s->faulty_worker;
	t->state = failed ? SIM_FAILED : SIM_DONE;
	s->policy->ended(s, e.task, failed);
	if (failed && ++t->attempts < SIM_ATTEMPTS_MAX) {
		t->state = SIM_WAITING;
		vh_res_add(&s->waiting[t->team], &t->declared);
		s->policy->arrived(s, e.task);
	}
}

static void record_shares(struct sim *s)
{
	struct vh_share_team teams[SIM_TEAMS];
	uint64_t got[SIM_TEAMS];

	for (int i = 0; i < SIM_TEAMS; i++) {
		struct vh_res all = s->running[i];

		vh_res_add(&all, &s->waiting[i]);
		teams[i].weight = s->weights[i];
		teams[i].demand = vh_share_dominant(&all, &s->fleet);
		got[i] = vh_share_dominant(&s->running[i], &s->fleet);
	}
	vh_share_max_min(teams, SIM_TEAMS);
	for (int i = 0; i < SIM_TEAMS; i++)
		vh_share_window_add(&s->windows[i], got[i], teams[i].due, 1000,
				    s->now_ms);
	if (s->now_ms % WINDOW_BUCKET_MS == 0 &&
	    s->now_ms > s->spec.horizon_ms / WARM_UP_DIVISOR) {
		s->stats.deviation_sum += (double)vh_share_deviation(
			s->windows, SIM_TEAMS, s->now_ms);
		s->stats.deviation_n++;
	}
}

static void record_used(struct sim *s)
{
	uint64_t sum = 0;

	if (s->now_ms < s->spec.horizon_ms / WARM_UP_DIVISOR)
		return;
	for (int i = 0; i < SIM_TEAMS; i++)
		sum += s->running[i].v[VH_CPU];
	s->stats.used_core_ms += (double)sum * SIM_TICK_MS;
}

void sim_run(struct sim *s)
{
	size_t next = 0;

	for (; s->now_ms < s->spec.horizon_ms; s->now_ms += SIM_TICK_MS) {
		while (s->n_ends && s->ends[0].at_ms <= s->now_ms)
			end_task(s, pop_end(s));
		for (;
		     next < s->n_tasks && s->tasks[next].arrive_ms <= s->now_ms;
		     next++) {
			vh_res_add(&s->waiting[s->tasks[next].team],
				   &s->tasks[next].declared);
			s->policy->arrived(s, (uint32_t)next);
		}
		s->policy->step(s);
		record_used(s);
		if (s->now_ms % 1000 == 0)
			record_shares(s);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t *sim_wait_times(const struct sim *s, enum vh_class cls, bool gangs,
			size_t *n)
{
	int64_t *out = g_new(int64_t, s->n_tasks + 1);

	*n = 0;
	for (size_t i = 0; i < s->n_tasks; i++) {
		const struct sim_task *t = &s->tasks[i];
		int64_t until = t->first_start_ms >= 0 ? t->first_start_ms
						       : s->spec.horizon_ms;

		if (t->cls != cls || (t->gang > 0) != gangs ||
		    t->arrive_ms < s->spec.horizon_ms / WARM_UP_DIVISOR ||
		    t->arrive_ms >= s->spec.horizon_ms)
			continue;
		out[(*n)++] = until - t->arrive_ms;
	}
	qsort(out, *n, sizeof(*out), compare_ms);
	return out;
}
