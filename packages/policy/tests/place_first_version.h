#ifndef VH_PLACE_FIRST_VERSION_H
#define VH_PLACE_FIRST_VERSION_H

#include "vh/place.h"

/* The first version of vh_place(), kept as a baseline for benchmarks. */
void vh_place_first_version(const struct vh_place_request *want,
			    const struct vh_candidate *candidates, size_t n,
			    struct vh_place_result *out);

#endif
