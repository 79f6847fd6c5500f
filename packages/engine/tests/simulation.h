#ifndef ENGINE_TESTS_WORLD_H
#define ENGINE_TESTS_WORLD_H

/*
 * A small world around the engine, under a clock of its own: workers that
 * speak the platform's rules, a store, a policy service, and faults drawn from
 * a seed. It checks what must always hold as the workers see it.
 */

#include "sim_state.h"

namespace world
{

class World : public Scene
{
      public:
	using Scene::Scene;

	/* A job as a record would carry it. */
	void submit(uint64_t id, std::vector<eng_step_spec> steps,
		    uint32_t priority = 1, bool advice = false,
		    uint32_t attempts = 4)
	{
		eng_job_spec spec = {};
		vh_buf bytes = {};

		spec.id = id;
		spec.queue = str(queue_names[priority % 3]);
		spec.service = str(service);
		spec.team = str(team);
		spec.priority = priority;
		spec.max_attempts = attempts;
		spec.stretch = 2;
		spec.target_ms = 1000;
		spec.advice.needed = advice;
		spec.advice.decide_ms = 50;
		spec.advice.each_ms = 1;
		spec.advice.valid_ms = 1500;
		spec.received_ms = now;
		spec.payload = str(payload);
		spec.steps = steps.data();
		spec.n_steps = steps.size();
		eng_job_pack(&spec, &bytes);
		jobs[id].spec = eng_job_unpack(vh_buf_slice(&bytes));
		jobs[id].accepted_ms = now;
		job_bytes[id] = std::string(bytes.data, bytes.len);
		vh_buf_finish(&bytes);
		if (engine && ready)
			give_job(id);
	}

	void give_job(uint64_t id)
	{
		eng_job_add(engine, eng_job_unpack(str(job_bytes[id])), now,
			    now);
	}

	void cancel(uint64_t id)
	{
		jobs[id].cancelled_ms = now;
		if (engine && ready)
			eng_job_cancel(engine, id, now);
	}

	/* Another node takes over: it knows only what was stored. */
	void take_over()
	{
		eng_settings s = {};
		eng_callbacks p = {};

		if (engine)
			eng_free(engine);
		epoch++;
		s.fence = epoch;
		s.lease_ms = 5000;
		s.lease_max_ms = 6000;
		s.stop_ms = 300;
		s.gang_ms = 3000;
		s.former_owner_ms = 100;
		p.start = start_cb;
		p.stop = stop_cb;
		p.hold = hold_cb;
		p.advise = advise_cb;
		p.deposed = deposed_cb;
		p.ctx = this;
		engine = eng_new(&s, &p, now);
		batch_open = false;
		for (auto &w : workers)
			list(w);
		if (jobs_first) {
			for (auto &j : jobs) {
				give_job(j.first);
				if (j.second.cancelled_ms >= 0)
					eng_job_cancel(engine, j.first, now);
			}
		}
		for (auto &r : stored)
			eng_job_restore(engine, r.first, str(r.second), now);
		for (auto &j : jobs) {
			give_job(j.first);
			if (j.second.cancelled_ms >= 0)
				eng_job_cancel(engine, j.first, now);
		}
		ready = true;
		eng_recovery_done(engine, now);
	}

	void list(Worker &w)
	{
		eng_worker_info i = {};
		struct vh_slice labels[1] = { str(rack) };

		i.id = str(w.id);
		i.service = str(service);
		i.address = str(w.address);
		i.zone = str(rack);
		i.capacity = { w.capacity, 64000, 0 };
		i.labels = labels;
		i.n_labels = 1;
		i.born_ms = w.born;
		if (w.listed)
			eng_worker_listed(engine, &i, now);
	}

	/* Ticks of the world: workers, engine, faults. */
	void play(int64_t ms, bool with_faults)
	{
		int64_t end = now + ms;

		while (now < end) {
			if (with_faults)
				strike();
			run_workers();
			step_engine();
			run_until(now + 10);
			if (now % 100 < 10)
				check_pending();
		}
	}

