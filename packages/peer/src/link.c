#include "link.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include "vh/log.h"
#include "vh/peer.h"

#define PROTOCOL_VERSION 1
#define HANDSHAKE_FRAME_MAX 256	     /* bytes */
#define HANDSHAKE_TIMEOUT_MS 3000    /* until both sides are authenticated */
#define OUTPUT_BUFFER_MAX (8u << 20) /* bytes queued on one link */

struct vh_slice vh_link_id(const struct vh_link *link)
{
	return vh_slice_str(link->id);
}

struct vh_link *vh_link_ref(struct vh_link *link)
{
	link->refs++;
	return link;
}

void vh_link_unref(struct vh_link *link)
{
	if (--link->refs)
		return;
	if (link->bev)
		bufferevent_free(link->bev);
	g_free(link);
}

void vh_link_close(struct vh_link *link)
{
	if (link->closed)
		return;
	link->closed = true;
	link->ready = false;
	bufferevent_free(link->bev);
	link->bev = NULL;
	link->owner->on_closed(link->owner->ctx, link);
}

static void write_frame(struct vh_link *link, const msgpack_sbuffer *packed)
{
	vh_frame_write(bufferevent_get_output(link->bev), packed);
	link->owner->bytes_sent += VH_FRAME_HEADER_SIZE + packed->size;
}

bool vh_link_send(struct vh_link *link, const msgpack_sbuffer *packed)
{
	if (!link->ready)
		return false;
	if (evbuffer_get_length(bufferevent_get_output(link->bev)) >=
	    OUTPUT_BUFFER_MAX)
		return false;
	write_frame(link, packed);
	return true;
}

static void send_challenge(struct vh_link *link)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	vh_auth_generate_nonce(link->auth.challenge);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, VH_FRAME_CHALLENGE);
	msgpack_pack_int(&pk, PROTOCOL_VERSION);
	vh_frame_pack_bytes(&pk, vh_slice((char *)link->auth.challenge,
					  VH_AUTH_NONCE_SIZE));
	write_frame(link, &buf);
	msgpack_sbuffer_destroy(&buf);
}

/* Sends PROOF, with the local nonce, or WELCOME; both carry id and MAC. */
static void send_proof(struct vh_link *link, enum vh_frame_type type)
{
	const struct vh_link_owner *owner = link->owner;
	bool initiator = type == VH_FRAME_PROOF;
	unsigned char mac[VH_AUTH_MAC_SIZE];
	msgpack_sbuffer buf;
	msgpack_packer pk;

	vh_auth_mac(&link->auth,
		    initiator ? VH_AUTH_INITIATOR : VH_AUTH_RESPONDER,
		    owner->id, owner->incarnation, mac);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, initiator ? 5 : 4);
	msgpack_pack_int(&pk, type);
	if (initiator)
		vh_frame_pack_bytes(&pk, vh_slice((char *)link->auth.nonce,
						  VH_AUTH_NONCE_SIZE));
	vh_frame_pack_bytes(&pk, owner->id);
	msgpack_pack_uint64(&pk, owner->incarnation);
	vh_frame_pack_bytes(&pk, vh_slice((char *)mac, sizeof(mac)));
	write_frame(link, &buf);
	msgpack_sbuffer_destroy(&buf);
}

static bool read_nonce(const msgpack_object *o, unsigned char *nonce)
{
	struct vh_slice s;

	if (!vh_frame_read_bytes(o, VH_AUTH_NONCE_SIZE, &s) ||
	    s.len != VH_AUTH_NONCE_SIZE)
		return false;
	memcpy(nonce, s.data, VH_AUTH_NONCE_SIZE);
	return true;
}

/* Reads and verifies id, incarnation and MAC of the remote side from @args. */
static bool read_proof(struct vh_link *link, const msgpack_object *args,
		       enum vh_auth_role role)
{
	struct vh_slice id, mac;
	uint64_t incarnation;

	if (!vh_frame_read_bytes(&args[0], VH_NODE_NAME_MAX, &id) || !id.len ||
	    memchr(id.data, 0, id.len) ||
	    !vh_frame_read_u64(&args[1], UINT64_MAX, &incarnation) ||
	    !vh_frame_read_bytes(&args[2], VH_AUTH_MAC_SIZE, &mac))
		return false;
	if (!vh_auth_verify(&link->auth, role, id, incarnation, mac))
		return false;
	memcpy(link->id, id.data, id.len);
	link->incarnation = incarnation;
	return true;
}

static void mark_ready(struct vh_link *link)
{
	link->ready = true;
	link->owner->on_ready(link->owner->ctx, link);
}

