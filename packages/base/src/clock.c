#include "vh/clock.h"

static struct timespec system_mono(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_BOOTTIME, &t);
	return t;
}

static struct timespec system_wall(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_REALTIME, &t);
	return t;
}

const struct vh_clock *vh_clock_system(void)
{
	static const struct vh_clock clock = { system_mono, system_wall, NULL };

	return &clock;
}

int64_t vh_clock_ms(const struct vh_clock *clock)
{
	return vh_time_ms(clock->mono(clock->ctx));
}

int64_t vh_clock_wall_ms(const struct vh_clock *clock)
{
	return vh_time_ms(clock->wall(clock->ctx));
}

static struct timespec fake_mono(void *ctx)
{
	return ((struct vh_fake_clock *)ctx)->mono;
}

static struct timespec fake_wall(void *ctx)
{
	return ((struct vh_fake_clock *)ctx)->wall;
}

void vh_fake_clock_init(struct vh_fake_clock *fake, int64_t start_ms)
{
	fake->clock.mono = fake_mono;
	fake->clock.wall = fake_wall;
	fake->clock.ctx = fake;
	fake->mono = vh_time_from_ms(start_ms);
	fake->wall = vh_time_from_ms(start_ms);
}

void vh_fake_clock_advance(struct vh_fake_clock *fake, int64_t ms)
{
	fake->mono = vh_time_from_ms(vh_time_ms(fake->mono) + ms);
	fake->wall = vh_time_from_ms(vh_time_ms(fake->wall) + ms);
}
