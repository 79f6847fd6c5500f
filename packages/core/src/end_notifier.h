#ifndef VH_END_NOTIFIER_H
#define VH_END_NOTIFIER_H

#include "core_priv.h"
#include "wire.h"

/*
 * Ends of runs on this node's racks, told to their homes again and again until
 * a home answers that the end is durable.
 */
struct ends {
	struct vh_core *core;
	struct pending_end *items;
	size_t n;
	struct vh_timer timer;
	void (*settled)(void *ctx, struct vh_slice rack, struct vh_slice task,
			uint32_t attempt, uint64_t home_epoch);
	void *ctx;
};

void end_notifier_init(struct ends *e, struct vh_core *core,
		       void (*settled)(void *ctx, struct vh_slice rack,
				       struct vh_slice task, uint32_t attempt,
				       uint64_t home_epoch),
		       void *ctx);
void end_notifier_finish(struct ends *e);

/* Takes on an end; one already held is left as it is. */
void end_notifier_add(struct ends *e, struct vh_slice rack,
		      struct vh_slice worker,
		      const struct vh_ended_task *ended);

/* Forgets the ends of a rack that is no longer owned. */
void end_notifier_drop_rack(struct ends *e, struct vh_slice rack);

#endif
