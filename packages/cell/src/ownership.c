#include "cell_priv.h"

#include <inttypes.h>

#include "keys.h"
#include "vh/log.h"

#define TICK_MS 50
#define OWNER_WAIT_MS 900    /* longest that a reading of the owner waits */
#define CLAIM_TIMEOUT_MS 900 /* for writing a claim */
#define LOOK_MS 650	     /* an owner writes at least once in this time */
#define DELAY_PER_MS 6	     /* of waiting, for each that the store is away */
#define DELAY_MOST_MS 900
#define DELAY_SPREAD_MS 80   /* so that nodes alike do not claim at once */
#define DELAY_PER_RANK_MS 70 /* of waiting, for each node that goes before */
#define YIELD_PROVED_MS 1500 /* the store has to be well for a hand-over */
#define STRONG 400	     /* thousandths of a processor */
#define WEAK 200
#define DELAY_FAIR_MS 150  /* for a node that is not strong */
#define DELAY_WEAK_MS 1500 /* for one that could hardly carry the cell */

/* Who owns the cell, as its record says. */
struct owner_record {
	uint64_t incarnation;
	struct vh_slice name;
	struct vh_slice address;
	bool released;
};

static void log_epoch(const char *what, uint64_t epoch, const char *why)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRIu64, epoch);
	vh_log(G_LOG_LEVEL_INFO, what, "epoch", text, "why", why, NULL);
}

/* A call to the store has come back; false: nothing is to be done with it. */
static bool call_over(struct vh_cell *c)
{
	c->calls--;
	return !c->stopped;
}

static void stop_lead(struct vh_cell *c, const char *why)
{
	if (!c->lead)
		return;
	log_epoch("ownership ended", owner_epoch(c->lead), why);
	owner_end(c->lead);
	c->lead = NULL;
}

static void on_proved(void *ctx, int64_t sent_ms)
{
	struct vh_cell *c = ctx;

	c->claim.confirmed_ms = MAX(c->claim.confirmed_ms, sent_ms);
}

static void on_gave_up(void *ctx, const char *why)
{
	struct vh_cell *c = ctx;

	stop_lead(c, why);
	election_stepped_down(&c->claim, vh_kernel_now_ms(c->kernel));
}

static void on_node_reaches(void *ctx)
{
	struct vh_cell *c = ctx;

	election_node_reached_store(&c->claim, vh_kernel_now_ms(c->kernel));
}

static void on_lead_freed(void *ctx)
{
	struct vh_cell *c = ctx;

	c->live_owners--;
}

static void start_lead(struct vh_cell *c, uint64_t epoch)
{
	static const struct owner_ops ops = {
		.proved = on_proved,
		.gave_up = on_gave_up,
		.reached = on_node_reaches,
		.freed = on_lead_freed,
	};

	stop_lead(c, "claimed anew");
	owner_client_connect(&c->owner_client, epoch, c->incarnation,
			     vh_slice(NULL, 0));
	log_epoch("ownership begins", epoch, "claim stored");
	c->live_owners++;
	c->lead = owner_new(c->kernel, c->ports, &c->hub, &c->owner_settings,
			    epoch, election_former_owner_ms(), &ops, c);
	if (c->view)
		owner_set_config(c->lead, c->view);
}