	void step_engine()
	{
		eng_schedule(engine, now);
		if (batch_open)
			return;
		eng_record *records = nullptr;
		size_t n = 0;
		uint64_t batch = eng_flush(engine, &records, &n);

		if (!batch)
			return;
		std::vector<std::pair<uint64_t, std::string>> copy;
		for (size_t i = 0; i < n; i++)
			copy.emplace_back(records[i].job,
					  std::string(records[i].bytes.data,
						      records[i].bytes.len));
		eng_records_free(records, n);
		batch_open = true;
		uint64_t e = epoch;
		in(chance(faults.store_slow) ? 400 : 8, [=] {
			if (e != epoch)
				return;
			for (auto &r : copy)
				stored[r.first] = r.second;
			in(5, [=] {
				if (e != epoch)
					return;
				batch_open = false;
				eng_batch_stored(engine, batch, now);
			});
		});
	}

	void strike()
	{
		Worker &w = workers[(size_t)(rnd() * (double)workers.size())];

		if (chance(faults.crash / 100) && w.up)
			crash(w);
		if (chance(faults.cut / 100) && w.reachable) {
			w.reachable = false;
			in(1000 + (int64_t)(rnd() * 9000),
			   [&w] { w.reachable = true; });
		}
		if (chance(faults.takeover / 100))
			take_over();
		if (chance(faults.cancel / 100) && !jobs.empty()) {
			auto j = jobs.begin();

			std::advance(j, (long)(rnd() * (double)jobs.size()));
			if (j->second.cancelled_ms < 0)
				cancel(j->first);
		}
	}

	void crash(Worker &w)
	{
		w.up = false;
		w.listed = false;
		eng_worker_unlisted(engine, str(w.id), now);
		w.running.clear();
		w.ends.clear();
		w.voided.clear();
		in(500 + (int64_t)(rnd() * 9000), [this, &w] {
			w.up = true;
			w.born = now;
			w.fence = 0;
			w.until = 0;
			w.ends_from = 1;
			w.listed = true;
			list(w);
		});
	}

	void end_run(Worker &w, size_t i, eng_end_reason how)
	{
		Run r = w.running[i];

		w.running.erase(w.running.begin() + (long)i);
		w.ends.push_back({ w.ends_from++, r.key, r.run, how });
		w.voided.insert({ r.key, r.run });
		if (how == ENG_END_DONE)
			done_runs.insert(r.key);
		if (how == ENG_END_FAILED)
			failed_runs[r.key.job].insert(
				{ gang(r.key) ? 0 : r.key.index + 1, r.run });
	}

	void run_workers()
	{
		for (auto &w : workers) {
			if (!w.up)
				continue;
			if (!w.running.empty() && clock(w) > w.until) {
				while (!w.running.empty())
					end_run(w, 0, ENG_END_LAPSED);
				lapsed++;
			}
			for (size_t i = w.running.size(); i-- > 0;) {
				Run &r = w.running[i];

				check_wanted(w, r);

				if (r.stopping && r.started_ms <= now)
					end_run(w, i, ENG_END_STOPPED);
				else if (!r.stopping && r.ends_ms >= 0 &&
					 r.ends_ms <= now)
					end_run(w, i,
						r.fails ? ENG_END_FAILED
							: ENG_END_DONE);
			}
		}
	}

	eng_reply do_start(Worker &w, uint64_t fence, Run r, int64_t until,
			   bool late)
	{
		if (fence < w.fence)
			return ENG_REPLY_FENCED;
		w.fence = fence;
		w.until = std::max(w.until, std::min(until, clock(w) + 6000));
		for (auto &x : w.running) {
			if (!(x.key < r.key) && !(r.key < x.key) &&
			    x.run == r.run)
				return ENG_REPLY_OK;
		}
		for (auto &v : w.voided) {
			if (!(v.first < r.key) && !(r.key < v.first) &&
			    v.second >= r.run)
				return ENG_REPLY_STALE_RUN;
		}
		if (clock(w) > until)
			return ENG_REPLY_LEASE_EXPIRED;
		check_start(w, r, r.need.cpu_milli, late);
		w.running.push_back(r);
		started_jobs.insert(r.key.job);
		starts++;
		w.starts++;
		return ENG_REPLY_OK;
	}

