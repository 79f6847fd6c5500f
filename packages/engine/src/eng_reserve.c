#include "eng_priv.h"

/*
 * Reservations for gangs that do not fit yet.
 *
 * In a cluster with 80 % load, a gang of 20 tasks needs a third of its approved
 * workers at the same time. Without reservations, smaller tasks that arrive
 * later fill every gap, so the widest gangs, which are worth most, starve until
 * the load drops. A gang that does not fit reserves the workers whose running
 * tasks are expected to end first; steps placed after it do not use them.
 */
#define PLAN_TTL_MS 150		  /* until the workers are chosen again */
#define RESERVED_SHARE_MAX 0.35	  /* of all processors, if several gangs wait */
#define RECENTLY_RESERVED_MS 300  /* since a gang last waited for a worker */
#define PREEMPTIONS_MAX 2	  /* how often one task is stopped for gangs */
#define PREEMPT_SLACK_MIN_MS 2500 /* of the job of a preempted task */
#define PREEMPT_INTERVAL_MS 1200  /* between two preemptions for a gang */
#define SLOTS_FACTOR 4		  /* slots to choose from, per task of a gang */

/* A worker that can take one more task of the gang, and end it, after so long. */
struct free_slot {
	int64_t in_ms;
	int64_t end_ms;
	struct worker *w;
};

bool eng_recently_reserved(const struct engine *e, const struct worker *w)
{
	return w->reserved_at_ms &&
	       e->now_ms - w->reserved_at_ms < RECENTLY_RESERVED_MS;
}

/*
 * Whether a task may be stopped for a gang: it has a lower priority, it saves
 * checkpoints, so that its work is not lost, and its job either has slack or
 * has already missed its objective.
 */
static bool preemptible(const struct engine *e, const struct step *gang,
			const struct task *t)
{
	const struct step *s = t->step;
	int64_t slack = s->job->due_ms - e->now_ms - eng_path_ms(s);

	if (t->state != TASK_RUNNING || t->done || t->request_pending)
		return false;
	if (s->spec->gang || s->spec->service || !s->spec->checkpoints)
		return false;
	if (s->job->spec->priority <= gang->job->spec->priority)
		return false;
	return t->preempt_count < PREEMPTIONS_MAX &&
	       (slack >= PREEMPT_SLACK_MIN_MS || e->now_ms > s->job->due_ms);
}

/* Estimated time until a task releases its resources; -1: unbounded. */
static int64_t remaining_ms(const struct engine *e, const struct task *t)
{
	int64_t elapsed = e->now_ms - t->since_ms;

	if (t->state == TASK_STOPPING)
		return MAX(e->settings.stop_ms - elapsed, 0);
	if (t->step->spec->service)
		return -1;
	return eng_speed_remaining_ms(e, t);
}

static int by_end_time(gconstpointer a, gconstpointer b)
{
	const struct free_slot *x = a;
	const struct free_slot *y = b;

	if (x->end_ms != y->end_ms)
		return x->end_ms < y->end_ms ? -1 : 1;
	/* Prefers workers reserved before, to keep the choice stable. */
	return x->w->reserved_at_ms > y->w->reserved_at_ms ? -1
	       : x->w->reserved_at_ms < y->w->reserved_at_ms
		       ? 1
		       : strcmp(x->w->id, y->w->id);
}

/* Resources that a task is expected to release after @in_ms. */
struct release {
	int64_t in_ms;
	struct eng_resources resources;
};

static int by_release_time(const void *a, const void *b)
{
	const struct release *x = a;
	const struct release *y = b;

	return x->in_ms < y->in_ms ? -1 : x->in_ms > y->in_ms;
}

