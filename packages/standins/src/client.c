#include "client.h"

#include <event2/buffer.h>
#include <glib.h>

/* One request in flight. */
struct call {
	struct vh_client *client;
	struct evhttp_connection *conn;
	uint16_t port;
	bool has_error;
	void (*done)(void *ctx, const struct vh_client_reply *r);
	void *ctx;
};

static void free_conn(void *ptr)
{
	evhttp_connection_free(ptr);
}

static void free_conn_queue(void *ptr)
{
	g_queue_free_full(ptr, free_conn);
}

/* Runs from the loop: libevent does not allow freeing a connection in one of
 * its own callbacks. */
static void on_free_timer(void *ctx)
{
	struct vh_client *c = ctx;

	g_ptr_array_set_size(c->closed_conns, 0);
}

void vh_client_init(struct vh_client *c, struct vh_kernel *kernel)
{
	c->kernel = kernel;
	c->calls = g_ptr_array_new();
	c->idle_conns =
		g_hash_table_new_full(NULL, NULL, NULL, free_conn_queue);
	c->closed_conns = g_ptr_array_new_with_free_func(free_conn);
	vh_timer_init(&c->free_timer, kernel, on_free_timer, c);
}

void vh_client_finish(struct vh_client *c)
{
	for (unsigned int i = 0; i < c->calls->len; i++) {
		struct call *call = c->calls->pdata[i];

		call->done = NULL;
		evhttp_connection_free(call->conn);
		g_free(call);
	}
	g_ptr_array_free(c->calls, TRUE);
	vh_timer_finish(&c->free_timer);
	g_ptr_array_free(c->closed_conns, TRUE);
	g_hash_table_destroy(c->idle_conns);
}

static GQueue *idle_conns_to(struct vh_client *c, uint16_t port)
{
	GQueue *q = g_hash_table_lookup(c->idle_conns, GUINT_TO_POINTER(port));

	if (!q) {
		q = g_queue_new();
		g_hash_table_insert(c->idle_conns, GUINT_TO_POINTER(port), q);
	}
	return q;
}

static void release_call(struct call *call, bool reusable)
{
	struct vh_client *c = call->client;

	g_ptr_array_remove_fast(c->calls, call);
	if (reusable) {
		g_queue_push_head(idle_conns_to(c, call->port), call->conn);
	} else {
		g_ptr_array_add(c->closed_conns, call->conn);
		vh_timer_start(&c->free_timer, 0);
	}
	g_free(call);
}

static void on_done(struct evhttp_request *ev, void *ctx)
{
	struct call *call = ctx;
	void (*done)(void *, const struct vh_client_reply *) = call->done;
	void *done_ctx = call->ctx;
	struct vh_client_reply r = { 0 };

	if (!done)
		return;
	if (ev && !call->has_error)
		r.status = evhttp_request_get_response_code(ev);
	if (r.status) {
		struct evbuffer *in = evhttp_request_get_input_buffer(ev);
		size_t len = evbuffer_get_length(in);

		r.headers = evhttp_request_get_input_headers(ev);
		r.body = vh_slice((char *)evbuffer_pullup(in, -1), len);
	}
	/* libevent calls the error callback only on a connection that was
	 * established. */
	r.not_connected = !r.status && !call->has_error;
	release_call(call, r.status != 0);
	done(done_ctx, &r);
}

static void on_error(enum evhttp_request_error error, void *ctx)
{
	struct call *call = ctx;

	(void)error;
	call->has_error = true;
}

static struct evhttp_connection *acquire_connection(struct vh_client *c,
						    uint16_t port)
{
	struct evhttp_connection *conn =
		g_queue_pop_head(idle_conns_to(c, port));

	if (!conn)
		conn = evhttp_connection_base_new(c->kernel->base, NULL,
						  "127.0.0.1", port);
	return conn;
}

static void add_headers(struct evhttp_request *ev, const char *const *headers)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(ev);

	evhttp_add_header(out, "Host", "127.0.0.1");
	for (; headers && headers[0]; headers += 2)
		evhttp_add_header(out, headers[0], headers[1]);
}

void vh_client_send(struct vh_client *c, const struct vh_client_request *req,
		    void (*done)(void *ctx, const struct vh_client_reply *r),
		    void *ctx)
{
	struct call *call = g_new0(struct call, 1);
	struct timeval tv = { .tv_sec = req->timeout_ms / VH_MS_PER_S,
			      .tv_usec = req->timeout_ms % VH_MS_PER_S * 1000 };
	struct evhttp_request *ev = evhttp_request_new(on_done, call);

	call->client = c;
	call->port = req->port;
	call->done = done;
	call->ctx = ctx;
	call->conn = acquire_connection(c, req->port);
	g_ptr_array_add(c->calls, call);
	evhttp_connection_set_timeout_tv(call->conn, &tv);
	evhttp_request_set_error_cb(ev, on_error);
	add_headers(ev, req->headers);
	if (req->body.len)
		evbuffer_add(evhttp_request_get_output_buffer(ev),
			     req->body.data, req->body.len);
	if (evhttp_make_request(call->conn, ev, req->method, req->path) < 0) {
		evhttp_request_free(ev);
		on_done(NULL, call);
	}
}
