#include "service_api.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include "vh/invariant.h"

#define CONNECT_TIMEOUT_MS 500
#define STREAM_MIN_BYTES 16384 /* smaller responses are sent in one piece */
/* Reading from the upstream is paused above this number of unsent bytes. */
#define MAX_UNSENT_BYTES (256 << 10)

static void count_cross_region_bytes(const struct vh_service_request *sreq,
				     uint64_t n_bytes)
{
	char labels[VH_NAME_MAX + 16];

	if (!sreq->cross_region)
		return;
	g_snprintf(labels, sizeof(labels), "team=\"%s\"", sreq->req->team);
	*vh_metrics_counter(&sreq->req->g->kernel->metrics,
			    "vh_cross_region_bytes_total", labels) += n_bytes;
}

/* Detaches the current attempt from the request; returns its connection. */
static struct vh_upstream_conn *detach_conn(struct vh_service_request *sreq)
{
	struct vh_upstream_conn *c = sreq->conn;

	sreq->conn = NULL;
	sreq->call = NULL;
	vh_timer_stop(&sreq->connect_timer);
	return c;
}

void vh_attempt_cancel(struct vh_service_request *sreq)
{
	if (!sreq->call)
		return;
	evhttp_cancel_request(sreq->call);
	vh_upstream_conn_close(sreq->req->g, detach_conn(sreq));
}

static void attempt_failed(struct vh_service_request *sreq, bool surely_not_run)
{
	struct vh_gateway *g = sreq->req->g;
	struct vh_upstream_conn *c = detach_conn(sreq);
	int64_t now_ms = vh_kernel_now_ms(g->kernel);

	vh_route_failed(&c->worker->route, now_ms, g->rng);
	sreq->avoid_mask |= vh_upstream_avoid_bit(sreq->service, c->worker);
	vh_upstream_conn_close(g, c);
	evbuffer_drain(sreq->body, evbuffer_get_length(sreq->body));
	if (sreq->req->streaming && sreq->req->ex) {
		/* Lets the caller see that the response is incomplete. */
		sreq->may_have_run = true;
		vh_request_abort(sreq->req);
		return;
	}
	vh_service_retry(sreq, surely_not_run,
			 surely_not_run ? VH_ERR_UNREACHABLE
					: VH_ERR_UPSTREAM_FAILED);
}

static const char *response_header(struct evhttp_request *call,
				   const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(call), name);
}

static bool is_not_run(struct evhttp_request *call)
{
	const char *value = response_header(call, "Vh-Not-Run");

	return evhttp_request_get_response_code(call) == 503 && value &&
	       !strcmp(value, "1");
}

/*
 * Checks that the response belongs to this attempt and that its end can be
 * determined. A refusal may omit the request id but must not carry another one.
 */
static bool validate_head(struct vh_service_request *sreq,
			  struct evhttp_request *call)
{
	const char *echoed_id = response_header(call, "Vh-Request-Id");
	const char *length = response_header(call, "Content-Length");
	const char *transfer_encoding =
		response_header(call, "Transfer-Encoding");
	int status = evhttp_request_get_response_code(call);
	uint64_t n_bytes;

	if (echoed_id ? strcmp(echoed_id, sreq->attempt_id) != 0
		      : !is_not_run(call))
		return false;
	sreq->content_length = -1;
	if (length) {
		if (!vh_slice_to_u64(vh_slice_str(length), &n_bytes) ||
		    n_bytes > G_MAXINT64)
			return false;
		sreq->content_length = (int64_t)n_bytes;
	}
	sreq->head_valid = length || status == 204 || status == 304 ||
			   (transfer_encoding &&
			    !g_ascii_strcasecmp(transfer_encoding, "chunked"));
	return sreq->head_valid;
}

/* Copies the upstream's response headers except those of the connection, the
 * framing and the attempt, and adds Vh-Upstream. */
static void copy_response_headers(struct vh_service_request *sreq,
				  struct evhttp_request *call)
{
	static const char *const excluded_headers[] = { "Connection",
							"Keep-Alive",
							"Transfer-Encoding",
							"Content-Length",
							"Vh-Request-Id",
							"Vh-Not-Run",
							NULL };
	struct evkeyvalq *headers = evhttp_request_get_input_headers(call);
	struct evkeyval *h;

