#ifndef ENGINE_TESTS_SIM_WORKERS_H
#define ENGINE_TESTS_SIM_WORKERS_H

/*
 * The simulated workers: what they run, how they start, stop and end it, and how
 * they fail. Part of the simulation in simulation.h, which brings the engine's
 * requests to them.
 */

#include "sim_state.h"

namespace engine_sim
{

class SimWorkers : public SimState
{
      public:
	using SimState::SimState;

	void resize(Worker &w, int64_t capacity)
	{
		w.former_capacities.push_back({ now, w.capacity });
		w.capacity = capacity;
	}

	void unlist_worker(Worker &w)
	{
		w.listed = false;
		if (store_down)
			schedule_in(100, [this, &w] {
				if (!w.up)
					unlist_worker(w);
			});
		else
			eng_worker_unlisted(engine, str(w.id), now);
	}

	void crash(Worker &w)
	{
		expose_runs(w);
		for (auto &r : w.running)
			crashes_under[r.key]++;
		w.up = false;
		w.crash_at_ms = -1;
		unlist_worker(w);
		w.running.clear();
		w.ends.clear();
		w.void_runs.clear();
		schedule_in(500 + (int64_t)(random01() * 9000), [this, &w] {
			if (new_id_after_crash)
				start_successor(w);
			else
				restart(w);
		});
	}

	/* A crash that the list of workers does not show. */
	void reboot(Worker &w)
	{
		expose_runs(w);
		for (auto &r : w.running)
			crashes_under[r.key]++;
		w.up = false;
		w.running.clear();
		w.ends.clear();
		w.void_runs.clear();
		schedule_in(20 + (int64_t)(random01() * 700), [this, &w] {
			int64_t next_beat_ms = w.next_beat_ms;

			restart(w);
			w.next_beat_ms = next_beat_ms;
		});
	}

	void restart(Worker &w)
	{
		w.up = true;
		w.boot_ms = now;
		w.clock_offset = -(int64_t)((double)now * w.clock_rate);
		w.fence = 0;
		w.lease_until = 0;
		w.next_end = 1;
		w.listed = true;
		w.next_beat_ms = now;
	}

	/* The next boot has another id, at the same address. */
	void start_successor(Worker &w)
	{
		Worker next;

		next.id = w.id + "+";
		next.address = w.address;
		next.boot_ms = next.entry_boot_ms = now;
		next.clock_offset = w.clock_offset;
		next.clock_rate = w.clock_rate;
		next.capacity = next.entry_capacity = w.capacity;
		next.delay_ms = w.delay_ms;
		next.next_beat_ms = now;
		workers.push_back(next);
		w.successor = &workers.back();
	}

	/* The reply of what now answers at the address of a worker's boot. */
	static eng_reply reply_of_next_boot(const Worker &w)
	{
		return w.successor ? ENG_REPLY_OTHER_BOOT : ENG_REPLY_NONE;
	}

	void end_run(Worker &w, size_t i, eng_end_reason how)
	{
		Run r = w.running[i];

		w.running.erase(w.running.begin() + (long)i);
		w.ends.push_back({ w.next_end++, r.key, r.run, how, now });
		w.void_runs.insert({ r.key, r.run });
		if (how == ENG_END_DONE)
			done_tasks.insert(r.key);
		if (how == ENG_END_FAILED)
			failed_runs[r.key.job].insert(
				{ is_gang(r.key) ? 0 : r.key.index + 1,
				  r.run });
	}

	virtual void advance_workers()
	{
		for (auto &w : workers) {
			if (w.crash_at_ms >= 0 && w.crash_at_ms <= now)
				crash(w);
			if (!w.up)
				continue;
			if (!w.reachable)
				expose_runs(w);
			if (clock(w) > w.lease_until)
				w.lapsed_ms = now;
			if (!w.running.empty() && clock(w) > w.lease_until) {
				while (!w.running.empty())
					end_run(w, 0, ENG_END_LEASE_EXPIRED);
				expired_leases++;
			}
			for (size_t i = w.running.size(); i-- > 0;) {
				Run &r = w.running[i];

				check_cancelled_run(w, r);

				if (r.stopping && r.stop_at_ms <= now)
					end_run(w, i, ENG_END_STOPPED);
				else if (!r.stopping && r.ends_ms >= 0 &&
					 r.ends_ms <= now)
					end_run(w, i,
						r.fails ? ENG_END_FAILED
							: ENG_END_DONE);
			}
		}
	}

	eng_reply handle_start(Worker &w, uint64_t fence, Run r, int64_t until,
			       bool delayed)
	{
		if (fence < w.fence)
			return ENG_REPLY_FENCED;
		w.fence = fence;
		w.lease_until =
			std::max(w.lease_until,
				 std::min(until, clock(w) + lease_max_ms));
		for (auto &x : w.running) {
			if (!(x.key < r.key) && !(r.key < x.key) &&
			    x.run == r.run)
				return ENG_REPLY_OK;
		}
		for (auto &v : w.void_runs) {
			if (!(v.first < r.key) && !(r.key < v.first) &&
			    v.second >= r.run)
				return ENG_REPLY_STALE_RUN;
		}
		if (clock(w) > until)
			return ENG_REPLY_LEASE_EXPIRED;
		check_start(w, r, r.need.cpu_milli, delayed);
		check_crash_budget(w, r);
		w.running.push_back(r);
		if (crash_after_ms.count(r.key)) {
			w.crash_at_ms = now + crash_after_ms[r.key];
			w.running.back().ends_ms = -1;
		}
		started_jobs.insert(r.key.job);
		starts++;
		w.starts++;
		return ENG_REPLY_OK;
	}

	int64_t run_end_ms(const Worker &w, const TaskKey &key)
	{
		double ms;

		if (duration_ms)
			return now +
			       duration_ms(key, jobs[key.job]
							.spec->steps[key.step]
							.estimate_ms);
		ms = run_ms(w, key);
		return ms < 0 ? -1 : now + (int64_t)(ms / w.speed);
	}

	eng_reply handle_stop(Worker &w, uint64_t fence, eng_task_ref ref)
	{
		TaskKey k = { ref.job, ref.step, ref.index };

		if (fence < w.fence)
			return ENG_REPLY_FENCED;
		w.fence = fence;
		w.void_runs.insert({ k, ref.run });
		for (auto &x : w.running) {
			if (x.key < k || k < x.key || x.run > ref.run)
				continue;
			x.stopping = true;
			x.stop_at_ms = now + (int64_t)(random01() * 300);
		}
		return ENG_REPLY_OK;
	}

	void acknowledge(Worker &w, int64_t number)
	{
		while (!w.ends.empty() && w.ends.front().number <= number) {
			const End &end = w.ends.front();

			if (end.how == ENG_END_DONE)
				note_done(w, end);
			sent_runs[w.id].erase({ end.key, end.run });
			w.ends.erase(w.ends.begin());
		}
	}
};

} // namespace engine_sim

#endif
