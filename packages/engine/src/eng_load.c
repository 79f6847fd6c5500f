#include "vh/eng_load.h"

#include "eng_priv.h"

/*
 * Backlog and drain rate by queue. Only processors count: memory and
 * accelerators can make the real rate lower, never higher, so that the wait is
 * not overestimated.
 */
#define CORE_MILLI 1000
#define CUTOFF_FACTOR 3 /* time to the cutoff, in objectives */
#define NEVER_MS (INT64_MAX / 4)

/* Bound of a step's work, so that the sums over all steps cannot overflow. */
#define STEP_WORK_MAX 1e12

void eng_load_init(struct eng_load *l)
{
	l->queues = g_array_new(FALSE, TRUE, sizeof(struct eng_queue_load));
	l->names = g_string_chunk_new(256);
	l->at_ms = 0;
}

void eng_load_finish(struct eng_load *l)
{
	g_array_free(l->queues, TRUE);
	g_string_chunk_free(l->names);
}

void eng_load_clear(struct eng_load *l)
{
	g_array_set_size(l->queues, 0);
	g_string_chunk_clear(l->names);
}

struct eng_queue_load *eng_load_add(struct eng_load *l, struct vh_slice queue)
{
	struct eng_queue_load q = { .queue.len = queue.len };

	q.queue.data = g_string_chunk_insert_len(
		l->names, queue.data ? queue.data : "", (gssize)queue.len);
	g_array_append_val(l->queues, q);
	return &g_array_index(l->queues, struct eng_queue_load,
			      l->queues->len - 1);
}

struct eng_queue_load *eng_load_find(const struct eng_load *l,
				     struct vh_slice queue)
{
	for (guint i = 0; i < l->queues->len; i++) {
		struct eng_queue_load *q =
			&g_array_index(l->queues, struct eng_queue_load, i);

		if (vh_slice_eq(q->queue, queue))
			return q;
	}
	return NULL;
}

static int64_t tasks_work(const struct eng_step_spec *s, uint32_t n_tasks)
{
	if (s->filler || s->service)
		return 0;
	return (int64_t)MIN((double)s->need.cpu_milli * (double)s->estimate_ms *
				    n_tasks / CORE_MILLI,
			    STEP_WORK_MAX);
}

/*
 * Waiting work of a runnable step. The first runnable step of a job also counts
 * the steps that are not runnable yet.
 */
static int64_t waiting_work(const struct step *s)
{
	int64_t work = tasks_work(s->spec, s->n_waiting);
	const struct job *j = s->job;

	for (uint32_t i = 0; i < s->number; i++) {
		if (j->steps[i].runnable)
			return work;
	}
	for (size_t i = 0; i < j->spec->n_steps; i++) {
		const struct step *other = &j->steps[i];

		if (!other->runnable && other->n_waiting)
			work += tasks_work(other->spec, other->n_waiting);
	}
	return work;
}

/* The number of a service among @pools, which is extended by new ones. */
static uint32_t pool_number(GPtrArray *pools, const char *service)
{
	guint i;

	if (!g_ptr_array_find(pools, service, &i)) {
		i = pools->len;
		g_ptr_array_add(pools, (gpointer)service);
	}
	return i;
}

static void add_step(const struct engine *e, struct eng_load *l,
		     GPtrArray *pools, const struct step *s)
{
	const struct job *j = s->job;
	struct vh_slice name = eng_str(j->queue->name);
	struct eng_queue_load *q = eng_load_find(l, name);
	int64_t work = (int64_t)((double)waiting_work(s) *
				 MIN(j->queue->usual_ratio, 1.0));
	int64_t end_ms = e->now_ms + s->critical_path_ms;
	int64_t expired_ms = end_ms - j->cutoff_ms;

	if (!q) {
		q = eng_load_add(l, name);
		q->pool = pool_number(pools, j->service);
		q->priority = j->spec->priority;
	}
	if (j->over_share) {
		q->over_work += work;
		return;
	}
	if (end_ms > j->due_ms && expired_ms < j->cutoff_ms - j->accepted_ms)
		q->late = true;
	if (expired_ms > 0)
		q->dead_work += work;
	else
		q->work += work;
}

