#ifndef VH_WORKER_HEALTH_H
#define VH_WORKER_HEALTH_H

#include "vh/health.h"
#include "vh/sync.h"

/**
 * struct worker_health - the health of one rack's workers, by their ids
 *
 * Zeroed memory is a healthy rack. Workers past VH_HEALTH_WORKERS_MAX are always
 * taken for healthy.
 */
struct worker_health {
	struct vh_health health;
	char *ids[VH_HEALTH_WORKERS_MAX];
};

/* Forgets all that is known and frees it. */
void worker_health_clear(struct worker_health *h);

/* A run ended; only ends of programs count for or against its worker. */
void worker_health_ended(struct worker_health *h, struct vh_slice worker,
			 const struct vh_ended_task *ended, int64_t now_ms);
void worker_health_started(struct worker_health *h, struct vh_slice worker,
			   int64_t now_ms);

/* Whether it may take work, and *@failures that speak against it. */
bool worker_health_accepts(struct worker_health *h, struct vh_slice worker,
			   uint32_t *failures, int64_t now_ms);

#endif
