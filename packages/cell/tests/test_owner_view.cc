// An owner whose writes are answered while it cannot read one of the topics that it
// decides from. What others have stored there meanwhile must not be missed.

#include "fake_owner.h"

#include <algorithm>

namespace
{

// Bounds of the rules: from the store's answer to the last start.
constexpr int64_t BOUND_MS = 3000;

struct OwnerView : fake::OneOwner {
	// Places the job's tasks only when told so: there is no room before.
	void activate_without_workers()
	{
		topics[VH_TOPIC_FLEET].clear();
		start_owner(1);
		ASSERT_TRUE(tick_until([this] {
			answer();
			return o->phase == OWNER_ACTIVE;
		}));
		run_for(1000);
	}

	void run_for(int64_t ms)
	{
		for (int64_t t = 0; t < ms && o; t += fake::TICK_MS) {
			tick(fake::TICK_MS);
			answer();
		}
	}

	void add_worker(const char *id, const char *state)
	{
		topics[VH_TOPIC_FLEET].emplace_back(id, state);
	}

	// Another node stores the cancellation, past this owner.
	void cancel_at_another_node()
	{
		char key[VH_KEY_BYTES];

		vh_key_format(key, VH_KEY_CANCEL, fake::JOB);
		topics[VH_TOPIC_JOBS].emplace_back(key, "1");
	}

	int starts_after(int64_t ms)
	{
		return (int)std::count_if(starts.begin(), starts.end(),
					  [=](const fake::Sent &s) {
						  return s.at_ms > ms;
					  });
	}
};

TEST_F(OwnerView, CancelledJobIsStartedWhileTheJobsAreNotRead)
{
	activate_without_workers();
	hold_jobs = true;
	run_for(500);
	int64_t cancelled_ms = now();
	cancel_at_another_node();
	run_for(2 * BOUND_MS);
	add_worker(fake::WORKER, "z");
	run_for(2 * BOUND_MS);
	EXPECT_EQ(starts_after(cancelled_ms + BOUND_MS), 0);
	hold_jobs = false;
	release_replies();
	run_for(BOUND_MS);
	EXPECT_EQ(starts_after(cancelled_ms + BOUND_MS), 0);
	EXPECT_EQ(eng_job_status(o->engine, fake::JOB), ENG_CANCELLED);
}

TEST_F(OwnerView, DrainingWorkerIsGivenTasksWhileTheFleetIsNotRead)
{
	activate(1);
	run_job();
	hold_fleet = true;
	run_for(500);
	int64_t draining_ms = now();
	add_worker(fake::WORKER, "draining");
	run_for(2 * BOUND_MS);
	add_job(fake::JOB + 1);
	run_for(2 * BOUND_MS);
	EXPECT_EQ(starts_after(draining_ms + BOUND_MS), 0);
}

TEST_F(OwnerView, DrainedZoneIsGivenTasksWhileTheObjectsAreNotRead)
{
	activate(1);
	run_job();
	zones_readable = false;
	int64_t drained_ms = now();
	run_for(2 * BOUND_MS);
	add_job(fake::JOB + 1);
	run_for(2 * BOUND_MS);
	EXPECT_EQ(starts_after(drained_ms + BOUND_MS), 0);
}

// The count of pending jobs may be 2 s old. Jobs that other nodes store were missing
// from it for as long as the topic was not read.
TEST_F(OwnerView, PendingJobsAreCountedWhileTheJobsAreNotRead)
{
	size_t jobs = 0;

	activate(1);
	run_job();
	EXPECT_TRUE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	hold_jobs = true;
	run_for(500);
	add_job(fake::JOB + 1);
	run_for(BOUND_MS);
	EXPECT_FALSE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	hold_jobs = false;
	release_replies();
	run_for(500);
	EXPECT_TRUE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
}

// A start left its queue after the ownership's confirmation, or the view, had run out.
TEST_F(OwnerView, StartWithoutALimitOfItsOwnLeavesLate)
{
	activate(1);
	run_job();
	int64_t read_ms = std::min({ o->jobs_reader.caught_up_ms,
				     o->fleet_reader.caught_up_ms,
				     o->zones_as_of_ms, confirmed_ms });
	for (auto &s : starts) {
		EXPECT_GT(s.not_after_ms, s.at_ms);
		EXPECT_LE(s.not_after_ms, confirmed_ms + fake::PERMITTED_MS);
		EXPECT_LE(s.not_after_ms, read_ms + fake::PERMITTED_MS);
	}
}

// What was read again releases the starts that waited for it.
TEST_F(OwnerView, StartsGoOnOnceAllTopicsAreRead)
{
	activate(1);
	run_job();
	hold_jobs = true;
	add_job(fake::JOB + 1);
	run_for(2 * BOUND_MS);
	EXPECT_EQ(starts.size(), fake::TASKS);
	hold_jobs = false;
	release_replies();
	run_for(1000);
	EXPECT_EQ(starts.size(), 2 * fake::TASKS);
}

} // namespace