static int64_t pool_rate(const struct engine *e, const char *service)
{
	int64_t rate = 0;

	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		if (w->service == service && eng_worker_usable(e, w))
			rate += w->capacity.cpu_milli;
	}
	return rate;
}

void eng_load_compute(const struct engine *e, struct eng_load *l,
		      int64_t now_ms)
{
	GPtrArray *pools = g_ptr_array_new();
	int64_t *rates;

	eng_load_clear(l);
	l->at_ms = now_ms;
	for (guint i = 0; i < e->runnable_steps->len; i++)
		add_step(e, l, pools, e->runnable_steps->pdata[i]);
	rates = g_new0(int64_t, pools->len);
	for (guint i = 0; i < pools->len; i++)
		rates[i] = pool_rate(e, pools->pdata[i]);
	for (guint i = 0; i < l->queues->len; i++) {
		struct eng_queue_load *q =
			&g_array_index(l->queues, struct eng_queue_load, i);

		q->rate_milli = rates[q->pool];
	}
	g_free(rates);
	g_ptr_array_free(pools, TRUE);
}

/*
 * A job within its team's share waits for the work within the shares of its own
 * and higher priorities, one beyond it for everything. Work without value goes
 * last, but as long as late work waits in such a queue, the cores are taken by
 * what can be in time and all work in front counts: otherwise each job that
 * loses its value would make room to accept the next one that will.
 */
int64_t eng_load_wait_ms(const struct eng_load *l,
			 const struct eng_queue_load *q, bool over_share,
			 bool *late)
{
	int64_t ahead = 0;
	int64_t dead = 0;

	*late = false;
	if (q->rate_milli <= 0)
		return 0;
	for (guint i = 0; i < l->queues->len; i++) {
		const struct eng_queue_load *other =
			&g_array_index(l->queues, struct eng_queue_load, i);

		if (other->pool != q->pool ||
		    (!over_share && other->priority > q->priority))
			continue;
		ahead += other->work + (over_share ? other->over_work : 0);
		dead += other->dead_work;
		*late = *late || other->late;
	}
	if (*late)
		ahead += dead;
	return (int64_t)((double)ahead * CORE_MILLI / (double)q->rate_milli);
}

struct eng_job_size eng_job_measure(const struct eng_job_spec *spec)
{
	int64_t *paths = g_new0(int64_t, spec->n_steps);
	struct eng_job_size size = { 0 };
	bool service = false;
	double objective_ms;

	eng_critical_paths_ms(spec, paths);
	for (size_t i = 0; i < spec->n_steps; i++) {
		size.work +=
			tasks_work(&spec->steps[i], spec->steps[i].n_tasks);
		size.critical_path_ms = MAX(size.critical_path_ms, paths[i]);
		service = service || spec->steps[i].service;
	}
	g_free(paths);
	objective_ms = spec->stretch * (double)size.critical_path_ms +
		       (double)spec->target_ms;
	/* A service ends when it is cancelled, so it is never too late. */
	if (service || objective_ms >= (double)NEVER_MS / CUTOFF_FACTOR)
		objective_ms = (double)NEVER_MS / CUTOFF_FACTOR;
	size.objective_ms = (int64_t)objective_ms;
	size.cutoff_ms = CUTOFF_FACTOR * size.objective_ms;
	return size;
}

bool eng_team_over_share(const struct engine *e, struct vh_slice team,
			 int64_t now_ms)
{
	char *key = vh_slice_dup(team);
	const struct team *t = g_hash_table_lookup(e->teams, key);
	struct team copy;

	g_free(key);
	if (!t)
		return false;
	copy = *t;
	return !eng_team_take_token(&copy, now_ms);
}
