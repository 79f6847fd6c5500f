#ifndef VH_STREAM_H
#define VH_STREAM_H

/*
 * Appends records to one stream of the platform's log and reads all of them in
 * order. Called by packages/core and snapshot.c; packages/platform implements
 * its struct vh_log_transport.
 */

#include "vh/record.h"

/**
 * struct vh_log_transport - connects a stream to the platform's log
 * @append: appends @bytes to @stream. Calls @done once: VH_OK with the record's
 *       offset, VH_ERR_UNREACHABLE if it was certainly not sent, any other
 *       error if it may have taken effect.
 * @read: reads from @from, at most @max_bytes, waiting up to @wait_ms for the
 *       first record. Calls @done once: VH_OK with zero or more records in
 *       offset order, VH_ERR_OFFSET_GONE with @first set if retention has
 *       removed @from, other errors on failure.
 *
 * @done may be called before @append or @read returns.
 */
struct vh_log_entry {
	uint64_t offset;
	struct vh_slice bytes;
};

struct vh_log_read {
	enum vh_err err;
	uint64_t first; /* oldest retained offset */
	uint64_t next;	/* offset of the next append */
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
 * struct vh_stream_callbacks - notifications from a stream
 * @batch: a batch, in log order, once each. Duplicates, and batches with an
 *       epoch below that of a VH_REC_OPEN read before, are dropped. Own batches
 *       are included and come before their appends' done().
 * @gone: retention removed records that were not read; rebuild the state from a
 *       snapshot at or after @first, or from a peer
 */
struct vh_stream_callbacks {
	void (*batch)(void *ctx, uint64_t offset, const struct vh_batch *batch);
	void (*gone)(void *ctx, uint64_t first);
	void *ctx;
};

/**
 * struct vh_stream_settings
 * @name: stream name; borrowed
 * @writer: this process's writer id; copied. Each stream object appends a
 *       number of its own, because its sequence numbers start at 1.
 * @max_queued_bytes: limit on records queued for append; further ones are
 *       refused with VH_ERR_LOG_UNAVAILABLE
 * @max_batch_bytes: limit on one append
 * @min_append_interval_ms: least time between the starts of two appends (the
 *       node's share of the limit on appends per second)
 * @reply_timeout_ms: an append without a reply by then is sent again with the
 *       same sequence number
 */
struct vh_stream_settings {
	struct vh_slice name;
	struct vh_slice writer;
	size_t max_queued_bytes;
	size_t max_batch_bytes;
	int64_t min_append_interval_ms;
	int64_t reply_timeout_ms;
	int64_t poll_wait_ms;
	uint64_t seed; /* for the backoff's jitter */
};

/**
 * struct vh_stream_stats - counters
 * @batches: batches applied, own ones included
 * @corrupt: skipped: truncated, damaged or of an unknown version
 * @duplicates: dropped by their writer's sequence number
 * @stale: dropped by their epoch
 * @appends: appends sent, repeats included
 * @records: records put into own batches
 * @append_errors: appends answered with an error
 * @timeouts: requests without a reply in time
 * @refused: records refused because the queue was full
 * @service_errors: replies of the log that contradict earlier ones
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
 * A state machine without an event loop. The caller calls vh_stream_tick() at
 * the time that it returned and whenever the transport has called back.
 */
struct vh_stream;

struct vh_stream *vh_stream_new(const struct vh_stream_settings *settings,
				const struct vh_log_transport *transport,
				const struct vh_stream_callbacks *callbacks);
void vh_stream_free(struct vh_stream *s);

/**
 * vh_stream_start - starts reading at @from, or restarts there after gone()
 *
 * Whether others saw a batch in flight at a restart is unknown; its appends end
 * with VH_ERR_UNKNOWN_OUTCOME. Nothing is appended before the first start.
 */
void vh_stream_start(struct vh_stream *s, uint64_t from, int64_t now_ms);

/* vh_stream_set_epoch - sets the epoch of records queued from now on */
void vh_stream_set_epoch(struct vh_stream *s, uint64_t epoch);

/*
 * vh_stream_set_open_epoch - sets the newest epoch of a VH_REC_OPEN, as stored
 * in a snapshot; batches of older epochs are dropped
 */
void vh_stream_set_open_epoch(struct vh_stream *s, uint64_t epoch);

/**
 * vh_stream_append - queues one record
 * @done: called once. VH_OK and the offset, after the record was applied
 *       through callbacks->batch(). VH_ERR_STALE_EPOCH: a newer owner opened
 *       the stream first and the record has no effect. VH_ERR_LOG_UNAVAILABLE:
 *       refused because the queue is full; the record is never written.
 *       VH_ERR_UNKNOWN_OUTCOME: only after gone() and a restart.
 *
 * There is no other error: a queued record is retried until one of these is
 * certain. A caller that stops waiting does not know the outcome.
 */
void vh_stream_append(struct vh_stream *s, enum vh_rec_kind kind,
		      struct vh_slice body,
		      void (*done)(void *arg, enum vh_err err, uint64_t offset),
		      void *arg);

/*
 * vh_stream_tick - does the work that is due; returns the time of the next call
 */
int64_t vh_stream_tick(struct vh_stream *s, int64_t now_ms);

/* vh_stream_next - offset of the next record to be read */
uint64_t vh_stream_next(const struct vh_stream *s);

/*
 * vh_stream_caught_up - has reading reached the end of the stream since the
 * start or the last gone()?
 */
bool vh_stream_caught_up(const struct vh_stream *s);

/*
 * vh_stream_fresh_ms - monotonic time at the start of the newest read or append
 * that reached the end of the stream; INT64_MIN if none did
 */
int64_t vh_stream_fresh_ms(const struct vh_stream *s);

/*
 * vh_stream_save - serialises the stream's own state for a snapshot: the last
 * sequence numbers of writers and the newest epoch of a VH_REC_OPEN. @id
 * receives an id unique to this snapshot.
 */
void vh_stream_save(struct vh_stream *s, struct vh_buf *out, struct vh_buf *id);

/*
 * vh_stream_restore - restores that state before vh_stream_start() after a
 * snapshot; returns false if @bytes are malformed
 */
bool vh_stream_restore(struct vh_stream *s, struct vh_slice bytes);

const struct vh_stream_stats *vh_stream_stats(const struct vh_stream *s);

#endif
