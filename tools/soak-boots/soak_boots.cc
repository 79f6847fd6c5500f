/*
 * soak_boots RECORD SEED SECONDS: three nodes and twelve workers under a seeded
 * course of chains. In a chain some workers start again under their ids, the owner
 * is killed, stopped or paused within 3 s around that, and the workers are cut off
 * soon after; meanwhile calls are read late, carried out late or lose their replies.
 * Checks from outside that no task runs twice, that capacity is kept, that no call
 * for one boot is carried out by another, and that all jobs complete in the end.
 * Exits with 0 if all held, 1 if not, 2 if it could not run.
 */
#include "site.h"

#define NODES 3
#define WORKERS 12
#define FIRST_CHAIN_MS 9000 /* clocks of boots must differ from a new one's */
#define CHAIN_MS 9000
#define JOB_GAP_MS 600 /* of each consumer */
#define BURST_GAP_MS 40
#define BURST_BEFORE_MS 200 /* the first restart of a chain */
#define BURST_MS 900
#define BURST_CPU 500
#define CONSUMERS 3
#define LOST_REPLY_SHARE 0.15 /* of the calls in a slow time */
#define LATE_ORDER_SHARE 0.25
#define EXTRA_MS 25000 /* for the last jobs, beyond the given time */
#define SLOW_CHANNEL_SHARE 0.5
#define WORKERS_IN_CHAIN 6
#define SLOW_MAX_MS 4000
#define ACCEPT_LATE_SHARE 0.3
#define ACCEPT_LATE_MAX_MS 3000
#define SHORT_WORK_MAX_MS 800
#define SHORT_SHARE 40 /* of 100 jobs */
#define MEDIUM_WORK_MAX_MS 2500
#define LONG_WORK_MIN_MS 5000
#define LONG_WORK_MAX_MS 20000
#define LONG_SHARE 30
#define SHORTEST_WORK_MS 300
#define RESTART_DOWN_MS 500 /* of a node that ended */

enum fault {
	WORKER_RESTARTS,
	WORKER_CUT,
	WORKER_HEALED,
	WORKER_SLOW,
	WORKER_PROMPT,
	OWNER_KILLED,
	OWNER_STOPPED,
	OWNER_PAUSED,
	OWNER_RESUMED,
	BURST_BEGINS,
	BURST_ENDS,
};

static const char *const fault_names[] = {
	"worker restarts", "worker cut",   "worker healed", "worker slow",
	"worker prompt",   "owner killed", "owner stopped", "owner paused",
	"owner resumed",   "burst begins", "burst ends",
};

struct Event {
	int64_t at_ms;
	enum fault kind;
	int worker;
	int64_t down_ms;
};

struct Job {
	string id;
	string body;
	bool accepted = false;
	bool complete = false;
};

class Course
{
      public:
	Course(uint32_t seed, int64_t length_ms) : random(seed)
	{
		for (int64_t at = FIRST_CHAIN_MS;
		     at + CHAIN_MS <= length_ms / 2 || at == FIRST_CHAIN_MS;
		     at += CHAIN_MS)
			add_chain(last_chain_ms = at);
		std::stable_sort(events.begin(), events.end(),
				 [](const Event &a, const Event &b) {
					 return a.at_ms < b.at_ms;
				 });
	}

	std::vector<Event> events;
	int64_t last_chain_ms;

      private:
	std::mt19937 random;

	int64_t between(int64_t low, int64_t high)
	{
		return low + (int64_t)(random() % (uint32_t)(high - low + 1));
	}
	void add(int64_t at_ms, enum fault kind, int worker = 0,
		 int64_t down_ms = 0)
	{
		events.push_back({ at_ms, kind, worker, down_ms });
	}

	/* How long a worker that starts again is away, mostly very shortly. */
	int64_t down()
	{
		return between(0, 1) ? between(2, 30) : between(30, 600);
	}

	/* The owner is gone soon after the workers are back, and they are cut off
	 * for longer than a lease that it renewed, all at once. */
	void add_recut(int64_t at, int64_t *cut_at, int64_t *healed_at)
	{
		int64_t owner_at = at + between(800, 2000);

		add(owner_at, OWNER_KILLED);
		*cut_at = owner_at + between(300, 1600);
		*healed_at = *cut_at + between(8000, 11000);
	}

	void add_mixed(int64_t at, int64_t *cut_at, int64_t *healed_at)
	{
		int64_t owner_at = at + between(-1000, 3000);
		int how = (int)between(0, 9);

		if (how < 4) {
			add(owner_at, OWNER_KILLED);
		} else if (how < 6) {
			add(owner_at, OWNER_STOPPED);
		} else {
			add(owner_at, OWNER_PAUSED);
			add(owner_at + between(800, 6000), OWNER_RESUMED);
		}
		*cut_at = std::max(at + 300, owner_at) + between(200, 2000);
		*healed_at = *cut_at + between(3000, 14000);
	}

