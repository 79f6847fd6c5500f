#include <gtest/gtest.h>

extern "C" {
#include "advice_balancer.h"
}

namespace
{

constexpr double SHORT_MS = 10;
constexpr double MEDIUM_MS = 66;
constexpr double LONG_MS = 700;

struct AdviceBalancer : testing::Test {
	struct advice_balancer a = {};

	void add_nodes(int n)
	{
		for (int i = 0; i < n; i++)
			ASSERT_EQ(advice_balancer_add_node(&a, 0), i);
	}
};

// In a burst of calls of all lengths, short calls get a node with a backlog
// below 100 ms.
TEST_F(AdviceBalancer, ShortCallsDoNotWaitBehindLongOnes)
{
	add_nodes(7);
	EXPECT_GE(advice_balancer_assign(&a, SHORT_MS, 1000), 0);
	while (advice_balancer_assign(&a, LONG_MS, 1000) >= 0) {
	}
	while (advice_balancer_assign(&a, MEDIUM_MS, 1000) >= 0) {
	}
	int i = advice_balancer_assign(&a, SHORT_MS, 1000);
	ASSERT_GE(i, 0);
	EXPECT_LT(advice_balancer_backlog_ms(&a, i, 1000), 100);
}

// Waiting calls stay with the owner, which can reorder them.
TEST_F(AdviceBalancer, BacklogsStayShort)
{
	add_nodes(3);
	int assigned = 0;
	while (advice_balancer_assign(&a, MEDIUM_MS, 1000) >= 0)
		assigned++;
	for (int i = 0; i < 3; i++)
		EXPECT_LT(advice_balancer_backlog_ms(&a, i, 1000),
			  90 + MEDIUM_MS);
	EXPECT_LE(assigned, 6);
}

TEST_F(AdviceBalancer, OneNodeMakesAllCalls)
{
	add_nodes(1);
	EXPECT_EQ(advice_balancer_assign(&a, SHORT_MS, 1000), 0);
	advice_balancer_call_ended(&a, 0, SHORT_MS, 1020);
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1030), 0);
}

TEST_F(AdviceBalancer, RemovedNodeGetsNoCalls)
{
	add_nodes(2);
	advice_balancer_remove_node(&a, 0);
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1000), 1);
	EXPECT_EQ(advice_balancer_add_node(&a, 0), 0);
}

TEST_F(AdviceBalancer, AnswersFreeCapacity)
{
	add_nodes(1);
	while (advice_balancer_assign(&a, LONG_MS, 1000) >= 0) {
	}
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1000), -1);
	advice_balancer_call_ended(&a, 0, LONG_MS, 1700);
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1700), 0);
}

// Nodes in another region add more than 100 ms to a call of 10 ms.
TEST_F(AdviceBalancer, ShortCallsPreferNodesWithLowOverhead)
{
	ASSERT_EQ(advice_balancer_add_node(&a, 120), 0);
	ASSERT_EQ(advice_balancer_add_node(&a, 120), 1);
	ASSERT_EQ(advice_balancer_add_node(&a, 2), 2);
	EXPECT_EQ(advice_balancer_assign(&a, SHORT_MS, 1000), 2);
	EXPECT_EQ(advice_balancer_assign(&a, SHORT_MS, 1000), 2);
	for (int i = 0; i < 50; i++)
		advice_balancer_record_latency(&a, 0, SHORT_MS, SHORT_MS + 1);
	EXPECT_EQ(advice_balancer_assign(&a, SHORT_MS, 1000), 0);
}

} // namespace
