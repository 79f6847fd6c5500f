#ifndef CELL_TESTS_FAKE_CLUSTER_H
#define CELL_TESTS_FAKE_CLUSTER_H

/*
 * Test environment for several nodes in one process, with a simulated store,
 * workers and policy service behind struct vh_ports. Nodes talk to each other
 * over loopback. Callbacks are invoked later from the event loop. The store can
 * be set to refuse the calls of a node or not to answer them, for all topics or,
 * see store_faults.h, for one. Included by test_cell.cc and test_cell_view.cc.
 */

#include <arpa/inet.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "cell_priv.h"
#include "keys.h"
#include "vh/log.h"
}

#include "store_faults.h"
#include "view_check.h"

namespace fake
{

constexpr int64_t WORKER_TIMEOUT_MS = 500; /* of calls without a reply */
constexpr int64_t STORE_MS = 4;		   /* of calls to the store */

inline std::string to_str(struct vh_slice s)
{
	return std::string(s.data ? s.data : "", s.len);
}

inline struct vh_slice slice(const std::string &s)
{
	return { s.data(), s.size() };
}

/* Returns a port that is unused at this moment. */
inline uint16_t free_port()
{
	evutil_socket_t fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in at = {};
	socklen_t len = sizeof(at);

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&at, sizeof(at));
	getsockname(fd, (struct sockaddr *)&at, &len);
	evutil_closesocket(fd);
	return ntohs(at.sin_port);
}

struct Topic {
	std::vector<std::pair<std::string, std::string>> records;
	uint64_t epoch = 0, sequence = 0;
};

struct Run {
	std::string task;
	eng_task_ref ref;
	int64_t ends_ms;
};

struct Ended {
	int64_t number;
	eng_task_ref ref;
};

struct Worker {
	uint64_t fence = 0;
	int64_t lease_until_ms = 0;
	int64_t next_end_number = 1;
	std::vector<Run> running;
	std::vector<Ended> ended;
};

class Cluster
{
      public:
	enum StoreAccess {
		REACHABLE,
		REFUSING,
		UNRESPONSIVE
	};

	Cluster()
	{
		vh_kernel_init(&kernel, vh_clock_system());
	}

	~Cluster()
	{
		vh_kernel_finish(&kernel);
	}

	int64_t now()
	{
		return vh_kernel_now_ms(&kernel);
	}

	/* Calls fn from the event loop. */
	void call_later(int64_t ms, std::function<void()> fn)
	{
		timeval t = { ms / 1000, (ms % 1000) * 1000 };
		auto *f = new std::function<void()>([this, fn] {
			pending_callbacks--;
			fn();
		});

		pending_callbacks++;
		event_base_once(
			kernel.base, -1, EV_TIMEOUT,
			[](evutil_socket_t, short, void *ctx) {
				auto *p = (std::function<void()> *)ctx;
				(*p)();
				delete p;
			},
			f, &t);
	}

	/* Runs the event loop until the condition holds or the time is up. */
	bool run_until(std::function<bool()> condition,
		       int64_t timeout_ms = 20000)
	{
		int64_t end = now() + timeout_ms;

		while (!condition() && now() < end)
			run_for(5);
		return condition();
	}

	void run_for(int64_t ms)
	{
		timeval t = { ms / 1000, (ms % 1000) * 1000 };

		event_base_loopexit(kernel.base, &t);
		event_base_dispatch(kernel.base);
	}

	std::string metrics()
	{
		struct vh_buf out = {};

		vh_metrics_render(&kernel.metrics, &out);
		std::string s(out.data, out.len);
		vh_buf_finish(&out);
		return s;
	}

	void add_violation(const std::string &what)
	{
		violations.push_back(what);
	}

	/* Stores a record of another program, without any fault. */
	void store_record(int topic, const std::string &key,
			  const std::string &value)
	{
		topics[topic].records.emplace_back(key, value);
		view.stored(topic, key, value, now());
	}

	void start_run(Worker &w, const eng_start_request *o)
	{
		std::string name = task_name(o->task);
		std::string late =
			view.start(o->task, to_str(o->boot.worker), now());

		if (!late.empty())
			add_violation("start of " + name + ": " + late);
		for (auto &x : workers)
			end_lapsed_runs(x.second);
		for (auto &x : workers)
			for (auto &r : x.second.running)
				if (r.task == name && r.ref.run != o->task.run)
					add_violation("two runs of " + name);
		if (done.count(name))
			add_violation("a start of " + name + ", which is done");
		starts[name]++;
		starts_by_worker[to_str(o->boot.worker)]++;
		w.running.push_back({ name, o->task, now() + run_ms });
	}

