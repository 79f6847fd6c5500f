#ifndef VH_HEALTH_H
#define VH_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VH_HEALTH_WORKERS_MAX 16
#define VH_HEALTH_FAILURES_MAX 8 /* failures remembered for a worker */
#define VH_HEALTH_JOBS_MAX 64	 /* failing jobs remembered */

enum vh_health_state {
	VH_HEALTH_HEALTHY,
	VH_HEALTH_QUARANTINED, /* takes no work */
	VH_HEALTH_PROBING      /* takes one task at a time */
};

struct vh_health_failure {
	uint64_t job;
	uint32_t team;
	int64_t at_ms;
};

/** struct vh_health_worker - what speaks against one worker */
struct vh_health_worker {
	struct vh_health_failure evidence[VH_HEALTH_FAILURES_MAX];
	size_t n;
	enum vh_health_state state;
	int64_t until_ms;      /* aside until then */
	int64_t quarantine_ms; /* length of the next time aside */
	uint32_t probes_passed;
	bool probe_running;
};

/** struct vh_health_job - a job that failed, and where */
struct vh_health_job {
	uint64_t job;
	uint32_t workers; /* bits */
	int64_t at_ms;
	bool blamed;
};

/**
 * struct vh_health - the workers of a rack, judged by the ends of their tasks
 *
 * Only programs that failed count, not stops or lost leases. A worker is set
 * aside after failures of 3 distinct jobs of 2 teams, or of 5 distinct jobs,
 * with no more than a success for every two failures between; at most half of
 * the workers are. A job that failed on 3 workers and succeeded on none is
 * itself to blame, and its failures speak against no worker; nor do those of a
 * team that fails on 3 workers at the time. After a while a
 * worker set aside gets one task at a time; two that succeed bring it back, a
 * failure sets it aside for twice as long. Zeroed memory is a healthy rack;
 * set @n_workers.
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

/* vh_health_state - moves on with time: ASIDE becomes PROBING */
enum vh_health_state vh_health_state(struct vh_health *h, size_t worker,
				     int64_t now_ms);

/* vh_health_accepts - whether to call the worker usable now */
bool vh_health_accepts(struct vh_health *h, size_t worker, int64_t now_ms);

/* vh_health_started - a task was started there; notes a probe */
void vh_health_started(struct vh_health *h, size_t worker, int64_t now_ms);

/* vh_health_ended_inconclusive - a task ended and says nothing of the worker */
void vh_health_ended_inconclusive(struct vh_health *h, size_t worker);

/* vh_health_failures - distinct jobs that speak against it now, for
 * struct vh_candidate */
uint32_t vh_health_failures(const struct vh_health *h, size_t worker,
			    int64_t now_ms);

#endif
