#ifndef ENG_PRIV_H
#define ENG_PRIV_H

/*
 * State of the engine and the functions that its sources share. Internal to the
 * package; included by all of its sources except eng_job.c.
 */

#include <glib.h>

#include "vh/engine.h"
#include "vh/ratio_hist.h"

#define SPEED_SAMPLES 25      /* newest samples of a worker's speed */
#define SPEED_FAST_COST 30.0  /* per unit of slowness, for urgent steps */
#define SPEED_SLOW_BONUS 12.0 /* the same, for steps with slack */
#define SPEED_CLASSES 64      /* distance between kinds of eng_speed_class() */
#define STEP_TIMES 16	      /* newest run times of a step */

/*
 * TASK_WAITING	    not assigned to a worker
 * TASK_STORING	    assigned; its record is not stored yet, nothing was sent
 * TASK_STARTING    a start request was sent
 * TASK_RUNNING	    the worker confirmed that it runs
 * TASK_UNCONFIRMED it may be on its worker; the next report decides
 * TASK_STOPPING    it is being stopped; its resources are still in use
 */
enum task_state {
	TASK_WAITING,
	TASK_STORING,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_UNCONFIRMED,
	TASK_STOPPING
};

/*
 * LOSS_UNPROVEN  the worker fell silent, or it crashed for another reason
 * LOSS_CANDIDATE the worker fell silent, and the run may be the cause
 * LOSS_CRASH	  the worker crashed
 * LOSS_SUSPECT	  the worker crashed, and the run may be the cause
 */
enum loss_kind {
	LOSS_UNPROVEN,
	LOSS_CANDIDATE,
	LOSS_CRASH,
	LOSS_SUSPECT
};

/**
 * struct loss - a run of a task that was lost with its worker
 * @started: the worker had confirmed the start
 */
struct loss {
	uint32_t run;
	enum loss_kind kind;
	bool started;
};

/* A run that was on a worker when it was lost. */
struct lost_run {
	struct eng_task_ref task;
	bool started;	/* the worker had confirmed the start */
	bool candidate; /* may be the cause of a crash */
};

/**
 * struct task
 * @failed_runs: bitmap of the runs that failed, by run number modulo 64; a
 *		 worker lists an end again if the former owner did not
 *		 acknowledge it, so a counter would count it twice
 * @done: the task or its gang has finished; its resources may still be in use
 * @request_pending: a start or stop request has no reply yet
 * @preempt_count: how often it was stopped to make room for a gang
 * @since_ms: when @state was entered or a stop was last sent
 * @first_sent_ms: when its run was first sent to the worker; 0: not by this owner
 * @confirmed: the worker confirmed that it runs, or ran
 * @stop_acked_ms: when its worker accepted a stop, 0: not yet
 * @store_batch: batch that stores the placement
 * @last_report: serial number of the last report that listed it as running
 * @losses: array of struct loss, NULL: none
 */
struct task {
	struct step *step;
	uint32_t index;
	uint32_t run;
	uint64_t failed_runs;
	enum task_state state;
	bool done;
	bool request_pending;
	unsigned int start_attempts;
	unsigned int preempt_count;
	int64_t since_ms;
	int64_t first_sent_ms;
	bool confirmed;
	int64_t stop_acked_ms;
	uint64_t store_batch;
	uint64_t last_report;
	struct worker *worker;
	struct vh_slice checkpoint;
	GArray *losses;
};

/* What the policy service answered about one worker for one step. */
struct worker_advice {
	bool approved;
	char *ticket;
	int64_t expires_ms;
};

#define ENG_PARTS_MAX 64     /* of a cell, see eng_scan_begin() */
#define PART_WORKERS 400     /* least size of a part of a cell */
#define LATENCY_BUCKETS 13   /* of the start latency, which is bounded */
#define LATENCY_BUCKET_MS 25 /* when workers are sorted by latency */
#define ORDER_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

/* A set of workers, as a bitmap of their positions. */
struct worker_set {
	uint64_t *words;
	guint n_words;
};

/* A worker that the policy service has approved for a step. */
struct approval {
	struct worker *w;
	struct worker_advice *advice;
};

/* A run that is done, and how long it took. */
struct timed_run {
	struct worker *w;
	double run_ms;
};

enum tier {
	TIER_IN_TIME,
	TIER_LATE,
	TIER_OVER_SHARE, /* in time, but beyond the share of its team */
	TIER_LAST	 /* past the cutoff, or late and over the share */
};

/* Order within a tier at overload. */
enum band {
	BAND_FLOOR,   /* its team or class is short of its minimum share */
	BAND_CAN,     /* expected to end before the limit of its tier */
	BAND_DOUBTFUL /* only if the wait for room is shorter than expected */
};

