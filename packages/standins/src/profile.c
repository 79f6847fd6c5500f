#include "profile.h"

#include <string.h>

#include "vh/error.h"

#define MILLI_PER_UNIT 1000.0

static const char *const load_keys[] = { "rate_per_s", "duration_s", "max_open",
					 NULL };
static const char *const team_keys[] = { "key", "weight", NULL };
static const char *const workload_keys[] = {
	"queue",      "service",    "only_for",	    "not_for", "weight",
	"gang",	      "tasks",	    "cpus",	    "run_ms",  "memory_mb",
	"deadline_s", "idempotent", "accelerators", NULL
};

/** struct group_reader - reads a group of the file; keeps the first error */
struct group_reader {
	GKeyFile *kf;
	const char *group;
	GError *err;
};

static void set_error(struct group_reader *r, const char *key, const char *what)
{
	if (!r->err)
		g_set_error(&r->err, VH_ERROR, VH_ERR_INVALID_CONFIG,
			    "[%s] %s: %s", r->group, key, what);
}

static char *read_string(struct group_reader *r, const char *key)
{
	return g_key_file_get_string(r->kf, r->group, key, NULL);
}

static char **read_list(struct group_reader *r, const char *key)
{
	return g_key_file_get_string_list(r->kf, r->group, key, NULL, NULL);
}

/* Parses "MIN-MAX" or one number and multiplies by @scale. */
static struct vh_range read_range(struct group_reader *r, const char *key,
				  double scale, uint32_t default_value)
{
	struct vh_range out = { default_value, default_value };
	char *value = read_string(r, key), *end;
	double min, max;

	if (!value)
		return out;
	min = max = g_ascii_strtod(value, &end);
	if (*end == '-')
		max = g_ascii_strtod(end + 1, &end);
	if (*end || end == value || min < 0 || max < min ||
	    max * scale > UINT32_MAX / 2.0) {
		set_error(r, key, "expected MIN-MAX or one number");
	} else {
		out.min = (uint32_t)(min * scale + 0.5);
		out.max = (uint32_t)(max * scale + 0.5);
	}
	g_free(value);
	return out;
}

static uint32_t read_number(struct group_reader *r, const char *key,
			    uint32_t default_value)
{
	return read_range(r, key, 1, default_value).max;
}

static bool read_bool(struct group_reader *r, const char *key)
{
	char *value = read_string(r, key);
	bool on = value && !strcmp(value, "true");

	if (value && !on && strcmp(value, "false"))
		set_error(r, key, "expected true or false");
	g_free(value);
	return on;
}

static void check_keys(struct group_reader *r, const char *const *known)
{
	char **keys = g_key_file_get_keys(r->kf, r->group, NULL, NULL);

	for (char **k = keys; k && *k; k++) {
		if (!g_strv_contains(known, *k))
			set_error(r, *k, "unknown key");
	}
	g_strfreev(keys);
}

static void read_team(struct vh_profile *p, struct group_reader *r)
{
	struct vh_profile_team *t;

	check_keys(r, team_keys);
	p->teams = g_renew(struct vh_profile_team, p->teams, p->n_teams + 1);
	t = &p->teams[p->n_teams++];
	t->name = g_strdup(r->group + strlen("team "));
	t->key = read_string(r, "key");
	t->weight = read_number(r, "weight", 1);
	if (!t->key)
		set_error(r, "key", "missing");
}

