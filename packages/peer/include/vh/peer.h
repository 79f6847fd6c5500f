#ifndef VH_PEER_H
#define VH_PEER_H

#include "vh/kernel.h"

#define VH_PEER_FRAME_MAX (1u << 20) /* bytes; larger ones end a connection */
#define VH_PEER_SUMMARY_MAX 512	     /* bytes */
#define VH_NODE_NAME_MAX 48	     /* bytes in an id, region or zone */

enum vh_node_state {
	VH_NODE_ALIVE,
	VH_NODE_SUSPECT, /* not heard from lately */
	VH_NODE_LEAVING, /* said so itself; takes nothing new */
	VH_NODE_DEAD
};

/**
 * struct vh_node - a process of this system, as membership sees it
 * @id: from its settings
 * @incarnation: random, new for each start of the process
 * @summary: opaque bytes that its owner spreads with heartbeats
 * @heard_ms: monotonic time of the newest word from or about it
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
 * @seeds: "IP:PORT" of nodes to join through; one's own is left out
 * @secret: shared by all nodes; peers prove it to each other (challenge, HMAC)
 */
struct vh_peer_settings {
	struct vh_slice id;
	struct vh_slice address;
	uint16_t port; /* 0: any, see vh_peer_port() */
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

/* An answer not yet given; exactly one vh_peer_answer() for each. */
struct vh_peer_reply;

/**
 * vh_peer_new - the service "peer"
 *
 * Settings are copied. Add vh_peer_service() to the kernel; it listens and
 * joins when started.
 */
struct vh_peer *vh_peer_new(const struct vh_peer_settings *settings,
			    struct vh_kernel *kernel);
void vh_peer_free(struct vh_peer *p);
struct vh_service *vh_peer_service(struct vh_peer *p);
uint16_t vh_peer_port(const struct vh_peer *p);
const struct vh_node *vh_peer_self(const struct vh_peer *p);

/**
 * vh_peer_set_handler - serves a method
 * @method: below 256; one handler each
 * @fn: answers @reply now or later
 */
void vh_peer_set_handler(struct vh_peer *p, unsigned int method,
			 void (*fn)(void *ctx, const struct vh_node *from,
				    struct vh_slice body,
				    struct vh_peer_reply *reply),
			 void *ctx);

/* vh_peer_answer - ends @reply; dropped if the asker has gone */
void vh_peer_answer(struct vh_peer_reply *reply, enum vh_err err,
		    struct vh_slice body);

/**
 * vh_peer_call - asks a node
 * @node: its id; one's own id is served locally
 * @done: called once, later: the kind that the handler gave and its body, or
 *	  VH_ERR_UNREACHABLE: surely not received; VH_ERR_UNKNOWN_OUTCOME: the
 *	  connection or the time ran out after it was sent
 */
void vh_peer_call(struct vh_peer *p, struct vh_slice node, unsigned int method,
		  struct vh_slice body, int64_t timeout_ms,
		  void (*done)(void *ctx, enum vh_err err,
			       struct vh_slice body),
		  void *ctx);

/* vh_peer_nodes - all known nodes, oneself first; valid until the loop turns */
size_t vh_peer_nodes(const struct vh_peer *p, const struct vh_node **out);
const struct vh_node *vh_peer_node(const struct vh_peer *p, struct vh_slice id);

/* vh_peer_set_summary - copied, spread with the next heartbeats */
void vh_peer_set_summary(struct vh_peer *p, struct vh_slice summary);

/* vh_peer_watch - @fn is called when a node comes, goes or changes state */
void vh_peer_watch(struct vh_peer *p, void (*fn)(void *ctx), void *ctx);

/* vh_peer_leave - tells the others that this node is leaving */
void vh_peer_leave(struct vh_peer *p);

/* vh_peer_byte_counts - bytes sent and received so far, for the control budget */
void vh_peer_byte_counts(const struct vh_peer *p, uint64_t *sent,
			 uint64_t *received);

#endif
