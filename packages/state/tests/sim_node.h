#ifndef VH_SIM_NODE_H
#define VH_SIM_NODE_H

/*
 * A node of the simulation: combines the state machines as the daemon does,
 * over a simulated network. Included by sim_run.h.
 */

#include "sim.h"

inline SimHome::SimHome(Node &node, const std::string &unit, uint64_t epoch)
    : node(node), unit(unit), stream_name(unit), epoch(epoch)
{
	struct vh_stream_settings st = {};
	struct vh_stream_callbacks cb = { Node::on_home_batch, Node::on_gone,
					  this };
	struct vh_home_settings hs = {};

	for (auto &c : stream_name)
		c = c == '/' ? '.' : c;
	hs.team = vh_slice_str("shop");
	hs.homes = 1;
	hs.dedupe_window_ms = 86400000;
	hs.max_attempts = 1000;
	h = vh_home_new(&hs);
	vh_home_set_limit(h, &node.sim.limit);
	st.name = slice(stream_name);
	st.writer = slice(node.writer);
	st.max_queued_bytes = 1 << 20;
	st.max_batch_bytes = 1 << 16;
	st.min_append_interval_ms = 5;
	st.reply_timeout_ms = 300;
	st.poll_wait_ms = 200;
	st.seed = node.sim.rng();
	auto transport = node.sim.log.transport(&node.port);
	s = vh_stream_new(&st, &transport, &cb);
	vh_stream_set_epoch(s, node.sim.settings.disabled.no_open ? 1 : epoch);
	vh_stream_start(s, 1, node.sim.events.now);
}

inline SimHome::~SimHome()
{
	vh_stream_free(s);
	vh_home_free(h);
}

inline Node::Node(Sim &sim, size_t index)
    : sim(sim), id("n" + std::to_string(index)), index(index)
{
	port.log = &sim.log;
	port.resumes_at = [this] { return paused_until; };
	port.cut = [this] {
		return this->sim.log_down ||
		       this->sim.cut_log.count(this->index);
	};
}

inline Node::~Node()
{
	crash();
}

inline void Node::start()
{
	struct vh_stream_settings st = {};
	struct vh_stream_callbacks cb = { on_claims, on_gone, this };
	auto transport = sim.log.transport(&port);

	incarnation++;
	up = true;
	writer = id + "/" + std::to_string(incarnation);
	claims = vh_claims_new();
	st.name = vh_slice_str("claims");
	st.writer = slice(writer);
	st.max_queued_bytes = 1 << 20;
	st.max_batch_bytes = 1 << 16;
	st.min_append_interval_ms = 5;
	st.reply_timeout_ms = 300;
	st.poll_wait_ms = 200;
	st.seed = sim.rng();
	s = vh_stream_new(&st, &transport, &cb);
	vh_stream_start(s, 1, sim.events.now);
	for (auto &it : sim.rack_workers) {
		struct vh_rack_settings rs = {};
		struct vh_rack_callbacks rc = { choose, on_placed, on_refused,
						on_ended, NULL };
		auto r = std::make_unique<SimRack>();

		r->node = this;
		r->name = it.first;
		rc.ctx = r.get();
		rs.name = slice(r->name);
		rs.lease_ms = SIM_LEASE;
		rs.renew_ms = SIM_RENEW;
		rs.start_void_ms = SIM_VOID;
		rs.clock_margin_ms = sim.settings.disabled.no_clock_margin
					     ? -2500
					     : SIM_MARGIN;
		rs.hold = true;
		r->r = vh_rack_new(&rs, &rc);
		for (size_t w : it.second) {
			struct vh_vm vm = {};

			vm.id = slice(sim.workers[w]->id);
			vm.rack = slice(r->name);
			vm.capacity = sim.workers[w]->capacity;
			vh_rack_update_vm(r->r, &vm, sim.events.now);
		}
		racks[it.first] = std::move(r);
	}
}

inline void Node::crash()
{
	if (!up)
		return;
	up = false;
	homes.clear();
	for (auto &it : racks)
		vh_rack_free(it.second->r);
	racks.clear();
	vh_stream_free(s);
	vh_claims_free(claims);
	heartbeats.clear();
	pending_claims.clear();
}

inline void Node::on_gone(void *, uint64_t)
{
}

