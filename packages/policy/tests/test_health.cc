#include <gtest/gtest.h>

#include <random>
#include <set>

extern "C" {
#include "vh/health.h"
#include "vh/retry.h"
}

static struct vh_health rack8()
{
	struct vh_health h = {};

	h.n_workers = 8;
	return h;
}

TEST(Health, QuarantinesByDistinctJobsAndTeams)
{
	struct {
		const char *what;
		int jobs, teams;
		bool quarantined;
	} rows[] = { { "one job, repeatedly", 1, 1, false },
		     { "one team's few jobs", 4, 1, false },
		     { "one team's many jobs", 5, 1, true },
		     { "two teams, two jobs", 2, 2, false },
		     { "two teams, three jobs", 3, 2, true } };

	for (auto &row : rows) {
		struct vh_health h = rack8();

		for (int i = 0; i < 6; i++)
			vh_health_failed(&h, 0, 100 + i % row.jobs,
					 i % row.teams, i * 100);
		EXPECT_EQ(!vh_health_accepts(&h, 0, 1000), row.quarantined)
			<< row.what;
		EXPECT_TRUE(vh_health_accepts(&h, 1, 1000));
	}
}

TEST(Health, FaultyJobDoesNotCountAgainstWorkers)
{
	struct vh_health h = rack8();

	for (uint64_t job = 1; job <= 40; job++) {
		for (size_t w = 0; w < 8; w++)
			vh_health_failed(&h, w, job, job % 5, job);
	}
	for (size_t w = 0; w < 8; w++) {
		EXPECT_TRUE(vh_health_accepts(&h, w, 100)) << w;
		EXPECT_EQ(vh_health_failures(&h, w, 100), 0u);
	}
}

TEST(Health, FaultyTeamDoesNotCountAgainstWorkers)
{
	struct vh_health h = rack8();

	for (uint64_t job = 1; job <= 100; job++)
		vh_health_failed(&h, job % 8, job, 7, job);
	for (size_t w = 0; w < 8; w++)
		EXPECT_TRUE(vh_health_accepts(&h, w, 100)) << w;
}

TEST(Health, SingleWorkerIsNeverQuarantined)
{
	struct vh_health h = {};

	h.n_workers = 1;
	for (uint64_t job = 1; job <= 20; job++)
		vh_health_failed(&h, 0, job, job, job);
	EXPECT_TRUE(vh_health_accepts(&h, 0, 100));
}

TEST(Health, ReinstatesAfterProbesWithBackoff)
{
	struct vh_health h = rack8();
	int64_t now = 0;

	for (int i = 0; i < 5; i++)
		vh_health_failed(&h, 3, i, i, now);
	EXPECT_FALSE(vh_health_accepts(&h, 3, now + 29000));
	now += 30000;
	EXPECT_TRUE(vh_health_accepts(&h, 3, now));
	vh_health_started(&h, 3, now);
	EXPECT_FALSE(vh_health_accepts(&h, 3, now)) << "one probe at a time";
	vh_health_failed(&h, 3, 77, 1, now);
	EXPECT_FALSE(vh_health_accepts(&h, 3, now + 59000)) << "twice as long";
	now += 60000;
	for (int i = 0; i < 2; i++) {
		EXPECT_TRUE(vh_health_accepts(&h, 3, now));
		vh_health_started(&h, 3, now);
		vh_health_succeeded(&h, 3, 88 + i, now);
	}
	EXPECT_EQ(vh_health_state(&h, 3, now), VH_HEALTH_HEALTHY);
}

TEST(Health, QuarantinesAtMostHalfOfARack)
{
	struct vh_health h = rack8();
	int quarantined = 0;

	for (size_t w = 0; w < 8; w++) {
		for (uint64_t i = 0; i < 5; i++)
			vh_health_failed(&h, w, w * 10 + i, w * 10 + i, 0);
		quarantined += !vh_health_accepts(&h, w, 0);
	}
	EXPECT_EQ(quarantined, 4);
}

/* On random tasks with occasional failures, only the worker that fails all its
 * tasks is quarantined at the end. */
TEST(Health, QuarantinesOnlyTheFaultyWorker)
{
	for (unsigned int seed = 1; seed <= 50; seed++) {
		std::mt19937 rng(seed);
		struct vh_health h = rack8();
		size_t faulty = rng() % 8;
		int lost = 0;

		for (int64_t t = 0; t < 500; t++) {
			size_t w = rng() % 8;
			uint64_t job = 1 + rng() % 60;
			bool broken_job = job % 20 == 0;

			if (!vh_health_accepts(&h, w, t))
				continue;
			vh_health_started(&h, w, t);
			lost += w == faulty;
			if (w == faulty || broken_job || rng() % 50 == 0)
				vh_health_failed(&h, w, job, job % 6, t);
			else
				vh_health_succeeded(&h, w, job, t);
		}
		EXPECT_FALSE(vh_health_accepts(&h, faulty, 500)) << seed;
		EXPECT_LE(lost, 12) << seed;
		for (size_t w = 0; w < 8; w++) {
			if (w != faulty) {
				EXPECT_TRUE(vh_health_accepts(&h, w, 500));
			}
		}
	}
}

TEST(Retry, DelaysGrowWithJitter)
{
	std::set<int64_t> seen;

	for (uint64_t seed = 0; seed < 100; seed++) {
		int64_t d = vh_retry_delay_ms(3, seed);

		EXPECT_GE(d, 400);
		EXPECT_LE(d, 800);
		EXPECT_LE(vh_retry_delay_ms(1000, seed), 60000);
		seen.insert(d);
	}
	EXPECT_GT(seen.size(), 50u);
}

TEST(Retry, BudgetBoundsRetriesWhenManyTasksFail)
{
	struct vh_retry_budget b;
	int retries = 0;

	vh_retry_budget_init(&b, 0);
	for (int64_t now = 0; now < 60000; now++) {
		if (now % 10 == 0)
			vh_retry_budget_deposit(&b);
		retries += vh_retry_budget_take(&b, now);
	}
	EXPECT_GE(retries, 700);
	EXPECT_LE(retries, 100 + 600 + 10);
}
