/*
 * Workers for the soak of boots, and what is checked from outside. A worker keeps
 * its id and its address when it starts again; its clock, the numbers of its ends
 * and the fence it has seen start anew. A connection ends with the boot that
 * accepted it.
 */
#ifndef SOAK_BOOTS_SITE_H
#define SOAK_BOOTS_SITE_H

#include <poll.h>

#include <random>

#include "../../review/standins-2/world.h"

#define CAPACITY_CPU 16000
#define CAPACITY_MEM_MB 64000
#define TASK_MEM_MB 256
#define HEARTBEAT_MS 1500
#define TICK_MS 10
#define BACKLOG 64
#define STATE_POLL_MS 10      /* how soon a thread sees that a link is healed */
#define LATE_MS 1000	      /* an order carried out later is marked as late */
#define CLOCK_TOLERANCE_MS 50 /* rounding, and the time to read a request */

/* What the soak reports. */
struct Findings {
	int starts = 0;
	int late_orders = 0;
	int two_at_once = 0;
	int start_after_done = 0;
	int over_capacity = 0;
	/* Calls for another boot that were carried out. */
	int start_of_former_boot = 0;
	int lease_of_former_boot = 0;
	int ack_of_former_boot = 0;
	/* Orders on a connection on which this boot has not said who it is. */
	int start_unasked = 0;
	int stop_unasked = 0;
	int hold_unasked = 0;
	/* Stops of a run that only a former boot was told to start; allowed. */
	int stop_of_former_boot = 0;

	int broken() const
	{
		return two_at_once + start_after_done + over_capacity;
	}
	int for_another_boot() const
	{
		return start_of_former_boot + lease_of_former_boot +
		       ack_of_former_boot;
	}
	int unasked() const
	{
		return start_unasked + stop_unasked + hold_unasked;
	}
};

struct BootsRun {
	uint32_t run;
	int64_t ends_ms; /* on the worker's clock */
	int cpu;
};

struct BootsEnd {
	int64_t number;
	string task;
	uint32_t run;
	string how;
	int64_t at_ms;
	bool lease_lapsed; /* since the end */
};

/* One boot of a worker. */
struct Life {
	int number;
	bool alive = true;
	int64_t born = wall_ms();
	int64_t booted_ms = now_ms();
	int64_t fence = 0;
	int64_t lease_ms = 0; /* on its clock */
	int64_t ends = 0;
	int64_t listed = 0; /* highest end that a reply has listed */
	std::map<string, BootsRun> running;
	std::vector<BootsEnd> finished;
	std::map<string, uint32_t> over; /* highest run stopped or ended */

	int64_t clock() const
	{
		return now_ms() - booted_ms;
	}
};

/* A connection, which belongs to the boot that accepted it. */
struct Channel {
	int fd;
	std::shared_ptr<Life> life;
	bool slow; /* its requests are read late while the link is slow */
	bool answered = false; /* a reply on it has named the boot */
};

struct Order {
	string path;
	std::shared_ptr<json_t> body;
	int64_t arrived_ms;
	bool answered;
};

/* How a worker is reached; the course of faults sets it. */
struct Link {
	bool cut = false;
	int64_t accept_from_ms = 0; /* new connections wait until then */
	double slow_channels = 0;   /* share of new ones; read late */
	double carry_out_late = 0;  /* share of orders, without a reply */
	double lose_reply = 0;
	int64_t slow_max_ms = 0;
};

class BootsWorker;

class Site
{
      public:
	std::mutex lock;
	std::condition_variable changed;
	std::vector<std::unique_ptr<BootsWorker>> workers;
	Findings findings;
	Store *store = NULL;
	int64_t hold_max_ms = 0;
	std::mt19937 random;
	/* By job: cpu of a task. */
	std::map<string, int> cpu_of_job;

	void open(int n);
	double draw()
	{
		return std::uniform_real_distribution<double>(0, 1)(random);
	}
	void check_start(BootsWorker &w, const string &task, uint32_t run,
			 int cpu, bool late);
	void check_end_noted(const BootsEnd &end);

      private:
	std::map<string, std::vector<int64_t>> starts;
	std::map<string, int64_t> done_ms; /* of ends that are taken note of */
};

class BootsWorker
{
      public:
	string id;
	int port = free_port();
	Link link;
	Site *site = NULL;
	std::shared_ptr<Life> life;

	void boot();
	void crash();
	void cut();
	void heal();
	void tick();
	void beat();
	bool up() const
	{
		return life && life->alive;
	}

