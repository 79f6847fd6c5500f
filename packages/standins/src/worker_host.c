#include "worker_server.h"

#include <stdlib.h>

#define SERVICE_PREFIX "/v1/requests/"
#define HTTP_STATUS_CONFLICT 409
#define MAX_FILLER_BYTES (8 * 1024 * 1024)

/* A sync request that waits for the end of a task. */
struct long_poll {
	struct vh_worker_host *host;
	struct vh_httpd_req *req;
	struct vh_timer timeout;
	uint64_t ack;
	bool full;
	json_t *refused;
};

/* A service request in progress. */
struct service_request {
	struct vh_worker_host *host;
	struct vh_httpd_req *req;
	struct vh_worker_task *replica;
	struct vh_timer done;
};

static int64_t now(const struct vh_worker_host *h)
{
	return vh_kernel_now_ms(h->server->kernel);
}

static bool random_chance(const struct vh_worker_host *h, double p)
{
	return p > 0 && g_rand_double(h->server->rand) < p;
}

static json_t *size_json(const struct vh_worker_task *t)
{
	const struct vh_res *r = &t->size;

	return json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "cpu_milli",
			 (int)r->v[VH_CPU], "memory_mb", (int)r->v[VH_MEM],
			 "accelerators", (int)r->v[VH_ACCEL], "slots",
			 (int)r->v[VH_SLOTS], "connections",
			 (int)r->v[VH_CONNS], "used_cpu_milli",
			 (int)(r->v[VH_CPU] / 5 * 4), "used_memory_mb",
			 (int)(r->v[VH_MEM] / 4 * 3));
}

static json_int_t worker_clock_ms(const struct vh_worker *w, int64_t at_ms)
{
	return at_ms + w->clock_offset_ms;
}

static json_t *running_json(const struct vh_worker *w)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < w->tasks->len; i++) {
		const struct vh_worker_task *t = w->tasks->pdata[i];
		json_t *size = size_json(t);
		json_t *run =
			json_pack("{s:s,s:i,s:s,s:I,s:s,s:s,s:b,s:I}", "task",
				  t->task, "attempt", (int)t->attempt, "home",
				  t->home, "home_epoch",
				  (json_int_t)t->home_epoch, "class", t->cls,
				  "service", t->service, "idempotent",
				  t->declared_idempotent, "since",
				  worker_clock_ms(w, t->started_ms));

		json_object_update(run, size);
		json_decref(size);
		json_array_append_new(list, run);
	}
	return list;
}

static json_t *ended_json(const struct vh_worker *w, uint64_t ack)
{
	json_t *list = json_array();

	for (const GList *l = w->unacked_ends.head; l; l = l->next) {
		const struct vh_worker_task_end *e = l->data;

		if (e->seq <= ack)
			continue;
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:i,s:s,s:s,s:i,s:s}", "seq",
					(json_int_t)e->seq, "task", e->task,
					"attempt", (int)e->attempt, "home",
					e->home, "end", e->end, "exit_code",
					e->exit_code, "result", e->result));
	}
	return list;
}

static void format_incarnation(const struct vh_worker *w, char *out,
			       size_t room)
{
	g_snprintf(out, room, "%s/%u", w->id, w->incarnation);
}

static json_t *sync_json(const struct vh_worker_host *h, uint64_t ack,
			 bool full, json_t *refused)
{
	const struct vh_worker *w = &h->worker;
	char own[96];

	format_incarnation(w, own, sizeof(own));
	return json_pack("{s:I,s:I,s:s,s:b,s:b,s:o,s:o,s:o}", "epoch",
			 (json_int_t)w->epoch, "clock",
			 worker_clock_ms(w, now(h)), "incarnation", own,
			 "leaving", (int)w->leaving, "full", (int)full,
			 "running", full ? running_json(w) : json_array(),
			 "ended", ended_json(w, ack), "refused", refused);
}

