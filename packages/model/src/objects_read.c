#include <stdlib.h>

#include "objects_priv.h"

#define WEIGHT_MAX 1000000
#define HOMES_MAX 64
#define PREEMPT_PER_MIN_MAX 100000
#define PREEMPT_PER_MIN_DEFAULT 60
#define PRIORITY_MAX 1000
#define PRIORITY_DEFAULT 100
#define MAX_WAITING_MAX 1000000
#define MAX_WAITING_DEFAULT 10000
#define REPLICAS_MAX 100000
#define TIMEOUT_MIN_MS 1
#define TIMEOUT_MAX_MS 3600000
#define TIMEOUT_DEFAULT_MS 30000
#define LEASE_MIN_MS 1000
#define LEASE_MAX_MS 600000
#define LEASE_DEFAULT_MS 10000
#define START_VOID_MIN_MS 200
#define START_VOID_MAX_MS 60000
#define START_VOID_DEFAULT_MS 3000
#define DEDUPE_MIN_S 60
#define DEDUPE_MAX_S 604800
#define DEDUPE_DEFAULT_S 86400
#define DIM_AMOUNT_MAX (UINT32_MAX - 1) /* UINT32_MAX: VH_RES_UNLIMITED */
#define REQUESTS_MAX 10000000

#define DIM_KEYS \
	"cpu_milli", "memory_mb", "accelerators", "slots", "connections"

static const char *const dim_keys[VH_DIM_COUNT] = { DIM_KEYS };

static const char *const fleet_keys[] = { "lease_ms", "start_void_ms",
					  "dedupe_window_s", "urgent_preempts",
					  NULL };
static const char *const share_keys[] = { "like", "weight", NULL };
static const char *const limit_keys[] = {
	"like", DIM_KEYS, "tasks", "requests_per_s", "concurrent_requests", NULL
};
static const char *const team_keys[] = { "like",  "share",	     "limit",
					 "homes", "preempt_per_min", NULL };
static const char *const key_keys[] = { "team", "sha256", "withdrawn", NULL };
static const char *const queue_keys[] = { "like",     "teams",	     "class",
					  "priority", "max_waiting", NULL };
static const char *const service_keys[] = {
	"like",	      "team",	    "teams", "replicas", DIM_KEYS,
	"idempotent", "timeout_ms", "class", NULL
};

static const char *const *const kind_keys[KIND_COUNT] = {
	[KIND_FLEET] = fleet_keys,     [KIND_SHARE] = share_keys,
	[KIND_LIMIT] = limit_keys,     [KIND_TEAM] = team_keys,
	[KIND_KEY] = key_keys,	       [KIND_QUEUE] = queue_keys,
	[KIND_SERVICE] = service_keys,
};

const char *const *object_kind_keys(enum object_kind kind)
{
	return kind_keys[kind];
}

static struct vh_slice intern(struct vh_objects *set, const char *text)
{
	return vh_slice_str(
		g_string_chunk_insert_const(set->priv->strings, text));
}

static int cmp_group_name(const void *key, const void *elem)
{
	const struct vh_ini_group *const *g = elem;

	return strcmp(key, (*g)->name);
}

/* Returns the index of the object @name among those of @kind, or -1. */
static ptrdiff_t group_index(const struct object_groups *groups,
			     enum object_kind kind, const char *name)
{
	struct vh_ini_group **found = NULL;

	if (groups->n[kind])
		found = bsearch(name, groups->by_kind[kind], groups->n[kind],
				sizeof(*groups->by_kind[kind]), cmp_group_name);
	return found ? found - groups->by_kind[kind] : -1;
}

/* Like group_index(), but adds a problem at @key if there is no such object. */
static ptrdiff_t resolve_ref(const struct vh_ini_group *g, const char *key,
			     const char *name, enum object_kind kind,
			     const struct object_groups *groups,
			     struct vh_problems *problems)
{
	ptrdiff_t idx = group_index(groups, kind, name);

	if (idx < 0)
		vh_ini_problem(problems, g, key,
			       "there is no [%s \"%s\"]; add it or name an "
			       "existing %s",
			       object_kind_name(kind), name,
			       object_kind_name(kind));
	return idx;
}

/* Returns the index of the object that @key names, or -1. Adds a problem if
 * there is no such object, or if @key is missing and @required. */
