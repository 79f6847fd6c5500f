#include "vh/frame.h"

#include <arpa/inet.h>

#define MAX_DEPTH 8

/* Loads a big-endian number of @n bytes. */
static uint64_t load_be(const unsigned char *p, unsigned int n)
{
	uint64_t v = 0;

	while (n--)
		v = v << 8 | *p++;
	return v;
}

struct cursor {
	const unsigned char *p;
	size_t remaining;
};

static bool skip(struct cursor *s, uint64_t n)
{
	if (n > s->remaining)
		return false;
	s->p += n;
	s->remaining -= n;
	return true;
}

/* Skips a length field of @size bytes, @extra bytes and the data it counts. */
static bool skip_prefixed(struct cursor *s, unsigned int size,
			  unsigned int extra)
{
	uint64_t n;

	if (s->remaining < size)
		return false;
	n = load_be(s->p, size);
	return skip(s, size) && skip(s, n + extra);
}

static bool read_length(struct cursor *s, unsigned int size, uint64_t *n)
{
	if (s->remaining < size)
		return false;
	*n = load_be(s->p, size);
	return skip(s, size);
}

/*
 * Number of bytes after the type byte @c of a fixed-size value; -1 for a value
 * with a length field, a container or the invalid 0xc1.
 */
static int payload_size(unsigned char c)
{
	static const signed char sizes[] = {
		0, -1, 0, 0, -1, -1, -1, -1, -1, -1, 4,	 8,  1,	 2,  4,	 8,
		1, 2,  4, 8, 2,	 3,  5,	 9,  17, -1, -1, -1, -1, -1, -1, -1,
	};

	if (c < 0x80 || c >= 0xe0)
		return 0;
	if (c >= 0xa0 && c < 0xc0)
		return c & 0x1f;
	return c >= 0xc0 ? sizes[c - 0xc0] : -1;
}

/*
 * Checks that all lengths and element counts fit the bytes present. msgpack-c
 * allocates a container for the announced element count before it has read the
 * elements, so a short frame could otherwise request a huge allocation.
 */
static bool lengths_fit(struct cursor *s, unsigned int depth)
{
	unsigned char c;
	uint64_t n = 0;
	int size;

	if (!depth || !s->remaining)
		return false;
	c = *s->p;
	skip(s, 1);
	size = payload_size(c);
	if (size >= 0)
		return skip(s, (uint64_t)size);
	if (c == 0xc4 || c == 0xd9)
		return skip_prefixed(s, 1, 0);
	if (c == 0xc5 || c == 0xda)
		return skip_prefixed(s, 2, 0);
	if (c == 0xc6 || c == 0xdb)
		return skip_prefixed(s, 4, 0);
	if (c >= 0xc7 && c <= 0xc9)
		return skip_prefixed(s, 1u << (c - 0xc7), 1);
	if (c >= 0x80 && c <= 0x9f)
		n = c & 0x0f;
	else if (c >= 0xdc && c <= 0xdf && !read_length(s, c & 1 ? 4 : 2, &n))
		return false;
	else if (c == 0xc1)
		return false;
	if ((c & 0xf0) == 0x80 || c >= 0xde)
		n *= 2;
	if (n > s->remaining)
		return false;
	while (n--) {
		if (!lengths_fit(s, depth - 1))
			return false;
	}
	return true;
}

enum vh_err vh_frame_decode(struct vh_frame *f, struct vh_slice bytes)
{
	struct cursor cursor = { (const unsigned char *)bytes.data, bytes.len };
	const msgpack_object *o;
	size_t off = 0;
	uint64_t type;

	if (!lengths_fit(&cursor, MAX_DEPTH) || cursor.remaining)
		return VH_ERR_CORRUPT;
	msgpack_unpacked_init(&f->unpacked);
	if (msgpack_unpack_next(&f->unpacked, bytes.data, bytes.len, &off) !=
	    MSGPACK_UNPACK_SUCCESS)
		goto corrupt;
	o = &f->unpacked.data;
	if (o->type != MSGPACK_OBJECT_ARRAY || !o->via.array.size)
		goto corrupt;
	if (!vh_frame_read_u64(&o->via.array.ptr[0], UINT8_MAX, &type))
		goto corrupt;
	f->type = (enum vh_frame_type)type;
	f->args = o->via.array.ptr + 1;
	f->n = o->via.array.size - 1;
	return VH_OK;
corrupt:
	msgpack_unpacked_destroy(&f->unpacked);
	return VH_ERR_CORRUPT;
}

void vh_frame_finish(struct vh_frame *f)
{
	msgpack_unpacked_destroy(&f->unpacked);
}

enum vh_err vh_frame_peek(struct evbuffer *in, size_t max,
			  struct vh_slice *bytes)
{
	unsigned char header[VH_FRAME_HEADER_SIZE];
	size_t available = evbuffer_get_length(in);
	size_t len;

	if (available < VH_FRAME_HEADER_SIZE)
		return VH_ERR_NOT_READY;
	evbuffer_copyout(in, header, sizeof(header));
	len = (size_t)load_be(header, VH_FRAME_HEADER_SIZE);
	if (len > max)
		return VH_ERR_TOO_LARGE;
	if (available < VH_FRAME_HEADER_SIZE + len)
		return VH_ERR_NOT_READY;
	bytes->data = (const char *)evbuffer_pullup(
			      in, (ev_ssize_t)(VH_FRAME_HEADER_SIZE + len)) +
		      VH_FRAME_HEADER_SIZE;
	bytes->len = len;
	return VH_OK;
}

void vh_frame_write(struct evbuffer *out, const msgpack_sbuffer *packed)
{
	uint32_t len = htonl((uint32_t)packed->size);

	evbuffer_add(out, &len, sizeof(len));
	evbuffer_add(out, packed->data, packed->size);
}

bool vh_frame_read_u64(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

bool vh_frame_read_bytes(const msgpack_object *o, size_t max,
			 struct vh_slice *out)
{
	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > max)
		return false;
	*out = vh_slice(o->via.bin.ptr, o->via.bin.size);
	return true;
}

void vh_frame_pack_bytes(msgpack_packer *pk, struct vh_slice s)
{
	msgpack_pack_bin(pk, s.len);
	msgpack_pack_bin_body(pk, s.data, s.len);
}
