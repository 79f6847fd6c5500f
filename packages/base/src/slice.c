#include "vh/slice.h"

#include <glib.h>

#define FNV_OFFSET UINT64_C(14695981039346656037)
#define FNV_PRIME UINT64_C(1099511628211)
#define MURMUR3_MIX UINT64_C(0xff51afd7ed558ccd)

int vh_slice_cmp(struct vh_slice a, struct vh_slice b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int r = n ? memcmp(a.data, b.data, n) : 0;

	if (r)
		return r;
	return (a.len > b.len) - (a.len < b.len);
}

char *vh_slice_dup(struct vh_slice s)
{
	char *copy = g_malloc(s.len + 1);

	if (s.len)
		memcpy(copy, s.data, s.len);
	copy[s.len] = '\0';
	return copy;
}

uint64_t vh_slice_hash(struct vh_slice s, uint64_t seed)
{
	uint64_t h = FNV_OFFSET ^ seed;

	for (size_t i = 0; i < s.len; i++) {
		h ^= (unsigned char)s.data[i];
		h *= FNV_PRIME;
	}
	h ^= h >> 33;
	h *= MURMUR3_MIX;
	h ^= h >> 33;
	return h;
}

bool vh_slice_eq_consttime(struct vh_slice a, struct vh_slice b)
{
	unsigned char diff = 0;

	if (a.len != b.len)
		return false;
	for (size_t i = 0; i < a.len; i++)
		diff |= (unsigned char)(a.data[i] ^ b.data[i]);
	return diff == 0;
}

bool vh_slice_to_u64(struct vh_slice s, uint64_t *out)
{
	uint64_t v = 0;

	if (!s.len)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		unsigned int digit = (unsigned char)s.data[i] - '0';

		if (digit > 9)
			return false;
		if (v > (UINT64_MAX - digit) / 10)
			return false;
		v = v * 10 + digit;
	}
	*out = v;
	return true;
}