	for (h = headers->tqh_first; h; h = h->next.tqe_next) {
		const char *const *excluded = excluded_headers;

		while (*excluded && g_ascii_strcasecmp(*excluded, h->key))
			excluded++;
		if (!*excluded)
			vh_exchange_set_header(sreq->req->ex, h->key, h->value);
	}
	vh_exchange_set_header(sreq->req->ex, "Vh-Upstream",
			       sreq->conn->worker->id);
}

static void set_upstream_reading(struct vh_service_request *sreq, bool enable)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(sreq->conn->evcon);

	sreq->read_paused = !enable;
	if (enable)
		bufferevent_enable(bev, EV_READ);
	else
		bufferevent_disable(bev, EV_READ);
}

static void on_caller_flushed(void *ctx)
{
	struct vh_service_request *sreq = ctx;

	if (sreq->read_paused && sreq->conn)
		set_upstream_reading(sreq, true);
}

static void begin_stream(struct vh_service_request *sreq,
			 struct evhttp_request *call)
{
	struct vh_request *req = sreq->req;

	copy_response_headers(sreq, call);
	vh_exchange_set_header(req->ex, "Vh-Request-Id", req->id);
	req->streaming = true;
	req->ex->on_flushed = on_caller_flushed;
	req->ex->flushed_ctx = sreq;
	vh_exchange_stream_begin(req->ex,
				 evhttp_request_get_response_code(call),
				 sreq->content_length);
}

static void on_chunk(struct evhttp_request *call, void *ctx)
{
	struct vh_service_request *sreq = ctx;
	struct evbuffer *in = evhttp_request_get_input_buffer(call);

	if (sreq->call != call)
		return;
	sreq->received_bytes += evbuffer_get_length(in);
	count_cross_region_bytes(sreq, evbuffer_get_length(in));
	if (sreq->orphaned) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	evbuffer_add_buffer(sreq->body, in);
	if (!sreq->head_valid && !validate_head(sreq, call))
		return; /* on_response() fails the attempt */
	if (is_not_run(call))
		return;
	if (!sreq->req->streaming) {
		if (evbuffer_get_length(sreq->body) < STREAM_MIN_BYTES)
			return;
		begin_stream(sreq, call);
	}
	vh_exchange_stream_write(sreq->req->ex, sreq->body);
	if (vh_exchange_unsent(sreq->req->ex) > MAX_UNSENT_BYTES)
		set_upstream_reading(sreq, false);
}

static void on_error(enum evhttp_request_error error, void *ctx)
{
	struct vh_service_request *sreq = ctx;

	(void)error;
	sreq->errored = true;
}

/* The upstream is full or leaving and reports that the request did not run. */
static void handle_refusal(struct vh_service_request *sreq)
{
	struct vh_gateway *g = sreq->req->g;
	struct vh_upstream_conn *c = detach_conn(sreq);

	vh_route_refused(&c->worker->route, vh_kernel_now_ms(g->kernel),
			 g->rng);
	sreq->avoid_mask |= vh_upstream_avoid_bit(sreq->service, c->worker);
	vh_upstream_conn_release(g, c);
	evbuffer_drain(sreq->body, evbuffer_get_length(sreq->body));
	sreq->head_valid = false;
	sreq->received_bytes = 0;
	++*vh_metrics_counter(&g->kernel->metrics, "vh_upstream_refusals_total",
			      "");
	vh_service_retry(sreq, true, VH_ERR_NO_CAPACITY);
}

static void on_response(struct evhttp_request *call, void *ctx)
{
	struct vh_service_request *sreq = ctx;
	int status = call ? evhttp_request_get_response_code(call) : 0;
	struct vh_service_state *svc = sreq->service;
	struct vh_upstream_conn *c;

	/* Neither status nor error: the connection was not established. */
	if (!status) {
		attempt_failed(sreq, !sreq->errored);
		return;
	}
	if (!sreq->head_valid && !validate_head(sreq, call)) {
		attempt_failed(sreq, false);
		return;
	}
	if (is_not_run(call)) {
		handle_refusal(sreq);
		return;
	}
	if (sreq->content_length >= 0 &&
	    (uint64_t)sreq->content_length != sreq->received_bytes) {
		attempt_failed(sreq, false);
		return;
	}
	if (!sreq->orphaned && !sreq->req->streaming)
		copy_response_headers(sreq, call);
	c = detach_conn(sreq);
	vh_route_succeeded(&c->worker->route);
	vh_upstream_conn_release(sreq->req->g, c);
	vh_service_complete(sreq, status);
	vh_service_dispatch(svc);
}

