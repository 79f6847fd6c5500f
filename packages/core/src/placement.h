#ifndef VH_PLACEMENT_H
#define VH_PLACEMENT_H

/*
 * Decides which worker of a rack starts a task, or whether the task waits.
 * Internal to the package: called by the sources of the service "racks".
 */

#include "vh/rack.h"
#include "vh/waitlist.h"
#include "wire.h"
#include "worker_health.h"

/* An id of a home's team, for comparison only: a hash of the team's name. */
uint32_t placement_team_id(struct vh_slice home);

/* Converts a start request to a demand; times are on the clock of @now_ms. */
void placement_demand(const struct wire_place *msg, int64_t now_ms,
		      struct vh_demand *out);

/**
 * placement_choose - picks a worker or puts the demand on the waitlist
 * @waitlist: the rack's waitlist, which orders the demands when capacity is
 *	      short
 * @health: health of the rack's workers; quarantined ones are not chosen
 * @gangs: the rack's gang holds, whose capacity other work must not use
 * @ticket: ticket of the gang whose confirmed hold this start consumes, or NULL
 *
 * Returns the worker's index, or @n and the reason in *@why if the start has to
 * wait or is refused.
 */
size_t placement_choose(struct vh_waitlist *waitlist,
			struct worker_health *health,
			struct vh_gang_table *gangs,
			const struct vh_gang_ticket *ticket,
			const struct vh_demand *demand,
			const struct vh_worker_view *views, size_t n,
			int64_t now_ms, enum vh_err *why);

#endif
