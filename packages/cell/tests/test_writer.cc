// Tests which records the writer refuses at once, keeps or gives up while the
// store does not answer, and which outcome their callers get.

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "writer.h"
}

namespace
{

struct Call {
	void (*done)(void *ctx, const vh_append_reply *r);
	void *ctx;
	size_t n;
	int64_t timeout_ms;
};

std::vector<Call> calls;

void fake_append(void *, const vh_append *a,
		 void (*done)(void *ctx, const vh_append_reply *r), void *ctx)
{
	calls.push_back({ done, ctx, a->n, a->timeout_ms });
}

struct Writer : testing::Test {
	vh_fake_clock clock;
	vh_kernel kernel;
	vh_store_ops ops = { fake_append, nullptr, nullptr };
	vh_ports ports = {};
	writer w;
	std::vector<write_outcome> outcomes;

	void SetUp() override
	{
		calls.clear();
		vh_fake_clock_init(&clock, 10000);
		vh_kernel_init(&kernel, &clock.clock);
		ports.store = &ops;
		static const vh_store_limits none = {};

		writer_init(&w, &kernel, &ports, VH_TOPIC_JOBS, &none);
	}

	void TearDown() override
	{
		writer_finish(&w);
		vh_kernel_finish(&kernel);
	}

	static void on_done(void *ctx, write_outcome o)
	{
		((Writer *)ctx)->outcomes.push_back(o);
	}

	void add(int64_t timeout_ms)
	{
		struct vh_slice s = vh_slice_str("x");

		writer_add(&w, s, s, vh_kernel_now_ms(&kernel) + timeout_ms,
			   false, on_done, this);
	}

	void answer(vh_store_result result)
	{
		vh_append_reply r = {};
		Call c = calls.back();

		r.result = result;
		c.done(c.ctx, &r);
	}

	void advance(int64_t ms)
	{
		vh_fake_clock_advance(&clock, ms);
		writer_tick(&w);
	}
};

TEST_F(Writer, RecordsThatArriveMeanwhileShareAnAppend)
{
	add(3000);
	add(3000);
	add(3000);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_EQ(calls[0].n, 1u);
	answer(VH_STORE_OK);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_EQ(calls[1].n, 2u);
	answer(VH_STORE_OK);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>(3, WRITE_STORED)));
}

// The caller is told at once that its record was never sent, so that it can try
// another node.
TEST_F(Writer, RefusesAtOnceWhileTheStoreIsUnresponsive)
{
	add(3000);
	advance(700);
	add(3000);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_NOT_SENT }));
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Writer, RefusesWaitingRecordsOfAnUnresponsiveStore)
{
	add(3000);
	add(3000);
	advance(300);
	EXPECT_TRUE(outcomes.empty());
	advance(400);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_NOT_SENT }));
}

// The record may be stored, so the outcome is unknown; but the caller does not
// have to wait until its deadline.
TEST_F(Writer, ReportsAnUnknownOutcomeBeforeHalfTheTime)
{
	add(3000);
	advance(700);
	answer(VH_STORE_UNKNOWN);
	advance(100);
	ASSERT_EQ(calls.size(), 2u);
	advance(400);
	EXPECT_TRUE(outcomes.empty());
	advance(100);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_UNKNOWN }));
}

TEST_F(Writer, RecordThatMayBeStoredIsNeverReportedAsRefused)
{
	add(3000);
	answer(VH_STORE_UNKNOWN);
	advance(100);
	answer(VH_STORE_REFUSED);
	EXPECT_TRUE(outcomes.empty());
	advance(2000);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_UNKNOWN }));
}

// In a burst while the store is slow, a record near its deadline shares an
// append with new ones. It must not shorten the timeout of that append.
TEST_F(Writer, RecordNearItsDeadlineDoesNotShortenTheAppend)
{
	add(3000);
	advance(700);
	answer(VH_STORE_UNKNOWN);
	advance(500);
	ASSERT_EQ(calls.size(), 2u);
	answer(VH_STORE_UNKNOWN);
	advance(30);
	add(3000);
	advance(40);
	ASSERT_EQ(calls.size(), 3u);
	EXPECT_EQ(calls[2].n, 2u);
	EXPECT_EQ(calls[2].timeout_ms, calls[0].timeout_ms);
	advance(100);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_UNKNOWN }));
	answer(VH_STORE_OK);
	EXPECT_EQ(outcomes,
		  (std::vector<write_outcome>{ WRITE_UNKNOWN, WRITE_STORED }));
}

// The store takes 0.4 s per append, and serves other writers in between.
TEST_F(Writer, SlowStoreIsNotTakenForAnUnresponsiveOne)
{
	add(3000);
	advance(400);
	answer(VH_STORE_OK);
	add(3000);
	add(3000);
	advance(1000);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_STORED }));
	EXPECT_GE(calls[1].timeout_ms, 1000);
	advance(250);
	EXPECT_EQ(outcomes,
		  (std::vector<write_outcome>{ WRITE_STORED, WRITE_NOT_SENT }));
}

// A slow store still executes the attempts that timed out; frequent retries
// would keep it overloaded.
TEST_F(Writer, RetriesBackOff)
{
	add(30000);
	for (int i = 0; i < 100; i++) {
		size_t n = calls.size();

		advance(50);
		if (calls.size() > n || !i)
			answer(VH_STORE_UNKNOWN);
	}
	EXPECT_GE(calls.size(), 8u);
	EXPECT_LE(calls.size(), 20u);
}

TEST_F(Writer, AcceptsRecordsOnceTheStoreAnswersAgain)
{
	add(3000);
	advance(650);
	answer(VH_STORE_OK);
	add(3000);
	EXPECT_EQ(calls.size(), 2u);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_STORED }));
}

} // namespace
