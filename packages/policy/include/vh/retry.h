#ifndef VH_RETRY_H
#define VH_RETRY_H

/*
 * Delays between the attempts of a failed task, and a budget that bounds the
 * retries of a cell. Called only by the unit tests.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * vh_retry_delay_ms - delay before attempt @attempt + 1
 * @attempt: failed attempts so far, from 1
 * @seed: should differ between tasks, so that tasks that failed together do not
 *	  retry together
 *
 * Exponential backoff from 200 ms to a minute, with a jitter that takes off up
 * to half of it.
 */
int64_t vh_retry_delay_ms(uint32_t attempt, uint64_t seed);

/**
 * struct vh_retry_budget - bounds retries in proportion to first starts
 *
 * Each first start adds a tenth of a retry, and each minute adds ten retries,
 * up to 100 in total. So retries add little load to a cell in which many tasks
 * fail.
 */
struct vh_retry_budget {
	uint64_t left;	   /* thousandths of a retry */
	int64_t filled_ms; /* last refill by time */
};

/* vh_retry_budget_init - a full budget */
void vh_retry_budget_init(struct vh_retry_budget *b, int64_t now_ms);

/* vh_retry_budget_deposit - adds what one first start earns */
void vh_retry_budget_deposit(struct vh_retry_budget *b);

/* vh_retry_budget_take - takes one retry; false if none is left */
bool vh_retry_budget_take(struct vh_retry_budget *b, int64_t now_ms);

#endif
