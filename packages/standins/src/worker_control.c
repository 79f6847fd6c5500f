#include "worker_server.h"

/** struct order - one POST /control, taken apart */
struct order {
	const char *worker;
	const char *rack;
	int all;
	int fail;
	int recover;
	int restart;
	int leave;
	json_int_t pause_ms;
	json_int_t latency_ms;
	double fail_tasks;
	double drop_replies;
	double lose_requests;
	json_t *limits;
};

#define UNSET (-1)

static int64_t now(const struct vh_worker_server *s)
{
	return vh_kernel_now_ms(s->kernel);
}

static bool is_meant(const struct order *o, const struct vh_worker_host *h)
{
	return o->all || (o->worker && !strcmp(o->worker, h->vm.id)) ||
	       (o->rack && !strcmp(o->rack, h->vm.rack));
}

static const char *apply(const struct order *o, struct vh_worker_host *h)
{
	int64_t now_ms = now(h->server);

	if (o->fail == 1)
		vh_worker_host_fail(h);
	if (o->recover == 1 && !vh_worker_host_recover(h, NULL))
		return "cannot listen again";
	if (o->restart == 1) {
		vh_worker_host_fail(h);
		if (!vh_worker_host_recover(h, NULL))
			return "cannot listen again";
	}
	if (o->leave != UNSET)
		vh_worker_set_leaving(&h->worker, o->leave, now_ms);
	if (o->pause_ms > 0)
		vh_worker_host_pause(h, o->pause_ms);
	if (o->latency_ms >= 0)
		h->latency_ms = o->latency_ms;
	if (o->fail_tasks >= 0)
		h->worker.fail_tasks = o->fail_tasks;
	if (o->drop_replies >= 0)
		h->drop_replies = o->drop_replies;
	if (o->lose_requests >= 0)
		h->lose_requests = o->lose_requests;
	return NULL;
}

static uint32_t amount(json_t *json, const char *key)
{
	json_t *v = json_object_get(json, key);

	return json_is_integer(v) ? (uint32_t)json_integer_value(v)
				  : VH_RES_UNLIMITED;
}

static void set_limits(struct vh_worker_server *s, json_t *limits)
{
	const char *team;
	json_t *json;

	json_object_foreach(limits, team, json)
	{
		struct vh_checker_limit limit;

		limit.tasks = amount(json, "tasks");
		limit.running.v[VH_CPU] = amount(json, "cpu_milli");
		limit.running.v[VH_MEM] = amount(json, "memory_mb");
		limit.running.v[VH_ACCEL] = amount(json, "accelerators");
		limit.running.v[VH_SLOTS] = amount(json, "slots");
		limit.running.v[VH_CONNS] = amount(json, "connections");
		vh_checker_set_limit(&s->witness, team, &limit, now(s));
	}
}

/* Returns what is wrong, or NULL. */
static const char *control(struct vh_worker_server *s, json_t *json)
{
	struct order o = { .leave = UNSET,
			   .latency_ms = UNSET,
			   .fail_tasks = UNSET,
			   .drop_replies = UNSET,
			   .lose_requests = UNSET };
	const char *problem = NULL;
	bool found = false;

	if (json_unpack_ex(json, NULL, JSON_STRICT,
			   "{s?s,s?s,s?b,s?b,s?b,s?b,s?b,s?I,s?I,s?F,s?F,s?F,"
			   "s?o}",
			   "worker", &o.worker, "rack", &o.rack, "all", &o.all,
			   "fail", &o.fail, "recover", &o.recover, "restart",
			   &o.restart, "leave", &o.leave, "pause_ms",
			   &o.pause_ms, "latency_ms", &o.latency_ms,
			   "fail_tasks", &o.fail_tasks, "drop_replies",
			   &o.drop_replies, "lose_requests", &o.lose_requests,
			   "limits", &o.limits))
		return "unknown key or wrong type";
	if (o.limits)
		set_limits(s, o.limits);
	for (size_t i = 0; i < s->n_hosts && !problem; i++) {
		if (!is_meant(&o, &s->hosts[i]))
			continue;
		found = true;
		problem = apply(&o, &s->hosts[i]);
	}
	if (!problem && !found && !o.limits)
		problem = "no such worker or rack";
	return problem;
}

