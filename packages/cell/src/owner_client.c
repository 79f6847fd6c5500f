#include "owner_client.h"

#include <string.h>

#include "vh/log.h"

#define TIMER_MS 50
#define RECONNECT_DELAY_MS 150
#define CONNECT_TIMEOUT_MS 1500
#define OWNER_SILENT_MS 900	  /* without frames: closes the connection */
#define USABLE_MAX_SILENCE_MS 650 /* without frames: no more requests */

struct owner_request {
	uint64_t sequence;
	int64_t deadline_ms;
	void (*done)(void *ctx, bool known, uint64_t value);
	void *ctx;
};

static void request_end(struct owner_client *c, struct owner_request *r,
			bool known, uint64_t value)
{
	g_hash_table_steal(c->requests, &r->sequence);
	r->done(r->ctx, known, value);
	g_free(r);
}

static void expire_requests(struct owner_client *c, int64_t now_ms)
{
	GList *all = g_hash_table_get_values(c->requests);

	for (GList *l = all; l; l = l->next) {
		struct owner_request *r = l->data;

		if (r->deadline_ms <= now_ms)
			request_end(c, r, false, 0);
	}
	g_list_free(all);
}

static void disconnect(struct owner_client *c)
{
	if (c->bev)
		bufferevent_free(c->bev);
	c->bev = NULL;
	c->ready = false;
	c->load.at_ms = 0;
	c->connection_changed_ms = vh_kernel_now_ms(c->kernel);
	expire_requests(c, INT64_MAX);
}

static void send_pong(struct owner_client *c, uint64_t ping_time)
{
	struct wire_msg msg;

	wire_begin(&msg, WIRE_PONG, 3);
	msgpack_pack_uint64(&msg.pk, c->epoch);
	msgpack_pack_uint64(&msg.pk, (uint64_t)c->store_age_ms(c->ctx));
	msgpack_pack_uint64(&msg.pk, ping_time);
	wire_send(&msg, c->bev);
}

static bool on_ping(struct owner_client *c, const struct vh_frame *f)
{
	uint64_t epoch = wire_u64(f, 0);
	uint64_t incarnation = wire_u64(f, 1);

	if (incarnation != c->incarnation) {
		disconnect(c);
		c->owner_dead(c->ctx, c->epoch);
		return false;
	}
	if (epoch < c->epoch) {
		c->ready = false;
		return true;
	}
	c->ready = true;
	send_pong(c, wire_u64(f, 3));
	c->heartbeat(c->ctx, epoch, wire_u64(f, 2));
	return true;
}

static bool on_reply(struct owner_client *c, const struct vh_frame *f)
{
	uint64_t sequence = wire_u64(f, 0);
	struct owner_request *r = g_hash_table_lookup(c->requests, &sequence);

	if (!r)
		return true;
	switch ((int)f->type) {
	case WIRE_COUNT_REPLY:
		request_end(c, r, wire_u64(f, 1), wire_u64(f, 2));
		return true;
	case WIRE_STATUS_REPLY:
		request_end(c, r, wire_u64(f, 1) <= ENG_UNKNOWN,
			    wire_u64(f, 1));
		return true;
	default:
		request_end(c, r, true, wire_u64(f, 1));
		return true;
	}
}

static void on_load(struct owner_client *c, const struct vh_frame *f)
{
	if (wire_u64(f, 0) < c->epoch)
		return;
	if (!admission_view_read(&c->load, f))
		vh_log(G_LOG_LEVEL_WARNING, "malformed load ignored", NULL);
}

