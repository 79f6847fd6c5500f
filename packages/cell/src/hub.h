#ifndef CELL_HUB_H
#define CELL_HUB_H

#include <event2/listener.h>

#include "wire.h"

struct hub_link;

/**
 * struct hub_ops - what an owner does for the nodes connected to it
 * @joined, @left: a node's connection is up, or down
 * @advice: a node's answer to an ask; see WIRE_ADVICE
 * @submit: a record to be stored; answered by hub_stored()
 * @reached: a node answered hub_tell(WIRE_REACH) that it reaches the store
 */
struct hub_ops {
	enum eng_status (*status)(void *ctx, uint64_t job);
	bool (*count)(void *ctx, struct vh_slice queue, size_t *jobs);
	void (*joined)(void *ctx, struct hub_link *l);
	void (*left)(void *ctx, struct hub_link *l);
	void (*advice)(void *ctx, struct hub_link *l, const struct vh_frame *f);
	void (*submit)(void *ctx, struct hub_link *l, const struct vh_frame *f);
	void (*reached)(void *ctx);
};

/**
 * struct hub_link - a node that is connected
 * @number: unique, never used again
 * @strength: share of a processor, in thousandths
 * @store_ms: how long the store takes to answer it
 * @since_ms: when it said hello
 * @rank: its place among those that would take over, 0 first
 * @advisor: number of it among those that ask the policy service, or -1
 * @store_age_ms: how long ago it reached the store, when it said so
 */
struct hub_link {
	struct hub *hub;
	struct bufferevent *bev;
	uint64_t number;
	char *name;
	bool ready;
	uint64_t strength;
	uint64_t store_ms;
	uint64_t rank;
	int64_t since_ms;
	int advisor;
	int64_t store_age_ms;
	int64_t heard_ms;
	struct hub_link *next;
};

/**
 * struct hub - the side of the connections that every node listens with
 * @epoch: of this node's ownership, 0: it is not the owner
 */
struct hub {
	struct vh_kernel *kernel;
	struct evconnlistener *listener;
	uint64_t incarnation;
	uint64_t epoch;
	struct hub_ops ops;
	void *ctx;
	struct hub_link *links;
	uint64_t n_accepted;
	struct vh_timer ping;
};

bool hub_start(struct hub *h, struct vh_kernel *kernel, struct vh_slice address,
	       uint64_t incarnation, GError **err);
void hub_stop(struct hub *h);

/* hub_own - this node owns the cell now, as @epoch; 0: no longer */
void hub_own(struct hub *h, uint64_t epoch, const struct hub_ops *ops,
	     void *ctx);

/* hub_tell - a frame with nothing but the epoch, to every node */
void hub_tell(struct hub *h, enum wire_type type, uint64_t epoch);

/* hub_peers - whether nodes were heard lately, and whether one of them
 * reached the store lately */
void hub_peers(const struct hub *h, int64_t now_ms, bool *heard, bool *reach);

/* hub_stored - answers a submit; nothing happens if the link is down */
void hub_stored(struct hub *h, uint64_t link, uint64_t sequence,
		uint64_t outcome);

/* hub_ask - has a node call the policy service */
void hub_ask(struct hub_link *l, uint64_t sequence, uint64_t job, uint32_t step,
	     const struct vh_slice *workers, size_t n);

#endif
