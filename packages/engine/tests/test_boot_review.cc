// Leases of a former owner that end later than its successor expects, since the
// start that gave them is carried out late and the successor reaches the worker
// late or never.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int64_t LONG_TASK_MS = 40000;
constexpr int64_t LEASE_MS = 5000; /* that an owner gives */
constexpr int64_t LONGEST_LEASE_MS = 10000;
constexpr double SLOWEST_CLOCK = 0.98; /* that the worker API allows */

// A worker that has been idle gets a start that takes @transit_ms. Its owner is
// gone at once. Its successor does not reach that worker until then.
engine_sim::Worker &start_late(Simulation &sim, int64_t idle_ms,
			       int64_t transit_ms)
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
	sim.run_for(idle_ms, false);
	for (auto &w : sim.workers)
		w.delay_ms = transit_ms;
	sim.submit(1, { engine_sim::step(1, 1000, LONG_TASK_MS) });
	while (sim.start_log.empty())
		sim.run_for(1, false);
	engine_sim::Worker &w = sim.find_worker(
		Simulation::str(std::get<1>(sim.start_log.back())));
	int64_t arrives_ms = std::get<0>(sim.start_log.back()) + transit_ms;

	for (auto &other : sim.workers)
		other.delay_ms = 15;
	w.reachable = false;
	w.next_beat_ms = INT64_MAX;
	sim.schedule_in(arrives_ms - 1 - sim.now, [&w] { w.reachable = true; });
	sim.schedule_in(arrives_ms + 1 - sim.now,
			[&w] { w.reachable = false; });
	sim.take_over();
	sim.run_for(arrives_ms + 10 - sim.now, false);
	/* A start that arrives after the end of its lease is refused. */
	EXPECT_EQ(w.running.size(), transit_ms < LEASE_MS ? 1U : 0U);
	EXPECT_LT(w.fence, sim.epoch);
	return w;
}

void expect_done(Simulation &sim)
{
	sim.run_for(90000, false);
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
	EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), sim.jobs.size());
}

void start_late_on_silent_worker(int64_t idle_ms, int64_t transit_ms)
{
	Simulation sim(1, Faults(), 2);

	start_late(sim, idle_ms, transit_ms);
	expect_done(sim);
}

// The removed allowance of 2 s from the takeover covered this one.
TEST(BootReview, ALateStartOfAFormerOwnerOnASilentWorkerAfter1900Ms)
{
	start_late_on_silent_worker(1000000, 1900);
}

TEST(BootReview, ALateStartOfAFormerOwnerOnASilentWorkerAfter1900MsIdle5Min)
{
	start_late_on_silent_worker(300000, 1900);
}

TEST(BootReview, ALateStartOfAFormerOwnerOnASilentWorkerAfter8S)
{
	start_late_on_silent_worker(1000000, 8000);
}

TEST(BootReview, ALateStartOfAFormerOwnerOnASilentWorkerAfter8SIdle5Min)
{
	start_late_on_silent_worker(300000, 8000);
}

// The successor reaches the worker once. If its process was paused meanwhile, the
// report has no clock (pass_report() in the cell package).
void answer_once(int64_t clock_ms_of_report)
{
	Simulation sim(1, Faults(), 2);
	engine_sim::Worker &w = start_late(sim, 1000000, 4000);
	struct eng_worker_report r = {};
	struct eng_running_task run = {};

	ASSERT_EQ(w.running.size(), 1U);
	run.task = { w.running[0].key.job, 0, w.running[0].key.step,
		     w.running[0].key.index, w.running[0].run };
	w.fence = sim.epoch;
	r.sent_ms = sim.now - 15;
	r.clock_ms = clock_ms_of_report ? sim.clock(w) : 0;
	r.born_ms = w.boot_ms;
	r.running = &run;
	r.n_running = 1;
	eng_worker_report(sim.engine, Simulation::str(w.id), &r, sim.now);
	expect_done(sim);
}

TEST(BootReview, AFirstAnswerWithAClock)
{
	answer_once(1);
}

// The end of the former owner's leases is known from that answer, but is not used.
TEST(BootReview, AFirstAnswerWithoutAClock)
{
	answer_once(0);
}

} // namespace
