// Workers that start again under the id that they had. The worker API names a boot
// by that id only; orders reach the boot that they are meant for or none.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int WORKERS = 6;
constexpr int JOBS = 120;
constexpr int64_t JOB_INTERVAL_MS = 150;
constexpr int64_t SETTLE_MS = 60000;
constexpr int64_t ENTRY_AGE_MAX_MS = engine_sim::SHRUNK_CAPACITY_MS - 1100;

void play(uint64_t seed, const Faults &f, bool entries_name_boot)
{
	Simulation sim(seed, f, WORKERS);
	std::mt19937_64 r(seed);

	sim.entries_name_boot = entries_name_boot;
	sim.entry_age_max_ms = ENTRY_AGE_MAX_MS;
	sim.take_over();
	for (uint64_t id = 1; id <= JOBS; id++) {
		std::vector<eng_step_spec> steps = { engine_sim::step(
			1 + (uint32_t)(r() % 8), 500 + (int64_t)(r() % 4000),
			1500) };

		steps[0].gang = id % 5 == 0;
		sim.submit(id, steps, (uint32_t)id % 3);
		sim.run_for(JOB_INTERVAL_MS, true);
	}
	sim.faults = Faults();
	sim.faults.fail_task = 0;
	sim.run_for(SETTLE_MS, false);
	for (auto &v : sim.violations)
		ADD_FAILURE() << "seed " << seed << " " << v;
	EXPECT_EQ(sim.count_jobs(ENG_COMPLETE) + sim.count_jobs(ENG_FAILED),
		  sim.jobs.size())
		<< "seed " << seed;
}

// The seed, whether the entries of workers say when their boot started, and
// whether calls have faults beside those of the test.
class RestartedWorker
    : public testing::TestWithParam<std::tuple<uint64_t, bool, bool>>
{
      protected:
	void play(const Faults &f)
	{
		uint64_t seed = std::get<0>(GetParam());

		::play(seed,
		       std::get<2>(GetParam())
			       ? engine_sim::with_call_faults(f, seed)
			       : f,
		       std::get<1>(GetParam()));
	}
};

TEST_P(RestartedWorker, RunsATaskTwiceOrIsOverfilled)
{
	Faults f;

	f.reboot = 10;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceIfRepliesAreLost)
{
	Faults f;

	f.reboot = 10;
	f.lose_reply = 0.2;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceBehindACut)
{
	Faults f;

	f.reboot = 10;
	f.partition = 5;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceIfStartsAreCarriedOutLate)
{
	Faults f;

	f.reboot = 10;
	f.delay_request = 0.1;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceOverTakeovers)
{
	Faults f;

	f.reboot = 10;
	f.takeover = 0.5;
	f.slow_store = 0.3;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceIfStartsAreSlow)
{
	Faults f;

	f.reboot = 10;
	f.slow_request = 0.1;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceIfStartsAreSlowOverTakeovers)
{
	Faults f;

	f.reboot = 10;
	f.slow_request = 0.1;
	f.takeover = 0.5;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceIfHoldsAreSlow)
{
	Faults f;

	f.reboot = 10;
	f.slow_hold = 0.2;
	play(f);
}

TEST_P(RestartedWorker, RunsATaskTwiceIfHoldsAreSlowOverTakeoversAndCuts)
{
	Faults f;

	f.reboot = 10;
	f.slow_hold = 0.2;
	f.takeover = 0.5;
	f.partition = 5;
	play(f);
}

void expect_done(Simulation &sim, size_t n_jobs)
{
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
	EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), n_jobs);
}

// One worker, and a job with one task of ten seconds on it.
struct OneWorker {
	Simulation sim{ 1, Faults(), 1 };
	engine_sim::Worker &w = sim.workers[0];

	OneWorker()
	{
		sim.faults.fail_task = 0;
		sim.run_ms = [](const engine_sim::Worker &,
				const engine_sim::TaskKey &k) {
			return k.job == 1 ? 10000.0 : 500.0;
		};
		sim.take_over();
		sim.submit(1, { engine_sim::step(1, 1000, 10000) });
		sim.run_for(3000, false);
	}
};

