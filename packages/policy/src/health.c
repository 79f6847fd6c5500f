#include "vh/health.h"

#define FAILURE_TTL_MS 600000 /* older failures are ignored */
#define QUARANTINE_FIRST_MS 30000
#define QUARANTINE_MAX_MS 1800000
/* Distinct jobs, and teams to which they belong, whose failures quarantine a
 * worker. */
#define DISTINCT_JOBS 3
#define DISTINCT_TEAMS 2
/* Distinct jobs that suffice for it even if all belong to one team. */
#define DISTINCT_JOBS_ONE_TEAM 5
/* Workers on which a job or team has to fail to be held responsible itself. */
#define WIDE_FAILURE_WORKERS 3
#define PROBES_TO_PASS 2
#define FAILURES_CLEARED_BY_SUCCESS 2

static void remove_failure(struct vh_health_worker *w, size_t i)
{
	for (w->n--; i < w->n; i++)
		w->failures[i] = w->failures[i + 1];
}

static void expire_failures(struct vh_health_worker *w, int64_t now_ms)
{
	while (w->n && now_ms - w->failures[0].at_ms > FAILURE_TTL_MS)
		remove_failure(w, 0);
}

static struct vh_health_job *find_job(struct vh_health *h, uint64_t job)
{
	for (size_t i = 0; i < h->n_jobs; i++) {
		if (h->jobs[i].job == job)
			return &h->jobs[i];
	}
	return NULL;
}

/* In a full table, replaces the job whose last failure is the oldest. */
static struct vh_health_job *find_or_add_job(struct vh_health *h, uint64_t job,
					     int64_t now_ms)
{
	struct vh_health_job *j = find_job(h, job);

	if (!j && h->n_jobs < VH_HEALTH_JOBS_MAX) {
		j = &h->jobs[h->n_jobs++];
		*j = (struct vh_health_job){ .job = job };
	} else if (!j) {
		j = &h->jobs[0];
		for (size_t i = 1; i < h->n_jobs; i++) {
			if (h->jobs[i].at_ms < j->at_ms)
				j = &h->jobs[i];
		}
		*j = (struct vh_health_job){ .job = job };
	}
	j->at_ms = now_ms;
	return j;
}

/* Whether a team's tasks fail on so many workers that the cause is likely the
 * team's programs rather than the workers. */
static bool team_fails_widely(const struct vh_health *h, uint32_t team,
			      int64_t now_ms)
{
	unsigned int workers = 0;

	for (size_t i = 0; i < h->n_workers; i++) {
		const struct vh_health_worker *w = &h->workers[i];
		bool any = false;

		for (size_t k = 0; k < w->n; k++)
			any |= w->failures[k].team == team &&
			       now_ms - w->failures[k].at_ms <= FAILURE_TTL_MS;
		workers += any;
	}
	return workers >= WIDE_FAILURE_WORKERS;
}

/* Counts the distinct jobs and teams whose failures count against a worker. */
static void count_distinct(const struct vh_health *h, size_t worker,
			   int64_t now_ms, uint32_t *jobs, uint32_t *teams)
{
	const struct vh_health_worker *w = &h->workers[worker];

	*jobs = *teams = 0;
	for (size_t i = 0; i < w->n; i++) {
		bool new_job = true, new_team = true;

		if (now_ms - w->failures[i].at_ms > FAILURE_TTL_MS ||
		    team_fails_widely(h, w->failures[i].team, now_ms))
			continue;
		for (size_t k = 0; k < i; k++) {
			new_job &= w->failures[k].job != w->failures[i].job;
			new_team &= w->failures[k].team != w->failures[i].team;
		}
		*jobs += new_job;
		*teams += new_team;
	}
}

/* Whether the worker's failures suffice for a quarantine. */
static bool has_too_many_failures(const struct vh_health *h, size_t worker,
				  int64_t now_ms)
{
	uint32_t jobs, teams;

	count_distinct(h, worker, now_ms, &jobs, &teams);
	return jobs >= DISTINCT_JOBS_ONE_TEAM ||
	       (jobs >= DISTINCT_JOBS && teams >= DISTINCT_TEAMS);
}

static size_t count_unhealthy(const struct vh_health *h)
{
	size_t n = 0;

	for (size_t i = 0; i < h->n_workers; i++)
		n += h->workers[i].state != VH_HEALTH_HEALTHY;
	return n;
}

