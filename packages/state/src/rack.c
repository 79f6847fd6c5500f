#include "rack_priv.h"

/* The newest known epoch of a home. */
struct rack_fence {
	struct vh_table_node node;
	uint64_t epoch;
	char home[];
};

struct vh_rack *vh_rack_new(const struct vh_rack_settings *settings,
			    const struct vh_rack_callbacks *callbacks)
{
	struct vh_rack *r = g_new0(struct vh_rack, 1);

	r->settings = *settings;
	r->callbacks = *callbacks;
	r->name = vh_slice_dup(settings->name);
	r->settings.name = vh_slice_str(r->name);
	r->fresh_ms = INT64_MIN;
	r->notice_tail = &r->notice_head;
	r->starts = g_new0(struct vh_start, RACK_STARTS_MAX);
	r->stops = g_new0(struct vh_stop, RACK_STOPS_MAX);
	vh_buf_init(&r->key);
	return r;
}

static void rack_reset(struct vh_rack *r)
{
	struct vh_table_iter it = { 0 };
	struct vh_table_node *node;

	for (size_t i = 0; i < r->n_workers; i++) {
		while (r->workers[i]->runs)
			rack_run_free(r, r->workers[i]->runs);
		rack_worker_reset(r->workers[i]);
	}
	while ((node = vh_table_next(&r->fences, &it)))
		g_free(node);
	vh_table_finish(&r->fences);
	rack_decision_clear(r);
}

void vh_rack_free(struct vh_rack *r)
{
	if (!r)
		return;
	rack_reset(r);
	for (size_t i = 0; i < r->n_workers; i++)
		rack_worker_free(r->workers[i]);
	vh_table_finish(&r->attempts);
	vh_table_finish(&r->live);
	vh_table_finish(&r->decisions);
	vh_buf_finish(&r->key);
	g_free(r->workers);
	g_free(r->views);
	g_free(r->starts);
	g_free(r->stops);
	g_free(r->name);
	g_free(r);
}

void vh_rack_update_vm(struct vh_rack *r, const struct vh_vm *vm,
		       int64_t now_ms)
{
	struct rack_worker *w = rack_worker_find(r, vm->id);
	bool was_gone = w && w->vm.gone;

	r->now_ms = now_ms;
	if (!w && vm->gone)
		return;
	if (!w)
		w = rack_worker_add(r);
	rack_worker_set_vm(w, vm);
	if (vm->gone && !was_gone)
		w->gone_ms = now_ms;
}

void vh_rack_take_ownership(struct vh_rack *r, uint64_t epoch, int64_t now_ms)
{
	rack_reset(r);
	r->now_ms = now_ms;
	r->epoch = epoch;
	r->owned_since_ms = now_ms;
	r->fresh_ms = INT64_MIN;
}

void vh_rack_drop_ownership(struct vh_rack *r)
{
	r->epoch = 0;
	rack_reset(r);
}

uint64_t vh_rack_epoch(const struct vh_rack *r)
{
	return r->epoch;
}

void vh_rack_ownership_confirmed(struct vh_rack *r, int64_t fresh_ms)
{
	if (r->epoch && fresh_ms > r->fresh_ms)
		r->fresh_ms = fresh_ms;
}

/* Has every worker that may run anything reported its runs? */
static bool rack_all_reported(const struct vh_rack *r)
{
	for (size_t i = 0; i < r->n_workers; i++) {
		if (!r->workers[i]->adopted && !r->workers[i]->known_empty)
			return false;
	}
	return r->epoch != 0 && r->n_workers > 0;
}

/* Raises the fence of the home to @epoch and returns its newest known epoch. */
static uint64_t rack_raise_fence(struct vh_rack *r, struct vh_slice home,
				 uint64_t epoch)
{
	struct rack_fence *f =
		(struct rack_fence *)vh_table_find(&r->fences, home);

	if (!f) {
		f = g_malloc0(sizeof(*f) + home.len);
		memcpy(f->home, home.data, home.len);
		f->node.key = vh_slice(f->home, home.len);
		vh_table_add(&r->fences, &f->node);
	}
	if (epoch > f->epoch)
		f->epoch = epoch;
	return f->epoch;
}