static void answer_sync(struct vh_worker_host *h, struct vh_httpd_req *req,
			int status, json_t *json)
{
	char *text;

	if (random_chance(h, h->drop_replies)) {
		json_decref(json);
		vh_httpd_drop(req);
		return;
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	h->server->counters.sync_bytes_out += strlen(text);
	vh_httpd_reply_after(req, h->latency_ms, status, "application/json",
			     vh_slice_str(text));
	free(text);
}

static void free_long_poll(struct long_poll *p)
{
	g_ptr_array_remove_fast(p->host->long_polls, p);
	vh_timer_finish(&p->timeout);
	json_decref(p->refused);
	g_free(p);
}

static void answer_long_poll(struct long_poll *p)
{
	p->req->on_cancel = NULL;
	answer_sync(p->host, p->req, HTTP_OK,
		    sync_json(p->host, p->ack, p->full,
			      json_incref(p->refused)));
	free_long_poll(p);
}

static void on_long_poll_timeout(void *ctx)
{
	struct long_poll *p = ctx;

	vh_worker_server_advance(p->host->server);
	answer_long_poll(p);
}

static void on_long_poll_cancel(struct vh_httpd_req *req)
{
	free_long_poll(req->ctx);
}

void vh_worker_host_answer_long_polls(struct vh_worker_host *h)
{
	for (unsigned int i = h->long_polls->len; i-- > 0;)
		answer_long_poll(h->long_polls->pdata[i]);
}

static const char *get_string(json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static int64_t get_int(json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static uint32_t get_amount(json_t *json, const char *key)
{
	return (uint32_t)CLAMP(get_int(json, key), 0, UINT32_MAX);
}

static const char *start_task(struct vh_worker_host *h, json_t *json)
{
	struct vh_worker_start_order s = { 0 };

	s.task = get_string(json, "task");
	s.attempt = get_amount(json, "attempt");
	s.home = get_string(json, "home");
	s.home_epoch = (uint64_t)get_int(json, "home_epoch");
	s.cls = get_string(json, "class");
	s.size.v[VH_CPU] = get_amount(json, "cpu_milli");
	s.size.v[VH_MEM] = get_amount(json, "memory_mb");
	s.size.v[VH_ACCEL] = get_amount(json, "accelerators");
	s.size.v[VH_SLOTS] = get_amount(json, "slots");
	s.size.v[VH_CONNS] = get_amount(json, "connections");
	s.service = get_string(json, "service");
	s.input = get_string(json, "input");
	s.declared_idempotent =
		json_is_true(json_object_get(json, "idempotent"));
	s.not_after_ms = get_int(json, "not_after");
	h->server->counters.starts++;
	return vh_worker_start_task(&h->worker, &s, now(h));
}

static json_t *refusal_json(json_t *start, const char *reason)
{
	return json_pack("{s:s,s:i,s:s}", "task", get_string(start, "task"),
			 "attempt", (int)get_amount(start, "attempt"), "why",
			 reason);
}

static void start_tasks(struct vh_worker_host *h, json_t *starts,
			json_t *refused)
{
	json_t *start;
	size_t i;

	json_array_foreach(starts, i, start)
	{
		const char *reason = start_task(h, start);

		if (!reason)
			continue;
		h->server->counters.refused++;
		json_array_append_new(refused, refusal_json(start, reason));
	}
}

static void stop_tasks(struct vh_worker_host *h, json_t *stops)
{
	json_t *stop;
	size_t i;

	json_array_foreach(stops, i, stop)
	{
		vh_worker_stop_task(&h->worker, get_string(stop, "task"),
				    get_amount(stop, "attempt"),
				    get_string(stop, "mode"), now(h));
	}
}

static void start_long_poll(struct vh_worker_host *h, struct vh_httpd_req *req,
			    uint64_t ack, bool full, json_t *refused,
			    int64_t wait_ms)
{
	struct long_poll *p = g_new0(struct long_poll, 1);

	p->host = h;
	p->req = req;
	p->ack = ack;
	p->full = full;
	p->refused = refused;
	req->ctx = p;
	req->on_cancel = on_long_poll_cancel;
	vh_timer_init(&p->timeout, h->server->kernel, on_long_poll_timeout, p);
	g_ptr_array_add(h->long_polls, p);
	vh_timer_start(&p->timeout, wait_ms);
}

/* Returns whether a sync request is for this incarnation of the worker; one
 * without an incarnation is for any. */
static bool is_own_incarnation(const struct vh_worker_host *h, json_t *json)
{
	const char *wanted = get_string(json, "incarnation");
	char own[96];

	format_incarnation(&h->worker, own, sizeof(own));
	return !*wanted || !strcmp(wanted, own);
}

/* Applies a sync request; returns the refused starts. */
static json_t *apply_sync(struct vh_worker_host *h, json_t *json)
{
	json_t *starts = json_object_get(json, "starts"), *start;
	json_t *refused = json_array();
	size_t i;

	if (!is_own_incarnation(h, json)) {
		json_array_foreach(starts, i, start)
		{
			json_array_append_new(refused,
					      refusal_json(start, "late"));
		}
		return refused;
	}
	vh_worker_renew_lease(&h->worker, get_int(json, "lease_until"));
	vh_worker_ack_ends(&h->worker, (uint64_t)get_int(json, "ack"));
	stop_tasks(h, json_object_get(json, "stops"));
	start_tasks(h, starts, refused);
	return refused;
}

static void handle_sync(struct vh_worker_host *h, struct vh_httpd_req *req,
			json_t *json)
{
	struct vh_worker *w = &h->worker;
	uint64_t ack = (uint64_t)get_int(json, "ack");
	bool full = json_is_true(json_object_get(json, "full"));
	int64_t wait_ms = get_int(json, "wait_ms");
	json_t *refused;

	if (!vh_worker_accept_epoch(w, (uint64_t)get_int(json, "epoch"))) {
		h->server->counters.stale_epochs++;
		answer_sync(h, req, HTTP_STATUS_CONFLICT,
			    json_pack("{s:s,s:I}", "kind", "stale_epoch",
				      "epoch", (json_int_t)w->epoch));
		return;
	}
	ack = is_own_incarnation(h, json) ? ack : 0;
	refused = apply_sync(h, json);
	vh_worker_server_advance(h->server);
	if (wait_ms > 0 && !json_array_size(refused) &&
	    g_queue_is_empty(&w->unacked_ends))
		start_long_poll(h, req, ack, full, refused, wait_ms);
	else
		answer_sync(h, req, HTTP_OK, sync_json(h, ack, full, refused));
}

static void serve_sync(struct vh_worker_host *h, struct vh_httpd_req *req)
{
	json_t *json = vh_httpd_parse_json(req);

	if (!json)
		return;
	h->server->counters.syncs++;
	h->server->counters.sync_bytes_in += req->body.len;
	handle_sync(h, req, json);
	json_decref(json);
}

static void free_service_request(struct service_request *r)
{
	g_ptr_array_remove_fast(r->host->requests, r);
	vh_timer_finish(&r->done);
	g_free(r);
}

static void on_service_request_cancel(struct vh_httpd_req *req)
{
	struct service_request *r = req->ctx;

	r->replica->requests--;
	free_service_request(r);
}

static void on_service_request_done(void *ctx)
{
	struct service_request *r = ctx;
	struct vh_httpd_req *req = r->req;
	const char *id = evhttp_find_header(
		evhttp_request_get_input_headers(req->ev), "Vh-Request-Id");
	int64_t bytes = vh_httpd_query_int(req, "bytes", -1);
	int status = (int)vh_httpd_query_int(req, "status", HTTP_OK);
	struct vh_buf body = { 0 };

	if (bytes >= 0) {
		bytes = MIN(bytes, MAX_FILLER_BYTES);
		memset(vh_buf_reserve(&body, (size_t)bytes), 'x',
		       (size_t)bytes);
		body.len = (size_t)bytes;
	} else {
		vh_buf_printf(&body, "request %s\n", id ? id : "");
		vh_buf_add_slice(&body, vh_buf_slice(&req->body));
	}
	if (id)
		vh_httpd_add_header(req, "Vh-Request-Id", id);
	req->on_cancel = NULL;
	r->replica->requests--;
	if (random_chance(r->host, r->host->drop_replies))
		vh_httpd_drop(req);
	else
		vh_httpd_reply_after(req, r->host->latency_ms, status,
				     "application/octet-stream",
				     vh_buf_slice(&body));
	vh_buf_finish(&body);
	free_service_request(r);
}

void vh_worker_host_drop_service_requests(struct vh_worker_host *h,
					  const struct vh_worker_task *replica)
{
	for (unsigned int i = h->requests->len; i-- > 0;) {
		struct service_request *r = h->requests->pdata[i];
		struct vh_httpd_req *req = r->req;

		if (replica && r->replica != replica)
			continue;
		req->on_cancel = NULL;
		r->replica->requests--;
		free_service_request(r);
		vh_httpd_drop(req);
	}
}

/* Reports a request that starts now to the checker. */
static void check_request_start(struct vh_worker_host *h,
				const struct vh_httpd_req *req)
{
	struct vh_checker *checker = &h->server->checker;
	const char *token = evhttp_find_header(&req->query, "token");
	bool idempotent = vh_httpd_query_int(req, "idempotent", 1) != 0;

	vh_checker_record_check(
		checker, VH_I8_LEAVING,
		!h->worker.leaving ||
			now(h) - h->worker.leaving_since_ms <=
				h->server->settings.leaving_grace_ms,
		"request sent to %s, which is leaving", h->worker.id);
	if (token)
		vh_checker_token_started(checker, token, idempotent,
					 h->worker.id, now(h));
}

static void serve_request(struct vh_worker_host *h, struct vh_httpd_req *req)
{
	char **parts = g_strsplit(req->path + strlen(SERVICE_PREFIX), "/", 2);
	struct vh_worker_task *replica =
		vh_worker_find_replica(&h->worker, parts[0]);
	struct service_request *r;

	g_strfreev(parts);
	if (!replica) {
		h->server->counters.requests_not_run++;
		vh_httpd_add_header(req, "Vh-Not-Run", "1");
		vh_httpd_reply_error(
			req, HTTP_SERVUNAVAIL, "not_run",
			"no replica with a free slot on this worker");
		return;
	}
	h->server->counters.requests++;
	check_request_start(h, req);
	replica->requests++;
	r = g_new0(struct service_request, 1);
	r->host = h;
	r->req = req;
	r->replica = replica;
	req->ctx = r;
	req->on_cancel = on_service_request_cancel;
	vh_timer_init(&r->done, h->server->kernel, on_service_request_done, r);
	g_ptr_array_add(h->requests, r);
	vh_timer_start(&r->done, vh_httpd_query_int(req, "run_ms", 0));
}

static void serve(struct vh_worker_host *h, struct vh_httpd_req *req)
{
	vh_worker_server_advance(h->server);
	if (vh_httpd_req_matches(req, EVHTTP_REQ_POST, "/v1/sync"))
		serve_sync(h, req);
	else if (g_str_has_prefix(req->path, SERVICE_PREFIX))
		serve_request(h, req);
	else
		vh_httpd_reply_error(req, HTTP_NOTFOUND, "not_found",
				     "no such path");
}

static void on_deferred_cancel(struct vh_httpd_req *req)
{
	struct vh_worker_host *h = req->ctx;

	g_ptr_array_remove(h->deferred, req);
}

void vh_worker_host_serve(void *ctx, struct vh_httpd_req *req)
{
	struct vh_worker_host *h = ctx;

	if (random_chance(h, h->lose_requests)) {
		vh_httpd_drop(req);
	} else if (h->worker.paused_at_ms != INT64_MAX) {
		req->ctx = h;
		req->on_cancel = on_deferred_cancel;
		g_ptr_array_add(h->deferred, req);
	} else {
		serve(h, req);
	}
}

void vh_worker_host_serve_deferred(struct vh_worker_host *h)
{
	while (h->deferred->len) {
		struct vh_httpd_req *req = h->deferred->pdata[0];

		g_ptr_array_remove_index(h->deferred, 0);
		req->on_cancel = NULL;
		serve(h, req);
	}
}
