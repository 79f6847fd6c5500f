#ifndef OBJECTS_PRIV_H
#define OBJECTS_PRIV_H

#include "vh/ini.h"
#include "vh/objects.h"

/**
 * enum object_kind - kinds of groups, in the order in which they are read
 *
 * A kind refers to kinds before it only.
 */
enum object_kind {
	KIND_FLEET,
	KIND_SHARE,
	KIND_LIMIT,
	KIND_TEAM,
	KIND_KEY,
	KIND_QUEUE,
	KIND_SERVICE,
	KIND_COUNT
};

/**
 * struct vh_objects_priv - memory behind a set
 * @strings: all names
 * @hashes: @n_keys hashes in the order of the keys
 */
struct vh_objects_priv {
	GStringChunk *strings;
	unsigned char (*hashes)[VH_KEY_HASH_BYTES];
};

/**
 * struct object_groups - the groups of each kind, sorted by name
 * @of: while it lives the order equals that of the set's arrays
 */
struct object_groups {
	struct vh_ini_group **of[KIND_COUNT];
	size_t n[KIND_COUNT];
};

/* object_kind_name - for example "queue" */
const char *object_kind_name(enum object_kind kind);

/* object_kind_keys - NULL-terminated list of the keys of a kind */
const char *const *object_kind_keys(enum object_kind kind);

/* objects_read - fills @set's arrays from the groups; resolves references */
void objects_read(struct vh_objects *set, const struct object_groups *groups,
		  struct vh_problems *problems);

/* objects_check - checks what concerns more than one object */
void objects_check(const struct vh_objects *set,
		   const struct object_groups *groups,
		   struct vh_problems *problems);

/* objects_resolve_like - sets like of each group; reports dangling and
 * circular ones */
void objects_resolve_like(const struct object_groups *groups,
			  struct vh_problems *problems);

#endif
