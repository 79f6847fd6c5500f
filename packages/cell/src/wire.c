#include "wire.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define FRAME_MAX (256 * 1024) /* bytes */
#define USER_TIMEOUT_MS 3000   /* limit for unacknowledged data */

void wire_begin(struct wire_msg *msg, enum wire_type type, size_t n_args)
{
	msgpack_sbuffer_init(&msg->sb);
	msgpack_packer_init(&msg->pk, &msg->sb, msgpack_sbuffer_write);
	msgpack_pack_array(&msg->pk, n_args + 1);
	msgpack_pack_int(&msg->pk, (int)type);
}

void wire_send(struct wire_msg *msg, struct bufferevent *bev)
{
	if (bev)
		vh_frame_write(bufferevent_get_output(bev), &msg->sb);
	msgpack_sbuffer_destroy(&msg->sb);
}

/* The decoded elements point into the frame's bytes, hence the copy. */
static bool dispatch(struct bufferevent *bev, struct vh_slice bytes,
		     bool (*on_frame)(void *ctx, const struct vh_frame *f),
		     void *ctx)
{
	char *copy = vh_slice_dup(bytes);
	struct vh_frame f;
	bool ok = false;

	evbuffer_drain(bufferevent_get_input(bev),
		       VH_FRAME_HEADER_SIZE + bytes.len);
	if (vh_frame_decode(&f, vh_slice(copy, bytes.len)) == VH_OK) {
		ok = on_frame(ctx, &f);
		vh_frame_finish(&f);
	}
	g_free(copy);
	return ok;
}

bool wire_read(struct bufferevent *bev,
	       bool (*on_frame)(void *ctx, const struct vh_frame *f), void *ctx)
{
	for (;;) {
		struct vh_slice bytes;
		enum vh_err err = vh_frame_peek(bufferevent_get_input(bev),
						FRAME_MAX, &bytes);

		if (err == VH_ERR_NOT_READY)
			return true;
		if (err != VH_OK || !dispatch(bev, bytes, on_frame, ctx))
			return false;
	}
}

uint64_t wire_u64(const struct vh_frame *f, size_t i)
{
	uint64_t v = 0;

	if (i < f->n && !vh_frame_read_u64(&f->args[i], UINT64_MAX, &v))
		v = 0;
	return v;
}

struct vh_slice wire_bytes(const struct vh_frame *f, size_t i)
{
	struct vh_slice s = { NULL, 0 };

	if (i < f->n && !vh_frame_read_bytes(&f->args[i], FRAME_MAX, &s))
		s.len = 0;
	return s;
}

void wire_set_socket_options(struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd(bev);
	unsigned int timeout = USER_TIMEOUT_MS;
	int on = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}
