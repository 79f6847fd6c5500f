// Workers that fail for good, and tasks of services.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int64_t LEASE_MS = 5000;

void expect_no_violations(const Simulation &sim)
{
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
}

// Workers fail for good, some while start requests are in transit. Retries to
// them must not postpone the expiry of their leases.
TEST(Workers, TasksOfAFailedWorkerRunElsewhere)
{
	Simulation sim(1, Faults(), 3);

	sim.faults.fail_task = 0;
	sim.take_over();
	sim.submit(1, { engine_sim::step(6, 4000, 2000) });
	sim.run_for(300, false);
	for (int i = 0; i < 2; i++) {
		sim.workers[(size_t)i].reachable = false;
		sim.workers[(size_t)i].up = false;
		sim.workers[(size_t)i].running.clear();
	}
	sim.submit(2, { engine_sim::step(4, 4000, 1000) });
	sim.run_for(LEASE_MS + 3000 + 4000, false);
	expect_no_violations(sim);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
	EXPECT_EQ(eng_job_status(sim.engine, 2), ENG_COMPLETE);
}

// Some starts are carried out seconds late and have no reply, and the worker
// rejects the retries. The task must not start elsewhere before the first start is
// void.
TEST(Workers, ARejectedRetryDoesNotRunATaskTwice)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Simulation sim(seed, Faults(), 4);

		sim.faults.fail_task = 0;
		sim.faults.delay_request = 0.3;
		sim.faults.reject_retry = 1;
		sim.take_over();
		for (uint64_t id = 1; id <= 10; id++) {
			sim.submit(id, { engine_sim::step(4, 1000, 3000) });
			sim.run_for(300, false);
		}
		sim.run_for(15000, false);
		expect_no_violations(sim);
	}
}

// Tasks of a service are restarted, however they end, until the job is
// cancelled.
TEST(Workers, TasksOfAServiceAreRestarted)
{
	Simulation sim(1, Faults(), 2);
	eng_step_spec s = engine_sim::step(2, 1000, 300);

	sim.faults.fail_task = 0.5;
	s.service = true;
	sim.take_over();
	sim.submit(1, { s });
	sim.run_for(6000, false);
	expect_no_violations(sim);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_RUNNING);
	EXPECT_GT(sim.starts, 6);
	sim.cancel(1);
	sim.run_for(3000, false);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_CANCELLED);
	EXPECT_TRUE(sim.workers[0].running.empty());
}

// A placement waits for a slow store, and its worker starts to drain meanwhile.
TEST(Workers, ADrainingWorkerGetsAStartThatWaitedForTheStore)
{
	Simulation sim(1, Faults(), 2);

	sim.faults.fail_task = 0;
	sim.faults.slow_store = 1;
	sim.take_over();
	sim.run_for(500, false);
	sim.submit(1, { engine_sim::step(1, 1000, 600) });
	sim.run_for(100, false);
	for (auto &w : sim.workers)
		w.draining = true;
	sim.list_worker(sim.workers[0]);
	sim.list_worker(sim.workers[1]);
	sim.run_for(1000, false);
	EXPECT_EQ(sim.starts, 0);
	sim.workers[0].draining = false;
	sim.list_worker(sim.workers[0]);
	sim.run_for(3000, false);
	expect_no_violations(sim);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
}

} // namespace
