#ifndef VH_TALLY_H
#define VH_TALLY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * enum vh_fate - what became of a piece of work that was sent
 * @VH_FATE_ANSWERED: ran, and its caller has the whole answer
 * @VH_FATE_FAILED: ran and failed, and its caller was told so
 * @VH_FATE_REFUSED: its caller was told that it did not run
 * @VH_FATE_UNKNOWN: its caller was told that it may have run
 * @VH_FATE_WRONG: its caller was told something that is not true
 * @VH_FATE_LOST: its caller was told nothing in time
 */
enum vh_fate {
	VH_FATE_ANSWERED,
	VH_FATE_FAILED,
	VH_FATE_REFUSED,
	VH_FATE_UNKNOWN,
	VH_FATE_WRONG,
	VH_FATE_LOST,
	VH_FATE_COUNT
};

const char *vh_fate_name(enum vh_fate fate);

/**
 * struct vh_tally - counts of a load and whether they add up
 * @tasks_begun: begins that the witness saw for tasks of the load
 * @retries: requests sent again
 */
struct vh_tally {
	uint64_t sent;
	uint64_t fates[VH_FATE_COUNT];
	uint64_t tasks_begun;
	uint64_t retries;
	GTree *waits;	  /* "TEAM/CLASS" to GArray of int64_t, ms */
	GTree *refusals;  /* kind of each refusal seen to its count */
	GPtrArray *wrong; /* texts */
};

void vh_tally_init(struct vh_tally *t);
void vh_tally_finish(struct vh_tally *t);
void vh_tally_wait(struct vh_tally *t, const char *team, const char *cls,
		   int64_t ms);
void vh_tally_refusal(struct vh_tally *t, const char *kind);
void vh_tally_end(struct vh_tally *t, enum vh_fate fate);

/* vh_tally_wrong - notes something untrue that was said */
void vh_tally_wrong(struct vh_tally *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* vh_tally_quantile - exact; 0 for an empty array; sorts @samples */
int64_t vh_tally_quantile(GArray *samples, double q);

/* vh_tally_adds_up - everything sent has an end, and none of them is wrong */
bool vh_tally_adds_up(const struct vh_tally *t);

void vh_tally_print(const struct vh_tally *t, FILE *out);
json_t *vh_tally_json(const struct vh_tally *t);

#endif
