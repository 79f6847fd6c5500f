// Order of placement at overload, compared with the usual order in the same
// simulation.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;
using engine_sim::TaskKey;

namespace
{

constexpr int WORKERS = 40, CLASSES = 3, TEAMS = 4, HOT_FACTOR = 6;
constexpr int64_t OVERLOAD_MS = 10000, TAKEOVER_MS = 8000, AFTER_MS = 12000;
constexpr double CELL_CORES = WORKERS * engine_sim::FULL_CAPACITY / 1000.0;

// Minimum shares of eng_floor.c, for each of 3 classes and 4 teams.
constexpr double CLASS_FLOOR = 0.15 / CLASSES, TEAM_FLOOR = 0.2 / TEAMS;

// Classes of jobs by priority: urgent steps, gangs, batch.
struct Class {
	double load_share; // of all work
	uint32_t n_tasks;
	int64_t cpu_min, cpu_max, min_ms, max_ms;
};

const Class classes[CLASSES] = {
	{ 0.2, 3, 1300, 2500, 850, 1000 },
	{ 0.35, 20, 2300, 4500, 3400, 6200 },
	{ 0.45, 25, 1000, 1800, 2300, 3400 },
};

struct Outcome {
	int64_t submitted_ms, end_ms;
	int team, job_class;
	bool in_time;
};

// 3 in 100 tasks take seven times as long, the same ones in each order. The
// tasks of a gang end together.
int64_t run_ms(const TaskKey &k, int64_t estimate_ms)
{
	std::mt19937_64 rng(k.job * 1000 + k.step * 100 + k.index);
	std::uniform_real_distribution<> u(0, 1);

	if (u(rng) < 0.03)
		return 7 * estimate_ms;
	return (int64_t)((0.6 + 0.8 * u(rng)) * (double)estimate_ms);
}

struct Cluster {
	Simulation sim;
	std::mt19937_64 rng;
	std::map<uint64_t, Outcome> jobs;
	std::set<uint64_t> open;
	uint64_t next = 1;
	bool shares;

	Cluster(uint64_t seed, bool overload_order, bool with_shares)
	    : sim(seed, Faults(), WORKERS), rng(seed), shares(with_shares)
	{
		sim.faults.fail_task = 0;
		sim.overload_order = overload_order;
		sim.advice_nodes = 10;
		sim.duration_ms = [this](const TaskKey &k,
					 int64_t estimate_ms) {
			TaskKey first = { k.job, k.step, 0 };

			return run_ms(sim.is_gang(k) ? first : k, estimate_ms);
		};
		for (int t = 0; shares && t < TEAMS; t++) {
			eng_team team = {};

			team.name = vh_slice_str(names[t]);
			team.weight = 7;
			sim.teams.push_back(team);
		}
		sim.take_over();
		sim.run_for(500, false);
	}

	double random01()
	{
		return std::uniform_real_distribution<>(0, 1)(rng);
	}

	int64_t between(int64_t min, int64_t max)
	{
		return min + (int64_t)(random01() * (double)(max - min));
	}

	void submit(int c, int team)
	{
		const Class &k = classes[c];
		eng_step_spec s =
			engine_sim::step(k.n_tasks,
					 between(k.cpu_min, k.cpu_max),
					 between(k.min_ms, k.max_ms));

		s.gang = c == 1;
		s.checkpoints = c == 2;
		sim.team = names[team];
		jobs[next] = { sim.now, -1, team, c, false };
		open.insert(next);
		sim.submit(next++, { s }, (uint32_t)c, true);
	}

	// Submits jobs of each class and team as they arrive within 10 ms.
	void submit_arrivals(double load, bool hot)
	{
		for (int c = 0; c < CLASSES; c++) {
			const Class &k = classes[c];
			double work = k.n_tasks *
				      (double)(k.cpu_min + k.cpu_max) / 2e3 *
				      (double)(k.min_ms + k.max_ms) / 2e3;
			double n =
				load * CELL_CORES * k.load_share / work / 100;
			int draws = hot ? TEAMS - 1 + HOT_FACTOR : TEAMS;

			for (; n > random01(); n--)
				submit(c,
				       std::max(0, (int)(random01() * draws) -
							   draws + TEAMS));
		}
	}

	int64_t due_ms(uint64_t id)
	{
		int64_t path = 0;

		eng_critical_paths_ms(sim.jobs[id].spec, &path);
		return jobs[id].submitted_ms + 2 * path + 1000;
	}

