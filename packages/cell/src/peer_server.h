#ifndef CELL_PEER_SERVER_H
#define CELL_PEER_SERVER_H

/*
 * Accepts the other nodes' connections and, while this node is the owner, sends
 * heartbeats and dispatches requests. Internal to the package; called by
 * ownership.c and the sources of the owner.
 */

#include <event2/listener.h>

#include "wire.h"

struct peer_conn;

/**
 * struct peer_server_ops - an owner's handlers for requests and events
 * @pending_jobs: returns false if the count is not known
 * @joined, @left: a node has connected, or disconnected
 * @advice_reply: reply to peer_conn_request_advice(); see WIRE_ADVICE_REPLY
 * @submit: a record to store; answered by peer_server_reply_submit()
 * @store_reached: a node reported, after a WIRE_STORE_PROBE broadcast, that it
 *		   reaches the store
 */
struct peer_server_ops {
	enum eng_job_status (*job_status)(void *ctx, uint64_t job);
	bool (*pending_jobs)(void *ctx, struct vh_slice queue, size_t *jobs);
	void (*joined)(void *ctx, struct peer_conn *c);
	void (*left)(void *ctx, struct peer_conn *c);
	void (*advice_reply)(void *ctx, struct peer_conn *c,
			     const struct vh_frame *f);
	void (*submit)(void *ctx, struct peer_conn *c,
		       const struct vh_frame *f);
	void (*store_reached)(void *ctx);
};

/**
 * struct peer_conn - connection from a node
 * @id: unique and never reused
 * @ready: the node has sent WIRE_HELLO
 * @cpu_share_milli: CPU share of the node, in thousandths of a processor
 * @store_latency_ms: response time of the store to the node
 * @incarnation: of the node's process
 * @wants_load: the node reads WIRE_LOAD
 * @rank: position in the order in which nodes claim the cell; 0 is first
 * @connected_since_ms: when WIRE_HELLO arrived
 * @balancer_node: index of the node in the owner's advice balancer, or -1
 * @store_age_ms: time since the node last reached the store, as of its last
 *		  WIRE_PONG
 * @steady_since_ms: since when the node has been connected and has answered
 *		     without a delay in which it could have claimed the cell
 * @heard_ms: when a frame last arrived
 * @answered_ms: when the newest heartbeat that it has answered was sent; 0 if the
 *		 node does not tell
 */
struct peer_conn {
	struct peer_server *peer_server;
	struct bufferevent *bev;
	uint64_t id;
	char *name;
	bool ready;
	uint64_t cpu_share_milli;
	uint64_t store_latency_ms;
	uint64_t incarnation;
	bool wants_load;
	uint64_t rank;
	int64_t connected_since_ms;
	int balancer_node;
	int64_t store_age_ms;
	int64_t steady_since_ms;
	int64_t heard_ms;
	int64_t answered_ms;
	struct peer_conn *next;
};

/**
 * struct peer_server - accepts connections from the other nodes
 * @epoch: of this node's ownership; 0 if it is not the owner
 * @nodes: struct peer_node by name: the nodes that were connected lately, less
 *	   those whose process has ended
 * @pinged_ms: when heartbeats were last sent
 *
 * Every node runs one, so that it can become the owner at any time.
 */
struct peer_server {
	struct vh_kernel *kernel;
	struct evconnlistener *listener;
	uint64_t incarnation;
	uint64_t epoch;
	struct peer_server_ops ops;
	void *ctx;
	struct peer_conn *conns;
	GHashTable *nodes;
	int64_t pinged_ms;
	uint64_t n_accepted;
	struct vh_timer ping_timer;
};

bool peer_server_start(struct peer_server *s, struct vh_kernel *kernel,
		       struct vh_slice address, uint64_t incarnation,
		       GError **err);
void peer_server_stop(struct peer_server *s);

/**
 * peer_server_process_ended - whether a node's process is known to have ended
 * @incarnation: of that process
 * @since_ms: a time at which that process was running already
 *
 * That is so if another process of the node has answered a heartbeat sent since
 * then, as a node has one process at a time.
 */
bool peer_server_process_ended(const struct peer_server *s, const char *node,
			       uint64_t incarnation, int64_t since_ms);

/* peer_server_set_owner - makes this node the owner of @epoch; if that is 0,
 * the node is not the owner, and @ops may be NULL */
void peer_server_set_owner(struct peer_server *s, uint64_t epoch,
			   const struct peer_server_ops *ops, void *ctx);

/* peer_server_broadcast - sends a frame with just the epoch to every node */
void peer_server_broadcast(struct peer_server *s, enum wire_type type,
			   uint64_t epoch);

/**
 * struct peer_reachability - which of the other nodes are reachable
 * @n_known: nodes that were connected lately and have not ended since
 * @n_heard: connected nodes that were heard recently
 * @n_reach_store: those of them that recently reached the store
 * @unanswered_ms: time since the oldest of the known nodes' last heartbeats that
 *		   were answered; 0: no nodes are known
 * @unanswered_by: name of that node
 */
struct peer_reachability {
	unsigned int n_known;
	unsigned int n_heard;
	unsigned int n_reach_store;
	int64_t unanswered_ms;
	const char *unanswered_by;
};

void peer_server_reachability(const struct peer_server *s, int64_t now_ms,
			      struct peer_reachability *r);

/* peer_server_reply_submit - replies to a WIRE_SUBMIT_REQUEST, unless its node
 * has disconnected */
void peer_server_reply_submit(struct peer_server *s, uint64_t conn_id,
			      uint64_t sequence, uint64_t outcome);

/* peer_conn_request_advice - asks a node to call the policy service */
void peer_conn_request_advice(struct peer_conn *c, uint64_t sequence,
			      uint64_t job, uint32_t step,
			      const struct vh_slice *workers, size_t n);

#endif
