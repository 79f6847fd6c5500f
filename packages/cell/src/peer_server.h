#ifndef CELL_HUB_H
#define CELL_HUB_H

#include <event2/listener.h>

#include "wire.h"

struct peer_conn;

/**
 * struct peer_server_ops - what an owner does for the nodes connected to it
 * @joined, @left: a node's connection is up, or down
 * @advice: a node's answer to an ask; see WIRE_ADVICE_REPLY
 * @submit: a record to be stored; answered by peer_server_reply_submit()
 * @reached: a node answered peer_server_broadcast(WIRE_STORE_PROBE) that it reaches the store
 */
struct peer_server_ops {
	enum eng_job_status (*status)(void *ctx, uint64_t job);
	bool (*count)(void *ctx, struct vh_slice queue, size_t *jobs);
	void (*joined)(void *ctx, struct peer_conn *l);
	void (*left)(void *ctx, struct peer_conn *l);
	void (*advice)(void *ctx, struct peer_conn *l,
		       const struct vh_frame *f);
	void (*submit)(void *ctx, struct peer_conn *l,
		       const struct vh_frame *f);
	void (*reached)(void *ctx);
};

/**
 * struct peer_conn - a node that is connected
 * @number: unique, never used again
 * @cpu_share_milli: share of a processor, in thousandths
 * @store_ms: how long the store takes to answer it
 * @since_ms: when it said hello
 * @rank: its place among those that would take over, 0 first
 * @advisor: number of it among those that ask the policy service, or -1
 * @store_age_ms: how long ago it reached the store, when it said so
 */
struct peer_conn {
	struct hub *hub;
	struct bufferevent *bev;
	uint64_t number;
	char *name;
	bool ready;
	uint64_t cpu_share_milli;
	uint64_t store_ms;
	uint64_t rank;
	int64_t since_ms;
	int advisor;
	int64_t store_age_ms;
	int64_t heard_ms;
	struct peer_conn *next;
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
	struct peer_server_ops ops;
	void *ctx;
	struct peer_conn *links;
	uint64_t n_accepted;
	struct vh_timer ping;
};

bool peer_server_start(struct hub *h, struct vh_kernel *kernel,
		       struct vh_slice address, uint64_t incarnation,
		       GError **err);
void peer_server_stop(struct hub *h);

/* peer_server_set_owner - this node owns the cell now, as @epoch; 0: no longer */
void peer_server_set_owner(struct hub *h, uint64_t epoch,
			   const struct peer_server_ops *ops, void *ctx);

/* peer_server_broadcast - a frame with nothing but the epoch, to every node */
void peer_server_broadcast(struct hub *h, enum wire_type type, uint64_t epoch);

/* peer_server_reachability - whether nodes were heard lately, and whether one of them
 * reached the store lately */
void peer_server_reachability(const struct hub *h, int64_t now_ms, bool *heard,
			      bool *reach);

/* peer_server_reply_submit - answers a submit; nothing happens if the link is down */
void peer_server_reply_submit(struct hub *h, uint64_t link, uint64_t sequence,
			      uint64_t outcome);

/* peer_conn_request_advice - has a node call the policy service */
void peer_conn_request_advice(struct peer_conn *l, uint64_t sequence,
			      uint64_t job, uint32_t step,
			      const struct vh_slice *workers, size_t n);

#endif
