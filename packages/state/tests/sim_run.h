#ifndef VH_SIM_RUN_H
#define VH_SIM_RUN_H

/*
 * Runs the simulation: injects faults, submits jobs and checks the outcome.
 * Called by test_schedules.cc.
 */

#include "sim_node.h"

inline Sim::Sim(const SimSettings &settings)
    : settings(settings), rng(settings.seed)
{
	for (int d = 0; d < VH_DIM_COUNT; d++)
		limit.running.v[d] = VH_RES_UNLIMITED;
	limit.tasks = 5;
	ledger.team_limit = 5;
	log.poll_interval = 20;
	log.append_outcome = [this](const std::string &) {
		AppendOutcome f;

		f.effect_after = 1 + (int64_t)below(15);
		f.reply_after = f.effect_after + 1 + (int64_t)below(15);
		if (healing())
			return f;
		if (chance(8))
			f.reply_after = -1; /* lost after it took effect */
		else if (chance(4))
			f.effect_after = -1, f.reply_after = -1;
		else if (chance(4))
			f.effect_after = (int64_t)below(1500),
			f.reply_after = -1;
		return f;
	};
	log.read_fails = [this] { return !healing() && chance(4); };
	make_workers();
	for (size_t i = 0; i < 3; i++)
		nodes.push_back(std::make_unique<Node>(*this, i));
}

/* Runs all pending events, so that nothing leaks. */
inline Sim::~Sim()
{
	stopped = true;
	for (auto &n : nodes)
		n->crash();
	while (events.step())
		;
}

inline void Sim::add_trace(const std::string &line)
{
	trace.push_back(std::to_string(events.now) + " " + line);
}

inline void Sim::violation(const std::string &line)
{
	add_trace("VIOLATION " + line);
	ledger.violations.push_back(line);
}

inline Node *Sim::node(struct vh_slice id)
{
	for (auto &n : nodes)
		if (n->id == str(id))
			return n.get();
	return NULL;
}

inline std::vector<struct vh_slice> Sim::rack_names()
{
	std::vector<struct vh_slice> out;

	for (auto &it : rack_workers)
		out.push_back(slice(it.first));
	return out;
}

inline Sim::Done *Sim::keep_callback(std::function<void(enum vh_err)> fn)
{
	kept_callbacks.push_back({ fn });
	return &kept_callbacks.back();
}

inline void Sim::on_done(void *arg, enum vh_err err, uint64_t)
{
	((Done *)arg)->fn(err);
}

/* Drops, delays, duplicates and reorders messages until the faults end. */
inline void Sim::send(Node &from, Node &to, Message m, bool once)
{
	size_t a = std::min(from.index, to.index);
	size_t b = std::max(from.index, to.index);
	uint64_t inc = to.incarnation;
	Node *n = &to;
	int copies = 1;

	if (&from != &to && cut.count({ a, b }))
		return;
	if (!healing() && &from != &to) {
		copies = chance(4) ? 0 : !once && chance(4) ? 2 : 1;
	}
	for (int i = 0; i < copies; i++) {
		int64_t delay = &from == &to ? 0 : 1 + (int64_t)below(10);

		if (!healing() && &from != &to && chance(4))
			delay += (int64_t)below(3000);
		log.deliver(&n->port, events.now + delay, [=] {
			if (n->up && n->incarnation == inc)
				m(*n);
		});
	}
}

inline void Sim::make_workers()
{
	for (size_t i = 0; i < 4; i++) {
		struct vh_res cap = { { 3000, 1000, 0, 8, 64 } };
		auto w = std::make_unique<FakeWorker>("w" + std::to_string(i),
						      cap, 1000000 * (i + 1));
		FakeWorker *p = w.get();

		w->check_epoch = !settings.disabled.no_worker_epoch;
		w->run_ms = [this](const std::string &) {
			return 200 + (int64_t)below(6000);
		};
		w->on_begin = [this, p](const FakeWorker::Run &run) {
			auto &t = ledger.tasks[run.task];

			add_trace(p->id + " begins " + run.task + "#" +
				  std::to_string(run.attempt));
			ledger.starts++;
			if (t.running++)
				violation("I2 " + run.task + " runs twice");
			if (t.begun++ && !t.idempotent)
				violation("I7 " + run.task + " began twice");
			if (++ledger.team_running > ledger.team_limit)
				violation("I4 team is over its limit");
		};
		w->on_end = [this, p](const FakeWorker::Run &run,
				      enum vh_end end) {
			add_trace(p->id + " ends " + run.task + " " +
				  vh_end_name(end));
			ledger.ends++;
			ledger.tasks[run.task].running--;
			ledger.team_running--;
		};
		workers.push_back(std::move(w));
		rack_workers[i < 2 ? "r0" : "r1"].push_back(i);
	}
}

inline void Sim::make_jobs()
{
	for (size_t i = 0; i < settings.jobs; i++) {
		std::string key = "key" + std::to_string(i);
		bool idempotent = chance(50);
		uint32_t n = 1 + (uint32_t)below(3);
		int64_t at = (int64_t)below((uint64_t)settings.faults_until);

		ledger.job_idempotent[key] = idempotent;
		/* callers retry through any node until answered */
		for (int64_t t = at;
		     t < settings.faults_until + settings.heal_ms / 2;
		     t += 700 + (int64_t)below(900))
			events.at(t, [=] {
				Node &e = *nodes[below(nodes.size())];

				if (stopped)
					return;
				if (!acked.count(key) || chance(10))
					if (e.up &&
					    e.paused_until <= events.now)
						e.submit(key, idempotent, n,
							 !idempotent);
			});
	}
}

