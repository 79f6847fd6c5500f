#include "worker_server.h"

#include <stdlib.h>

#define SERVICE_PREFIX "/v1/requests/"
#define HTTP_STALE 409
#define MAX_FILLER_BYTES (8 * 1024 * 1024)

/* A sync request whose answer waits for an end. */
struct held {
	struct vh_worker_host *host;
	struct vh_httpd_req *req;
	struct vh_timer timeout;
	uint64_t ack;
	bool full;
	json_t *refused;
};

/* A service request under way. */
struct request {
	struct vh_worker_host *host;
	struct vh_httpd_req *req;
	struct vh_worker_task *replica;
	struct vh_timer done;
};

static int64_t now(const struct vh_worker_host *h)
{
	return vh_kernel_now_ms(h->server->kernel);
}

static bool chance(const struct vh_worker_host *h, double p)
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

static json_int_t own_clock(const struct vh_worker *w, int64_t at_ms)
{
	return at_ms + w->clock_offset_ms;
}

static json_t *running_json(const struct vh_worker *w)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < w->tasks->len; i++) {
		const struct vh_worker_task *t = w->tasks->pdata[i];
		json_t *size = size_json(t);
		json_t *run = json_pack("{s:s,s:i,s:s,s:I,s:s,s:s,s:b,s:I}",
					"task", t->task, "attempt",
					(int)t->attempt, "home", t->home,
					"home_epoch", (json_int_t)t->home_epoch,
					"class", t->cls, "service", t->service,
					"idempotent", t->declared_idempotent,
					"since", own_clock(w, t->since_ms));

		json_object_update(run, size);
		json_decref(size);
		json_array_append_new(list, run);
	}
	return list;
}