      private:
	int boots = 0;
	int listener = -1;
	int64_t beats = 0;
	std::vector<int> fillers;
	std::set<Channel *> channels;
	/* The boot that was first told to start a run. */
	std::map<std::pair<string, uint32_t>, int> first_boot;

	void fill_backlog();
	void accept_all(int fd, std::shared_ptr<Life> l);
	void serve(Channel *c);
	bool wait_link(const Life &l);
	void discard(Channel *c);
	void finish_channel(Channel *c);
	void check_order(const Order &o, const Life &l);
	Response carry_out(const Order &o, Life &l,
			   std::unique_lock<std::mutex> &guard);
	Response start(const Order &o, Life &l);
	Response stop(const Order &o, Life &l);
	Response hold(const Order &o, Life &l,
		      std::unique_lock<std::mutex> &guard);
	Response answer(const Life &l, int status, const char *reason);
	void end(Life &l, const string &task, const string &how);
};

static bool is_order(const Order &o)
{
	return o.path != "/hold" || get_int(o.body.get(), "untilMs") ||
	       get_int(o.body.get(), "ackPosition");
}

/* Site */

inline void Site::open(int n)
{
	for (int i = 0; i < n; i++) {
		auto w = std::make_unique<BootsWorker>();
		char id[24];

		snprintf(id, sizeof(id), "i-%08x", i);
		w->id = id;
		w->site = this;
		workers.push_back(std::move(w));
	}
	for (auto &w : workers)
		w->boot();
	std::thread([this] {
		for (int64_t i = 0;; i++) {
			sleep_ms(TICK_MS);
			for (size_t k = 0; k < workers.size(); k++) {
				workers[k]->tick();
				if ((i + (int64_t)k * 7) %
					    (HEARTBEAT_MS / TICK_MS) ==
				    0)
					workers[k]->beat();
			}
		}
	}).detach();
}

inline void Site::check_start(BootsWorker &w, const string &task, uint32_t run,
			      int cpu, bool late)
{
	const char *mark = late ? " (carried out late)" : "";
	int used = cpu;
	int mem = TASK_MEM_MB;

	findings.starts++;
	starts[task].push_back(now_ms());
	for (auto &other : workers) {
		if (!other->up() || !other->life->running.count(task))
			continue;
		findings.two_at_once++;
		note("BROKEN two at once: %s run %u on %s, run %u on %s%s",
		     task.c_str(), other->life->running[task].run,
		     other->id.c_str(), run, w.id.c_str(), mark);
	}
	if (done_ms.count(task)) {
		findings.start_after_done++;
		note("BROKEN start after done: %s run %u on %s%s", task.c_str(),
		     run, w.id.c_str(), mark);
	}
	for (auto &r : w.life->running) {
		used += r.second.cpu;
		mem += TASK_MEM_MB;
	}
	if (used > CAPACITY_CPU || mem > CAPACITY_MEM_MB) {
		findings.over_capacity++;
		note("BROKEN capacity: %s run %u on %s, cpu %d%s", task.c_str(),
		     run, w.id.c_str(), used, mark);
	}
}

inline void Site::check_end_noted(const BootsEnd &e)
{
	if (e.how != "done" || e.lease_lapsed)
		return;
	done_ms.emplace(e.task, e.at_ms);
	for (int64_t at : starts[e.task]) {
		if (at <= e.at_ms)
			continue;
		findings.start_after_done++;
		note("BROKEN start after done: %s run %u ended at %.3f, is "
		     "acknowledged, and was started again at %.3f",
		     e.task.c_str(), e.run, (double)e.at_ms / 1000,
		     (double)at / 1000);
	}
}

/* Boots and links */

inline void BootsWorker::boot()
{
	struct sockaddr_in at = {};
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	at.sin_family = AF_INET;
	at.sin_port = htons((uint16_t)port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at))) {
		note("cannot listen on port %d", port);
		_exit(2);
	}
	{
		std::lock_guard<std::mutex> guard(site->lock);

		life = std::make_shared<Life>();
		life->number = ++boots;
		listener = fd;
		listen(fd, link.cut ? 0 : BACKLOG);
		if (link.cut)
			fill_backlog();
		note("worker %s boot %d, born %lld", id.c_str(), life->number,
		     (long long)life->born);
		std::thread([this, fd, l = life] {
			accept_all(fd, l);
		}).detach();
	}
	beat();
}

