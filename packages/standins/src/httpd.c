#include "httpd.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define BODY_MAX_BYTES (16 * 1024 * 1024)
#define HEADERS_MAX_BYTES 65536

static void free_request(struct vh_httpd_req *req)
{
	g_ptr_array_remove_fast(req->server->pending, req);
	vh_timer_finish(&req->delay);
	evhttp_clear_headers(&req->query);
	vh_buf_finish(&req->body);
	vh_buf_finish(&req->reply);
	g_free(req->path);
	g_free(req);
}

static void shutdown_connection(struct evhttp_request *ev)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(ev);
	struct bufferevent *bev;

	if (!conn)
		return;
	bev = evhttp_connection_get_bufferevent(conn);
	if (bev && bufferevent_getfd(bev) >= 0)
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static void send_reply(struct vh_httpd_req *req)
{
	struct evbuffer *out = evbuffer_new();

	if (req->drop_connection)
		shutdown_connection(req->ev);
	evbuffer_add(out, req->reply.data, req->reply.len);
	if (req->type)
		vh_httpd_add_header(req, "Content-Type", req->type);
	evhttp_send_reply(req->ev, req->status, NULL, out);
	evbuffer_free(out);
	free_request(req);
}

static void on_delay(void *ctx)
{
	send_reply(ctx);
}

static void on_request(struct evhttp_request *ev, void *ctx)
{
	struct vh_httpd *s = ctx;
	struct vh_httpd_req *req = g_new0(struct vh_httpd_req, 1);
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(ev);
	struct evbuffer *in = evhttp_request_get_input_buffer(ev);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;
	size_t len = evbuffer_get_length(in);

	req->server = s;
	req->ev = ev;
	req->path = g_strdup(path ? path : "/");
	TAILQ_INIT(&req->query);
	if (query)
		evhttp_parse_query_str(query, &req->query);
	if (len) {
		evbuffer_copyout(in, vh_buf_reserve(&req->body, len), len);
		req->body.len = len;
	}
	vh_timer_init(&req->delay, s->kernel, on_delay, req);
	g_ptr_array_add(s->pending, req);
	s->handle(s->ctx, req);
}

void vh_httpd_init(struct vh_httpd *s, struct vh_kernel *kernel,
		   void (*handle)(void *ctx, struct vh_httpd_req *req),
		   void *ctx)
{
	memset(s, 0, sizeof(*s));
	s->kernel = kernel;
	s->handle = handle;
	s->ctx = ctx;
}

bool vh_httpd_start(struct vh_httpd *s, uint16_t port, GError **err)
{
	struct evhttp_bound_socket *bound;
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);

	s->http = evhttp_new(s->kernel->base);
	evhttp_set_max_body_size(s->http, BODY_MAX_BYTES);
	evhttp_set_max_headers_size(s->http, HEADERS_MAX_BYTES);
	evhttp_set_gencb(s->http, on_request, s);
	bound = evhttp_bind_socket_with_handle(s->http, "127.0.0.1", port);
	if (!bound || getsockname(evhttp_bound_socket_get_fd(bound),
				  (struct sockaddr *)&addr, &len)) {
		g_set_error(err, VH_ERROR, VH_ERR_INTERNAL,
			    "cannot listen on 127.0.0.1 port %u", port);
		evhttp_free(s->http);
		s->http = NULL;
		return false;
	}
	s->port = ntohs(addr.sin_port);
	s->pending = g_ptr_array_new();
	return true;
}

void vh_httpd_stop(struct vh_httpd *s)
{
	if (!s->http)
		return;
	for (unsigned int i = s->pending->len; i-- > 0;) {
		struct vh_httpd_req *req = s->pending->pdata[i];

		if (req->on_cancel)
			req->on_cancel(req);
		vh_httpd_drop(req);
	}
	evhttp_free(s->http);
	s->http = NULL;
	g_ptr_array_free(s->pending, TRUE);
	s->pending = NULL;
}

bool vh_httpd_req_matches(const struct vh_httpd_req *req,
			  enum evhttp_cmd_type method, const char *path)
{
	return evhttp_request_get_command(req->ev) == method &&
	       !strcmp(req->path, path);
}

int64_t vh_httpd_query_int(const struct vh_httpd_req *req, const char *name,
			   int64_t default_value)
{
	const char *text = evhttp_find_header(&req->query, name);
	char *end;
	int64_t value;

	if (!text || !*text)
		return default_value;
	value = g_ascii_strtoll(text, &end, 10);
	return *end ? default_value : value;
}

void vh_httpd_add_header(struct vh_httpd_req *req, const char *name,
			 const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(req->ev), name,
			  value);
}

void vh_httpd_reply(struct vh_httpd_req *req, int status, const char *type,
		    struct vh_slice body)
{
	req->status = status;
	req->type = type;
	vh_buf_clear(&req->reply);
	vh_buf_add_slice(&req->reply, body);
	send_reply(req);
}

void vh_httpd_reply_after(struct vh_httpd_req *req, int64_t delay_ms,
			  int status, const char *type, struct vh_slice body)
{
	if (delay_ms <= 0) {
		vh_httpd_reply(req, status, type, body);
		return;
	}
	req->status = status;
	req->type = type;
	vh_buf_clear(&req->reply);
	vh_buf_add_slice(&req->reply, body);
	vh_timer_start(&req->delay, delay_ms);
}

void vh_httpd_reply_json(struct vh_httpd_req *req, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	vh_httpd_reply(req, status, "application/json",
		       vh_slice_str(text ? text : "null"));
	free(text);
}

void vh_httpd_reply_error(struct vh_httpd_req *req, int status,
			  const char *kind, const char *message)
{
	vh_httpd_reply_json(req, status,
			    json_pack("{s:s,s:s}", "kind", kind, "message",
				      message));
}

void vh_httpd_drop(struct vh_httpd_req *req)
{
	req->drop_connection = true;
	vh_httpd_reply(req, HTTP_INTERNAL, NULL, vh_slice(NULL, 0));
}

void vh_httpd_drop_after(struct vh_httpd_req *req, int64_t delay_ms)
{
	req->drop_connection = true;
	vh_httpd_reply_after(req, delay_ms, HTTP_INTERNAL, NULL,
			     vh_slice(NULL, 0));
}

json_t *vh_httpd_parse_json(struct vh_httpd_req *req)
{
	json_error_t e;
	json_t *json = json_loadb(req->body.data ? req->body.data : "",
				  req->body.len, 0, &e);

	if (json_is_object(json))
		return json;
	if (json)
		g_strlcpy(e.text, "not a JSON object", sizeof(e.text));
	json_decref(json);
	vh_httpd_reply_error(req, HTTP_BADREQUEST, "bad_request", e.text);
	return NULL;
}
