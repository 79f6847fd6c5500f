#include "bytes.h"
#include "home_priv.h"

#include "vh/invariant.h"

/*
 * An END that has not been applied by then is appended again, because its
 * append may have been refused.
 */
#define END_RETRY_MS 30000

static const char *const state_names[] = {
	"waiting",  "recording", "asked", "running",
	"unplaced", "ending",	 "ended",
};

const char *vh_task_state_name(enum vh_task_state s)
{
	return state_names[s];
}

/* Does a task in this state count against the team's limit? */
static bool state_uses_credit(enum vh_task_state s)
{
	return s == VH_TASK_RECORDING || s == VH_TASK_REQUESTED ||
	       s == VH_TASK_RUNNING || s == VH_TASK_UNCONFIRMED;
}

static void credit_reserve(struct vh_home *h, const struct vh_task *task)
{
	vh_res_add(&h->counts.committed, task_size(task));
	h->counts.committed_tasks++;
}

static void credit_release(struct vh_home *h, const struct vh_task *task)
{
	bool ok = vh_res_sub(&h->counts.committed, task_size(task));

	vh_invariant_check(VH_I4_LIMITS, ok && h->counts.committed_tasks,
			   "%s released more credit than it reserved", h->unit);
	h->counts.committed_tasks--;
}

static void count_state(struct vh_home *h, const struct vh_task *task, int by)
{
	if (task->state == VH_TASK_WAITING) {
		home_job_of(task)->n_waiting += (uint32_t)by;
		h->counts.waiting += (size_t)by;
	} else if (task->state == VH_TASK_RUNNING) {
		h->counts.running += (size_t)by;
	}
}

void home_task_set_state(struct vh_home *h, struct vh_task *task,
			 enum vh_task_state state)
{
	bool used_credit = state_uses_credit(task->state);

	if (task->state == state)
		return;
	count_state(h, task, -1);
	task->state = state;
	if (state == VH_TASK_RUNNING)
		task_priv(task)->may_have_started = true;
	count_state(h, task, 1);
	if (used_credit && !state_uses_credit(state))
		credit_release(h, task);
	else if (!used_credit && state_uses_credit(state))
		credit_reserve(h, task);
	home_job_changed(h, task->job);
}

void home_task_set_placement(struct vh_task *task, struct vh_slice rack,
			     struct vh_slice worker)
{
	bytes_set(&task->rack, rack);
	bytes_set(&task->worker, worker);
}

void home_task_name_pack(struct vh_buf *body, const struct vh_task *task)
{
	vh_pack_slice(body, task->job->id);
	vh_pack_u64(body, task->index);
}

void home_end_pack(struct vh_buf *body, const struct vh_task *task)
{
	vh_pack_array(body, 8);
	home_task_name_pack(body, task);
	vh_pack_u64(body, task->attempt);
	vh_pack_u64(body, task->end);
	vh_pack_i64(body, task->exit_code);
	vh_pack_bool(body, task->not_run);
	vh_pack_bool(body, task->unknown);
	vh_pack_slice(body, task->result);
}

/* Attempt numbers up to this one belong to earlier owners. */
static uint32_t attempt_base(const struct vh_home *h)
{
	return (h->n_opens ? h->n_opens - 1 : 0) << 16;
}

/* May an unreconciled rack run a later attempt than the known one? */
static bool later_attempt_possible(const struct vh_home *h,
				   const struct vh_task *task)
{
	return h->n_initial_unreconciled && task->attempt <= attempt_base(h);
}

static enum vh_err start_check(const struct vh_home *h,
			       const struct vh_task *task)
{
	const struct home_job *job = home_job_of(task);

	if (!h->epoch)
		return VH_ERR_NOT_OWNER;
	if (job->pub.cancelled || job->cancelling)
		return VH_ERR_CANCELLED;
	if (task->state != VH_TASK_WAITING || !job->pub.durable ||
	    task_priv(task)->must_end)
		return VH_ERR_NOT_READY;
	if (!home_credit_allows(h, task_size(task)))
		return VH_ERR_LIMIT_REACHED;
	return VH_OK;
}