inline struct vh_claim Node::claim_of(const std::string &unit)
{
	struct vh_claim c;

	vh_claims_get(claims, slice(unit), &c);
	return c;
}

inline bool Node::owns(const struct vh_claim &c) const
{
	return str(c.node) == id && c.incarnation == incarnation;
}

inline bool Node::alive(const std::string &node, uint64_t inc) const
{
	auto it = heartbeats.find(node);

	if (node == id)
		return inc == incarnation;
	return it != heartbeats.end() && it->second.first == inc &&
	       sim.events.now - it->second.second < 1000;
}

inline Node *Node::owner_of(const std::string &unit)
{
	struct vh_claim c = claim_of(unit);

	return c.node.len ? sim.node(c.node) : NULL;
}

inline SimHome *Node::home(const std::string &unit)
{
	auto it = homes.find(unit);

	return it == homes.end() ? NULL : it->second.get();
}

inline void Node::on_claims(void *ctx, uint64_t offset,
			    const struct vh_batch *batch)
{
	Node *n = (Node *)ctx;
	struct vh_slice rest = batch->records, body;
	struct vh_claim changed;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body)) {
		if (vh_claims_apply(n->claims, offset, kind, body, &changed))
			n->claim_changed(changed);
	}
}

inline void Node::claim_changed(const struct vh_claim &c)
{
	std::string unit = str(c.unit);

	if (unit.rfind("rack/", 0) == 0)
		rack_changed(unit.substr(5), c);
	else
		home_changed(unit, c);
}

inline void Node::rack_changed(const std::string &name,
			       const struct vh_claim &c)
{
	struct vh_rack *r = racks[name]->r;

	if (owns(c)) {
		vh_rack_take_ownership(r, c.epoch, sim.events.now);
		for (auto unit : { "home/shop/0" })
			if (!sim.settings.disabled.no_home_fence)
				vh_rack_fence_home(r, vh_slice_str(unit),
						   claim_of(unit).epoch);
	} else {
		vh_rack_drop_ownership(r);
	}
	for (auto &it : homes)
		if (it.second->open && !sim.settings.disabled.no_reconcile)
			vh_home_rack_owner_changed(it.second->h, slice(name));
}

inline void Node::home_changed(const std::string &unit,
			       const struct vh_claim &c)
{
	homes.erase(unit);
	for (auto &it : racks)
		if (vh_rack_epoch(it.second->r) &&
		    !sim.settings.disabled.no_home_fence)
			vh_rack_fence_home(it.second->r, slice(unit), c.epoch);
	if (owns(c))
		homes[unit] = std::make_unique<SimHome>(*this, unit, c.epoch);
}

inline void Node::claim_units()
{
	std::vector<std::string> units = { "home/shop/0" }, live = { id };
	std::vector<struct vh_slice> members;

	if (!vh_stream_caught_up(s))
		return;
	for (auto &it : heartbeats)
		if (alive(it.first, it.second.first))
			live.push_back(it.first);
	for (auto &l : live)
		members.push_back(slice(l));
	for (auto &it : racks)
		units.push_back("rack/" + it.first);
	for (auto &unit : units) {
		struct vh_claim c = claim_of(unit);
		struct vh_buf body;

		if ((c.node.len && alive(str(c.node), c.incarnation)) ||
		    pending_claims.count(unit))
			continue;
		if (live[vh_rendezvous(slice(unit), members.data(),
				       members.size())] != id)
			continue;
		pending_claims.insert(unit);
		sim.add_trace(id + " claims " + unit);
		vh_buf_init(&body);
		vh_claim_pack(&body, slice(unit), slice(id), incarnation,
			      c.epoch);
		uint64_t inc = incarnation;
		vh_stream_append(s, VH_REC_CLAIM, vh_buf_slice(&body),
				 Sim::on_done,
				 sim.keep_callback([=](enum vh_err) {
					 if (inc == incarnation)
						 pending_claims.erase(unit);
				 }));
		vh_buf_finish(&body);
	}
}

inline void Node::heartbeat()
{
	uint64_t inc = incarnation;
	std::string me = id;

	for (auto &n : sim.nodes)
		if (n.get() != this)
			sim.send(*this, *n, [=](Node &to) {
				auto &h = to.heartbeats[me];

				if (inc >= h.first)
					h = { inc, to.sim.events.now };
			});
}

