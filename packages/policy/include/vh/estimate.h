#ifndef VH_ESTIMATE_H
#define VH_ESTIMATE_H

/*
 * Estimates the resource use and run time of tasks from those of a team's
 * earlier tasks in a queue. Called only by the policy simulator
 * (tests/sim_current.c) and the unit tests.
 */

#include "vh/ratio_hist.h"
#include "vh/res.h"

/* Two buckets per power of two, from 1 ms. */
#define VH_ESTIMATE_RUN_BUCKETS 64

/**
 * struct vh_estimate - measured resource use of one team's tasks in one queue
 *
 * Histograms of the ratio of peak use to declared size, and of run times. The
 * counts of a histogram are halved whenever they sum to 512, so that recent
 * tasks weigh more. Zeroed memory is an empty estimate.
 *
 * @cpu, @mem: histograms of the ratio, for VH_CPU and VH_MEM
 * @run: histogram of run times
 * @n_use: number of tasks in @cpu and @mem, reduced when those are halved
 * @n_run: the same for @run
 * @jobs: number of series of consecutive tasks of one job
 * @last_job, @last_job_tasks: job of the last task, and how many consecutive
 *	  tasks were of that job
 */
struct vh_estimate {
	uint16_t cpu[VH_RATIO_BUCKETS];
	uint16_t mem[VH_RATIO_BUCKETS];
	uint16_t run[VH_ESTIMATE_RUN_BUCKETS];
	uint32_t n_use, n_run;
	uint32_t jobs;
	uint64_t last_job;
	uint32_t last_job_tasks;
};

/**
 * vh_estimate_add - records a task that ended by itself
 * @job: hash of its job; at most 8 consecutive tasks of one job are recorded
 * @used: its peak in VH_CPU and VH_MEM; NULL if no use was reported, which
 *	  records only the run time
 * @run_ms: its run time
 *
 * A task that was stopped must not be recorded: its run time and peak use may
 * be too low.
 */
void vh_estimate_add(struct vh_estimate *e, uint64_t job,
		     const struct vh_res *declared, const struct vh_res *used,
		     int64_t run_ms);

/**
 * vh_estimate_size - the size to commit for a new task
 *
 * The declared size until 20 tasks in 3 series of one job each are recorded,
 * then a high quantile of use with a margin: the 95th percentile plus 1/8 for
 * processors, the 98th plus 1/4 for memory. From 50 tasks on, a single outlier
 * moves neither. Other dimensions stay as declared. So does an amount whose
 * quantile is at most 2^(1/4) times the declared one and, with the margin
 * added, not below it. Returns whether @size differs from @declared.
 */
bool vh_estimate_size(const struct vh_estimate *e,
		      const struct vh_res *declared, struct vh_res *size);

/* vh_estimate_run_ms - run time that @percent of tasks do not exceed; 0 if
 * fewer than 20 tasks are recorded */
int64_t vh_estimate_run_ms(const struct vh_estimate *e, unsigned int percent);

/* Window over which the peak use of a running task is taken. */
#define VH_USAGE_WINDOW_MS 300000

/**
 * struct vh_usage - reported resource use of one running task
 * @committed: the amount that its worker currently commits for it
 * @peak: peak use in the current and the previous half window, each for VH_CPU
 *	  and VH_MEM
 * @first_ms, @newest_ms: times of the first and the newest sample
 * @half_ms: start of the current half window
 */
struct vh_usage {
	struct vh_res committed;
	uint32_t peak[2][2];
	uint32_t samples;
	int64_t first_ms;
	int64_t newest_ms;
	int64_t half_ms;
};

void vh_usage_init(struct vh_usage *u, const struct vh_res *committed);

/* vh_usage_sample - records @used, measured at @at_ms; ignored unless newer
 * than the last sample */
void vh_usage_sample(struct vh_usage *u, const struct vh_res *used,
		     int64_t at_ms);

/**
 * vh_usage_reclaim - the smaller commitment that still covers the task's use
 *
 * Reclaiming lowers a commitment and never overcommits the worker. It requires
 * at least 10 samples over a full window, the newest at most 30 s old, and
 * leaves the peak plus a quarter. Returns false if the commitment should stay.
 */
bool vh_usage_reclaim(const struct vh_usage *u, int64_t now_ms,
		      struct vh_res *committed);

enum vh_usage_action {
	VH_USAGE_OK,
	VH_USAGE_RAISE,	     /* commit *more, for which its worker has room */
	VH_USAGE_THROTTLE,   /* too much processor time and no room: throttle */
	VH_USAGE_CHECKPOINT, /* too much memory and no room: move the task */
	VH_USAGE_STOP	     /* the same, but the task cannot checkpoint */
};

/**
 * vh_usage_action - what to do with a task that exceeds its commitment
 * @used: its current use
 * @free: its worker's capacity less all commitments
 * @more: set to the new commitment for VH_USAGE_RAISE
 */
enum vh_usage_action vh_usage_action(const struct vh_usage *u,
				     const struct vh_res *used,
				     const struct vh_res *free,
				     bool can_checkpoint, struct vh_res *more);

#endif
