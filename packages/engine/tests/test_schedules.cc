// Faults at times drawn from a seed. No worker may exceed its capacity, no task
// may run twice, steps run after their dependencies, and every job ends.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

/* More time to settle after faults of calls: one on its way, and a lease. */
constexpr int64_t CALLS_SETTLE_MS = engine_sim::LATE_MAX_MS + 10000;

void submit_jobs(Simulation &sim, int n, uint64_t seed)
{
	std::mt19937_64 r(seed);
	uint32_t after[1] = { 0 };

	for (int i = 0; i < n; i++) {
		std::vector<eng_step_spec> steps;
		int kind = (int)(r() % 4);
		uint64_t id = r();

		steps.push_back(engine_sim::step(1 + (uint32_t)(r() % 6),
						 500 + (int64_t)(r() % 4000),
						 600));
		steps[0].gang = kind == 1;
		steps[0].checkpoints = kind == 2;
		steps[0].max_per_worker = kind == 3 ? 1 : 0;
		if (kind >= 2) {
			steps.push_back(engine_sim::step(2, 1000, 300));
			steps[1].after = after;
			steps[1].n_after = 1;
		}
		sim.submit(id, steps, (uint32_t)kind % 3, i % 2);
	}
}

void run_schedule(uint64_t seed, Faults f, int64_t settle_ms)
{
	Simulation sim(seed, f, 8);

	sim.jobs_first = seed % 2;
	sim.view_age_max_ms = f.unread > 0 ? engine_sim::VIEW_AGE_MAX_MS : 0;

	sim.take_over();
	for (int i = 0; i < 10; i++) {
		submit_jobs(sim, 6, seed * 100 + (uint64_t)i);
		sim.run_for(1000, true);
	}
	sim.faults = Faults();
	sim.faults.fail_task = 0;
	sim.run_for(settle_ms, false);
	sim.check_failed_jobs();
	for (auto &v : sim.violations)
		ADD_FAILURE() << "seed " << seed << " " << v;
	size_t ended = sim.count_jobs(ENG_COMPLETE) +
		       sim.count_jobs(ENG_FAILED) +
		       sim.count_jobs(ENG_CANCELLED);
	EXPECT_EQ(ended, sim.jobs.size()) << "seed " << seed;
}

// The seed, and whether calls have faults beside those of the test.
class Schedules : public testing::TestWithParam<std::tuple<uint64_t, bool>>
{
      protected:
	uint64_t seed() const
	{
		return std::get<0>(GetParam());
	}

	void run(const Faults &f, int64_t settle_ms)
	{
		if (std::get<1>(GetParam()))
			run_schedule(seed(),
				     engine_sim::with_call_faults(f, seed()),
				     settle_ms + CALLS_SETTLE_MS);
		else
			run_schedule(seed(), f, settle_ms);
	}
};

TEST_P(Schedules, TaskFailuresOnly)
{
	run(Faults(), 8000);
}

TEST_P(Schedules, LostReplies)
{
	Faults f;

	f.lose_reply = 0.2;
	run(f, 20000);
}

TEST_P(Schedules, DelayedStartRequests)
{
	Faults f;

	f.delay_request = 0.1;
	run(f, 30000);
}

TEST_P(Schedules, WorkersCrash)
{
	Faults f;

	f.crash = 0.5;
	run(f, 30000);
}

// After a takeover, workers list again the ends that the former owner did not
// acknowledge. A failed run must not count twice.
TEST_P(Schedules, TaskFailuresAndTakeOvers)
{
	Faults f;

	f.takeover = 1;
	f.slow_store = 0.5;
	f.fail_task = 0.3;
	run(f, 20000);
}

TEST_P(Schedules, TakeOvers)
{
	Faults f;

	f.takeover = 0.5;
	f.slow_store = 0.2;
	run(f, 20000);
}

// Workers become unreachable while tasks placed on them have not started.
TEST_P(Schedules, UnreachableWorkers)
{
	Faults f;

	f.partition = 4;
	run(f, 30000);
}

TEST_P(Schedules, AllFaults)
{
	Faults f;

	f.lose_reply = 0.1;
	f.delay_request = 0.05;
	f.crash = 0.3;
	f.partition = 0.3;
	f.takeover = 0.3;
	f.slow_store = 0.1;
	f.cancel = 1;
	run(f, 40000);
}

// Starts of cancelled jobs left while the owner's reads had no answer.
TEST_P(Schedules, TheStoreIsNotRead)
{
	Faults f;

	f.unread = 0.5;
	f.queued = 0.1;
	f.cancel = 3;
	run(f, 20000);
}

TEST_P(Schedules, TheStoreIsNotReadWithAllFaults)
{
	Faults f;

	f.unread = 0.5;
	f.queued = 0.1;
	f.lose_reply = 0.1;
	f.delay_request = 0.05;
	f.crash = 0.3;
	f.partition = 0.3;
	f.takeover = 0.3;
	f.slow_store = 0.1;
	f.cancel = 3;
	run(f, 40000);
}

std::map<uint64_t, std::string> records_of(uint64_t seed)
{
	Faults f;

	f.cancel = 0.5;
	f.lose_reply = 0.1;
	Simulation sim(seed, f, 8);

	sim.take_over();
	for (int i = 0; i < 10; i++) {
		submit_jobs(sim, 6, seed * 100 + (uint64_t)i);
		sim.run_for(300, true);
	}
	return sim.stored_records;
}

// Equal workers were told apart by the addresses of their structs.
TEST_P(Schedules, TheSameSeedGivesOtherRecords)
{
	EXPECT_EQ(records_of(seed()), records_of(seed()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, Schedules,
			 testing::Combine(engine_sim::seeds(1, 26),
					  testing::Bool()));

} // namespace
