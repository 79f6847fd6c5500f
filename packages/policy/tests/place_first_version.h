#ifndef VH_PLACE_FIRST_VERSION_H
#define VH_PLACE_FIRST_VERSION_H

/*
 * The first version of vh_place(), kept as a baseline for benchmarks. Called by
 * the simulator's sim_baseline.c; internal to the package.
 */

#include "vh/place.h"

void vh_place_first_version(const struct vh_place_request *want,
			    const struct vh_candidate *candidates, size_t n,
			    struct vh_place_result *out);

#endif
