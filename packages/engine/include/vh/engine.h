#ifndef VH_ENGINE_H
#define VH_ENGINE_H

/*
 * Scheduling state machine of the owner, the node that schedules the cluster:
 * jobs, tasks, workers and each team's usage. It does no I/O. Events and the
 * time are passed to the functions below; requests are issued through struct
 * eng_callbacks, which may be called from within any of these functions. Times
 * named now_ms are monotonic milliseconds. Called by the owner in the cell
 * package, and by the tests and the benchmark of this package.
 *
 * Every placement is stored before its start request is sent, and the end of
 * every run is stored before it is acknowledged to the worker. The state is
 * stored as one record per job, or several if that would be too large, collected in
 * batches: eng_flush() returns the next batch, and eng_batch_stored() confirms that it
 * is durable.
 */

#include "vh/eng_job.h"

struct engine;

/**
 * struct eng_settings - parameters of an engine
 * @fence: fencing token of this ownership; larger than any earlier one
 * @lease_ms: how long a worker may run tasks without hearing from the owner
 * @lease_max_ms: the longest lease that workers accept
 * @stop_ms: how long a worker takes to stop a task
 * @gang_ms: how long the tasks of a gang wait for each other to start
 * @former_owner_ms: how long a former owner may still renew leases
 * @entry_age_max_ms: how old a worker's entry in the fleet's list may be when a
 *		      task is started on it, 0: any age
 * @ignore_speeds: every worker counts as equally fast
 * @overload_order: at overload, order the waiting steps as eng_order.c says
 * @past_use_half_life_ms: half-life of the past use of teams, 0: it has no
 *			   effect
 * @record_bytes: the largest record of a job's state, without its key, that can be
 *		  stored; 0: not known
 */
struct eng_settings {
	uint64_t fence;
	int64_t lease_ms;
	int64_t lease_max_ms;
	int64_t stop_ms;
	int64_t gang_ms;
	int64_t former_owner_ms;
	int64_t entry_age_max_ms;
	bool ignore_speeds;
	bool overload_order;
	int64_t past_use_half_life_ms;
	size_t record_bytes;
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
	ENG_END_LEASE_EXPIRED, /* the worker's lease expired */
	ENG_END_BROKEN,
	ENG_END_ALONE
};

/* A run that a worker reports as present. */
struct eng_running_task {
	struct eng_task_ref task;
	struct vh_slice checkpoint;
};

/* The end of a run, as a worker lists it. */
struct eng_finished_task {
	int64_t number; /* counts the ends within one boot of the worker */
	struct eng_task_ref task;
	enum eng_end_reason how;
	struct vh_slice checkpoint;
};

/**
 * struct eng_worker_report - a worker's reply to a hold
 * @sent_ms: when the hold was sent
 * @boot: count of the boot that the hold was meant for, see struct eng_boot
 * @clock_ms: the worker's clock when it replied, 0: not known, or the reply was
 *	      handled long after it was sent
 * @born_ms: when this boot of the worker started, 0: not given
 */
struct eng_worker_report {
	int64_t sent_ms;
	uint32_t boot;
	int64_t clock_ms;
	int64_t born_ms;
	const struct eng_running_task *running;
	size_t n_running;
	const struct eng_finished_task *finished;
	size_t n_finished;
};

enum eng_reply {
	ENG_REPLY_OK,
	ENG_REPLY_NONE,	  /* no reply: the request may still be carried out */
	ENG_REPLY_FENCED, /* the worker has seen a newer fencing token */
	ENG_REPLY_STALE_RUN,	  /* the run was stopped or has ended there */
	ENG_REPLY_LEASE_EXPIRED,  /* the request's lease had expired */
	ENG_REPLY_NO_CAPACITY,	  /* the worker lacks free resources */
	ENG_REPLY_TICKET_EXPIRED, /* the ticket has expired */
	ENG_REPLY_OTHER_BOOT,	  /* another boot answers at the address */
	ENG_REPLY_NOT_SENT, /* no connection to the boot that it is meant for */
	ENG_REPLY_REFUSED   /* not carried out, for another reason */
};

/**
 * struct eng_boot - the boot of a worker that a request is meant for
 * @worker: its id, which another boot may have as well
 * @address: IP:PORT
 * @count: of the boots of the worker that the engine knows of; to be passed back
 *	   with the reply
 * @born_ms: when the boot started, as it says itself; 0: it does not, or has not
 *	     answered yet
 *
 * The worker does not tell its boots apart: another one with the same id carries
 * out what reaches it. So whoever sends an order (a start, a stop, or a hold with
 * a lease or an acknowledgement) makes sure that it reaches this boot or none,
 * however long it is on its way.
 */
