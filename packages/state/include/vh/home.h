#ifndef VH_HOME_H
#define VH_HOME_H

/*
 * The state machine of a home: the jobs, tasks and requests of one part of a
 * team, replayed from the home's stream. Does no I/O. Called by packages/core,
 * which runs the homes.
 */

#include "vh/objects.h"
#include "vh/record.h"
#include "vh/sync.h"

#define VH_JOB_ID_MAX 112

/**
 * enum vh_task_state - state of a task in its home
 * @VH_TASK_WAITING: waiting to be started
 * @VH_TASK_RECORDING: its VH_REC_ATTEMPT is being appended to the log
 * @VH_TASK_REQUESTED: start requested from a rack's owner; may begin at any
 *       time
 * @VH_TASK_RUNNING: confirmed to be running
 * @VH_TASK_UNCONFIRMED: after a takeover: may run on a rack not yet reconciled
 * @VH_TASK_ENDING: ended; its VH_REC_END is being appended to the log
 * @VH_TASK_ENDED: final
 */
enum vh_task_state {
	VH_TASK_WAITING,
	VH_TASK_RECORDING,
	VH_TASK_REQUESTED,
	VH_TASK_RUNNING,
	VH_TASK_UNCONFIRMED,
	VH_TASK_ENDING,
	VH_TASK_ENDED
};

const char *vh_task_state_name(enum vh_task_state s);

/** struct vh_task - a task in a home; read-only for callers */
struct vh_task {
	struct vh_job *job;
	uint32_t index;
	enum vh_task_state state;
	uint32_t attempt;     /* see vh_home_start_attempt() */
	uint32_t lost;	      /* attempts that began and were lost */
	struct vh_slice rack; /* where requested or running, or empty */
	struct vh_slice worker;
	enum vh_end end; /* valid in states ENDING and ENDED */
	int32_t exit_code;
	struct vh_slice result;
	bool not_run;	     /* when ended: it certainly never ran */
	bool unknown;	     /* when ended: it may have run, outcome unknown */
	int64_t retry_at_ms; /* earliest time of the next attempt */
	enum vh_err why;     /* latest reason for waiting */
};

/** struct vh_job - a job in a home; read-only for callers */
struct vh_job {
	struct vh_slice id; /* "TEAM.K.EPOCH.N" */
	struct vh_job_spec spec;
	struct vh_task *tasks;
	uint32_t n_unfinished;
	bool durable; /* its record has been applied */
	bool cancelled;
	int64_t accepted_wall_ms;
	int64_t accepted_ms; /* local monotonic, for wait and deadline */
	uint64_t version;    /* increases with each change of the job */
	void *user;	     /* for the caller; initially NULL */
};

struct vh_home_settings {
	struct vh_slice team;
	uint32_t index; /* K */
	uint32_t homes; /* number of homes of the team */
	int64_t dedupe_window_ms;
	uint32_t max_attempts; /* per idempotent task */
};

/**
 * struct vh_home - jobs, idempotency keys and limit credit of a team
 *
 * A state machine without I/O. Durable state changes only in vh_home_apply(),
 * by records in log order, so every node that reads the stream derives the same
 * state. Task placement is not durable; after a takeover it is rebuilt by
 * reconciling with each rack. Asserts I2, I4 and I7.
 */
struct vh_home;

struct vh_home *vh_home_new(const struct vh_home_settings *settings);
void vh_home_free(struct vh_home *h);
struct vh_slice vh_home_unit(const struct vh_home *h); /* "home/TEAM/K" */

/*
 * vh_home_apply - applies one record of the home's stream. A VH_REC_OPEN with a
 * higher epoch than the open one closes the home.
 */
void vh_home_apply(struct vh_home *h, uint64_t offset, uint64_t epoch,
		   uint32_t kind, struct vh_slice body, int64_t now_ms);

/**
 * vh_home_open - takes ownership under @epoch, once all records up to its
 * VH_REC_OPEN have been applied. Every unfinished task that may have been
 * started becomes VH_TASK_UNCONFIRMED until @racks are reconciled.
 */
void vh_home_open(struct vh_home *h, uint64_t epoch,
		  const struct vh_slice *racks, size_t n_racks, int64_t now_ms);
