#ifndef ENG_PRIV_H
#define ENG_PRIV_H

#include <glib.h>

#include "vh/engine.h"

/*
 * TASK_WAITING	 not placed
 * TASK_STORING	 placed; its record is not stored yet, nothing was sent
 * TASK_STARTING its start was sent
 * TASK_RUNNING	 its worker said that it is there
 * TASK_UNCONFIRMED	 it may be on its worker; the next report tells
 * TASK_STOPPING it is to be stopped; its room is still taken
 */
enum task_state {
	TASK_WAITING,
	TASK_STORING,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_UNCONFIRMED,
	TASK_STOPPING
};

/**
 * struct task
 * @failed_runs: a bit for each run that ended failed, by its number modulo 64;
 *		 an end is listed again if a former owner did not acknowledge it
 * @done: it has ended done, or its gang has; its room may still be taken
 * @request_pending: a start or a stop is on its way
 * @stop_acked_ms: when its worker accepted a stop, 0: it did not
 * @gate: batch that stores the placement
 * @preempt_count: how often it was stopped for a gang
 * @since_ms: when @state was entered
 * @stamp: number of the last report that listed it as running
 */
struct task {
	struct step *step;
	uint32_t index;
	uint32_t run;
	uint64_t failed_runs;
	enum task_state state;
	bool done;
	bool request_pending;
	unsigned int tries;
	unsigned int preempt_count;
	int64_t since_ms;
	int64_t stop_acked_ms;
	uint64_t gate;
	uint64_t stamp;
	struct worker *worker;
	struct vh_slice checkpoint;
};

/* What the policy service said of one worker for one step. */
struct verdict {
	bool good;
	char *ticket;
	int64_t expires_ms;
};

/**
 * struct step
 * @open: in the engine's list of steps with tasks to place
 * @advice_by_worker: struct worker to struct verdict
 * @asking: a call to the policy service is out
 * @ask_after_ms: do not ask before
 * @waits: why its tasks wait, constant text; NULL: not said yet
 * @holds: of a gang that waits: struct hold, the workers it will fit on
 * @holding: the room of @holds is kept
 * @enough_advised: enough advised workers are known for @holds
 * @est_wait_ms: from when @holds were chosen until all of it is probably free
 * @next_preempt_ms: when tasks may be stopped for it again
 * @plan_expires_ms: when @holds are to be chosen anew
 */
struct step {
	struct job *job;
	uint32_t number;
	const struct eng_step_spec *spec;
	struct task *tasks;
	uint32_t n_done;
	uint32_t n_waiting;
	uint32_t n_placed;
	uint64_t failed_runs; /* of a gang, as in struct task */
	int64_t critical_path_ms;
	bool open;
	bool asking;
	int64_t ask_after_ms;
	GHashTable *advice_by_worker;
	double order;
	int64_t latest_start_ms;
	const char *waits;
	GArray *holds;
	bool holding;
	bool enough_advised;
	int64_t est_wait_ms;
	int64_t plan_expires_ms;
	int64_t next_preempt_ms;
};

/* Room for @slots tasks of a gang, kept on one worker. */
struct hold {
	struct worker *w;
	uint32_t slots;
};

/**
 * struct team
 * @weight: its share: jobs a second that it may hand in; 0: any number
 * @share_tokens: jobs that it could hand in at @share_refilled_ms
 */
struct team {
	char *name;
	double weight;
	struct eng_resources cap;
	struct eng_resources used;
	double share_tokens;
	int64_t share_refilled_ms;
};

/**
 * struct queue - what is learned of one queue
 * @approval_rate: share of asked workers that were good
 * @run_ratio: how long runs take, against what their callers estimate
 * @pending: jobs of which no task has started
 */
struct queue {
	char *name;
	double approval_rate;
	double run_ratio;
	size_t pending;
};

/**
 * struct job
 * @spec: NULL once the job has ended and nothing of it is left
 * @stored: state as a former owner stored it, until @spec is known
 * @status_batch: batch from which on callers may see an ended status
 * @over_share: its team had handed in more than its share
 * @due_ms: when its objective passes
 */
