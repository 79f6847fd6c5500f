#include "eng_priv.h"

#define START_RETRY_MS 250	 /* until an unanswered start is sent again */
#define START_ATTEMPTS_MAX 4	 /* then the run is stopped */
#define STOP_RETRY_MS 300	 /* until an unanswered stop is sent again */
#define NO_CAPACITY_AVOID_MS 300 /* after a start exceeded the capacity */
#define REFUSED_AVOID_MS 1500	 /* after a start was refused */
#define FAILED_RUN_BITS 64	 /* bits of failed_runs, a bitmap by run */
#define CHECKPOINT_RECORD_SHARE \
	2			/* a record has room for one of half its size */
#define FAILURE_SCORE_DECAY 0.7 /* factor for each successful run */

struct eng_task_ref eng_task_ref(const struct task *t)
{
	struct eng_task_ref ref = { .job = t->step->job->id,
				    .step = t->step->number,
				    .index = t->index,
				    .run = t->run };

	return ref;
}

struct task *eng_find_task(struct engine *e, struct eng_task_ref ref)
{
	struct job *j = g_hash_table_lookup(e->jobs, &ref.job);

	if (!j || !j->steps || ref.step >= j->spec->n_steps || ref.occurrence)
		return NULL;
	if (ref.index >= j->steps[ref.step].spec->n_tasks)
		return NULL;
	return &j->steps[ref.step].tasks[ref.index];
}

void eng_task_set_state(struct engine *e, struct task *t, enum task_state s)
{
	t->state = s;
	t->since_ms = e->now_ms;
	if (t->worker)
		eng_worker_touch(e, t->worker);
}

void eng_task_confirm(struct engine *e, struct task *t)
{
	if (t->state == TASK_STARTING || t->state == TASK_UNCONFIRMED)
		eng_task_set_state(e, t, TASK_RUNNING);
	t->confirmed = true;
	eng_task_started(e, t);
}

void eng_resources_add(struct eng_resources *to, const struct eng_step_spec *s,
		       int sign)
{
	if (!s->filler)
		to->cpu_milli += sign * s->need.cpu_milli;
	to->mem_mb += sign * s->need.mem_mb;
	to->gpu += sign * s->need.gpu;
}

void eng_task_assign(struct engine *e, struct task *t, struct worker *w)
{
	struct step *s = t->step;

	t->worker = w;
	t->start_attempts = 0;
	t->open_starts = 0;
	t->first_sent_ms = 0;
	t->confirmed = false;
	t->stop_acked_ms = 0;
	eng_resources_add(&w->used, s->spec, 1);
	eng_usage_charge(e, s->job->team);
	eng_resources_add(&s->job->team->used, s->spec, 1);
	g_ptr_array_add(w->tasks, t);
	eng_index_update(e, w);
	eng_worker_touch(e, w);
	eng_overload_assigned(t);
	if (eng_task_needs_trial(t))
		w->trial = t;
	s->n_placed++;
	if (!t->done)
		s->n_waiting--;
	eng_job_mark_dirty(e, s->job);
}

void eng_task_release(struct engine *e, struct task *t)
{
	struct step *s = t->step;
	struct worker *w = t->worker;

	if (!w)
		return;
	if (t->state == TASK_STORING)
		g_queue_remove(&e->storing, t);
	eng_resources_add(&w->used, s->spec, -1);
	eng_usage_charge(e, s->job->team);
	eng_resources_add(&s->job->team->used, s->spec, -1);
	g_ptr_array_remove_fast(w->tasks, t);
	eng_index_update(e, w);
	eng_worker_touch(e, w);
	eng_overload_released(e, t);
	if (w->trial == t)
		w->trial = NULL;
	t->worker = NULL;
	s->n_placed--;
	if (!t->done)
		s->n_waiting++;
	eng_task_set_state(e, t, TASK_WAITING);
	eng_job_mark_dirty(e, s->job);
	eng_step_update(e, s);
	eng_job_reclaim(e, s->job);
}

