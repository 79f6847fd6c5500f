#include "rack_priv.h"

#define RETRY_MIN_MS 100
#define RETRY_MAX_SHIFT 6
/* Interval between exchanges while the worker repeats unacknowledged ends. */
#define UNACKED_END_INTERVAL_MS 100

static bool run_wants_start(const struct rack_worker *w,
			    const struct rack_run *run, int64_t now_ms)
{
	if (run->exchange)
		return false;
	if (run->state == RUN_QUEUED)
		return true;
	return run->state == RUN_SENT &&
	       rack_worker_clock(w, now_ms) <= run->not_after_ms;
}

static bool run_wants_stop(const struct rack_run *run)
{
	return run->stop_wanted && !run->stop_sent &&
	       rack_run_holds_resources(run);
}

static bool worker_wants_orders(const struct rack_worker *w, int64_t now_ms)
{
	if (!w->adopted || w->needs_full_list)
		return true;
	for (const struct rack_run *run = w->runs; run; run = run->next) {
		if (run_wants_start(w, run, now_ms) || run_wants_stop(run))
			return true;
	}
	return false;
}

static int64_t renewal_due_ms(const struct vh_rack *r,
			      const struct rack_worker *w)
{
	int64_t renew_ms = r->settings.renew_ms;

	if (!w->n_tasks)
		return w->renewed_ms + renew_ms;
	if (r->settings.hold) /* the long poll renews unless it was lost */
		return w->renewed_ms + renew_ms + renew_ms / 2;
	if (rack_worker_ack(w) < w->last_end_seq)
		return w->renewed_ms + UNACKED_END_INTERVAL_MS;
	return w->renewed_ms;
}

static int64_t orders_due_ms(const struct vh_rack *r,
			     const struct rack_worker *w)
{
	if (w->orders.id || (w->vm.gone && w->known_empty))
		return INT64_MAX;
	if (worker_wants_orders(w, r->now_ms))
		return w->retry_ms;
	return MAX(w->retry_ms, renewal_due_ms(r, w));
}

static int64_t poll_due_ms(const struct vh_rack *r, const struct rack_worker *w)
{
	if (!r->settings.hold || !w->adopted || w->poll.id || !w->n_tasks)
		return INT64_MAX;
	if (rack_worker_ack(w) < w->last_end_seq)
		return MAX(w->retry_ms,
			   w->renewed_ms + UNACKED_END_INTERVAL_MS);
	return w->retry_ms;
}

int64_t rack_next_sync_ms(const struct vh_rack *r, const struct rack_worker *w)
{
	return MIN(orders_due_ms(r, w), poll_due_ms(r, w));
}

/* Fills in the starts to send; refuses those past their time limit. */
static size_t fill_starts(struct vh_rack *r, struct rack_worker *w,
			  uint64_t exchange)
{
	int64_t void_ms = r->settings.start_void_ms;
	struct rack_run *next;
	size_t n = 0;

	for (struct rack_run *run = w->runs; run; run = next) {
		next = run->next;
		if (n == RACK_STARTS_MAX || !run_wants_start(w, run, r->now_ms))
			continue;
		if (run->state == RUN_QUEUED) {
			int64_t left = run->decided_ms + void_ms - r->now_ms;

			if (left < 0) {
				rack_run_refuse(r, run, VH_ERR_DEADLINE,
						r->now_ms);
				continue;
			}
			run->not_after_ms =
				rack_worker_clock(w, r->now_ms) + left;
			run->state = RUN_SENT;
		}
		run->exchange = exchange;
		r->starts[n] = (struct vh_start){
			.task = run->info.task,
			.attempt = run->info.attempt,
			.home = run->info.home,
			.home_epoch = run->info.home_epoch,
			.cls = run->info.cls,
			.size = run->info.size,
			.service = run->info.service,
			.input = run->input,
			.idempotent = run->info.idempotent,
			.not_after_ms = run->not_after_ms,
		};
		n++;
	}
	return n;
}

static size_t fill_stops(struct vh_rack *r, struct rack_worker *w,
			 uint64_t exchange)
{
	size_t n = 0;

	for (struct rack_run *run = w->runs; run; run = run->next) {
		if (n == RACK_STOPS_MAX || !run_wants_stop(run))
			continue;
		run->stop_sent = true;
		run->stop_exchange = exchange;
		r->stops[n++] = (struct vh_stop){
			.task = run->info.task,
			.attempt = run->info.attempt,
			.mode = run->stop_mode,
		};
	}
	return n;
}

