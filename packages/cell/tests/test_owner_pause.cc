// An owner whose process stood still, while another node may have taken over.

#include "fake_owner.h"

namespace
{

constexpr int64_t PAUSE_MS = 5000;

struct OwnerPause : fake::OneOwner {
	// The owner has woken at @woken_ms. Expects that it sends nothing that
	// only the present owner may send before a write that it sent since
	// then is answered.
	void expect_nothing_before_a_new_write(int64_t woken_ms)
	{
		for (int i = 0; i < 10; i++) {
			tick(fake::TICK_MS);
			EXPECT_EQ(sent_since(woken_ms), 0);
			if (state_append() >= 0 &&
			    appends[(size_t)state_append()].sent_ms >= woken_ms)
				return;
		}
		ADD_FAILURE() << "no write after the pause";
	}
};

// The answer to a write from before the pause, handled before the first run,
// sent the starts whose placements it stored.
TEST_F(OwnerPause, AnswerFromBeforeThePauseIsHandledFirst)
{
	activate(1);
	place();
	pause(PAUSE_MS);
	int64_t woken_ms = now();
	EXPECT_LT(answer(), woken_ms);
	EXPECT_EQ(sent_since(woken_ms), 0);
	EXPECT_EQ(o->earlier_answers, 1u);
	expect_nothing_before_a_new_write(woken_ms);
	EXPECT_GE(answer(), woken_ms);
	EXPECT_EQ(o->earlier_answers, 0u);
	tick(2 * fake::TICK_MS);
	EXPECT_EQ(starts.size(), fake::TASKS);
}

// The same answer ended the suspension that the run before it had begun.
TEST_F(OwnerPause, AnswerFromBeforeThePauseEndsTheSuspension)
{
	activate(1);
	place();
	pause(PAUSE_MS);
	int64_t woken_ms = now();
	run();
	EXPECT_LT(answer(), woken_ms);
	EXPECT_EQ(sent_since(woken_ms), 0);
	expect_nothing_before_a_new_write(woken_ms);
	EXPECT_GE(answer(), woken_ms);
	tick(2 * fake::TICK_MS);
	EXPECT_EQ(starts.size(), fake::TASKS);
}

// A woken owner renewed leases that its successor counted as expired.
TEST_F(OwnerPause, LeasesAreRenewedAfterAnAnswerFromBeforeThePause)
{
	activate(1);
	run_job();
	ASSERT_TRUE(tick_until([this] { return state_append() >= 0; }));
	pause(PAUSE_MS);
	int64_t woken_ms = now();
	run();
	EXPECT_LT(answer(), woken_ms);
	expect_nothing_before_a_new_write(woken_ms);
	EXPECT_GE(answer(), woken_ms);
	tick(4 * fake::TICK_MS);
	EXPECT_GT(sent_since(woken_ms), 0);
}

TEST_F(OwnerPause, SucceededOwnerStartsNothingAfterThePause)
{
	activate(1);
	place();
	pause(PAUSE_MS);
	answer();
	ASSERT_TRUE(tick_until([this] { return state_append() >= 0; }));
	answer(VH_STORE_FENCED);
	EXPECT_TRUE(lost);
	EXPECT_TRUE(starts.empty());
}

// The placement is stored, and its start waits for the zones. They are read
// after the pause, before the store has confirmed the owner.
TEST_F(OwnerPause, ZonesReadAfterThePauseReleaseStarts)
{
	activate(1);
	place();
	zones_readable = false;
	o->zones_as_of_ms = 1;
	answer(VH_STORE_REFUSED);
	ASSERT_LT(owner_view_limit_ms(o), now());
	while (state_append() < 0)
		run();
	answer();
	ASSERT_TRUE(starts.empty());
	pause(PAUSE_MS);
	int64_t woken_ms = now();
	zones_readable = true;
	read_zones();
	EXPECT_EQ(sent_since(woken_ms), 0);
	expect_nothing_before_a_new_write(woken_ms);
	answer();
	tick(4 * fake::TICK_MS);
	EXPECT_EQ(starts.size(), fake::TASKS);
}

// Of two starts that one answer releases, the second one is due after the pause.
TEST_F(OwnerPause, OwnerStandsStillBetweenTwoStarts)
{
	activate(1);
	place();
	pause_after_start_ms = PAUSE_MS;
	answer();
	int64_t woken_ms = now();
	EXPECT_EQ(starts.size(), 1u);
	expect_nothing_before_a_new_write(woken_ms);
	EXPECT_GE(answer(), woken_ms);
	tick(10 * fake::TICK_MS);
	EXPECT_EQ(starts.size(), fake::TASKS);
}

// A start that the owner withheld counted as one that may have been carried out. When
// the worker had no room for the next attempt, a run was stopped that was never sent,
// and its task waited for that.
TEST_F(OwnerPause, WithheldStartIsStoppedThoughItWasNotSent)
{
	activate(1);
	place();
	pause_after_start_ms = PAUSE_MS;
	answer();
	ASSERT_EQ(starts.size(), 1u);
	tick(2 * fake::TICK_MS);
	EXPECT_EQ(o->withheld_starts, 1u);
	start_reply = ENG_REPLY_NO_CAPACITY;
	ASSERT_TRUE(tick_until([this] {
		answer();
		return starts.size() == fake::TASKS;
	}));
	tick(4 * fake::TICK_MS);
	EXPECT_EQ(stops, 0);
}

// An owner that stood still while it loaded the states became active as if the
// store had confirmed it just now.
TEST_F(OwnerPause, OwnerStandsStillWhileItLoads)
{
	activate(1);
	run_job();
	stop_owner();
	hold_states = true;
	start_owner(2);
	answer();
	tick(4 * fake::TICK_MS);
	ASSERT_EQ(o->phase, OWNER_LOADING);
	pause(PAUSE_MS);
	int64_t woken_ms = now();
	hold_states = false;
	release_replies();
	expect_nothing_before_a_new_write(woken_ms);
	ASSERT_TRUE(tick_until([this] {
		answer();
		return o->phase == OWNER_ACTIVE;
	}));
	tick(6 * fake::TICK_MS);
	EXPECT_GT(sent_since(woken_ms), 0);
}

// A new owner whose fence took long counted the leases of its predecessor, which
// may act until the fence is set, from an earlier time.
TEST_F(OwnerPause, FenceIsSetLongAfterTheWorkersAreListed)
{
	constexpr int64_t FENCE_MS = 4000, STEP_MS = 200;

	activate(1);
	run_job();
	stop_owner();
	starts.clear();
	silent_worker = fake::WORKER;
	topics[VH_TOPIC_FLEET].emplace_back("10.0.0.2:1", "z");
	start_owner(2);
	tick(FENCE_MS, STEP_MS);
	answer();
	int64_t fenced_ms = now();
	for (int i = 0; i < 200 && starts.empty(); i++) {
		tick(STEP_MS, STEP_MS);
		answer();
	}
	ASSERT_FALSE(starts.empty());
	EXPECT_GE(starts[0].at_ms,
		  fenced_ms + fake::FORMER_OWNER_MS + fake::LEASE_MS);
}

// Pauses that are each too short to suspend the owner add up.
TEST_F(OwnerPause, ShortPausesAddUp)
{
	constexpr int64_t SHORT_MS = 800;

	activate(1);
	run_job();
	ASSERT_TRUE(tick_until([this] { return state_append() >= 0; }));
	int64_t last_ms = confirmed_ms + fake::PERMITTED_MS;
	tick(10 * SHORT_MS, SHORT_MS);
	EXPECT_EQ(sent_since(last_ms + 1), 0);
	int64_t answered_ms = now();
	answer();
	tick(4 * fake::TICK_MS);
	answer();
	tick(4 * fake::TICK_MS);
	EXPECT_GT(sent_since(answered_ms), 0);
}

// The same, for the leases that a start renews: its placement is stored with the
// answer to a write that was sent long ago.
TEST_F(OwnerPause, ShortPausesAddUpBeforeAStart)
{
	activate(1);
	place();
	tick(3200, 800);
	EXPECT_LT(confirmed_ms + fake::PERMITTED_MS, now());
	answer();
	EXPECT_TRUE(starts.empty());
	ASSERT_TRUE(tick_until([this] { return state_append() >= 0; }));
	EXPECT_TRUE(starts.empty());
	answer();
	tick(2 * fake::TICK_MS);
	EXPECT_EQ(starts.size(), fake::TASKS);
}

// A report that was on its way during the pause tells a worker's clock of before
// it. Leases were renewed until a time in the past, and entries of the fleet's
// list seemed to be younger than they are.
TEST_F(OwnerPause, ReportFromBeforeThePauseTellsTheClock)
{
	activate(1);
	int64_t before_ms = now();
	run_job();
	hold_reports = true;
	ASSERT_TRUE(tick_until([this] {
		answer();
		return !held_replies.empty();
	}));
	pause(PAUSE_MS);
	int64_t woken_ms = now();
	hold_reports = false;
	release_replies();
	ASSERT_TRUE(tick_until([&] {
		answer();
		return sent_since(woken_ms) > 0;
	}));
	// Counted from the last clock before the pause, at its slowest rate.
	int64_t age_max_ms = leases.back().at_ms - before_ms;
	int64_t lease_ms = leases.back().until_ms - leases.back().at_ms;
	EXPECT_LE(lease_ms, fake::LEASE_MS);
	EXPECT_GE(lease_ms, fake::LEASE_MS - age_max_ms * 3 / 100 - 1);
}

// The count of pending jobs may be 2 s old. A woken owner gave one from before
// its pause, without the jobs that other nodes had stored meanwhile.
TEST_F(OwnerPause, PendingJobsFromBeforeThePause)
{
	size_t jobs = 0;

	activate(1);
	place();
	EXPECT_TRUE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	EXPECT_EQ(jobs, 1u);
	hold_jobs = true;
	ASSERT_TRUE(tick_until([this] { return !held_replies.empty(); }));
	pause(PAUSE_MS);
	EXPECT_FALSE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	answer();
	EXPECT_FALSE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	ASSERT_TRUE(tick_until([this] { return state_append() >= 0; }));
	answer();
	EXPECT_FALSE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	hold_jobs = false;
	release_replies();
	EXPECT_FALSE(owner_pending_jobs(o, vh_slice_str("q"), &jobs));
	EXPECT_TRUE(tick_until([&] {
		answer();
		return owner_pending_jobs(o, vh_slice_str("q"), &jobs);
	}));
}

// While the store is down for all nodes, what runs goes on.
TEST_F(OwnerPause, LeasesEndWhileTheStoreIsDownForAll)
{
	constexpr int64_t OUTAGE_MS = 10000;

	activate(1);
	run_job();
	ASSERT_TRUE(tick_until([this] { return state_append() >= 0; }));
	outage_until_ms = now() + OUTAGE_MS;
	for (int i = 0; i < 10; i++) {
		size_t n = leases.size();

		tick(OUTAGE_MS / 10, 200);
		EXPECT_GT(leases.size(), n);
	}
}

} // namespace
