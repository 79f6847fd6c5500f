// The store does not answer: what is refused at once, what is held, for how
// long, and what is said of it.

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
		writer_init(&w, &kernel, &ports, VH_TOPIC_JOBS);
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

	void add(int64_t patience_ms)
	{
		struct vh_slice s = vh_slice_str("x");

		writer_add(&w, s, s, vh_kernel_now_ms(&kernel) + patience_ms,
			   false, on_done, this);
	}

	void answer(vh_store_result result)
	{
		vh_append_reply r = {};
		Call c = calls.back();

		r.result = result;
		c.done(c.ctx, &r);
	}

	void pass(int64_t ms)
	{
		vh_fake_clock_advance(&clock, ms);
		writer_tick(&w);
	}
};

TEST_F(Writer, WhatComesMeanwhileGoesTogether)
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

// A caller that can still go elsewhere is told at once, and truly: its record
// was never sent.
TEST_F(Writer, RefusesAtOnceWhileTheStoreIsSilent)
{
	add(3000);
	pass(700);
	add(3000);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_NOT_SENT }));
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Writer, WhatWaitsBehindASilentStoreIsRefused)
{
	add(3000);
	add(3000);
	pass(300);
	EXPECT_TRUE(outcomes.empty());
	pass(400);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_NOT_SENT }));
}

// The record may be stored, so nothing is claimed; but a caller is not held
// until its time is over when there is little hope.
TEST_F(Writer, GivesUpADoubtfulRecordBeforeHalfItsTime)
{
	add(3000);
	pass(700);
	answer(VH_STORE_UNKNOWN);
	pass(100);
	ASSERT_EQ(calls.size(), 2u);
	pass(400);
	EXPECT_TRUE(outcomes.empty());
	pass(100);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_UNKNOWN }));
}

TEST_F(Writer, ADoubtfulRecordIsNeverCalledRefused)
{
	add(3000);
	answer(VH_STORE_UNKNOWN);
	pass(100);
	answer(VH_STORE_REFUSED);
	EXPECT_TRUE(outcomes.empty());
	pass(2000);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_UNKNOWN }));
}

// Load: a burst while the store is slow. A record whose time is nearly over
// goes with fresh ones; it must not cut short the try that carries them.
TEST_F(Writer, ARecordNearItsEndDoesNotCutShortTheTry)
{
	add(3000);
	pass(700);
	answer(VH_STORE_UNKNOWN);
	pass(500);
	ASSERT_EQ(calls.size(), 2u);
	answer(VH_STORE_UNKNOWN);
	pass(30);
	add(3000);
	pass(40);
	ASSERT_EQ(calls.size(), 3u);
	EXPECT_EQ(calls[2].n, 2u);
	EXPECT_EQ(calls[2].timeout_ms, calls[0].timeout_ms);
	pass(100);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_UNKNOWN }));
	answer(VH_STORE_OK);
	EXPECT_EQ(outcomes,
		  (std::vector<write_outcome>{ WRITE_UNKNOWN, WRITE_STORED }));
}

// Load: the store takes 0.4 s an append, and other writers' come between.
TEST_F(Writer, ASlowStoreIsNotTakenForASilentOne)
{
	add(3000);
	pass(400);
	answer(VH_STORE_OK);
	add(3000);
	add(3000);
	pass(1000);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_STORED }));
	EXPECT_GE(calls[1].timeout_ms, 1000);
	pass(250);
	EXPECT_EQ(outcomes,
		  (std::vector<write_outcome>{ WRITE_STORED, WRITE_NOT_SENT }));
}

// Tries that were given up are still being carried out by a slow store; more
// of them would keep it busy for good.
TEST_F(Writer, TriesAgainLessAndLessOften)
{
	add(30000);
	for (int i = 0; i < 100; i++) {
		size_t n = calls.size();

		pass(50);
		if (calls.size() > n || !i)
			answer(VH_STORE_UNKNOWN);
	}
	EXPECT_GE(calls.size(), 8u);
	EXPECT_LE(calls.size(), 20u);
}

TEST_F(Writer, TakesRecordsAgainOnceTheStoreAnswers)
{
	add(3000);
	pass(650);
	answer(VH_STORE_OK);
	add(3000);
	EXPECT_EQ(calls.size(), 2u);
	EXPECT_EQ(outcomes, (std::vector<write_outcome>{ WRITE_STORED }));
}

} // namespace
