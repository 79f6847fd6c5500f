#ifndef ENG_PRIV_H
#define ENG_PRIV_H

#include <glib.h>

#include "vh/engine.h"

/*
 * TASK_WAITING	 not placed
 * TASK_STORING	 placed; its record is not stored yet, nothing was sent
 * TASK_STARTING its start was sent
 * TASK_RUNNING	 its worker said that it is there
 * TASK_DOUBT	 it may be on its worker; the next report tells
 * TASK_STOPPING it is to be stopped; its room is still taken
 */
enum task_state {
	TASK_WAITING,
	TASK_STORING,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_DOUBT,
	TASK_STOPPING
};

/**
 * struct task
 * @failed_runs: a bit for each run that ended failed, by its number modulo 64;
 *		 an end is listed again if a former owner did not acknowledge it
 * @done: it has ended done, or its gang has; its room may still be taken
 * @order_open: a start or a stop is on its way
 * @stop_acked_ms: when its worker accepted a stop, 0: it did not
 * @gate: batch that stores the placement
 * @yielded: how often it was stopped for a gang
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
	bool order_open;
	unsigned int tries;
	unsigned int yielded;
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
 * @verdicts: struct worker to struct verdict
 * @asking: a call to the policy service is out
 * @ask_after_ms: do not ask before
 * @waits: why its tasks wait, constant text; NULL: not said yet
 * @holds: of a gang that waits: struct hold, the workers it will fit on
 * @holding: the room of @holds is kept
 * @room_known: enough advised workers are known for @holds
 * @start_in_ms: from when @holds were chosen until all of it is probably free
 * @yield_after_ms: when tasks may be stopped for it again
 * @plan_until_ms: when @holds are to be chosen anew
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
	int64_t chain_ms;
	bool open;
	bool asking;
	int64_t ask_after_ms;
	GHashTable *verdicts;
	double order;
	int64_t start_by_ms;
	const char *waits;
	GArray *holds;
	bool holding;
	bool room_known;
	int64_t start_in_ms;
	int64_t plan_until_ms;
	int64_t yield_after_ms;
};

/* Room for @slots tasks of a gang, kept on one worker. */
struct hold {
	struct worker *w;
	uint32_t slots;
};

/**
 * struct team
 * @weight: its share: jobs a second that it may hand in; 0: any number
 * @share_left: jobs that it could hand in at @share_ms
 */
struct team {
	char *name;
	double weight;
	struct eng_room cap;
	struct eng_room used;
	double share_left;
	int64_t share_ms;
};

/**
 * struct queue - what is learned of one queue
 * @good_share: share of asked workers that were good
 * @run_ratio: how long runs take, against what their callers estimate
 * @pending: jobs of which no task has started
 */
struct queue {
	char *name;
	double good_share;
	double run_ratio;
	size_t pending;
};

/**
 * struct job
 * @spec: NULL once the job has ended and nothing of it is left
 * @stored: state as a former owner stored it, until @spec is known
 * @status_gate: batch from which on callers may see an ended status
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
	enum eng_status status;
	uint64_t status_gate;
	bool cancelled;
	bool begun;
	bool dirty;
	bool over_share;
	int64_t accepted_ms;
	int64_t due_ms;
	int64_t late_ms;
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
 * @ack_gate: batch that stores the ends up to @processed
 * @avoid_until_ms: place nothing there before
 * @answer_ms: how long its answers to starts take, 0: not known
 * @held: room kept for gangs that go first, in the run that is going on
 * @held_ms: when room was last kept there
 */
struct worker {
	char *id;
	char *service;
	char *address;
	char *zone;
	char **labels;
	struct eng_room capacity;
	struct eng_room used;
	struct eng_room held;
	int64_t held_ms;
	int64_t born_ms;
	bool listed;
	bool draining;
	bool fenced;
	bool hold_open;
	bool hold_now;
	unsigned int hold_fails;
	int64_t next_hold_ms;
	int64_t until_ms;
	int64_t clock_ms;
	int64_t clock_at_ms;
	int64_t lapse_ms;
	int64_t processed;
	int64_t acknowledged;
	uint64_t ack_gate;
	int64_t avoid_until_ms;
	double answer_ms;
	double bad; /* rises with failed ends, falls with good ones */
	GPtrArray *tasks;
};

struct engine {
	struct eng_settings settings;
	struct eng_ports ports;
	bool ready;
	bool deposed;
	bool applying;		/* a stored state is being read back */
	GHashTable *jobs;	/* id to struct job */
	GHashTable *workers;	/* id to struct worker */
	GPtrArray *worker_list; /* the same */
	GHashTable *teams;	/* name to struct team */
	GHashTable *queues;	/* name to struct queue */
	GPtrArray *open_steps;	/* steps with tasks to place */
	GPtrArray *dirty;	/* jobs to be stored */
	GQueue storing;		/* tasks that wait for their record */
	GArray *ended;	 /* ids of jobs that need no record but the last */
	uint64_t batch;	 /* number of the batch being collected */
	uint64_t stored; /* number of the last stored batch */
	uint64_t report_serial;
	int64_t store_ms;     /* how long a placement takes to be stored */
	int64_t held_cpu;     /* kept for gangs in the run that is going on */
	int64_t cpu_capacity; /* of all listed workers */
	int64_t now_ms;
	struct eng_stats stats;
};

