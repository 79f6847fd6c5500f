#include "cell_priv.h"

#include <inttypes.h>

#include "keys.h"
#include "vh/log.h"

#define ELECTION_TICK_MS 50
#define MS_PER_S 1000.0
#define MAX_FORMER_OWNERS_MS 600000 /* as read from a record */
#define OWNER_POLL_MS 900	    /* long-poll time of an ownership read */
#define CLAIM_TIMEOUT_MS 900
#define CHECK_PERIOD_MS 650 /* an owner writes at least once within this */
/* Until an owner has sent a node its rank, the node delays its claims by its
 * latency to the store times this. */
#define DELAY_LATENCY_FACTOR 6
#define MAX_DELAY_MS 900     /* for the part that depends on the latency */
#define DELAY_JITTER_MS 80   /* so that similar nodes do not claim at once */
#define DELAY_PER_RANK_MS 70 /* claim delay per better-ranked node */
/* An owner unconfirmed for longer does not yield: that needs the store. */
#define YIELD_MAX_UNCONFIRMED_MS 1500
#define AMPLE_CPU_MILLI 400	/* enough to own the cell */
#define LOW_CPU_MILLI 200	/* with less, hardly able to own the cell */
#define DELAY_MEDIUM_CPU_MS 150 /* added below AMPLE_CPU_MILLI */
#define DELAY_LOW_CPU_MS 1500	/* added below LOW_CPU_MILLI */

/**
 * struct owner_record - a decoded ownership record
 * @former_owners_ms: how long earlier owners may act after this record
 */
struct owner_record {
	uint64_t incarnation;
	struct vh_slice name;
	struct vh_slice address;
	bool released;
	int64_t former_owners_ms;
};

static void log_begin(uint64_t epoch, int64_t former_owners_ms)
{
	char text[24];
	char wait[24];

	g_snprintf(text, sizeof(text), "%" PRIu64, epoch);
	g_snprintf(wait, sizeof(wait), "%" PRId64, former_owners_ms);
	vh_log(G_LOG_LEVEL_INFO, "ownership begins", "epoch", text, "why",
	       "claim stored", "former_owners_ms", wait, NULL);
}

static void log_epoch(const char *what, uint64_t epoch, const char *why)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRIu64, epoch);
	vh_log(G_LOG_LEVEL_INFO, what, "epoch", text, "why", why, NULL);
}

/* Accounts for a returned call; false if its result must be ignored. */
static bool accept_call_result(struct vh_cell *c)
{
	c->pending_calls--;
	return !c->stopped;
}

static void stop_owner(struct vh_cell *c, const char *why)
{
	if (!c->owner)
		return;
	log_epoch("ownership ended", owner_epoch(c->owner), why);
	owner_end(c->owner);
	c->owner = NULL;
	cell_follow_objects(c, false);
}

static void on_confirmed(void *ctx, int64_t sent_ms)
{
	struct vh_cell *c = ctx;

	c->election.confirmed_ms = MAX(c->election.confirmed_ms, sent_ms);
}

static int64_t permitted_until_ms(void *ctx)
{
	const struct vh_cell *c = ctx;

	return election_permitted_until_ms(&c->election);
}

static void on_ownership_lost(void *ctx, const char *why)
{
	struct vh_cell *c = ctx;

	stop_owner(c, why);
	election_stepped_down(&c->election, vh_kernel_now_ms(c->kernel));
}

static void on_node_reached_store(void *ctx)
{
	struct vh_cell *c = ctx;

	election_node_reached_store(&c->election, vh_kernel_now_ms(c->kernel));
}

/* A successor of this owner need not wait longer either. */
static void on_former_owners_end(void *ctx, int64_t end_ms)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);
	int64_t known_ms = c->election.former_owners_end_ms;

	election_former_owners_end(&c->election, MIN(known_ms, end_ms) - now,
				   now);
}

static void on_zones_wanted(void *ctx)
{
	struct vh_cell *c = ctx;

	if (!c->objects_reader.failures)
		topic_reader_hurry(&c->objects_reader);
}

static void on_owner_freed(void *ctx)
{
	struct vh_cell *c = ctx;

	c->live_owners--;
}

static void forget_recorded_owner(struct vh_cell *c)
{
	g_free(c->recorded_owner.node);
	c->recorded_owner.node = NULL;
}

