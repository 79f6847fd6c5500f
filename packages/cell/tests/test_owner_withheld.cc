// A start that was placed before the owner's view of the topics became too old, and is
// released when they are read again, must obey what they say by then.

#include "fake_owner.h"

namespace
{

constexpr int64_t BOUND_MS = 3000;
constexpr int CAP_CPU_MILLI = 1000;

struct WithheldStart : fake::OneOwner {
	void run_for(int64_t ms)
	{
		for (int64_t t = 0; t < ms && o; t += fake::TICK_MS) {
			tick(fake::TICK_MS);
			answer();
		}
	}

	void set_cap(int cpu_milli)
	{
		eng_team team = {};
		vh_config_view view = {};

		team.name = vh_slice_str("");
		team.cap.cpu_milli = cpu_milli;
		view.teams = &team;
		view.n_teams = 1;
		owner_set_config(o, &view);
	}

	// The placement is stored after the view of the jobs became too old.
	void withhold_placed_starts()
	{
		place();
		hold_jobs = true;
		tick(fake::MAX_VIEW_AGE_MS + 300);
		answer();
		ASSERT_EQ(starts.size(), 0u);
		run_for(500);
		ASSERT_TRUE(o->view_outdated);
	}

	void read_jobs_again()
	{
		hold_jobs = false;
		release_replies();
		run_for(1000);
	}
};

// QUOTA: a lower limit of the team was in force for longer than a change may take.
TEST_F(WithheldStart, ExceedsTheLimitOfItsTeamThatWasReadMeanwhile)
{
	add_job(fake::JOB + 1);
	add_job(fake::JOB + 2);
	activate(1);
	withhold_placed_starts();
	set_cap(CAP_CPU_MILLI);
	run_for(2 * BOUND_MS);
	ASSERT_EQ(starts.size(), 0u);
	read_jobs_again();
	// The limit, and one task more.
	EXPECT_LE(starts.size(), 2u);
}

// The same without a view that is too old: the owner waits for a confirmation.
TEST_F(WithheldStart, ExceedsTheLimitOfItsTeamAfterALapse)
{
	add_job(fake::JOB + 1);
	add_job(fake::JOB + 2);
	activate(1);
	place();
	set_cap(CAP_CPU_MILLI);
	tick(2 * BOUND_MS);
	ASSERT_EQ(starts.size(), 0u);
	run_for(1000);
	EXPECT_LE(starts.size(), 2u);
}

} // namespace
