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

static bool takes(struct worker_health *h, const char *worker, int64_t now_ms)
{
	uint32_t failures;

	return worker_health_accepts(h, vh_slice_str(worker), &failures,
				     now_ms);
}

TEST(WorkerHealth, OnlyProgramsThatFailSpeakAgainstAWorker)
{
	struct {
		enum vh_end end;
		bool aside;
	} rows[] = { { VH_END_FAILED, true },
		     { VH_END_STOPPED, false },
		     { VH_END_LOST, false },
		     { VH_END_NOT_STARTED, false },
		     { VH_END_DONE, false } };

	for (auto &row : rows) {
		struct worker_health h = {};

		EXPECT_TRUE(takes(&h, "w-2", 0));
		for (int i = 0; i < 4; i++)
			end_run(&h, "w-1", i % 2 ? "ledger" : "shop",
				std::to_string(i), row.end);
		EXPECT_EQ(!takes(&h, "w-1", 1000), row.aside) << row.end;
		EXPECT_TRUE(takes(&h, "w-2", 1000));
		EXPECT_TRUE(takes(&h, "w-1", 31000)) << "probed";
		worker_health_clear(&h);
	}
}

TEST(WorkerHealth, ProbesOneAtATimeAndForgetsWhenCleared)
{
	struct worker_health h = {};

	EXPECT_TRUE(takes(&h, "w-2", 0));
	for (int i = 0; i < 4; i++)
		end_run(&h, "w-1", i % 2 ? "ledger" : "shop", std::to_string(i),
			VH_END_FAILED);
	EXPECT_FALSE(takes(&h, "w-1", 1000));
	worker_health_started(&h, vh_slice_str("w-1"), 31000);
	EXPECT_FALSE(takes(&h, "w-1", 31000));
	end_run(&h, "w-1", "shop", "9", VH_END_LOST);
	EXPECT_TRUE(takes(&h, "w-1", 31000));
	worker_health_clear(&h);
	EXPECT_TRUE(takes(&h, "w-1", 0));
	worker_health_clear(&h);
}
