#include "peer_server.h"

#include <arpa/inet.h>
#include <string.h>

#define PING_INTERVAL_MS 250 /* heartbeat interval of an owner */
#define PEER_ALIVE_MS 1200   /* a node heard within this is alive */
/* A node that reached the store within this time counts as reaching it. */
#define STORE_REACHED_MAX_AGE_MS 1500
#define IDLE_TIMEOUT_MS 5000 /* closes connections without frames */
/* A node that has answered within this time is known. It must exceed the time
 * for which a node relies on that, CONTACT_MAX_AGE_MS in election.c, by the
 * longest time that a node may be frozen before it reads a heartbeat. */
#define PEER_KNOWN_MS 60000
/* Together less than the silence after which a node closes its connection, and
 * may claim the cell. */
#define STEADY_PING_INTERVAL_MS 400
#define STEADY_ANSWER_MS 450
/* The store may carry out a claim seconds later. */
#define CLAIM_SETTLED_MS 10000

/**
 * struct peer_node - a node that may claim the cell
 * @incarnation: of its process
 * @answered_ms: when the newest heartbeat that it has answered was sent; or when
 *		 it connected
 */
struct peer_node {
	uint64_t incarnation;
	int64_t answered_ms;
};

static void conn_free(struct peer_conn *c)
{
	if (c->ready && c->peer_server->epoch)
		c->peer_server->ops.left(c->peer_server->ctx, c);
	bufferevent_free(c->bev);
	g_free(c->name);
	g_free(c);
}

static void conn_drop(struct peer_conn *c)
{
	struct peer_conn **p = &c->peer_server->conns;

	while (*p && *p != c)
		p = &(*p)->next;
	if (*p)
		*p = c->next;
	conn_free(c);
}

static void send_ping(struct peer_conn *c)
{
	struct wire_msg msg;

	wire_begin(&msg, WIRE_PING, 4);
	msgpack_pack_uint64(&msg.pk, c->peer_server->epoch);
	msgpack_pack_uint64(&msg.pk, c->peer_server->incarnation);
	msgpack_pack_uint64(&msg.pk, c->rank);
	msgpack_pack_uint64(&msg.pk,
			    (uint64_t)vh_kernel_now_ms(c->peer_server->kernel));
	wire_send(&msg, c->bev);
}

static void note_connected(struct peer_server *s, const char *name,
			   uint64_t incarnation)
{
	struct peer_node *node = g_hash_table_lookup(s->nodes, name);

	if (!node) {
		node = g_new0(struct peer_node, 1);
		g_hash_table_insert(s->nodes, g_strdup(name), node);
	}
	/* Another process of this name has ended, as both use one port. */
	if (node->incarnation != incarnation)
		node->answered_ms = vh_kernel_now_ms(s->kernel);
	node->incarnation = incarnation;
}

/* A reply may be late, so the time of the heartbeat counts. Nodes of earlier
 * versions do not tell it. */
static void note_answered(struct peer_conn *c, int64_t ping_ms)
{
	struct peer_node *node;

	if (!c->ready)
		return;
	/* Always so if the node does not tell the time. */
	if (c->heard_ms - ping_ms > STEADY_ANSWER_MS)
		c->steady_since_ms = c->heard_ms;
	if (ping_ms <= 0 || ping_ms > c->heard_ms)
		ping_ms = c->heard_ms;
	else
		c->answered_ms = MAX(c->answered_ms, ping_ms);
	node = g_hash_table_lookup(c->peer_server->nodes, c->name);
	if (node)
		node->answered_ms = MAX(node->answered_ms, ping_ms);
}

/*
 * The node has closed its connection. If it had just answered, it has not lost the
 * owner: its process has ended, or it has read of another owner, which is missed
 * itself. The node need not be missed then, unless the store may still carry out an
 * earlier claim of it.
 */