/* Grants a lease based on the worker's latest clock reading. */
static int64_t lease_grant(struct vh_rack *r, struct rack_worker *w)
{
	const struct vh_rack_settings *s = &r->settings;

	w->renewed_ms = r->now_ms;
	w->lease_expiry_ms =
		MAX(w->lease_expiry_ms,
		    w->clock_at_ms + s->lease_ms + s->clock_margin_ms);
	return w->clock_ms + s->lease_ms;
}

static void exchange_begin(struct vh_rack *r, struct rack_worker *w,
			   struct rack_exchange *x, struct vh_sync_req *req)
{
	x->id = ++r->last_exchange;
	x->generation = w->generation;
	memset(req, 0, sizeof(*req));
	req->exchange = x->id;
	req->epoch = r->epoch;
	req->owner = vh_slice("", 0);
	req->starts = r->starts;
	req->stops = r->stops;
	if (!w->adopted) {
		req->full = true;
		return;
	}
	req->incarnation = vh_slice_str(w->incarnation);
	req->lease_until_ms = lease_grant(r, w);
	req->ack = rack_worker_ack(w);
}

static void orders_begin(struct vh_rack *r, struct rack_worker *w,
			 struct vh_sync_req *req)
{
	int64_t age_ms = r->now_ms - w->clock_at_ms;

	exchange_begin(r, w, &w->orders, req);
	if (!w->adopted)
		return;
	req->full = w->needs_full_list;
	/*
	 * If the clock reading is old, the lease granted here may have expired
	 * before the request arrives, so starts wait for the next exchange.
	 */
	if (age_ms <= r->settings.lease_ms / 2)
		req->n_starts = fill_starts(r, w, w->orders.id);
	req->n_stops = fill_stops(r, w, w->orders.id);
	if (!r->settings.hold && w->n_tasks && !req->n_starts &&
	    !req->n_stops && !req->full)
		req->wait_ms = VH_RACK_SHORT_POLL_MS;
}

static bool worker_due(struct vh_rack *r, struct rack_worker *w,
		       struct vh_sync_req *req)
{
	if (orders_due_ms(r, w) <= r->now_ms) {
		orders_begin(r, w, req);
		return true;
	}
	if (poll_due_ms(r, w) <= r->now_ms) {
		exchange_begin(r, w, &w->poll, req);
		req->wait_ms = (uint32_t)r->settings.renew_ms;
		return true;
	}
	return false;
}

bool vh_rack_sync_due(struct vh_rack *r, int64_t now_ms,
		      struct vh_slice *worker, struct vh_sync_req *req)
{
	bool due = false;

	r->now_ms = now_ms;
	for (size_t i = 0; r->epoch && !due && i < r->n_workers; i++) {
		size_t at = (r->next_worker + i) % r->n_workers;

		due = worker_due(r, r->workers[at], req);
		if (due) {
			*worker = r->workers[at]->vm.id;
			r->next_worker = (at + 1) % r->n_workers;
		}
	}
	rack_deliver_notices(r);
	return due;
}

/* Finds an exchange in flight and detaches it from its worker. */
static struct rack_worker *exchange_remove(struct vh_rack *r, uint64_t id,
					   struct rack_exchange *out)
{
	for (size_t i = 0; id && i < r->n_workers; i++) {
		struct rack_worker *w = r->workers[i];
		struct rack_exchange *x =
			w->orders.id == id ? &w->orders : &w->poll;

		if (x->id != id)
			continue;
		*out = *x;
		x->id = 0;
		return w;
	}
	return NULL;
}

/* It is unknown whether the worker handled the exchange's starts and stops. */
static void exchange_outcome_unknown(struct rack_worker *w, uint64_t id,
				     bool received)
{
	for (struct rack_run *run = w->runs; run; run = run->next) {
		if (run->stop_exchange == id)
			run->stop_sent = false;
		if (run->exchange != id)
			continue;
		run->exchange = 0;
		run->maybe_sent |= received;
		if (!run->maybe_sent)
			run->state = RUN_QUEUED;
	}
}

