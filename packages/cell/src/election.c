#include "election.h"

#include <glib.h>
#include <string.h>

/* Time since the owner's last heartbeat until it is checked for writes. */
#define CHECK_AFTER_MS 350
/* Time since that heartbeat until the cell counts as vacant if a check found no
 * writes. */
#define OWNER_SILENT_MS 900
#define CHECK_INTERVAL_MS 400 /* after a check that found the owner writing */
#define CHECK_RETRY_MS 300    /* after a check that the store did not answer */
#define CLAIM_RETRY_MS 300    /* after a claim that was refused */
/* An owner steps down after this time without a confirmation by the store,
 * unless all nodes that it knows have answered it within this time and none of
 * them reaches the store. */
#define MAX_UNCONFIRMED_MS 2500
/* It steps down after this time in any case, because of nodes that it does not
 * know. */
#define MAX_OUTAGE_MS 60000
/* A node that the owner's heartbeats have reached within this time is one that
 * the owner knows, even if this node was frozen for half a minute: see
 * PEER_KNOWN_MS in peer_server.c. */
#define CONTACT_MAX_AGE_MS 20000
/* Time since the owner's last answered call until it probes the other nodes. */
#define PROBE_AFTER_REFUSAL_MS 250 /* if the store refuses writes */
#define PROBE_AFTER_SILENCE_MS 900 /* if the store does not answer */
#define PROBE_INTERVAL_MS 300
#define YIELD_MIN_CONNECTED_MS 2000 /* the connection counts as stable */
#define YIELD_MIN_LATENCY_GAIN_MS 25
#define YIELD_CPU_RATIO 2 /* of the other node's CPU share to the owner's */
#define STEP_DOWN_MARGIN_MS 800 /* for calls in flight and timer delays */
#define OUTAGE_MARGIN_MS 3000	/* also for clocks that differ by 3% */
/* An owner sends nothing in this role at this age of its confirmation, which is
 * before a successor takes it to have stopped. A heartbeat to a store that
 * takes 1 s for a write lets the age reach 2540 ms. */
#define MAX_PERMIT_AGE_MS (MAX_UNCONFIRMED_MS + STEP_DOWN_MARGIN_MS - 300)
/* For how long a look at the other nodes that found the store down for all
 * counts. Later ticks of a slow process must not rely on it. */
#define OUTAGE_MAX_AGE_MS 600

void election_init(struct election *e, int64_t claim_delay_ms, int64_t now_ms)
{
	memset(e, 0, sizeof(*e));
	e->claim_delay_ms = claim_delay_ms;
	e->owner_heard_ms = now_ms;
}

void election_record_read(struct election *e, uint64_t epoch, bool is_owner,
			  bool released, int64_t now_ms)
{
	if (epoch < e->epoch || (epoch == e->epoch && !released))
		return;
	e->epoch = epoch;
	e->is_owner = is_owner && !released;
	e->released = released;
	e->owner_dead = false;
	e->owner_ended = released;
	e->contact_ms = 0;
	e->reason = ELECTION_CONFIRMED;
	e->call_in_flight = false;
	e->owner_heard_ms = now_ms;
	e->confirmed_ms = now_ms;
	e->outage_seen_ms = 0;
	e->check_after_ms = 0;
	e->vacant_since_ms = released ? now_ms : 0;
}

void election_former_owners_end(struct election *e, int64_t within_ms,
				int64_t now_ms)
{
	e->former_owners_end_ms = now_ms + within_ms;
}

void election_caught_up(struct election *e, int64_t now_ms)
{
	e->caught_up = true;
	if (!e->epoch && !e->vacant_since_ms)
		e->vacant_since_ms = now_ms;
}

void election_owner_heard(struct election *e, uint64_t epoch, int64_t now_ms)
{
	if (epoch < e->epoch || e->released)
		return;
	e->owner_heard_ms = now_ms;
	e->contact_ms = now_ms;
	e->owner_dead = false;
	if (!e->is_owner)
		e->vacant_since_ms = 0;
}