static ptrdiff_t read_ref(const struct vh_ini_group *g, const char *key,
			  enum object_kind kind, bool required,
			  const struct object_groups *groups,
			  struct vh_problems *problems)
{
	char *name = vh_ini_value(g, key);
	ptrdiff_t idx = -1;

	if (name)
		idx = resolve_ref(g, key, name, kind, groups, problems);
	else if (required)
		vh_ini_problem(problems, g, key,
			       "missing; expected the name of a %s",
			       object_kind_name(kind));
	g_free(name);
	return idx;
}

static int cmp_team_ptr(const void *a, const void *b)
{
	const struct vh_team *const *x = a;
	const struct vh_team *const *y = b;

	return vh_slice_cmp((*x)->name, (*y)->name);
}

static const struct vh_team **read_teams(const struct vh_objects *set,
					 const struct vh_ini_group *g,
					 const struct object_groups *groups,
					 size_t *n_out,
					 struct vh_problems *problems)
{
	char **names = vh_ini_list(g, "teams");
	const struct vh_team **teams;
	size_t n = 0;

	*n_out = 0;
	if (!names)
		return NULL;
	teams = g_new0(const struct vh_team *, g_strv_length(names) + 1);
	for (size_t i = 0; names[i]; i++) {
		ptrdiff_t idx = resolve_ref(g, "teams", names[i], KIND_TEAM,
					    groups, problems);

		if (idx >= 0 &&
		    g_strv_contains((const char *const *)names + i + 1,
				    names[i]))
			vh_ini_problem(problems, g, "teams",
				       "\"%s\" is listed twice; remove one",
				       names[i]);
		if (idx >= 0)
			teams[n++] = &set->teams[idx];
	}
	if (!names[0])
		vh_ini_problem(problems, g, "teams",
			       "empty list; name teams separated by ; or "
			       "leave the key out to allow all teams");
	qsort(teams, n, sizeof(*teams), cmp_team_ptr);
	g_strfreev(names);
	*n_out = n;
	return teams;
}

static void read_class(const struct vh_ini_group *g, enum vh_class *out,
		       struct vh_problems *problems)
{
	char *text = vh_ini_value(g, "class");
	enum vh_class c;

	if (!text)
		return;
	c = vh_class_from_name(vh_slice_str(text));
	if (c == VH_CLASS_COUNT)
		vh_ini_problem(problems, g, "class",
			       "\"%s\" is not a class; expected urgent, "
			       "service or batch",
			       text);
	else
		*out = c;
	g_free(text);
}

/* Reads an amount or "unlimited", the default. */
static void read_amount_or_unlimited(const struct vh_ini_group *g,
				     const char *key, uint32_t *out,
				     struct vh_problems *problems)
{
	char *text = vh_ini_value(g, key);

	*out = VH_RES_UNLIMITED;
	if (text && strcmp(text, "unlimited") != 0)
		vh_ini_u32(g, key, 0, DIM_AMOUNT_MAX, out, problems);
	g_free(text);
}

static void read_fleet(struct vh_objects *set,
		       const struct object_groups *groups,
		       struct vh_problems *problems)
{
	struct vh_fleet_policy *f = &set->fleet;
	const struct vh_ini_group *g;

	f->lease_ms = LEASE_DEFAULT_MS;
	f->start_void_ms = START_VOID_DEFAULT_MS;
	f->dedupe_window_s = DEDUPE_DEFAULT_S;
	f->urgent_preempts = true;
	if (!groups->n[KIND_FLEET])
		return;
	g = groups->by_kind[KIND_FLEET][0];
	vh_ini_u32(g, "lease_ms", LEASE_MIN_MS, LEASE_MAX_MS, &f->lease_ms,
		   problems);
	vh_ini_u32(g, "start_void_ms", START_VOID_MIN_MS, START_VOID_MAX_MS,
		   &f->start_void_ms, problems);
	vh_ini_u32(g, "dedupe_window_s", DEDUPE_MIN_S, DEDUPE_MAX_S,
		   &f->dedupe_window_s, problems);
	vh_ini_bool(g, "urgent_preempts", &f->urgent_preempts, problems);
	if (f->start_void_ms >= f->lease_ms)
		vh_ini_problem(problems, g, "start_void_ms",
			       "%u is not less than lease_ms, %u; a start must "
			       "become void before the lease expires",
			       f->start_void_ms, f->lease_ms);
}

