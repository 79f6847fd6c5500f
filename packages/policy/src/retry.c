#include "vh/retry.h"

#define DELAY_FIRST_MS 200
#define DELAY_MAX_MS 60000
#define UNITS_PER_RETRY 1000
#define UNITS_PER_START 100
#define MS_PER_UNIT 6 /* ten retries a minute */
#define BUDGET_MAX (100 * UNITS_PER_RETRY)

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
	b->left = BUDGET_MAX;
	b->filled_ms = now_ms;
}

static void add_units(struct vh_retry_budget *b, uint64_t units)
{
	b->left = b->left + units < BUDGET_MAX ? b->left + units : BUDGET_MAX;
}

void vh_retry_budget_deposit(struct vh_retry_budget *b)
{
	add_units(b, UNITS_PER_START);
}

bool vh_retry_budget_take(struct vh_retry_budget *b, int64_t now_ms)
{
	if (now_ms > b->filled_ms) {
		uint64_t units =
			(uint64_t)(now_ms - b->filled_ms) / MS_PER_UNIT;

		add_units(b, units);
		b->filled_ms += (int64_t)(units * MS_PER_UNIT);
	}
	if (b->left < UNITS_PER_RETRY)
		return false;
	b->left -= UNITS_PER_RETRY;
	return true;
}