static void send_stop(struct engine *e, struct task *t)
{
	struct eng_stop_request request = {
		.boot = eng_worker_boot(t->worker),
		.task = eng_task_ref(t),
	};

	t->since_ms = e->now_ms;
	if (!*t->worker->address)
		return; /* unknown address: retry_request() sends it later */
	t->request_pending = true;
	e->callbacks.stop(e->callbacks.ctx, &request);
}

void eng_task_stop_again(struct engine *e, struct task *t)
{
	eng_task_set_state(e, t, TASK_STOPPING);
	t->stop_acked_ms = 0;
	send_stop(e, t);
}

void eng_task_stop(struct engine *e, struct task *t)
{
	if (!t->worker || t->state == TASK_STOPPING)
		return;
	if (t->state == TASK_STORING) {
		eng_task_release(e, t);
		return;
	}
	eng_report_decision(e, "stop", t, t->worker);
	eng_task_stop_again(e, t);
}

void eng_task_started(struct engine *e, struct task *t)
{
	struct job *j = t->step->job;

	if (j->started)
		return;
	j->started = true;
	j->queue->pending--;
	if (j->status == ENG_PENDING)
		j->status = ENG_RUNNING;
	eng_milestone(e, j, ENG_RUNNING);
	eng_job_mark_dirty(e, j);
}

static void send_start(struct engine *e, struct task *t)
{
	struct worker *w = t->worker;
	struct worker_advice *a = eng_advice_find(t->step, w);
	struct eng_start_request request = {
		.boot = eng_worker_boot(w),
		.task = eng_task_ref(t),
		.attempt = t->start_attempts + 1,
		.waited_ms = e->now_ms - t->since_ms,
		.not_after_ms = e->start_limit_ms,
		.payload = t->step->job->spec->payload,
		.checkpoint = t->checkpoint,
		.ticket = eng_str(a && a->ticket ? a->ticket : ""),
	};

	request.until_ms = eng_worker_grant_lease(e, w);
	eng_task_set_state(e, t, TASK_STARTING);
	t->request_pending = true;
	t->start_attempts++;
	t->open_starts++;
	if (!t->first_sent_ms)
		t->first_sent_ms = e->now_ms;
	e->stats.starts++;
	e->callbacks.start(e->callbacks.ctx, &request);
}

static bool ticket_expired(const struct engine *e, const struct task *t)
{
	const struct worker_advice *a = eng_advice_find(t->step, t->worker);

	return t->step->job->spec->advice.needed &&
	       (!a || a->expires_ms <= e->now_ms);
}

/*
 * The store may have taken long, so what allowed the placement is checked once
 * more. A task that is not sent cannot run, and is placed anew.
 */
void eng_task_send(struct engine *e, struct task *t)
{
	const struct worker *w = t->worker;

	if (w->zone->drained) {
		eng_zone_prevented(e, t);
		eng_task_lost(e, t, "not sent, zone drained");
	} else if (w->hold_failures || !eng_worker_accepts(e, w))
		eng_task_lost(e, t, "not sent, worker has changed");
	else if (!eng_team_quota_allows(t->step, 0))
		eng_task_lost(e, t, "not sent, limit of its team");
	else if (ticket_expired(e, t))
		eng_task_lost(e, t, "not sent, ticket ran out");
	else
		send_start(e, t);
}

void eng_task_lost(struct engine *e, struct task *t, const char *reason)
{
	struct step *s = t->step;

	eng_report_decision(e, reason, t, t->worker);
	e->stats.ends_lost++;
	eng_task_release(e, t);
	if (!s->spec->gang || !s->job->steps || t->done)
		return;
	/* A gang cannot run without one of its tasks. */
	for (uint32_t k = 0; s->job->steps && k < s->spec->n_tasks; k++)
		eng_task_stop(e, &s->tasks[k]);
}

