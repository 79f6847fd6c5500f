// Workers whose capacity shrinks and grows while they run.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int WORKERS = 8;
constexpr int JOBS = 200;
constexpr int64_t JOB_INTERVAL_MS = 150;
constexpr int64_t SETTLE_MS = 60000;
constexpr int64_t ENTRY_AGE_MAX_MS = engine_sim::SHRUNK_CAPACITY_MS - 1100;

void play(uint64_t seed, const Faults &f, int64_t store_down_ms)
{
	Simulation sim(seed, f, WORKERS);
	std::mt19937_64 r(seed);

	sim.entry_age_max_ms = ENTRY_AGE_MAX_MS;
	sim.take_over();
	for (int64_t at = 3000; store_down_ms && at < JOBS * JOB_INTERVAL_MS;
	     at += 2 * store_down_ms) {
		sim.schedule_at(at, [&sim] { sim.store_down = true; });
		sim.schedule_at(at + store_down_ms, [&sim] {
			sim.store_down = false;
			/* The first node that the store serves. */
			if (sim.faults.takeover > 0)
				sim.take_over();
		});
	}
	for (uint64_t id = 1; id <= JOBS; id++) {
		sim.submit(id, { engine_sim::step(1 + (uint32_t)(r() % 8),
						  500 + (int64_t)(r() % 4000),
						  1500) });
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

class ShrunkWorker : public testing::TestWithParam<uint64_t>
{
};

TEST_P(ShrunkWorker, IsFilledBeyondItsCapacity)
{
	Faults f;

	f.resize = 1;
	play(GetParam(), f, 0);
}

TEST_P(ShrunkWorker, IsFilledBeyondItsCapacityOverTakeovers)
{
	Faults f;

	f.resize = 1;
	f.takeover = 0.3;
	play(GetParam(), f, 0);
}

TEST_P(ShrunkWorker, IsFilledBeyondItsCapacityOverOutagesOfTheStore)
{
	Faults f;

	f.resize = 1;
	play(GetParam(), f, 7000);
}

TEST_P(ShrunkWorker, IsFilledBeyondItsCapacityByAnOwnerAfterAnOutage)
{
	Faults f;

	f.resize = 1;
	f.takeover = 0.05;
	play(GetParam(), f, 7000);
}

TEST_P(ShrunkWorker, IsFilledBeyondItsCapacityIfStartsGetNoReply)
{
	Faults f;

	f.resize = 1;
	f.lose_reply = 0.2;
	f.slow_store = 0.3;
	play(GetParam(), f, 0);
}

// Without late starts: no owner can keep one from a worker that shrinks meanwhile.
TEST_P(ShrunkWorker, IsFilledBeyondItsCapacityIfCallsAreLateOrLost)
{
	Faults f;

	f.resize = 1;
	f.takeover = 0.3;
	f = engine_sim::with_call_faults(f, GetParam());
	f.slow_request = 0;
	play(GetParam(), f, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShrunkWorker, testing::Range<uint64_t>(1, 21));

// The worker restarts with less capacity while the store is down. It answers in
// its new boot before its entry tells of it.
TEST(Capacity, ANewBootIsFilledByTheEntryOfTheFormerOne)
{
	Simulation sim(1, Faults(), 1);
	auto &w = sim.workers[0];

	sim.entry_age_max_ms = ENTRY_AGE_MAX_MS;
	sim.take_over();
	sim.submit(1, { engine_sim::step(1, 1000, 60000) });
	sim.run_for(500, false);
	sim.store_down = true;
	w.running.clear();
	w.void_runs.clear();
	w.boot_ms = sim.now;
	w.fence = 0;
	w.clock_offset = -sim.now; /* its clock starts anew */
	sim.resize(w, engine_sim::FULL_CAPACITY / 4);
	sim.run_for(engine_sim::SHRUNK_CAPACITY_MS + 500, false);
	sim.submit(2, { engine_sim::step(3, 2500, 600) });
	w.next_beat_ms = sim.now + 1400;
	sim.store_down = false;
	sim.run_for(6000, false);
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
	EXPECT_EQ(eng_job_status(sim.engine, 2), ENG_COMPLETE);
}

} // namespace
