#include "owner_priv.h"

#include <inttypes.h>

#include "vh/log.h"

#define US_PER_MS 1000
#define MS_PER_S 1000.0
#define ZONE_METRICS_MAX 64
#define ZONE_METRICS_INTERVAL_MS 1000
#define USAGE_METRICS_MAX 256
#define USAGE_METRICS_INTERVAL_MS 1000

/* A pending call to a worker; @boot is the count of the request's boot. */
struct worker_call {
	struct owner *owner;
	char *worker;
	uint32_t boot;
	struct eng_task_ref task;
};

static struct worker_call *worker_call_new(struct owner *o,
					   const struct eng_boot *boot)
{
	struct worker_call *call = g_new0(struct worker_call, 1);

	call->owner = o;
	call->worker = vh_slice_dup(boot->worker);
	call->boot = boot->count;
	o->pending_calls++;
	return call;
}

static void worker_call_free(struct worker_call *call)
{
	g_free(call->worker);
	g_free(call);
}

static void on_started(void *ctx, enum eng_reply answer)
{
	struct worker_call *call = ctx;
	struct owner *o = call->owner;

	o->pending_calls--;
	if (!owner_has_ended(o)) {
		eng_start_reply(o->engine, vh_slice_str(call->worker),
				call->boot, call->task, answer,
				owner_now_ms(o));
		owner_schedule_run(o);
	}
	worker_call_free(call);
}

static void on_stopped(void *ctx, enum eng_reply answer)
{
	struct worker_call *call = ctx;
	struct owner *o = call->owner;

	o->pending_calls--;
	if (!owner_has_ended(o)) {
		eng_stop_reply(o->engine, vh_slice_str(call->worker),
			       call->boot, call->task, answer, owner_now_ms(o));
		owner_schedule_run(o);
	}
	worker_call_free(call);
}

/*
 * The engine takes the worker's clock in a report to be the present time there.
 * Without one it goes on with its earlier estimate, which a pause of this
 * process does not change.
 */
static void pass_report(struct owner *o, const struct worker_call *call,
			const struct eng_worker_report *report)
{
	struct eng_worker_report r = *report;

	owner_note_pause(o);
	r.boot = call->boot;
	if (r.sent_ms < o->woken_ms)
		r.clock_ms = 0;
	eng_worker_report(o->engine, vh_slice_str(call->worker), &r,
			  owner_now_ms(o));
}

static void on_hold(void *ctx, enum eng_reply answer,
		    const struct eng_worker_report *report)
{
	struct worker_call *call = ctx;
	struct owner *o = call->owner;
	struct vh_slice worker = vh_slice_str(call->worker);

	o->pending_calls--;
	if (!owner_has_ended(o)) {
		if (answer == ENG_REPLY_OK)
			pass_report(o, call, report);
		else
			eng_hold_failed(o->engine, worker, call->boot, answer,
					owner_now_ms(o));
		owner_schedule_run(o);
	}
	worker_call_free(call);
}

static void on_start_withheld(void *ctx)
{
	on_started(ctx, ENG_REPLY_NOT_SENT);
}

static void send_start(void *ctx, const struct eng_start_request *s)
{
	struct owner *o = ctx;
	struct worker_call *call = worker_call_new(o, &s->boot);
	struct eng_start_request request = *s;

	call->task = s->task;
	if (!owner_may_act(o)) {
		/* The engine sends it again, or places the task anew. */
		o->withheld_starts++;
		vh_kernel_defer(o->kernel, on_start_withheld, call);
		return;
	}
	owner_view_note_start(o, s);
	request.not_after_ms =
		MIN(request.not_after_ms, o->ops.permitted_until_ms(o->ctx));
	o->ports->workers->start(o->ports->workers_self, o->epoch, &request,
				 on_started, call);
}

static void send_stop(void *ctx, const struct eng_stop_request *s)
{
	struct owner *o = ctx;
	struct worker_call *call = worker_call_new(o, &s->boot);

	call->task = s->task;
	o->ports->workers->stop(o->ports->workers_self, o->epoch, s, on_stopped,
				call);
}

static void send_hold(void *ctx, const struct eng_hold_request *h)
{
	struct owner *o = ctx;
	struct worker_call *call = worker_call_new(o, &h->boot);
	struct eng_hold_request request = *h;

	if (request.until_ms && !owner_may_act(o)) {
		o->withheld_leases++;
		request.until_ms = 0;
	}
	o->ports->workers->hold(o->ports->workers_self, o->epoch, &request,
				on_hold, call);
}