inline void BootsWorker::crash()
{
	std::lock_guard<std::mutex> guard(site->lock);
	string runs;

	for (auto &r : life->running)
		runs += " " + r.first + "/" + std::to_string(r.second.run);
	note("worker %s crashes, with%s", id.c_str(), runs.c_str());
	life->alive = false;
	life->running.clear();
	/* The kernel resets what the process has not accepted yet. */
	shutdown(listener, SHUT_RDWR);
	close(listener);
	listener = -1;
	for (Channel *c : channels)
		shutdown(c->fd, SHUT_RD);
	site->changed.notify_all();
}

/* Takes the only place in the queue, so that the kernel drops further attempts to
 * connect, which the other side repeats. */
inline void BootsWorker::fill_backlog()
{
	struct sockaddr_in at = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	at.sin_family = AF_INET;
	at.sin_port = htons((uint16_t)port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	connect(fd, (struct sockaddr *)&at, sizeof(at));
	fillers.push_back(fd);
}

inline void BootsWorker::cut()
{
	std::lock_guard<std::mutex> guard(site->lock);

	note("worker %s is cut off", id.c_str());
	link.cut = true;
	if (listener >= 0) {
		listen(listener, 0);
		fill_backlog();
	}
}

inline void BootsWorker::heal()
{
	std::lock_guard<std::mutex> guard(site->lock);

	if (!link.cut)
		return;
	note("worker %s is reachable again", id.c_str());
	link.cut = false;
	if (listener >= 0)
		listen(listener, BACKLOG);
	for (int fd : fillers)
		close(fd);
	fillers.clear();
}

inline void BootsWorker::accept_all(int fd, std::shared_ptr<Life> l)
{
	for (;;) {
		struct pollfd p = { fd, POLLIN, 0 };
		int on = 1;
		int n = poll(&p, 1, 100);
		std::lock_guard<std::mutex> guard(site->lock);

		if (!l->alive)
			return;
		if (n <= 0 || link.cut || link.accept_from_ms > now_ms()) {
			if (n > 0)
				usleep(1000);
			continue;
		}
		int c = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
		if (c < 0)
			continue;
		setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		Channel *channel =
			new Channel{ c, l, site->draw() < link.slow_channels,
				     false };
		channels.insert(channel);
		std::thread([this, channel] { serve(channel); }).detach();
	}
}

/* Waits until the link is not cut; false: the boot is gone. */
inline bool BootsWorker::wait_link(const Life &l)
{
	for (;;) {
		{
			std::lock_guard<std::mutex> guard(site->lock);

			if (!link.cut)
				return l.alive;
		}
		sleep_ms(STATE_POLL_MS);
	}
}

/* Reads until the other side gives up or the boot is gone. */
inline void BootsWorker::discard(Channel *c)
{
	char bytes[4096];

	while (recv(c->fd, bytes, sizeof(bytes), 0) > 0)
		continue;
}

inline void BootsWorker::finish_channel(Channel *c)
{
	struct linger reset = { 1, 0 };

	wait_link(*c->life);
	{
		std::lock_guard<std::mutex> guard(site->lock);

		channels.erase(c);
		if (!c->life->alive)
			setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(c->fd);
	}
	delete c;
}

inline void BootsWorker::serve(Channel *c)
{
	std::shared_ptr<Life> l = c->life;
	string in;
	Request r;

	while (read_request(c->fd, in, r)) {
		Order o = { r.path,
			    { json_loads(r.body.c_str(), 0, NULL),
			      [](json_t *j) { json_decref(j); } },
			    now_ms(),
			    c->answered };
		auto instance = r.headers.find("x-expect-instance");
		bool lose = false;
		bool later = false;
		int64_t wait_ms = 0;
		Response a;

		if (!wait_link(*l))
			break;
		{
			std::lock_guard<std::mutex> guard(site->lock);

			lose = site->draw() < link.lose_reply;
			later = is_order(o) &&
				site->draw() < link.carry_out_late;
			if (later || c->slow)
				wait_ms = (int64_t)(site->draw() *
						    (double)link.slow_max_ms);
		}
		if (!later)
			sleep_ms(wait_ms);
		if (instance != r.headers.end() && instance->second != id) {
			a = answer(*l, 421, NULL);
		} else if (later) {
			std::thread([this, o, l, wait_ms] {
				sleep_ms(wait_ms);
				std::unique_lock<std::mutex> guard(site->lock);
				carry_out(o, *l, guard);
			}).detach();
		} else {
			std::unique_lock<std::mutex> guard(site->lock);
			a = carry_out(o, *l, guard);
		}
		if (later || lose) {
			discard(c);
			break;
		}
		if (!wait_link(*l))
			break;
		std::ostringstream out;
		out << "HTTP/1.1 " << a.status
		    << " X\r\nContent-Type: " << a.type
		    << "\r\nContent-Length: " << a.body.size() << "\r\n\r\n"
		    << a.body;
		if (!write_all(c->fd, out.str()))
			break;
		c->answered |= r.path == "/hold" && a.status == 200;
	}
	finish_channel(c);
}

/* Runs */

inline void BootsWorker::beat()
{
	json_t *o;

	{
		std::lock_guard<std::mutex> guard(site->lock);

		if (!up())
			return;
		o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},"
			      "s:[s,s],s:I,s:I,s:I}",
			      "service", "ledger", "address",
			      ("127.0.0.1:" + std::to_string(port)).c_str(),
			      "zone", "zone-a", "version", "v1", "slots", 8,
			      "state", "ready", "coldRemainingMs", 0,
			      "capacity", "cpu", CAPACITY_CPU, "memMb",
			      CAPACITY_MEM_MB, "gpu", 0, "labels", "a", "r1-1",
			      "clockMs", (json_int_t)life->clock(), "seq",
			      (json_int_t)++beats, "born",
			      (json_int_t)life->born);
	}
	site->store->put("keyed.servers", id, dump(o));
}