void vh_rack_exchange_failed(struct vh_rack *r, uint64_t exchange,
			     enum vh_err err, int64_t now_ms)
{
	struct rack_exchange x;
	struct rack_worker *w = exchange_remove(r, exchange, &x);
	unsigned int shift;
	int64_t wait_ms;

	r->now_ms = now_ms;
	if (!w)
		return;
	if (err == VH_ERR_STALE_EPOCH) {
		vh_rack_drop_ownership(r);
		return;
	}
	exchange_outcome_unknown(w, x.id, err != VH_ERR_UNREACHABLE);
	if (x.generation != w->generation)
		return;
	shift = MIN(w->failures, RETRY_MAX_SHIFT);
	wait_ms = (int64_t)RETRY_MIN_MS << shift;
	w->failures++;
	w->retry_ms = now_ms + MIN(wait_ms, r->settings.renew_ms);
}

static void apply_ends(struct vh_rack *r, struct rack_worker *w,
		       const struct vh_sync_reply *reply)
{
	for (size_t i = 0; i < reply->n_ended; i++) {
		const struct vh_ended_task *e = &reply->ended[i];
		struct rack_run *run = rack_run_find(r, e->task, e->attempt);
		struct vh_running_task info = { .task = e->task,
						.attempt = e->attempt,
						.home = e->home };

		w->last_end_seq = MAX(w->last_end_seq, e->seq);
		if (!run && rack_decision_find(r, e->task, e->attempt, NULL))
			continue;
		if (!run)
			run = rack_run_add(r, w, &info, vh_slice("", 0));
		else if (run->worker != w)
			continue;
		else if (!rack_run_holds_resources(run)) {
			run->end_seq = e->seq;
			continue;
		}
		rack_run_end(r, run, e, r->now_ms);
	}
}

static enum vh_err refusal_error(struct vh_slice why)
{
	if (vh_slice_eq_str(why, "late"))
		return VH_ERR_DEADLINE;
	if (vh_slice_eq_str(why, "no_lease"))
		return VH_ERR_NOT_READY;
	return VH_ERR_NO_CAPACITY;
}

static void apply_refusals(struct vh_rack *r, struct rack_worker *w,
			   const struct vh_sync_reply *reply, uint64_t exchange)
{
	for (size_t i = 0; i < reply->n_refused; i++) {
		const struct vh_refused_start *f = &reply->refused[i];
		struct rack_run *run = rack_run_find(r, f->task, f->attempt);
		enum vh_err why = refusal_error(f->why);

		if (!run || run->worker != w || run->exchange != exchange ||
		    run->state != RUN_SENT)
			continue;
		run->exchange = 0;
		if (vh_slice_eq_str(f->why, "duplicate"))
			rack_run_lost(r, run, r->now_ms);
		else if (!run->maybe_sent || why == VH_ERR_DEADLINE)
			rack_run_refuse(r, run, why, r->now_ms);
		/* else an earlier copy of the start may still arrive */
	}
}

static void apply_accepted(struct vh_rack *r, struct rack_worker *w,
			   uint64_t exchange)
{
	for (struct rack_run *run = w->runs; run; run = run->next) {
		if (run->exchange != exchange)
			continue;
		run->exchange = 0;
		if (run->state != RUN_SENT)
			continue;
		run->state = RUN_RUNNING;
		rack_run_notify(r, run, NOTICE_PLACED);
	}
}

static void adopt_run(struct vh_rack *r, struct rack_worker *w,
		      const struct vh_running_task *info)
{
	struct rack_run *run = rack_run_find(r, info->task, info->attempt);

	if (run) {
		if (run->state == RUN_SENT) {
			run->state = RUN_RUNNING;
			rack_run_notify(r, run, NOTICE_PLACED);
		}
		run->listed = run->worker == w;
		run->info.used_cpu_milli = info->used_cpu_milli;
		run->info.used_mem_mb = info->used_mem_mb;
		run->info.since_ms = info->since_ms;
		return;
	}
	if (rack_decision_find(r, info->task, info->attempt, NULL))
		return; /* listed before its end was reported */
	run = rack_run_add(r, w, info, vh_slice("", 0));
	rack_run_commit(r, run);
	run->state = RUN_RUNNING;
	run->listed = true;
}

