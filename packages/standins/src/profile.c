#include "profile.h"

#include <string.h>

#include "vh/error.h"

#define MILLI 1000.0

static const char *const load_keys[] = { "rate_per_s", "duration_s", "max_open",
					 NULL };
static const char *const team_keys[] = { "key", "weight", NULL };
static const char *const work_keys[] = {
	"queue",      "service",    "only_for",	    "not_for", "weight",
	"gang",	      "tasks",	    "cpus",	    "run_ms",  "memory_mb",
	"deadline_s", "idempotent", "accelerators", NULL
};

/** struct reader - a group that is read; keeps the first mistake */
struct reader {
	GKeyFile *kf;
	const char *group;
	GError *err;
};

static void fail(struct reader *r, const char *key, const char *what)
{
	if (!r->err)
		g_set_error(&r->err, VH_ERROR, VH_ERR_INVALID_CONFIG,
			    "[%s] %s: %s", r->group, key, what);
}

static char *text(struct reader *r, const char *key)
{
	return g_key_file_get_string(r->kf, r->group, key, NULL);
}

static char **list(struct reader *r, const char *key)
{
	return g_key_file_get_string_list(r->kf, r->group, key, NULL, NULL);
}

/* Parses "MIN-MAX" or one number; each times @scale. */
static struct vh_range range(struct reader *r, const char *key, double scale,
			     uint32_t missing)
{
	struct vh_range out = { missing, missing };
	char *value = text(r, key), *end;
	double min, max;

	if (!value)
		return out;
	min = max = g_ascii_strtod(value, &end);
	if (*end == '-')
		max = g_ascii_strtod(end + 1, &end);
	if (*end || end == value || min < 0 || max < min ||
	    max * scale > UINT32_MAX / 2.0) {
		fail(r, key, "expected MIN-MAX or one number");
	} else {
		out.min = (uint32_t)(min * scale + 0.5);
		out.max = (uint32_t)(max * scale + 0.5);
	}
	g_free(value);
	return out;
}

static uint32_t number(struct reader *r, const char *key, uint32_t missing)
{
	return range(r, key, 1, missing).max;
}

static bool boolean(struct reader *r, const char *key)
{
	char *value = text(r, key);
	bool on = value && !strcmp(value, "true");

	if (value && !on && strcmp(value, "false"))
		fail(r, key, "expected true or false");
	g_free(value);
	return on;
}

static void check_keys(struct reader *r, const char *const *known)
{
	char **keys = g_key_file_get_keys(r->kf, r->group, NULL, NULL);

	for (char **k = keys; k && *k; k++) {
		if (!g_strv_contains(known, *k))
			fail(r, *k, "unknown key");
	}
	g_strfreev(keys);
}

static void read_team(struct vh_profile *p, struct reader *r)
{
	struct vh_profile_team *t;

	check_keys(r, team_keys);
	p->teams = g_renew(struct vh_profile_team, p->teams, p->n_teams + 1);
	t = &p->teams[p->n_teams++];
	t->name = g_strdup(r->group + strlen("team "));
	t->key = text(r, "key");
	t->weight = number(r, "weight", 1);
	if (!t->key)
		fail(r, "key", "missing");
}

static void read_work(struct vh_profile *p, struct reader *r)
{
	struct vh_profile_workload *w;

	check_keys(r, work_keys);
	p->works = g_renew(struct vh_profile_workload, p->works,
			   p->n_workloads + 1);
	w = &p->works[p->n_workloads++];
	w->name = g_strdup(r->group + strlen("work "));
	w->queue = text(r, "queue");
	w->service = text(r, "service");
	w->only_for = list(r, "only_for");
	w->not_for = list(r, "not_for");
	w->weight = number(r, "weight", 1);
	w->idempotent = boolean(r, "idempotent");
	w->gang = boolean(r, "gang");
	w->tasks = range(r, "tasks", 1, 1);
	w->cpu_milli = range(r, "cpus", MILLI, 1000);
	w->memory_mb = range(r, "memory_mb", 1, 256);
	w->accelerators = range(r, "accelerators", 1, 0);
	w->run_ms = range(r, "run_ms", 1, 100);
	w->deadline_s = number(r, "deadline_s", 0);
	if (!w->queue == !w->service)
		fail(r, "queue", "expected either queue or service");
	if (!w->tasks.min)
		fail(r, "tasks", "expected at least 1");
}

