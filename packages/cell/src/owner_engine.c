#include "owner_priv.h"

#include <inttypes.h>

#include "vh/log.h"

#define VH_US_PER_MS 1000

/* A call to a worker that is out. */
struct order {
	struct lead *lead;
	char *worker;
	struct eng_task_ref task;
};

static struct order *order_new(struct lead *l, struct vh_slice worker)
{
	struct order *o = g_new0(struct order, 1);

	o->lead = l;
	o->worker = vh_slice_dup(worker);
	l->calls++;
	return o;
}

static void order_free(struct order *o)
{
	g_free(o->worker);
	g_free(o);
}

static void on_started(void *ctx, enum eng_reply answer)
{
	struct order *o = ctx;
	struct lead *l = o->lead;

	l->calls--;
	if (!owner_has_ended(l)) {
		eng_start_reply(l->engine, vh_slice_str(o->worker), o->task,
				answer, owner_now_ms(l));
		owner_schedule_run(l);
	}
	order_free(o);
}

static void on_stopped(void *ctx, enum eng_reply answer)
{
	struct order *o = ctx;
	struct lead *l = o->lead;

	l->calls--;
	if (!owner_has_ended(l)) {
		eng_stop_reply(l->engine, vh_slice_str(o->worker), o->task,
			       answer, owner_now_ms(l));
		owner_schedule_run(l);
	}
	order_free(o);
}

static void on_hold(void *ctx, enum eng_reply answer,
		    const struct eng_worker_report *report)
{
	struct order *o = ctx;
	struct lead *l = o->lead;
	struct vh_slice worker = vh_slice_str(o->worker);

	l->calls--;
	if (!owner_has_ended(l)) {
		if (answer == ENG_REPLY_OK)
			eng_worker_report(l->engine, worker, report,
					  owner_now_ms(l));
		else
			eng_hold_failed(l->engine, worker, answer,
					owner_now_ms(l));
		owner_schedule_run(l);
	}
	order_free(o);
}

static void send_start(void *ctx, const struct eng_start_request *s)
{
	struct lead *l = ctx;
	struct order *o = order_new(l, s->worker);

	o->task = s->task;
	l->ports->workers->start(l->ports->workers_self, s->address, l->epoch,
				 s, on_started, o);
}

static void send_stop(void *ctx, struct vh_slice worker,
		      struct vh_slice address, struct eng_task_ref task)
{
	struct lead *l = ctx;
	struct order *o = order_new(l, worker);

	o->task = task;
	l->ports->workers->stop(l->ports->workers_self, address, worker,
				l->epoch, task, on_stopped, o);
}

static void send_hold(void *ctx, const struct eng_hold_request *h)
{
	struct lead *l = ctx;
	struct order *o = order_new(l, h->worker);

	l->ports->workers->hold(l->ports->workers_self, h->address, l->epoch, h,
				on_hold, o);
}

static void give_up(void *ctx)
{
	struct lead *l = ctx;

	l->calls--;
	if (!owner_has_ended(l))
		l->ops.gave_up(l->ctx, "a worker knows a newer owner");
}

/* Later, since the engine is in the middle of something. */
static void on_deposed(void *ctx, const char *why)
{
	struct lead *l = ctx;

	(void)why;
	l->calls++;
	vh_kernel_defer(l->kernel, give_up, l);
}

static void on_decided(void *ctx, const struct eng_decision *d)
{
	char job[20];
	char task[40];
	char run[12];
	char room[48];
	char age[24];
	char *worker = vh_slice_dup(d->worker);

	(void)ctx;
	g_snprintf(job, sizeof(job), "%016" PRIx64, d->task.job);
	g_snprintf(task, sizeof(task), "%u.%u.%u", d->task.occurrence,
		   d->task.step, d->task.index);
	g_snprintf(run, sizeof(run), "%u", d->task.run);
	g_snprintf(room, sizeof(room), "%" PRId64 "/%" PRId64, d->need_cpu,
		   d->used_cpu);
	g_snprintf(age, sizeof(age), "%" PRId64, d->age_ms);
	vh_log(G_LOG_LEVEL_INFO, d->what, "job", job, "task", task, "run", run,
	       "worker", worker, "cpu", room, "age_ms", age, NULL);
	g_free(worker);
}

static void on_reached(void *ctx, struct vh_slice worker, bool reached)
{
	char *id = vh_slice_dup(worker);

	(void)ctx;
	vh_log(reached ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING,
	       reached ? "worker answers again" : "worker does not answer",
	       "worker", id, NULL);
	g_free(id);
}

static void on_milestone(void *ctx, const struct eng_milestone *m)
{
	static const char *const names[] = {
		[ENG_RUNNING] = "vh_job_wait_seconds",
		[ENG_COMPLETE] = "vh_job_complete_seconds",
		[ENG_FAILED] = "vh_job_failed_seconds",
		[ENG_CANCELLED] = "vh_job_cancelled_seconds",
	};
	struct lead *l = ctx;
	char labels[2 * ENG_NAME_MAX + 32];

	g_snprintf(labels, sizeof(labels), "team=\"%.*s\",queue=\"%.*s\"",
		   VH_SLICE_ARGS(m->team), VH_SLICE_ARGS(m->queue));
	vh_histogram_add(vh_metrics_histogram(&l->kernel->metrics,
					      names[m->status], labels),
			 (uint64_t)MAX(m->took_ms, 0) * VH_US_PER_MS);
}

void owner_record_append_time(struct lead *l, int64_t took_ms)
{
	vh_histogram_add(vh_metrics_histogram(&l->kernel->metrics,
					      "vh_store_append_seconds",
					      "topic=\"state\""),
			 (uint64_t)MAX(took_ms, 0) * VH_US_PER_MS);
}

struct engine *owner_engine_new(struct lead *l, const struct eng_settings *s)
{
	struct eng_callbacks ports = {
		.start = send_start,
		.stop = send_stop,
		.hold = send_hold,
		.advise = owner_advise,
		.advice_available = owner_advice_available,
		.deposed = on_deposed,
		.reached = on_reached,
		.decided = on_decided,
		.milestone = on_milestone,
		.ctx = l,
	};

	return eng_new(s, &ports, owner_now_ms(l));
}
