#include "table.h"

#include <glib.h>

#define TABLE_MIN_BUCKETS 16

void vh_table_finish(struct vh_table *t)
{
	g_free(t->buckets);
	memset(t, 0, sizeof(*t));
}

struct vh_table_node *vh_table_find(const struct vh_table *t,
				    struct vh_slice key)
{
	uint64_t hash = vh_slice_hash(key, 0);
	struct vh_table_node *node;

	if (!t->n)
		return NULL;
	node = t->buckets[hash & (t->n_buckets - 1)];
	while (node && (node->hash != hash || !vh_slice_eq(node->key, key)))
		node = node->next;
	return node;
}

static void table_grow(struct vh_table *t)
{
	size_t n = t->n_buckets ? t->n_buckets * 2 : TABLE_MIN_BUCKETS;
	struct vh_table_node **buckets = g_new0(struct vh_table_node *, n);

	for (size_t i = 0; i < t->n_buckets; i++) {
		struct vh_table_node *node = t->buckets[i];

		while (node) {
			struct vh_table_node *next = node->next;
			struct vh_table_node **head =
				&buckets[node->hash & (n - 1)];

			node->next = *head;
			*head = node;
			node = next;
		}
	}
	g_free(t->buckets);
	t->buckets = buckets;
	t->n_buckets = n;
}

void vh_table_add(struct vh_table *t, struct vh_table_node *node)
{
	struct vh_table_node **head;

	if (t->n >= t->n_buckets)
		table_grow(t);
	node->hash = vh_slice_hash(node->key, 0);
	head = &t->buckets[node->hash & (t->n_buckets - 1)];
	node->next = *head;
	*head = node;
	t->n++;
}

void vh_table_remove(struct vh_table *t, struct vh_table_node *node)
{
	struct vh_table_node **at =
		&t->buckets[node->hash & (t->n_buckets - 1)];

	while (*at != node)
		at = &(*at)->next;
	*at = node->next;
	t->n--;
}

struct vh_table_node *vh_table_next(const struct vh_table *t,
				    struct vh_table_iter *it)
{
	struct vh_table_node *node = it->next;

	while (!node && it->bucket < t->n_buckets)
		node = t->buckets[it->bucket++];
	it->next = node ? node->next : NULL;
	return node;
}
