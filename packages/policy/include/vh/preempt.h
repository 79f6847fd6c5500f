#ifndef VH_PREEMPT_H
#define VH_PREEMPT_H

#include "vh/place.h"

#define VH_URGENT_START_MS 3400 /* urgent work starts within this */
#define VH_VICTIMS_MAX 32	/* of one decision */

/**
 * struct vh_victim - a running task that might be stopped
 * @worker: its worker, as an index
 * @team_share: its team's weighted dominant share
 * @team_due: what its team is due; less than @team_share: it has too much
 * @started_ms: when this attempt began
 * @checkpoint_ms: when it last wrote a checkpoint; 0: never
 * @can_checkpoint: it can be asked for one
 * @idempotent: false: a stop would end it for good, it is never chosen
 * @preempted: how often it has been preempted before
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
 * struct vh_preempt_settings
 * @max_preempted: a task preempted so often is left to end
 * @protect_ms: a task preempted before runs at least this long the next time,
 *		doubled with each preemption
 */
struct vh_preempt_settings {
	uint32_t max_preempted;
	int64_t protect_ms;
};

enum vh_preempt_reason {
	VH_PREEMPT_OK,
	VH_PREEMPT_CLASS,     /* only urgent work preempts */
	VH_PREEMPT_BUDGET,    /* the team's budget is used up */
	VH_PREEMPT_NO_VICTIMS /* stopping all that may be stopped is not enough */
};

/**
 * struct vh_preempt_decision - what to stop so that a task fits
 * @worker: where it will fit
 * @victims: indexes of @n tasks
 * @lost: work that would be done again, in core-seconds (an accelerator
 *	  counts as 16 cores)
 */
struct vh_preempt_decision {
	enum vh_preempt_reason reason;
	size_t worker;
	size_t n;
	size_t victims[VH_VICTIMS_MAX];
	uint64_t lost;
};

/**
 * vh_preempt_choose - the cheapest tasks whose end makes room
 * @workers: @n workers, as for vh_place()
 * @running: @n_running tasks on them
 *
 * Only idempotent batch tasks are stopped, never more than needed on one
 * worker. A task of a team above its due share is cheaper, one preempted
 * before dearer. Pure.
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
 * vh_preempt_mode - checkpoint first, if the urgent task can wait for it
 * @accepted_ms: when the urgent task was accepted
 * @checkpoint_duration_ms: how long the victim's checkpoint takes, an estimate
 */
enum vh_preempt_mode vh_preempt_mode(const struct vh_victim *victim,
				     int64_t accepted_ms,
				     int64_t checkpoint_duration_ms,
				     int64_t now_ms);

/** struct vh_preempt_budget - preemptions that a team may still cause */
struct vh_preempt_budget {
	uint32_t per_min;
	uint64_t left; /* what is left, a preemption being 60,000 */
	int64_t filled_ms;
};

void vh_preempt_budget_init(struct vh_preempt_budget *b, uint32_t per_min,
			    int64_t now_ms);

/* vh_preempt_budget_take - false, and takes nothing, if less than @n is left */
bool vh_preempt_budget_take(struct vh_preempt_budget *b, uint32_t n,
			    int64_t now_ms);

#endif
