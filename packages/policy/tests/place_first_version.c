#include "place_first_version.h"

#define FRACTION_SCALE 1023 /* the whole capacity of a dimension */

/* With this many failures, a worker is chosen only as a last resort. */
#define FAILURES_LAST_RESORT 3

/* Bits of the components of a score, from the most significant down. Two
 * components of one bit, for failures and the region, precede them. */
#define BITS_STRANDING 2
#define BITS_SPREAD 12
#define BITS_FAILURES 2
#define BITS_FIT 14

enum stranding {
	STRANDING_NONE,	  /* takes nothing that accelerator tasks need */
	STRANDING_SHARED, /* uses an accelerator worker, but leaves enough */
	STRANDING_BLOCKED /* leaves the free accelerators too little */
};

static uint32_t fraction(uint32_t part, uint32_t whole)
{
	return whole ? (uint32_t)((uint64_t)part * FRACTION_SCALE / whole) : 0;
}

static uint64_t append_bits(uint64_t score, uint64_t value, unsigned int bits)
{
	uint64_t top = (UINT64_C(1) << bits) - 1;

	return score << bits | (value < top ? value : top);
}

/* Whether the accelerators that are free would keep their proportional part of
 * processors and memory after the placement. */
static enum stranding accelerator_stranding(const struct vh_place_request *want,
					    const struct vh_candidate *c)
{
	uint64_t accels = c->capacity.v[VH_ACCEL];
	uint64_t free_accels = c->free.v[VH_ACCEL];

	if (!accels || want->size.v[VH_ACCEL] || !free_accels)
		return STRANDING_NONE;
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		uint64_t left = c->free.v[d] - want->size.v[d];

		if (left * accels < c->capacity.v[d] * free_accels)
			return STRANDING_BLOCKED;
	}
	return STRANDING_SHARED;
}

/* Twice the average fraction that would stay free, with accelerators weighted
 * fourfold, plus the difference between the largest and the smallest fraction.
 * Lower means a tighter fit. */
static uint32_t fit_slack(const struct vh_place_request *want,
			  const struct vh_candidate *c)
{
	uint32_t sum = 0, n = 0, most = 0, least = FRACTION_SCALE;

	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint32_t left;

		if (!c->capacity.v[d] || (d >= VH_ACCEL && !want->size.v[d]))
			continue;
		left = fraction(c->free.v[d] - want->size.v[d],
				c->capacity.v[d]);
		sum += left * (d == VH_ACCEL ? 4 : 1);
		n += d == VH_ACCEL ? 4 : 1;
		most = left > most ? left : most;
		least = left < least ? left : least;
	}
	return n ? sum / n * 2 + (most - least) : 0;
}

/* Lower is better. Each component only breaks ties of those before it. */
static uint64_t score(const struct vh_place_request *want,
		      const struct vh_candidate *c)
{
	bool other_region =
		want->region != UINT32_MAX && want->region != c->region;
	uint64_t s = c->failures >= FAILURES_LAST_RESORT;

	s = append_bits(s, other_region, 1);
	s = append_bits(s, accelerator_stranding(want, c), BITS_STRANDING);
	s = append_bits(s, want->spread ? c->same_zone : 0, BITS_SPREAD);
	s = append_bits(s, want->spread ? c->same_rack : 0, BITS_SPREAD);
	s = append_bits(s, want->spread ? c->same_job : 0, BITS_SPREAD);
	s = append_bits(s, c->failures, BITS_FAILURES);
	return append_bits(s, fit_slack(want, c), BITS_FIT);
}

/* The dimension that lacks the largest fraction of @want; sets *@total to the
 * sum of the fractions. */
static enum vh_dim largest_shortage(const struct vh_res *want,
				    const struct vh_res *has, uint64_t *total)
{
	enum vh_dim dim = VH_CPU;
	uint64_t worst = 0;

	*total = 0;
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint64_t part;

		if (want->v[d] <= has->v[d])
			continue;
		part = (uint64_t)(want->v[d] - has->v[d]) * FRACTION_SCALE /
		       want->v[d];
		*total += part + 1;
		if (part + 1 > worst) {
			worst = part + 1;
			dim = (enum vh_dim)d;
		}
	}
	return dim;
}

/* Finds the candidate that lacks least: of free amounts if the request would
 * fit an empty worker, else of capacity. */
static void find_closest(const struct vh_place_request *want,
			 const struct vh_candidate *candidates, size_t n,
			 struct vh_place_result *out)
{
	bool never_fits = out->reason == VH_PLACE_NEVER_FITS;
	uint64_t best = UINT64_MAX;

	for (size_t i = 0; i < n; i++) {
		const struct vh_candidate *c = &candidates[i];
		const struct vh_res *has = never_fits ? &c->capacity : &c->free;
		uint64_t total;
		enum vh_dim dim;

		if (!never_fits &&
		    (!c->usable || !vh_res_fits(&want->size, &c->capacity)))
			continue;
		dim = largest_shortage(&want->size, has, &total);
		if (total >= best)
			continue;
		best = total;
		out->closest = i;
		out->short_dim = dim;
		out->short_by = want->size.v[dim] - has->v[dim];
	}
}

void vh_place_first_version(const struct vh_place_request *want,
			    const struct vh_candidate *candidates, size_t n,
			    struct vh_place_result *out)
{
	bool fits_some = false, fits_usable = false;
	uint64_t best = UINT64_MAX;

	*out = (struct vh_place_result){ .index = n, .closest = n };
	for (size_t i = 0; i < n; i++) {
		const struct vh_candidate *c = &candidates[i];
		uint64_t s;

		if (!vh_res_fits(&want->size, &c->capacity))
			continue;
		fits_some = true;
		if (!c->usable)
			continue;
		fits_usable = true;
		if (!vh_res_fits(&want->size, &c->free))
			continue;
		s = score(want, c);
		if (s < best) {
			best = s;
			out->index = i;
		}
	}
	if (out->index < n) {
		out->reason = VH_PLACE_OK;
		return;
	}
	if (!n || (fits_some && !fits_usable)) {
		out->reason = VH_PLACE_NONE_USABLE;
		return;
	}
	out->reason = fits_some ? VH_PLACE_FULL : VH_PLACE_NEVER_FITS;
	find_closest(want, candidates, n, out);
}
