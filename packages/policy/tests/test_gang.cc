#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "vh/gang.h"
}

static const uint32_t n_racks = 6, n_workers = 4;

struct running {
	uint32_t rack, worker;
	struct vh_res size;
	int64_t ends_ms;
};

/*
 * Simulates racks with accelerators, gangs at their homes and a stream of small
 * tasks. Messages between homes and racks are lost at random. Without
 * @total_order, racks with odd numbers order the gangs in reverse.
 */
struct cell {
	std::mt19937 rng;
	std::vector<struct vh_gang_table> tables;
	std::vector<std::vector<struct vh_candidate>> racks;
	std::vector<struct vh_gang> gangs;
	std::vector<int64_t> started;
	std::vector<running> runs;
	bool subtract_holds = true;
	bool total_order = true;
	int64_t now = 1000000;

	explicit cell(unsigned int seed) : rng(seed), tables(n_racks)
	{
		struct vh_candidate c = {};

		c.capacity = { { 16000, 65536, 4, 0, 0 } };
		c.free = c.capacity;
		c.usable = true;
		racks.assign(n_racks,
			     std::vector<struct vh_candidate>(n_workers, c));
	}
	void add_gang(uint32_t tasks, uint32_t accels)
	{
		struct vh_gang_ticket t = { (int64_t)gangs.size(),
					    gangs.size() + 1 };
		struct vh_place_request w = {};
		struct vh_gang g;

		w.size = { { 1000, 1000, accels, 0, 0 } };
		w.cls = VH_CLASS_BATCH;
		w.region = UINT32_MAX;
		vh_gang_init(&g, &t, &w, tasks, now);
		gangs.push_back(g);
		started.push_back(0);
	}
	struct vh_gang_ticket ticket_at(const struct vh_gang &g, uint32_t rack)
	{
		struct vh_gang_ticket t = g.ticket;

