#include "peer_server.h"

#include <arpa/inet.h>
#include <string.h>

#define PING_MS 250	     /* between two heartbeats of an owner */
#define HEARD_MS 1200	     /* a node heard so lately is there */
#define STORE_LATELY_MS 1500 /* a node that reached the store so lately can */
#define SILENT_MS 5000	     /* a connection without a word for so long ends */

static void link_free(struct peer_conn *l)
{
	if (l->ready && l->hub->epoch)
		l->hub->ops.left(l->hub->ctx, l);
	bufferevent_free(l->bev);
	g_free(l->name);
	g_free(l);
}

static void link_drop(struct peer_conn *l)
{
	struct peer_conn **p = &l->hub->links;

	while (*p && *p != l)
		p = &(*p)->next;
	if (*p)
		*p = l->next;
	link_free(l);
}

static void send_ping(struct peer_conn *l)
{
	struct wire_msg o;

	wire_begin(&o, WIRE_PING, 3);
	msgpack_pack_uint64(&o.pk, l->hub->epoch);
	msgpack_pack_uint64(&o.pk, l->hub->incarnation);
	msgpack_pack_uint64(&o.pk, l->rank);
	wire_send(&o, l->bev);
}

static void on_query(struct peer_conn *l, const struct vh_frame *f)
{
	struct hub *h = l->hub;
	enum eng_job_status status = ENG_UNKNOWN + 1;
	struct wire_msg o;

	if (h->epoch)
		status = h->ops.status(h->ctx, wire_u64(f, 1));
	wire_begin(&o, WIRE_STATUS_REPLY, 2);
	msgpack_pack_uint64(&o.pk, wire_u64(f, 0));
	msgpack_pack_int(&o.pk, (int)status);
	wire_send(&o, l->bev);
}

static void on_count(struct peer_conn *l, const struct vh_frame *f)
{
	struct hub *h = l->hub;
	struct wire_msg o;
	size_t jobs = 0;
	bool known = false;

	if (h->epoch)
		known = h->ops.count(h->ctx, wire_bytes(f, 1), &jobs);
	wire_begin(&o, WIRE_COUNT_REPLY, 3);
	msgpack_pack_uint64(&o.pk, wire_u64(f, 0));
	msgpack_pack_int(&o.pk, known);
	msgpack_pack_uint64(&o.pk, jobs);
	wire_send(&o, l->bev);
}

static void on_hello(struct peer_conn *l, const struct vh_frame *f)
{
	struct hub *h = l->hub;

	if (l->ready)
		return;
	l->name = vh_slice_dup(wire_bytes(f, 0));
	l->cpu_share_milli = wire_u64(f, 2);
	l->store_ms = wire_u64(f, 3);
	l->ready = true;
	l->since_ms = vh_kernel_now_ms(h->kernel);
	send_ping(l);
	if (h->epoch)
		h->ops.joined(h->ctx, l);
}

static bool on_frame(void *ctx, const struct vh_frame *f)
{
	struct peer_conn *l = ctx;
	struct hub *h = l->hub;

	l->heard_ms = vh_kernel_now_ms(h->kernel);
	switch ((enum wire_type)f->type) {
	case WIRE_HELLO:
		on_hello(l, f);
		return true;
	case WIRE_PONG:
		l->store_age_ms = (int64_t)wire_u64(f, 1);
		return true;
	case WIRE_STATUS_REQUEST:
		on_query(l, f);
		return true;
	case WIRE_COUNT_REQUEST:
		on_count(l, f);
		return true;
	case WIRE_SUBMIT_REQUEST:
		if (h->epoch)
			h->ops.submit(h->ctx, l, f);
		return true;
	case WIRE_STORE_REACHED:
		if (h->epoch && wire_u64(f, 0) == h->epoch)
			h->ops.reached(h->ctx);
		return true;
	case WIRE_ADVICE_REPLY:
		if (h->epoch)
			h->ops.advice(h->ctx, l, f);
		return true;
	default:
		return false;
	}
}

static void on_input(struct bufferevent *bev, void *ctx)
{
	if (!wire_read(bev, on_frame, ctx))
		link_drop(ctx);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		link_drop(ctx);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx)
{
	struct hub *h = ctx;
	struct peer_conn *l = g_new0(struct peer_conn, 1);

	(void)listener;
	(void)from;
	(void)len;
	l->hub = h;
	l->number = ++h->n_accepted;
	l->advisor = -1;
	l->store_age_ms = INT64_MAX;
	l->heard_ms = vh_kernel_now_ms(h->kernel);
	l->bev = bufferevent_socket_new(h->kernel->base, fd,
					BEV_OPT_CLOSE_ON_FREE);
	l->next = h->links;
	h->links = l;
	wire_set_socket_options(l->bev);
	bufferevent_setcb(l->bev, on_input, NULL, on_event, l);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
}