	static void start_cb(void *ctx, const eng_start_request *o)
	{
		((World *)ctx)->on_start(o);
	}

	void on_start(const eng_start_request *o)
	{
		check_address(o->address);
		Worker &w = find(o->worker);
		const eng_step_spec &s =
			jobs[o->task.job].spec->steps[o->task.step];
		Run r = {};
		eng_task_ref ref = o->task;
		uint64_t e = epoch;
		int64_t until = o->until_ms, born = w.born;
		std::string id = w.id;
		bool late = chance(faults.late_order);
		bool lost = late || chance(faults.lose_order);

		r.key = { ref.job, ref.step, ref.index };
		r.run = ref.run;
		r.need = s.need;
		bool ticket = jobs[ref.job].spec->advice.needed;

		in(late ? 2000 + (int64_t)(rnd() * 10000) : w.delay_ms, [=,
									 &w] {
			eng_reply a = ENG_REPLY_NONE;

			if (ticket &&
			    tickets[{ ref.job, ref.step, id }] < now) {
				stale_tickets++;
				in(15, [=] {
					if (e == epoch)
						eng_start_reply(
							engine, str(id), ref,
							ENG_REPLY_TICKET_EXPIRED,
							now);
				});
				return;
			}

			Run x = r;

			x.started_ms = now;
			x.began_ms = now;
			x.ends_ms =
				now + 100 +
				(int64_t)(rnd() * (double)jobs[ref.job]
							  .spec->steps[ref.step]
							  .estimate_ms);
			x.fails = chance(faults.fail_task);
			if (w.up && w.born == born && (w.reachable || late))
				a = do_start(w, e, x, until, late);
			if (lost)
				a = ENG_REPLY_NONE;
			in(a == ENG_REPLY_NONE ? 700 : w.delay_ms, [=] {
				if (e == epoch)
					eng_start_reply(engine, str(id), ref, a,
							now);
			});
		});
	}

	static void stop_cb(void *ctx, struct vh_slice worker,
			    struct vh_slice address, eng_task_ref task)
	{
		((World *)ctx)->on_stop(worker, address, task);
	}

	void on_stop(struct vh_slice worker, struct vh_slice address,
		     eng_task_ref ref)
	{
		check_address(address);
		Worker &w = find(worker);
		uint64_t e = epoch;
		std::string id = w.id;
		int64_t born = w.born;
		bool lost = chance(faults.lose_order);

		in(15, [=, &w] {
			eng_reply a = ENG_REPLY_NONE;

			if (w.up && w.born == born && w.reachable) {
				a = do_stop(w, e, ref);
				if (lost)
					a = ENG_REPLY_NONE;
			}
			in(a == ENG_REPLY_NONE ? 700 : 15, [=] {
				if (e == epoch)
					eng_stop_reply(engine, str(id), ref, a,
						       now);
			});
		});
	}

	eng_reply do_stop(Worker &w, uint64_t fence, eng_task_ref ref)
	{
		Key k = { ref.job, ref.step, ref.index };

		if (fence < w.fence)
			return ENG_REPLY_FENCED;
		w.fence = fence;
		w.voided.insert({ k, ref.run });
		for (auto &x : w.running) {
			if (x.key < k || k < x.key || x.run > ref.run)
				continue;
			x.stopping = true;
			x.started_ms = now + (int64_t)(rnd() * 300);
		}
		return ENG_REPLY_OK;
	}

	static void hold_cb(void *ctx, const eng_hold_request *o)
	{
		((World *)ctx)->on_hold(o);
	}

	void on_hold(const eng_hold_request *o)
	{
		check_address(o->address);
		Worker &w = find(o->worker);
		uint64_t e = epoch;
		eng_hold_request h = *o;
		int64_t sent = now, born = w.born;
		std::string id = w.id;

		holds++;
		in(15, [=, &w] {
			hold_arrives(w, id, e, h, sent, born, now + h.wait_ms);
		});
	}

