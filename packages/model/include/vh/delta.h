#ifndef VH_DELTA_H
#define VH_DELTA_H

#include "vh/buf.h"
#include "vh/slice.h"

/*
 * All texts here are canonical, as vh_objects_render() writes them; "" is the
 * set before the first publish.
 */

enum vh_change {
	VH_CHANGE_ADDED,
	VH_CHANGE_REMOVED,
	VH_CHANGE_CHANGED
};

/* vh_change_name - "added", "removed" or "changed" */
const char *vh_change_name(enum vh_change change);

/**
 * struct vh_group_change - one group that differs between two sets
 * @group: its header without brackets
 * @from: its lines before; empty for ADDED
 * @to: its lines after; empty for REMOVED
 */
struct vh_group_change {
	enum vh_change change;
	struct vh_slice group;
	struct vh_slice from;
	struct vh_slice to;
};

/* vh_objects_diff - calls @fn for each group that differs, in their order */
void vh_objects_diff(struct vh_slice from, struct vh_slice to,
		     void (*fn)(void *ctx, const struct vh_group_change *c),
		     void *ctx);

/**
 * vh_objects_delta_make - appends what turns @from into @to
 *
 * The added and changed groups in full; a removed one as [-HEADER].
 */
void vh_objects_delta_make(struct vh_slice from, struct vh_slice to,
			   struct vh_buf *delta);

/**
 * vh_objects_delta_apply - appends the set that @delta makes of @from
 *
 * Returns false, with @to as it was, if @delta does not fit: malformed, out of
 * order, or it removes a group that @from does not have.
 */
bool vh_objects_delta_apply(struct vh_slice from, struct vh_slice delta,
			    struct vh_buf *to);

#endif