/* Fails the attempt if the connection is still not established; the upstream
 * cannot have received the request then. */
static void on_connect_timeout(void *ctx)
{
	struct vh_service_request *sreq = ctx;
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);
	struct bufferevent *bev;

	if (!sreq->call)
		return;
	bev = evhttp_connection_get_bufferevent(sreq->conn->evcon);
	if (!getpeername(bufferevent_getfd(bev), (struct sockaddr *)&peer,
			 &len))
		return;
	evhttp_cancel_request(sreq->call);
	attempt_failed(sreq, true);
}

static void set_request_headers(struct vh_service_request *sreq,
				struct evkeyvalq *out,
				const struct vh_upstream_worker *worker)
{
	static const char *const forwarded[] = { "Content-Type", "Accept",
						 "Idempotency-Key", NULL };
	struct evkeyvalq *in =
		evhttp_request_get_input_headers(sreq->req->ex->req);
	int64_t left_ms =
		sreq->deadline_ms - vh_kernel_now_ms(sreq->req->g->kernel);
	char text[32];

	for (int i = 0; forwarded[i]; i++) {
		const char *value = evhttp_find_header(in, forwarded[i]);

		if (value)
			evhttp_add_header(out, forwarded[i], value);
	}
	g_snprintf(sreq->attempt_id, sizeof(sreq->attempt_id), "%s.%u",
		   sreq->req->id, sreq->attempts);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, left_ms);
	evhttp_add_header(out, "Host", worker->address);
	evhttp_add_header(out, "Vh-Request-Id", sreq->attempt_id);
	evhttp_add_header(out, "Vh-Team", sreq->req->team);
	evhttp_add_header(out, "Vh-Deadline-Ms", text);
}

/* /v1/requests/SERVICE plus the rest of the caller's path and the query. */
static void append_upstream_path(const struct vh_service_request *sreq,
				 struct vh_buf *path)
{
	struct vh_slice caller_path = vh_exchange_path(sreq->req->ex);
	struct vh_slice query = vh_exchange_query(sreq->req->ex);
	size_t prefix_len = strlen("/v1/services/") +
			    strlen(sreq->req->target) + strlen("/requests");

	vh_buf_printf(path, "/v1/requests/%s", sreq->req->target);
	vh_buf_add(path, caller_path.data + prefix_len,
		   caller_path.len - prefix_len);
	if (query.len) {
		vh_buf_add_str(path, "?");
		vh_buf_add_slice(path, query);
	}
	vh_buf_add(path, "", 1);
}

bool vh_attempt_start(struct vh_service_request *sreq,
		      struct vh_upstream_worker *worker)
{
	struct vh_gateway *g = sreq->req->g;
	struct vh_upstream_conn *c = vh_upstream_conn_acquire(g, worker);
	struct vh_slice body = vh_exchange_body(sreq->req->ex);
	struct evhttp_request *call;
	struct vh_buf path;

	if (!c)
		return false;
	call = evhttp_request_new(on_response, sreq);
	evhttp_request_set_chunked_cb(call, on_chunk);
	evhttp_request_set_error_cb(call, on_error);
	sreq->conn = c;
	sreq->call = call;
	sreq->errored = false;
	sreq->head_valid = false;
	sreq->received_bytes = 0;
	sreq->cross_region = worker->route.tier == VH_ROUTE_REMOTE;
	set_request_headers(sreq, evhttp_request_get_output_headers(call),
			    worker);
	evbuffer_add(evhttp_request_get_output_buffer(call), body.data,
		     body.len);
	count_cross_region_bytes(sreq, body.len);
	++*vh_metrics_counter(&g->kernel->metrics, "vh_upstream_attempts_total",
			      "");
	if (!sreq->connect_timer.ev)
		vh_timer_init(&sreq->connect_timer, g->kernel,
			      on_connect_timeout, sreq);
	vh_timer_start(&sreq->connect_timer, CONNECT_TIMEOUT_MS);
	vh_buf_init(&path);
	append_upstream_path(sreq, &path);
	if (evhttp_make_request(c->evcon, call, EVHTTP_REQ_POST, path.data)) {
		/* libevent has already freed @call. */
		vh_buf_finish(&path);
		attempt_failed(sreq, true);
		return true;
	}
	vh_buf_finish(&path);
	return true;
}
