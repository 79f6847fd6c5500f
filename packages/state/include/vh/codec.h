#ifndef VH_CODEC_H
#define VH_CODEC_H

#include <msgpack.h>

#include "vh/buf.h"

/* Writers append one msgpack value to @out. */
void vh_pack_array(struct vh_buf *out, size_t n);
void vh_pack_u64(struct vh_buf *out, uint64_t v);
void vh_pack_i64(struct vh_buf *out, int64_t v);
void vh_pack_bool(struct vh_buf *out, bool v);
void vh_pack_slice(struct vh_buf *out, struct vh_slice s);

/**
 * struct vh_unpack - reads the values of one msgpack array in turn
 * @ok: false once a value was missing or of another type; reads give 0 then
 *
 * Values behind those that a reader asks for are ignored, so that later
 * versions can add some at the end. Slices borrow from the bytes read.
 */
struct vh_unpack {
	msgpack_unpacked holder;
	const msgpack_object *items;
	uint32_t n;
	uint32_t at;
	bool ok;
};

/**
 * vh_unpack_init - reads the array at the front of @bytes
 * @used: if not NULL, set to the array's length in bytes
 *
 * Returns false if the bytes are torn or no array; in any case
 * vh_unpack_finish() must follow.
 */
bool vh_unpack_init(struct vh_unpack *u, struct vh_slice bytes, size_t *used);
void vh_unpack_finish(struct vh_unpack *u);

/* vh_unpack_array - enters a nested array: @sub is valid as long as @u, needs
 * no finish; returns the number of values */
uint32_t vh_unpack_array(struct vh_unpack *u, struct vh_unpack *sub);
uint64_t vh_unpack_u64(struct vh_unpack *u);
uint32_t vh_unpack_u32(struct vh_unpack *u);
int64_t vh_unpack_i64(struct vh_unpack *u);
bool vh_unpack_bool(struct vh_unpack *u);
struct vh_slice vh_unpack_slice(struct vh_unpack *u);

#endif
