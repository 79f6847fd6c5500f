#include "worker_server.h"

/** struct control_request - the parsed body of a POST /control */
struct control_request {
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

static bool selects_host(const struct control_request *o,
			 const struct vh_worker_host *h)
{
	return o->all || (o->worker && !strcmp(o->worker, h->vm.id)) ||
	       (o->rack && !strcmp(o->rack, h->vm.rack));
}

static const char *apply_to_host(const struct control_request *o,
				 struct vh_worker_host *h)
{
	int64_t now_ms = now(h->server);

	if (o->fail == 1)
		vh_worker_host_fail(h);
	if (o->recover == 1 && !vh_worker_host_recover(h, NULL))
		return "cannot listen on the worker's port";
	if (o->restart == 1) {
		vh_worker_host_fail(h);
		if (!vh_worker_host_recover(h, NULL))
			return "cannot listen on the worker's port";
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

static uint32_t get_limit(json_t *json, const char *key)
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

		limit.tasks = get_limit(json, "tasks");
		limit.running.v[VH_CPU] = get_limit(json, "cpu_milli");
		limit.running.v[VH_MEM] = get_limit(json, "memory_mb");
		limit.running.v[VH_ACCEL] = get_limit(json, "accelerators");
		limit.running.v[VH_SLOTS] = get_limit(json, "slots");
		limit.running.v[VH_CONNS] = get_limit(json, "connections");
		vh_checker_set_limit(&s->checker, team, &limit, now(s));
	}
}

/* Returns NULL, or a description of the error. */
static const char *apply_control(struct vh_worker_server *s, json_t *json)
{
	struct control_request o = { .leave = UNSET,
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
		if (!selects_host(&o, &s->hosts[i]))
			continue;
		found = true;
		problem = apply_to_host(&o, &s->hosts[i]);
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
	problem = apply_control(s, json);
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
	const struct vh_worker_counters *c = &s->counters;
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

static json_t *starts_json(const struct vh_worker_server *s, const char *token)
{
	int64_t first_ms;
	uint32_t n = vh_checker_token_starts(&s->checker, token, &first_ms);

	return json_pack("[i,I]", (int)n, (json_int_t)first_ms);
}

/* POST /tokens {"tokens":[...]}: responds with the number of starts of each
 * token and the time of the first one. */
static void serve_tokens(struct vh_worker_server *s, struct vh_httpd_req *req)
{
	json_t *json = vh_httpd_parse_json(req), *starts_by_token, *token;
	size_t i;

	if (!json)
		return;
	starts_by_token = json_object();
	json_array_foreach(json_object_get(json, "tokens"), i, token)
	{
		const char *text = json_string_value(token);

		if (text)
			json_object_set_new(starts_by_token, text,
					    starts_json(s, text));
	}
	json_decref(json);
	vh_httpd_reply_json(req, HTTP_OK,
			    json_pack("{s:o}", "begun", starts_by_token));
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
		vh_httpd_reply_json(req, HTTP_OK, vh_checker_json(&s->checker));
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/ledger"))
		vh_httpd_reply_json(req, HTTP_OK,
				    vh_checker_runs_json(&s->checker));
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/vms"))
		vh_httpd_reply_json(req, HTTP_OK, vms_json(s));
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/stats"))
		vh_httpd_reply_json(req, HTTP_OK, stats_json(s));
	else
		vh_httpd_reply_error(req, HTTP_NOTFOUND, "not_found",
				     "no such path");
}