/* The stronger first, then the nearer to the store. */
static bool goes_before(const struct peer_conn *a, const struct peer_conn *b)
{
	if (a->cpu_share_milli != b->cpu_share_milli)
		return a->cpu_share_milli > b->cpu_share_milli;
	if (a->store_ms != b->store_ms)
		return a->store_ms < b->store_ms;
	return strcmp(a->name, b->name) < 0;
}

static void rank_links(struct hub *h)
{
	for (struct peer_conn *l = h->links; l; l = l->next) {
		l->rank = 0;
		for (struct peer_conn *o = h->links; l->ready && o; o = o->next)
			l->rank += o->ready && o != l && goes_before(o, l);
	}
}

static void on_ping(void *ctx)
{
	struct hub *h = ctx;
	int64_t now = vh_kernel_now_ms(h->kernel);
	struct peer_conn *next;

	if (h->epoch)
		rank_links(h);
	for (struct peer_conn *l = h->links; l; l = next) {
		next = l->next;
		if (now - l->heard_ms > SILENT_MS)
			link_drop(l);
		else if (l->ready && h->epoch)
			send_ping(l);
	}
	vh_timer_start(&h->ping, PING_MS);
}

bool peer_server_start(struct hub *h, struct vh_kernel *kernel,
		       struct vh_slice address, uint64_t incarnation,
		       GError **err)
{
	char *text = vh_slice_dup(address);
	struct sockaddr_storage at;
	int len = sizeof(at);

	memset(h, 0, sizeof(*h));
	h->kernel = kernel;
	h->incarnation = incarnation;
	if (!evutil_parse_sockaddr_port(text, (struct sockaddr *)&at, &len))
		h->listener = evconnlistener_new_bind(
			kernel->base, on_accept, h,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&at, len);
	if (!h->listener) {
		g_set_error(err, VH_ERROR, VH_ERR_INTERNAL,
			    "cannot listen on %s", text);
		g_free(text);
		return false;
	}
	g_free(text);
	vh_timer_init(&h->ping, kernel, on_ping, h);
	vh_timer_start(&h->ping, PING_MS);
	return true;
}

void peer_server_stop(struct hub *h)
{
	struct peer_conn *l;

	while ((l = h->links)) {
		h->links = l->next;
		link_free(l);
	}
	if (h->listener)
		evconnlistener_free(h->listener);
	vh_timer_finish(&h->ping);
}

void peer_server_set_owner(struct hub *h, uint64_t epoch,
			   const struct peer_server_ops *ops, void *ctx)
{
	h->epoch = epoch;
	h->ctx = ctx;
	if (ops)
		h->ops = *ops;
	for (struct peer_conn *l = h->links; l; l = l->next) {
		l->advisor = -1;
		if (l->ready && epoch)
			h->ops.joined(h->ctx, l);
		if (l->ready)
			send_ping(l);
	}
}

void peer_server_broadcast(struct hub *h, enum wire_type type, uint64_t epoch)
{
	struct wire_msg o;

	for (struct peer_conn *l = h->links; l; l = l->next) {
		if (!l->ready)
			continue;
		wire_begin(&o, type, 1);
		msgpack_pack_uint64(&o.pk, epoch);
		wire_send(&o, l->bev);
	}
}

void peer_server_reachability(const struct hub *h, int64_t now_ms, bool *heard,
			      bool *reach)
{
	*heard = false;
	*reach = false;
	for (const struct peer_conn *l = h->links; l; l = l->next) {
		if (!l->ready || now_ms - l->heard_ms > HEARD_MS)
			continue;
		*heard = true;
		if (l->store_age_ms < STORE_LATELY_MS)
			*reach = true;
	}
}

void peer_server_reply_submit(struct hub *h, uint64_t link, uint64_t sequence,
			      uint64_t outcome)
{
	struct peer_conn *l = h->links;
	struct wire_msg o;

	while (l && l->number != link)
		l = l->next;
	wire_begin(&o, WIRE_SUBMIT_REPLY, 2);
	msgpack_pack_uint64(&o.pk, sequence);
	msgpack_pack_uint64(&o.pk, outcome);
	wire_send(&o, l ? l->bev : NULL);
}

void peer_conn_request_advice(struct peer_conn *l, uint64_t sequence,
			      uint64_t job, uint32_t step,
			      const struct vh_slice *workers, size_t n)
{
	struct wire_msg o;

	wire_begin(&o, WIRE_ADVICE_REQUEST, 4);
	msgpack_pack_uint64(&o.pk, sequence);
	msgpack_pack_uint64(&o.pk, job);
	msgpack_pack_uint32(&o.pk, step);
	msgpack_pack_array(&o.pk, n);
	for (size_t i = 0; i < n; i++)
		vh_frame_pack_bytes(&o.pk, workers[i]);
	wire_send(&o, l->bev);
}
