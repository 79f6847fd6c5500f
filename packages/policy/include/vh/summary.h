#ifndef VH_SUMMARY_H
#define VH_SUMMARY_H

#include "vh/place.h"

/* Dimensions that a summary carries totals of: VH_CPU, VH_MEM, VH_ACCEL. */
#define VH_SUMMARY_DIMS 3

/* Number of reference shapes whose holders a summary counts. */
#define VH_SUMMARY_SHAPES 8

/**
 * struct vh_rack_summary - what other nodes know of a rack
 * @usable: workers that take work now
 * @waiting: tasks of all homes told to wait here, as a code
 * @max_free: per dimension the most that one usable worker has free, as codes
 * @sum_free: free on all usable workers together, as codes
 * @max_capacity: per dimension the largest worker's capacity, as codes
 * @max_preemptible: the most that one usable worker would have free without
 *		     its batch tasks, as codes
 * @holds: how many usable workers have room for each reference shape now; two
 *	   shapes a byte, the first in the low half
 *
 * Bytes only, so the memory is also the wire form: sizeof is 22.
 */
struct vh_rack_summary {
	uint8_t usable;
	uint8_t waiting;
	uint8_t max_free[VH_DIMS];
	uint8_t sum_free[VH_SUMMARY_DIMS];
	uint8_t max_capacity[VH_DIMS];
	uint8_t max_preemptible[VH_SUMMARY_DIMS];
	uint8_t holds[VH_SUMMARY_SHAPES / 2];
};

/**
 * vh_summary_quantize - an amount as one byte
 *
 * Exact to 15, then three bits behind the leading one, so that the amount of
 * the code is at most 11% below @amount. Codes order as amounts do. Something
 * of size a may fit into b if and only if vh_summary_quantize(a) <=
 * vh_summary_quantize(b), so far as codes can tell.
 */
uint8_t vh_summary_quantize(uint32_t amount);
uint32_t vh_summary_dequantize(uint8_t code);

/**
 * vh_summary_build - a rack's owner sums its workers up
 * @workers: @n workers; the fields @capacity, @free and @usable count
 * @preemptible: per worker what its batch tasks have committed; NULL: none
 * @waiting: tasks told to wait here
 */
void vh_summary_build(struct vh_rack_summary *out,
		      const struct vh_candidate *workers,
		      const struct vh_res *preemptible, size_t n,
		      uint32_t waiting);

/* vh_summary_fit_count - workers that surely have room for @size; 0 to 15 */
unsigned int vh_summary_fit_count(const struct vh_rack_summary *s,
				  const struct vh_res *size);

#endif
