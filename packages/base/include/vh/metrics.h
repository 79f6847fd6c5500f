#ifndef VH_METRICS_H
#define VH_METRICS_H

#include "vh/buf.h"
#include "vh/slice.h"

/* Four buckets a power of two, from 1 to 2^40 units. */
#define VH_HISTOGRAM_BUCKETS 160

/**
 * struct vh_histogram - a distribution in fixed memory
 * @count: values added
 * @sum: their sum
 * @max: the largest
 * @buckets: counts; a quantile read back is at most 19% too high
 *
 * Zeroed memory is an empty histogram. The unit is the user's; by habit
 * microseconds, with names that end in _us.
 */
struct vh_histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[VH_HISTOGRAM_BUCKETS];
};

void vh_histogram_add(struct vh_histogram *h, uint64_t value);

/* vh_histogram_quantile - upper end of the bucket of quantile @q (0 to 1) */
uint64_t vh_histogram_quantile(const struct vh_histogram *h, double q);

void vh_histogram_merge(struct vh_histogram *into,
			const struct vh_histogram *from);

/**
 * struct vh_metrics - counters, gauges and histograms, each with labels
 *
 * Series are made on first use and kept until vh_metrics_finish(). At most
 * @max_series are made; past that, uses go to one series whose label is
 * "overflow", so that callers cannot grow memory without bound.
 */
struct vh_metrics {
	struct vh_metric *head;
	struct vh_metric **index;
	size_t n_index;
	size_t n_series;
	size_t max_series;
};

enum vh_metric_kind {
	VH_METRIC_COUNTER,
	VH_METRIC_GAUGE,
	VH_METRIC_HISTOGRAM
};

void vh_metrics_init(struct vh_metrics *m, size_t max_series);
void vh_metrics_finish(struct vh_metrics *m);

/**
 * vh_metrics_counter - finds or makes a counter
 * @name: for example "vh_refusals_total"; must live as long as @m
 * @labels: rendered labels, for example "team=\"a\",class=\"batch\""; copied
 *
 * The pointer stays valid until vh_metrics_finish(); hot paths keep it.
 */
uint64_t *vh_metrics_counter(struct vh_metrics *m, const char *name,
			     const char *labels);
double *vh_metrics_gauge(struct vh_metrics *m, const char *name,
			 const char *labels);

/* vh_metrics_histogram - unit microseconds; rendered in seconds */
struct vh_histogram *vh_metrics_histogram(struct vh_metrics *m,
					  const char *name, const char *labels);

/* vh_metrics_render - appends all series in the text exposition format */
void vh_metrics_render(const struct vh_metrics *m, struct vh_buf *out);

#endif
