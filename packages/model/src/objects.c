#include "vh/objects.h"

#include <stdlib.h>

#include "objects_priv.h"

static const char *const kind_names[KIND_COUNT] = {
	[KIND_FLEET] = "fleet",	    [KIND_SHARE] = "share",
	[KIND_LIMIT] = "limit",	    [KIND_TEAM] = "team",
	[KIND_KEY] = "key",	    [KIND_QUEUE] = "queue",
	[KIND_SERVICE] = "service",
};

const char *object_kind_name(enum object_kind kind)
{
	return kind_names[kind];
}

static enum object_kind kind_from_name(const char *name)
{
	for (int k = 0; k < KIND_COUNT; k++) {
		if (!strcmp(name, kind_names[k]))
			return (enum object_kind)k;
	}
	return KIND_COUNT;
}

static bool name_is_valid(const char *name)
{
	size_t len = strlen(name);

	if (!len || len > VH_NAME_MAX || *name == '-')
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_islower(name[i]) && !g_ascii_isdigit(name[i]) &&
		    name[i] != '-')
			return false;
	}
	return true;
}

/* Whether @g has a known kind and a valid name; if not, adds a problem. */
static bool header_is_valid(const struct vh_ini_group *g, enum object_kind kind,
			    struct vh_problems *problems)
{
	if (kind == KIND_COUNT) {
		vh_ini_problem(problems, g, NULL,
			       "unknown group; expected [fleet] or [KIND "
			       "\"NAME\"] with KIND one of share, limit, "
			       "team, key, queue, service");
		return false;
	}
	if (kind == KIND_FLEET) {
		if (g->name)
			vh_ini_problem(problems, g, NULL,
				       "has a name; expected [fleet]");
		return !g->name;
	}
	if (!g->name) {
		vh_ini_problem(problems, g, NULL,
			       "has no name; expected [%s \"NAME\"]", g->kind);
		return false;
	}
	if (!name_is_valid(g->name)) {
		vh_ini_problem(problems, g, NULL,
			       "malformed name; expected 1 to %d characters of "
			       "a-z, 0-9 and -; the first must not be -",
			       VH_NAME_MAX);
		return false;
	}
	return true;
}

static int cmp_group(const void *a, const void *b)
{
	const struct vh_ini_group *const *x = a;
	const struct vh_ini_group *const *y = b;

	return g_strcmp0((*x)->name, (*y)->name);
}

static void groups_init(struct object_groups *groups, struct vh_ini *ini,
			struct vh_problems *problems)
{
	memset(groups, 0, sizeof(*groups));
	for (int k = 0; k < KIND_COUNT; k++)
		groups->by_kind[k] = g_new0(struct vh_ini_group *, ini->n + 1);
	for (size_t i = 0; i < ini->n; i++) {
		struct vh_ini_group *g = &ini->groups[i];
		enum object_kind kind = kind_from_name(g->kind);

		if (!header_is_valid(g, kind, problems))
			continue;
		vh_ini_check_keys(g, object_kind_keys(kind), problems);
		groups->by_kind[kind][groups->n[kind]++] = g;
	}
	for (int k = 0; k < KIND_COUNT; k++)
		qsort(groups->by_kind[k], groups->n[k],
		      sizeof(*groups->by_kind[k]), cmp_group);
}

static void groups_finish(struct object_groups *groups)
{
	for (int k = 0; k < KIND_COUNT; k++)
		g_free(groups->by_kind[k]);
}

static void copy_hashes(struct vh_objects *set)
{
	set->priv->hashes = g_malloc0(set->n_keys * VH_KEY_HASH_BYTES + 1);
	for (size_t i = 0; i < set->n_keys; i++)
		memcpy(set->priv->hashes[i], set->keys[i].hash,
		       VH_KEY_HASH_BYTES);
}

bool vh_objects_load(struct vh_objects *set,
		     const struct vh_ini_source *sources, size_t n,
		     struct vh_problems *problems)
{
	size_t errors_before = problems->n_errors;
	struct object_groups groups;
	struct vh_ini ini;
	bool ok;

	memset(set, 0, sizeof(*set));
	set->priv = g_new0(struct vh_objects_priv, 1);
	set->priv->strings = g_string_chunk_new(4096);
	vh_ini_init(&ini);
	for (size_t i = 0; i < n; i++)
		vh_ini_read(&ini, &sources[i], problems);
	groups_init(&groups, &ini, problems);
	objects_resolve_like(&groups, problems);
	objects_read(set, &groups, problems);
	objects_check(set, &groups, problems);
	copy_hashes(set);
	groups_finish(&groups);
	vh_ini_finish(&ini);
	ok = problems->n_errors == errors_before;
	if (!ok)
		vh_objects_finish(set);
	return ok;
}

