#include <stdlib.h>

#include "objects_priv.h"

/* Largest ratio of the sum of all teams' weights to the weight of one team; a
 * smaller share rounds to zero. */
#define WEIGHT_SUM_RATIO_MAX 100000

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
		refs[i].group = groups->by_kind[KIND_KEY][i];
	}
	qsort(refs, set->n_keys, sizeof(*refs), cmp_hash_ref);
	for (size_t i = 1; i < set->n_keys; i++) {
		/* a malformed hash was already reported and set to zero */
		if (hash_is_zero(refs[i].key) ||
		    memcmp(refs[i].key->hash, refs[i - 1].key->hash,
			   VH_KEY_HASH_BYTES) != 0)
			continue;
		vh_ini_problem(problems, refs[i].group, "sha256",
			       "same hash as [key \"%.*s\"]; generate a "
			       "separate key for each",
			       VH_SLICE_ARGS(refs[i - 1].key->name));
	}
	g_free(refs);
}

static void check_shares(const struct vh_objects *set,
			 const struct object_groups *groups,
			 struct vh_problems *problems)
{
	uint64_t weight_sum = 0;

	for (size_t i = 0; i < set->n_teams; i++)
		weight_sum +=
			set->teams[i].share ? set->teams[i].share->weight : 0;
	for (size_t i = 0; i < set->n_teams; i++) {
		const struct vh_share *s = set->teams[i].share;
		uint64_t min_weight = weight_sum / WEIGHT_SUM_RATIO_MAX;

		if (s && s->weight < min_weight)
			vh_ini_problem(
				problems, groups->by_kind[KIND_TEAM][i],
				"share",
				"share \"%.*s\" rounds to zero: weight %u "
				"of %" G_GUINT64_FORMAT
				" over all teams; expected a weight of "
				"%" G_GUINT64_FORMAT
				" or more, or smaller other weights",
				VH_SLICE_ARGS(s->name), s->weight, weight_sum,
				min_weight);
	}
}

/* Sums the resources and the tasks of all replicas of a team's services. */
static void sum_service_demand(const struct vh_objects *set,
			       const struct vh_team *team, uint64_t *demand,
			       uint64_t *tasks)
{
	memset(demand, 0, sizeof(*demand) * VH_DIM_COUNT);
	*tasks = 0;
	for (size_t i = 0; i < set->n_services; i++) {
		const struct vh_service_object *s = &set->services[i];

		if (s->team != team)
			continue;
		*tasks += s->replicas;
		for (int d = 0; d < VH_DIM_COUNT; d++)
			demand[d] += (uint64_t)s->size.v[d] * s->replicas;
	}
}

static void check_limit(const struct vh_ini_group *g,
			const struct vh_limit *limit, const char *setting,
			uint32_t max, uint64_t demand,
			struct vh_problems *problems)
{
	if (max == VH_RES_UNLIMITED || demand <= max)
		return;
	vh_ini_problem(
		problems, g, "limit",
		"limit \"%.*s\" is too low for the team's services: they "
		"need %s = %" G_GUINT64_FORMAT
		", the limit is %u; expected a higher limit or fewer "
		"replicas",
		VH_SLICE_ARGS(limit->name), setting, demand, max);
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
		const struct vh_ini_group *g = groups->by_kind[KIND_TEAM][i];
		uint64_t demand[VH_DIM_COUNT];
		uint64_t tasks;

		if (!t->limit)
			continue;
		sum_service_demand(set, t, demand, &tasks);
		check_limit(g, t->limit, "tasks", t->limit->tasks, tasks,
			    problems);
		for (int d = 0; d < VH_DIM_COUNT; d++)
			check_limit(g, t->limit, dims[d],
				    t->limit->running.v[d], demand[d],
				    problems);
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
			vh_ini_warning(problems, groups->by_kind[KIND_SHARE][i],
				       NULL, "not used by any team");
	}
	for (size_t i = 0; i < set->n_limits; i++) {
		if (!limit_used[i])
			vh_ini_warning(problems, groups->by_kind[KIND_LIMIT][i],
				       NULL, "not used by any team");
	}
	for (size_t i = 0; i < set->n_teams; i++) {
		if (!team_has_key[i])
			vh_ini_warning(problems, groups->by_kind[KIND_TEAM][i],
				       NULL,
				       "no active key; callers cannot submit "
				       "work for it");
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
