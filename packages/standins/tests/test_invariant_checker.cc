#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "invariant_checker.h"
}

namespace
{
class InvariantChecker : public ::testing::Test
{
      protected:
	struct vh_checker c;

	void SetUp() override
	{
		vh_checker_init(&c, 3, 5, 1000);
	}

	void TearDown() override
	{
		vh_checker_finish(&c);
	}

	void start_run(const char *task, uint32_t attempt, const char *worker,
		       int64_t at = 0, const char *token = nullptr,
		       bool idempotent = true)
	{
		struct vh_checker_run r = {};

		r.task = const_cast<char *>(task);
		r.attempt = attempt;
		r.team = const_cast<char *>("shop");
		r.worker = const_cast<char *>(worker);
		r.token = const_cast<char *>(token);
		r.idempotent = idempotent;
		r.size.v[VH_CPU] = 500;
		r.begin_ms = at;
		vh_checker_run_started(&c, &r);
	}

	void limit(uint32_t tasks, int64_t now, uint32_t cpu = VH_RES_UNLIMITED)
	{
		struct vh_checker_limit l;

		l.tasks = tasks;
		for (auto &v : l.running.v)
			v = VH_RES_UNLIMITED;
		l.running.v[VH_CPU] = cpu;
		vh_checker_set_limit(&c, "shop", &l, now);
	}
};
} // namespace

TEST_F(InvariantChecker, DetectsTaskOnTwoWorkers)
{
	start_run("a", 1, "w1");
	vh_checker_run_ended(&c, "a", 1, "w1", "lost", 5);
	start_run("a", 2, "w2");
	EXPECT_EQ(c.violation_counts[VH_I2_ONE_PLACE], 0u);
	start_run("a", 3, "w1");
	EXPECT_EQ(c.violation_counts[VH_I2_ONE_PLACE], 1u);
	EXPECT_EQ(c.check_counts[VH_I2_ONE_PLACE], 3u);
	EXPECT_NE(std::string(static_cast<char *>(c.violations->pdata[0]))
			  .find("while attempt 2 ran on w2"),
		  std::string::npos);
}

TEST_F(InvariantChecker, LimitAppliesToRunningTasks)
{
	limit(2, 0);
	start_run("a", 1, "w1");
	start_run("b", 1, "w1");
	vh_checker_run_ended(&c, "a", 1, "w1", "done", 0);
	start_run("c", 1, "w2");
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 0u);
	start_run("d", 1, "w2");
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 1u);
}

TEST_F(InvariantChecker, LimitAppliesToResources)
{
	limit(10, 0, 1000);
	start_run("a", 1, "w1");
	start_run("b", 1, "w1");
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 0u);
	start_run("c", 1, "w1");
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 1u);
}

TEST_F(InvariantChecker, ReplacedLimitIsAcceptedInTheGraceTimeOnly)
{
	limit(2, 0);
	limit(1, 0);
	start_run("a", 1, "w1", 10);
	start_run("b", 1, "w1", 999);
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 0u);
	vh_checker_run_ended(&c, "a", 1, "w1", "done", 999);
	start_run("c", 1, "w1", 1000);
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 1u);
}

TEST_F(InvariantChecker, NonIdempotentTaskStartsOnce)
{
	start_run("a", 1, "w1", 0, "t1", false);
	vh_checker_run_ended(&c, "a", 1, "w1", "done", 5);
	EXPECT_EQ(c.violation_counts[VH_I7_AT_MOST_ONCE], 0u);
	start_run("other-job", 1, "w2", 9, "t1", false);
	EXPECT_EQ(c.violation_counts[VH_I7_AT_MOST_ONCE], 1u);
	int64_t first_ms;
	EXPECT_EQ(vh_checker_token_starts(&c, "t1", &first_ms), 2u);
	EXPECT_EQ(first_ms, 0);
	start_run("c", 1, "w1", 0, "t2");
	vh_checker_run_ended(&c, "c", 1, "w1", "lost", 5);
	start_run("c", 2, "w1", 0, "t2");
	EXPECT_EQ(c.violation_counts[VH_I7_AT_MOST_ONCE], 1u);
}

TEST_F(InvariantChecker, MemoryIsBounded)
{
	for (int i = 0; i < 9; i++) {
		std::string task = "t" + std::to_string(i);

		start_run(task.c_str(), 1, "w1");
		vh_checker_run_ended(&c, task.c_str(), 1, "w1", "done", 1);
	}
	EXPECT_EQ(c.ended->length, 3u);
	EXPECT_EQ(c.untracked, 4u);
	EXPECT_EQ(g_hash_table_size(c.running), 0u);
}
