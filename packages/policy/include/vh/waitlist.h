#ifndef VH_WAITLIST_H
#define VH_WAITLIST_H

#include "vh/place.h"

#define VH_WAITLIST_MAX 128    /* demands kept at one rack */
#define VH_WAITLIST_WORKERS 16 /* workers of one rack at the most */
#define VH_DEMAND_TTL_MS 600   /* a demand not asked for again is forgotten */

/**
 * struct vh_demand - a task that a home has asked a rack's owner to start
 * @id: unlike for each task, for example a hash of its name and attempt
 * @team: a small number
 * @share: the team's weighted dominant share, vh_share_weighted()
 * @step: what one more such task adds to it
 * @due: the weighted share that the team is due; UINT64_MAX if not known
 * @accepted_ms: when the job was accepted, on the owner's clock
 * @deadline_ms: no start later; 0 for none
 * @run_ms: estimated run time; 0 for not known
 * @reserve: its home wants a worker of this rack kept for it; a home asks this
 *	     for one task at a time and at one rack
 */
struct vh_demand {
	uint64_t id;
	uint32_t team;
	uint32_t priority;
	uint64_t share;
	uint64_t step;
	uint64_t due;
	int64_t accepted_ms;
	int64_t deadline_ms;
	int64_t run_ms;
	bool reserve;
	struct vh_place_request want;
};

struct vh_waitlist_entry {
	struct vh_demand demand;
	int64_t heard_ms;
};

/**
 * struct vh_waitlist - demands that found a rack full, and who goes first
 *
 * Homes ask again every few hundred milliseconds; each asking refreshes the
 * demand. When room is there, vh_waitlist_admit() grants it to the demand whose
 * turn it is and refuses the others, so that whoever happens to ask first
 * takes nothing from those before it. Zeroed memory is an empty list.
 *
 * The order: urgent work; then services of teams below their due share; then
 * by weighted dominant share. Within a team by priority, raised by ageing, then
 * by acceptance. Nobody waits for a demand that does not fit,
 * with one exception: of those that ask to reserve, have waited
 * VH_RESERVE_AFTER_MS and are of a team not above its due share, one worker is
 * kept for the one that has waited longest. Others may use that one only if their estimated run ends before the
 * worker has room for it (backfill).
 */
struct vh_waitlist {
	struct vh_waitlist_entry items[VH_WAITLIST_MAX];
	size_t n;
	uint32_t dropped; /* demands forgotten because the list was full */
};

#define VH_RESERVE_AFTER_MS 5000

/** struct vh_worker_forecast - a worker with what is known of its future */
struct vh_worker_forecast {
	struct vh_candidate worker;
	int64_t release_ms[4]; /* when a quarter, half, ... of what is committed
				is expected back; 0 for not known */
};

enum vh_waitlist_result {
	VH_WAITLIST_START,     /* its turn: place it as @place says */
	VH_WAITLIST_NO_ROOM,   /* fits nowhere now */
	VH_WAITLIST_NOT_FIRST, /* room is there for one whose turn is before */
	VH_WAITLIST_DEADLINE,  /* too late */
	VH_WAITLIST_NEVER_FITS /* fits no worker of the rack */
};

/**
 * struct vh_waitlist_decision - the answer to a demand
 * @place: the worker, or what was short
 * @before: demands whose turn is before and that room is there for
 * @first_team: team of the first of those
 */
struct vh_waitlist_decision {
	enum vh_waitlist_result result;
	struct vh_place_result place;
	uint32_t before;
	uint32_t first_team;
};

/**
 * vh_waitlist_admit - may this demand start now?
 * @loads: @n workers, at most VH_WAITLIST_WORKERS
 *
 * START removes it from the list; any other result but NEVER and DEADLINE
 * keeps it there.
 */
void vh_waitlist_admit(struct vh_waitlist *w, const struct vh_demand *demand,
		       const struct vh_worker_forecast *loads, size_t n,
		       int64_t now_ms, struct vh_waitlist_decision *out);

/* vh_waitlist_remove - the task was cancelled or started elsewhere */
void vh_waitlist_remove(struct vh_waitlist *w, uint64_t id);

/* vh_waitlist_remove_many - the @n tasks of a wave of cancellations; takes
 * time in proportion to @n plus the list's length */
void vh_waitlist_remove_many(struct vh_waitlist *w, const uint64_t *ids,
			     size_t n);

/* vh_demand_before - does @a go before @b? A strict order. */
bool vh_demand_before(const struct vh_demand *a, const struct vh_demand *b,
		      int64_t now_ms);

#endif