static void serve_control(struct vh_worker_server *s, struct vh_httpd_req *req)
{
	json_t *json = vh_httpd_parse_json(req);
	const char *problem;

	if (!json)
		return;
	problem = control(s, json);
	json_decref(json);
	if (problem)
		vh_httpd_reply_error(req, HTTP_BADREQUEST, "bad_request",
				     problem);
	else
		vh_httpd_reply_json(req, HTTP_OK, json_object());
}

static json_t *vms_json(const struct vh_worker_server *s)
{
	json_t *vms = json_array();

	for (size_t i = 0; i < s->n_hosts; i++)
		json_array_append_new(vms,
				      vh_fleet_vm_to_json(&s->hosts[i].vm));
	return json_pack("{s:i,s:o}", "version", 1, "vms", vms);
}

static json_t *stats_json(const struct vh_worker_server *s)
{
	const struct vh_worker_counters *c = &s->counts;
	json_int_t cpu = 0, committed = 0;

	for (size_t i = 0; i < s->n_hosts; i++) {
		cpu += s->hosts[i].worker.capacity.v[VH_CPU];
		committed += s->hosts[i].worker.committed.v[VH_CPU];
	}
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "syncs",
			 (json_int_t)c->syncs, "sync_bytes_in",
			 (json_int_t)c->sync_bytes_in, "sync_bytes_out",
			 (json_int_t)c->sync_bytes_out, "stale_epochs",
			 (json_int_t)c->stale_epochs, "starts",
			 (json_int_t)c->starts, "refused",
			 (json_int_t)c->refused, "requests",
			 (json_int_t)c->requests, "requests_not_run",
			 (json_int_t)c->requests_not_run, "cpu_milli", cpu,
			 "committed_cpu_milli", committed);
}

static json_t *begins_json(const struct vh_worker_server *s, const char *token)
{
	int64_t first_ms;
	uint32_t n = vh_checker_token_starts(&s->witness, token, &first_ms);

	return json_pack("[i,I]", (int)n, (json_int_t)first_ms);
}

/* POST /tokens {"tokens":[...]}: how often each began, and when first. */
static void serve_tokens(struct vh_worker_server *s, struct vh_httpd_req *req)
{
	json_t *json = vh_httpd_parse_json(req), *begun, *token;
	size_t i;

	if (!json)
		return;
	begun = json_object();
	json_array_foreach(json_object_get(json, "tokens"), i, token)
	{
		const char *text = json_string_value(token);

		if (text)
			json_object_set_new(begun, text, begins_json(s, text));
	}
	json_decref(json);
	vh_httpd_reply_json(req, HTTP_OK, json_pack("{s:o}", "begun", begun));
}

void vh_worker_control_serve(void *ctx, struct vh_httpd_req *req)
{
	struct vh_worker_server *s = ctx;

	vh_worker_server_advance(s);
	if (vh_httpd_req_matches(req, EVHTTP_REQ_POST, "/control"))
		serve_control(s, req);
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_POST, "/tokens"))
		serve_tokens(s, req);
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/witness"))
		vh_httpd_reply_json(req, HTTP_OK, vh_checker_json(&s->witness));
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/ledger"))
		vh_httpd_reply_json(req, HTTP_OK,
				    vh_checker_runs_json(&s->witness));
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/vms"))
		vh_httpd_reply_json(req, HTTP_OK, vms_json(s));
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/stats"))
		vh_httpd_reply_json(req, HTTP_OK, stats_json(s));
	else
		vh_httpd_reply_error(req, HTTP_NOTFOUND, "not_found",
				     "no such path");
}