	static std::string task_name(const eng_task_ref &t)
	{
		return std::to_string(t.job) + "." + std::to_string(t.step) +
		       "." + std::to_string(t.index);
	}

	/* A worker stops its runs when their lease lapses. */
	void end_lapsed_runs(Worker &w)
	{
		if (w.lease_until_ms < now())
			w.running.clear();
	}

	void end_runs(Worker &w)
	{
		end_lapsed_runs(w);
		for (size_t i = w.running.size(); i-- > 0;) {
			Run r = w.running[i];

			if (r.ends_ms > now())
				continue;
			w.ended.push_back({ w.next_end_number++, r.ref });
			w.running.erase(w.running.begin() + (long)i);
		}
	}

	struct vh_kernel kernel;
	std::map<int, Topic> topics;
	std::map<std::string, Worker> workers; /* by address, which is the id */
	std::map<std::string, int> starts;
	std::set<std::string> done;
	std::vector<std::string> violations;
	int64_t run_ms = 150;
	std::map<std::string, int> starts_by_worker;
	int64_t objects_from_ms = 0;	    /* that topic is not read earlier */
	uint64_t objects_retained_from = 0; /* older offsets are gone */
	bool admission = false;		    /* setting of the nodes */
	int pending_callbacks = 0;
	int64_t past_use_half_life_ms = 0; /* of nodes that start later */
	int64_t max_view_age_ms = 0;	   /* the same */
	StoreFaults faults;		   /* of all nodes */
	size_t record_bytes = 0;  /* larger records are refused; 0: none are */
	size_t call_bytes = 0;	  /* the same, of appends */
	bool limits_told = true;  /* setting of nodes that start later */
	std::string checkpoint;	  /* of each run that ends */
	std::string refused_key;  /* appends with such a key are refused */
	unsigned int refused = 0; /* appends */
	size_t largest_append = 0;
	ViewCheck view;
};

/* The ports of one node. */
struct NodePorts {
	Cluster *cluster;
	Cluster::StoreAccess store_access = Cluster::REACHABLE;
	bool up = true; /* whether the node's process is alive */
	std::set<std::string> cut_workers; /* calls to them get no reply */
	StoreFaults faults;		   /* these go before the cluster's */

	static NodePorts *of(void *self)
	{
		return (NodePorts *)self;
	}

	TopicFault fault(int topic,
			 TopicFault (StoreFaults::*kind)[VH_TOPIC_COUNT])
	{
		TopicFault own = (faults.*kind)[topic];

		if (store_access != Cluster::REACHABLE)
			return { store_access == Cluster::REFUSING
					 ? Fault::REFUSED
					 : Fault::SILENT,
				 0 };
		return own.kind != Fault::NONE ? own
					       : (cluster->faults.*kind)[topic];
	}

	static void append(void *self, const vh_append *a,
			   void (*done)(void *, const vh_append_reply *),
			   void *ctx)
	{
		NodePorts *p = of(self);
		TopicFault f = p->fault(a->topic, &StoreFaults::writes);
		int64_t took_ms = STORE_MS + f.delay_ms;
		vh_append_reply r = {};
		std::vector<std::pair<std::string, std::string>> records;
		int topic = a->topic;

		r.result = VH_STORE_REFUSED;
		if (f.kind != Fault::REFUSED && f.kind != Fault::SILENT)
			r = p->append_now(a);
		if (f.kind == Fault::SILENT || f.kind == Fault::ANSWER_LOST ||
		    (f.kind == Fault::SLOW && took_ms >= a->timeout_ms)) {
			r = {};
			r.result = VH_STORE_UNKNOWN;
			took_ms = a->timeout_ms;
		}
		for (size_t i = 0; i < a->n && r.result == VH_STORE_OK; i++)
			records.emplace_back(to_str(a->records[i].key),
					     to_str(a->records[i].value));
		p->cluster->call_later(took_ms, [=] {
			for (auto &x : records)
				p->cluster->view.stored(topic, x.first,
							x.second,
							p->cluster->now());
			done(ctx, &r);
		});
	}

