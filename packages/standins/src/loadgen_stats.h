#ifndef VH_LOADGEN_STATS_H
#define VH_LOADGEN_STATS_H

/*
 * Collects the counters, waiting times and errors of a load and reports them.
 * Internal to the package: the load generator and vh-standin-load use it.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * enum vh_loadgen_outcome - outcome of an item, as the client sees it
 * @VH_LOADGEN_ANSWERED: ran; the complete answer was received
 * @VH_LOADGEN_FAILED: reported as run and failed
 * @VH_LOADGEN_REFUSED: reported as not run
 * @VH_LOADGEN_UNKNOWN: reported as possibly run, or no response was received
 * @VH_LOADGEN_INCORRECT: the answer is wrong
 * @VH_LOADGEN_TIMED_OUT: accepted, but no final state before the timeout
 */
enum vh_loadgen_outcome {
	VH_LOADGEN_ANSWERED,
	VH_LOADGEN_FAILED,
	VH_LOADGEN_REFUSED,
	VH_LOADGEN_UNKNOWN,
	VH_LOADGEN_INCORRECT,
	VH_LOADGEN_TIMED_OUT,
	VH_LOADGEN_OUTCOME_COUNT
};

const char *vh_loadgen_outcome_name(enum vh_loadgen_outcome outcome);

/**
 * struct vh_loadgen_stats - counters, waiting times and errors of a load
 * @task_starts: starts of tasks of the load that the checker saw
 * @retries: requests that were sent again
 */
struct vh_loadgen_stats {
	uint64_t sent;
	uint64_t outcomes[VH_LOADGEN_OUTCOME_COUNT];
	uint64_t task_starts;
	uint64_t retries;
	GTree *waits;	   /* "TEAM/CLASS" to GArray of int64_t, in ms */
	GTree *refusals;   /* kind of refusal to the number of refusals */
	GPtrArray *errors; /* descriptions, the first ones only */
};

void vh_loadgen_stats_init(struct vh_loadgen_stats *t);
void vh_loadgen_stats_finish(struct vh_loadgen_stats *t);
void vh_loadgen_stats_add_wait(struct vh_loadgen_stats *t, const char *team,
			       const char *cls, int64_t ms);
void vh_loadgen_stats_add_refusal(struct vh_loadgen_stats *t, const char *kind);
void vh_loadgen_stats_add_outcome(struct vh_loadgen_stats *t,
				  enum vh_loadgen_outcome outcome);

/* vh_loadgen_stats_add_error - records a wrong or missing answer */
void vh_loadgen_stats_add_error(struct vh_loadgen_stats *t, const char *fmt,
				...) __attribute__((format(printf, 2, 3)));

/* vh_loadgen_stats_quantile - returns the exact quantile, 0 for an empty array;
 * sorts @samples */
int64_t vh_loadgen_stats_quantile(GArray *samples, double q);

/* vh_loadgen_stats_consistent - returns true if each item that was sent has an
 * outcome and no answer was wrong or missing */
bool vh_loadgen_stats_consistent(const struct vh_loadgen_stats *t);

void vh_loadgen_stats_print(const struct vh_loadgen_stats *t, FILE *out);
json_t *vh_loadgen_stats_json(const struct vh_loadgen_stats *t);

#endif
