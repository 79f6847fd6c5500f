#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "vh/estimate.h"
}

static const struct vh_res declared = { { 4000, 8192, 1, 2, 3 } };

static struct vh_res use(double ratio)
{
	return { { (uint32_t)(4000 * ratio), (uint32_t)(8192 * ratio), 0, 0,
		   0 } };
}

TEST(Estimate, EstimatesTheTrueSize)
{
	struct {
		double ratio; /* used to declared */
	} rows[] = { { 0.1 }, { 1.0 }, { 10.0 } };

	for (auto &row : rows) {
		struct vh_estimate e = {};
		struct vh_res size;
		std::mt19937 rng(1);

		for (int i = 0; i < 400; i++) {
			double r = row.ratio * (0.8 + rng() % 100 / 500.0);
			struct vh_res used = use(rng() % 100 ? r : 50 * r);

			vh_estimate_add(&e, i / 3, &declared, &used, 1000);
		}
		vh_estimate_size(&e, &declared, &size);
		for (int d = VH_CPU; d <= VH_MEM; d++) {
			EXPECT_GE(size.v[d], declared.v[d] * row.ratio);
			EXPECT_LE(size.v[d], declared.v[d] * row.ratio * 1.6);
		}
		EXPECT_EQ(size.v[VH_ACCEL], 1u);
		EXPECT_EQ(size.v[VH_CONNS], 3u);
	}
}

TEST(Estimate, AccurateDeclarationIsKept)
{
	struct vh_estimate e = {};
	struct vh_res size;

	for (int i = 0; i < 400; i++)
		vh_estimate_add(&e, i, &declared, &declared, 1000);
	EXPECT_FALSE(vh_estimate_size(&e, &declared, &size));
	EXPECT_EQ(size.v[VH_CPU], declared.v[VH_CPU]);
	EXPECT_EQ(size.v[VH_MEM], declared.v[VH_MEM]);
}

TEST(Estimate, NeedsSeveralJobs)
{
	struct vh_estimate e = {};
	struct vh_res size, used = use(0.1);

	for (int i = 0; i < 1000; i++)
		vh_estimate_add(&e, 1, &declared, &used, 1000);
	EXPECT_FALSE(vh_estimate_size(&e, &declared, &size));
	EXPECT_EQ(size.v[VH_CPU], declared.v[VH_CPU]);
	for (int i = 0; i < 20; i++)
		vh_estimate_add(&e, 2 + i, &declared, &used, 1000);
	EXPECT_TRUE(vh_estimate_size(&e, &declared, &size));
}

TEST(Estimate, RunTimeQuantilesAndDrift)
{
	struct vh_estimate e = {};

	EXPECT_EQ(vh_estimate_run_ms(&e, 50), 0);
	for (int i = 0; i < 1000; i++)
		vh_estimate_add(&e, i, &declared, nullptr,
				i % 10 ? 2000 : 60000);
	EXPECT_GE(vh_estimate_run_ms(&e, 50), 2000);
	EXPECT_LE(vh_estimate_run_ms(&e, 50), 2900);
	EXPECT_GE(vh_estimate_run_ms(&e, 95), 60000);
	for (int i = 0; i < 3000; i++)
		vh_estimate_add(&e, 5000 + i, &declared, nullptr, 500);
	EXPECT_LE(vh_estimate_run_ms(&e, 90), 730);
}

TEST(Usage, ReclaimsOnlyIdleCommitments)
{
	struct vh_usage u;
	struct vh_res c, used = use(0.1);
	int64_t now = 0;

	vh_usage_init(&u, &declared);
	for (; now < VH_USAGE_WINDOW_MS; now += 10000) {
		vh_usage_sample(&u, &used, now);
		EXPECT_FALSE(vh_usage_reclaim(&u, now, &c)) << now;
	}
	vh_usage_sample(&u, &used, now);
	ASSERT_TRUE(vh_usage_reclaim(&u, now + 1000, &c));
	EXPECT_EQ(c.v[VH_CPU], 500u);
	EXPECT_EQ(c.v[VH_SLOTS], declared.v[VH_SLOTS]);
	EXPECT_FALSE(vh_usage_reclaim(&u, now + 31000, &c)) << "stale";
	used = use(0.9);
	vh_usage_sample(&u, &used, now + 1);
	EXPECT_FALSE(vh_usage_reclaim(&u, now + 1000, &c)) << "a peak counts";
}

TEST(Usage, ActionsInOrder)
{
	struct vh_usage u;
	struct vh_res more, none = {}, room = { { 9000, 9000, 0, 0, 0 } };
	struct vh_res cpu = { { 5000, 100, 0, 0, 0 } };
	struct vh_res mem = { { 100, 9000, 0, 0, 0 } };

	vh_usage_init(&u, &declared);
	EXPECT_EQ(vh_usage_action(&u, &declared, &none, true, &more),
		  VH_USAGE_OK);
	EXPECT_EQ(vh_usage_action(&u, &cpu, &room, true, &more),
		  VH_USAGE_RAISE);
	EXPECT_EQ(more.v[VH_CPU], 5000u);
	EXPECT_EQ(more.v[VH_MEM], declared.v[VH_MEM]);
	EXPECT_EQ(vh_usage_action(&u, &cpu, &none, true, &more),
		  VH_USAGE_THROTTLE);
	EXPECT_EQ(vh_usage_action(&u, &mem, &none, true, &more),
		  VH_USAGE_CHECKPOINT);
	EXPECT_EQ(vh_usage_action(&u, &mem, &none, false, &more),
		  VH_USAGE_STOP);
}