/**
 * struct step
 * @n_waiting: tasks that are neither done nor assigned to a worker
 * @n_placed: tasks that are assigned to a worker
 * @failed_runs: failed runs of a gang, a bitmap as in struct task
 * @critical_path_ms: declared time from the start of this step to the end of
 *		      the job, along the longest chain of steps
 * @path_work_ms: the same without the calls to the policy service
 * @timed: the newest STEP_TIMES runs that are done, NULL: none
 * @n_timed: how many were added
 * @usual_ms: what its tasks take at the usual speed, 0: unknown
 * @min_speed: workers from this speed on are fast enough, see eng_speed_plan()
 * @next_speed_ms: when that is calculated again
 * @any_in_time: all of these suit it alike; if not, the slower ones do better
 * @runnable: in the engine's list of steps with tasks to place
 * @advice_pending: a call to the policy service is in flight
 * @next_advice_ms: earliest time of the next call to the policy service
 * @advice_by_worker: struct worker to struct worker_advice
 * @approved: struct approval, in the order of the answers; the workers of
 *	      @advice_by_worker that may run the step
 * @rooms: index of the workers that match the step, NULL: not looked up yet
 * @asked_set: positions of the workers in @advice_by_worker
 * @approved_set: positions of the approved workers
 * @open: struct approval, the approved workers that had room when the step was
 *	  last examined, or were approved since
 * @seen_pass: the last pass that examined it
 * @tier: position in the order of placement, an enum tier
 * @order_ms: @latest_start_ms, shifted by its team's past use
 * @usage_level_reported: the team's level when it was last reported that the
 *			  step waits because of past use
 * @wait_reason: why its tasks wait, constant text; NULL: not reported yet
 * @reservations: of a waiting gang: struct reservation, the workers that it
 *		  is expected to fit on
 * @reservation_active: resources are kept free for @reservations
 * @enough_advised: the approved workers have room for the whole gang, now or
 *		    once running tasks have ended
 * @est_wait_ms: estimated time from the choice of @reservations until all of
 *		 them are free
 * @plan_expires_ms: when @reservations are chosen again
 * @next_preempt_ms: earliest time of the next preemption for this gang
 * @has_losses: some of its tasks had losses
 * @ranked: its service is overloaded; the next three order it then
 * @band: position within the tier
 * @begun: some task of the job has started
 * @remaining_work: of the job's waiting tasks, see eng_step_work()
 * @ahead_cpu: what the steps before it need, in thousandths of a processor
 */
struct step {
	struct job *job;
	uint32_t number;
	const struct eng_step_spec *spec;
	struct task *tasks;
	uint32_t n_done;
	uint32_t n_waiting;
	uint32_t n_placed;
	uint64_t failed_runs;
	int64_t critical_path_ms;
	int64_t path_work_ms;
	struct timed_run *timed;
	guint n_timed;
	double usual_ms;
	double min_speed;
	int64_t next_speed_ms;
	bool any_in_time;
	bool runnable;
	bool advice_pending;
	int64_t next_advice_ms;
	GHashTable *advice_by_worker;
	GArray *approved;
	const struct room_index *rooms;
	struct worker_set asked_set;
	struct worker_set approved_set;
	GArray *open;
	uint64_t seen_pass;
	enum tier tier;
	int64_t latest_start_ms;
	int64_t order_ms;
	int usage_level_reported;
	const char *wait_reason;
	GArray *reservations;
	bool reservation_active;
	bool enough_advised;
	int64_t est_wait_ms;
	int64_t plan_expires_ms;
	int64_t next_preempt_ms;
	bool has_losses;
	bool ranked;
	enum band band;
	bool begun;
	double remaining_work;
	int64_t ahead_cpu;
};

/* Priorities that are told apart at overload; higher ones share the last. */
#define ENG_CLASSES 8

/**
 * struct floor - minimum share of the placements for one team or class
 * @deficit: work that it is short of its minimum, see eng_step_work()
 * @placed: work placed since the last pass
 * @left: work to place first in this pass
 * @waiting: it has steps that could be placed in time
 */
struct floor {
	double deficit;
	double placed;
	double left;
	bool waiting;
};

/**
 * struct pool - the workers of one service and the steps that wait for them
 * @service: interned
 * @capacity: of the usable workers
 * @free_cpu: of @capacity, in whole tasks of the usual size
 * @waiting_cpu: what waiting tasks need that can be in time
 * @waiting_tasks: their number
 * @waiting_work: the same, times their usual duration
 * @at_risk_cpu: the part of @waiting_cpu that the usual order makes late
 * @ahead_cpu: needs of the steps looked at so far, in a walk along the order
 * @hold_work: sum of @hold_cpu times how long it was held
 * @hold_cpu: what ended runs held, decaying
 * @overloaded: the order for overload is in force
 * @since_ms: when the present overload began
 * @change_since_ms: since when the inputs contradict @overloaded, 0: they do not
 * @others_wait: steps that may have a value wait, in the current pass
 * @urgent_arrived: work of urgent jobs since @urgent_from_ms, in thousandths of
 *		    a processor times milliseconds
 * @urgent_rate: moving average of the processors that these arrivals keep busy
 * @urgent_used: what urgent tasks hold now
 * @headroom: thousandths of a processor kept free of the least urgent work
 */
struct pool {
	const char *service;
	struct eng_resources capacity;
	int64_t free_cpu;
	int64_t waiting_cpu;
	int64_t waiting_tasks;
	double waiting_work;
	int64_t at_risk_cpu;
	int64_t ahead_cpu;
	double hold_work;
	double hold_cpu;
	bool overloaded;
	int64_t since_ms;
	int64_t change_since_ms;
	bool others_wait;
	double urgent_arrived;
	int64_t urgent_from_ms;
	double urgent_rate;
	int64_t urgent_used;
	int64_t headroom;
};

/* Resources for @slots tasks of a gang, reserved on one worker. */
struct reservation {
	struct worker *w;
	uint32_t slots;
};

/* Amounts of resources, times the seconds for which tasks held them. */
struct resource_seconds {
	double cpu_milli;
	double mem_mb;
	double gpu;
};

/**
 * struct team_usage - past use of a team
 * @held: decayed until @charged_ms
 * @charged_ms: time up to which @held includes the team's tasks
 * @inherited: from the former owner's record, added to @held after recovery
 * @written: @held as last passed to the store
 * @past_use_s: @held as seconds of the whole cell, at the last refresh
 * @level: how much it delays the team's steps, 0: not at all
 * @ranked: @level was set
 */