static bool on_frame(void *ctx, const struct vh_frame *f)
{
	struct owner_client *c = ctx;

	c->last_received_ms = vh_kernel_now_ms(c->kernel);
	switch ((enum wire_type)f->type) {
	case WIRE_PING:
		return on_ping(c, f);
	case WIRE_STATUS_REPLY:
	case WIRE_COUNT_REPLY:
	case WIRE_SUBMIT_REPLY:
		return on_reply(c, f);
	case WIRE_ADVICE_REQUEST:
		c->advice_request(c->ctx, f);
		return true;
	case WIRE_STORE_PROBE:
		c->store_probe(c->ctx, wire_u64(f, 0));
		return true;
	case WIRE_LOAD:
		on_load(c, f);
		return true;
	case WIRE_OWNER_RESIGNED:
		c->ready = false;
		c->load.at_ms = 0;
		c->owner_resigned(c->ctx, wire_u64(f, 0));
		return true;
	default:
		return false;
	}
}

static void on_input(struct bufferevent *bev, void *ctx)
{
	struct owner_client *c = ctx;

	if (!wire_read(bev, on_frame, c) && c->bev == bev)
		disconnect(c);
}

static void send_hello(struct owner_client *c)
{
	struct wire_msg msg;

	wire_begin(&msg, WIRE_HELLO, 5);
	vh_frame_pack_bytes(&msg.pk, vh_slice_str(c->name));
	msgpack_pack_uint64(&msg.pk, c->own_incarnation);
	msgpack_pack_uint64(&msg.pk, c->cpu_share_milli);
	msgpack_pack_uint64(&msg.pk, c->store_latency_ms);
	msgpack_pack_int(&msg.pk, c->wants_load);
	wire_send(&msg, c->bev);
}

static void on_event(struct bufferevent *bev, short events, void *ctx)
{
	struct owner_client *c = ctx;
	bool refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;

	if (events & BEV_EVENT_CONNECTED) {
		wire_set_socket_options(bev);
		c->last_received_ms = vh_kernel_now_ms(c->kernel);
		send_hello(c);
		return;
	}
	if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	disconnect(c);
	if ((events & BEV_EVENT_ERROR) && refused)
		c->owner_dead(c->ctx, c->epoch);
}

static void connect_owner(struct owner_client *c)
{
	struct sockaddr_storage at;
	int len = sizeof(at);

	c->connection_changed_ms = vh_kernel_now_ms(c->kernel);
	c->last_received_ms = c->connection_changed_ms;
	if (evutil_parse_sockaddr_port(c->address, (struct sockaddr *)&at,
				       &len))
		return;
	c->bev = bufferevent_socket_new(c->kernel->base, -1,
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_input, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(c->bev, (struct sockaddr *)&at, len)) {
		bufferevent_free(c->bev);
		c->bev = NULL;
	}
}

static void on_timer(void *ctx)
{
	struct owner_client *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);

	expire_requests(c, now);
	if (c->bev && now - c->last_received_ms >
			      (c->ready ? OWNER_SILENT_MS : CONNECT_TIMEOUT_MS))
		disconnect(c);
	if (!c->bev && c->address &&
	    now - c->connection_changed_ms >= RECONNECT_DELAY_MS)
		connect_owner(c);
	vh_timer_start(&c->timer, TIMER_MS);
}

void owner_client_init(struct owner_client *c, struct vh_kernel *kernel,
		       const char *name, uint64_t incarnation)
{
	memset(c, 0, sizeof(*c));
	c->kernel = kernel;
	c->name = g_strdup(name);
	c->own_incarnation = incarnation;
	c->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	eng_load_init(&c->load);
	vh_timer_init(&c->timer, kernel, on_timer, c);
	vh_timer_start(&c->timer, TIMER_MS);
}

void owner_client_finish(struct owner_client *c)
{
	disconnect(c);
	vh_timer_finish(&c->timer);
	g_hash_table_destroy(c->requests);
	eng_load_finish(&c->load);
	g_free(c->address);
	g_free(c->name);
}

void owner_client_connect(struct owner_client *c, uint64_t epoch,
			  uint64_t incarnation, struct vh_slice address)
{
	disconnect(c);
	g_clear_pointer(&c->address, g_free);
	c->epoch = epoch;
	c->incarnation = incarnation;
	if (!address.len)
		return;
	c->address = vh_slice_dup(address);
	connect_owner(c);
}

