#ifndef VH_CODEC_H
#define VH_CODEC_H

/*
 * Packs and unpacks msgpack arrays. Called by most modules of this package, and
 * by packages/core for its records and the messages between nodes.
 */

#include <msgpack.h>

#include "vh/buf.h"

/* The vh_pack functions append one msgpack value to @out. */
void vh_pack_array(struct vh_buf *out, size_t n);
void vh_pack_u64(struct vh_buf *out, uint64_t v);
void vh_pack_i64(struct vh_buf *out, int64_t v);
void vh_pack_bool(struct vh_buf *out, bool v);
void vh_pack_slice(struct vh_buf *out, struct vh_slice s);

/**
 * struct vh_unpack - reads the values of a msgpack array in order
 * @ok: cleared when a value is missing or has the wrong type; such reads return
 *       0
 *
 * Trailing values that the reader does not ask for are ignored, so later
 * versions can append fields. Slices point into the input bytes.
 */
struct vh_unpack {
	msgpack_unpacked holder;
	const msgpack_object *items;
	uint32_t n;
	uint32_t at;
	bool ok;
};

/**
 * vh_unpack_init - starts reading the array at the front of @bytes
 * @used: if not NULL, set to the array's length in bytes
 *
 * Returns false if the bytes are truncated or not an array. vh_unpack_finish()
 * must be called in either case.
 */
bool vh_unpack_init(struct vh_unpack *u, struct vh_slice bytes, size_t *used);
void vh_unpack_finish(struct vh_unpack *u);

/*
 * vh_unpack_array - enters a nested array and returns its number of values.
 * @sub is valid as long as @u and needs no vh_unpack_finish().
 */
uint32_t vh_unpack_array(struct vh_unpack *u, struct vh_unpack *sub);
uint64_t vh_unpack_u64(struct vh_unpack *u);
uint32_t vh_unpack_u32(struct vh_unpack *u);
int64_t vh_unpack_i64(struct vh_unpack *u);
bool vh_unpack_bool(struct vh_unpack *u);
struct vh_slice vh_unpack_slice(struct vh_unpack *u);

#endif
