#include "vh/metrics.h"

#include <glib.h>
#include <inttypes.h>

#define SUB_BITS 2
#define SUB_BUCKETS (1u << SUB_BITS)
#define INDEX_SLOTS 1024
#define US_PER_S 1e6

struct vh_metric {
	struct vh_metric *next;
	struct vh_metric *hash_next;
	enum vh_metric_kind kind;
	const char *name;
	char *labels;
	union {
		uint64_t counter;
		double gauge;
		struct vh_histogram *histogram;
	} u;
};

static unsigned int bucket_index(uint64_t value)
{
	unsigned int log2, index;

	if (value < SUB_BUCKETS)
		return (unsigned int)value;
	log2 = 63 - (unsigned int)__builtin_clzll(value);
	index = (log2 - SUB_BITS + 1) * SUB_BUCKETS +
		(unsigned int)((value >> (log2 - SUB_BITS)) &
			       (SUB_BUCKETS - 1));
	return index < VH_HISTOGRAM_BUCKETS ? index : VH_HISTOGRAM_BUCKETS - 1;
}

static uint64_t bucket_upper_bound(unsigned int index)
{
	unsigned int log2, sub;

	if (index < SUB_BUCKETS)
		return index;
	log2 = index / SUB_BUCKETS + SUB_BITS - 1;
	sub = index % SUB_BUCKETS;
	return ((uint64_t)(SUB_BUCKETS + sub + 1) << (log2 - SUB_BITS)) - 1;
}

void vh_histogram_add(struct vh_histogram *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
	h->buckets[bucket_index(value)]++;
}

uint64_t vh_histogram_quantile(const struct vh_histogram *h, double q)
{
	uint64_t cumulative = 0;
	double rank = q * (double)h->count;

	if (!h->count)
		return 0;
	for (unsigned int i = 0; i < VH_HISTOGRAM_BUCKETS; i++) {
		cumulative += h->buckets[i];
		if (cumulative && (double)cumulative >= rank) {
			uint64_t end = bucket_upper_bound(i);

			return end < h->max ? end : h->max;
		}
	}
	return h->max;
}

void vh_histogram_merge(struct vh_histogram *into,
			const struct vh_histogram *from)
{
	into->count += from->count;
	into->sum += from->sum;
	if (from->max > into->max)
		into->max = from->max;
	for (unsigned int i = 0; i < VH_HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
}

void vh_metrics_init(struct vh_metrics *m, size_t max_series)
{
	memset(m, 0, sizeof(*m));
	m->max_series = max_series;
	m->n_index = INDEX_SLOTS;
	m->index = g_new0(struct vh_metric *, INDEX_SLOTS);
}

void vh_metrics_finish(struct vh_metrics *m)
{
	struct vh_metric *s = m->head;

	while (s) {
		struct vh_metric *next = s->next;

		if (s->kind == VH_METRIC_HISTOGRAM)
			g_free(s->u.histogram);
		g_free(s->labels);
		g_free(s);
		s = next;
	}
	g_free(m->index);
	memset(m, 0, sizeof(*m));
}

static struct vh_metric *series_new(struct vh_metrics *m, const char *name,
				    const char *labels,
				    enum vh_metric_kind kind, size_t slot)
{
	struct vh_metric *s = g_new0(struct vh_metric, 1);

	s->kind = kind;
	s->name = name;
	s->labels = g_strdup(labels);
	if (kind == VH_METRIC_HISTOGRAM)
		s->u.histogram = g_new0(struct vh_histogram, 1);
	s->hash_next = m->index[slot];
	m->index[slot] = s;
	s->next = m->head;
	m->head = s;
	m->n_series++;
	return s;
}

static struct vh_metric *series_get(struct vh_metrics *m, const char *name,
				    const char *labels,
				    enum vh_metric_kind kind)
{
	uint64_t hash;
	size_t slot;
	struct vh_metric *s;

	if (!labels)
		labels = "";
	hash = vh_slice_hash(vh_slice_str(labels),
			     vh_slice_hash(vh_slice_str(name), kind));
	slot = hash % m->n_index;
	for (s = m->index[slot]; s; s = s->hash_next) {
		if (s->kind == kind && !strcmp(s->name, name) &&
		    !strcmp(s->labels, labels))
			return s;
	}
	if (m->n_series >= m->max_series && strcmp(labels, "overflow=\"1\""))
		return series_get(m, name, "overflow=\"1\"", kind);
	return series_new(m, name, labels, kind, slot);
}

uint64_t *vh_metrics_counter(struct vh_metrics *m, const char *name,
			     const char *labels)
{
	return &series_get(m, name, labels, VH_METRIC_COUNTER)->u.counter;
}

double *vh_metrics_gauge(struct vh_metrics *m, const char *name,
			 const char *labels)
{
	return &series_get(m, name, labels, VH_METRIC_GAUGE)->u.gauge;
}

struct vh_histogram *vh_metrics_histogram(struct vh_metrics *m,
					  const char *name, const char *labels)
{
	return series_get(m, name, labels, VH_METRIC_HISTOGRAM)->u.histogram;
}

static int compare_series(const void *a, const void *b)
{
	const struct vh_metric *x = *(struct vh_metric *const *)a;
	const struct vh_metric *y = *(struct vh_metric *const *)b;
	int r = strcmp(x->name, y->name);

	return r ? r : strcmp(x->labels, y->labels);
}

static void render_histogram(const struct vh_metric *s, struct vh_buf *out)
{
	const struct vh_histogram *h = s->u.histogram;
	const char *comma = *s->labels ? "," : "";
	uint64_t cumulative = 0;

	for (unsigned int i = 0; i < VH_HISTOGRAM_BUCKETS; i++) {
		cumulative += h->buckets[i];
		if (!h->buckets[i])
			continue;
		vh_buf_printf(out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n",
			      s->name, s->labels, comma,
			      (double)bucket_upper_bound(i) / US_PER_S,
			      cumulative);
	}
	vh_buf_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", s->name,
		      s->labels, comma, h->count);
	vh_buf_printf(out, "%s_sum{%s} %g\n", s->name, s->labels,
		      (double)h->sum / US_PER_S);
	vh_buf_printf(out, "%s_count{%s} %" PRIu64 "\n", s->name, s->labels,
		      h->count);
}

static void render_series(const struct vh_metric *s, struct vh_buf *out)
{
	switch (s->kind) {
	case VH_METRIC_COUNTER:
		vh_buf_printf(out, "%s{%s} %" PRIu64 "\n", s->name, s->labels,
			      s->u.counter);
		break;
	case VH_METRIC_GAUGE:
		vh_buf_printf(out, "%s{%s} %g\n", s->name, s->labels,
			      s->u.gauge);
		break;
	case VH_METRIC_HISTOGRAM:
		render_histogram(s, out);
		break;
	}
}

void vh_metrics_render(const struct vh_metrics *m, struct vh_buf *out)
{
	static const char *const kinds[] = { "counter", "gauge", "histogram" };
	struct vh_metric **sorted = g_new(struct vh_metric *, m->n_series + 1);
	size_t n = 0;

	for (struct vh_metric *s = m->head; s; s = s->next)
		sorted[n++] = s;
	qsort(sorted, n, sizeof(*sorted), compare_series);
	for (size_t i = 0; i < n; i++) {
		if (!i || strcmp(sorted[i - 1]->name, sorted[i]->name))
			vh_buf_printf(out, "# TYPE %s %s\n", sorted[i]->name,
				      kinds[sorted[i]->kind]);
		render_series(sorted[i], out);
	}
	g_free(sorted);
}
