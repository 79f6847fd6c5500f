#include "service_api.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include "vh/invariant.h"

#define CONNECT_MS 500	  /* until a connection that is not made is given up */
#define STREAM_FROM 16384 /* bytes; smaller answers are passed on as a whole */
#define UNSENT_MAX (256 << 10) /* bytes the caller has yet to take */

static void count_bytes(const struct vh_service_request *r, uint64_t n)
{
	char labels[VH_NAME_MAX + 16];

	if (!r->remote)
		return;
	g_snprintf(labels, sizeof(labels), "team=\"%s\"", r->w->team);
	*vh_metrics_counter(&r->w->g->kernel->metrics,
			    "vh_cross_region_bytes_total", labels) += n;
}

/* Takes the attempt off the request; returns its connection. */
static struct vh_upstream_conn *detach(struct vh_service_request *r)
{
	struct vh_upstream_conn *c = r->conn;

	r->conn = NULL;
	r->call = NULL;
	vh_timer_stop(&r->connect_timer);
	return c;
}

void vh_attempt_cancel(struct vh_service_request *r)
{
	if (!r->call)
		return;
	evhttp_cancel_request(r->call);
	vh_upstream_conn_close(r->w->g, detach(r));
}

static void failed(struct vh_service_request *r, bool surely_not_run)
{
	struct vh_gateway *g = r->w->g;
	struct vh_upstream_conn *c = detach(r);
	int64_t now_ms = vh_kernel_now_ms(g->kernel);

	vh_route_failed(&c->worker->route, now_ms, g->rng);
	r->avoid |= vh_upstream_avoid_bit(r->service, c->worker);
	vh_upstream_conn_close(g, c);
	evbuffer_drain(r->body, evbuffer_get_length(r->body));
	if (r->w->streaming && r->w->ex) {
		/* The caller sees that the answer is not whole. */
		r->maybe_ran = true;
		vh_request_abort(r->w);
		return;
	}
	vh_service_retry(r, surely_not_run,
			 surely_not_run ? VH_ERR_UNREACHABLE
					: VH_ERR_UPSTREAM_FAILED);
}

static const char *head_of(struct evhttp_request *call, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(call), name);
}

static bool is_not_run(struct evhttp_request *call)
{
	const char *said = head_of(call, "Vh-Not-Run");

	return evhttp_request_get_response_code(call) == 503 && said &&
	       !strcmp(said, "1");
}

/*
 * Is this the head of an answer to this very attempt, and can its end be told?
 * A refusal to run need not repeat the id, but must not show another one.
 */
static bool check_head(struct vh_service_request *r,
		       struct evhttp_request *call)
{
	const char *id = head_of(call, "Vh-Request-Id");
	const char *length = head_of(call, "Content-Length");
	const char *coding = head_of(call, "Transfer-Encoding");
	int status = evhttp_request_get_response_code(call);
	uint64_t n;

	if (id ? strcmp(id, r->id) != 0 : !is_not_run(call))
		return false;
	r->length = -1;
	if (length) {
		if (!vh_slice_to_u64(vh_slice_str(length), &n) ||
		    n > G_MAXINT64)
			return false;
		r->length = (int64_t)n;
	}
	r->checked = length || status == 204 || status == 304 ||
		     (coding && !g_ascii_strcasecmp(coding, "chunked"));
	return r->checked;
}

/* Headers of the answer that are for the caller. */
static void pass_headers(struct vh_service_request *r,
			 struct evhttp_request *call)
{
	static const char *const own[] = { "Connection",
					   "Keep-Alive",
					   "Transfer-Encoding",
					   "Content-Length",
					   "Vh-Request-Id",
					   "Vh-Not-Run",
					   NULL };
	struct evkeyvalq *headers = evhttp_request_get_input_headers(call);
	struct evkeyval *h;

	for (h = headers->tqh_first; h; h = h->next.tqe_next) {
		const char *const *o = own;

		while (*o && g_ascii_strcasecmp(*o, h->key))
			o++;
		if (!*o)
			vh_exchange_set_header(r->w->ex, h->key, h->value);
	}
	vh_exchange_set_header(r->w->ex, "Vh-Upstream", r->conn->worker->id);
}

static void set_reading(struct vh_service_request *r, bool on)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(r->conn->evcon);

	r->paused = !on;
	if (on)
		bufferevent_enable(bev, EV_READ);
	else
		bufferevent_disable(bev, EV_READ);
}

static void caller_took_all(void *ctx)
{
	struct vh_service_request *r = ctx;

	if (r->paused && r->conn)
		set_reading(r, true);
}

static void begin_stream(struct vh_service_request *r,
			 struct evhttp_request *call)
{
	struct vh_request *w = r->w;

	pass_headers(r, call);
	vh_exchange_set_header(w->ex, "Vh-Request-Id", w->id);
	w->streaming = true;
	w->ex->on_drained = caller_took_all;
	w->ex->drained_ctx = r;
	vh_exchange_stream_begin(w->ex, evhttp_request_get_response_code(call),
				 r->length);
}

static void on_chunk(struct evhttp_request *call, void *ctx)
{
	struct vh_service_request *r = ctx;
	struct evbuffer *in = evhttp_request_get_input_buffer(call);

	if (r->call != call)
		return;
	r->received += evbuffer_get_length(in);
	count_bytes(r, evbuffer_get_length(in));
	if (r->orphan) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	evbuffer_add_buffer(r->body, in);
	if (!r->checked && !check_head(r, call))
		return; /* found again when the answer is complete */
	if (is_not_run(call))
		return;
	if (!r->w->streaming) {
		if (evbuffer_get_length(r->body) < STREAM_FROM)
			return;
		begin_stream(r, call);
	}
	vh_exchange_stream_write(r->w->ex, r->body);
	if (vh_exchange_unsent(r->w->ex) > UNSENT_MAX)
		set_reading(r, false);
}

