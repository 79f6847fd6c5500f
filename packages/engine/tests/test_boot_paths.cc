// Where else than at a restart a message that is meant for one boot of a worker, or
// one owner, may tell about or take effect on another one: takeovers, late replies,
// and leases that a former owner has given.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int64_t LONG_TASK_MS = 30000;
constexpr int64_t LONGEST_LEASE_MS = 10000;
constexpr double SLOWEST_CLOCK = 0.98; /* that the worker API allows */

// Two workers with the slowest clock, and one task that outlasts every lease.
struct LongTask {
	Simulation sim{ 1, Faults(), 2 };

	LongTask()
	{
		sim.faults.fail_task = 0;
		sim.lease_max_ms = LONGEST_LEASE_MS;
		sim.run_ms = [](const engine_sim::Worker &,
				const engine_sim::TaskKey &) {
			return (double)LONG_TASK_MS;
		};
		for (auto &w : sim.workers)
			w.clock_rate = SLOWEST_CLOCK;
		sim.take_over();
		sim.run_for(1000, false);
	}

	/* Returns the worker that runs the task. */
	engine_sim::Worker &start_task()
	{
		sim.submit(1, { engine_sim::step(1, 1000, LONG_TASK_MS) });
		while (sim.starts == 0)
			sim.run_for(10, false);
		return sim.find_worker(
			Simulation::str(std::get<1>(sim.start_log.back())));
	}

	/* The worker runs on, unseen, until its lease is over. */
	void cut_off(engine_sim::Worker &w)
	{
		w.reachable = false;
		w.next_beat_ms = INT64_MAX;
		sim.run_for(60000, false);
	}

	void expect_done()
	{
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), sim.jobs.size());
	}
};

// An owner sends no holds to an idle worker, and counts its clock on from the last
// report. After minutes the estimate is seconds ahead of a slow clock, and so is the
// end of the lease in the next start; the worker allows it up to the longest lease.
// A new owner knew nothing of that: it expected the lease to end as early as the one
// it gave itself, and started the task elsewhere while the worker ran it.
TEST(BootPaths, ALeaseOfAFormerOwnerForAnIdleWorkerIsLongerThanTheNewOwnersOwn)
{
	for (int64_t idle_ms : { 60000, 120000, 300000 }) {
		for (int64_t cut_ms : { 300, 1000 }) {
			SCOPED_TRACE("idle for " + std::to_string(idle_ms) +
				     " ms, cut off after " +
				     std::to_string(cut_ms) + " ms");
			LongTask t;

			t.sim.run_for(idle_ms, false);
			engine_sim::Worker &w = t.start_task();
			t.sim.take_over();
			t.sim.run_for(cut_ms, false);
			t.cut_off(w);
			t.expect_done();
		}
	}
}

// The same without a takeover: the owner that gave the lease knows its end.
TEST(BootPaths, ALeaseForAnIdleWorkerIsLongerThanItsOwnerExpects)
{
	LongTask t;

	t.sim.run_for(300000, false);
	engine_sim::Worker &w = t.start_task();
	t.sim.run_for(300, false);
	t.cut_off(w);
	t.expect_done();
}

// The same with a silent worker: the new owner waits for the longest lease.
TEST(BootPaths, ALeaseOfAFormerOwnerForASilentWorkerIsLongerThanExpected)
{
	LongTask t;

	t.sim.run_for(300000, false);
	engine_sim::Worker &w = t.start_task();
	t.sim.take_over();
	t.cut_off(w);
	t.expect_done();
}

// The same with a start that is carried out seconds late, on the boot that it was
// meant for: its lease counts from then on, long after the former owner is gone.
TEST(BootPaths, ALeaseOfAFormerOwnerThatBeginsLateIsLongerThanExpected)
{
	constexpr int64_t TRANSIT_MS = 8000;
	LongTask t;

	t.sim.run_for(1000000, false);
	for (auto &w : t.sim.workers)
		w.delay_ms = TRANSIT_MS;
	t.sim.submit(1, { engine_sim::step(1, 1000, LONG_TASK_MS) });
	while (t.sim.start_log.empty())
		t.sim.run_for(10, false);
	engine_sim::Worker &w = t.sim.find_worker(
		Simulation::str(std::get<1>(t.sim.start_log.back())));
	for (auto &other : t.sim.workers)
		other.delay_ms = 15;
	w.reachable = false;
	t.sim.take_over();
	t.sim.run_for(TRANSIT_MS - 100, false);
	w.reachable = true;
	while (w.running.empty() && t.sim.now < 1020000)
		t.sim.run_for(1, false);
	ASSERT_EQ(w.running.size(), 1U);
	t.sim.run_for(3000,
		      false); // a hold that failed is repeated after 1.2 s
	t.cut_off(w);
	t.expect_done();
}

// A rolling update: the former owner is of a version that sends a start on any
// connection. One that was meant for the boot before gives the longest lease, since
// the boot's clock has started anew.
TEST(BootPaths, ALeaseOfAnOwnerOfAnEarlierVersionIsLongerThanTheNewOwnersOwn)
{
	LongTask t;
	engine_sim::Worker &w = t.start_task();

	w.lease_until = t.sim.clock(w) + LONGEST_LEASE_MS;
	t.sim.take_over();
	t.sim.run_for(300, false);
	t.cut_off(w);
	t.expect_done();
}

// A start that gets no reply is on its way when it is sent again, and the second one
// is not sent. The first may still be carried out, so it has to be stopped before the
// task starts elsewhere.
TEST(BootPaths, AStartWhoseRepeatIsNotSentRunsBesideTheNextRun)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Simulation sim(seed, Faults(), 2);

		sim.faults.fail_task = 0;
		sim.run_ms = [](const engine_sim::Worker &,
				const engine_sim::TaskKey &) {
			return 30000.0;
		};
		sim.take_over();
		sim.run_for(1000, false);
		sim.faults.slow_request = 1;
		sim.submit(1, { engine_sim::step(1, 1000, 30000) });
		while (sim.start_log.empty())
			sim.run_for(1, false);
		sim.faults.slow_request = 0;
		sim.faults.not_sent = 1;
		sim.run_for(1500, false);
		sim.faults.not_sent = 0;
		sim.run_for(90000, false);
		for (auto &v : sim.violations)
			ADD_FAILURE() << "seed " << seed << " " << v;
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), 1U) << seed;
	}
}

} // namespace
