#include "vh/http_pool.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#define HEADER_BYTES_ESTIMATE 150

struct exchange {
	struct vh_http_pool *pool;
	struct slot *slot;
	struct exchange *next;
	enum evhttp_cmd_type method;
	char *path;
	const char *content_type;
	struct vh_buf body;
	int64_t timeout_ms;
	char *header;
	char *header_value;
	void (*done)(void *ctx, const struct vh_http_reply *reply);
	void *ctx;
};

struct slot {
	struct evhttp_connection *conn;
	struct exchange *current;
};

struct vh_http_pool {
	struct vh_kernel *kernel;
	char *address;
	uint16_t port;
	size_t max_reply_bytes;
	struct slot *slots;
	size_t n_slots;
	struct exchange *head;
	struct exchange **tail;
	uint64_t bytes;
	bool in_callback;
	bool doomed;
};

static void exchange_free(struct exchange *x)
{
	vh_buf_finish(&x->body);
	g_free(x->path);
	g_free(x->header);
	g_free(x->header_value);
	g_free(x);
}

struct vh_http_pool *vh_http_pool_new(struct vh_kernel *kernel,
				      struct vh_slice address, uint16_t port,
				      size_t max_conns, size_t max_reply_bytes)
{
	struct vh_http_pool *pool = g_new0(struct vh_http_pool, 1);

	pool->kernel = kernel;
	pool->address = vh_slice_dup(address);
	pool->port = port;
	pool->max_reply_bytes = max_reply_bytes;
	pool->slots = g_new0(struct slot, max_conns);
	pool->n_slots = max_conns;
	pool->tail = &pool->head;
	return pool;
}

static void pool_release(void *ctx)
{
	struct vh_http_pool *pool = ctx;

	for (size_t i = 0; i < pool->n_slots; i++) {
		struct slot *s = &pool->slots[i];

		if (s->conn)
			evhttp_connection_free(s->conn);
		if (s->current)
			exchange_free(s->current);
	}
	while (pool->head) {
		struct exchange *x = pool->head;

		pool->head = x->next;
		exchange_free(x);
	}
	g_free(pool->slots);
	g_free(pool->address);
	g_free(pool);
}

void vh_http_pool_free(struct vh_http_pool *pool)
{
	if (!pool)
		return;
	if (!pool->in_callback) {
		pool_release(pool);
		return;
	}
	pool->doomed = true;
	vh_kernel_defer(pool->kernel, pool_release, pool);
}

static void pump(struct vh_http_pool *pool);

static void fill_reply(struct evhttp_request *req, struct vh_http_reply *reply)
{
	struct evbuffer *in;

	memset(reply, 0, sizeof(*reply));
	if (!req)
		return;
	reply->status = evhttp_request_get_response_code(req);
	if (!reply->status)
		return;
	in = evhttp_request_get_input_buffer(req);
	reply->body.len = evbuffer_get_length(in);
	if (reply->body.len)
		reply->body.data = (const char *)evbuffer_pullup(in, -1);
	reply->headers = evhttp_request_get_input_headers(req);
}

static void exchange_done(struct evhttp_request *req, void *ctx)
{
	struct exchange *x = ctx;
	struct vh_http_pool *pool = x->pool;
	struct vh_http_reply reply;

	fill_reply(req, &reply);
	pool->bytes += reply.body.len + HEADER_BYTES_ESTIMATE;
	x->slot->current = NULL;
	pool->in_callback = true;
	x->done(x->ctx, &reply);
	pool->in_callback = false;
	exchange_free(x);
	if (!pool->doomed)
		pump(pool);
}

static struct evhttp_connection *slot_connection(struct vh_http_pool *pool,
						 struct slot *slot)
{
	if (slot->conn)
		return slot->conn;
	slot->conn = evhttp_connection_base_new(pool->kernel->base, NULL,
						pool->address, pool->port);
	evhttp_connection_set_max_body_size(slot->conn,
					    (ev_ssize_t)pool->max_reply_bytes);
	evhttp_connection_set_retries(slot->conn, 0);
	return slot->conn;
}

/* libevent could not even begin to connect, and calls nobody. */
static void exchange_failed(void *ctx)
{
	exchange_done(NULL, ctx);
}

static void begin(struct vh_http_pool *pool, struct slot *slot,
		  struct exchange *x)
{
	struct evhttp_connection *conn = slot_connection(pool, slot);
	struct evhttp_request *req = evhttp_request_new(exchange_done, x);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct timeval tv = { (time_t)(x->timeout_ms / VH_MS_PER_S),
			      (x->timeout_ms % VH_MS_PER_S) * 1000 };

	x->slot = slot;
	slot->current = x;
	evhttp_add_header(headers, "Host", pool->address);
	if (x->content_type)
		evhttp_add_header(headers, "Content-Type", x->content_type);
	if (x->header)
		evhttp_add_header(headers, x->header, x->header_value);
	if (x->body.len)
		evbuffer_add(evhttp_request_get_output_buffer(req),
			     x->body.data, x->body.len);
	evhttp_connection_set_timeout_tv(conn, &tv);
	pool->bytes += x->body.len + HEADER_BYTES_ESTIMATE;
	if (evhttp_make_request(conn, req, x->method, x->path))
		vh_kernel_defer(pool->kernel, exchange_failed, x);
}

static void pump(struct vh_http_pool *pool)
{
	for (size_t i = 0; i < pool->n_slots && pool->head; i++) {
		struct exchange *x = pool->head;

		if (pool->slots[i].current)
			continue;
		pool->head = x->next;
		if (!pool->head)
			pool->tail = &pool->head;
		begin(pool, &pool->slots[i], x);
	}
}

void vh_http_pool_send(
	struct vh_http_pool *pool, const struct vh_http_request *request,
	void (*done)(void *ctx, const struct vh_http_reply *reply), void *ctx)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->pool = pool;
	x->method = request->method;
	x->path = g_strdup(request->path);
	x->content_type = request->content_type;
	vh_buf_add_slice(&x->body, request->body);
	x->timeout_ms = request->timeout_ms;
	x->header = g_strdup(request->header);
	x->header_value = g_strdup(request->header_value);
	x->done = done;
	x->ctx = ctx;
	*pool->tail = x;
	pool->tail = &x->next;
	pump(pool);
}

uint64_t vh_http_pool_bytes(const struct vh_http_pool *pool)
{
	return pool->bytes;
}
