#include "log_server.h"

#define RETENTION_PERIOD_MS 100
#define DEFAULT_READ_BYTES 1048576
#define RECORD_MAX_BYTES 1048576
#define HTTP_STATUS_GONE 410
#define HTTP_STATUS_TOO_MANY_REQUESTS 429

/* A read, which may wait for the next record. */
struct pending_read {
	struct vh_log_server *s;
	struct vh_httpd_req *req;
	char *stream;
	uint64_t from;
	size_t max_bytes;
	struct vh_timer timeout;
};

/* An append that has not yet taken effect. */
struct pending_append {
	struct vh_log_server *s;
	struct vh_httpd_req *req; /* NULL if it gets no response */
	char *stream;
	struct vh_buf record;
	struct vh_timer effect;
	int64_t reply_after_ms;
	bool drop_reply;
};

static bool random_chance(struct vh_log_server *s, double p)
{
	return p > 0 && g_rand_double(s->rand) < p;
}

static int64_t random_latency_ms(struct vh_log_server *s)
{
	int64_t ms = s->faults.latency_ms + s->faults.slow_ms;

	if (s->faults.jitter_ms > 0)
		ms += g_rand_int_range(s->rand, 0,
				       (int32_t)s->faults.jitter_ms + 1);
	return ms;
}

static int64_t now(const struct vh_log_server *s)
{
	return vh_kernel_now_ms(s->http.kernel);
}

/* Returns NAME of a path "/streams/NAME/records", to be freed, else NULL. */
static char *stream_name(const char *path)
{
	static const char prefix[] = "/streams/", suffix[] = "/records";
	size_t len = strlen(path);
	const char *name;

	if (!g_str_has_prefix(path, prefix) || !g_str_has_suffix(path, suffix))
		return NULL;
	if (len <= sizeof(prefix) - 1 + sizeof(suffix) - 1)
		return NULL;
	name = path + sizeof(prefix) - 1;
	len -= sizeof(prefix) - 1 + sizeof(suffix) - 1;
	return g_strndup(name, len);
}

static void free_read(struct pending_read *r)
{
	g_ptr_array_remove_fast(r->s->waiting_reads, r);
	vh_timer_finish(&r->timeout);
	g_free(r->stream);
	g_free(r);
}

static void answer_read(struct pending_read *r)
{
	struct vh_log_server *s = r->s;
	struct vh_httpd_req *req = r->req;
	struct vh_buf out = { 0 };

	req->on_cancel = NULL;
	if (vh_streams_read(&s->streams, r->stream, r->from, r->max_bytes,
			    &out)) {
		s->counters.reads++;
		s->counters.read_bytes += out.len;
		vh_httpd_reply_after(req, random_latency_ms(s), HTTP_OK,
				     "application/msgpack", vh_buf_slice(&out));
	} else {
		uint64_t first, next;

		vh_streams_bounds(&s->streams, r->stream, &first, &next);
		vh_httpd_reply_json(req, HTTP_STATUS_GONE,
				    json_pack("{s:I,s:I}", "first",
					      (json_int_t)first, "next",
					      (json_int_t)next));
	}
	vh_buf_finish(&out);
	free_read(r);
}

static void on_read_timeout(void *ctx)
{
	answer_read(ctx);
}

static void on_read_cancel(struct vh_httpd_req *req)
{
	free_read(req->ctx);
}

static void start_read(struct vh_log_server *s, struct vh_httpd_req *req,
		       char *stream)
{
	struct pending_read *r = g_new0(struct pending_read, 1);
	int64_t wait_ms = vh_httpd_query_int(req, "wait_ms", 0);
	uint64_t first, next;

	r->s = s;
	r->req = req;
	r->stream = stream;
	r->from = (uint64_t)vh_httpd_query_int(req, "from", 1);
	r->max_bytes = (size_t)vh_httpd_query_int(req, "max_bytes",
						  DEFAULT_READ_BYTES);
	vh_timer_init(&r->timeout, s->http.kernel, on_read_timeout, r);
	g_ptr_array_add(s->waiting_reads, r);
	vh_streams_bounds(&s->streams, stream, &first, &next);
	if (r->from != next || wait_ms <= 0) {
		answer_read(r);
		return;
	}
	req->ctx = r;
	req->on_cancel = on_read_cancel;
	vh_timer_start(&r->timeout, wait_ms);
}

static void answer_waiting_reads(struct vh_log_server *s, const char *stream)
{
	for (unsigned int i = s->waiting_reads->len; i-- > 0;) {
		struct pending_read *r = s->waiting_reads->pdata[i];

		if (!strcmp(r->stream, stream))
			answer_read(r);
	}
}

static void free_append(struct pending_append *a)
{
	g_ptr_array_remove_fast(a->s->pending_appends, a);
	vh_timer_finish(&a->effect);
	vh_buf_finish(&a->record);
	g_free(a->stream);
	g_free(a);
}

