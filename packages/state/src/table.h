#ifndef VH_TABLE_H
#define VH_TABLE_H

/*
 * Hash table keyed by slices. Internal to the package: called by the claims,
 * the home and rack state machines and writers.c.
 */

#include "vh/slice.h"

/**
 * struct vh_table_node - embedded in the elements of a table
 * @key: borrowed; must stay valid while the node is in the table
 */
struct vh_table_node {
	struct vh_table_node *next;
	uint64_t hash;
	struct vh_slice key;
};

/**
 * struct vh_table - hash table from slices to intrusive nodes
 *
 * Zeroed memory is an empty table. The caller owns the nodes.
 */
struct vh_table {
	struct vh_table_node **buckets;
	size_t n_buckets;
	size_t n;
};

/* vh_table_finish - frees the buckets, not the nodes */
void vh_table_finish(struct vh_table *t);
struct vh_table_node *vh_table_find(const struct vh_table *t,
				    struct vh_slice key);

/* vh_table_add - @node->key must be set and not yet in the table */
void vh_table_add(struct vh_table *t, struct vh_table_node *node);
void vh_table_remove(struct vh_table *t, struct vh_table_node *node);

/**
 * vh_table_next - iterates over all nodes in no particular order
 * @it: zeroed at first
 *
 * Returns NULL at the end. Between calls only the returned node may be removed.
 */
struct vh_table_iter {
	size_t bucket;
	struct vh_table_node *next;
};

struct vh_table_node *vh_table_next(const struct vh_table *t,
				    struct vh_table_iter *it);

#endif