struct eng_boot {
	struct vh_slice worker;
	struct vh_slice address;
	uint32_t count;
	int64_t born_ms;
};

/**
 * struct eng_start_request - start a task
 * @attempt: 1 for the first start of the run
 * @waited_ms: time since the run was placed, or since the last attempt
 * @not_after_ms: the start may not leave later, see eng_set_start_limit()
 * @until_ms: end of the lease, on the worker's clock
 * @ticket: empty if the queue needs none
 */
struct eng_start_request {
	struct eng_boot boot;
	struct eng_task_ref task;
	uint32_t attempt;
	int64_t waited_ms;
	int64_t not_after_ms;
	struct vh_slice payload;
	int64_t until_ms;
	struct vh_slice checkpoint;
	struct vh_slice ticket;
};

/**
 * struct eng_stop_request - stop a run
 */
struct eng_stop_request {
	struct eng_boot boot;
	struct eng_task_ref task;
};

/**
 * struct eng_hold_request - renew a worker's lease and ask for a report
 * @until_ms: end of the lease, on the worker's clock; 0: leave it unchanged
 * @acknowledged: number of the last end that is stored; 0: none
 * @wait_ms: long poll: the worker may delay its reply by this until a run ends
 *
 * "Hold" is the name of this call in the worker API. Without a lease and an
 * acknowledgement it only asks, so any boot may answer it; one that cannot be
 * sent as an order is sent without them.
 */
struct eng_hold_request {
	struct eng_boot boot;
	int64_t until_ms;
	int64_t acknowledged;
	int64_t wait_ms;
};

/**
 * struct eng_advice_request - ask the policy service who may run a step
 * @workers: ids of the workers to ask about
 * @cost_ms: how long the policy service takes to answer
 */
struct eng_advice_request {
	uint64_t job;
	uint32_t step;
	const struct vh_slice *workers;
	size_t n;
	double cost_ms;
};

/**
 * struct eng_team_usage - past use of a team, for the log and the metrics
 * @past_use_s: seconds for which its tasks would have held the whole cell,
 *		decayed; of the resource that they used most
 * @share: of the past use of all teams
 * @due_share: its weight, of that of all teams with past use
 * @delay: part of the time that its steps can wait, for which steps of other
 *	   teams may go first
 */
struct eng_team_usage {
	struct vh_slice team;
	double past_use_s;
	double share;
	double due_share;
	double delay;
};

/**
 * struct eng_usage_wait - why past use makes a step wait
 * @ahead: the team of a step that goes first
 * @ahead_job: the job of that step
 * @shift_ms: by how much later the waiting step is placed in the order
 */
struct eng_usage_wait {
	struct eng_team_usage own;
	struct eng_team_usage ahead;
	uint64_t ahead_job;
	int64_t shift_ms;
};

/**
 * struct eng_decision - one decision about a task, for the log
 * @what: constant text
 * @worker: empty if there is none
 * @need_cpu: what the task needs, in thousandths of a processor
 * @used_cpu: what is allocated on the worker, in the same unit
 * @age_ms: time since the job was accepted
 * @in_state_ms: time since the task last changed its state; for a lost run, how
 *		 long it had been starting or running
 * @lost_runs: how many runs of the task were lost with their worker
 * @born_ms: start of the worker's boot that the decision is about, 0: unknown
 * @heard_ms: time since that boot's last report, -1: none yet
 * @lease_left_ms: time until every lease on the worker is expected to be over
 * @usage: of a step that waits because of past use; NULL: another decision
 */
struct eng_decision {
	const char *what;
	struct eng_task_ref task;
	struct vh_slice worker;
	int64_t need_cpu;
	int64_t used_cpu;
	int64_t age_ms;
	int64_t in_state_ms;
	unsigned int lost_runs;
	int64_t born_ms;
	int64_t heard_ms;
	int64_t lease_left_ms;
	const struct eng_usage_wait *usage;
};

