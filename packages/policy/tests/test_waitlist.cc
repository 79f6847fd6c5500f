#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "vh/waitlist.h"
}

static const int64_t now0 = 1000000;

static struct vh_demand demand(uint64_t id, uint32_t team, uint64_t share,
			       uint32_t cpu)
{
	struct vh_demand d = {};

	d.id = id;
	d.team = team;
	d.share = share;
	d.step = 1000;
	d.due = UINT64_MAX;
	d.accepted_ms = now0;
	d.want.size = { { cpu, cpu, 0, 0, 0 } };
	d.want.cls = VH_CLASS_BATCH;
	d.want.region = UINT32_MAX;
	return d;
}

static std::vector<struct vh_worker_forecast> rack(size_t n, uint32_t cpu_free)
{
	std::vector<struct vh_worker_forecast> r(n);

	for (auto &l : r) {
		l = {};
		l.worker.capacity = { { 16000, 65536, 0, 8, 64 } };
		l.worker.free = { { cpu_free, 65536, 0, 8, 64 } };
		l.worker.usable = true;
	}
	return r;
}

static struct vh_waitlist_decision
admit(struct vh_waitlist *w, const struct vh_demand &d,
      std::vector<struct vh_worker_forecast> &r, int64_t now)
{
	struct vh_waitlist_decision out;

	vh_waitlist_admit(w, &d, r.data(), r.size(), now, &out);
	if (out.result == VH_WAITLIST_START) {
		EXPECT_TRUE(vh_res_sub(&r[out.place.index].worker.free,
				       &d.want.size));
	}
	return out;
}

TEST(Waitlist, OrderTable)
{
	struct vh_demand a, b;
	auto before = [&](int64_t now) {
		EXPECT_NE(vh_demand_before(&a, &b, now),
			  vh_demand_before(&b, &a, now));
		return vh_demand_before(&a, &b, now);
	};

	a = demand(1, 1, 50, 1000);
	b = demand(2, 2, 60, 1000);
	EXPECT_TRUE(before(now0)) << "least share first";
	b.want.cls = VH_CLASS_URGENT;
	EXPECT_FALSE(before(now0)) << "urgent first";
	b.want.cls = VH_CLASS_SERVICE;
	b.due = 70;
	EXPECT_FALSE(before(now0)) << "a service below its due share";
	b.due = 60;
	EXPECT_TRUE(before(now0)) << "a service at its due share";
	b = demand(2, 1, 50, 1000);
	b.priority = 1;
	EXPECT_FALSE(before(now0)) << "priority within a team";
	a.accepted_ms -= 120000;
	EXPECT_TRUE(before(now0)) << "ageing within a team";
	b.priority = 9;
	a.accepted_ms -= 86400000;
	EXPECT_FALSE(before(now0)) << "ageing has a bound";
}

TEST(Waitlist, FreeRoomGoesToTheFirstInOrder)
{
	struct vh_waitlist w = {};
	auto r = rack(1, 0);
	struct vh_demand low_share = demand(1, 1, 10, 4000);
	struct vh_demand high_share = demand(2, 2, 90, 4000);
	struct vh_waitlist_decision out;

	EXPECT_EQ(admit(&w, low_share, r, now0).result, VH_WAITLIST_NO_ROOM);
	EXPECT_EQ(admit(&w, high_share, r, now0).result, VH_WAITLIST_NO_ROOM);
	r[0].worker.free.v[VH_CPU] = 4000;
	out = admit(&w, high_share, r, now0 + 100);
	EXPECT_EQ(out.result, VH_WAITLIST_NOT_FIRST);
	EXPECT_EQ(out.before, 1u);
	EXPECT_EQ(out.first_team, 1u);
	EXPECT_EQ(admit(&w, low_share, r, now0 + 200).result,
		  VH_WAITLIST_START);
	r[0].worker.free.v[VH_CPU] = 4000;
	EXPECT_EQ(admit(&w, high_share, r, now0 + 300).result,
		  VH_WAITLIST_START);
	EXPECT_EQ(w.n, 0u);
}

TEST(Waitlist, UnrenewedDemandExpires)
{
	struct vh_waitlist w = {};
	auto r = rack(1, 0);

	admit(&w, demand(1, 1, 10, 4000), r, now0);
	r[0].worker.free.v[VH_CPU] = 4000;
	EXPECT_EQ(admit(&w, demand(2, 2, 90, 4000), r, now0 + 100).result,
		  VH_WAITLIST_NOT_FIRST);
	EXPECT_EQ(admit(&w, demand(2, 2, 90, 4000), r,
			now0 + VH_DEMAND_TTL_MS + 1)
			  .result,
		  VH_WAITLIST_START);
}

TEST(Waitlist, DeadlineAndNeverFits)
{
	struct vh_waitlist w = {};
	auto r = rack(2, 16000);
	struct vh_demand d = demand(1, 1, 10, 20000);

	EXPECT_EQ(admit(&w, d, r, now0).result, VH_WAITLIST_NEVER_FITS);
	d = demand(1, 1, 10, 1000);
	d.deadline_ms = now0 - 1;
	EXPECT_EQ(admit(&w, d, r, now0).result, VH_WAITLIST_DEADLINE);
	EXPECT_EQ(w.n, 0u);
}

/* Checks that, after @x has started on worker @at, there is still room for the
 * first in order of the demands that precede @x and could have started in its
 * place. */
