#include "report_data.h"

#include <math.h>
#include <stdlib.h>

#include "nodes.h"
#include "publish.h"
#include "object_set.h"

static const char *const dim_names[REPORT_DIMS] = { "cpus", "memory_mb",
						    "accelerators", "slots",
						    "connections" };

static void add_refusals(struct report *r, const struct samples *s)
{
	for (size_t i = 0; i < s->n; i++) {
		const struct sample *one = &s->items[i];
		struct refusal f = { 0 };
		size_t at = 0;

		if (strcmp(one->name, "vh_refusals_total") != 0)
			continue;
		f.team = sample_label(one, "team");
		f.kind = sample_label(one, "kind");
		f.count = one->value;
		while (at < r->n_refusals &&
		       (g_strcmp0(r->refusals[at].team, f.team) != 0 ||
			g_strcmp0(r->refusals[at].kind, f.kind) != 0))
			at++;
		if (at < r->n_refusals) {
			r->refusals[at].count += f.count;
			g_free(f.team);
			g_free(f.kind);
			continue;
		}
		r->refusals = g_renew(struct refusal, r->refusals, at + 1);
		r->refusals[r->n_refusals++] = f;
	}
}

static void add_cost(struct report *r, const char *id, const struct samples *s)
{
	double uptime = samples_sum(s, "vh_uptime_seconds");
	struct node_overhead *cost;

	r->nodes = g_renew(struct node_overhead, r->nodes, r->n_nodes + 1);
	cost = &r->nodes[r->n_nodes++];
	cost->id = g_strdup(id);
	cost->cpu_cores =
		samples_sum(s, "vh_process_cpu_seconds_total") / uptime;
	cost->memory = samples_sum(s, "vh_process_resident_bytes");
	cost->bytes_per_s = samples_sum(s, "vh_control_bytes_total") / uptime;
	cost->violations = samples_sum(s, "vh_invariant_violated_total");
}

static void add_missing(struct report *r, const char *id)
{
	g_string_append_printf(r->missing, "%s%s", r->missing->len ? ", " : "",
			       id);
}

static int gather_metrics(struct ctl *c, struct report *r)
{
	struct ctl_nodes nodes;
	int code = ctl_nodes_discover(c, &nodes);

	for (size_t i = 0; i < nodes.n; i++) {
		const struct ctl_node *node = &nodes.items[i];
		struct ctl_response answer = { 0 };
		struct samples s;

		if (ctl_node_is_dead(node))
			continue;
		if (node->endpoint)
			ctl_get(c, node->endpoint, "/metrics", &answer);
		if (answer.status == 200) {
			samples_parse(&s, vh_buf_slice(&answer.body));
			histograms_add(r->waiting, &s, "_waiting_seconds", 1);
			add_cost(r, node->id, &s);
			add_refusals(r, &s);
			samples_finish(&s);
		} else {
			add_missing(r, node->id);
		}
		ctl_response_finish(&answer);
	}
	ctl_nodes_finish(&nodes);
	histograms_sort(r->waiting);
	return code;
}

static double number(const json_t *object, const char *member, const char *dim)
{
	return json_number_value(
		json_object_get(json_object_get(object, member), dim));
}

static void add_worker(struct report *r, const json_t *worker)
{
	double fullest = 0;

	for (size_t d = 0; d < REPORT_DIMS; d++) {
		double capacity = number(worker, "capacity", dim_names[d]);
		double committed =
			capacity - number(worker, "free", dim_names[d]);

		if (!json_object_get(worker, "free"))
			committed = number(worker, "committed", dim_names[d]);
		r->dims[d].capacity += capacity;
		r->dims[d].committed += committed;
		if (capacity > 0)
			fullest = MAX(fullest, committed / capacity);
	}
	r->n_workers++;
	r->fill[MIN((size_t)(fullest * 10), 9)]++;
}