struct team_usage {
	struct resource_seconds held;
	int64_t charged_ms;
	struct resource_seconds inherited;
	struct resource_seconds written;
	double past_use_s;
	int level;
	bool ranked;
};

/**
 * struct team
 * @weight: rate of the team's token bucket: jobs per second that it may submit
 *	    within its share; 0: unlimited
 * @cap: upper limit of @used; 0 in a field: no limit
 * @share_tokens: tokens in the bucket at @share_refilled_ms
 * @floor: at overload
 * @waiting: what waits by class, in the report of a running overload
 * @reported: in the engine's list of teams in that report
 */
struct team {
	char *name;
	double weight;
	struct eng_resources cap;
	struct eng_resources used;
	double share_tokens;
	int64_t share_refilled_ms;
	struct floor floor;
	struct eng_waiting waiting[ENG_CLASSES];
	bool reported;
	struct team_usage usage;
};

/**
 * struct queue - statistics of one queue
 * @approval_rate: moving average of the share of workers that the policy
 *		   service approved
 * @ratios: histogram of the ratio of a run's time, at the usual speed, to its
 *	    estimate
 * @n_ratios: sum of @ratios
 * @ratios_unstored: samples since the histogram was stored
 * @usual_ratio: their median; 1 until there are enough
 * @high_ratio: their 90th percentile, in the same way
 * @reliable: there are enough, and most of them are close to the median
 * @pending: jobs of which no task has started
 */
struct queue {
	char *name;
	double approval_rate;
	uint16_t ratios[VH_RATIO_BUCKETS];
	uint32_t n_ratios;
	uint32_t ratios_unstored;
	double usual_ratio;
	double high_ratio;
	bool reliable;
	size_t pending;
};

/**
 * struct job
 * @spec: NULL before eng_job_add(), and again once the job has ended and none
 *	  of its tasks is placed
 * @stored_record: state stored by the former owner, kept until @spec is known
 * @service: name of the workers that run it, interned
 * @pool: these workers
 * @remaining_work: of its waiting tasks, in the pass @ranked_pass
 * @status_batch: batch that stores the end of the job; callers may see the end
 *		  once it is durable
 * @started: some task has started, or the job has ended
 * @dirty: in the engine's list of jobs to store
 * @over_share: its team had exceeded its share when the job was submitted
 * @due_ms: deadline of its objective
 * @cutoff_ms: completing the job later has no value
 */
struct job {
	uint64_t id;
	struct eng_job_spec *spec;
	struct vh_buf stored_record;
	struct team *team;
	struct queue *queue;
	const char *service;
	struct pool *pool;
	double remaining_work;
	uint64_t ranked_pass;
	struct step *steps;
	size_t n_steps_done;
	enum eng_job_status status;
	uint64_t status_batch;
	bool cancelled;
	bool started;
	bool dirty;
	bool over_share;
	int64_t accepted_ms;
	int64_t due_ms;
	int64_t cutoff_ms;
};

/**
 * struct zone - an availability zone
 * @drained: no task may start on its workers
 * @empty_reported: that its last task has ended was reported in this drain
 * @drained_at_ms: when the drain began
 * @prevented: starts prevented in this drain
 * @n_tasks, @cpu, @used_cpu: sums of its workers, counted while some zone is
 *			      drained
 */
struct zone {
	char *name;
	bool drained;
	bool empty_reported;
	int64_t drained_at_ms;
	uint64_t prevented;
	size_t n_tasks;
	int64_t cpu;
	int64_t used_cpu;
};

/**
 * struct speed - speed of a worker, relative to the others
 * @value: 1: usual, 2: its tasks take half of the usual time
 * @known: from enough samples; @value is 1 if not
 * @slowness: time of a run beyond the usual, per usual time
 * @log_median: logarithm of the median of the samples, significant or not
 * @rank: of slowness, in half powers of two
 * @slow: it was reported as slow
 * @samples: ring of the newest samples
 * @n: number of samples
 * @next: where the next one goes
 * @n_overdue: samples of overdue runs in @value
 * @sampled_ms: when the newest was added
 * @kept_ms: when a sample was last added or dropped
 * @stored: @value as stored, 0: not stored
 */
struct speed {
	double value;
	double slowness;
	double log_median;
	bool known;
	int rank;
	bool slow;
	double samples[SPEED_SAMPLES];
	unsigned int n;
	unsigned int next;
	size_t n_overdue;
	int64_t sampled_ms;
	int64_t kept_ms;
	double stored;
};

/**
 * struct worker
 * @index: position in the engine's list of workers
 * @service: interned, so that equal names are equal pointers
 * @reserved: resources reserved for gangs, in the current placement pass
 * @reserved_at_ms: when resources of the worker were last reserved
 * @born_ms: boot time, which identifies the boot; 0: unknown
 * @listed: in the fleet's list
 * @entry_born_ms: the boot that wrote its entry there, 0: not given
 * @entry_clock_ms: that boot's clock then, 0: not given
 * @zone_drained: copy of @zone's state, read for each waiting step
 * @fenced: answered a hold with our fencing token, in this boot
 * @report_needed: the next hold asks for an immediate reply; it is sent even if
 *		   the worker has no tasks, or ends that are not stored yet
 * @hold_failures: consecutive holds without an answer
 * @lease_until_ms: end of the longest lease sent, on the worker's clock
 * @clock_ms: the worker's clock in its last report
 * @clock_at_ms: our time when that report arrived; the worker's clock reads at
 *		 least @clock_ms then. 0: no report yet
 * @lease_expired_ms: our time by which every lease sent has expired and the
 *		      worker has stopped its tasks
 * @processed: number of the last end that was applied to the state
 * @acknowledged: number of the last end that is stored
 * @ack_batch: batch that stores the ends up to @processed
 * @avoid_until_ms: no task is placed on the worker before this time
 * @start_latency_ms: moving average of its reply times to starts; 0: unknown
 * @failure_score: rises with failed runs and refused starts, decays with
 *		   successful runs
 * @speed: how fast it runs its tasks
 * @silent_until_ms: when it answered again after it had not
 * @boot_over: another boot answers at its address
 * @alive_ms: when it last answered a request
 * @lost_runs: array of struct lost_run: what was on it when its lease expired,
 *	       until it is known whether it has crashed
 * @lost_at_ms: when these were lost
 * @hidden: not in the index of free resources, since it was not usable
 * @counted_cpu: its part of the engine's cpu_capacity
 * @ack_pending: in the engine's list of workers with ends to acknowledge
 * @trial: a task on it whose start, or whole run, is on trial; NULL: none
 * @cold_until_ms: its work takes longer until then, 0: it is warm
 *
 * Each pass reads the fields up to @avoid_until_ms for each worker and step, so
 * rarely used ones come last: one field more before @listed cost 3 % of a pass.
 */