/**
 * struct eng_worker_event - a change of a worker, for the log and the metrics
 * @what: constant text
 * @problem: the worker can no longer be used
 * @born_ms: when its present boot started, 0: unknown
 * @cpu: its capacity, in thousandths of a processor
 * @used_cpu: what is allocated of it
 * @n_tasks: number of tasks assigned to it
 * @heard_ms: time since its last report, -1: none yet
 * @speed: how fast it runs tasks, 1: as usual, or not known
 * @speed_samples: from how many runs that is known
 */
struct eng_worker_event {
	const char *what;
	bool problem;
	struct vh_slice worker;
	struct vh_slice address;
	int64_t born_ms;
	int64_t cpu;
	int64_t used_cpu;
	size_t n_tasks;
	int64_t heard_ms;
	double speed;
	unsigned int speed_samples;
};

/**
 * struct eng_zone_status - an availability zone, for the log and the metrics
 * @drained_ms: time since its drain began, also if that has ended
 * @n_workers: its listed workers
 * @n_other_workers: listed workers in zones that are not drained
 * @n_tasks: tasks that are assigned to its workers
 * @prevented: starts that were not sent, not resent or stopped since the drain
 *	       began
 */
struct eng_zone_status {
	struct vh_slice zone;
	bool drained;
	int64_t drained_ms;
	size_t n_workers;
	size_t n_other_workers;
	size_t n_tasks;
	uint64_t prevented;
};

/**
 * struct eng_milestone - a job started or ended, for the metrics
 * @status: ENG_RUNNING when its first task started, or how the job ended
 * @took_ms: time since it was accepted
 */
struct eng_milestone {
	struct vh_slice queue;
	struct vh_slice team;
	enum eng_job_status status;
	int64_t took_ms;
};

/**
 * struct eng_overload_event - overload of a service's workers begins or ends
 * @active: it begins
 * @lasted_ms: for an end, time since the beginning
 * @cpu_capacity: thousandths of a processor of the usable workers
 * @free_cpu: what is free of it, counted in whole tasks of the usual size
 * @waiting_cpu: what the waiting tasks need that can still be in time
 * @at_risk_cpu: the part of it that would be late in the usual order
 * @hold_ms: how long a task holds its room
 */
struct eng_overload_event {
	struct vh_slice service;
	bool active;
	int64_t lasted_ms;
	int64_t cpu_capacity;
	int64_t free_cpu;
	int64_t waiting_cpu;
	int64_t at_risk_cpu;
	int64_t hold_ms;
};

/**
 * struct eng_waiting - what waits of one team and class during an overload
 * @priority: the class; the last one includes all higher numbers
 * @in_time: waiting tasks that are expected to end in time
 * @doubtful: that are in time only if the wait is shorter than expected
 * @late: past the objective, before the cutoff
 * @over_share: of jobs beyond the share of the team
 * @no_value: past the cutoff, or late and over the share
 * @ahead_cpu: what the steps ahead of the first of them need, in thousandths of
 *	       a processor
 * @wait_ms: expected wait of the first of them for room
 */
struct eng_waiting {
	struct vh_slice team;
	uint32_t priority;
	uint32_t in_time;
	uint32_t doubtful;
	uint32_t late;
	uint32_t over_share;
	uint32_t no_value;
	int64_t ahead_cpu;
	int64_t wait_ms;
};

/**
 * struct eng_long_wait - a step that has waited long, and what decides whether it
 * is placed
 * @task: the first of its tasks that wait
 * @reason: why it waits as last decided, constant text; may be empty
 * @waited_ms: since it could first be placed, or one of its tasks was placed
 * @asked: workers that the policy service was asked about
 * @approved: those of them that may run it
 * @tickets: those of these whose tickets are valid
 * @considered: those of @approved on which placement looks for room
 * @with_room: those of @approved that have room for a task, looked at anew
 * @advice_pending: a call to the policy service is in flight
 * @team_allows: its team's limit allows more
 * @deferred: the last pass left it out, as it has no value during an overload
 * @on_trial: @task is to run where a crash does least harm
 */
struct eng_long_wait {
	struct eng_task_ref task;
	const char *reason;
	int64_t waited_ms;
	uint32_t n_waiting;
	uint32_t asked;
	uint32_t approved;
	uint32_t tickets;
	uint32_t considered;
	uint32_t with_room;
	bool advice_pending;
	bool team_allows;
	bool deferred;
	bool on_trial;
};

