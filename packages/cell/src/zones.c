#include "zones.h"

#include "vh/log.h"

void zones_init(struct zones *z)
{
	z->drained =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	z->snapshot = 0;
	z->known = false;
}

void zones_finish(struct zones *z)
{
	g_hash_table_destroy(z->drained);
}

static void log_zone(GLogLevelFlags level, const char *what, const char *zone)
{
	vh_log(level, what, "zone", zone, NULL);
}

static bool withdraw(struct zones *z, const char *zone)
{
	if (!g_hash_table_contains(z->drained, zone))
		return false;
	log_zone(G_LOG_LEVEL_INFO, "record of a zone drain deleted", zone);
	return g_hash_table_remove(z->drained, zone);
}

static bool add(struct zones *z, const char *zone, bool malformed)
{
	bool is_new = !g_hash_table_contains(z->drained, zone);

	if (malformed)
		log_zone(G_LOG_LEVEL_WARNING,
			 "malformed record of a zone drain, taken as set",
			 zone);
	if (is_new)
		log_zone(G_LOG_LEVEL_INFO, "record of a zone drain read", zone);
	g_hash_table_insert(z->drained, g_strdup(zone),
			    GSIZE_TO_POINTER(z->snapshot));
	return is_new;
}

bool zones_apply(struct zones *z, const struct vh_decode_ops *decode,
		 const struct vh_record *r)
{
	struct vh_slice name;
	bool malformed = false;
	bool changed;
	char *zone;

	if (!decode->drained_zone(r->key, r->value, &name, &malformed))
		return false;
	/* The text before a NUL byte may be the name of another zone. */
	if (!name.len || memchr(name.data, '\0', name.len)) {
		vh_log(G_LOG_LEVEL_WARNING,
		       "record of a zone drain without a zone ignored", NULL);
		return false;
	}
	zone = vh_slice_dup(name);
	if (r->value.len)
		changed = add(z, zone, malformed);
	else
		changed = withdraw(z, zone);
	g_free(zone);
	return changed;
}

void zones_snapshot_begin(struct zones *z)
{
	z->snapshot++;
}

static gboolean is_older(gpointer zone, gpointer snapshot, gpointer ctx)
{
	const struct zones *z = ctx;

	if (GPOINTER_TO_SIZE(snapshot) == z->snapshot)
		return FALSE;
	log_zone(G_LOG_LEVEL_INFO, "record of a zone drain is gone", zone);
	return TRUE;
}

void zones_snapshot_end(struct zones *z)
{
	g_hash_table_foreach_remove(z->drained, is_older, z);
	z->known = true;
}

struct vh_slice *zones_list(const struct zones *z, size_t *n)
{
	struct vh_slice *list =
		g_new0(struct vh_slice, g_hash_table_size(z->drained) + 1);
	GHashTableIter it;
	gpointer zone;

	*n = 0;
	g_hash_table_iter_init(&it, z->drained);
	while (g_hash_table_iter_next(&it, &zone, NULL))
		list[(*n)++] = vh_slice_str(zone);
	return list;
}
