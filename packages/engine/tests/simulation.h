#ifndef ENGINE_TESTS_SIMULATION_H
#define ENGINE_TESTS_SIMULATION_H

/*
 * Discrete-event simulation of the cluster around the engine: workers that
 * follow the worker API, a store, a policy service, and faults drawn from a
 * seed. The invariants are checked on the state of the workers. Included by the
 * test programs of this folder.
 */

#include <cstdlib>

#include <gtest/gtest.h>

#include "sim_workers.h"

namespace engine_sim
{

class Simulation : public SimWorkers
{
      public:
	using SimWorkers::SimWorkers;

	/* Adds a job as it would be read from the store, in serialized form. */
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
		spec.stretch = stretch;
		spec.target_ms = target_ms;
		spec.advice.needed = advice;
		spec.advice.decide_ms = decide_ms;
		spec.advice.each_ms = 1;
		spec.advice.valid_ms = 1500;
		spec.received_ms = now;
		spec.payload = str(payload);
		spec.steps = steps.data();
		spec.n_steps = steps.size();
		eng_job_pack(&spec, &bytes);
		jobs[id].spec = eng_job_unpack(vh_buf_slice(&bytes));
		jobs[id].accepted_ms = now;
		serialized_jobs[id] = std::string(bytes.data, bytes.len);
		vh_buf_finish(&bytes);
		if (engine && ready)
			add_job(id);
	}

	void add_job(uint64_t id)
	{
		eng_job_add(engine, eng_job_unpack(str(serialized_jobs[id])),
			    now, now);
	}

	void cancel(uint64_t id)
	{
		jobs[id].cancelled_ms = now;
		if (engine && ready && !view_age_max_ms)
			eng_job_cancel(engine, id, now);
	}

	/* Another node becomes owner: it knows only what was stored. */
	void take_over()
	{
		eng_settings s = {};
		eng_callbacks callbacks = {};

		retire_owner();
		epoch++;
		s.fence = epoch;
		s.lease_ms = 5000;
		s.lease_max_ms = lease_max_ms;
		s.stop_ms = 300;
		s.gang_ms = 3000;
		s.former_owner_ms = former_owner_ms;
		s.entry_age_max_ms = entry_age_max_ms;
		s.ignore_speeds = ignore_speeds;
		s.overload_order = overload_order;
		s.past_use_half_life_ms = past_use_half_life_ms;
		s.record_bytes = record_bytes;
		callbacks.start = start_cb;
		callbacks.stop = stop_cb;
		callbacks.hold = hold_cb;
		callbacks.advise = advise_cb;
		callbacks.deposed = deposed_cb;
		callbacks.zone_event = zone_event_cb;
		callbacks.worker_event = worker_event_cb;
		if (advice_nodes)
			callbacks.advice_available = advice_available_cb;
		callbacks.overload = overload_cb;
		callbacks.waiting = waiting_cb;
		callbacks.long_wait = long_wait_cb;
		if (step_us)
			callbacks.elapsed_us = elapsed_us_cb;
		callbacks.ctx = this;
		engine = eng_new(&s, &callbacks, now);
		batch_in_flight = false;
		busy_nodes = 0;
		in_overload = false;
		eng_set_teams(engine, teams.data(), teams.size());
		for (auto &w : workers)
			list_worker(w);
		if (jobs_first)
			add_stored_jobs();
		for (auto &r : learned_records)
			eng_learned_restore(engine, str(r.first), str(r.second),
					    now);
		if (!parts_last)
			restore_parts();
		for (auto &r : stored_records)
			eng_job_restore(engine, r.first, str(r.second), now);
		add_stored_jobs();
		if (parts_last)
			restore_parts();
		ready = true;
		view_read_ms = now;
		pass_zones();
		eng_recovery_done(engine, now);
		check_known_jobs();
	}

