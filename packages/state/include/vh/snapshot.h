#ifndef VH_SNAPSHOT_H
#define VH_SNAPSHOT_H

#include "vh/stream.h"

/*
 * The state that a stream's records gave, written again into the stream before
 * retention removes them: VH_REC_SNAP_BEGIN, chunks, VH_REC_SNAP_END. Complete
 * or ignored.
 *
 * A reader that starts behind the stream's first offset applies nothing and
 * gives all records to a struct vh_snap_reader. When that has a snapshot whose
 * next record is still kept, the reader loads it, calls vh_stream_restore()
 * and then vh_stream_start() at vh_snapshot.covers + 1, and applies records
 * from there on. While it has none, it knows nothing and must not act.
 */
#define VH_SNAP_CHUNK_BYTES 32768
#define VH_SNAP_MAX_BYTES (64 * 1024 * 1024)
#define VH_SNAP_PARTIAL_MAX 4 /* being read at once */

/**
 * vh_snap_write - appends a snapshot
 * @covers: offset of the newest record that @state holds
 * @state: what the user's dump function gave
 * @done: called once: VH_OK when it is complete in the log; else it is not
 *	  complete and has no effect. May be called from within.
 *
 * The stream's max_queued_bytes must hold all of it. Any node may write at
 * any time: snapshots of several writers mix harmlessly.
 */
void vh_snap_write(struct vh_stream *s, uint64_t covers, struct vh_slice state,
		   void (*done)(void *arg, enum vh_err err, uint64_t offset),
		   void *arg);

/**
 * struct vh_snapshot - a complete one; valid until the reader's next call
 * @stream: for vh_stream_restore()
 * @state: for the user's load function
 */
struct vh_snapshot {
	uint64_t covers;
	struct vh_slice stream;
	struct vh_slice state;
};

/** struct vh_snap_reader - puts snapshots together; zeroed memory is empty */
struct vh_snap_reader {
	struct vh_snap_partial *partials[VH_SNAP_PARTIAL_MAX];
	struct vh_snap_partial *complete;
};

void vh_snap_reader_finish(struct vh_snap_reader *r);

/* vh_snap_reader_apply - takes one record of any kind; true if it completed
 * a snapshot */
bool vh_snap_reader_apply(struct vh_snap_reader *r, uint32_t kind,
			  struct vh_slice body, struct vh_snapshot *out);

/**
 * vh_snap_due_ms - when to write the next snapshot
 * @newest_ms: when the newest complete one was read; if that was while
 *	       catching up, its age is unknown: give the time of catching up
 *	       less a quarter of the retention
 * @rank: place in the rendezvous order of live nodes, 0 for the first (and for
 *	  the owner of a home): each next one writes a sixteenth of the
 *	  retention later, so that two dead writers in a row still leave more
 *	  than half of it
 */
int64_t vh_snap_due_ms(int64_t newest_ms, int64_t retention_ms, uint32_t rank);

#endif
