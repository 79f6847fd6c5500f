#ifndef VH_PARK_H
#define VH_PARK_H

#include <stddef.h>

#include "vh/res.h"

/** struct vh_parked - a task that no worker could hold */
struct vh_parked {
	uint64_t id;
	struct vh_res size;
};

/**
 * struct vh_park - tasks that no worker of the fleet could ever hold
 *
 * They are looked at again when the fleet or the objects change, not before,
 * so they hold nobody up.
 */
struct vh_park {
	struct vh_parked *items;
	size_t n;
	size_t cap;
};

void vh_park_init(struct vh_park *p);
void vh_park_finish(struct vh_park *p);
void vh_park_add(struct vh_park *p, uint64_t id, const struct vh_res *size);

/**
 * vh_park_retry - the fleet has changed
 * @capacities: the @n distinct capacities of its workers
 * @fn: called for each task that fits one of them now; it is parked no longer
 */
void vh_park_retry(struct vh_park *p, const struct vh_res *capacities, size_t n,
		   void (*fn)(void *ctx, uint64_t id), void *ctx);

/* vh_park_remove - removes all for which @gone says so, in one pass: call it
 * once for a wave of cancellations */
void vh_park_remove(struct vh_park *p, bool (*gone)(void *ctx, uint64_t id),
		    void *ctx);

#endif
