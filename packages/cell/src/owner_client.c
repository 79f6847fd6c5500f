#include "owner_client.h"

#include <string.h>

#define TICK_MS 50
#define RECONNECT_MS 150 /* after a connection that failed */
#define CONNECT_MS 1500	 /* a connection that is not up by then is given up */
#define SILENT_MS 900	 /* an owner's connection without a word ends */
#define QUIET_MS 650	 /* such a one is not asked any more */

struct spoke_call {
	uint64_t sequence;
	int64_t deadline_ms;
	void (*done)(void *ctx, bool known, uint64_t value);
	void *ctx;
};

static void call_end(struct owner_client *s, struct spoke_call *c, bool known,
		     uint64_t value)
{
	g_hash_table_steal(s->calls, &c->sequence);
	c->done(c->ctx, known, value);
	g_free(c);
}

static void expire(struct owner_client *s, int64_t now_ms)
{
	GList *all = g_hash_table_get_values(s->calls);

	for (GList *l = all; l; l = l->next) {
		struct spoke_call *c = l->data;

		if (c->deadline_ms <= now_ms)
			call_end(s, c, false, 0);
	}
	g_list_free(all);
}

static void drop(struct owner_client *s)
{
	if (s->bev)
		bufferevent_free(s->bev);
	s->bev = NULL;
	s->ready = false;
	s->connect_ms = vh_kernel_now_ms(s->kernel);
	expire(s, INT64_MAX);
}

static void send_pong(struct owner_client *s)
{
	struct wire_msg o;

	wire_begin(&o, WIRE_PONG, 2);
	msgpack_pack_uint64(&o.pk, s->epoch);
	msgpack_pack_uint64(&o.pk, (uint64_t)s->store_age_ms(s->ctx));
	wire_send(&o, s->bev);
}

static bool on_ping(struct owner_client *s, const struct vh_frame *f)
{
	uint64_t epoch = wire_u64(f, 0);
	uint64_t incarnation = wire_u64(f, 1);

	if (incarnation != s->incarnation) {
		drop(s);
		s->dead(s->ctx, s->epoch);
		return false;
	}
	if (epoch < s->epoch) {
		s->ready = false;
		return true;
	}
	s->ready = true;
	send_pong(s);
	s->heard(s->ctx, epoch, wire_u64(f, 2));
	return true;
}

static bool on_answer(struct owner_client *s, const struct vh_frame *f)
{
	uint64_t sequence = wire_u64(f, 0);
	struct spoke_call *c = g_hash_table_lookup(s->calls, &sequence);

	if (!c)
		return true;
	switch ((int)f->type) {
	case WIRE_COUNT_REPLY:
		call_end(s, c, wire_u64(f, 1), wire_u64(f, 2));
		return true;
	case WIRE_STATUS_REPLY:
		call_end(s, c, wire_u64(f, 1) <= ENG_UNKNOWN, wire_u64(f, 1));
		return true;
	default:
		call_end(s, c, true, wire_u64(f, 1));
		return true;
	}
}

static bool on_frame(void *ctx, const struct vh_frame *f)
{
	struct owner_client *s = ctx;

	s->last_ms = vh_kernel_now_ms(s->kernel);
	switch ((enum wire_type)f->type) {
	case WIRE_PING:
		return on_ping(s, f);
	case WIRE_STATUS_REPLY:
	case WIRE_COUNT_REPLY:
	case WIRE_SUBMIT_REPLY:
		return on_answer(s, f);
	case WIRE_ADVICE_REQUEST:
		s->ask(s->ctx, f);
		return true;
	case WIRE_STORE_PROBE:
		s->reach(s->ctx, wire_u64(f, 0));
		return true;
	case WIRE_OWNER_RESIGNED:
		s->ready = false;
		s->vacant(s->ctx, wire_u64(f, 0));
		return true;
	default:
		return false;
	}
}

static void on_input(struct bufferevent *bev, void *ctx)
{
	struct owner_client *s = ctx;

	if (!wire_read(bev, on_frame, s) && s->bev == bev)
		drop(s);
}