static bool record_read(struct vh_slice bytes, struct owner_record *r,
			msgpack_unpacked *u)
{
	const msgpack_object *p;
	size_t off = 0;
	uint64_t released;

	if (msgpack_unpack_next(u, bytes.data, bytes.len, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    u->data.type != MSGPACK_OBJECT_ARRAY || u->data.via.array.size < 4)
		return false;
	p = u->data.via.array.ptr;
	if (!vh_frame_u64(&p[0], UINT64_MAX, &r->incarnation) ||
	    !vh_frame_bytes(&p[1], ENG_NAME_MAX, &r->name) ||
	    !vh_frame_bytes(&p[2], ENG_NAME_MAX, &r->address) ||
	    !vh_frame_u64(&p[3], 1, &released))
		return false;
	r->released = released;
	return true;
}

static void follow_owner(struct vh_cell *c, uint64_t epoch,
			 const struct owner_record *r, bool mine, int64_t now)
{
	if (mine)
		return;
	stop_lead(c, "a newer owner is recorded");
	if (r->released) {
		owner_client_connect(&c->owner_client, epoch, 0,
				     vh_slice(NULL, 0));
		return;
	}
	log_epoch("owner recorded", epoch, "read");
	/* This node's own earlier process: nobody is there any more. */
	if (vh_slice_eq_str(r->name, c->name))
		election_owner_dead(&c->claim, epoch, now);
	else
		owner_client_connect(&c->owner_client, epoch, r->incarnation,
				     r->address);
}

static void on_owner_record(void *ctx, const struct vh_record *rec)
{
	struct vh_cell *c = ctx;
	uint64_t epoch = rec->offset + 1;
	int64_t now = vh_kernel_now_ms(c->kernel);
	struct owner_record r = { 0 };
	msgpack_unpacked u;
	bool mine;

	msgpack_unpacked_init(&u);
	if (!vh_slice_eq_str(rec->key, VH_KEY_OWNER) ||
	    !record_read(rec->value, &r, &u)) {
		msgpack_unpacked_destroy(&u);
		return;
	}
	mine = r.incarnation == c->incarnation && !r.released;
	if (epoch > c->claim.epoch) {
		election_record_read(&c->claim, epoch, mine, r.released, now);
		follow_owner(c, epoch, &r, mine, now);
		if (mine && !c->leaving)
			start_lead(c, epoch);
	}
	msgpack_unpacked_destroy(&u);
}

static int64_t weakness_ms(uint64_t cpu_share_milli)
{
	if (cpu_share_milli >= STRONG)
		return 0;
	return cpu_share_milli >= WEAK ? DELAY_FAIR_MS : DELAY_WEAK_MS;
}

static void on_owner_fresh(void *ctx, int64_t as_of_ms)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);
	uint64_t spread = vh_slice_hash(vh_slice_str(c->name), 0);

	if (!c->claim.known) {
		c->owner_client.store_ms = (uint64_t)(now - as_of_ms);
		c->claim.delay_ms =
			MIN((now - as_of_ms) * DELAY_PER_MS, DELAY_MOST_MS) +
			(int64_t)(spread % DELAY_SPREAD_MS) +
			weakness_ms(c->owner_client.cpu_share_milli);
	}
	election_caught_up(&c->claim, now);
	/* No newer owner is recorded: that proves this one, recovery included. */
	if (c->claim.mine)
		on_proved(c, as_of_ms);
}

static void pack_record(struct vh_cell *c, bool released, struct vh_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_uint64(&pk, c->incarnation);
	vh_frame_pack_bytes(&pk, vh_slice_str(c->name));
	vh_frame_pack_bytes(&pk, vh_slice_str(c->peer_address));
	msgpack_pack_int(&pk, released);
	vh_buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

static void write_record(struct vh_cell *c, bool released,
			 void (*done)(void *ctx,
				      const struct vh_append_reply *r))
{
	struct vh_record rec = { .key = VH_SLICE(VH_KEY_OWNER) };
	struct vh_append a = { .topic = VH_TOPIC_OWNER,
			       .records = &rec,
			       .n = 1,
			       .if_end = true,
			       .end = c->owner.next,
			       .timeout_ms = CLAIM_TIMEOUT_MS };
	struct vh_buf bytes;

	vh_buf_init(&bytes);
	pack_record(c, released, &bytes);
	rec.value = vh_buf_slice(&bytes);
	c->calls++;
	c->ports->store->append(c->ports->store_self, &a, done, c);
	vh_buf_finish(&bytes);
}

static void on_claimed(void *ctx, const struct vh_append_reply *r)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);

	if (!call_over(c))
		return;
	if (r->result != VH_STORE_OK) {
		election_claim_refused(&c->claim, now);
		return;
	}
	if (r->offset + 1 <= c->claim.epoch || c->leaving)
		return;
	election_record_read(&c->claim, r->offset + 1, true, false, now);
	start_lead(c, r->offset + 1);
}

