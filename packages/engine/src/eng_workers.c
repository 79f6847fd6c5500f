#include "eng_priv.h"

#define CLOCK_RATE_MIN 0.97	   /* worker's clock rate, relative to ours */
#define HOLD_WAIT_MAX_MS 2000	   /* bound of the long poll for an end */
#define HOLD_INTERVAL_MS 40	   /* from a report to the next hold */
#define HOLD_RETRY_MS 150	   /* after a failed hold, then doubled */
#define HOLD_RETRY_MAX_MS 1200	   /* bound of the doubling */
#define LEASE_EXPIRY_MARGIN_MS 150 /* added to lease_expired_ms */
#define LATENCY_EWMA_WEIGHT 0.1	   /* weight of a new sample */
#define LATENCY_SAMPLE_MAX_MS 300  /* longer times are not due to distance */
#define POLL_TURN_PASSES 50	   /* in which all workers are polled */
#define SHORT_PATH_MS 2500	   /* longest path that latency matters for */
#define HOLD_WAIT_LEASE_SHARE 0.55 /* part of the lease, bounds the long poll */
#define ENDS_LISTED_MAX 500	   /* in one report */
#define UNKNOWN_RUN_POLL_MS 150	   /* while a run that is not expected stops */
#define UNKNOWN_RUN_LOG_MS 1000 /* least time between log lines of a worker */
/* In this time a clock may be 3% apart from what is counted on. */
#define CLOCK_AGE_MAX_MS 30000

struct worker *eng_worker_find(struct engine *e, struct vh_slice id)
{
	char key[ENG_NAME_MAX + 1];

	if (id.len > ENG_NAME_MAX)
		return NULL;
	memcpy(key, id.data, id.len);
	key[id.len] = '\0';
	return g_hash_table_lookup(e->workers, key);
}

int64_t eng_longest_lease_ms(const struct engine *e)
{
	return (int64_t)((double)e->settings.lease_max_ms / CLOCK_RATE_MIN) +
	       e->settings.stop_ms + LEASE_EXPIRY_MARGIN_MS;
}

/*
 * A new entry is unlisted; it stays so if the worker occurs only in a record. A
 * former owner may have granted any lease up to the maximum, so tasks on the
 * worker count as running until the longest possible lease has expired.
 */
struct worker *eng_worker_get(struct engine *e, struct vh_slice id)
{
	struct worker *w = eng_worker_find(e, id);

	if (w)
		return w;
	w = g_new0(struct worker, 1);
	w->id = vh_slice_dup(id);
	w->index = e->worker_list->len;
	w->service = eng_intern(vh_slice("", 0));
	w->address = g_strdup("");
	w->zone = eng_zone_get(e, vh_slice("", 0));
	w->labels = g_new0(char *, 1);
	w->tasks = g_ptr_array_new();
	w->lost_runs = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	eng_speed_reset(w);
	w->lease_expired_ms = e->now_ms + e->settings.former_owner_ms +
			      eng_longest_lease_ms(e);
	g_hash_table_insert(e->workers, w->id, w);
	g_ptr_array_add(e->worker_list, w);
	g_array_set_size(e->poll_due_ms, e->worker_list->len);
	eng_index_relist(e, w);
	eng_worker_touch(e, w);
	return w;
}

void eng_former_owners_end(struct engine *e, int64_t end_ms, int64_t now_ms)
{
	int64_t expired = end_ms + eng_longest_lease_ms(e);

	e->now_ms = now_ms;
	e->settings.former_owner_ms =
		MIN(e->settings.former_owner_ms, MAX(end_ms - now_ms, 0));
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];

		/* A worker that has answered us accepts no other owner. */
		if (w->fenced || w->lease_expired_ms <= expired)
			continue;
		w->lease_expired_ms = expired;
		eng_worker_touch(e, w);
	}
}

void eng_worker_report_event(struct engine *e, const struct worker *w,
			     const char *what, bool problem)
{
	struct eng_worker_event event = {
		.what = what,
		.problem = problem,
		.worker = eng_str(w->id),
		.address = eng_str(w->address),
		.born_ms = w->born_ms,
		.cpu = w->capacity.cpu_milli,
		.used_cpu = w->used.cpu_milli,
		.n_tasks = w->tasks->len,
		.heard_ms = w->clock_at_ms ? e->now_ms - w->clock_at_ms : -1,
		.speed = eng_speed(w),
		.speed_samples = w->speed.n,
	};

	if (e->callbacks.worker_event && e->ready)
		e->callbacks.worker_event(e->callbacks.ctx, &event);
}