void vh_home_close(struct vh_home *h);
uint64_t vh_home_epoch(const struct vh_home *h); /* 0: not open */

/* vh_home_reconcile_run - during reconciliation: @rack reports this run */
void vh_home_reconcile_run(struct vh_home *h, struct vh_slice rack,
			   const struct vh_running_task *run,
			   struct vh_slice worker);

/*
 * vh_home_rack_reconciled - @rack has reported all its runs of this home. After
 * the last rack, unreported tasks may start again, except that a non-idempotent
 * task with a recorded attempt ends with unknown outcome.
 */
void vh_home_rack_reconciled(struct vh_home *h, struct vh_slice rack);
size_t vh_home_unreconciled_racks(const struct vh_home *h);

/**
 * vh_home_rack_owner_changed - the rack has a new owner or was added
 *
 * Tasks that run there or were requested from its former owner are unconfirmed
 * until the rack has reported all its runs. Those still unreported at
 * vh_home_rack_reconciled() are lost. Other tasks are not affected. Requests
 * for an unconfirmed task must not be repeated (see vh_place_req.rack_epoch).
 */
void vh_home_rack_owner_changed(struct vh_home *h, struct vh_slice rack);

/* vh_home_rack_is_unreconciled - has the rack still to report all its runs? */
bool vh_home_rack_is_unreconciled(const struct vh_home *h,
				  struct vh_slice rack);

/*
 * vh_home_rack_removed - the rack and all its runs are gone. It counts as
 * reconciled, and its runs have ended as VH_END_LOST.
 */
void vh_home_rack_removed(struct vh_home *h, struct vh_slice rack);

/* vh_home_set_limit - NULL for none. I4 is asserted on each later start. */
void vh_home_set_limit(struct vh_home *h, const struct vh_limit *limit);

enum vh_submit_result {
	VH_SUBMIT_NEW,	     /* append *body as VH_REC_JOB */
	VH_SUBMIT_DUPLICATE, /* known key and request: *job is set */
	VH_SUBMIT_CONFLICT,  /* known key, different request */
};

/**
 * vh_home_submit - accepts a job
 * @key: the caller's Idempotency-Key, or the entry node's own request id
 * @fingerprint: hash of the request, to detect a conflict
 * @body: receives the record to append
 *
 * The new job is not durable until its record is applied. Call
 * vh_home_submit_failed() if the append was refused.
 */
enum vh_submit_result vh_home_submit(struct vh_home *h, struct vh_slice key,
				     uint64_t fingerprint,
				     const struct vh_job_spec *spec,
				     int64_t wall_ms, int64_t now_ms,
				     struct vh_buf *body, struct vh_job **job);
void vh_home_submit_failed(struct vh_home *h, struct vh_job *job);

struct vh_job *vh_home_job(struct vh_home *h, struct vh_slice id);
struct vh_task *vh_home_task(struct vh_home *h, struct vh_slice task);

/* vh_home_each_job - visits all jobs, oldest first */
void vh_home_each_job(struct vh_home *h,
		      void (*fn)(void *ctx, struct vh_job *job), void *ctx);

/**
 * vh_home_waiting - returns the tasks that may be started now, in order
 * @out: room for @max tasks
 *
 * Sorted by class, priority, then acceptance. Omits jobs that are not durable,
 * cancelled or past their deadline, and tasks before their retry_at_ms. Returns
 * at most @max tasks; tasks of a gang are adjacent.
 */
size_t vh_home_waiting(struct vh_home *h, int64_t now_ms, struct vh_task **out,
		       size_t max);

/**
 * vh_home_start_attempt - reserves a task's credit for a start on @rack
 *
 * On VH_OK an idempotent task is VH_TASK_REQUESTED with a new attempt number. A
 * task that is not idempotent is VH_TASK_RECORDING, and @body holds a
 * VH_REC_ATTEMPT to append first; applying it makes the task VH_TASK_REQUESTED.
 * Fails with VH_ERR_NOT_OWNER, VH_ERR_CANCELLED, VH_ERR_LIMIT_REACHED or
 * VH_ERR_NOT_READY (not waiting, for example while racks are unreconciled).
 *
 * Attempt numbers are never reused: those of the home's Nth owner start at (N -
 * 1) << 16 | 1, so that late reports about an earlier owner's attempt cannot be
 * mistaken for the current one.
 */
