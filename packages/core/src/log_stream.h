#ifndef VH_LOG_STREAM_H
#define VH_LOG_STREAM_H

#include "vh/kernel.h"
#include "vh/snapshot.h"
#include "vh/stream.h"

/**
 * struct vh_log_streams - this node's streams of the log, each ticked by the loop
 */
struct vh_log_streams {
	struct vh_kernel *kernel;
	const struct vh_log_transport *transport;
	struct vh_slice writer;
	int64_t min_append_interval_ms;
	int64_t retention_ms; /* how long the log keeps records */
	uint64_t next_seed;
};

/**
 * struct vh_log_stream_user - who uses a stream
 * @batch: a batch in log order, snapshots' own batches too
 * @dump: appends all state that the batches so far gave
 * @load: replaces all state by a dump; false if it is unreadable
 * @rank: place among the nodes that could write the next snapshot, 0 first
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

void vh_log_streams_init(struct vh_log_streams *hub, struct vh_kernel *kernel,
			 const struct vh_log_transport *transport,
			 struct vh_slice writer, int64_t min_append_interval_ms,
			 int64_t retention_ms);

/**
 * vh_log_stream_open - opens a stream at its front; callbacks come from the loop
 *
 * Where retention has removed the front, the state is loaded from the newest
 * complete snapshot. Snapshots are written before retention passes.
 */
struct vh_log_stream *vh_log_stream_open(struct vh_log_streams *hub,
					 struct vh_slice name, uint64_t epoch,
					 const struct vh_log_stream_user *user);

/* vh_log_stream_close - appends not yet done are never told about */
void vh_log_stream_close(struct vh_log_stream *hs);

/* vh_log_stream_append - vh_stream_append(), then soon a tick */
void vh_log_stream_append(
	struct vh_log_stream *hs, enum vh_rec_kind kind, struct vh_slice body,
	void (*done)(void *arg, enum vh_err err, uint64_t offset), void *arg);

/* vh_log_stream_caught_up - is all that the stream says known? */
bool vh_log_stream_caught_up(const struct vh_log_stream *hs);

struct vh_stream *vh_log_stream(struct vh_log_stream *hs);

/* vh_log_stream_is_stale - the end of the stream was not seen for VH_LOG_STREAM_STALE_MS: what
 * needs a new record is better refused now than queued */
#define VH_LOG_STREAM_STALE_MS 5000
bool vh_log_stream_is_stale(const struct vh_log_stream *hs);

/* vh_log_stream_age_ms - time since the end of the stream was last seen; INT64_MAX
 * if it never was */
int64_t vh_log_stream_age_ms(const struct vh_log_stream *hs);

#endif
