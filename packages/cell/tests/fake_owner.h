#ifndef CELL_TESTS_FAKE_OWNER_H
#define CELL_TESTS_FAKE_OWNER_H

/*
 * One owner with a clock of the test's own, one worker, and a store that
 * answers writes to the topic of states only when the test says so. Included by
 * test_owner_pause.cc, test_owner_recovery.cc, test_owner_view.cc and
 * test_owner_withheld.cc.
 */

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "keys.h"
#include "owner_priv.h"
#include "vh/log.h"
}

namespace fake
{

constexpr int64_t LEASE_MS = 5000, LEASE_MAX_MS = 6000;
constexpr int64_t FORMER_OWNER_MS = 3300, PERMITTED_MS = 3000;
constexpr int64_t MAX_VIEW_AGE_MS = 2100;
constexpr int64_t TICK_MS = 50;
constexpr const char *WORKER = "10.0.0.1:1";
constexpr uint64_t JOB = 7;
constexpr uint32_t TASKS = 2;

struct Append {
	vh_topic topic;
	size_t n;
	int64_t sent_ms;
	void (*done)(void *, const vh_append_reply *);
	void *ctx;
};

// A start, or a hold that renews the lease.
struct Sent {
	int64_t at_ms;
	int64_t until_ms;
	int64_t not_after_ms; // of a start
};

class OneOwner : public testing::Test
{
      public:
	OneOwner()
	{
		static bool log_set_up; // possible only once

		if (!log_set_up)
			vh_log_init("test", G_LOG_LEVEL_CRITICAL);
		log_set_up = true;
		vh_fake_clock_init(&clock, 1000000);
		vh_kernel_init(&kernel, &clock.clock);
		peers.kernel = &kernel;
		ports = { &store_ops, this,    &worker_ops, this,
			  nullptr,    nullptr, &decode_ops };
		topics[VH_TOPIC_FLEET].emplace_back(WORKER, "z");
		add_job(JOB);
	}

	~OneOwner() override
	{
		stop_owner();
		vh_kernel_finish(&kernel);
	}

	int64_t now()
	{
		return vh_kernel_now_ms(&kernel);
	}

	void start_owner(uint64_t epoch)
	{
		static const owner_ops ops = [] {
			owner_ops o = {};

			o.confirmed = [](void *c, int64_t sent_ms) {
				auto *self = (OneOwner *)c;

				self->confirmed_ms =
					std::max(self->confirmed_ms, sent_ms);
			};
			o.permitted_until_ms = [](void *c) {
				auto *self = (OneOwner *)c;

				return std::max(self->confirmed_ms +
							PERMITTED_MS,
						self->outage_until_ms);
			};
			o.ownership_lost = [](void *c, const char *) {
				((OneOwner *)c)->lost = true;
				((OneOwner *)c)->end_owner();
			};
			o.store_reached = [](void *) {};
			o.zones_wanted = [](void *c) {
				((OneOwner *)c)->later([c] {
					((OneOwner *)c)->read_zones();
				});
			};
			o.freed = [](void *c) {
				((OneOwner *)c)->freed = true;
			};
			return o;
		}();
		owner_settings s = {};

		s.engine.lease_ms = LEASE_MS;
		s.engine.lease_max_ms = LEASE_MAX_MS;
		s.engine.stop_ms = 300;
		s.engine.gang_ms = 3000;
		s.max_view_age_ms = MAX_VIEW_AGE_MS;
		freed = false;
		confirmed_ms = now();
		o = owner_new(&kernel, &ports, &peers, &s, epoch,
			      FORMER_OWNER_MS, &ops, this);
		read_zones();
	}

	// Ends the owner, which is freed by stop_owner().
	void end_owner()
	{
		if (!o)
			return;
		owner_end(o);
		o = nullptr;
	}

	void stop_owner()
	{
		end_owner();
		while (!freed) {
			answer_all();
			event_base_loop(kernel.base, EVLOOP_ONCE);
		}
	}

	void answer_all()
	{
		auto a = std::move(appends);
		auto r = std::move(held_replies);

		appends.clear();
		held_replies.clear();
		for (auto &x : a) {
			vh_append_reply reply = {};

			reply.result = VH_STORE_UNKNOWN;
			x.done(x.ctx, &reply);
		}
		for (auto &f : r)
			f();
	}

	// Time passes without the process running.
	void pause(int64_t ms)
	{
		vh_fake_clock_advance(&clock, ms);
	}

	// Handles events up to and including the next run of the owner.
	void run()
	{
		int64_t before = now();

		// A run at the same time as an earlier one could not be told.
		vh_fake_clock_advance(&clock, 1);
		while (o && o->last_run_ms <= before)
			event_base_loop(kernel.base, EVLOOP_ONCE);
	}

	// Advances the clock, with runs in between, while the zones are read.
	void tick(int64_t ms, int64_t step_ms = TICK_MS)
	{
		for (int64_t t = 0; t < ms && o; t += step_ms) {
			vh_fake_clock_advance(&clock, step_ms - 1);
			read_zones();
			run();
		}
	}

