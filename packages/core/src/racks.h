#ifndef VH_RACKS_H
#define VH_RACKS_H

/*
 * Service "racks": the racks that this node owns. Internal to the package:
 * core.c creates the service; the services "fleet", "status" and "cost" read
 * its workers, summaries and counters.
 */

#include "core_priv.h"
#include "vh/rack.h"
#include "vh/summary.h"

/*
 * Performs the exchanges with the workers of the racks, decides the start
 * requests of homes, and reports ends to homes until these have made them
 * durable.
 */
struct vh_racks *racks_new(struct vh_core *core);
void racks_free(struct vh_racks *rs);
struct vh_service *racks_service(struct vh_racks *rs);

/* Calls @fn for each worker of each owned rack. */
void racks_each_worker(const struct vh_racks *rs,
		       void (*fn)(void *ctx, struct vh_slice rack,
				  const struct vh_worker_view *view,
				  const struct vh_vm *vm),
		       void *ctx);

/* Calls @fn with the summary of each owned rack. */
void racks_summaries(const struct vh_racks *rs,
		     void (*fn)(void *ctx, struct vh_slice rack,
				const struct vh_rack_summary *summary),
		     void *ctx);

/* Total bytes sent to and received from workers. */
uint64_t racks_worker_bytes(const struct vh_racks *rs);

/* Number of ends that their homes have not acknowledged yet. */
size_t racks_unacked_ends(const struct vh_racks *rs);

#endif
