// What an owner may delete or acknowledge of jobs that have ended, while their
// states cannot be stored.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;
using engine_sim::TaskKey;
using engine_sim::Worker;

namespace
{

constexpr int64_t OUTAGE_MS = 3000; // longer than it takes to stop a task

class EndedJob : public testing::Test
{
      protected:
	EndedJob() : sim(1, Faults(), 8)
	{
		sim.faults.fail_task = 0;
		sim.duration_ms = [](const TaskKey &k, int64_t) {
			return k.index ? 60000 : 200;
		};
		sim.take_over();
	}

	~EndedJob() override
	{
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
	}

	// Until a caller may see the end of job 1; some of its tasks are still
	// on their workers then.
	void run_until_shown(enum eng_job_status status)
	{
		for (int i = 0; i < 500; i++) {
			if (eng_job_status(sim.engine, 1) == status)
				return;
			sim.run_for(10, false);
		}
		FAIL() << "the job does not end";
	}

	void submit_gang(uint32_t n_tasks = 3)
	{
		eng_step_spec gang = engine_sim::step(n_tasks, 9000, 1000);

		gang.gang = true;
		sim.submit(1, { gang });
	}

	// The store takes no states from when the last task has ended, before
	// its worker reports that, and the owner is lost before it does again.
	void lose_owner_in_outage()
	{
		ASSERT_GT(running_tasks(), 0u);
		for (int i = 0; i < 500 && running_tasks(); i++)
			sim.run_for(10, false);
		ASSERT_EQ(running_tasks(), 0u);
		if (sim.batch_in_flight)
			sim.run_for(10, false);
		ASSERT_FALSE(sim.batch_in_flight);
		sim.states_down = true;
		sim.run_for(OUTAGE_MS, false);
		sim.states_down = false;
		sim.take_over();
	}

	void run_until_counted(uint64_t eng_stats::*counter)
	{
		struct eng_stats stats = {};

		for (int i = 0; i < 2000 && !(stats.*counter); i++) {
			sim.run_for(10, false);
			eng_stats(sim.engine, &stats);
		}
		ASSERT_EQ(stats.*counter, 1u);
	}

	size_t running_tasks()
	{
		size_t n = 0;

		for (auto &w : sim.workers)
			n += w.running.size();
		return n;
	}

	Simulation sim;
};

// A complete job was answered 410 for good: its input was deleted before the
// state without its tasks was stored.
TEST_F(EndedJob, IsForgottenWhenItsLastStateIsNotStored)
{
	submit_gang();
	run_until_shown(ENG_COMPLETE);
	lose_owner_in_outage();
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
}

// The same for a cancelled job, whose cancellation is deleted too.
TEST_F(EndedJob, IsForgottenAfterItsCancellation)
{
	submit_gang();
	sim.run_for(150, false);
	sim.cancel(1);
	run_until_shown(ENG_CANCELLED);
	sim.run_for(20, false);
	lose_owner_in_outage();
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_CANCELLED);
}

// The same by an owner that has read the end of the job from its predecessor's
// records, so that no batch of its own stores the end.
TEST_F(EndedJob, IsForgottenByASecondOwner)
{
	submit_gang();
	run_until_shown(ENG_COMPLETE);
	sim.take_over();
	sim.run_for(20, false);
	lose_owner_in_outage();
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
}

// The same where an answer of the policy service is the last thing that the job
// waits for, after its last state was packed.
TEST_F(EndedJob, IsForgottenAfterALateAnswerOfThePolicyService)
{
	eng_step_spec first = engine_sim::step(1, 1000, 1000);
	eng_step_spec others = engine_sim::step(3, 1000, 1000);
	eng_step_spec second = engine_sim::step(1, 1000, 1000);
	uint32_t after[1] = { 0 };

	second.after = after;
	second.n_after = 1;
	sim.submit(1, { first, others, second }, 1, true);
	sim.run_for(300, false);
	ASSERT_GT(running_tasks(), 0u);
	sim.advice_ms = OUTAGE_MS / 2;
	while (sim.now < 5000 && !sim.busy_nodes)
		sim.run_for(10, false);
	ASSERT_TRUE(sim.busy_nodes);
	sim.cancel(1);
	run_until_shown(ENG_CANCELLED);
	sim.run_for(20, false);
	lose_owner_in_outage();
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_CANCELLED);
}

// A gang ran again after the end of a member was acknowledged: the owner had
// forgotten the job's tasks, so it took the end for one that changes nothing,
// while the state that the job is complete was not stored.
TEST_F(EndedJob, AnEndIsAcknowledgedBeforeTheJobsStateIsStored)
{
	Worker *near = nullptr;
	Worker *far = nullptr;

	sim.duration_ms = [](const TaskKey &k, int64_t) {
		return k.index ? 1000 : 6500;
	};
	submit_gang(2);
	sim.run_for(300, false);
	for (auto &w : sim.workers) {
		if (!w.running.empty())
			(w.running[0].key.index ? far : near) = &w;
	}
	ASSERT_TRUE(near && far);
	far->reachable = false;
	sim.run_for(6000, false);
	near->reachable = false;
	run_until_counted(&eng_stats::ends_lost); // the far member's lease
	ASSERT_EQ(near->ends.size(), 1u);
	near->reachable = true;
	run_until_counted(&eng_stats::ends_done);
	ASSERT_FALSE(sim.batch_in_flight);
	sim.states_down = true; // before the next batch is sent
	sim.run_for(2000, false);
	far->reachable = true;
	sim.run_for(2000, false);
	// A hold that may acknowledge is sent to a worker with a task.
	sim.submit(2, { engine_sim::step(8, 9000, 1000) });
	sim.run_for(1000, false);
	sim.reboot(*near);
	sim.states_down = false;
	sim.take_over();
	sim.run_for(20000, false);
	EXPECT_EQ(eng_job_status(sim.engine, 1), ENG_COMPLETE);
}

} // namespace
