#ifndef CELL_ELECTION_H
#define CELL_ELECTION_H

/*
 * Leader election: decides when a node claims the ownership of the cell and
 * when the owner gives it up. Does no I/O. Internal to the package; called by
 * ownership.c.
 *
 * Handled faults: the owner dies (its address refuses connections, or it stops
 * sending); the owner is partitioned from the other nodes, from the store or
 * from both; a partitioned node takes a healthy owner for dead; the store is
 * down for all or for some nodes; all nodes start at the same moment.
 *
 * A node that no longer hears the owner first checks whether the owner still
 * writes to the store. An owner that the store refuses or does not answer asks
 * the other nodes: if one of them reaches the store, the owner steps down so
 * that they can claim; if none does, the owner goes on as long as all nodes that
 * it knows answer it. Nodes delay their claims by different times, the best
 * candidate by the shortest, and a claim fails if another one was written first.
 */

#include <stdbool.h>
#include <stdint.h>

#include "vh/slice.h"

/**
 * enum election_action - what a node has to do next
 * @ELECTION_CHECK_OWNER: check whether the owner still writes to the store, and
 *			  report with election_owner_checked()
 * @ELECTION_WRITE_CLAIM: write an ownership record, and report with
 *			  election_record_read() or election_claim_refused()
 * @ELECTION_PROBE_NODES: ask the other nodes whether they reach the store, and
 *			  report with election_node_reached_store()
 * @ELECTION_STEP_DOWN: stop acting as the owner, tell the other nodes, which
 *			call election_owner_resigned(), and report with
 *			election_stepped_down()
 */
enum election_action {
	ELECTION_NO_ACTION,
	ELECTION_CHECK_OWNER,
	ELECTION_WRITE_CLAIM,
	ELECTION_PROBE_NODES,
	ELECTION_STEP_DOWN
};

/**
 * enum election_reason - why an owner acts, or has to step down
 * @ELECTION_CONFIRMED: the store has confirmed it lately
 * @ELECTION_NODES_ANSWER: all nodes that it knows answer it, so none of them has
 *			   claimed the cell
 * @ELECTION_NODE_SERVED: a probed node is served by the store, and it is not
 * @ELECTION_NODES_REACH_STORE: it is not served, and nodes that it hears are
 * @ELECTION_NO_NODE_HEARD: it is not served, and it hears no other node
 * @ELECTION_NODE_SILENT: a node that it knows does not answer and may have
 *			  claimed the cell
 * @ELECTION_LONG_OUTAGE: a node that it does not know may have claimed the cell
 */
enum election_reason {
	ELECTION_CONFIRMED,
	ELECTION_NODES_ANSWER,
	ELECTION_NODE_SERVED,
	ELECTION_NODES_REACH_STORE,
	ELECTION_NO_NODE_HEARD,
	ELECTION_NODE_SILENT,
	ELECTION_LONG_OUTAGE
};

/* election_may_act - whether an owner may act for this reason */
bool election_may_act(enum election_reason reason);
const char *election_reason_text(enum election_reason reason);

/**
 * struct election - one node's view of the ownership
 * @epoch: epoch of the newest known ownership record; 0: none
 * @is_owner: that record was written by this process
 * @released: the owner has released its ownership
 * @owner_dead: the owner's address refuses connections, or another process
 *		answers there
 * @owner_ended: the owner has said so, or it was this process
 * @contact_ms: when a heartbeat of this owner last arrived; 0: never
 * @former_owners_end_ms: when all owners before this one have stopped
 * @reason: why this owner acts, or has stepped down
 * @caught_up: the newest record has been read from the store
 * @call_in_flight: a check or a claim has no result yet
 * @owner_heard_ms: when the owner was last heard
 * @vacant_since_ms: since when the cell is known to have no owner, or a time in
 *		     the future if a claim was refused; 0: not known to be
 *		     vacant
 * @check_after_ms: no check of the owner before this time
 * @claim_delay_ms: time to wait from @vacant_since_ms to a claim
 * @confirmed_ms: when the store last confirmed this owner
 * @outage_seen_ms: when this owner last found, without a recent confirmation,
 *		    that the store is down for the other nodes too; 0: never
 * @probe_after_ms: no probe of the nodes before this time
 * @node_reached_ms: when a node last reported that it reached the store
 */
