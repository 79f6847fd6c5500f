#ifndef VH_JOBS_H
#define VH_JOBS_H

#include "core_priv.h"

/*
 * Service "jobs": forwards calls to a job's home and retries them while the
 * home changes its owner. Calls are safe to retry: submits carry a key, and
 * the others are idempotent.
 */
struct vh_jobs *jobs_new(struct vh_core *core);
void jobs_free(struct vh_jobs *j);
struct vh_service *jobs_service(struct vh_jobs *j);

#endif