static void read_share(struct vh_objects *set, const struct vh_ini_group *g,
		       struct vh_share *s, struct vh_problems *problems)
{
	char *weight = vh_ini_value(g, "weight");

	s->name = intern(set, g->name);
	s->weight = 1;
	if (!weight)
		vh_ini_problem(problems, g, "weight",
			       "missing; expected a whole number from 1 to %u",
			       WEIGHT_MAX);
	vh_ini_u32(g, "weight", 1, WEIGHT_MAX, &s->weight, problems);
	g_free(weight);
}

static void read_limit(struct vh_objects *set, const struct vh_ini_group *g,
		       struct vh_limit *l, struct vh_problems *problems)
{
	l->name = intern(set, g->name);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		read_amount_or_unlimited(g, dim_keys[d], &l->running.v[d],
					 problems);
	read_amount_or_unlimited(g, "tasks", &l->tasks, problems);
	vh_ini_u32(g, "requests_per_s", 0, REQUESTS_MAX, &l->requests_per_s,
		   problems);
	vh_ini_u32(g, "concurrent_requests", 0, REQUESTS_MAX,
		   &l->concurrent_requests, problems);
}

static void read_team(struct vh_objects *set, const struct vh_ini_group *g,
		      const struct object_groups *groups, struct vh_team *t,
		      struct vh_problems *problems)
{
	ptrdiff_t share =
		read_ref(g, "share", KIND_SHARE, true, groups, problems);
	ptrdiff_t limit =
		read_ref(g, "limit", KIND_LIMIT, false, groups, problems);

	t->name = intern(set, g->name);
	t->share = share < 0 ? NULL : &set->shares[share];
	t->limit = limit < 0 ? NULL : &set->limits[limit];
	t->homes = 1;
	t->preempt_per_min = PREEMPT_PER_MIN_DEFAULT;
	vh_ini_u32(g, "homes", 1, HOMES_MAX, &t->homes, problems);
	vh_ini_u32(g, "preempt_per_min", 0, PREEMPT_PER_MIN_MAX,
		   &t->preempt_per_min, problems);
}

static void read_key(struct vh_objects *set, const struct vh_ini_group *g,
		     const struct object_groups *groups, struct vh_key *k,
		     struct vh_problems *problems)
{
	ptrdiff_t team = read_ref(g, "team", KIND_TEAM, true, groups, problems);
	char *hex = vh_ini_value(g, "sha256");

	k->name = intern(set, g->name);
	k->team = team < 0 ? NULL : &set->teams[team];
	if (!hex || !vh_key_hash_parse(hex, k->hash)) {
		vh_ini_problem(problems, g, "sha256",
			       "%s; expected %d hexadecimal digits, the "
			       "SHA-256 of the key's text",
			       hex ? "malformed" : "missing",
			       2 * VH_KEY_HASH_BYTES);
		memset(k->hash, 0, sizeof(k->hash));
	}
	vh_ini_bool(g, "withdrawn", &k->withdrawn, problems);
	g_free(hex);
}

static void read_queue(struct vh_objects *set, const struct vh_ini_group *g,
		       const struct object_groups *groups, struct vh_queue *q,
		       struct vh_problems *problems)
{
	q->name = intern(set, g->name);
	q->teams = read_teams(set, g, groups, &q->n_teams, problems);
	q->cls = VH_CLASS_BATCH;
	q->priority = PRIORITY_DEFAULT;
	q->max_waiting = MAX_WAITING_DEFAULT;
	read_class(g, &q->cls, problems);
	vh_ini_u32(g, "priority", 0, PRIORITY_MAX, &q->priority, problems);
	vh_ini_u32(g, "max_waiting", 1, MAX_WAITING_MAX, &q->max_waiting,
		   problems);
}

static void read_service(struct vh_objects *set, const struct vh_ini_group *g,
			 const struct object_groups *groups,
			 struct vh_service_object *s,
			 struct vh_problems *problems)
{
	ptrdiff_t team = read_ref(g, "team", KIND_TEAM, true, groups, problems);

