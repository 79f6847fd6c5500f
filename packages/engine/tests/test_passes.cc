// The cost of scheduling passes in a large cell. No wall-clock time is judged:
// a pass costs simulated time for each worker that it examines.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "vh/engine.h"
}

namespace
{

// Of a node with half a processor, which a pass shares with the calls to
// workers; engine_bench_engine measures about 0.05 us on a whole one.
constexpr double EXAMINE_US = 0.2;
constexpr int64_t TICK_MS = 20;
constexpr int64_t CPU_MILLI = 64000;

struct Call {
	int64_t at_ms;
	uint64_t job;
	std::vector<std::string> ids;
};

struct Started {
	int64_t ends_ms;
	int worker;
	eng_task_ref task;
};

struct Cell {
	int n_workers;
	int64_t now = 1000;
	double late_us = 0; // passes have used so much beyond @now
	engine *e = nullptr;
	std::vector<std::string> ids;
	std::vector<int64_t> last_end, acknowledged;
	std::vector<std::vector<eng_finished_task>> ends;
	std::vector<Started> starting, running;
	std::vector<Call> calls;
	std::vector<uint64_t> costs; // of the passes, in examined workers
	std::vector<std::string> placements;
	int64_t elapsed_us = 0, us_per_step = 0;
	uint64_t next_job = 0, n_started = 0;
	int calls_max;

	explicit Cell(int n)
	    : n_workers(n), last_end((size_t)n), acknowledged((size_t)n),
	      ends((size_t)n), calls_max(n / 10)
	{
		eng_settings s = {};
		eng_callbacks c = {};

		s.fence = 1;
		s.lease_ms = 5000;
		s.lease_max_ms = 6000;
		s.stop_ms = 900;
		c.start = [](void *ctx, const eng_start_request *r) {
			((Cell *)ctx)->on_start(r);
		};
		c.stop = [](void *, const eng_stop_request *) {};
		c.hold = [](void *ctx, const eng_hold_request *r) {
			((Cell *)ctx)->on_hold(r);
		};
		c.advise = [](void *ctx, const eng_advice_request *r) {
			return ((Cell *)ctx)->on_advise(r);
		};
		c.advice_available = [](void *ctx, double) {
			return (int)((Cell *)ctx)->calls.size() <
			       ((Cell *)ctx)->calls_max;
		};
		c.elapsed_us = [](void *ctx) {
			Cell *cell = (Cell *)ctx;

			return cell->elapsed_us += cell->us_per_step;
		};
		c.ctx = this;
		e = eng_new(&s, &c, now);
		for (int i = 0; i < n; i++)
			list_worker(i);
		eng_recovery_done(e, now);
	}

	~Cell()
	{
		eng_free(e);
	}

	void list_worker(int i, bool draining = false)
	{
		eng_worker_info info = {};
		std::string address = "10.0.0.1:" + std::to_string(i + 1);

		if (ids.size() == (size_t)i)
			ids.push_back("w" + std::to_string(i));
		info.id = vh_slice_str(ids[(size_t)i].c_str());
		info.draining = draining;
		info.service = vh_slice_str("svc");
		info.address = vh_slice_str(address.c_str());
		info.zone = vh_slice_str("z");
		info.capacity = { CPU_MILLI, 131072, 0 };
		info.born_ms = 1;
		eng_worker_listed(e, &info, now);
		report(i);
	}

	static int worker_of(struct vh_slice id)
	{
		return std::stoi(std::string(id.data + 1, id.len - 1));
	}

	void on_start(const eng_start_request *r)
	{
		int64_t ms = 500 + (int64_t)(r->task.job * 7919 % 4000) * 4;

		starting.push_back(
			{ now + ms, worker_of(r->boot.worker), r->task });
		placements.push_back(
			std::to_string(r->task.job) + "/" +
			std::to_string(r->task.index) + " " +
			std::string(r->boot.worker.data, r->boot.worker.len));
		n_started++;
	}

	void on_hold(const eng_hold_request *r)
	{
		auto &x = ends[(size_t)worker_of(r->boot.worker)];

		while (!x.empty() && x.front().number <= r->acknowledged)
			x.erase(x.begin());
	}

	bool on_advise(const eng_advice_request *r)
	{
		Call c = { now + (int64_t)r->cost_ms + TICK_MS, r->job, {} };

		if ((int)calls.size() >= calls_max)
			return false;
		for (size_t i = 0; i < r->n; i++)
			c.ids.emplace_back(r->workers[i].data,
					   r->workers[i].len);
		calls.push_back(c);
		return true;
	}