enum vh_err vh_home_start_attempt(struct vh_home *h, struct vh_task *task,
				  struct vh_slice rack, struct vh_buf *body)
{
	bool idempotent = task->job->spec.idempotent;
	enum vh_err err = start_check(h, task);

	if (err != VH_OK)
		return err;
	vh_invariant_check(
		VH_I7_AT_MOST_ONCE, idempotent || !task_priv(task)->recorded,
		"task %.*s/%u starts again but may have begun before",
		VH_SLICE_ARGS(task->job->id), task->index);
	task->attempt = MAX(task->attempt, attempt_base(h)) + 1;
	task->why = VH_OK;
	task_priv(task)->owner_changed = false;
	home_task_set_placement(task, rack, vh_slice("", 0));
	home_task_set_state(h, task,
			    idempotent ? VH_TASK_REQUESTED : VH_TASK_RECORDING);
	vh_invariant_check(VH_I4_LIMITS, home_within_credit(h),
			   "%s has more running than its credit allows",
			   h->unit);
	if (!idempotent) {
		vh_pack_array(body, 3);
		home_task_name_pack(body, task);
		vh_pack_u64(body, task->attempt);
	}
	return VH_OK;
}

void vh_home_attempt_started(struct vh_home *h, struct vh_task *task,
			     uint32_t attempt, struct vh_slice worker)
{
	if (task->attempt != attempt || task->state != VH_TASK_REQUESTED)
		return;
	bytes_set(&task->worker, worker);
	home_task_set_state(h, task, VH_TASK_RUNNING);
}

/* The current attempt certainly did not begin. */
static void attempt_not_started(struct vh_home *h, struct vh_task *task,
				enum vh_err why, int64_t retry_at_ms)
{
	if (task_priv(task)->recorded_attempt == task->attempt)
		task_priv(task)->recorded = false;
	task->why = why;
	task->retry_at_ms = retry_at_ms;
	home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
	home_task_set_state(h, task, VH_TASK_WAITING);
}

void vh_home_attempt_not_started(struct vh_home *h, struct vh_task *task,
				 uint32_t attempt, enum vh_err why,
				 int64_t retry_at_ms)
{
	if (task->attempt == attempt && (task->state == VH_TASK_REQUESTED ||
					 task->state == VH_TASK_RECORDING))
		attempt_not_started(h, task, why, retry_at_ms);
}

void home_task_lost(struct vh_home *h, struct vh_task *task)
{
	struct task_priv *priv = task_priv(task);

	task->lost++;
	priv->may_have_started = true;
	priv->owner_changed = false;
	home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
	if (task->job->spec.idempotent && later_attempt_possible(h, task)) {
		home_task_set_state(h, task, VH_TASK_UNCONFIRMED);
		return;
	}
	home_task_set_state(h, task, VH_TASK_WAITING);
	if (task->job->spec.idempotent && task->lost < h->settings.max_attempts)
		return;
	priv->must_end = true;
	task->end = VH_END_LOST;
	task->unknown = true;
}

/* Sets the result that the END record will hold; it is not durable yet. */
static void task_set_ending(struct vh_home *h, struct vh_task *task,
			    const struct vh_ended_task *e, int64_t now_ms)
{
	task->end = e->end;
	task->exit_code = e->exit_code;
	task->not_run = e->end == VH_END_NOT_STARTED &&
			!task_priv(task)->may_have_started;
	task->unknown = e->end == VH_END_LOST ||
			(e->end == VH_END_NOT_STARTED && !task->not_run);
	task->retry_at_ms = now_ms + END_RETRY_MS;
	bytes_set(&task->result, e->result);
	task_priv(task)->must_end = false;
	home_task_set_state(h, task, VH_TASK_ENDING);
}

/*
 * Is the end of an unconfirmed task final? For an idempotent task it is not: an
 * attempt that was given up as lost may have completed, and a later one may be
 * running. A task that is not idempotent has at most one attempt that may have
 * begun.
 */
static bool unconfirmed_end_is_final(const struct vh_task *task,
				     enum vh_end end)
{
	return !task->job->spec.idempotent && end != VH_END_NOT_STARTED;
}