		if (!total_order && rack % 2)
			t.accepted_wall_ms = -t.accepted_wall_ms;
		return t;
	}
	bool message_lost()
	{
		return rng() % 20 == 0;
	}
	void commit(uint32_t rack, uint32_t worker, const struct vh_res &size,
		    int64_t run_ms)
	{
		ASSERT_TRUE(vh_res_sub(&racks[rack][worker].free, &size));
		runs.push_back({ rack, worker, size, now + run_ms });
	}
	/* Checks that each worker has room for all its holds together. */
	void check()
	{
		for (uint32_t r = 0; r < n_racks; r++) {
			auto free = racks[r];

			vh_gang_expire(&tables[r], now);
			for (size_t i = 0; i < tables[r].n; i++) {
				auto &h = tables[r].holds[i];

				ASSERT_TRUE(vh_res_sub(&free[h.worker].free,
						       &h.size));
			}
		}
	}
	void end_runs()
	{
		for (size_t i = 0; i < runs.size();) {
			if (runs[i].ends_ms > now) {
				i++;
				continue;
			}
			vh_res_add(&racks[runs[i].rack][runs[i].worker].free,
				   &runs[i].size);
			runs[i] = runs.back();
			runs.pop_back();
		}
	}
	void small_tasks()
	{
		for (int k = 0; k < 30; k++) {
			uint32_t r = rng() % n_racks;
			auto seen = racks[r];
			struct vh_place_request w = {};
			struct vh_place_result out;

			w.size = { { 500, 500, 1, 0, 0 } };
			w.region = UINT32_MAX;
			if (subtract_holds)
				vh_gang_assign(&tables[r], racks[r].data(),
					       n_workers, now);
			if (subtract_holds)
				vh_gang_subtract_holds(&tables[r], seen.data(),
						       seen.size(), 0, now);
			vh_place(&w, seen.data(), seen.size(), &out);
			if (out.reason == VH_PLACE_OK)
				commit(r, out.index, w.size,
				       1000 + rng() % 4000);
		}
	}
	void request_holds(struct vh_gang &g)
	{
		uint32_t order[n_racks], room[n_racks];

		for (uint32_t r = 0; r < n_racks; r++) {
			order[r] = r;
			room[r] = n_workers * (4 / g.want.size.v[VH_ACCEL]);
		}
		std::shuffle(order, order + n_racks, rng);
		vh_gang_plan(&g, order, room, n_racks);
		for (size_t i = 0; i < g.n_parts; i++) {
			uint32_t r = g.parts[i].rack;
			struct vh_gang_request a = {};
			uint32_t held;

			a.ticket = ticket_at(g, r);
			a.want = g.want;
			a.tasks = g.parts[i].wanted;
			a.drain = g.parts[i].drain;
			if (message_lost())
				continue;
			held = vh_gang_hold(&tables[r], &a, racks[r].data(),
					    n_workers, now);
			if (!message_lost())
				vh_gang_hold_reply(&g, r, held, now, now);
			if (g.state != VH_GANG_ACQUIRING)
				break;
		}
	}
	void confirm(struct vh_gang &g)
	{
		for (size_t i = 0; i < g.n_parts; i++) {
			auto &p = g.parts[i];
			struct vh_gang_ticket t = ticket_at(g, p.rack);

			if (p.held && !p.confirmed && !message_lost())
				vh_gang_confirm_reply(
					&g, p.rack,
					vh_gang_confirm(&tables[p.rack], &t,
							p.held, now),
					now);
		}
	}
	void start(struct vh_gang &g, int64_t run_ms)
	{
		uint32_t n = 0;

		for (size_t i = 0; i < g.n_parts; i++) {
			uint32_t r = g.parts[i].rack;
			struct vh_gang_ticket t = ticket_at(g, r);

			for (uint32_t k = 0; k < g.parts[i].held; k++) {
				uint32_t w = vh_gang_start(&tables[r], &t);

				ASSERT_NE(w, UINT32_MAX);
				commit(r, w, g.want.size, run_ms);
				n++;
			}
			vh_gang_release(&tables[r], &t);
		}
		EXPECT_EQ(n, g.tasks) << "all or nothing";
	}
	void step(int64_t run_ms)
	{
		now += 100;
		end_runs();
		for (size_t i = 0; i < gangs.size(); i++) {
			auto &g = gangs[i];
			bool due = now >= g.next_ms;

			if (started[i])
				continue;
			switch (vh_gang_tick(&g, now)) {
			case VH_GANG_ACQUIRING:
				if (due)
					request_holds(g);
				break;
			case VH_GANG_CONFIRMING:
				confirm(g);
				break;
			case VH_GANG_STARTING:
				start(g, run_ms);
				started[i] = now;
				break;
			case VH_GANG_FAILED:
				for (uint32_t r = 0; r < n_racks; r++) {
					struct vh_gang_ticket t =
						ticket_at(g, r);

					vh_gang_release(&tables[r], &t);
				}
				break;
			}
		}
		small_tasks();
		check();
	}
	bool run_until_started(int64_t limit_ms, int64_t run_ms)
	{
		int64_t end = now + limit_ms;

		while (now < end) {
			step(run_ms);
			if (std::all_of(started.begin(), started.end(),
					[](int64_t s) { return s != 0; }))
				return true;
		}
		return false;
	}
};

/* Each gang needs 60% of the accelerators, so only one at a time can run. */
TEST(Gang, TwoLargeGangsStartAmongSmallTasks)
{
	for (unsigned int seed = 1; seed <= 40; seed++) {
		cell c(seed);

		for (int i = 0; i < 50; i++)
			c.step(0);
		c.add_gang(58, 1);
		c.add_gang(58, 1);
		EXPECT_TRUE(c.run_until_started(60000, 5000)) << seed;
	}
}

TEST(Gang, ManyGangsDoNotDeadlock)
{
	for (unsigned int seed = 1; seed <= 10; seed++) {
		cell c(seed);

		for (int i = 0; i < 8; i++)
			c.add_gang(8 + c.rng() % 12, 1 + c.rng() % 4);
		EXPECT_TRUE(c.run_until_started(240000, 3000)) << seed;
	}
}

