#ifndef SAMPLES_H
#define SAMPLES_H

#include <glib.h>

#include "vh/slice.h"

/** struct sample - one line of the text exposition format */
struct sample {
	char *name;
	char *labels; /* between the braces */
	double value;
};

/** struct samples - what one node answers on /metrics */
struct samples {
	struct sample *items;
	size_t n;
};

/* samples_parse - reads a text; lines that are none are left out */
void samples_parse(struct samples *s, struct vh_slice text);
void samples_finish(struct samples *s);

/* sample_label - the value of a label or NULL; free with g_free() */
char *sample_label(const struct sample *sample, const char *name);

/* samples_sum - the sum of all samples of that name; NAN if there is none */
double samples_sum(const struct samples *s, const char *name);

/** struct bucket - values up to @le that are above the bucket before */
struct bucket {
	double le; /* INFINITY for the last */
	double count;
};

/**
 * struct dist - a distribution for a team and class, in seconds
 * @buckets: sorted by le
 */
struct dist {
	char *name;
	char *team;
	char *cls;
	GArray *buckets;
	double count;
};

/* histograms_new - an empty list of struct dist *; free with g_ptr_array_free() */
GPtrArray *histograms_new(void);

/**
 * histograms_add - adds the histograms of a node to a list
 * @suffix: of the histograms' names, for example "_waiting_seconds"
 * @sign: 1 to add, -1 to take away an earlier look
 */
void histograms_add(GPtrArray *dists, const struct samples *s,
		    const char *suffix, double sign);

/* histograms_sort - by name, class and team */
void histograms_sort(GPtrArray *dists);

/* histogram_quantile - upper end of the bucket of quantile @q; 0 if empty */
double histogram_quantile(const struct dist *d, double q);

#endif
