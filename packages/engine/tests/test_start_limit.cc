// Starts after the time that eng_set_start_limit() gives: they were based on an
// old view of the store, and began tasks of jobs that were cancelled long before.

#include <gtest/gtest.h>

#include "gang_simulation.h"

using engine_sim::Faults;
using engine_sim::GangSimulation;
using engine_sim::step;

namespace
{

constexpr uint64_t JOB = 1;
constexpr uint32_t TASKS = 4;
constexpr int64_t TICK_MS = 10;
constexpr int64_t LATER_MS = 2500; /* less than a lease, more than a ticket */

struct StartLimit : testing::Test {
	GangSimulation sim{ 1, Faults(), 4 };

	StartLimit()
	{
		sim.faults.fail_task = 0;
		sim.take_over();
		sim.run_for(500, false);
	}

	~StartLimit() override
	{
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
	}

	void set_limit(int64_t not_after_ms)
	{
		eng_set_start_limit(sim.engine, not_after_ms, sim.now);
	}

	size_t n_placed()
	{
		struct eng_stats s = {};

		eng_stats(sim.engine, &s);
		return s.running_tasks;
	}

	size_t n_stopped()
	{
		size_t n = 0;

		for (auto &w : sim.workers)
			n += w.void_runs.size();
		return n;
	}

	void submit(bool gang, bool advice = false)
	{
		eng_step_spec s = step(TASKS, 1000, 400);

		s.gang = gang;
		s.max_per_worker = 1;
		sim.submit(JOB, { s }, 1, advice);
	}

	// Until the job's tasks are placed. The store answers after the limit
	// has passed.
	void place_before_limit(bool gang, bool advice = false)
	{
		sim.states_down = true;
		submit(gang, advice);
		for (int i = 0; i < 100 && !n_placed(); i++)
			sim.run_for(TICK_MS, false);
		ASSERT_EQ(n_placed(), TASKS);
		set_limit(sim.now - 1);
		sim.states_down = false;
		sim.run_for(LATER_MS, false);
	}

	void expect_complete()
	{
		sim.run_for(8000, false);
		EXPECT_EQ(eng_job_status(sim.engine, JOB), ENG_COMPLETE);
	}
};

TEST_F(StartLimit, NothingIsPlacedAfterIt)
{
	set_limit(sim.now - 1);
	submit(false);
	sim.run_for(LATER_MS, false);
	EXPECT_EQ(n_placed(), 0u);
	EXPECT_TRUE(sim.start_log.empty());
	set_limit(INT64_MAX);
	expect_complete();
}

TEST_F(StartLimit, StoredStartsWaitAndGoOnOnceItMovesOn)
{
	place_before_limit(false);
	EXPECT_TRUE(sim.start_log.empty());
	EXPECT_EQ(n_placed(), TASKS);
	set_limit(sim.now + LATER_MS);
	EXPECT_EQ(sim.start_log.size(), TASKS);
	expect_complete();
	EXPECT_EQ(sim.start_log.size(), TASKS);
}

TEST_F(StartLimit, EachStartCarriesIt)
{
	int64_t limit_ms = sim.now + LATER_MS;

	set_limit(limit_ms);
	submit(false);
	sim.run_for(300, false);
	EXPECT_EQ(sim.start_limits, std::vector<int64_t>(TASKS, limit_ms));
}

TEST_F(StartLimit, CancelledJobIsReleasedUnsent)
{
	place_before_limit(false);
	sim.cancel(JOB);
	sim.run_for(TICK_MS, false);
	EXPECT_EQ(n_placed(), 0u);
	set_limit(INT64_MAX);
	sim.run_for(LATER_MS, false);
	EXPECT_TRUE(sim.start_log.empty());
	EXPECT_EQ(n_stopped(), 0u);
}

// The first start of each task is lost on its way.
TEST_F(StartLimit, RepeatsWaitAndStopNoRun)
{
	submit(false);
	for (auto &w : sim.workers)
		w.reachable = false;
	while (sim.start_log.size() < TASKS && sim.now < 10000)
		sim.run_for(1, false);
	sim.run_for(20, false);
	for (auto &w : sim.workers)
		w.reachable = true;
	set_limit(sim.now - 1);
	sim.run_for(LATER_MS, false);
	EXPECT_EQ(sim.start_log.size(), TASKS);
	EXPECT_EQ(n_placed(), TASKS);
	EXPECT_EQ(n_stopped(), 0u);
	set_limit(INT64_MAX);
	expect_complete();
	EXPECT_EQ(sim.start_log.size(), 2 * TASKS);
	EXPECT_EQ(n_stopped(), TASKS); /* the ends of the runs */
}

TEST_F(StartLimit, MembersOfAGangWaitTogether)
{
	place_before_limit(true);
	EXPECT_TRUE(sim.start_log.empty());
	set_limit(INT64_MAX);
	EXPECT_EQ(sim.start_log.size(), TASKS);
	expect_complete();
	EXPECT_EQ(sim.members_alone, 0);
	EXPECT_EQ(sim.gangs_done, 1);
}

// Members that were not sent in time waited for the limit until the others had
// ended alone.
TEST_F(StartLimit, AGangThatIsSentInPartIsNotLeftAlone)
{
	sim.faults.queued = 1; /* up to 1 s for a connection */
	set_limit(sim.now + 500);
	submit(true);
	sim.run_for(5500, false);
	EXPECT_GT(sim.start_log.size(), 0u);
	EXPECT_LT(sim.start_log.size(), TASKS);
	EXPECT_EQ(sim.members_alone, 0);
	sim.faults.queued = 0;
	set_limit(INT64_MAX);
	expect_complete();
	EXPECT_EQ(sim.members_alone, 0);
}

TEST_F(StartLimit, TicketsThatRanOutLeadToANewPlacement)
{
	sim.approves = [](uint64_t, const std::string &) { return true; };
	place_before_limit(false, true);
	int asked = sim.advice_requests;

	set_limit(INT64_MAX);
	EXPECT_TRUE(sim.start_log.empty());
	EXPECT_EQ(n_placed(), 0u);
	expect_complete();
	EXPECT_GT(sim.advice_requests, asked);
	EXPECT_EQ(sim.stale_tickets, 0);
}

} // namespace
