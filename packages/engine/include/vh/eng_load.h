#ifndef VH_ENG_LOAD_H
#define VH_ENG_LOAD_H

/*
 * The work that waits in each queue and the rate at which it can be done, for
 * admission control. The owner computes it from the engine's state; the cell
 * package sends it to the other nodes and decides with it.
 */

#include <glib.h>

#include "vh/engine.h"

/**
 * struct eng_queue_load - load of one queue that has waiting work
 * @queue: owned by the struct eng_load
 * @pool: number of the set of workers that runs the queue; queues with the same
 *	  number share their workers
 * @priority: of its jobs; 0 goes first
 * @late: some of its work can no longer meet its objective, and still has value
 *	  or had it recently (within the time from a job's arrival to its
 *	  cutoff), so work that can meet its objective goes first
 * @work: core-milliseconds that can still have value, within the teams' shares
 * @over_work: core-milliseconds of jobs beyond their team's share
 * @dead_work: core-milliseconds that can no longer have any value, within the
 *	       shares
 * @rate_milli: cores of the pool, in thousandths
 */
struct eng_queue_load {
	struct vh_slice queue;
	uint32_t pool;
	uint32_t priority;
	bool late;
	int64_t work;
	int64_t over_work;
	int64_t dead_work;
	int64_t rate_milli;
};

/**
 * struct eng_load - load of all queues that have waiting work
 * @queues: array of struct eng_queue_load
 * @names: owns the names
 * @at_ms: when it was computed, on the clock of whoever fills it in
 */
struct eng_load {
	GArray *queues;
	GStringChunk *names;
	int64_t at_ms;
};

void eng_load_init(struct eng_load *l);
void eng_load_finish(struct eng_load *l);

/* eng_load_clear - removes all queues */
void eng_load_clear(struct eng_load *l);

/* eng_load_add - adds a queue, whose name is copied; the pointer is valid until
 * the next call */
struct eng_queue_load *eng_load_add(struct eng_load *l, struct vh_slice queue);

/* eng_load_find - NULL if the queue has no waiting work */
struct eng_queue_load *eng_load_find(const struct eng_load *l,
				     struct vh_slice queue);

/* eng_load_compute - replaces @l by the present load; @l->at_ms is @now_ms */
void eng_load_compute(const struct engine *e, struct eng_load *l,
		      int64_t now_ms);

/**
 * eng_load_wait_ms - time until work that goes before a new job is done
 * @q: the load of the job's queue, in @l
 * @over_share: the job is beyond its team's share
 * @late: set if late work waits in front of the job, so that the cores are taken
 *	  by work that can be in time
 *
 * A lower bound, since all cores of the pool are assumed to be filled. 0 if the
 * pool has no workers, since its rate is not known then.
 */
int64_t eng_load_wait_ms(const struct eng_load *l,
			 const struct eng_queue_load *q, bool over_share,
			 bool *late);

/**
 * struct eng_job_size - what admission control needs to know about a job
 * @work: core-milliseconds of all its tasks
 * @critical_path_ms: of the job
 * @objective_ms: time from its arrival in which it should end
 * @cutoff_ms: time from its arrival after which its end has no value
 */
struct eng_job_size {
	int64_t work;
	int64_t critical_path_ms;
	int64_t objective_ms;
	int64_t cutoff_ms;
};

struct eng_job_size eng_job_measure(const struct eng_job_spec *spec);

/* eng_team_over_share - whether a job that is added now would be beyond its
 * team's share; takes no token */
bool eng_team_over_share(const struct engine *e, struct vh_slice team,
			 int64_t now_ms);

#endif
