#ifndef VH_SNAPSHOT_H
#define VH_SNAPSHOT_H

/*
 * Writes snapshots of a stream's state into the stream and reads them back.
 * Called by packages/core (log_stream.c).
 */

#include "vh/stream.h"

/*
 * A snapshot stores the state derived from a stream's records in the stream
 * itself before retention removes them: VH_REC_SNAP_BEGIN, chunks,
 * VH_REC_SNAP_END. An incomplete snapshot is ignored.
 *
 * A reader that starts after the stream's first offset applies nothing and
 * passes all records to a struct vh_snap_reader. Once that has a snapshot whose
 * following record is still retained, the reader loads it, calls
 * vh_stream_restore() and vh_stream_start() at vh_snapshot.covers + 1, and
 * applies records from there. Until then its state is unknown and it must not
 * act on it.
 */
#define VH_SNAP_CHUNK_BYTES 32768
#define VH_SNAP_MAX_BYTES (64 * 1024 * 1024)
#define VH_SNAP_PARTIAL_MAX 4 /* concurrently read snapshots */

/**
 * vh_snap_write - appends a snapshot
 * @covers: offset of the newest record reflected in @state
 * @state: output of the caller's dump function
 * @done: called once, possibly before the function returns. VH_OK: the snapshot
 *       is complete in the log; otherwise it is incomplete and has no effect.
 *
 * The stream's max_queued_bytes must be large enough for all of it. Any node
 * may write a snapshot at any time; snapshots of several writers may
 * interleave.
 */
void vh_snap_write(struct vh_stream *s, uint64_t covers, struct vh_slice state,
		   void (*done)(void *arg, enum vh_err err, uint64_t offset),
		   void *arg);

/**
 * struct vh_snapshot - a complete snapshot; valid until the next call on the
 * reader
 * @stream: for vh_stream_restore()
 * @state: for the caller's load function
 */
struct vh_snapshot {
	uint64_t covers;
	struct vh_slice stream;
	struct vh_slice state;
};

/** struct vh_snap_reader - assembles snapshots; zeroed memory is empty */
struct vh_snap_reader {
	struct vh_snap_partial *partials[VH_SNAP_PARTIAL_MAX];
	struct vh_snap_partial *complete;
};

void vh_snap_reader_finish(struct vh_snap_reader *r);

/*
 * vh_snap_reader_apply - handles one record of any kind; returns true if it
 * completed a snapshot
 */
bool vh_snap_reader_apply(struct vh_snap_reader *r, uint32_t kind,
			  struct vh_slice body, struct vh_snapshot *out);

/**
 * vh_snap_due_ms - returns the time to write the next snapshot
 * @newest_ms: when the newest complete snapshot was read. If that was while
 *       catching up, its age is unknown: pass the time of catching up minus a
 *       quarter of the retention.
 * @rank: position in the rendezvous order of live nodes, 0 for the first and
 *       for the owner of a home. Each further rank writes a sixteenth of the
 *       retention later, so that after two consecutive failed writers more than
 *       half of the retention is left.
 */
int64_t vh_snap_due_ms(int64_t newest_ms, int64_t retention_ms, uint32_t rank);

#endif
