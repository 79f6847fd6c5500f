#include <unistd.h>

#include "nodes.h"
#include "print.h"
#include "report_data.h"
#include "report_html.h"

#define REPORT_PATH_DEFAULT "vanillahollow-report.html"
#define CLEAR_SCREEN "\033[H\033[2J"

/* The report as JSON. */
static json_t *report_json(const struct report *r)
{
	json_t *waiting = json_array();
	json_t *shares = json_array();
	json_t *packing = json_object();

	for (unsigned int i = 0; i < r->waiting->len; i++) {
		const struct histogram *d = r->waiting->pdata[i];

		json_array_append_new(
			waiting,
			json_pack("{s:s,s:s,s:s,s:f,s:f,s:f,s:f}", "histogram",
				  d->name, "team", d->team, "class", d->cls,
				  "count", d->count, "p50_s",
				  histogram_quantile(d, 0.5), "p90_s",
				  histogram_quantile(d, 0.9), "p99_s",
				  histogram_quantile(d, 0.99)));
	}
	for (size_t i = 0; i < r->n_teams; i++)
		json_array_append_new(shares,
				      json_pack("{s:s,s:f,s:f}", "team",
						r->teams[i].name, "due",
						r->teams[i].fair_share, "got",
						r->teams[i].dominant_share));
	for (size_t d = 0; d < REPORT_DIMS; d++)
		json_object_set_new(packing, r->dims[d].name,
				    json_pack("{s:f,s:f}", "capacity",
					      r->dims[d].capacity, "committed",
					      r->dims[d].committed));
	return json_pack("{s:s,s:I,s:s,s:o,s:o,s:o}", "taken", r->created,
			 "version", (json_int_t)r->version, "missing",
			 r->missing_nodes->str, "waiting", waiting, "packing",
			 packing, "shares", shares);
}

static int write_report(struct ctl *c, const struct report *r)
{
	const char *path =
		c->opt.out_path ? c->opt.out_path : REPORT_PATH_DEFAULT;
	GError *err = NULL;
	struct vh_buf html;
	int code = CTL_OK;

	vh_buf_init(&html);
	report_html(r, &html);
	if (g_file_set_contents(path, html.data, (gssize)html.len, &err)) {
		fprintf(c->out, "wrote %s\n", path);
	} else {
		fprintf(c->err, "vhctl: %s\n", err->message);
		g_error_free(err);
		code = CTL_FAILED;
	}
	vh_buf_finish(&html);
	return code;
}

int cmd_report(struct ctl *c, int argc, char **argv)
{
	struct report r;
	int code;

	(void)argc;
	(void)argv;
	code = report_gather(c, &r);
	if (code == CTL_OK && c->json_output) {
		json_t *json = report_json(&r);

		print_json(c, json);
		json_decref(json);
	} else if (code == CTL_OK) {
		code = write_report(c, &r);
	}
	report_finish(&r);
	return code;
}

/* Adds the waiting times of all nodes that respond, or subtracts them if @sign
 * is -1. */
static GPtrArray *add_waiting_times(struct ctl *c, double sign,
				    GPtrArray *histograms)
{
	struct ctl_nodes nodes;

	ctl_nodes_discover(c, &nodes);
	for (size_t i = 0; i < nodes.n; i++) {
		struct ctl_response response = { 0 };
		struct samples s;

		if (nodes.items[i].endpoint &&
		    !ctl_node_is_dead(&nodes.items[i]))
			ctl_get(c, nodes.items[i].endpoint, "/metrics",
				&response);
		if (response.status == 200) {
			samples_parse(&s, vh_buf_slice(&response.body));
			histograms_add(histograms, &s, "_waiting_seconds",
				       sign);
			samples_finish(&s);
		}
		ctl_response_finish(&response);
	}
	ctl_nodes_finish(&nodes);
	return histograms;
}

static json_t *rates_json(GPtrArray *histograms, int interval_s)
{
	json_t *rows = json_array();

	histograms_sort(histograms);
	for (unsigned int i = 0; i < histograms->len; i++) {
		const struct histogram *d = histograms->pdata[i];

		if (d->count <= 0)
			continue;
		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:s,s:f,s:f,s:f}", "histogram",
				  d->name, "team", d->team, "class", d->cls,
				  "per_s", d->count / interval_s, "p50_s",
				  histogram_quantile(d, 0.5), "p99_s",
				  histogram_quantile(d, 0.99)));
	}
	return rows;
}

/* Prints the waiting times of the last interval, and the homes. */
static int print_top(struct ctl *c, GPtrArray *recent)
{
	json_t *rows = rates_json(recent, c->opt.interval_s);
	json_t *view;
	json_t *homes;
	int code = ctl_nodes_gather(c, "/v1/jobs", "homes", &homes);

	view = json_pack("{s:o,s:O}", "waiting", rows, "homes",
			 json_object_get(homes, "homes"));
	if (!c->json_output && isatty(fileno(c->out)))
		fputs(CLEAR_SCREEN, c->out);
	print_value(c, view);
	fflush(c->out);
	json_decref(view);
	json_decref(homes);
	return code;
}

int cmd_top(struct ctl *c, int argc, char **argv)
{
	int code = CTL_OK;

	(void)argc;
	(void)argv;
	for (int i = 0; !c->opt.count || i < c->opt.count; i++) {
		GPtrArray *recent = add_waiting_times(c, -1, histograms_new());

		ctl_sleep(c, 1000 * c->opt.interval_s);
		add_waiting_times(c, 1, recent);
		code = print_top(c, recent);
		g_ptr_array_free(recent, TRUE);
	}
	return code;
}
