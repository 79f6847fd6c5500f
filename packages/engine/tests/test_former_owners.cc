// Tasks on workers that no longer answer, once former owners have stopped.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int64_t LONG_MS = 63000;

struct FormerOwners : testing::Test {
	Simulation sim{ 1, Faults(), 2 };

	// The former owner has started a task on a worker that leaves, and may
	// act for LONG_MS.
	void SetUp() override
	{
		sim.faults.fail_task = 0;
		sim.take_over();
		sim.submit(1, { engine_sim::step(1, 16000, 30000) });
		sim.run_for(500, false);
		ASSERT_EQ(sim.start_log.size(), 1u);
		for (auto &w : sim.workers)
			w.reachable = w.running.empty();
		sim.former_owner_ms = LONG_MS;
		sim.take_over();
	}

	void TearDown() override
	{
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
	}
};

// The former owner's process had ended, but its tasks waited for over a minute.
TEST_F(FormerOwners, TasksStartAgainSoonAfterTheFormerOwnerHasEnded)
{
	sim.run_for(1000, false);
	eng_former_owners_end(sim.engine, sim.now + 3300, sim.now);
	sim.run_for(15000, false);
	EXPECT_EQ(sim.start_log.size(), 2u);
}

// A lease that the former owner granted last still counts.
TEST_F(FormerOwners, TasksWaitForTheLeasesOfTheFormerOwner)
{
	sim.run_for(1000, false);
	eng_former_owners_end(sim.engine, sim.now + 3300, sim.now);
	sim.run_for(3300 + sim.lease_max_ms, false);
	EXPECT_EQ(sim.start_log.size(), 1u);
}

// The same while it is not known to have ended.
TEST_F(FormerOwners, TasksWaitForAFormerOwnerThatMayAct)
{
	sim.run_for(LONG_MS, false);
	EXPECT_EQ(sim.start_log.size(), 1u);
}

} // namespace
