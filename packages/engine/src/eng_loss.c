#include "eng_priv.h"

/*
 * Runs that are lost with their workers.
 *
 * A run that crashes its worker is never reported as failed, so each run that
 * was on a worker when it crashed counts as a loss of its task. Most of them are
 * bystanders. A task is a suspect if it had just started. Suspects have their
 * next start on trial: on a worker with little other work, and apart from each
 * other, so that a second crash hits few and has one candidate for its cause.
 * After several losses the whole run is a trial, since a task may also crash its
 * worker late.
 *
 * A worker is known to have crashed once another boot answers in its place.
 * Until then it may be cut off, which is no fault of its tasks.
 */
#define JUST_STARTED_MS 200   /* age of a run that makes its task a suspect */
#define SUSPECT_RUNS_MAX 2    /* losses as a suspect, then the job fails */
#define CRASHED_RUNS_MAX 4    /* losses in crashes, suspect or not */
#define STARTED_CRASHES_MIN 2 /* of these, with a start that was confirmed */
#define LOST_RUNS_MAX 5	      /* losses of all kinds */
#define FREE_LOSSES 3	      /* losses after which starts are limited */
#define STARTS_AFTER_LOSSES 2 /* limit of the starts after these */
#define LONG_TRIAL_CRASHES 2  /* losses in crashes after which the whole run, */
#define LONG_TRIAL_LOSSES 3   /* or of all kinds, is a trial */
#define STABLE_RUN_MS 600000  /* a run as long clears its task's losses */
#define PROOF_WAIT_MS 20000   /* an unproven crash is looked into so long */

static unsigned int count_losses(const struct task *t, enum loss_kind at_least)
{
	unsigned int n = 0;

	for (guint i = 0; t->losses && i < t->losses->len; i++)
		n += g_array_index(t->losses, struct loss, i).kind >= at_least;
	return n;
}

unsigned int eng_task_losses(const struct task *t)
{
	return count_losses(t, LOSS_UNPROVEN);
}

static struct loss *find_loss(const struct task *t, uint32_t run)
{
	for (guint i = 0; t->losses && i < t->losses->len; i++) {
		struct loss *l = &g_array_index(t->losses, struct loss, i);

		if (l->run == run)
			return l;
	}
	return NULL;
}

void eng_loss_add(struct task *t, const struct loss *l)
{
	struct loss *known = find_loss(t, l->run);

	t->step->has_losses = true;
	if (known) {
		known->kind = MAX(known->kind, l->kind);
		return;
	}
	if (!t->losses)
		t->losses = g_array_new(FALSE, FALSE, sizeof(struct loss));
	g_array_append_val(t->losses, *l);
}

void eng_loss_remove(struct engine *e, struct task *t, uint32_t run)
{
	for (guint i = 0; t->losses && i < t->losses->len; i++) {
		if (g_array_index(t->losses, struct loss, i).run != run)
			continue;
		g_array_remove_index(t->losses, i);
		eng_job_mark_dirty(e, t->step->job);
		return;
	}
}

static int by_run(gconstpointer a, gconstpointer b)
{
	const struct loss *x = a;
	const struct loss *y = b;

	return x->run < y->run ? -1 : x->run > y->run;
}

static bool crashed_often(const struct task *t)
{
	unsigned int n = 0;

	if (count_losses(t, LOSS_SUSPECT) < SUSPECT_RUNS_MAX &&
	    count_losses(t, LOSS_CRASH) < CRASHED_RUNS_MAX)
		return false;
	for (guint i = 0; i < t->losses->len; i++) {
		const struct loss *l =
			&g_array_index(t->losses, struct loss, i);

		n += l->started && l->kind >= LOSS_CRASH;
	}
	return n >= STARTED_CRASHES_MIN;
}

bool eng_loss_limit_reached(const struct task *t)
{
	const struct loss *last_free;

	if (!t->losses)
		return false;
	if (crashed_often(t) || t->losses->len >= LOST_RUNS_MAX)
		return true;
	if (t->losses->len < FREE_LOSSES)
		return false;
	g_array_sort(t->losses, by_run);
	last_free = &g_array_index(t->losses, struct loss, FREE_LOSSES - 1);
	return t->run >= last_free->run + STARTS_AFTER_LOSSES;
}

void eng_job_give_up(struct engine *e, struct task *t)
{
	eng_report_decision(e, "given up, workers crash under it", t,
			    t->worker);
	eng_job_end(e, t->step->job, ENG_FAILED);
}

static bool long_trial(const struct task *t)
{
	return count_losses(t, LOSS_CRASH) >= LONG_TRIAL_CRASHES ||
	       eng_task_losses(t) >= LONG_TRIAL_LOSSES;
}

bool eng_task_needs_trial(const struct task *t)
{
	for (guint i = 0; t->losses && i < t->losses->len; i++) {
		const struct loss *l =
			&g_array_index(t->losses, struct loss, i);

		if (l->kind == LOSS_CANDIDATE || l->kind == LOSS_SUSPECT)
			return true;
	}
	return t->losses && long_trial(t);
}

bool eng_worker_trial_starting(const struct engine *e, const struct worker *w)
{
	const struct task *t = w->trial;

	return t && (t->state != TASK_RUNNING ||
		     e->now_ms - t->since_ms < JUST_STARTED_MS);
}

bool eng_worker_trial_active(const struct engine *e, const struct worker *w)
{
	return w->trial &&
	       (long_trial(w->trial) || eng_worker_trial_starting(e, w));
}