static void on_append_cancel(struct vh_httpd_req *req)
{
	struct pending_append *a = req->ctx;

	a->req = NULL;
}

static void on_effect(void *ctx)
{
	struct pending_append *a = ctx;
	struct vh_log_server *s = a->s;
	char text[64];
	uint64_t offset = vh_streams_append(&s->streams, a->stream,
					    vh_buf_slice(&a->record), now(s));

	s->counters.appends++;
	s->counters.append_bytes += a->record.len;
	if (a->req)
		a->req->on_cancel = NULL;
	if (a->req && a->drop_reply) {
		s->counters.lost_replies++;
		vh_httpd_drop_after(a->req, a->reply_after_ms);
	} else if (a->req) {
		g_snprintf(text, sizeof(text),
			   "{\"offset\":%" G_GUINT64_FORMAT "}", offset);
		vh_httpd_reply_after(a->req, a->reply_after_ms, HTTP_OK,
				     "application/json", vh_slice_str(text));
	}
	answer_waiting_reads(s, a->stream);
	free_append(a);
}

static bool exceeds_rate(struct vh_log_server *s)
{
	int64_t window_s = now(s) / VH_MS_PER_S;

	if (window_s != s->window_s) {
		s->window_s = window_s;
		s->appends_in_window = 0;
	}
	return s->faults.max_appends_per_s > 0 &&
	       ++s->appends_in_window > s->faults.max_appends_per_s;
}

static void start_append(struct vh_log_server *s, struct vh_httpd_req *req,
			 char *stream)
{
	struct pending_append *a;
	int64_t ms = random_latency_ms(s);
	int status = 0;

	if (req->body.len > RECORD_MAX_BYTES)
		status = HTTP_ENTITYTOOLARGE;
	else if (exceeds_rate(s))
		status = HTTP_STATUS_TOO_MANY_REQUESTS;
	else if (random_chance(s, s->faults.reject))
		status = HTTP_SERVUNAVAIL;
	if (status) {
		g_free(stream);
		s->counters.rejected++;
		vh_httpd_reply_error(req, status, "rejected", "not appended");
		return;
	}
	a = g_new0(struct pending_append, 1);
	a->s = s;
	a->stream = stream;
	vh_buf_add_slice(&a->record, vh_buf_slice(&req->body));
	a->reply_after_ms = ms - ms / 2;
	a->drop_reply = random_chance(s, s->faults.lose_replies);
	vh_timer_init(&a->effect, s->http.kernel, on_effect, a);
	g_ptr_array_add(s->pending_appends, a);
	if (a->drop_reply && s->faults.effect_delay_ms > 0) {
		s->counters.lost_replies++;
		vh_httpd_drop(req);
		vh_timer_start(&a->effect, s->faults.effect_delay_ms);
		return;
	}
	a->req = req;
	req->ctx = a;
	req->on_cancel = on_append_cancel;
	vh_timer_start(&a->effect, ms / 2);
}

static void serve_stats(struct vh_log_server *s, struct vh_httpd_req *req)
{
	const struct vh_log_counters *c = &s->counters;
	json_t *streams = json_object();
	GHashTableIter it;
	void *name;

	g_hash_table_iter_init(&it, s->streams.by_name);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		uint64_t first, next;

		vh_streams_bounds(&s->streams, name, &first, &next);
		json_object_set_new(streams, name,
				    json_pack("{s:I,s:I}", "first",
					      (json_int_t)first, "next",
					      (json_int_t)next));
	}
	vh_httpd_reply_json(
		req, HTTP_OK,
		json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "appends",
			  (json_int_t)c->appends, "append_bytes",
			  (json_int_t)c->append_bytes, "reads",
			  (json_int_t)c->reads, "read_bytes",
			  (json_int_t)c->read_bytes, "rejected",
			  (json_int_t)c->rejected, "lost_replies",
			  (json_int_t)c->lost_replies, "streams", streams));
}

static void serve_stream(struct vh_log_server *s, struct vh_httpd_req *req)
{
	enum evhttp_cmd_type method = evhttp_request_get_command(req->ev);
	char *stream = stream_name(req->path);

	if (!stream) {
		vh_httpd_reply_error(req, HTTP_NOTFOUND, "not_found",
				     "no such path");
	} else if (method == EVHTTP_REQ_POST) {
		start_append(s, req, stream);
	} else if (method == EVHTTP_REQ_GET) {
		start_read(s, req, stream);
	} else {
		g_free(stream);
		vh_httpd_reply_error(req, HTTP_BADMETHOD, "method",
				     "GET or POST");
	}
}

static void on_hung_cancel(struct vh_httpd_req *req)
{
	struct vh_log_server *s = req->ctx;

	g_ptr_array_remove_fast(s->hung_requests, req);
}

