// Seeded courses of faults: whatever happens, no worker holds more than it
// has, no task runs twice, order is kept, and in the end every job is done.

#include <gtest/gtest.h>

#include "simulation.h"

using world::Faults;
using world::World;

namespace
{

void load(World &w, int n, uint64_t seed)
{
	std::mt19937_64 r(seed);
	uint32_t after[1] = { 0 };

	for (int i = 0; i < n; i++) {
		std::vector<eng_step_spec> steps;
		int kind = (int)(r() % 4);
		uint64_t id = r();

		steps.push_back(world::step(1 + (uint32_t)(r() % 6),
					    500 + (int64_t)(r() % 4000), 600));
		steps[0].gang = kind == 1;
		steps[0].checkpoints = kind == 2;
		steps[0].max_per_worker = kind == 3 ? 1 : 0;
		if (kind >= 2) {
			steps.push_back(world::step(2, 1000, 300));
			steps[1].after = after;
			steps[1].n_after = 1;
		}
		w.submit(id, steps, (uint32_t)kind % 3, i % 2);
	}
}

void check(uint64_t seed, Faults f, int64_t calm_ms)
{
	World w(seed, f, 8);

	w.jobs_first = seed % 2;

	w.take_over();
	for (int i = 0; i < 10; i++) {
		load(w, 6, seed * 100 + (uint64_t)i);
		w.play(1000, true);
	}
	w.faults = Faults();
	w.faults.fail_task = 0;
	w.play(calm_ms, false);
	w.check_failed_jobs();
	for (auto &v : w.violations)
		ADD_FAILURE() << "seed " << seed << " " << v;
	size_t ended = w.count(ENG_COMPLETE) + w.count(ENG_FAILED) +
		       w.count(ENG_CANCELLED);
	EXPECT_EQ(ended, w.jobs.size()) << "seed " << seed;
}

class Schedules : public testing::TestWithParam<uint64_t>
{
};

TEST_P(Schedules, Calm)
{
	check(GetParam(), Faults(), 8000);
}

TEST_P(Schedules, LostAnswers)
{
	Faults f;

	f.lose_order = 0.2;
	check(GetParam(), f, 20000);
}

TEST_P(Schedules, LateOrders)
{
	Faults f;

	f.late_order = 0.1;
	check(GetParam(), f, 30000);
}

TEST_P(Schedules, WorkersCrash)
{
	Faults f;

	f.crash = 0.5;
	check(GetParam(), f, 30000);
}

// A former owner's ends are listed again if it could not acknowledge them.
TEST_P(Schedules, FailuresBesideTakeOvers)
{
	Faults f;

	f.takeover = 1;
	f.store_slow = 0.5;
	f.fail_task = 0.3;
	check(GetParam(), f, 20000);
}

TEST_P(Schedules, TakeOvers)
{
	Faults f;

	f.takeover = 0.5;
	f.store_slow = 0.2;
	check(GetParam(), f, 20000);
}

// Workers that do not answer hold placed tasks that have not started.
TEST_P(Schedules, WorkersOutOfReach)
{
	Faults f;

	f.cut = 4;
	check(GetParam(), f, 30000);
}

TEST_P(Schedules, Everything)
{
	Faults f;

	f.lose_order = 0.1;
	f.late_order = 0.05;
	f.crash = 0.3;
	f.cut = 0.3;
	f.takeover = 0.3;
	f.store_slow = 0.1;
	f.cancel = 1;
	check(GetParam(), f, 40000);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Schedules, testing::Range<uint64_t>(1, 26));

} // namespace