/* When the first start without a reply was sent to a worker, 0: none. */
static int64_t first_unanswered_ms(const struct worker *w)
{
	int64_t first = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = w->tasks->pdata[i];

		if (t->first_sent_ms && !t->confirmed &&
		    (!first || t->first_sent_ms < first))
			first = t->first_sent_ms;
	}
	return first;
}

/*
 * Whether a run on a worker may be the cause of its crash. Of the starts without
 * a reply, the first ones; the others were sent to a worker that had crashed.
 */
static bool may_have_crashed(const struct worker *w, const struct task *t,
			     int64_t unanswered_ms)
{
	if (!t->first_sent_ms)
		return false;
	if (!t->confirmed)
		return t->first_sent_ms - unanswered_ms < JUST_STARTED_MS;
	return w->alive_ms - t->first_sent_ms < JUST_STARTED_MS ||
	       long_trial(t);
}

static bool ran_long(const struct worker *w, const struct task *t)
{
	return t->confirmed && t->first_sent_ms &&
	       w->alive_ms - t->first_sent_ms >= STABLE_RUN_MS;
}

static bool start_was_sent(const struct task *t)
{
	if (t->state == TASK_STARTING && !t->first_sent_ms)
		return false;
	return t->state != TASK_STORING && !t->done;
}

/* Collects the runs on a worker, before any of them is lost. */
static void collect_lost_runs(struct engine *e, struct worker *w)
{
	int64_t unanswered_ms = first_unanswered_ms(w);

	w->lost_at_ms = e->now_ms;
	if (w->draining)
		return; /* it leaves, with all that it runs */
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = w->tasks->pdata[i];
		struct lost_run r = { .task = eng_task_ref(t),
				      .started = t->confirmed,
				      .candidate = may_have_crashed(
					      w, t, unanswered_ms) };
		struct loss l = { .run = t->run };

		if (!start_was_sent(t))
			continue;
		if (t->losses && ran_long(w, t))
			g_array_set_size(t->losses, 0);
		l.started = r.started;
		l.kind = r.candidate ? LOSS_CANDIDATE : LOSS_UNPROVEN;
		eng_loss_add(t, &l);
		g_array_append_val(w->lost_runs, r);
	}
}

/**
 * struct candidates - runs that may be the cause of a crash
 * @n: their number
 * @n_known: how many jobs among theirs have a task that was a suspect before
 * @known_job: one of these jobs
 */
struct candidates {
	unsigned int n;
	unsigned int n_known;
	uint64_t known_job;
};

static struct candidates count_candidates(struct engine *e,
					  const struct worker *w)
{
	struct candidates c = { 0 };

	for (guint i = 0; i < w->lost_runs->len; i++) {
		const struct lost_run *r =
			&g_array_index(w->lost_runs, struct lost_run, i);
		const struct task *t = eng_find_task(e, r->task);

		if (!r->candidate || !t)
			continue;
		c.n++;
		if (!count_losses(t, LOSS_SUSPECT) ||
		    (c.n_known && c.known_job == r->task.job))
			continue;
		c.n_known++;
		c.known_job = r->task.job;
	}
	return c;
}

/* A task that was a suspect before explains the crash, if it is the only one. */
static enum loss_kind loss_in_crash(const struct task *t,
				    const struct lost_run *r,
				    const struct candidates *c)
{
	if (!r->candidate)
		return r->started && !c->n ? LOSS_CRASH : LOSS_UNPROVEN;
	if (!c->n_known)
		return LOSS_SUSPECT;
	if (!count_losses(t, LOSS_SUSPECT))
		return LOSS_UNPROVEN;
	return c->n_known == 1 ? LOSS_SUSPECT : LOSS_CRASH;
}

/* The crash of a worker is proven: charges it to the runs that it hit. */
static void charge_crash(struct engine *e, struct worker *w)
{
	struct candidates c = count_candidates(e, w);

	for (guint i = 0; i < w->lost_runs->len; i++) {
		const struct lost_run *r =
			&g_array_index(w->lost_runs, struct lost_run, i);
		struct task *t = eng_find_task(e, r->task);
		struct loss *l = t ? find_loss(t, r->task.run) : NULL;

		if (!l)
			continue; /* its end was reported meanwhile */
		l->kind = loss_in_crash(t, r, &c);
		eng_job_mark_dirty(e, t->step->job);
		if (l->kind >= LOSS_CRASH && r->candidate)
			eng_report_decision(e,
					    l->kind == LOSS_SUSPECT
						    ? "suspect of a crash"
						    : "one suspect of several",
					    t, w);
	}
}

void eng_loss_crashed(struct engine *e, struct worker *w)
{
	collect_lost_runs(e, w);
	charge_crash(e, w);
	g_array_set_size(w->lost_runs, 0);
}

void eng_worker_lease_expired(struct engine *e, struct worker *w)
{
	collect_lost_runs(e, w);
	while (w->tasks->len)
		eng_task_lost(e, w->tasks->pdata[w->tasks->len - 1],
			      "lease ran out");
}

void eng_worker_survived(struct engine *e, struct worker *w)
{
	for (guint i = 0; i < w->lost_runs->len; i++) {
		struct eng_task_ref ref =
			g_array_index(w->lost_runs, struct lost_run, i).task;
		struct task *t = eng_find_task(e, ref);

		if (t)
			eng_loss_remove(e, t, ref.run);
	}
	g_array_set_size(w->lost_runs, 0);
}

bool eng_worker_needs_proof(const struct engine *e, const struct worker *w)
{
	return w->lost_runs->len && e->now_ms - w->lost_at_ms < PROOF_WAIT_MS;
}
