#ifndef VH_SHARE_H
#define VH_SHARE_H

#include <stddef.h>

#include "vh/res.h"

/* Shares are parts of the whole fleet in millionths. */
#define VH_SHARE_SCALE 1000000

/* Buckets of a sliding window. */
#define VH_SHARE_BUCKETS 12

/**
 * vh_share_dominant - the largest part of the fleet that @running takes
 *
 * Over processors, memory and accelerators; a dimension that the fleet has
 * none of does not count. In millionths, rounded up.
 */
uint64_t vh_share_dominant(const struct vh_res *running,
			   const struct vh_res *fleet);

/**
 * vh_share_weighted - a dominant share by which teams are compared
 * @weight: of the team, at least 1
 *
 * The team with the least goes first. Millionths of the fleet per unit of
 * weight, in 1/1024.
 */
uint64_t vh_share_weighted(uint64_t dominant, uint32_t weight);

/**
 * struct vh_share_team - a team as vh_share_max_min() sees it
 * @weight: at least 1
 * @demand: dominant share of what it runs and what it waits for
 * @due: set to the share that it is due
 */
struct vh_share_team {
	uint32_t weight;
	uint64_t demand;
	uint64_t due;
};

/**
 * vh_share_max_min - weighted max-min fairness
 *
 * A team that wants less than its part gets what it wants, and what it leaves
 * is divided among the others by weight. The sum of @due is at most
 * VH_SHARE_SCALE, and equal to it (but for rounding) if demand suffices.
 */
void vh_share_max_min(struct vh_share_team *teams, size_t n);

/**
 * struct vh_share_window - got against due of one team over the last while
 * @bucket_ms: a twelfth of the window
 * @got, @due: share times milliseconds, by bucket
 *
 * Zeroed memory with @bucket_ms set is an empty window.
 */
struct vh_share_window {
	int64_t bucket_ms;
	int64_t newest; /* number of the newest bucket */
	uint64_t got[VH_SHARE_BUCKETS];
	uint64_t due[VH_SHARE_BUCKETS];
	uint64_t ms[VH_SHARE_BUCKETS];
};

/* vh_share_window_add - the team had @got and was due @due for @ms until
 * @now_ms; call it at least once each bucket */
void vh_share_window_add(struct vh_share_window *w, uint64_t got, uint64_t due,
			 int64_t ms, int64_t now_ms);

/* vh_share_window_read - means over the window */
void vh_share_window_read(const struct vh_share_window *w, int64_t now_ms,
			  uint64_t *got, uint64_t *due);

/**
 * vh_share_deviation - how far @n teams are from their shares
 *
 * Half the sum of |got - due| over the sum of due, in millionths: 0 when all
 * got what they were due, at most VH_SHARE_SCALE when nobody got more than
 * the sum of dues.
 */
uint64_t vh_share_deviation(const struct vh_share_window *windows, size_t n,
			    int64_t now_ms);

#endif