	/* Whether the store takes no such append, now or later. */
	bool over_a_limit(const vh_append *a)
	{
		size_t bytes = 0;
		bool refuse = false;

		for (size_t i = 0; i < a->n; i++) {
			const vh_record &r = a->records[i];
			size_t len = 1 + r.key.len + r.value.len;

			bytes += 4 + len;
			if (cluster->record_bytes &&
			    len > cluster->record_bytes)
				refuse = true;
			if (!cluster->refused_key.empty() &&
			    to_str(r.key) == cluster->refused_key)
				refuse = true;
		}
		if (cluster->call_bytes && bytes > cluster->call_bytes)
			refuse = true;
		if (!refuse)
			cluster->largest_append =
				std::max(cluster->largest_append, bytes);
		return refuse;
	}

	vh_append_reply append_now(const vh_append *a)
	{
		Topic &t = cluster->topics[a->topic];
		vh_append_reply r = {};

		r.result = VH_STORE_INVALID;
		if (over_a_limit(a)) {
			cluster->refused++;
			return r;
		}

		r.end = t.records.size();
		r.result = VH_STORE_CONFLICT;
		if (a->if_end && a->end != r.end)
			return r;
		r.result = VH_STORE_FENCED;
		if (a->epoch && a->epoch < t.epoch)
			return r;
		r.result = VH_STORE_BAD_SEQUENCE;
		r.expected = t.sequence + 1;
		if (a->epoch && a->epoch == t.epoch && a->n &&
		    a->sequence != r.expected)
			return r;
		if (a->epoch) {
			t.epoch = a->epoch;
			t.sequence = a->sequence;
		}
		r.result = VH_STORE_OK;
		r.offset = r.end;
		for (size_t i = 0; i < a->n; i++)
			t.records.emplace_back(to_str(a->records[i].key),
					       to_str(a->records[i].value));
		r.end = t.records.size();
		return r;
	}

	using ReadDone = void (*)(void *, const vh_read_reply *);

	void
	reply(ReadDone done, void *ctx, uint64_t end,
	      std::vector<
		      std::pair<uint64_t, std::pair<std::string, std::string>>>
		      found)
	{
		std::vector<vh_record> out;
		vh_read_reply r = {};

		for (auto &f : found)
			out.push_back({ slice(f.second.first),
					slice(f.second.second), f.first });
		r.records = out.data();
		r.n = out.size();
		r.end = end;
		done(ctx, &r);
	}

	bool fail_read(int topic, ReadDone done, void *ctx, int64_t timeout_ms)
	{
		TopicFault f = fault(topic, &StoreFaults::reads);
		bool refused = f.kind == Fault::REFUSED;
		vh_read_reply r = {};

		if (f.kind == Fault::NONE ||
		    (f.kind == Fault::SLOW && f.delay_ms < timeout_ms))
			return false;
		r.result = refused ? VH_STORE_REFUSED : VH_STORE_UNKNOWN;
		cluster->call_later(refused ? STORE_MS : timeout_ms,
				    [=] { done(ctx, &r); });
		return true;
	}

	/* Answers with what is there now, later if reads are slow. */
	void reply_read(
		int topic, ReadDone done, void *ctx, uint64_t end,
		const std::vector<std::pair<
			uint64_t, std::pair<std::string, std::string>>> &found)
	{
		TopicFault f = fault(topic, &StoreFaults::reads);

		if (f.kind == Fault::SLOW)
			cluster->call_later(f.delay_ms, [=] {
				reply(done, ctx, end, found);
			});
		else
			reply(done, ctx, end, found);
	}

	static void read(void *self, vh_topic topic, uint64_t from,
			 int64_t wait_ms, ReadDone done, void *ctx)
	{
		NodePorts *p = of(self);
		Topic &t = p->cluster->topics[topic];

		if (p->fail_read(topic, done, ctx, wait_ms + 900))
			return;
		if (topic == VH_TOPIC_OBJECTS &&
		    p->cluster->now() < p->cluster->objects_from_ms) {
			p->cluster->call_later(20, [=] {
				read(self, topic, from, wait_ms, done, ctx);
			});
			return;
		}
		if (topic == VH_TOPIC_OBJECTS &&
		    from < p->cluster->objects_retained_from) {
			p->cluster->call_later(4, [=] {
				vh_read_reply r = {};

				r.result = VH_STORE_OFFSET_GONE;
				done(ctx, &r);
			});
			return;
		}
		if (from >= t.records.size() && wait_ms > 0) {
			p->cluster->call_later(10, [=] {
				read(self, topic, from, wait_ms - 10, done,
				     ctx);
			});
			return;
		}
		p->cluster->call_later(4, [=, &t] {
			std::vector<std::pair<
				uint64_t, std::pair<std::string, std::string>>>
				found;

			for (uint64_t i = from; i < t.records.size(); i++)
				found.emplace_back(i, t.records[i]);
			p->reply_read(topic, done, ctx, t.records.size(),
				      found);
		});
	}

