#ifndef VH_WORKER_HEALTH_H
#define VH_WORKER_HEALTH_H

/*
 * Tracks the health of a rack's workers by their ids, with struct vh_health.
 * Internal to the package: placement and the service "racks" use it.
 */

#include "vh/health.h"
#include "vh/sync.h"

/**
 * struct worker_health - the health of a rack's workers, by worker id
 *
 * Zeroed memory is a rack of healthy workers. Workers beyond
 * VH_HEALTH_WORKERS_MAX are not tracked and count as healthy.
 */
struct worker_health {
	struct vh_health health;
	char *ids[VH_HEALTH_WORKERS_MAX];
};

/* Frees the ids and resets all workers to healthy. */
void worker_health_clear(struct worker_health *h);

/* Records the end of a run. Only VH_END_DONE and VH_END_FAILED count for or
 * against its worker. */
void worker_health_ended(struct worker_health *h, struct vh_slice worker,
			 const struct vh_ended_task *ended, int64_t now_ms);
void worker_health_started(struct worker_health *h, struct vh_slice worker,
			   int64_t now_ms);

/* Whether the worker may be given work; *@failures is its failure count. */
bool worker_health_accepts(struct worker_health *h, struct vh_slice worker,
			   uint32_t *failures, int64_t now_ms);

#endif
