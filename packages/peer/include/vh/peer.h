#ifndef VH_PEER_H
#define VH_PEER_H

/*
 * The service "peer": cluster membership by gossip, failure detection and calls
 * between nodes. The daemon creates it; packages/core and packages/gateway call
 * it.
 */

#include "vh/kernel.h"

#define VH_PEER_FRAME_MAX (1u << 20) /* bytes; longer ones close the link */
#define VH_PEER_SUMMARY_MAX 512	     /* bytes */
#define VH_NODE_NAME_MAX 48	     /* bytes in an id, region or zone */

enum vh_node_state {
	VH_NODE_ALIVE,
	VH_NODE_SUSPECT, /* did not answer a probe in time */
	VH_NODE_LEAVING, /* announced its shutdown; accepts no new work */
	VH_NODE_DEAD
};

/**
 * struct vh_node - a process of the cluster, as the membership table has it
 * @id: the configured id, stable across restarts
 * @incarnation: random, new for each start of the process
 * @summary: opaque application data, distributed by gossip
 * @heard_ms: monotonic time of the last frame from the node, or of the last
 *	      update with a new incarnation or state version
 */
struct vh_node {
	struct vh_slice id;
	uint64_t incarnation;
	struct vh_slice address;
	uint16_t port;
	struct vh_slice region;
	struct vh_slice zone;
	enum vh_node_state state;
	struct vh_slice summary;
	int64_t heard_ms;
};

/**
 * struct vh_peer_settings
 * @seeds: "IP:PORT" of nodes to join through; the node's own address is
 *	   skipped
 * @secret: shared by all nodes; each side of a connection proves that it has it
 *	    (challenge and HMAC)
 */
struct vh_peer_settings {
	struct vh_slice id;
	struct vh_slice address;
	uint16_t port; /* 0: chosen by the system, see vh_peer_port() */
	struct vh_slice region;
	struct vh_slice zone;
	struct vh_slice secret;
	const struct vh_slice *seeds;
	size_t n_seeds;
	int64_t heartbeat_ms;
	int64_t suspect_ms;
	int64_t dead_ms;
};

struct vh_peer;

/* A pending answer; must be passed to vh_peer_answer() exactly once. */
struct vh_peer_reply;

/**
 * vh_peer_new - creates the service "peer"
 *
 * The settings are copied. Add vh_peer_service() to the kernel; when started,
 * the service listens and joins the cluster.
 */
struct vh_peer *vh_peer_new(const struct vh_peer_settings *settings,
			    struct vh_kernel *kernel);
void vh_peer_free(struct vh_peer *p);
struct vh_service *vh_peer_service(struct vh_peer *p);
uint16_t vh_peer_port(const struct vh_peer *p);
const struct vh_node *vh_peer_self(const struct vh_peer *p);

/**
 * vh_peer_set_handler - registers the handler of a method
 * @method: below 256; a later handler replaces the earlier one
 * @fn: must answer @reply, before or after it returns
 */
void vh_peer_set_handler(struct vh_peer *p, unsigned int method,
			 void (*fn)(void *ctx, const struct vh_node *from,
				    struct vh_slice body,
				    struct vh_peer_reply *reply),
			 void *ctx);

/* vh_peer_answer - sends the answer and frees @reply; the answer is dropped if
 * the caller's connection is closed or its output buffer is full */
void vh_peer_answer(struct vh_peer_reply *reply, enum vh_err err,
		    struct vh_slice body);

/**
 * vh_peer_call - calls a method of a node
 * @node: id of the node; the local node's id dispatches to the local handler
 * @done: called exactly once, in a later loop iteration, with the error code
 *	  and body that the handler gave, or with
 *	  VH_ERR_UNREACHABLE: the node has certainly not received the call;
 *	  VH_ERR_UNKNOWN_OUTCOME: the connection was lost or the call timed out
 *	  after it was sent;
 *	  VH_ERR_TOO_LARGE: the body or the answer does not fit a frame
 */
void vh_peer_call(struct vh_peer *p, struct vh_slice node, unsigned int method,
		  struct vh_slice body, int64_t timeout_ms,
		  void (*done)(void *ctx, enum vh_err err,
			       struct vh_slice body),
		  void *ctx);

/* vh_peer_nodes - all known nodes, the local node first; valid until control
 * returns to the event loop */
size_t vh_peer_nodes(const struct vh_peer *p, const struct vh_node **out);
const struct vh_node *vh_peer_node(const struct vh_peer *p, struct vh_slice id);

/* vh_peer_set_summary - sets the local node's summary, which is copied and
 * distributed with the next heartbeats; cut off at VH_PEER_SUMMARY_MAX */
void vh_peer_set_summary(struct vh_peer *p, struct vh_slice summary);

/* vh_peer_watch - @fn is called when a node is added, removed, restarted or
 * changes state */
void vh_peer_watch(struct vh_peer *p, void (*fn)(void *ctx), void *ctx);

/* vh_peer_leave - announces that the local node is leaving the cluster */
void vh_peer_leave(struct vh_peer *p);

/* vh_peer_byte_counts - bytes sent and received so far, for checking the
 * budget of control traffic */
void vh_peer_byte_counts(const struct vh_peer *p, uint64_t *sent,
			 uint64_t *received);

#endif
