// Learned speeds of workers.

#include <gtest/gtest.h>

#include <msgpack.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;
using engine_sim::TaskKey;
using engine_sim::Worker;

namespace
{

constexpr char SLOW[] = "worker is slow";

double tail(Simulation &sim)
{
	return (0.85 + 0.3 * sim.random01()) * (sim.chance(0.03) ? 7 : 1);
}

// A third of the workers at 0.6 and a third at 1.6 of the usual speed, run times
// with a heavy tail, and estimates that are wrong by up to 90 %.
struct Mixed {
	Simulation sim;
	std::map<uint64_t, double> usual_ms;
	std::map<uint64_t, int64_t> due_ms, end_ms;
	uint64_t next = 1;
	int counts[3] = {}, in_time[3] = {};

	Mixed(uint64_t seed, bool ignore_speeds) : sim(seed, Faults(), 36)
	{
		sim.faults.fail_task = 0;
		sim.ignore_speeds = ignore_speeds;
		for (size_t i = 0; i < sim.workers.size(); i++)
			sim.workers[i].speed = i % 3 == 0   ? 0.6
					       : i % 3 == 1 ? 1
							    : 1.6;
		sim.run_ms = [this](const Worker &, const TaskKey &k) {
			return sim.is_gang(k) ? -1
					      : usual_ms[k.job] * tail(sim);
		};
		sim.take_over();
	}

	void submit(uint32_t priority, uint32_t n, int64_t cpu, double ms)
	{
		double error = 0.1 + 1.8 * sim.random01();
		eng_step_spec s =
			engine_sim::step(n, cpu, (int64_t)(ms * error));

		s.gang = priority == 1;
		sim.stretch = priority == 2 ? 12 : 1;
		sim.target_ms = priority == 1 ? 2500 : 600;
		due_ms[next] = sim.now + sim.target_ms +
			       (int64_t)(sim.stretch * (double)s.estimate_ms);
		usual_ms[next] = ms;
		sim.submit(next++, { s }, priority);
	}

	// The members of a gang end together, with the slowest.
	void end_gangs()
	{
		std::map<uint64_t, std::vector<std::pair<Worker *, size_t>>>
			gangs;

		for (auto &w : sim.workers)
			for (size_t i = 0; i < w.running.size(); i++)
				if (sim.is_gang(w.running[i].key))
					gangs[w.running[i].key.job].push_back(
						{ &w, i });
		for (auto &g : gangs) {
			double slowest = 100;

			if (g.second.size() <
			    sim.jobs[g.first].spec->steps[0].n_tasks)
				continue;
			for (auto &m : g.second)
				slowest = std::min(slowest, m.first->speed);
			for (auto &m : g.second)
				m.first->running[m.second].ends_ms =
					m.first->running[m.second].started_ms +
					(int64_t)(usual_ms[g.first] / slowest);
		}
	}

	void run(int64_t ms, bool load)
	{
		for (int64_t end = sim.now + ms; sim.now < end;) {
			if (load && sim.chance(0.3))
				submit(0, 3, 3000, 900);
			if (load && sim.chance(0.02))
				submit(1, 8, 6000, 4000);
			if (load && sim.chance(0.06))
				submit(2, 12, 1000, 2800);
			sim.run_for(20, false);
			end_gangs();
			for (auto &j : sim.jobs)
				if (!end_ms.count(j.first) &&
				    eng_job_status(sim.engine, j.first) ==
					    ENG_COMPLETE)
					end_ms[j.first] = sim.now;
		}
	}

	// Counts the jobs that end by their objective.
	void measure(int64_t ms)
	{
		uint64_t first = next;

		run(ms, true);
		uint64_t last = next;
		run(20000, false);
		for (uint64_t id = first; id < last; id++) {
			uint32_t p = sim.jobs[id].spec->priority;

			counts[p]++;
			in_time[p] +=
				end_ms.count(id) && end_ms[id] <= due_ms[id];
		}
	}

	double share(int priority) const
	{
		return (double)in_time[priority] / counts[priority];
	}
};

// Guards against urgent steps and gangs on slow workers, while batch with slack
// occupies the fast ones.
TEST(MixedSpeeds, UrgentStepsAndGangsAreInTimeOnMixedWorkers)
{
	double with[3] = {}, without[3] = {};

	for (uint64_t seed = 1; seed <= 3; seed++) {
		for (bool ignore : { false, true }) {
			Mixed m(seed, ignore);

			m.run(10000, true);
			m.measure(20000);
			for (int p = 0; p < 3; p++)
				(ignore ? without : with)[p] += m.share(p) / 3;
			for (auto &v : m.sim.violations)
				ADD_FAILURE() << v;
		}
	}
	printf("in time, speeds learned: %.3f %.3f %.3f, not: %.3f %.3f %.3f\n",
	       with[0], with[1], with[2], without[0], without[1], without[2]);
	EXPECT_GT(with[0], without[0]);
	EXPECT_GT(with[1], without[1]);
	EXPECT_GE(with[2], with[0]);
}

struct Speeds : testing::Test {
	Simulation sim{ 1, Faults(), 6 };
	uint64_t next = 1;

	void SetUp() override
	{
		sim.faults.fail_task = 0;
		sim.run_ms = [this](const Worker &, const TaskKey &) {
			return 500 * tail(sim);
		};
		sim.take_over();
	}

	void run_steps(int n, uint32_t priority = 2, int64_t estimate = 500)
	{
		while (n--) {
			sim.submit(next++,
				   { engine_sim::step(12, 4000, estimate) },
				   priority);
			sim.run_for(400, false);
		}
	}