inline void Node::tick()
{
	int64_t now = sim.events.now;

	vh_stream_tick(s, now);
	claim_units();
	for (auto &it : racks)
		update_rack(*it.second);
	for (auto &it : homes)
		update_home(*it.second);
	vh_stream_tick(s, now);
}

inline size_t Node::choose(void *ctx, const struct vh_start *start,
			   const struct vh_worker_view *views, size_t n,
			   enum vh_err *why)
{
	Sim &sim = ((SimRack *)ctx)->node->sim;
	size_t from = sim.below(n);

	for (size_t i = 0; i < n; i++) {
		size_t at = (from + i) % n;

		if (views[at].usable &&
		    vh_res_fits(&start->size, &views[at].free))
			return at;
	}
	*why = VH_ERR_NO_CAPACITY;
	return n;
}

/* Sends to the home's owner as this node knows it. */
static inline void send_to_home(SimRack *r, struct vh_slice home,
				std::function<void(Node &, SimHome &)> fn)
{
	std::string unit = str(home);
	Node *to = r->node->owner_of(unit);

	if (to)
		r->node->sim.send(*r->node, *to, [=](Node &n) {
			SimHome *h = n.home(unit);

			if (h && h->open)
				fn(n, *h);
		});
}

/* Acknowledges an end to the rack's owner once the home has recorded it. */
static inline void ack_end(Node &n, Node &from, const std::string &rack,
			   const std::string &task, uint32_t attempt,
			   uint64_t home_epoch)
{
	n.sim.send(n, from, [=](Node &to) {
		vh_rack_ack_end_from(to.racks[rack]->r, slice(task), attempt,
				     home_epoch);
	});
}

inline void Node::on_placed(void *ctx, struct vh_slice task, uint32_t attempt,
			    struct vh_slice home, struct vh_slice worker)
{
	std::string t = str(task), w = str(worker);

	send_to_home((SimRack *)ctx, home, [=](Node &, SimHome &h) {
		struct vh_task *task = vh_home_task(h.h, slice(t));

		if (task)
			vh_home_attempt_started(h.h, task, attempt, slice(w));
	});
}

inline void Node::on_refused(void *ctx, struct vh_slice task, uint32_t attempt,
			     struct vh_slice home, enum vh_err why)
{
	SimRack *r = (SimRack *)ctx;
	std::string t = str(task), rack = r->name;
	Node *from = r->node;

	from->sim.add_trace(from->id + " refuses " +
			    FakeWorker::key(t, attempt) + " " +
			    vh_err_info(why)->name);
	send_to_home(r, home, [=](Node &n, SimHome &h) {
		n.handle_end(h, rack, t, attempt, VH_END_NOT_STARTED, *from);
	});
}

inline void Node::on_ended(void *ctx, struct vh_slice,
			   const struct vh_ended_task *e)
{
	SimRack *r = (SimRack *)ctx;
	std::string t = str(e->task), rack = r->name;
	uint32_t attempt = e->attempt;
	enum vh_end end = e->end;
	Node *from = r->node;

	send_to_home(r, e->home, [=](Node &n, SimHome &h) {
		n.handle_end(h, rack, t, attempt, end, *from);
	});
}

inline void Node::handle_end(SimHome &h, const std::string &rack,
			     const std::string &task, uint32_t attempt,
			     enum vh_end end, Node &from)
{
	struct vh_ended_task e = {};
	struct vh_buf body;
	Node *f = &from;
	uint64_t epoch = h.epoch;

	e.task = slice(task);
	e.attempt = attempt;
	e.end = end;
	if (vh_home_must_defer_end(h.h, &e))
		return;
	vh_buf_init(&body);
	if (vh_home_attempt_ended(h.h, &e, sim.events.now, &body))
		home_append(h, VH_REC_END, vh_buf_slice(&body),
			    [=](enum vh_err err) {
				    if (err == VH_OK)
					    ack_end(*this, *f, rack, task,
						    attempt, epoch);
			    });
	else
		ack_end(*this, from, rack, task, attempt, h.epoch);
	vh_buf_finish(&body);
}

