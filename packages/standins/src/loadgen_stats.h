#ifndef VH_TALLY_H
#define VH_TALLY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * enum vh_loadgen_outcome - what became of a piece of work that was sent
 * @VH_LOADGEN_ANSWERED: ran, and its caller has the whole answer
 * @VH_LOADGEN_FAILED: ran and failed, and its caller was told so
 * @VH_LOADGEN_REFUSED: its caller was told that it did not run
 * @VH_LOADGEN_UNKNOWN: its caller was told that it may have run
 * @VH_LOADGEN_INCORRECT: its caller was told something that is not true
 * @VH_LOADGEN_TIMED_OUT: its caller was told nothing in time
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
 * struct vh_loadgen_stats - counts of a load and whether they add up
 * @task_starts: begins that the witness saw for tasks of the load
 * @retries: requests sent again
 */
struct vh_loadgen_stats {
	uint64_t sent;
	uint64_t outcomes[VH_LOADGEN_OUTCOME_COUNT];
	uint64_t task_starts;
	uint64_t retries;
	GTree *waits;	   /* "TEAM/CLASS" to GArray of int64_t, ms */
	GTree *refusals;   /* kind of each refusal seen to its count */
	GPtrArray *errors; /* texts */
};

void vh_loadgen_stats_init(struct vh_loadgen_stats *t);
void vh_loadgen_stats_finish(struct vh_loadgen_stats *t);
void vh_loadgen_stats_add_wait(struct vh_loadgen_stats *t, const char *team,
			       const char *cls, int64_t ms);
void vh_loadgen_stats_add_refusal(struct vh_loadgen_stats *t, const char *kind);
void vh_loadgen_stats_add_outcome(struct vh_loadgen_stats *t,
				  enum vh_loadgen_outcome outcome);

/* vh_loadgen_stats_add_error - notes something untrue that was said */
void vh_loadgen_stats_add_error(struct vh_loadgen_stats *t, const char *fmt,
				...) __attribute__((format(printf, 2, 3)));

/* vh_loadgen_stats_quantile - exact; 0 for an empty array; sorts @samples */
int64_t vh_loadgen_stats_quantile(GArray *samples, double q);

/* vh_loadgen_stats_consistent - everything sent has an end, and none of them is wrong */
bool vh_loadgen_stats_consistent(const struct vh_loadgen_stats *t);

void vh_loadgen_stats_print(const struct vh_loadgen_stats *t, FILE *out);
json_t *vh_loadgen_stats_json(const struct vh_loadgen_stats *t);

#endif
