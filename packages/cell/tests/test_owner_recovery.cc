// A new owner that has read the states of jobs, but not all of the jobs.

#include "fake_owner.h"

namespace
{

struct OwnerRecovery : fake::OneOwner {
	// The former owner has started the job. A successor reads the jobs, and
	// the job is stored only then, and its state after it, before the store
	// sets the successor's fence.
	void succeed_between_job_and_state()
	{
		activate(1);
		run_job();
		stop_owner();
		auto jobs = std::move(topics[VH_TOPIC_JOBS]);

		topics[VH_TOPIC_JOBS].clear();
		start_owner(2);
		ASSERT_TRUE(tick_until(
			[this] { return o->jobs_reader.snapshot_read; }));
		ASSERT_EQ(o->phase, OWNER_FENCING);
		topics[VH_TOPIC_JOBS] = std::move(jobs);
	}

	void run_active_for(int64_t ms)
	{
		ASSERT_TRUE(tick_until([this] {
			answer();
			return o->phase == OWNER_ACTIVE;
		}));
		for (int64_t t = 0; t < ms; t += fake::TICK_MS) {
			tick(fake::TICK_MS);
			answer();
		}
	}
};

// The runs of a job that the new owner had not read were stopped on their
// worker, as if nobody had started them.
TEST_F(OwnerRecovery, RunsOfAJobThatIsNotReadAreStopped)
{
	succeed_between_job_and_state();
	run_active_for(3000);
	EXPECT_EQ(stops, 0);
	EXPECT_EQ(starts.size(), fake::TASKS);
	EXPECT_EQ(eng_job_status(o->engine, fake::JOB), ENG_RUNNING);
}

// Their ends were acknowledged unseen, so a done task ran again.
TEST_F(OwnerRecovery, EndsOfAJobThatIsNotReadAreAcknowledged)
{
	succeed_between_job_and_state();
	std::swap(running[fake::WORKER], done[fake::WORKER]);
	run_active_for(3000);
	EXPECT_EQ(starts.size(), fake::TASKS);
	EXPECT_EQ(eng_job_status(o->engine, fake::JOB), ENG_COMPLETE);
}

} // namespace