	void restore_parts()
	{
		for (auto &p : stored_parts)
			eng_job_restore_part(engine, p.first.first,
					     p.first.second, str(p.second),
					     now);
	}

	/*
	 * The owner does not know yet that it is none any more. What it has stored
	 * is confirmed, and it stores nothing else.
	 */
	void retire_owner()
	{
		free_former();
		if (!engine)
			return;
		former = engine;
		former_epoch = epoch;
		former_until_ms = now + former_owner_ms;
		if (!draws(faults.former_owner))
			free_former();
	}

	void free_former()
	{
		if (former)
			eng_free(former);
		former = nullptr;
	}

	void run_former()
	{
		if (!former)
			return;
		if (now >= former_until_ms) {
			free_former();
			return;
		}
		as_owner(former_epoch, [this] { eng_schedule(engine, now); });
	}

	/* Calls @act with the engine of an owner, unless that is gone. */
	void as_owner(uint64_t e, const std::function<void()> &act)
	{
		if (e == epoch) {
			act();
			return;
		}
		if (!former || e != former_epoch || now >= former_until_ms)
			return;
		std::swap(engine, former);
		std::swap(epoch, former_epoch);
		in_former = true;
		act();
		in_former = false;
		std::swap(engine, former);
		std::swap(epoch, former_epoch);
	}

	/* Adds the jobs and cancellations that are in the store. */
	void add_stored_jobs()
	{
		for (auto &j : jobs) {
			if (deleted_jobs.count(j.first))
				continue;
			add_job(j.first);
			if (j.second.cancelled_ms >= 0)
				eng_job_cancel(engine, j.first, now);
		}
	}

	void delete_ended_jobs()
	{
		eng_ended_job ended[64];

		if (store_down || now < next_deletion_ms)
			return;
		next_deletion_ms = now + DELETION_INTERVAL_MS;
		for (size_t n = eng_pop_ended_jobs(engine, ended, 64); n; n--)
			deleted_jobs.insert(ended[n - 1].id);
	}

	/* The owner's node has read the topic with the operators' records. */
	void pass_zones()
	{
		std::vector<struct vh_slice> zones;

		for (auto &z : drained)
			zones.push_back(str(z.first));
		eng_set_drained_zones(engine, zones.data(), zones.size(), now);
		eng_set_start_limit(engine,
				    view_age_max_ms
					    ? view_read_ms + view_age_max_ms
					    : INT64_MAX,
				    now);
	}

	/* As the owner does, if the age of its view is bounded. */
	void read_store()
	{
		if (!view_age_max_ms || now < unread_until_ms ||
		    now < view_read_ms + READ_INTERVAL_MS)
			return;
		for (auto &j : jobs) {
			if (j.second.cancelled_ms >= 0)
				eng_job_cancel(engine, j.first, now);
		}
		view_read_ms = now;
		pass_zones();
	}

	/* Tasks of jobs that are cancelled meanwhile are stopped later. */
	void stop_reading()
	{
		unread_until_ms = now + draw_ms(UNREAD_MAX_MS);
		calls_lost_until_ms =
			std::max(calls_lost_until_ms,
				 unread_until_ms + READ_INTERVAL_MS);
	}

	void drain(const std::string &zone)
	{
		drained[zone] = now;
		pass_zones();
	}

	void end_drain(const std::string &zone)
	{
		drained.erase(zone);
		pass_zones();
	}

	/* As the cell does when its event loop runs again after a stall. */
	void wake_owner()
	{
		owner_asleep = false;
		eng_set_start_limit(engine, now - 1, now);
		schedule_in(300, [this] { pass_zones(); });
	}

	static void zone_event_cb(void *ctx, const char *what,
				  const eng_zone_status *z)
	{
		((Simulation *)ctx)
			->zone_events.push_back(
				std::string(z->zone.data, z->zone.len) + ": " +
				what);
	}