bool owner_client_usable(const struct owner_client *c)
{
	return c->bev && c->ready &&
	       vh_kernel_now_ms(c->kernel) - c->last_received_ms <
		       USABLE_MAX_SILENCE_MS;
}

static void send_request(struct owner_client *c, struct wire_msg *msg,
			 uint64_t sequence, int64_t timeout_ms,
			 void (*done)(void *ctx, bool known, uint64_t value),
			 void *ctx)
{
	struct owner_request *r = g_new0(struct owner_request, 1);

	r->sequence = sequence;
	/* Without a usable owner, the request fails at the next timer. */
	r->deadline_ms = owner_client_usable(c)
				 ? vh_kernel_now_ms(c->kernel) + timeout_ms
				 : 0;
	r->done = done;
	r->ctx = ctx;
	g_hash_table_insert(c->requests, &r->sequence, r);
	wire_send(msg, owner_client_usable(c) ? c->bev : NULL);
}

void owner_client_job_status(
	struct owner_client *c, uint64_t job, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx)
{
	uint64_t sequence = ++c->sequence;
	struct wire_msg msg;

	wire_begin(&msg, WIRE_STATUS_REQUEST, 2);
	msgpack_pack_uint64(&msg.pk, sequence);
	msgpack_pack_uint64(&msg.pk, job);
	send_request(c, &msg, sequence, timeout_ms, done, ctx);
}

void owner_client_pending_jobs(
	struct owner_client *c, struct vh_slice queue, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx)
{
	uint64_t sequence = ++c->sequence;
	struct wire_msg msg;

	wire_begin(&msg, WIRE_COUNT_REQUEST, 2);
	msgpack_pack_uint64(&msg.pk, sequence);
	vh_frame_pack_bytes(&msg.pk, queue);
	send_request(c, &msg, sequence, timeout_ms, done, ctx);
}

void owner_client_submit(struct owner_client *c, struct vh_slice key,
			 struct vh_slice value, int64_t timeout_ms,
			 bool may_refuse,
			 void (*done)(void *ctx, bool known, uint64_t outcome),
			 void *ctx)
{
	uint64_t sequence = ++c->sequence;
	struct wire_msg msg;

	wire_begin(&msg, WIRE_SUBMIT_REQUEST, 5);
	msgpack_pack_uint64(&msg.pk, sequence);
	vh_frame_pack_bytes(&msg.pk, key);
	vh_frame_pack_bytes(&msg.pk, value);
	msgpack_pack_uint64(&msg.pk, (uint64_t)timeout_ms);
	msgpack_pack_int(&msg.pk, may_refuse);
	send_request(c, &msg, sequence, timeout_ms, done, ctx);
}

void owner_client_report_store_reached(struct owner_client *c, uint64_t epoch)
{
	struct wire_msg msg;

	wire_begin(&msg, WIRE_STORE_REACHED, 1);
	msgpack_pack_uint64(&msg.pk, epoch);
	wire_send(&msg, c->bev);
}

void owner_client_reply_advice(struct owner_client *c, uint64_t sequence,
			       bool ok, int64_t valid_ms,
			       const struct eng_advised_worker *approved,
			       size_t n)
{
	struct wire_msg msg;

	wire_begin(&msg, WIRE_ADVICE_REPLY, 4);
	msgpack_pack_uint64(&msg.pk, sequence);
	msgpack_pack_int(&msg.pk, ok);
	msgpack_pack_uint64(&msg.pk, (uint64_t)valid_ms);
	msgpack_pack_array(&msg.pk, n * 2);
	for (size_t i = 0; i < n; i++) {
		vh_frame_pack_bytes(&msg.pk, approved[i].worker);
		vh_frame_pack_bytes(&msg.pk, approved[i].ticket);
	}
	wire_send(&msg, c->bev);
}