bool vh_rack_fence_home(struct vh_rack *r, struct vh_slice home,
			uint64_t home_epoch)
{
	if (!r->epoch)
		return false;
	rack_raise_fence(r, home, home_epoch);
	return rack_all_reported(r);
}

void vh_rack_each_home_run(const struct vh_rack *r, struct vh_slice home,
			   void (*fn)(void *ctx,
				      const struct vh_running_task *run,
				      struct vh_slice worker),
			   void *ctx)
{
	for (size_t i = 0; i < r->n_workers; i++) {
		const struct rack_worker *w = r->workers[i];

		for (const struct rack_run *run = w->runs; run;
		     run = run->next) {
			if (vh_slice_eq(run->info.home, home))
				fn(ctx, &run->info, w->vm.id);
		}
	}
}

/*
 * Answers a repeated request with the earlier decision and repeats its notice.
 */
static bool place_repeated(struct vh_rack *r, const struct vh_start *start,
			   enum vh_err *err)
{
	struct rack_run *run = rack_run_find(r, start->task, start->attempt);

	*err = VH_OK;
	if (!run)
		return rack_decision_find(r, start->task, start->attempt, err);
	if (run->state == RUN_RUNNING)
		rack_run_notify(r, run, NOTICE_PLACED);
	else if (run->state == RUN_REFUSED)
		rack_run_notify(r, run, NOTICE_REFUSED);
	else if (run->state == RUN_ENDED)
		rack_run_notify(r, run, NOTICE_ENDED);
	return true;
}

static void worker_view_fill(const struct vh_rack *r,
			     const struct rack_worker *w, int64_t now_ms,
			     struct vh_worker_view *view)
{
	view->id = w->vm.id;
	view->capacity = w->vm.capacity;
	view->free = w->vm.capacity;
	vh_res_sub(&view->free, &w->committed);
	view->n_tasks = w->n_tasks;
	view->usable = rack_worker_usable(r, w, now_ms);
}

static struct rack_worker *place_choose_worker(struct vh_rack *r,
					       const struct vh_start *start,
					       int64_t now_ms, enum vh_err *why)
{
	const struct vh_worker_view *view;
	size_t i;

	for (i = 0; i < r->n_workers; i++)
		worker_view_fill(r, r->workers[i], now_ms, &r->views[i]);
	*why = VH_ERR_NO_CAPACITY;
	i = r->callbacks.choose(r->callbacks.ctx, start, r->views, r->n_workers,
				why);
	if (i >= r->n_workers)
		return NULL;
	view = &r->views[i];
	if (!view->usable || !vh_res_fits(&start->size, &view->free)) {
		*why = VH_ERR_NO_CAPACITY;
		return NULL;
	}
	return r->workers[i];
}

static enum vh_err place_check(struct vh_rack *r,
			       const struct vh_place_req *req, int64_t now_ms)
{
	const struct vh_start *start = &req->start;

	if (start->home_epoch <
	    rack_raise_fence(r, start->home, start->home_epoch))
		return VH_ERR_STALE_EPOCH;
	if (req->deadline_ms && now_ms > req->deadline_ms)
		return VH_ERR_DEADLINE;
	if (vh_table_find(&r->live, start->task))
		return VH_ERR_NOT_READY; /* held by another attempt */
	return VH_OK;
}