	void list_worker(Worker &w)
	{
		eng_worker_info i = {};
		struct vh_slice labels[1] = { str(rack) };

		i.id = str(w.id);
		i.service = str(service);
		i.address = str(w.address);
		i.zone = str(w.zone);
		i.cold_ms = w.cold_ms;
		i.capacity = { w.entry_capacity, 64000, 0 };
		i.clock_ms = w.entry_clock;
		i.draining = w.draining;
		i.labels = labels;
		i.n_labels = 1;
		i.born_ms = entries_name_boot ? w.entry_boot_ms : 0;
		if (w.listed)
			eng_worker_listed(engine, &i, now);
	}

	/* Advances faults, workers and the engine in steps of 10 ms. */
	void run_for(int64_t ms, bool with_faults)
	{
		int64_t end = now + ms;

		while (now < end) {
			if (with_faults)
				inject_faults();
			note_lost_calls();
			advance_workers();
			beat();
			if (!owner_asleep)
				run_engine();
			run_former();
			run_until(now + 10);
			if (now % 100 < 10)
				check_pending_count();
		}
	}

	void run_engine()
	{
		read_store();
		eng_schedule(engine, now);
		delete_ended_jobs();
		if (batch_in_flight)
			return;
		eng_record *records = nullptr;
		size_t n = 0;
		uint64_t batch = eng_flush(engine, &records, &n);

		if (!batch)
			return;
		std::vector<Record> copy;
		for (size_t i = 0; i < n; i++)
			copy.push_back(
				{ records[i].job,
				  records[i].name ? records[i].name : "",
				  std::string(records[i].bytes.len
						      ? records[i].bytes.data
						      : "",
					      records[i].bytes.len),
				  records[i].is_part, records[i].first_task });
		eng_records_free(records, n);
		batch_in_flight = true;
		uint64_t e = epoch;
		schedule_in(chance(faults.slow_store) ? 400 : 8,
			    [=] { store_batch(e, batch, copy); });
	}

	void store_batch(uint64_t e, uint64_t batch,
			 const std::vector<Record> &records)
	{
		if (e != epoch)
			return;
		if (store_down || states_down) {
			schedule_in(50,
				    [=] { store_batch(e, batch, records); });
			return;
		}
		size_t n = records_per_append ? std::min(records_per_append,
							 records.size())
					      : records.size();

		for (size_t i = 0; i < n; i++) {
			store_record(records[i]);
			if (++records_stored != end_after_records)
				continue;
			schedule_in(1, [this] { take_over(); });
			return;
		}
		if (n < records.size()) {
			std::vector<Record> rest(records.begin() + (long)n,
						 records.end());

			schedule_in(8, [=] { store_batch(e, batch, rest); });
			return;
		}
		schedule_in(5, [=] { confirm_batch(e, batch); });
	}

	void confirm_batch(uint64_t e, uint64_t batch)
	{
		if (e != epoch) {
			as_owner(e,
				 [=] { eng_batch_stored(engine, batch, now); });
			return;
		}
		if (owner_asleep) {
			schedule_in(5, [=] { confirm_batch(e, batch); });
			return;
		}
		batch_in_flight = false;
		eng_batch_stored(engine, batch, now);
	}

	void store_record(const Record &r)
	{
		if (record_bytes && r.name.empty() &&
		    r.bytes.size() > record_bytes)
			violations.push_back("a record of " +
					     std::to_string(r.bytes.size()) +
					     " bytes");
		if (r.is_part && r.bytes.empty()) {
			stored_parts.erase({ r.job, r.first_task });
			return;
		}
		if (r.is_part) {
			stored_parts[{ r.job, r.first_task }] = r.bytes;
			return;
		}
		if (r.name.empty()) {
			stored_records[r.job] = r.bytes;
			return;
		}
		learned_records[r.name] = r.bytes;
		learned_bytes += r.name.size() + r.bytes.size();
	}

