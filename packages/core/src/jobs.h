#ifndef VH_JOBS_H
#define VH_JOBS_H

#include "core_priv.h"

/*
 * Service "jobs": finds a job's home and asks it, again while it moves. Every
 * call is safe to repeat: submits carry a key, the others change nothing twice.
 */
struct vh_jobs *jobs_new(struct vh_core *core);
void jobs_free(struct vh_jobs *j);
struct vh_service *jobs_service(struct vh_jobs *j);

#endif
