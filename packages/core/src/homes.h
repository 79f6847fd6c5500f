#ifndef VH_HOMES_H
#define VH_HOMES_H

/*
 * Service "homes": the homes that this node owns. A home is a shard of a
 * team's jobs, with a log stream of its own. Internal to the package: core.c
 * creates the service, and status.c lists the homes.
 */

#include "core_priv.h"
#include "vh/home.h"

/*
 * Opens the streams of the homes, reconciles the homes with the racks, starts
 * waiting tasks, answers calls about jobs, and keeps the replicas of services
 * running.
 */
struct vh_homes *homes_new(struct vh_core *core);
void homes_free(struct vh_homes *hs);
struct vh_service *homes_service(struct vh_homes *hs);

/* Calls @fn for each open home. */
void homes_each(struct vh_homes *hs,
		void (*fn)(void *ctx, struct vh_home *home), void *ctx);

#endif