/**
 * struct eng_callbacks - requests and notifications of the engine
 * @start: sends a start request; eng_start_reply() reports the result
 * @stop: sends a stop request; eng_stop_reply() reports the result
 * @hold: sends a hold; eng_worker_report() or eng_hold_failed() follows
 * @advise: calls the policy service; false if no call can be made now, then
 *	    eng_schedule() tries again
 * @advice_available: whether @advise would accept a call now; NULL: always
 * @deposed: a worker reported a newer fencing token, so ownership is lost
 * @worker_event: a worker changed; not called during recovery; may be NULL
 * @decided: logs a decision; may be NULL
 * @milestone: a job started or ended; may be NULL
 * @zone_event: the drain of a zone began or ended, or its last task has ended;
 *		@what is constant text; may be NULL
 * @elapsed_us: microseconds since any fixed time, to limit the time that
 *		eng_schedule() takes; NULL: no limit. Decides only when a pass
 *		is interrupted.
 * @overload: an overload begins or ends; may be NULL
 * @waiting: every two seconds during an overload for each team and class with
 *	     waiting tasks, and once with zeros after the last of them; may be
 *	     NULL
 * @long_wait: every two seconds for each of the steps that have waited longest, of
 *	       those that have for three seconds; may be NULL
 * @job_problem: something is wrong with a job; @what is constant text; may be NULL
 * @usage_event: the past use of a team delays its steps more, or less; @what is
 *		 constant text; may be NULL
 */
struct eng_callbacks {
	void (*start)(void *ctx, const struct eng_start_request *request);
	void (*stop)(void *ctx, const struct eng_stop_request *request);
	void (*hold)(void *ctx, const struct eng_hold_request *request);
	bool (*advise)(void *ctx, const struct eng_advice_request *request);
	bool (*advice_available)(void *ctx, double cost_ms);
	void (*deposed)(void *ctx, const char *why);
	void (*worker_event)(void *ctx, const struct eng_worker_event *w);
	void (*decided)(void *ctx, const struct eng_decision *d);
	void (*milestone)(void *ctx, const struct eng_milestone *m);
	void (*zone_event)(void *ctx, const char *what,
			   const struct eng_zone_status *z);
	int64_t (*elapsed_us)(void *ctx);
	void (*overload)(void *ctx, const struct eng_overload_event *o);
	void (*waiting)(void *ctx, const struct eng_waiting *w);
	void (*long_wait)(void *ctx, const struct eng_long_wait *w);
	void (*job_problem)(void *ctx, uint64_t job, const char *what);
	void (*usage_event)(void *ctx, const char *what,
			    const struct eng_team_usage *u);
	void *ctx;
};

/**
 * struct eng_worker_info - a worker's entry in the fleet's list
 * @born_ms: when this boot of the worker started, 0: unknown
 * @clock_ms: its own clock when it wrote the entry, 0: not given
 * @cold_ms: for how much longer its work takes longer; 0: it is warm
 * @draining: it gets no new tasks
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
	int64_t clock_ms;
	int64_t cold_ms;
	bool draining;
};

/**
 * struct eng_team - a team's share and upper limit
 * @weight: its share, in submitted jobs per second; 0: unlimited
 * @cap: resources that its tasks may use at once; 0 in a field: no limit
 */
struct eng_team {
	struct vh_slice name;
	double weight;
	struct eng_resources cap;
};

struct engine *eng_new(const struct eng_settings *s,
		       const struct eng_callbacks *callbacks, int64_t now_ms);
void eng_free(struct engine *e);

/**
 * eng_job_restore_part - passes a part of a job's state, as a former owner stored it
 * @first_task: as in struct eng_record
 * @record: empty: it was deleted
 *
 * As eng_job_restore(); a job in parts is restored by eng_recovery_done().
 */
void eng_job_restore_part(struct engine *e, uint64_t id, uint32_t first_task,
			  struct vh_slice record, int64_t now_ms);

/**
 * eng_job_restore - passes a job's record, as a former owner stored it
 *
 * Only during recovery, before or after eng_job_add(). Ignored afterwards, and
 * if the record is invalid.
 */
void eng_job_restore(struct engine *e, uint64_t id, struct vh_slice record,
		     int64_t now_ms);

/**
 * eng_learned_restore - passes a learned record, as a former owner stored it
 * @name: as in struct eng_record
 *
 * Only during recovery, in any order with the jobs. Learned records hold
 * statistics that influence the choice and the order of placements, but never
 * their correctness. Ignored if the name or the format is not known; returns
 * false then.
 */
