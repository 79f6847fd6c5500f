#include "vh/summary.h"

#define MANTISSA_BITS 3
#define FIT_COUNT_MAX 15

/* Common combinations of processors, memory and accelerators. */
static const struct vh_res reference_sizes[VH_SUMMARY_SHAPES] = {
	{ { 500, 1024, 0, 0, 0 } },    { { 2000, 8192, 0, 0, 0 } },
	{ { 4000, 16384, 0, 0, 0 } },  { { 8000, 32768, 0, 0, 0 } },
	{ { 16000, 65536, 0, 0, 0 } }, { { 4000, 16384, 1, 0, 0 } },
	{ { 8000, 32768, 2, 0, 0 } },  { { 16000, 65536, 4, 0, 0 } },
};

uint8_t vh_summary_quantize(uint32_t amount)
{
	int msb;

	if (amount < 1u << MANTISSA_BITS)
		return (uint8_t)amount;
	msb = 31 - __builtin_clz(amount);
	return (uint8_t)((unsigned int)(msb - MANTISSA_BITS + 1)
				 << MANTISSA_BITS |
			 (amount >> (msb - MANTISSA_BITS) &
			  ((1u << MANTISSA_BITS) - 1)));
}

uint32_t vh_summary_dequantize(uint8_t code)
{
	unsigned int exponent = code >> MANTISSA_BITS;
	uint64_t amount;

	if (!exponent)
		return code;
	amount = (code & ((1u << MANTISSA_BITS) - 1)) | 1u << MANTISSA_BITS;
	amount <<= exponent - 1;
	return amount > UINT32_MAX ? UINT32_MAX : (uint32_t)amount;
}

static void raise_max(uint8_t *code, uint32_t amount)
{
	uint8_t c = vh_summary_quantize(amount);

	if (c > *code)
		*code = c;
}

static void count_fits(struct vh_rack_summary *out, const struct vh_res *free)
{
	for (int s = 0; s < VH_SUMMARY_SHAPES; s++) {
		unsigned int shift = s % 2 ? 4 : 0;
		uint8_t *holds = &out->holds[s / 2];

		if ((*holds >> shift & FIT_COUNT_MAX) < FIT_COUNT_MAX &&
		    vh_res_fits(&reference_sizes[s], free))
			*holds = (uint8_t)(*holds + (1u << shift));
	}
}

void vh_summary_build(struct vh_rack_summary *out,
		      const struct vh_candidate *workers,
		      const struct vh_res *preemptible, size_t n,
		      uint32_t waiting)
{
	struct vh_res sum = { { 0 } };

	*out = (struct vh_rack_summary){ .waiting =
						 vh_summary_quantize(waiting) };
	for (size_t i = 0; i < n; i++) {
		const struct vh_candidate *w = &workers[i];
		struct vh_res free_after_preemption = w->free;

		for (int d = 0; d < VH_DIM_COUNT; d++)
			raise_max(&out->max_capacity[d], w->capacity.v[d]);
		if (!w->usable)
			continue;
		if (out->usable < UINT8_MAX)
			out->usable++;
		vh_res_add(&sum, &w->free);
		if (preemptible)
			vh_res_add(&free_after_preemption, &preemptible[i]);
		for (int d = 0; d < VH_DIM_COUNT; d++)
			raise_max(&out->max_free[d], w->free.v[d]);
		for (int d = 0; d < VH_SUMMARY_DIMS; d++)
			raise_max(&out->max_preemptible[d],
				  free_after_preemption.v[d]);
		count_fits(out, &w->free);
	}
	for (int d = 0; d < VH_SUMMARY_DIMS; d++)
		out->sum_free[d] = vh_summary_quantize(sum.v[d]);
}

unsigned int vh_summary_fit_count(const struct vh_rack_summary *s,
				  const struct vh_res *size)
{
	unsigned int best = 0;
	struct vh_res core = *size;

	for (int d = VH_SUMMARY_DIMS; d < VH_DIM_COUNT; d++) {
		if (size->v[d] > vh_summary_dequantize(s->max_free[d]))
			return 0;
		core.v[d] = 0;
	}
	for (int i = 0; i < VH_SUMMARY_SHAPES; i++) {
		unsigned int fits =
			s->holds[i / 2] >> (i % 2 ? 4 : 0) & FIT_COUNT_MAX;

		if (fits > best && vh_res_fits(&core, &reference_sizes[i]))
			best = fits;
	}
	return best;
}
