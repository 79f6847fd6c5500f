#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "admission.h"
#include "key_trust.h"
}

namespace
{
struct vh_share one = { VH_SLICE("one"), 1 }, three = { VH_SLICE("three"), 3 };

struct vh_team team(const char *name, const struct vh_share *share,
		    const struct vh_limit *limit = nullptr)
{
	struct vh_team t = {};

	t.name = vh_slice_str(name);
	t.share = share;
	t.limit = limit;
	return t;
}
} // namespace

TEST(Admission, WaitingTeamsShareByWeight)
{
	struct vh_admission a;
	struct vh_team small = team("small", &one),
		       large = team("large", &three);
	std::vector<struct vh_admission_item> items(400);
	std::map<std::string, int> admitted;

	vh_admission_init(&a, 1, 1000);
	for (size_t i = 0; i < items.size(); i++)
		ASSERT_EQ(vh_admission_acquire(&a, i % 2 ? &small : &large,
					       VH_CLASS_BATCH, 0, &items[i]),
			  VH_OK);
	struct vh_admission_item *running = &items[0];
	for (int i = 0; i < 200; i++) {
		vh_admission_release(&a, running);
		running = vh_admission_next(&a);
		ASSERT_NE(running, nullptr);
		admitted[running->team->name]++;
		EXPECT_EQ(vh_admission_next(&a), nullptr) << "one at a time";
	}
	EXPECT_NEAR(admitted["large"], 150, 5);
	EXPECT_NEAR(admitted["small"], 50, 5);
	vh_admission_finish(&a);
}

TEST(Admission, UrgentGoesFirstAndBatchDoesNotStarve)
{
	struct vh_admission a;
	struct vh_team t = team("t", &one);
	std::vector<struct vh_admission_item> items(101);
	int urgent = 0;

	vh_admission_init(&a, 1, 1000);
	vh_admission_acquire(&a, &t, VH_CLASS_URGENT, 0, &items[100]);
	for (int i = 0; i < 100; i++)
		vh_admission_acquire(&a, &t,
				     i < 50 ? VH_CLASS_BATCH : VH_CLASS_URGENT,
				     0, &items[i]);
	struct vh_admission_item *running = &items[100];
	for (int i = 0; i < 40; i++) {
		vh_admission_release(&a, running);
		running = vh_admission_next(&a);
		urgent += running->queue_item.cls == VH_CLASS_URGENT;
	}
	/* Every eighth of the 40 requests is taken in reverse class order. */
	EXPECT_EQ(urgent, 35);
	vh_admission_finish(&a);
}

TEST(Admission, ShedsByClass)
{
	struct vh_admission a;
	struct vh_team t = team("t", &one);
	std::vector<struct vh_admission_item> items(64);
	size_t n = 0, taken[VH_CLASS_COUNT] = {};
	enum vh_class order[] = { VH_CLASS_BATCH, VH_CLASS_SERVICE,
				  VH_CLASS_URGENT };

	vh_admission_init(&a, 1, 20);
	vh_admission_acquire(&a, &t, VH_CLASS_BATCH, 0, &items[n++]);
	for (auto cls : order) {
		while (vh_admission_acquire(&a, &t, cls, 0, &items[n]) ==
		       VH_OK) {
			n++;
			taken[cls]++;
		}
	}
	EXPECT_EQ(taken[VH_CLASS_BATCH], 10u);
	EXPECT_EQ(taken[VH_CLASS_SERVICE], 5u);
	EXPECT_EQ(taken[VH_CLASS_URGENT], 5u);
	vh_admission_finish(&a);
}

TEST(Admission, EnforcesThisNodesShareOfLimits)
{
	struct vh_limit limit = {};
	struct vh_admission a;
	std::vector<struct vh_admission_item> items(64);

	limit.requests_per_s = 20;
	limit.concurrent_requests = 6;
	struct vh_team t = team("t", &one, &limit);
	vh_admission_init(&a, 100, 100);
	a.nodes = 2;
	size_t n = 0;
	while (vh_admission_acquire(&a, &t, VH_CLASS_BATCH, 0, &items[n]) ==
	       VH_OK)
		n++;
	EXPECT_EQ(n, 3u) << "half of the team's concurrency limit";
	for (size_t i = 0; i < n; i++)
		vh_admission_release(&a, &items[i]);
	size_t taken = n;
	for (int64_t now = 0; now <= 1010; now += 10) {
		if (vh_admission_acquire(&a, &t, VH_CLASS_BATCH, now,
					 &items[0]) == VH_OK) {
			vh_admission_release(&a, &items[0]);
			taken++;
		}
	}
	EXPECT_EQ(taken, 20u)
		<< "one second's burst plus one second at the rate";
	vh_admission_finish(&a);
}

TEST(KeyTrust, RefusesKeysInAMinorityPartition)
{
	const struct {
		size_t live_before, live;
		int64_t age_ms;
		bool trusted;
	} rows[] = {
		{ 7, 7, 4000, true },  /* fresh */
		{ 7, 1, 4000, true },  /* isolated, but reaches the log */
		{ 7, 7, 60000, true }, /* the log is down for all nodes */
		{ 7, 4, 60000, true },
		{ 7, 3, 60000, false }, /* minority side of a partition */
		{ 6, 3, 60000, false }, /* one of two equal halves */
		{ 7, 1, 60000, false }, /* isolated */
		{ 1, 1, 60000, true },	/* the only node */
	};

	for (auto &row : rows) {
		struct vh_key_trust t;

		vh_key_trust_init(&t, 5000);
		EXPECT_TRUE(vh_key_trust_update(&t, 0, row.live_before));
		EXPECT_EQ(vh_key_trust_update(&t, row.age_ms, row.live),
			  row.trusted)
			<< row.live_before << " " << row.live;
	}
}

TEST(KeyTrust, StaysUntrustedUntilTheLogIsReached)
{
	struct vh_key_trust t;

	vh_key_trust_init(&t, 5000);
	vh_key_trust_update(&t, 0, 7);
	EXPECT_FALSE(vh_key_trust_update(&t, 6000, 1));
	EXPECT_FALSE(vh_key_trust_update(&t, 7000, 7))
		<< "nothing was received from the log";
	EXPECT_TRUE(vh_key_trust_update(&t, 0, 7));
}
