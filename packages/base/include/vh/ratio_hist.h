#ifndef VH_RATIO_HIST_H
#define VH_RATIO_HIST_H

/*
 * Histograms with decaying counts, and buckets for ratios. Called by the
 * estimates of the policy package and by the queue statistics of the engine.
 */

#include <stddef.h>
#include <stdint.h>

/* Four buckets per power of two, from 2^-6 to 2^6. */
#define VH_RATIO_BUCKETS 48
#define VH_RATIO_SCALE 65536 /* unit of vh_ratio_upper(), per 1 */

/* vh_ratio_upper - upper bound of a bucket, in units of 1/VH_RATIO_SCALE */
uint64_t vh_ratio_upper(unsigned int bucket);

/* vh_ratio_bucket - the bucket of @part / @whole; a @whole of 0 counts as 1 */
unsigned int vh_ratio_bucket(uint32_t part, uint32_t whole);

/* vh_hist_decay - halves the counts if they sum to @limit or more */
void vh_hist_decay(uint16_t *counts, size_t n, uint32_t *total, uint32_t limit);

/* vh_hist_quantile - the first bucket by whose end at least @percent of all
 * samples lie */
unsigned int vh_hist_quantile(const uint16_t *counts, size_t n, uint32_t total,
			      unsigned int percent);

#endif