static void start_owner(struct vh_cell *c, uint64_t epoch,
			int64_t former_owners_ms)
{
	static const struct owner_ops ops = {
		.confirmed = on_confirmed,
		.permitted_until_ms = permitted_until_ms,
		.ownership_lost = on_ownership_lost,
		.store_reached = on_node_reached_store,
		.zones_wanted = on_zones_wanted,
		.former_owners_end = on_former_owners_end,
		.freed = on_owner_freed,
	};

	stop_owner(c, "superseded by a new claim");
	owner_client_connect(&c->owner_client, epoch, c->incarnation,
			     vh_slice(NULL, 0));
	log_begin(epoch, former_owners_ms);
	cell_follow_objects(c, true);
	c->live_owners++;
	c->owner =
		owner_new(c->kernel, c->ports, &c->peer_server,
			  &c->owner_settings, epoch, former_owners_ms, &ops, c);
	if (c->recorded_owner.node)
		owner_set_former(c->owner, &c->recorded_owner);
	forget_recorded_owner(c);
	if (c->config_view)
		owner_set_config(c->owner, c->config_view);
	cell_pass_zones(c);
}

static bool owner_record_decode(struct vh_slice bytes, struct owner_record *r,
				msgpack_unpacked *u)
{
	const msgpack_object *p;
	size_t off = 0;
	uint64_t released;
	uint64_t former_owners_ms;

	if (msgpack_unpack_next(u, bytes.data, bytes.len, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    u->data.type != MSGPACK_OBJECT_ARRAY || u->data.via.array.size < 4)
		return false;
	p = u->data.via.array.ptr;
	if (!vh_frame_read_u64(&p[0], UINT64_MAX, &r->incarnation) ||
	    !vh_frame_read_bytes(&p[1], ENG_NAME_MAX, &r->name) ||
	    !vh_frame_read_bytes(&p[2], ENG_NAME_MAX, &r->address) ||
	    !vh_frame_read_u64(&p[3], 1, &released))
		return false;
	r->released = released;
	/* Nodes of earlier versions do not tell it. */
	if (u->data.via.array.size < 5 ||
	    !vh_frame_read_u64(&p[4], MAX_FORMER_OWNERS_MS, &former_owners_ms))
		former_owners_ms = (uint64_t)election_unknown_owner_ms();
	r->former_owners_ms = (int64_t)former_owners_ms;
	return true;
}

static void note_recorded_owner(struct vh_cell *c, const struct owner_record *r)
{
	c->recorded_owner.node = vh_slice_dup(r->name);
	c->recorded_owner.incarnation = r->incarnation;
	c->recorded_owner.earlier_end_ms = c->election.former_owners_end_ms;
	c->recorded_owner.settle_ms = election_former_owner_ms();
}

static void track_owner(struct vh_cell *c, uint64_t epoch,
			const struct owner_record *r, bool is_own, int64_t now)
{
	if (is_own)
		return;
	stop_owner(c, "a newer owner is recorded");
	forget_recorded_owner(c);
	if (r->released) {
		owner_client_connect(&c->owner_client, epoch, 0,
				     vh_slice(NULL, 0));
		return;
	}
	note_recorded_owner(c, r);
	log_epoch("owner recorded", epoch, "record read");
	/* Written by an earlier process of this node, which has ended. */
	if (vh_slice_eq_str(r->name, c->name))
		election_owner_dead(&c->election, epoch, now);
	else
		owner_client_connect(&c->owner_client, epoch, r->incarnation,
				     r->address);
}

static void on_owner_record(void *ctx, const struct vh_record *rec)
{
	struct vh_cell *c = ctx;
	/* Plus one, since epoch 0 stands for no owner. */
	uint64_t epoch = rec->offset + 1;
	int64_t now = vh_kernel_now_ms(c->kernel);
	struct owner_record r = { 0 };
	msgpack_unpacked u;
	bool is_own;

	msgpack_unpacked_init(&u);
	if (!vh_slice_eq_str(rec->key, VH_KEY_OWNER) ||
	    !owner_record_decode(rec->value, &r, &u)) {
		msgpack_unpacked_destroy(&u);
		return;
	}
	is_own = r.incarnation == c->incarnation && !r.released;
	if (epoch > c->election.epoch) {
		election_record_read(&c->election, epoch, is_own, r.released,
				     now);
		election_former_owners_end(&c->election, r.former_owners_ms,
					   now);
		track_owner(c, epoch, &r, is_own, now);
		if (is_own && !c->leaving)
			start_owner(c, epoch, r.former_owners_ms);
	}
	msgpack_unpacked_destroy(&u);
}

static int64_t low_cpu_delay_ms(uint64_t cpu_share_milli)
{
	if (cpu_share_milli >= AMPLE_CPU_MILLI)
		return 0;
	return cpu_share_milli >= LOW_CPU_MILLI ? DELAY_MEDIUM_CPU_MS
						: DELAY_LOW_CPU_MS;
}

static void on_owner_caught_up(void *ctx, int64_t as_of_ms)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);
	uint64_t hash = vh_slice_hash(vh_slice_str(c->name), 0);

	if (!c->election.caught_up) {
		c->owner_client.store_latency_ms = (uint64_t)(now - as_of_ms);
		c->election.claim_delay_ms =
			MIN((now - as_of_ms) * DELAY_LATENCY_FACTOR,
			    MAX_DELAY_MS) +
			(int64_t)(hash % DELAY_JITTER_MS) +
			low_cpu_delay_ms(c->owner_client.cpu_share_milli);
	}
	election_caught_up(&c->election, now);
	/* No newer owner is recorded, which confirms this one even before its
	 * first write. */
	if (c->election.is_owner)
		on_confirmed(c, as_of_ms);
}