struct job {
	uint64_t id;
	struct eng_job_spec *spec;
	struct vh_buf stored;
	struct team *team;
	struct queue *queue;
	struct step *steps;
	size_t n_steps_done;
	enum eng_job_status status;
	uint64_t status_batch;
	bool cancelled;
	bool begun;
	bool dirty;
	bool over_share;
	int64_t accepted_ms;
	int64_t due_ms;
	int64_t cutoff_ms;
};

/**
 * struct worker
 * @listed: in the fleet's list
 * @fenced: answered a hold with our fencing token, in this boot
 * @until_ms: the longest lease sent, on its clock
 * @clock_ms: its clock at our time @clock_at_ms, at the latest
 * @lapse_ms: our time by which every lease sent has surely run out
 * @processed: number of the last end taken into the state
 * @acknowledged: number of the last end that is stored
 * @ack_batch: batch that stores the ends up to @processed
 * @avoid_until_ms: place nothing there before
 * @start_latency_ms: how long its answers to starts take, 0: not known
 * @held: room kept for gangs that go first, in the run that is going on
 * @reserved_at_ms: when room was last kept there
 */
struct worker {
	char *id;
	char *service;
	char *address;
	char *zone;
	char **labels;
	struct eng_resources capacity;
	struct eng_resources used;
	struct eng_resources held;
	int64_t reserved_at_ms;
	int64_t born_ms;
	bool listed;
	bool draining;
	bool fenced;
	bool hold_pending;
	bool hold_now;
	unsigned int hold_failures;
	int64_t next_hold_ms;
	int64_t until_ms;
	int64_t clock_ms;
	int64_t clock_at_ms;
	int64_t lapse_ms;
	int64_t processed;
	int64_t acknowledged;
	uint64_t ack_batch;
	int64_t avoid_until_ms;
	double start_latency_ms;
	double bad; /* rises with failed ends, falls with good ones */
	GPtrArray *tasks;
};

struct engine {
	struct eng_settings settings;
	struct eng_callbacks ports;
	bool ready;
	bool deposed;
	bool applying;		   /* a stored state is being read back */
	GHashTable *jobs;	   /* id to struct job */
	GHashTable *workers;	   /* id to struct worker */
	GPtrArray *worker_list;	   /* the same */
	GHashTable *teams;	   /* name to struct team */
	GHashTable *queues;	   /* name to struct queue */
	GPtrArray *runnable_steps; /* steps with tasks to place */
	GPtrArray *dirty;	   /* jobs to be stored */
	GQueue storing;		   /* tasks that wait for their record */
	GArray *ended;	 /* ids of jobs that need no record but the last */
	uint64_t batch;	 /* number of the batch being collected */
	uint64_t stored; /* number of the last stored batch */
	uint64_t report_serial;
	int64_t store_ms;     /* how long a placement takes to be stored */
	int64_t reserved_cpu; /* kept for gangs in the run that is going on */
	int64_t cpu_capacity; /* of all listed workers */
	int64_t now_ms;
	struct eng_stats stats;
};

/* eng_tasks.c: what happens to a task */
struct task *eng_find_task(struct engine *e, struct eng_task_ref ref);
struct eng_task_ref eng_task_ref(const struct task *t);
void eng_resources_add(struct eng_resources *to, const struct eng_step_spec *s,
		       int sign);
void eng_task_set_state(struct engine *e, struct task *t, enum task_state s);
void eng_task_assign(struct engine *e, struct task *t, struct worker *w);
void eng_task_release(struct engine *e, struct task *t);
void eng_task_stop(struct engine *e, struct task *t);
void eng_task_lost(struct engine *e, struct task *t, const char *why);
void eng_task_ended(struct engine *e, struct task *t,
		    const struct eng_finished_task *f);
void eng_task_started(struct engine *e, struct task *t);
void eng_send_start(struct engine *e, struct task *t);
void eng_retry_requests(struct engine *e, struct worker *w);

/* engine.c: jobs */
void eng_job_mark_dirty(struct engine *e, struct job *j);
/* eng_milestone - tells the metrics; not of what is being read back */
void eng_milestone(struct engine *e, const struct job *j,
		   enum eng_job_status status);
