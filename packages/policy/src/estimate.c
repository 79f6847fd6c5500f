#include "vh/estimate.h"

#include <stddef.h>

#define RATIO_ONE 24   /* bucket of a ratio just below 1 */
#define DECAY_AT 512   /* tasks after which old ones count half */
#define SAME_JOB_MAX 8 /* tasks of one job in a row that count */
#define TASKS_MIN 20
#define JOBS_MIN 3
#define CPU_PERCENT 95
#define MEM_PERCENT 98
#define CPU_FLOOR 10 /* thousandths of a processor */
#define MEM_FLOOR 16 /* MiB */
#define USAGE_SAMPLES_MIN 10
#define USAGE_STALE_MS 30000

#define RATIO_WHOLE 65536
#define RATIO_DECLARED_HOLDS 77936 /* a quarter of a power of two above 1 */

/* 2^(i/4) in 1/65536. */
static const uint32_t quarters[4] = { 65536, 77936, 92682, 110218 };

/* Upper end of a ratio's bucket, in 1/65536. */
static uint64_t ratio_of(unsigned int bucket)
{
	int octave = (int)(bucket + 1) / 4 - RATIO_ONE / 4;
	uint64_t q = quarters[(bucket + 1) % 4];

	return octave >= 0 ? q << octave : q >> -octave;
}

static unsigned int ratio_bucket(uint32_t used, uint32_t declared)
{
	uint64_t ratio = ((uint64_t)used << 16) / (declared ? declared : 1);
	unsigned int b = 0;

	while (b < VH_ESTIMATE_RATIO_BUCKETS - 1 && ratio_of(b) < ratio)
		b++;
	return b;
}

/* Upper end of a run time's bucket. */
static int64_t run_of(unsigned int bucket)
{
	uint64_t q = quarters[(bucket + 1) % 2 * 2];

	return (int64_t)((q << (bucket + 1) / 2) >> 16);
}

static unsigned int run_bucket(int64_t run_ms)
{
	unsigned int b = 0;

	while (b < VH_ESTIMATE_RUN_BUCKETS - 1 && run_of(b) < run_ms)
		b++;
	return b;
}

static void decay(uint16_t *counts, size_t n, uint32_t *total)
{
	if (*total < DECAY_AT)
		return;
	*total = 0;
	for (size_t i = 0; i < n; i++) {
		counts[i] /= 2;
		*total += counts[i];
	}
}

/* The bucket below which @percent of all lie. */
static unsigned int quantile(const uint16_t *counts, size_t n, uint32_t total,
			     unsigned int percent)
{
	uint64_t need = ((uint64_t)total * percent + 99) / 100, seen = 0;
	unsigned int b = 0;

	for (; b < n - 1; b++) {
		seen += counts[b];
		if (seen >= need)
			break;
	}
	return b;
}

void vh_estimate_add(struct vh_estimate *e, uint64_t job,
		     const struct vh_res *declared, const struct vh_res *used,
		     int64_t run_ms)
{
	if (e->jobs && job == e->last_job) {
		if (++e->last_job_tasks > SAME_JOB_MAX)
			return;
	} else {
		e->last_job = job;
		e->last_job_tasks = 1;
		e->jobs++;
	}
	if (used) {
		uint32_t n = e->n_use;

		decay(e->cpu, VH_ESTIMATE_RATIO_BUCKETS, &n);
		decay(e->mem, VH_ESTIMATE_RATIO_BUCKETS, &e->n_use);
		e->cpu[ratio_bucket(used->v[VH_CPU], declared->v[VH_CPU])]++;
		e->mem[ratio_bucket(used->v[VH_MEM], declared->v[VH_MEM])]++;
		e->n_use++;
	}
	decay(e->run, VH_ESTIMATE_RUN_BUCKETS, &e->n_run);
	e->run[run_bucket(run_ms)]++;
	e->n_run++;
}

static uint32_t sized(const uint16_t *counts, uint32_t total,
		      unsigned int percent, uint32_t declared,
		      uint32_t margin_part, uint32_t least)
{
	uint64_t ratio = ratio_of(
		quantile(counts, VH_ESTIMATE_RATIO_BUCKETS, total, percent));
	uint64_t size = ratio * declared >> 16;

	if (ratio <= RATIO_DECLARED_HOLDS &&
	    ratio + ratio / margin_part >= RATIO_WHOLE)
		return declared;
	size += size / margin_part;
	if (size < least)
		size = least < declared ? least : declared;
	return size < UINT32_MAX ? (uint32_t)size : UINT32_MAX - 1;
}

bool vh_estimate_size(const struct vh_estimate *e,
		      const struct vh_res *declared, struct vh_res *size)
{
	*size = *declared;
	if (e->n_use < TASKS_MIN || e->jobs < JOBS_MIN)
		return false;
	size->v[VH_CPU] = sized(e->cpu, e->n_use, CPU_PERCENT,
				declared->v[VH_CPU], 8, CPU_FLOOR);
	size->v[VH_MEM] = sized(e->mem, e->n_use, MEM_PERCENT,
				declared->v[VH_MEM], 4, MEM_FLOOR);
	return size->v[VH_CPU] != declared->v[VH_CPU] ||
	       size->v[VH_MEM] != declared->v[VH_MEM];
}

int64_t vh_estimate_run_ms(const struct vh_estimate *e, unsigned int percent)
{
	if (e->n_run < TASKS_MIN)
		return 0;
	return run_of(
		quantile(e->run, VH_ESTIMATE_RUN_BUCKETS, e->n_run, percent));
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
	static const uint32_t least[] = { CPU_FLOOR, MEM_FLOOR };
	bool lower = false;

	*committed = u->committed;
	if (u->samples < USAGE_SAMPLES_MIN ||
	    u->newest_ms - u->first_ms < VH_USAGE_WINDOW_MS ||
	    now_ms - u->newest_ms > USAGE_STALE_MS)
		return false;
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		uint64_t peak = u->peak[0][d] > u->peak[1][d] ? u->peak[0][d]
							      : u->peak[1][d];

		peak += peak / 4;
		peak = peak > least[d] ? peak : least[d];
		if (peak >= u->committed.v[d])
			continue;
		committed->v[d] = (uint32_t)peak;
		lower = true;
	}
	return lower;
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
