#ifndef VH_JOBS_H
#define VH_JOBS_H

/*
 * Service "jobs": forwards calls to a job's home and retries them while the
 * home changes its owner. Internal to the package: core.c creates the service;
 * the gateway calls it through struct vh_jobs_ops.
 */

#include "core_priv.h"

/*
 * Calls are safe to retry: submits carry a key, and the others are idempotent.
 */
struct vh_jobs *jobs_new(struct vh_core *core);
void jobs_free(struct vh_jobs *j);
struct vh_service *jobs_service(struct vh_jobs *j);

#endif