struct worker {
	char *id;
	guint index;
	const char *service;
	char *address;
	struct zone *zone;
	char **labels;
	struct eng_resources capacity;
	struct eng_resources used;
	struct eng_resources reserved;
	int64_t reserved_at_ms;
	int64_t born_ms;
	int64_t entry_born_ms;
	int64_t entry_clock_ms;
	bool listed;
	bool draining;
	bool zone_drained;
	bool fenced;
	bool hold_pending;
	bool report_needed;
	unsigned int hold_failures;
	int64_t next_hold_ms;
	int64_t lease_until_ms;
	int64_t clock_ms;
	int64_t clock_at_ms;
	int64_t lease_expired_ms;
	int64_t processed;
	int64_t acknowledged;
	uint64_t ack_batch;
	int64_t avoid_until_ms;
	double start_latency_ms;
	double failure_score;
	struct speed speed;
	int64_t silent_until_ms;
	bool boot_over;
	int64_t alive_ms;
	GArray *lost_runs;
	int64_t lost_at_ms;
	bool hidden;
	int64_t counted_cpu;
	bool ack_pending;
	struct task *trial;
	GPtrArray *tasks;
	int64_t cold_until_ms;
};

#define USAGE_PRIORITIES 8u /* the lowest ones count as one */

/**
 * struct usage_ahead - of the steps that were passed in the order of placement,
 * and have one tier and priority, the one with the last latest start
 * @team: NULL: none yet
 */
struct usage_ahead {
	double tier;
	uint32_t priority;
	int64_t latest_start_ms;
	uint64_t job;
	const struct team *team;
};

/**
 * struct usage - past use of all teams, at the last refresh
 * @refreshed_ms: when that was, 0: not yet
 * @capacity: of all listed workers
 * @mean_weight: of the teams that have a weight
 * @active_weight: sum of the weights of the teams with past use
 * @total_s: sum of the past use of all teams
 * @mean_s: their past use by weight
 * @prior_s: added to each team's past use by weight
 * @longest_ms: the longest estimate of the runnable steps, by priority
 * @ahead: in the present pass
 */
struct usage {
	int64_t refreshed_ms;
	struct eng_resources capacity;
	double mean_weight;
	double active_weight;
	double total_s;
	double mean_s;
	double prior_s;
	int64_t longest_ms[USAGE_PRIORITIES];
	struct usage_ahead ahead;
};

/**
 * struct engine
 * @deposed: a worker reported a newer fencing token; nothing is sent any more
 * @restoring: a stored record is being applied, so no new one is needed
 * @jobs: id to struct job
 * @workers: id to struct worker
 * @worker_list: the same workers, for iteration
 * @zones: name to struct zone, of all workers and drains
 * @n_drained_zones: number of the zones that are drained
 * @zones_outdated: see eng_drained_zones_outdated()
 * @teams: name to struct team
 * @queues: name to struct queue
 * @runnable_steps: steps with tasks to place
 * @dirty: jobs to store
 * @storing: tasks whose placement is not stored yet
 * @ended_jobs: ids for eng_pop_ended_jobs()
 * @open_batch: number of the batch being collected
 * @stored_batch: number of the last stored batch
 * @store_latency_ms: time that a placement takes to be stored
 * @next_learned_ms: when learned records are stored next
 * @mean_speed: geometric mean of the speeds of the listed workers
 * @speed_noise: mean distance of the logarithms of samples of a worker from
 *		 their median
 * @n_noise: samples in @speed_noise
 * @next_speeds_ms: when overdue runs are looked for next
 * @scheduled_ms: when eng_schedule() was last called
 * @stalled_ms: when it was called again after a pause too long to tell when
 *		runs ended
 * @restored_speeds: id to struct restored of eng_speed_record.c
 * @next_speed_group: group of workers whose speeds are stored next
 * @reserved_cpu: thousandths of a processor reserved for gangs, in the current
 *		  placement pass
 * @cpu_capacity: thousandths of a processor of all listed workers
 * @room_indexes: struct room_index, see eng_index.c
 * @hidden_workers: workers that the indexes leave out
 * @reserved_workers: workers with resources reserved for gangs
 * @failing_workers: workers whose failure score has reached the limit
 * @unacknowledged: workers with ends that are not acknowledged
 * @poll_due_ms: by position of a worker, when it is polled next
 * @poll_cursor: position from which all workers are polled in turn
 * @pass: number of the present placement pass, or of the last one
 * @pass_interrupted: some steps were not examined in the present pass yet
 * @grown: workers on which room grew since the pass began
 * @grown_before_pass: the same, from the beginning of the pass before
 * @no_advice_cost_ms: calls of the policy service that cost as much were not
 *		       available in this pass; 0: none refused
 * @pools: struct pool, one per service
 * @advice_wanted: in the current pass, a step of an overloaded service that may
 *		   have a value waits for advice
 * @class_floors: by class, at overload
 * @ranked_pass: number of the last pass in the order for overload
 * @next_waiting_ms: when what waits is reported next
 * @reported_teams: struct team, those in the report of what waits
 */