static void report_deposed(void *ctx)
{
	struct owner *o = ctx;

	o->pending_calls--;
	if (!owner_has_ended(o))
		o->ops.ownership_lost(o->ctx,
				      "fenced at a worker by a newer owner");
}

/* Deferred, since the engine calls this in the middle of an operation. */
static void on_deposed(void *ctx, const char *why)
{
	struct owner *o = ctx;

	(void)why;
	o->pending_calls++;
	vh_kernel_defer(o->kernel, report_deposed, o);
}

static void count_event(struct owner *o, const char *metric, const char *what)
{
	char labels[80];

	g_snprintf(labels, sizeof(labels), "what=\"%s\"", what);
	++*vh_metrics_counter(&o->kernel->metrics, metric, labels);
}

static void on_task_decided(void *ctx, const struct eng_decision *d)
{
	char born[24];
	char heard[24];
	char lease[24];
	char job[20];
	char task[40];
	char run[12];
	char cpu[48];
	char age[24];
	char in_state[24];
	char lost[12];
	char *worker = vh_slice_dup(d->worker);

	count_event(ctx, "vh_task_decisions_total", d->what);
	g_snprintf(job, sizeof(job), "%016" PRIx64, d->task.job);
	g_snprintf(task, sizeof(task), "%u.%u.%u", d->task.occurrence,
		   d->task.step, d->task.index);
	g_snprintf(run, sizeof(run), "%u", d->task.run);
	g_snprintf(cpu, sizeof(cpu), "%" PRId64 "/%" PRId64, d->need_cpu,
		   d->used_cpu);
	g_snprintf(age, sizeof(age), "%" PRId64, d->age_ms);
	g_snprintf(in_state, sizeof(in_state), "%" PRId64, d->in_state_ms);
	g_snprintf(lost, sizeof(lost), "%u", d->lost_runs);
	g_snprintf(born, sizeof(born), "%" PRId64, d->born_ms);
	g_snprintf(heard, sizeof(heard), "%" PRId64, d->heard_ms);
	g_snprintf(lease, sizeof(lease), "%" PRId64, d->lease_left_ms);
	vh_log(G_LOG_LEVEL_INFO, d->what, "job", job, "task", task, "run", run,
	       "worker", worker, "cpu", cpu, "age_ms", age, "state_ms",
	       in_state, "lost", lost, "born", born, "heard_ms", heard,
	       "lease_left_ms", lease, NULL);
	g_free(worker);
}

/* Text forms of a team's past use, for log lines. */
struct usage_text {
	char *team;
	char use[24];
	char share[16];
};

static void usage_text_init(struct usage_text *t,
			    const struct eng_team_usage *u)
{
	t->team = vh_slice_dup(u->team);
	g_snprintf(t->use, sizeof(t->use), "%.1f", u->past_use_s);
	g_snprintf(t->share, sizeof(t->share), "%.4f", u->share);
}

static void on_usage_wait(void *ctx, const struct eng_decision *d)
{
	const struct eng_usage_wait *w = d->usage;
	char job[20];
	char behind[20];
	char shift[24];
	char age[24];
	struct usage_text own;
	struct usage_text ahead;

	count_event(ctx, "vh_task_decisions_total", d->what);
	g_snprintf(job, sizeof(job), "%016" PRIx64, d->task.job);
	g_snprintf(behind, sizeof(behind), "%016" PRIx64, w->ahead_job);
	g_snprintf(shift, sizeof(shift), "%" PRId64, w->shift_ms);
	g_snprintf(age, sizeof(age), "%" PRId64, d->age_ms);
	usage_text_init(&own, &w->own);
	usage_text_init(&ahead, &w->ahead);
	vh_log(G_LOG_LEVEL_INFO, d->what, "job", job, "team", own.team,
	       "past_use_s", own.use, "share", own.share, "behind", behind,
	       "behind_team", ahead.team, "behind_past_use_s", ahead.use,
	       "behind_share", ahead.share, "shift_ms", shift, "age_ms", age,
	       NULL);
	g_free(own.team);
	g_free(ahead.team);
}

static void on_decided(void *ctx, const struct eng_decision *d)
{
	if (d->usage)
		on_usage_wait(ctx, d);
	else
		on_task_decided(ctx, d);
}