	void inject_faults()
	{
		Worker &w =
			workers[(size_t)(random01() * (double)workers.size())];

		if (chance(faults.crash / 100) && w.up)
			crash(w);
		if (faults.reboot > 0 && chance(faults.reboot / 100) && w.up)
			reboot(w);
		if (chance(faults.partition / 100) && w.reachable) {
			w.reachable = false;
			schedule_in(1000 + (int64_t)(random01() * 9000),
				    [&w] { w.reachable = true; });
		}
		if (faults.resize > 0 && chance(faults.resize / 100) &&
		    w.capacity == FULL_CAPACITY) {
			resize(w, (int64_t)(FULL_CAPACITY *
					    (0.25 + random01() / 2)));
			schedule_in(3000 + (int64_t)(random01() * 9000),
				    [this, &w] { resize(w, FULL_CAPACITY); });
		}
		if (chance(faults.takeover / 100) && !store_down)
			take_over();
		if (draws(faults.recut / 100) && !store_down)
			recut();
		if (draws(faults.unread / 100) && now >= unread_until_ms)
			stop_reading();
		if (chance(faults.cancel / 100) && !jobs.empty()) {
			auto j = jobs.begin();

			std::advance(j,
				     (long)(random01() * (double)jobs.size()));
			if (j->second.cancelled_ms < 0)
				cancel(j->first);
		}
	}

	/* While calls get lost, and until the last of them has arrived. */
	void note_lost_calls()
	{
		if (faults.slow_request > 0 || faults.slow_hold > 0 ||
		    faults.late_report > 0 || faults.not_sent > 0)
			calls_lost_until_ms = now + LATE_MAX_MS;
	}

	/* Workers start again around a takeover and are cut off soon after. */
	void recut()
	{
		size_t n = 1 + (size_t)draw_ms(3);
		int64_t takeover_in_ms = draw_ms(3000);

		schedule_in(takeover_in_ms, [this] {
			if (!store_down)
				take_over();
		});
		for (size_t i = 0; i < n; i++) {
			Worker &w = workers[(size_t)draw_ms(
				(int64_t)workers.size())];
			int64_t again_in_ms = draw_ms(takeover_in_ms + 3000);
			int64_t cut_in_ms =
				std::max(again_in_ms, takeover_in_ms) +
				draw_ms(3000);

			schedule_in(again_in_ms, [this, &w] {
				if (w.up)
					reboot(w);
			});
			schedule_in(cut_in_ms, [&w] { w.reachable = false; });
			schedule_in(cut_in_ms + 3000 + draw_ms(20000),
				    [&w] { w.reachable = true; });
		}
	}

	/* Workers update their entries while the store can be reached. */
	void beat()
	{
		for (auto &w : workers) {
			if (!w.up || w.next_beat_ms > now)
				continue;
			w.next_beat_ms = now + BEAT_MS;
			if (store_down)
				continue;
			w.entry_capacity = w.capacity;
			w.entry_clock = clock(w);
			w.entry_boot_ms = w.boot_ms;
			list_worker(w);
		}
	}

	static void start_cb(void *ctx, const eng_start_request *request)
	{
		((Simulation *)ctx)->on_start(request);
	}

	void reply_to_start(uint64_t e, const eng_boot &boot, eng_task_ref ref,
			    eng_reply a, int64_t in_ms)
	{
		std::string id(boot.worker.data, boot.worker.len);
		uint32_t count = boot.count;

		schedule_in(in_ms, [=] {
			as_owner(e, [&] {
				eng_start_reply(engine, str(id), count, ref, a,
						now);
			});
		});
	}