	void hold_arrives(Worker &w, std::string id, uint64_t e,
			  eng_hold_request h, int64_t sent, int64_t born,
			  int64_t wait_until)
	{
		if (!w.up || !w.reachable) {
			in(700, [=] {
				if (e == epoch)
					eng_hold_failed(engine, str(id),
							ENG_REPLY_NONE, now);
			});
			return;
		}
		if (e < w.fence) {
			in(15, [=] {
				if (e == epoch)
					eng_hold_failed(engine, str(id),
							ENG_REPLY_FENCED, now);
			});
			return;
		}
		w.fence = e;
		if (w.born == born && h.until_ms)
			w.until = std::max(w.until, std::min(h.until_ms,
							     clock(w) + 6000));
		if (w.born == born)
			acknowledge(w, h.acknowledged);
		h.until_ms = 0;
		if (w.ends.empty() && now < wait_until) {
			in(20, [=, &w] {
				hold_arrives(w, id, e, h, sent, born,
					     wait_until);
			});
			return;
		}
		answer_hold(w, id, e, sent);
	}

	void acknowledge(Worker &w, int64_t number)
	{
		while (!w.ends.empty() && w.ends.front().number <= number) {
			if (w.ends.front().how == ENG_END_DONE)
				acked_done.insert(w.ends.front().key);
			w.ends.erase(w.ends.begin());
		}
	}

	void answer_hold(Worker &w, const std::string &id, uint64_t e,
			 int64_t sent)
	{
		std::vector<eng_running_task> run;
		std::vector<eng_finished_task> fin;
		int64_t c = clock(w), born = w.born;

		for (auto &r : w.running) {
			eng_running_task x = {};

			x.task = { r.key.job, 0, r.key.step, r.key.index,
				   r.run };
			run.push_back(x);
		}
		for (auto &n : w.ends) {
			eng_finished_task x = {};

			x.number = n.number;
			x.task = { n.key.job, 0, n.key.step, n.key.index,
				   n.run };
			x.how = n.how;
			fin.push_back(x);
		}
		in(15, [=] {
			struct eng_worker_report r = {};

			if (e != epoch)
				return;
			r.sent_ms = sent;
			r.clock_ms = c;
			r.born_ms = born;
			r.running = run.data();
			r.n_running = run.size();
			r.finished = fin.data();
			r.n_finished = fin.size();
			eng_worker_report(engine, str(id), &r, now);
		});
	}

	static bool advise_cb(void *ctx, const eng_advice_request *a)
	{
		((World *)ctx)->on_advise(a);
		return true;
	}

	/* A quarter of the workers may not run a step; which, never changes. */
	static bool good(uint64_t job, uint32_t step, const std::string &w)
	{
		return std::hash<std::string>()(w +
						std::to_string(job + step)) %
			       4 !=
		       0;
	}

	void on_advise(const eng_advice_request *a)
	{
		std::vector<std::string> ids;
		uint64_t e = epoch, job = a->job;
		uint32_t step = a->step;

		asks++;
		for (size_t i = 0; i < a->n; i++)
			ids.emplace_back(a->workers[i].data, a->workers[i].len);
		in((int64_t)a->cost_ms + 40, [=] {
			std::vector<struct vh_slice> asked;
			std::vector<eng_advised_worker> ok;

			if (e != epoch)
				return;
			for (auto &id : ids) {
				asked.push_back(str(id));
				if (!good(job, step, id))
					continue;
				ok.push_back({ str(id), str(id) });
				tickets[{ job, step, id }] = now + 1500;
			}
			eng_advice_received(engine, job, step, asked.data(),
					    asked.size(), ok.data(), ok.size(),
					    now, 1500, now);
		});
	}

	static void deposed_cb(void *ctx, const char *why)
	{
		((World *)ctx)->broken(std::string("deposed: ") + why);
	}
};

inline eng_step_spec step(uint32_t n, int64_t cpu, int64_t ms)
{
	eng_step_spec s = {};

	s.n_tasks = n;
	s.need.cpu_milli = cpu;
	s.need.mem_mb = 500;
	s.estimate_ms = ms;
	return s;
}

} // namespace world

#endif
