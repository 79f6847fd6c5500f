#include "vh/http_pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#define HEADER_BYTES_ESTIMATE 150 /* for each request and reply */
/* Bounds how long a connection whose peer is silently gone is kept. */
#define IDLE_TIMEOUT_S 10
/* A node may have 4,100 descriptors; an owner has a connection for each worker, and
 * callers need theirs. */
#define KEPT_CONNECTIONS_MAX 3000

/* Of all pools, as descriptors are the process's. */
static size_t n_connections;
static size_t kept_connections_max = KEPT_CONNECTIONS_MAX;

/* A copy of struct vh_http_opening. */
struct opening {
	char *path;
	struct vh_buf body;
	int64_t timeout_ms;
	uint64_t session;
	bool answers;
};

/* A request that is queued or in progress. */
struct exchange {
	struct vh_http_pool *pool;
	struct slot *slot;
	struct exchange *next;
	enum evhttp_cmd_type method;
	char *path;
	const char *content_type;
	struct vh_buf body;
	int64_t timeout_ms;
	int64_t queued_at_ms;
	int64_t left_at_ms;	 /* when it was last sent, opening or itself */
	int64_t queued_until_ms; /* not sent after this time */
	bool sending;		 /* evhttp_make_request() has not returned */
	bool failed;		 /* ends by exchange_failed() */
	char *header;
	char *header_value;
	struct opening *opening; /* NULL: any session may carry it out */
	bool in_opening;	 /* the opening request is in progress */
	void (*done)(void *ctx, const struct vh_http_reply *reply);
	void *ctx;
};

/* One connection of the pool, opened on first use. */
struct slot {
	struct vh_http_pool *pool;
	struct evhttp_connection *conn;
	struct exchange *current; /* NULL: idle */
	bool bound;		  /* a reply on it has named @session */
	uint64_t session;
};

struct vh_http_pool {
	struct vh_kernel *kernel;
	char *address;
	uint16_t port;
	size_t max_reply_bytes;
	struct slot *slots;
	size_t n_slots;
	bool (*read_session)(const struct vh_http_reply *reply,
			     uint64_t *session); /* NULL: no sessions */
	struct exchange *head;			 /* queued exchanges */
	struct exchange **tail;
	GQueue expired; /* exchanges whose end is deferred */
	uint64_t bytes;
	bool in_callback;
	bool free_pending;
};

static struct opening *opening_new(const struct vh_http_opening *from)
{
	struct opening *o;

	if (!from)
		return NULL;
	o = g_new0(struct opening, 1);
	o->path = g_strdup(from->path);
	vh_buf_add_slice(&o->body, from->body);
	o->timeout_ms = from->timeout_ms;
	o->session = from->session;
	o->answers = from->answers;
	return o;
}

static void opening_free(struct opening *o)
{
	if (!o)
		return;
	vh_buf_finish(&o->body);
	g_free(o->path);
	g_free(o);
}

static void exchange_free(struct exchange *ex)
{
	vh_buf_finish(&ex->body);
	opening_free(ex->opening);
	g_free(ex->path);
	g_free(ex->header);
	g_free(ex->header_value);
	g_free(ex);
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
	for (size_t i = 0; i < max_conns; i++)
		pool->slots[i].pool = pool;
	pool->tail = &pool->head;
	return pool;
}

void vh_http_pool_set_sessions(struct vh_http_pool *pool,
			       bool (*read)(const struct vh_http_reply *reply,
					    uint64_t *session))
{
	pool->read_session = read;
}

static void pool_destroy(void *ctx)
{
	struct vh_http_pool *pool = ctx;

	for (size_t i = 0; i < pool->n_slots; i++) {
		struct slot *s = &pool->slots[i];

		if (s->conn) {
			evhttp_connection_set_closecb(s->conn, NULL, NULL);
			evhttp_connection_free(s->conn);
			n_connections--;
		}
		/* exchange_failed() frees it. */
		if (s->current && s->current->failed)
			s->current->pool = NULL;
		else if (s->current)
			exchange_free(s->current);
	}
	while (pool->head) {
		struct exchange *ex = pool->head;

		pool->head = ex->next;
		exchange_free(ex);
	}
	/* exchange_expired() frees them. */
	for (GList *l = pool->expired.head; l; l = l->next)
		((struct exchange *)l->data)->pool = NULL;
	g_queue_clear(&pool->expired);
	g_free(pool->slots);
	g_free(pool->address);
	g_free(pool);
}

void vh_http_pool_free(struct vh_http_pool *pool)
{
	if (!pool)
		return;
	if (!pool->in_callback) {
		pool_destroy(pool);
		return;
	}
	pool->free_pending = true;
	vh_kernel_defer(pool->kernel, pool_destroy, pool);
}

static void start_queued(struct vh_http_pool *pool);

static void read_reply(struct evhttp_request *req, struct vh_http_reply *reply)
{
	struct evbuffer *body;

	memset(reply, 0, sizeof(*reply));
	if (!req)
		return;
	reply->status = evhttp_request_get_response_code(req);
	if (!reply->status)
		return;
	body = evhttp_request_get_input_buffer(req);
	reply->body.len = evbuffer_get_length(body);
	if (reply->body.len)
		reply->body.data = (const char *)evbuffer_pullup(body, -1);
	reply->headers = evhttp_request_get_input_headers(req);
}

