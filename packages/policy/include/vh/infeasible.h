#ifndef VH_INFEASIBLE_H
#define VH_INFEASIBLE_H

/*
 * Keeps tasks that are larger than every worker apart from the queues. Called
 * only by the unit tests.
 */

#include <stddef.h>

#include "vh/res.h"

/** struct vh_infeasible_task - a task larger than every worker */
struct vh_infeasible_task {
	uint64_t id;
	struct vh_res size;
};

/**
 * struct vh_infeasible_list - tasks that no worker of the fleet could ever hold
 *
 * In the queues they would delay other tasks. They are rechecked only when the
 * fleet or the configured objects change.
 */
struct vh_infeasible_list {
	struct vh_infeasible_task *items;
	size_t n;
	size_t cap;
};

void vh_infeasible_init(struct vh_infeasible_list *list);
void vh_infeasible_finish(struct vh_infeasible_list *list);
void vh_infeasible_add(struct vh_infeasible_list *list, uint64_t id,
		       const struct vh_res *size);

/**
 * vh_infeasible_recheck - removes the tasks that fit the changed fleet
 * @capacities: the @n distinct capacities of its workers
 * @fn: called for each removed task
 */
void vh_infeasible_recheck(struct vh_infeasible_list *list,
			   const struct vh_res *capacities, size_t n,
			   void (*fn)(void *ctx, uint64_t id), void *ctx);

/* vh_infeasible_remove - removes the tasks for which @gone is true, in one
 * pass; call it once for many cancellations */
void vh_infeasible_remove(struct vh_infeasible_list *list,
			  bool (*gone)(void *ctx, uint64_t id), void *ctx);

#endif
