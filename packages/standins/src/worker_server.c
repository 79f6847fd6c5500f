#include "worker_server.h"

#define CLOCK_OFFSET_RANGE_MS 1000000

static int64_t now(const struct vh_worker_server *s)
{
	return vh_kernel_now_ms(s->kernel);
}

/* Returns the team of a unit "home/TEAM/K", to be freed. */
static char *team_of_unit(const char *home)
{
	char **parts = g_strsplit(home, "/", 3);
	char *team = g_strdup(parts[0] && parts[1] ? parts[1] : "");

	g_strfreev(parts);
	return team;
}

static void on_started(void *ctx, const struct vh_worker *w,
		       const struct vh_worker_task *t)
{
	struct vh_worker_host *h = ctx;
	struct vh_worker_server *s = h->server;
	struct vh_checker_run run = { 0 };

	run.task = t->task;
	run.attempt = t->attempt;
	run.team = team_of_unit(t->home);
	run.worker = w->id;
	run.token = t->token;
	run.idempotent = t->idempotent;
	run.size = t->size;
	run.begin_ms = t->started_ms;
	vh_checker_run_started(&s->checker, &run);
	g_free(run.team);
	vh_checker_record_check(&s->checker, VH_I1_CAPACITY,
				vh_res_fits(&w->committed, &w->capacity),
				"%s: committed resources exceed its capacity",
				w->id);
	vh_checker_record_check(&s->checker, VH_I8_LEAVING,
				!w->leaving ||
					t->started_ms - w->leaving_since_ms <=
						s->settings.leaving_grace_ms,
				"%s/%u started on %s, which is leaving",
				t->task, t->attempt, w->id);
}

static void on_ended(void *ctx, const struct vh_worker *w,
		     const struct vh_worker_task *t, const char *end,
		     int64_t at_ms)
{
	struct vh_worker_host *h = ctx;

	h->has_new_ends = true;
	vh_checker_run_ended(&h->server->checker, t->task, t->attempt, w->id,
			     end, at_ms);
	vh_worker_host_drop_service_requests(h, t);
}

static void on_overcommitted(void *ctx, const struct vh_worker *w,
			     const struct vh_worker_start_order *start)
{
	struct vh_worker_host *h = ctx;

	vh_checker_record_check(
		&h->server->checker, VH_I1_CAPACITY, false,
		"%s/%u of %u cpu_milli, %u MB sent to %s with %u of "
		"%u cpu_milli, %u of %u MB committed",
		start->task, start->attempt, start->size.v[VH_CPU],
		start->size.v[VH_MEM], w->id, w->committed.v[VH_CPU],
		w->capacity.v[VH_CPU], w->committed.v[VH_MEM],
		w->capacity.v[VH_MEM]);
}

static void schedule_due_timer(struct vh_worker_server *s)
{
	int64_t due_ms = INT64_MAX;

	for (size_t i = 0; i < s->n_hosts; i++)
		due_ms =
			MIN(due_ms, vh_worker_next_due_ms(&s->hosts[i].worker));
	if (due_ms == INT64_MAX)
		vh_timer_stop(&s->due_timer);
	else
		vh_timer_start(&s->due_timer, MAX(0, due_ms - now(s)));
}

void vh_worker_server_advance(struct vh_worker_server *s)
{
	int64_t now_ms = now(s);

	for (size_t i = 0; i < s->n_hosts; i++)
		vh_worker_advance(&s->hosts[i].worker, now_ms);
	for (size_t i = 0; i < s->n_hosts; i++) {
		struct vh_worker_host *h = &s->hosts[i];

		if (!h->has_new_ends || h->worker.paused_at_ms != INT64_MAX)
			continue;
		h->has_new_ends = false;
		vh_worker_host_answer_long_polls(h);
	}
	schedule_due_timer(s);
}

static void on_due_timer(void *ctx)
{
	vh_worker_server_advance(ctx);
}

static void on_resume(void *ctx)
{
	struct vh_worker_host *h = ctx;

	vh_worker_server_advance(h->server);
	vh_worker_resume(&h->worker, now(h->server));
	vh_worker_host_serve_deferred(h);
	vh_worker_server_advance(h->server);
}

