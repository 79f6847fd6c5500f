#ifndef OBJECTS_PRIV_H
#define OBJECTS_PRIV_H

/*
 * Shared by the sources that load, check and render a set of objects (objects.c
 * and objects_*.c); internal to the package.
 */

#include "vh/ini.h"
#include "vh/objects.h"

/**
 * enum object_kind - kinds of groups, in the order in which they are read
 *
 * An object may refer to objects of preceding kinds only; the key "like", which
 * refers to the object's own kind, is resolved beforehand.
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
 * struct vh_objects_priv - storage of a set
 * @strings: interned names
 * @hashes: contiguous copy of the @n_keys key hashes, in the order of the keys
 */
struct vh_objects_priv {
	GStringChunk *strings;
	unsigned char (*hashes)[VH_KEY_HASH_BYTES];
};

/**
 * struct object_groups - the groups of each kind, sorted by name
 * @by_kind: in the same order as the set's arrays
 * @n: number of groups of each kind
 */
struct object_groups {
	struct vh_ini_group **by_kind[KIND_COUNT];
	size_t n[KIND_COUNT];
};

/* object_kind_name - name in a group header, for example "queue" */
const char *object_kind_name(enum object_kind kind);

/* object_kind_keys - returns the NULL-terminated list of a kind's settings */
const char *const *object_kind_keys(enum object_kind kind);

/* objects_read - fills the arrays of @set and resolves references */
void objects_read(struct vh_objects *set, const struct object_groups *groups,
		  struct vh_problems *problems);

/* objects_check - checks constraints that span several objects */
void objects_check(const struct vh_objects *set,
		   const struct object_groups *groups,
		   struct vh_problems *problems);

/* objects_resolve_like - sets the field like of each group; reports dangling
 * and circular references */
void objects_resolve_like(const struct object_groups *groups,
			  struct vh_problems *problems);

#endif