static void say_hello(struct owner_client *s)
{
	struct wire_msg o;

	wire_begin(&o, WIRE_HELLO, 4);
	vh_frame_pack_bytes(&o.pk, vh_slice_str(s->name));
	msgpack_pack_uint64(&o.pk, s->own_incarnation);
	msgpack_pack_uint64(&o.pk, s->cpu_share_milli);
	msgpack_pack_uint64(&o.pk, s->store_ms);
	wire_send(&o, s->bev);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct owner_client *s = ctx;
	bool refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;

	if (what & BEV_EVENT_CONNECTED) {
		wire_set_socket_options(bev);
		s->last_ms = vh_kernel_now_ms(s->kernel);
		say_hello(s);
		return;
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	drop(s);
	if ((what & BEV_EVENT_ERROR) && refused)
		s->dead(s->ctx, s->epoch);
}

static void connect_owner(struct owner_client *s)
{
	struct sockaddr_storage at;
	int len = sizeof(at);

	s->connect_ms = vh_kernel_now_ms(s->kernel);
	s->last_ms = s->connect_ms;
	if (evutil_parse_sockaddr_port(s->address, (struct sockaddr *)&at,
				       &len))
		return;
	s->bev = bufferevent_socket_new(s->kernel->base, -1,
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(s->bev, on_input, NULL, on_event, s);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(s->bev, (struct sockaddr *)&at, len)) {
		bufferevent_free(s->bev);
		s->bev = NULL;
	}
}

static void on_tick(void *ctx)
{
	struct owner_client *s = ctx;
	int64_t now = vh_kernel_now_ms(s->kernel);

	expire(s, now);
	if (s->bev && now - s->last_ms > (s->ready ? SILENT_MS : CONNECT_MS))
		drop(s);
	if (!s->bev && s->address && now - s->connect_ms >= RECONNECT_MS)
		connect_owner(s);
	vh_timer_start(&s->tick, TICK_MS);
}

void owner_client_init(struct owner_client *s, struct vh_kernel *kernel,
		       const char *name, uint64_t incarnation)
{
	memset(s, 0, sizeof(*s));
	s->kernel = kernel;
	s->name = g_strdup(name);
	s->own_incarnation = incarnation;
	s->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	vh_timer_init(&s->tick, kernel, on_tick, s);
	vh_timer_start(&s->tick, TICK_MS);
}

void owner_client_finish(struct owner_client *s)
{
	drop(s);
	vh_timer_finish(&s->tick);
	g_hash_table_destroy(s->calls);
	g_free(s->address);
	g_free(s->name);
}

void owner_client_connect(struct owner_client *s, uint64_t epoch,
			  uint64_t incarnation, struct vh_slice address)
{
	drop(s);
	g_clear_pointer(&s->address, g_free);
	s->epoch = epoch;
	s->incarnation = incarnation;
	if (!address.len)
		return;
	s->address = vh_slice_dup(address);
	connect_owner(s);
}

bool owner_client_usable(const struct owner_client *s)
{
	return s->bev && s->ready &&
	       vh_kernel_now_ms(s->kernel) - s->last_ms < QUIET_MS;
}

static void call(struct owner_client *s, struct wire_msg *o, uint64_t sequence,
		 int64_t timeout_ms,
		 void (*done)(void *ctx, bool known, uint64_t value), void *ctx)
{
	struct spoke_call *c = g_new0(struct spoke_call, 1);

	c->sequence = sequence;
	c->deadline_ms = owner_client_usable(s)
				 ? vh_kernel_now_ms(s->kernel) + timeout_ms
				 : 0;
	c->done = done;
	c->ctx = ctx;
	g_hash_table_insert(s->calls, &c->sequence, c);
	wire_send(o, owner_client_usable(s) ? s->bev : NULL);
}

void owner_client_job_status(
	struct owner_client *s, uint64_t job, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx)
{
	uint64_t sequence = ++s->sequence;
	struct wire_msg o;

	wire_begin(&o, WIRE_STATUS_REQUEST, 2);
	msgpack_pack_uint64(&o.pk, sequence);
	msgpack_pack_uint64(&o.pk, job);
	call(s, &o, sequence, timeout_ms, done, ctx);
}

void owner_client_pending_jobs(
	struct owner_client *s, struct vh_slice queue, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx)
{
	uint64_t sequence = ++s->sequence;
	struct wire_msg o;

	wire_begin(&o, WIRE_COUNT_REQUEST, 2);
	msgpack_pack_uint64(&o.pk, sequence);
	vh_frame_pack_bytes(&o.pk, queue);
	call(s, &o, sequence, timeout_ms, done, ctx);
}

void owner_client_submit(struct owner_client *s, struct vh_slice key,
			 struct vh_slice value, int64_t timeout_ms,
			 void (*done)(void *ctx, bool known, uint64_t outcome),
			 void *ctx)
{
	uint64_t sequence = ++s->sequence;
	struct wire_msg o;

	wire_begin(&o, WIRE_SUBMIT_REQUEST, 4);
	msgpack_pack_uint64(&o.pk, sequence);
	vh_frame_pack_bytes(&o.pk, key);
	vh_frame_pack_bytes(&o.pk, value);
	msgpack_pack_uint64(&o.pk, (uint64_t)timeout_ms);
	call(s, &o, sequence, timeout_ms, done, ctx);
}

void owner_client_report_store_reached(struct owner_client *s, uint64_t epoch)
{
	struct wire_msg o;

	wire_begin(&o, WIRE_STORE_REACHED, 1);
	msgpack_pack_uint64(&o.pk, epoch);
	wire_send(&o, s->bev);
}

void owner_client_reply_advice(struct owner_client *s, uint64_t sequence,
			       bool ok, int64_t valid_ms,
			       const struct eng_advised_worker *good, size_t n)
{
	struct wire_msg o;

	wire_begin(&o, WIRE_ADVICE_REPLY, 4);
	msgpack_pack_uint64(&o.pk, sequence);
	msgpack_pack_int(&o.pk, ok);
	msgpack_pack_uint64(&o.pk, (uint64_t)valid_ms);
	msgpack_pack_array(&o.pk, n * 2);
	for (size_t i = 0; i < n; i++) {
		vh_frame_pack_bytes(&o.pk, good[i].worker);
		vh_frame_pack_bytes(&o.pk, good[i].ticket);
	}
	wire_send(&o, s->bev);
}