static void note_ended(struct peer_conn *c)
{
	struct peer_server *s = c->peer_server;
	int64_t now = vh_kernel_now_ms(s->kernel);
	const struct peer_node *node;

	if (!c->ready || now - c->steady_since_ms < CLAIM_SETTLED_MS)
		return;
	node = g_hash_table_lookup(s->nodes, c->name);
	if (node && node->incarnation == c->incarnation &&
	    now - node->answered_ms <
		    STEADY_PING_INTERVAL_MS + STEADY_ANSWER_MS)
		g_hash_table_remove(s->nodes, c->name);
}

static void on_status_request(struct peer_conn *c, const struct vh_frame *f)
{
	struct peer_server *s = c->peer_server;
	enum eng_job_status job_status = ENG_UNKNOWN + 1;
	struct wire_msg msg;

	if (s->epoch)
		job_status = s->ops.job_status(s->ctx, wire_u64(f, 1));
	wire_begin(&msg, WIRE_STATUS_REPLY, 2);
	msgpack_pack_uint64(&msg.pk, wire_u64(f, 0));
	msgpack_pack_int(&msg.pk, (int)job_status);
	wire_send(&msg, c->bev);
}

static void on_count_request(struct peer_conn *c, const struct vh_frame *f)
{
	struct peer_server *s = c->peer_server;
	struct wire_msg msg;
	size_t jobs = 0;
	bool known = false;

	if (s->epoch)
		known = s->ops.pending_jobs(s->ctx, wire_bytes(f, 1), &jobs);
	wire_begin(&msg, WIRE_COUNT_REPLY, 3);
	msgpack_pack_uint64(&msg.pk, wire_u64(f, 0));
	msgpack_pack_int(&msg.pk, known);
	msgpack_pack_uint64(&msg.pk, jobs);
	wire_send(&msg, c->bev);
}

static void on_hello(struct peer_conn *c, const struct vh_frame *f)
{
	struct peer_server *s = c->peer_server;

	if (c->ready)
		return;
	c->name = vh_slice_dup(wire_bytes(f, 0));
	c->cpu_share_milli = wire_u64(f, 2);
	c->store_latency_ms = wire_u64(f, 3);
	c->wants_load = wire_u64(f, 4);
	c->ready = true;
	c->connected_since_ms = vh_kernel_now_ms(s->kernel);
	c->steady_since_ms = c->connected_since_ms;
	c->incarnation = wire_u64(f, 1);
	note_connected(s, c->name, c->incarnation);
	send_ping(c);
	if (s->epoch)
		s->ops.joined(s->ctx, c);
}

static bool on_frame(void *ctx, const struct vh_frame *f)
{
	struct peer_conn *c = ctx;
	struct peer_server *s = c->peer_server;

	c->heard_ms = vh_kernel_now_ms(s->kernel);
	switch ((enum wire_type)f->type) {
	case WIRE_HELLO:
		on_hello(c, f);
		return true;
	case WIRE_PONG:
		c->store_age_ms = (int64_t)wire_u64(f, 1);
		note_answered(c, (int64_t)wire_u64(f, 2));
		return true;
	case WIRE_STATUS_REQUEST:
		on_status_request(c, f);
		return true;
	case WIRE_COUNT_REQUEST:
		on_count_request(c, f);
		return true;
	case WIRE_SUBMIT_REQUEST:
		if (s->epoch)
			s->ops.submit(s->ctx, c, f);
		return true;
	case WIRE_STORE_REACHED:
		if (s->epoch && wire_u64(f, 0) == s->epoch)
			s->ops.store_reached(s->ctx);
		return true;
	case WIRE_ADVICE_REPLY:
		if (s->epoch)
			s->ops.advice_reply(s->ctx, c, f);
		return true;
	default:
		return false;
	}
}

static void on_input(struct bufferevent *bev, void *ctx)
{
	if (!wire_read(bev, on_frame, ctx))
		conn_drop(ctx);
}

