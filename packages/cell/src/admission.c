#include "admission.h"

#define CLOCK_SKEW_MS 200 /* a view may be ahead of this node's clock by this */
#define WAIT_FACTOR 0.9	  /* of the expected wait, in the caller's favour */

/*
 * A team or queue of which nothing was accepted for this long gets one job in,
 * so that none is shut out. Teams are many, so their interval is longer. The
 * minimum rate of a queue is for teams within their share. The interval is so
 * long that FLOOR_SHARE of the pool can do the job: at one a second, gangs that
 * were let in took 0.8 of a pool of 192 cores and were never served.
 */
#define TEAM_FLOOR_MS 5000
#define QUEUE_FLOOR_MS 1000
#define QUEUE_FLOOR_OVER_SHARE_MS 5000
#define FLOOR_MAX_MS 20000
#define FLOOR_SHARE 0.05
#define FLOOR_KEYS_MAX 4096

#define RETRY_BASE_MAX_S 5 /* before the spread */
#define RETRY_SPREAD_S 4   /* the sum stays below ADMISSION_RETRY_MAX_S + 1 */
#define RETRY_SPREAD_AGAIN_S 2 /* for a job that was refused before */
#define REFUSED_MEMORY_MS 60000

G_STATIC_ASSERT(RETRY_BASE_MAX_S + RETRY_SPREAD_S - 1 == ADMISSION_RETRY_MAX_S);

bool admission_view_usable(int64_t at_ms, int64_t now_ms)
{
	return at_ms > 0 && at_ms <= now_ms + CLOCK_SKEW_MS &&
	       at_ms >= now_ms - ADMISSION_VIEW_MAX_AGE_MS;
}

/*
 * Work has value until its cutoff, if it is served when it is late. Late work
 * beyond its team's share goes last (eng_order.c); other late work waits as long
 * as there is enough that can be in time. In both cases the job has to be in
 * time: with the cutoff as the limit, a third of the work accepted in 40 s of
 * overload became late and was never served.
 */
int64_t admission_excess_ms(const struct eng_load *load,
			    const struct admission_job *job, int64_t *wait_ms)
{
	const struct eng_queue_load *q = eng_load_find(load, job->queue);
	int64_t limit_ms = job->size.cutoff_ms;
	int64_t raw_ms;
	bool late;

	*wait_ms = 0;
	if (!q)
		return 0;
	raw_ms = eng_load_wait_ms(load, q, job->over_share, &late);
	*wait_ms = (int64_t)((double)raw_ms * WAIT_FACTOR);
	/* Without work in front, the job is not late because of the load. */
	if (*wait_ms <= 0)
		return 0;
	if (late || job->over_share)
		limit_ms = job->size.objective_ms;
	return *wait_ms + job->size.critical_path_ms - limit_ms;
}

void admission_init(struct admission *a)
{
	memset(a, 0, sizeof(*a));
	a->accepted_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void admission_finish(struct admission *a)
{
	g_hash_table_destroy(a->accepted_ms);
}

static char *floor_key(char kind, struct vh_slice name)
{
	return g_strdup_printf("%c%.*s", kind, VH_SLICE_ARGS(name));
}

static void note(struct admission *a, char kind, struct vh_slice name,
		 int64_t now_ms)
{
	char *key = floor_key(kind, name);
	int64_t *at = g_hash_table_lookup(a->accepted_ms, key);

	if (at) {
		*at = now_ms;
		g_free(key);
		return;
	}
	if (g_hash_table_size(a->accepted_ms) >= FLOOR_KEYS_MAX)
		g_hash_table_remove_all(a->accepted_ms);
	at = g_new(int64_t, 1);
	*at = now_ms;
	g_hash_table_insert(a->accepted_ms, key, at);
}

void admission_note_accepted(struct admission *a,
			     const struct admission_job *job, int64_t now_ms)
{
	note(a, 't', job->team, now_ms);
	note(a, 'q', job->queue, now_ms);
}

static bool below_floor(const struct admission *a, char kind,
			struct vh_slice name, int64_t interval_ms,
			int64_t now_ms)
{
	char *key = floor_key(kind, name);
	const int64_t *at = g_hash_table_lookup(a->accepted_ms, key);

	g_free(key);
	return !at || now_ms - *at >= interval_ms;
}

void admission_suspend(struct admission *a, int64_t now_ms)
{
	a->suspended_until_ms =
		MAX(a->suspended_until_ms, now_ms + ADMISSION_SUSPENDED_MS);
}

/* How long FLOOR_SHARE of the job's pool takes to do its work. */
static int64_t floor_ms(const struct eng_load *load,
			const struct admission_job *job)
{
	const struct eng_queue_load *q = eng_load_find(load, job->queue);
	double ms;

	if (!q || q->rate_milli <= 0)
		return 0;
	ms = (double)job->size.work * 1000 /
	     ((double)q->rate_milli * FLOOR_SHARE);
	return (int64_t)MIN(ms, FLOOR_MAX_MS);
}

bool admission_may_refuse(const struct admission *a,
			  const struct eng_load *load,
			  const struct admission_job *job, int64_t now_ms)
{
	int64_t queue_ms =
		job->over_share ? QUEUE_FLOOR_OVER_SHARE_MS : QUEUE_FLOOR_MS;
	int64_t work_ms = floor_ms(load, job);

	if (now_ms < a->suspended_until_ms)
		return false;
	return !below_floor(a, 't', job->team, MAX(TEAM_FLOOR_MS, work_ms),
			    now_ms) &&
	       !below_floor(a, 'q', job->queue, MAX(queue_ms, work_ms), now_ms);
}

static uint64_t id_hash(uint64_t id)
{
	return vh_slice_hash(vh_slice((const char *)&id, sizeof(id)), 0);
}

int admission_refuse(struct admission *a, const struct admission_job *job,
		     int64_t excess_ms, int64_t now_ms)
{
	uint64_t hash = id_hash(job->id);
	struct admission_refused *r =
		&a->refused[hash % ADMISSION_REFUSED_SLOTS];
	int64_t base_s;

	if (r->id != job->id || now_ms - r->at_ms > REFUSED_MEMORY_MS)
		r->times = 0;
	/* The backlog shrinks by one millisecond of wait each millisecond. */
	base_s = CLAMP((excess_ms + 999) / 1000, 1, RETRY_BASE_MAX_S);
	base_s = MAX(base_s / (1 + (int64_t)r->times), 1);
	r->id = job->id;
	r->at_ms = now_ms;
	r->times++;
	hash /= ADMISSION_REFUSED_SLOTS;
	hash %= r->times > 1 ? RETRY_SPREAD_AGAIN_S : RETRY_SPREAD_S;
	return (int)base_s + (int)hash;
}
