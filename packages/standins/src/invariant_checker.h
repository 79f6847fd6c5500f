#ifndef VH_INVARIANT_CHECKER_H
#define VH_INVARIANT_CHECKER_H

/*
 * Checks the invariants of the scheduler from the starts and ends of tasks on
 * all workers. Internal to the package: the worker server feeds it, and
 * vh_team_limits_load() sets its limits.
 */

#include <glib.h>
#include <jansson.h>

#include "vh/invariant.h"
#include "vh/res.h"

/**
 * struct vh_checker_run - an attempt of a task, as executed by a worker
 * @team: team of the unit that owns the task
 * @token: identifies the task across jobs and attempts; NULL if it has none
 * @idempotent: if false, the task must not start twice
 * @end: outcome; "running" until the attempt ends
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
 * struct vh_checker - checks the invariants of the scheduler independently
 * @max_runs: number of ended runs that are kept for vh_checker_runs_json()
 * @max_tokens: number of tokens that are kept; starts of further tokens are
 *		not checked, only counted as @untracked
 * @grace_ms: time in which a replaced limit is still accepted
 *
 * Performs no I/O. Receives each start and end on all workers in the order of
 * time, and shares no code with the scheduler that it checks.
 */
struct vh_checker {
	GHashTable *running; /* task id to GPtrArray of runs */
	GQueue *ended;
	GHashTable *teams;
	GHashTable *tokens;
	GPtrArray *violations; /* descriptions, the first ones only */
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

/* vh_checker_set_limit - sets a team's limit; the replaced one is accepted for
 * the grace time */
void vh_checker_set_limit(struct vh_checker *c, const char *team,
			  const struct vh_checker_limit *limit, int64_t now_ms);

/* vh_checker_run_started - checks I2, I4 and I7; copies the strings */
void vh_checker_run_started(struct vh_checker *c,
			    const struct vh_checker_run *run);

/* vh_checker_token_started - records that the work of @token started at @where;
 * checks I7 */
void vh_checker_token_started(struct vh_checker *c, const char *token,
			      bool idempotent, const char *where,
			      int64_t now_ms);

/* vh_checker_run_ended - @end must be a static string */
void vh_checker_run_ended(struct vh_checker *c, const char *task,
			  uint32_t attempt, const char *worker, const char *end,
			  int64_t now_ms);

/* vh_checker_record_check - records the result of a check, with a description
 * if it failed; returns @ok */
bool vh_checker_record_check(struct vh_checker *c, enum vh_invariant_id inv,
			     bool ok, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* vh_checker_token_starts - returns the number of starts with @token and sets
 * @first_ms to the time of the first one, or to 0 */
uint32_t vh_checker_token_starts(const struct vh_checker *c, const char *token,
				 int64_t *first_ms);

/* vh_checker_json - returns the results of the checks:
 * {"checks":{},"violations":{},"trace":[],...} */
json_t *vh_checker_json(const struct vh_checker *c);

/* vh_checker_runs_json - lists the running attempts, then the ended ones from
 * the oldest to the newest */
json_t *vh_checker_runs_json(const struct vh_checker *c);

#endif
