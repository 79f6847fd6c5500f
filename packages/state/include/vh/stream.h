#ifndef VH_STREAM_H
#define VH_STREAM_H

#include "vh/record.h"

/**
 * struct vh_log_transport - how a stream reaches the platform's log
 * @append: appends @bytes to @stream. Calls @done once, later: VH_OK with the
 *	    record's offset; VH_ERR_UNREACHABLE if it surely was not sent;
 *	    anything else if it may have taken effect.
 * @read: reads from @from on, at most @max_bytes, waiting up to @wait_ms for
 *	  the first record. Calls @done once, later: VH_OK with records
 *	  (possibly none) in offset order; VH_ERR_OFFSET_GONE with @first set
 *	  if retention has removed @from; other kinds if it failed.
 *
 * The callbacks may come from within the call.
 */
struct vh_log_entry {
	uint64_t offset;
	struct vh_slice bytes;
};

struct vh_log_read {
	enum vh_err err;
	uint64_t first; /* oldest offset still kept */
	uint64_t next;	/* offset that the next append will get */
	const struct vh_log_entry *entries;
	size_t n;
};

struct vh_log_transport {
	void (*append)(void *ctx, struct vh_slice stream, struct vh_slice bytes,
		       void (*done)(void *arg, enum vh_err err,
				    uint64_t offset),
		       void *arg);
	void (*read)(void *ctx, struct vh_slice stream, uint64_t from,
		     size_t max_bytes, int64_t wait_ms,
		     void (*done)(void *arg, const struct vh_log_read *result),
		     void *arg);
	void *ctx;
};

/**
 * struct vh_stream_callbacks - what a stream tells its user
 * @batch: a batch, in log order, each once: duplicates and batches of older
 *	   epochs than one already seen in a VH_REC_OPEN are dropped before.
 *	   Own batches come here as well, before their appends' done().
 * @gone: retention removed records that were not read; state must be rebuilt
 *	  from the snapshot at @first or from a peer
 */
struct vh_stream_callbacks {
	void (*batch)(void *ctx, uint64_t offset, const struct vh_batch *batch);
	void (*gone)(void *ctx, uint64_t first);
	void *ctx;
};

/**
 * struct vh_stream_settings
 * @name: stream name; borrowed
 * @writer: this process's writer id; copied. Each stream object adds a number
 *	    of its own, as sequence numbers begin anew with it.
 * @max_queued_bytes: records waiting to be appended; more are refused with
 *		       VH_ERR_LOG_UNAVAILABLE
 * @max_batch_bytes: of one append
 * @min_append_interval_ms: least time between two appends' starts (the node's part of
 *		the appends-a-second budget)
 * @reply_timeout_ms: an append without a reply by then is sent again with the
 *		      same sequence number
 */
struct vh_stream_settings {
	struct vh_slice name;
	struct vh_slice writer;
	size_t max_queued_bytes;
	size_t max_batch_bytes;
	int64_t min_append_interval_ms;
	int64_t reply_timeout_ms;
	int64_t poll_wait_ms;
	uint64_t seed; /* of the backoff's jitter */
};

/**
 * struct vh_stream_stats - counters
 * @batches: applied, others' and own
 * @corrupt: torn, altered or of an unknown version; skipped
 * @duplicates: dropped by their writer's sequence number
 * @stale: dropped by their epoch
 * @appends: sent, repeats included
 * @records: put into own batches
 * @append_errors: appends whose reply was an error
 * @timeouts: replies given up
 * @refused: appends refused for want of room
 * @service_errors: answers of the log that contradict earlier ones
 * @gone: times that retention had removed unread records
 */
struct vh_stream_stats {
	uint64_t batches;
	uint64_t corrupt;
	uint64_t duplicates;
	uint64_t stale;
	uint64_t appends;
	uint64_t records;
	uint64_t append_errors;
	uint64_t timeouts;
	uint64_t refused;
	uint64_t service_errors;
	uint64_t gone;
};

/**
 * struct vh_stream - reads one stream in order and appends to it in batches
 *
 * Opaque: pure, no loop of its own. The user calls vh_stream_tick() after
 * the time that it returned, and whenever the transport has called back.
 */
struct vh_stream;

struct vh_stream *vh_stream_new(const struct vh_stream_settings *settings,
				const struct vh_log_transport *transport,
				const struct vh_stream_callbacks *callbacks);
void vh_stream_free(struct vh_stream *s);

/**
 * vh_stream_start - begins reading at @from, or anew there after gone()
 *
 * A batch under way at a later start may or may not have been seen by others:
 * its appends end with VH_ERR_UNKNOWN_OUTCOME. Nothing is appended before the
 * first start.
 */
void vh_stream_start(struct vh_stream *s, uint64_t from, int64_t now_ms);

/* vh_stream_set_epoch - goes into batches of records queued from now on */
void vh_stream_set_epoch(struct vh_stream *s, uint64_t epoch);

/* vh_stream_set_open_epoch - the newest epoch of a VH_REC_OPEN that a snapshot
 * tells of: batches of older ones are dropped */
void vh_stream_set_open_epoch(struct vh_stream *s, uint64_t epoch);

/**
 * vh_stream_append - queues one record
 * @done: called once, after the record was applied through
 *	  callbacks->batch(): VH_OK and its offset. VH_ERR_STALE_EPOCH: a newer
 *	  owner opened the stream first and the record has no effect.
 *	  VH_ERR_LOG_UNAVAILABLE: refused now, the record will never appear.
 *	  VH_ERR_UNKNOWN_OUTCOME: only after gone() and a new start.
 *
 * There is no other failure: once queued, a record is tried until one of
 * these is certain. Its user may stop waiting, then the outcome is unknown.
 */
void vh_stream_append(struct vh_stream *s, enum vh_rec_kind kind,
		      struct vh_slice body,
		      void (*done)(void *arg, enum vh_err err, uint64_t offset),
		      void *arg);

/* vh_stream_tick - does what is due; returns when it wants the next call */
int64_t vh_stream_tick(struct vh_stream *s, int64_t now_ms);

/* vh_stream_next - offset of the next record to be read */
uint64_t vh_stream_next(const struct vh_stream *s);

/* vh_stream_caught_up - has reading ever reached the end of the stream? */
bool vh_stream_caught_up(const struct vh_stream *s);

/* vh_stream_fresh_ms - monotonic time at the start of the newest read or
 * append that reached the end of the stream; INT64_MIN if none did */
int64_t vh_stream_fresh_ms(const struct vh_stream *s);

/* vh_stream_save - what a snapshot must hold of the stream itself: the last
 * sequence numbers of writers, and the newest epoch that opened it. @id gets
 * an id that no other snapshot has. */
void vh_stream_save(struct vh_stream *s, struct vh_buf *out, struct vh_buf *id);

/* vh_stream_restore - takes it over before vh_stream_start() behind a snapshot;
 * false if @bytes are torn */
bool vh_stream_restore(struct vh_stream *s, struct vh_slice bytes);

const struct vh_stream_stats *vh_stream_stats(const struct vh_stream *s);

#endif