struct engine {
	struct eng_settings settings;
	struct eng_callbacks callbacks;
	bool ready;
	bool deposed;
	bool restoring;
	bool zones_outdated;
	GHashTable *jobs;
	GHashTable *workers;
	GPtrArray *worker_list;
	GHashTable *zones;
	size_t n_drained_zones;
	GHashTable *teams;
	GHashTable *queues;
	GPtrArray *runnable_steps;
	GPtrArray *dirty;
	GQueue storing;
	GArray *ended_jobs;
	uint64_t open_batch;
	uint64_t stored_batch;
	uint64_t report_serial;
	int64_t store_latency_ms;
	int64_t next_learned_ms;
	double mean_speed;
	double speed_noise;
	guint n_noise;
	int64_t next_speeds_ms;
	int64_t scheduled_ms;
	int64_t stalled_ms;
	GHashTable *restored_speeds;
	guint next_speed_group;
	int64_t reserved_cpu;
	int64_t cpu_capacity;
	GPtrArray *room_indexes;
	GPtrArray *hidden_workers;
	GPtrArray *reserved_workers;
	GPtrArray *failing_workers;
	GPtrArray *unacknowledged;
	GArray *poll_due_ms;
	guint poll_cursor;
	uint64_t pass;
	bool pass_interrupted;
	struct worker_set grown;
	struct worker_set grown_before_pass;
	double no_advice_cost_ms;
	GPtrArray *pools;
	bool advice_wanted;
	struct floor class_floors[ENG_CLASSES];
	uint64_t ranked_pass;
	int64_t next_waiting_ms;
	GPtrArray *reported_teams;
	int64_t now_ms;
	struct usage usage;
	struct eng_stats stats;
};

/* eng_tasks.c: life cycle of a task */
/* eng_find_task - the task of @ref, whatever its run; NULL: no such task */
struct task *eng_find_task(struct engine *e, struct eng_task_ref ref);
struct eng_task_ref eng_task_ref(const struct task *t);
/* eng_resources_add - adds (@sign 1) or subtracts (-1) one task's needs */
void eng_resources_add(struct eng_resources *to, const struct eng_step_spec *s,
		       int sign);
void eng_task_set_state(struct engine *e, struct task *t, enum task_state s);
/* eng_task_confirm - its worker says that the current run is there */
void eng_task_confirm(struct engine *e, struct task *t);
/* eng_task_assign - allocates the resources; the caller sets the state */
void eng_task_assign(struct engine *e, struct task *t, struct worker *w);
/* eng_task_release - takes a task off its worker and frees its resources */
void eng_task_release(struct engine *e, struct task *t);
void eng_task_stop(struct engine *e, struct task *t);
/* eng_task_lost - the current run is not on its worker and will never be */
void eng_task_lost(struct engine *e, struct task *t, const char *reason);
/* eng_task_ended - a worker listed an end for the first time */
void eng_task_ended(struct engine *e, struct task *t,
		    const struct eng_finished_task *f);
/* eng_task_started - a worker confirmed that the task has started */
void eng_task_started(struct engine *e, struct task *t);
/* eng_task_send - starts a task whose placement is stored, if it still may */
void eng_task_send(struct engine *e, struct task *t);
/* eng_retry_due_ms - when eng_retry_requests() is due; INT64_MAX: never */
int64_t eng_retry_due_ms(const struct worker *w);
/* eng_retry_requests - resends starts and stops that got no reply */
void eng_retry_requests(struct engine *e, struct worker *w);

/* engine.c: jobs */
/* eng_intern - the one copy of a name, never freed */
const char *eng_intern(struct vh_slice name);
void eng_job_mark_dirty(struct engine *e, struct job *j);
/* eng_queue_get - finds a queue or creates it */
struct queue *eng_queue_get(struct engine *e, struct vh_slice name);
/* eng_milestone - reports a job's start or end, except during recovery */
void eng_milestone(struct engine *e, const struct job *j,
		   enum eng_job_status status);
void eng_job_end(struct engine *e, struct job *j, enum eng_job_status status);
/* eng_step_update - adds a step to the runnable list or removes it */
void eng_step_update(struct engine *e, struct step *s);
bool eng_step_deps_done(const struct step *s);
/* eng_job_reclaim - frees an ended job's steps and spec once they are unused */
void eng_job_reclaim(struct engine *e, struct job *j);
bool eng_job_active(const struct job *j);
/* eng_send_stored - sends the starts whose placement is stored */
void eng_send_stored(struct engine *e);
void eng_report_decision(struct engine *e, const char *what,
			 const struct task *t, const struct worker *w);
/* eng_report_usage_wait - reports that a step waits because of past use */
void eng_report_usage_wait(struct engine *e, const struct step *s,
			   const struct eng_usage_wait *wait);

/* eng_team.c */
struct team *eng_team_get(struct engine *e, struct vh_slice name);
void eng_team_free(gpointer team);
/* eng_team_quota_allows - the team's limit allows @n more tasks of a step */
bool eng_team_quota_allows(const struct step *s, int64_t n);
/* eng_team_take_token - counts a submitted job; false: exceeds the share */
bool eng_team_take_token(struct team *t, int64_t now_ms);

