#ifndef VH_BYTES_H
#define VH_BYTES_H

/*
 * Copies of byte strings held in a slice. Internal to the package: called by
 * the home state machine and rack_run.c.
 */

#include <glib.h>

#include "vh/slice.h"

/* bytes_copy - copies a slice, NUL bytes included; free with bytes_free() */
static inline struct vh_slice bytes_copy(struct vh_slice s)
{
	return vh_slice(s.len ? g_memdup2(s.data, s.len) : NULL, s.len);
}

static inline void bytes_free(struct vh_slice *s)
{
	g_free((char *)s->data);
	*s = vh_slice(NULL, 0);
}

/* bytes_set - replaces the owned bytes in @s by a copy of @by */
static inline void bytes_set(struct vh_slice *s, struct vh_slice by)
{
	struct vh_slice copy = bytes_copy(by);

	bytes_free(s);
	*s = copy;
}

#endif
