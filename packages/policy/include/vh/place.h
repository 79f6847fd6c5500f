#ifndef VH_PLACE_H
#define VH_PLACE_H

/*
 * Chooses the worker for one task among candidates. vh_place() is called by
 * gang.c and waitlist.c in this package; core uses the types.
 */

#include "vh/job.h"

/**
 * struct vh_candidate - a worker as input to placement
 * @capacity: total amounts of the worker
 * @free: capacity less commitments
 * @rack, @zone, @region: the worker's location, as numbers that the caller
 *			  assigns
 * @same_job: tasks of the same service or job on this worker
 * @same_rack, @same_zone: tasks of the same service or job in its rack, zone
 * @failures: recent failures attributed to the worker
 * @usable: whether the worker may receive tasks
 */
struct vh_candidate {
	struct vh_res capacity;
	struct vh_res free;
	uint32_t rack;
	uint32_t zone;
	uint32_t region;
	uint32_t same_job;
	uint32_t same_rack;
	uint32_t same_zone;
	uint32_t failures;
	bool usable;
};

/**
 * struct vh_place_request - a task to be placed
 * @region: the preferred region; UINT32_MAX for none
 * @spread: whether to spread the tasks of its service or job over zones, racks
 *	    and workers
 */
struct vh_place_request {
	struct vh_res size;
	enum vh_class cls;
	uint32_t region;
	bool spread;
};

enum vh_place_reason {
	VH_PLACE_OK,
	VH_PLACE_NONE_USABLE, /* no worker is usable now */
	VH_PLACE_NEVER_FITS,  /* larger than any worker's capacity */
	VH_PLACE_FULL,	      /* would fit an empty worker, but none now */
};

/**
 * struct vh_place_result - the decision and its reason
 * @index: the chosen candidate; n if none
 * @short_dim: for FULL and NEVER_FITS: the dimension that the closest candidate
 *	       lacks most
 * @short_by: the missing amount in that dimension
 * @closest: that candidate; n if none
 */
struct vh_place_result {
	enum vh_place_reason reason;
	size_t index;
	enum vh_dim short_dim;
	uint32_t short_by;
	size_t closest;
};

/* vh_place - chooses a worker for a task; a pure function of its input */
void vh_place(const struct vh_place_request *want,
	      const struct vh_candidate *candidates, size_t n,
	      struct vh_place_result *out);

#endif