static void read_workload(struct vh_profile *p, struct group_reader *r)
{
	struct vh_profile_workload *w;

	check_keys(r, workload_keys);
	p->workloads = g_renew(struct vh_profile_workload, p->workloads,
			       p->n_workloads + 1);
	w = &p->workloads[p->n_workloads++];
	w->name = g_strdup(r->group + strlen("work "));
	w->queue = read_string(r, "queue");
	w->service = read_string(r, "service");
	w->only_for = read_list(r, "only_for");
	w->not_for = read_list(r, "not_for");
	w->weight = read_number(r, "weight", 1);
	w->idempotent = read_bool(r, "idempotent");
	w->gang = read_bool(r, "gang");
	w->tasks = read_range(r, "tasks", 1, 1);
	w->cpu_milli = read_range(r, "cpus", MILLI_PER_UNIT, 1000);
	w->memory_mb = read_range(r, "memory_mb", 1, 256);
	w->accelerators = read_range(r, "accelerators", 1, 0);
	w->run_ms = read_range(r, "run_ms", 1, 100);
	w->deadline_s = read_number(r, "deadline_s", 0);
	if (!w->queue == !w->service)
		set_error(r, "queue", "expected either queue or service");
	if (!w->tasks.min)
		set_error(r, "tasks", "expected at least 1");
}

static void read_load(struct vh_profile *p, struct group_reader *r)
{
	check_keys(r, load_keys);
	p->rate_per_s = read_number(r, "rate_per_s", p->rate_per_s);
	p->duration_s = read_number(r, "duration_s", p->duration_s);
	p->max_open = read_number(r, "max_open", p->max_open);
	if (!p->rate_per_s)
		set_error(r, "rate_per_s", "expected at least 1");
}

static void read_group(struct vh_profile *p, struct group_reader *r)
{
	if (!strcmp(r->group, "load"))
		read_load(p, r);
	else if (g_str_has_prefix(r->group, "team "))
		read_team(p, r);
	else if (g_str_has_prefix(r->group, "work "))
		read_workload(p, r);
	else
		set_error(r, "", "unknown group");
}

static bool team_sends(const struct vh_profile_team *t,
		       const struct vh_profile_workload *w)
{
	if (w->only_for &&
	    !g_strv_contains((const char *const *)w->only_for, t->name))
		return false;
	return !w->not_for ||
	       !g_strv_contains((const char *const *)w->not_for, t->name);
}

static uint32_t sendable_weight(const struct vh_profile *p,
				const struct vh_profile_team *t)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < p->n_workloads; i++)
		sum += team_sends(t, &p->workloads[i]) ? p->workloads[i].weight
						       : 0;
	return sum;
}

/* Checks that each team has a workload to send. */
static void check_profile(const struct vh_profile *p, struct group_reader *r)
{
	r->group = "load";
	if (!p->n_teams || !p->n_workloads)
		set_error(r, "", "needs a [team NAME] and a [work NAME]");
	for (size_t i = 0; i < p->n_teams; i++) {
		if (!sendable_weight(p, &p->teams[i]) || !p->teams[i].weight)
			set_error(r, p->teams[i].name,
				  "has no workload with a weight above 0");
	}
}

bool vh_profile_load(struct vh_profile *p, const char *path, GError **err)
{
	struct group_reader r = { .kf = g_key_file_new() };
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
		check_profile(p, &r);
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
		g_free(p->workloads[i].name);
		g_free(p->workloads[i].queue);
		g_free(p->workloads[i].service);
		g_strfreev(p->workloads[i].only_for);
		g_strfreev(p->workloads[i].not_for);
	}
	g_free(p->teams);
	g_free(p->workloads);
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
	uint32_t at = (uint32_t)g_rand_int_range(
		rand, 0, (int32_t)sendable_weight(p, t));
	size_t i = 0;

	while (!team_sends(t, &p->workloads[i]) ||
	       at >= p->workloads[i].weight) {
		if (team_sends(t, &p->workloads[i]))
			at -= p->workloads[i].weight;
		i++;
	}
	*team = t;
	*work = &p->workloads[i];
}

uint32_t vh_range_sample(const struct vh_range *r, GRand *rand)
{
	if (r->min == r->max)
		return r->min;
	return (uint32_t)g_rand_int_range(rand, (int32_t)r->min,
					  (int32_t)r->max + 1);
}