static void handle_step_done(struct engine *e, struct step *s)
{
	struct job *j = s->job;

	if (s->n_done < s->spec->n_tasks)
		return;
	if (++j->n_steps_done == j->spec->n_steps) {
		eng_job_end(e, j, ENG_COMPLETE);
		return;
	}
	for (size_t i = 0; i < j->spec->n_steps; i++)
		eng_step_update(e, &j->steps[i]);
}

void eng_task_mark_done(struct task *t)
{
	if (t->done)
		return;
	if (!t->worker)
		t->step->n_waiting--;
	t->done = true;
	t->step->n_done++;
}

static void handle_done(struct engine *e, struct task *t)
{
	struct step *s = t->step;
	bool was_done = s->n_done == s->spec->n_tasks;

	if (!s->spec->gang) {
		eng_task_mark_done(t);
	} else {
		/* A gang ends as a whole, with the first task that is done. */
		for (uint32_t k = 0; k < s->spec->n_tasks; k++)
			eng_task_mark_done(&s->tasks[k]);
	}
	eng_job_mark_dirty(e, s->job);
	if (!was_done && s->n_done == s->spec->n_tasks)
		handle_step_done(e, s);
}

bool eng_task_failed_too_often(const struct task *t)
{
	const struct step *s = t->step;
	uint64_t failed = s->spec->gang ? s->failed_runs : t->failed_runs;

	return !s->spec->service && (uint32_t)__builtin_popcountll(failed) >=
					    MAX(s->job->spec->max_attempts, 1);
}

static void handle_failed(struct engine *e, struct task *t, uint32_t run)
{
	struct step *s = t->step;
	uint64_t *failed = s->spec->gang ? &s->failed_runs : &t->failed_runs;

	*failed |= UINT64_C(1) << run % FAILED_RUN_BITS;
	eng_job_mark_dirty(e, s->job);
	if (t->done || !eng_job_active(s->job))
		return;
	if (eng_task_failed_too_often(t))
		eng_job_end(e, s->job, ENG_FAILED);
}

/* A checkpoint that no record has room for is not kept: the task goes on from the one
 * before. */
static bool checkpoint_fits(const struct engine *e, struct vh_slice checkpoint)
{
	return !e->record_bytes ||
	       checkpoint.len <= e->record_bytes / CHECKPOINT_RECORD_SHARE;
}

static void save_checkpoint(struct engine *e, struct task *t,
			    struct vh_slice checkpoint)
{
	struct step *s = t->step;
	uint32_t n = s->spec->gang ? s->spec->n_tasks : 1;
	struct task *first = s->spec->gang ? s->tasks : t;

	if (!checkpoint.len || !s->spec->checkpoints)
		return;
	if (!checkpoint_fits(e, checkpoint)) {
		eng_report_decision(e, "checkpoint too large, not kept", t,
				    t->worker);
		return;
	}
	for (uint32_t k = 0; k < n; k++) {
		g_free((char *)first[k].checkpoint.data);
		first[k].checkpoint.data = vh_slice_dup(checkpoint);
		first[k].checkpoint.len = checkpoint.len;
	}
}

void eng_task_ended(struct engine *e, struct task *t,
		    const struct eng_finished_task *f)
{
	struct worker *w = t->worker;
	struct step *s = t->step;
	bool current = w && t->run == f->task.run;

	/* Before the checkpoint of this run replaces the one it began with. */
	if (current && f->how == ENG_END_DONE)
		eng_speed_run_done(e, t);
	save_checkpoint(e, t, f->checkpoint);
	eng_loss_remove(e, t, f->task.run);
	eng_task_started(e, t);
	if (f->how == ENG_END_DONE) {
		e->stats.ends_done++;
		if (w)
			w->failure_score *= FAILURE_SCORE_DECAY;
		if (!s->spec->service)
			handle_done(e, t);
	} else if (f->how == ENG_END_FAILED) {
		e->stats.ends_failed++;
		if (w)
			eng_worker_failed(e, w);
		handle_failed(e, t, f->task.run);
	}
	if (!s->job->steps)
		return;
	eng_report_decision(e, f->how == ENG_END_DONE ? "done" : "ended", t, w);
	if (current)
		eng_task_release(e, t);
	else if (t->done && w && s->job->steps)
		eng_task_stop(e, t);
}

