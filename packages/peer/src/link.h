#ifndef VH_LINK_H
#define VH_LINK_H

#include <event2/bufferevent.h>

#include "auth.h"
#include "vh/frame.h"
#include "vh/kernel.h"
#include "vh/peer.h"

#define VH_ADDRESS_MAX 46 /* bytes of an IP address as text with its NUL */

struct vh_link;

/**
 * struct vh_link_owner - what all links of one node share
 * @ready: the other side has proved itself; @link has its id
 * @frame: a frame from the other side, only after @ready
 * @closed: the link is down and sends nothing more
 */
struct vh_link_owner {
	struct vh_kernel *kernel;
	struct vh_slice id;
	uint64_t incarnation;
	struct vh_slice secret;
	int64_t answer_timeout_ms; /* unanswered for so long: half open, closed */
	uint64_t sent;
	uint64_t received;
	void (*ready)(void *ctx, struct vh_link *link);
	void (*frame)(void *ctx, struct vh_link *link,
		      const struct vh_frame *f);
	void (*closed)(void *ctx, struct vh_link *link);
	void *ctx;
};

/**
 * struct vh_link - one authenticated connection to a node
 * @id: of the other side, empty until ready
 * @waiting: calls and pings sent on it that have no answer yet
 * @heard_ms: monotonic time of the last bytes received, or of the first
 *	      unanswered call if that is later
 * @since_ms: when it was made
 * @list: for its owner
 */
struct vh_link {
	struct vh_link_owner *owner;
	struct bufferevent *bev;
	struct vh_auth auth;
	bool outgoing;
	bool ready;
	bool closed;
	bool dropped; /* the other side or the network ended it */
	bool refused; /* nobody listens there */
	char id[VH_NODE_NAME_MAX + 1];
	uint64_t incarnation;
	char address[VH_ADDRESS_MAX];
	uint16_t port;
	uint32_t waiting;
	int64_t heard_ms;
	int64_t since_ms;
	unsigned int refs;
	struct vh_link *next;
};

/* vh_link_connect - starts connecting; NULL if the address is not usable */
struct vh_link *vh_link_connect(struct vh_link_owner *owner,
				struct vh_slice address, uint16_t port);

/* vh_link_accept - takes over an accepted socket */
struct vh_link *vh_link_accept(struct vh_link_owner *owner, evutil_socket_t fd);

struct vh_link *vh_link_ref(struct vh_link *link);
void vh_link_unref(struct vh_link *link);

/* vh_link_close - ends it; calls owner->closed() unless already closed */
void vh_link_close(struct vh_link *link);

/* vh_link_send - false if the link is not ready or its buffer is full */
bool vh_link_send(struct vh_link *link, const msgpack_sbuffer *packed);

/* vh_link_expect_answer - one more answer is awaited; vh_link_answer_received - one less */
void vh_link_expect_answer(struct vh_link *link);
void vh_link_answer_received(struct vh_link *link);

/**
 * vh_link_check_timeout - closes a link that left answers owing for too long, or whose
 * other side did not prove itself in time
 *
 * Returns true if the other side should be asked whether it is still there.
 */
bool vh_link_check_timeout(struct vh_link *link, int64_t now_ms);

struct vh_slice vh_link_id(const struct vh_link *link);

#endif
