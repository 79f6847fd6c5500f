// Gangs whose members wait for each other and end together, under faults drawn
// from a seed. No two runs of a gang may go on at the same time, and none may
// start after an end that is taken note of.

#include <gtest/gtest.h>

#include "gang_simulation.h"

using engine_sim::Faults;
using engine_sim::GangSimulation;

namespace
{

// The seed, whether entries name boots and workers that crash get new ids, and
// whether calls have faults beside those of the test.
class Gangs : public testing::TestWithParam<std::tuple<uint64_t, bool, bool>>
{
      protected:
	Gangs() : sim(std::get<0>(GetParam()), Faults(), 8)
	{
		sim.jobs_first = std::get<0>(GetParam()) % 2;
		sim.new_id_after_crash = std::get<1>(GetParam());
		sim.entries_name_boot = std::get<1>(GetParam());
	}

	void submit_gangs(int n)
	{
		uint32_t after[1] = { 0 };

		for (int i = 0; i < n; i++) {
			auto size = 2 + (uint32_t)(sim.rng() % 5);
			std::vector<eng_step_spec> steps = { engine_sim::step(
				size, 2000, 600) };

			steps[0].gang = true;
			steps[0].max_per_worker = 1;
			if (i % 2) {
				steps.push_back(engine_sim::step(3, 1000, 600));
				steps[1].gang = true;
				steps[1].after = after;
				steps[1].n_after = 1;
			}
			sim.submit(++n_jobs, steps, (uint32_t)i % 3, false, 8);
		}
	}

	void play(Faults f)
	{
		sim.faults = std::get<2>(GetParam())
				     ? engine_sim::with_call_faults(
					       f, std::get<0>(GetParam()))
				     : f;
		sim.crashes_look_alike =
			f.reboot > 0 || std::get<2>(GetParam());
		sim.view_age_max_ms =
			f.unread > 0 ? engine_sim::VIEW_AGE_MAX_MS : 0;
		sim.take_over();
		for (int i = 0; i < 15; i++) {
			submit_gangs(3);
			sim.run_for(1000, true);
		}
		sim.faults = Faults();
		sim.faults.fail_task = 0;
		sim.run_for(60000, false);
		for (auto &v : sim.violations)
			ADD_FAILURE() << "seed " << std::get<0>(GetParam())
				      << " " << v;
		EXPECT_GT(sim.gangs_done, 0);
		EXPECT_EQ(sim.count_jobs(ENG_RUNNING) +
				  sim.count_jobs(ENG_PENDING),
			  0U);
	}

	GangSimulation sim;
	uint64_t n_jobs = 0;
};

TEST_P(Gangs, RunTwiceIfMembersFail)
{
	Faults f;

	f.fail_task = 0.1;
	play(f);
}

// A member's start is carried out after its gang's run was given up.
TEST_P(Gangs, RunTwiceIfStartsAreCarriedOutLate)
{
	Faults f;

	f.delay_request = 0.1;
	f.lose_reply = 0.1;
	play(f);
}

// Of one gang, some members run on workers that are cut off.
TEST_P(Gangs, RunTwiceIfWorkersAreCutOff)
{
	Faults f;

	f.partition = 0.8;
	f.delay_request = 0.05;
	play(f);
}

TEST_P(Gangs, RunTwiceIfWorkersStartAgain)
{
	Faults f;

	f.reboot = 2;
	f.lose_reply = 0.1;
	play(f);
}

// A member's end is taken note of while another member's worker has crashed.
TEST_P(Gangs, RunTwiceIfWorkersCrash)
{
	Faults f;

	f.crash = 0.5;
	f.partition = 0.4;
	f.lose_reply = 0.1;
	play(f);
}

TEST_P(Gangs, RunTwiceOverTakeovers)
{
	Faults f;

	f.takeover = 0.5;
	f.partition = 0.4;
	f.crash = 0.3;
	f.delay_request = 0.05;
	f.slow_store = 0.3;
	play(f);
}

// Some members of a gang leave before the view is too old, others do not.
TEST_P(Gangs, RunTwiceIfTheStoreIsNotRead)
{
	Faults f;

	f.unread = 0.5;
	f.queued = 0.5;
	f.cancel = 1;
	f.lose_reply = 0.1;
	f.partition = 0.4;
	f.slow_store = 0.3;
	play(f);
}

// The members' starts of a former owner reach workers that start again under
// their id.
TEST_P(Gangs, RunTwiceOverTakeoversWhileWorkersStartAgain)
{
	Faults f;

	f.reboot = 10;
	f.slow_request = 0.1;
	f.takeover = 0.5;
	f.partition = 0.4;
	f.slow_store = 0.3;
	f.lose_reply = 0.1;
	play(f);
}

// Seeds of the last test that have failed.
INSTANTIATE_TEST_SUITE_P(StartsOfAFormerOwner, Gangs,
			 testing::Combine(testing::Values(28, 602, 663),
					  testing::Bool(),
					  testing::Values(false)));

INSTANTIATE_TEST_SUITE_P(Seeds, Gangs,
			 testing::Combine(engine_sim::seeds(1, 6),
					  testing::Bool(),
					  testing::Values(false)));

INSTANTIATE_TEST_SUITE_P(FaultsOfCalls, Gangs,
			 testing::Combine(engine_sim::seeds(1, 3),
					  testing::Bool(),
					  testing::Values(true)));

} // namespace