inline void Node::update_rack(SimRack &r)
{
	struct vh_sync_req req;
	struct vh_slice worker;
	int64_t now = sim.events.now;

	if (!vh_rack_epoch(r.r))
		return;
	if (sim.settings.disabled.no_claims_check)
		vh_rack_ownership_confirmed(r.r, now);
	else if (vh_stream_caught_up(s))
		vh_rack_ownership_confirmed(r.r, vh_stream_fresh_ms(s));
	vh_rack_tick(r.r, now);
	while (vh_rack_sync_due(r.r, now, &worker, &req))
		send_sync(r, worker, req);
}

/* One exchange with a worker, with all possible network faults. */
inline void Node::send_sync(SimRack &r, struct vh_slice worker,
			    const struct vh_sync_req &req)
{
	auto q = std::make_shared<SyncRequest>(req);
	std::string name = r.name;
	uint64_t inc = incarnation, id = req.exchange;
	size_t wi = 0;
	Sim *sp = &sim;

	while (sim.workers[wi]->id != str(worker))
		wi++;
	auto back = [=](int64_t after, std::function<void(SimRack &)> fn) {
		sp->log.deliver(&port, sp->events.now + after, [=] {
			if (up && incarnation == inc)
				fn(*racks[name]);
		});
	};
	auto fail = [=](int64_t after, enum vh_err err) {
		back(after, [=](SimRack &r) {
			vh_rack_exchange_failed(r.r, id, err, sp->events.now);
		});
	};
	bool faulty = !sim.healing();
	bool request_lost = faulty && sim.chance(3),
	     reply_lost = faulty && sim.chance(3);
	int64_t latency =
		1 + (int64_t)sim.below(faulty && sim.chance(5) ? 2500 : 10);
	if (sim.cut_worker.count({ index, wi }) || !sim.workers[wi]->up) {
		fail(5, VH_ERR_UNREACHABLE);
		return;
	}
	if (request_lost) {
		fail(600, VH_ERR_TIMEOUT);
		return;
	}
	int worker_incarnation = sim.workers[wi]->incarnation;
	sim.events.at(sim.events.now + latency, [=] {
		FakeWorker &w = *sp->workers[wi];
		auto out = std::make_shared<SyncReply>();

		if (!w.up || w.incarnation != worker_incarnation) {
			fail(50, VH_ERR_TIMEOUT); /* the connection was lost */
			return;
		}
		if (!w.read(q->req, sp->events.now, *out)) {
			fail(1, VH_ERR_STALE_EPOCH);
			return;
		}
		bool now_ends = w.unacked(q->req.ack) || !out->refused.empty();
		int64_t hold = now_ends ? 0 : q->req.wait_ms;
		sp->events.at(sp->events.now + hold, [=] {
			FakeWorker &w = *sp->workers[wi];

			if (!w.up || w.incarnation != worker_incarnation ||
			    reply_lost || sp->cut_worker.count({ index, wi })) {
				fail(600, VH_ERR_TIMEOUT);
				return;
			}
			w.answer(q->req, sp->events.now, *out);
			back(1 + (int64_t)sp->below(10), [=](SimRack &r) {
				vh_rack_exchange_done(r.r, id, &out->reply,
						      sp->events.now);
			});
		});
	});
}

inline void Node::on_home_batch(void *ctx, uint64_t offset,
				const struct vh_batch *batch)
{
	SimHome *h = (SimHome *)ctx;
	struct vh_slice rest = batch->records, body;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body))
		vh_home_apply(h->h, offset, batch->epoch, kind, body,
			      h->node.sim.events.now);
}

inline void Node::home_append(SimHome &h, enum vh_rec_kind kind,
			      struct vh_slice body,
			      std::function<void(enum vh_err)> done)
{
	vh_stream_append(h.s, kind, body, Sim::on_done,
			 sim.keep_callback(done));
}

inline void Node::open_home(SimHome &h)
{
	SimHome *hp = &h;
	auto opened = [=](enum vh_err err) {
		std::vector<struct vh_slice> racks = sim.rack_names();

		if (err != VH_OK)
			return;
		sim.add_trace(id + " opens " + hp->unit);
		vh_home_open(hp->h, hp->epoch, racks.data(), racks.size(),
			     sim.events.now);
		hp->open = true;
		if (sim.settings.disabled.no_reconcile)
			for (auto &r : racks)
				vh_home_rack_reconciled(hp->h, r);
	};

	h.open_requested = true;
	if (sim.settings.disabled.no_open)
		opened(VH_OK);
	else
		home_append(h, VH_REC_OPEN, vh_slice("", 0), opened);
}