inline void BootsWorker::end(Life &l, const string &task, const string &how)
{
	BootsEnd e = {
		++l.ends, task, l.running[task].run, how, now_ms(), false
	};

	l.over[task] = std::max(l.over[task], e.run);
	l.running.erase(task);
	l.finished.push_back(e);
	note("worker %s boot %d: %s run %u ends %s", id.c_str(), l.number,
	     task.c_str(), e.run, how.c_str());
	site->changed.notify_all();
}

inline void BootsWorker::tick()
{
	std::lock_guard<std::mutex> guard(site->lock);
	std::vector<std::pair<string, string>> due;

	if (!up())
		return;
	bool lapsed = life->lease_ms <= life->clock();
	for (auto &e : life->finished)
		e.lease_lapsed |= lapsed;
	for (auto &r : life->running) {
		if (lapsed)
			due.emplace_back(r.first, "lapsed");
		else if (r.second.ends_ms <= life->clock())
			due.emplace_back(r.first, "done");
	}
	for (auto &d : due)
		end(*life, d.first, d.second);
}

inline Response BootsWorker::answer(const Life &l, int status,
				    const char *reason)
{
	json_t *o = json_pack("{s:I}", "clockMs", (json_int_t)l.clock());
	Response a;

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	a.status = status;
	a.body = dump(o);
	return a;
}

/* Whether an order was meant for another boot. Nothing on the wire says which one
 * its sender meant; so this judges by what only another boot can have said. */
inline void BootsWorker::check_order(const Order &o, const Life &l)
{
	json_t *body = o.body.get();
	Findings &f = site->findings;
	std::pair<string, uint32_t> run = { get_string(body, "task"),
					    (uint32_t)get_int(body, "run") };
	int64_t lead = get_int(body, "untilMs") - l.clock();
	auto first = first_boot.find(run);
	bool other = first != first_boot.end() && first->second != l.number;

	if (!is_order(o))
		return;
	if (now_ms() - o.arrived_ms > LATE_MS)
		f.late_orders++;
	if (!o.answered) {
		(o.path == "/run-start"	 ? f.start_unasked
		 : o.path == "/run-stop" ? f.stop_unasked
					 : f.hold_unasked)++;
		note("unasked: %s on %s boot %d, %s run %u", o.path.c_str(),
		     id.c_str(), l.number, run.first.c_str(), run.second);
	}
	if (lead > site->hold_max_ms + CLOCK_TOLERANCE_MS) {
		f.lease_of_former_boot++;
		note("FOR ANOTHER BOOT lease: %s on %s boot %d, %s run %u, "
		     "untilMs %lld ahead of the clock",
		     o.path.c_str(), id.c_str(), l.number, run.first.c_str(),
		     run.second, (long long)lead);
	}
	if (get_int(body, "ackPosition") > l.listed) {
		f.ack_of_former_boot++;
		note("FOR ANOTHER BOOT ack: %s boot %d, ackPosition %lld, "
		     "listed %lld",
		     id.c_str(), l.number,
		     (long long)get_int(body, "ackPosition"),
		     (long long)l.listed);
	}
	if (other && o.path == "/run-stop" && !l.running.count(run.first))
		f.stop_of_former_boot++;
	if (other && o.path == "/run-start") {
		f.start_of_former_boot++;
		note("FOR ANOTHER BOOT start: %s boot %d, %s run %u was sent "
		     "to boot %d",
		     id.c_str(), l.number, run.first.c_str(), run.second,
		     first->second);
	}
}

