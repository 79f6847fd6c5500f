#include "backoff.h"

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
#define BACKOFF_MAX_SHIFT 6

void vh_backoff_fail(struct vh_backoff *b, GRand *rand, int64_t now_ms)
{
	unsigned int shift = b->failures < BACKOFF_MAX_SHIFT
				     ? b->failures
				     : BACKOFF_MAX_SHIFT;
	int32_t wait = BACKOFF_MIN_MS << shift;

	if (wait > BACKOFF_MAX_MS)
		wait = BACKOFF_MAX_MS;
	b->failures++;
	b->until_ms = now_ms + g_rand_int_range(rand, wait / 2, wait + 1);
}

void vh_backoff_reset(struct vh_backoff *b)
{
	b->failures = 0;
	b->until_ms = INT64_MIN;
}
