#include "report_html.h"

#include <math.h>

/* Waiting times are drawn on a logarithmic scale from 1 ms to 100 s. */
#define WAIT_MIN_S 0.001
#define WAIT_DECADES 5.0
#define CPU_BOUND_CORES 0.022
#define MEMORY_BOUND_BYTES 64e6
#define TRAFFIC_BOUND_BYTES_PER_S 11000.0
#define BYTES_PER_MB 1e6

static const char head[] =
	"<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
	"<meta name=\"viewport\" content=\"width=device-width,"
	"initial-scale=1\">\n<title>vanillahollow report</title>\n<style>\n"
	":root{--ink:#1b2430;--dim:#5b6776;--line:#d8dee6;--bg:#fff;"
	"--a:#1f6fb2;--b:#5fa3d9;--c:#b9d7ef;--bad:#b3261e;--ok:#2e7d4f}\n"
	"@media(prefers-color-scheme:dark){:root{--ink:#e6ebf1;--dim:#9aa7b5;"
	"--line:#33404e;--bg:#12181f;--a:#7ab8ec;--b:#3f7fb5;--c:#23486a;"
	"--bad:#ff8a80;--ok:#7fd1a0}}\n"
	"body{font:15px/1.45 system-ui,sans-serif;color:var(--ink);"
	"background:var(--bg);max-width:62rem;margin:0 auto;padding:1rem}\n"
	"h1{font-size:1.4rem;margin:0}h2{font-size:1.1rem;margin:2rem 0 .3rem}"
	"p{color:var(--dim);margin:.2rem 0 .7rem}\n"
	".row{display:grid;grid-template-columns:13rem 1fr 11rem;gap:.8rem;"
	"align-items:center;padding:.25rem 0;border-top:1px solid "
	"var(--line)}\n"
	".row svg{width:100%;height:1.1rem;display:block}"
	".num{text-align:right;font-variant-numeric:tabular-nums;"
	"white-space:nowrap}\n"
	".key span{margin-right:1rem;white-space:nowrap}"
	".key i{display:inline-block;width:.8rem;height:.8rem;"
	"margin-right:.3rem;vertical-align:-.1rem}\n"
	".bad{color:var(--bad)}\n"
	"@media(max-width:40rem){.row{grid-template-columns:1fr auto;"
	"gap:.1rem .6rem}.row svg{grid-column:1/3;grid-row:2}}\n"
	"</style></head><body>\n";

static void add_escaped(struct vh_buf *out, const char *text)
{
	char *safe = g_markup_escape_text(text, -1);

	vh_buf_add_str(out, safe);
	g_free(safe);
}

static void row_begin(struct vh_buf *out, const char *label)
{
	vh_buf_add_str(out, "<div class=\"row\"><div>");
	add_escaped(out, label);
	vh_buf_add_str(out, "</div><svg viewBox=\"0 0 100 10\" "
			    "preserveAspectRatio=\"none\" role=\"img\" "
			    "aria-label=\"");
	add_escaped(out, label);
	vh_buf_add_str(out, "\"><rect width=\"100\" height=\"10\" "
			    "fill=\"var(--line)\" opacity=\".45\"/>");
}

static void row_bar(struct vh_buf *out, double fraction, const char *colour)
{
	double width = 100 * CLAMP(fraction, 0, 1);

	vh_buf_printf(out,
		      "<rect width=\"%.2f\" height=\"10\" fill=\"var(--%s)\"/>",
		      width, colour);
}

/* Draws a line across the bar, at a bound or a fair share. */
static void row_mark(struct vh_buf *out, double fraction)
{
	vh_buf_printf(out,
		      "<rect x=\"%.2f\" width=\".6\" height=\"10\" "
		      "fill=\"var(--ink)\"/>",
		      99.4 * CLAMP(fraction, 0, 1));
}

static void row_end(struct vh_buf *out, bool bad, const char *value)
{
	vh_buf_printf(out, "</svg><div class=\"num%s\">%s</div></div>\n",
		      bad ? " bad" : "", value);
}

static double wait_fraction(double seconds)
{
	if (seconds <= WAIT_MIN_S)
		return 0.005;
	return log10(seconds / WAIT_MIN_S) / WAIT_DECADES;
}

