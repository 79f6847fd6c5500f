#ifndef VH_WITNESS_H
#define VH_WITNESS_H

#include <glib.h>
#include <jansson.h>

#include "vh/invariant.h"
#include "vh/res.h"

/**
 * struct vh_checker_run - one attempt of a task as a worker saw it
 * @team: from the unit that is its home
 * @token: names the caller's task over all jobs and attempts; NULL: none
 * @idempotent: false: must never begin twice
 * @end: "running" until it ends
 */
struct vh_checker_run {
	char *task;
	uint32_t attempt;
	char *team;
	char *worker;
	char *token;
	bool idempotent;
	struct vh_res size;
	int64_t begin_ms;
	int64_t end_ms;
	const char *end;
};

struct vh_checker_limit {
	struct vh_res running;
	uint32_t tasks;
};

/**
 * struct vh_checker - checks the promises from outside the product
 * @max_runs: ended runs kept for the ledger
 * @max_tokens: tokens kept; tasks past that are counted as untracked
 * @grace_ms: how long a replaced limit may still be in force
 *
 * Pure. It sees every begin and end on all workers of a run, in time order,
 * and shares no code with what it checks.
 */
struct vh_checker {
	GHashTable *running; /* task to GPtrArray of runs */
	GQueue *ended;
	GHashTable *teams;
	GHashTable *tokens;
	GPtrArray *violations; /* texts */
	uint64_t check_counts[VH_INVARIANT_COUNT];
	uint64_t violation_counts[VH_INVARIANT_COUNT];
	uint64_t run_starts;
	uint64_t untracked;
	size_t max_runs;
	size_t max_tokens;
	int64_t grace_ms;
};

void vh_checker_init(struct vh_checker *c, size_t max_runs, size_t max_tokens,
		     int64_t grace_ms);
void vh_checker_finish(struct vh_checker *c);

/* vh_checker_set_limit - a team's upper limit from @now_ms on */
void vh_checker_set_limit(struct vh_checker *c, const char *team,
			  const struct vh_checker_limit *limit, int64_t now_ms);

/* vh_checker_run_started - checks I2, I4 and I7; strings are copied */
void vh_checker_run_started(struct vh_checker *c,
			    const struct vh_checker_run *run);

/* vh_checker_token_started - something named @token begins at @where; checks I7 */
void vh_checker_token_started(struct vh_checker *c, const char *token,
			      bool idempotent, const char *where,
			      int64_t now_ms);

/* vh_checker_run_ended - @end is a constant string */
void vh_checker_run_ended(struct vh_checker *c, const char *task,
			  uint32_t attempt, const char *worker, const char *end,
			  int64_t now_ms);

/* vh_checker_record_check - counts a check that somebody else made */
bool vh_checker_record_check(struct vh_checker *c, enum vh_invariant_id inv,
			     bool ok, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* vh_checker_token_starts - how often tasks with this token began, and when first */
uint32_t vh_checker_token_starts(const struct vh_checker *c, const char *token,
				 int64_t *first_ms);

/* vh_checker_json - {"checks":{},"violations":{},"trace":[],...} */
json_t *vh_checker_json(const struct vh_checker *c);

/* vh_checker_runs_json - running runs, then ended ones, oldest first */
json_t *vh_checker_runs_json(const struct vh_checker *c);

#endif
