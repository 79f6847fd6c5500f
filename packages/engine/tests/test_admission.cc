// Admission control at 2.4 times the load, with one team at six times its own.

#include <gtest/gtest.h>

#include "simulation.h"

extern "C" {
#include "admission.h"
}

using engine_sim::Faults;
using engine_sim::Simulation;

namespace
{

constexpr int64_t LOSS_AT_MS = 8000, LOSS_MS = 1500, SETTLE_MS = 45000,
		  CUTOFF_FACTOR = 3;
constexpr int RETRIES = 4;
constexpr const char *TEAMS[5] = { "hot", "a", "b", "c", "d" };

struct Outcome {
	int in_time = 0, late = 0, accepted = 0, refusals = 0, given_up = 0;
	double accepted_work = 0, worthless_work = 0;
	std::map<std::string, int> served_by_team;
	std::map<uint32_t, int> served_by_priority;

	void add(const Outcome &o)
	{
		in_time += o.in_time;
		late += o.late;
		accepted += o.accepted;
		refusals += o.refusals;
		given_up += o.given_up;
		accepted_work += o.accepted_work;
		worthless_work += o.worthless_work;
	}

	double worthless_jobs() const
	{
		return (double)(accepted - in_time - late) / accepted;
	}

	double worthless_share() const
	{
		return worthless_work / accepted_work;
	}
};

struct Caller {
	uint64_t id;
	std::string team;
	uint32_t priority;
	int64_t at_ms;
	int attempts = 0;
};

class Overload
{
      public:
	Overload(uint64_t seed, int64_t overload_ms, bool refuse,
		 bool lose_owner)
	    : sim(seed, Faults(), 12), overload_ms(overload_ms), refuse(refuse),
	      lose_owner(lose_owner)
	{
		sim.faults.fail_task = 0;
		eng_load_init(&load);
		admission_init(&admission);
		take_over();
	}

	~Overload()
	{
		eng_load_finish(&load);
		admission_finish(&admission);
	}

	Outcome play()
	{
		int64_t start_ms;

		sim.run_for(1000, false);
		start_ms = sim.now;
		add_callers(start_ms);
		while (sim.now < start_ms + overload_ms + SETTLE_MS) {
			call();
			tick(start_ms);
			note_ends();
		}
		for (auto &j : open)
			count(j.first, INT64_MAX);
		for (auto &v : sim.violations)
			ADD_FAILURE() << v;
		return outcome;
	}

      private:
	void take_over()
	{
		eng_team teams[5] = {};

		sim.take_over();
		for (int i = 0; i < 5; i++) {
			teams[i].name = vh_slice_str(TEAMS[i]);
			teams[i].weight = 2.2;
		}
		eng_set_teams(sim.engine, teams, 5);
		admission_suspend(&admission, sim.now);
	}

	// Without an owner nothing is placed, and all jobs are accepted.
	void tick(int64_t start_ms)
	{
		int64_t in = sim.now - start_ms;
		bool lost = lose_owner && in >= LOSS_AT_MS &&
			    in < LOSS_AT_MS + LOSS_MS;

		if (lost) {
			sim.ready = false;
			sim.epoch = 1000; // drops answers to the former owner
			sim.advance_workers();
			sim.run_until(sim.now + 10);
			return;
		}
		if (!sim.ready)
			take_over();
		sim.run_for(10, false);
	}

	// The classes have a third of the demand each, in core-seconds.
	void add_callers(int64_t start_ms)
	{
		constexpr double PER_S[3] = { 10.9, 1.0, 1.8 };

		for (uint32_t p = 0; p < 3; p++) {
			double gap = 1000 / PER_S[p];

			for (double t = sim.random01() * gap; t < overload_ms;
			     t += gap) {
				Caller c;

				c.id = ++next_id;
				c.priority = p;
				// Half of the demand is one team's.
				c.team = TEAMS[sim.chance(0.5)
						       ? 0
						       : 1 + next_id % 4];
				c.at_ms = start_ms + (int64_t)t;
				callers.push_back(c);
			}
		}
	}

	static std::vector<eng_step_spec> steps(uint32_t priority)
	{
		eng_step_spec s = engine_sim::step(25, 2000, 3000);

		if (priority == 0)
			s = engine_sim::step(3, 7500, 1000);
		if (priority == 1) {
			s = engine_sim::step(8, 9000, 4000);
			s.gang = true;
		}
		return { s };
	}

	eng_job_size size_of(uint32_t priority)
	{
		std::vector<eng_step_spec> s = steps(priority);
		eng_job_spec spec = {};

		spec.stretch = 2;
		spec.target_ms = 1000;
		spec.steps = s.data();
		spec.n_steps = 1;
		return eng_job_measure(&spec);
	}

