#ifndef VH_RACK_INDEX_H
#define VH_RACK_INDEX_H

#include "vh/summary.h"

#define VH_PICK_MAX 8	  /* racks that one pick returns */
#define VH_REGIONS_MAX 16 /* regions are numbered from 0 */

struct vh_rack_bitmaps;

/**
 * struct vh_rack_index - the racks of the fleet by their summaries
 *
 * Kept by each home or node; a rack is a small number chosen by the user,
 * from 0. Bit planes over racks answer "which racks may hold this much" some
 * 64 racks a step. vh_rack_index_bytes() tells its size.
 */
struct vh_rack_index {
	struct vh_rack_bitmaps *index;
};

/* vh_rack_index_init - room for @max_racks racks, numbered 0 to max_racks-1 */
void vh_rack_index_init(struct vh_rack_index *c, size_t max_racks);
void vh_rack_index_finish(struct vh_rack_index *c);
size_t vh_rack_index_bytes(const struct vh_rack_index *c);

/**
 * vh_rack_index_update - a newer summary of a rack has arrived
 *
 * Call it too with the summary that comes with a refusal: that is the hint.
 * Forgets what vh_rack_index_note_request() noted. @region is below VH_REGIONS_MAX.
 */
void vh_rack_index_update(struct vh_rack_index *c, uint32_t rack,
			  uint32_t region, uint32_t zone,
			  const struct vh_rack_summary *summary);
void vh_rack_index_remove(struct vh_rack_index *c, uint32_t rack);

/* vh_rack_index_note_request - notes that one task was sent to @rack, so that the
 * next ones of this home do not all follow it before a new summary comes */
void vh_rack_index_note_request(struct vh_rack_index *c, uint32_t rack);

/**
 * struct vh_pick_request - what a home looks for
 * @want: as for vh_place()
 * @away: racks of other regions may be picked if the own has none
 * @zone_count: tasks of the same service or job in each zone; NULL: none
 * @n_zones: length of @zone_count
 * @rack_count: the same for each rack; NULL: none
 * @n_racks: length of @rack_count
 * @refused: a rack that has just refused, UINT32_MAX for none
 * @k: how many racks, 1 to VH_PICK_MAX
 * @seed: decides between equals; unlike for each task and each home
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
 * enum vh_pick_kind - why these racks
 * @VH_PICK_FREE: may have room now
 * @VH_PICK_PREEMPT: urgent only: may have room once batch tasks have stopped
 * @VH_PICK_WAIT: nothing free; empty workers there would hold it
 * @VH_PICK_NEVER_FITS: no rack's workers are large enough; no racks are given
 */
enum vh_pick_kind {
	VH_PICK_FREE,
	VH_PICK_PREEMPT,
	VH_PICK_WAIT,
	VH_PICK_NEVER_FITS
};

/**
 * struct vh_pick - racks to ask, best first
 * @examined: index words read and racks compared, for cost measurements
 */
struct vh_pick {
	enum vh_pick_kind kind;
	unsigned int n;
	uint32_t rack[VH_PICK_MAX];
	uint32_t examined;
};

/* vh_rack_index_pick - pure; the same state and seed give the same racks */
void vh_rack_index_pick(const struct vh_rack_index *c,
			const struct vh_pick_request *want,
			struct vh_pick *out);

/**
 * vh_region_wait_limit_ms - how long a task waits for its own region
 * @transfer_bytes: what a run elsewhere would send between regions
 * @bytes_per_ms: bytes between regions that a millisecond of waiting is worth
 *
 * Set @away once the task has waited this long.
 */
int64_t vh_region_wait_limit_ms(enum vh_class cls, uint64_t transfer_bytes,
				uint64_t bytes_per_ms);

#endif
