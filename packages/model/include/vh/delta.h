#ifndef VH_DELTA_H
#define VH_DELTA_H

/*
 * Differences between two sets of objects. All texts are in the canonical form
 * that vh_objects_render() writes; "" is the set before the first publish.
 * Called by core (config.c), by the gateway's operators' listener and by vhctl.
 */

#include "vh/buf.h"
#include "vh/slice.h"

/** enum vh_change - kind of difference between two groups */
enum vh_change {
	VH_CHANGE_ADDED,
	VH_CHANGE_REMOVED,
	VH_CHANGE_CHANGED
};

/* vh_change_name - "added", "removed" or "changed" */
const char *vh_change_name(enum vh_change change);

/**
 * struct vh_group_change - one group that differs between two sets
 * @group: header without brackets
 * @from: key lines in the old set; empty if the group was added
 * @to: key lines in the new set; empty if the group was removed
 */
struct vh_group_change {
	enum vh_change change;
	struct vh_slice group;
	struct vh_slice from;
	struct vh_slice to;
};

/* vh_objects_diff - calls @fn for each group that differs, sorted by header */
void vh_objects_diff(struct vh_slice from, struct vh_slice to,
		     void (*fn)(void *ctx, const struct vh_group_change *c),
		     void *ctx);

/**
 * vh_objects_delta_make - appends to @delta the changes from @from to @to
 *
 * Added and changed groups are written in full, a removed one as [-HEADER].
 */
void vh_objects_delta_make(struct vh_slice from, struct vh_slice to,
			   struct vh_buf *delta);

/**
 * vh_objects_delta_apply - applies @delta to @from, appends the result to @to
 *
 * Returns false and leaves @to unchanged if @delta is malformed, is not sorted,
 * or removes a group that @from does not contain.
 */
bool vh_objects_delta_apply(struct vh_slice from, struct vh_slice delta,
			    struct vh_buf *to);

#endif
