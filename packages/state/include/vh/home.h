#ifndef VH_HOME_H
#define VH_HOME_H

#include "vh/objects.h"
#include "vh/record.h"
#include "vh/sync.h"

#define VH_JOB_ID_MAX 112

/**
 * enum vh_task_state - where a task of a home stands
 * @VH_TASK_WAITING: to be started
 * @VH_TASK_RECORDING: its VH_REC_ATTEMPT is on its way to the log
 * @VH_TASK_REQUESTED: a rack's owner was asked; it may begin any time
 * @VH_TASK_RUNNING: known to run
 * @VH_TASK_UNCONFIRMED: after a takeover: may run on a rack not yet sealed
 * @VH_TASK_ENDING: ended; its VH_REC_END is on its way to the log
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

/** struct vh_task - a task in a home; read-only for users */
struct vh_task {
	struct vh_job *job;
	uint32_t index;
	enum vh_task_state state;
	uint32_t
		attempt; /* number of the newest one; see vh_home_start_attempt() */
	uint32_t lost;	      /* attempts that began and were lost */
	struct vh_slice rack; /* asked or running there; empty if none */
	struct vh_slice worker;
	enum vh_end end; /* when ENDING or ENDED */
	int32_t exit_code;
	struct vh_slice result;
	bool not_run;	     /* when ended: it surely never ran */
	bool unknown;	     /* when ended: it may have run, how far unknown */
	int64_t retry_at_ms; /* not before then */
	enum vh_err why;     /* newest reason for waiting */
};

/** struct vh_job - a job in a home; read-only for users */
struct vh_job {
	struct vh_slice id; /* "TEAM.K.EPOCH.N" */
	struct vh_job_spec spec;
	struct vh_task *tasks;
	uint32_t n_unfinished;
	bool durable; /* its record has been applied */
	bool cancelled;
	int64_t accepted_wall_ms;
	int64_t accepted_ms; /* monotonic time here, for waiting and deadline */
	uint64_t version;    /* grows with each change of it */
	void *user;	     /* for the home's user; NULL at first */
};

struct vh_home_settings {
	struct vh_slice team;
	uint32_t index; /* K */
	uint32_t homes; /* how many homes the team has */
	int64_t dedupe_window_ms;
	uint32_t max_attempts; /* of one idempotent task */
};

/**
 * struct vh_home - jobs, idempotency keys and limit credit of a team
 *
 * Pure. State that must last changes only in vh_home_apply(), by records in
 * log order, so every node that reads the stream has the same. Where tasks
 * run is kept beside it and learnt anew after a takeover by sealing racks.
 * Asserts I2, I4 and I7.
 */
struct vh_home;

struct vh_home *vh_home_new(const struct vh_home_settings *settings);
void vh_home_free(struct vh_home *h);
struct vh_slice vh_home_unit(const struct vh_home *h); /* "home/TEAM/K" */

/* vh_home_apply - applies one record of the home's stream. A VH_REC_OPEN of a
 * higher epoch than the home is open under closes it. */
void vh_home_apply(struct vh_home *h, uint64_t offset, uint64_t epoch,
		   uint32_t kind, struct vh_slice body, int64_t now_ms);

/**
 * vh_home_open - begins to own it under @epoch, once all records up to its
 * VH_REC_OPEN have been applied. Every unended task that may have been
 * started becomes VH_TASK_UNCONFIRMED until @racks are sealed.
 */
void vh_home_open(struct vh_home *h, uint64_t epoch,
		  const struct vh_slice *racks, size_t n_racks, int64_t now_ms);
void vh_home_close(struct vh_home *h);
uint64_t vh_home_epoch(const struct vh_home *h); /* 0: not open */

/* vh_home_reconcile_run - while sealing @rack: this run of ours is there */
void vh_home_reconcile_run(struct vh_home *h, struct vh_slice rack,
			   const struct vh_running_task *run,
			   struct vh_slice worker);

/* vh_home_rack_reconciled - the rack has told all; when the last one has, tasks not
 * seen are free to start (or, not idempotent and attempted, end as unknown) */
void vh_home_rack_reconciled(struct vh_home *h, struct vh_slice rack);
size_t vh_home_unreconciled_racks(const struct vh_home *h);

/**
 * vh_home_rack_owner_changed - the rack has a new owner, or came into being
 *
 * Tasks that run there, or that its former owner was asked for, are in doubt
 * until the rack has told all again: those it does not tell of by
 * vh_home_rack_reconciled() were lost. Others go on. No request for a task in doubt
 * may be repeated (see vh_place_req.rack_epoch).
 */
void vh_home_rack_owner_changed(struct vh_home *h, struct vh_slice rack);

/* vh_home_rack_is_unreconciled - does the home wait for this rack to tell all? */
bool vh_home_rack_is_unreconciled(const struct vh_home *h,
				  struct vh_slice rack);

/* vh_home_rack_removed - the rack is gone with all that ran there: counts as
 * sealed, and runs on it have ended as VH_END_LOST */
void vh_home_rack_removed(struct vh_home *h, struct vh_slice rack);

/* vh_home_set_limit - NULL for none. Asserts I4 on each start from now on. */
void vh_home_set_limit(struct vh_home *h, const struct vh_limit *limit);

enum vh_submit_result {
	VH_SUBMIT_NEW,	     /* append *body as VH_REC_JOB */
	VH_SUBMIT_DUPLICATE, /* known key, same request: *job is the first one */
	VH_SUBMIT_CONFLICT,  /* known key, other request */
};

