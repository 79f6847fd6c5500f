#ifndef VH_LOG_STREAM_H
#define VH_LOG_STREAM_H

/*
 * Runs log streams on the event loop: reads, appends and snapshots. Internal
 * to the package: the services "config", "owners" and "homes" keep their state
 * in such streams.
 */

#include "vh/kernel.h"
#include "vh/snapshot.h"
#include "vh/stream.h"

/**
 * struct vh_log_streams - this node's log streams, driven by the event loop
 */
struct vh_log_streams {
	struct vh_kernel *kernel;
	const struct vh_log_transport *transport;
	struct vh_slice writer;
	int64_t min_append_interval_ms;
	int64_t retention_ms; /* how long the log retains records */
	uint64_t next_seed;
};

/**
 * struct vh_log_stream_user - callbacks of a stream's user
 * @batch: called for each batch in log order, including batches of snapshots
 * @dump: appends the whole state that results from the batches so far
 * @load: replaces the whole state by a dump; false if it is unreadable
 * @rank: this node's rank among those that may write the next snapshot, 0 first
 */
struct vh_log_stream_user {
	void (*batch)(void *ctx, uint64_t offset, const struct vh_batch *batch);
	void (*dump)(void *ctx, struct vh_buf *out);
	bool (*load)(void *ctx, struct vh_slice state);
	uint32_t (*rank)(void *ctx);
	void *ctx;
};

/* One open stream. */
struct vh_log_stream;

void vh_log_streams_init(struct vh_log_streams *streams,
			 struct vh_kernel *kernel,
			 const struct vh_log_transport *transport,
			 struct vh_slice writer, int64_t min_append_interval_ms,
			 int64_t retention_ms);

/**
 * vh_log_stream_open - opens a stream and reads it from its first record
 *
 * The callbacks are called from the event loop. If retention has removed the
 * first records, the state is loaded from the newest complete snapshot. The
 * stream writes snapshots in time before retention removes their sources.
 */
struct vh_log_stream *vh_log_stream_open(struct vh_log_streams *streams,
					 struct vh_slice name, uint64_t epoch,
					 const struct vh_log_stream_user *user);

/* vh_log_stream_close - pending appends are not called back */
void vh_log_stream_close(struct vh_log_stream *ls);

/* vh_log_stream_append - vh_stream_append(), then schedules a tick */
void vh_log_stream_append(
	struct vh_log_stream *ls, enum vh_rec_kind kind, struct vh_slice body,
	void (*done)(void *arg, enum vh_err err, uint64_t offset), void *arg);

/* vh_log_stream_caught_up - whether the state covers the whole stream */
bool vh_log_stream_caught_up(const struct vh_log_stream *ls);

/* vh_log_stream - the underlying stream, owned by @ls */
struct vh_stream *vh_log_stream(struct vh_log_stream *ls);

/* vh_log_stream_is_stale - whether the end of the stream was last seen more
 * than VH_LOG_STREAM_STALE_MS ago: the log is probably unavailable, so requests
 * that need a new record are refused instead of queued */
#define VH_LOG_STREAM_STALE_MS 5000
bool vh_log_stream_is_stale(const struct vh_log_stream *ls);

/* vh_log_stream_age_ms - time since the end of the stream was last seen;
 * INT64_MAX if it never was */
int64_t vh_log_stream_age_ms(const struct vh_log_stream *ls);

#endif
