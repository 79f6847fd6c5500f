// Orders around a takeover. Workers start again under the id that they had, within
// seconds of a change of the owner, and are then cut off, while calls are on their
// way for long and the former owner still sends. Guards against an order that is
// carried out by another boot than the one it is meant for: its runs are not
// looked for there, and its lease is not expected.

#include <gtest/gtest.h>

#include "gang_simulation.h"

using engine_sim::Faults;
using engine_sim::GangSimulation;
using engine_sim::Simulation;

namespace
{

constexpr int WORKERS = 6;
constexpr int JOBS = 40;
constexpr int64_t JOB_INTERVAL_MS = 400;
constexpr int64_t LONG_MS = 12000; /* of a task, longer than a lease */
constexpr int64_t SETTLE_MS = 90000;
constexpr int64_t FORMER_OWNER_MAX_MS = 1500;

struct Case {
	int64_t lease_max_ms;
	bool entries_name_boot;
	bool gangs;
};

// The seed, the longest lease, whether entries say when their boot started, and
// whether jobs are gangs.
class RecutWorker
    : public testing::TestWithParam<std::tuple<uint64_t, int64_t, bool, bool>>
{
      protected:
	uint64_t seed() const
	{
		return std::get<0>(GetParam());
	}

	static void set_up(Simulation &sim, uint64_t seed, const Case &c)
	{
		sim.crashes_look_alike = true;
		sim.lease_max_ms = c.lease_max_ms;
		sim.entries_name_boot = c.entries_name_boot;
		sim.former_owner_ms =
			seed % 2 ? FORMER_OWNER_MAX_MS : sim.former_owner_ms;
		sim.jobs_first = seed % 3 == 0;
		/* A gang ends as GangSimulation says. */
		sim.duration_ms = [](const engine_sim::TaskKey &k,
				     int64_t estimate_ms) {
			return k.job % 3 ? estimate_ms : LONG_MS;
		};
	}

	static void submit(Simulation &sim, uint64_t id, bool gang)
	{
		eng_step_spec s =
			engine_sim::step(1 + (uint32_t)(sim.rng() % 5),
					 500 + (int64_t)(sim.rng() % 3000),
					 1500);

		s.gang = gang;
		s.max_per_worker = gang;
		sim.submit(id, { s }, (uint32_t)id % 3, false, 8);
	}

	static void run_jobs(Simulation &sim, uint64_t seed, const Case &c)
	{
		set_up(sim, seed, c);
		sim.take_over();
		for (uint64_t id = 1; id <= JOBS; id++) {
			submit(sim, id, c.gangs);
			sim.run_for(JOB_INTERVAL_MS, true);
		}
		sim.faults = Faults();
		sim.faults.fail_task = 0;
		sim.run_for(SETTLE_MS, false);
		sim.check_failed_jobs();
		for (auto &v : sim.violations)
			ADD_FAILURE() << "seed " << seed << " " << v;
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE) +
				  sim.count_jobs(ENG_FAILED),
			  sim.jobs.size())
			<< "seed " << seed;
	}

	void play(const Faults &f)
	{
		Case c = { std::get<1>(GetParam()), std::get<2>(GetParam()),
			   std::get<3>(GetParam()) };

		if (c.gangs) {
			GangSimulation sim(seed(), f, WORKERS);

			run_jobs(sim, seed(), c);
		} else {
			Simulation sim(seed(), f, WORKERS);

			run_jobs(sim, seed(), c);
		}
	}
};

Faults recut()
{
	Faults f;

	f.recut = 0.2;
	f.former_owner = 0.7;
	return f;
}

TEST_P(RecutWorker, RunsATaskTwice)
{
	play(recut());
}

TEST_P(RecutWorker, RunsATaskTwiceIfOrdersAreLate)
{
	Faults f = recut();

	f.slow_request = 0.1;
	f.slow_hold = 0.1;
	play(f);
}

// Leases and acknowledgements that are late, of long tasks and of short ones.
TEST_P(RecutWorker, RunsATaskTwiceIfHoldsAreLate)
{
	Faults f = recut();

	f.slow_hold = 0.4;
	f.reboot = 8;
	f.partition = 5;
	play(f);
}

TEST_P(RecutWorker, RunsATaskTwiceIfReportsAreLate)
{
	Faults f = recut();

	f.late_report = 0.1;
	f.lose_reply = 0.1;
	play(f);
}

TEST_P(RecutWorker, RunsATaskTwiceIfOrdersAreNotSent)
{
	Faults f = recut();

	f.not_sent = 0.1;
	f.slow_store = 0.3;
	play(f);
}

// All at once, and workers that start again and are cut off at other times too.
TEST_P(RecutWorker, RunsATaskTwiceUnderAllFaults)
{
	Faults f = engine_sim::with_call_faults(recut(), seed());

	f.reboot = 3;
	f.partition = 2;
	f.takeover = 0.3;
	f.slow_store = 0.3;
	f.delay_request = 0.05;
	f.lose_reply = 0.1;
	play(f);
}

// A hold for the boot before is on its way while the worker starts again. The end of
// its lease is on a clock that read more, so it would let what the next boot runs go
// on for the longest lease, while the owner expects its own.
TEST(FormerBoot, ALateHoldForItGivesTheNextOneALease)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		Simulation sim(seed, Faults(), 2);

		sim.faults.fail_task = 0;
		sim.lease_max_ms = 10000;
		sim.run_ms = [](const engine_sim::Worker &,
				const engine_sim::TaskKey &) {
			return 30000.0;
		};
		sim.take_over();
		sim.run_for(1000, false);
		sim.submit(1, { engine_sim::step(1, 1000, 30000) });
		while (sim.start_log.empty())
			sim.run_for(10, false);
		auto &w = sim.find_worker(
			Simulation::str(std::get<1>(sim.start_log.back())));
		auto &other = sim.workers[&w == &sim.workers[0] ? 1 : 0];

		sim.run_for(100, false);
		sim.faults.slow_hold = 1;
		sim.run_for(3000, false);
		sim.faults.slow_hold = 0;
		other.draining = true; // so that the task returns to the worker
		sim.list_worker(other);
		sim.reboot(w);
		while (w.running.empty() && sim.now < 20000)
			sim.run_for(10, false);
		ASSERT_EQ(w.running.size(), 1U);
		other.draining = false;
		sim.list_worker(other);
		sim.run_for(sim.draw_ms(6000), false);
		w.reachable = false;
		sim.run_for(60000, false);
		for (auto &v : sim.violations)
			ADD_FAILURE() << "seed " << seed << " " << v;
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), 1U) << "seed " << seed;
	}
}

INSTANTIATE_TEST_SUITE_P(Seeds, RecutWorker,
			 testing::Combine(engine_sim::seeds(1, 6),
					  testing::Values<int64_t>(6000, 10000),
					  testing::Bool(), testing::Bool()));

} // namespace
