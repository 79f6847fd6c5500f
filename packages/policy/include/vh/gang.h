#ifndef VH_GANG_H
#define VH_GANG_H

/*
 * Gang scheduling: the gang requests and holds at a rack, and the state machine
 * of a gang at its home. Called by core (home_gang.c, placement.c and
 * racks_rpc.c) and by the policy simulator.
 *
 * A gang starts all its tasks or none. Its home requests holds from racks; once
 * every task has a hold, the home confirms, and the racks turn the holds into
 * commitments. Gangs are totally ordered over the whole cell by ticket: the
 * time of acceptance, then the id. A rack revokes unconfirmed holds of a
 * younger gang in favour of an older one (wound-wait), so the oldest gang
 * always progresses and there is no deadlock. While a gang waits, capacity that
 * is released goes to its holds before other work; if no worker has room for
 * one of its tasks, the workers with the most free capacity are drained until
 * one has. Only the oldest gang at a rack accumulates holds in this way; a
 * younger one must find room for all its tasks at once, or its holds expire
 * within VH_GANG_YOUNGER_HOLD_TTL_MS.
 */

#include "vh/place.h"

#define VH_GANG_HOLDS_MAX 64	 /* holds on one rack's workers */
#define VH_GANG_REQUESTS_MAX 8	 /* gangs that wait at one rack */
#define VH_GANG_RACKS_MAX 64	 /* racks that one gang may spread over */
#define VH_GANG_HOLD_TTL_MS 3000 /* lifetime of a hold without renewal */
/* The same for a gang that is not the oldest at its rack. */
#define VH_GANG_YOUNGER_HOLD_TTL_MS 300
/* How long a request waits before workers are drained for it. */
#define VH_GANG_DRAIN_AFTER_MS 2000
#define VH_GANG_RETRY_MS 1000 /* interval of a waiting gang's requests */

/** struct vh_gang_ticket - a gang's age in wound-wait; smaller is older */
struct vh_gang_ticket {
	int64_t accepted_wall_ms;
	uint64_t id;
};

bool vh_gang_ticket_before(const struct vh_gang_ticket *a,
			   const struct vh_gang_ticket *b);

/** struct vh_gang_hold - room for one task of a gang on one worker */
struct vh_gang_hold {
	struct vh_gang_ticket ticket;
	struct vh_res size;
	uint32_t worker;
	bool confirmed;
	int64_t expires_ms;
	int64_t start_ms; /* when the gang expects to start; 0 if unknown */
};

/**
 * struct vh_gang_request - a gang's request for holds at a rack
 * @tasks: the most tasks that it could run here, including those that already
 *	   have holds; holds beyond this number are released
 * @drain: how many of these tasks workers may be drained for
 * @start_ms: when the gang expects to have holds for all its tasks; 0 if
 *	      unknown
 * @expires_ms: when the request expires unless renewed; set by the table
 * @since_ms: when the request was first received; set by the table
 */
struct vh_gang_request {
	struct vh_gang_ticket ticket;
	struct vh_place_request want;
	uint32_t tasks;
	uint32_t drain;
	int64_t start_ms;
	int64_t expires_ms;
	int64_t since_ms;
};

/**
 * struct vh_gang_table - the gang requests at one rack and their holds
 *
 * Kept by the rack's owner. Zeroed memory is an empty table.
 */
struct vh_gang_table {
	struct vh_gang_request
		requests[VH_GANG_REQUESTS_MAX]; /* oldest gang first */
	size_t n_requests;
	struct vh_gang_hold holds[VH_GANG_HOLDS_MAX];
	size_t n;
	uint64_t draining; /* bitmap of workers drained for the oldest gang */
	int64_t drain_start_ms; /* its start_ms; INT64_MAX without drains */
	uint32_t revoked;	/* holds revoked from younger gangs, total */
};

/**
 * vh_gang_hold - adds or renews a request and its holds
 * @workers: @n workers; @free is capacity less commitments, with holds not
 *	     subtracted
 *
 * Returns the number of tasks that have a hold. The request stays for
 * VH_GANG_HOLD_TTL_MS; capacity that is released meanwhile is assigned to it
 * while it is the oldest gang's.
 */
uint32_t vh_gang_hold(struct vh_gang_table *t,
		      const struct vh_gang_request *request,
		      const struct vh_candidate *workers, size_t n,
		      int64_t now_ms);

/* vh_gang_assign - assigns free capacity to the oldest gang's request; to be
 * called before other work is placed */
