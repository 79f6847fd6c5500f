// Recovery by a new owner from the records of the former one.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

void expect_no_violations(const Simulation &sim)
{
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
}

// A job is cancelled while its worker is unreachable, and then the owner fails.
// The tasks still run there, so the new owner must count their resources as
// used.
void cancelled_job_keeps_its_resources(bool jobs_first)
{
	Simulation sim(1, Faults(), 1);

	sim.faults.fail_task = 0;
	sim.jobs_first = jobs_first;
	sim.take_over();
	sim.submit(1, { engine_sim::step(2, 8000, 60000) });
	sim.run_for(1000, false);
	sim.workers[0].reachable = false;
	sim.cancel(1);
	sim.run_for(1000, false);
	sim.take_over();
	sim.workers[0].reachable = true;
	sim.submit(2, { engine_sim::step(2, 8000, 100) });
	sim.run_for(3000, false);
	expect_no_violations(sim);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_CANCELLED);
	EXPECT_EQ(eng_job_status(sim.engine, 2), ENG_COMPLETE);
}

TEST(TakeOver, TasksOfACancelledJobKeepTheirResources)
{
	cancelled_job_keeps_its_resources(false);
}

// The cancellation is read before the record.
TEST(TakeOver,
     TasksOfACancelledJobKeepTheirResourcesIfTheCancellationIsReadFirst)
{
	cancelled_job_keeps_its_resources(true);
}

// A caller resubmits a completed job during recovery, so the job is added
// before its record is restored. It must not run again.
TEST(TakeOver, AJobAddedBeforeItsRecordIsNotRunAgain)
{
	Simulation sim(1, Faults(), 2);

	sim.faults.fail_task = 0;
	sim.take_over();
	sim.submit(1, { engine_sim::step(2, 1000, 200) });
	sim.run_for(2000, false);
	ASSERT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
	sim.jobs_first = true;
	sim.take_over();
	sim.run_for(2000, false);
	expect_no_violations(sim);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
	EXPECT_EQ(sim.starts, 2);
}

TEST(TakeOver, RunningTasksAreAdopted)
{
	Simulation sim(1, Faults(), 4);

	sim.faults.fail_task = 0;
	sim.take_over();
	sim.submit(1, { engine_sim::step(8, 4000, 3000) });
	sim.run_for(500, false);
	sim.take_over();
	sim.run_for(5000, false);
	expect_no_violations(sim);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
	EXPECT_EQ(sim.starts, 8);
}

// The owner's starts have not arrived when another one takes over. They can arrive
// no more once the worker has answered that one, so the tasks wait for no longer.
TEST(TakeOver, TasksWaitForStartsOfAFormerOwner)
{
	Simulation sim(1, Faults(), 2);

	sim.faults.fail_task = 0;
	sim.take_over();
	sim.run_for(1000, false);
	for (auto &w : sim.workers)
		w.reachable = false;
	sim.submit(1, { engine_sim::step(1, 1000, 500) });
	while (sim.start_log.empty())
		sim.run_for(10, false);
	sim.run_for(50, false);
	for (auto &w : sim.workers)
		w.reachable = true;
	sim.take_over();
	sim.run_for(3000, false); // a long poll of the worker takes 2 s
	expect_no_violations(sim);
	EXPECT_EQ(sim.start_log.size(), 2u);
}

// An unreachable worker may run its tasks until its lease expires. They must
// not start elsewhere before.
TEST(TakeOver, TasksOfAnUnreachableWorkerWaitForItsLease)
{
	Simulation sim(1, Faults(), 2);

	sim.faults.fail_task = 0;
	sim.take_over();
	sim.submit(1, { engine_sim::step(2, 16000, 30000) });
	sim.run_for(500, false);
	sim.workers[0].reachable = false;
	sim.take_over();
	sim.run_for(30000, false);
	expect_no_violations(sim);
}

} // namespace