/* Handles one handshake frame; on false the caller closes the link. */
static bool handshake(struct vh_link *link, const struct vh_frame *f)
{
	uint64_t version;

	if (link->outgoing && f->type == VH_FRAME_CHALLENGE && f->n == 2) {
		if (!vh_frame_read_u64(&f->args[0], UINT64_MAX, &version) ||
		    version != PROTOCOL_VERSION ||
		    !read_nonce(&f->args[1], link->auth.challenge))
			return false;
		vh_auth_generate_nonce(link->auth.nonce);
		send_proof(link, VH_FRAME_PROOF);
		return true;
	}
	if (link->outgoing && f->type == VH_FRAME_WELCOME && f->n == 3) {
		if (!read_proof(link, f->args, VH_AUTH_RESPONDER))
			return false;
		mark_ready(link);
		return true;
	}
	if (!link->outgoing && f->type == VH_FRAME_PROOF && f->n == 4) {
		if (!read_nonce(&f->args[0], link->auth.nonce) ||
		    !read_proof(link, f->args + 1, VH_AUTH_INITIATOR))
			return false;
		send_proof(link, VH_FRAME_WELCOME);
		mark_ready(link);
		return true;
	}
	return false;
}

static bool handle_frame(struct vh_link *link, struct vh_slice bytes)
{
	struct vh_frame f;
	bool ok = true;

	if (vh_frame_decode(&f, bytes) != VH_OK)
		return false;
	if (link->ready)
		link->owner->on_frame(link->owner->ctx, link, &f);
	else
		ok = handshake(link, &f);
	vh_frame_finish(&f);
	return ok;
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct vh_link *link = vh_link_ref(ctx);

	link->last_received_ms = vh_kernel_now_ms(link->owner->kernel);
	while (!link->closed) {
		struct vh_slice bytes;
		enum vh_err err = vh_frame_peek(
			in,
			link->ready ? VH_PEER_FRAME_MAX : HANDSHAKE_FRAME_MAX,
			&bytes);

		if (err == VH_ERR_NOT_READY)
			break;
		if (err != VH_OK || !handle_frame(link, bytes)) {
			vh_log(G_LOG_LEVEL_WARNING,
			       "closing peer connection: invalid frame or "
			       "failed handshake",
			       "peer", link->id, "address", link->address,
			       NULL);
			vh_link_close(link);
			break;
		}
		link->owner->bytes_received += VH_FRAME_HEADER_SIZE + bytes.len;
		if (!link->closed)
			evbuffer_drain(in, VH_FRAME_HEADER_SIZE + bytes.len);
	}
	vh_link_unref(link);
}

static void on_event(struct bufferevent *bev, short events, void *ctx)
{
	struct vh_link *link = ctx;

	(void)bev;
	if (events & BEV_EVENT_CONNECTED)
		return;
	link->disconnected = true;
	link->conn_refused = (events & BEV_EVENT_ERROR) &&
			     EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
	vh_link_ref(link);
	vh_link_close(link);
	vh_link_unref(link);
}

static void set_socket_options(struct vh_link *link)
{
	evutil_socket_t fd = bufferevent_getfd(link->bev);
	unsigned int timeout = (unsigned int)link->owner->answer_timeout_ms;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}

static struct vh_link *link_new(struct vh_link_owner *owner, evutil_socket_t fd)
{
	struct vh_link *link = g_new0(struct vh_link, 1);

	link->owner = owner;
	link->refs = 1;
	link->auth.secret = owner->secret;
	link->last_received_ms = vh_kernel_now_ms(owner->kernel);
	link->created_ms = link->last_received_ms;
	link->bev = bufferevent_socket_new(owner->kernel->base, fd,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	return link;
}

struct vh_link *vh_link_connect(struct vh_link_owner *owner,
				struct vh_slice address, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	struct vh_link *link;

	if (address.len >= VH_ADDRESS_MAX)
		return NULL;
	link = link_new(owner, -1);
	link->outgoing = true;
	link->port = port;
	memcpy(link->address, address.data, address.len);
	if (inet_pton(AF_INET, link->address, &addr.sin_addr) != 1 ||
	    bufferevent_socket_connect(link->bev, (struct sockaddr *)&addr,
				       sizeof(addr))) {
		vh_link_unref(link);
		return NULL;
	}
	set_socket_options(link);
	return link;
}

struct vh_link *vh_link_accept(struct vh_link_owner *owner, evutil_socket_t fd)
{
	struct vh_link *link = link_new(owner, fd);

	set_socket_options(link);
	send_challenge(link);
	return link;
}

void vh_link_expect_answer(struct vh_link *link)
{
	if (!link->outstanding)
		link->last_received_ms = vh_kernel_now_ms(link->owner->kernel);
	link->outstanding++;
}

void vh_link_answer_received(struct vh_link *link)
{
	if (link->outstanding)
		link->outstanding--;
}

bool vh_link_check_timeout(struct vh_link *link, int64_t now_ms)
{
	int64_t idle_ms = now_ms - link->last_received_ms;

	if (!link->ready) {
		if (now_ms - link->created_ms > HANDSHAKE_TIMEOUT_MS)
			vh_link_close(link);
		return false;
	}
	if (!link->outstanding)
		return false;
	if (idle_ms > link->owner->answer_timeout_ms) {
		vh_link_close(link);
		return false;
	}
	return idle_ms > link->owner->answer_timeout_ms / 3;
}