	static void newest(void *self, vh_topic topic, struct vh_slice after,
			   ReadDone done, void *ctx)
	{
		NodePorts *p = of(self);
		Topic &t = p->cluster->topics[topic];
		std::string after_key = to_str(after);

		if (p->fail_read(topic, done, ctx, 1500))
			return;
		if (topic == VH_TOPIC_OBJECTS &&
		    p->cluster->now() < p->cluster->objects_from_ms) {
			std::string key = after_key;

			p->cluster->call_later(20, [=] {
				newest(self, topic, slice(key), done, ctx);
			});
			return;
		}
		p->cluster->call_later(4, [=, &t] {
			std::map<std::string, uint64_t> last;
			std::vector<std::pair<
				uint64_t, std::pair<std::string, std::string>>>
				found;

			for (uint64_t i = 0; i < t.records.size(); i++)
				last[t.records[i].first] = i;
			for (auto &l : last) {
				if (l.first > after_key &&
				    !t.records[l.second].second.empty())
					found.emplace_back(l.second,
							   t.records[l.second]);
			}
			p->reply_read(topic, done, ctx, t.records.size(),
				      found);
		});
	}

	using CallDone = void (*)(void *, eng_reply);

	static void start(void *self, uint64_t fence,
			  const eng_start_request *o, CallDone done, void *ctx)
	{
		NodePorts *p = of(self);
		std::string address = to_str(o->boot.address);
		Worker &w = p->cluster->workers[address];
		eng_reply a = ENG_REPLY_OK;

		if (p->cut_workers.count(address)) {
			p->cluster->call_later(WORKER_TIMEOUT_MS, [=] {
				done(ctx, ENG_REPLY_NONE);
			});
			return;
		}
		if (fence < w.fence) {
			a = ENG_REPLY_FENCED;
		} else {
			w.fence = fence;
			w.lease_until_ms =
				std::max(w.lease_until_ms, o->until_ms);
			p->cluster->start_run(w, o);
		}
		p->cluster->call_later(4, [=] { done(ctx, a); });
	}

	static void stop(void *self, uint64_t fence, const eng_stop_request *o,
			 CallDone done, void *ctx)
	{
		NodePorts *p = of(self);
		std::string address = to_str(o->boot.address);
		Worker &w = p->cluster->workers[address];

		if (p->cut_workers.count(address)) {
			p->cluster->call_later(WORKER_TIMEOUT_MS, [=] {
				done(ctx, ENG_REPLY_NONE);
			});
			return;
		}
		w.fence = std::max(w.fence, fence);
		for (auto &r : w.running)
			if (r.task == Cluster::task_name(o->task))
				r.ends_ms = 0;
		p->cluster->call_later(4, [=] { done(ctx, ENG_REPLY_OK); });
	}

	using HoldDone = void (*)(void *, eng_reply,
				  const struct eng_worker_report *);

	static void hold(void *self, uint64_t fence, const eng_hold_request *o,
			 HoldDone done, void *ctx)
	{
		NodePorts *p = of(self);
		std::string address = to_str(o->boot.address);
		Worker &w = p->cluster->workers[address];

		if (p->cut_workers.count(address)) {
			p->cluster->call_later(WORKER_TIMEOUT_MS, [=] {
				done(ctx, ENG_REPLY_NONE, nullptr);
			});
			return;
		}
		if (fence < w.fence) {
			p->cluster->call_later(4, [=] {
				done(ctx, ENG_REPLY_FENCED, nullptr);
			});
			return;
		}
		w.fence = fence;
		p->cluster->end_lapsed_runs(w);
		w.lease_until_ms = std::max(w.lease_until_ms, o->until_ms);
		while (!w.ended.empty() &&
		       w.ended[0].number <= o->acknowledged) {
			p->cluster->done.insert(
				Cluster::task_name(w.ended[0].ref));
			w.ended.erase(w.ended.begin());
		}
		p->poll_hold(&w, p->cluster->now(),
			     p->cluster->now() + o->wait_ms, done, ctx);
	}

