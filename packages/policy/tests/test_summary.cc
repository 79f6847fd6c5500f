#include <gtest/gtest.h>

#include <random>
#include <set>
#include <vector>

extern "C" {
#include "vh/rack_index.h"
}

TEST(Summary, QuantizationIsMonotonic)
{
	std::mt19937 rng(1);

	for (uint32_t a = 0; a < 16; a++)
		EXPECT_EQ(vh_summary_dequantize(vh_summary_quantize(a)), a);
	for (int i = 0; i < 100000; i++) {
		uint32_t a = rng() >> rng() % 32, b = rng() >> rng() % 32;
		uint32_t back = vh_summary_dequantize(vh_summary_quantize(a));

		ASSERT_LE(back, a);
		ASSERT_GE(back, a - a / 8);
		if (a <= b) {
			ASSERT_LE(vh_summary_quantize(a),
				  vh_summary_quantize(b));
		}
	}
	EXPECT_LE(sizeof(struct vh_rack_summary), 30u);
}

static std::vector<struct vh_candidate> random_rack(std::mt19937 &rng)
{
	std::vector<struct vh_candidate> rack(8);
	bool accel = rng() % 4 == 0;

	for (auto &w : rack) {
		w.capacity = { { 16000, 65536, accel ? 4u : 0u, 8, 64 } };
		w.free = { { (uint32_t)(rng() % 16001),
			     (uint32_t)(rng() % 65537),
			     accel ? (uint32_t)(rng() % 5) : 0, 8, 64 } };
		w.usable = rng() % 10 != 0;
	}
	return rack;
}

TEST(Summary, FitCountIsALowerBound)
{
	std::mt19937 rng(2);

	for (int i = 0; i < 3000; i++) {
		auto rack = random_rack(rng);
		struct vh_rack_summary s;
		struct vh_res size = { { (uint32_t)(rng() % 9000),
					 (uint32_t)(rng() % 30000),
					 (uint32_t)(rng() % 3), 0, 0 } };
		unsigned int fits = 0;

		vh_summary_build(&s, rack.data(), nullptr, rack.size(), 0);
		for (auto &w : rack)
			fits += w.usable && vh_res_fits(&size, &w.free);
		ASSERT_LE(vh_summary_fit_count(&s, &size), fits);
	}
}

struct fleet {
	struct vh_rack_index c;
	std::vector<std::vector<struct vh_candidate>> racks;

	fleet(unsigned int seed, size_t n)
	{
		std::mt19937 rng(seed);

		vh_rack_index_init(&c, n);
		for (size_t r = 0; r < n; r++) {
			racks.push_back(random_rack(rng));
			update(r);
		}
	}
	~fleet()
	{
		vh_rack_index_finish(&c);
	}
	void update(size_t r)
	{
		struct vh_rack_summary s;

		vh_summary_build(&s, racks[r].data(), nullptr, 8, 0);
		vh_rack_index_update(&c, r, r % 3, r % 6, &s);
	}
	bool holds(size_t r, const struct vh_res *size)
	{
		for (auto &w : racks[r]) {
			if (w.usable && vh_res_fits(size, &w.free))
				return true;
		}
		return false;
	}
};

static struct vh_pick_request random_request(std::mt19937 &rng)
{
	struct vh_pick_request w = {};

	w.want.size = { { (uint32_t)(rng() % 17000), (uint32_t)(rng() % 60000),
			  rng() % 4 ? 0 : (uint32_t)(rng() % 6), 0, 0 } };
	w.want.cls = VH_CLASS_BATCH;
	w.want.region = rng() % 3;
	w.refused = UINT32_MAX;
	w.k = 1 + rng() % VH_PICK_MAX;
	w.seed = rng();
	return w;
}

TEST(RackIndex, FindsARackWheneverOneHasRoom)
{
	fleet f(3, 200);
	std::mt19937 rng(3);

	for (int i = 0; i < 2000; i++) {
		struct vh_pick_request w = random_request(rng);
		struct vh_pick out, again;
		bool own = false, any = false;

		w.away = rng() % 2;
		for (size_t r = 0; r < f.racks.size(); r++) {
			bool h = f.holds(r, &w.want.size);

			any |= h;
			own |= h && r % 3 == w.want.region;
		}
		vh_rack_index_pick(&f.c, &w, &out);
		vh_rack_index_pick(&f.c, &w, &again);
		ASSERT_EQ(out.n, again.n);
		ASSERT_TRUE(std::equal(out.rack, out.rack + out.n, again.rack));
		ASSERT_LE(out.n, w.k);
		if (own || (any && w.away)) {
			ASSERT_EQ(out.kind, VH_PICK_FREE);
		}
		if (out.kind != VH_PICK_FREE)
			continue;
		ASSERT_GT(out.n, 0u);
		if (own || !w.away) {
			for (unsigned int k = 0; k < out.n; k++)
				EXPECT_EQ(out.rack[k] % 3, w.want.region);
		}
		EXPECT_EQ(std::set<uint32_t>(out.rack, out.rack + out.n).size(),
			  out.n);
	}
}