bool eng_learned_restore(struct engine *e, struct vh_slice name,
			 struct vh_slice record, int64_t now_ms);

/* eng_job_add - a job was accepted; takes ownership of @spec; idempotent */
void eng_job_add(struct engine *e, struct eng_job_spec *spec, int64_t now_ms,
		 int64_t wall_ms);

/* eng_job_cancel - a job's cancellation was accepted */
void eng_job_cancel(struct engine *e, uint64_t id, int64_t now_ms);

/**
 * eng_set_drained_zones - sets the zones on whose workers no task may start
 *
 * Replaces the former set. Placements there that are not sent are taken back at
 * once, and runs whose start is not answered soon are stopped. Tasks that run
 * there are left alone. Zones need not have workers.
 */
void eng_set_drained_zones(struct engine *e, const struct vh_slice *zones,
			   size_t n, int64_t now_ms);

/**
 * eng_set_start_limit - bounds the age of what starts are based on
 * @not_after_ms: no start is placed, sent or resent later; INT64_MAX, as at first:
 *		  no limit
 *
 * Others cancel jobs and drain workers and zones, and are told so by the store. So
 * the caller sets the limit to when what it has passed on is too old. Starts that
 * waited go on once the limit is in the future again.
 */
void eng_set_start_limit(struct engine *e, int64_t not_after_ms,
			 int64_t now_ms);

/* eng_drained_zones - writes up to @max drained zones, returns their number */
size_t eng_drained_zones(const struct engine *e, struct eng_zone_status *out,
			 size_t max);

/* eng_team_usages - writes the past use of up to @max teams, returns their
 * number; none if the settings have no half-life */
size_t eng_team_usages(const struct engine *e, struct eng_team_usage *out,
		       size_t max);

void eng_set_teams(struct engine *e, const struct eng_team *teams, size_t n);

/* eng_worker_listed - a worker's entry was added to the list or updated */
void eng_worker_listed(struct engine *e, const struct eng_worker_info *info,
		       int64_t now_ms);

/* eng_worker_unlisted - a worker's entry was removed from the list */
void eng_worker_unlisted(struct engine *e, struct vh_slice id, int64_t now_ms);

void eng_worker_report(struct engine *e, struct vh_slice worker,
		       const struct eng_worker_report *r, int64_t now_ms);

/* eng_hold_failed - a hold failed; ENG_REPLY_FENCED: ownership is lost */
void eng_hold_failed(struct engine *e, struct vh_slice worker, uint32_t boot,
		     enum eng_reply reply, int64_t now_ms);

/* eng_start_reply, eng_stop_reply - a request was answered, or has no answer;
 * @boot is that of the request */
void eng_start_reply(struct engine *e, struct vh_slice worker, uint32_t boot,
		     struct eng_task_ref task, enum eng_reply reply,
		     int64_t now_ms);
void eng_stop_reply(struct engine *e, struct vh_slice worker, uint32_t boot,
		    struct eng_task_ref task, enum eng_reply reply,
		    int64_t now_ms);

/* A worker that may run a step, and the ticket that proves it. */
struct eng_advised_worker {
	struct vh_slice worker;
	struct vh_slice ticket;
};

/**
 * eng_advice_received - the policy service answered
 * @requested: the workers of the request
 * @approved: those of them that may run the step
 * @sent_ms: when the request was sent; tickets are valid from then on
 * @valid_ms: how long tickets are valid
 */
void eng_advice_received(struct engine *e, uint64_t job, uint32_t step,
			 const struct vh_slice *requested, size_t n_requested,
			 const struct eng_advised_worker *approved,
			 size_t n_approved, int64_t sent_ms, int64_t valid_ms,
			 int64_t now_ms);
void eng_advice_failed(struct engine *e, uint64_t job, uint32_t step,
		       int64_t now_ms);

/**
 * eng_recovery_done - all stored jobs and their records have been passed
 *
 * Nothing is placed before this call.
 */
void eng_recovery_done(struct engine *e, int64_t now_ms);

/**
 * eng_former_owners_end - former owners stop earlier than eng_settings says
 * @end_ms: from then on none of them renews a lease
 */
void eng_former_owners_end(struct engine *e, int64_t end_ms, int64_t now_ms);

/**
 * eng_schedule - makes the decisions due now; call soon after any event
 *
 * Returns false if its time was used up before all waiting steps had been
 * examined. To be called again then, once the events that have arrived have been
 * handled; it goes on with the steps not examined yet, the most urgent first.
 */