void election_owner_dead(struct election *e, uint64_t epoch, int64_t now_ms)
{
	if (epoch != e->epoch || e->is_owner || e->owner_dead)
		return;
	e->owner_dead = true;
	if (!e->vacant_since_ms)
		e->vacant_since_ms = now_ms;
}

void election_owner_checked(struct election *e, bool owner_writes, bool failed,
			    int64_t now_ms)
{
	e->call_in_flight = false;
	e->check_after_ms =
		now_ms + (failed ? CHECK_RETRY_MS : CHECK_INTERVAL_MS);
	if (failed || owner_writes)
		return;
	if (now_ms - e->owner_heard_ms >= OWNER_SILENT_MS &&
	    !e->vacant_since_ms)
		e->vacant_since_ms = now_ms;
}

void election_claim_refused(struct election *e, int64_t now_ms)
{
	e->call_in_flight = false;
	if (e->vacant_since_ms)
		e->vacant_since_ms = now_ms + CLAIM_RETRY_MS;
}

void election_node_reached_store(struct election *e, int64_t now_ms)
{
	e->node_reached_ms = now_ms;
}

void election_owner_resigned(struct election *e, uint64_t epoch, int64_t now_ms)
{
	if (epoch != e->epoch || e->is_owner)
		return;
	e->owner_ended = true;
	if (!e->vacant_since_ms)
		e->vacant_since_ms = now_ms;
}

/*
 * Whether the store serves a probed node, which can claim, but not the owner. A
 * store that refused all and is back serves both: only a write that the owner
 * sent after the node's success tells.
 */
static bool nodes_are_served_better(const struct election *e,
				    const struct election_view *v)
{
	return !v->write_refused || v->refused_sent_ms >= e->node_reached_ms;
}

/*
 * Why an owner may act, or may not. Without a confirmation by the store, a node
 * may have claimed the cell, but not one that has answered a heartbeat since.
 */
static enum election_reason reason_to_act(const struct election *e,
					  int64_t now_ms,
					  const struct election_view *v)
{
	int64_t unconfirmed_ms = now_ms - e->confirmed_ms;

	if (unconfirmed_ms < MAX_UNCONFIRMED_MS)
		return ELECTION_CONFIRMED;
	if (v->unanswered_ms >= MAX_UNCONFIRMED_MS)
		return ELECTION_NODE_SILENT;
	if (unconfirmed_ms >= MAX_OUTAGE_MS)
		return ELECTION_LONG_OUTAGE;
	return ELECTION_NODES_ANSWER;
}

static enum election_action step_down(struct election *e,
				      enum election_reason reason)
{
	e->reason = reason;
	return ELECTION_STEP_DOWN;
}

/* What an owner that the store does not serve does, though it may act. */
static enum election_action unserved_tick(struct election *e, int64_t now_ms,
					  const struct election_view *v)
{
	if (now_ms - e->node_reached_ms < PROBE_INTERVAL_MS)
		return nodes_are_served_better(e, v)
			       ? step_down(e, ELECTION_NODE_SERVED)
			       : ELECTION_NO_ACTION;
	if (e->reason == ELECTION_NODES_ANSWER && !v->peers_heard)
		return step_down(e, ELECTION_NO_NODE_HEARD);
	if (e->reason == ELECTION_NODES_ANSWER && v->peers_reach_store)
		return step_down(e, ELECTION_NODES_REACH_STORE);
	if (!v->peers_heard || now_ms < e->probe_after_ms)
		return ELECTION_NO_ACTION;
	e->probe_after_ms = now_ms + PROBE_INTERVAL_MS;
	return ELECTION_PROBE_NODES;
}

/* Only a confirmation tells that no other node has claimed the cell, whatever
 * other calls the store serves. */