static void on_usage_event(void *ctx, const char *what,
			   const struct eng_team_usage *u)
{
	struct usage_text t;
	char due[16];
	char delay[16];

	count_event(ctx, "vh_team_usage_events_total", what);
	usage_text_init(&t, u);
	g_snprintf(due, sizeof(due), "%.4f", u->due_share);
	g_snprintf(delay, sizeof(delay), "%.3f", u->delay);
	vh_log(G_LOG_LEVEL_INFO, what, "team", t.team, "past_use_s", t.use,
	       "share", t.share, "due_share", due, "delay", delay, NULL);
	g_free(t.team);
}

static void set_usage_metrics(struct owner *o, const struct eng_team_usage *u)
{
	struct vh_metrics *m = &o->kernel->metrics;
	char labels[ENG_NAME_MAX + 16];

	g_snprintf(labels, sizeof(labels), "team=\"%.*s\"",
		   (int)MIN(u->team.len, ENG_NAME_MAX), u->team.data);
	*vh_metrics_gauge(m, "vh_team_past_use_seconds", labels) =
		u->past_use_s;
	*vh_metrics_gauge(m, "vh_team_past_use_share", labels) = u->share;
	*vh_metrics_gauge(m, "vh_team_due_share", labels) = u->due_share;
	*vh_metrics_gauge(m, "vh_team_past_use_delay", labels) = u->delay;
}

void owner_update_usage_metrics(struct owner *o)
{
	struct eng_team_usage teams[USAGE_METRICS_MAX];
	int64_t now = owner_now_ms(o);
	size_t n;

	if (now - o->usage_metrics_ms < USAGE_METRICS_INTERVAL_MS)
		return;
	o->usage_metrics_ms = now;
	n = eng_team_usages(o->engine, teams, USAGE_METRICS_MAX);
	for (size_t i = 0; i < n; i++)
		set_usage_metrics(o, &teams[i]);
}

void owner_clear_usage_metrics(struct owner *o)
{
	struct eng_team_usage teams[USAGE_METRICS_MAX];
	size_t n = eng_team_usages(o->engine, teams, USAGE_METRICS_MAX);

	for (size_t i = 0; i < n; i++) {
		struct eng_team_usage none = { .team = teams[i].team };

		set_usage_metrics(o, &none);
	}
}

static void on_worker_event(void *ctx, const struct eng_worker_event *w)
{
	char born[24];
	char cpu[48];
	char tasks[24];
	char heard[24];
	char speed[24];
	char runs[12];
	char *worker = vh_slice_dup(w->worker);
	char *address = vh_slice_dup(w->address);

	count_event(ctx, "vh_worker_events_total", w->what);
	g_snprintf(born, sizeof(born), "%" PRId64, w->born_ms);
	g_snprintf(cpu, sizeof(cpu), "%" PRId64 "/%" PRId64, w->used_cpu,
		   w->cpu);
	g_snprintf(tasks, sizeof(tasks), "%zu", w->n_tasks);
	g_snprintf(heard, sizeof(heard), "%" PRId64, w->heard_ms);
	g_ascii_formatd(speed, sizeof(speed), "%.2f", w->speed);
	g_snprintf(runs, sizeof(runs), "%u", w->speed_samples);
	vh_log(w->problem ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO, w->what,
	       "worker", worker, "address", address, "born", born, "cpu", cpu,
	       "tasks", tasks, "heard_ms", heard, "speed", speed, "speed_runs",
	       runs, NULL);
	g_free(worker);
	g_free(address);
}

static void set_zone_metrics(struct owner *o, const struct eng_zone_status *z)
{
	struct vh_metrics *m = &o->kernel->metrics;
	char labels[ENG_NAME_MAX + 16];

	g_snprintf(labels, sizeof(labels), "zone=\"%.*s\"",
		   (int)MIN(z->zone.len, ENG_NAME_MAX), z->zone.data);
	*vh_metrics_gauge(m, "vh_zone_drained_seconds", labels) =
		z->drained ? (double)z->drained_ms / MS_PER_S : 0;
	*vh_metrics_gauge(m, "vh_zone_tasks_left", labels) = (double)z->n_tasks;
	*vh_metrics_gauge(m, "vh_zone_starts_prevented", labels) =
		(double)z->prevented;
}

void owner_update_zone_metrics(struct owner *o)
{
	struct eng_zone_status zones[ZONE_METRICS_MAX];
	int64_t now = owner_now_ms(o);
	size_t n;

	if (now - o->zone_metrics_ms < ZONE_METRICS_INTERVAL_MS)
		return;
	o->zone_metrics_ms = now;
	n = eng_drained_zones(o->engine, zones, ZONE_METRICS_MAX);
	for (size_t i = 0; i < n; i++)
		set_zone_metrics(o, &zones[i]);
}

