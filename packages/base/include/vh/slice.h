#ifndef VH_SLICE_H
#define VH_SLICE_H

/*
 * Views of byte strings: comparison, copying, hashing and parsing. Nearly all
 * packages and the adapter in platform/ pass strings in this form.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/**
 * struct vh_slice - a non-owning view of a byte string
 * @data: first byte; may be NULL if @len is 0
 * @len: number of bytes
 *
 * A slice is valid as long as the memory it points to.
 */
struct vh_slice {
	const char *data;
	size_t len;
};

/* Initializer for a slice of a string literal. */
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

/* vh_slice_cmp - lexicographic order by bytes, a prefix first; <0, 0 or >0 */
int vh_slice_cmp(struct vh_slice a, struct vh_slice b);

/* vh_slice_dup - returns a NUL-terminated copy, including embedded NULs; free
 * with g_free() */
char *vh_slice_dup(struct vh_slice s);

/* vh_slice_hash - 64-bit FNV-1a with a final mix; stable across releases */
uint64_t vh_slice_hash(struct vh_slice s, uint64_t seed);

/* vh_slice_eq_consttime - comparison for secrets; its run time depends on the
 * lengths only */
bool vh_slice_eq_consttime(struct vh_slice a, struct vh_slice b);

/* vh_slice_to_u64 - parses an unsigned decimal integer; false if @s contains
 * anything else or the value overflows */
bool vh_slice_to_u64(struct vh_slice s, uint64_t *out);

#endif
