#ifndef VH_END_NOTIFIER_H
#define VH_END_NOTIFIER_H

/*
 * Reports ends of runs on this node's racks to their homes, and repeats each
 * report until the home acknowledges that the end is durable. Internal to the
 * package: the service "racks" calls it.
 */

#include "core_priv.h"
#include "wire.h"

struct end_notifier {
	struct vh_core *core;
	struct pending_end *items;
	size_t n;
	struct vh_timer timer;
	void (*acked)(void *ctx, struct vh_slice rack, struct vh_slice task,
		      uint32_t attempt, uint64_t home_epoch);
	void *ctx;
};

void end_notifier_init(struct end_notifier *en, struct vh_core *core,
		       void (*acked)(void *ctx, struct vh_slice rack,
				     struct vh_slice task, uint32_t attempt,
				     uint64_t home_epoch),
		       void *ctx);
void end_notifier_finish(struct end_notifier *en);

/* Queues an end; does nothing if it is already queued. */
void end_notifier_add(struct end_notifier *en, struct vh_slice rack,
		      struct vh_slice worker,
		      const struct vh_ended_task *ended);

/* Drops the ends of a rack that this node no longer owns. */
void end_notifier_drop_rack(struct end_notifier *en, struct vh_slice rack);

#endif