/* eng_workers.c */
/* eng_worker_get - finds a worker or creates an unlisted one */
struct worker *eng_worker_get(struct engine *e, struct vh_slice id);
/* eng_worker_find - NULL if the worker is not known */
struct worker *eng_worker_find(struct engine *e, struct vh_slice id);
void eng_worker_set_address(struct worker *w, struct vh_slice address);
void eng_worker_restarted(struct engine *e, struct worker *w, int64_t born_ms);
/* eng_worker_boot_over - another boot, with another id, has taken its place */
void eng_worker_boot_over(struct engine *e, struct worker *w);
void eng_worker_record_latency(struct worker *w, int64_t latency_ms);
/* eng_latency_matters - the step is short, so that start latency matters */
bool eng_latency_matters(const struct step *s);
/* eng_worker_latency_ms - start latency; 0 if the critical path is long */
double eng_worker_latency_ms(const struct worker *w, const struct step *s);
/* eng_worker_report_event - reports a change; @problem: it cannot be used */
void eng_worker_report_event(struct engine *e, const struct worker *w,
			     const char *what, bool problem);
bool eng_worker_usable(const struct engine *e, const struct worker *w);
/* eng_worker_accepts - whether a task that is assigned to it may be started:
 * its capacity is known and not exceeded, and it does not drain */
bool eng_worker_accepts(const struct engine *e, const struct worker *w);
/**
 * eng_worker_grant_lease - extends the lease that is to be sent to a worker
 *
 * Returns its end on the worker's clock, 0 if that clock is not known. The
 * lease of an unreachable worker is not extended.
 */
int64_t eng_worker_grant_lease(struct engine *e, struct worker *w);
/* eng_worker_touch - its state has changed, so it is polled at the next pass */
void eng_worker_touch(struct engine *e, const struct worker *w);
/* eng_poll_workers - sends due holds, resends requests, expires leases */
void eng_poll_workers(struct engine *e);

/* eng_zone.c: drained zones and cold workers */
/* eng_zone_get - finds a zone or creates one */
struct zone *eng_zone_get(struct engine *e, struct vh_slice name);
void eng_zone_free(gpointer zone);
/* eng_zone_clear_worker - follows a change of the worker's zone or its state: if
 * drained, takes back reservations and what may still start on the worker */
void eng_zone_clear_worker(struct engine *e, struct worker *w);
/* eng_zone_prevented - counts a start that a drain prevents */
void eng_zone_prevented(struct engine *e, struct task *t);
/* eng_poll_zones - clears drained zones; called before each pass */
void eng_poll_zones(struct engine *e);
/* eng_worker_set_cold - ignores times that cannot be meant */
void eng_worker_set_cold(struct engine *e, struct worker *w,
			 int64_t remaining_ms);
/* eng_zone_cost - part of the placement cost: avoids cold workers, and spreads
 * the work over the other zones while one is drained */
double eng_zone_cost(const struct engine *e, const struct step *s,
		     const struct worker *w);

/* eng_loss.c: runs that are lost with their workers */
/* eng_task_losses - how many runs of a task were lost */
unsigned int eng_task_losses(const struct task *t);
/* eng_task_needs_trial - it is to run where a crash does least harm */
bool eng_task_needs_trial(const struct task *t);
/* eng_worker_trial_starting - a task on trial has not run for long */
bool eng_worker_trial_starting(const struct engine *e, const struct worker *w);
/* eng_worker_trial_active - the task on trial may still crash the worker */
bool eng_worker_trial_active(const struct engine *e, const struct worker *w);
void eng_loss_add(struct task *t, const struct loss *l);
/* eng_loss_remove - a run turned out not to be lost with its worker */
void eng_loss_remove(struct engine *e, struct task *t, uint32_t run);
/* eng_loss_limit_reached - the task must not be started any more */
bool eng_loss_limit_reached(const struct task *t);
/* eng_job_give_up - fails the job of a task whose limit is reached */
void eng_job_give_up(struct engine *e, struct task *t);
/* eng_worker_crashed - the boot of a worker is proven to be over */
void eng_worker_crashed(struct engine *e, struct worker *w, const char *reason);
/* eng_worker_lease_expired - a silent worker has stopped its tasks by now */
void eng_worker_lease_expired(struct engine *e, struct worker *w);
/* eng_worker_survived - a silent worker answers, still in the same boot */
void eng_worker_survived(struct engine *e, struct worker *w);
/* eng_worker_needs_proof - whether a silent worker has crashed matters */
bool eng_worker_needs_proof(const struct engine *e, const struct worker *w);

/* eng_record.c */
void eng_record_pack(const struct job *j, struct vh_buf *out);
bool eng_record_apply(struct engine *e, struct job *j, struct vh_slice bytes);
/**
 * eng_record_status - reads the status in a record
 * @placed: whether the record has steps; for an ended job: whether some of its
 *	    tasks were placed
 *
 * Returns false if the record is invalid.
 */
bool eng_record_status(struct vh_slice bytes, enum eng_job_status *status,
		       bool *placed);

/* eng_place.c */
/* eng_worker_failed - a run failed on a worker, or it refused a start */
void eng_worker_failed(struct engine *e, struct worker *w);
/* eng_place_steps - false if its time was used up, as in eng_schedule() */
bool eng_place_steps(struct engine *e);

/* eng_learned.c: statistics that a new owner takes over */
/* eng_learned_due - whether eng_learned_pack() would be called now */
bool eng_learned_due(const struct engine *e);
/* eng_learned_pack - appends learned records (struct eng_record) that changed */
void eng_learned_pack(struct engine *e, GArray *records);
/* eng_learned_add - appends an empty record and returns its buffer */
struct vh_buf *eng_learned_add(GArray *records, char prefix,
			       struct vh_slice name);

