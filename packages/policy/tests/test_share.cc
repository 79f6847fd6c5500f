#include <gtest/gtest.h>

#include <numeric>
#include <random>
#include <vector>

extern "C" {
#include "vh/share.h"
}

TEST(Share, DominantIsTheLargestPart)
{
	struct vh_res fleet = { { 100000, 400000, 0, 80, 640 } };
	struct vh_res run = { { 10000, 100000, 7, 80, 0 } };

	EXPECT_EQ(vh_share_dominant(&run, &fleet), 250000u);
	EXPECT_LT(vh_share_weighted(250000, 3), vh_share_weighted(250000, 2));
}

TEST(Share, FairShareTable)
{
	struct {
		std::vector<struct vh_share_team> in;
		std::vector<uint64_t> due;
	} rows[] = {
		{ { { 1, 1000000, 0 }, { 1, 1000000, 0 } },
		  { 500000, 500000 } },
		{ { { 3, 1000000, 0 }, { 1, 1000000, 0 } },
		  { 750000, 250000 } },
		{ { { 3, 100000, 0 }, { 1, 1000000, 0 } }, { 100000, 900000 } },
		{ { { 1, 100000, 0 }, { 1, 200000, 0 } }, { 100000, 200000 } },
		{ { { 1, 300000, 0 }, { 1, 1000000, 0 }, { 2, 900000, 0 } },
		  { 250000, 250000, 500000 } },
	};

	for (auto &row : rows) {
		vh_share_max_min(row.in.data(), row.in.size());
		for (size_t i = 0; i < row.in.size(); i++)
			EXPECT_EQ(row.in[i].due, row.due[i]) << i;
	}
}

/* No team gets more than its demand, and one that gets less than its demand has
 * at least as much per unit of weight as any other. */
TEST(Share, FairShareIsMaxMinFair)
{
	std::mt19937 rng(1);

	for (int round = 0; round < 2000; round++) {
		std::vector<struct vh_share_team> t(1 + rng() % 65);
		uint64_t sum = 0, demand = 0;

		for (auto &x : t) {
			x.weight = 1 + rng() % 100;
			x.demand = rng() % (rng() % 2 ? 40000 : 900000);
			demand += x.demand;
		}
		vh_share_max_min(t.data(), t.size());
		for (auto &x : t) {
			ASSERT_LE(x.due, x.demand);
			sum += x.due;
		}
		ASSERT_LE(sum, (uint64_t)VH_SHARE_SCALE);
		ASSERT_GE(sum + t.size(),
			  std::min<uint64_t>(demand, VH_SHARE_SCALE));
		for (auto &x : t) {
			if (x.due == x.demand)
				continue;
			for (auto &y : t)
				ASSERT_GE((x.due + 1) * y.weight,
					  y.due * x.weight);
		}
	}
}

TEST(Share, WindowExpiresAndDeviationIsBounded)
{
	struct vh_share_window w[2] = {};
	uint64_t got, due;

	w[0].bucket_ms = w[1].bucket_ms = 1000;
	for (int64_t now = 1000; now <= 30000; now += 500) {
		vh_share_window_add(&w[0], now <= 15000 ? 900000 : 500000,
				    500000, 500, now);
		vh_share_window_add(&w[1], now <= 15000 ? 100000 : 500000,
				    500000, 500, now);
		if (now == 14000) {
			EXPECT_EQ(vh_share_deviation(w, 2, now), 400000u);
		}
	}
	vh_share_window_read(&w[0], 30000, &got, &due);
	EXPECT_EQ(got, 500000u);
	EXPECT_EQ(vh_share_deviation(w, 2, 30000), 0u);
	vh_share_window_read(&w[0], 90000, &got, &due);
	EXPECT_EQ(due, 0u);
}
