#include <stdlib.h>

#include "objects_priv.h"

/* A share below 1 in SHARE_MIN_PART of all teams' shares rounds to nothing. */
#define SHARE_MIN_PART 100000

struct hash_ref {
	const struct vh_key *key;
	const struct vh_ini_group *group;
};

static int cmp_hash_ref(const void *a, const void *b)
{
	const struct hash_ref *x = a;
	const struct hash_ref *y = b;
	int r = memcmp(x->key->hash, y->key->hash, VH_KEY_HASH_BYTES);

	return r ? r : vh_slice_cmp(x->key->name, y->key->name);
}

static bool hash_is_zero(const struct vh_key *key)
{
	static const unsigned char zero[VH_KEY_HASH_BYTES];

	return !memcmp(key->hash, zero, sizeof(zero));
}

static void check_hashes(const struct vh_objects *set,
			 const struct object_groups *groups,
			 struct vh_problems *problems)
{
	struct hash_ref *refs = g_new0(struct hash_ref, set->n_keys + 1);

	for (size_t i = 0; i < set->n_keys; i++) {
		refs[i].key = &set->keys[i];
		refs[i].group = groups->of[KIND_KEY][i];
	}
	qsort(refs, set->n_keys, sizeof(*refs), cmp_hash_ref);
	for (size_t i = 1; i < set->n_keys; i++) {
		/* a malformed hash was left as zeroes and reported */
		if (hash_is_zero(refs[i].key) ||
		    memcmp(refs[i].key->hash, refs[i - 1].key->hash,
			   VH_KEY_HASH_BYTES) != 0)
			continue;
		vh_ini_problem(problems, refs[i].group, "sha256",
			       "same hash as [key \"%.*s\"]; make a key of its "
			       "own for each",
			       VH_SLICE_ARGS(refs[i - 1].key->name));
	}
	g_free(refs);
}

static void check_shares(const struct vh_objects *set,
			 const struct object_groups *groups,
			 struct vh_problems *problems)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < set->n_teams; i++)
		sum += set->teams[i].share ? set->teams[i].share->weight : 0;
	for (size_t i = 0; i < set->n_teams; i++) {
		const struct vh_share *s = set->teams[i].share;
		uint64_t least = sum / SHARE_MIN_PART;

		if (s && s->weight < least)
			vh_ini_problem(problems, groups->of[KIND_TEAM][i],
				       "share",
				       "share \"%.*s\" cannot hold: weight %u "
				       "of %" G_GUINT64_FORMAT
				       " over all teams is nothing; expected "
				       "a weight of %" G_GUINT64_FORMAT
				       " or more, or smaller other weights",
				       VH_SLICE_ARGS(s->name), s->weight, sum,
				       least);
	}
}

/* Sum of what a team's services need, in every dimension and in tasks. */
static void services_need(const struct vh_objects *set,
			  const struct vh_team *team, uint64_t *need,
			  uint64_t *tasks)
{
	memset(need, 0, sizeof(*need) * VH_DIM_COUNT);
	*tasks = 0;
	for (size_t i = 0; i < set->n_services; i++) {
		const struct vh_service_object *s = &set->services[i];

		if (s->team != team)
			continue;
		*tasks += s->replicas;
		for (int d = 0; d < VH_DIM_COUNT; d++)
			need[d] += (uint64_t)s->size.v[d] * s->replicas;
	}
}

static void check_bound(const struct vh_ini_group *g,
			const struct vh_limit *limit, const char *what,
			uint32_t bound, uint64_t need,
			struct vh_problems *problems)
{
	if (bound == VH_RES_UNLIMITED || need <= bound)
		return;
	vh_ini_problem(problems, g, "limit",
		       "limit \"%.*s\" cannot hold the team's services: they "
		       "need %s = %" G_GUINT64_FORMAT
		       ", the limit is %u; expected a higher limit or fewer "
		       "replicas",
		       VH_SLICE_ARGS(limit->name), what, need, bound);
}

static void check_limits(const struct vh_objects *set,
			 const struct object_groups *groups,
			 struct vh_problems *problems)
{
	static const char *const dims[VH_DIM_COUNT] = {
		"cpu_milli", "memory_mb", "accelerators", "slots", "connections"
	};

	for (size_t i = 0; i < set->n_teams; i++) {
		const struct vh_team *t = &set->teams[i];
		const struct vh_ini_group *g = groups->of[KIND_TEAM][i];
		uint64_t need[VH_DIM_COUNT];
		uint64_t tasks;

		if (!t->limit)
			continue;
		services_need(set, t, need, &tasks);
		check_bound(g, t->limit, "tasks", t->limit->tasks, tasks,
			    problems);
		for (int d = 0; d < VH_DIM_COUNT; d++)
			check_bound(g, t->limit, dims[d],
				    t->limit->running.v[d], need[d], problems);
	}
}

static void warn_unused(const struct vh_objects *set,
			const struct object_groups *groups,
			struct vh_problems *problems)
{
	bool *share_used = g_new0(bool, set->n_shares + 1);
	bool *limit_used = g_new0(bool, set->n_limits + 1);
	bool *team_has_key = g_new0(bool, set->n_teams + 1);

	for (size_t i = 0; i < set->n_teams; i++) {
		const struct vh_team *t = &set->teams[i];

		if (t->share)
			share_used[t->share - set->shares] = true;
		if (t->limit)
			limit_used[t->limit - set->limits] = true;
	}
	for (size_t i = 0; i < set->n_keys; i++) {
		const struct vh_key *k = &set->keys[i];

		if (k->team && !k->withdrawn)
			team_has_key[k->team - set->teams] = true;
	}
	for (size_t i = 0; i < set->n_shares; i++) {
		if (!share_used[i])
			vh_ini_warning(problems, groups->of[KIND_SHARE][i],
				       NULL, "no team uses it");
	}
	for (size_t i = 0; i < set->n_limits; i++) {
		if (!limit_used[i])
			vh_ini_warning(problems, groups->of[KIND_LIMIT][i],
				       NULL, "no team uses it");
	}
	for (size_t i = 0; i < set->n_teams; i++) {
		if (!team_has_key[i])
			vh_ini_warning(problems, groups->of[KIND_TEAM][i], NULL,
				       "no key in force; nobody can send work "
				       "for it");
	}
	g_free(share_used);
	g_free(limit_used);
	g_free(team_has_key);
}

void objects_check(const struct vh_objects *set,
		   const struct object_groups *groups,
		   struct vh_problems *problems)
{
	check_hashes(set, groups, problems);
	check_shares(set, groups, problems);
	check_limits(set, groups, problems);
	warn_unused(set, groups, problems);
}