// The clock of the machine was set back before its worker started again.
TEST(Boots, OneWithAnEarlierStartTimeIsIgnoredForGood)
{
	OneWorker one;

	one.sim.entries_name_boot = false;
	one.sim.reboot(one.w);
	one.sim.run_for(1000, false);
	one.w.boot_ms = -5000;
	one.sim.run_for(30000, false);
	expect_done(one.sim, 1);
}

// An entry is not the worker's own word: a wrong one must not end its runs.
TEST(Boots, AnEntryThatNamesAnotherBootEndsRunsThatGoOn)
{
	OneWorker one;

	one.w.entry_boot_ms = one.sim.now + 5000;
	one.sim.list_worker(one.w);
	one.sim.run_for(30000, false);
	expect_done(one.sim, 1);
	EXPECT_EQ(one.sim.starts, 1);
}

// A hold to a former boot is answered by another worker at its address, late.
TEST(Boots, ALateReplyAboutAFormerBootEndsRunsOfThePresentOne)
{
	OneWorker one;

	one.sim.reboot(one.w);
	one.sim.run_for(5000, false);
	ASSERT_EQ(one.w.running.size(), 1U);
	eng_hold_failed(one.sim.engine, Simulation::str(one.w.id), 0,
			ENG_REPLY_OTHER_BOOT, one.sim.now);
	one.sim.run_for(30000, false);
	expect_done(one.sim, 1);
	EXPECT_EQ(one.sim.starts, 2);
}

// The worker has moved to another address, and one that took the old address
// answers a hold.
TEST(Boots, ALateReplyFromAFormerAddressEndsRuns)
{
	OneWorker one;

	one.w.address = "10.0.9.9:1";
	one.sim.list_worker(one.w);
	eng_hold_failed(one.sim.engine, Simulation::str(one.w.id), 0,
			ENG_REPLY_OTHER_BOOT, one.sim.now);
	one.sim.run_for(30000, false);
	expect_done(one.sim, 1);
	EXPECT_EQ(one.sim.starts, 1);
}

// Another worker has taken the address, and answers before the entry tells the
// worker's new one.
TEST(Boots, AWorkerThatMovesAfterAnotherOneAnsweredIsNeverUsedAgain)
{
	OneWorker one;

	one.sim.entries_name_boot = false;
	eng_hold_failed(one.sim.engine, Simulation::str(one.w.id), 0,
			ENG_REPLY_OTHER_BOOT, one.sim.now);
	one.sim.reboot(one.w);
	one.w.address = "10.0.9.9:1";
	one.sim.run_for(30000, false);
	expect_done(one.sim, 1);
}

// A new boot carries out a start, and no reply gets back. The end of the lease is
// meant for the former boot's clock, so the new one allows the longest lease.
TEST(Boots, ACutOffOneRunsATaskForLongerThanItsOwnerExpects)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		Simulation sim(seed, Faults(), 2);

		sim.faults.fail_task = 0;
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
		sim.restart(w);
		while (w.running.empty() && sim.now < 5000)
			sim.run_for(1, false);
		ASSERT_EQ(w.running.size(), 1U);
		w.reachable = false;
		w.next_beat_ms = INT64_MAX;
		sim.run_for(60000, false);
		expect_done(sim, 1);
	}
}

// A run that the owner does not expect uses capacity until it has stopped.
TEST(Boots, AWorkerWithAnUnknownRunIsOverfilled)
{
	OneWorker one;
	engine_sim::Run stray = one.w.running[0];

	stray.key.job = 2;
	stray.need.cpu_milli = 14000;
	stray.ends_ms = -1;
	one.sim.submit(2, { engine_sim::step(1, 14000, 500) });
	one.sim.cancel(2);
	one.w.running.push_back(stray);
	while (!one.w.running.back().stopping && one.sim.now < 10000)
		one.sim.run_for(10, false);
	ASSERT_TRUE(one.w.running.back().stopping);
	one.w.running.back().stop_at_ms = one.sim.now + 300;
	for (uint64_t id = 3; id < 9; id++)
		one.sim.submit(id, { engine_sim::step(1, 2000, 500) });
	one.sim.run_for(30000, false);
	expect_done(one.sim, 7);
}