static json_t *ended_json(const struct vh_worker *w, uint64_t ack)
{
	json_t *list = json_array();

	for (const GList *l = w->ended.head; l; l = l->next) {
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

static void incarnation(const struct vh_worker *w, char *out, size_t room)
{
	g_snprintf(out, room, "%s/%u", w->id, w->incarnation);
}

static json_t *sync_json(const struct vh_worker_host *h, uint64_t ack,
			 bool full, json_t *refused)
{
	const struct vh_worker *w = &h->worker;
	char own[96];

	incarnation(w, own, sizeof(own));
	return json_pack("{s:I,s:I,s:s,s:b,s:b,s:o,s:o,s:o}", "epoch",
			 (json_int_t)w->epoch, "clock", own_clock(w, now(h)),
			 "incarnation", own, "leaving", (int)w->leaving, "full",
			 (int)full, "running",
			 full ? running_json(w) : json_array(), "ended",
			 ended_json(w, ack), "refused", refused);
}

static void answer_sync(struct vh_worker_host *h, struct vh_httpd_req *req,
			int status, json_t *json)
{
	char *text;

	if (chance(h, h->drop_replies)) {
		json_decref(json);
		vh_httpd_drop(req);
		return;
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	h->server->counts.sync_bytes_out += strlen(text);
	vh_httpd_reply_after(req, h->latency_ms, status, "application/json",
			     vh_slice_str(text));
	free(text);
}

static void free_held(struct held *d)
{
	g_ptr_array_remove_fast(d->host->held, d);
	vh_timer_finish(&d->timeout);
	json_decref(d->refused);
	g_free(d);
}

static void answer_held(struct held *d)
{
	d->req->on_gone = NULL;
	answer_sync(d->host, d->req, HTTP_OK,
		    sync_json(d->host, d->ack, d->full,
			      json_incref(d->refused)));
	free_held(d);
}

static void on_held_timeout(void *ctx)
{
	struct held *d = ctx;

	vh_worker_server_advance(d->host->server);
	answer_held(d);
}

static void on_held_gone(struct vh_httpd_req *req)
{
	free_held(req->ctx);
}

void vh_worker_host_answer_long_polls(struct vh_worker_host *h)
{
	for (unsigned int i = h->held->len; i-- > 0;)
		answer_held(h->held->pdata[i]);
}

static const char *text_of(json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static int64_t number_of(json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static uint32_t amount_of(json_t *json, const char *key)
{
	return (uint32_t)CLAMP(number_of(json, key), 0, UINT32_MAX);
}

static const char *begin(struct vh_worker_host *h, json_t *json)
{
	struct vh_worker_start_order s = { 0 };

	s.task = text_of(json, "task");
	s.attempt = amount_of(json, "attempt");
	s.home = text_of(json, "home");
	s.home_epoch = (uint64_t)number_of(json, "home_epoch");
	s.cls = text_of(json, "class");
	s.size.v[VH_CPU] = amount_of(json, "cpu_milli");
	s.size.v[VH_MEM] = amount_of(json, "memory_mb");
	s.size.v[VH_ACCEL] = amount_of(json, "accelerators");
	s.size.v[VH_SLOTS] = amount_of(json, "slots");
	s.size.v[VH_CONNS] = amount_of(json, "connections");
	s.service = text_of(json, "service");
	s.input = text_of(json, "input");
	s.declared_idempotent =
		json_is_true(json_object_get(json, "idempotent"));
	s.not_after_ms = number_of(json, "not_after");
	h->server->counts.starts++;
	return vh_worker_start_task(&h->worker, &s, now(h));
}

static json_t *refusal_json(json_t *start, const char *why)
{
	return json_pack("{s:s,s:i,s:s}", "task", text_of(start, "task"),
			 "attempt", (int)amount_of(start, "attempt"), "why",
			 why);
}

static void begin_all(struct vh_worker_host *h, json_t *starts, json_t *refused)
{
	json_t *start;
	size_t i;

	json_array_foreach(starts, i, start)
	{
		const char *why = begin(h, start);

		if (!why)
			continue;
		h->server->counts.refused++;
		json_array_append_new(refused, refusal_json(start, why));
	}
}

static void stop_all(struct vh_worker_host *h, json_t *stops)
{
	json_t *stop;
	size_t i;

	json_array_foreach(stops, i, stop)
	{
		vh_worker_stop_task(&h->worker, text_of(stop, "task"),
				    amount_of(stop, "attempt"),
				    text_of(stop, "mode"), now(h));
	}
}

static void hold(struct vh_worker_host *h, struct vh_httpd_req *req,
		 uint64_t ack, bool full, json_t *refused, int64_t wait_ms)
{
	struct held *d = g_new0(struct held, 1);

	d->host = h;
	d->req = req;
	d->ack = ack;
	d->full = full;
	d->refused = refused;
	req->ctx = d;
	req->on_gone = on_held_gone;
	vh_timer_init(&d->timeout, h->server->kernel, on_held_timeout, d);
	g_ptr_array_add(h->held, d);
	vh_timer_start(&d->timeout, wait_ms);
}

/* Whether the request is meant for this incarnation of the worker. */
static bool is_addressed(const struct vh_worker_host *h, json_t *json)
{
	const char *meant = text_of(json, "incarnation");
	char own[96];

	incarnation(&h->worker, own, sizeof(own));
	return !*meant || !strcmp(meant, own);
}

/* Does what is asked; returns the starts that are refused. */
static json_t *obey(struct vh_worker_host *h, json_t *json)
{
	json_t *starts = json_object_get(json, "starts"), *start;
	json_t *refused = json_array();
	size_t i;

	if (!is_addressed(h, json)) {
		json_array_foreach(starts, i, start)
		{
			json_array_append_new(refused,
					      refusal_json(start, "late"));
		}
		return refused;
	}
	vh_worker_renew_lease(&h->worker, number_of(json, "lease_until"));
	vh_worker_ack_ends(&h->worker, (uint64_t)number_of(json, "ack"));
	stop_all(h, json_object_get(json, "stops"));
	begin_all(h, starts, refused);
	return refused;
}

static void do_sync(struct vh_worker_host *h, struct vh_httpd_req *req,
		    json_t *json)
{
	struct vh_worker *w = &h->worker;
	uint64_t ack = (uint64_t)number_of(json, "ack");
	bool full = json_is_true(json_object_get(json, "full"));
	int64_t wait_ms = number_of(json, "wait_ms");
	json_t *refused;

	if (!vh_worker_accept_epoch(w, (uint64_t)number_of(json, "epoch"))) {
		h->server->counts.stale_epochs++;
		answer_sync(h, req, HTTP_STALE,
			    json_pack("{s:s,s:I}", "kind", "stale_epoch",
				      "epoch", (json_int_t)w->epoch));
		return;
	}
	ack = is_addressed(h, json) ? ack : 0;
	refused = obey(h, json);
	vh_worker_server_advance(h->server);
	if (wait_ms > 0 && !json_array_size(refused) &&
	    g_queue_is_empty(&w->ended))
		hold(h, req, ack, full, refused, wait_ms);
	else
		answer_sync(h, req, HTTP_OK, sync_json(h, ack, full, refused));
}

static void serve_sync(struct vh_worker_host *h, struct vh_httpd_req *req)
{
	json_t *json = vh_httpd_parse_json(req);

	if (!json)
		return;
	h->server->counts.syncs++;
	h->server->counts.sync_bytes_in += req->body.len;
	do_sync(h, req, json);
	json_decref(json);
}

static void free_request(struct request *r)
{
	g_ptr_array_remove_fast(r->host->requests, r);
	vh_timer_finish(&r->done);
	g_free(r);
}

static void on_request_gone(struct vh_httpd_req *req)
{
	struct request *r = req->ctx;

	r->replica->requests--;
	free_request(r);
}

static void on_request_done(void *ctx)
{
	struct request *r = ctx;
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
	req->on_gone = NULL;
	r->replica->requests--;
	if (chance(r->host, r->host->drop_replies))
		vh_httpd_drop(req);
	else
		vh_httpd_reply_after(req, r->host->latency_ms, status,
				     "application/octet-stream",
				     vh_buf_slice(&body));
	vh_buf_finish(&body);
	free_request(r);
}

void vh_worker_host_drop_service_requests(struct vh_worker_host *h,
					  const struct vh_worker_task *replica)
{
	for (unsigned int i = h->requests->len; i-- > 0;) {
		struct request *r = h->requests->pdata[i];
		struct vh_httpd_req *req = r->req;

		if (replica && r->replica != replica)
			continue;
		req->on_gone = NULL;
		r->replica->requests--;
		free_request(r);
		vh_httpd_drop(req);
	}
}

/* Tells the witness of a request that begins now. */
static void witness_request(struct vh_worker_host *h,
			    const struct vh_httpd_req *req)
{
	struct vh_checker *witness = &h->server->witness;
	const char *token = evhttp_find_header(&req->query, "token");
	bool idempotent = vh_httpd_query_int(req, "idempotent", 1) != 0;

	vh_checker_record_check(
		witness, VH_I8_LEAVING,
		!h->worker.leaving ||
			now(h) - h->worker.leaving_since_ms <=
				h->server->settings.leaving_grace_ms,
		"request to %s, leaving", h->worker.id);
	if (token)
		vh_checker_token_started(witness, token, idempotent,
					 h->worker.id, now(h));
}

static void serve_request(struct vh_worker_host *h, struct vh_httpd_req *req)
{
	char **parts = g_strsplit(req->path + strlen(SERVICE_PREFIX), "/", 2);
	struct vh_worker_task *replica =
		vh_worker_find_replica(&h->worker, parts[0]);
	struct request *r;

	g_strfreev(parts);
	if (!replica) {
		h->server->counts.requests_not_run++;
		vh_httpd_add_header(req, "Vh-Not-Run", "1");
		vh_httpd_reply_error(req, HTTP_SERVUNAVAIL, "not_run",
				     "no replica with a free slot here");
		return;
	}
	h->server->counts.requests++;
	witness_request(h, req);
	replica->requests++;
	r = g_new0(struct request, 1);
	r->host = h;
	r->req = req;
	r->replica = replica;
	req->ctx = r;
	req->on_gone = on_request_gone;
	vh_timer_init(&r->done, h->server->kernel, on_request_done, r);
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

static void on_stalled_gone(struct vh_httpd_req *req)
{
	struct vh_worker_host *h = req->ctx;

	g_ptr_array_remove(h->stalled, req);
}

void vh_worker_host_serve(void *ctx, struct vh_httpd_req *req)
{
	struct vh_worker_host *h = ctx;

	if (chance(h, h->lose_requests)) {
		vh_httpd_drop(req);
	} else if (h->worker.paused_at_ms != INT64_MAX) {
		req->ctx = h;
		req->on_gone = on_stalled_gone;
		g_ptr_array_add(h->stalled, req);
	} else {
		serve(h, req);
	}
}

void vh_worker_host_serve_deferred(struct vh_worker_host *h)
{
	while (h->stalled->len) {
		struct vh_httpd_req *req = h->stalled->pdata[0];

		g_ptr_array_remove_index(h->stalled, 0);
		req->on_gone = NULL;
		serve(h, req);
	}
}