/* How long earlier owners may act after a claim, or after a release. */
static int64_t former_owners_ms(const struct vh_cell *c, bool released)
{
	int64_t now = vh_kernel_now_ms(c->kernel);

	if (released)
		return MAX(c->election.former_owners_end_ms - now, 0);
	return election_claim_wait_ms(&c->election, now);
}

static void owner_record_encode(struct vh_cell *c, bool released,
				struct vh_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 5);
	msgpack_pack_uint64(&pk, c->incarnation);
	vh_frame_pack_bytes(&pk, vh_slice_str(c->name));
	vh_frame_pack_bytes(&pk, vh_slice_str(c->peer_address));
	msgpack_pack_int(&pk, released);
	msgpack_pack_uint64(&pk, (uint64_t)c->claimed_former_owners_ms);
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
			       .end = c->owner_reader.next_offset,
			       .timeout_ms = CLAIM_TIMEOUT_MS };
	struct vh_buf bytes;

	vh_buf_init(&bytes);
	c->claimed_former_owners_ms = former_owners_ms(c, released);
	owner_record_encode(c, released, &bytes);
	rec.value = vh_buf_slice(&bytes);
	c->pending_calls++;
	c->ports->store->append(c->ports->store_self, &a, done, c);
	vh_buf_finish(&bytes);
}

static void on_claimed(void *ctx, const struct vh_append_reply *r)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);

	if (!accept_call_result(c))
		return;
	if (r->result != VH_STORE_OK) {
		election_claim_refused(&c->election, now);
		return;
	}
	if (r->offset + 1 <= c->election.epoch || c->leaving)
		return;
	election_record_read(&c->election, r->offset + 1, true, false, now);
	election_former_owners_end(&c->election, c->claimed_former_owners_ms,
				   now);
	start_owner(c, r->offset + 1, c->claimed_former_owners_ms);
}

static void on_second_check(void *ctx, const struct vh_read_reply *r)
{
	struct vh_cell *c = ctx;

	if (!accept_call_result(c))
		return;
	election_owner_checked(&c->election, r->end != c->check_from_end,
			       r->result != VH_STORE_OK,
			       vh_kernel_now_ms(c->kernel));
	if (r->result == VH_STORE_OK && r->end == c->check_from_end)
		log_epoch("owner does not write", c->election.epoch, "looked");
}

static void check_again(void *ctx)
{
	struct vh_cell *c = ctx;

	c->pending_calls++;
	c->ports->store->newest(c->ports->store_self, VH_TOPIC_STATE,
				vh_slice_str(VH_KEY_BEFORE_HEARTBEAT),
				on_second_check, c);
}

static void on_first_check(void *ctx, const struct vh_read_reply *r)
{
	struct vh_cell *c = ctx;

	if (!accept_call_result(c))
		return;
	if (r->result != VH_STORE_OK) {
		election_owner_checked(&c->election, false, true,
				       vh_kernel_now_ms(c->kernel));
		return;
	}
	c->check_from_end = r->end;
	vh_timer_start(&c->check_timer, CHECK_PERIOD_MS);
}

static void on_released(void *ctx, const struct vh_append_reply *r)
{
	if (!accept_call_result(ctx))
		return;
	if (r->result != VH_STORE_OK)
		vh_log(G_LOG_LEVEL_WARNING,
		       "cannot store the release of the ownership", NULL);
}

static bool better_candidate_connected(struct vh_cell *c, int64_t now)
{
	struct election_candidate own = { c->cpu_share_milli,
					  c->owner_client.store_latency_ms };

	for (const struct peer_conn *conn = c->peer_server.conns; conn;
	     conn = conn->next) {
		struct election_candidate other = { conn->cpu_share_milli,
						    conn->store_latency_ms };

		if (conn->ready &&
		    election_should_yield(own, other,
					  now - conn->connected_since_ms))
			return true;
	}
	return false;
}

