#ifndef VH_WORKER_H
#define VH_WORKER_H

/*
 * Simulates one worker: its tasks, lease, clock and resources. Internal to the
 * package: the worker server uses it.
 */

#include <glib.h>

#include "vh/res.h"

/**
 * struct vh_worker_start_order - an order to start a task
 * @not_after_ms: latest time to start it, on the worker's own clock
 * @declared_idempotent: reported with the running tasks; not used otherwise
 */
struct vh_worker_start_order {
	const char *task;
	uint32_t attempt;
	const char *home;
	uint64_t home_epoch;
	const char *cls;
	struct vh_res size;
	const char *service;
	const char *input;
	int64_t not_after_ms;
	bool declared_idempotent;
};

/**
 * struct vh_worker_task - a running task
 * @echo: text from the input that is returned with the result
 * @token: token from the input, for the invariant checker
 * @idempotent: as in the input, for the invariant checker
 * @program_end_ms: when its program ends; INT64_MAX: never
 * @requests: requests in progress at this replica
 */
struct vh_worker_task {
	char *task;
	uint32_t attempt;
	char *home;
	uint64_t home_epoch;
	char *cls;
	struct vh_res size;
	char *service;
	char *echo;
	char *token;
	bool idempotent;
	bool declared_idempotent; /* as in the start order */
	int exit_code;
	int64_t started_ms;
	int64_t program_end_ms;
	uint32_t requests;
};

/** struct vh_worker_task_end - the unacknowledged end of a task */
struct vh_worker_task_end {
	uint64_t seq;
	char *task;
	uint32_t attempt;
	char *home;
	const char *end;
	int exit_code;
	char *result;
};

/* Time on a worker's own clock after a restart. */
#define VH_WORKER_BOOT_CLOCK_MS 1000

struct vh_worker;

/**
 * struct vh_worker_callbacks - called on events of a worker
 * @task_started: before the task is added to the running tasks
 * @task_ended: @end is "done", "failed", "stopped" or "lost"
 * @start_overcommitted: a start exceeds the free resources and is refused
 */
struct vh_worker_callbacks {
	void (*task_started)(void *ctx, const struct vh_worker *w,
			     const struct vh_worker_task *t);
	void (*task_ended)(void *ctx, const struct vh_worker *w,
			   const struct vh_worker_task *t, const char *end,
			   int64_t at_ms);
	void (*start_overcommitted)(void *ctx, const struct vh_worker *w,
				    const struct vh_worker_start_order *start);
	void *ctx;
};

/**
 * struct vh_worker - simulates a worker as described in docs/PLATFORM.md
 * @fail_tasks: probability that a task fails when it starts
 *
 * Performs no I/O; the caller passes the time of a clock that all workers
 * share. The worker's own clock is @clock_offset_ms ahead of it.
 * vh_worker_advance() must be called before any other function.
 */
struct vh_worker {
	char *id;
	struct vh_res capacity;
	struct vh_res committed;
	int64_t clock_offset_ms;
	uint32_t incarnation;
	uint64_t epoch;
	int64_t lease_until_ms; /* shared clock */
	bool leaving;
	int64_t leaving_since_ms;
	int64_t paused_at_ms; /* INT64_MAX: not paused */
	double fail_tasks;
	GRand *rand;
	GPtrArray *tasks;
	GQueue unacked_ends;
	uint64_t next_seq;
	GHashTable *ended_keys; /* "task/attempt", to detect duplicates */
	GQueue ended_fifo;
	struct vh_worker_callbacks callbacks;
};

void vh_worker_init(struct vh_worker *w, const char *id,
		    const struct vh_res *capacity, int64_t clock_offset_ms,
		    uint32_t seed, const struct vh_worker_callbacks *callbacks);
void vh_worker_finish(struct vh_worker *w);

/* vh_worker_advance - processes all events that are due at @now_ms, in order */
void vh_worker_advance(struct vh_worker *w, int64_t now_ms);
int64_t vh_worker_next_due_ms(const struct vh_worker *w);

/* vh_worker_accept_epoch - stores @epoch; returns false if it is stale */
bool vh_worker_accept_epoch(struct vh_worker *w, uint64_t epoch);

/* vh_worker_renew_lease - extends the lease to @until_ms on the worker's own
 * clock; never shortens it, and ignores 0 */
void vh_worker_renew_lease(struct vh_worker *w, int64_t until_ms);
void vh_worker_ack_ends(struct vh_worker *w, uint64_t seq);

/* vh_worker_start_task - returns NULL if the task runs, else the reason of the
 * refusal: "late", "full", "no_lease" or "duplicate" */
const char *vh_worker_start_task(struct vh_worker *w,
				 const struct vh_worker_start_order *start,
				 int64_t now_ms);

/* vh_worker_stop_task - @mode is "kill", "checkpoint" or "throttle" */
void vh_worker_stop_task(struct vh_worker *w, const char *task,
			 uint32_t attempt, const char *mode, int64_t now_ms);

/* vh_worker_restart - loses all state; starts a new incarnation whose clock is
 * reset */
void vh_worker_restart(struct vh_worker *w, int64_t now_ms);
void vh_worker_pause(struct vh_worker *w, int64_t now_ms);
void vh_worker_resume(struct vh_worker *w, int64_t now_ms);
void vh_worker_set_leaving(struct vh_worker *w, bool leaving, int64_t now_ms);

/* vh_worker_find_replica - returns the least loaded replica of @service with a
 * free slot and connection, or NULL; the caller maintains its @requests */
struct vh_worker_task *vh_worker_find_replica(const struct vh_worker *w,
					      const char *service);

#endif
