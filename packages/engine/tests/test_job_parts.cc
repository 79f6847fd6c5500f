// The state of a job that outgrows a record is stored in several.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr size_t RECORD_BYTES = 150; /* some ten tasks */
constexpr int64_t SETTLE_MS = 40000;

void submit_jobs(Simulation &sim, int n, uint64_t seed)
{
	std::mt19937_64 r(seed);
	uint32_t after[1] = { 0 };

	for (int i = 0; i < n; i++) {
		std::vector<eng_step_spec> steps;
		uint64_t id = r();

		steps.push_back(engine_sim::step(10 + (uint32_t)(r() % 80),
						 100 + (int64_t)(r() % 200),
						 400));
		steps[0].need.mem_mb = 50;
		steps[0].gang = i % 3 == 1;
		steps[0].checkpoints = i % 3 == 2;
		if (i % 3 != 1) {
			steps.push_back(engine_sim::step(
				1 + (uint32_t)(r() % 30), 200, 300));
			steps[1].need.mem_mb = 50;
			steps[1].after = after;
			steps[1].n_after = 1;
		}
		sim.submit(id, steps, (uint32_t)i % 3, i % 2);
	}
}

class JobParts : public testing::TestWithParam<uint64_t>
{
      protected:
	void run(const Faults &f)
	{
		Simulation sim(GetParam(), f, 8);

		sim.record_bytes = RECORD_BYTES;
		sim.records_per_append = 1 + GetParam() % 4;
		sim.jobs_first = GetParam() % 2;
		sim.parts_last = GetParam() % 4 < 2;
		sim.take_over();
		for (int i = 0; i < 80; i++) {
			if (i % 10 == 0)
				submit_jobs(sim, 3,
					    GetParam() * 100 + (uint64_t)i);
			sim.run_for(100, true);
			most_parts =
				std::max(most_parts, sim.stored_parts.size());
		}
		sim.faults = Faults();
		sim.faults.fail_task = 0;
		sim.run_for(SETTLE_MS, false);
		sim.check_failed_jobs();
		for (auto &v : sim.violations)
			ADD_FAILURE() << "seed " << GetParam() << " " << v;
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE) +
				  sim.count_jobs(ENG_FAILED) +
				  sim.count_jobs(ENG_CANCELLED),
			  sim.jobs.size())
			<< "seed " << GetParam();
		EXPECT_GT(most_parts, 3u);
		// Deleted when their job had ended.
		EXPECT_EQ(sim.stored_parts.size(), 0u) << "seed " << GetParam();
	}

	size_t most_parts = 0;
};

// The record of a job grew over what the store takes.
TEST_P(JobParts, NoRecordIsLargerThanTheLimit)
{
	run(Faults());
}

// An owner ended between the appends of one batch: some parts were stored with a
// change, others without it.
TEST_P(JobParts, AnOwnerEndsBetweenTwoAppends)
{
	Faults f;

	f.takeover = 1;
	f.slow_store = 0.3;
	run(f);
}

TEST_P(JobParts, AllFaults)
{
	Faults f;

	f.lose_reply = 0.1;
	f.delay_request = 0.05;
	f.crash = 0.3;
	f.partition = 0.3;
	f.takeover = 0.5;
	f.slow_store = 0.1;
	f.cancel = 1;
	f.fail_task = 0.1;
	run(f);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobParts, engine_sim::seeds(1, 13));

} // namespace