/* eng_usage.c: past use of teams; without effect if the settings have no
 * half-life */
#define USAGE_RECORD_PREFIX 'u'
/* eng_usage_charge - charges the team for what it holds; called before that
 * changes */
void eng_usage_charge(struct engine *e, struct team *t);
/* eng_usage_refresh - computes the levels of all teams, once a second */
void eng_usage_refresh(struct engine *e);
/* eng_usage_begin_pass - called before the steps of a pass are ordered */
void eng_usage_begin_pass(struct engine *e);
/**
 * eng_usage_start_ms - latest_start_ms, shifted by the team's past use
 * @late: the steps of this tier are late in any case
 *
 * Grows with latest_start_ms among steps of teams with the same level, if they
 * have the same priority and the same @late.
 */
int64_t eng_usage_start_ms(const struct engine *e, const struct step *s,
			   bool late);
/* eng_usage_passed - called for each step of a pass, in the order of placement;
 * reports steps that wait because of past use */
void eng_usage_passed(struct engine *e, struct step *s);
void eng_usage_pack(struct engine *e, GArray *records);
bool eng_usage_restore(struct engine *e, struct vh_slice team,
		       struct vh_slice bytes);
/* eng_usage_recovered - adds what the records of the former owner said */
void eng_usage_recovered(struct engine *e);

/* eng_order.c */
/* eng_order_steps - appends the runnable steps in the order of placement */
void eng_order_steps(struct engine *e, GPtrArray *out);
/* eng_order_idle - no step waits, so a running overload may end */
void eng_order_idle(struct engine *e);

/* eng_floor.c: minimum shares of teams and classes at overload */
/* eng_floors_begin - updates the deficits; @steps are the waiting ones */
void eng_floors_begin(struct engine *e, const GPtrArray *steps);
/* eng_floor_take - charges a step to the minimum shares of its team and class;
 * false: neither is short of its share */
bool eng_floor_take(struct engine *e, struct step *s);
/* eng_floor_placed - a task was placed */
void eng_floor_placed(struct engine *e, const struct step *s);
/* eng_step_class - the class of a step's priority */
uint32_t eng_step_class(const struct step *s);

/* eng_overload.c: recognition of overload, and room kept for urgent work */
struct pool *eng_pool_get(struct engine *e, const char *service);
/**
 * eng_overload_update - decides for each pool whether it is overloaded
 * @steps: the waiting steps in the usual order
 *
 * Returns whether any pool is.
 */
bool eng_overload_update(struct engine *e, const GPtrArray *steps);
/* eng_pool_wait_ms - expected time until @cpu more is free for waiting steps */
int64_t eng_pool_wait_ms(const struct pool *p, int64_t cpu);
/* eng_step_cpu - what the waiting tasks of a step need */
int64_t eng_step_cpu(const struct step *s);
/* eng_step_work - usual work of @n tasks of a step: milliseconds times the
 * dominant share of the service's capacity */
double eng_step_work(const struct step *s, uint32_t n);
void eng_overload_job_added(struct engine *e, const struct job *j);
void eng_overload_assigned(const struct task *t);
void eng_overload_released(const struct engine *e, const struct task *t);
/* eng_headroom_allows - @n tasks of a step leave enough room for urgent work */
bool eng_headroom_allows(const struct step *s, int64_t n);

/* eng_waiting.c */
/**
 * eng_waiting_report - reports by team and class what waits, if it is due
 * @steps: the waiting steps, in order
 */
void eng_waiting_report(struct engine *e, const GPtrArray *steps);

/* eng_cost.c */
/* eng_placement_cost - cost of placing a task of a step on a worker; lower is
 * better */
double eng_placement_cost(const struct engine *e, const struct step *s,
			  const struct worker *w, bool on_trial);

/* eng_advice.c */
void eng_request_advice(struct engine *e, struct step *s);
void eng_advice_free(gpointer advice);
/* eng_ticket_valid - approved, with a ticket that outlasts a start request */
bool eng_ticket_valid(const struct engine *e, const struct worker_advice *a);
struct worker_advice *eng_advice_find(const struct step *s,
				      const struct worker *w);
/* eng_free_slots - how many tasks of a step can be placed on a worker now */
uint32_t eng_free_slots(struct engine *e, const struct step *s,
			const struct worker *w);
/* eng_worker_matches - the worker has the step's service and label */
bool eng_worker_matches(const struct step *s, const struct worker *w);
/* eng_free_resources - what is neither used nor reserved for a gang */
struct eng_resources eng_free_resources(const struct worker *w);
/* eng_tasks_fitting - how many tasks of a step fit into @free, at most all */
uint32_t eng_tasks_fitting(const struct step *s, struct eng_resources free);

bool eng_worker_has_label(const struct worker *w, struct vh_slice label);

/**
 * struct room_scan - a search for workers with room for a step
 * @parts: parts of the cell, in the order of the step, see order_for()
 * @part: position in @parts of the next part
 * @position: of the next worker in the part
 * @end: end of the part
 * @bucket: only workers of this latency bucket, -1: all
 */
struct room_scan {
	struct engine *engine;
	struct step *step;
	guint part_workers;
	guint n_parts;
	uint16_t parts[ENG_PARTS_MAX];
	guint part;
	guint position;
	guint end;
	int bucket;
};

/* eng_index.c: index of the workers by their free resources */
/* eng_index_update - free resources, latency or usability have changed */
void eng_index_update(struct engine *e, const struct worker *w);
/* eng_index_relist - its entry in the fleet's list was added or removed, or the
 * drain of its zone began or ended */