/* Releases the ownership if a connected node is a better candidate. The best of
 * them has the shortest claim delay and so is the first to claim. */
static void maybe_yield(struct vh_cell *c, int64_t now)
{
	struct eng_stats stats;

	if (!c->owner || !owner_stats(c->owner, &stats) ||
	    now - c->election.confirmed_ms > YIELD_MAX_UNCONFIRMED_MS ||
	    !better_candidate_connected(c, now))
		return;
	stop_owner(c, "another node is better placed");
	election_stepped_down(&c->election, now);
	write_record(c, true, on_released);
}

/* What an owner decides from. */
static void log_reason(struct vh_cell *c, const char *what, int64_t now,
		       const struct peer_reachability *r)
{
	const char *why = election_reason_text(c->election.reason);
	char labels[64];
	char epoch[24];
	char nodes[48];
	char unconfirmed[24];
	char unanswered[24];

	g_snprintf(labels, sizeof(labels), "why=\"%s\"", why);
	++*vh_metrics_counter(&c->kernel->metrics,
			      "vh_owner_confirmation_events_total", labels);
	g_snprintf(epoch, sizeof(epoch), "%" PRIu64, c->election.epoch);
	g_snprintf(nodes, sizeof(nodes), "%u/%u/%u", r->n_reach_store,
		   r->n_heard, r->n_known);
	g_snprintf(unconfirmed, sizeof(unconfirmed), "%" PRId64,
		   now - c->election.confirmed_ms);
	g_snprintf(unanswered, sizeof(unanswered), "%" PRId64,
		   r->unanswered_ms);
	vh_log(G_LOG_LEVEL_WARNING, what, "epoch", epoch, "why", why,
	       "nodes_reach_heard_known", nodes, "unconfirmed_ms", unconfirmed,
	       "unanswered_ms", unanswered, "unanswered_by",
	       r->unanswered_by ? r->unanswered_by : "", NULL);
}

static void step_down(struct vh_cell *c, int64_t now,
		      const struct peer_reachability *r)
{
	log_reason(c, "owner steps down", now, r);
	stop_owner(c, election_reason_text(c->election.reason));
	peer_server_broadcast(&c->peer_server, WIRE_OWNER_RESIGNED,
			      c->election.epoch);
	election_stepped_down(&c->election, now);
}

static void update_unconfirmed_metric(struct vh_cell *c, int64_t now)
{
	*vh_metrics_gauge(&c->kernel->metrics, "vh_owner_unconfirmed_seconds",
			  NULL) =
		c->owner ? (double)(now - c->election.confirmed_ms) / MS_PER_S
			 : 0;
}

static void on_election_timer(void *ctx)
{
	struct vh_cell *c = ctx;
	int64_t now = vh_kernel_now_ms(c->kernel);
	enum election_reason reason = c->election.reason;
	struct election_view view = { 0 };
	struct peer_reachability peers;

	peer_server_reachability(&c->peer_server, now, &peers);
	view.peers_heard = peers.n_heard;
	view.peers_reach_store = peers.n_reach_store;
	view.unanswered_ms = peers.unanswered_ms;
	update_unconfirmed_metric(c, now);
	if (c->owner)
		view.served_ms = owner_store_health(
			c->owner, &view.write_refused, &view.refused_sent_ms);
	switch (c->leaving ? ELECTION_NO_ACTION
			   : election_tick(&c->election, now, &view)) {
	case ELECTION_NO_ACTION:
		maybe_yield(c, now);
		break;
	case ELECTION_CHECK_OWNER:
		c->pending_calls++;
		c->ports->store->newest(c->ports->store_self, VH_TOPIC_STATE,
					vh_slice_str(VH_KEY_BEFORE_HEARTBEAT),
					on_first_check, c);
		break;
	case ELECTION_WRITE_CLAIM:
		write_record(c, false, on_claimed);
		break;
	case ELECTION_PROBE_NODES:
		log_epoch("nodes asked whether they reach the store",
			  c->election.epoch,
			  view.write_refused ? "refused" : "silent");
		peer_server_broadcast(&c->peer_server, WIRE_STORE_PROBE,
				      c->election.epoch);
		break;
	case ELECTION_STEP_DOWN:
		step_down(c, now, &peers);
		break;
	}
	if (c->owner && c->election.reason != reason)
		log_reason(c,
			   c->election.reason == ELECTION_CONFIRMED
				   ? "owner is confirmed again"
				   : "owner acts without a confirmation",
			   now, &peers);
	vh_timer_start(&c->election_timer, ELECTION_TICK_MS);
}