/* The table is discarded after each request, so that no hold lasts. Then small
 * tasks take what is released, and the gang never gets a whole rack. */
TEST(Gang, SmallTasksStarveAGangWithoutHolds)
{
	cell c(1);
	struct vh_gang_request a = {};

	a.ticket = { 1, 1 };
	a.want.size = { { 1000, 1000, 4, 0, 0 } };
	a.want.region = UINT32_MAX;
	a.tasks = n_workers;
	for (int i = 0; i < 600; i++) {
		struct vh_gang_table t = {};

		c.now += 100;
		c.end_runs();
		c.small_tasks();
		if (i > 20) {
			EXPECT_LT(vh_gang_hold(&t, &a, c.racks[0].data(),
					       n_workers, c.now),
				  n_workers);
		}
	}
}

/* Shows that the total order is needed: without it, most runs leave a gang
 * waiting. */
TEST(Gang, GangsDeadlockWithoutATotalOrder)
{
	int stuck = 0;

	for (unsigned int seed = 1; seed <= 10; seed++) {
		cell c(seed);

		c.total_order = false;
		for (int i = 0; i < 50; i++)
			c.step(0);
		c.add_gang(58, 1);
		c.add_gang(58, 1);
		stuck += !c.run_until_started(60000, 5000);
	}
	EXPECT_GT(stuck, 5);
}

TEST(Gang, OlderGangRevokesOnlyUnconfirmedHolds)
{
	cell c(1);
	struct vh_gang_table t = {};
	struct vh_gang_request young = {}, old = {};

	young.ticket = { 200, 2 };
	old.ticket = { 100, 1 };
	young.want.size = old.want.size = { { 1000, 1000, 4, 0, 0 } };
	young.want.region = old.want.region = UINT32_MAX;
	young.tasks = old.tasks = n_workers;
	auto *w = c.racks[0].data();

	EXPECT_EQ(vh_gang_hold(&t, &young, w, n_workers, 0), n_workers);
	EXPECT_EQ(vh_gang_hold(&t, &old, w, n_workers, 0), n_workers);
	EXPECT_EQ(t.revoked, n_workers);
	EXPECT_EQ(vh_gang_hold(&t, &young, w, n_workers, 0), 0u);
	EXPECT_FALSE(vh_gang_confirm(&t, &young.ticket, n_workers, 0));
	vh_gang_release(&t, &old.ticket);
	EXPECT_EQ(vh_gang_hold(&t, &young, w, n_workers, 0), n_workers);
	EXPECT_TRUE(vh_gang_confirm(&t, &young.ticket, n_workers, 0));
	EXPECT_EQ(vh_gang_hold(&t, &old, w, n_workers, 0), 0u);
	EXPECT_EQ(t.n, n_workers);
	vh_gang_expire(&t, VH_GANG_HOLD_TTL_MS);
	EXPECT_EQ(t.n, 0u);
	EXPECT_EQ(vh_gang_hold(&t, &old, w, n_workers, VH_GANG_HOLD_TTL_MS),
		  n_workers);
}

TEST(Gang, BackfillsOnlyTasksThatEndBefore)
{
	cell c(1);
	struct vh_gang_table t = {};
	struct vh_gang_request a = {};

	a.ticket = { 1, 1 };
	a.want.size = { { 1000, 1000, 4, 0, 0 } };
	a.want.region = UINT32_MAX;
	a.tasks = 1;
	a.start_ms = 10000;
	vh_gang_hold(&t, &a, c.racks[0].data(), n_workers, 0);
	for (int64_t run : { 0, 2000, 20000 }) {
		auto seen = c.racks[0];
		uint32_t accels = 0;

		vh_gang_subtract_holds(&t, seen.data(), n_workers, run, 0);
		for (auto &w : seen)
			accels += w.free.v[VH_ACCEL];
		EXPECT_EQ(accels, run == 2000 ? 16u : 12u) << run;
	}
}