/* Of a start that was sent once it is now known that it did not run. */
static void handle_other_boot(struct engine *e, struct worker *w,
			      struct task *t, struct eng_task_ref ref)
{
	if (t && t->worker == w && t->run == ref.run &&
	    t->state == TASK_STARTING && t->start_attempts == 1)
		eng_task_lost(e, t, "refused by another boot");
	eng_worker_boot_over(e, w);
}

/*
 * Handles a reply to a start or stop. Returns the task if the run is still
 * current; NULL if it is not, if the request was meant for a former boot of the
 * worker, or if ownership is lost.
 */
static struct task *finish_request(struct engine *e, struct vh_slice worker,
				   uint32_t boot, struct eng_task_ref ref,
				   enum eng_reply reply, int64_t now_ms)
{
	struct task *t = eng_find_task(e, ref);
	struct worker *w = eng_worker_find(e, worker);

	e->now_ms = now_ms;
	if (w)
		eng_worker_touch(e, w);
	if (reply == ENG_REPLY_FENCED) {
		e->deposed = true;
		e->callbacks.deposed(e->callbacks.ctx,
				     "a worker has seen a newer fence token");
		return NULL;
	}
	if (!w || boot != w->boot)
		return NULL;
	if (reply == ENG_REPLY_OK)
		w->alive_ms = now_ms;
	if (reply == ENG_REPLY_OTHER_BOOT) {
		handle_other_boot(e, w, t, ref);
		return NULL;
	}
	if (!t || t->worker != w || t->run != ref.run)
		return NULL;
	t->request_pending = false;
	return t;
}

/*
 * A start was not carried out. An earlier attempt without a reply may still be,
 * seconds later, so then the run is stopped before its task starts elsewhere.
 */
static void start_rejected(struct engine *e, struct task *t, const char *reason)
{
	if (t->open_starts)
		eng_task_stop(e, t);
	else
		eng_task_lost(e, t, reason);
}

/* Whether a start that was not sent is worth another attempt on its worker. A member
 * of a gang gets one, since others may run already. */
static bool may_send_again(const struct task *t)
{
	return t->start_attempts < START_ATTEMPTS_MAX &&
	       (t->step->spec->gang || t->worker->alive_ms >= t->since_ms);
}

/* The worker is silent, or has started again, or the connection was lost: a hold
 * tells. */
static void start_not_sent(struct engine *e, struct task *t)
{
	t->worker->report_needed = true;
	if (!t->open_starts)
		t->first_sent_ms = 0;
	if (may_send_again(t))
		return; /* by eng_retry_requests() */
	t->worker->avoid_until_ms = e->now_ms + REFUSED_AVOID_MS;
	start_rejected(e, t, "not sent, no connection to its boot");
}

/* A run whose only start was not sent is no loss, though its worker has started
 * again since. */
static void forget_unsent_loss(struct engine *e, struct eng_task_ref ref)
{
	struct task *t = eng_find_task(e, ref);

	if (t && !t->worker && t->run == ref.run && t->open_starts <= 1)
		eng_loss_remove(e, t, ref.run);
}