static void on_advice_request(void *ctx, const struct vh_frame *f)
{
	advice_proxy_call(ctx, f);
}

static void on_heartbeat(void *ctx, uint64_t epoch, uint64_t rank)
{
	struct vh_cell *c = ctx;

	c->election.claim_delay_ms = (int64_t)rank * DELAY_PER_RANK_MS;

	election_owner_heard(&c->election, epoch, vh_kernel_now_ms(c->kernel));
}

static void on_owner_dead(void *ctx, uint64_t epoch)
{
	struct vh_cell *c = ctx;

	if (!c->election.owner_dead)
		log_epoch("owner process is gone", epoch,
			  "connection refused or process replaced");
	election_owner_dead(&c->election, epoch, vh_kernel_now_ms(c->kernel));
}

static void on_store_probed(void *ctx, const struct vh_read_reply *r)
{
	struct vh_cell *c = ctx;

	if (!accept_call_result(c))
		return;
	if (r->result == VH_STORE_OK)
		owner_client_report_store_reached(&c->owner_client,
						  c->owner_client.epoch);
}

static void on_store_probe(void *ctx, uint64_t epoch)
{
	struct vh_cell *c = ctx;

	if (epoch != c->owner_client.epoch)
		return;
	c->pending_calls++;
	c->ports->store->read(c->ports->store_self, VH_TOPIC_OWNER,
			      c->owner_reader.next_offset, 0, on_store_probed,
			      c);
}

static void on_owner_resigned(void *ctx, uint64_t epoch)
{
	struct vh_cell *c = ctx;

	log_epoch("owner has stopped", epoch, "announced");
	election_owner_resigned(&c->election, epoch,
				vh_kernel_now_ms(c->kernel));
}

static int64_t store_age_ms(void *ctx)
{
	struct vh_cell *c = ctx;

	return topic_reader_age_ms(&c->objects_reader,
				   vh_kernel_now_ms(c->kernel));
}

void ownership_init(struct vh_cell *c)
{
	c->owner_reader.kernel = c->kernel;
	c->owner_reader.ports = c->ports;
	c->owner_reader.topic = VH_TOPIC_OWNER;
	c->owner_reader.wait_ms = OWNER_POLL_MS;
	c->owner_reader.on_record = on_owner_record;
	c->owner_reader.on_caught_up = on_owner_caught_up;
	c->owner_reader.ctx = c;
}

bool ownership_start(struct vh_cell *c, GError **err)
{
	if (!peer_server_start(&c->peer_server, c->kernel,
			       vh_slice_str(c->peer_address), c->incarnation,
			       err))
		return false;
	owner_client_init(&c->owner_client, c->kernel, c->name, c->incarnation);
	c->owner_client.cpu_share_milli = c->cpu_share_milli;
	c->owner_client.wants_load = c->owner_settings.admission;
	c->owner_client.advice_request = on_advice_request;
	c->owner_client.heartbeat = on_heartbeat;
	c->owner_client.owner_dead = on_owner_dead;
	c->owner_client.store_age_ms = store_age_ms;
	c->owner_client.store_probe = on_store_probe;
	c->owner_client.owner_resigned = on_owner_resigned;
	c->owner_client.ctx = c;
	election_init(&c->election, MAX_DELAY_MS, vh_kernel_now_ms(c->kernel));
	vh_timer_init(&c->election_timer, c->kernel, on_election_timer, c);
	vh_timer_init(&c->check_timer, c->kernel, check_again, c);
	vh_timer_start(&c->election_timer, ELECTION_TICK_MS);
	topic_reader_start(&c->owner_reader);
	return true;
}

void ownership_stop(struct vh_cell *c)
{
	c->stopped = true;
	stop_owner(c, "process stops");
	topic_reader_stop(&c->owner_reader);
	vh_timer_stop(&c->election_timer);
	vh_timer_stop(&c->check_timer);
	owner_client_finish(&c->owner_client);
	peer_server_stop(&c->peer_server);
}

bool ownership_idle(const struct vh_cell *c)
{
	return !c->pending_calls && !c->live_owners &&
	       topic_reader_idle(&c->owner_reader);
}

void ownership_finish(struct vh_cell *c)
{
	vh_timer_finish(&c->election_timer);
	vh_timer_finish(&c->check_timer);
	topic_reader_finish(&c->owner_reader);
}

void vh_cell_leave(struct vh_cell *c)
{
	bool owned = c->owner;

	if (c->leaving)
		return;
	c->leaving = true;
	stop_owner(c, "node leaves");
	if (owned)
		write_record(c, true, on_released);
}