// A start of the former owner is on its way. The new owner asked the worker, gave
// the run up and started the task elsewhere. Then the worker started again, which
// forgets fences, and carried the start out.
TEST(Boots, OneCarriesOutAStartOfAFormerOwner)
{
	Simulation sim(1, Faults(), 2);

	sim.faults.fail_task = 0;
	sim.run_ms = [](const engine_sim::Worker &,
			const engine_sim::TaskKey &) { return 3000.0; };
	sim.entries_name_boot = false;
	for (auto &w : sim.workers)
		w.delay_ms = 1800;
	sim.take_over();
	sim.run_for(1000, false);
	sim.submit(1, { engine_sim::step(1, 1000, 3000) });
	while (sim.start_log.empty())
		sim.run_for(10, false);
	auto &w = sim.find_worker(
		Simulation::str(std::get<1>(sim.start_log.back())));
	for (auto &other : sim.workers)
		other.delay_ms = 15;
	w.draining = true;
	w.reachable = false; // so that the first report comes later
	sim.take_over();
	sim.run_for(100, false);
	w.reachable = true;
	sim.run_for(1100, false);
	sim.restart(w);
	sim.run_for(30000, false);
	expect_done(sim, 1);
}

// A hold or a start that was meant for the former boot gives the new one the longest
// lease, as its clock starts anew. An owner that takes over then sees this boot
// only, and must not expect its tasks to stop as early as its own lease says.
TEST(Boots, ANewOwnerOfAYoungOneStartsItsTasksElsewhereTooEarly)
{
	for (int64_t cut_ms : { 300, 1000, 1800 }) {
		Simulation sim(1, Faults(), 2);

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
		sim.restart(w);
		while (w.running.empty() && sim.now < 5000)
			sim.run_for(1, false);
		ASSERT_EQ(w.running.size(), 1U);
		sim.take_over();
		sim.run_for(cut_ms, false);
		w.reachable = false;
		w.next_beat_ms = INT64_MAX;
		sim.run_for(60000, false);
		expect_done(sim, 1);
	}
}

// A worker whose owner acknowledges an end, in a hold that takes @transit_ms.
struct LateAcknowledgement {
	Simulation sim{ 1, Faults(), 1 };
	engine_sim::Worker &w = sim.workers[0];

	explicit LateAcknowledgement(int64_t transit_ms)
	{
		sim.faults.fail_task = 0;
		sim.entries_name_boot = false;
		sim.run_ms = [](const engine_sim::Worker &,
				const engine_sim::TaskKey &k) {
			return k.job == 3 ? 20000.0 : 200.0;
		};
		sim.take_over();
		sim.run_for(1000, false);
		/* Its owner sends holds to a worker with tasks only. */
		sim.submit(3, { engine_sim::step(1, 1000, 20000) });
		sim.run_for(500, false);
		sim.ack_transit_ms = transit_ms;
		sim.submit(1, { engine_sim::step(1, 1000, 200) });
		while (!sim.acks_sent && sim.now < 5000)
			sim.run_for(10, false);
	}

	void start_again()
	{
		w.running.clear();
		w.ends.clear();
		w.void_runs.clear();
		sim.restart(w);
	}

	void finish()
	{
		sim.run_for(2500, false);
		sim.ack_transit_ms = 0;
		sim.run_for(30000, false);
		EXPECT_GE(sim.acks_sent, 1);
		expect_done(sim, 3);
	}
};

// Guards against a start that is repeated while an acknowledgement is on its way:
// the next boot runs the task, and forgets the end with the ends of the former one.
TEST(Boots, ANewOneForgetsTheEndOfARepeatedStart)
{
	LateAcknowledgement late(1300);

	late.sim.submit(2, { engine_sim::step(1, 1000, 200) });
	late.w.reachable = false;
	late.sim.run_for(300, false);
	late.start_again();
	late.w.reachable = true;
	late.finish();
}

// The same for a first start, that the owner sends before it can know of the boot.
TEST(Boots, ANewOneForgetsTheEndOfAFirstStart)
{
	LateAcknowledgement late(1300);

	late.sim.run_for(300, false);
	late.start_again();
	late.sim.submit(2, { engine_sim::step(1, 1000, 200) });
	late.finish();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestartedWorker,
			 testing::Combine(engine_sim::seeds(1, 11),
					  testing::Bool(),
					  testing::Values(false)));

INSTANTIATE_TEST_SUITE_P(FaultsOfCalls, RestartedWorker,
			 testing::Combine(engine_sim::seeds(1, 3),
					  testing::Bool(),
					  testing::Values(true)));

} // namespace
