#include <gtest/gtest.h>

extern "C" {
#include "advice_balancer.h"
}

namespace
{

constexpr double SHORT_MS = 10;
constexpr double MEDIUM_MS = 66;
constexpr double LONG_MS = 700;

struct Advisors : testing::Test {
	struct advice_balancer a = {};

	void join(int n)
	{
		for (int i = 0; i < n; i++)
			ASSERT_EQ(advice_balancer_add_node(&a, 0), i);
	}
};

// A burst of calls of all lengths: short ones find a node that is through
// within a tenth of a second, whatever else waits.
TEST_F(Advisors, ShortCallsDoNotWaitBehindLongOnes)
{
	join(7);
	EXPECT_GE(advice_balancer_assign(&a, SHORT_MS, 1000), 0);
	while (advice_balancer_assign(&a, LONG_MS, 1000) >= 0) {
	}
	while (advice_balancer_assign(&a, MEDIUM_MS, 1000) >= 0) {
	}
	int i = advice_balancer_assign(&a, SHORT_MS, 1000);
	ASSERT_GE(i, 0);
	EXPECT_LT(advice_balancer_backlog_ms(&a, i, 1000), 100);
}

// What waits stays with the owner, where it can be put in order.
TEST_F(Advisors, NoNodeGetsALongQueue)
{
	join(3);
	int given = 0;
	while (advice_balancer_assign(&a, MEDIUM_MS, 1000) >= 0)
		given++;
	for (int i = 0; i < 3; i++)
		EXPECT_LT(advice_balancer_backlog_ms(&a, i, 1000),
			  90 + MEDIUM_MS);
	EXPECT_LE(given, 6);
}

TEST_F(Advisors, OneNodeMakesAllCalls)
{
	join(1);
	EXPECT_EQ(advice_balancer_assign(&a, SHORT_MS, 1000), 0);
	advice_balancer_call_ended(&a, 0, SHORT_MS, 1020);
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1030), 0);
}

TEST_F(Advisors, ANodeThatLeftIsNotChosen)
{
	join(2);
	advice_balancer_remove_node(&a, 0);
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1000), 1);
	EXPECT_EQ(advice_balancer_add_node(&a, 0), 0);
}

TEST_F(Advisors, AnswersMakeRoom)
{
	join(1);
	while (advice_balancer_assign(&a, LONG_MS, 1000) >= 0) {
	}
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1000), -1);
	advice_balancer_call_ended(&a, 0, LONG_MS, 1700);
	EXPECT_EQ(advice_balancer_assign(&a, LONG_MS, 1700), 0);
}

// Nodes in another region add a tenth of a second to a call of 10 ms.
TEST_F(Advisors, ShortCallsGoToNearNodesFirst)
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
