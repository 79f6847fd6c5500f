#ifndef ENGINE_TESTS_SCENE_H
#define ENGINE_TESTS_SCENE_H

/* What the world around the engine consists of, and what must hold in it. */

#include <cinttypes>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "vh/engine.h"
}

namespace world
{

/* From a job's acceptance until it has to be counted. */
constexpr int64_t PENDING_SEEN_MS = 3000 + 2000;

/* From a cancelling, or a late start, to the end of the work. */
constexpr int64_t CANCEL_BOUND_MS = 4000 + 3000 + 300;

struct Key {
	uint64_t job;
	uint32_t step, index;
	bool operator<(const Key &o) const
	{
		return std::tie(job, step, index) <
		       std::tie(o.job, o.step, o.index);
	}
};

struct Run {
	Key key;
	uint32_t run;
	int64_t ends_ms; /* when it would end by itself; -1: it hangs */
	int64_t started_ms;
	int64_t began_ms;
	bool fails;
	bool stopping;
	eng_resources need;
};

struct End {
	int64_t number;
	Key key;
	uint32_t run;
	eng_end_reason how;
	int64_t seen_ms = -1; /* when an answer listed it */
};

struct Worker {
	std::string id, address = "10.0.0.1:1";
	int64_t born = 1;
	bool up = true, listed = true;
	uint64_t fence = 0;
	int64_t clock_offset = 0, until = 0, ends_from = 1;
	double speed = 1;
	std::vector<Run> running;
	std::vector<End> ends;
	std::set<std::pair<Key, uint32_t>> voided;
	int64_t capacity = 16000;
	int64_t delay_ms = 15; /* one way */
	int starts = 0;
	bool reachable = true;
};

struct Job {
	eng_job_spec *spec;
	int64_t accepted_ms = 0, cancelled_ms = -1;
};

struct Faults {
	double lose_order = 0; /* answers of workers that never come */
	double late_order =
		0;	  /* orders carried out seconds later, unanswered */
	double crash = 0; /* a worker, per second of the world */
	double cut = 0;
	double takeover = 0;
	double store_slow = 0;
	double cancel = 0;
	double fail_task = 0.03;
};

class Scene
{
      public:
	Scene(uint64_t seed, Faults f, int workers) : rng(seed), faults(f)
	{
		for (int i = 0; i < workers; i++) {
			Worker w;
			w.id = "w" + std::to_string(i);
			w.address = "10.0.0." + std::to_string(i) + ":1";
			w.clock_offset = 1000 + (int64_t)(rnd() * 100000);
			w.speed = 0.98 + 0.04 * rnd();
			this->workers.push_back(w);
		}
	}

	~Scene()
	{
		if (engine)
			eng_free(engine);
		for (auto &j : jobs)
			eng_job_free(j.second.spec);
	}

	double rnd()
	{
		return std::uniform_real_distribution<>(0, 1)(rng);
	}

	bool chance(double p)
	{
		return rnd() < p;
	}

	void at(int64_t when, std::function<void()> fn)
	{
		events.emplace(Event{ when, order++, std::move(fn) });
	}

	void in(int64_t delay, std::function<void()> fn)
	{
		at(now + delay, std::move(fn));
	}

	void broken(const std::string &what)
	{
		violations.push_back("at " + std::to_string(now) + ": " + what);
	}

	static struct vh_slice str(const std::string &s)
	{
		struct vh_slice out = { s.data(), s.size() };

		return out;
	}

	int64_t clock(const Worker &w) const
	{
		return (int64_t)((double)now * w.speed) + w.clock_offset;
	}

	Worker &find(struct vh_slice id)
	{
		for (auto &w : workers) {
			if (vh_slice_eq(id, str(w.id)))
				return w;
		}
		abort();
	}

	void run_until(int64_t end)
	{
		while (!events.empty() && events.top().when <= end) {
			auto fn = events.top().fn;

			now = std::max(now, events.top().when);
			events.pop();
			fn();
		}
		now = std::max(now, end);
	}

	size_t count(enum eng_job_status s)
	{
		size_t n = 0;

		for (auto &j : jobs)
			n += eng_job_status(engine, j.first) == s;
		return n;
	}

	bool gang(const Key &k)
	{
		return jobs[k.job].spec->steps[k.step].gang;
	}