/* Ends or refuses the runs that the worker does not list. */
static void apply_unlisted(struct vh_rack *r, struct rack_worker *w,
			   int64_t clock_ms)
{
	struct rack_run *next;

	for (struct rack_run *run = w->runs; run; run = next) {
		next = run->next;
		if (run->listed || run->exchange)
			continue;
		if (run->state == RUN_RUNNING)
			rack_run_lost(r, run, r->now_ms);
		else if (run->state == RUN_SENT && clock_ms > run->not_after_ms)
			rack_run_refuse(r, run, VH_ERR_DEADLINE, r->now_ms);
	}
}

static void apply_full_list(struct vh_rack *r, struct rack_worker *w,
			    const struct vh_sync_reply *reply)
{
	for (struct rack_run *run = w->runs; run; run = run->next)
		run->listed = false;
	for (size_t i = 0; i < reply->n_running; i++)
		adopt_run(r, w, &reply->running[i]);
	apply_unlisted(r, w, reply->clock_ms);
	if (!w->adopted) {
		for (struct rack_run *run = w->runs; run; run = run->next) {
			if (run->state == RUN_ENDED)
				rack_run_notify(r, run, NOTICE_ENDED);
		}
		w->renewed_ms = INT64_MIN / 2;
	}
	w->adopted = true;
	w->known_empty = false;
	w->needs_full_list = false;
}

/* A new incarnation runs nothing of the previous one. */
static void apply_incarnation(struct vh_rack *r, struct rack_worker *w,
			      struct vh_slice incarnation)
{
	if (w->incarnation) {
		if (vh_slice_eq_str(incarnation, w->incarnation))
			return;
		rack_worker_lost(r, w, r->now_ms);
		w->generation++;
		g_free(w->incarnation);
	}
	w->incarnation = vh_slice_dup(incarnation);
	w->clock_ms = INT64_MIN;
	w->lease_expiry_ms = INT64_MIN;
}

/* Returns false if the reply must not be used. */
static bool apply_clock(struct vh_rack *r, struct rack_worker *w,
			const struct rack_exchange *x,
			const struct vh_sync_reply *reply)
{
	const struct vh_rack_settings *s = &r->settings;

	if (x->generation != w->generation)
		return false;
	apply_incarnation(r, w, reply->incarnation);
	if (!w->adopted && !reply->full)
		return false;
	if (reply->clock_ms >= w->clock_ms) {
		w->clock_ms = reply->clock_ms;
		w->clock_at_ms = r->now_ms;
	}
	if (!w->adopted) /* an earlier owner's grant may still run */
		w->lease_expiry_ms =
			MAX(w->lease_expiry_ms,
			    r->now_ms + s->lease_ms + s->clock_margin_ms);
	w->leaving = reply->leaving;
	w->failures = 0;
	w->retry_ms = INT64_MIN;
	return true;
}

void vh_rack_exchange_done(struct vh_rack *r, uint64_t exchange,
			   const struct vh_sync_reply *reply, int64_t now_ms)
{
	struct rack_exchange x;
	struct rack_worker *w = exchange_remove(r, exchange, &x);

	r->now_ms = now_ms;
	if (!w)
		return;
	if (reply->epoch > r->epoch) {
		vh_rack_drop_ownership(r);
		return;
	}
	if (!apply_clock(r, w, &x, reply)) {
		exchange_outcome_unknown(w, x.id, true);
		rack_deliver_notices(r);
		return;
	}
	apply_ends(r, w, reply);
	apply_refusals(r, w, reply, x.id);
	apply_accepted(r, w, x.id);
	if (reply->full)
		apply_full_list(r, w, reply);
	rack_deliver_notices(r);
}

static uint64_t worker_exchange(const struct vh_rack *r, struct vh_slice worker)
{
	const struct rack_worker *w = rack_worker_find(r, worker);

	if (!w)
		return 0;
	return w->orders.id ? w->orders.id : w->poll.id;
}

void vh_rack_sync_done(struct vh_rack *r, struct vh_slice worker,
		       const struct vh_sync_reply *reply, int64_t now_ms)
{
	vh_rack_exchange_done(r, worker_exchange(r, worker), reply, now_ms);
}

void vh_rack_sync_failed(struct vh_rack *r, struct vh_slice worker,
			 enum vh_err err, int64_t now_ms)
{
	vh_rack_exchange_failed(r, worker_exchange(r, worker), err, now_ms);
}