	void add_chain(int64_t at)
	{
		bool recut = between(0, 1);
		int64_t cut_at;
		int64_t healed_at;
		std::set<int> some;

		if (recut)
			add_recut(at, &cut_at, &healed_at);
		else
			add_mixed(at, &cut_at, &healed_at);
		add(at - BURST_BEFORE_MS, BURST_BEGINS);
		add(at - BURST_BEFORE_MS + BURST_MS, BURST_ENDS);
		while (some.size() < WORKERS_IN_CHAIN)
			some.insert((int)between(0, WORKERS - 1));
		for (int w : some) {
			int64_t restart = at + between(0, 400);

			add(restart, WORKER_RESTARTS, w, down());
			add(restart - between(0, 1500), WORKER_SLOW, w);
			add(restart + between(1000, 5000), WORKER_PROMPT, w);
			if (recut || between(0, 9) < 8) {
				add(cut_at, WORKER_CUT, w);
				add(healed_at, WORKER_HEALED, w);
			}
			if (!recut && between(0, 9) < 5)
				add(restart + between(700, 2500),
				    WORKER_RESTARTS, w, down());
			if (!recut && between(0, 9) < 2)
				add(cut_at + between(200, 3000),
				    WORKER_RESTARTS, w, down());
		}
	}
};

/* A consumer, which keeps a connection to each node until that closes it. */
class Consumer
{
      public:
	explicit Consumer(World &world) : w(world), fds(world.nodes.size(), -1)
	{
	}

	/* 0: no answer. */
	int call_node(size_t n, const string &method, const string &path,
		      const string &body, string *text)
	{
		std::map<string, string> headers;
		std::ostringstream out;
		string in;
		string line;

		if (fds[n] < 0 && !connect_to(n))
			return 0;
		out << method << " " << path << " HTTP/1.1\r\n"
		    << "Host: jobs.example\r\nAuthorization: Token " << key_one
		    << "\r\nX-Deadline-Ms: 3000\r\n"
		    << "Content-Type: application/json\r\nContent-Length: "
		    << body.size() << "\r\n\r\n"
		    << body;
		if (write_all(fds[n], out.str()) &&
		    read_message(fds[n], in, line, headers, *text) &&
		    line.size() > 12)
			return atoi(line.c_str() + 9);
		close(fds[n]);
		fds[n] = -1;
		return 0;
	}

	bool submit_once(Job &j)
	{
		string text;
		int status = call_node(next++ % fds.size(), "POST",
				       "/q/" + j.id, j.body, &text);

		j.accepted = status == 200;
		return j.accepted;
	}

	bool is_complete(const Job &j)
	{
		string text;
		int status = call_node(next++ % fds.size(), "GET", "/q/" + j.id,
				       "", &text);
		json_t *o = status == 200 ? json_loads(text.c_str(), 0, NULL)
					  : NULL;
		bool complete = get_string(o, "state") == "complete";

		json_decref(o);
		return complete;
	}

      private:
	World &w;
	std::vector<int> fds;
	size_t next = 0;

	bool connect_to(size_t n)
	{
		struct sockaddr_in at = {};
		struct timeval limit = { 3, 0 };
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		at.sin_family = AF_INET;
		at.sin_port = htons((uint16_t)w.nodes[n]->front);
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (connect(fd, (struct sockaddr *)&at, sizeof(at))) {
			close(fd);
			return false;
		}
		fds[n] = fd;
		return true;
	}
};

class Soak
{
      public:
	Soak(uint32_t seed_, int64_t length)
	    : seed(seed_), length_ms(length), course(seed_, length)
	{
	}

	int play();

      private:
	uint32_t seed;
	int64_t length_ms;
	Course course;
	World world;
	Site site;
	std::vector<Job> jobs;
	std::mutex nodes_lock;
	std::atomic<bool> over{ false };
	std::atomic<bool> calm{ false };
	std::atomic<bool> burst{ false };
	Node *paused = NULL;
	size_t n_complete = 0;
	size_t n_accepted = 0;

	bool open();
	void submit_jobs(int consumer);
	void submit(Consumer &c, std::vector<Job> &open);
	void finish_jobs(Consumer &c);
	void play_course(int64_t start_ms);
	void play_event(const Event &e);
	void owner_event(const Event &e);
	Node *owner();
	void restart_nodes();
	int report();
};