static void on_event(struct bufferevent *bev, short events, void *ctx)
{
	(void)bev;
	if (events & BEV_EVENT_EOF)
		note_ended(ctx);
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		conn_drop(ctx);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx)
{
	struct peer_server *s = ctx;
	struct peer_conn *c = g_new0(struct peer_conn, 1);

	(void)listener;
	(void)from;
	(void)len;
	c->peer_server = s;
	c->id = ++s->n_accepted;
	c->balancer_node = -1;
	c->store_age_ms = INT64_MAX;
	c->heard_ms = vh_kernel_now_ms(s->kernel);
	c->bev = bufferevent_socket_new(s->kernel->base, fd,
					BEV_OPT_CLOSE_ON_FREE);
	c->next = s->conns;
	s->conns = c;
	wire_set_socket_options(c->bev);
	bufferevent_setcb(c->bev, on_input, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Orders by CPU share, the largest first, then by store latency, the smallest
 * first, then by name. */
static bool precedes(const struct peer_conn *a, const struct peer_conn *b)
{
	if (a->cpu_share_milli != b->cpu_share_milli)
		return a->cpu_share_milli > b->cpu_share_milli;
	if (a->store_latency_ms != b->store_latency_ms)
		return a->store_latency_ms < b->store_latency_ms;
	return strcmp(a->name, b->name) < 0;
}

static void rank_conns(struct peer_server *s)
{
	for (struct peer_conn *c = s->conns; c; c = c->next) {
		c->rank = 0;
		for (struct peer_conn *other = s->conns; c->ready && other;
		     other = other->next)
			c->rank += other->ready && other != c &&
				   precedes(other, c);
	}
}

static void forget_silent_nodes(struct peer_server *s, int64_t now_ms)
{
	GHashTableIter i;
	struct peer_node *node;

	g_hash_table_iter_init(&i, s->nodes);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&node)) {
		if (now_ms - node->answered_ms > PEER_KNOWN_MS)
			g_hash_table_iter_remove(&i);
	}
}

/* Heartbeats that are late on this side may have made nodes claim the cell. */
static void note_pinged(struct peer_server *s, int64_t now_ms)
{
	if (now_ms - s->pinged_ms > STEADY_PING_INTERVAL_MS)
		for (struct peer_conn *c = s->conns; c; c = c->next)
			c->steady_since_ms = now_ms;
	s->pinged_ms = now_ms;
}

static void on_ping_timer(void *ctx)
{
	struct peer_server *s = ctx;
	int64_t now = vh_kernel_now_ms(s->kernel);
	struct peer_conn *next;

	note_pinged(s, now);
	if (s->epoch)
		rank_conns(s);
	for (struct peer_conn *c = s->conns; c; c = next) {
		next = c->next;
		if (now - c->heard_ms > IDLE_TIMEOUT_MS)
			conn_drop(c);
		else if (c->ready && s->epoch)
			send_ping(c);
	}
	forget_silent_nodes(s, now);
	vh_timer_start(&s->ping_timer, PING_INTERVAL_MS);
}

bool peer_server_start(struct peer_server *s, struct vh_kernel *kernel,
		       struct vh_slice address, uint64_t incarnation,
		       GError **err)
{
	char *text = vh_slice_dup(address);
	struct sockaddr_storage at;
	int len = sizeof(at);

	memset(s, 0, sizeof(*s));
	s->kernel = kernel;
	s->incarnation = incarnation;
	s->pinged_ms = vh_kernel_now_ms(kernel);
	if (!evutil_parse_sockaddr_port(text, (struct sockaddr *)&at, &len))
		s->listener = evconnlistener_new_bind(
			kernel->base, on_accept, s,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&at, len);
	if (!s->listener) {
		g_set_error(err, VH_ERROR, VH_ERR_INTERNAL,
			    "cannot listen on %s", text);
		g_free(text);
		return false;
	}
	g_free(text);
	s->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	vh_timer_init(&s->ping_timer, kernel, on_ping_timer, s);
	vh_timer_start(&s->ping_timer, PING_INTERVAL_MS);
	return true;
}

