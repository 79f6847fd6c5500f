#ifndef VH_SHARE_H
#define VH_SHARE_H

/*
 * Fair shares of teams: dominant shares, weighted max-min fairness and the
 * deviation from it. Called by core (home_place.c), which orders demands by
 * dominant share, and by the policy simulator.
 */

#include <stddef.h>

#include "vh/res.h"

/* Shares are fractions of the fleet in millionths. */
#define VH_SHARE_SCALE 1000000

/* Buckets of struct vh_share_window. */
#define VH_SHARE_BUCKETS 12

/**
 * vh_share_dominant - dominant share: the largest fraction of the fleet used
 *
 * Over processors, memory and accelerators; a dimension of which the fleet has
 * none is skipped. In millionths, rounded up.
 */
uint64_t vh_share_dominant(const struct vh_res *running,
			   const struct vh_res *fleet);

/**
 * vh_share_weighted - the dominant share divided by the team's weight
 * @weight: at least 1
 *
 * The team with the smallest value goes first. The unit is 1/1024 of a
 * millionth of the fleet per unit of weight.
 */
uint64_t vh_share_weighted(uint64_t dominant, uint32_t weight);

/**
 * struct vh_share_team - a team's input to and result of vh_share_max_min()
 * @weight: at least 1
 * @demand: dominant share of its running and waiting tasks together
 * @due: set to the team's fair share
 */
struct vh_share_team {
	uint32_t weight;
	uint64_t demand;
	uint64_t due;
};

/**
 * vh_share_max_min - weighted max-min fairness
 *
 * A team whose demand is below its weighted part gets its demand, and the rest
 * of its part is divided among the others by weight. The sum of @due is at most
 * VH_SHARE_SCALE, and equal to it, but for rounding, if demand suffices.
 */
void vh_share_max_min(struct vh_share_team *teams, size_t n);

/**
 * struct vh_share_window - a team's used and fair share over a sliding window
 * @bucket_ms: length of a bucket, a twelfth of the window
 * @newest: number of the newest bucket, time / @bucket_ms
 * @got, @due: used and fair share times milliseconds, by bucket
 * @ms: recorded milliseconds, by bucket
 *
 * Zeroed memory with @bucket_ms set is an empty window.
 */
struct vh_share_window {
	int64_t bucket_ms;
	int64_t newest;
	uint64_t got[VH_SHARE_BUCKETS];
	uint64_t due[VH_SHARE_BUCKETS];
	uint64_t ms[VH_SHARE_BUCKETS];
};

/* vh_share_window_add - records that the team used @got and was due @due for
 * the @ms before @now_ms; to be called at least once per bucket */
void vh_share_window_add(struct vh_share_window *w, uint64_t got, uint64_t due,
			 int64_t ms, int64_t now_ms);

/* vh_share_window_read - the averages over the window */
void vh_share_window_read(const struct vh_share_window *w, int64_t now_ms,
			  uint64_t *got, uint64_t *due);

/**
 * vh_share_deviation - how far @n teams are from their fair shares
 *
 * Half the sum of |got - due| divided by the sum of due, in millionths: 0 if
 * every team got its fair share, at most VH_SHARE_SCALE if the teams together
 * got no more than the sum of due.
 */
uint64_t vh_share_deviation(const struct vh_share_window *windows, size_t n,
			    int64_t now_ms);

#endif