static void on_looked_again(void *ctx, const struct vh_read_reply *r)
{
	struct vh_cell *c = ctx;

	if (!call_over(c))
		return;
	election_owner_checked(&c->claim, r->end != c->check_from_end,
			       r->result != VH_STORE_OK,
			       vh_kernel_now_ms(c->kernel));
	if (r->result == VH_STORE_OK && r->end == c->check_from_end)
		log_epoch("owner does not write", c->claim.epoch, "looked");
}

static void look_again(void *ctx)
{
	struct vh_cell *c = ctx;

	c->calls++;
	c->ports->store->newest(c->ports->store_self, VH_TOPIC_STATE,
				vh_slice_str(VH_KEY_BEFORE_HEARTBEAT),
				on_looked_again, c);
}

static void on_looked(void *ctx, const struct vh_read_reply *r)
{
	struct vh_cell *c = ctx;

	if (!call_over(c))
		return;
	if (r->result != VH_STORE_OK) {
		election_owner_checked(&c->claim, false, true,
				       vh_kernel_now_ms(c->kernel));
		return;
	}
	c->check_from_end = r->end;
	vh_timer_start(&c->look, LOOK_MS);
}

static void on_released(void *ctx, const struct vh_append_reply *r)
{
	if (!call_over(ctx))
		return;
	if (r->result != VH_STORE_OK)
		vh_log(G_LOG_LEVEL_WARNING, "ownership not released", NULL);
}

static bool better_placed(struct vh_cell *c, int64_t now)
{
	struct election_candidate own = { c->cpu_share_milli,
					  c->owner_client.store_ms };

	for (const struct peer_conn *l = c->hub.links; l; l = l->next) {
		struct election_candidate other = { l->cpu_share_milli,
						    l->store_ms };

		if (l->ready &&
		    election_should_yield(own, other, now - l->since_ms))
			return true;
	}
	return false;
}

/* Hands the cell over: the best placed node claims it first. */
static void maybe_yield(struct vh_cell *c, int64_t now)
{
	struct eng_stats stats;

	if (!c->lead || !owner_stats(c->lead, &stats) ||
	    now - c->claim.confirmed_ms > YIELD_PROVED_MS ||
	    !better_placed(c, now))
		return;
	stop_lead(c, "another node is better placed");
	election_stepped_down(&c->claim, now);
	write_record(c, true, on_released);
}

static void on_tick(void *ctx)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);
	struct election_view view = { 0 };

	peer_server_reachability(&c->hub, now, &view.peers,
				 &view.peers_reach_store);
	if (c->lead)
		view.answered_ms = owner_store_health(c->lead, &view.refused);
	switch (c->leaving ? ELECTION_NO_ACTION
			   : election_tick(&c->claim, now, &view)) {
	case ELECTION_NO_ACTION:
		maybe_yield(c, now);
		break;
	case ELECTION_CHECK_OWNER:
		c->calls++;
		c->ports->store->newest(c->ports->store_self, VH_TOPIC_STATE,
					vh_slice_str(VH_KEY_BEFORE_HEARTBEAT),
					on_looked, c);
		break;
	case ELECTION_WRITE_CLAIM:
		write_record(c, false, on_claimed);
		break;
	case ELECTION_PROBE_NODES:
		log_epoch("nodes asked whether they reach the store",
			  c->claim.epoch, view.refused ? "refused" : "silent");
		peer_server_broadcast(&c->hub, WIRE_STORE_PROBE,
				      c->claim.epoch);
		break;
	case ELECTION_STEP_DOWN:
		stop_lead(c, "the store does not serve this node");
		peer_server_broadcast(&c->hub, WIRE_OWNER_RESIGNED,
				      c->claim.epoch);
		election_stepped_down(&c->claim, now);
		break;
	}
	vh_timer_start(&c->tick, TICK_MS);
}

static void on_ask(void *ctx, const struct vh_frame *f)
{
	advice_proxy_call(ctx, f);
}

