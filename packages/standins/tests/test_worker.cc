#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "worker.h"
}

namespace
{
class Worker : public ::testing::Test
{
      protected:
	static constexpr int64_t kOffset = 5000;
	struct vh_worker w;
	std::string trace;

	void SetUp() override
	{
		struct vh_res capacity = { { 1000, 1000, 0, 4, 4 } };
		struct vh_worker_callbacks cb = { on_started, on_ended,
						  on_overcommitted, this };

		vh_worker_init(&w, "w1", &capacity, kOffset, 1, &cb);
	}

	void TearDown() override
	{
		vh_worker_finish(&w);
	}

	static void on_started(void *ctx, const struct vh_worker *,
			       const struct vh_worker_task *t)
	{
		static_cast<Worker *>(ctx)->trace += "+" + std::string(t->task);
	}

	static void on_ended(void *ctx, const struct vh_worker *,
			     const struct vh_worker_task *t, const char *end,
			     int64_t at_ms)
	{
		static_cast<Worker *>(ctx)->trace +=
			"-" + std::string(t->task) + ":" + end + "@" +
			std::to_string(at_ms);
	}

	static void on_overcommitted(void *ctx, const struct vh_worker *,
				     const struct vh_worker_start_order *)
	{
		static_cast<Worker *>(ctx)->trace += "!";
	}

	std::string start_task(const char *task, const char *input, int64_t now,
			       uint32_t cpu = 100, const char *service = "")
	{
		struct vh_worker_start_order s = {};

		s.task = task;
		s.attempt = 1;
		s.home = "home/t/0";
		s.cls = "batch";
		s.size.v[VH_CPU] = cpu;
		s.size.v[VH_SLOTS] = *service ? 1 : 0;
		s.size.v[VH_CONNS] = *service ? 1 : 0;
		s.service = service;
		s.input = input;
		s.not_after_ms = 2000 + kOffset;
		const char *why = vh_worker_start_task(&w, &s, now);

		return why ? why : "";
	}
};
} // namespace

TEST_F(Worker, RunsUntilTheProgramEnds)
{
	vh_worker_renew_lease(&w, 10000 + kOffset);
	EXPECT_EQ(start_task("a", "run_ms=200 echo=x", 1000), "");
	EXPECT_EQ(start_task("b", "run_ms=50 exit=3", 1000), "");
	vh_worker_advance(&w, 1049);
	EXPECT_EQ(trace, "+a+b");
	vh_worker_advance(&w, 1500);
	EXPECT_EQ(trace, "+a+b-b:failed@1050-a:done@1200");
	auto *e = static_cast<struct vh_worker_task_end *>(
		w.unacked_ends.tail->data);

	EXPECT_STREQ(e->result, "a echo=x");
	EXPECT_EQ(e->seq, 2u);
	vh_worker_ack_ends(&w, 1);
	EXPECT_EQ(w.unacked_ends.length, 1u);
	EXPECT_EQ(w.committed.v[VH_CPU], 0u);
}

TEST_F(Worker, RefusesInvalidStarts)
{
	EXPECT_EQ(start_task("a", "", 1000), "no_lease");
	vh_worker_renew_lease(&w, 10000 + kOffset);
	EXPECT_EQ(start_task("a", "", 2001), "late");
	EXPECT_EQ(start_task("a", "", 1000, 1001), "full");
	EXPECT_EQ(trace, "!");
	EXPECT_EQ(start_task("a", "run_ms=10", 1000), "");
	EXPECT_EQ(start_task("a", "run_ms=10", 1000), "");
	EXPECT_EQ(w.tasks->len, 1u);
	vh_worker_advance(&w, 1010);
	EXPECT_EQ(start_task("a", "run_ms=10", 1011), "duplicate");
}

TEST_F(Worker, LeaseExpiryStopsAllTasks)
{
	vh_worker_renew_lease(&w, 1500 + kOffset);
	vh_worker_renew_lease(&w, 1200 + kOffset);
	EXPECT_EQ(start_task("a", "run_ms=5000", 1000), "");
	EXPECT_EQ(vh_worker_next_due_ms(&w), 1500);
	vh_worker_advance(&w, 9000);
	EXPECT_EQ(trace, "+a-a:lost@1500");
	EXPECT_EQ(start_task("b", "", 1500), "no_lease");
}

TEST_F(Worker, RejectsStaleEpochsUntilRestart)
{
	EXPECT_TRUE(vh_worker_accept_epoch(&w, 7));
	EXPECT_FALSE(vh_worker_accept_epoch(&w, 6));
	EXPECT_TRUE(vh_worker_accept_epoch(&w, 7));
	vh_worker_restart(&w, 3000);
	EXPECT_TRUE(vh_worker_accept_epoch(&w, 6));
	EXPECT_EQ(w.incarnation, 2u);
}

TEST_F(Worker, PauseStopsTheProgressOfPrograms)
{
	vh_worker_renew_lease(&w, 10000 + kOffset);
	start_task("a", "run_ms=100", 1000);
	vh_worker_pause(&w, 1050);
	vh_worker_advance(&w, 2000);
	EXPECT_EQ(trace, "+a");
	vh_worker_resume(&w, 2000);
	vh_worker_advance(&w, 3000);
	EXPECT_EQ(trace, "+a-a:done@2050");
}

TEST_F(Worker, LeaseExpiresDuringAPause)
{
	vh_worker_renew_lease(&w, 1500 + kOffset);
	start_task("a", "run_ms=100", 1000);
	vh_worker_pause(&w, 1050);
	vh_worker_advance(&w, 2000);
	EXPECT_EQ(trace, "+a-a:lost@1500");
}

TEST_F(Worker, ThrottleDoublesTheRemainingTimeAndKillEnds)
{
	vh_worker_renew_lease(&w, 10000 + kOffset);
	start_task("a", "run_ms=100", 1000);
	vh_worker_stop_task(&w, "a", 1, "throttle", 1050);
	vh_worker_advance(&w, 1149);
	EXPECT_EQ(trace, "+a");
	vh_worker_stop_task(&w, "a", 1, "kill", 1149);
	EXPECT_EQ(trace, "+a-a:stopped@1149");
}

TEST_F(Worker, ReplicaNeedsAFreeSlot)
{
	vh_worker_renew_lease(&w, 10000 + kOffset);
	start_task("a", "", 1000, 100, "web");
	struct vh_worker_task *t = vh_worker_find_replica(&w, "web");

	ASSERT_NE(t, nullptr);
	EXPECT_EQ(vh_worker_find_replica(&w, "other"), nullptr);
	t->requests = 1;
	EXPECT_EQ(vh_worker_find_replica(&w, "web"), nullptr);
	t->requests = 0;
	vh_worker_set_leaving(&w, true, 1000);
	EXPECT_EQ(vh_worker_find_replica(&w, "web"), nullptr);
	vh_worker_advance(&w, 9000);
	EXPECT_EQ(trace, "+a");
}
