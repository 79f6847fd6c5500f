#include "bytes.h"
#include "home_priv.h"

#include "vh/invariant.h"

/* An END without effect so far is appended again: the append may have been
 * refused. */
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
static bool state_holds(enum vh_task_state s)
{
	return s == VH_TASK_RECORDING || s == VH_TASK_REQUESTED ||
	       s == VH_TASK_RUNNING || s == VH_TASK_UNCONFIRMED;
}

static void credit_take(struct vh_home *h, const struct vh_task *task)
{
	vh_res_add(&h->counts.committed, task_size(task));
	h->counts.committed_tasks++;
}

static void credit_give_back(struct vh_home *h, const struct vh_task *task)
{
	bool ok = vh_res_sub(&h->counts.committed, task_size(task));

	vh_invariant_check(VH_I4_LIMITS, ok && h->counts.committed_tasks,
			   "%s gives back more than it took", h->unit);
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
	bool held = state_holds(task->state);

	if (task->state == state)
		return;
	count_state(h, task, -1);
	task->state = state;
	if (state == VH_TASK_RUNNING)
		task_priv(task)->may_have_started = true;
	count_state(h, task, 1);
	if (held && !state_holds(state))
		credit_give_back(h, task);
	else if (!held && state_holds(state))
		credit_take(h, task);
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

/* Attempt numbers up to here are earlier owners'. */
static uint32_t attempt_base(const struct vh_home *h)
{
	return (h->opens ? h->opens - 1 : 0) << 16;
}

/* May a rack that has not told yet run a later attempt than the known one? */
static bool later_possible(const struct vh_home *h, const struct vh_task *task)
{
	return h->n_initial && task->attempt <= attempt_base(h);
}

static enum vh_err begin_check(const struct vh_home *h,
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
	enum vh_err err = begin_check(h, task);

	if (err != VH_OK)
		return err;
	vh_invariant_check(VH_I7_AT_MOST_ONCE,
			   idempotent || !task_priv(task)->recorded,
			   "task %.*s/%u may have begun before",
			   VH_SLICE_ARGS(task->job->id), task->index);
	task->attempt = MAX(task->attempt, attempt_base(h)) + 1;
	task->why = VH_OK;
	task_priv(task)->doubt = false;
	home_task_set_placement(task, rack, vh_slice("", 0));
	home_task_set_state(h, task,
			    idempotent ? VH_TASK_REQUESTED : VH_TASK_RECORDING);
	vh_invariant_check(VH_I4_LIMITS, home_within_credit(h),
			   "%s has more running than its credit", h->unit);
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

/* The present attempt surely did not begin. */
static void task_not_begun(struct vh_home *h, struct vh_task *task,
			   enum vh_err why, int64_t retry_at_ms)
{
	if (task_priv(task)->rec_attempt == task->attempt)
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
		task_not_begun(h, task, why, retry_at_ms);
}

void home_task_lost(struct vh_home *h, struct vh_task *task)
{
	struct task_priv *priv = task_priv(task);

	task->lost++;
	priv->may_have_started = true;
	priv->doubt = false;
	home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
	if (task->job->spec.idempotent && later_possible(h, task)) {
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

/* Sets what an END record says, without saying that it is durable. */
static void task_ending(struct vh_home *h, struct vh_task *task,
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

/* An end told while it is not known where the task runs. An idempotent task's
 * says nothing: an attempt that was given up as lost may have been done, and
 * a later one may run. A task that is not idempotent has only one that may
 * have begun. */
static bool unplaced_final(const struct vh_task *task, enum vh_end end)
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
	/* Were it settled, the rack could drop a run that the answer to a
	 * seal, on its way, still lists. */
	if (task->state == VH_TASK_UNCONFIRMED ||
	    (task->state == VH_TASK_RUNNING && later_possible(h, task)))
		return !unplaced_final(task, ended->end);
	return false;
}

/* Returns true if the end of a run under way is final. */
static bool running_ended(struct vh_home *h, struct vh_task *task,
			  const struct vh_ended_task *e, int64_t now_ms)
{
	bool idempotent = task->job->spec.idempotent;

	switch (e->end) {
	case VH_END_NOT_STARTED:
		task_not_begun(h, task, VH_ERR_NO_CAPACITY, now_ms);
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
			final = unplaced_final(task, ended->end);
		break;
	case VH_TASK_REQUESTED:
	case VH_TASK_RUNNING:
		if (ended->attempt == task->attempt)
			final = running_ended(h, task, ended, now_ms);
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
	task_ending(h, task, ended, now_ms);
	home_end_pack(body, task);
	return true;
}

/* Ends one task for good if it is time. Returns true if *body says so. */
static bool task_expire(struct vh_home *h, struct vh_task *task, bool over,
			int64_t now_ms, struct vh_buf *body)
{
	struct vh_ended_task none = { .end = VH_END_NOT_STARTED };

	if (task->state == VH_TASK_WAITING) {
		if (task_priv(task)->must_end)
			none.end = task->end;
		else if (!over)
			return false;
		task_ending(h, task, &none, now_ms);
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