static void replace_str(char **to, struct vh_slice s)
{
	g_free(*to);
	*to = vh_slice_dup(s);
}

struct eng_boot eng_worker_boot(const struct worker *w)
{
	struct eng_boot boot = { .worker = eng_str(w->id),
				 .address = eng_str(w->address),
				 .count = w->boot,
				 .born_ms = w->born_ms };

	return boot;
}

void eng_worker_set_address(struct worker *w, struct vh_slice address)
{
	replace_str(&w->address, address);
}

/* Another worker at the same address is a former boot; a hold tells. */
static void look_at_former_boot(struct engine *e, const struct worker *w)
{
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *other = e->worker_list->pdata[i];

		if (other != w &&
		    (other->tasks->len || other->lost_runs->len) &&
		    !strcmp(other->address, w->address)) {
			other->next_hold_ms = 0;
			eng_worker_touch(e, other);
		}
	}
}

void eng_worker_listed(struct engine *e, const struct eng_worker_info *info,
		       int64_t now_ms)
{
	struct worker *w;
	bool was_listed;
	bool resized;

	e->now_ms = now_ms;
	w = eng_worker_get(e, info->id);
	was_listed = w->listed;
	resized = memcmp(&w->capacity, &info->capacity, sizeof(w->capacity));
	if (!was_listed) {
		w->next_hold_ms = 0;
		w->boot_over = false; /* a hold tells */
	}
	w->listed = true;
	w->draining = info->draining;
	w->service = eng_intern(info->service);
	eng_boot_moved(e, w, info->address);
	w->zone = eng_zone_get(e, info->zone);
	g_strfreev(w->labels);
	w->labels = g_new0(char *, info->n_labels + 1);
	for (size_t i = 0; i < info->n_labels; i++)
		w->labels[i] = vh_slice_dup(info->labels[i]);
	w->capacity = info->capacity;
	w->entry_clock_ms = info->clock_ms;
	eng_worker_set_cold(e, w, info->cold_ms);
	eng_zone_clear_worker(e, w);
	eng_index_relist(e, w);
	eng_worker_touch(e, w);
	if (!was_listed) {
		eng_worker_report_event(e, w, "worker listed", false);
		look_at_former_boot(e, w);
	} else if (resized)
		eng_worker_report_event(e, w, "worker capacity changed", false);
	eng_boot_entry(e, w, info);
	eng_speed_worker_known(e, w);
}

void eng_worker_unlisted(struct engine *e, struct vh_slice id, int64_t now_ms)
{
	struct worker *w = eng_worker_find(e, id);

	e->now_ms = now_ms;
	if (!w || !w->listed)
		return;
	w->listed = false;
	eng_index_relist(e, w);
	eng_worker_touch(e, w);
	eng_worker_report_event(e, w, "worker unlisted", w->tasks->len > 0);
}

void eng_worker_record_latency(struct worker *w, int64_t latency_ms)
{
	double latency = (double)MIN(latency_ms, LATENCY_SAMPLE_MAX_MS);

	if (w->start_latency_ms <= 0)
		w->start_latency_ms = latency;
	else
		w->start_latency_ms +=
			LATENCY_EWMA_WEIGHT * (latency - w->start_latency_ms);
}

bool eng_latency_matters(const struct step *s)
{
	return s->critical_path_ms <= SHORT_PATH_MS;
}

double eng_worker_latency_ms(const struct worker *w, const struct step *s)
{
	return eng_latency_matters(s) ? w->start_latency_ms : 0;
}

static int64_t worker_clock_now(const struct engine *e, const struct worker *w)
{
	return w->clock_ms + (e->now_ms - w->clock_at_ms);
}

/*
 * What the worker's clock reads at least. A lease that is counted from it is no
 * longer than it was meant, however old the last report is.
 */
static int64_t worker_clock_at_least(const struct engine *e,
				     const struct worker *w)
{
	return w->clock_ms +
	       (int64_t)((double)(e->now_ms - w->clock_at_ms) * CLOCK_RATE_MIN);
}

