#ifndef CELL_ZONES_H
#define CELL_ZONES_H

/*
 * The availability zones that operators drain, as read from the topic of
 * objects. Internal to the package; every node keeps the set, and the owner
 * takes it from its node. See docs/design/drain.md.
 */

#include "vh/ports.h"

/**
 * struct zones - the set of drained zones
 * @drained: zone to the number of the snapshot that last had it
 * @snapshot: number of the last snapshot of the topic
 * @known: the topic has been read once
 */
struct zones {
	GHashTable *drained;
	gsize snapshot;
	bool known;
};

void zones_init(struct zones *z);
void zones_finish(struct zones *z);

/**
 * zones_apply - applies a record of the topic
 *
 * Returns whether the set has changed. Other records are ignored.
 */
bool zones_apply(struct zones *z, const struct vh_decode_ops *decode,
		 const struct vh_record *r);

/* zones_snapshot_begin - the newest record of each key follows */
void zones_snapshot_begin(struct zones *z);

/**
 * zones_snapshot_end - all of them were applied
 *
 * The deletion of a key may no longer be in the topic's history, so zones that
 * were not among the newest records are withdrawn.
 */
void zones_snapshot_end(struct zones *z);

/* zones_list - an array of slices, to be freed; valid until the next change */
struct vh_slice *zones_list(const struct zones *z, size_t *n);

#endif
