#include "eng_priv.h"

/*
 * Drain of availability zones, and workers that are cold.
 *
 * The owner passes the zones that operators drain. Their workers are neither
 * usable nor accept starts, so placement, reservations and advice leave them
 * out, and a start is checked again when it is sent or resent. Tasks that run
 * there end by themselves.
 */
#define UNANSWERED_START_MS 250	    /* age at which a start is stopped */
#define SPREAD_COST 8.0		    /* of a full zone, while others drain */
#define COLD_URGENT_COST 100.0	    /* below that of a reserved worker */
#define COLD_FILL_COST 20.0	    /* of a cold worker that is full */
#define COLD_MAX_MS INT64_C(600000) /* longer times are taken for errors */

void eng_zone_free(gpointer p)
{
	struct zone *z = p;

	g_free(z->name);
	g_free(z);
}

struct zone *eng_zone_get(struct engine *e, struct vh_slice name)
{
	char *key = vh_slice_dup(name);
	struct zone *z = g_hash_table_lookup(e->zones, key);

	if (z) {
		g_free(key);
		return z;
	}
	z = g_new0(struct zone, 1);
	z->name = key;
	g_hash_table_insert(e->zones, z->name, z);
	return z;
}

/* Counts the zone's listed workers and the tasks on all of them. */
static struct eng_zone_status zone_status(const struct engine *e,
					  const struct zone *z)
{
	struct eng_zone_status s = {
		.zone = eng_str(z->name),
		.drained = z->drained,
		.drained_ms = e->now_ms - z->drained_at_ms,
		.prevented = z->prevented,
	};

	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		if (w->zone != z) {
			s.n_other_workers += w->listed && !w->zone->drained;
			continue;
		}
		s.n_workers += w->listed;
		s.n_tasks += w->tasks->len;
	}
	return s;
}

static void report_zone(struct engine *e, const struct zone *z,
			const char *what)
{
	struct eng_zone_status s = zone_status(e, z);

	if (e->callbacks.zone_event)
		e->callbacks.zone_event(e->callbacks.ctx, what, &s);
}

void eng_zone_prevented(struct engine *e, struct task *t)
{
	t->worker->zone->prevented++;
	e->stats.zone_starts_prevented++;
}

/* A task whose start was not sent, or whose start has no answer in time. */
static struct task *find_to_clear(const struct engine *e,
				  const struct worker *w)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = w->tasks->pdata[i];

		if (t->state == TASK_STORING)
			return t;
		if (t->state == TASK_STARTING &&
		    e->now_ms - t->since_ms >= UNANSWERED_START_MS)
			return t;
	}
	return NULL;
}

/*
 * Takes back what may still start on a worker. A start that was sent may be
 * carried out late, so its run is stopped, without waiting for its reply to
 * time out. Each round searches anew, since the loss of a gang's task changes
 * other tasks.
 */
static void clear_worker(struct engine *e, struct worker *w)
{
	struct task *t;

	while ((t = find_to_clear(e, w))) {
		eng_zone_prevented(e, t);
		if (t->state == TASK_STORING) {
			eng_task_lost(e, t, "not sent, zone drained");
			continue;
		}
		eng_report_decision(e, "no answer, zone drained", t, w);
		eng_task_stop(e, t);
	}
}

void eng_zone_clear_worker(struct engine *e, struct worker *w)
{
	w->zone_drained = w->zone->drained;
	if (!w->zone_drained)
		return;
	w->reserved_at_ms = 0;
	memset(&w->reserved, 0, sizeof(w->reserved));
	clear_worker(e, w);
}

/* Gangs choose their workers again, and nothing is reserved until then. */
static void release_reservations(struct engine *e)
{
	for (guint i = 0; i < e->runnable_steps->len; i++) {
		struct step *s = e->runnable_steps->pdata[i];

		s->plan_expires_ms = 0;
		s->reservation_active = false;
	}
}

