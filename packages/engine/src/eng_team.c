#include "eng_priv.h"

/*
 * Usage, limits and shares of teams.
 *
 * A share keeps one team that submits several times its usual load from taking
 * the cluster from all others. Jobs that a team submits beyond its share are
 * placed after the jobs of the other teams that can still complete before their
 * cutoff. The share is a token bucket.
 */
#define SHARE_BURST_S 2.0 /* capacity of the bucket, in seconds of the share */

void eng_team_free(gpointer p)
{
	struct team *t = p;

	g_free(t->name);
	g_free(t);
}

struct team *eng_team_get(struct engine *e, struct vh_slice name)
{
	char *key = vh_slice_dup(name);
	struct team *t = g_hash_table_lookup(e->teams, key);

	if (t) {
		g_free(key);
		return t;
	}
	t = g_new0(struct team, 1);
	t->name = key;
	g_hash_table_insert(e->teams, t->name, t);
	return t;
}

void eng_set_teams(struct engine *e, const struct eng_team *teams, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct team *t = eng_team_get(e, teams[i].name);

		t->weight = teams[i].weight;
		t->cap = teams[i].cap;
	}
}

bool eng_team_take_token(struct team *t, int64_t now_ms)
{
	double burst = t->weight * SHARE_BURST_S;
	double elapsed_s = (double)(now_ms - t->share_refilled_ms) / 1000;

	if (t->weight <= 0)
		return true;
	if (!t->share_refilled_ms)
		t->share_tokens = burst;
	else
		t->share_tokens =
			MIN(t->share_tokens + t->weight * elapsed_s, burst);
	t->share_refilled_ms = now_ms;
	if (t->share_tokens < 1)
		return false;
	t->share_tokens--;
	return true;
}

static bool within_limit(int64_t used, int64_t need, int64_t n, int64_t cap)
{
	return cap <= 0 || used + need * n <= cap;
}

bool eng_team_quota_allows(const struct step *s, int64_t n)
{
	const struct team *t = s->job->team;
	const struct eng_resources *need = &s->spec->need;

	if (!s->spec->filler &&
	    !within_limit(t->used.cpu_milli, need->cpu_milli, n,
			  t->cap.cpu_milli))
		return false;
	return within_limit(t->used.mem_mb, need->mem_mb, n, t->cap.mem_mb) &&
	       within_limit(t->used.gpu, need->gpu, n, t->cap.gpu);
}
