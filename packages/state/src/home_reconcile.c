#include "home_priv.h"

#include "vh/invariant.h"

struct home_rack *home_unreconciled_find(const struct vh_home *h,
					 struct vh_slice rack)
{
	struct home_rack *r = h->unreconciled;

	while (r && !vh_slice_eq(vh_slice(r->name, r->len), rack))
		r = r->next;
	return r;
}

static void unreconciled_add(struct vh_home *h, struct vh_slice rack,
			     bool initial)
{
	struct home_rack *r = g_malloc0(sizeof(*r) + rack.len);

	memcpy(r->name, rack.data, rack.len);
	r->len = rack.len;
	r->initial = initial;
	r->next = h->unreconciled;
	h->unreconciled = r;
	h->n_initial_unreconciled += initial;
}

static void unreconciled_remove(struct vh_home *h, struct home_rack *rack)
{
	struct home_rack **at = &h->unreconciled;

	while (*at != rack)
		at = &(*at)->next;
	*at = rack->next;
	h->n_initial_unreconciled -= rack->initial;
	g_free(rack);
}

void home_unreconciled_clear(struct vh_home *h)
{
	while (h->unreconciled)
		unreconciled_remove(h, h->unreconciled);
}

size_t vh_home_unreconciled_racks(const struct vh_home *h)
{
	return h->n_initial_unreconciled;
}

bool vh_home_rack_is_unreconciled(const struct vh_home *h, struct vh_slice rack)
{
	return home_unreconciled_find(h, rack) != NULL;
}

/* Calls @fn for each task of the active jobs. */
static void each_task(struct vh_home *h,
		      void (*fn)(struct vh_home *h, struct vh_task *task,
				 struct vh_slice rack),
		      struct vh_slice rack)
{
	for (struct home_job *job = h->first_active; job;
	     job = job->next_active) {
		for (uint32_t i = 0; i < job->pub.spec.n_tasks; i++)
			fn(h, &job->pub.tasks[i], rack);
	}
}

static void open_task(struct vh_home *h, struct vh_task *task,
		      struct vh_slice rack)
{
	struct task_priv *priv = task_priv(task);

	(void)rack;
	if (task->state == VH_TASK_ENDED)
		return;
	priv->owner_changed = false;
	priv->listed = false;
	priv->must_end = false;
	home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
	if (task->job->spec.idempotent || priv->recorded) {
		priv->may_have_started = true;
		home_task_set_state(h, task, VH_TASK_UNCONFIRMED);
	} else {
		home_task_set_state(h, task, VH_TASK_WAITING);
	}
}

/*
 * All racks are reconciled and none reported the task. It never began, or it
 * was recorded as attempted and its outcome is unknown.
 */
static void unreported_resolve(struct vh_home *h, struct vh_task *task,
			       struct vh_slice rack)
{
	(void)rack;
	if (task->state != VH_TASK_UNCONFIRMED)
		return;
	if (!task->job->spec.idempotent && task_priv(task)->recorded)
		home_task_lost(h, task);
	else
		home_task_set_state(h, task, VH_TASK_WAITING);
}

static void unreported_check(struct vh_home *h)
{
	if (h->epoch && !h->n_initial_unreconciled)
		each_task(h, unreported_resolve, vh_slice("", 0));
}

void vh_home_open(struct vh_home *h, uint64_t epoch,
		  const struct vh_slice *racks, size_t n_racks, int64_t now_ms)
{
	(void)now_ms;
	home_unreconciled_clear(h);
	h->epoch = epoch;
	h->next_job = 0;
	each_task(h, open_task, vh_slice("", 0));
	for (size_t i = 0; i < n_racks; i++)
		unreconciled_add(h, racks[i], true);
	unreported_check(h);
}

static void mark_owner_changed(struct vh_home *h, struct vh_task *task,
			       struct vh_slice rack)
{
	bool there = task->state == VH_TASK_RUNNING ||
		     task->state == VH_TASK_REQUESTED;

	(void)h;
	if (there && vh_slice_eq(task->rack, rack)) {
		task_priv(task)->owner_changed = true;
		task_priv(task)->listed = false;
	}
}

void vh_home_rack_owner_changed(struct vh_home *h, struct vh_slice rack)
{
	if (!h->epoch)
		return;
	if (!home_unreconciled_find(h, rack))
		unreconciled_add(h, rack, false);
	each_task(h, mark_owner_changed, rack);
}

void vh_home_reconcile_run(struct vh_home *h, struct vh_slice rack,
			   const struct vh_running_task *run,
			   struct vh_slice worker)
{
	struct vh_task *task = vh_home_task(h, run->task);
	bool running;

	if (!h->epoch || !task)
		return;
	running = task->state == VH_TASK_RUNNING ||
		  task->state == VH_TASK_REQUESTED;
	if (running && run->attempt == task->attempt)
		vh_invariant_check(
			VH_I2_ONE_PLACE, vh_slice_eq(task->rack, rack),
			"task %.*s attempt %u is in racks %.*s and %.*s",
			VH_SLICE_ARGS(run->task), run->attempt,
			VH_SLICE_ARGS(task->rack), VH_SLICE_ARGS(rack));
	if (task->state != VH_TASK_UNCONFIRMED &&
	    !(running && run->attempt >= task->attempt))
		return;
	if (run->attempt < task_priv(task)->recorded_attempt)
		return;
	task->attempt = run->attempt;
	task_priv(task)->listed = true;
	home_task_set_placement(task, rack, worker);
	home_task_set_state(h, task, VH_TASK_RUNNING);
}

/*
 * The rack has reported all its runs. A task that was requested from the former
 * owner and is not reported may or may not have begun; it counts as lost.
 */
static void reconciled_task(struct vh_home *h, struct vh_task *task,
			    struct vh_slice rack)
{
	struct task_priv *priv = task_priv(task);
	bool missing = priv->owner_changed && !priv->listed;
	bool there = task->state == VH_TASK_RUNNING ||
		     task->state == VH_TASK_REQUESTED;

	if (!there || !vh_slice_eq(task->rack, rack))
		return;
	priv->owner_changed = false;
	priv->listed = false;
	if (missing)
		home_task_lost(h, task);
}

void vh_home_rack_reconciled(struct vh_home *h, struct vh_slice rack)
{
	struct home_rack *r = home_unreconciled_find(h, rack);

	if (!h->epoch || !r)
		return;
	unreconciled_remove(h, r);
	each_task(h, reconciled_task, rack);
	unreported_check(h);
}

static void removed_task(struct vh_home *h, struct vh_task *task,
			 struct vh_slice rack)
{
	if ((task->state == VH_TASK_RUNNING ||
	     task->state == VH_TASK_REQUESTED) &&
	    vh_slice_eq(task->rack, rack))
		home_task_lost(h, task);
}

void vh_home_rack_removed(struct vh_home *h, struct vh_slice rack)
{
	struct home_rack *r = home_unreconciled_find(h, rack);

	if (!h->epoch)
		return;
	if (r)
		unreconciled_remove(h, r);
	each_task(h, removed_task, rack);
	unreported_check(h);
}