enum vh_err vh_home_start_attempt(struct vh_home *h, struct vh_task *task,
				  struct vh_slice rack, struct vh_buf *body);

/* vh_home_attempt_started - a worker accepted the start */
void vh_home_attempt_started(struct vh_home *h, struct vh_task *task,
			     uint32_t attempt, struct vh_slice worker);

/*
 * vh_home_attempt_not_started - the request or the append of its record was
 * answered with a failure, so the attempt did not begin and the task waits
 * again. Reports that the rack sends on its own, refusals included, go to
 * vh_home_attempt_ended() as VH_END_NOT_STARTED.
 */
void vh_home_attempt_not_started(struct vh_home *h, struct vh_task *task,
				 uint32_t attempt, enum vh_err why,
				 int64_t retry_at_ms);

/*
 * vh_home_must_defer_end - this end can be neither recorded nor acknowledged
 * yet, because the home is not open, the task is unconfirmed or its record is
 * being appended. The rack must report it again later.
 */
bool vh_home_must_defer_end(struct vh_home *h,
			    const struct vh_ended_task *ended);

/**
 * vh_home_attempt_ended - handles the end of an attempt
 * @body: receives a VH_REC_END to append if this end is final
 *
 * Call it only if vh_home_must_defer_end() returned false. On true, append the
 * record; the end may be acknowledged to the rack once it is applied. On false
 * there is nothing to record (an idempotent task that waits again, or an end
 * already known); acknowledge it at once.
 */
bool vh_home_attempt_ended(struct vh_home *h, const struct vh_ended_task *ended,
			   int64_t now_ms, struct vh_buf *body);

/*
 * vh_home_cancel - append *body as VH_REC_CANCEL; when it is applied, waiting
 * tasks end as not run. The caller must stop running tasks.
 */
bool vh_home_cancel(struct vh_home *h, struct vh_job *job, struct vh_buf *body);

/* vh_home_cancel_failed - the append was refused; tasks may start again */
void vh_home_cancel_failed(struct vh_home *h, struct vh_job *job);

/*
 * vh_home_expire - ends waiting tasks that are past their deadline or were lost
 * for good according to reconciliation. Passes a VH_REC_END body for each to
 * @fn. Call it after vh_home_rack_reconciled() and vh_home_rack_removed() and
 * periodically.
 */
void vh_home_expire(struct vh_home *h, int64_t now_ms, int64_t wall_ms,
		    void (*fn)(void *ctx, struct vh_slice body), void *ctx);

/** enum vh_request_state - state of a non-idempotent request */
enum vh_request_state {
	VH_REQUEST_NEW,	      /* append *body as VH_REC_REQUEST, then send it */
	VH_REQUEST_UNDER_WAY, /* already started; its end is not known */
	VH_REQUEST_ENDED,     /* *status holds its HTTP status */
	VH_REQUEST_CONFLICT
};

enum vh_request_state vh_home_request(struct vh_home *h, struct vh_slice key,
				      uint64_t fingerprint, int64_t wall_ms,
				      struct vh_buf *body, uint32_t *status);

/*
 * vh_home_request_failed - the append of the VH_REC_REQUEST was refused; the
 * key is free again
 */
void vh_home_request_failed(struct vh_home *h, struct vh_slice key);

/*
 * vh_home_request_ended - builds a VH_REC_REQUEST_END body. @status 0 means
 * that the request certainly did not run, which frees the key.
 */
void vh_home_request_ended(struct vh_home *h, struct vh_slice key,
			   uint32_t status, struct vh_buf *body);

/*
 * vh_home_dump, vh_home_load - serialise and restore the durable state for a
 * snapshot. Load only into a new home; if it returns false, free the home.
 */
void vh_home_dump(const struct vh_home *h, struct vh_buf *out);
bool vh_home_load(struct vh_home *h, struct vh_slice bytes, int64_t now_ms);

/** struct vh_home_counts - totals for metrics and summaries */
struct vh_home_counts {
	size_t jobs, waiting, running, keys;
	struct vh_res committed;
	uint32_t committed_tasks;
};

void vh_home_counts(const struct vh_home *h, struct vh_home_counts *out);

#endif