	bool tick_until(std::function<bool()> condition)
	{
		for (int i = 0; i < 200 && o && !condition(); i++)
			tick(TICK_MS);
		return condition();
	}

	void read_zones()
	{
		if (o && zones_readable)
			owner_set_drained_zones(o, nullptr, 0, now());
	}

	// The index of a pending write of states, -1: none.
	int state_append()
	{
		for (size_t i = 0; i < appends.size(); i++)
			if (appends[i].topic == VH_TOPIC_STATE)
				return (int)i;
		return -1;
	}

	// Answers the pending write of states; returns when it was sent.
	int64_t answer(vh_store_result result = VH_STORE_OK)
	{
		int i = state_append();
		vh_append_reply r = {};

		if (i < 0)
			return 0;
		Append a = appends[(size_t)i];

		appends.erase(appends.begin() + i);
		r.result = result;
		a.done(a.ctx, &r);
		return a.sent_ms;
	}

	// Runs the owner with a store that answers until it is active and the
	// worker has answered.
	void activate(uint64_t epoch)
	{
		start_owner(epoch);
		ASSERT_TRUE(tick_until([this] {
			answer();
			return o->phase == OWNER_ACTIVE && holds;
		}));
	}

	// Until the write with the placement of the job's tasks is on its way.
	void place()
	{
		ASSERT_TRUE(tick_until([this] {
			int i = state_append();

			if (i >= 0 && o->append_batch)
				return true;
			answer();
			return false;
		}));
		ASSERT_TRUE(starts.empty());
	}

	// Until the job's tasks run and its worker's lease is renewed.
	void run_job()
	{
		ASSERT_TRUE(tick_until([this] {
			answer();
			return !starts.empty() && !leases.empty();
		}));
	}

	// What only the present owner may send, since @from_ms.
	int sent_since(int64_t from_ms)
	{
		int n = 0;

		for (auto &s : starts)
			n += s.at_ms >= from_ms;
		for (auto &s : leases)
			n += s.at_ms >= from_ms;
		return n;
	}

	void later(std::function<void()> fn)
	{
		vh_kernel_defer(
			&kernel,
			[](void *p) {
				auto *f = (std::function<void()> *)p;

				(*f)();
				delete f;
			},
			new std::function<void()>(fn));
	}

	// Calls @fn soon, or once the test releases the held replies.
	void reply(bool held, std::function<void()> fn)
	{
		if (held)
			held_replies.push_back(fn);
		else
			later(fn);
	}

	void release_replies()
	{
		auto r = std::move(held_replies);

		held_replies.clear();
		for (auto &f : r)
			f();
	}

	// Another node stores a job.
	void add_job(uint64_t id)
	{
		eng_step_spec step = {};
		eng_job_spec spec = {};
		vh_buf bytes = {};
		char key[VH_KEY_BYTES];

		step.n_tasks = TASKS;
		step.need = { 1000, 100, 0 };
		step.estimate_ms = 60000;
		spec.id = id;
		spec.queue = vh_slice_str("q");
		spec.service = vh_slice_str("svc");
		spec.team = vh_slice_str("");
		spec.max_attempts = 3;
		spec.stretch = 2;
		spec.target_ms = 1000;
		spec.steps = &step;
		spec.n_steps = 1;
		eng_job_pack(&spec, &bytes);
		vh_key_format(key, VH_KEY_JOB, id);
		topics[VH_TOPIC_JOBS].emplace_back(key, std::string(bytes.data,
								    bytes.len));
		vh_buf_finish(&bytes);
	}

	vh_fake_clock clock;
	vh_kernel kernel;
	peer_server peers = {};
	vh_ports ports;
	owner *o = nullptr;
	std::vector<std::pair<std::string, std::string>> topics[VH_TOPIC_COUNT];
	std::vector<Append> appends;
	std::vector<std::function<void()>> held_replies;
	std::vector<Sent> starts, leases;
	std::map<std::string, std::vector<eng_task_ref>> running; // by worker
	std::map<std::string, std::vector<eng_task_ref>>
		done;		   // ends that a worker lists, by worker
	int64_t acknowledged = 0;  // number of the last end
	std::string silent_worker; // its holds have no reply
	int holds = 0, stops = 0;
	int64_t pause_after_start_ms = 0; // once
	eng_reply start_reply = ENG_REPLY_OK;
	bool zones_readable = true;
	bool hold_states = false, hold_jobs = false; // reads have no answer
	bool hold_fleet = false;
	bool hold_reports = false; // the workers' replies are on their way
	bool lost = false, freed = true;
	int64_t confirmed_ms = 0;
	int64_t outage_until_ms = 0; // the store is down for all until then

      private:
	static OneOwner *of(void *self)
	{
		return (OneOwner *)self;
	}