/*
 * Whether the worker's entry tells its present capacity. It does not if a former
 * boot wrote it, or if it is old, since capacities change and the store may have
 * been down for the worker.
 */
static bool capacity_known(const struct engine *e, const struct worker *w)
{
	if (w->entry_born_ms && w->entry_born_ms != w->born_ms)
		return false;
	if (!e->settings.entry_age_max_ms || !w->entry_clock_ms)
		return true;
	return w->clock_at_ms && worker_clock_now(e, w) - w->entry_clock_ms <=
					 e->settings.entry_age_max_ms;
}

static bool within_capacity(const struct worker *w)
{
	return w->used.cpu_milli <= w->capacity.cpu_milli &&
	       w->used.mem_mb <= w->capacity.mem_mb &&
	       w->used.gpu <= w->capacity.gpu;
}

bool eng_worker_accepts(const struct engine *e, const struct worker *w)
{
	return w->listed && !w->draining && !w->zone_drained && !w->boot_over &&
	       !w->unknown_runs && capacity_known(e, w) && within_capacity(w);
}

bool eng_worker_usable(const struct engine *e, const struct worker *w)
{
	return w->listed && w->fenced && !w->draining && !w->zone_drained &&
	       !w->boot_over && !w->unknown_runs && !w->hold_failures &&
	       w->avoid_until_ms <= e->now_ms && capacity_known(e, w);
}

static void extend_lease(struct engine *e, struct worker *w, int64_t until_ms)
{
	int64_t expired;

	w->lease_until_ms = MAX(w->lease_until_ms, until_ms);
	expired = w->clock_at_ms +
		  (int64_t)((double)(w->lease_until_ms - w->clock_ms) /
			    CLOCK_RATE_MIN);
	w->lease_expired_ms =
		MAX(w->former_leases_until_ms,
		    expired + e->settings.stop_ms + LEASE_EXPIRY_MARGIN_MS);
}

int64_t eng_worker_grant_lease(struct engine *e, struct worker *w)
{
	int64_t until;

	if (!w->clock_at_ms)
		return 0;
	/* Unreachable: extending the lease would postpone its expiry. */
	if (w->hold_failures)
		return w->lease_until_ms;
	until = worker_clock_at_least(e, w) + e->settings.lease_ms;
	extend_lease(e, w, until);
	return until;
}

static void update_clock(struct engine *e, struct worker *w, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	w->clock_ms = clock_ms;
	w->clock_at_ms = e->now_ms;
	if (w->lease_until_ms)
		extend_lease(e, w, w->lease_until_ms);
	else
		w->lease_expired_ms = e->now_ms + eng_longest_lease_ms(e);
}

/*
 * The batch that stores what an end has changed. An end of a job that has ended
 * may change nothing while the batch with the job's own end is being stored.
 */
static uint64_t batch_with_end(const struct engine *e, struct eng_task_ref ref)
{
	const struct job *j = g_hash_table_lookup(e->jobs, &ref.job);

	if (!j)
		return 0;
	return j->dirty ? e->open_batch : j->state_batch;
}

static void process_ends(struct engine *e, struct worker *w,
			 const struct eng_worker_report *r)
{
	for (size_t i = 0; i < r->n_finished; i++) {
		const struct eng_finished_task *f = &r->finished[i];
		struct task *t;

		if (f->number <= w->processed)
			continue;
		w->processed = f->number;
		t = eng_find_task(e, f->task);
		if (t)
			eng_task_ended(e, t, f);
		w->ack_batch = MAX(w->ack_batch, batch_with_end(e, f->task));
	}
	if (w->ack_batch <= e->stored_batch)
		w->acknowledged = w->processed;
	if (w->acknowledged >= w->processed || w->ack_pending)
		return;
	w->ack_pending = true;
	g_ptr_array_add(e->unacknowledged, w);
}

static void report_unknown_run(struct engine *e, struct worker *w,
			       struct eng_task_ref ref)
{
	struct eng_decision d = {
		.what = "run is not assigned to its worker",
		.task = ref,
		.worker = eng_str(w->id),
		.used_cpu = w->used.cpu_milli,
	};