	/* Jobs of which nothing has started are counted as such. */
	void check_pending()
	{
		size_t said = 0, waiting = 0;

		for (auto &q : queue_names)
			said += eng_queue_pending(engine, str(q));
		for (auto &j : jobs) {
			if (j.second.cancelled_ms < 0 &&
			    now - j.second.accepted_ms > PENDING_SEEN_MS &&
			    !started_jobs.count(j.first))
				waiting++;
		}
		if (said * 2 < waiting)
			broken(std::to_string(said) + " jobs said to wait, " +
			       std::to_string(waiting) + " do");
	}

	/* Nothing of a cancelled job works on for long, if it can be told. */
	void check_wanted(const Worker &w, const Run &r)
	{
		const Job &j = jobs[r.key.job];
		int64_t from = std::max(j.cancelled_ms, r.began_ms);

		if (j.cancelled_ms >= 0 && w.reachable &&
		    now > from + CANCEL_BOUND_MS && faults.lose_order == 0)
			broken("a cancelled job works on");
	}

	/* A start that a worker carried out late has no bound of time. */
	void check_start(Worker &w, const Run &r, int64_t cpu, bool late)
	{
		int64_t used = cpu;
		const Job &j = jobs[r.key.job];
		const eng_step_spec &s = j.spec->steps[r.key.step];

		for (auto &o : w.running)
			used += o.need.cpu_milli;
		if (used > w.capacity)
			broken("LIMIT on " + w.id);
		for (auto &o : workers) {
			for (auto &x : o.running) {
				if (o.up && !(x.key < r.key) &&
				    !(r.key < x.key))
					broken("TWICE: " + w.id + " and " +
					       o.id);
			}
		}
		if (acked_done.count(r.key) && !s.service)
			broken("start after an acknowledged end");
		for (size_t i = 0; i < s.n_after; i++) {
			const eng_step_spec &b = j.spec->steps[s.after[i]];

			for (uint32_t k = 0; k < b.n_tasks; k++) {
				if (!done_runs.count(
					    { r.key.job, s.after[i], k }))
					broken("ORDER");
			}
		}
		if (!late && j.cancelled_ms >= 0 && now > j.cancelled_ms + 3000)
			broken("start of a cancelled job " +
			       std::to_string(r.key.job) + " task " +
			       std::to_string(r.key.index) + " run " +
			       std::to_string(r.run) + ", cancelled at " +
			       std::to_string(j.cancelled_ms));
	}

	void check_address(struct vh_slice address)
	{
		if (!address.len)
			broken("an order without an address");
	}

	/* A job is given up only after as many failed runs as it may have. */
	void check_failed_jobs()
	{
		for (auto &j : jobs) {
			std::map<uint32_t, uint32_t> fails;
			uint32_t most = 0;

			if (eng_job_status(engine, j.first) != ENG_FAILED)
				continue;
			for (auto &f : failed_runs[j.first])
				most = std::max(most, ++fails[f.first]);
			if (most < j.second.spec->max_attempts)
				broken("job failed after " +
				       std::to_string(most) + " runs");
		}
	}

	struct Event {
		int64_t when;
		uint64_t order;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return std::tie(o.when, o.order) <
			       std::tie(when, order);
		}
	};

	std::mt19937_64 rng;
	Faults faults;
	int64_t now = 1000;
	uint64_t order = 0, epoch = 0;
	bool jobs_first = false; /* a new owner hears of jobs before states */
	bool ready = false, batch_open = false;
	struct engine *engine = nullptr;
	std::priority_queue<Event> events;
	std::vector<Worker> workers;
	std::map<uint64_t, Job> jobs;
	std::map<uint64_t, std::string> job_bytes, stored;
	std::set<uint64_t> started_jobs;
	std::set<Key> done_runs, acked_done;
	std::map<uint64_t, std::set<std::pair<uint32_t, uint32_t>>>
		failed_runs; /* by job: task (0: a gang's) and run */
	std::vector<std::string> violations;
	std::map<std::tuple<uint64_t, uint32_t, std::string>, int64_t>
		tickets; /* of a step on a worker, to when they last */
	int starts = 0, holds = 0, asks = 0, lapsed = 0, stale_tickets = 0;
	std::string service = "svc", team = "team", payload = "spec",
		    rack = "r1";
	std::string queue_names[3] = { "q0", "q1", "q2" };
};

} // namespace world

#endif