void vh_gang_assign(struct vh_gang_table *t, const struct vh_candidate *workers,
		    size_t n, int64_t now_ms);

/**
 * vh_gang_confirm - confirms a gang's holds once all its tasks have one
 *
 * @tasks of its holds here can no longer be revoked, the surplus is released.
 * They expire VH_GANG_HOLD_TTL_MS from now unless started. Returns false, and
 * confirms nothing, if fewer are still held.
 */
bool vh_gang_confirm(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket, uint32_t tasks,
		     int64_t now_ms);

/* vh_gang_start - consumes one confirmed hold and returns its worker, on which
 * the caller commits the task; UINT32_MAX if no hold is left */
uint32_t vh_gang_start(struct vh_gang_table *t,
		       const struct vh_gang_ticket *ticket);

/* vh_gang_release - removes the request and all holds, confirmed or not */
void vh_gang_release(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket);

/* vh_gang_expire - removes expired requests and holds; returns the next time of
 * expiry, INT64_MAX for none */
int64_t vh_gang_expire(struct vh_gang_table *t, int64_t now_ms);

/**
 * vh_gang_subtract_holds - reduces @free to what other work may use
 * @run_ms: estimated run time of that work, 0 if unknown: work that ends
 *	    before the gang expects to start may use unconfirmed holds
 *
 * Subtracts the holds, and clears @free of draining workers unless the work
 * ends before the gang expects to start.
 */
void vh_gang_subtract_holds(const struct vh_gang_table *t,
			    struct vh_candidate *workers, size_t n,
			    int64_t run_ms, int64_t now_ms);

enum vh_gang_state {
	VH_GANG_ACQUIRING,  /* request holds from the racks at next_ms */
	VH_GANG_CONFIRMING, /* all tasks have holds; confirm at every rack */
	VH_GANG_STARTING,   /* all confirmed; start the tasks */
	VH_GANG_FAILED	    /* a rack did not confirm; release and retry */
};

/**
 * struct vh_gang_rack - a gang's holds at one rack
 * @wanted: number of holds to request; 0: release them
 * @drain: as in struct vh_gang_request
 */
struct vh_gang_rack {
	uint32_t rack;
	uint32_t wanted;
	uint32_t drain;
	uint32_t held;
	bool confirmed;
	int64_t held_until_ms; /* expiry of the holds on the home's clock */
};

/**
 * struct vh_gang - a waiting gang at its home
 *
 * A state machine without I/O: the home sends the requests and confirmations,
 * passes on the replies, and acts on @state.
 */
struct vh_gang {
	struct vh_gang_ticket ticket;
	struct vh_place_request want;
	uint32_t tasks;
	enum vh_gang_state state;
	int64_t next_ms; /* when to send the next requests */
	size_t n_parts;
	struct vh_gang_rack parts[VH_GANG_RACKS_MAX]; /* one for each rack */
};

void vh_gang_init(struct vh_gang *g, const struct vh_gang_ticket *ticket,
		  const struct vh_place_request *want, uint32_t tasks,
		  int64_t now_ms);

/**
 * vh_gang_plan - sets @wanted and @drain of each rack for the next requests
 * @racks: @n racks, best first, for example from vh_rack_index_pick()
 * @room: how many tasks each rack's workers would hold if they were empty
 *
 * Every rack is asked to hold all missing tasks, or as many as it has @room
 * for, so that holds are taken wherever capacity is released first; the surplus
 * is released once every task has a hold. Workers are drained on as few racks
 * as suffice. Existing holds are renewed.
 */
void vh_gang_plan(struct vh_gang *g, const uint32_t *racks,
		  const uint32_t *room, size_t n);

/* vh_gang_hold_reply - a rack's reply to a request sent at @asked_ms */
void vh_gang_hold_reply(struct vh_gang *g, uint32_t rack, uint32_t held,
			int64_t asked_ms, int64_t now_ms);

/* vh_gang_confirm_reply - a rack's reply to a confirmation */
void vh_gang_confirm_reply(struct vh_gang *g, uint32_t rack, bool ok,
			   int64_t now_ms);

/* vh_gang_tick - applies timeouts and transitions; returns the new state */
enum vh_gang_state vh_gang_tick(struct vh_gang *g, int64_t now_ms);

/* vh_gang_missing - number of tasks without a hold */
uint32_t vh_gang_missing(const struct vh_gang *g);

#endif
