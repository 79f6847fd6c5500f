#ifndef VH_HUB_H
#define VH_HUB_H

#include "vh/kernel.h"
#include "vh/snapshot.h"
#include "vh/stream.h"

/**
 * struct vh_hub - this node's streams of the log, each ticked by the loop
 */
struct vh_hub {
	struct vh_kernel *kernel;
	const struct vh_log_transport *transport;
	struct vh_slice writer;
	int64_t min_append_interval_ms;
	int64_t retention_ms; /* how long the log keeps records */
	uint64_t next_seed;
};

/**
 * struct vh_hub_user - who uses a stream
 * @batch: a batch in log order, snapshots' own batches too
 * @dump: appends all state that the batches so far gave
 * @load: replaces all state by a dump; false if it is unreadable
 * @rank: place among the nodes that could write the next snapshot, 0 first
 */
struct vh_hub_user {
	void (*batch)(void *ctx, uint64_t offset, const struct vh_batch *batch);
	void (*dump)(void *ctx, struct vh_buf *out);
	bool (*load)(void *ctx, struct vh_slice state);
	uint32_t (*rank)(void *ctx);
	void *ctx;
};

/* One open stream. */
struct vh_hub_stream;

void vh_hub_init(struct vh_hub *hub, struct vh_kernel *kernel,
		 const struct vh_log_transport *transport,
		 struct vh_slice writer, int64_t min_append_interval_ms,
		 int64_t retention_ms);

/**
 * vh_hub_open - opens a stream at its front; callbacks come from the loop
 *
 * Where retention has removed the front, the state is loaded from the newest
 * complete snapshot. Snapshots are written before retention passes.
 */
struct vh_hub_stream *vh_hub_open(struct vh_hub *hub, struct vh_slice name,
				  uint64_t epoch,
				  const struct vh_hub_user *user);

/* vh_hub_close - appends not yet done are never told about */
void vh_hub_close(struct vh_hub_stream *hs);

/* vh_hub_append - vh_stream_append(), then soon a tick */
void vh_hub_append(struct vh_hub_stream *hs, enum vh_rec_kind kind,
		   struct vh_slice body,
		   void (*done)(void *arg, enum vh_err err, uint64_t offset),
		   void *arg);

/* vh_hub_ready - is all that the stream says known? */
bool vh_hub_ready(const struct vh_hub_stream *hs);

struct vh_stream *vh_hub_stream(struct vh_hub_stream *hs);

/* vh_hub_down - the end of the stream was not seen for VH_HUB_DOWN_MS: what
 * needs a new record is better refused now than queued */
#define VH_HUB_DOWN_MS 5000
bool vh_hub_down(const struct vh_hub_stream *hs);

/* vh_hub_age_ms - time since the end of the stream was last seen; INT64_MAX
 * if it never was */
int64_t vh_hub_age_ms(const struct vh_hub_stream *hs);

#endif
