#ifndef VH_RACK_INDEX_H
#define VH_RACK_INDEX_H

/*
 * Picks the racks that may have room for a task, from the summaries that racks
 * publish. Called by core (fleet.c), the policy simulator and its benchmark.
 */

#include "vh/summary.h"

#define VH_PICK_MAX 8	  /* racks that one pick returns */
#define VH_REGIONS_MAX 16 /* regions are numbered from 0 */

struct vh_rack_bitmaps;

/**
 * struct vh_rack_index - a bitmap index of the fleet's racks by free amounts
 *
 * Kept by each home or node. The caller numbers the racks from 0. The bitmaps
 * find the racks that may hold an amount, 64 racks at a time.
 * vh_rack_index_bytes() returns the memory used.
 */
struct vh_rack_index {
	struct vh_rack_bitmaps *bitmaps;
};

/* vh_rack_index_init - creates an empty index of racks 0 to @max_racks - 1 */
void vh_rack_index_init(struct vh_rack_index *idx, size_t max_racks);
void vh_rack_index_finish(struct vh_rack_index *idx);
size_t vh_rack_index_bytes(const struct vh_rack_index *idx);

/**
 * vh_rack_index_update - replaces the summary of a rack
 *
 * Also to be called with the summary that a rack's refusal of a task carries.
 * Resets the count of vh_rack_index_note_request(). @region is below
 * VH_REGIONS_MAX.
 */
void vh_rack_index_update(struct vh_rack_index *idx, uint32_t rack,
			  uint32_t region, uint32_t zone,
			  const struct vh_rack_summary *summary);
void vh_rack_index_remove(struct vh_rack_index *idx, uint32_t rack);

/* vh_rack_index_note_request - counts a task sent to @rack, so that this home
 * does not send all further tasks there until the next summary */
void vh_rack_index_note_request(struct vh_rack_index *idx, uint32_t rack);

/**
 * struct vh_pick_request - the task that racks are picked for
 * @want: as for vh_place()
 * @away: allow racks of other regions if the preferred one has none
 * @zone_count: tasks of the same service or job in each zone; NULL for none
 * @n_zones: length of @zone_count
 * @rack_count: tasks of the same service or job in each rack; NULL for none
 * @n_racks: length of @rack_count
 * @refused: a rack that has just refused, not to be picked; UINT32_MAX for none
 * @k: number of racks to pick, 1 to VH_PICK_MAX
 * @seed: breaks ties; should differ between tasks and between homes
 */
struct vh_pick_request {
	struct vh_place_request want;
	bool away;
	const uint16_t *zone_count;
	size_t n_zones;
	const uint16_t *rack_count;
	size_t n_racks;
	uint32_t refused;
	unsigned int k;
	uint64_t seed;
};

/**
 * enum vh_pick_kind - why the racks were picked
 * @VH_PICK_FREE: they may have room now
 * @VH_PICK_PREEMPT: urgent work only: they may have room after preemption
 * @VH_PICK_WAIT: no rack has room now, but an empty worker there would hold it
 * @VH_PICK_NEVER_FITS: no rack has a worker large enough; no rack is picked
 */
enum vh_pick_kind {
	VH_PICK_FREE,
	VH_PICK_PREEMPT,
	VH_PICK_WAIT,
	VH_PICK_NEVER_FITS
};

/**
 * struct vh_pick - the picked racks, best first
 * @examined: bitmap words read and racks compared, a measure of the cost
 */
struct vh_pick {
	enum vh_pick_kind kind;
	unsigned int n;
	uint32_t rack[VH_PICK_MAX];
	uint32_t examined;
};

/* vh_rack_index_pick - picks racks; deterministic for an index and a seed */
void vh_rack_index_pick(const struct vh_rack_index *idx,
			const struct vh_pick_request *want,
			struct vh_pick *out);

/**
 * vh_region_wait_limit_ms - how long a task waits for its preferred region
 * @transfer_bytes: bytes that a run in another region would send between
 *		    regions
 * @bytes_per_ms: how many such bytes cost as much as a millisecond of waiting
 *
 * Once the task has waited this long, set @away in struct vh_pick_request.
 */
int64_t vh_region_wait_limit_ms(enum vh_class cls, uint64_t transfer_bytes,
				uint64_t bytes_per_ms);

#endif