	void on_start(const eng_start_request *request)
	{
		check_address(request->boot.address);
		check_start_limit(request, now);
		Worker &w = find_worker(request->boot.worker);
		const eng_step_spec &s =
			jobs[request->task.job].spec->steps[request->task.step];
		Run r = {};
		eng_task_ref ref = request->task;
		uint64_t e = epoch;
		eng_boot boot = request->boot;
		int64_t until = request->until_ms;
		bool delayed = chance(faults.delay_request);
		bool slow = draws(faults.slow_request);
		bool reply_lost = delayed || chance(faults.lose_reply);
		bool passed = (delayed || slow) && w.reachable;
		int64_t transit_ms = delayed ? 2000 + draw_ms(10000)
				     : slow  ? draw_ms(LATE_MAX_MS)
					     : w.delay_ms;
		int64_t queue_ms = 0;

		boot.worker = str(w.id);
		r.key = { ref.job, ref.step, ref.index };
		r.run = ref.run;
		r.sent_ms = now;
		if (!sent_starts.insert({ r.key, r.run }).second &&
		    chance(faults.reject_retry)) {
			reply_to_start(e, boot, ref, ENG_REPLY_REFUSED,
				       2 * w.delay_ms);
			return;
		}
		if (draws(faults.not_sent)) {
			reply_to_start(e, boot, ref, ENG_REPLY_NOT_SENT,
				       draw_ms(REQUEST_FAILED_MAX_MS));
			return;
		}
		if (draws(faults.queued))
			queue_ms = draw_ms(START_QUEUE_MAX_MS);
		if (now + queue_ms > request->not_after_ms) {
			reply_to_start(e, boot, ref, ENG_REPLY_NOT_SENT,
				       queue_ms);
			return;
		}
		check_start_limit(request, now + queue_ms);
		start_limits.push_back(request->not_after_ms);
		transit_ms += queue_ms;
		r.sent_ms = now + queue_ms;
		start_log.emplace_back(now, w.id, r.key);
		sent_runs[w.id].insert({ r.key, r.run });
		r.need = s.need;
		if (slow)
			reply_to_start(e, boot, ref, ENG_REPLY_NONE,
				       REQUEST_TIMEOUT_MS +
					       draw_ms(REQUEST_FAILED_MAX_MS -
						       REQUEST_TIMEOUT_MS));
		schedule_in(transit_ms, [=, &w] {
			eng_reply a = start_arrives(w, e, boot, r, ref, until,
						    delayed || slow, passed);

			if (slow)
				return;
			if (reply_lost)
				a = ENG_REPLY_NONE;
			reply_to_start(e, boot, ref, a,
				       a == ENG_REPLY_NONE ? REQUEST_TIMEOUT_MS
							   : w.delay_ms);
		});
	}

	/*
	 * @late: it was on its way for long
	 * @passed: it reaches the boot though the worker may be cut off by now
	 */
	eng_reply start_arrives(Worker &w, uint64_t e, const eng_boot &boot,
				const Run &r, eng_task_ref ref, int64_t until,
				bool late, bool passed)
	{
		Run x = r;

		if (jobs[ref.job].spec->advice.needed &&
		    tickets[{ ref.job, ref.step, w.id }] < now) {
			stale_tickets++;
			return ENG_REPLY_TICKET_EXPIRED;
		}
		x.stop_at_ms = now;
		x.started_ms = now;
		x.ends_ms =
			now + 100 +
			(int64_t)(random01() * (double)jobs[ref.job]
						       .spec->steps[ref.step]
						       .estimate_ms);
		if (run_ms || duration_ms)
			x.ends_ms = run_end_ms(w, r.key);
		x.fails = chance(faults.fail_task);
		if (!w.up || !(w.reachable || passed))
			return reply_of_next_boot(w);
		if (w.boot_ms != boot.born_ms)
			return reply_of_other_boot(w, e);
		return handle_start(w, e, x, until, late);
	}

	/*
	 * An order does not reach a boot that it is not meant for. At most that
	 * boot is asked which one it is, and learns the fence.
	 */
	eng_reply reply_of_other_boot(Worker &w, uint64_t e)
	{
		if (chance(0.5))
			return ENG_REPLY_NONE;
		if (e < w.fence)
			return ENG_REPLY_FENCED;
		w.fence = e;
		return ENG_REPLY_NOT_SENT;
	}