static void set_hold_max(Node &n, int64_t ms)
{
	string text = read_file(n.settings_path);
	string mark = "hold_max_ms=6000";
	size_t at = text.find(mark);

	if (at == string::npos)
		_exit(2);
	text.replace(at, mark.size(), "hold_max_ms=" + std::to_string(ms));
	std::ofstream(n.settings_path) << text;
}

bool Soak::open()
{
	site.random.seed(seed);
	site.store = &world.store;
	/* The longest leases of the sites, sitara-ops and faserkreis-sched. */
	site.hold_max_ms = seed % 2 ? 10000 : 6000;
	world.open(0, 0);
	site.open(WORKERS);
	for (int i = 0; i < NODES; i++) {
		auto node = std::make_unique<Node>();

		node->name = "edge-" + std::to_string(i + 1);
		node->write_settings(world.folder, world.store.link.server.port,
				     world.policy.server.port);
		set_hold_max(*node, site.hold_max_ms);
		node->start();
		world.nodes.push_back(std::move(node));
	}
	note("seed %u, longest lease %lld ms, logs in %s, starts at %lld", seed,
	     (long long)site.hold_max_ms, world.folder.c_str(),
	     (long long)(wall_ms() - now_ms()));
	return world.wait_ready();
}

/* The node that began the newest ownership, by the nodes' logs. */
Node *Soak::owner()
{
	const string mark = "\"ownership begins\",\"epoch\":\"";
	Node *newest = NULL;
	long epoch = -1;

	for (auto &n : world.nodes) {
		string log = read_file(n->log_path);

		for (size_t at = 0; (at = log.find(mark, at)) != string::npos;
		     at++) {
			long e = atol(log.c_str() + at + mark.size());

			if (e >= epoch) {
				epoch = e;
				newest = n.get();
			}
		}
	}
	return newest;
}

/* As the platform does it: a process that has ended starts again. */
void Soak::restart_nodes()
{
	while (!over) {
		sleep_ms(50);
		for (auto &n : world.nodes) {
			int status;

			if (waitpid(n->pid, &status, WNOHANG) != n->pid)
				continue;
			note("node %s has ended, status %d", n->name.c_str(),
			     status);
			sleep_ms(RESTART_DOWN_MS);
			std::lock_guard<std::mutex> guard(nodes_lock);
			n->start();
		}
	}
}

void Soak::owner_event(const Event &e)
{
	std::lock_guard<std::mutex> guard(nodes_lock);
	Node *n = e.kind == OWNER_RESUMED ? paused : owner();

	if (!n)
		return;
	switch (e.kind) {
	case OWNER_KILLED:
		n->signal_process(SIGKILL);
		break;
	case OWNER_STOPPED:
		n->signal_process(SIGTERM);
		break;
	case OWNER_PAUSED:
		n->signal_process(SIGSTOP);
		paused = n;
		break;
	default:
		n->signal_process(SIGCONT);
		paused = NULL;
	}
}

void Soak::play_event(const Event &e)
{
	BootsWorker &w = *site.workers[(size_t)e.worker];

	note("fault: %s %d", fault_names[e.kind], e.worker);
	switch (e.kind) {
	case WORKER_RESTARTS:
		if (!w.up())
			break;
		w.crash();
		std::thread([&w, down = e.down_ms] {
			sleep_ms(down);
			w.boot();
		}).detach();
		break;
	case WORKER_CUT:
		w.cut();
		break;
	case WORKER_HEALED:
		w.heal();
		break;
	case WORKER_SLOW: {
		std::lock_guard<std::mutex> guard(site.lock);

		w.link.slow_channels = SLOW_CHANNEL_SHARE;
		w.link.carry_out_late = LATE_ORDER_SHARE;
		w.link.lose_reply = LOST_REPLY_SHARE;
		w.link.slow_max_ms = SLOW_MAX_MS;
		if (site.draw() < ACCEPT_LATE_SHARE)
			w.link.accept_from_ms =
				now_ms() +
				(int64_t)(site.draw() * ACCEPT_LATE_MAX_MS);
		break;
	}
	case WORKER_PROMPT: {
		std::lock_guard<std::mutex> guard(site.lock);
		bool cut = w.link.cut;

		w.link = Link();
		w.link.cut = cut;
		break;
	}
	case BURST_BEGINS:
	case BURST_ENDS:
		burst = e.kind == BURST_BEGINS;
		break;
	default:
		owner_event(e);
	}
}

void Soak::play_course(int64_t start_ms)
{
	for (const Event &e : course.events) {
		sleep_ms(std::max<int64_t>(0, start_ms + e.at_ms - now_ms()));
		play_event(e);
	}
	calm = true;
	note("the course is over");
}

