#include "vh/place.h"

#define FULL_SCALE 1023 /* a whole dimension */

/* Failures blamed on a worker before it is chosen only as a last resort. */
#define FAILURES_SEVERE 3

/* Bits of each part of a score, from the most significant down. */
#define BITS_STRAND 2
#define BITS_SAME 12
#define BITS_FAILURES 2
#define BITS_FIT 14

enum strand {
	STRAND_NONE,   /* takes nothing that accelerator work needs */
	STRAND_SHARES, /* uses an accelerator worker, leaves enough */
	STRAND_BLOCKS  /* free accelerators would lack processors or memory */
};

static uint32_t fraction(uint32_t part, uint32_t whole)
{
	return whole ? (uint32_t)((uint64_t)part * FULL_SCALE / whole) : 0;
}

static uint64_t append_bits(uint64_t score, uint64_t value, unsigned int bits)
{
	uint64_t top = (UINT64_C(1) << bits) - 1;

	return score << bits | (value < top ? value : top);
}

/* Would the free accelerators keep their part of processors and memory? */
static enum strand strands_accelerators(const struct vh_place_request *want,
					const struct vh_candidate *c)
{
	uint64_t accels = c->capacity.v[VH_ACCEL];
	uint64_t idle = c->free.v[VH_ACCEL];

	if (!accels || want->size.v[VH_ACCEL] || !idle)
		return STRAND_NONE;
	for (int d = VH_CPU; d <= VH_MEM; d++) {
		uint64_t left = c->free.v[d] - want->size.v[d];

		if (left * accels < c->capacity.v[d] * idle)
			return STRAND_BLOCKS;
	}
	return STRAND_SHARES;
}

/* What stays free, averaged, plus how unevenly; small is tight. */
static uint32_t looseness(const struct vh_place_request *want,
			  const struct vh_candidate *c)
{
	uint32_t sum = 0, n = 0, most = 0, least = FULL_SCALE;

	for (int d = 0; d < VH_DIMS; d++) {
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

/* Lower is better. Each part decides only between equals in those before. */
static uint64_t score(const struct vh_place_request *want,
		      const struct vh_candidate *c)
{
	bool away = want->region != UINT32_MAX && want->region != c->region;
	uint64_t s = c->failures >= FAILURES_SEVERE;

	s = append_bits(s, away, 1);
	s = append_bits(s, strands_accelerators(want, c), BITS_STRAND);
	s = append_bits(s, want->spread ? c->same_zone : 0, BITS_SAME);
	s = append_bits(s, want->spread ? c->same_rack : 0, BITS_SAME);
	s = append_bits(s, want->spread ? c->same_job : 0, BITS_SAME);
	s = append_bits(s, c->failures, BITS_FAILURES);
	return append_bits(s, looseness(want, c), BITS_FIT);
}

/* The dimension that is short by the largest part; total part in *@total. */
static enum vh_dim shortest(const struct vh_res *want, const struct vh_res *has,
			    uint64_t *total)
{
	enum vh_dim dim = VH_CPU;
	uint64_t worst = 0;

	*total = 0;
	for (int d = 0; d < VH_DIMS; d++) {
		uint64_t part;

		if (want->v[d] <= has->v[d])
			continue;
		part = (uint64_t)(want->v[d] - has->v[d]) * FULL_SCALE /
		       want->v[d];
		*total += part + 1;
		if (part + 1 > worst) {
			worst = part + 1;
			dim = (enum vh_dim)d;
		}
	}
	return dim;
}

static void explain_refusal(const struct vh_place_request *want,
			    const struct vh_candidate *cands, size_t n,
			    struct vh_place_result *out)
{
	bool never = out->reason == VH_PLACE_NEVER_FITS;
	uint64_t best = UINT64_MAX;

	for (size_t i = 0; i < n; i++) {
		const struct vh_candidate *c = &cands[i];
		const struct vh_res *has = never ? &c->capacity : &c->free;
		uint64_t total;
		enum vh_dim dim;

		if (!never &&
		    (!c->usable || !vh_res_fits(&want->size, &c->capacity)))
			continue;
		dim = shortest(&want->size, has, &total);
		if (total >= best)
			continue;
		best = total;
		out->closest = i;
		out->short_dim = dim;
		out->short_by = want->size.v[dim] - has->v[dim];
	}
}

void vh_place(const struct vh_place_request *want,
	      const struct vh_candidate *cands, size_t n,
	      struct vh_place_result *out)
{
	bool fits_some = false, fits_usable = false;
	uint64_t best = UINT64_MAX;

	*out = (struct vh_place_result){ .index = n, .closest = n };
	for (size_t i = 0; i < n; i++) {
		const struct vh_candidate *c = &cands[i];
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
	explain_refusal(want, cands, n, out);
}
