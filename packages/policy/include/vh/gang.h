#ifndef VH_GANG_H
#define VH_GANG_H

#include "vh/place.h"

#define VH_GANG_HOLDS_MAX 64	 /* holds on one rack's workers */
#define VH_GANG_REQUESTS_MAX 8	 /* gangs that wait at one rack */
#define VH_GANG_RACKS_MAX 64	 /* racks that one gang may spread over */
#define VH_GANG_HOLD_TTL_MS 3000 /* a hold not renewed lapses after this */
#define VH_GANG_YOUNGER_HOLD_TTL_MS \
	300 /* the same of a gang that is not the oldest */
#define VH_GANG_DRAIN_AFTER_MS \
	2000		      /* a gang waits so long before workers drain */
#define VH_GANG_RETRY_MS 1000 /* a waiting gang asks its racks this often */

/*
 * A gang starts all its tasks or none. Its home asks racks to hold room; when
 * every task has a hold it confirms, and the racks turn holds into starts.
 * Gangs are in one order over the whole cell, by ticket: the time of
 * acceptance, then the id. A rack takes holds from a younger gang for an older
 * one, but never what is confirmed (wound-wait), so the oldest gang always
 * goes on and no two wait for each other. While a gang waits, room that comes
 * free goes to its holds before smaller work; if no worker has room for one of
 * its tasks, those with the most free take nothing else until they have. Only
 * the oldest gang at a rack gathers in this way; a younger one must find room
 * for all its tasks at once, or what it holds lapses within VH_GANG_YOUNGER_HOLD_TTL_MS.
 */

/** struct vh_gang_ticket - a gang's place in the order; smaller is older */
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
	int64_t start_ms; /* when the gang expects to start, 0: not known */
};

/**
 * struct vh_gang_request - a gang asks a rack to hold room
 * @tasks: the most that it could use here, held ones included; fewer than are
 *	   held gives the rest back
 * @drain: of these, tasks for which workers may be drained
 * @start_ms: when the gang expects to have all; 0: not known
 */
struct vh_gang_request {
	struct vh_gang_ticket ticket;
	struct vh_place_request want;
	uint32_t tasks;
	uint32_t drain;
	int64_t start_ms;
	int64_t expires_ms; /* set by the table */
	int64_t since_ms;   /* set by the table */
};

/**
 * struct vh_gang_table - the asks at one rack and the holds they have
 *
 * Kept by the rack's owner. Zeroed memory is an empty table.
 */
struct vh_gang_table {
	struct vh_gang_request
		asks[VH_GANG_REQUESTS_MAX]; /* oldest gang first */
	size_t n_requests;
	struct vh_gang_hold holds[VH_GANG_HOLDS_MAX];
	size_t n;
	uint64_t draining; /* a bit for each worker kept empty for an ask */
	int64_t drain_start_ms; /* the first start_ms of those asks */
	uint32_t wounded;	/* holds taken from younger gangs so far */
};

/**
 * vh_gang_hold - takes or renews an ask and its holds
 * @workers: @n workers, @free being capacity less commitments: holds are not
 *	     taken off, this does it
 *
 * Returns how many tasks are held now. The ask stays for VH_GANG_HOLD_TTL_MS and
 * gets room that comes free.
 */
uint32_t vh_gang_hold(struct vh_gang_table *t,
		      const struct vh_gang_request *ask,
		      const struct vh_candidate *workers, size_t n,
		      int64_t now_ms);

/* vh_gang_assign - gives what is free to the asks, the oldest gang first; call
 * it before other work is placed */
void vh_gang_assign(struct vh_gang_table *t, const struct vh_candidate *workers,
		    size_t n, int64_t now_ms);

/**
 * vh_gang_confirm - the gang has all it needs
 *
 * @tasks of its holds here can no longer be taken away, the rest is given back.
 * They lapse VH_GANG_HOLD_TTL_MS from now unless started. False if fewer are still
 * held: nothing is confirmed then.
 */
bool vh_gang_confirm(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket, uint32_t tasks,
		     int64_t now_ms);

/* vh_gang_start - turns one confirmed hold into a commitment, which the caller
 * makes: returns its worker, or UINT32_MAX if none is left */
uint32_t vh_gang_start(struct vh_gang_table *t,
		       const struct vh_gang_ticket *ticket);

/* vh_gang_release - gives everything back, confirmed or not */
void vh_gang_release(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket);

/* vh_gang_expire - drops what has lapsed; returns when to call again,
 * INT64_MAX for never */
int64_t vh_gang_expire(struct vh_gang_table *t, int64_t now_ms);

/**
 * vh_gang_subtract_holds - takes holds off the free amounts that other work sees, and
 * all that is free on draining workers
 * @run_ms: estimated run time of that work, 0 for not known: work that ends
 *	    before the gang expects to start may use unconfirmed holds
 */
void vh_gang_subtract_holds(const struct vh_gang_table *t,
			    struct vh_candidate *workers, size_t n,
			    int64_t run_ms, int64_t now_ms);

enum vh_gang_state {
	VH_GANG_ACQUIRING,  /* ask the racks again at next_ms */
	VH_GANG_CONFIRMING, /* all held; confirm at every rack */
	VH_GANG_STARTING,   /* all confirmed; start */
	VH_GANG_FAILED	    /* a rack did not confirm; release, gather again */
};

/**
 * struct vh_gang_rack - what one rack does for a gang
 * @wanted: ask for so many; 0: release
 * @drain: for the ask
 */
struct vh_gang_rack {
	uint32_t rack;
	uint32_t wanted;
	uint32_t drain;
	uint32_t held;
	bool confirmed;
	int64_t held_until_ms; /* on the home's clock, from when it asked */
};

/**
 * struct vh_gang - a waiting gang at its home
 *
 * The home sends asks and confirms and tells the answers; this says what next.
 */
struct vh_gang {
	struct vh_gang_ticket ticket;
	struct vh_place_request want;
	uint32_t tasks;
	enum vh_gang_state state;
	int64_t next_ms;
	size_t n_parts;
	struct vh_gang_rack parts[VH_GANG_RACKS_MAX];
};

void vh_gang_init(struct vh_gang *g, const struct vh_gang_ticket *ticket,
		  const struct vh_place_request *want, uint32_t tasks,
		  int64_t now_ms);

/**
 * vh_gang_plan - how much to ask of each rack in this round
 * @racks: @n racks, best first, for example from vh_rack_index_pick()
 * @room: how many tasks empty workers of each would hold
 *
 * Each rack is asked for all that is missing, so that room is gathered
 * wherever it comes free first; what is too much is given back when the gang
 * is complete. Workers are drained on as few racks as would do. Racks that hold
 * something are asked again.
 */
void vh_gang_plan(struct vh_gang *g, const uint32_t *racks,
		  const uint32_t *room, size_t n);

/* vh_gang_hold_reply - a rack's answer to an ask sent at @asked_ms */
void vh_gang_hold_reply(struct vh_gang *g, uint32_t rack, uint32_t held,
			int64_t asked_ms, int64_t now_ms);

/* vh_gang_confirm_reply - a rack's answer to a confirm */
void vh_gang_confirm_reply(struct vh_gang *g, uint32_t rack, bool ok,
			   int64_t now_ms);

/* vh_gang_tick - moves on with time; returns the state */
enum vh_gang_state vh_gang_tick(struct vh_gang *g, int64_t now_ms);

uint32_t vh_gang_missing(const struct vh_gang *g);

#endif
