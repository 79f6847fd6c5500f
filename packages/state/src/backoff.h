#ifndef VH_BACKOFF_H
#define VH_BACKOFF_H

/*
 * Delays between retries. Internal to the package: called by stream.c and
 * stream_append.c.
 */

#include <glib.h>
#include <stdint.h>

/**
 * struct vh_backoff - exponential backoff with jitter
 * @failures: consecutive failures
 */
struct vh_backoff {
	unsigned int failures;
	int64_t until_ms;
};

/*
 * vh_backoff_fail - records a failure. The delay is between half and all of 100
 * ms, doubled with each failure up to 5 s.
 */
void vh_backoff_fail(struct vh_backoff *b, GRand *rand, int64_t now_ms);
void vh_backoff_reset(struct vh_backoff *b);

#endif