inline void Sim::inject_fault()
{
	size_t n = below(nodes.size()), w = below(workers.size());
	size_t other = (n + 1 + below(nodes.size() - 1)) % nodes.size();
	int64_t ms = 200 + (int64_t)below(chance(30) ? 14000 : 4000);
	auto undo = [this](int64_t after, std::function<void()> fn) {
		events.at(std::min(events.now + after, settings.faults_until),
			  fn);
	};

	switch (below(7)) {
	case 0:
		add_trace("crash " + nodes[n]->id);
		nodes[n]->crash();
		undo(ms, [=] {
			if (!nodes[n]->up && !stopped)
				nodes[n]->start();
		});
		break;
	case 1:
	case 2:
		add_trace("pause " + nodes[n]->id + " " + std::to_string(ms));
		nodes[n]->paused_until =
			std::min(events.now + ms, settings.faults_until);
		break;
	case 3: {
		std::pair<size_t, size_t> p(std::min(n, other),
					    std::max(n, other));

		add_trace("cut " + nodes[n]->id + " " + nodes[other]->id);
		cut.insert(p);
		undo(ms, [=] { cut.erase(p); });
		break;
	}
	case 4:
		add_trace("cut " + nodes[n]->id + " " + workers[w]->id);
		cut_worker.insert({ n, w });
		undo(ms, [=] { cut_worker.erase({ n, w }); });
		break;
	case 5:
		if (chance(50)) {
			add_trace("log down");
			log_down = true;
			undo(ms, [=] { log_down = false; });
		} else {
			add_trace("cut log " + nodes[n]->id);
			cut_log.insert(n);
			undo(ms, [=] { cut_log.erase(n); });
		}
		break;
	default:
		add_trace("crash " + workers[w]->id);
		workers[w]->crash(true);
	}
}

/* All nodes crash at once and restart as new incarnations within 5 s. */
inline void Sim::replace_all()
{
	add_trace("all nodes are replaced");
	for (auto &n : nodes) {
		Node *p = n.get();

		p->crash();
		p->paused_until = 0;
		events.at(events.now + (int64_t)below(5000), [=] {
			if (!stopped && !p->up)
				p->start();
		});
	}
}

inline void Sim::tick_node(size_t i)
{
	Node &n = *nodes[i];

	if (stopped)
		return;
	if (n.up && n.paused_until <= events.now) {
		n.tick();
		if (events.now % 200 < 20)
			n.heartbeat();
	}
	events.at(events.now + 20, [=] { tick_node(i); });
}

inline void Sim::tick_workers()
{
	if (stopped)
		return;
	for (auto &w : workers)
		w->advance(events.now);
	events.at(events.now + 20, [this] { tick_workers(); });
}

inline bool Sim::all_ended()
{
	Node *o = nodes[0]->up ? nodes[0]->owner_of("home/shop/0") : NULL;
	SimHome *h = o && o->up ? o->home("home/shop/0") : NULL;

	if (!h || !h->open || acked.size() < settings.jobs)
		return false;
	for (auto &it : acked) {
		struct vh_job *j = vh_home_job(h->h, slice(it.second));

		if (!j || j->n_unfinished)
			return false;
	}
	return true;
}

/* Compares what callers were told with what the workers observed. */
inline void Sim::check_end()
{
	Node *o = nodes[0]->owner_of("home/shop/0");
	SimHome *h = o ? o->home("home/shop/0") : NULL;

	for (auto &it : acked) {
		struct vh_job *j =
			h ? vh_home_job(h->h, slice(it.second)) : NULL;

		if (!j || j->n_unfinished) {
			violation("job " + it.second +
				  (j ? " does not end" : " is lost"));
			for (uint32_t i = 0; j && i < j->spec.n_tasks; i++)
				add_trace(
					it.second + "/" + std::to_string(i) +
					" " +
					vh_task_state_name(j->tasks[i].state) +
					" #" +
					std::to_string(j->tasks[i].attempt) +
					" " + str(j->tasks[i].rack));
			continue;
		}
		for (uint32_t i = 0; i < j->spec.n_tasks; i++) {
			std::string t = it.second + "/" + std::to_string(i);
			int begun = ledger.tasks[t].begun;

			if (j->tasks[i].not_run && begun)
				violation("I6 " + t +
					  " is reported not run but began");
			if (j->tasks[i].end == VH_END_DONE && !begun)
				violation("I6 " + t +
					  " is reported done but never began");
		}
	}
	if (acked.size() < settings.jobs)
		violation("some callers got no reply");
}

inline bool Sim::run()
{
	uint64_t before = 0, after = 0;

	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		before += vh_invariant_violated((enum vh_invariant_id)i);
	for (auto &n : nodes)
		n->start();
	for (size_t i = 0; i < nodes.size(); i++)
		events.at((int64_t)i * 7, [=] { tick_node(i); });
	tick_workers();
	make_jobs();
	for (int64_t t = 2000; t < settings.faults_until;
	     t += 300 + (int64_t)below(4000))
		events.at(t, [this] {
			if (!stopped)
				inject_fault();
		});
	if (settings.replace_all_at)
		events.at(settings.replace_all_at, [this] { replace_all(); });
	while (events.now < settings.faults_until + settings.heal_ms &&
	       ledger.violations.empty()) {
		events.run_until(events.now + 500);
		if (healing() && all_ended())
			break;
	}
	if (ledger.violations.empty())
		check_end();
	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		after += vh_invariant_violated((enum vh_invariant_id)i);
	if (after > before)
		violation("an assertion in the program failed");
	return ledger.violations.empty();
}

#endif