	s->name = intern(set, g->name);
	s->team = team < 0 ? NULL : &set->teams[team];
	s->teams = read_teams(set, g, groups, &s->n_teams, problems);
	s->replicas = 1;
	/* 1 CPU, 1 GiB, no accelerator, 1 request slot, 8 connections */
	s->size = (struct vh_res){ { 1000, 1024, 0, 1, 8 } };
	s->idempotent = false;
	s->timeout_ms = TIMEOUT_DEFAULT_MS;
	s->cls = VH_CLASS_SERVICE;
	vh_ini_u32(g, "replicas", 0, REPLICAS_MAX, &s->replicas, problems);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		vh_ini_u32(g, dim_keys[d], 0, DIM_AMOUNT_MAX, &s->size.v[d],
			   problems);
	vh_ini_bool(g, "idempotent", &s->idempotent, problems);
	vh_ini_u32(g, "timeout_ms", TIMEOUT_MIN_MS, TIMEOUT_MAX_MS,
		   &s->timeout_ms, problems);
	read_class(g, &s->cls, problems);
}

static void arrays_init(struct vh_objects *set,
			const struct object_groups *groups)
{
	set->n_shares = groups->n[KIND_SHARE];
	set->n_limits = groups->n[KIND_LIMIT];
	set->n_teams = groups->n[KIND_TEAM];
	set->n_keys = groups->n[KIND_KEY];
	set->n_queues = groups->n[KIND_QUEUE];
	set->n_services = groups->n[KIND_SERVICE];
	set->shares = g_new0(struct vh_share, set->n_shares);
	set->limits = g_new0(struct vh_limit, set->n_limits);
	set->teams = g_new0(struct vh_team, set->n_teams);
	set->keys = g_new0(struct vh_key, set->n_keys);
	set->queues = g_new0(struct vh_queue, set->n_queues);
	set->services = g_new0(struct vh_service_object, set->n_services);
}

void objects_read(struct vh_objects *set, const struct object_groups *groups,
		  struct vh_problems *problems)
{
	arrays_init(set, groups);
	read_fleet(set, groups, problems);
	for (size_t i = 0; i < set->n_shares; i++)
		read_share(set, groups->by_kind[KIND_SHARE][i], &set->shares[i],
			   problems);
	for (size_t i = 0; i < set->n_limits; i++)
		read_limit(set, groups->by_kind[KIND_LIMIT][i], &set->limits[i],
			   problems);
	for (size_t i = 0; i < set->n_teams; i++)
		read_team(set, groups->by_kind[KIND_TEAM][i], groups,
			  &set->teams[i], problems);
	for (size_t i = 0; i < set->n_keys; i++)
		read_key(set, groups->by_kind[KIND_KEY][i], groups,
			 &set->keys[i], problems);
	for (size_t i = 0; i < set->n_queues; i++)
		read_queue(set, groups->by_kind[KIND_QUEUE][i], groups,
			   &set->queues[i], problems);
	for (size_t i = 0; i < set->n_services; i++)
		read_service(set, groups->by_kind[KIND_SERVICE][i], groups,
			     &set->services[i], problems);
}

/* Whether the chain of like references from @g ends within @n steps, the number
 * of groups of its kind; a longer one is a cycle. */
static bool like_chain_ends(const struct vh_ini_group *g, size_t n)
{
	for (size_t i = 0; i <= n; i++) {
		if (!g)
			return true;
		g = g->like;
	}
	return false;
}

static void break_cycles(struct vh_ini_group **kind_groups, size_t n,
			 struct vh_problems *problems)
{
	for (size_t i = 0; i < n; i++) {
		if (like_chain_ends(kind_groups[i], n))
			continue;
		vh_ini_problem(problems, kind_groups[i], "like",
			       "circular reference through \"%s\"; state the "
			       "keys of one object of the cycle explicitly",
			       kind_groups[i]->like->name);
		kind_groups[i]->like = NULL;
	}
}

void objects_resolve_like(const struct object_groups *groups,
			  struct vh_problems *problems)
{
	for (int k = KIND_SHARE; k < KIND_COUNT; k++) {
		struct vh_ini_group **kind_groups = groups->by_kind[k];

		if (k == KIND_KEY)
			continue;
		for (size_t i = 0; i < groups->n[k]; i++) {
			ptrdiff_t idx = read_ref(kind_groups[i], "like",
						 (enum object_kind)k, false,
						 groups, problems);

			/* set after reading the key, which would otherwise
			 * be inherited as well */
			if (idx >= 0)
				kind_groups[i]->like = kind_groups[idx];
		}
		break_cycles(kind_groups, groups->n[k], problems);
	}
}
