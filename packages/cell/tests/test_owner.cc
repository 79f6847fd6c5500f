// The order of an owner's runs and the other events of its loop.

#include <gtest/gtest.h>

extern "C" {
#include "run_timer.h"
}

namespace
{

constexpr int RUNS = 20, EVENTS_PER_RUN = 10;
constexpr int64_t LATEST_MS = 30;

// Far more than a machine handles in LATEST_MS; a run that never comes.
constexpr int64_t EVENTS_MAX = 20000000;

struct Loop {
	vh_kernel kernel;
	run_timer timer;
	vh_timer event;
	int runs = 0, pending = 0, overtaken = 0;
	int64_t events = 0;

	Loop()
	{
		vh_kernel_init(&kernel, vh_clock_system());
	}

	~Loop()
	{
		run_timer_finish(&timer);
		vh_kernel_finish(&kernel);
	}
};

// Runs that follow each other at once, as interrupted ones do, while a chain of
// events, each of which is ready once the one before is handled, is pending.
void on_run(void *ctx)
{
	Loop *l = (Loop *)ctx;

	l->overtaken += l->pending;
	if (++l->runs == RUNS) {
		vh_kernel_stop(&l->kernel);
		return;
	}
	run_timer_start(&l->timer, 0);
	l->pending = EVENTS_PER_RUN;
	vh_timer_start(&l->event, 0);
}

void on_chained_event(void *ctx)
{
	Loop *l = (Loop *)ctx;

	if (--l->pending)
		vh_timer_start(&l->event, 0);
}

// An overloaded owner's loop was filled by its runs, so that it read nothing.
TEST(Owner, RunsOvertakeOtherEvents)
{
	Loop l;

	run_timer_init(&l.timer, &l.kernel, 60000, on_run, &l);
	vh_timer_init(&l.event, &l.kernel, on_chained_event, &l);
	run_timer_start(&l.timer, 0);
	vh_kernel_run(&l.kernel);
	EXPECT_EQ(l.runs, RUNS);
	EXPECT_EQ(l.overtaken, 0);
	vh_timer_finish(&l.event);
}

// A pause of three times a run starved placement; events that are always ready
// would do so too.
TEST(Owner, OtherEventsStarveRuns)
{
	Loop l;

	run_timer_init(
		&l.timer, &l.kernel, LATEST_MS,
		[](void *ctx) {
			Loop *x = (Loop *)ctx;

			x->runs++;
			vh_kernel_stop(&x->kernel);
		},
		&l);
	vh_timer_init(
		&l.event, &l.kernel,
		[](void *ctx) {
			Loop *x = (Loop *)ctx;

			if (++x->events == EVENTS_MAX)
				vh_kernel_stop(&x->kernel);
			vh_timer_start(&x->event, 0);
		},
		&l);
	vh_timer_start(&l.event, 0);
	run_timer_start(&l.timer, 0);
	vh_kernel_run(&l.kernel);
	EXPECT_EQ(l.runs, 1);
	EXPECT_GT(l.events, 0);
	EXPECT_LT(l.events, EVENTS_MAX);
	vh_timer_finish(&l.event);
}

// The other events must not lead to a second run.
TEST(Owner, ARunIsDueTwice)
{
	Loop l;

	run_timer_init(
		&l.timer, &l.kernel, 0,
		[](void *ctx) {
			Loop *x = (Loop *)ctx;

			x->runs++;
			vh_kernel_defer(
				&x->kernel,
				[](void *k) { vh_kernel_stop((vh_kernel *)k); },
				&x->kernel);
		},
		&l);
	run_timer_start(&l.timer, 0);
	vh_kernel_run(&l.kernel);
	EXPECT_EQ(l.runs, 1);
	EXPECT_FALSE(run_timer_pending(&l.timer));
}

} // namespace
