#include "vh/ratio_hist.h"

#define ONE_BUCKET 24 /* bucket that starts at a ratio of 1 */

/* 2^(i/4) in units of 1/65536. */
static const uint32_t quarter_octaves[4] = { 65536, 77936, 92682, 110218 };

uint64_t vh_ratio_upper(unsigned int bucket)
{
	int octave = (int)(bucket + 1) / 4 - ONE_BUCKET / 4;
	uint64_t q = quarter_octaves[(bucket + 1) % 4];

	return octave >= 0 ? q << octave : q >> -octave;
}

unsigned int vh_ratio_bucket(uint32_t part, uint32_t whole)
{
	uint64_t ratio = ((uint64_t)part << 16) / (whole ? whole : 1);
	unsigned int b = 0;

	while (b < VH_RATIO_BUCKETS - 1 && vh_ratio_upper(b) < ratio)
		b++;
	return b;
}

void vh_hist_decay(uint16_t *counts, size_t n, uint32_t *total, uint32_t limit)
{
	if (*total < limit)
		return;
	*total = 0;
	for (size_t i = 0; i < n; i++) {
		counts[i] /= 2;
		*total += counts[i];
	}
}

unsigned int vh_hist_quantile(const uint16_t *counts, size_t n, uint32_t total,
			      unsigned int percent)
{
	uint64_t need = ((uint64_t)total * percent + 99) / 100, seen = 0;
	unsigned int b = 0;

	for (; b < n - 1; b++) {
		seen += counts[b];
		if (seen >= need)
			break;
	}
	return b;
}