static void start_drain(struct engine *e, struct zone *z)
{
	struct eng_zone_status s;

	z->drained = true;
	z->empty_reported = false;
	z->drained_at_ms = e->now_ms;
	z->prevented = 0;
	s = zone_status(e, z);
	if (!s.n_workers)
		report_zone(e, z, "zone drained, it has no workers");
	else if (!s.n_other_workers)
		report_zone(e, z, "zone drained, no workers are left");
	else
		report_zone(e, z, "zone drained");
}

static void end_drain(struct engine *e, struct zone *z)
{
	z->drained = false;
	report_zone(e, z, "zone drain ended");
}

static bool is_listed(const struct vh_slice *zones, size_t n, const char *name)
{
	for (size_t i = 0; i < n; i++) {
		if (vh_slice_eq_str(zones[i], name))
			return true;
	}
	return false;
}

static bool end_drains(struct engine *e, const struct vh_slice *zones, size_t n)
{
	GHashTableIter it;
	gpointer p;
	bool changed = false;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct zone *z = p;

		if (!z->drained || is_listed(zones, n, z->name))
			continue;
		end_drain(e, z);
		changed = true;
	}
	return changed;
}

static bool start_drains(struct engine *e, const struct vh_slice *zones,
			 size_t n)
{
	bool changed = false;

	for (size_t i = 0; i < n; i++) {
		struct zone *z =
			zones[i].len ? eng_zone_get(e, zones[i]) : NULL;

		if (!z || z->drained)
			continue;
		start_drain(e, z);
		changed = true;
	}
	return changed;
}

static void clear_zones(struct engine *e)
{
	release_reservations(e);
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];

		eng_zone_clear_worker(e, w);
		eng_index_relist(e, w);
		eng_worker_touch(e, w);
	}
}

void eng_set_drained_zones(struct engine *e, const struct vh_slice *zones,
			   size_t n, int64_t now_ms)
{
	bool ended;
	bool started;

	e->now_ms = now_ms;
	ended = end_drains(e, zones, n);
	started = start_drains(e, zones, n);
	e->n_drained_zones = n;
	if (ended || started)
		clear_zones(e);
}

static void report_empty(struct engine *e)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct zone *z = p;

		if (!z->drained || z->empty_reported || z->n_tasks)
			continue;
		z->empty_reported = true;
		report_zone(e, z, "drained zone is empty");
	}
}

/* Counts what each zone has and uses, once per pass. */
static void count_zones(struct engine *e)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct zone *z = p;

		z->n_tasks = 0;
		z->cpu = 0;
		z->used_cpu = 0;
	}
	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		w->zone->n_tasks += w->tasks->len;
		w->zone->used_cpu += w->used.cpu_milli;
		if (w->listed)
			w->zone->cpu += w->capacity.cpu_milli;
	}
}

void eng_poll_zones(struct engine *e)
{
	if (!e->n_drained_zones || !e->ready)
		return;
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];

		if (w->zone->drained)
			clear_worker(e, w);
	}
	count_zones(e);
	report_empty(e);
}

size_t eng_drained_zones(const struct engine *e, struct eng_zone_status *out,
			 size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, e->zones);
	while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
		const struct zone *z = p;

		if (z->drained)
			out[n++] = zone_status(e, z);
	}
	return n;
}

void eng_worker_set_cold(struct engine *e, struct worker *w,
			 int64_t remaining_ms)
{
	if (remaining_ms <= 0 || remaining_ms > COLD_MAX_MS)
		w->cold_until_ms = 0;
	else
		w->cold_until_ms = e->now_ms + remaining_ms;
}

static double cold_cost(const struct engine *e, const struct step *s,
			const struct worker *w)
{
	if (w->cold_until_ms <= e->now_ms || !w->capacity.cpu_milli)
		return 0;
	if (eng_worker_cold_for(e, s, w))
		return COLD_URGENT_COST;
	return COLD_FILL_COST * (double)w->used.cpu_milli /
	       (double)w->capacity.cpu_milli;
}

double eng_zone_cost(const struct engine *e, const struct step *s,
		     const struct worker *w)
{
	double c = cold_cost(e, s, w);

	if (e->n_drained_zones && w->zone->cpu)
		c += SPREAD_COST * (double)w->zone->used_cpu /
		     (double)w->zone->cpu;
	return c;
}