	int retry_after(const Caller &c)
	{
		admission_job job = { c.id, vh_slice_str(queue(c.priority)),
				      vh_slice_str(c.team.c_str()),
				      size_of(c.priority), false };
		int64_t wait_ms;
		int64_t excess_ms;

		if (!refuse || !sim.ready)
			return 0;
		eng_load_compute(sim.engine, &load, sim.now);
		job.over_share =
			eng_team_over_share(sim.engine, job.team, sim.now);
		excess_ms = admission_excess_ms(&load, &job, &wait_ms);
		if (excess_ms > 0 &&
		    admission_may_refuse(&admission, &load, &job, sim.now))
			return admission_refuse(&admission, &job, excess_ms,
						sim.now);
		admission_note_accepted(&admission, &job, sim.now);
		return 0;
	}

	const char *queue(uint32_t priority)
	{
		return sim.queue_names[priority].c_str();
	}

	void call()
	{
		for (auto &c : callers) {
			if (c.at_ms > sim.now || c.attempts < 0)
				continue;
			int s = retry_after(c);

			if (s && ++c.attempts <= RETRIES) {
				outcome.refusals++;
				c.at_ms = sim.now + s * 1000;
				continue;
			}
			if (!s) {
				sim.team = c.team;
				sim.submit(c.id, steps(c.priority), c.priority);
				open[c.id] = c;
				open[c.id].at_ms = sim.now;
			} else {
				outcome.given_up++;
			}
			c.attempts = -1;
		}
	}

	void note_ends()
	{
		for (auto it = open.begin(); it != open.end();) {
			uint64_t id = (it++)->first;

			if (sim.ready &&
			    eng_job_status(sim.engine, id) == ENG_COMPLETE) {
				count(id, sim.now);
				open.erase(id);
			}
		}
	}

	void count(uint64_t id, int64_t end_ms)
	{
		const Caller &c = open[id];
		eng_job_size size = size_of(c.priority);
		int64_t took = end_ms - c.at_ms;

		outcome.accepted++;
		outcome.accepted_work += (double)size.work;
		if (took > CUTOFF_FACTOR * size.objective_ms) {
			outcome.worthless_work += (double)size.work;
			return;
		}
		outcome.in_time += took <= size.objective_ms;
		outcome.late += took > size.objective_ms;
		outcome.served_by_team[c.team]++;
		outcome.served_by_priority[c.priority]++;
	}

	Simulation sim;
	int64_t overload_ms;
	bool refuse, lose_owner;
	struct eng_load load;
	struct admission admission;
	std::vector<Caller> callers;
	std::map<uint64_t, Caller> open;
	uint64_t next_id = 0;
	Outcome outcome;
};

void print(const char *what, const Outcome &o)
{
	printf("%s: in time %d, late %d, accepted %d, refusals %d, given up "
	       "%d, without value %.3f of the jobs, %.3f of the work\n",
	       what, o.in_time, o.late, o.accepted, o.refusals, o.given_up,
	       o.worthless_jobs(), o.worthless_share());
}

struct Sums {
	Outcome all, some;
};

// Guards against shutting out a class or a team; the sums are over the seeds,
// since a single gang is a twentieth of a run's work.
Sums play(uint64_t seeds, int64_t overload_ms, bool lose_owner)
{
	Sums sums;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		Outcome all =
			Overload(seed, overload_ms, false, lose_owner).play();
		Outcome some =
			Overload(seed, overload_ms, true, lose_owner).play();

		sums.all.add(all);
		sums.some.add(some);
		for (auto team : TEAMS)
			EXPECT_GT(some.served_by_team[team], 0) << team;
		for (uint32_t p = 0; p < 3; p++)
			EXPECT_GT(some.served_by_priority[p], 0) << p;
	}
	print("all accepted", sums.all);
	print("some refused", sums.some);
	// Refused work would have been in time.
	EXPECT_GE(sums.some.in_time, sums.all.in_time);
	// Accepted work is never served.
	EXPECT_LT(sums.some.worthless_jobs(), 0.1);
	return sums;
}

TEST(Admission, Overload)
{
	Sums s = play(8, 10000, false);

	EXPECT_LT(s.some.worthless_share(), 0.1);
}

TEST(Admission, OverloadWithALostOwner)
{
	Sums s = play(8, 10000, true);

	EXPECT_LT(s.some.worthless_share(), 0.1);
}

// Backlog that has expired must not make room for work that will expire.
TEST(Admission, LongOverload)
{
	Sums s = play(2, 40000, false);

	EXPECT_LT(s.some.worthless_share(), s.all.worthless_share() / 3);
}

} // namespace
