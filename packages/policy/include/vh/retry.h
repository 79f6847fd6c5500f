#ifndef VH_RETRY_H
#define VH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * vh_retry_delay_ms - wait before attempt @attempt + 1
 * @attempt: failed attempts so far, from 1
 * @seed: unlike for each task, so that a wave of failures comes apart
 *
 * Doubles from 200 ms to a minute; between half of that and all of it.
 */
int64_t vh_retry_delay_ms(uint32_t attempt, uint64_t seed);

/**
 * struct vh_retry_budget - retries in proportion to first starts
 *
 * Each first start earns a tenth of a retry, and each second a little, up to
 * 100 retries; so retries can add little load to a cell in trouble.
 */
struct vh_retry_budget {
	uint64_t left; /* thousandths */
	int64_t filled_ms;
};

void vh_retry_budget_init(struct vh_retry_budget *b, int64_t now_ms);
void vh_retry_budget_deposit(struct vh_retry_budget *b);
bool vh_retry_budget_take(struct vh_retry_budget *b, int64_t now_ms);

#endif
