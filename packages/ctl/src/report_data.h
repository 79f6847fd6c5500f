#ifndef REPORT_DATA_H
#define REPORT_DATA_H

#include "ctl.h"
#include "samples.h"

/** struct node_overhead - control cost of a node; NAN where it does not tell */
struct node_overhead {
	char *id;
	double cpu_cores;   /* of one core */
	double memory;	    /* bytes */
	double bytes_per_s; /* a second, sent and received */
	double violations;  /* of the promises */
};

/** struct dim_usage - one dimension over all workers */
struct dim_usage {
	const char *name;
	double capacity;
	double committed;
};

#define REPORT_DIMS 5

/** struct team_share - what a team is due and gets of the cell */
struct team_share {
	char *name;
	double due; /* its weight's part of all weights */
	double got; /* its largest part in any dimension */
};

/** struct refusal - a counter of refusals */
struct refusal {
	char *team;
	char *kind;
	double count;
};

/**
 * struct report - what vhctl report shows
 * @missing: nodes that gave no answer
 * @fill: workers by their fullest dimension, in tenths
 */
struct report {
	char *taken; /* time, UTC */
	uint64_t version;
	GPtrArray *waiting; /* struct dist * */
	struct node_overhead *nodes;
	size_t n_nodes;
	GString *missing;
	struct dim_usage dims[REPORT_DIMS];
	size_t n_workers;
	size_t fill[10];
	struct team_share *teams;
	size_t n_teams;
	struct refusal *refusals;
	size_t n_refusals;
};

/* report_gather - asks all nodes; returns an exit code after a message */
int report_gather(struct ctl *c, struct report *r);
void report_finish(struct report *r);

#endif