	void answer(const Call &c)
	{
		std::vector<struct vh_slice> requested;
		std::vector<eng_advised_worker> approved;

		for (auto &id : c.ids) {
			struct vh_slice s = vh_slice_str(id.c_str());

			requested.push_back(s);
			if (vh_slice_hash(s, c.job) % 100 < 40)
				approved.push_back({ s, s });
		}
		eng_advice_received(e, c.job, 0, requested.data(),
				    requested.size(), approved.data(),
				    approved.size(), now, 2500, now);
	}

	void report(int i)
	{
		struct eng_worker_report r = {};
		std::vector<eng_running_task> run;

		for (auto &x : by_worker[i])
			run.push_back({ x, {} });
		r.sent_ms = now - TICK_MS;
		r.clock_ms = now;
		r.born_ms = 1;
		r.running = run.data();
		r.n_running = run.size();
		r.finished = ends[(size_t)i].data();
		r.n_finished = ends[(size_t)i].size();
		eng_worker_report(e, vh_slice_str(ids[(size_t)i].c_str()), &r,
				  now);
	}

	void submit(uint32_t n_tasks, int64_t cpu, double decide_ms, bool gang,
		    uint32_t priority)
	{
		eng_step_spec step = {};
		eng_job_spec spec = {};
		vh_buf bytes = {};

		step.n_tasks = n_tasks;
		step.need = { cpu, 4000, 0 };
		step.estimate_ms = 8000;
		step.gang = gang;
		spec.id = ++next_job;
		spec.queue = vh_slice_str(gang ? "wide" : "batch");
		spec.service = vh_slice_str("svc");
		spec.team = vh_slice_str("team");
		spec.priority = priority;
		spec.max_attempts = 3;
		spec.stretch = 2;
		spec.target_ms = 1000;
		spec.advice = { decide_ms > 0, decide_ms, decide_ms / 70,
				2500 };
		spec.received_ms = now;
		spec.steps = &step;
		spec.n_steps = 1;
		eng_job_pack(&spec, &bytes);
		eng_job_add(e, eng_job_unpack(vh_buf_slice(&bytes)), now, now);
		vh_buf_finish(&bytes);
	}

	void end_runs()
	{
		for (auto &s : starting) {
			by_worker[s.worker].push_back(s.task);
			running.push_back(s);
			eng_start_reply(
				e, vh_slice_str(ids[(size_t)s.worker].c_str()),
				0, s.task, ENG_REPLY_OK, now);
		}
		starting.clear();
		for (size_t i = running.size(); i-- > 0;) {
			Started s = running[i];
			eng_finished_task f = {};

			if (s.ends_ms > now)
				continue;
			running.erase(running.begin() + (long)i);
			auto &x = by_worker[s.worker];
			x.erase(std::find_if(
				x.begin(), x.end(), [&](const eng_task_ref &t) {
					return !memcmp(&t, &s.task, sizeof(t));
				}));
			f.number = ++last_end[(size_t)s.worker];
			f.task = s.task;
			f.how = ENG_END_DONE;
			ends[(size_t)s.worker].push_back(f);
		}
	}

	void store()
	{
		eng_record *records = nullptr;
		size_t n = 0;
		uint64_t batch = eng_flush(e, &records, &n);

		if (!batch)
			return;
		eng_records_free(records, n);
		eng_batch_stored(e, batch, now);
	}

	uint64_t examined()
	{
		struct eng_stats s;

		eng_stats(e, &s);
		return s.workers_examined;
	}

	// A pass, unless the simulated processor is still busy with the last.
	void tick()
	{
		uint64_t before = examined();

		now += TICK_MS;
		late_us = std::max(0.0, late_us - TICK_MS * 1000.0);
		for (size_t i = calls.size(); i-- > 0;) {
			Call c = calls[i];

			if (c.at_ms > now)
				continue;
			calls.erase(calls.begin() + (long)i);
			answer(c);
		}
		end_runs();
		for (int i = 0; i < n_workers; i++)
			if ((now / TICK_MS + i) % 10 == 0)
				report(i);
		if (late_us > 0)
			return;
		eng_schedule(e, now);
		store();
		costs.push_back(examined() - before);
		late_us += (double)costs.back() * EXAMINE_US;
	}

	// Jobs at a rate that takes @load of the processors.
	void load_for(int64_t ms, double load)
	{
		constexpr double MEAN_RUN_S = 8.5;
		double cpu = load * (double)n_workers * (double)CPU_MILLI /
			     MEAN_RUN_S * TICK_MS / 1000;

		for (int64_t end = now + ms; now < end;) {
			for (due += cpu; due > 0;) {
				int kind = (int)(next_job % 10);

				if (!kind) {
					submit(20, 18000, 540, true, 1);
					due -= 20 * 18000;
				} else if (kind < 4) {
					submit(25, 6900, 80, false, 2);
					due -= 25 * 6900;
				} else {
					submit(3, 9900, 7, false, 0);
					due -= 3 * 9900;
				}
			}
			tick();
		}
	}

