#ifndef SAMPLES_H
#define SAMPLES_H

/*
 * Parses the metrics of nodes and merges their histograms, for vhctl report and
 * vhctl top. Internal to the package; called by cmd_report.c, report_data.c and
 * report_html.c.
 */

#include <glib.h>

#include "vh/slice.h"

/** struct sample - one line of the Prometheus text exposition format */
struct sample {
	char *name;
	char *labels; /* between the braces */
	double value;
};

/** struct samples - the samples that one node returns on /metrics */
struct samples {
	struct sample *items;
	size_t n;
};

/* samples_parse - parses a text; lines that are not samples are skipped */
void samples_parse(struct samples *s, struct vh_slice text);
void samples_finish(struct samples *s);

/* sample_label - the value of a label or NULL; free with g_free() */
char *sample_label(const struct sample *sample, const char *name);

/* samples_sum - the sum of all samples called @name; NAN if there is none */
double samples_sum(const struct samples *s, const char *name);

/**
 * struct bucket - one bucket of a histogram
 * @le: inclusive upper bound; INFINITY for the last
 * @count: values above the bound of the previous bucket; not cumulative
 */
struct bucket {
	double le;
	double count;
};

/**
 * struct histogram - the times of one team and class, in seconds
 * @buckets: struct bucket, sorted by le
 */
struct histogram {
	char *name;
	char *team;
	char *cls;
	GArray *buckets;
	double count;
};

/* histograms_new - an empty list of struct histogram *; free with
 * g_ptr_array_free() */
GPtrArray *histograms_new(void);

/**
 * histograms_add - adds the histograms of a node to a list
 * @suffix: of the histograms' names, for example "_waiting_seconds"
 * @sign: 1 to add, -1 to subtract an earlier state
 */
void histograms_add(GPtrArray *histograms, const struct samples *s,
		    const char *suffix, double sign);

/* histograms_sort - sorts by name, class and team */
void histograms_sort(GPtrArray *histograms);

/**
 * histogram_quantile - the upper bound of the bucket that holds quantile @q
 *
 * The last bucket has no upper bound: it counts as the non-empty one before it.
 * Returns 0 if there is none.
 */
double histogram_quantile(const struct histogram *d, double q);

#endif
