#include "vh/retry.h"

#define DELAY_FIRST_MS 200
#define DELAY_MAX_MS 60000
#define RETRY 1000    /* one retry in units of struct vh_retry_budget */
#define PER_START 100 /* earned by a first start */
#define PER_MS_DIV 6  /* a unit every 6 ms: ten retries a minute */
#define LEFT_MAX (100 * RETRY)

int64_t vh_retry_delay_ms(uint32_t attempt, uint64_t seed)
{
	uint64_t x = seed + attempt * UINT64_C(0x9e3779b97f4a7c15);
	int64_t delay = DELAY_FIRST_MS;

	while (attempt-- > 1 && delay < DELAY_MAX_MS)
		delay *= 2;
	if (delay > DELAY_MAX_MS)
		delay = DELAY_MAX_MS;
	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x ^= x >> 31;
	return delay / 2 + (int64_t)(x % (uint64_t)(delay / 2 + 1));
}

void vh_retry_budget_init(struct vh_retry_budget *b, int64_t now_ms)
{
	b->left = LEFT_MAX;
	b->filled_ms = now_ms;
}

static void add(struct vh_retry_budget *b, uint64_t units)
{
	b->left = b->left + units < LEFT_MAX ? b->left + units : LEFT_MAX;
}

void vh_retry_budget_deposit(struct vh_retry_budget *b)
{
	add(b, PER_START);
}

bool vh_retry_budget_take(struct vh_retry_budget *b, int64_t now_ms)
{
	if (now_ms > b->filled_ms) {
		uint64_t units = (uint64_t)(now_ms - b->filled_ms) / PER_MS_DIV;

		add(b, units);
		b->filled_ms += (int64_t)(units * PER_MS_DIV);
	}
	if (b->left < RETRY)
		return false;
	b->left -= RETRY;
	return true;
}