	static void worker_event_cb(void *ctx, const eng_worker_event *w)
	{
		((Simulation *)ctx)
			->events_by_kind[w->what]
			.insert(std::string(w->worker.data, w->worker.len));
	}

	static void stop_cb(void *ctx, const eng_stop_request *request)
	{
		((Simulation *)ctx)->on_stop(request);
	}

	void reply_to_stop(uint64_t e, const eng_boot &boot, eng_task_ref ref,
			   eng_reply a, int64_t in_ms)
	{
		std::string id(boot.worker.data, boot.worker.len);
		uint32_t count = boot.count;

		schedule_in(in_ms, [=] {
			as_owner(e, [&] {
				eng_stop_reply(engine, str(id), count, ref, a,
					       now);
			});
		});
	}

	void on_stop(const eng_stop_request *request)
	{
		check_address(request->boot.address);
		Worker &w = find_worker(request->boot.worker);
		eng_task_ref ref = request->task;
		eng_boot boot = request->boot;
		uint64_t e = epoch;
		bool reply_lost = chance(faults.lose_reply);
		bool slow = draws(faults.slow_request);
		bool passed = slow && w.reachable;

		boot.worker = str(w.id);
		if (draws(faults.not_sent)) {
			reply_to_stop(e, boot, ref, ENG_REPLY_NOT_SENT,
				      draw_ms(REQUEST_FAILED_MAX_MS));
			return;
		}
		if (slow)
			reply_to_stop(e, boot, ref, ENG_REPLY_NONE,
				      REQUEST_TIMEOUT_MS +
					      draw_ms(REQUEST_FAILED_MAX_MS -
						      REQUEST_TIMEOUT_MS));
		schedule_in(slow ? draw_ms(LATE_MAX_MS) : 15, [=, &w] {
			eng_reply a = stop_arrives(w, e, boot, ref, passed);

			if (slow)
				return;
			if (reply_lost)
				a = ENG_REPLY_NONE;
			reply_to_stop(e, boot, ref, a,
				      a == ENG_REPLY_NONE ? REQUEST_TIMEOUT_MS
							  : 15);
		});
	}

	eng_reply stop_arrives(Worker &w, uint64_t e, const eng_boot &boot,
			       eng_task_ref ref, bool passed)
	{
		if (!w.up || !(w.reachable || passed))
			return reply_of_next_boot(w);
		if (w.boot_ms != boot.born_ms)
			return reply_of_other_boot(w, e);
		return handle_stop(w, e, ref);
	}

	static void hold_cb(void *ctx, const eng_hold_request *request)
	{
		((Simulation *)ctx)->on_hold(request);
	}

	void on_hold(const eng_hold_request *request)
	{
		check_address(request->boot.address);
		Worker &w = find_worker(request->boot.worker);
		uint64_t e = epoch;
		eng_hold_request h = *request;
		int64_t sent = now;

		h.boot.worker = str(w.id);
		holds++;
		acks_sent += h.acknowledged > 0;
		if (draws(faults.not_sent)) {
			fail_hold(e, h.boot, ENG_REPLY_NOT_SENT,
				  draw_ms(REQUEST_FAILED_MAX_MS));
			return;
		}
		if ((h.acknowledged && ack_transit_ms) ||
		    draws(faults.slow_hold)) {
			carry_out_late(w, e, h);
			return;
		}
		schedule_in(15, [=, &w] { hold_arrives(w, e, h, sent); });
	}

	void fail_hold(uint64_t e, const eng_boot &boot, eng_reply a,
		       int64_t in_ms)
	{
		std::string id(boot.worker.data, boot.worker.len);
		uint32_t count = boot.count;

		schedule_in(in_ms, [=] {
			as_owner(e, [&] {
				eng_hold_failed(engine, str(id), count, a, now);
			});
		});
	}