static void gather_workers(struct ctl *c, struct report *r)
{
	json_t *json;
	json_t *worker;
	size_t i;

	ctl_nodes_gather(c, "/v1/workers", "workers", &json);
	json_array_foreach(json_object_get(json, "workers"), i, worker)
		add_worker(r, worker);
	json_decref(json);
}

static struct team_share *find_team(struct report *r, const char *name,
				    size_t len)
{
	for (size_t i = 0; i < r->n_teams; i++) {
		if (strlen(r->teams[i].name) == len &&
		    !strncmp(r->teams[i].name, name, len))
			return &r->teams[i];
	}
	return NULL;
}

static void gather_due(struct ctl *c, struct report *r)
{
	struct ctl_response answer;
	struct ctl_object_set set;
	double sum = 0;

	if (fetch_objects(c, &answer) == CTL_OK) {
		r->version = answer.version;
		ctl_object_set_parse(&set, "version in force",
				     vh_buf_slice(&answer.body));
		if (set.ok) {
			r->n_teams = set.objects.n_teams;
			r->teams = g_new0(struct team_share, r->n_teams + 1);
		}
		for (size_t i = 0; i < r->n_teams; i++) {
			const struct vh_team *t = &set.objects.teams[i];

			r->teams[i].name = vh_slice_dup(t->name);
			r->teams[i].due = t->share->weight;
			sum += t->share->weight;
		}
		for (size_t i = 0; i < r->n_teams; i++)
			r->teams[i].due /= sum;
		ctl_object_set_finish(&set);
	}
	ctl_response_finish(&answer);
}

/* Adds what the homes have committed; got is the largest part in any
 * dimension. */
static void gather_got(struct ctl *c, struct report *r)
{
	double(*got)[REPORT_DIMS] = g_malloc0(sizeof(*got) * (r->n_teams + 1));
	json_t *json;
	json_t *home;
	size_t i;

	ctl_nodes_gather(c, "/v1/jobs", "homes", &json);
	json_array_foreach(json_object_get(json, "homes"), i, home)
	{
		const char *unit =
			json_string_value(json_object_get(home, "home"));
		struct team_share *team = NULL;

		if (unit && g_str_has_prefix(unit, "home/"))
			team = find_team(r, unit + 5, strcspn(unit + 5, "/"));
		for (size_t d = 0; team && d < REPORT_DIMS; d++)
			got[team - r->teams][d] +=
				number(home, "committed", dim_names[d]);
	}
	for (i = 0; i < r->n_teams; i++) {
		for (size_t d = 0; d < REPORT_DIMS; d++) {
			if (r->dims[d].capacity > 0)
				r->teams[i].got =
					MAX(r->teams[i].got,
					    got[i][d] / r->dims[d].capacity);
		}
	}
	json_decref(json);
	g_free(got);
}

int report_gather(struct ctl *c, struct report *r)
{
	GDateTime *now = g_date_time_new_now_utc();
	int code;

	memset(r, 0, sizeof(*r));
	r->taken = g_date_time_format(now, "%Y-%m-%d %H:%M:%S UTC");
	g_date_time_unref(now);
	r->waiting = histograms_new();
	r->missing = g_string_new(NULL);
	for (size_t d = 0; d < REPORT_DIMS; d++)
		r->dims[d].name = dim_names[d];
	code = gather_metrics(c, r);
	if (code != CTL_OK)
		return code;
	gather_workers(c, r);
	gather_due(c, r);
	gather_got(c, r);
	return CTL_OK;
}

void report_finish(struct report *r)
{
	g_free(r->taken);
	g_ptr_array_free(r->waiting, TRUE);
	g_string_free(r->missing, TRUE);
	for (size_t i = 0; i < r->n_nodes; i++)
		g_free(r->nodes[i].id);
	for (size_t i = 0; i < r->n_teams; i++)
		g_free(r->teams[i].name);
	for (size_t i = 0; i < r->n_refusals; i++) {
		g_free(r->refusals[i].team);
		g_free(r->refusals[i].kind);
	}
	g_free(r->nodes);
	g_free(r->teams);
	g_free(r->refusals);
	memset(r, 0, sizeof(*r));
}
