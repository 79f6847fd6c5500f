#ifndef VH_APPEND_LIMITER_H
#define VH_APPEND_LIMITER_H

#include "vh/kernel.h"
#include "vh/stream.h"

/**
 * struct budget - keeps a node within its part of the log's appends a second
 *
 * A transport in front of another. Appends over the part wait in order;
 * streams put more records into their next one meanwhile. Reads pass.
 */
struct budget {
	struct vh_kernel *kernel;
	const struct vh_log_transport *inner;
	struct vh_log_transport transport; /* use this one */
	double appends_per_s;		   /* of all nodes together */
	uint32_t (*nodes)(void *ctx);	   /* how many share them, at least 1 */
	void *nodes_ctx;
	double tokens; /* appends that may be sent at once */
	int64_t filled_ms;
	struct queued_append *held;
	struct queued_append **held_tail;
	struct vh_timer release;
};

void append_limiter_init(struct budget *b, struct vh_kernel *kernel,
			 const struct vh_log_transport *inner,
			 uint32_t appends_per_s, uint32_t (*nodes)(void *ctx),
			 void *nodes_ctx);

/* append_limiter_finish - appends that wait are dropped without a callback */
void append_limiter_finish(struct budget *b);

#endif
