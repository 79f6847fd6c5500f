#ifndef VH_RACKS_H
#define VH_RACKS_H

#include "core_priv.h"
#include "vh/rack.h"
#include "vh/summary.h"

/*
 * Service "racks": the racks that this node owns. Carries exchanges to
 * workers, decides starts that homes ask for, and tells homes of ends until
 * they have made them durable.
 */
struct vh_racks *racks_new(struct vh_core *core);
void racks_free(struct vh_racks *r);
struct vh_service *racks_service(struct vh_racks *r);

/* Calls @fn with each worker of each owned rack. */
void racks_each_worker(const struct vh_racks *r,
		       void (*fn)(void *ctx, struct vh_slice rack,
				  const struct vh_worker_view *view,
				  const struct vh_vm *vm),
		       void *ctx);

/* Calls @fn with the summary of each owned rack. */
void racks_summaries(const struct vh_racks *r,
		     void (*fn)(void *ctx, struct vh_slice rack,
				const struct vh_rack_summary *summary),
		     void *ctx);

/* Bytes sent to and received from workers so far. */
uint64_t racks_worker_bytes(const struct vh_racks *r);

/* Ends not yet settled with their homes. */
size_t racks_unacked_ends(const struct vh_racks *r);

#endif
