// Steps that are left out of placement for a while, at overload, and what they
// know of their workers afterwards.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;
using engine_sim::TaskKey;

namespace
{

constexpr int WORKERS = 8;
constexpr int64_t BLOCK_MS = 6500, SHORT_MS = 100, BURST_MS = 1500;
constexpr double SLOW_ADVICE_MS = 200;
constexpr uint64_t BLOCK = 1, DEFERRED = 2, BURST = 100;
constexpr int BURST_JOBS = 12, BURST_TASKS = 20;

// The policy allows the first two workers to the first two jobs, and the others
// to a burst of another team. The second job waits for the two workers.
struct Course {
	Simulation sim{ 1, Faults(), WORKERS };

	explicit Course(int64_t step_us = 0)
	{
		sim.step_us = step_us;
		sim.faults.fail_task = 0;
		sim.overload_order = true;
		sim.decide_ms =
			SLOW_ADVICE_MS; /* so that all are asked at once */
		sim.duration_ms = [](const TaskKey &, int64_t estimate_ms) {
			return estimate_ms;
		};
		sim.approves = [](uint64_t job, const std::string &worker) {
			bool is_first_two = worker == "w0" || worker == "w1";

			return (job < BURST) == is_first_two;
		};
		sim.take_over();
		sim.run_for(500, false);
		sim.submit(BLOCK,
			   { engine_sim::step(2, engine_sim::FULL_CAPACITY,
					      BLOCK_MS) },
			   1, true);
		sim.run_for(1500, false);
		sim.target_ms = 100;
	}

	/* Its jobs have value for longer than the deferred one. */
	void burst()
	{
		sim.target_ms = 6000;
		for (uint64_t i = 0; i < BURST_JOBS; i++)
			sim.submit(BURST + i,
				   { engine_sim::step(BURST_TASKS, 4000,
						      BURST_MS) },
				   1, true);
	}

	void expect_done()
	{
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
		EXPECT_EQ(sim.deferred_jobs.count(DEFERRED), 1U);
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), sim.jobs.size())
			<< "workers with room "
			<< sim.long_waits[DEFERRED].with_room << ", looked at "
			<< sim.long_waits[DEFERRED].considered;
	}
};

// Guards against workers that become free while a step is left out, and are never
// looked at again: its job waited for good on an idle cell.
TEST(Deferred, AStepForgetsWorkersThatBecameFreeMeanwhile)
{
	Course c;

	c.sim.submit(DEFERRED, { engine_sim::step(1, 4000, SHORT_MS) }, 1,
		     true);
	c.sim.run_for(500, false);
	c.burst();
	c.sim.run_for(40000, false);
	c.expect_done();
}

// The same for a gang, which is placed on the workers that the step looks at.
TEST(Deferred, AGangForgetsWorkersThatBecameFreeMeanwhile)
{
	Course c;
	eng_step_spec gang = engine_sim::step(2, 4000, SHORT_MS);

	gang.gang = true;
	c.sim.submit(DEFERRED, { gang }, 1, true);
	c.sim.run_for(500, false);
	c.burst();
	c.sim.run_for(40000, false);
	c.expect_done();
}

// The same if the pass with the step is interrupted each time: it is looked at in
// another part of the pass than its last mark tells.
TEST(Deferred, AStepForgetsWorkersIfPassesAreInterrupted)
{
	Course c(3000);

	c.sim.submit(DEFERRED, { engine_sim::step(1, 4000, SHORT_MS) }, 1,
		     true);
	c.sim.run_for(500, false);
	c.burst();
	c.sim.run_for(60000, false);
	c.expect_done();
}

} // namespace