void peer_server_stop(struct peer_server *s)
{
	struct peer_conn *c;

	while ((c = s->conns)) {
		s->conns = c->next;
		conn_free(c);
	}
	if (s->listener)
		evconnlistener_free(s->listener);
	g_clear_pointer(&s->nodes, g_hash_table_destroy);
	vh_timer_finish(&s->ping_timer);
}

void peer_server_set_owner(struct peer_server *s, uint64_t epoch,
			   const struct peer_server_ops *ops, void *ctx)
{
	s->epoch = epoch;
	s->ctx = ctx;
	if (ops)
		s->ops = *ops;
	for (struct peer_conn *c = s->conns; c; c = c->next) {
		c->balancer_node = -1;
		if (c->ready && epoch)
			s->ops.joined(s->ctx, c);
		if (c->ready)
			send_ping(c);
	}
}

void peer_server_broadcast(struct peer_server *s, enum wire_type type,
			   uint64_t epoch)
{
	struct wire_msg msg;

	for (struct peer_conn *c = s->conns; c; c = c->next) {
		if (!c->ready)
			continue;
		wire_begin(&msg, type, 1);
		msgpack_pack_uint64(&msg.pk, epoch);
		wire_send(&msg, c->bev);
	}
}

static void find_unanswered(const struct peer_server *s, int64_t now_ms,
			    struct peer_reachability *r)
{
	GHashTableIter i;
	const char *name;
	const struct peer_node *node;

	g_hash_table_iter_init(&i, s->nodes);
	while (g_hash_table_iter_next(&i, (gpointer *)&name,
				      (gpointer *)&node)) {
		r->n_known++;
		if (r->unanswered_by &&
		    now_ms - node->answered_ms <= r->unanswered_ms)
			continue;
		r->unanswered_ms = now_ms - node->answered_ms;
		r->unanswered_by = name;
	}
}

bool peer_server_process_ended(const struct peer_server *s, const char *node,
			       uint64_t incarnation, int64_t since_ms)
{
	for (const struct peer_conn *c = s->conns; c; c = c->next) {
		if (c->ready && c->answered_ms >= since_ms &&
		    c->incarnation != incarnation && !strcmp(c->name, node))
			return true;
	}
	return false;
}

void peer_server_reachability(const struct peer_server *s, int64_t now_ms,
			      struct peer_reachability *r)
{
	memset(r, 0, sizeof(*r));
	for (const struct peer_conn *c = s->conns; c; c = c->next) {
		if (!c->ready || now_ms - c->heard_ms > PEER_ALIVE_MS)
			continue;
		r->n_heard++;
		if (c->store_age_ms < STORE_REACHED_MAX_AGE_MS)
			r->n_reach_store++;
	}
	find_unanswered(s, now_ms, r);
}

void peer_server_reply_submit(struct peer_server *s, uint64_t conn_id,
			      uint64_t sequence, uint64_t outcome)
{
	struct peer_conn *c = s->conns;
	struct wire_msg msg;

	while (c && c->id != conn_id)
		c = c->next;
	wire_begin(&msg, WIRE_SUBMIT_REPLY, 2);
	msgpack_pack_uint64(&msg.pk, sequence);
	msgpack_pack_uint64(&msg.pk, outcome);
	wire_send(&msg, c ? c->bev : NULL);
}

void peer_conn_request_advice(struct peer_conn *c, uint64_t sequence,
			      uint64_t job, uint32_t step,
			      const struct vh_slice *workers, size_t n)
{
	struct wire_msg msg;

	wire_begin(&msg, WIRE_ADVICE_REQUEST, 4);
	msgpack_pack_uint64(&msg.pk, sequence);
	msgpack_pack_uint64(&msg.pk, job);
	msgpack_pack_uint32(&msg.pk, step);
	msgpack_pack_array(&msg.pk, n);
	for (size_t i = 0; i < n; i++)
		vh_frame_pack_bytes(&msg.pk, workers[i]);
	wire_send(&msg, c->bev);
}