	if (!e->callbacks.decided || e->now_ms < w->unknown_log_due_ms)
		return;
	w->unknown_log_due_ms = e->now_ms + UNKNOWN_RUN_LOG_MS;
	eng_decision_set_boot(e, &d, w);
	e->callbacks.decided(e->callbacks.ctx, &d);
}

static void stop_unknown_run(struct engine *e, struct worker *w,
			     struct eng_task_ref ref)
{
	struct eng_stop_request request = { .boot = eng_worker_boot(w),
					    .task = ref };

	report_unknown_run(e, w, ref);
	if (e->ready)
		e->callbacks.stop(e->callbacks.ctx, &request);
}

static void process_running(struct engine *e, struct worker *w,
			    const struct eng_worker_report *r)
{
	uint64_t serial = ++e->report_serial;

	w->unknown_runs = false;
	for (size_t i = 0; i < r->n_running; i++) {
		const struct eng_running_task *run = &r->running[i];
		struct task *t = eng_find_task(e, run->task);

		if (!t || t->worker != w || t->run != run->task.run) {
			w->unknown_runs = true;
			stop_unknown_run(e, w, run->task);
			continue;
		}
		t->last_report = serial;
		eng_loss_remove(e, t, t->run);
		eng_task_confirm(e, t);
		if (t->done || !eng_job_active(t->step->job))
			eng_task_stop(e, t);
	}
}

/*
 * Whether a report without the task proves that the task is not on the worker.
 * The hold must have been sent after the state was entered, or after the stop
 * was acknowledged.
 */
static bool absence_is_conclusive(const struct task *t,
				  const struct eng_worker_report *r)
{
	switch (t->state) {
	case TASK_RUNNING:
	case TASK_UNCONFIRMED:
		return t->since_ms < r->sent_ms;
	case TASK_STOPPING:
		return t->stop_acked_ms && t->stop_acked_ms <= r->sent_ms;
	default:
		return false;
	}
}

static void process_absent(struct engine *e, struct worker *w,
			   const struct eng_worker_report *r)
{
	GPtrArray *absent;

	if (r->n_finished >= ENDS_LISTED_MAX)
		return; /* further ends may follow */
	absent = g_ptr_array_new();
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = w->tasks->pdata[i];

		if (t->last_report != e->report_serial &&
		    absence_is_conclusive(t, r))
			g_ptr_array_add(absent, t);
	}
	for (guint i = 0; i < absent->len; i++) {
		struct task *t = absent->pdata[i];

		if (t->worker == w)
			eng_task_lost(e, t, "not on its worker");
	}
	g_ptr_array_free(absent, TRUE);
}

void eng_worker_report(struct engine *e, struct vh_slice id,
		       const struct eng_worker_report *r, int64_t now_ms)
{
	struct worker *w = eng_worker_find(e, id);

	e->now_ms = now_ms;
	if (!w)
		return;
	eng_worker_touch(e, w);
	w->hold_pending = false;
	if (w->hold_failures) {
		w->silent_until_ms = now_ms;
		eng_worker_report_event(e, w, "worker answers again", false);
	}
	w->hold_failures = 0;
	w->next_hold_ms = now_ms + HOLD_INTERVAL_MS;
	if (!eng_boot_reported(e, w, r))
		return;
	eng_worker_survived(e, w);
	w->alive_ms = now_ms;
	w->ends_listed = r->n_finished > 0;
	eng_speed_worker_known(e, w);
	if (!w->fenced)
		w->former_leases_until_ms = now_ms + eng_longest_lease_ms(e);
	update_clock(e, w, r->clock_ms);
	w->fenced = true;
	process_ends(e, w, r);
	process_running(e, w, r);
	process_absent(e, w, r);
	if (w->unknown_runs)
		w->next_hold_ms = now_ms + UNKNOWN_RUN_POLL_MS;
}

void eng_hold_failed(struct engine *e, struct vh_slice id, uint32_t boot,
		     enum eng_reply reply, int64_t now_ms)
{
	struct worker *w = eng_worker_find(e, id);
	int64_t wait;

