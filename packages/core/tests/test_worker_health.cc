#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "../src/worker_health.h"
}

static void end_run(struct worker_health *h, const char *worker,
		    const std::string &team, const std::string &job,
		    enum vh_end end)
{
	std::string task = team + ".0.1." + job + "/3";
	std::string home = "home/" + team + "/0";
	struct vh_ended_task e = {};

	e.task = vh_slice(task.data(), task.size());
	e.home = vh_slice(home.data(), home.size());
	e.end = end;
	worker_health_ended(h, vh_slice_str(worker), &e, 1000);
}

static bool accepts(struct worker_health *h, const char *worker, int64_t now_ms)
{
	uint32_t failures;

	return worker_health_accepts(h, vh_slice_str(worker), &failures,
				     now_ms);
}

/* Runs that were stopped, lost or never started say nothing about their worker
 * and must not get it quarantined. */
TEST(WorkerHealth, OnlyFailedProgramsQuarantineAWorker)
{
	struct {
		enum vh_end end;
		bool quarantined;
	} rows[] = { { VH_END_FAILED, true },
		     { VH_END_STOPPED, false },
		     { VH_END_LOST, false },
		     { VH_END_NOT_STARTED, false },
		     { VH_END_DONE, false } };

	for (auto &row : rows) {
		struct worker_health h = {};

		EXPECT_TRUE(accepts(&h, "w-2", 0));
		for (int i = 0; i < 4; i++)
			end_run(&h, "w-1", i % 2 ? "ledger" : "shop",
				std::to_string(i), row.end);
		EXPECT_EQ(!accepts(&h, "w-1", 1000), row.quarantined)
			<< row.end;
		EXPECT_TRUE(accepts(&h, "w-2", 1000));
		EXPECT_TRUE(accepts(&h, "w-1", 31000)) << "probed";
		worker_health_clear(&h);
	}
}

/* A quarantined worker is probed with a single run. A probe whose end is
 * inconclusive (the run was lost) must free the worker for the next probe. */
TEST(WorkerHealth, ProbesWithOneRunAndResetsWhenCleared)
{
	struct worker_health h = {};

	EXPECT_TRUE(accepts(&h, "w-2", 0));
	for (int i = 0; i < 4; i++)
		end_run(&h, "w-1", i % 2 ? "ledger" : "shop", std::to_string(i),
			VH_END_FAILED);
	EXPECT_FALSE(accepts(&h, "w-1", 1000));
	worker_health_started(&h, vh_slice_str("w-1"), 31000);
	EXPECT_FALSE(accepts(&h, "w-1", 31000));
	end_run(&h, "w-1", "shop", "9", VH_END_LOST);
	EXPECT_TRUE(accepts(&h, "w-1", 31000));
	worker_health_clear(&h);
	EXPECT_TRUE(accepts(&h, "w-1", 0));
	worker_health_clear(&h);
}
