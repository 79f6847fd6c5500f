// Load patterns for which the placement order and the reservations for gangs
// are designed.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr uint64_t GANG_ID = 1, FIRST_SMALL_ID = 1000;

struct Load : testing::TestWithParam<int> {
	Simulation sim{ (uint64_t)GetParam(), Faults(), 12 };
	uint64_t next = FIRST_SMALL_ID;

	void SetUp() override
	{
		sim.faults.fail_task = 0;
		sim.take_over();
	}

	// Submits more small tasks than the cluster can run.
	void overload(int64_t ms, bool advice)
	{
		for (int64_t end = sim.now + ms; sim.now < end;) {
			sim.submit(next++, { engine_sim::step(6, 2000, 1500) },
				   2, advice);
			sim.run_for(40, false);
		}
	}

	void submit_gang(uint32_t tasks, int64_t cpu, bool advice)
	{
		eng_step_spec s = engine_sim::step(tasks, cpu, 3000);

		s.gang = true;
		sim.submit(GANG_ID, { s }, 1, advice);
	}

	int64_t cpu_running()
	{
		int64_t cpu = 0;

		for (auto &x : sim.workers)
			for (auto &r : x.running)
				cpu += r.need.cpu_milli;
		return cpu;
	}

	void set_shares()
	{
		eng_team teams[2] = {};

		teams[0].name = vh_slice_str("hot");
		teams[0].weight = 5;
		teams[1].name = vh_slice_str("calm");
		teams[1].weight = 10;
		eng_set_teams(sim.engine, teams, 2);
	}

	void submit_as(const char *team, uint64_t id)
	{
		sim.team = team;
		sim.submit(id, { engine_sim::step(6, 2000, 1500) }, 1);
	}

	// Share of the jobs with these ids that are complete.
	double complete_share(uint64_t from, uint64_t n)
	{
		size_t complete = 0;

		for (uint64_t id = from; id < from + n; id++)
			complete +=
				eng_job_status(sim.engine, id) == ENG_COMPLETE;
		return (double)complete / (double)n;
	}

	void expect_no_violations()
	{
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
	}
};

// A gang needs half of the cluster at the same time. Without reservations,
// small tasks take every gap that opens.
TEST_P(Load, AWideGangStartsInTimeInAFullCluster)
{
	overload(3000, false);
	submit_gang(24, 4000, false);
	overload(4000, false);
	EXPECT_TRUE(sim.started_jobs.count(GANG_ID));
	expect_no_violations();
}

TEST_P(Load, AWideGangWithAdviceStartsInTimeInAFullCluster)
{
	overload(3000, true);
	submit_gang(16, 4000, true);
	overload(5000, true);
	EXPECT_TRUE(sim.started_jobs.count(GANG_ID));
	expect_no_violations();
}

// Resources reserved for a gang must not stay idle for long.
TEST_P(Load, TheClusterStaysBusyWhileAGangWaits)
{
	int64_t cpu_sum = 0, samples = 0;

	overload(3000, false);
	submit_gang(24, 4000, false);
	while (!sim.started_jobs.count(GANG_ID) && samples < 200) {
		overload(40, false);
		cpu_sum += cpu_running();
		samples++;
	}
	EXPECT_GT(cpu_sum, samples * 12 * 16000 / 2);
	expect_no_violations();
}

// All approved workers are busy for a long time when new workers join. The gang
// must ask the policy service about the new ones.
TEST_P(Load, AWaitingGangAsksAboutWorkersThatAreFree)
{
	constexpr int64_t LONG_MS = 600000;

	for (size_t i = 4; i < sim.workers.size(); i++) {
		sim.workers[i].listed = false;
		eng_worker_unlisted(sim.engine, sim.str(sim.workers[i].id),
				    sim.now);
	}
	eng_step_spec s = engine_sim::step(8, 8000, LONG_MS);
	sim.submit(FIRST_SMALL_ID, { s });
	sim.run_for(500, false);
	submit_gang(6, 8000, true);
	sim.run_for(2000, false);
	for (size_t i = 4; i < sim.workers.size(); i++) {
		sim.workers[i].listed = true;
		sim.list_worker(sim.workers[i]);
	}
	sim.run_for(2500, false);
	EXPECT_TRUE(sim.started_jobs.count(GANG_ID));
	expect_no_violations();
}

// The cluster is full of long tasks that save checkpoints. Some of them must be
// preempted, so that the gang starts.
TEST_P(Load, TasksWithCheckpointsArePreemptedForAGang)
{
	for (int i = 0; i < 12; i++) {
		eng_step_spec s = engine_sim::step(8, 2000, 60000);
		s.checkpoints = true;
		sim.submit(next++, { s }, 2);
	}
	sim.run_for(1000, false);
	ASSERT_GT(cpu_running(), 12 * 16000 * 9 / 10);
	submit_gang(24, 4000, false);
	sim.run_for(2500, false);
	EXPECT_TRUE(sim.started_jobs.count(GANG_ID));
	expect_no_violations();
}