static void format_time(char *out, size_t size, double s)
{
	if (s < 0.001)
		g_snprintf(out, size, "%.0f &micro;s", s * 1e6);
	else if (s < 0.0995)
		g_snprintf(out, size, "%.1f ms", s * 1000);
	else
		g_snprintf(out, size, "%.2f s", s);
}

static void add_legend(struct vh_buf *out, const char *const (*keys)[2],
		       size_t n)
{
	vh_buf_add_str(out, "<p class=\"key\">");
	for (size_t i = 0; i < n; i++)
		vh_buf_printf(out,
			      "<span><i style=\"background:var(--%s)\"></i>"
			      "%s</span>",
			      keys[i][0], keys[i][1]);
	vh_buf_add_str(out, "</p>\n");
}

static void add_waiting_row(struct vh_buf *out, const struct histogram *d)
{
	double p50 = histogram_quantile(d, 0.5);
	double p90 = histogram_quantile(d, 0.9);
	double p99 = histogram_quantile(d, 0.99);
	char median[24];
	char high[24];
	char *label = g_strdup_printf("%s, %s", d->team, d->cls);
	char *value;

	format_time(median, sizeof(median), p50);
	format_time(high, sizeof(high), p99);
	value = g_strdup_printf("%s / %s &middot; %.0f", median, high,
				d->count);
	row_begin(out, label);
	row_bar(out, wait_fraction(p99), "c");
	row_bar(out, wait_fraction(p90), "b");
	row_bar(out, wait_fraction(p50), "a");
	row_end(out, false, value);
	g_free(value);
	g_free(label);
}

static void add_waiting(const struct report *r, struct vh_buf *out)
{
	static const char *const keys[][2] = { { "a", "median" },
					       { "b", "90%" },
					       { "c", "99%" } };
	const char *name = "";

	vh_buf_add_str(out,
		       "<h2>Waiting time by team and class</h2>\n"
		       "<p>Logarithmic scale, 1 ms to 100 s. At the right: "
		       "median / 99% &middot; count.</p>\n");
	add_legend(out, keys, G_N_ELEMENTS(keys));
	for (unsigned int i = 0; i < r->waiting->len; i++) {
		const struct histogram *d = r->waiting->pdata[i];

		if (strcmp(name, d->name) != 0) {
			name = d->name;
			vh_buf_add_str(out, "<p><code>");
			add_escaped(out, name);
			vh_buf_add_str(out, "</code></p>\n");
		}
		add_waiting_row(out, d);
	}
	if (!r->waiting->len)
		vh_buf_add_str(
			out,
			"<p>No node has recorded a waiting time yet.</p>\n");
}

static void add_fill(const struct report *r, struct vh_buf *out)
{
	size_t max_count = 1;

	for (size_t i = 0; i < 10; i++)
		max_count = MAX(max_count, r->fill_deciles[i]);
	vh_buf_add_str(out, "<p>Number of workers by the use of their fullest "
			    "dimension:</p>\n");
	for (size_t i = 0; i < 10; i++) {
		char label[32];
		char value[32];

		g_snprintf(label, sizeof(label), "%zu to %zu%%", 10 * i,
			   10 * i + 10);
		g_snprintf(value, sizeof(value), "%zu", r->fill_deciles[i]);
		row_begin(out, label);
		row_bar(out, (double)r->fill_deciles[i] / (double)max_count,
			"b");
		row_end(out, false, value);
	}
}

static void add_packing(const struct report *r, struct vh_buf *out)
{
	vh_buf_printf(out,
		      "<h2>Packing</h2>\n<p>Committed resources of "
		      "%zu workers.</p>\n",
		      r->n_workers);
	for (size_t d = 0; d < REPORT_DIMS; d++) {
		const struct dim_usage *use = &r->dims[d];
		char value[64];
		double fraction;

		if (use->capacity <= 0)
			continue;
		fraction = use->committed / use->capacity;
		g_snprintf(value, sizeof(value), "%.0f of %.0f &middot; %.0f%%",
			   use->committed, use->capacity, 100 * fraction);
		row_begin(out, use->name);
		row_bar(out, fraction, "a");
		row_end(out, fraction > 1, value);
	}
	if (r->n_workers)
		add_fill(r, out);
}

