#ifndef VH_INFEASIBLE_H
#define VH_INFEASIBLE_H

#include <stddef.h>

#include "vh/res.h"

/** struct vh_infeasible_task - a task that no worker could hold */
struct vh_infeasible_task {
	uint64_t id;
	struct vh_res size;
};

/**
 * struct vh_infeasible_list - tasks that no worker of the fleet could ever hold
 *
 * They are looked at again when the fleet or the objects change, not before,
 * so they hold nobody up.
 */
struct vh_infeasible_list {
	struct vh_infeasible_task *items;
	size_t n;
	size_t cap;
};

void vh_infeasible_init(struct vh_infeasible_list *p);
void vh_infeasible_finish(struct vh_infeasible_list *p);
void vh_infeasible_add(struct vh_infeasible_list *p, uint64_t id,
		       const struct vh_res *size);

/**
 * vh_infeasible_recheck - the fleet has changed
 * @capacities: the @n distinct capacities of its workers
 * @fn: called for each task that fits one of them now; it is parked no longer
 */
void vh_infeasible_recheck(struct vh_infeasible_list *p,
			   const struct vh_res *capacities, size_t n,
			   void (*fn)(void *ctx, uint64_t id), void *ctx);

/* vh_infeasible_remove - removes all for which @gone says so, in one pass: call it
 * once for a wave of cancellations */
void vh_infeasible_remove(struct vh_infeasible_list *p,
			  bool (*gone)(void *ctx, uint64_t id), void *ctx);

#endif