inline Response BootsWorker::start(const Order &o, Life &l)
{
	json_t *body = o.body.get();
	string task = get_string(body, "task");
	uint32_t run = (uint32_t)get_int(body, "run");
	int64_t until = std::min(get_int(body, "untilMs"),
				 l.clock() + site->hold_max_ms);
	auto present = l.running.find(task);
	int cpu = site->cpu_of_job[task.substr(0, 16)];

	first_boot.emplace(std::make_pair(task, run), l.number);
	if (present != l.running.end() && present->second.run == run)
		return answer(l, 200, NULL);
	if (l.over.count(task) && run <= l.over[task]) {
		l.lease_ms = std::max(l.lease_ms, until);
		return answer(l, 409, "old");
	}
	if (until <= l.clock())
		return answer(l, 409, "late");
	l.lease_ms = std::max(l.lease_ms, until);
	site->check_start(*this, task, run, cpu,
			  now_ms() - o.arrived_ms > LATE_MS);
	l.running[task] = { run,
			    l.clock() + atoi(get_string(body, "spec").c_str()),
			    cpu };
	note("worker %s boot %d begins %s run %u, untilMs %lld, clock %lld, "
	     "fence %lld, %lld ms after its arrival",
	     id.c_str(), l.number, task.c_str(), run,
	     (long long)get_int(body, "untilMs"), (long long)l.clock(),
	     (long long)l.fence, (long long)(now_ms() - o.arrived_ms));
	return answer(l, 200, NULL);
}

inline Response BootsWorker::stop(const Order &o, Life &l)
{
	string task = get_string(o.body.get(), "task");
	uint32_t run = (uint32_t)get_int(o.body.get(), "run");
	auto present = l.running.find(task);

	if (present != l.running.end() && present->second.run <= run)
		end(l, task, "stopped");
	l.over[task] = std::max(l.over[task], run);
	return answer(l, 200, NULL);
}

inline Response BootsWorker::hold(const Order &o, Life &l,
				  std::unique_lock<std::mutex> &guard)
{
	int64_t ack = get_int(o.body.get(), "ackPosition");
	int64_t until = std::min(get_int(o.body.get(), "untilMs"),
				 l.clock() + site->hold_max_ms);
	int64_t wait_ms =
		std::min<int64_t>(get_int(o.body.get(), "waitMs"), 2000);
	std::vector<BootsEnd> kept;
	json_t *body;
	Response a;

	l.lease_ms = std::max(l.lease_ms, until);
	for (auto &e : l.finished) {
		if (e.number <= ack)
			site->check_end_noted(e);
		else
			kept.push_back(e);
	}
	l.finished = kept;
	site->changed.wait_for(guard, std::chrono::milliseconds(wait_ms),
			       [&] { return !l.alive || !l.finished.empty(); });
	body = json_pack("{s:I,s:I,s:[],s:[]}", "clockMs",
			 (json_int_t)l.clock(), "born", (json_int_t)l.born,
			 "running", "finished");
	for (auto &r : l.running)
		json_array_append_new(json_object_get(body, "running"),
				      json_pack("[s,I,s,i,i]", r.first.c_str(),
						(json_int_t)r.second.run, "",
						50, 100));
	for (size_t i = 0; i < l.finished.size() && i < 500; i++) {
		const BootsEnd &e = l.finished[i];

		l.listed = std::max(l.listed, e.number);
		json_array_append_new(
			json_object_get(body, "finished"),
			json_pack("[I,s,I,s,s]", (json_int_t)e.number,
				  e.task.c_str(), (json_int_t)e.run,
				  e.how.c_str(), ""));
	}
	a.body = dump(body);
	return a;
}

inline Response BootsWorker::carry_out(const Order &o, Life &l,
				       std::unique_lock<std::mutex> &guard)
{
	json_t *body = o.body.get();

	if (!l.alive)
		return answer(l, 503, NULL); /* nobody is left to send it */
	if (!body)
		return answer(l, 400, NULL);
	if (get_int(body, "fencingToken") < l.fence)
		return answer(l, 409, "fence");
	l.fence = get_int(body, "fencingToken");
	check_order(o, l);
	if (o.path == "/run-start")
		return start(o, l);
	if (o.path == "/run-stop")
		return stop(o, l);
	if (o.path == "/hold")
		return hold(o, l, guard);
	return answer(l, 404, NULL);
}

#endif