inline void Node::update_home(SimHome &h)
{
	int64_t now = sim.events.now;
	auto expired = [](void *ctx, struct vh_slice body) {
		SimHome *h = (SimHome *)ctx;

		h->node.home_append(*h, VH_REC_END, body, [](enum vh_err) {});
	};

	vh_stream_tick(h.s, now);
	if (!h.open_requested && vh_stream_caught_up(h.s))
		open_home(h);
	if (h.open) {
		if (now >= h.expire_at) {
			h.expire_at = now + 100;
			vh_home_expire(h.h, now, now, expired, &h);
		}
		for (auto &it : racks)
			if (vh_home_rack_is_unreconciled(h.h, slice(it.first)))
				reconcile(h, it.first);
		start_tasks(h);
		resend_requests(h);
	}
	vh_stream_tick(h.s, now);
}

inline void Node::start_tasks(SimHome &h)
{
	struct vh_task *out[4];
	size_t n = vh_home_waiting(h.h, sim.events.now, out, 4);

	for (size_t i = 0; i < n; i++) {
		auto names = sim.rack_names();
		struct vh_task *task = out[i];
		struct vh_buf body;
		bool record;

		vh_buf_init(&body);
		if (vh_home_start_attempt(h.h, task,
					  names[sim.below(names.size())],
					  &body) == VH_OK) {
			std::string t = str(task->job->id) + "/" +
					std::to_string(task->index);
			uint32_t attempt = task->attempt;
			SimHome *hp = &h;

			record = body.len > 0;
			if (record)
				home_append(
					h, VH_REC_ATTEMPT, vh_buf_slice(&body),
					[=](enum vh_err err) {
						struct vh_task *task =
							vh_home_task(hp->h,
								     slice(t));

						if (err == VH_OK && task &&
						    task->attempt == attempt)
							request_start(*hp, task,
								      false);
					});
			if (!record || sim.settings.disabled.no_attempt)
				request_start(h, task, false);
		}
		vh_buf_finish(&body);
	}
}

/*
 * The PLACE call; the reply is the result of vh_rack_place(). Repeats go to the
 * first owner or to nobody.
 */
inline void Node::request_start(SimHome &h, struct vh_task *task, bool again)
{
	std::string t = str(task->job->id) + "/" + std::to_string(task->index);
	std::string unit = h.unit, rack = str(task->rack);
	uint32_t attempt = task->attempt;
	uint64_t epoch = h.epoch, rack_epoch;
	struct vh_res size = task->job->spec.tasks[task->index].size;
	Node *to = owner_of("rack/" + rack), *self = this;
	SimStartRequest &a = h.start_requests[t];

	if (!again)
		a.rack_epoch = claim_of("rack/" + rack).epoch;
	rack_epoch = a.rack_epoch;
	a.again = again;
	a.at = sim.events.now + 800;
	if (!to || claim_of("rack/" + rack).epoch != rack_epoch)
		return;
	sim.send_once(*this, *to, [=](Node &n) {
		struct vh_place_req req = {};

		req.start.task = slice(t);
		req.start.attempt = attempt;
		req.start.home = slice(unit);
		req.start.home_epoch = epoch;
		req.start.size = size;
		req.again = again;
		req.rack_epoch = rack_epoch;
		if (n.sim.settings.disabled.no_rack_epoch)
			req.rack_epoch = vh_rack_epoch(n.racks[rack]->r);
		enum vh_err err =
			vh_rack_place(n.racks[rack]->r, &req, n.sim.events.now);

		n.sim.add_trace(
			n.id + " decides " + FakeWorker::key(t, attempt) + " " +
			vh_err_info(err)->name + (again ? " again" : ""));
		n.sim.send(n, *self, [=](Node &back) {
			SimHome *h = back.home(unit);
			struct vh_task *task;

			if (err == VH_OK || !h || h->epoch != epoch)
				return;
			task = vh_home_task(h->h, slice(t));
			if (!task || task->attempt != attempt ||
			    h->start_requests[t].again != again)
				return;
			if (again && (err == VH_ERR_NOT_OWNER ||
				      err == VH_ERR_NOT_READY))
				return;
			vh_home_attempt_not_started(h->h, task, attempt, err,
						    back.sim.events.now + 50);
		});
	});
}

