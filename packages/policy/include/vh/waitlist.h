#ifndef VH_WAITLIST_H
#define VH_WAITLIST_H

/*
 * Orders the demands that wait at a full rack and admits them as capacity is
 * released. Called by core (placement.c), the policy simulator and its
 * benchmark.
 */

#include "vh/place.h"

#define VH_WAITLIST_MAX 128    /* demands kept at one rack */
#define VH_WAITLIST_WORKERS 16 /* most workers in one rack */
#define VH_DEMAND_TTL_MS 600   /* a demand not renewed within this expires */

/**
 * struct vh_demand - a home's request that a rack's owner start a task
 * @id: unique for each task, for example a hash of its name and attempt
 * @team: index of the team
 * @share: the team's weighted dominant share, see vh_share_weighted()
 * @step: by how much one more such task raises @share
 * @due: the team's fair share, weighted; UINT64_MAX if unknown
 * @accepted_ms: when the job was accepted, on the owner's clock
 * @deadline_ms: latest start; 0 for none
 * @run_ms: estimated run time; 0 if unknown
 * @reserve: the home asks for a worker of this rack to be reserved for it; a
 *	     home asks this for one task at a time and at one rack
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

/** struct vh_waitlist_entry - a demand and when its home last repeated it */
struct vh_waitlist_entry {
	struct vh_demand demand;
	int64_t renewed_ms;
};

/**
 * struct vh_waitlist - the demands that wait at a full rack, and their order
 *
 * Homes repeat a request every few hundred milliseconds, which renews the
 * demand. When capacity becomes free, vh_waitlist_admit() admits the demand
 * that is first in order and refuses the others, so that an early request does
 * not take capacity from demands that precede it. Zeroed memory is an empty
 * list.
 *
 * The order: urgent work; then services of teams below their fair share; then
 * by weighted dominant share. Within a team by priority, raised by ageing, then
 * by time of acceptance. A demand that does not fit delays no other, with one
 * exception: among the demands that ask for a reservation, have waited
 * VH_RESERVE_AFTER_MS and belong to a team not above its fair share, the one
 * that has waited longest gets one worker reserved. Other demands may use that
 * worker only if their estimated run ends before it has room for the
 * reservation (backfill).
 */
struct vh_waitlist {
	struct vh_waitlist_entry items[VH_WAITLIST_MAX];
	size_t n;
	uint32_t dropped; /* demands lost because the list was full */
};

#define VH_RESERVE_AFTER_MS 5000

/**
 * struct vh_worker_forecast - a worker and the expected ends of its tasks
 * @release_ms: when a quarter, a half, three quarters and all of the committed
 *		amount are expected to be released; 0 if unknown
 */
struct vh_worker_forecast {
	struct vh_candidate worker;
	int64_t release_ms[4];
};

enum vh_waitlist_result {
	VH_WAITLIST_START,     /* admitted: start it on the worker in @place */
	VH_WAITLIST_NO_ROOM,   /* no worker has room now */
	VH_WAITLIST_NOT_FIRST, /* the free room goes to a preceding demand */
	VH_WAITLIST_DEADLINE,  /* its deadline has passed */
	VH_WAITLIST_NEVER_FITS /* fits no worker of the rack */
};

/**
 * struct vh_waitlist_decision - the answer to a demand
 * @place: the chosen worker, or which dimension was short
 * @before: number of preceding demands for which a worker has room now
 * @first_team: team of the first of those demands
 */
struct vh_waitlist_decision {
	enum vh_waitlist_result result;
	struct vh_place_result place;
	uint32_t before;
	uint32_t first_team;
};

/**
 * vh_waitlist_admit - decides whether a demand may start now
 * @forecasts: @n workers, at most VH_WAITLIST_WORKERS
 *
 * START, NEVER_FITS and DEADLINE remove the demand from the list. Any other
 * result adds or renews it, but a full list drops the demand that is last in
 * order.
 */
void vh_waitlist_admit(struct vh_waitlist *w, const struct vh_demand *demand,
		       const struct vh_worker_forecast *forecasts, size_t n,
		       int64_t now_ms, struct vh_waitlist_decision *out);

/* vh_waitlist_remove - the task was cancelled or started elsewhere */
void vh_waitlist_remove(struct vh_waitlist *w, uint64_t id);

/* vh_waitlist_remove_many - removes @n tasks, for example those of cancelled
 * jobs, in time linear in @n plus the length of the list */
void vh_waitlist_remove_many(struct vh_waitlist *w, const uint64_t *ids,
			     size_t n);

/* vh_demand_before - whether @a precedes @b, a strict total order */
bool vh_demand_before(const struct vh_demand *a, const struct vh_demand *b,
		      int64_t now_ms);

#endif