	e->now_ms = now_ms;
	if (!w)
		return;
	eng_worker_touch(e, w);
	w->hold_pending = false;
	if (reply == ENG_REPLY_FENCED) {
		e->deposed = true;
		e->callbacks.deposed(e->callbacks.ctx,
				     "a worker has seen a newer fence token");
		return;
	}
	if (boot != w->boot)
		return; /* the present boot gets a hold of its own */
	if (reply == ENG_REPLY_OTHER_BOOT) {
		eng_worker_boot_over(e, w);
		return;
	}
	if (!w->hold_failures)
		eng_worker_report_event(e, w, "worker does not answer", true);
	wait = MIN((int64_t)HOLD_RETRY_MS << MIN(w->hold_failures, 4u),
		   HOLD_RETRY_MAX_MS);
	w->hold_failures++;
	w->next_hold_ms = now_ms + wait;
}

/* An idle worker is asked now and then, so that its next lease is not short. */
static bool clock_is_old(const struct engine *e, const struct worker *w)
{
	return w->listed && e->now_ms - w->clock_at_ms >= CLOCK_AGE_MAX_MS;
}

/* Whether a hold is to be sent, at next_hold_ms. */
static bool hold_wanted(const struct engine *e, const struct worker *w)
{
	if (w->hold_pending || !*w->address || w->boot_over)
		return false;
	if (!w->listed && !w->tasks->len && !eng_worker_needs_proof(e, w))
		return false;
	if (!w->fenced || w->report_needed || w->hold_failures ||
	    w->unknown_runs)
		return true;
	if (w->acknowledged < w->processed)
		return false; /* the report would repeat the ends */
	return w->tasks->len > 0 || clock_is_old(e, w);
}

/* The number of the last stored end, if the worker lists it still. */
static int64_t number_to_acknowledge(const struct worker *w)
{
	return w->ends_listed ? w->acknowledged : 0;
}

static void send_hold(struct engine *e, struct worker *w)
{
	struct eng_hold_request request = {
		.boot = eng_worker_boot(w),
		.acknowledged = number_to_acknowledge(w),
	};

	if (w->fenced && w->tasks->len) {
		if (!w->hold_failures)
			request.until_ms = eng_worker_grant_lease(e, w);
		request.wait_ms = MIN(HOLD_WAIT_MAX_MS,
				      (int64_t)((double)e->settings.lease_ms *
						HOLD_WAIT_LEASE_SHARE));
	}
	if (w->report_needed || w->hold_failures || w->unknown_runs ||
	    w->acknowledged < w->processed)
		request.wait_ms = 0;
	w->report_needed = false;
	w->hold_pending = true;
	e->stats.holds++;
	e->callbacks.hold(e->callbacks.ctx, &request);
}

static bool lease_may_expire(const struct worker *w)
{
	return w->tasks->len && w->lease_expired_ms &&
	       (w->hold_failures || !*w->address || !w->listed);
}

static int64_t poll_due_ms(const struct engine *e, const struct worker *w)
{
	int64_t due = eng_retry_due_ms(w);

	if (lease_may_expire(w))
		due = MIN(due, w->lease_expired_ms + 1);
	if (hold_wanted(e, w))
		due = MIN(due, w->next_hold_ms);
	return due;
}

static void poll_worker(struct engine *e, struct worker *w)
{
	e->stats.workers_examined++;
	if (lease_may_expire(w) && w->lease_expired_ms < e->now_ms)
		eng_worker_lease_expired(e, w);
	eng_retry_requests(e, w);
	if (w->next_hold_ms <= e->now_ms && hold_wanted(e, w))
		send_hold(e, w);
	g_array_index(e->poll_due_ms, int64_t, w->index) = poll_due_ms(e, w);
}

void eng_worker_touch(struct engine *e, const struct worker *w)
{
	g_array_index(e->poll_due_ms, int64_t, w->index) = 0;
}

/*
 * The due times are kept in one array, so that the workers with nothing due
 * cost a comparison. Besides, all workers are polled in turn, so that one whose
 * due time is wrong is only delayed.
 */
void eng_poll_workers(struct engine *e)
{
	guint n = e->worker_list->len;

	for (guint i = 0; n && i <= n / POLL_TURN_PASSES; i++) {
		g_array_index(e->poll_due_ms, int64_t, e->poll_cursor % n) = 0;
		e->poll_cursor = (e->poll_cursor + 1) % n;
	}
	for (guint i = 0; i < n; i++) {
		if (g_array_index(e->poll_due_ms, int64_t, i) <= e->now_ms)
			poll_worker(e, e->worker_list->pdata[i]);
	}
}