static void read_load(struct vh_profile *p, struct reader *r)
{
	check_keys(r, load_keys);
	p->rate_per_s = number(r, "rate_per_s", p->rate_per_s);
	p->duration_s = number(r, "duration_s", p->duration_s);
	p->max_open = number(r, "max_open", p->max_open);
	if (!p->rate_per_s)
		fail(r, "rate_per_s", "expected at least 1");
}

static void read_group(struct vh_profile *p, struct reader *r)
{
	if (!strcmp(r->group, "load"))
		read_load(p, r);
	else if (g_str_has_prefix(r->group, "team "))
		read_team(p, r);
	else if (g_str_has_prefix(r->group, "work "))
		read_work(p, r);
	else
		fail(r, "", "unknown group");
}

static bool sends(const struct vh_profile_team *t,
		  const struct vh_profile_workload *w)
{
	if (w->only_for &&
	    !g_strv_contains((const char *const *)w->only_for, t->name))
		return false;
	return !w->not_for ||
	       !g_strv_contains((const char *const *)w->not_for, t->name);
}

static uint32_t weight_of(const struct vh_profile *p,
			  const struct vh_profile_team *t)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < p->n_workloads; i++)
		sum += sends(t, &p->works[i]) ? p->works[i].weight : 0;
	return sum;
}

/* Every team must have work to send. */
static void check_whole(const struct vh_profile *p, struct reader *r)
{
	r->group = "load";
	if (!p->n_teams || !p->n_workloads)
		fail(r, "", "needs a [team NAME] and a [work NAME]");
	for (size_t i = 0; i < p->n_teams; i++) {
		if (!weight_of(p, &p->teams[i]) || !p->teams[i].weight)
			fail(r, p->teams[i].name, "has no work of any weight");
	}
}

bool vh_profile_load(struct vh_profile *p, const char *path, GError **err)
{
	struct reader r = { .kf = g_key_file_new() };
	char **groups = NULL;

	memset(p, 0, sizeof(*p));
	p->rate_per_s = 20;
	p->duration_s = 10;
	p->max_open = 200;
	if (g_key_file_load_from_file(r.kf, path, G_KEY_FILE_NONE, &r.err))
		groups = g_key_file_get_groups(r.kf, NULL);
	for (char **g = groups; g && *g && !r.err; g++) {
		r.group = *g;
		read_group(p, &r);
	}
	if (!r.err)
		check_whole(p, &r);
	g_strfreev(groups);
	g_key_file_free(r.kf);
	if (!r.err)
		return true;
	g_propagate_prefixed_error(err, r.err, "%s: ", path);
	vh_profile_finish(p);
	return false;
}

void vh_profile_finish(struct vh_profile *p)
{
	for (size_t i = 0; i < p->n_teams; i++) {
		g_free(p->teams[i].name);
		g_free(p->teams[i].key);
	}
	for (size_t i = 0; i < p->n_workloads; i++) {
		g_free(p->works[i].name);
		g_free(p->works[i].queue);
		g_free(p->works[i].service);
		g_strfreev(p->works[i].only_for);
		g_strfreev(p->works[i].not_for);
	}
	g_free(p->teams);
	g_free(p->works);
	memset(p, 0, sizeof(*p));
}

static const struct vh_profile_team *pick_team(const struct vh_profile *p,
					       GRand *rand)
{
	uint32_t sum = 0, at;
	size_t i;

	for (i = 0; i < p->n_teams; i++)
		sum += p->teams[i].weight;
	at = (uint32_t)g_rand_int_range(rand, 0, (int32_t)sum);
	for (i = 0; at >= p->teams[i].weight; i++)
		at -= p->teams[i].weight;
	return &p->teams[i];
}

void vh_profile_sample(const struct vh_profile *p, GRand *rand,
		       const struct vh_profile_team **team,
		       const struct vh_profile_workload **work)
{
	const struct vh_profile_team *t = pick_team(p, rand);
	uint32_t at =
		(uint32_t)g_rand_int_range(rand, 0, (int32_t)weight_of(p, t));
	size_t i = 0;

	while (!sends(t, &p->works[i]) || at >= p->works[i].weight) {
		if (sends(t, &p->works[i]))
			at -= p->works[i].weight;
		i++;
	}
	*team = t;
	*work = &p->works[i];
}

uint32_t vh_range_sample(const struct vh_range *r, GRand *rand)
{
	if (r->min == r->max)
		return r->min;
	return (uint32_t)g_rand_int_range(rand, (int32_t)r->min,
					  (int32_t)r->max + 1);
}
