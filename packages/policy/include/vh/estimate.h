#ifndef VH_ESTIMATE_H
#define VH_ESTIMATE_H

#include "vh/res.h"

#define VH_ESTIMATE_RATIO_BUCKETS \
	48			   /* quarters of a power of two, 2^-6 to 2^6 */
#define VH_ESTIMATE_RUN_BUCKETS 64 /* halves of a power of two, from 1 ms */

/**
 * struct vh_estimate - what the tasks of one team and queue really take
 *
 * Histograms of peak use against what was declared, and of run times. Old
 * tasks count half after every few hundred new ones. Zeroed memory is empty.
 */
struct vh_estimate {
	uint16_t cpu[VH_ESTIMATE_RATIO_BUCKETS];
	uint16_t mem[VH_ESTIMATE_RATIO_BUCKETS];
	uint16_t run[VH_ESTIMATE_RUN_BUCKETS];
	uint32_t n_use, n_run;
	uint32_t jobs;
	uint64_t last_job;
	uint32_t last_job_tasks;
};

/**
 * vh_estimate_add - a task ended
 * @job: hash of its job; at most 8 tasks of one job in a row count
 * @used: its peak in VH_CPU and VH_MEM; NULL: no usage reported, only run time
 * @run_ms: how long it ran; only for tasks that ended by themselves
 */
void vh_estimate_add(struct vh_estimate *e, uint64_t job,
		     const struct vh_res *declared, const struct vh_res *used,
		     int64_t run_ms);

/**
 * vh_estimate_size - what to commit for a new task
 *
 * The declared size, until 20 tasks of 3 jobs are known. Then a high quantile
 * of use with a margin: 95% and 1/8 more for processors, 98% and 1/4 more for
 * memory. A lone outlier moves neither. Other dimensions stay as declared, and
 * so does a declaration that is about right: no margin is put on top of it.
 * Returns whether it differs from what was declared.
 */
bool vh_estimate_size(const struct vh_estimate *e,
		      const struct vh_res *declared, struct vh_res *size);

/* vh_estimate_run_ms - run time that @percent of tasks do not exceed; 0 if not
 * known */
int64_t vh_estimate_run_ms(const struct vh_estimate *e, unsigned int percent);

/* Time over which a running task's peak is taken. */
#define VH_USAGE_WINDOW_MS 300000

/**
 * struct vh_usage - the use of one running task as reported, with a lag
 * @committed: what its worker has committed for it now
 */
struct vh_usage {
	struct vh_res committed;
	uint32_t peak[2][2]; /* half a window each; VH_CPU, VH_MEM */
	uint32_t samples;
	int64_t first_ms;
	int64_t newest_ms;
	int64_t half_ms; /* when the present half began */
};

void vh_usage_init(struct vh_usage *u, const struct vh_res *committed);

/* vh_usage_sample - @used was measured at @at_ms; older ones are dropped */
void vh_usage_sample(struct vh_usage *u, const struct vh_res *used,
		     int64_t at_ms);

/**
 * vh_usage_reclaim - the smaller commitment that would still hold the task
 *
 * Commitments always hold: reclaiming lowers one, it never counts room twice.
 * What is lowered is idle beyond doubt: at least a window of samples, the
 * newest not older than 30 s, peak plus a quarter. False: leave it.
 */
bool vh_usage_reclaim(const struct vh_usage *u, int64_t now_ms,
		      struct vh_res *committed);

enum vh_usage_action {
	VH_USAGE_OK,
	VH_USAGE_RAISE,	     /* commit *more, its worker has room */
	VH_USAGE_THROTTLE,   /* too much processor: slow it down */
	VH_USAGE_CHECKPOINT, /* too much memory, no room: move it */
	VH_USAGE_STOP	     /* the same, and it cannot write a checkpoint */
};

/**
 * vh_usage_action - what to do about a task that uses more than is committed
 * @free: its worker's capacity less all commitments
 * @more: set to the new commitment for RAISE
 */
enum vh_usage_action vh_usage_action(const struct vh_usage *u,
				     const struct vh_res *used,
				     const struct vh_res *free,
				     bool can_checkpoint, struct vh_res *more);

#endif