// Tasks without checkpoints, or of a higher priority, are not preempted.
TEST_P(Load, OtherTasksAreNotPreemptedForAGang)
{
	for (int i = 0; i < 12; i++) {
		eng_step_spec s = engine_sim::step(8, 2000, 60000);
		s.checkpoints = i % 2;
		sim.submit(next++, { s }, i % 2 ? 0 : 2);
	}
	sim.run_for(1000, false);
	submit_gang(24, 4000, false);
	for (int i = 0; i < 25; i++) {
		sim.run_for(100, false);
		for (auto &x : sim.workers)
			for (auto &r : x.running)
				EXPECT_FALSE(r.stopping);
	}
	expect_no_violations();
}

// The store takes 0.4 s per placement. Tickets must still be valid when the
// start request arrives, or the worker refuses it.
TEST_P(Load, TicketsLastWhileTheStoreIsSlow)
{
	overload(2000, true);
	sim.faults.slow_store = 1;
	overload(1500, true);
	sim.stale_tickets = 0;
	sim.starts = 0;
	overload(5000, true);
	EXPECT_GT(sim.starts, 100);
	EXPECT_LE(sim.stale_tickets * 50, sim.starts);
	expect_no_violations();
}

// A third of the workers replies in 10 ms; the others, in other regions, in 60.
TEST_P(Load, ShortStepsRunOnWorkersWithLowLatency)
{
	int near_starts = 0;

	for (size_t i = 4; i < sim.workers.size(); i++)
		sim.workers[i].delay_ms = 30;
	for (size_t i = 0; i < 4; i++)
		sim.workers[i].delay_ms = 5;
	overload(3000, true);
	sim.run_for(4000, false);
	for (auto &x : sim.workers)
		x.starts = 0;
	for (int i = 0; i < 60; i++) {
		sim.submit(next++, { engine_sim::step(2, 1000, 300) }, 0, true);
		sim.run_for(50, false);
	}
	for (size_t i = 0; i < 4; i++)
		near_starts += sim.workers[i].starts;
	EXPECT_GE(near_starts, 90);
	expect_no_violations();
}

// One team exceeds its share by far. Jobs of the other team must still complete
// in time.
TEST_P(Load, ATeamBeyondItsShareWaitsBehindTheOthers)
{
	constexpr uint64_t FIRST_CALM_ID = 50000;
	uint64_t calm = 0;

	set_shares();
	for (int i = 0; i < 100; i++) {
		for (int k = 0; k < 3; k++)
			submit_as("hot", next++);
		if (i % 4 == 0)
			submit_as("calm", FIRST_CALM_ID + calm++);
		sim.run_for(50, false);
	}
	sim.run_for(1500, false);
	EXPECT_GE(complete_share(FIRST_CALM_ID, calm), 0.9);
	expect_no_violations();
}

// The same team has exceeded its share before a new owner takes over. Its
// waiting jobs must still wait behind those of the other team, which then start
// as soon as running tasks have ended.
TEST_P(Load, ATeamBeyondItsShareWaitsBehindTheOthersAfterATakeOver)
{
	constexpr uint64_t FIRST_CALM_ID = 50000, N_CALM = 10;

	set_shares();
	for (int i = 0; i < 200; i++) {
		submit_as("hot", next++);
		sim.run_for(10, false);
	}
	sim.take_over();
	set_shares();
	for (uint64_t i = 0; i < N_CALM; i++)
		submit_as("calm", FIRST_CALM_ID + i);
	sim.run_for(2 * 1500 + 600, false);
	EXPECT_GE(complete_share(FIRST_CALM_ID, N_CALM), 0.9);
	expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Load, testing::Range(1, 9));

// Many steps ask for advice at once. If all ask for the same workers, they are
// approved for what only the first of them can use.
TEST(Load, AllStepsOfALargeCellAskForTheSameWorkers)
{
	Simulation sim(1, Faults(), 1200);
	std::set<int> thirds;

	sim.take_over();
	sim.run_for(500, false);
	for (uint64_t id = 1; id <= 40; id++)
		sim.submit(id, { engine_sim::step(2, 1000, 600) }, 1, true);
	sim.run_for(20, false);
	for (auto &id : sim.asked_workers)
		thirds.insert(std::stoi(id.substr(1)) / 400);
	EXPECT_EQ(thirds.size(), 3u);
	sim.run_for(6000, false);
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
	EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), sim.jobs.size());
}

} // namespace