	std::set<std::string> slow()
	{
		return sim.events_by_kind[SLOW];
	}

	// Starts of an urgent step of one task on the first worker.
	int urgent_starts_on_first()
	{
		int before = sim.workers[0].starts;

		sim.submit(next++, { engine_sim::step(1, 1000, 500) }, 0);
		sim.run_for(300, false);
		return sim.workers[0].starts - before;
	}
};

// Guards against a worker that becomes slow and is noticed late, or never
// again counts as usual.
TEST_F(Speeds, AWorkerThatBecomesSlowIsFoundAfterAFewRuns)
{
	run_steps(10);
	EXPECT_TRUE(slow().empty());
	sim.workers[0].speed = 1 / 3.0;
	int before = sim.workers[0].starts;
	while (slow().empty() && sim.workers[0].starts < before + 40)
		run_steps(1);
	EXPECT_EQ(slow(), std::set<std::string>{ "w0" });
	EXPECT_LE(sim.workers[0].starts - before, 12);
	EXPECT_EQ(urgent_starts_on_first(), 0);
	sim.workers[0].speed = 1;
	run_steps(20);
	EXPECT_TRUE(sim.events_by_kind["worker is no longer slow"].count("w0"));
}

// A stuck worker ends no runs, so its speed must fall by what is overdue.
TEST_F(Speeds, AStuckWorkerIsFoundWithoutAnyEnd)
{
	run_steps(10);
	sim.run_ms = [this](const Worker &w, const TaskKey &) {
		return w.id == "w0" ? -1 : 500 * tail(sim);
	};
	run_steps(10);
	EXPECT_EQ(slow(), std::set<std::string>{ "w0" });
}

// Guards against workers that are blamed for estimates, failures or silence.
TEST_F(Speeds, ABadQueueMakesNoWorkerSlow)
{
	run_steps(10);
	for (int i = 0; i < 20; i++)
		run_steps(1, 1, i % 2 ? 50 : 5000);
	EXPECT_TRUE(slow().empty());
}

TEST_F(Speeds, AFailingWorkerIsNotSlow)
{
	sim.run_ms = [this](const Worker &w, const TaskKey &) {
		return w.id == "w0" ? 5 : 500 * tail(sim);
	};
	for (int i = 0; i < 20; i++) {
		run_steps(1);
		for (auto &r : sim.workers[0].running)
			r.fails = true;
	}
	EXPECT_TRUE(slow().empty());
}

TEST_F(Speeds, AWorkerThatDoesNotAnswerIsNotSlow)
{
	run_steps(10);
	sim.workers[0].reachable = false;
	run_steps(7);
	sim.workers[0].reachable = true;
	run_steps(10);
	EXPECT_TRUE(slow().empty());
}

// Guards against a new owner that sends urgent tasks to slow workers until it
// has learned their speeds, and a new boot that is blamed for the former one.
TEST_F(Speeds, ATakeoverKeepsTheSpeedsOfTheSameBoot)
{
	for (int boot = 0; boot < 2; boot++) {
		sim.workers[0].speed = 0.3;
		run_steps(20);
		sim.run_for(8000, false);
		sim.workers[0].boot_ms += boot;
		sim.take_over();
		sim.run_for(300, false);
		EXPECT_TRUE(boot || !urgent_starts_on_first());
		sim.workers[0].speed = 1;
		sim.events_by_kind.clear();
		run_steps(25);
		EXPECT_EQ(sim.events_by_kind["worker is no longer slow"].count(
				  "w0"),
			  boot ? 0u : 1u);
	}
}

// Speeds that change all the time must not load the store.
TEST_F(Speeds, RecordsTakeLessThanOneKilobyteASecond)
{
	int64_t from = sim.now;

	for (int i = 0; i < 60; i++) {
		for (auto &w : sim.workers)
			w.speed = 0.3 + 1.5 * sim.random01();
		run_steps(1);
	}
	EXPECT_GT(sim.learned_bytes, 0u);
	EXPECT_LT((int64_t)sim.learned_bytes, sim.now - from);
}

// Packs [format, [id, boot time, speed, samples]].
std::string record(int format, int64_t boot, double speed, bool as_float)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_int(&pk, format);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_bin(&pk, 2);
	msgpack_pack_bin_body(&pk, "w0", 2);
	msgpack_pack_int64(&pk, boot);
	if (as_float)
		msgpack_pack_double(&pk, speed);
	else
		msgpack_pack_int64(&pk, (int64_t)speed);
	msgpack_pack_int(&pk, 9);
	std::string s(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	return s;
}

// Guards against a malformed record that decides where tasks run.
TEST_F(Speeds, MalformedRecordsAreIgnored)
{
	std::string good = record(1, 1, 200, false);

	sim.learned_records["w1"] = good;
	sim.take_over();
	sim.run_for(300, false);
	EXPECT_EQ(urgent_starts_on_first(), 0);
	for (auto &bad :
	     { record(1, 1, 0, false), record(1, 1, -200, false),
	       record(1, 1, NAN, true), record(2, 1, 200, false),
	       record(1, 1000000, 200, false), good.substr(0, 9),
	       std::string("\x93\x01\xc0\x90", 4), std::string() }) {
		sim.run_for(2000, false);
		sim.learned_records = { { "w1", bad }, { "wq", bad } };
		sim.take_over();
		sim.run_for(300, false);
		EXPECT_EQ(urgent_starts_on_first(), 1);
	}
	for (auto &v : sim.violations)
		ADD_FAILURE() << v;
}

} // namespace