	static void append(void *self, const vh_append *a,
			   void (*done)(void *, const vh_append_reply *),
			   void *ctx)
	{
		OneOwner *f = of(self);

		f->appends.push_back({ a->topic, a->n, f->now(), done, ctx });
		for (size_t i = 0; i < a->n; i++) {
			const vh_record &r = a->records[i];

			f->topics[a->topic].emplace_back(
				std::string(r.key.data, r.key.len),
				std::string(r.value.data ? r.value.data : "",
					    r.value.len));
		}
	}

	using ReadDone = void (*)(void *, const vh_read_reply *);

	using Topic = std::vector<std::pair<std::string, std::string>>;

	// Whether a newer record has the same key.
	static bool superseded(const Topic &t, size_t i)
	{
		for (size_t k = i + 1; k < t.size(); k++)
			if (t[k].first == t[i].first)
				return true;
		return false;
	}

	void send_records(vh_topic topic, uint64_t from, bool all,
			  ReadDone done, void *ctx)
	{
		bool held = (topic == VH_TOPIC_STATE && hold_states) ||
			    (topic == VH_TOPIC_JOBS && hold_jobs) ||
			    (topic == VH_TOPIC_FLEET && hold_fleet);

		// As of the call, however late the reply is.
		reply(held, [=, t = topics[topic]] {
			std::vector<vh_record> out;
			vh_read_reply r = {};

			for (size_t i = from; i < t.size(); i++) {
				struct vh_slice key = { t[i].first.data(),
							t[i].first.size() };
				struct vh_slice value = { t[i].second.data(),
							  t[i].second.size() };

				if (all || !superseded(t, i))
					out.push_back({ key, value, i });
			}
			r.records = out.data();
			r.n = out.size();
			r.end = t.size();
			done(ctx, &r);
		});
	}

	static void read(void *self, vh_topic topic, uint64_t from, int64_t,
			 ReadDone done, void *ctx)
	{
		of(self)->send_records(topic, from, true, done, ctx);
	}

	static void newest(void *self, vh_topic topic, struct vh_slice,
			   ReadDone done, void *ctx)
	{
		of(self)->send_records(topic, 0, false, done, ctx);
	}

	static void start(void *self, uint64_t, const eng_start_request *s,
			  void (*done)(void *, eng_reply), void *ctx)
	{
		OneOwner *f = of(self);
		struct vh_slice address = s->boot.address;

		f->starts.push_back({ f->now(), s->until_ms, s->not_after_ms });
		if (f->start_reply == ENG_REPLY_OK)
			f->running[std::string(address.data, address.len)]
				.push_back(s->task);
		f->pause(f->pause_after_start_ms);
		f->pause_after_start_ms = 0;
		eng_reply reply = f->start_reply;

		f->later([=] { done(ctx, reply); });
	}

	static void stop(void *self, uint64_t, const eng_stop_request *,
			 void (*done)(void *, eng_reply), void *ctx)
	{
		of(self)->stops++;
		of(self)->later([=] { done(ctx, ENG_REPLY_OK); });
	}

	static void hold(void *self, uint64_t, const eng_hold_request *h,
			 void (*done)(void *, eng_reply,
				      const struct eng_worker_report *),
			 void *ctx)
	{
		OneOwner *f = of(self);
		int64_t sent_ms = f->now();
		std::string worker(h->boot.address.data, h->boot.address.len);

		if (worker == f->silent_worker) {
			f->later([=] { done(ctx, ENG_REPLY_NONE, nullptr); });
			return;
		}
		f->holds++;
		f->acknowledged = std::max(f->acknowledged, h->acknowledged);
		if (h->until_ms)
			f->leases.push_back({ sent_ms, h->until_ms, 0 });
		int64_t clock_ms = f->now();

		f->reply(f->hold_reports, [=] {
			std::vector<eng_running_task> tasks;
			std::vector<eng_finished_task> ends;
			struct eng_worker_report r = {};

			for (auto &t : f->running[worker])
				tasks.push_back({ t, {} });
			for (auto &t : f->done[worker])
				ends.push_back({ (int64_t)ends.size() + 1,
						 t,
						 ENG_END_DONE,
						 {} });
			r.finished = ends.data();
			r.n_finished = ends.size();
			r.sent_ms = sent_ms;
			r.clock_ms = clock_ms;
			r.born_ms = 1;
			r.running = tasks.data();
			r.n_running = tasks.size();
			done(ctx, ENG_REPLY_OK, &r);
		});
	}

	static bool worker(struct vh_slice key, struct vh_slice value,
			   eng_worker_info *out, GStringChunk *, const char **)
	{
		*out = {};
		out->draining = vh_slice_eq_str(value, "draining");
		out->id = key;
		out->address = key;
		out->service = vh_slice_str("svc");
		out->zone = vh_slice_str("z");
		out->capacity = { 16000, 64000, 0 };
		out->born_ms = 1;
		return true;
	}

	static constexpr vh_store_ops store_ops = { append, read, newest };
	static constexpr vh_worker_ops worker_ops = { start, stop, hold };
	static constexpr vh_decode_ops decode_ops = { nullptr, nullptr,
						      worker };
};

} // namespace fake

#endif
