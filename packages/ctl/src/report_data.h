#ifndef REPORT_DATA_H
#define REPORT_DATA_H

/*
 * Collects the data for vhctl report from all nodes. Internal to the package;
 * called by cmd_report.c, and report_html.c formats the data.
 */

#include "ctl.h"
#include "samples.h"

/** struct node_overhead - resources that a node itself uses; NAN where a
 * metric is missing */
struct node_overhead {
	char *id;
	double cpu_cores; /* mean since its start */
	double memory_bytes;
	double bytes_per_s; /* sent and received, mean since its start */
	double violations;  /* of the invariants */
};

/** struct dim_usage - a resource dimension, summed over all workers */
struct dim_usage {
	const char *name;
	double capacity;
	double committed;
};

#define REPORT_DIMS 5

/** struct team_share - a team's share of the cell */
struct team_share {
	char *name;
	double fair_share;     /* its weight / sum of all weights */
	double dominant_share; /* largest committed share in a dimension */
};

/** struct refusal - number of refusals of a team and kind */
struct refusal {
	char *team;
	char *kind;
	double count;
};

/**
 * struct report - the data that vhctl report shows
 * @missing_nodes: nodes that did not respond, separated by commas
 * @fill_deciles: number of workers by the use of their fullest dimension, in
 *		  steps of 10%
 */
struct report {
	char *created; /* time in UTC */
	uint64_t version;
	GPtrArray *waiting; /* struct histogram * */
	struct node_overhead *nodes;
	size_t n_nodes;
	GString *missing_nodes;
	struct dim_usage dims[REPORT_DIMS];
	size_t n_workers;
	size_t fill_deciles[10];
	struct team_share *teams;
	size_t n_teams;
	struct refusal *refusals;
	size_t n_refusals;
};

/* report_gather - collects the data from all nodes; returns CTL_OK, or another
 * exit code after printing an error */
int report_gather(struct ctl *c, struct report *r);
void report_finish(struct report *r);

#endif