struct election {
	uint64_t epoch;
	bool is_owner;
	bool released;
	bool owner_dead;
	bool owner_ended;
	int64_t contact_ms;
	int64_t former_owners_end_ms;
	enum election_reason reason;
	bool caught_up;
	bool call_in_flight;
	int64_t owner_heard_ms;
	int64_t vacant_since_ms;
	int64_t check_after_ms;
	int64_t claim_delay_ms;
	int64_t confirmed_ms;
	int64_t outage_seen_ms;
	int64_t probe_after_ms;
	int64_t node_reached_ms;
};

void election_init(struct election *e, int64_t claim_delay_ms, int64_t now_ms);

/* election_record_read - an ownership record was read; old ones are ignored */
void election_record_read(struct election *e, uint64_t epoch, bool is_owner,
			  bool released, int64_t now_ms);

/**
 * election_former_owners_end - bound of the time that former owners may act
 * @within_ms: as the newest record tells; see election_claim_wait_ms()
 */
void election_former_owners_end(struct election *e, int64_t within_ms,
				int64_t now_ms);

/* election_caught_up - the store held no newer record at @now_ms */
void election_caught_up(struct election *e, int64_t now_ms);

/* election_owner_heard - a heartbeat from the owner of @epoch arrived */
void election_owner_heard(struct election *e, uint64_t epoch, int64_t now_ms);

/* election_owner_dead - the owner's process is gone from its address */
void election_owner_dead(struct election *e, uint64_t epoch, int64_t now_ms);

/**
 * election_owner_checked - result of ELECTION_CHECK_OWNER
 * @owner_writes: the owner wrote to the store during the check
 * @failed: the store could not be read
 */
void election_owner_checked(struct election *e, bool owner_writes, bool failed,
			    int64_t now_ms);
void election_claim_refused(struct election *e, int64_t now_ms);

/* election_node_reached_store - a probed node reported to reach the store */
void election_node_reached_store(struct election *e, int64_t now_ms);

/* election_owner_resigned - the owner of @epoch announced that it stopped */
void election_owner_resigned(struct election *e, uint64_t epoch,
			     int64_t now_ms);

/**
 * struct election_view - an owner's connectivity to the store and the nodes
 * @peers_heard: other nodes were heard recently
 * @peers_reach_store: some of them reached the store recently
 * @write_refused: the store refused the owner's last write
 * @refused_sent_ms: when the last refused write was sent
 * @served_ms: when the newest call that the store answered was sent
 * @unanswered_ms: the longest time for which a node that the owner knows has
 *		   not answered its heartbeats; 0: it knows none
 */
struct election_view {
	bool peers_heard;
	bool peers_reach_store;
	bool write_refused;
	int64_t refused_sent_ms;
	int64_t served_ms;
	int64_t unanswered_ms;
};

/* election_tick - returns what to do now; to be called about every 50 ms */
enum election_action election_tick(struct election *e, int64_t now_ms,
				   const struct election_view *view);

/* election_stepped_down - this node has stopped acting as the owner */
void election_stepped_down(struct election *e, int64_t now_ms);

/**
 * struct election_candidate - how suitable a node is to own the cell
 * @cpu_share_milli: CPU share, in thousandths of a processor
 * @store_latency_ms: response time of the store to this node
 */
struct election_candidate {
	uint64_t cpu_share_milli;
	uint64_t store_latency_ms;
};

/**
 * election_should_yield - whether an owner should hand over to another node
 * @connected_ms: how long the other node has been connected
 *
 * After the owner was killed, a node in another region may own the cell. Each
 * placement and each end of a task then crosses regions twice, until the
 * ownership moves back.
 */
bool election_should_yield(struct election_candidate own,
			   struct election_candidate other,
			   int64_t connected_ms);

/**
 * election_permitted_until_ms - until when an owner may act
 *
 * Counted from the sending time of the newest confirmed call, and extended by
 * election_tick() while the store is down for all. Earlier than the time that
 * a successor expects, see election_former_owner_ms().
 */
int64_t election_permitted_until_ms(const struct election *e);

/* election_former_owner_ms - how long a former owner may act after the claim of
 * a node that it knows */
int64_t election_former_owner_ms(void);

/* election_unknown_owner_ms - the same for a node that it may not know */
int64_t election_unknown_owner_ms(void);

/**
 * election_claim_wait_ms - how long former owners may act after a claim
 *
 * Holds for a claim by this node, written at @now_ms or later. The node that
 * claims writes it to its record, for the nodes that claim after it.
 */
int64_t election_claim_wait_ms(const struct election *e, int64_t now_ms);

#endif