void eng_index_relist(struct engine *e, struct worker *w);
void eng_index_free(gpointer index);
void eng_index_begin_pass(struct engine *e);
/* eng_index_usable - eng_worker_usable(); leaves it out of the index if not */
bool eng_index_usable(struct engine *e, struct worker *w);
void eng_set_add(struct worker_set *set, guint position);
bool eng_set_contains(const struct worker_set *set, guint position);
/**
 * eng_step_examine - brings a step's list of open workers up to date
 *
 * Called once per pass, before the step is placed. Looks only at the approved
 * workers on which room has grown since the pass before.
 */
void eng_step_examine(struct engine *e, struct step *s);
/* eng_part_workers - number of workers of a part of the cell */
guint eng_part_workers(const struct engine *e);
/* eng_part_key - order of the parts of the cell; differs by step */
uint64_t eng_part_key(const struct step *s, uint64_t part);
void eng_scan_begin(struct engine *e, struct step *s, struct room_scan *scan);
/* eng_scan_restart - begins anew, with the workers of one latency bucket */
void eng_scan_restart(struct room_scan *scan, int bucket);
/* eng_scan_next_part - begins the next part of the cell; false: no more */
bool eng_scan_next_part(struct room_scan *scan);
/* eng_scan_next - the next usable worker with room in the part; NULL: none */
struct worker *eng_scan_next(struct room_scan *scan);
/* eng_scan_next_listed - the next listed worker that matches, full or not */
struct worker *eng_scan_next_listed(struct room_scan *scan);

static inline int eng_latency_bucket(double latency_ms)
{
	return CLAMP((int)(latency_ms / LATENCY_BUCKET_MS), 0,
		     LATENCY_BUCKETS - 1);
}

/* eng_reserve.c: reservations for gangs that do not fit yet */
void eng_reservations_clear(struct engine *e);
/**
 * eng_gang_plan - chooses the workers that a gang is expected to fit on first
 *
 * Returns why the gang waits, constant text.
 */
const char *eng_gang_plan(struct engine *e, struct step *s);
/* eng_gang_reserve - reserves the planned resources if reservation_active */
void eng_gang_reserve(struct engine *e, const struct step *s);
/* eng_gang_preempt - stops tasks for a gang, if it can then start soon */
void eng_gang_preempt(struct engine *e, struct step *s);
/* eng_reserved_slots - tasks of a waiting gang reserved on a worker */
uint32_t eng_reserved_slots(const struct step *s, const struct worker *w);
/* eng_recently_reserved - a gang waits for the worker, or did so recently */
bool eng_recently_reserved(const struct engine *e, const struct worker *w);

/* eng_speed.c: speeds of workers and run times of queues */
/* eng_speed - of a worker; 1 if it is not known */
double eng_speed(const struct worker *w);
/* eng_expected_ms - what a task of a step takes at the usual speed */
double eng_expected_ms(const struct step *s);
/* eng_path_ms - critical_path_ms at the usual ratio of the queue */
int64_t eng_path_ms(const struct step *s);
/* eng_speed_remaining_ms - time until a task that was not stopped ends */
int64_t eng_speed_remaining_ms(const struct engine *e, const struct task *t);
/* eng_speed_run_done - learns from the current run of a task, which is done */
void eng_speed_run_done(struct engine *e, const struct task *t);
/* eng_update_speeds - lowers the speed of workers whose runs are overdue */
void eng_update_speeds(struct engine *e);
/* eng_speed_set - sets the speed that was known from @n samples */
void eng_speed_set(struct engine *e, struct worker *w, double speed,
		   unsigned int n);
/* eng_speed_reset - forgets the speed, of a new or restarted worker */
void eng_speed_reset(struct worker *w);
/* eng_speed_plan - what speed a step needs now; before the next two */
void eng_speed_plan(const struct engine *e, struct step *s);
/* eng_speed_cost - the part of the cost of a placement */
static inline double eng_speed_cost(const struct step *s,
				    const struct worker *w)
{
	if (s->min_speed <= 0)
		return 0;
	if (w->speed.value < s->min_speed)
		return SPEED_FAST_COST * w->speed.slowness;
	return s->any_in_time ? 0 : -SPEED_SLOW_BONUS * w->speed.slowness;
}

/**
 * eng_speed_class - how well the speed of a worker suits a step
 *
 * Lower is better: for a gang 0 if it is in time there; for urgent steps less
 * on faster workers, and for those with slack on slower ones.
 */
static inline int eng_speed_class(const struct step *s, const struct worker *w)
{
	if (s->min_speed <= 0)
		return 0;
	if (w->speed.value < s->min_speed)
		return SPEED_CLASSES + w->speed.rank;
	return s->any_in_time ? 0 : -w->speed.rank;
}

/* eng_queue_ratios_changed - updates what depends on the histogram */
void eng_queue_ratios_changed(struct queue *q);

/* eng_speed_record.c: learned records of speeds, of kind "w" */
void eng_speeds_pack(struct engine *e, GArray *records);
bool eng_speeds_restore(struct engine *e, struct vh_slice name,
			struct vh_slice bytes);
/* eng_speed_worker_known - applies the restored speed of a listed worker */
void eng_speed_worker_known(struct engine *e, struct worker *w);

/* eng_worker_cold_for - cold, and the step is urgent or a gang; inline, as it is
 * called for each candidate of each step */
static inline bool eng_worker_cold_for(const struct engine *e,
				       const struct step *s,
				       const struct worker *w)
{
	return w->cold_until_ms > e->now_ms &&
	       (s->spec->gang || !s->job->spec->priority);
}

static inline struct vh_slice eng_str(const char *s)
{
	return vh_slice_str(s);
}

#endif
