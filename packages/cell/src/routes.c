#include "routes.h"

#include <glib.h>

void vh_config_view_free(struct vh_config_view *v)
{
	if (!v)
		return;
	g_free(v->queues);
	g_free(v->teams);
	g_free(v->keys);
	g_string_chunk_free(v->arena);
	g_free(v);
}

static struct vh_slice without_port(struct vh_slice host)
{
	for (size_t i = host.len; i > 0; i--) {
		if (host.data[i - 1] == ':')
			return vh_slice(host.data, i - 1);
	}
	return host;
}

static bool host_eq(struct vh_slice a, struct vh_slice b)
{
	return a.len == b.len && !g_ascii_strncasecmp(a.data, b.data, a.len);
}

static bool matches(const struct vh_queue_config *q, struct vh_slice host,
		    struct vh_slice path)
{
	if (q->host.len && !host_eq(q->host, host))
		return false;
	return path.len >= q->prefix.len &&
	       !memcmp(path.data, q->prefix.data, q->prefix.len);
}

const struct vh_queue_config *routes_find(const struct vh_config_view *v,
					  struct vh_slice host,
					  struct vh_slice path)
{
	const struct vh_queue_config *best = NULL;

	host = without_port(host);
	for (size_t i = 0; i < v->n_queues; i++) {
		const struct vh_queue_config *q = &v->queues[i];

		if (!matches(q, host, path))
			continue;
		if (!best || q->prefix.len > best->prefix.len)
			best = q;
	}
	return best;
}

const struct eng_team *routes_find_team(const struct vh_config_view *v,
					struct vh_slice key)
{
	if (!key.len)
		return NULL;
	for (size_t i = 0; i < v->n_keys; i++) {
		if (vh_slice_eq_consttime(v->keys[i].key, key))
			return &v->teams[v->keys[i].team];
	}
	return NULL;
}