void owner_clear_zone_metrics(struct owner *o)
{
	struct eng_zone_status zones[ZONE_METRICS_MAX];
	size_t n = eng_drained_zones(o->engine, zones, ZONE_METRICS_MAX);

	for (size_t i = 0; i < n; i++) {
		struct eng_zone_status none = { .zone = zones[i].zone };

		set_zone_metrics(o, &none);
	}
}

static void on_zone_event(void *ctx, const char *what,
			  const struct eng_zone_status *z)
{
	char since[24];
	char workers[24];
	char others[24];
	char tasks[24];
	char prevented[24];
	char *zone = vh_slice_dup(z->zone);

	count_event(ctx, "vh_zone_events_total", what);
	g_snprintf(since, sizeof(since), "%" PRId64, z->drained_ms);
	g_snprintf(workers, sizeof(workers), "%zu", z->n_workers);
	g_snprintf(others, sizeof(others), "%zu", z->n_other_workers);
	g_snprintf(tasks, sizeof(tasks), "%zu", z->n_tasks);
	g_snprintf(prevented, sizeof(prevented), "%" PRIu64, z->prevented);
	vh_log(G_LOG_LEVEL_INFO, what, "zone", zone, "drained_ms", since,
	       "workers", workers, "other_workers", others, "tasks", tasks,
	       "prevented", prevented, NULL);
	set_zone_metrics(ctx, z);
	g_free(zone);
}

static void on_milestone(void *ctx, const struct eng_milestone *m)
{
	static const char *const names[] = {
		[ENG_RUNNING] = "vh_job_wait_seconds",
		[ENG_COMPLETE] = "vh_job_complete_seconds",
		[ENG_FAILED] = "vh_job_failed_seconds",
		[ENG_CANCELLED] = "vh_job_cancelled_seconds",
	};
	struct owner *o = ctx;
	char labels[2 * ENG_NAME_MAX + 32];

	g_snprintf(labels, sizeof(labels), "team=\"%.*s\",queue=\"%.*s\"",
		   VH_SLICE_ARGS(m->team), VH_SLICE_ARGS(m->queue));
	vh_histogram_add(vh_metrics_histogram(&o->kernel->metrics,
					      names[m->status], labels),
			 (uint64_t)MAX(m->took_ms, 0) * US_PER_MS);
}

static void on_overload(void *ctx, const struct eng_overload_event *event)
{
	const char *what = event->active ? "overload begins" : "overload ends";
	char cpu[48];
	char waiting[48];
	char hold[24];
	char lasted[24];
	char *service = vh_slice_dup(event->service);

	count_event(ctx, "vh_overload_events_total", what);
	g_snprintf(cpu, sizeof(cpu), "%" PRId64 "/%" PRId64, event->free_cpu,
		   event->cpu_capacity);
	g_snprintf(waiting, sizeof(waiting), "%" PRId64 "/%" PRId64,
		   event->at_risk_cpu, event->waiting_cpu);
	g_snprintf(hold, sizeof(hold), "%" PRId64, event->hold_ms);
	g_snprintf(lasted, sizeof(lasted), "%" PRId64, event->lasted_ms);
	vh_log(event->active ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO, what,
	       "service", service, "free_cpu", cpu, "at_risk_cpu", waiting,
	       "hold_ms", hold, "lasted_ms", lasted, NULL);
	g_free(service);
}

static void set_waiting(struct owner *o, const struct eng_waiting *w,
			const char *state, uint32_t n)
{
	char labels[ENG_NAME_MAX + 80];

	g_snprintf(labels, sizeof(labels),
		   "team=\"%.*s\",class=\"%u\",state=\"%s\"",
		   VH_SLICE_ARGS(w->team), w->priority, state);
	*vh_metrics_gauge(&o->kernel->metrics, "vh_overload_waiting_tasks",
			  labels) = n;
}

static void on_waiting(void *ctx, const struct eng_waiting *w)
{
	struct owner *o = ctx;
	char class[12];
	char tasks[72];
	char ahead[24];
	char wait[24];
	char *team = vh_slice_dup(w->team);

	/* Few states, since each is a series for every team and class. */
	set_waiting(o, w, "in_time", w->in_time + w->doubtful);
	set_waiting(o, w, "late", w->late + w->over_share);
	set_waiting(o, w, "no_value", w->no_value);
	g_snprintf(class, sizeof(class), "%u", w->priority);
	g_snprintf(tasks, sizeof(tasks), "%u/%u/%u/%u/%u", w->in_time,
		   w->doubtful, w->late, w->over_share, w->no_value);
	g_snprintf(ahead, sizeof(ahead), "%" PRId64, w->ahead_cpu);
	g_snprintf(wait, sizeof(wait), "%" PRId64, w->wait_ms);
	vh_log(G_LOG_LEVEL_INFO, "waits at overload", "team", team, "class",
	       class, "tasks", tasks, "ahead_cpu", ahead, "wait_ms", wait,
	       NULL);
	g_free(team);
}