	/* Without a reply. */
	void carry_out_late(Worker &w, uint64_t e, const eng_hold_request &h)
	{
		int64_t transit_ms =
			ack_transit_ms ? ack_transit_ms : draw_ms(LATE_MAX_MS);
		bool passed = w.reachable;
		eng_hold_request held = h;

		schedule_in(transit_ms, [=, &w] {
			if (w.up && (w.reachable || passed) && e >= w.fence)
				apply_hold(w, e, held);
		});
		fail_hold(e, h.boot, ENG_REPLY_NONE,
			  h.wait_ms + REQUEST_TIMEOUT_MS);
	}

	static bool is_order(const eng_hold_request &h)
	{
		return h.until_ms || h.acknowledged;
	}

	/* What it orders is for one boot, any other boot is only asked. */
	void apply_hold(Worker &w, uint64_t e, const eng_hold_request &h)
	{
		w.fence = e;
		if (w.boot_ms != h.boot.born_ms)
			return;
		if (h.until_ms)
			w.lease_until = std::max(
				w.lease_until,
				std::min(h.until_ms, clock(w) + lease_max_ms));
		acknowledge(w, h.acknowledged);
	}

	/* Any boot but the one that is meant replies at once to an order. */
	void hold_arrives(Worker &w, uint64_t e, const eng_hold_request &h,
			  int64_t sent)
	{
		int64_t wait_ms = h.wait_ms;

		if (is_order(h) && w.boot_ms != h.boot.born_ms)
			wait_ms = 0;
		handle_hold(w, e, h, sent, w.boot_ms, now + wait_ms);
	}

	/* @boot_ms: the boot that got the hold; if it starts again meanwhile, the
	 * connection stays silent. */
	void handle_hold(Worker &w, uint64_t e, eng_hold_request h,
			 int64_t sent, int64_t boot_ms, int64_t reply_by_ms)
	{
		if (!w.up || !w.reachable || w.boot_ms != boot_ms) {
			eng_reply a = reply_of_next_boot(w);
			int64_t timeout_ms =
				w.boot_ms == boot_ms
					? REQUEST_TIMEOUT_MS
					: reply_by_ms - now +
						  REQUEST_TIMEOUT_MS;

			fail_hold(e, h.boot, a,
				  a == ENG_REPLY_NONE ? timeout_ms : 15);
			return;
		}
		if (e < w.fence) {
			fail_hold(e, h.boot, ENG_REPLY_FENCED, 15);
			return;
		}
		apply_hold(w, e, h);
		h.acknowledged = 0;
		h.until_ms = 0;
		if (w.ends.empty() && now < reply_by_ms) {
			schedule_in(20, [=, &w] {
				handle_hold(w, e, h, sent, boot_ms,
					    reply_by_ms);
			});
			return;
		}
		reply_to_hold(w, e, sent, h.boot.count);
	}

	/* By the time-out of the hold, or of an owner that was paused. Such an
	 * owner does not use the clock in the report. */
	int64_t draw_report_ms(bool *paused)
	{
		*paused = false;
		if (!draws(faults.late_report))
			return 15;
		*paused = chance(0.5);
		return draw_ms(*paused ? LATE_MAX_MS : REQUEST_TIMEOUT_MS);
	}