/* eng_tasks.c: what happens to a task */
struct task *eng_find_task(struct engine *e, struct eng_task_ref ref);
struct eng_task_ref eng_task_ref(const struct task *t);
void eng_room_add(struct eng_room *to, const struct eng_step_spec *s, int sign);
void eng_task_set(struct engine *e, struct task *t, enum task_state s);
void eng_task_commit(struct engine *e, struct task *t, struct worker *w);
void eng_task_release(struct engine *e, struct task *t);
void eng_task_stop(struct engine *e, struct task *t);
void eng_task_lost(struct engine *e, struct task *t, const char *why);
void eng_task_ended(struct engine *e, struct task *t,
		    const struct eng_finished *f);
void eng_task_begun(struct engine *e, struct task *t);
void eng_send_start(struct engine *e, struct task *t);
void eng_retry_orders(struct engine *e, struct worker *w);

/* engine.c: jobs */
void eng_job_dirty(struct engine *e, struct job *j);
/* eng_milestone - tells the metrics; not of what is being read back */
void eng_milestone(struct engine *e, const struct job *j,
		   enum eng_status status);
void eng_job_end(struct engine *e, struct job *j, enum eng_status status);
void eng_step_check(struct engine *e, struct step *s);
bool eng_step_ready(const struct step *s);
void eng_job_shrink(struct engine *e, struct job *j);
bool eng_job_live(const struct job *j);
void eng_decided(struct engine *e, const char *what, const struct task *t,
		 const struct worker *w);

/* eng_team.c */
struct team *eng_team_get(struct engine *e, struct vh_slice name);
void eng_team_free(gpointer team);
/* eng_team_allows - its limit has room for @n more tasks of a step */
bool eng_team_allows(const struct step *s, int64_t n);
/* eng_team_take_share - a job is handed in; false: beyond the team's share */
bool eng_team_take_share(struct team *t, int64_t now_ms);

/* eng_workers.c */
struct worker *eng_worker_get(struct engine *e, struct vh_slice id);
struct worker *eng_worker_find(struct engine *e, struct vh_slice id);
void eng_worker_address(struct worker *w, struct vh_slice address);
void eng_worker_reborn(struct engine *e, struct worker *w, int64_t born_ms);
/* eng_worker_answered - a start was answered after so long */
void eng_worker_answered(struct worker *w, int64_t took_ms);
/* eng_worker_far_ms - what its distance costs a step, by its own measure */
double eng_worker_far_ms(const struct worker *w, const struct step *s);
bool eng_worker_usable(const struct engine *e, const struct worker *w);
int64_t eng_worker_until(struct engine *e, struct worker *w);
void eng_workers_run(struct engine *e);

/* eng_record.c */
void eng_record_pack(const struct job *j, struct vh_buf *out);
bool eng_record_apply(struct engine *e, struct job *j, struct vh_slice bytes);
bool eng_record_status(struct vh_slice bytes, enum eng_status *status,
		       bool *placed);

/* eng_place.c */
void eng_place_run(struct engine *e);

/* eng_ask.c */
void eng_ask_run(struct engine *e, struct step *s);
void eng_verdict_free(gpointer verdict);
/* eng_ticket_valid - good, and for long enough that a start can arrive */
bool eng_ticket_valid(const struct engine *e, const struct verdict *v);
struct verdict *eng_verdict(const struct step *s, const struct worker *w);
uint32_t eng_slots(const struct engine *e, const struct step *s,
		   const struct worker *w);
/* eng_suits - the worker is of the step's service and has its label */
bool eng_suits(const struct step *s, const struct worker *w);
/* eng_free_room - what is neither used nor kept for a gang */
struct eng_room eng_free_room(const struct worker *w);
/* eng_fits - how many tasks of a step fit into some room */
uint32_t eng_fits(const struct step *s, struct eng_room room);

/* eng_reserve.c: room kept for gangs that do not fit yet */
void eng_holds_clear(struct engine *e);
/**
 * eng_plan_gang - chooses the workers that a gang will fit on
 *
 * Returns why it waits, constant text.
 */
const char *eng_plan_gang(struct engine *e, struct step *s);
/* eng_hold_gang - keeps the chosen room, if eng_plan_gang() says so */
void eng_hold_gang(struct engine *e, const struct step *s);
/* eng_gang_make_room - stops what yields to it, once that will be enough */
void eng_gang_make_room(struct engine *e, struct step *s);
/* eng_gang_slots - tasks of a waiting gang that a worker was chosen for */
uint32_t eng_gang_slots(const struct step *s, const struct worker *w);
/* eng_held_lately - work that goes first should be placed elsewhere */
bool eng_held_lately(const struct engine *e, const struct worker *w);
/* eng_learn_run - a task has ended done */
void eng_learn_run(struct task *t, int64_t now_ms);

static inline struct vh_slice eng_str(const char *s)
{
	return vh_slice_str(s);
}

#endif