static size_t releases_on(const struct engine *e, const struct step *s,
			  const struct worker *w, struct release *out)
{
	size_t n = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = w->tasks->pdata[i];
		int64_t in = remaining_ms(e, t);

		if (preemptible(e, s, t))
			in = MIN(in, e->settings.stop_ms);
		if (in < 0)
			continue;
		out[n].in_ms = in;
		out[n].resources = t->step->spec->need;
		if (t->step->spec->filler)
			out[n].resources.cpu_milli = 0;
		n++;
	}
	qsort(out, n, sizeof(*out), by_release_time);
	return n;
}

/*
 * Appends one entry for each task of the step that the worker can take, now or
 * once its running tasks have ended.
 */
static void free_slots_on(const struct engine *e, const struct step *s,
			  struct worker *w, GArray *out)
{
	struct release *releases = g_new(struct release, w->tasks->len + 1);
	size_t n = releases_on(e, s, w, releases);
	struct eng_resources free = eng_free_resources(w);
	int64_t run_ms = (int64_t)(eng_expected_ms(s) / eng_speed(w));
	uint32_t n_slots = 0;

	for (size_t i = 0; i <= n && n_slots < s->spec->n_tasks; i++) {
		int64_t in_ms = i ? releases[i - 1].in_ms : 0;
		struct free_slot slot = { in_ms, in_ms + run_ms, w };
		uint32_t fits;

		if (i) {
			free.cpu_milli += releases[i - 1].resources.cpu_milli;
			free.mem_mb += releases[i - 1].resources.mem_mb;
			free.gpu += releases[i - 1].resources.gpu;
		}
		fits = eng_tasks_fitting(s, free);
		if (s->spec->max_per_worker)
			fits = MIN(fits, s->spec->max_per_worker);
		for (; n_slots < fits; n_slots++)
			g_array_append_val(out, slot);
	}
	g_free(releases);
}

static bool is_candidate(struct engine *e, const struct step *s,
			 const struct worker *w)
{
	e->stats.workers_examined++;
	return eng_worker_usable(e, w) && eng_worker_matches(s, w);
}

static struct reservation *reservation_for(struct step *s, struct worker *w)
{
	struct reservation r = { w, 0 };

	for (guint i = 0; i < s->reservations->len; i++) {
		struct reservation *existing =
			&g_array_index(s->reservations, struct reservation, i);

		if (existing->w == w)
			return existing;
	}
	g_array_append_val(s->reservations, r);
	return &g_array_index(s->reservations, struct reservation,
			      s->reservations->len - 1);
}

/*
 * A gang that needs no advice begins in its part of the cell, and does not look
 * at further parts once it could choose between SLOTS_FACTOR times its slots.
 */
static void collect_free_slots(struct engine *e, struct step *s, GArray *slots)
{
	struct room_scan scan;
	struct worker *w;

	if (s->job->spec->advice.needed) {
		for (guint i = 0; i < s->approved->len; i++) {
			w = g_array_index(s->approved, struct approval, i).w;
			if (is_candidate(e, s, w))
				free_slots_on(e, s, w, slots);
		}
		return;
	}
	eng_scan_begin(e, s, &scan);
	while (slots->len < SLOTS_FACTOR * s->spec->n_tasks &&
	       eng_scan_next_part(&scan)) {
		while ((w = eng_scan_next_listed(&scan))) {
			if (is_candidate(e, s, w))
				free_slots_on(e, s, w, slots);
		}
	}
}

/* Chooses the workers on which the gang is expected to fit first. */
static void plan_reservations(struct engine *e, struct step *s)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct free_slot));
	uint32_t n = s->spec->n_tasks;

	s->plan_expires_ms = e->now_ms + PLAN_TTL_MS;
	if (!s->reservations)
		s->reservations =
			g_array_new(FALSE, FALSE, sizeof(struct reservation));
	g_array_set_size(s->reservations, 0);
	collect_free_slots(e, s, slots);
	s->enough_advised = slots->len >= n;
	if (s->enough_advised) {
		g_array_sort(slots, by_end_time);
		s->est_wait_ms = 0;
		for (uint32_t i = 0; i < n; i++) {
			const struct free_slot *slot =
				&g_array_index(slots, struct free_slot, i);

			reservation_for(s, slot->w)->slots++;
			s->est_wait_ms = MAX(s->est_wait_ms, slot->in_ms);
		}
	}
	g_array_free(slots, TRUE);
}