	// Batch jobs for nearly all of the cell, and 14,000 tasks beyond it.
	void fill()
	{
		int64_t cpu = (int64_t)n_workers * CPU_MILLI * 9 / 10;

		for (; cpu > 0; cpu -= 25 * 6900)
			submit(25, 6900, 80, false, 2);
		for (int n = 0; n < 14000; n += 25)
			submit(25, 6900, 80, false, 2);
	}

	double cpu_used()
	{
		struct eng_stats s;

		eng_stats(e, &s);
		return (double)s.cpu_used / (double)s.cpu_capacity;
	}

	std::map<int, std::vector<eng_task_ref>> by_worker;
	double due = 0;
};

// With 3,000 workers a pass examined each worker for each waiting step, and the
// owner served 0.07 of the work.
TEST(Passes, PlacementFallsBehindInALargeCell)
{
	Cell cell(3000);

	cell.fill();
	cell.load_for(8000, 1.0);
	EXPECT_GE(cell.cpu_used(), 0.85);
	// A pass in each tick, but for a few.
	EXPECT_GE(cell.costs.size(), 8000u / TICK_MS * 9 / 10);
}

// A pass over a full cell examined all of its workers for each waiting step.
TEST(Passes, AFullCellIsExaminedForEachWaitingStep)
{
	Cell cell(3000);

	for (int i = 0; i < 3000; i++)
		cell.submit(4, 16000, 0, false, 1);
	cell.tick();
	ASSERT_GT(cell.cpu_used(), 0.99);
	for (int i = 0; i < 500; i++)
		cell.submit(3, 9900, i % 2 ? 7 : 0, false, 0);
	cell.late_us = 0;
	cell.tick();
	ASSERT_EQ(cell.costs.size(), 2u);
	// 500 steps, and each worker once for its starts and their replies.
	EXPECT_LE(cell.costs.back(), 5 * 3000u);
}

// Workers that drain have all of their room free, but a step must not look at
// each of them.
TEST(Passes, DrainingWorkersAreExaminedForEachWaitingStep)
{
	Cell cell(3000);

	for (int i = 0; i < 1000; i++)
		cell.list_worker(i, true);
	for (int i = 0; i < 2000; i++)
		cell.submit(4, 16000, 0, false, 1);
	cell.tick();
	ASSERT_GT(cell.cpu_used(), 0.66);
	for (int i = 0; i < 500; i++)
		cell.submit(3, 9900, i % 2 ? 7 : 0, false, 0);
	cell.late_us = 0;
	cell.tick();
	ASSERT_EQ(cell.costs.size(), 2u);
	EXPECT_LE(cell.costs.back(), 5 * 3000u);
}

// Passes that were cut short began with the same steps each time, or left a step
// that had become urgent for the end.
TEST(Passes, AnInterruptedPassForgetsStepsOrPassesOverUrgentOnes)
{
	Cell cell(100);
	int calls = 1;

	cell.us_per_step = 1000;
	for (int i = 0; i < 60; i++)
		cell.submit(1, 1000, 0, false, 2);
	cell.now += TICK_MS;
	EXPECT_FALSE(eng_schedule(cell.e, cell.now));
	cell.submit(1, 1000, 0, false, 0);
	EXPECT_FALSE(eng_schedule(cell.e, cell.now));
	cell.store();
	EXPECT_NE(std::find_if(cell.placements.begin(), cell.placements.end(),
			       [](const std::string &p) {
				       return p.rfind("61/", 0) == 0;
			       }),
		  cell.placements.end());
	while (!eng_schedule(cell.e, cell.now))
		ASSERT_LT(calls++, 61);
	cell.store();
	EXPECT_EQ(cell.placements.size(), 61u);
	EXPECT_GT(calls, 5);
}

std::vector<std::string> placements_of(int n_workers)
{
	Cell cell(n_workers);

	cell.load_for(4000, 1.2);
	return cell.placements;
}

// The choice must not depend on the addresses of workers and steps.
TEST(Passes, TheSameLoadIsPlacedElsewhere)
{
	std::vector<std::string> first = placements_of(900);

	EXPECT_GT(first.size(), 1000u);
	EXPECT_EQ(first, placements_of(900));
}

} // namespace
