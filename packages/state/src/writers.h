#ifndef VH_WRITERS_H
#define VH_WRITERS_H

/*
 * Detects batches of a stream that were appended twice, by the sequence numbers
 * of their writers. Internal to the package: called by stream.c.
 */

#include "table.h"
#include "vh/codec.h"

/**
 * struct vh_writers - the last sequence number of each writer of a stream
 *
 * Keeps the VH_WRITERS_MAX most recently seen writers. Zeroed memory is empty.
 */
#define VH_WRITERS_MAX 1024

struct vh_writers {
	struct vh_table table;
	struct vh_writer *newest;
	struct vh_writer *oldest;
};

void vh_writers_finish(struct vh_writers *w);

/*
 * vh_writers_accept - returns false if @seq was already seen from @writer;
 * otherwise records it
 */
bool vh_writers_accept(struct vh_writers *w, struct vh_slice writer,
		       uint64_t seq);

/* vh_writers_pack, vh_writers_unpack - for snapshots; oldest writer first */
void vh_writers_pack(const struct vh_writers *w, struct vh_buf *out);
bool vh_writers_unpack(struct vh_writers *w, struct vh_unpack *u);

#endif
