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

enum claim_action {
	CLAIM_NOTHING,
	CLAIM_LOOK, /* see whether the owner still writes; claim_looked() */
	CLAIM_TAKE, /* write a claim; claim_refused() or a new record follows */
	CLAIM_ASK, /* ask the nodes whether they reach the store; claim_reached() */
	CLAIM_STEP_DOWN /* stop acting, and tell the nodes: claim_vacant() */
};

/**
 * struct claim
 * @epoch: of the newest known record, 0: none
 * @mine: that record is this process's own
 * @released: the owner gave up its ownership
 * @dead: the owner's address refuses connections, or answers as another process
 * @heard_ms: when the owner was last heard
 * @vacant_ms: since when nobody owns the cell, as far as is known; 0: somebody
 * @delay_ms: how long this node waits before it claims
 * @known: the newest record has been read from the store
 * @proved_ms: when this owner last had an answer from the store
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
	int64_t vacant_ms;
	int64_t look_after_ms;
	int64_t delay_ms;
	int64_t proved_ms;
	int64_t ask_after_ms;
	int64_t reached_ms;
};

void claim_init(struct claim *c, int64_t delay_ms, int64_t now_ms);

/* claim_record - a record was read; older ones change nothing */
void claim_record(struct claim *c, uint64_t epoch, bool mine, bool released,
		  int64_t now_ms);

/* claim_known - the store held no newer record at @now_ms */
void claim_known(struct claim *c, int64_t now_ms);

/* claim_heard - the owner of @epoch was heard */
void claim_heard(struct claim *c, uint64_t epoch, int64_t now_ms);

/* claim_dead - nobody listens at the owner's address */
void claim_dead(struct claim *c, uint64_t epoch, int64_t now_ms);

/* claim_looked - whether the owner wrote while it was watched */
void claim_looked(struct claim *c, bool writes, bool failed, int64_t now_ms);
void claim_refused(struct claim *c, int64_t now_ms);

/* claim_reached - a node answered an owner that it has just reached the store */
void claim_reached(struct claim *c, int64_t now_ms);

/* claim_vacant - the owner of @epoch says that it has stopped acting */
void claim_vacant(struct claim *c, uint64_t epoch, int64_t now_ms);

/**
 * struct claim_view - what an owner sees of the store and of the others
 * @peers: other nodes were heard lately
 * @peers_reach: some of them reached the store lately
 * @refused: the store turned the owner's last write away
 * @answered_ms: when the newest call that the store served was sent
 */
struct claim_view {
	bool peers;
	bool peers_reach;
	bool refused;
	int64_t answered_ms;
};

/* claim_tick - what to do now; call every 50 ms or so */
enum claim_action claim_tick(struct claim *c, int64_t now_ms,
			     const struct claim_view *view);

/* claim_gave_up - this owner stopped acting; another is to be looked for */
void claim_gave_up(struct claim *c, int64_t now_ms);

/**
 * struct claim_place - how well placed a node is to own the cell
 * @strength: share of a processor, in thousandths
 * @store_ms: how long the store takes to answer it
 */
struct claim_place {
	uint64_t strength;
	uint64_t store_ms;
};

/**
 * claim_yields - whether an owner should hand over to another node
 * @known_ms: how long the other has been connected
 *
 * Load that it answers: after a kill the cell is owned from another region, and
 * each placement and each end crosses it twice, until somebody ends that.
 */
bool claim_yields(struct claim_place own, struct claim_place other,
		  int64_t known_ms);

/* claim_former_ms - how long after a claim a former owner may still act */
int64_t claim_former_ms(void);

#endif
