// The loads that the order of placement and the kept room answer, replayed.

#include <gtest/gtest.h>

#include "simulation.h"

using world::Faults;
using world::World;

namespace
{

constexpr uint64_t GANG = 1, FIRST_SMALL = 1000;

struct Load : testing::TestWithParam<int> {
	World w{ (uint64_t)GetParam(), Faults(), 12 };
	uint64_t next = FIRST_SMALL;

	void SetUp() override
	{
		w.faults.fail_task = 0;
		w.take_over();
	}

	// More small tasks than the cell can run, for a while.
	void press(int64_t ms, bool advice)
	{
		for (int64_t end = w.now + ms; w.now < end;) {
			w.submit(next++, { world::step(6, 2000, 1500) }, 2,
				 advice);
			w.play(40, false);
		}
	}

	void gang(uint32_t tasks, int64_t cpu, bool advice)
	{
		eng_step_spec s = world::step(tasks, cpu, 3000);

		s.gang = true;
		w.submit(GANG, { s }, 1, advice);
	}

	int64_t cpu_running()
	{
		int64_t cpu = 0;

		for (auto &x : w.workers)
			for (auto &r : x.running)
				cpu += r.need.cpu_milli;
		return cpu;
	}

	void expect_kept()
	{
		for (auto &v : w.violations)
			ADD_FAILURE() << v;
	}
};

// A gang needs half of the cell at one moment, while small tasks take every
// gap that opens.
TEST_P(Load, AWideGangStartsInTimeInAFullCell)
{
	press(3000, false);
	gang(24, 4000, false);
	press(4000, false);
	EXPECT_TRUE(w.started_jobs.count(GANG));
	expect_kept();
}

TEST_P(Load, AWideGangWithAdviceStartsInTimeInAFullCell)
{
	press(3000, true);
	gang(16, 4000, true);
	press(5000, true);
	EXPECT_TRUE(w.started_jobs.count(GANG));
	expect_kept();
}

// What a gang waits for does not stand empty for long.
TEST_P(Load, TheCellStaysBusyWhileAGangWaits)
{
	int64_t busy = 0, looks = 0;

	press(3000, false);
	gang(24, 4000, false);
	while (!w.started_jobs.count(GANG) && looks < 200) {
		press(40, false);
		busy += cpu_running();
		looks++;
	}
	EXPECT_GT(busy, looks * 12 * 16000 / 2);
	expect_kept();
}

// The workers that are known to be good are busy for long; others come, of
// which nothing is known yet.
TEST_P(Load, AWaitingGangAsksAboutWorkersThatAreFree)
{
	constexpr int64_t LONG_MS = 600000;

	for (size_t i = 4; i < w.workers.size(); i++) {
		w.workers[i].listed = false;
		eng_worker_unlisted(w.engine, w.str(w.workers[i].id), w.now);
	}
	eng_step_spec s = world::step(8, 8000, LONG_MS);
	w.submit(FIRST_SMALL, { s });
	w.play(500, false);
	gang(6, 8000, true);
	w.play(2000, false);
	for (size_t i = 4; i < w.workers.size(); i++) {
		w.workers[i].listed = true;
		w.list(w.workers[i]);
	}
	w.play(2500, false);
	EXPECT_TRUE(w.started_jobs.count(GANG));
	expect_kept();
}

// The cell is full of long work that can be stopped and loses nothing by it.
TEST_P(Load, WorkThatSavesItsProgressYieldsToAGang)
{
	for (int i = 0; i < 12; i++) {
		eng_step_spec s = world::step(8, 2000, 60000);
		s.checkpoints = true;
		w.submit(next++, { s }, 2);
	}
	w.play(1000, false);
	ASSERT_GT(cpu_running(), 12 * 16000 * 9 / 10);
	gang(24, 4000, false);
	w.play(2500, false);
	EXPECT_TRUE(w.started_jobs.count(GANG));
	expect_kept();
}

// What cannot save its progress, or is more urgent, is left alone.
TEST_P(Load, OtherWorkDoesNotYieldToAGang)
{
	for (int i = 0; i < 12; i++) {
		eng_step_spec s = world::step(8, 2000, 60000);
		s.checkpoints = i % 2;
		w.submit(next++, { s }, i % 2 ? 0 : 2);
	}
	w.play(1000, false);
	gang(24, 4000, false);
	for (int i = 0; i < 25; i++) {
		w.play(100, false);
		for (auto &x : w.workers)
			for (auto &r : x.running)
				EXPECT_FALSE(r.stopping);
	}
	expect_kept();
}

// The store takes 0.4 s for a placement: the ticket has to last until the
// start arrives.
TEST_P(Load, TicketsLastWhileTheStoreIsSlow)
{
	press(2000, true);
	w.faults.store_slow = 1;
	press(1500, true);
	w.stale_tickets = 0;
	w.starts = 0;
	press(5000, true);
	EXPECT_GT(w.starts, 100);
	EXPECT_LE(w.stale_tickets * 50, w.starts);
	expect_kept();
}

// A third of the workers answers in 10 ms, the others, in other regions, in 60.
TEST_P(Load, ShortWorkGoesToNearWorkers)
{
	int near = 0;

	for (size_t i = 4; i < w.workers.size(); i++)
		w.workers[i].delay_ms = 30;
	for (size_t i = 0; i < 4; i++)
		w.workers[i].delay_ms = 5;
	press(3000, true);
	w.play(4000, false);
	for (auto &x : w.workers)
		x.starts = 0;
	for (int i = 0; i < 60; i++) {
		w.submit(next++, { world::step(2, 1000, 300) }, 0, true);
		w.play(50, false);
	}
	for (size_t i = 0; i < 4; i++)
		near += w.workers[i].starts;
	EXPECT_GE(near, 90);
	expect_kept();
}

// One team sends far more than its share: the others are served as before.
TEST_P(Load, ATeamBeyondItsShareWaitsBehindTheOthers)
{
	eng_team teams[2] = {};
	size_t in_time = 0, calm = 0;

	teams[0].name = vh_slice_str("hot");
	teams[0].weight = 5;
	teams[1].name = vh_slice_str("calm");
	teams[1].weight = 10;
	eng_set_teams(w.engine, teams, 2);
	for (int i = 0; i < 100; i++) {
		w.team = "hot";
		for (int k = 0; k < 3; k++)
			w.submit(next++, { world::step(6, 2000, 1500) }, 1);
		if (i % 4 == 0) {
			w.team = "calm";
			w.submit(50000 + (uint64_t)calm++,
				 { world::step(6, 2000, 1500) }, 1);
		}
		w.play(50, false);
	}
	w.play(1500, false);
	for (uint64_t i = 0; i < calm; i++)
		in_time += eng_job_status(w.engine, 50000 + i) == ENG_COMPLETE;
	EXPECT_GE(in_time * 10, calm * 9);
	expect_kept();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Load, testing::Range(1, 9));

} // namespace
