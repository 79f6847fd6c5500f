#include "vh/codec.h"

static int codec_write(void *data, const char *bytes, size_t len)
{
	vh_buf_add((struct vh_buf *)data, bytes, len);
	return 0;
}

static void packer_init(msgpack_packer *pk, struct vh_buf *out)
{
	msgpack_packer_init(pk, out, codec_write);
}

void vh_pack_array(struct vh_buf *out, size_t n)
{
	msgpack_packer pk;

	packer_init(&pk, out);
	msgpack_pack_array(&pk, n);
}

void vh_pack_u64(struct vh_buf *out, uint64_t v)
{
	msgpack_packer pk;

	packer_init(&pk, out);
	msgpack_pack_uint64(&pk, v);
}

void vh_pack_i64(struct vh_buf *out, int64_t v)
{
	msgpack_packer pk;

	packer_init(&pk, out);
	msgpack_pack_int64(&pk, v);
}

void vh_pack_bool(struct vh_buf *out, bool v)
{
	msgpack_packer pk;

	packer_init(&pk, out);
	if (v)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
}

void vh_pack_slice(struct vh_buf *out, struct vh_slice s)
{
	msgpack_packer pk;

	packer_init(&pk, out);
	msgpack_pack_bin(&pk, s.len);
	msgpack_pack_bin_body(&pk, s.data, s.len);
}

static bool unpack_enter(struct vh_unpack *u, const msgpack_object *o)
{
	u->items = NULL;
	u->n = 0;
	u->at = 0;
	u->ok = o && o->type == MSGPACK_OBJECT_ARRAY;
	if (!u->ok)
		return false;
	u->items = o->via.array.ptr;
	u->n = o->via.array.size;
	return true;
}

bool vh_unpack_init(struct vh_unpack *u, struct vh_slice bytes, size_t *used)
{
	size_t at = 0;

	msgpack_unpacked_init(&u->holder);
	unpack_enter(u, NULL);
	if (!bytes.len)
		return false;
	if (msgpack_unpack_next(&u->holder, bytes.data, bytes.len, &at) !=
	    MSGPACK_UNPACK_SUCCESS)
		return false;
	if (used)
		*used = at;
	return unpack_enter(u, &u->holder.data);
}

void vh_unpack_finish(struct vh_unpack *u)
{
	msgpack_unpacked_destroy(&u->holder);
}

/* Returns NULL unless the next value is of @type. */
static const msgpack_object *unpack_take(struct vh_unpack *u,
					 msgpack_object_type type)
{
	if (u->at >= u->n || u->items[u->at].type != type) {
		u->ok = false;
		return NULL;
	}
	return &u->items[u->at++];
}

uint32_t vh_unpack_array(struct vh_unpack *u, struct vh_unpack *sub)
{
	unpack_enter(sub, unpack_take(u, MSGPACK_OBJECT_ARRAY));
	return sub->n;
}

uint64_t vh_unpack_u64(struct vh_unpack *u)
{
	const msgpack_object *o =
		unpack_take(u, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

uint32_t vh_unpack_u32(struct vh_unpack *u)
{
	uint64_t v = vh_unpack_u64(u);

	if (v > UINT32_MAX) {
		u->ok = false;
		return 0;
	}
	return (uint32_t)v;
}

int64_t vh_unpack_i64(struct vh_unpack *u)
{
	const msgpack_object *o;

	if (u->at < u->n &&
	    u->items[u->at].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return u->items[u->at++].via.i64;
	o = unpack_take(u, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (!o)
		return 0;
	if (o->via.u64 > INT64_MAX) {
		u->ok = false;
		return 0;
	}
	return (int64_t)o->via.u64;
}

bool vh_unpack_bool(struct vh_unpack *u)
{
	const msgpack_object *o = unpack_take(u, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

struct vh_slice vh_unpack_slice(struct vh_unpack *u)
{
	const msgpack_object *o = unpack_take(u, MSGPACK_OBJECT_BIN);

	return o ? vh_slice(o->via.bin.ptr, o->via.bin.size) : vh_slice("", 0);
}