	void poll_hold(Worker *w, int64_t sent, int64_t deadline_ms,
		       HoldDone done, void *ctx)
	{
		cluster->end_runs(*w);
		if (w->ended.empty() && cluster->now() < deadline_ms) {
			cluster->call_later(10, [=] {
				poll_hold(w, sent, deadline_ms, done, ctx);
			});
			return;
		}
		cluster->call_later(4, [=] { report(w, sent, done, ctx); });
	}

	void report(Worker *w, int64_t sent, HoldDone done, void *ctx)
	{
		std::vector<eng_running_task> running;
		std::vector<eng_finished_task> ended;
		struct eng_worker_report r = {};

		for (auto &x : w->running)
			running.push_back({ x.ref, {} });
		for (auto &x : w->ended)
			ended.push_back({ x.number, x.ref, ENG_END_DONE,
					  slice(cluster->checkpoint) });
		r.sent_ms = sent;
		r.clock_ms = cluster->now();
		r.born_ms = 1;
		r.running = running.data();
		r.n_running = running.size();
		r.finished = ended.data();
		r.n_finished = ended.size();
		done(ctx, ENG_REPLY_OK, &r);
	}

	static void advise(void *self, uint64_t, uint32_t,
			   const struct vh_slice *ids, size_t n,
			   void (*done)(void *, const vh_policy_reply *),
			   void *ctx)
	{
		std::vector<std::string> names;

		for (size_t i = 0; i < n; i++)
			names.push_back(to_str(ids[i]));
		of(self)->cluster->call_later(10, [=] {
			std::vector<eng_advised_worker> good;
			vh_policy_reply r = {};

			for (auto &x : names)
				good.push_back({ slice(x), slice(x) });
			r.ok = true;
			r.good = good.data();
			r.n = good.size();
			r.valid_ms = 1500;
			done(ctx, &r);
		});
	}
};

/* One queue at "/q/" that allows anonymous requests, and its service. */
inline vh_config_view *decode_config(struct vh_slice key, struct vh_slice)
{
	if (!vh_slice_eq_str(key, "config"))
		return nullptr;
	vh_config_view *v = g_new0(struct vh_config_view, 1);

	v->arena = g_string_chunk_new(64);
	v->version = 1;
	v->queues = g_new0(struct vh_queue_config, 1);
	v->n_queues = 1;
	v->queues[0].name = vh_slice_str("q");
	v->queues[0].prefix = vh_slice_str("/q/");
	v->queues[0].service = vh_slice_str("svc");
	v->queues[0].max_attempts = 3;
	v->queues[0].stretch = 2;
	v->queues[0].target_ms = 1000;
	v->queues[0].allow_anonymous = true;
	v->queues[0].advice = { true, 10, 1, 1500 };
	return v;
}

inline bool decode_drained_zone(struct vh_slice key, struct vh_slice value,
				struct vh_slice *zone, bool *malformed)
{
	const size_t prefix = strlen(ZONE_KEY_PREFIX);

	if (to_str(key).compare(0, prefix, ZONE_KEY_PREFIX) != 0)
		return false;
	*zone = { key.data + prefix, key.len - prefix };
	*malformed = value.len && to_str(value) != "{}";
	return true;
}

/* The value of a worker's entry is its zone, see view_check.h; "{" is malformed. */
inline bool decode_worker(struct vh_slice key, struct vh_slice value,
			  eng_worker_info *out, GStringChunk *,
			  const char **problem)
{
	*problem = to_str(value) == "{" ? "malformed" : nullptr;
	if (!value.len || *problem)
		return false;
	*out = {};
	out->id = key;
	out->address = key;
	out->service = vh_slice_str("svc");
	out->zone = { value.data, entry_zone(to_str(value)).size() };
	out->draining = entry_draining(to_str(value));
	out->capacity = { 16000, 64000, 0 };
	out->born_ms = 1;
	return true;
}