static void check_first(std::vector<struct vh_demand> &all,
			const struct vh_demand &x,
			const std::vector<struct vh_worker_forecast> &r,
			size_t at)
{
	auto with = r, after = r;
	const struct vh_demand *first = nullptr;
	struct vh_waitlist w = {};
	struct vh_waitlist_decision out;

	vh_res_add(&with[at].worker.free, &x.want.size);
	for (auto &y : all) {
		struct vh_waitlist alone = {};
		auto r2 = with;

		if (admit(&alone, y, r2, now0).result == VH_WAITLIST_START &&
		    (!first || vh_demand_before(&y, first, now0)))
			first = &y;
	}
	if (!first || !vh_demand_before(first, &x, now0))
		return;
	out = admit(&w, *first, after, now0);
	EXPECT_EQ(out.result, VH_WAITLIST_START)
		<< first->id << " before " << x.id;
}

/*
 * A demand that starts leaves room for the first of those that precede it and
 * could have started. As long as any waiting demand fits, one is admitted.
 */
TEST(Waitlist, NoShareInversionAndWorkConserving)
{
	for (unsigned int seed = 1; seed <= 300; seed++) {
		std::mt19937 rng(seed);
		struct vh_waitlist w = {};
		auto r = rack(4, 0);
		std::vector<struct vh_demand> all;
		bool started = true;

		for (int i = 0; i < 40; i++) {
			all.push_back(demand(i + 1, rng() % 5, 0,
					     500 + rng() % 9000));
			all.back().share = 1000 * (all.back().team + 1);
			all.back().priority = rng() % 3;
			admit(&w, all.back(), r, now0);
		}
		for (auto &l : r)
			l.worker.free.v[VH_CPU] = rng() % 16000;
		while (started) {
			started = false;
			std::shuffle(all.begin(), all.end(), rng);
			for (size_t i = 0; i < all.size() && !started; i++) {
				struct vh_waitlist_decision out =
					admit(&w, all[i], r, now0);
				struct vh_demand x = all[i];

				started = out.result == VH_WAITLIST_START;
				if (!started)
					continue;
				all.erase(all.begin() + i);
				check_first(all, x, r, out.place.index);
				for (auto &y : all) {
					if (y.team == x.team)
						y.share += x.step;
				}
			}
		}
		for (auto &y : all) {
			struct vh_place_result p;

			for (auto &l : r) {
				vh_place(&y.want, &l.worker, 1, &p);
				EXPECT_NE(p.reason, VH_PLACE_OK) << seed;
			}
		}
	}
}

/* Time until a task that needs a whole worker starts among a stream of small
 * tasks; -1 if it did not start. */
static int64_t large_task_starts_after(bool may_reserve)
{
	struct vh_waitlist w = {};
	auto r = rack(2, 0);
	struct vh_demand large = demand(1, 1, 10, 16000);

	large.reserve = true;
	int64_t ends[2][4];
	std::vector<struct vh_demand> small;
	uint64_t next = 100;

	for (int i = 0; i < 2; i++) {
		for (int s = 0; s < 4; s++)
			ends[i][s] = now0 + 500 * (s + 1) + 250 * i;
	}
	for (int64_t now = now0; now < now0 + 120000; now += 250) {
		if (!may_reserve)
			large.accepted_ms = now;
		for (int i = 0; i < 2; i++) {
			std::sort(ends[i], ends[i] + 4);
			for (int s = 0; s < 4; s++) {
				r[i].release_ms[s] = ends[i][s];
				if (ends[i][s] && ends[i][s] <= now) {
					r[i].worker.free.v[VH_CPU] += 4000;
					ends[i][s] = 0;
				}
			}
		}
		if (admit(&w, large, r, now).result == VH_WAITLIST_START)
			return now - now0;
		while (small.size() < 8) {
			small.push_back(demand(next++, 2, 5, 4000));
			small.back().accepted_ms = now;
			small.back().run_ms = 2000;
		}
		for (size_t k = 0; k < small.size();) {
			struct vh_waitlist_decision out =
				admit(&w, small[k], r, now);

			if (out.result != VH_WAITLIST_START) {
				k++;
				continue;
			}
			small.erase(small.begin() + k);
			*std::find(ends[out.place.index],
				   ends[out.place.index] + 4, 0) = now + 2000;
		}
	}
	return -1;
}

TEST(Waitlist, LargeTaskIsNotStarvedBySmallOnes)
{
	int64_t waited = large_task_starts_after(true);

	EXPECT_GE(waited, 0);
	EXPECT_LE(waited, VH_RESERVE_AFTER_MS + 3000);
	EXPECT_EQ(large_task_starts_after(false), -1)
		<< "without the reservation it waits indefinitely";
}

TEST(Waitlist, RemovesManyDemandsAtOnce)
{
	struct vh_waitlist w = {};
	auto r = rack(1, 0);
	std::vector<uint64_t> ids;

	for (uint64_t i = 1; i <= VH_WAITLIST_MAX + 10; i++)
		admit(&w, demand(i, i % 7, i, 1000), r, now0);
	EXPECT_EQ(w.n, (size_t)VH_WAITLIST_MAX);
	EXPECT_EQ(w.dropped, 10u);
	for (uint64_t i = 1; i <= 10000; i++) {
		if (i != 77)
			ids.push_back(i);
	}
	vh_waitlist_remove_many(&w, ids.data(), ids.size());
	ASSERT_EQ(w.n, 1u);
	EXPECT_EQ(w.items[0].demand.id, 77u);
	vh_waitlist_remove(&w, 77);
	EXPECT_EQ(w.n, 0u);
}