static void on_long_wait(void *ctx, const struct eng_long_wait *w)
{
	char job[20];
	char task[40];
	char waited[24];
	char waiting[12];
	char workers[72];

	count_event(ctx, "vh_long_waits_total", w->reason);
	g_snprintf(job, sizeof(job), "%016" PRIx64, w->task.job);
	g_snprintf(task, sizeof(task), "%u.%u.%u", w->task.occurrence,
		   w->task.step, w->task.index);
	g_snprintf(waited, sizeof(waited), "%" PRId64, w->waited_ms);
	g_snprintf(waiting, sizeof(waiting), "%u", w->n_waiting);
	g_snprintf(workers, sizeof(workers), "%u/%u/%u/%u/%u", w->asked,
		   w->approved, w->tickets, w->considered, w->with_room);
	vh_log(G_LOG_LEVEL_INFO, "waits long", "job", job, "task", task, "why",
	       w->reason, "waited_ms", waited, "waiting", waiting, "workers",
	       workers, "asking", w->advice_pending ? "1" : "0", "team_allows",
	       w->team_allows ? "1" : "0", "deferred", w->deferred ? "1" : "0",
	       "on_trial", w->on_trial ? "1" : "0", NULL);
}

void owner_record_append_time(struct owner *o, int64_t took_ms)
{
	vh_histogram_add(vh_metrics_histogram(&o->kernel->metrics,
					      "vh_store_append_seconds",
					      "topic=\"state\""),
			 (uint64_t)MAX(took_ms, 0) * US_PER_MS);
}

void owner_record_loop_delay(struct owner *o, int64_t delay_ms)
{
	vh_histogram_add(vh_metrics_histogram(&o->kernel->metrics,
					      "vh_loop_delay_seconds", NULL),
			 (uint64_t)MAX(delay_ms, 0) * US_PER_MS);
}

static void record_ms(struct owner *o, const char *metric, int64_t ms)
{
	vh_histogram_add(vh_metrics_histogram(&o->kernel->metrics, metric,
					      NULL),
			 (uint64_t)MAX(ms, 0) * US_PER_MS);
}

void owner_record_pause(struct owner *o, int64_t pause_ms)
{
	record_ms(o, "vh_owner_pause_seconds", pause_ms);
}

void owner_record_resumption(struct owner *o, int64_t write_age_ms)
{
	record_ms(o, "vh_owner_resumption_write_age_seconds", write_age_ms);
}

static int64_t elapsed_us(void *ctx)
{
	const struct owner *o = ctx;
	struct timespec t = o->kernel->clock->mono(o->kernel->clock->ctx);

	return (int64_t)t.tv_sec * VH_MS_PER_S * US_PER_MS +
	       t.tv_nsec / (VH_NS_PER_MS / US_PER_MS);
}

static void on_job_problem(void *ctx, uint64_t job, const char *what)
{
	struct owner *o = ctx;
	char id[20];

	g_snprintf(id, sizeof(id), "%016" PRIx64, job);
	++*vh_metrics_counter(&o->kernel->metrics, "vh_job_problems_total",
			      NULL);
	vh_log(G_LOG_LEVEL_WARNING, what, "job", id, NULL);
}

struct engine *owner_engine_new(struct owner *o, const struct eng_settings *s)
{
	struct eng_callbacks callbacks = {
		.start = send_start,
		.stop = send_stop,
		.hold = send_hold,
		.advise = owner_advise,
		.advice_available = owner_advice_available,
		.deposed = on_deposed,
		.worker_event = on_worker_event,
		.decided = on_decided,
		.milestone = on_milestone,
		.zone_event = on_zone_event,
		.elapsed_us = elapsed_us,
		.overload = on_overload,
		.waiting = on_waiting,
		.long_wait = on_long_wait,
		.job_problem = on_job_problem,
		.usage_event = on_usage_event,
		.ctx = o,
	};

	return eng_new(s, &callbacks, owner_now_ms(o));
}