bool eng_schedule(struct engine *e, int64_t now_ms);

/**
 * struct eng_record - a record to store
 * @job: the job whose state it holds, if @name is NULL
 * @name: name of a learned record, NULL for the state of a job
 * @is_part: it holds some of the tasks of the job
 * @first_task: number of the first of these, counted through all steps
 * @bytes: empty: the record is to be deleted
 */
struct eng_record {
	uint64_t job;
	char *name;
	bool is_part;
	uint32_t first_task;
	struct vh_buf bytes;
};

/**
 * eng_flush - closes the current batch of records
 * @records: receives the array, to be freed with eng_records_free()
 *
 * The records may be stored in several appends, in the order of the array.
 *
 * Returns the batch's number, 0 if there is nothing to store.
 */
uint64_t eng_flush(struct engine *e, struct eng_record **records, size_t *n);
void eng_records_free(struct eng_record *records, size_t n);

/**
 * eng_record_refused - the store takes no record as large as one of a job's state
 * @bytes: the size of that record's value
 * @records: receives the job's state anew, in smaller records, which take the place of
 *	     those of the same batch
 *
 * Returns false if it cannot be divided further; see eng_job_unstored() then.
 */
bool eng_record_refused(struct engine *e, uint64_t job, size_t bytes,
			struct eng_record **records, size_t *n);

/**
 * eng_job_unstored - the store refuses a job's state for good
 *
 * Until it takes it, no task of the job starts; those that were to be started with the
 * batch do not. It is tried again from time to time. All other jobs go on.
 */
void eng_job_unstored(struct engine *e, uint64_t job, int64_t now_ms);

/* eng_batch_stored - @batch and all batches before it are durable, but for jobs passed
 * to eng_job_unstored() */
void eng_batch_stored(struct engine *e, uint64_t batch, int64_t now_ms);

/**
 * struct eng_ended_job - a job that has ended
 * @state_batch: batch of its newest record; 0: a former owner stored it
 * @stored_batch: newest batch that was durable when this was filled in
 */
struct eng_ended_job {
	uint64_t id;
	enum eng_job_status status;
	uint64_t state_batch;
	uint64_t stored_batch;
};

/**
 * eng_pop_ended_jobs - returns ended jobs whose stored input can be deleted
 * @jobs: room for @max jobs
 *
 * The last state of these jobs is stored, so also that none of their tasks is
 * on a worker any more. Each job is returned once.
 */
size_t eng_pop_ended_jobs(struct engine *e, struct eng_ended_job *jobs,
			  size_t max);

/**
 * eng_states_without_job - lists jobs of which only the state was read
 * @jobs: room for @max jobs
 *
 * Returns their number, which may be larger than @max. A state that names
 * workers cannot be used without the job's input. After recovery there is none,
 * unless the input was deleted too early.
 */
size_t eng_states_without_job(const struct engine *e,
			      struct eng_ended_job *jobs, size_t max);

/* eng_job_known - whether a job was added or has ended */
bool eng_job_known(const struct engine *e, uint64_t id);

/**
 * eng_job_status - a job's status as callers may see it
 *
 * The end of a job is visible once it is stored; a cancellation is visible as
 * soon as it is accepted.
 */
enum eng_job_status eng_job_status(const struct engine *e, uint64_t id);

/* eng_queue_pending - number of a queue's jobs without a started task */
size_t eng_queue_pending(const struct engine *e, struct vh_slice queue);

/**
 * struct eng_stats - counters and gauges for the metrics
 * @jobs: known jobs, including those that have ended
 * @waiting_tasks: tasks of runnable steps that are not assigned to a worker
 * @running_tasks: tasks that are assigned to a worker, started or not
 * @starts: start requests sent, including repeated ones
 * @ends_lost: runs that a worker refused, or that were lost without a reported
 *	       end
 * @zone_starts_prevented: starts prevented by drained zones
 * @workers_examined: how often a worker was examined, for a step or for itself;
 *		      the cost of scheduling in a unit that a test can count
 * @cpu_used: thousandths of a processor allocated on all workers
 * @cpu_capacity: the same unit, of the listed workers
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
	uint64_t zone_starts_prevented;
	uint64_t workers_examined;
	int64_t cpu_used;
	int64_t cpu_capacity;
};

void eng_stats(const struct engine *e, struct eng_stats *out);

#endif