static void add_shares(const struct report *r, struct vh_buf *out)
{
	vh_buf_add_str(
		out, "<h2>Share due and got</h2>\n<p>Bar: the team's largest "
		     "committed part of any dimension. Line: the share that is "
		     "due to its weight when the cell is full. At the right: "
		     "got / due.</p>\n");
	for (size_t i = 0; i < r->n_teams; i++) {
		const struct team_share *t = &r->teams[i];
		char value[64];

		g_snprintf(value, sizeof(value), "%.1f%% / %.1f%%",
			   100 * t->dominant_share, 100 * t->fair_share);
		row_begin(out, t->name);
		row_bar(out, t->dominant_share, "a");
		row_mark(out, t->fair_share);
		row_end(out, false, value);
	}
}

/* Draws the use of a resource by a node; the bound is at 2/3 of the bar. */
static void add_overhead_row(struct vh_buf *out, const char *node,
			     const char *resource, double value, double bound,
			     double unit, const char *unit_name)
{
	char *label = g_strdup_printf("%s, %s", node, resource);
	char text[64];

	row_begin(out, label);
	if (isnan(value)) {
		row_end(out, false, "not reported");
	} else {
		g_snprintf(text, sizeof(text), "%.2f of %.2f %s", value / unit,
			   bound / unit, unit_name);
		row_bar(out, value / bound * 2 / 3, "a");
		row_mark(out, 2.0 / 3);
		row_end(out, value > bound, text);
	}
	g_free(label);
}

static void add_overhead(const struct report *r, struct vh_buf *out)
{
	vh_buf_add_str(
		out,
		"<h2>Control plane cost of each node</h2>\n<p>Mean since the "
		"node's start; the line is the bound.</p>\n");
	for (size_t i = 0; i < r->n_nodes; i++) {
		const struct node_overhead *n = &r->nodes[i];

		add_overhead_row(out, n->id, "processor", n->cpu_cores,
				 CPU_BOUND_CORES, 0.01, "% of a core");
		add_overhead_row(out, n->id, "memory", n->memory_bytes,
				 MEMORY_BOUND_BYTES, BYTES_PER_MB, "MB");
		add_overhead_row(out, n->id, "traffic", n->bytes_per_s,
				 TRAFFIC_BOUND_BYTES_PER_S, 1000, "KB/s");
	}
}

static void add_refusals(const struct report *r, struct vh_buf *out)
{
	double max_count = 1;

	if (!r->n_refusals)
		return;
	vh_buf_add_str(out, "<h2>Refusals by team and kind</h2>\n");
	for (size_t i = 0; i < r->n_refusals; i++)
		max_count = MAX(max_count, r->refusals[i].count);
	for (size_t i = 0; i < r->n_refusals; i++) {
		const struct refusal *f = &r->refusals[i];
		char *label = g_strdup_printf("%s, %s", f->team ? f->team : "-",
					      f->kind ? f->kind : "-");
		char value[32];

		g_snprintf(value, sizeof(value), "%.0f", f->count);
		row_begin(out, label);
		row_bar(out, f->count / max_count, "b");
		row_end(out, false, value);
		g_free(label);
	}
}

static void add_header(const struct report *r, struct vh_buf *out)
{
	double violations = 0;

	for (size_t i = 0; i < r->n_nodes; i++) {
		if (!isnan(r->nodes[i].violations))
			violations += r->nodes[i].violations;
	}
	vh_buf_add_str(out, head);
	vh_buf_printf(out,
		      "<h1>vanillahollow</h1>\n<p>Created %s from %zu nodes; "
		      "objects of version %" G_GUINT64_FORMAT ".</p>\n",
		      r->created, r->n_nodes, r->version);
	if (r->missing_nodes->len) {
		vh_buf_add_str(out, "<p class=\"bad\">No response from: ");
		add_escaped(out, r->missing_nodes->str);
		vh_buf_add_str(
			out,
			". Their part of the data is missing below.</p>\n");
	}
	if (violations > 0)
		vh_buf_printf(out,
			      "<p class=\"bad\">%.0f invariant violations "
			      "were counted; see the nodes' "
			      "logs.</p>\n",
			      violations);
}

void report_html(const struct report *r, struct vh_buf *out)
{
	add_header(r, out);
	add_waiting(r, out);
	add_packing(r, out);
	add_shares(r, out);
	add_overhead(r, out);
	add_refusals(r, out);
	vh_buf_add_str(out, "</body></html>\n");
}