/**
 * vh_home_submit - a job arrives
 * @key: the caller's Idempotency-Key, or the entry node's own request id
 * @fingerprint: hash of the request, to tell a conflict
 * @body: gets the record to append
 *
 * The new job is kept as not durable until its record is applied; call
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

/* vh_home_each_job - oldest first */
void vh_home_each_job(struct vh_home *h,
		      void (*fn)(void *ctx, struct vh_job *job), void *ctx);

/**
 * vh_home_waiting - tasks that may be started now, in order
 * @out: room for @max
 *
 * By class, priority, then acceptance. Leaves out jobs not durable, cancelled
 * or past their deadline, tasks before their retry_at_ms, and all but the
 * first @max. The tasks of one gang stand together.
 */
size_t vh_home_waiting(struct vh_home *h, int64_t now_ms, struct vh_task **out,
		       size_t max);

/**
 * vh_home_start_attempt - takes a task's credit for a start on @rack
 *
 * VH_OK: the state is VH_TASK_REQUESTED with a new attempt number, or, not
 * idempotent, VH_TASK_RECORDING and @body holds a VH_REC_ATTEMPT to append
 * first (its being applied makes it VH_TASK_REQUESTED). VH_ERR_LIMIT_REACHED or
 * VH_ERR_NOT_READY (unsealed racks) otherwise.
 *
 * Attempt numbers are never used twice: those of the home's Nth owner start
 * at (N - 1) << 16 | 1, so that words on an earlier owner's attempt are told
 * apart from this one's.
 */
enum vh_err vh_home_start_attempt(struct vh_home *h, struct vh_task *task,
				  struct vh_slice rack, struct vh_buf *body);

/* vh_home_attempt_started - the start was taken on */
void vh_home_attempt_started(struct vh_home *h, struct vh_task *task,
			     uint32_t attempt, struct vh_slice worker);

/* vh_home_attempt_not_started - the answer to its request, or to the append of its
 * record, is that it did not begin: the task waits again. What a rack tells of
 * itself, a refusal as well, goes to vh_home_attempt_ended(), as VH_END_NOT_STARTED. */
void vh_home_attempt_not_started(struct vh_home *h, struct vh_task *task,
				 uint32_t attempt, enum vh_err why,
				 int64_t retry_at_ms);

/* vh_home_must_defer_end - this end can be neither recorded nor settled yet (the
 * home is not open, the task not sealed, or its record is on its way): it must
 * be told again later */
bool vh_home_must_defer_end(struct vh_home *h,
			    const struct vh_ended_task *ended);

/**
 * vh_home_attempt_ended - an attempt ended
 * @body: gets a VH_REC_END to append if this end is final
 *
 * Only if vh_home_must_defer_end() says no. Returns true if there is a record to append; the end may be settled at the
 * rack once it is applied. False: nothing to record (an idempotent task that
 * waits again, or an end already known); settle it at once.
 */
bool vh_home_attempt_ended(struct vh_home *h, const struct vh_ended_task *ended,
			   int64_t now_ms, struct vh_buf *body);

/* vh_home_cancel - appends *body as VH_REC_CANCEL; once that is applied,
 * waiting tasks end as not run. The user stops what runs. */
bool vh_home_cancel(struct vh_home *h, struct vh_job *job, struct vh_buf *body);

/* vh_home_cancel_failed - the append was refused: its tasks may start again */
void vh_home_cancel_failed(struct vh_home *h, struct vh_job *job);

/* vh_home_expire - ends waiting tasks whose deadline has passed, and those that
 * sealing found lost for good: each gives a VH_REC_END body through @fn. Call
 * it after vh_home_rack_reconciled() and vh_home_rack_removed() and now and then. */
void vh_home_expire(struct vh_home *h, int64_t now_ms, int64_t wall_ms,
		    void (*fn)(void *ctx, struct vh_slice body), void *ctx);

/**
 * struct vh_request_state - what is known of a non-idempotent request
 */
enum vh_request_state {
	VH_REQUEST_NEW,	      /* append *body as VH_REC_REQUEST, then send it */
	VH_REQUEST_UNDER_WAY, /* begun before; its end is not known */
	VH_REQUEST_ENDED,     /* *status holds the HTTP status that it got */
	VH_REQUEST_CONFLICT
};

enum vh_request_state vh_home_request(struct vh_home *h, struct vh_slice key,
				      uint64_t fingerprint, int64_t wall_ms,
				      struct vh_buf *body, uint32_t *status);

/* vh_home_request_failed - the append of the VH_REC_REQUEST was refused: the
 * key is free again */
void vh_home_request_failed(struct vh_home *h, struct vh_slice key);

/* vh_home_request_ended - body of a VH_REC_REQUEST_END; @status 0 means that
 * it surely did not run, which frees the key */
void vh_home_request_ended(struct vh_home *h, struct vh_slice key,
			   uint32_t status, struct vh_buf *body);

/* vh_home_dump, vh_home_load - all that must last, for a snapshot. Load into a
 * new home only; if it returns false the home must be freed. */
void vh_home_dump(const struct vh_home *h, struct vh_buf *out);
bool vh_home_load(struct vh_home *h, struct vh_slice bytes, int64_t now_ms);

/** struct vh_home_counts - for metrics and summaries */
struct vh_home_counts {
	size_t jobs, waiting, running, keys;
	struct vh_res committed;
	uint32_t committed_tasks;
};

void vh_home_counts(const struct vh_home *h, struct vh_home_counts *out);

#endif