void eng_job_end(struct engine *e, struct job *j, enum eng_job_status status);
void eng_step_update(struct engine *e, struct step *s);
bool eng_step_deps_done(const struct step *s);
void eng_job_reclaim(struct engine *e, struct job *j);
bool eng_job_active(const struct job *j);
void eng_report_decision(struct engine *e, const char *what,
			 const struct task *t, const struct worker *w);

/* eng_team.c */
struct team *eng_team_get(struct engine *e, struct vh_slice name);
void eng_team_free(gpointer team);
/* eng_team_quota_allows - its limit has room for @n more tasks of a step */
bool eng_team_quota_allows(const struct step *s, int64_t n);
/* eng_team_take_token - a job is handed in; false: beyond the team's share */
bool eng_team_take_token(struct team *t, int64_t now_ms);

/* eng_workers.c */
struct worker *eng_worker_get(struct engine *e, struct vh_slice id);
struct worker *eng_worker_find(struct engine *e, struct vh_slice id);
void eng_worker_set_address(struct worker *w, struct vh_slice address);
void eng_worker_restarted(struct engine *e, struct worker *w, int64_t born_ms);
/* eng_worker_record_latency - a start was answered after so long */
void eng_worker_record_latency(struct worker *w, int64_t took_ms);
/* eng_worker_latency_ms - what its distance costs a step, by its own measure */
double eng_worker_latency_ms(const struct worker *w, const struct step *s);
bool eng_worker_usable(const struct engine *e, const struct worker *w);
int64_t eng_worker_grant_lease(struct engine *e, struct worker *w);
void eng_poll_workers(struct engine *e);

/* eng_record.c */
void eng_record_pack(const struct job *j, struct vh_buf *out);
bool eng_record_apply(struct engine *e, struct job *j, struct vh_slice bytes);
bool eng_record_status(struct vh_slice bytes, enum eng_job_status *status,
		       bool *placed);

/* eng_place.c */
void eng_place_steps(struct engine *e);

/* eng_advice_request.c */
void eng_request_advice(struct engine *e, struct step *s);
void eng_advice_free(gpointer verdict);
/* eng_ticket_valid - good, and for long enough that a start can arrive */
bool eng_ticket_valid(const struct engine *e, const struct verdict *v);
struct verdict *eng_advice_find(const struct step *s, const struct worker *w);
uint32_t eng_free_slots(const struct engine *e, const struct step *s,
			const struct worker *w);
/* eng_worker_matches - the worker is of the step's service and has its label */
bool eng_worker_matches(const struct step *s, const struct worker *w);
/* eng_free_resources - what is neither used nor kept for a gang */
struct eng_resources eng_free_resources(const struct worker *w);
/* eng_tasks_fitting - how many tasks of a step fit into some room */
uint32_t eng_tasks_fitting(const struct step *s, struct eng_resources room);

/* eng_reserve.c: room kept for gangs that do not fit yet */
void eng_reservations_clear(struct engine *e);
/**
 * eng_gang_plan - chooses the workers that a gang will fit on
 *
 * Returns why it waits, constant text.
 */
const char *eng_gang_plan(struct engine *e, struct step *s);
/* eng_gang_reserve - keeps the chosen room, if eng_gang_plan() says so */
void eng_gang_reserve(struct engine *e, const struct step *s);
/* eng_gang_preempt - stops what yields to it, once that will be enough */
void eng_gang_preempt(struct engine *e, struct step *s);
/* eng_reserved_slots - tasks of a waiting gang that a worker was chosen for */
uint32_t eng_reserved_slots(const struct step *s, const struct worker *w);
/* eng_recently_reserved - work that goes first should be placed elsewhere */
bool eng_recently_reserved(const struct engine *e, const struct worker *w);
/* eng_update_run_ratio - a task has ended done */
void eng_update_run_ratio(struct task *t, int64_t now_ms);

static inline struct vh_slice eng_str(const char *s)
{
	return vh_slice_str(s);
}

#endif
