#include "bytes.h"
#include "rack_priv.h"

#include "vh/invariant.h"

struct rack_run *rack_run_find(struct vh_rack *r, struct vh_slice task,
			       uint32_t attempt)
{
	return (struct rack_run *)vh_table_find(
		&r->attempts, rack_key(&r->key, task, attempt));
}

bool rack_run_holds_resources(const struct rack_run *run)
{
	return run->state == RUN_QUEUED || run->state == RUN_SENT ||
	       run->state == RUN_RUNNING;
}

static struct vh_slice copy_into(char **at, struct vh_slice s)
{
	struct vh_slice copy = vh_slice(*at, s.len);

	if (s.len)
		memcpy(*at, s.data, s.len);
	*at += s.len;
	return copy;
}

static void run_copy(struct rack_run *run, const struct vh_running_task *info,
		     struct vh_slice input, struct vh_slice key)
{
	char *at = g_malloc(key.len + info->task.len + info->home.len +
			    info->service.len + input.len + 1);

	run->strings = at;
	run->info = *info;
	run->node.key = copy_into(&at, key);
	run->info.task = copy_into(&at, info->task);
	run->info.home = copy_into(&at, info->home);
	run->info.service = copy_into(&at, info->service);
	run->input = copy_into(&at, input);
	run->live.key = run->info.task;
}

struct rack_run *rack_run_add(struct vh_rack *r, struct rack_worker *w,
			      const struct vh_running_task *info,
			      struct vh_slice input)
{
	struct rack_run *run = g_new0(struct rack_run, 1);

	run_copy(run, info, input,
		 rack_key(&r->key, info->task, info->attempt));
	run->worker = w;
	run->state = RUN_ENDED;
	run->next = w->runs;
	run->prev = &w->runs;
	if (w->runs)
		w->runs->prev = &run->next;
	w->runs = run;
	vh_table_add(&r->attempts, &run->node);
	return run;
}

void rack_run_commit(struct vh_rack *r, struct rack_run *run)
{
	struct rack_worker *w = run->worker;
	struct vh_table_node *other = vh_table_find(&r->live, run->live.key);
	bool fits;

	vh_invariant_check(VH_I2_ONE_PLACE, !other,
			   "task %.*s is committed twice in rack %s",
			   VH_SLICE_ARGS(run->info.task), r->name);
	vh_table_add(&r->live, &run->live);
	vh_res_add(&w->committed, &run->info.size);
	w->n_tasks++;
	fits = vh_res_fits(&w->committed, &w->vm.capacity);
	vh_invariant_check(VH_I1_CAPACITY, fits,
			   "worker %.*s has more committed than its capacity",
			   VH_SLICE_ARGS(w->vm.id));
}

/* Releases the run's resources and sets its final state. */
static void run_finish(struct vh_rack *r, struct rack_run *run,
		       enum run_state state)
{
	struct rack_worker *w = run->worker;

	if (rack_run_holds_resources(run)) {
		bool ok = vh_res_sub(&w->committed, &run->info.size);

		vh_invariant_check(
			VH_I1_CAPACITY, ok && w->n_tasks,
			"worker %.*s released more than was committed",
			VH_SLICE_ARGS(w->vm.id));
		w->n_tasks--;
		vh_table_remove(&r->live, &run->live);
	}
	run->state = state;
	run->exchange = 0;
}

void rack_run_refuse(struct vh_rack *r, struct rack_run *run, enum vh_err why,
		     int64_t now_ms)
{
	run_finish(r, run, RUN_REFUSED);
	run->why = why;
	run->notified_ms = now_ms;
	run->decided_ms = now_ms;
	rack_run_notify(r, run, NOTICE_REFUSED);
}

void rack_run_end(struct vh_rack *r, struct rack_run *run,
		  const struct vh_ended_task *ended, int64_t now_ms)
{
	run_finish(r, run, RUN_ENDED);
	run->end = ended->end;
	run->end_seq = ended->seq;
	run->exit_code = ended->exit_code;
	bytes_set(&run->result, ended->result);
	run->notified_ms = now_ms;
	rack_run_notify(r, run, NOTICE_ENDED);
}

void rack_run_lost(struct vh_rack *r, struct rack_run *run, int64_t now_ms)
{
	struct vh_ended_task lost = { .end = VH_END_LOST };

	rack_run_end(r, run, &lost, now_ms);
}

static void run_cancel_notice(struct vh_rack *r, struct rack_run *run)
{
	struct rack_run **at = &r->notice_head;

	while (*at && *at != run)
		at = &(*at)->notice_next;
	if (!*at)
		return;
	*at = run->notice_next;
	if (!*at)
		r->notice_tail = at;
}

void rack_run_free(struct vh_rack *r, struct rack_run *run)
{
	if (!run->freed) {
		if (run->notice != NOTICE_NONE)
			run_cancel_notice(r, run);
		run_finish(r, run, RUN_ENDED);
		*run->prev = run->next;
		if (run->next)
			run->next->prev = run->prev;
		vh_table_remove(&r->attempts, &run->node);
		run->freed = true;
	}
	if (run->in_callback)
		return;
	bytes_free(&run->result);
	g_free(run->strings);
	g_free(run);
}

void rack_run_notify(struct vh_rack *r, struct rack_run *run,
		     enum run_notice notice)
{
	if (run->notice == NOTICE_NONE) {
		run->notice_next = NULL;
		*r->notice_tail = run;
		r->notice_tail = &run->notice_next;
	}
	run->notice = notice;
}

static void run_call_back(struct vh_rack *r, struct rack_run *run,
			  enum run_notice notice)
{
	const struct vh_rack_callbacks *cb = &r->callbacks;
	const struct vh_running_task *info = &run->info;
	struct vh_ended_task ended = {
		.seq = run->end_seq,
		.task = info->task,
		.attempt = info->attempt,
		.home = info->home,
		.end = run->end,
		.exit_code = run->exit_code,
		.result = run->result,
	};

	if (notice == NOTICE_PLACED)
		cb->placed(cb->ctx, info->task, info->attempt, info->home,
			   run->worker->vm.id);
	else if (notice == NOTICE_REFUSED)
		cb->refused(cb->ctx, info->task, info->attempt, info->home,
			    run->why);
	else if (notice == NOTICE_ENDED)
		cb->ended(cb->ctx, run->worker->vm.id, &ended);
}

void rack_deliver_notices(struct vh_rack *r)
{
	struct rack_run *run;

	if (r->in_callbacks)
		return;
	r->in_callbacks = true;
	while ((run = r->notice_head)) {
		enum run_notice notice = run->notice;

		r->notice_head = run->notice_next;
		if (!r->notice_head)
			r->notice_tail = &r->notice_head;
		run->notice = NOTICE_NONE;
		run->in_callback = true;
		run_call_back(r, run, notice);
		run->in_callback = false;
		if (run->freed)
			rack_run_free(r, run);
	}
	r->in_callbacks = false;
}