static void quarantine(struct vh_health_worker *w, int64_t now_ms)
{
	if (!w->quarantine_ms)
		w->quarantine_ms = QUARANTINE_FIRST_MS;
	w->state = VH_HEALTH_QUARANTINED;
	w->until_ms = now_ms + w->quarantine_ms;
	w->quarantine_ms = w->quarantine_ms * 2 < QUARANTINE_MAX_MS
				   ? w->quarantine_ms * 2
				   : QUARANTINE_MAX_MS;
	w->probes_passed = 0;
	w->probe_running = false;
}

static void reinstate(struct vh_health_worker *w)
{
	w->state = VH_HEALTH_HEALTHY;
	w->n = 0;
	w->probes_passed = 0;
	w->probe_running = false;
}

/* Removes the failures of a faulty job from all workers, and marks as healthy
 * those whose other failures do not suffice for a quarantine. */
static void clear_job_failures(struct vh_health *h, uint64_t job,
			       int64_t now_ms)
{
	for (size_t i = 0; i < h->n_workers; i++) {
		struct vh_health_worker *w = &h->workers[i];
		size_t before = w->n;

		for (size_t k = 0; k < w->n;) {
			if (w->failures[k].job == job)
				remove_failure(w, k);
			else
				k++;
		}
		if (w->n < before && w->state != VH_HEALTH_HEALTHY &&
		    !has_too_many_failures(h, i, now_ms)) {
			w->state = VH_HEALTH_HEALTHY;
			w->quarantine_ms = QUARANTINE_FIRST_MS;
		}
	}
}

void vh_health_failed(struct vh_health *h, size_t worker, uint64_t job,
		      uint32_t team, int64_t now_ms)
{
	struct vh_health_worker *w = &h->workers[worker];
	struct vh_health_job *j = find_or_add_job(h, job, now_ms);

	j->workers |= 1u << worker;
	if (j->faulty ||
	    __builtin_popcount(j->workers) >= WIDE_FAILURE_WORKERS) {
		j->faulty = true;
		w->probe_running = false;
		clear_job_failures(h, job, now_ms);
		return;
	}
	expire_failures(w, now_ms);
	if (w->n == VH_HEALTH_FAILURES_MAX)
		remove_failure(w, 0);
	w->failures[w->n++] = (struct vh_health_failure){ job, team, now_ms };
	if (w->state == VH_HEALTH_PROBING)
		quarantine(w, now_ms);
	else if (w->state == VH_HEALTH_HEALTHY &&
		 has_too_many_failures(h, worker, now_ms) &&
		 count_unhealthy(h) < h->n_workers / 2)
		quarantine(w, now_ms);
}

void vh_health_succeeded(struct vh_health *h, size_t worker, uint64_t job,
			 int64_t now_ms)
{
	struct vh_health_worker *w = &h->workers[worker];
	struct vh_health_job *j = find_job(h, job);

	(void)now_ms;
	if (j) {
		j->workers = 0;
		j->faulty = false;
	}
	for (int i = 0; i < FAILURES_CLEARED_BY_SUCCESS && w->n; i++)
		remove_failure(w, 0);
	w->probe_running = false;
	if (w->state == VH_HEALTH_PROBING &&
	    ++w->probes_passed >= PROBES_TO_PASS) {
		reinstate(w);
		w->quarantine_ms = QUARANTINE_FIRST_MS;
	}
}

enum vh_health_state vh_health_state(struct vh_health *h, size_t worker,
				     int64_t now_ms)
{
	struct vh_health_worker *w = &h->workers[worker];

	if (w->state == VH_HEALTH_QUARANTINED && now_ms >= w->until_ms)
		w->state = VH_HEALTH_PROBING;
	return w->state;
}

bool vh_health_accepts(struct vh_health *h, size_t worker, int64_t now_ms)
{
	switch (vh_health_state(h, worker, now_ms)) {
	case VH_HEALTH_HEALTHY:
		return true;
	case VH_HEALTH_PROBING:
		return !h->workers[worker].probe_running;
	default:
		return false;
	}
}

void vh_health_started(struct vh_health *h, size_t worker, int64_t now_ms)
{
	if (vh_health_state(h, worker, now_ms) == VH_HEALTH_PROBING)
		h->workers[worker].probe_running = true;
}

void vh_health_ended_inconclusive(struct vh_health *h, size_t worker)
{
	h->workers[worker].probe_running = false;
}

uint32_t vh_health_failures(const struct vh_health *h, size_t worker,
			    int64_t now_ms)
{
	uint32_t jobs, teams;

	count_distinct(h, worker, now_ms, &jobs, &teams);
	return jobs;
}
