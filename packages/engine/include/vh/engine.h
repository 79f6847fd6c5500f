#ifndef VH_ENGINE_H
#define VH_ENGINE_H

#include "vh/eng_job.h"

/*
 * The owner's decisions: jobs, tasks, workers and what teams have running, as
 * a state machine without input and output. Events and the time come in by the
 * functions below; orders go out through struct eng_callbacks, which may be called
 * from within any of them. Times named now_ms are monotonic milliseconds.
 *
 * Every placement is stored before its order is sent, and every end is stored
 * before it is acknowledged to its worker: the state is written as one record
 * a job, collected in batches. eng_flush() gives the next batch, and
 * eng_batch_stored() says that it lasts.
 */
struct engine;

/**
 * struct eng_settings
 * @fence: the fencing token of this ownership; larger than any before
 * @lease_ms: how long a worker may go on without hearing from the owner
 * @lease_max_ms: the longest lease that workers grant
 * @stop_ms: how long a stop takes at a worker
 * @gang_ms: how long a gang's tasks wait for each other
 * @former_owner_ms: how long a former owner may go on renewing leases
 */
struct eng_settings {
	uint64_t fence;
	int64_t lease_ms;
	int64_t lease_max_ms;
	int64_t stop_ms;
	int64_t gang_ms;
	int64_t former_owner_ms;
};

enum eng_job_status {
	ENG_PENDING,
	ENG_RUNNING,
	ENG_COMPLETE,
	ENG_FAILED,
	ENG_CANCELLED,
	ENG_UNKNOWN /* no such job */
};

/**
 * struct eng_task_ref - one run of one task
 */
struct eng_task_ref {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run;
};

enum eng_end_reason {
	ENG_END_DONE,
	ENG_END_FAILED,
	ENG_END_STOPPED,
	ENG_END_LAPSED,
	ENG_END_BROKEN,
	ENG_END_ALONE
};

/* One run that a worker says is there. */
struct eng_running_task {
	struct eng_task_ref task;
	struct vh_slice checkpoint;
};

/* One end that a worker lists. */
struct eng_finished_task {
	int64_t number; /* rises by one with each end in a boot of the worker */
	struct eng_task_ref task;
	enum eng_end_reason how;
	struct vh_slice checkpoint;
};

/**
 * struct eng_worker_report - a worker's answer to a hold
 * @sent_ms: when the hold was sent
 * @clock_ms: the worker's clock when it answered
 * @born_ms: when this boot of the worker started, 0: not said
 */
struct eng_worker_report {
	int64_t sent_ms;
	int64_t clock_ms;
	int64_t born_ms;
	const struct eng_running_task *running;
	size_t n_running;
	const struct eng_finished_task *finished;
	size_t n_finished;
};

enum eng_reply {
	ENG_REPLY_OK,
	ENG_REPLY_NONE,	     /* no answer: the order may be carried out yet */
	ENG_REPLY_FENCED,    /* a newer owner has been there */
	ENG_REPLY_STALE_RUN, /* that run has been stopped or has ended there */
	ENG_REPLY_LEASE_EXPIRED,  /* the lease in the order had run out */
	ENG_REPLY_NO_CAPACITY,	  /* the worker has no room */
	ENG_REPLY_TICKET_EXPIRED, /* the ticket has run out */
	ENG_REPLY_REFUSED	  /* surely nothing done, for another reason */
};

/**
 * struct eng_start_request - start a task
 * @worker: id
 * @address: IP:PORT
 * @until_ms: lease, on the worker's clock
 * @ticket: empty if the queue needs none
 */
struct eng_start_request {
	struct vh_slice worker;
	struct vh_slice address;
	struct eng_task_ref task;
	struct vh_slice payload;
	int64_t until_ms;
	struct vh_slice checkpoint;
	struct vh_slice ticket;
};

/**
 * struct eng_hold_request - renew a worker's lease and look at it
 * @until_ms: 0: leave the lease as it is
 * @acknowledged: number of the last end that is stored
 * @wait_ms: the worker may answer so much later, at the next end
 */
struct eng_hold_request {
	struct vh_slice worker;
	struct vh_slice address;
	int64_t until_ms;
	int64_t acknowledged;
	int64_t wait_ms;
};

/**
 * struct eng_advice_request - ask the policy service which workers may run a step
 * @cost_ms: how long the service takes for it
 */
struct eng_advice_request {
	uint64_t job;
	uint32_t step;
	const struct vh_slice *workers;
	size_t n;
	double cost_ms;
};

/**
 * struct eng_decision - one decision about a task, for the log
 * @what: constant text
 * @worker: empty if there is none
 * @need_cpu, @used_cpu: thousandths: what the task takes, and what is
 *			 committed on the worker
 * @age_ms: since the job was accepted
 */
struct eng_decision {
	const char *what;
	struct eng_task_ref task;
	struct vh_slice worker;
	int64_t need_cpu;
	int64_t used_cpu;
	int64_t age_ms;
};

/**
 * struct eng_milestone - a job got so far, for the metrics
 * @status: ENG_RUNNING when its first task started, or how it ended
 * @took_ms: since it was accepted
 */
struct eng_milestone {
	struct vh_slice queue;
	struct vh_slice team;
	enum eng_job_status status;
	int64_t took_ms;
};

/**
 * struct eng_callbacks - where orders go
 * @advise: false if no call can be made now; asked again in the next run
 * @advice_available: whether a call could be made now; NULL: always
 * @reached: a worker stopped answering, or answers again; may be NULL
 * @decided: may be NULL
 * @milestone: may be NULL
 */
