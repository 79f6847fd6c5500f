#ifndef VH_SUMMARY_H
#define VH_SUMMARY_H

/*
 * Summarizes the capacity of a rack in a few bytes for other nodes. Called by
 * core (racks_view.c), by rack_index.c in this package, and by the policy
 * simulator and its benchmark.
 */

#include "vh/place.h"

/* Dimensions with totals in a summary: VH_CPU, VH_MEM, VH_ACCEL. */
#define VH_SUMMARY_DIMS 3

/* Reference sizes for which a summary counts the workers with room. */
#define VH_SUMMARY_SHAPES 8

/**
 * struct vh_rack_summary - a rack's capacity as published to other nodes
 * @usable: workers that accept tasks now
 * @waiting: tasks of all homes that wait at the rack, quantized
 * @max_free: the largest free amount of a usable worker, quantized
 * @sum_free: free amounts of all usable workers together, quantized
 * @max_capacity: the largest capacity of a worker, quantized
 * @max_preemptible: the largest amount that a usable worker would have free
 *		     without its batch tasks, quantized
 * @holds: number of usable workers with room for each reference size, 4 bits
 *	   each, the first of two in the low half
 *
 * Arrays but @holds are indexed by dimension, and each maximum is taken per
 * dimension. Quantized amounts are those of vh_summary_quantize(). All fields
 * are bytes, so the memory is also the wire format; sizeof is 22.
 */
struct vh_rack_summary {
	uint8_t usable;
	uint8_t waiting;
	uint8_t max_free[VH_DIM_COUNT];
	uint8_t sum_free[VH_SUMMARY_DIMS];
	uint8_t max_capacity[VH_DIM_COUNT];
	uint8_t max_preemptible[VH_SUMMARY_DIMS];
	uint8_t holds[VH_SUMMARY_SHAPES / 2];
};

/**
 * vh_summary_quantize - an amount as one byte, rounded down
 *
 * Exact to 15, then a floating-point format with a mantissa of three bits, so
 * that the decoded amount is less than 1/9 below @amount. The codes are
 * monotonic in the amount: if the code of a is greater than that of b, then a
 * does not fit into b; otherwise it may fit.
 */
uint8_t vh_summary_quantize(uint32_t amount);
uint32_t vh_summary_dequantize(uint8_t code);

/**
 * vh_summary_build - summarizes the workers of a rack
 * @workers: @n workers, of which @capacity, @free and @usable are read
 * @preemptible: commitments of each worker's batch tasks; NULL for none
 * @waiting: number of tasks that wait at the rack
 */
void vh_summary_build(struct vh_rack_summary *out,
		      const struct vh_candidate *workers,
		      const struct vh_res *preemptible, size_t n,
		      uint32_t waiting);

/* vh_summary_fit_count - a lower bound, 0 to 15, on the number of workers with
 * room for @size */
unsigned int vh_summary_fit_count(const struct vh_rack_summary *s,
				  const struct vh_res *size);

#endif
