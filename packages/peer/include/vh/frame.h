#ifndef VH_FRAME_H
#define VH_FRAME_H

/*
 * Encodes and decodes the frames that nodes exchange over TCP: a length and a
 * msgpack array. Called by the links, calls, gossip and probes of this package,
 * and by packages/cell for its own connections.
 */

#include <event2/buffer.h>
#include <msgpack.h>

#include "vh/error.h"
#include "vh/slice.h"

#define VH_FRAME_HEADER_SIZE 4 /* bytes: length of the payload, big endian */

/* The first element of each frame; a frame is a msgpack array. */
enum vh_frame_type {
	VH_FRAME_CHALLENGE = 1, /* version, nonce */
	VH_FRAME_PROOF,		/* nonce, id, incarnation, mac */
	VH_FRAME_WELCOME,	/* id, incarnation, mac */
	VH_FRAME_PING,		/* sequence, member updates */
	VH_FRAME_ACK,		/* sequence, member updates */
	VH_FRAME_PING_REQ,	/* sequence, id of the node to ping */
	VH_FRAME_CALL,		/* call, method, body */
	VH_FRAME_ANSWER		/* call, error code, body */
};

/**
 * struct vh_frame - one decoded frame
 * @type: first element of the array
 * @args: the other elements
 * @n: number of @args
 *
 * @args points into @unpacked; release the frame with vh_frame_finish().
 */
struct vh_frame {
	enum vh_frame_type type;
	const msgpack_object *args;
	size_t n;
	msgpack_unpacked unpacked;
};

/* vh_frame_decode - VH_OK or VH_ERR_CORRUPT; @f needs no release on error */
enum vh_err vh_frame_decode(struct vh_frame *f, struct vh_slice bytes);
void vh_frame_finish(struct vh_frame *f);

/**
 * vh_frame_peek - finds the next complete frame at the front of a buffer
 * @max: largest accepted payload length
 * @bytes: payload of the frame, within @in; drain header and payload after use
 *
 * Returns VH_OK, VH_ERR_NOT_READY (incomplete) or VH_ERR_TOO_LARGE.
 */
enum vh_err vh_frame_peek(struct evbuffer *in, size_t max,
			  struct vh_slice *bytes);

/* vh_frame_write - appends a header and the payload @packed to @out */
void vh_frame_write(struct evbuffer *out, const msgpack_sbuffer *packed);

/* Typed reads of one element; false if its type differs or @max is exceeded. */
bool vh_frame_read_u64(const msgpack_object *o, uint64_t max, uint64_t *out);
bool vh_frame_read_bytes(const msgpack_object *o, size_t max,
			 struct vh_slice *out);

void vh_frame_pack_bytes(msgpack_packer *pk, struct vh_slice s);

#endif