void eng_start_reply(struct engine *e, struct vh_slice worker, uint32_t boot,
		     struct eng_task_ref ref, enum eng_reply reply,
		     int64_t now_ms)
{
	struct task *t = finish_request(e, worker, boot, ref, reply, now_ms);
	struct worker *w = t ? t->worker : NULL;

	if (reply == ENG_REPLY_NOT_SENT)
		forget_unsent_loss(e, ref);
	if (t && reply != ENG_REPLY_NONE && t->open_starts)
		t->open_starts--;
	if (!t || t->state != TASK_STARTING)
		return;
	switch (reply) {
	case ENG_REPLY_OK:
		eng_worker_record_latency(w, now_ms - t->since_ms);
		eng_index_update(e, w);
		eng_task_confirm(e, t);
		return;
	case ENG_REPLY_NO_CAPACITY:
		w->avoid_until_ms = now_ms + NO_CAPACITY_AVOID_MS;
		start_rejected(e, t, "no room");
		return;
	case ENG_REPLY_TICKET_EXPIRED: {
		struct worker_advice *a = eng_advice_find(t->step, w);

		if (a)
			a->expires_ms = 0;
		start_rejected(e, t, "ticket ran out");
		return;
	}
	case ENG_REPLY_REFUSED:
		w->avoid_until_ms = now_ms + REFUSED_AVOID_MS;
		eng_worker_failed(e, w);
		start_rejected(e, t, "refused");
		return;
	case ENG_REPLY_NOT_SENT:
		start_not_sent(e, t);
		return;
	case ENG_REPLY_STALE_RUN:
		eng_task_set_state(e, t, TASK_UNCONFIRMED);
		w->report_needed = true;
		return;
	default:
		return; /* sent again by eng_retry_requests() */
	}
}

void eng_stop_reply(struct engine *e, struct vh_slice worker, uint32_t boot,
		    struct eng_task_ref ref, enum eng_reply reply,
		    int64_t now_ms)
{
	struct task *t = finish_request(e, worker, boot, ref, reply, now_ms);

	if (t && t->state == TASK_STOPPING && reply == ENG_REPLY_OK) {
		t->stop_acked_ms = now_ms;
		t->worker->report_needed = true;
	}
}

/*
 * Of a start that may not be sent again now. It is neither sent nor stopped, as what
 * it is based on is read soon. But members of a gang that have started end alone if
 * one that surely was not sent keeps them waiting.
 */
static void postpone_start(struct engine *e, struct task *t)
{
	if (t->step->spec->gang && !t->open_starts &&
	    e->now_ms - t->since_ms >= START_RETRY_MS)
		eng_task_lost(e, t, "not sent, the view is old");
}

static void retry_request(struct engine *e, struct task *t)
{
	int64_t age = e->now_ms - t->since_ms;

	if (t->request_pending)
		return;
	if (t->state == TASK_STARTING && !eng_may_start(e)) {
		postpone_start(e, t);
		return;
	}
	if (t->state == TASK_STARTING && age >= START_RETRY_MS) {
		if (t->start_attempts < START_ATTEMPTS_MAX && !t->done &&
		    eng_job_active(t->step->job) &&
		    eng_team_quota_allows(t->step, 0) &&
		    eng_worker_accepts(e, t->worker))
			send_start(e, t);
		else
			eng_task_stop(e, t);
	} else if (t->state == TASK_STOPPING && !t->stop_acked_ms &&
		   age >= STOP_RETRY_MS) {
		send_stop(e, t);
	}
}

int64_t eng_retry_due_ms(const struct worker *w)
{
	int64_t due = INT64_MAX;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = w->tasks->pdata[i];

		if (t->request_pending)
			continue;
		if (t->state == TASK_STARTING)
			due = MIN(due, t->since_ms + START_RETRY_MS);
		else if (t->state == TASK_STOPPING && !t->stop_acked_ms)
			due = MIN(due, t->since_ms + STOP_RETRY_MS);
	}
	return due;
}

void eng_retry_requests(struct engine *e, struct worker *w)
{
	for (guint i = 0; i < w->tasks->len; i++)
		retry_request(e, w->tasks->pdata[i]);
}
