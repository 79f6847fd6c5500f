// Starts that were not sent, since their boot was over, count as the cause of its
// end.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int64_t ROUND_MS = 30000; /* a start is sent within that time */

// Idle workers start again, for a cause of their own, before each start. The owner
// learns that from the start, which ends as not sent.
void restart_before_each_start(bool gang)
{
	Simulation sim(1, Faults(), 2);
	eng_step_spec s = engine_sim::step(gang ? 2 : 1, 1000, 500);
	size_t n_seen = 0;

	sim.faults.fail_task = 0;
	sim.entries_name_boot = false;
	sim.take_over();
	sim.run_for(1000, false);
	s.gang = gang;
	for (auto &w : sim.workers)
		sim.restart(w);
	sim.submit(1, { s });
	for (int i = 0; i < 8; i++) {
		int64_t until_ms = sim.now + ROUND_MS;

		while (sim.events_by_kind["worker started anew"].empty() &&
		       sim.now < until_ms)
			sim.run_for(10, false);
		sim.events_by_kind.clear();
		n_seen += 1;
		if (sim.starts || eng_job_status(sim.engine, 1) == ENG_FAILED)
			break;
		for (auto &w : sim.workers)
			sim.restart(w);
	}
	EXPECT_EQ(sim.starts, 0);	     /* else a run may be the cause */
	EXPECT_EQ(sim.start_log.size(), 0U); /* of those that were sent */
	EXPECT_NE(eng_job_status(sim.engine, 1), ENG_FAILED)
		<< "after " << n_seen << " restarts";
	sim.run_for(60000, false);
	EXPECT_EQ(sim.count_jobs(ENG_COMPLETE), 1U);
}

TEST(UnsentLosses, AJobIsGivenUpThoughNoRunOfItWasSent)
{
	restart_before_each_start(false);
}

TEST(UnsentLosses, AGangIsGivenUpThoughNoRunOfItWasSent)
{
	restart_before_each_start(true);
}

} // namespace
