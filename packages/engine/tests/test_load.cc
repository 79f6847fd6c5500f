// The loads that the order of placement and the kept room answer, replayed.

#include <gtest/gtest.h>

#include "world.h"

using world::Faults;
using world::World;

namespace
{

constexpr uint64_t GANG = 1, FIRST_SMALL = 1000;

struct Load : testing::TestWithParam<int> {
	World w{ (uint64_t)GetParam(), Faults(), 12 };
	uint64_t next = FIRST_SMALL;

	void SetUp() override
	{
		w.faults.fail_task = 0;
		w.take_over();
	}

	// More small tasks than the cell can run, for a while.
	void press(int64_t ms, bool advice)
	{
		for (int64_t end = w.now + ms; w.now < end;) {
			w.submit(next++, { world::step(6, 2000, 1500) }, 2,
				 advice);
			w.play(40, false);
		}
	}

	void gang(uint32_t tasks, int64_t cpu, bool advice)
	{
		eng_step_spec s = world::step(tasks, cpu, 3000);

		s.gang = true;
		w.submit(GANG, { s }, 1, advice);
	}

	int64_t cpu_running()
	{
		int64_t cpu = 0;

		for (auto &x : w.workers)
			for (auto &r : x.running)
				cpu += r.need.cpu_milli;
		return cpu;
	}

	void expect_kept()
	{
		for (auto &v : w.violations)
			ADD_FAILURE() << v;
	}
};

// A gang needs half of the cell at one moment, while small tasks take every
// gap that opens.
TEST_P(Load, AWideGangStartsInTimeInAFullCell)
{
	press(3000, false);
	gang(24, 4000, false);
	press(4000, false);
	EXPECT_TRUE(w.started_jobs.count(GANG));
	expect_kept();
}

TEST_P(Load, AWideGangWithAdviceStartsInTimeInAFullCell)
{
	press(3000, true);
	gang(16, 4000, true);
	press(5000, true);
	EXPECT_TRUE(w.started_jobs.count(GANG));
	expect_kept();
}

// What a gang waits for does not stand empty for long.
TEST_P(Load, TheCellStaysBusyWhileAGangWaits)
{
	int64_t busy = 0, looks = 0;

	press(3000, false);
	gang(24, 4000, false);
	while (!w.started_jobs.count(GANG) && looks < 200) {
		press(40, false);
		busy += cpu_running();
		looks++;
	}
	EXPECT_GT(busy, looks * 12 * 16000 / 2);
	expect_kept();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Load, testing::Range(1, 9));

} // namespace
