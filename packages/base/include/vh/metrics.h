#ifndef VH_METRICS_H
#define VH_METRICS_H

/*
 * Histograms, and a registry of metrics in Prometheus text format. The kernel
 * holds the registry; the packages cell, core and gateway add series to it, and
 * gateway and platform/http_api.c render it.
 */

#include "vh/buf.h"
#include "vh/slice.h"

/* Four buckets per power of two, for values up to 2^40. */
#define VH_HISTOGRAM_BUCKETS 160

/**
 * struct vh_histogram - a histogram of fixed size
 * @count: number of values added
 * @sum: sum of the values
 * @max: largest value
 * @buckets: number of values per bucket; a quantile computed from them is at
 *	     most 25% too high
 *
 * A zeroed struct is an empty histogram. The caller chooses the unit; it is
 * microseconds by convention, in variables whose names end in _us.
 */
struct vh_histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[VH_HISTOGRAM_BUCKETS];
};

void vh_histogram_add(struct vh_histogram *h, uint64_t value);

/* vh_histogram_quantile - upper bound of the bucket that holds quantile @q
 * (0 to 1), capped at the largest value */
uint64_t vh_histogram_quantile(const struct vh_histogram *h, double q);

void vh_histogram_merge(struct vh_histogram *into,
			const struct vh_histogram *from);

/**
 * struct vh_metrics - counters, gauges and histograms, each with labels
 *
 * A series is created on first use and kept until vh_metrics_finish(). Once
 * @max_series exist, new label sets share one series per metric with the label
 * "overflow", so that label values taken from requests cannot use unbounded
 * memory.
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
 * vh_metrics_counter - finds or creates a counter
 * @name: for example "vh_refusals_total"; must live as long as @m
 * @labels: rendered labels, for example "team=\"a\",class=\"batch\""; copied
 *
 * The pointer is valid until vh_metrics_finish(); hot paths should cache it.
 */
uint64_t *vh_metrics_counter(struct vh_metrics *m, const char *name,
			     const char *labels);
double *vh_metrics_gauge(struct vh_metrics *m, const char *name,
			 const char *labels);

/* vh_metrics_histogram - values in microseconds; rendered in seconds */
struct vh_histogram *vh_metrics_histogram(struct vh_metrics *m,
					  const char *name, const char *labels);

/* vh_metrics_render - appends all series in Prometheus text format */
void vh_metrics_render(const struct vh_metrics *m, struct vh_buf *out);

#endif