void eng_reservations_clear(struct engine *e)
{
	e->reserved_cpu = 0;
	for (guint i = 0; i < e->reserved_workers->len; i++) {
		struct worker *w = e->reserved_workers->pdata[i];

		e->stats.workers_examined++;
		memset(&w->reserved, 0, sizeof(w->reserved));
		eng_index_update(e, w);
	}
	g_ptr_array_set_size(e->reserved_workers, 0);
}

const char *eng_gang_plan(struct engine *e, struct step *s)
{
	int64_t gang_cpu = s->spec->n_tasks * s->spec->need.cpu_milli;

	s->reservation_active = false;
	if (s->plan_expires_ms <= e->now_ms)
		plan_reservations(e, s);
	if (!s->enough_advised)
		return "gang waits for advice";
	if (e->reserved_cpu &&
	    (double)(e->reserved_cpu + gang_cpu) >
		    RESERVED_SHARE_MAX * (double)e->cpu_capacity)
		return "gang waits behind others";
	if (e->now_ms + s->est_wait_ms + eng_path_ms(s) > s->job->cutoff_ms)
		return "gang waits, too late to earn";
	s->reservation_active = true;
	return "gang waits for its room";
}

void eng_gang_reserve(struct engine *e, const struct step *s)
{
	const struct eng_resources *need = &s->spec->need;

	for (guint i = 0; s->reservation_active && i < s->reservations->len;
	     i++) {
		const struct reservation *r =
			&g_array_index(s->reservations, struct reservation, i);

		r->w->reserved.cpu_milli += r->slots * need->cpu_milli;
		r->w->reserved.mem_mb += r->slots * need->mem_mb;
		r->w->reserved.gpu += r->slots * need->gpu;
		r->w->reserved_at_ms = e->now_ms;
		g_ptr_array_add(e->reserved_workers, r->w);
		eng_index_update(e, r->w);
		e->reserved_cpu += r->slots * need->cpu_milli;
	}
}

/* Stops tasks until the gang's slots on the worker will be free. */
static void preempt_on(struct engine *e, struct step *s,
		       const struct reservation *r)
{
	struct eng_resources free = eng_free_resources(r->w);

	for (guint i = 0; i < r->w->tasks->len; i++) {
		struct task *t = r->w->tasks->pdata[i];

		if (t->state == TASK_STOPPING)
			eng_resources_add(&free, t->step->spec, 1);
	}
	for (guint i = 0; i < r->w->tasks->len; i++) {
		struct task *t = r->w->tasks->pdata[i];

		if (eng_tasks_fitting(s, free) >= r->slots)
			return;
		if (!preemptible(e, s, t))
			continue;
		eng_resources_add(&free, t->step->spec, 1);
		t->preempt_count++;
		eng_report_decision(e, "yields to a gang", t, r->w);
		eng_task_stop(e, t);
	}
}

void eng_gang_preempt(struct engine *e, struct step *s)
{
	if (!s->reservation_active || s->est_wait_ms > e->settings.stop_ms ||
	    e->now_ms < s->next_preempt_ms)
		return;
	s->next_preempt_ms = e->now_ms + PREEMPT_INTERVAL_MS;
	for (guint i = 0; i < s->reservations->len; i++)
		preempt_on(e, s,
			   &g_array_index(s->reservations, struct reservation,
					  i));
}

uint32_t eng_reserved_slots(const struct step *s, const struct worker *w)
{
	for (guint i = 0; s->reservation_active && i < s->reservations->len;
	     i++) {
		const struct reservation *r =
			&g_array_index(s->reservations, struct reservation, i);

		if (r->w == w)
			return r->slots;
	}
	return 0;
}