	void reply_to_hold(Worker &w, uint64_t e, int64_t sent, uint32_t boot)
	{
		bool paused;
		int64_t transit_ms = draw_report_ms(&paused);
		std::string id = w.id;
		std::vector<eng_running_task> run;
		std::vector<eng_finished_task> finished;
		int64_t c = clock(w), boot_ms = w.boot_ms;

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
			finished.push_back(x);
		}
		schedule_in(transit_ms, [=] {
			struct eng_worker_report r = {};

			r.sent_ms = sent;
			r.boot = boot;
			r.clock_ms = paused ? 0 : c;
			r.born_ms = boot_ms;
			r.running = run.data();
			r.n_running = run.size();
			r.finished = finished.data();
			r.n_finished = finished.size();
			as_owner(e, [&] {
				eng_worker_report(engine, str(id), &r, now);
			});
		});
	}

	static bool advice_available_cb(void *ctx, double cost_ms)
	{
		auto *sim = (Simulation *)ctx;

		(void)cost_ms;
		return sim->busy_nodes < sim->advice_nodes;
	}

	static void overload_cb(void *ctx, const eng_overload_event *o)
	{
		auto *sim = (Simulation *)ctx;

		if (sim->in_former)
			return;
		if (o->active == sim->in_overload)
			sim->add_violation("overload reported twice");
		sim->in_overload = o->active;
		sim->overloads += o->active;
		sim->overload_ends += !o->active;
	}

	static void waiting_cb(void *ctx, const eng_waiting *w)
	{
		auto *sim = (Simulation *)ctx;

		sim->waiting_reports += w->team.len > 0;
	}

	static int64_t elapsed_us_cb(void *ctx)
	{
		auto *sim = (Simulation *)ctx;

		return sim->elapsed_us += sim->step_us;
	}

	static void long_wait_cb(void *ctx, const eng_long_wait *w)
	{
		auto *sim = (Simulation *)ctx;

		sim->long_waits[w->task.job] = *w;
		if (w->deferred)
			sim->deferred_jobs.insert(w->task.job);
	}

	static bool advise_cb(void *ctx, const eng_advice_request *a)
	{
		auto *sim = (Simulation *)ctx;

		if (sim->in_former)
			return false; /* it places nothing any more */
		sim->on_advise(a);
		return true;
	}

	/* A fixed quarter of the workers is not approved for each step. */
	static bool is_approved(uint64_t job, uint32_t step,
				const std::string &w)
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

		advice_requests++;
		advice_log.emplace_back(now, job, in_overload);
		busy_nodes++;
		for (size_t i = 0; i < a->n; i++)
			ids.emplace_back(a->workers[i].data, a->workers[i].len);
		asked_workers.insert(ids.begin(), ids.end());
		schedule_in((int64_t)a->cost_ms + advice_ms, [=] {
			std::vector<struct vh_slice> requested;
			std::vector<eng_advised_worker> approved;

			if (e != epoch)
				return;
			busy_nodes--;
			for (auto &id : ids) {
				requested.push_back(str(id));
				if (approves ? !approves(job, id)
					     : !is_approved(job, step, id))
					continue;
				approved.push_back({ str(id), str(id) });
				tickets[{ job, step, id }] = now + 1500;
			}
			eng_advice_received(engine, job, step, requested.data(),
					    requested.size(), approved.data(),
					    approved.size(), now, 1500, now);
		});
	}

	static void deposed_cb(void *ctx, const char *why)
	{
		auto *sim = (Simulation *)ctx;

		if (!sim->in_former)
			sim->add_violation(std::string("deposed: ") + why);
		else
			sim->former_until_ms = sim->now;
	}
};

/* Seeds from @first to before @end; ENGINE_SEEDS=FIRST:END in the environment
 * replaces them, for wider plays by hand. */
inline testing::internal::ParamGenerator<uint64_t> seeds(uint64_t first,
							 uint64_t end)
{
	const char *wider = getenv("ENGINE_SEEDS");

	if (wider)
		sscanf(wider, "%" SCNu64 ":%" SCNu64, &first, &end);
	return testing::Range<uint64_t>(first, end);
}

inline eng_step_spec step(uint32_t n, int64_t cpu, int64_t ms)
{
	eng_step_spec s = {};

	s.n_tasks = n;
	s.need.cpu_milli = cpu;
	s.need.mem_mb = 500;
	s.estimate_ms = ms;
	return s;
}

} // namespace engine_sim

#endif
