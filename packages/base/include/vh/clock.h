#ifndef VH_CLOCK_H
#define VH_CLOCK_H

/*
 * Monotonic and wall-clock time behind an interface. The programs and tests
 * pass a clock to the kernel, and the other packages read the time through it.
 */

#include <stdint.h>
#include <time.h>

#define VH_MS_PER_S 1000
#define VH_NS_PER_MS 1000000
#define VH_NS_PER_S INT64_C(1000000000)

/**
 * struct vh_clock - a source of monotonic and wall-clock time
 * @mono: monotonic time; also advances while the machine is suspended
 * @wall: wall-clock time; for display and stored records only, never for
 *	  scheduling decisions
 * @ctx: passed to both callbacks
 *
 * The daemon reads time through this interface only, so that tests can control
 * it; the logger, which takes its own time stamps, is the exception.
 * Interfaces pass points in time as struct timespec. Within a module they may
 * be stored as whole milliseconds of the monotonic clock, in int64_t fields
 * whose names end in _ms.
 */
struct vh_clock {
	struct timespec (*mono)(void *ctx);
	struct timespec (*wall)(void *ctx);
	void *ctx;
};

/* vh_clock_system - the operating system's clocks */
const struct vh_clock *vh_clock_system(void);

/* vh_clock_ms - monotonic time in whole milliseconds */
int64_t vh_clock_ms(const struct vh_clock *clock);

/* vh_clock_wall_ms - milliseconds since 1970-01-01T00:00:00Z */
int64_t vh_clock_wall_ms(const struct vh_clock *clock);

static inline int64_t vh_time_ms(struct timespec t)
{
	return (int64_t)t.tv_sec * VH_MS_PER_S + t.tv_nsec / VH_NS_PER_MS;
}

static inline struct timespec vh_time_from_ms(int64_t ms)
{
	struct timespec t = { .tv_sec = (time_t)(ms / VH_MS_PER_S),
			      .tv_nsec = (ms % VH_MS_PER_S) * VH_NS_PER_MS };

	return t;
}

/**
 * struct vh_fake_clock - a clock for tests; advances only on request
 * @clock: the interface to pass to the code under test
 * @mono: current monotonic time
 * @wall: current wall-clock time
 */
struct vh_fake_clock {
	struct vh_clock clock;
	struct timespec mono;
	struct timespec wall;
};

void vh_fake_clock_init(struct vh_fake_clock *fake, int64_t start_ms);
void vh_fake_clock_advance(struct vh_fake_clock *fake, int64_t ms);

#endif