static void on_error(enum evhttp_request_error error, void *ctx)
{
	struct vh_service_request *r = ctx;

	(void)error;
	r->failed = true;
}

/* An answer that says surely not run: the upstream is full or leaving. */
static void take_refusal(struct vh_service_request *r)
{
	struct vh_gateway *g = r->w->g;
	struct vh_upstream_conn *c = detach(r);

	vh_route_refused(&c->worker->route, vh_kernel_now_ms(g->kernel),
			 g->rng);
	r->avoid |= vh_upstream_avoid_bit(r->service, c->worker);
	vh_upstream_conn_release(g, c);
	evbuffer_drain(r->body, evbuffer_get_length(r->body));
	r->checked = false;
	r->received = 0;
	++*vh_metrics_counter(&g->kernel->metrics, "vh_upstream_refusals_total",
			      "");
	vh_service_retry(r, true, VH_ERR_NO_CAPACITY);
}

static void on_done(struct evhttp_request *call, void *ctx)
{
	struct vh_service_request *r = ctx;
	int status = call ? evhttp_request_get_response_code(call) : 0;
	struct vh_service_state *s = r->service;
	struct vh_upstream_conn *c;

	/* No status and no error: the connection was never made. */
	if (!status) {
		failed(r, !r->failed);
		return;
	}
	if (!r->checked && !check_head(r, call)) {
		failed(r, false);
		return;
	}
	if (is_not_run(call)) {
		take_refusal(r);
		return;
	}
	if (r->length >= 0 && (uint64_t)r->length != r->received) {
		failed(r, false);
		return;
	}
	if (!r->orphan && !r->w->streaming)
		pass_headers(r, call);
	c = detach(r);
	vh_route_succeeded(&c->worker->route);
	vh_upstream_conn_release(r->w->g, c);
	vh_service_complete(r, status);
	vh_service_dispatch(s);
}

/* The connection is still not made: nothing can have been received. */
static void connect_late(void *ctx)
{
	struct vh_service_request *r = ctx;
	struct sockaddr_storage to;
	socklen_t len = sizeof(to);
	struct bufferevent *bev;

	if (!r->call)
		return;
	bev = evhttp_connection_get_bufferevent(r->conn->evcon);
	if (!getpeername(bufferevent_getfd(bev), (struct sockaddr *)&to, &len))
		return;
	evhttp_cancel_request(r->call);
	failed(r, true);
}

static void set_headers(struct vh_service_request *r, struct evkeyvalq *out,
			const struct vh_worker *worker)
{
	static const char *const passed[] = { "Content-Type", "Accept",
					      "Idempotency-Key", NULL };
	struct evkeyvalq *in = evhttp_request_get_input_headers(r->w->ex->req);
	int64_t left = r->deadline_ms - vh_kernel_now_ms(r->w->g->kernel);
	char text[32];

	for (int i = 0; passed[i]; i++) {
		const char *value = evhttp_find_header(in, passed[i]);

		if (value)
			evhttp_add_header(out, passed[i], value);
	}
	g_snprintf(r->id, sizeof(r->id), "%s.%u", r->w->id, r->attempts);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, left);
	evhttp_add_header(out, "Host", worker->address);
	evhttp_add_header(out, "Vh-Request-Id", r->id);
	evhttp_add_header(out, "Vh-Team", r->w->team);
	evhttp_add_header(out, "Vh-Deadline-Ms", text);
}

/* /v1/requests/SERVICE and what followed it in the caller's request. */
static void make_path(const struct vh_service_request *r, struct vh_buf *path)
{
	struct vh_slice asked = vh_exchange_path(r->w->ex);
	struct vh_slice query = vh_exchange_query(r->w->ex);
	size_t skip = strlen("/v1/services/") + strlen(r->w->target) +
		      strlen("/requests");

	vh_buf_printf(path, "/v1/requests/%s", r->w->target);
	vh_buf_add(path, asked.data + skip, asked.len - skip);
	if (query.len) {
		vh_buf_add_str(path, "?");
		vh_buf_add_slice(path, query);
	}
	vh_buf_add(path, "", 1);
}

bool vh_attempt_start(struct vh_service_request *r, struct vh_worker *worker)
{
	struct vh_gateway *g = r->w->g;
	struct vh_upstream_conn *c = vh_upstream_conn_acquire(g, worker);
	struct vh_slice body = vh_exchange_body(r->w->ex);
	struct evhttp_request *call;
	struct vh_buf path;

	if (!c)
		return false;
	call = evhttp_request_new(on_done, r);
	evhttp_request_set_chunked_cb(call, on_chunk);
	evhttp_request_set_error_cb(call, on_error);
	r->conn = c;
	r->call = call;
	r->failed = false;
	r->checked = false;
	r->received = 0;
	r->remote = worker->route.tier == VH_ROUTE_REMOTE;
	set_headers(r, evhttp_request_get_output_headers(call), worker);
	evbuffer_add(evhttp_request_get_output_buffer(call), body.data,
		     body.len);
	count_bytes(r, body.len);
	++*vh_metrics_counter(&g->kernel->metrics, "vh_upstream_attempts_total",
			      "");
	if (!r->connect_timer.ev)
		vh_timer_init(&r->connect_timer, g->kernel, connect_late, r);
	vh_timer_start(&r->connect_timer, CONNECT_MS);
	vh_buf_init(&path);
	make_path(r, &path);
	if (evhttp_make_request(c->evcon, call, EVHTTP_REQ_POST, path.data)) {
		/* The library has freed the request. */
		vh_buf_finish(&path);
		failed(r, true);
		return true;
	}
	vh_buf_finish(&path);
	return true;
}