/* Repeats requests until the task is placed or certainly is not. */
inline void Node::resend_requests(SimHome &h)
{
	for (auto it = h.start_requests.begin();
	     it != h.start_requests.end();) {
		struct vh_task *task = vh_home_task(h.h, slice(it->first));

		if (!task || task->state != VH_TASK_REQUESTED) {
			it = h.start_requests.erase(it);
			continue;
		}
		if (it->second.at <= sim.events.now)
			request_start(h, task, true);
		++it;
	}
}

inline void Node::reconcile(SimHome &h, const std::string &rack)
{
	std::string unit = h.unit;
	uint64_t epoch = h.epoch;
	struct vh_claim c = claim_of("rack/" + rack);
	Node *to = owner_of("rack/" + rack), *self = this;

	if (!to || h.reconcile_at[rack] > sim.events.now)
		return;
	h.reconcile_at[rack] = sim.events.now + 200;
	sim.send(*this, *to, [=](Node &n) {
		typedef std::vector<std::pair<std::string, uint32_t>> Runs;
		auto runs = std::make_shared<Runs>();
		struct vh_rack *r = n.racks[rack]->r;
		bool fence = !n.sim.settings.disabled.no_home_fence;

		if (vh_rack_epoch(r) != c.epoch ||
		    !vh_rack_fence_home(r, slice(unit), fence ? epoch : 0))
			return;
		vh_rack_each_home_run(
			r, slice(unit),
			[](void *ctx, const struct vh_running_task *run,
			   struct vh_slice) {
				((Runs *)ctx)
					->push_back({ str(run->task),
						      run->attempt });
			},
			runs.get());
		n.sim.send(n, *self, [=](Node &back) {
			SimHome *h = back.home(unit);

			if (!h || h->epoch != epoch || !h->open ||
			    back.claim_of("rack/" + rack).epoch != c.epoch)
				return;
			for (auto &it : *runs) {
				struct vh_running_task run = {};

				run.task = slice(it.first);
				run.attempt = it.second;
				vh_home_reconcile_run(h->h, slice(rack), &run,
						      vh_slice_str("w"));
			}
			vh_home_rack_reconciled(h->h, slice(rack));
		});
	});
}

/* A caller's request at this node, forwarded to the home's owner. */
inline void Node::submit(const std::string &key, bool idempotent, uint32_t n,
			 uint32_t client)
{
	Node *to = owner_of("home/shop/0");

	if (!to)
		return;
	sim.send(*this, *to, [=](Node &node) {
		SimHome *h = node.home("home/shop/0");
		std::vector<struct vh_task_spec> tasks(n);
		struct vh_job_spec spec = {};
		struct vh_job *job;
		struct vh_buf body;

		if (!h || !h->open)
			return;
		for (auto &t : tasks)
			t.size.v[VH_CPU] = 1000;
		spec.idempotent = idempotent;
		spec.n_tasks = n;
		spec.tasks = tasks.data();
		spec.gang = client != 0; /* makes specs differ */
		vh_buf_init(&body);
		auto res = vh_home_submit(h->h, slice(key), 1, &spec,
					  node.sim.events.now,
					  node.sim.events.now, &body, &job);
		std::string id = job ? str(job->id) : "";
		struct vh_home *hp = h->h;
		Sim *sp = &node.sim;

		if (res == VH_SUBMIT_NEW)
			for (uint32_t i = 0; i < n; i++)
				sp->ledger.tasks[id + "/" + std::to_string(i)]
					.idempotent = idempotent;
		auto ack = [=] {
			auto it = sp->acked.find(key);

			if (it != sp->acked.end() && it->second != id)
				sp->violation("I7 key " + key + " is job " +
					      it->second + " and " + id);
			sp->acked[key] = id;
		};
		if (res == VH_SUBMIT_NEW)
			node.home_append(
				*h, VH_REC_JOB, vh_buf_slice(&body),
				[=](enum vh_err err) {
					struct vh_job *job;

					if (err == VH_OK)
						return ack();
					job = vh_home_job(hp, slice(id));
					if (job)
						vh_home_submit_failed(hp, job);
				});
		else if (res == VH_SUBMIT_DUPLICATE && job->durable)
			ack();
		vh_buf_finish(&body);
	});
}

#endif