/* Sends once more, with the same id, what had no answer. */
void Soak::submit(Consumer &c, std::vector<Job> &open)
{
	std::vector<Job> still_open;

	for (Job &j : open) {
		if (!c.submit_once(j)) {
			still_open.push_back(j);
			continue;
		}
		std::lock_guard<std::mutex> guard(site.lock);
		jobs.push_back(j);
	}
	open = still_open;
}

/* The time that a task takes. */
static int draw_work(std::mt19937 &random, bool may_be_long)
{
	uint32_t kind = (uint32_t)(random() % 100);
	int low = SHORTEST_WORK_MS;
	int high = MEDIUM_WORK_MAX_MS;

	if (kind < SHORT_SHARE) {
		high = SHORT_WORK_MAX_MS;
	} else if (may_be_long && kind < SHORT_SHARE + LONG_SHARE) {
		low = LONG_WORK_MIN_MS;
		high = LONG_WORK_MAX_MS;
	}
	return low + (int)(random() % (uint32_t)(high - low));
}

void Soak::submit_jobs(int consumer)
{
	Consumer c(world);
	std::mt19937 random(seed * CONSUMERS + (uint32_t)consumer);
	std::vector<Job> open;
	const int64_t begin_ms = now_ms();

	for (int i = 0; !calm; i++) {
		char id[20];
		int count = 1 + (int)(random() % 4);
		int cpu = burst ? BURST_CPU : 500 * (1 + (int)(random() % 8));
		int work = draw_work(
			random,
			burst || now_ms() < begin_ms + course.last_chain_ms);

		snprintf(id, sizeof(id), "%06x%02x%08x", seed, consumer, i);
		{
			std::lock_guard<std::mutex> guard(site.lock);

			site.cpu_of_job[id] = cpu;
		}
		open.push_back({ id, World::tasks(count, cpu, work) });
		submit(c, open);
		sleep_ms(burst ? BURST_GAP_MS : JOB_GAP_MS);
	}
}

void Soak::finish_jobs(Consumer &c)
{
	n_accepted = jobs.size();
	while (n_complete < n_accepted && now_ms() < length_ms + EXTRA_MS) {
		for (Job &j : jobs) {
			if (j.complete || now_ms() >= length_ms + EXTRA_MS)
				continue;
			j.complete = c.is_complete(j);
			n_complete += j.complete;
		}
		sleep_ms(200);
	}
}

int Soak::report()
{
	std::lock_guard<std::mutex> guard(site.lock);
	const Findings &f = site.findings;
	size_t unfinished = n_accepted - n_complete;
	char line[600];

	for (Job &j : jobs) {
		if (!j.complete)
			note("BROKEN not complete: %s", j.id.c_str());
	}
	snprintf(line, sizeof(line),
		 "seed %u lease %lld jobs %zu unfinished %zu starts %d late %d "
		 "| two_at_once %d after_done %d capacity %d | another_boot: "
		 "start %d lease %d ack %d | unasked: start %d stop %d hold %d "
		 "| stops_of_former %d | %.0f s",
		 seed, (long long)site.hold_max_ms, n_accepted, unfinished,
		 f.starts, f.late_orders, f.two_at_once, f.start_after_done,
		 f.over_capacity, f.start_of_former_boot,
		 f.lease_of_former_boot, f.ack_of_former_boot, f.start_unasked,
		 f.stop_unasked, f.hold_unasked, f.stop_of_former_boot,
		 (double)now_ms() / 1000);
	note("%s", line);
	puts(line);
	fflush(stdout);
	if (!n_accepted)
		return 2;
	return f.broken() || f.for_another_boot() || f.unasked() || unfinished;
}

int Soak::play()
{
	int result = 2;

	if (open()) {
		Consumer c(world);
		std::thread restarts([this] { restart_nodes(); });
		std::vector<std::thread> consumers;

		for (int i = 0; i < CONSUMERS; i++)
			consumers.emplace_back([this, i] { submit_jobs(i); });
		play_course(now_ms());
		for (auto &consumer : consumers)
			consumer.join();
		finish_jobs(c);
		result = report();
		over = true;
		restarts.join();
	}
	if (result)
		setenv("KEEP", "1", 1);
	world.close_all();
	note("result: %d", result);
	return result;
}

int main(int argc, char **argv)
{
	if (argc < 4)
		return 2;
	record_file = fopen(argv[1], "w");
	if (!record_file)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	static Soak soak((uint32_t)strtoul(argv[2], NULL, 10),
			 atoi(argv[3]) * 1000);
	int result = soak.play();

	fflush(stdout);
	_exit(result); /* threads of the stand-ins still run */
}
