#ifndef VH_APPEND_LIMITER_H
#define VH_APPEND_LIMITER_H

/*
 * Limits the rate at which this node appends to the log, as a transport that
 * wraps another one. Internal to the package: core.c puts it between the log
 * client and the log streams.
 */

#include "vh/kernel.h"
#include "vh/stream.h"

/**
 * struct append_limiter - limits a node to its share of the log's append rate
 *
 * A token bucket. Appends beyond the rate are queued in order; meanwhile
 * streams batch more records into their next append. Reads are not limited.
 *
 * @transport: the limited transport
 * @appends_per_s: rate that all nodes share
 * @count_nodes: number of nodes that share it, at least 1
 * @tokens: appends that may be sent now
 */
struct append_limiter {
	struct vh_kernel *kernel;
	const struct vh_log_transport *inner;
	struct vh_log_transport transport;
	double appends_per_s;
	uint32_t (*count_nodes)(void *ctx);
	void *count_nodes_ctx;
	double tokens;
	int64_t refilled_ms;
	struct queued_append *queue;
	struct queued_append **queue_tail;
	struct vh_timer timer;
};

void append_limiter_init(struct append_limiter *l, struct vh_kernel *kernel,
			 const struct vh_log_transport *inner,
			 uint32_t appends_per_s,
			 uint32_t (*count_nodes)(void *ctx),
			 void *count_nodes_ctx);

/* append_limiter_finish - drops queued appends without calling them back */
void append_limiter_finish(struct append_limiter *l);

#endif
