// Workers that are gone, silent or refuse.

#include <gtest/gtest.h>

#include "simulation.h"

using world::Faults;
using world::World;

namespace
{

constexpr int64_t LEASE_MS = 5000;

void expect_kept(const World &w)
{
	for (auto &v : w.violations)
		ADD_FAILURE() << v;
}

// Load: workers go dark for good, some while starts are on their way. Trying
// them again must not put off the moment at which their leases have run out.
TEST(Workers, TasksOfAWorkerThatIsGoneRunElsewhere)
{
	World w(1, Faults(), 3);

	w.faults.fail_task = 0;
	w.take_over();
	w.submit(1, { world::step(6, 4000, 2000) });
	w.play(300, false);
	for (int i = 0; i < 2; i++) {
		w.workers[(size_t)i].reachable = false;
		w.workers[(size_t)i].up = false;
		w.workers[(size_t)i].running.clear();
	}
	w.submit(2, { world::step(4, 4000, 1000) });
	w.play(LEASE_MS + 3000 + 4000, false);
	expect_kept(w);
	EXPECT_EQ(eng_job_status(w.engine, 1), ENG_COMPLETE);
	EXPECT_EQ(eng_job_status(w.engine, 2), ENG_COMPLETE);
}

// A service's task runs until its job is cancelled, however it ends.
TEST(Workers, AServiceIsStartedAgain)
{
	World w(1, Faults(), 2);
	eng_step_spec s = world::step(2, 1000, 300);

	w.faults.fail_task = 0.5;
	s.service = true;
	w.take_over();
	w.submit(1, { s });
	w.play(6000, false);
	expect_kept(w);
	EXPECT_EQ(eng_job_status(w.engine, 1), ENG_RUNNING);
	EXPECT_GT(w.starts, 6);
	w.cancel(1);
	w.play(3000, false);
	EXPECT_EQ(eng_job_status(w.engine, 1), ENG_CANCELLED);
	EXPECT_TRUE(w.workers[0].running.empty());
}

} // namespace
