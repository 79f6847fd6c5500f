#ifndef VH_PLACEMENT_H
#define VH_PLACEMENT_H

#include "vh/rack.h"
#include "vh/waitlist.h"
#include "wire.h"
#include "worker_health.h"

/* A home's team as a number; only its being equal counts. */
uint32_t placement_team_id(struct vh_slice home);

/* What a start asks for, as policy sees it; times on the clock of @now_ms. */
void placement_demand(const struct wire_place *msg, int64_t now_ms,
		      struct vh_demand *out);

/**
 * placement_choose - picks a worker of one rack, or keeps the demand waiting
 * @waiting: the rack's waiting list; decides whose turn it is when room is
 *	     short
 * @health: of the rack's workers; one set aside is not chosen
 *
 * @gangs: the rack's holds, which other work must not take
 * @ticket: of the gang whose confirmed hold this start uses, or NULL
 *
 * Returns @n and *@why if the start has to wait.
 */
size_t placement_choose(struct vh_waitlist *waiting,
			struct worker_health *health,
			struct vh_gang_table *gangs,
			const struct vh_gang_ticket *ticket,
			const struct vh_demand *demand,
			const struct vh_worker_view *views, size_t n,
			int64_t now_ms, enum vh_err *why);

#endif
