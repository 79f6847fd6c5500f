#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "route.h"
}

namespace
{
struct vh_route_target target(enum vh_route_tier tier)
{
	struct vh_route_target t = {};

	t.tier = tier;
	t.slots = 8;
	t.conn_share = 8;
	return t;
}
} // namespace

class Route : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		rng = g_rand_new_with_seed(7);
	}

	void TearDown() override
	{
		g_rand_free(rng);
	}

	size_t pick(uint64_t avoid = 0, bool remote = true, int64_t now = 0)
	{
		std::vector<struct vh_route_target *> p;

		for (auto &t : targets)
			p.push_back(&t);
		return vh_route_pick(p.data(), p.size(), avoid, remote, now,
				     rng);
	}

	GRand *rng;
	std::vector<struct vh_route_target> targets;
};

TEST_F(Route, NearestUsableTierFirst)
{
	targets = { target(VH_ROUTE_REMOTE), target(VH_ROUTE_REGION),
		    target(VH_ROUTE_ZONE) };
	EXPECT_EQ(pick(), 2u);
	targets[2].leaving = true;
	EXPECT_EQ(pick(), 1u);
	targets[1].in_flight = 8;
	EXPECT_EQ(pick(), 0u);
	EXPECT_EQ(pick(0, false), 3u) << "other regions only where allowed";
}

TEST_F(Route, LessLoadedOfTwo)
{
	targets = { target(VH_ROUTE_ZONE), target(VH_ROUTE_ZONE) };
	targets[0].in_flight = 3;
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(pick(), 1u);
}

TEST_F(Route, TwoChoicesKeepLoadsClose)
{
	targets.assign(50, target(VH_ROUTE_ZONE));
	for (auto &t : targets)
		t.slots = t.conn_share = 1000;
	uint32_t max = 0;

	for (int i = 0; i < 5000; i++) {
		auto &t = targets[pick()];

		t.in_flight++;
		max = std::max(max, t.in_flight);
	}
	/* 100 on average; a single random choice reaches about 125. */
	EXPECT_LE(max, 105u);
}

TEST_F(Route, AvoidsFailedTargetsUnlessNoOtherIsUsable)
{
	targets = { target(VH_ROUTE_ZONE), target(VH_ROUTE_ZONE) };
	EXPECT_EQ(pick(1), 1u);
	EXPECT_EQ(pick(2), 0u);
	EXPECT_LT(pick(3), 2u);
}

TEST_F(Route, BacksOffFromFullAndFailingTargets)
{
	targets = { target(VH_ROUTE_ZONE) };
	vh_route_refused(&targets[0], 0, rng);
	EXPECT_EQ(pick(), 1u);
	EXPECT_EQ(pick(0, true, 100), 0u);
	vh_route_failed(&targets[0], 100, rng);
	vh_route_failed(&targets[0], 100, rng);
	EXPECT_EQ(pick(0, true, 200), 1u);
	EXPECT_EQ(pick(0, true, 1000), 0u);
	targets[0].in_flight = 1;
	EXPECT_EQ(pick(0, true, 1000), 1u)
		<< "only one probe request at a time";
	vh_route_succeeded(&targets[0]);
	EXPECT_EQ(pick(0, true, 1000), 0u);
}

TEST_F(Route, ConnSharesAddUpToTheTotal)
{
	for (uint32_t nodes : { 1u, 7u, 50u, 64u, 100u }) {
		uint32_t sum = 0;

		for (uint32_t rank = 0; rank < nodes; rank++)
			sum += vh_route_conn_share(64, nodes, rank);
		EXPECT_EQ(sum, 64u) << nodes;
	}
}

TEST_F(Route, RetryBudgetAllowsTenPercent)
{
	struct vh_route_retry_budget b;
	int retries = 0;

	vh_route_retry_budget_init(&b);
	for (int i = 0; i < 1000; i++) {
		vh_route_retry_budget_deposit(&b);
		retries += vh_route_retry_budget_take(&b);
	}
	/* A burst of 10, then one retry per 10 requests. */
	EXPECT_NEAR(retries, 110, 2);
}
