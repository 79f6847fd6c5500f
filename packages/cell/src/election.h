#ifndef CELL_CLAIM_H
#define CELL_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "vh/slice.h"

/*
 * When a node claims the ownership of the cell, and when an owner gives it up:
 * decisions only, no input or output.
 *
 * Faults that it answers: the owner dies (its address refuses, or it falls
 * silent), is cut off from the others, from the store or from both; a node
 * that is cut off itself takes a sound owner for dead; the store is down for
 * all, or for some; all nodes start at the same moment.
 *
 * A node that no longer hears the owner looks first whether the owner still
 * writes to the store. An owner that the store turns away, or does not answer,
 * asks the others: when one of them reaches the store, the owner stops and lets
 * them claim; when none does, all goes on as it is. Nodes wait for different
 * times before they claim, the best placed the shortest, and a claim fails when
 * another came first.
 */

enum election_action {
	ELECTION_NO_ACTION,
	ELECTION_CHECK_OWNER, /* see whether the owner still writes; election_owner_checked() */
	ELECTION_WRITE_CLAIM, /* write a claim; election_claim_refused() or a new record follows */
	ELECTION_PROBE_NODES, /* ask the nodes whether they reach the store; election_node_reached_store() */
	ELECTION_STEP_DOWN /* stop acting, and tell the nodes: election_owner_resigned() */
};

/**
 * struct claim
 * @epoch: of the newest known record, 0: none
 * @mine: that record is this process's own
 * @released: the owner gave up its ownership
 * @dead: the owner's address refuses connections, or answers as another process
 * @heard_ms: when the owner was last heard
 * @vacant_since_ms: since when nobody owns the cell, as far as is known; 0: somebody
 * @delay_ms: how long this node waits before it claims
 * @known: the newest record has been read from the store
 * @confirmed_ms: when this owner last had an answer from the store
 * @ask_after_ms: when the nodes may be asked again
 * @reached_ms: when a node last said that it had just reached the store
 */
struct claim {
	uint64_t epoch;
	bool mine;
	bool released;
	bool dead;
	bool known;
	bool busy;
	int64_t heard_ms;
	int64_t vacant_since_ms;
	int64_t check_after_ms;
	int64_t delay_ms;
	int64_t confirmed_ms;
	int64_t ask_after_ms;
	int64_t reached_ms;
};

void election_init(struct claim *c, int64_t delay_ms, int64_t now_ms);

/* election_record_read - a record was read; older ones change nothing */
void election_record_read(struct claim *c, uint64_t epoch, bool mine,
			  bool released, int64_t now_ms);

/* election_caught_up - the store held no newer record at @now_ms */
void election_caught_up(struct claim *c, int64_t now_ms);

/* election_owner_heard - the owner of @epoch was heard */
void election_owner_heard(struct claim *c, uint64_t epoch, int64_t now_ms);

/* election_owner_dead - nobody listens at the owner's address */
void election_owner_dead(struct claim *c, uint64_t epoch, int64_t now_ms);

/* election_owner_checked - whether the owner wrote while it was watched */
void election_owner_checked(struct claim *c, bool writes, bool failed,
			    int64_t now_ms);
void election_claim_refused(struct claim *c, int64_t now_ms);

/* election_node_reached_store - a node answered an owner that it has just reached the store */
void election_node_reached_store(struct claim *c, int64_t now_ms);

/* election_owner_resigned - the owner of @epoch says that it has stopped acting */
void election_owner_resigned(struct claim *c, uint64_t epoch, int64_t now_ms);

/**
 * struct election_view - what an owner sees of the store and of the others
 * @peers: other nodes were heard lately
 * @peers_reach_store: some of them reached the store lately
 * @refused: the store turned the owner's last write away
 * @answered_ms: when the newest call that the store served was sent
 */
struct election_view {
	bool peers;
	bool peers_reach_store;
	bool refused;
	int64_t answered_ms;
};

/* election_tick - what to do now; call every 50 ms or so */
enum election_action election_tick(struct claim *c, int64_t now_ms,
				   const struct election_view *view);

/* election_stepped_down - this owner stopped acting; another is to be looked for */
void election_stepped_down(struct claim *c, int64_t now_ms);

/**
 * struct election_candidate - how well placed a node is to own the cell
 * @cpu_share_milli: share of a processor, in thousandths
 * @store_ms: how long the store takes to answer it
 */
struct election_candidate {
	uint64_t cpu_share_milli;
	uint64_t store_ms;
};

/**
 * election_should_yield - whether an owner should hand over to another node
 * @connected_ms: how long the other has been connected
 *
 * Load that it answers: after a kill the cell is owned from another region, and
 * each placement and each end crosses it twice, until somebody ends that.
 */
bool election_should_yield(struct election_candidate own,
			   struct election_candidate other,
			   int64_t connected_ms);

/* election_former_owner_ms - how long after a claim a former owner may still act */
int64_t election_former_owner_ms(void);

#endif
