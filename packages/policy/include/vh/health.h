#ifndef VH_HEALTH_H
#define VH_HEALTH_H

/*
 * Detects faulty workers from the results of their tasks and quarantines them.
 * Called by core (worker_health.c) and by the policy simulator.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VH_HEALTH_WORKERS_MAX 16
#define VH_HEALTH_FAILURES_MAX 8 /* failures recorded for a worker */
#define VH_HEALTH_JOBS_MAX 64	 /* failed jobs recorded for a rack */

enum vh_health_state {
	VH_HEALTH_HEALTHY,
	VH_HEALTH_QUARANTINED, /* accepts no tasks */
	VH_HEALTH_PROBING      /* accepts one task at a time */
};

struct vh_health_failure {
	uint64_t job;
	uint32_t team;
	int64_t at_ms;
};

/** struct vh_health_worker - recent failures on a worker, and its state */
struct vh_health_worker {
	struct vh_health_failure failures[VH_HEALTH_FAILURES_MAX];
	size_t n;
	enum vh_health_state state;
	int64_t until_ms;      /* end of the quarantine */
	int64_t quarantine_ms; /* length of the next quarantine */
	uint32_t probes_passed;
	bool probe_running;
};

/** struct vh_health_job - a failed job and the workers that it failed on */
struct vh_health_job {
	uint64_t job;
	uint32_t workers; /* bitmap */
	int64_t at_ms;	  /* last failure */
	bool faulty;	  /* its failures do not count against workers */
};

/**
 * struct vh_health - health of the workers of one rack
 *
 * Only failures of programs count, not stops or lost leases. A worker is
 * quarantined after failures of 3 distinct jobs of 2 teams, or of 5 distinct
 * jobs. A failure counts for 10 minutes, and each success on the worker cancels
 * its two oldest failures. At most half of the workers are quarantined or
 * probing. A job that failed on 3 workers without a success is faulty itself,
 * and its failures do not count against workers; nor do those of a team whose
 * failures count on 3 workers at once. After its quarantine a worker gets one
 * task at a time: two successes reinstate it, a failure quarantines it for
 * twice as long. Zeroed memory with @n_workers set is a healthy rack.
 */
struct vh_health {
	size_t n_workers;
	struct vh_health_worker workers[VH_HEALTH_WORKERS_MAX];
	struct vh_health_job jobs[VH_HEALTH_JOBS_MAX];
	size_t n_jobs;
};

void vh_health_failed(struct vh_health *h, size_t worker, uint64_t job,
		      uint32_t team, int64_t now_ms);
void vh_health_succeeded(struct vh_health *h, size_t worker, uint64_t job,
			 int64_t now_ms);

/* vh_health_state - the current state; ends a quarantine that has elapsed */
enum vh_health_state vh_health_state(struct vh_health *h, size_t worker,
				     int64_t now_ms);

/* vh_health_accepts - whether the worker may be given a task now */
bool vh_health_accepts(struct vh_health *h, size_t worker, int64_t now_ms);

/* vh_health_started - records a start, which is a probe in state PROBING */
void vh_health_started(struct vh_health *h, size_t worker, int64_t now_ms);

/* vh_health_ended_inconclusive - records an end that is neither a success nor a
 * failure of the program, such as a stop */
void vh_health_ended_inconclusive(struct vh_health *h, size_t worker);

/* vh_health_failures - number of distinct jobs that count against the worker,
 * for @failures of struct vh_candidate */
uint32_t vh_health_failures(const struct vh_health *h, size_t worker,
			    int64_t now_ms);

#endif