	void note_ends()
	{
		for (auto it = open.begin(); it != open.end();) {
			Outcome &o = jobs[*it];

			if (eng_job_status(sim.engine, *it) != ENG_COMPLETE) {
				++it;
				continue;
			}
			o.end_ms = sim.now;
			o.in_time = sim.now <= due_ms(*it);
			it = open.erase(it);
		}
	}

	void run(int64_t ms, double load, bool hot, int64_t takeover_ms = -1)
	{
		int64_t begin = sim.now;

		while (sim.now < begin + ms) {
			if (sim.now - begin == takeover_ms)
				sim.take_over();
			submit_arrivals(load, hot);
			sim.run_for(10, false);
			note_ends();
		}
	}

	const char *names[TEAMS] = { "hot", "a", "b", "c" };
};

struct Result {
	int64_t in_time = 0, valueless_calls = 0;
	int64_t recovery_s = 0; // until new jobs are in time again
	double class_work[CLASSES] = {}, team_work[TEAMS] = {}, work = 0;
	int overloads = 0, overload_ends = 0, reports = 0;
};

// Work started in the overload, after the first seconds, in core-ms.
void add_started_work(Cluster &c, int64_t from, int64_t to, Result *r)
{
	for (auto &s : c.sim.start_log) {
		const TaskKey &k = std::get<2>(s);
		const eng_step_spec &spec = c.sim.jobs[k.job].spec->steps[0];
		double work = (double)(spec.need.cpu_milli * spec.estimate_ms);

		if (std::get<0>(s) < from || std::get<0>(s) >= to)
			continue;
		r->work += work;
		r->class_work[c.jobs[k.job].job_class] += work;
		r->team_work[c.jobs[k.job].team] += work;
	}
}

// Calls for jobs that had no value any more.
int64_t count_valueless_calls(Cluster &c, bool all)
{
	int64_t n = 0;

	for (auto &[at, job, in_overload] : c.sim.advice_log) {
		int64_t from = c.jobs[job].submitted_ms;

		n += (all || in_overload) &&
		     at > from + 3 * (c.due_ms(job) - from);
	}
	return n;
}

// The first second after @end of whose jobs four in five are in time; one in
// eleven urgent jobs has a task that takes seven times as long.
int64_t recovery_s(Cluster &c, int64_t end)
{
	int64_t n[AFTER_MS / 1000] = {}, in_time[AFTER_MS / 1000] = {}, s = 0;

	for (auto &j : c.jobs) {
		int64_t at = (j.second.submitted_ms - end) / 1000;

		if (j.second.submitted_ms < end || at >= AFTER_MS / 1000)
			continue;
		n[at]++;
		in_time[at] += j.second.in_time;
	}
	while (s < AFTER_MS / 1000 && 5 * in_time[s] < 4 * n[s])
		s++;
	return s;
}

void expect_no_violations(const Cluster &c)
{
	for (auto &v : c.sim.violations)
		ADD_FAILURE() << v;
}

Result run_overload(uint64_t seed, bool overload_order, bool takeover)
{
	Cluster c(seed, overload_order, true);
	Result r;

	c.run(2000, 0.7, false);
	int64_t begin = c.sim.now;
	c.run(OVERLOAD_MS, 2.4, true, takeover ? TAKEOVER_MS : -1);
	int64_t end = c.sim.now;
	c.run(AFTER_MS + 6000, 0.6, false);
	for (auto &j : c.jobs)
		r.in_time += j.second.in_time && j.second.submitted_ms < end;
	r.recovery_s = recovery_s(c, end);
	r.valueless_calls = count_valueless_calls(c, !overload_order);
	add_started_work(c, begin + 2000, end, &r);
	r.overloads = c.sim.overloads;
	r.overload_ends = c.sim.overload_ends;
	r.reports = c.sim.waiting_reports;
	expect_no_violations(c);
	return r;
}

struct Overload : testing::TestWithParam<std::tuple<int, bool>> {
};

// One team submits six times its share, 2.4 times what the workers can run.
// The usual order starts what is about to be late, spends calls on jobs without
// value, and starves teams with few or wide jobs.
TEST_P(Overload, MoreJobsAreInTimeAndNoneIsShutOut)
{
	auto [seed, takeover] = GetParam();
	Result usual = run_overload((uint64_t)seed, false, takeover);
	Result r = run_overload((uint64_t)seed, true, takeover);

	EXPECT_GT(r.in_time, usual.in_time);
	EXPECT_EQ(r.valueless_calls, 0);
	EXPECT_GT(usual.valueless_calls, 0);
	EXPECT_LE(r.recovery_s, usual.recovery_s);
	EXPECT_GE(r.overloads, 1);
	EXPECT_GE(r.overload_ends, 1);
	EXPECT_GT(r.reports, 0);
	EXPECT_EQ(usual.overloads, 0);
	for (double w : r.class_work)
		EXPECT_GT(w, r.work * CLASS_FLOOR / 2);
	for (double w : r.team_work)
		EXPECT_GT(w, r.work * TEAM_FLOOR / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Overload,
			 testing::Combine(testing::Range(1, 3),
					  testing::Bool()));

// One team's urgent jobs alone are twice what the workers can run. Without
// minimum shares, the gangs and batch jobs of another would not start.
Result run_flood(uint64_t seed, bool overload_order)
{
	Cluster c(seed, overload_order, false);
	Result r;

	for (int i = 0; i < 800; i++) {
		for (int k = 0; k < 2 + i % 2; k++)
			c.submit(0, 0);
		if (i % 30 == 0)
			c.submit(1 + i / 30 % 2, 1);
		c.sim.run_for(10, false);
	}
	add_started_work(c, c.sim.now - 5000, c.sim.now, &r);
	expect_no_violations(c);
	return r;
}

TEST(OverloadFloor, AFloodOfUrgentJobsLeavesOthersTheirMinimum)
{
	for (uint64_t seed = 1; seed <= 2; seed++) {
		Result r = run_flood(seed, true);

		EXPECT_GT(r.class_work[1], r.work * CLASS_FLOOR / 2);
		EXPECT_GT(r.class_work[2], r.work * CLASS_FLOOR / 2);
		EXPECT_GT(r.team_work[1], r.work * TEAM_FLOOR / 2);
	}
}

// A change of the order without overload would break what the usual order is
// measured for.
TEST(OverloadOrder, BelowOverloadPlacementsAreThoseOfTheUsualOrder)
{
	for (uint64_t seed = 1; seed <= 2; seed++) {
		Cluster usual(seed, false, true), c(seed, true, true);

		usual.run(8000, 0.7, false);
		c.run(8000, 0.7, false);
		EXPECT_EQ(c.sim.overloads, 0);
		ASSERT_EQ(c.sim.start_log.size(), usual.sim.start_log.size());
		for (size_t i = 0; i < c.sim.start_log.size(); i++) {
			auto &[at, worker, task] = c.sim.start_log[i];
			auto &[at2, worker2, task2] = usual.sim.start_log[i];

			ASSERT_TRUE(at == at2 && worker == worker2 &&
				    !(task < task2) && !(task2 < task))
				<< i;
		}
	}
}

// Steps and gangs of a team at its limit asked the policy service again and again,
// though none of their tasks could be placed, and the steps of other teams waited
// for a call: after an overload some of these were not started for seconds.
TEST(TeamLimit, StepsThatItKeepsWaitingMakeNoCalls)
{
	static const char team_name[] = "limited";
	Simulation sim(1, Faults(), WORKERS);
	eng_team team = {};

	sim.faults.fail_task = 0;
	sim.advice_nodes = 1;
	sim.duration_ms = [](const TaskKey &, int64_t estimate_ms) {
		return estimate_ms;
	};
	team.name = vh_slice_str(team_name);
	team.cap.cpu_milli = 2000;
	sim.teams.push_back(team);
	sim.take_over();
	sim.run_for(500, false);
	sim.team = team_name;
	sim.submit(1, { engine_sim::step(2, 1000, 3000) }, 1, true);
	sim.run_for(1000, false);
	ASSERT_EQ(eng_job_status(sim.engine, 1), ENG_RUNNING);
	for (uint64_t id = 2; id < 8; id++) {
		eng_step_spec s = engine_sim::step(2, 1000, 300);

		s.gang = id % 2;
		sim.submit(id, { s }, 1, true);
	}
	sim.run_for(1500, false);
	for (auto &call : sim.advice_log)
		EXPECT_EQ(std::get<1>(call), 1u);
	sim.run_for(8000, false);
	for (uint64_t id = 1; id < 8; id++)
		EXPECT_EQ(eng_job_status(sim.engine, id), ENG_COMPLETE) << id;
}

} // namespace
