#ifndef VH_SLICE_H
#define VH_SLICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/**
 * struct vh_slice - borrowed bytes with a length
 * @data: first byte; may be NULL when @len is 0
 * @len: number of bytes
 *
 * A slice owns nothing. It is valid as long as what it points into.
 */
struct vh_slice {
	const char *data;
	size_t len;
};

/* A slice over a string literal, usable as an initializer. */
#define VH_SLICE(lit)                                 \
	{                                             \
		.data = (lit), .len = sizeof(lit) - 1 \
	}

/* Arguments for a "%.*s" conversion. */
#define VH_SLICE_ARGS(s) (int)(s).len, (s).data ? (s).data : ""

static inline struct vh_slice vh_slice(const char *data, size_t len)
{
	struct vh_slice s = { data, len };

	return s;
}

static inline struct vh_slice vh_slice_str(const char *str)
{
	return vh_slice(str, str ? strlen(str) : 0);
}

static inline bool vh_slice_eq(struct vh_slice a, struct vh_slice b)
{
	if (a.len != b.len)
		return false;
	if (!a.len)
		return true;
	return a.data && b.data && !memcmp(a.data, b.data, a.len);
}

static inline bool vh_slice_eq_str(struct vh_slice a, const char *b)
{
	return vh_slice_eq(a, vh_slice_str(b));
}

/* vh_slice_cmp - orders by bytes, then by length; <0, 0 or >0 */
int vh_slice_cmp(struct vh_slice a, struct vh_slice b);

/* vh_slice_dup - returns a copy of all bytes, NULs too, and a NUL behind them;
 * free with g_free() */
char *vh_slice_dup(struct vh_slice s);

/* vh_slice_hash - 64-bit FNV-1a with a final mix; stable over releases */
uint64_t vh_slice_hash(struct vh_slice s, uint64_t seed);

/* vh_slice_eq_consttime - compares in time that depends on the lengths only */
bool vh_slice_eq_consttime(struct vh_slice a, struct vh_slice b);

/* vh_slice_to_u64 - parses a whole decimal number; false if it is not one */
bool vh_slice_to_u64(struct vh_slice s, uint64_t *out);

#endif
