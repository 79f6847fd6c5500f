#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "vh/preempt.h"
}

static const int64_t now0 = 10000000;
static const struct vh_preempt_settings settings = { 3, 60000 };

static struct vh_victim batch(uint32_t worker, uint32_t cpu, int64_t ran_s)
{
	struct vh_victim v = {};

	v.size = { { cpu, 1000, 0, 0, 0 } };
	v.worker = worker;
	v.cls = VH_CLASS_BATCH;
	v.team_due = v.team_share = 100;
	v.started_ms = now0 - ran_s * 1000;
	v.idempotent = true;
	return v;
}

static struct vh_candidate worker(uint32_t cpu_free)
{
	struct vh_candidate c = {};

	c.capacity = { { 16000, 65536, 0, 8, 64 } };
	c.free = { { cpu_free, 32768, 0, 8, 64 } };
	c.usable = true;
	return c;
}

static struct vh_place_request urgent(uint32_t cpu)
{
	struct vh_place_request w = {};

	w.size = { { cpu, 1000, 0, 0, 0 } };
	w.cls = VH_CLASS_URGENT;
	w.region = UINT32_MAX;
	return w;
}

static struct vh_preempt_decision
choose(const struct vh_place_request &want,
       const std::vector<struct vh_candidate> &c,
       const std::vector<struct vh_victim> &v)
{
	struct vh_preempt_decision out;

	vh_preempt_choose(&settings, &want, c.data(), c.size(), v.data(),
			  v.size(), now0, &out);
	return out;
}

struct victim_row {
	const char *what;
	struct vh_victim costly, cheap;
};

static std::vector<victim_row> victim_rows()
{
	std::vector<victim_row> rows;
	victim_row r = { "least work lost", batch(0, 4000, 600),
			 batch(0, 4000, 60) };

	rows.push_back(r);
	r = { "fresh checkpoint", batch(0, 4000, 60), batch(0, 4000, 6000) };
	r.cheap.checkpoint_ms = now0 - 1000;
	rows.push_back(r);
	r = { "team above its share", batch(0, 4000, 600),
	      batch(0, 4000, 700) };
	r.cheap.team_share = 200;
	rows.push_back(r);
	r = { "preempted before", batch(0, 4000, 600), batch(0, 4000, 700) };
	r.costly.preempted = 1;
	rows.push_back(r);
	r = { "never services", batch(0, 4000, 1), batch(0, 4000, 6000) };
	r.costly.cls = VH_CLASS_SERVICE;
	rows.push_back(r);
	r = { "never tasks that must not run twice", batch(0, 4000, 1),
	      batch(0, 4000, 6000) };
	r.costly.idempotent = false;
	rows.push_back(r);
	r = { "limited number of preemptions", batch(0, 4000, 90000),
	      batch(0, 4000, 60000) };
	r.costly.preempted = 3;
	r.costly.checkpoint_ms = now0;
	rows.push_back(r);
	r = { "protected time to work after a preemption", batch(0, 4000, 100),
	      batch(0, 4000, 6000) };
	r.costly.preempted = 2;
	rows.push_back(r);
	return rows;
}

TEST(Preempt, ChoosesTheLessCostlyVictim)
{
	for (auto &row : victim_rows()) {
		for (size_t at = 0; at < 2; at++) {
			std::vector<struct vh_victim> v = { row.costly,
							    row.costly };
			struct vh_preempt_decision out;

			v[at] = row.cheap;
			out = choose(urgent(4000), { worker(0) }, v);
			ASSERT_EQ(out.reason, VH_PREEMPT_OK) << row.what;
			ASSERT_EQ(out.n, 1u) << row.what;
			EXPECT_EQ(out.victims[0], at) << row.what;
		}
	}
}

TEST(Preempt, ReportsTheReason)
{
	struct vh_place_request w = urgent(4000);
	struct vh_victim service = batch(0, 16000, 10);

	service.cls = VH_CLASS_SERVICE;
	EXPECT_EQ(choose(w, { worker(0) }, { service }).reason,
		  VH_PREEMPT_NO_VICTIMS);
	w.cls = VH_CLASS_BATCH;
	EXPECT_EQ(choose(w, { worker(0) }, { batch(0, 9000, 1) }).reason,
		  VH_PREEMPT_CLASS);
}

/* The victims are on one worker, make room there, and none is redundant. */
TEST(Preempt, FreesEnoughWithoutRedundantVictims)
{
	for (unsigned int seed = 1; seed <= 500; seed++) {
		std::mt19937 rng(seed);
		std::vector<struct vh_candidate> c;
		std::vector<struct vh_victim> v;
		struct vh_place_request w = urgent(1000 + rng() % 15000);
		struct vh_preempt_decision out;

		for (uint32_t i = 0; i < 8; i++) {
			struct vh_candidate k = worker(16000);

			while (k.free.v[VH_CPU] > 1500) {
				uint32_t cpu = 200 + rng() % 1300;

				v.push_back(batch(i, cpu, rng() % 4000));
				v.back().preempted = rng() % 5;
				vh_res_sub(&k.free, &v.back().size);
			}
			c.push_back(k);
		}
		out = choose(w, c, v);
		if (out.reason != VH_PREEMPT_OK)
			continue;
		for (size_t skip = 0; skip <= out.n; skip++) {
			struct vh_res free = c[out.worker].free;

			for (size_t i = 0; i < out.n; i++) {
				const auto &k = v[out.victims[i]];

				ASSERT_EQ(k.worker, out.worker);
				ASSERT_LT(k.preempted, settings.max_preempted);
				if (i != skip)
					vh_res_add(&free, &k.size);
			}
			ASSERT_EQ(vh_res_fits(&w.size, &free), skip == out.n)
				<< seed;
		}
	}
}

TEST(Preempt, ModeLeavesTimeForTheStart)
{
	struct vh_victim v = batch(0, 1000, 10);

	v.can_checkpoint = true;
	EXPECT_EQ(vh_preempt_mode(&v, now0, 2000, now0 + 100),
		  VH_PREEMPT_CHECKPOINT);
	EXPECT_EQ(vh_preempt_mode(&v, now0, 2000, now0 + 1000),
		  VH_PREEMPT_KILL);
	v.can_checkpoint = false;
	EXPECT_EQ(vh_preempt_mode(&v, now0, 0, now0), VH_PREEMPT_KILL);
}

TEST(Preempt, BudgetPerMinute)
{
	struct vh_preempt_budget b;
	int taken = 0;

	vh_preempt_budget_init(&b, 6, 0);
	for (int64_t now = 0; now < 600000; now++)
		taken += vh_preempt_budget_take(&b, 1, now);
	EXPECT_EQ(taken, 6 + 59);
	EXPECT_FALSE(vh_preempt_budget_take(&b, 7, 10000000));
	EXPECT_TRUE(vh_preempt_budget_take(&b, 6, 10000000));
}