void vh_objects_finish(struct vh_objects *set)
{
	if (!set->priv)
		return;
	for (size_t i = 0; i < set->n_queues; i++)
		g_free(set->queues[i].teams);
	for (size_t i = 0; i < set->n_services; i++)
		g_free(set->services[i].teams);
	g_free(set->shares);
	g_free(set->limits);
	g_free(set->teams);
	g_free(set->keys);
	g_free(set->queues);
	g_free(set->services);
	g_free(set->priv->hashes);
	g_string_chunk_free(set->priv->strings);
	g_free(set->priv);
	memset(set, 0, sizeof(*set));
}

/* Each array is sorted by name, which is the first member of its elements. */
static int cmp_name(const void *key, const void *elem)
{
	return vh_slice_cmp(*(const struct vh_slice *)key,
			    *(const struct vh_slice *)elem);
}

G_STATIC_ASSERT(offsetof(struct vh_team, name) == 0);
G_STATIC_ASSERT(offsetof(struct vh_queue, name) == 0);
G_STATIC_ASSERT(offsetof(struct vh_service_object, name) == 0);

static void *find_by_name(const void *array, size_t n, size_t size,
			  struct vh_slice name)
{
	return n ? bsearch(&name, array, n, size, cmp_name) : NULL;
}

const struct vh_team *vh_objects_find_team(const struct vh_objects *set,
					   struct vh_slice name)
{
	return find_by_name(set->teams, set->n_teams, sizeof(*set->teams),
			    name);
}

const struct vh_queue *vh_objects_find_queue(const struct vh_objects *set,
					     struct vh_slice name)
{
	return find_by_name(set->queues, set->n_queues, sizeof(*set->queues),
			    name);
}

const struct vh_service_object *
vh_objects_find_service(const struct vh_objects *set, struct vh_slice name)
{
	return find_by_name(set->services, set->n_services,
			    sizeof(*set->services), name);
}

bool vh_key_hash_parse(const char *hex, unsigned char *out)
{
	if (strlen(hex) != 2 * VH_KEY_HASH_BYTES)
		return false;
	for (size_t i = 0; i < VH_KEY_HASH_BYTES; i++) {
		int hi = g_ascii_xdigit_value(hex[2 * i]);
		int lo = g_ascii_xdigit_value(hex[2 * i + 1]);

		if (hi < 0 || lo < 0)
			return false;
		out[i] = (unsigned char)(hi << 4 | lo);
	}
	return true;
}

void vh_key_hash(struct vh_slice key, unsigned char *hash)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = VH_KEY_HASH_BYTES;

	g_checksum_update(sum, (const guchar *)key.data, (gssize)key.len);
	g_checksum_get_digest(sum, hash, &len);
	g_checksum_free(sum);
}

const struct vh_key *vh_objects_authenticate(const struct vh_objects *set,
					     struct vh_slice key)
{
	struct vh_slice presented;
	unsigned char hash[VH_KEY_HASH_BYTES];
	size_t match = set->n_keys;

	if (!key.len)
		return NULL;
	vh_key_hash(key, hash);
	presented = vh_slice((const char *)hash, sizeof(hash));
	for (size_t i = 0; i < set->n_keys; i++) {
		const char *stored = (const char *)set->priv->hashes[i];

		if (vh_slice_eq_consttime(presented,
					  vh_slice(stored, VH_KEY_HASH_BYTES)))
			match = i;
	}
	if (match == set->n_keys || set->keys[match].withdrawn)
		return NULL;
	return &set->keys[match];
}

/* An empty list allows every team. */
static bool teams_allow(const struct vh_team *const *teams, size_t n,
			const struct vh_team *team)
{
	for (size_t i = 0; i < n; i++) {
		if (vh_slice_eq(teams[i]->name, team->name))
			return true;
	}
	return n == 0;
}

bool vh_queue_allows(const struct vh_queue *queue, const struct vh_team *team)
{
	return teams_allow(queue->teams, queue->n_teams, team);
}

bool vh_service_allows(const struct vh_service_object *service,
		       const struct vh_team *team)
{
	return teams_allow(service->teams, service->n_teams, team);
}
