#ifndef VH_LINK_H
#define VH_LINK_H

/*
 * One authenticated connection to another node: handshake, framing and output
 * limits. Internal to the package: called by peer.c, connect.c, calls.c and
 * probe.c.
 */

#include <event2/bufferevent.h>

#include "auth.h"
#include "vh/frame.h"
#include "vh/kernel.h"
#include "vh/peer.h"

#define VH_ADDRESS_MAX 46 /* bytes of a textual IP address with its NUL */

struct vh_link;

/**
 * struct vh_link_owner - settings, counters and callbacks shared by all links
 * of one node
 * @answer_timeout_ms: a link that receives nothing for so long while answers
 *		       are outstanding counts as half open and is closed
 * @on_ready: the remote node is authenticated; @link has its id
 * @on_frame: a frame was received; only after @on_ready
 * @on_closed: the link is closed and accepts no more frames
 */
struct vh_link_owner {
	struct vh_kernel *kernel;
	struct vh_slice id;
	uint64_t incarnation;
	struct vh_slice secret;
	int64_t answer_timeout_ms;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	void (*on_ready)(void *ctx, struct vh_link *link);
	void (*on_frame)(void *ctx, struct vh_link *link,
			 const struct vh_frame *f);
	void (*on_closed)(void *ctx, struct vh_link *link);
	void *ctx;
};

/**
 * struct vh_link - one authenticated connection to a node
 * @id: id of the remote node, empty until authenticated
 * @outstanding: number of calls and pings sent that have no answer yet
 * @last_received_ms: monotonic time of the last bytes received, or of the
 *		      first unanswered call if that is later
 * @created_ms: monotonic time of its creation
 * @next: next link in the list of the owner
 */
struct vh_link {
	struct vh_link_owner *owner;
	struct bufferevent *bev;
	struct vh_auth auth;
	bool outgoing;
	bool ready;
	bool closed;
	bool disconnected; /* closed by the remote side or a network error */
	bool conn_refused; /* connect() failed with ECONNREFUSED */
	char id[VH_NODE_NAME_MAX + 1];
	uint64_t incarnation;
	char address[VH_ADDRESS_MAX];
	uint16_t port;
	uint32_t outstanding;
	int64_t last_received_ms;
	int64_t created_ms;
	unsigned int refs;
	struct vh_link *next;
};

/* vh_link_connect - starts connecting; NULL if @address is not an IPv4 address
 * or connect() fails at once */
struct vh_link *vh_link_connect(struct vh_link_owner *owner,
				struct vh_slice address, uint16_t port);

/* vh_link_accept - creates a link that owns the accepted socket @fd */
struct vh_link *vh_link_accept(struct vh_link_owner *owner, evutil_socket_t fd);

struct vh_link *vh_link_ref(struct vh_link *link);
void vh_link_unref(struct vh_link *link);

/* vh_link_close - closes the link and calls owner->on_closed(); does nothing if
 * already closed */
void vh_link_close(struct vh_link *link);

/* vh_link_send - false if the link is not ready or its output buffer is full */
bool vh_link_send(struct vh_link *link, const msgpack_sbuffer *packed);

/* vh_link_expect_answer - increments the number of outstanding answers;
 * vh_link_answer_received - decrements it */
void vh_link_expect_answer(struct vh_link *link);
void vh_link_answer_received(struct vh_link *link);

/**
 * vh_link_check_timeout - closes a link whose answers are overdue, or whose
 * handshake did not finish in time
 *
 * Returns true if a keepalive ping should be sent.
 */
bool vh_link_check_timeout(struct vh_link *link, int64_t now_ms);

struct vh_slice vh_link_id(const struct vh_link *link);

#endif