static enum vh_err place_new(struct vh_rack *r, const struct vh_place_req *req,
			     int64_t now_ms)
{
	const struct vh_start *start = &req->start;
	struct vh_running_task info = {
		.task = start->task,
		.attempt = start->attempt,
		.home = start->home,
		.home_epoch = start->home_epoch,
		.cls = start->cls,
		.size = start->size,
		.service = start->service,
		.idempotent = start->idempotent,
	};
	enum vh_err err = place_check(r, req, now_ms);
	struct rack_worker *w = NULL;
	struct rack_run *run;

	if (err == VH_OK)
		w = place_choose_worker(r, start, now_ms, &err);
	if (!w)
		return err;
	run = rack_run_add(r, w, &info, start->input);
	rack_run_commit(r, run);
	run->state = RUN_QUEUED;
	run->decided_ms = now_ms;
	return VH_OK;
}

enum vh_err vh_rack_place(struct vh_rack *r, const struct vh_place_req *req,
			  int64_t now_ms)
{
	const struct vh_start *start = &req->start;
	enum vh_err err;

	r->now_ms = now_ms;
	if (!r->epoch || req->rack_epoch != r->epoch)
		return VH_ERR_NOT_OWNER;
	if (!place_repeated(r, start, &err)) {
		err = place_new(r, req, now_ms);
		if (err != VH_OK && req->again && err != VH_ERR_NOT_READY)
			rack_decision_add(r, start->task, start->attempt, err,
					  now_ms);
	}
	rack_deliver_notices(r);
	return err;
}

enum vh_err vh_rack_stop(struct vh_rack *r, struct vh_slice task,
			 uint32_t attempt, enum vh_stop_mode mode)
{
	struct rack_run *run = rack_run_find(r, task, attempt);
	struct vh_ended_task none = { .end = VH_END_NOT_STARTED };

	if (!run || !rack_run_holds_resources(run))
		return VH_ERR_NOT_FOUND;
	if (run->state == RUN_QUEUED && !run->maybe_sent) {
		if (mode != VH_STOP_THROTTLE)
			rack_run_end(r, run, &none, run->decided_ms);
		rack_deliver_notices(r);
		return VH_OK;
	}
	run->stop_wanted = true;
	run->stop_sent = false;
	run->stop_mode = mode;
	return VH_OK;
}

void vh_rack_ack_end(struct vh_rack *r, struct vh_slice task, uint32_t attempt)
{
	struct rack_run *run = rack_run_find(r, task, attempt);
	enum vh_err err;

	if (!run || rack_run_holds_resources(run))
		return;
	err = run->state == RUN_REFUSED ? run->why : VH_OK;
	rack_decision_add(r, run->info.task, attempt, err, r->now_ms);
	rack_run_free(r, run);
}

void vh_rack_ack_end_from(struct vh_rack *r, struct vh_slice task,
			  uint32_t attempt, uint64_t home_epoch)
{
	const struct rack_run *run = rack_run_find(r, task, attempt);

	if (run && r->epoch &&
	    home_epoch >= rack_raise_fence(r, run->info.home, home_epoch))
		vh_rack_ack_end(r, task, attempt);
}

static int64_t run_start_ms(const struct rack_run *run)
{
	const struct rack_worker *w = run->worker;

	if (!run->info.since_ms)
		return run->decided_ms;
	return w->clock_at_ms - (w->clock_ms - run->info.since_ms);
}

void vh_rack_each_run(const struct vh_rack *r,
		      void (*fn)(void *ctx, const struct vh_running_task *run,
				 size_t worker, int64_t since_ms),
		      void *ctx)
{
	for (size_t i = 0; i < r->n_workers; i++) {
		for (const struct rack_run *run = r->workers[i]->runs; run;
		     run = run->next) {
			if (run->state == RUN_RUNNING && !run->stop_wanted)
				fn(ctx, &run->info, i, run_start_ms(run));
		}
	}
}

void vh_rack_each_worker(const struct vh_rack *r,
			 void (*fn)(void *ctx,
				    const struct vh_worker_view *view,
				    const struct vh_vm *vm),
			 void *ctx)
{
	for (size_t i = 0; i < r->n_workers; i++) {
		struct vh_worker_view view;

		worker_view_fill(r, r->workers[i], r->now_ms, &view);
		fn(ctx, &view, &r->workers[i]->vm);
	}
}