static enum election_action owner_tick(struct election *e, int64_t now_ms,
				       const struct election_view *v)
{
	int64_t unserved_ms = now_ms - MAX(v->served_ms, e->confirmed_ms);

	e->reason = reason_to_act(e, now_ms, v);
	if (!election_may_act(e->reason))
		return ELECTION_STEP_DOWN;
	if (e->reason == ELECTION_NODES_ANSWER)
		e->outage_seen_ms = now_ms;
	if (unserved_ms < (v->write_refused ? PROBE_AFTER_REFUSAL_MS
					    : PROBE_AFTER_SILENCE_MS))
		return ELECTION_NO_ACTION;
	return unserved_tick(e, now_ms, v);
}

enum election_action election_tick(struct election *e, int64_t now_ms,
				   const struct election_view *view)
{
	if (e->is_owner)
		return owner_tick(e, now_ms, view);
	if (!e->caught_up || e->call_in_flight)
		return ELECTION_NO_ACTION;
	if (e->vacant_since_ms) {
		if (now_ms - e->vacant_since_ms < e->claim_delay_ms)
			return ELECTION_NO_ACTION;
		e->call_in_flight = true;
		return ELECTION_WRITE_CLAIM;
	}
	if (now_ms - e->owner_heard_ms < CHECK_AFTER_MS ||
	    now_ms < e->check_after_ms)
		return ELECTION_NO_ACTION;
	e->call_in_flight = true;
	return ELECTION_CHECK_OWNER;
}

bool election_should_yield(struct election_candidate own,
			   struct election_candidate other,
			   int64_t connected_ms)
{
	if (connected_ms < YIELD_MIN_CONNECTED_MS)
		return false;
	if (other.cpu_share_milli >= own.cpu_share_milli * YIELD_CPU_RATIO)
		return true;
	return other.cpu_share_milli >= own.cpu_share_milli &&
	       other.store_latency_ms + YIELD_MIN_LATENCY_GAIN_MS <=
		       own.store_latency_ms;
}

bool election_may_act(enum election_reason reason)
{
	return reason == ELECTION_CONFIRMED || reason == ELECTION_NODES_ANSWER;
}

const char *election_reason_text(enum election_reason reason)
{
	static const char *const texts[] = {
		[ELECTION_CONFIRMED] = "the store confirms the owner",
		[ELECTION_NODES_ANSWER] = "all known nodes answer",
		[ELECTION_NODE_SERVED] = "the store serves another node",
		[ELECTION_NODES_REACH_STORE] = "nodes reach the store",
		[ELECTION_NO_NODE_HEARD] = "no node is heard",
		[ELECTION_NODE_SILENT] = "a known node does not answer",
		[ELECTION_LONG_OUTAGE] = "the outage lasts too long",
	};

	return texts[reason];
}

int64_t election_former_owner_ms(void)
{
	return MAX_UNCONFIRMED_MS + STEP_DOWN_MARGIN_MS;
}

/* Its process is gone, it has said that it stops, or there was none. */
static bool former_owner_gone(const struct election *e)
{
	return !e->epoch || e->owner_ended || e->owner_dead;
}

int64_t election_permitted_until_ms(const struct election *e)
{
	int64_t permit = e->confirmed_ms + MAX_PERMIT_AGE_MS;

	if (!e->outage_seen_ms)
		return permit;
	return MAX(permit, e->outage_seen_ms + OUTAGE_MAX_AGE_MS);
}

int64_t election_unknown_owner_ms(void)
{
	return MAX_OUTAGE_MS + OUTAGE_MARGIN_MS;
}

int64_t election_claim_wait_ms(const struct election *e, int64_t now_ms)
{
	bool known =
		former_owner_gone(e) ||
		(e->contact_ms && now_ms - e->contact_ms <= CONTACT_MAX_AGE_MS);
	int64_t owner_ms = known ? election_former_owner_ms()
				 : election_unknown_owner_ms();

	return MAX(owner_ms, e->former_owners_end_ms - now_ms);
}

void election_stepped_down(struct election *e, int64_t now_ms)
{
	e->is_owner = false;
	e->owner_ended = true;
	e->owner_heard_ms = now_ms;
	e->call_in_flight = false;
	e->vacant_since_ms = 0;
}