static void serve_during_outage(struct vh_log_server *s,
				struct vh_httpd_req *req)
{
	if (s->faults.outage == VH_LOG_OUTAGE_REFUSE) {
		s->counters.rejected++;
		vh_httpd_reply_error(req, HTTP_SERVUNAVAIL, "down", "outage");
	} else if (s->faults.outage == VH_LOG_OUTAGE_SILENT) {
		vh_httpd_drop(req);
	} else {
		req->ctx = s;
		req->on_cancel = on_hung_cancel;
		g_ptr_array_add(s->hung_requests, req);
	}
}

static void serve_hung_requests(struct vh_log_server *s)
{
	while (s->hung_requests->len) {
		struct vh_httpd_req *req =
			g_ptr_array_remove_index_fast(s->hung_requests, 0);

		req->on_cancel = NULL;
		serve_stream(s, req);
	}
}

static enum vh_log_outage outage_from_json(const json_t *v)
{
	const char *mode = json_string_value(v);

	if (!mode)
		return json_is_true(v) ? VH_LOG_OUTAGE_SILENT
				       : VH_LOG_OUTAGE_NONE;
	if (!strcmp(mode, "refuse"))
		return VH_LOG_OUTAGE_REFUSE;
	if (!strcmp(mode, "hang"))
		return VH_LOG_OUTAGE_HANG;
	return VH_LOG_OUTAGE_SILENT;
}

static void serve_control(struct vh_log_server *s, struct vh_httpd_req *req)
{
	struct vh_log_faults *f = &s->faults;
	json_t *json = vh_httpd_parse_json(req), *down = NULL;
	json_int_t latency_ms = f->latency_ms, jitter_ms = f->jitter_ms;
	json_int_t slow_ms = f->slow_ms, effect_ms = f->effect_delay_ms;
	json_int_t rate = f->max_appends_per_s;
	json_error_t e;

	if (!json)
		return;
	if (json_unpack_ex(json, &e, JSON_STRICT,
			   "{s?o,s?I,s?I,s?I,s?I,s?F,s?F,s?I}", "down", &down,
			   "latency_ms", &latency_ms, "jitter_ms", &jitter_ms,
			   "slow_ms", &slow_ms, "effect_delay_ms", &effect_ms,
			   "lose_replies", &f->lose_replies, "reject",
			   &f->reject, "max_appends_per_s", &rate)) {
		json_decref(json);
		vh_httpd_reply_error(req, HTTP_BADREQUEST, "bad_request",
				     e.text);
		return;
	}
	f->latency_ms = latency_ms;
	f->jitter_ms = jitter_ms;
	f->slow_ms = slow_ms;
	f->effect_delay_ms = effect_ms;
	f->max_appends_per_s = rate;
	if (down)
		f->outage = outage_from_json(down);
	json_decref(json);
	vh_httpd_reply_json(req, HTTP_OK, json_object());
	if (f->outage == VH_LOG_OUTAGE_NONE)
		serve_hung_requests(s);
}

static void on_request(void *ctx, struct vh_httpd_req *req)
{
	struct vh_log_server *s = ctx;

	if (vh_httpd_req_matches(req, EVHTTP_REQ_POST, "/control"))
		serve_control(s, req);
	else if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/stats"))
		serve_stats(s, req);
	else if (s->faults.outage != VH_LOG_OUTAGE_NONE)
		serve_during_outage(s, req);
	else
		serve_stream(s, req);
}

static void on_retention(void *ctx)
{
	struct vh_log_server *s = ctx;

	vh_streams_expire(&s->streams, now(s));
	vh_timer_start(&s->retention_timer, RETENTION_PERIOD_MS);
}

bool vh_log_server_start(struct vh_log_server *s, struct vh_kernel *kernel,
			 uint16_t port, const struct vh_log_faults *faults,
			 uint64_t retain_records, int64_t retain_ms,
			 uint32_t seed, GError **err)
{
	memset(s, 0, sizeof(*s));
	vh_httpd_init(&s->http, kernel, on_request, s);
	if (!vh_httpd_start(&s->http, port, err))
		return false;
	vh_streams_init(&s->streams, retain_records, retain_ms);
	s->faults = *faults;
	s->rand = g_rand_new_with_seed(seed);
	s->waiting_reads = g_ptr_array_new();
	s->hung_requests = g_ptr_array_new();
	s->pending_appends = g_ptr_array_new();
	vh_timer_init(&s->retention_timer, kernel, on_retention, s);
	vh_timer_start(&s->retention_timer, RETENTION_PERIOD_MS);
	return true;
}

void vh_log_server_stop(struct vh_log_server *s)
{
	vh_httpd_stop(&s->http);
	for (unsigned int i = s->pending_appends->len; i-- > 0;)
		free_append(s->pending_appends->pdata[i]);
	vh_timer_finish(&s->retention_timer);
	vh_streams_finish(&s->streams);
	g_ptr_array_free(s->waiting_reads, TRUE);
	g_ptr_array_free(s->hung_requests, TRUE);
	g_ptr_array_free(s->pending_appends, TRUE);
	g_rand_free(s->rand);
}
