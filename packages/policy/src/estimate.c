#include "vh/estimate.h"

#include <stddef.h>

#define DECAY_AT_TASKS 512   /* total at which all counts are halved */
#define SAME_JOB_TASKS_MAX 8 /* consecutive tasks of one job that count */
/* Tasks and series of one job each that an estimate requires. */
#define TASKS_MIN 20
#define JOBS_MIN 3
#define CPU_PERCENTILE 95
#define MEM_PERCENTILE 98
/* Least size to commit. */
#define CPU_FLOOR_MILLI 10
#define MEM_FLOOR_MIB 16
#define USAGE_SAMPLES_MIN 10 /* before a commitment is lowered */
#define USAGE_STALE_MS 30000 /* greatest age of the newest sample */

/* The declared size may stay up to a ratio of 2^(1/4), one bucket above 1. */
#define RATIO_DECLARED_MAX 77936

/* Upper bound of a run time bucket. */
static int64_t run_upper_ms(unsigned int bucket)
{
	/* 2^(0/2) and 2^(1/2) in units of 1/65536. */
	static const uint64_t half_octaves[2] = { 65536, 92682 };
	uint64_t q = half_octaves[(bucket + 1) % 2];

	return (int64_t)((q << (bucket + 1) / 2) >> 16);
}

static unsigned int run_bucket(int64_t run_ms)
{
	unsigned int b = 0;

	while (b < VH_ESTIMATE_RUN_BUCKETS - 1 && run_upper_ms(b) < run_ms)
		b++;
	return b;
}

void vh_estimate_add(struct vh_estimate *e, uint64_t job,
		     const struct vh_res *declared, const struct vh_res *used,
		     int64_t run_ms)
{
	if (e->jobs && job == e->last_job) {
		if (++e->last_job_tasks > SAME_JOB_TASKS_MAX)
			return;
	} else {
		e->last_job = job;
		e->last_job_tasks = 1;
		e->jobs++;
	}
	if (used) {
		uint32_t n = e->n_use;

		vh_hist_decay(e->cpu, VH_RATIO_BUCKETS, &n, DECAY_AT_TASKS);
		vh_hist_decay(e->mem, VH_RATIO_BUCKETS, &e->n_use,
			      DECAY_AT_TASKS);
		e->cpu[vh_ratio_bucket(used->v[VH_CPU], declared->v[VH_CPU])]++;
		e->mem[vh_ratio_bucket(used->v[VH_MEM], declared->v[VH_MEM])]++;
		e->n_use++;
	}
	vh_hist_decay(e->run, VH_ESTIMATE_RUN_BUCKETS, &e->n_run,
		      DECAY_AT_TASKS);
	e->run[run_bucket(run_ms)]++;
	e->n_run++;
}

static uint32_t estimate_dimension(const uint16_t *counts, uint32_t total,
				   unsigned int percent, uint32_t declared,
				   uint32_t margin_divisor, uint32_t minimum)
{
	uint64_t ratio = vh_ratio_upper(
		vh_hist_quantile(counts, VH_RATIO_BUCKETS, total, percent));
	uint64_t size = ratio * declared >> 16;

	if (ratio <= RATIO_DECLARED_MAX &&
	    ratio + ratio / margin_divisor >= VH_RATIO_SCALE)
		return declared;
	size += size / margin_divisor;
	if (size < minimum)
		size = minimum < declared ? minimum : declared;
	return size < UINT32_MAX ? (uint32_t)size : UINT32_MAX - 1;
}

bool vh_estimate_size(const struct vh_estimate *e,
		      const struct vh_res *declared, struct vh_res *size)
{
	*size = *declared;
	if (e->n_use < TASKS_MIN || e->jobs < JOBS_MIN)
		return false;
	size->v[VH_CPU] =
		estimate_dimension(e->cpu, e->n_use, CPU_PERCENTILE,
				   declared->v[VH_CPU], 8, CPU_FLOOR_MILLI);
	size->v[VH_MEM] =
		estimate_dimension(e->mem, e->n_use, MEM_PERCENTILE,
				   declared->v[VH_MEM], 4, MEM_FLOOR_MIB);
	return size->v[VH_CPU] != declared->v[VH_CPU] ||
	       size->v[VH_MEM] != declared->v[VH_MEM];
}

int64_t vh_estimate_run_ms(const struct vh_estimate *e, unsigned int percent)
{
	if (e->n_run < TASKS_MIN)
		return 0;
	return run_upper_ms(vh_hist_quantile(e->run, VH_ESTIMATE_RUN_BUCKETS,
					     e->n_run, percent));
}

void vh_usage_init(struct vh_usage *u, const struct vh_res *committed)
{
	*u = (struct vh_usage){ .committed = *committed };
}

void vh_usage_sample(struct vh_usage *u, const struct vh_res *used,
		     int64_t at_ms)
{
	if (u->samples && at_ms <= u->newest_ms)
		return;
	if (!u->samples)
		u->first_ms = u->half_ms = at_ms;
	u->samples++;
	u->newest_ms = at_ms;
	if (at_ms - u->half_ms >= VH_USAGE_WINDOW_MS / 2) {
		for (int d = VH_CPU; d <= VH_MEM; d++) {
			u->peak[1][d] = u->peak[0][d];
			u->peak[0][d] = 0;
		}
		u->half_ms = at_ms;
	}
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		if (used->v[d] > u->peak[0][d])
			u->peak[0][d] = used->v[d];
	}
}

bool vh_usage_reclaim(const struct vh_usage *u, int64_t now_ms,
		      struct vh_res *committed)
{
	static const uint32_t minimum[] = { CPU_FLOOR_MILLI, MEM_FLOOR_MIB };
	bool lowered = false;

	*committed = u->committed;
	if (u->samples < USAGE_SAMPLES_MIN ||
	    u->newest_ms - u->first_ms < VH_USAGE_WINDOW_MS ||
	    now_ms - u->newest_ms > USAGE_STALE_MS)
		return false;
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		uint64_t peak = u->peak[0][d] > u->peak[1][d] ? u->peak[0][d]
							      : u->peak[1][d];

		peak += peak / 4;
		peak = peak > minimum[d] ? peak : minimum[d];
		if (peak >= u->committed.v[d])
			continue;
		committed->v[d] = (uint32_t)peak;
		lowered = true;
	}
	return lowered;
}

enum vh_usage_action vh_usage_action(const struct vh_usage *u,
				     const struct vh_res *used,
				     const struct vh_res *free,
				     bool can_checkpoint, struct vh_res *more)
{
	bool cpu = used->v[VH_CPU] > u->committed.v[VH_CPU];
	bool mem = used->v[VH_MEM] > u->committed.v[VH_MEM];
	bool room = true;

	*more = u->committed;
	if (!cpu && !mem)
		return VH_USAGE_OK;
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		if (used->v[d] <= u->committed.v[d])
			continue;
		more->v[d] = used->v[d];
		room &= used->v[d] - u->committed.v[d] <= free->v[d];
	}
	if (room)
		return VH_USAGE_RAISE;
	if (!mem)
		return VH_USAGE_THROTTLE;
	return can_checkpoint ? VH_USAGE_CHECKPOINT : VH_USAGE_STOP;
}
