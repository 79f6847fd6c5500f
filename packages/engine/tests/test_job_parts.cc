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

constexpr uint64_t JOB = 7;
constexpr uint32_t TASKS = 150;

/* A job of long tasks, all of which run. */
void start_large_job(Simulation &sim)
{
	eng_step_spec s = engine_sim::step(TASKS, 100, 20000);

	s.need.mem_mb = 50;
	sim.faults.fail_task = 0;
	sim.take_over();
	sim.submit(JOB, { s }, 0, false);
	sim.run_for(1500, false);
	ASSERT_EQ(sim.starts, (int)TASKS);
}

/* Steps of which one has room for a few tasks at a time, so that its parts grow; one is a
 * gang, and one waits for another. */
void submit_mixed_job(Simulation &sim)
{
	static uint32_t after[1] = { 0 };
	std::vector<eng_step_spec> steps = { engine_sim::step(90, 4000, 900),
					     engine_sim::step(40, 100, 500),
					     engine_sim::step(20, 100, 300) };

	for (auto &s : steps)
		s.need.mem_mb = 50;
	steps[1].gang = true;
	steps[2].after = after;
	steps[2].n_after = 1;
	sim.submit(JOB, steps, 0, false);
}

// An owner ended after any number of records of a batch. Its head must not count parts
// that are not stored, and the first half of a divided part must not replace the whole.
TEST(JobPartsRestored, AnOwnerMayEndAfterAnyRecord)
{
	for (size_t n = 1; n <= 100; n++) {
		Simulation sim(n, Faults(), 8);

		sim.record_bytes = RECORD_BYTES;
		sim.records_per_append = 1;
		sim.end_after_records = n;
		sim.faults.fail_task = 0;
		sim.take_over();
		submit_mixed_job(sim);
		sim.run_for(30000, false);
		EXPECT_EQ(eng_job_status(sim.engine, JOB), ENG_COMPLETE) << n;
		EXPECT_EQ(sim.epoch, 2u) << n;
		EXPECT_EQ(sim.stored_parts.size(), 0u) << n;
		for (auto &v : sim.violations)
			ADD_FAILURE() << "after " << n << " records: " << v;
	}
}

// A part that is missing was taken for tasks that never ran: they would have been started
// a second time.
TEST(JobPartsRestored, AJobWithoutAllPartsIsNotStarted)
{
	Simulation sim(1, Faults(), 8);

	sim.record_bytes = RECORD_BYTES;
	start_large_job(sim);
	ASSERT_GT(sim.stored_parts.size(), 3u);
	sim.stored_parts.erase(sim.stored_parts.begin());
	sim.take_over();
	sim.run_for(10000, false);
	EXPECT_EQ(sim.starts, (int)TASKS);
	EXPECT_EQ(eng_job_status(sim.engine, JOB), ENG_RUNNING);
}

// An owner of an older version stores the job as a whole again. The parts are older then.
TEST(JobPartsRestored, PartsThatAWholeRecordReplacedAreDeleted)
{
	Simulation whole(1, Faults(), 8);
	Simulation sim(1, Faults(), 8);

	start_large_job(whole);
	sim.record_bytes = RECORD_BYTES;
	start_large_job(sim);
	ASSERT_GT(sim.stored_parts.size(), 3u);
	sim.record_bytes = 0;
	sim.stored_records[JOB] = whole.stored_records[JOB];
	sim.take_over();
	sim.run_for(60000, false);
	EXPECT_EQ(sim.starts, (int)TASKS);
	EXPECT_EQ(eng_job_status(sim.engine, JOB), ENG_COMPLETE);
	EXPECT_EQ(sim.stored_parts.size(), 0u);
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
}

// The same after the end of the job, if the owner ended before it deleted the parts.
TEST(JobPartsRestored, PartsOfAnEndedJobAreDeleted)
{
	Simulation sim(1, Faults(), 8);

	sim.record_bytes = RECORD_BYTES;
	start_large_job(sim);
	auto parts = sim.stored_parts;
	sim.run_for(60000, false);
	ASSERT_EQ(sim.stored_parts.size(), 0u);
	sim.stored_parts = parts;
	sim.take_over();
	sim.run_for(1000, false);
	EXPECT_EQ(eng_job_status(sim.engine, JOB), ENG_COMPLETE);
	EXPECT_EQ(sim.stored_parts.size(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobParts, engine_sim::seeds(1, 13));

} // namespace
