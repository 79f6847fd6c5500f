#ifndef VH_PEER_IMPL_H
#define VH_PEER_IMPL_H

/*
 * Internal to the package: struct vh_peer and the functions that peer.c,
 * connect.c, calls.c and probe.c call in each other.
 */

#include <event2/listener.h>

#include "link.h"
#include "members.h"
#include "vh/peer.h"

#define VH_PEER_METHODS_MAX 256
#define VH_PEER_CALL_BUCKETS 1024

/**
 * struct vh_call - an outstanding call
 * @node: id of the called node
 * @link: the link that it was sent on; NULL until it is sent
 * @address: remote address of the pending connection, while @link is NULL
 */
struct vh_call {
	struct vh_peer *peer;
	uint64_t id;
	char node[VH_NODE_NAME_MAX + 1];
	struct vh_link *link;
	char address[VH_ADDRESS_MAX];
	uint16_t port;
	bool local;
	unsigned int method;
	struct vh_buf body;
	struct event *timeout;
	void (*done)(void *ctx, enum vh_err err, struct vh_slice body);
	void *ctx;
	struct vh_call *next;
	struct vh_call **prev;
};

struct vh_peer_reply {
	struct vh_peer *peer;
	struct vh_link *link; /* NULL: a local call */
	uint64_t call;
	struct vh_peer_reply *next;
	struct vh_peer_reply **prev;
};

/* Work for the next loop iteration: a completion callback or a local call. */
struct vh_deferred {
	struct vh_deferred *next;
	uint64_t local_call; /* call id; 0: a completion callback */
	void (*done)(void *ctx, enum vh_err err, struct vh_slice body);
	void *ctx;
	enum vh_err err;
	struct vh_buf body;
};

struct vh_calls {
	struct vh_call *buckets[VH_PEER_CALL_BUCKETS];
	uint64_t last_id;
	struct vh_peer_reply *replies;
	struct vh_deferred *deferred;
	struct vh_deferred **deferred_tail;
	struct vh_timer timer;
};

/* A remote address with the backoff state of connecting to it. */
struct vh_connect_target {
	struct vh_connect_target *next;
	char address[VH_ADDRESS_MAX];
	uint16_t port;
	unsigned int failures;
	int64_t connect_after_ms;
	bool connecting;
};

/**
 * struct vh_probe - an outstanding ping
 * @indirect_sent: other nodes were asked to ping on behalf of this one
 * @requester: link that the ping request came from; NULL: own probe
 * @requester_seq: sequence number of the ping at the requester
 */
struct vh_probe {
	struct vh_probe *next;
	uint64_t seq;
	char id[VH_NODE_NAME_MAX + 1]; /* empty: a seed of unknown id */
	char address[VH_ADDRESS_MAX];
	uint16_t port;
	struct vh_link *link; /* NULL until sent */
	int64_t started_ms;
	bool indirect_sent;
	struct vh_link *requester;
	uint64_t requester_seq;
};

struct vh_probes {
	struct vh_probe *head;
	uint64_t last_seq;
	uint64_t rounds;
	size_t next_seed;
	int64_t next_ms;
	int64_t last_tick_ms;
};

struct vh_watch {
	struct vh_watch *next;
	void (*fn)(void *ctx);
	void *ctx;
};

struct vh_handler {
	void (*fn)(void *ctx, const struct vh_node *from, struct vh_slice body,
		   struct vh_peer_reply *reply);
	void *ctx;
};

struct vh_peer {
	struct vh_kernel *kernel;
	struct vh_service service;
	struct vh_peer_settings settings;
	struct vh_link_owner owner;
	struct vh_members members;
	struct evconnlistener *listener;
	uint16_t port;
	struct vh_link *links;
	struct vh_connect_target *targets;
	struct vh_calls calls;
	struct vh_probes probes;
	struct vh_handler handlers[VH_PEER_METHODS_MAX];
	struct vh_watch *watches;
	struct vh_timer tick;
	int64_t drain_done_ms; /* 0: not draining */
	GRand *rng;
};

/* connect.c: listener, links and reconnect backoff */
bool vh_peer_listen(struct vh_peer *p, GError **err);
struct vh_link *vh_peer_ready_link(struct vh_peer *p, struct vh_slice id);

/* vh_peer_connect - starts a connection unless one is already pending; false if
 * that fails, or during the backoff after a failure */
bool vh_peer_connect(struct vh_peer *p, struct vh_slice address, uint16_t port);
void vh_peer_connect_succeeded(struct vh_peer *p, const struct vh_link *link);
void vh_peer_remove_link(struct vh_peer *p, struct vh_link *link);
void vh_peer_check_links(struct vh_peer *p, int64_t now_ms);
void vh_peer_close_all(struct vh_peer *p);

/* calls.c: outstanding calls and pending answers */
void vh_calls_init(struct vh_peer *p);
void vh_calls_finish(struct vh_peer *p);
void vh_calls_link_ready(struct vh_peer *p, struct vh_link *link);
void vh_calls_link_closed(struct vh_peer *p, struct vh_link *link);
bool vh_calls_handle_call(struct vh_peer *p, struct vh_link *link,
			  const struct vh_frame *f);
bool vh_calls_handle_answer(struct vh_peer *p, const struct vh_frame *f);

/* probe.c: failure detector */
void vh_probes_tick(struct vh_peer *p, int64_t now_ms);
void vh_probes_finish(struct vh_peer *p);
void vh_probes_link_ready(struct vh_peer *p, struct vh_link *link);
void vh_probes_link_closed(struct vh_peer *p, struct vh_link *link);
/* Reconnects at once after a link was lost, and marks a node dead when its
 * address refuses the connection. */
void vh_probes_link_dropped(struct vh_peer *p, const struct vh_link *link);
void vh_probes_send_keepalive(struct vh_peer *p, struct vh_link *link);
bool vh_probes_handle_frame(struct vh_peer *p, struct vh_link *link,
			    const struct vh_frame *f);

#endif
