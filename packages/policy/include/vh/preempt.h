#ifndef VH_PREEMPT_H
#define VH_PREEMPT_H

/*
 * Chooses the running tasks to preempt for an urgent one, and limits the
 * preemptions that each team causes. Called by core (racks_preempt.c) and by
 * the policy simulator.
 */

#include "vh/place.h"

#define VH_URGENT_START_MS 3400 /* urgent work: from acceptance to start */
#define VH_VICTIMS_MAX 32	/* victims of one decision */

/**
 * struct vh_victim - a running task that may be preempted
 * @worker: index of its worker
 * @team_share: its team's weighted dominant share
 * @team_due: its team's weighted fair share
 * @started_ms: start of the current attempt
 * @checkpoint_ms: time of its last checkpoint; 0 for none
 * @can_checkpoint: whether it writes a checkpoint on request
 * @idempotent: whether it may be run again; other tasks are never preempted
 * @preempted: number of times that it was preempted before
 */
struct vh_victim {
	struct vh_res size;
	uint32_t worker;
	enum vh_class cls;
	uint32_t team;
	uint64_t team_share;
	uint64_t team_due;
	int64_t started_ms;
	int64_t checkpoint_ms;
	bool can_checkpoint;
	bool idempotent;
	uint32_t preempted;
};

/**
 * struct vh_preempt_settings - limits on preempting one task repeatedly
 * @max_preempted: a task preempted this many times is not preempted again
 * @protect_ms: least run time of a preempted task before it may be preempted
 *		again, doubled with each further preemption
 */
struct vh_preempt_settings {
	uint32_t max_preempted;
	int64_t protect_ms;
};

enum vh_preempt_reason {
	VH_PREEMPT_OK,
	VH_PREEMPT_CLASS,     /* only urgent work preempts */
	VH_PREEMPT_BUDGET,    /* the team's budget is used up */
	VH_PREEMPT_NO_VICTIMS /* no worker's preemptible tasks free enough */
};

/**
 * struct vh_preempt_decision - the tasks to stop so that another one fits
 * @worker: the worker that will have room
 * @victims: indexes of @n running tasks
 * @lost: work that has to be repeated, in core-seconds (an accelerator counts
 *	  as 16 cores)
 */
struct vh_preempt_decision {
	enum vh_preempt_reason reason;
	size_t worker;
	size_t n;
	size_t victims[VH_VICTIMS_MAX];
	uint64_t lost;
};

/**
 * vh_preempt_choose - chooses the victims of least cost that make room
 * @workers: @n workers, as for vh_place()
 * @running: @n_running tasks on them
 *
 * Only idempotent batch tasks of one worker are chosen, and none that is not
 * needed. A task of a team above its fair share costs less, one preempted
 * before costs more. A pure function of its input.
 */
void vh_preempt_choose(const struct vh_preempt_settings *settings,
		       const struct vh_place_request *want,
		       const struct vh_candidate *workers, size_t n,
		       const struct vh_victim *running, size_t n_running,
		       int64_t now_ms, struct vh_preempt_decision *out);

enum vh_preempt_mode {
	VH_PREEMPT_CHECKPOINT,
	VH_PREEMPT_KILL
};

/**
 * vh_preempt_mode - whether the victim may write a checkpoint before it stops
 * @accepted_ms: when the urgent task was accepted
 * @checkpoint_duration_ms: estimated duration of the victim's checkpoint
 */
enum vh_preempt_mode vh_preempt_mode(const struct vh_victim *victim,
				     int64_t accepted_ms,
				     int64_t checkpoint_duration_ms,
				     int64_t now_ms);

/** struct vh_preempt_budget - token bucket that limits a team's preemptions */
struct vh_preempt_budget {
	uint32_t per_min;
	uint64_t left;	   /* in units of 1/60000 of a preemption */
	int64_t filled_ms; /* last refill */
};

void vh_preempt_budget_init(struct vh_preempt_budget *b, uint32_t per_min,
			    int64_t now_ms);

/* vh_preempt_budget_take - takes @n preemptions; false, and takes none, if
 * fewer are left */
bool vh_preempt_budget_take(struct vh_preempt_budget *b, uint32_t n,
			    int64_t now_ms);

#endif