static void on_heard(void *ctx, uint64_t epoch, uint64_t rank)
{
	struct vh_cell *c = ctx;

	c->claim.delay_ms = (int64_t)rank * DELAY_PER_RANK_MS;

	election_owner_heard(&c->claim, epoch, vh_kernel_now_ms(c->kernel));
}

static void on_dead(void *ctx, uint64_t epoch)
{
	struct vh_cell *c = ctx;

	if (!c->claim.dead)
		log_epoch("owner does not answer", epoch, "refused");
	election_owner_dead(&c->claim, epoch, vh_kernel_now_ms(c->kernel));
}

static void on_tried(void *ctx, const struct vh_read_reply *r)
{
	struct vh_cell *c = ctx;

	if (!call_over(c))
		return;
	if (r->result == VH_STORE_OK)
		owner_client_report_store_reached(&c->owner_client,
						  c->owner_client.epoch);
}

static void on_reach(void *ctx, uint64_t epoch)
{
	struct vh_cell *c = ctx;

	if (epoch != c->owner_client.epoch)
		return;
	c->calls++;
	c->ports->store->read(c->ports->store_self, VH_TOPIC_OWNER,
			      c->owner.next, 0, on_tried, c);
}

static void on_vacant(void *ctx, uint64_t epoch)
{
	struct vh_cell *c = ctx;

	log_epoch("owner has stopped", epoch, "said so");
	election_owner_resigned(&c->claim, epoch, vh_kernel_now_ms(c->kernel));
}

static int64_t store_age_ms(void *ctx)
{
	struct vh_cell *c = ctx;

	return topic_reader_age_ms(&c->objects, vh_kernel_now_ms(c->kernel));
}

void ownership_init(struct vh_cell *c)
{
	c->owner.kernel = c->kernel;
	c->owner.ports = c->ports;
	c->owner.topic = VH_TOPIC_OWNER;
	c->owner.wait_ms = OWNER_WAIT_MS;
	c->owner.record = on_owner_record;
	c->owner.fresh = on_owner_fresh;
	c->owner.ctx = c;
}

bool ownership_start(struct vh_cell *c, GError **err)
{
	if (!peer_server_start(&c->hub, c->kernel,
			       vh_slice_str(c->peer_address), c->incarnation,
			       err))
		return false;
	owner_client_init(&c->owner_client, c->kernel, c->name, c->incarnation);
	c->owner_client.cpu_share_milli = c->cpu_share_milli;
	c->owner_client.ask = on_ask;
	c->owner_client.heard = on_heard;
	c->owner_client.dead = on_dead;
	c->owner_client.store_age_ms = store_age_ms;
	c->owner_client.reach = on_reach;
	c->owner_client.vacant = on_vacant;
	c->owner_client.ctx = c;
	election_init(&c->claim, DELAY_MOST_MS, vh_kernel_now_ms(c->kernel));
	vh_timer_init(&c->tick, c->kernel, on_tick, c);
	vh_timer_init(&c->look, c->kernel, look_again, c);
	vh_timer_start(&c->tick, TICK_MS);
	topic_reader_start(&c->owner);
	return true;
}

void ownership_stop(struct vh_cell *c)
{
	c->stopped = true;
	stop_lead(c, "the process stops");
	topic_reader_stop(&c->owner);
	vh_timer_stop(&c->tick);
	vh_timer_stop(&c->look);
	owner_client_finish(&c->owner_client);
	peer_server_stop(&c->hub);
}

bool ownership_idle(const struct vh_cell *c)
{
	return !c->calls && !c->live_owners && topic_reader_idle(&c->owner);
}

void ownership_finish(struct vh_cell *c)
{
	vh_timer_finish(&c->tick);
	vh_timer_finish(&c->look);
	topic_reader_finish(&c->owner);
}

void vh_cell_leave(struct vh_cell *c)
{
	bool owned = c->lead;

	if (c->leaving)
		return;
	c->leaving = true;
	stop_lead(c, "the node leaves");
	if (owned)
		write_record(c, true, on_released);
}
