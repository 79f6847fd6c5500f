#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "listener_impl.h"

#define BEARER_PREFIX "Bearer "

enum evhttp_cmd_type vh_exchange_method(const struct vh_exchange *ex)
{
	return evhttp_request_get_command(ex->req);
}

struct vh_slice vh_exchange_path(const struct vh_exchange *ex)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(ex->req);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;

	return vh_slice_str(path);
}

struct vh_slice vh_exchange_query(const struct vh_exchange *ex)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(ex->req);
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;

	return vh_slice_str(query);
}

struct vh_slice vh_exchange_header(const struct vh_exchange *ex,
				   const char *name)
{
	return vh_slice_str(evhttp_find_header(
		evhttp_request_get_input_headers(ex->req), name));
}

struct vh_slice vh_exchange_body(const struct vh_exchange *ex)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(ex->req);

	return vh_slice((const char *)evbuffer_pullup(in, -1),
			evbuffer_get_length(in));
}

bool vh_exchange_query_param(const struct vh_exchange *ex, const char *name,
			     struct vh_slice *value)
{
	struct vh_slice q = vh_exchange_query(ex);
	size_t n = strlen(name);

	while (q.len) {
		const char *amp = memchr(q.data, '&', q.len);
		size_t len = amp ? (size_t)(amp - q.data) : q.len;

		if (len > n && q.data[n] == '=' && !memcmp(q.data, name, n)) {
			*value = vh_slice(q.data + n + 1, len - n - 1);
			return true;
		}
		q.data += len + (amp ? 1 : 0);
		q.len -= len + (amp ? 1 : 0);
	}
	return false;
}

struct vh_slice vh_exchange_bearer_token(const struct vh_exchange *ex)
{
	struct vh_slice h = vh_exchange_header(ex, "Authorization");
	size_t n = strlen(BEARER_PREFIX);

	if (h.len <= n || g_ascii_strncasecmp(h.data, BEARER_PREFIX, n))
		return vh_slice(NULL, 0);
	return vh_slice(h.data + n, h.len - n);
}

void vh_exchange_set_header(struct vh_exchange *ex, const char *name,
			    const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(ex->req), name,
			  value);
}

/* Counts the response; adds "Connection: close" while draining. */
static void prepare_response(struct vh_exchange *ex, int status)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "listener=\"%s\",status=\"%d\"",
		   ex->listener->settings.name, status);
	++*vh_metrics_counter(&ex->listener->kernel->metrics,
			      "vh_http_answers_total", labels);
	if (ex->listener->draining)
		vh_exchange_set_header(ex, "Connection", "close");
}

static void free_exchange(struct vh_exchange *ex)
{
	*ex->prev = ex->next;
	if (ex->next)
		ex->next->prev = ex->prev;
	if (ex->conn)
		ex->conn->exchange = NULL;
	g_free(ex);
}

static void set_conn_writing(struct vh_exchange *ex)
{
	if (ex->conn)
		vh_conn_set_state(ex->conn, VH_CONN_WRITING);
}

void vh_exchange_respond(struct vh_exchange *ex, int status, const char *type,
			 struct vh_slice body)
{
	struct evhttp_request *req = ex->req;
	struct evbuffer *out = evbuffer_new();

	prepare_response(ex, status);
	set_conn_writing(ex);
	if (type)
		vh_exchange_set_header(ex, "Content-Type", type);
	evbuffer_add(out, body.data, body.len);
	free_exchange(ex);
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

void vh_exchange_respond_json(struct vh_exchange *ex, int status,
			      struct vh_slice body)
{
	vh_exchange_respond(ex, status, "application/json", body);
}

void vh_json_append_string(struct vh_buf *out, struct vh_slice s)
{
	vh_buf_add_str(out, "\"");
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if (c == '"' || c == '\\')
			vh_buf_printf(out, "\\%c", c);
		else if (c < 0x20 || c >= 0x7f)
			vh_buf_printf(out, "\\u%04x", c);
		else
			vh_buf_add(out, &s.data[i], 1);
	}
	vh_buf_add_str(out, "\"");
}

void vh_json_append_error(struct vh_buf *out, enum vh_err err,
			  enum vh_outcome outcome, struct vh_slice message)
{
	const char *name = vh_err_info(err)->name;

	vh_buf_printf(out, "{\"error\":{\"kind\":\"%s\",\"message\":", name);
	vh_json_append_string(out, message.len ? message : vh_slice_str(name));
	vh_buf_printf(out, ",\"outcome\":\"%s\"}", vh_outcome_name(outcome));
}

void vh_exchange_respond_outcome(struct vh_exchange *ex, enum vh_err err,
				 enum vh_outcome outcome,
				 struct vh_slice message)
{
	const struct vh_err_info *info = vh_err_info(err);
	struct vh_buf body;
	char seconds[16];

	if (info->retry_after_s) {
		g_snprintf(seconds, sizeof(seconds), "%d", info->retry_after_s);
		vh_exchange_set_header(ex, "Retry-After", seconds);
	}
	vh_buf_init(&body);
	vh_json_append_error(&body, err, outcome, message);
	vh_buf_add_str(&body, "}");
	vh_exchange_respond_json(ex, info->status, vh_buf_slice(&body));
	vh_buf_finish(&body);
}

void vh_exchange_respond_error(struct vh_exchange *ex, enum vh_err err,
			       struct vh_slice message)
{
	vh_exchange_respond_outcome(ex, err, vh_err_info(err)->outcome,
				    message);
}

void vh_exchange_stream_begin(struct vh_exchange *ex, int status,
			      int64_t length)
{
	char text[32];

	prepare_response(ex, status);
	if (length >= 0) {
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, length);
		vh_exchange_set_header(ex, "Content-Length", text);
	}
	if (!ex->conn)
		return;
	vh_conn_set_state(ex->conn, VH_CONN_STREAMING);
	evhttp_send_reply_start(ex->req, status, NULL);
}

void vh_exchange_stream_write(struct vh_exchange *ex, struct evbuffer *data)
{
	if (ex->conn)
		evhttp_send_reply_chunk(ex->req, data);
	else
		evbuffer_drain(data, evbuffer_get_length(data));
}

void vh_exchange_stream_end(struct vh_exchange *ex)
{
	struct evhttp_request *req = ex->req;
	bool disconnected = !ex->conn;

	set_conn_writing(ex);
	free_exchange(ex);
	if (disconnected)
		evhttp_request_free(req);
	else
		evhttp_send_reply_end(req);
}

void vh_exchange_stream_abort(struct vh_exchange *ex)
{
	struct evhttp_request *req = ex->req;
	struct evhttp_connection *evcon = ex->conn ? ex->conn->evcon : NULL;

	ex->on_disconnect = NULL;
	if (evcon)
		evhttp_connection_free(evcon);
	else
		evhttp_request_free(req);
	free_exchange(ex);
}

size_t vh_exchange_unsent(const struct vh_exchange *ex)
{
	return ex->conn ? ex->conn->unsent_bytes : 0;
}