struct eng_callbacks {
	void (*start)(void *ctx, const struct eng_start_request *o);
	void (*stop)(void *ctx, struct vh_slice worker, struct vh_slice address,
		     struct eng_task_ref task);
	void (*hold)(void *ctx, const struct eng_hold_request *o);
	bool (*advise)(void *ctx, const struct eng_advice_request *ask);
	bool (*advice_available)(void *ctx, double cost_ms);
	void (*deposed)(void *ctx, const char *why);
	void (*reached)(void *ctx, struct vh_slice worker, bool reached);
	void (*decided)(void *ctx, const struct eng_decision *d);
	void (*milestone)(void *ctx, const struct eng_milestone *m);
	void *ctx;
};

/**
 * struct eng_worker_info - what the fleet's list says of a worker
 */
struct eng_worker_info {
	struct vh_slice id;
	struct vh_slice service;
	struct vh_slice address; /* IP:PORT */
	struct vh_slice zone;
	struct eng_resources capacity;
	const struct vh_slice *labels;
	size_t n_labels;
	int64_t born_ms;
	bool draining;
};

/**
 * struct eng_team - a team's share and upper limit
 * @weight: jobs a second that are its share; 0: no share is set
 * @cap: 0 in a field means no limit
 */
struct eng_team {
	struct vh_slice name;
	double weight;
	struct eng_resources cap;
};

struct engine *eng_new(const struct eng_settings *s,
		       const struct eng_callbacks *ports, int64_t now_ms);
void eng_free(struct engine *e);

/* eng_job_restore - a job's state as a former owner stored it; before eng_recovery_done() */
void eng_job_restore(struct engine *e, uint64_t id, struct vh_slice record,
		     int64_t now_ms);

/* eng_job_add - a job was accepted; takes over @spec; the same again does nothing */
void eng_job_add(struct engine *e, struct eng_job_spec *spec, int64_t now_ms,
		 int64_t wall_ms);

/* eng_job_cancel - a job's cancelling was accepted */
void eng_job_cancel(struct engine *e, uint64_t id, int64_t now_ms);

void eng_set_teams(struct engine *e, const struct eng_team *teams, size_t n);

/* eng_worker_listed - a worker is listed, newly or again */
void eng_worker_listed(struct engine *e, const struct eng_worker_info *info,
		       int64_t now_ms);

/* eng_worker_unlisted - a worker's entry has gone from the list */
void eng_worker_unlisted(struct engine *e, struct vh_slice id, int64_t now_ms);

void eng_worker_report(struct engine *e, struct vh_slice worker,
		       const struct eng_worker_report *r, int64_t now_ms);

/* eng_hold_failed - ENG_REPLY_FENCED deposes the owner */
void eng_hold_failed(struct engine *e, struct vh_slice worker,
		     enum eng_reply answer, int64_t now_ms);

/* eng_start_reply - the answer to a start; @clock_ms 0: not said */
void eng_start_reply(struct engine *e, struct vh_slice worker,
		     struct eng_task_ref task, enum eng_reply answer,
		     int64_t now_ms);
void eng_stop_reply(struct engine *e, struct vh_slice worker,
		    struct eng_task_ref task, enum eng_reply answer,
		    int64_t now_ms);

/* A worker that may run a step, and its ticket. */
struct eng_advised_worker {
	struct vh_slice worker;
	struct vh_slice ticket;
};

/**
 * eng_advice_received - the policy service answered
 * @asked: the workers that were named
 * @sent_ms: when it was asked; tickets count from here
 * @valid_ms: how long they last
 */
void eng_advice_received(struct engine *e, uint64_t job, uint32_t step,
			 const struct vh_slice *asked, size_t n_asked,
			 const struct eng_advised_worker *good, size_t n_good,
			 int64_t sent_ms, int64_t valid_ms, int64_t now_ms);
void eng_advice_failed(struct engine *e, uint64_t job, uint32_t step,
		       int64_t now_ms);

/**
 * eng_recovery_done - recovery is over: all stored jobs and states have been given
 *
 * Nothing is placed before.
 */
void eng_recovery_done(struct engine *e, int64_t now_ms);

/* eng_schedule - decides what can be decided now; call soon after any event */
void eng_schedule(struct engine *e, int64_t now_ms);

/* One changed job's record. */
struct eng_record {
	uint64_t job;
	struct vh_buf bytes;
};

/**
 * eng_flush - what is to be stored next
 * @records: receives the array, to be freed with eng_records_free()
 *
 * Returns the batch's number, 0 if there is nothing to store.
 */
uint64_t eng_flush(struct engine *e, struct eng_record **records, size_t *n);
void eng_records_free(struct eng_record *records, size_t n);

/* eng_batch_stored - batch @batch and all before it last */
void eng_batch_stored(struct engine *e, uint64_t batch, int64_t now_ms);

/**
 * eng_pop_ended_jobs - jobs whose end is stored, so that what was accepted can go
 * @ids: room for @most
 *
 * Each is given once.
 */
size_t eng_pop_ended_jobs(struct engine *e, uint64_t *ids, size_t most);

/* eng_job_known - whether a job was given, or has ended */
bool eng_job_known(const struct engine *e, uint64_t id);

/* eng_job_status - a job's state as callers may know it */
enum eng_job_status eng_job_status(const struct engine *e, uint64_t id);

/* eng_queue_pending - jobs of a queue of which no task has started */
size_t eng_queue_pending(const struct engine *e, struct vh_slice queue);

/**
 * struct eng_stats - for the metrics address
 */
struct eng_stats {
	uint64_t jobs;
	uint64_t waiting_tasks;
	uint64_t running_tasks;
	uint64_t starts;
	uint64_t ends_done;
	uint64_t ends_failed;
	uint64_t ends_lost;
	uint64_t advice_calls;
	uint64_t holds;
	int64_t cpu_used;
	int64_t cpu_capacity;
};

void eng_stats(const struct engine *e, struct eng_stats *out);

#endif
