#ifndef ENG_STATE_H
#define ENG_STATE_H

/*
 * State of the engine: jobs, steps, tasks, workers, teams, queues, and what is
 * known about them. Internal to the package; included by eng_priv.h.
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
 * @open_starts: starts of its run that were sent and have no reply; they may
 *		 still be carried out
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
	unsigned int open_starts;
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
 * @examined_pass: the last pass that brought @open up to date, 0: none yet
 * @handled_pass: the last pass that came to it, also if it was left out
 * @tier: position in the order of placement, an enum tier
 * @order_ms: @latest_start_ms, shifted by its team's past use
 * @usage_level_reported: the team's level when it was last reported that the
 *			  step waits because of past use
 * @wait_reason: why its tasks wait, constant text; NULL: not reported yet
 * @waits_since_ms: when it became runnable, or one of its tasks was last placed
 * @deferred: the last pass left it out, since it has no value during an overload
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
	uint64_t examined_pass;
	uint64_t handled_pass;
	enum tier tier;
	int64_t latest_start_ms;
	int64_t order_ms;
	int usage_level_reported;
	const char *wait_reason;
	int64_t waits_since_ms;
	bool deferred;
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
 * @stored_in_parts: @stored_record is only its head
 * @parts: its state as last passed to the store, if it is in parts; else NULL
 * @stored_parts: parts as a former owner stored them, until they are applied: number of
 *		  their first task to their bytes; NULL: none
 * @dropped_parts: numbers of the first tasks of parts that are to be deleted; NULL: none
 * @incomplete: its stored state could not be restored, so none of its tasks may start
 * @refused_batch: the store refused its state of this batch for good, and none of its
 *		   tasks starts until it has taken a later one; 0: it did not
 * @store_again_ms: when that is tried next
 * @service: name of the workers that run it, interned
 * @pool: these workers
 * @remaining_work: of its waiting tasks, in the pass @ranked_pass
 * @status_batch: batch that stores the end of the job; callers may see the end
 *		  once it is durable
 * @state_batch: batch of its newest record, 0: none since recovery
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
	bool stored_in_parts;
	struct job_parts *parts;
	GTree *stored_parts;
	GArray *dropped_parts;
	bool incomplete;
	uint64_t refused_batch;
	int64_t store_again_ms;
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
	uint64_t state_batch;
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
 * @boot: count of its boots, see struct eng_boot
 * @former_leases_until_ms: our time by which every lease of former owners is over;
 *			    the boot refuses their calls since its first answer
 * @ends_listed: the last report listed ends; they are listed again until they
 *		 are acknowledged
 * @unknown_runs: the last report listed runs that are not assigned to it; they use
 *		  resources that are not in @used
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
 * @unknown_log_due_ms: when a run that is not assigned to it may be logged next
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
	uint32_t boot;
	int64_t former_leases_until_ms;
	bool ends_listed;
	bool unknown_runs;
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
	int64_t unknown_log_due_ms;
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
 * @start_limit_ms: see eng_set_start_limit()
 * @teams: name to struct team
 * @queues: name to struct queue
 * @runnable_steps: steps with tasks to place
 * @dirty: jobs to store
 * @record_bytes: the largest record that the store is taken to accept, 0: not known
 * @unstored: jobs whose state the store refuses for good
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
 * @next_long_wait_ms: when steps that have waited long are reported next
 */
struct engine {
	struct eng_settings settings;
	struct eng_callbacks callbacks;
	bool ready;
	bool deposed;
	bool restoring;
	int64_t start_limit_ms;
	GHashTable *jobs;
	GHashTable *workers;
	GPtrArray *worker_list;
	GHashTable *zones;
	size_t n_drained_zones;
	GHashTable *teams;
	GHashTable *queues;
	GPtrArray *runnable_steps;
	GPtrArray *dirty;
	size_t record_bytes;
	GPtrArray *unstored;
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
	int64_t next_long_wait_ms;
	int64_t now_ms;
	struct usage usage;
	struct eng_stats stats;
};

#endif
