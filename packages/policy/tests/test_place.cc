#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "vh/place.h"
}

static struct vh_candidate worker(uint32_t cpu, uint32_t mem, uint32_t accel)
{
	struct vh_candidate c = {};

	c.capacity = { { cpu, mem, accel, 8, 64 } };
	c.free = c.capacity;
	c.usable = true;
	return c;
}

static struct vh_place_request want(uint32_t cpu, uint32_t mem, uint32_t accel)
{
	struct vh_place_request w = {};

	w.size = { { cpu, mem, accel, 0, 0 } };
	w.cls = VH_CLASS_BATCH;
	w.region = UINT32_MAX;
	return w;
}

struct pair_row {
	const char *what;
	struct vh_place_request want;
	struct vh_candidate worse, better;
};

static std::vector<pair_row> pair_rows()
{
	struct vh_candidate plain = worker(16000, 65536, 0);
	std::vector<pair_row> rows;
	pair_row r = { "batch packs tight", want(2000, 4096, 0), plain, plain };

	r.better.free.v[VH_CPU] = 4000;
	r.better.free.v[VH_MEM] = 16384;
	rows.push_back(r);
	r = { "region first", want(2000, 4096, 0), plain, plain };
	r.want.region = 1;
	r.better.region = 1;
	r.worse.free = { { 2000, 4096, 0, 8, 64 } };
	rows.push_back(r);
	r = { "accelerators kept free", want(2000, 4096, 0),
	      worker(16000, 65536, 4), plain };
	r.worse.free.v[VH_CPU] = 4000;
	rows.push_back(r);
	r = { "no stranded accelerators", want(4000, 4096, 0),
	      worker(16000, 65536, 4), worker(16000, 65536, 4) };
	r.worse.free = { { 8000, 32768, 4, 8, 64 } };
	r.better.free = { { 16000, 65536, 2, 8, 64 } };
	rows.push_back(r);
	r = { "services spread over racks", want(2000, 4096, 0), plain, plain };
	r.want.cls = VH_CLASS_SERVICE;
	r.want.spread = true;
	r.worse.same_rack = 1;
	r.worse.free.v[VH_CPU] = 4000;
	rows.push_back(r);
	r = { "failing workers last", want(2000, 4096, 0), plain, plain };
	r.want.region = 0;
	r.worse.failures = 3;
	r.better.region = 1;
	rows.push_back(r);
	return rows;
}

TEST(Place, PrefersByClassRegionAndFit)
{
	for (auto &row : pair_rows()) {
		for (int swap = 0; swap < 2; swap++) {
			struct vh_candidate c[2] = { row.worse, row.better };
			struct vh_place_result out;

			if (swap)
				std::swap(c[0], c[1]);
			vh_place(&row.want, c, 2, &out);
			EXPECT_EQ(out.reason, VH_PLACE_OK) << row.what;
			EXPECT_EQ(out.index, swap ? 0u : 1u) << row.what;
		}
	}
}

TEST(Place, RefusalReportsTheShortage)
{
	struct vh_candidate c[2] = { worker(16000, 65536, 0),
				     worker(16000, 65536, 0) };
	struct vh_place_request w = want(4000, 4096, 0);
	struct vh_place_result out;

	c[0].free.v[VH_CPU] = 1000;
	c[1].free.v[VH_CPU] = 3000;
	vh_place(&w, c, 2, &out);
	EXPECT_EQ(out.reason, VH_PLACE_FULL);
	EXPECT_EQ(out.index, 2u);
	EXPECT_EQ(out.closest, 1u);
	EXPECT_EQ(out.short_dim, VH_CPU);
	EXPECT_EQ(out.short_by, 1000u);

	w = want(4000, 70000, 0);
	vh_place(&w, c, 2, &out);
	EXPECT_EQ(out.reason, VH_PLACE_NEVER_FITS);
	EXPECT_EQ(out.short_dim, VH_MEM);
	EXPECT_EQ(out.short_by, 70000u - 65536u);

	c[0].usable = c[1].usable = false;
	w = want(4000, 4096, 0);
	vh_place(&w, c, 2, &out);
	EXPECT_EQ(out.reason, VH_PLACE_NONE_USABLE);
	vh_place(&w, c, 0, &out);
	EXPECT_EQ(out.reason, VH_PLACE_NONE_USABLE);
	EXPECT_EQ(out.index, 0u);
}

/* Places random tasks in a random rack, until and after it is full. */
TEST(Place, NeverOvercommitsAndRefusesOnlyWhenNothingFits)
{
	for (unsigned int seed = 1; seed <= 200; seed++) {
		std::mt19937 rng(seed);
		std::vector<struct vh_candidate> c;
		struct vh_place_result out, again;

		for (int i = 0; i < 8; i++) {
			c.push_back(worker(16000, 65536, rng() % 3 * 2));
			c.back().usable = rng() % 8 != 0;
		}
		for (int i = 0; i < 300; i++) {
			struct vh_place_request w =
				want(rng() % 8000, rng() % 32768,
				     rng() % 8 ? 0 : rng() % 5);

			w.spread = rng() % 4 == 0;
			vh_place(&w, c.data(), c.size(), &out);
			vh_place(&w, c.data(), c.size(), &again);
			ASSERT_EQ(out.index, again.index);
			if (out.reason == VH_PLACE_OK) {
				ASSERT_LT(out.index, c.size());
				ASSERT_TRUE(c[out.index].usable);
				ASSERT_TRUE(vh_res_sub(&c[out.index].free,
						       &w.size));
				continue;
			}
			ASSERT_EQ(out.index, c.size());
			for (auto &k : c)
				ASSERT_FALSE(k.usable &&
					     vh_res_fits(&w.size, &k.free));
		}
	}
}