bool vh_home_must_defer_end(struct vh_home *h,
			    const struct vh_ended_task *ended)
{
	struct vh_task *task = vh_home_task(h, ended->task);

	if (!h->epoch)
		return true;
	if (!task)
		return false;
	if (task->state == VH_TASK_ENDING)
		return task->attempt == ended->attempt;
	/*
	 * If this end were acknowledged, the rack could drop a run that a
	 * reconciliation reply in flight still lists.
	 */
	if (task->state == VH_TASK_UNCONFIRMED ||
	    (task->state == VH_TASK_RUNNING && later_attempt_possible(h, task)))
		return !unconfirmed_end_is_final(task, ended->end);
	return false;
}

/* Handles the end of a running attempt; returns true if it is final. */
static bool running_attempt_ended(struct vh_home *h, struct vh_task *task,
				  const struct vh_ended_task *e, int64_t now_ms)
{
	bool idempotent = task->job->spec.idempotent;

	switch (e->end) {
	case VH_END_NOT_STARTED:
		attempt_not_started(h, task, VH_ERR_NO_CAPACITY, now_ms);
		return false;
	case VH_END_LOST:
		if (!idempotent || task->lost + 1 >= h->settings.max_attempts)
			return true;
		home_task_lost(h, task);
		return false;
	case VH_END_STOPPED:
		if (!idempotent || task->job->cancelled)
			return true;
		home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
		home_task_set_state(h, task, VH_TASK_WAITING);
		return false;
	default:
		return true;
	}
}

bool vh_home_attempt_ended(struct vh_home *h, const struct vh_ended_task *ended,
			   int64_t now_ms, struct vh_buf *body)
{
	struct vh_task *task = vh_home_task(h, ended->task);
	bool final = false;

	if (!h->epoch || !task)
		return false;
	switch (task->state) {
	case VH_TASK_UNCONFIRMED:
		if (ended->attempt >= task->attempt)
			final = unconfirmed_end_is_final(task, ended->end);
		break;
	case VH_TASK_REQUESTED:
	case VH_TASK_RUNNING:
		if (ended->attempt == task->attempt)
			final = running_attempt_ended(h, task, ended, now_ms);
		break;
	case VH_TASK_ENDING: /* its record may have been refused */
		if (ended->attempt == task->attempt) {
			home_end_pack(body, task);
			return true;
		}
		return false;
	default:
		return false;
	}
	if (!final)
		return false;
	task->attempt = ended->attempt;
	task_set_ending(h, task, ended, now_ms);
	home_end_pack(body, task);
	return true;
}

/*
 * Ends one task for good if it is due. Returns true if *body must be appended.
 */
static bool task_expire(struct vh_home *h, struct vh_task *task, bool over,
			int64_t now_ms, struct vh_buf *body)
{
	struct vh_ended_task none = { .end = VH_END_NOT_STARTED };

	if (task->state == VH_TASK_WAITING) {
		if (task_priv(task)->must_end)
			none.end = task->end;
		else if (!over)
			return false;
		task_set_ending(h, task, &none, now_ms);
	} else if (task->state == VH_TASK_ENDING) {
		if (now_ms < task->retry_at_ms)
			return false;
		task->retry_at_ms = now_ms + END_RETRY_MS;
	} else {
		return false;
	}
	home_end_pack(body, task);
	return true;
}

void vh_home_expire(struct vh_home *h, int64_t now_ms, int64_t wall_ms,
		    void (*fn)(void *ctx, struct vh_slice body), void *ctx)
{
	struct home_job *next;
	struct vh_buf body;

	vh_buf_init(&body);
	for (struct home_job *job = h->epoch ? h->first_active : NULL; job;
	     job = next) {
		struct vh_job *pub = &job->pub;
		int64_t limit = pub->spec.deadline_ms;
		bool over;

		next = job->next_active;
		if (job->replayed) {
			pub->accepted_ms =
				now_ms -
				MAX(wall_ms - pub->accepted_wall_ms, 0);
			job->replayed = false;
		}
		over = pub->cancelled ||
		       (limit && now_ms - pub->accepted_ms >= limit);
		for (uint32_t i = 0; i < pub->spec.n_tasks; i++) {
			vh_buf_clear(&body);
			if (task_expire(h, &pub->tasks[i], over, now_ms, &body))
				fn(ctx, vh_buf_slice(&body));
		}
	}
	vh_buf_finish(&body);
}