static void exchange_failed(void *ctx);

/* Ends an exchange that failed before vh_http_pool_send() returned. */
static void defer_failure(struct exchange *ex)
{
	if (ex->failed)
		return;
	ex->failed = true;
	vh_kernel_defer(ex->pool->kernel, exchange_failed, ex);
}

/* libevent opens a closed connection anew, unseen, with the next request. */
static bool slot_connected(const struct slot *slot)
{
	struct bufferevent *bev;

	if (!slot->conn)
		return false;
	bev = evhttp_connection_get_bufferevent(slot->conn);
	return bufferevent_getfd(bev) >= 0;
}

/* Bytes that arrived before a request was sent are no part of its reply. */
static bool has_unread_bytes(const struct slot *slot)
{
	struct bufferevent *bev;

	if (!slot->conn)
		return false;
	bev = evhttp_connection_get_bufferevent(slot->conn);
	return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

static bool slot_bound_to(const struct slot *slot, uint64_t session)
{
	return slot->bound && slot->session == session && slot_connected(slot);
}

void vh_http_pool_limit_kept(size_t max)
{
	kept_connections_max = max;
}

/* Otherwise libevent closes an idle connection after the time-out of its last
 * request, as it does with those beyond the limit. */
static void set_idle_timeout(const struct slot *slot)
{
	struct timeval tv = { IDLE_TIMEOUT_S, 0 };

	if (n_connections <= kept_connections_max && slot_connected(slot))
		bufferevent_set_timeouts(
			evhttp_connection_get_bufferevent(slot->conn), &tv,
			NULL);
}

/* A connection stays with the session that the first reply on it names. */
static void bind_slot(const struct vh_http_pool *pool, struct slot *slot,
		      const struct vh_http_reply *reply)
{
	if (slot->bound || !pool->read_session || !slot_connected(slot))
		return;
	slot->bound = pool->read_session(reply, &slot->session);
}

static void free_connection(void *ctx)
{
	evhttp_connection_free(ctx);
}

/* Deferred, since it may be called from a callback of the connection. */
static void retire_connection(struct vh_http_pool *pool, struct slot *slot)
{
	evhttp_connection_set_closecb(slot->conn, NULL, NULL);
	vh_kernel_defer(pool->kernel, free_connection, slot->conn);
	slot->conn = NULL;
	slot->bound = false;
	n_connections--;
}

/* It is not opened again: libevent 2.1 keeps marks of its former state, and ends
 * the process if the next connect fails with some errors. */
static void on_connection_closed(struct evhttp_connection *conn, void *ctx)
{
	struct slot *slot = ctx;

	(void)conn;
	retire_connection(slot->pool, slot);
}

static struct evhttp_connection *slot_connection(struct vh_http_pool *pool,
						 struct slot *slot)
{
	if (slot->conn)
		return slot->conn;
	slot->conn = evhttp_connection_base_new(pool->kernel->base, NULL,
						pool->address, pool->port);
	n_connections++;
	evhttp_connection_set_max_body_size(slot->conn,
					    (ev_ssize_t)pool->max_reply_bytes);
	evhttp_connection_set_retries(slot->conn, 0);
	evhttp_connection_set_closecb(slot->conn, on_connection_closed, slot);
	return slot->conn;
}

static void exchange_done(struct evhttp_request *req, void *ctx);

static void exchange_failed(void *ctx)
{
	struct exchange *ex = ctx;

	if (ex->pool)
		exchange_done(NULL, ex);
	else
		exchange_free(ex);
}

/* Sends the opening request or the request itself, see in_opening. */
static void send_exchange(struct vh_http_pool *pool, struct exchange *ex)
{
	struct evhttp_connection *conn = slot_connection(pool, ex->slot);
	struct evhttp_request *req = evhttp_request_new(exchange_done, ex);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const struct opening *o = ex->in_opening ? ex->opening : NULL;
	const struct vh_buf *body = o ? &o->body : &ex->body;
	int64_t timeout_ms = o ? o->timeout_ms : ex->timeout_ms;
	struct timeval tv = { (time_t)(timeout_ms / VH_MS_PER_S),
			      (timeout_ms % VH_MS_PER_S) * 1000 };

	evhttp_add_header(headers, "Host", pool->address);
	if (ex->content_type)
		evhttp_add_header(headers, "Content-Type", ex->content_type);
	if (ex->header)
		evhttp_add_header(headers, ex->header, ex->header_value);
	if (body->len)
		evbuffer_add(evhttp_request_get_output_buffer(req), body->data,
			     body->len);
	evhttp_connection_set_timeout_tv(conn, &tv);
	pool->bytes += body->len + HEADER_BYTES_ESTIMATE;
	/* If connect() fails at once, libevent calls exchange_done() from within
	 * this call. It reports other errors to no callback. */
	ex->left_at_ms = vh_kernel_now_ms(pool->kernel);
	ex->sending = true;
	if (evhttp_make_request(conn, req, o ? EVHTTP_REQ_POST : ex->method,
				o ? o->path : ex->path))
		defer_failure(ex);
	ex->sending = false;
}

static void start_exchange(struct vh_http_pool *pool, struct slot *slot,
			   struct exchange *ex)
{
	ex->slot = slot;
	slot->current = ex;
	if (has_unread_bytes(slot))
		retire_connection(pool, slot);
	ex->in_opening =
		ex->opening && !slot_bound_to(slot, ex->opening->session);
	if (ex->in_opening && slot->bound)
		retire_connection(pool, slot);
	send_exchange(pool, ex);
}

/* Whether the reply to the opening request lets the request itself be sent. */
static bool opened(const struct vh_http_pool *pool, const struct exchange *ex)
{
	return !ex->opening->answers && !has_unread_bytes(ex->slot) &&
	       slot_bound_to(ex->slot, ex->opening->session) &&
	       ex->queued_until_ms >= vh_kernel_now_ms(pool->kernel);
}

static void exchange_done(struct evhttp_request *req, void *ctx)
{
	struct exchange *ex = ctx;
	struct vh_http_pool *pool = ex->pool;
	struct vh_http_reply reply;

	if (ex->sending) {
		defer_failure(ex);
		return;
	}
	read_reply(req, &reply);
	pool->bytes += reply.body.len + HEADER_BYTES_ESTIMATE;
	bind_slot(pool, ex->slot, &reply);
	if (ex->in_opening && opened(pool, ex)) {
		ex->in_opening = false;
		send_exchange(pool, ex);
		return;
	}
	reply.not_sent = ex->in_opening && !ex->opening->answers;
	reply.waited_ms = ex->left_at_ms - ex->queued_at_ms;
	ex->slot->current = NULL;
	set_idle_timeout(ex->slot);
	pool->in_callback = true;
	ex->done(ex->ctx, &reply);
	pool->in_callback = false;
	exchange_free(ex);
	if (!pool->free_pending)
		start_queued(pool);
}

static struct exchange *dequeue(struct vh_http_pool *pool)
{
	struct exchange *ex = pool->head;

	if (!ex)
		return NULL;
	pool->head = ex->next;
	if (!pool->head)
		pool->tail = &pool->head;
	return ex;
}

/* The deferred end of an exchange that was never started. */
static void exchange_expired(void *ctx)
{
	struct vh_http_reply reply = { .not_sent = true };
	struct exchange *ex = ctx;

	if (ex->pool) {
		reply.waited_ms =
			vh_kernel_now_ms(ex->pool->kernel) - ex->queued_at_ms;
		g_queue_remove(&ex->pool->expired, ex);
		ex->done(ex->ctx, &reply);
	}
	exchange_free(ex);
}

static void expire_exchange(struct vh_http_pool *pool, struct exchange *ex)
{
	g_queue_push_tail(&pool->expired, ex);
	vh_kernel_defer(pool->kernel, exchange_expired, ex);
}

/* The idle connection that suits an exchange best, NULL: all are busy. */
static struct slot *idle_slot(const struct vh_http_pool *pool,
			      const struct exchange *ex)
{
	struct slot *idle = NULL;

	for (size_t i = 0; i < pool->n_slots; i++) {
		struct slot *s = &pool->slots[i];

		if (s->current)
			continue;
		if (ex->opening && slot_bound_to(s, ex->opening->session))
			return s;
		/* One that belongs to another session would be closed. */
		if (!idle || (idle->bound && !s->bound))
			idle = s;
	}
	return idle;
}

static void start_queued(struct vh_http_pool *pool)
{
	struct slot *slot;

	while (pool->head && (slot = idle_slot(pool, pool->head))) {
		struct exchange *ex = dequeue(pool);

		if (ex->queued_until_ms < vh_kernel_now_ms(pool->kernel))
			expire_exchange(pool, ex);
		else
			start_exchange(pool, slot, ex);
	}
}

void vh_http_pool_send(
	struct vh_http_pool *pool, const struct vh_http_request *request,
	void (*done)(void *ctx, const struct vh_http_reply *reply), void *ctx)
{
	struct exchange *ex = g_new0(struct exchange, 1);

	ex->pool = pool;
	ex->method = request->method;
	ex->path = g_strdup(request->path);
	ex->content_type = request->content_type;
	vh_buf_add_slice(&ex->body, request->body);
	ex->timeout_ms = request->timeout_ms;
	ex->queued_at_ms = vh_kernel_now_ms(pool->kernel);
	ex->queued_until_ms = request->max_queue_ms
				      ? ex->queued_at_ms + request->max_queue_ms
				      : INT64_MAX;
	ex->header = g_strdup(request->header);
	ex->header_value = g_strdup(request->header_value);
	ex->opening = opening_new(request->opening);
	ex->done = done;
	ex->ctx = ctx;
	*pool->tail = ex;
	pool->tail = &ex->next;
	start_queued(pool);
}

uint64_t vh_http_pool_bytes(const struct vh_http_pool *pool)
{
	return pool->bytes;
}