class Node
{
      public:
	Node(Cluster &cluster, const std::string &name, uint16_t port)
	    : cluster(cluster), name(name),
	      address("127.0.0.1:" + std::to_string(port))
	{
		static const vh_store_ops store = { NodePorts::append,
						    NodePorts::read,
						    NodePorts::newest };
		static const vh_worker_ops workers = { NodePorts::start,
						       NodePorts::stop,
						       NodePorts::hold };
		static const vh_policy_ops policy = { NodePorts::advise };
		static const vh_decode_ops decode = { decode_config,
						      decode_drained_zone,
						      decode_worker };
		vh_cell_settings s = {};

		node_ports.cluster = &cluster;
		ports = { &store,  &node_ports, &workers, &node_ports,
			  &policy, &node_ports, &decode };
		s.name = slice(this->name);
		s.peer_address = slice(address);
		s.cpu_share_milli = 500;
		s.max_config_age_ms = 4000;
		s.max_view_age_ms = cluster.max_view_age_ms;
		s.admission = cluster.admission;
		if (cluster.limits_told)
			s.limits = { cluster.record_bytes, cluster.call_bytes };
		s.engine.lease_ms = 5000;
		s.engine.lease_max_ms = 6000;
		s.engine.stop_ms = 300;
		s.engine.gang_ms = 3000;
		s.engine.past_use_half_life_ms = cluster.past_use_half_life_ms;
		cell = vh_cell_new(&s, &ports, &cluster.kernel);
		vh_service *service = vh_cell_service(cell);
		started =
			service->start(service->self, &cluster.kernel, nullptr);
	}

	/* Ends as a crashed process does, without releasing the ownership. */
	~Node()
	{
		vh_service *service = vh_cell_service(cell);

		service->stop(service->self);
		cluster.run_until([this] { return vh_cell_idle(cell); });
		vh_cell_free(cell);
	}

	bool is_owner()
	{
		struct eng_stats s;

		return cell->owner && owner_stats(cell->owner, &s);
	}

	/* Submits a job of one step and records the outcome. */
	void submit(uint64_t id, uint32_t tasks, int64_t estimate_ms = 200)
	{
		submit_step(id, tasks, { 1000, 100, 0 }, estimate_ms);
	}

	void submit_step(uint64_t id, uint32_t tasks, eng_resources need,
			 int64_t estimate_ms, const std::string &label = "",
			 const std::string &payload = "")
	{
		eng_step_spec step = {};
		eng_job_spec spec = {};
		struct vh_cell_route route;

		if (vh_cell_route(cell, vh_slice_str("h"), vh_slice_str("/q/x"),
				  {}, &route) != VH_OK) {
			outcomes[id] = VH_ERR_NOT_READY;
			return;
		}
		step.n_tasks = tasks;
		step.need = need;
		step.checkpoints = true;
		step.label = slice(label);
		step.estimate_ms = estimate_ms;
		spec.id = id;
		spec.payload = slice(payload);
		spec.steps = &step;
		spec.n_steps = 1;
		struct Ctx {
			Node *node;
			uint64_t id;
		};
		vh_cell_submit(
			cell, &route, &spec, 3000,
			[](void *ctx, enum vh_err err, const char *,
			   int retry_after_s) {
				Ctx *c = (Ctx *)ctx;
				c->node->outcomes[c->id] = err;
				c->node->retry_after_s[c->id] = retry_after_s;
				delete c;
			},
			new Ctx{ this, id });
	}

	void submit_with_payload(uint64_t id, const std::string &payload)
	{
		submit_step(id, 1, { 1000, 100, 0 }, 200, "", payload);
	}

	/* Cancels a job and records the outcome. */
	void cancel(uint64_t id)
	{
		struct Ctx {
			Node *node;
			uint64_t id;
		};
		vh_cell_cancel(
			cell, id, 3000,
			[](void *ctx, enum vh_err err, const char *, int) {
				Ctx *c = (Ctx *)ctx;
				c->node->cancelled[c->id] = err;
				delete c;
			},
			new Ctx{ this, id });
	}

	/* Queries the status of a job; keeps the last one without an answer. */
	void query_status(uint64_t id)
	{
		struct Ctx {
			Node *node;
			uint64_t id;
		};
		vh_cell_status(
			cell, id, 500,
			[](void *ctx, enum vh_err err, uint64_t status) {
				Ctx *c = (Ctx *)ctx;
				if (err == VH_OK)
					c->node->status[c->id] = status;
				delete c;
			},
			new Ctx{ this, id });
	}

	bool wait_complete(uint64_t id, int64_t timeout_ms = 20000)
	{
		return cluster.run_until(
			[this, id] {
				query_status(id);
				cluster.run_for(30);
				return status.count(id) &&
				       status[id] == ENG_COMPLETE;
			},
			timeout_ms);
	}

	Cluster &cluster;
	std::string name, address;
	NodePorts node_ports;
	vh_ports ports;
	struct vh_cell *cell;
	bool started;
	std::map<uint64_t, enum vh_err> outcomes;
	std::map<uint64_t, enum vh_err> cancelled;
	std::map<uint64_t, int> retry_after_s;
	std::map<uint64_t, uint64_t> status;
};

} // namespace fake

#endif