void vh_worker_host_pause(struct vh_worker_host *h, int64_t ms)
{
	vh_worker_server_advance(h->server);
	vh_worker_pause(&h->worker, now(h->server));
	vh_timer_start(&h->resume_timer, ms);
}

void vh_worker_host_fail(struct vh_worker_host *h)
{
	if (h->failed)
		return;
	h->failed = true;
	vh_timer_stop(&h->resume_timer);
	vh_worker_server_advance(h->server);
	vh_httpd_stop(&h->http);
	vh_worker_restart(&h->worker, now(h->server));
}

bool vh_worker_host_recover(struct vh_worker_host *h, GError **err)
{
	if (!h->failed)
		return true;
	if (!vh_httpd_start(&h->http, h->vm.port, err))
		return false;
	h->failed = false;
	vh_worker_restart(&h->worker, now(h->server));
	return true;
}

static bool start_host(struct vh_worker_server *s, size_t i,
		       const struct vh_fleet_vm *vm, GError **err)
{
	struct vh_worker_host *h = &s->hosts[i];
	struct vh_worker_callbacks cb = { on_started, on_ended,
					  on_overcommitted, h };
	struct vh_res capacity = { { vm->cpus * 1000, vm->memory_mb,
				     vm->accelerators, vm->slots,
				     vm->connections } };
	int64_t offset = g_rand_int_range(s->rand, 0, CLOCK_OFFSET_RANGE_MS);
	uint16_t port = s->settings.base_port;

	h->server = s;
	vh_httpd_init(&h->http, s->kernel, vh_worker_host_serve, h);
	if (!vh_httpd_start(&h->http, port ? (uint16_t)(port + i) : 0, err))
		return false;
	vh_fleet_vm_copy(&h->vm, vm);
	h->vm.port = h->http.port;
	vh_worker_init(&h->worker, vm->id, &capacity, offset,
		       s->settings.seed + (uint32_t)i, &cb);
	vh_timer_init(&h->resume_timer, s->kernel, on_resume, h);
	h->long_polls = g_ptr_array_new();
	h->requests = g_ptr_array_new();
	h->deferred = g_ptr_array_new();
	h->latency_ms = s->settings.latency_ms;
	return true;
}

static void stop_host(struct vh_worker_host *h)
{
	vh_httpd_stop(&h->http);
	vh_timer_finish(&h->resume_timer);
	vh_worker_finish(&h->worker);
	vh_fleet_vm_finish(&h->vm);
	g_ptr_array_free(h->long_polls, TRUE);
	g_ptr_array_free(h->requests, TRUE);
	g_ptr_array_free(h->deferred, TRUE);
}

bool vh_worker_server_start(struct vh_worker_server *s,
			    struct vh_kernel *kernel,
			    const struct vh_fleet *fleet,
			    const struct vh_worker_settings *settings,
			    GError **err)
{
	memset(s, 0, sizeof(*s));
	s->kernel = kernel;
	s->settings = *settings;
	s->rand = g_rand_new_with_seed(settings->seed);
	vh_checker_init(&s->checker, settings->max_runs, settings->max_tokens,
			settings->limit_grace_ms);
	vh_timer_init(&s->due_timer, kernel, on_due_timer, s);
	s->hosts = g_new0(struct vh_worker_host, fleet->n);
	vh_httpd_init(&s->control, kernel, vh_worker_control_serve, s);
	if (!vh_httpd_start(&s->control, settings->port, err))
		goto failed;
	for (size_t i = 0; i < fleet->n; i++) {
		if (!start_host(s, i, &fleet->vms[i], err))
			goto failed;
		s->n_hosts++;
	}
	return true;
failed:
	vh_worker_server_stop(s);
	return false;
}

void vh_worker_server_stop(struct vh_worker_server *s)
{
	vh_httpd_stop(&s->control);
	for (size_t i = 0; i < s->n_hosts; i++)
		stop_host(&s->hosts[i]);
	g_free(s->hosts);
	vh_timer_finish(&s->due_timer);
	vh_checker_finish(&s->checker);
	g_rand_free(s->rand);
}
