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
		const struct sample *sample = &s->items[i];
		struct refusal refusal = { 0 };
		size_t at = 0;

		if (strcmp(sample->name, "vh_refusals_total") != 0)
			continue;
		refusal.team = sample_label(sample, "team");
		refusal.kind = sample_label(sample, "kind");
		refusal.count = sample->value;
		while (at < r->n_refusals &&
		       (g_strcmp0(r->refusals[at].team, refusal.team) != 0 ||
			g_strcmp0(r->refusals[at].kind, refusal.kind) != 0))
			at++;
		if (at < r->n_refusals) {
			r->refusals[at].count += refusal.count;
			g_free(refusal.team);
			g_free(refusal.kind);
			continue;
		}
		r->refusals = g_renew(struct refusal, r->refusals, at + 1);
		r->refusals[r->n_refusals++] = refusal;
	}
}

static void add_node_overhead(struct report *r, const char *id,
			      const struct samples *s)
{
	double uptime = samples_sum(s, "vh_uptime_seconds");
	struct node_overhead *overhead;

	r->nodes = g_renew(struct node_overhead, r->nodes, r->n_nodes + 1);
	overhead = &r->nodes[r->n_nodes++];
	overhead->id = g_strdup(id);
	overhead->cpu_cores =
		samples_sum(s, "vh_process_cpu_seconds_total") / uptime;
	overhead->memory_bytes = samples_sum(s, "vh_process_resident_bytes");
	overhead->bytes_per_s =
		samples_sum(s, "vh_control_bytes_total") / uptime;
	overhead->violations = samples_sum(s, "vh_invariant_violated_total");
}

static void add_missing(struct report *r, const char *id)
{
	g_string_append_printf(r->missing_nodes, "%s%s",
			       r->missing_nodes->len ? ", " : "", id);
}

static int gather_metrics(struct ctl *c, struct report *r)
{
	struct ctl_nodes nodes;
	int code = ctl_nodes_discover(c, &nodes);

	for (size_t i = 0; i < nodes.n; i++) {
		const struct ctl_node *node = &nodes.items[i];
		struct ctl_response response = { 0 };
		struct samples s;

		if (ctl_node_is_dead(node))
			continue;
		if (node->endpoint)
			ctl_get(c, node->endpoint, "/metrics", &response);
		if (response.status == 200) {
			samples_parse(&s, vh_buf_slice(&response.body));
			histograms_add(r->waiting, &s, "_waiting_seconds", 1);
			add_node_overhead(r, node->id, &s);
			add_refusals(r, &s);
			samples_finish(&s);
		} else {
			add_missing(r, node->id);
		}
		ctl_response_finish(&response);
	}
	ctl_nodes_finish(&nodes);
	histograms_sort(r->waiting);
	return code;
}

static double member_number(const json_t *object, const char *member,
			    const char *dim)
{
	return json_number_value(
		json_object_get(json_object_get(object, member), dim));
}

static void add_worker(struct report *r, const json_t *worker)
{
	double fullest = 0;

	for (size_t d = 0; d < REPORT_DIMS; d++) {
		double capacity =
			member_number(worker, "capacity", dim_names[d]);
		double committed =
			capacity - member_number(worker, "free", dim_names[d]);

		if (!json_object_get(worker, "free"))
			committed = member_number(worker, "committed",
						  dim_names[d]);
		r->dims[d].capacity += capacity;
		r->dims[d].committed += committed;
		if (capacity > 0)
			fullest = MAX(fullest, committed / capacity);
	}
	r->n_workers++;
	r->fill_deciles[MIN((size_t)(fullest * 10), 9)]++;
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

static void gather_fair_shares(struct ctl *c, struct report *r)
{
	struct ctl_response response;
	struct ctl_object_set set;
	double sum = 0;

	if (fetch_objects(c, &response) == CTL_OK) {
		r->version = response.version;
		ctl_object_set_parse(&set, "version in force",
				     vh_buf_slice(&response.body));
		if (set.ok) {
			r->n_teams = set.objects.n_teams;
			r->teams = g_new0(struct team_share, r->n_teams + 1);
		}
		for (size_t i = 0; i < r->n_teams; i++) {
			const struct vh_team *t = &set.objects.teams[i];

			r->teams[i].name = vh_slice_dup(t->name);
			r->teams[i].fair_share = t->share->weight;
			sum += t->share->weight;
		}
		for (size_t i = 0; i < r->n_teams; i++)
			r->teams[i].fair_share /= sum;
		ctl_object_set_finish(&set);
	}
	ctl_response_finish(&response);
}

/* Sums what the homes of each team have committed. */
static void gather_dominant_shares(struct ctl *c, struct report *r)
{
	double(*committed)[REPORT_DIMS] =
		g_malloc0(sizeof(*committed) * (r->n_teams + 1));
	json_t *json;
	json_t *home;
	size_t i;

	ctl_nodes_gather(c, "/v1/jobs", "homes", &json);
	json_array_foreach(json_object_get(json, "homes"), i, home)
	{
		const char *home_name =
			json_string_value(json_object_get(home, "home"));
		struct team_share *team = NULL;

		if (home_name && g_str_has_prefix(home_name, "home/"))
			team = find_team(r, home_name + 5,
					 strcspn(home_name + 5, "/"));
		for (size_t d = 0; team && d < REPORT_DIMS; d++)
			committed[team - r->teams][d] +=
				member_number(home, "committed", dim_names[d]);
	}
	for (i = 0; i < r->n_teams; i++) {
		for (size_t d = 0; d < REPORT_DIMS; d++) {
			if (r->dims[d].capacity > 0)
				r->teams[i].dominant_share = MAX(
					r->teams[i].dominant_share,
					committed[i][d] / r->dims[d].capacity);
		}
	}
	json_decref(json);
	g_free(committed);
}

int report_gather(struct ctl *c, struct report *r)
{
	GDateTime *now = g_date_time_new_now_utc();
	int code;

	memset(r, 0, sizeof(*r));
	r->created = g_date_time_format(now, "%Y-%m-%d %H:%M:%S UTC");
	g_date_time_unref(now);
	r->waiting = histograms_new();
	r->missing_nodes = g_string_new(NULL);
	for (size_t d = 0; d < REPORT_DIMS; d++)
		r->dims[d].name = dim_names[d];
	code = gather_metrics(c, r);
	if (code != CTL_OK)
		return code;
	gather_workers(c, r);
	gather_fair_shares(c, r);
	gather_dominant_shares(c, r);
	return CTL_OK;
}

void report_finish(struct report *r)
{
	g_free(r->created);
	g_ptr_array_free(r->waiting, TRUE);
	g_string_free(r->missing_nodes, TRUE);
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