TEST(RackIndex, PickKindsWhenNothingIsFree)
{
	fleet f(4, 60);
	struct vh_pick_request w = {};
	struct vh_pick out;

	for (size_t r = 0; r < f.racks.size(); r++) {
		struct vh_rack_summary s;
		struct vh_res batch[8] = {};

		for (auto &k : f.racks[r]) {
			k.free = {};
			k.usable = true;
		}
		batch[0] = { { 8000, 8192, 0, 0, 0 } };
		vh_summary_build(&s, f.racks[r].data(), r == 7 ? batch : NULL,
				 8, 0);
		vh_rack_index_update(&f.c, r, r % 3, r % 6, &s);
	}
	w.want.size = { { 4000, 4096, 0, 0, 0 } };
	w.want.region = 1;
	w.refused = UINT32_MAX;
	w.k = 2;
	w.want.cls = VH_CLASS_BATCH;
	vh_rack_index_pick(&f.c, &w, &out);
	EXPECT_EQ(out.kind, VH_PICK_WAIT);
	EXPECT_EQ(out.n, 2u);
	w.want.cls = VH_CLASS_URGENT;
	vh_rack_index_pick(&f.c, &w, &out);
	EXPECT_EQ(out.kind, VH_PICK_PREEMPT);
	ASSERT_EQ(out.n, 1u);
	EXPECT_EQ(out.rack[0], 7u);
	w.want.size.v[VH_CPU] = 99000;
	vh_rack_index_pick(&f.c, &w, &out);
	EXPECT_EQ(out.kind, VH_PICK_NEVER_FITS);
	EXPECT_EQ(out.n, 0u);
}

TEST(RackIndex, SpreadsServicesAndItsOwnRequests)
{
	fleet f(5, 96);
	uint16_t zones[6] = {};
	struct vh_pick_request w = {};
	struct vh_pick out;
	std::set<uint32_t> asked;

	w.want.size = { { 500, 512, 0, 0, 0 } };
	w.want.cls = VH_CLASS_SERVICE;
	w.want.spread = true;
	w.want.region = UINT32_MAX;
	w.zone_count = zones;
	w.n_zones = 6;
	w.refused = UINT32_MAX;
	w.k = 8;
	for (int i = 0; i < 24; i++) {
		w.seed = i;
		vh_rack_index_pick(&f.c, &w, &out);
		ASSERT_EQ(out.kind, VH_PICK_FREE);
		zones[out.rack[0] % 6]++;
	}
	for (auto z : zones)
		EXPECT_EQ(z, 4);

	w.want.spread = false;
	w.k = 1;
	w.seed = 9;
	for (int i = 0; i < 20; i++) {
		vh_rack_index_pick(&f.c, &w, &out);
		ASSERT_EQ(out.n, 1u);
		vh_rack_index_note_request(&f.c, out.rack[0]);
		asked.insert(out.rack[0]);
	}
	EXPECT_GT(asked.size(), 1u);
	EXPECT_LE(vh_rack_index_bytes(&f.c), 96u * 256);
	vh_rack_index_remove(&f.c, *asked.begin());
	for (uint64_t s = 0; s < 500; s++) {
		w.seed = s;
		vh_rack_index_pick(&f.c, &w, &out);
		ASSERT_NE(out.rack[0], *asked.begin());
	}
}

/* With 18 times the racks, a pick examines at most 6 times as many entries. */
TEST(RackIndex, CostGrowsSublinearly)
{
	double mean[2];
	size_t racks[2] = { 50, 900 };

	for (int i = 0; i < 2; i++) {
		fleet f(6, racks[i]);
		std::mt19937 rng(6);
		uint64_t sum = 0;

		for (int k = 0; k < 2000; k++) {
			struct vh_pick_request w = random_request(rng);
			struct vh_pick out;

			w.k = 2;
			vh_rack_index_pick(&f.c, &w, &out);
			sum += out.examined;
		}
		mean[i] = sum / 2000.0;
	}
	EXPECT_LE(mean[1], 6 * mean[0]) << "18 times the racks";
	EXPECT_LE(mean[1], 100);
}
