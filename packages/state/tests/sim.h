#ifndef VH_SIM_H
#define VH_SIM_H

/*
 * Declares the simulation of a cluster under random faults, with checks of what
 * its workers and callers observe. Defined in sim_node.h and sim_run.h for
 * test_schedules.cc.
 */

#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include "fake_log.h"
#include "fake_worker.h"

extern "C" {
#include "vh/claims.h"
#include "vh/home.h"
#include "vh/invariant.h"
#include "vh/rack.h"
}

/* Mechanisms that can be switched off to show that each is needed. */
struct Mutations {
	bool no_worker_epoch = false; /* workers accept deposed owners */
	bool no_reconcile = false;    /* new homes do not reconcile */
	bool no_open = false;	      /* a new home appends no OPEN */
	bool no_home_fence = false;   /* racks accept deposed homes */
	bool no_clock_margin = false; /* leases count as expired too early */
	bool no_claims_check = false; /* leases expire without fresh claims */
	bool no_attempt = false;      /* starts do not wait for ATTEMPT */
	bool no_rack_epoch = false;   /* any owner decides a repeat */
};

struct SimSettings {
	uint64_t seed = 1;
	int64_t faults_until = 40000;
	int64_t heal_ms = 60000;
	size_t jobs = 12;
	int64_t replace_all_at = 0; /* when all nodes are replaced; 0: never */
	Mutations disabled;
};

static const int64_t SIM_LEASE = 3000, SIM_RENEW = 1000, SIM_VOID = 1500,
		     SIM_MARGIN = 200;

class Sim;

/* The part of a message that runs on the receiving node. */
typedef std::function<void(class Node &)> Message;

/* A start requested from a rack's owner. */
struct SimStartRequest {
	uint64_t rack_epoch = 0;
	bool again = false;
	int64_t at = 0; /* time of the next repeat */
};

struct SimHome {
	class Node &node;
	std::string unit, stream_name;
	uint64_t epoch;
	struct vh_home *h;
	struct vh_stream *s;
	bool open_requested = false, open = false;
	int64_t expire_at = 0;
	std::map<std::string, int64_t> reconcile_at;	       /* by rack */
	std::map<std::string, SimStartRequest> start_requests; /* by task */

	SimHome(class Node &node, const std::string &unit, uint64_t epoch);
	~SimHome();
};

struct SimRack {
	class Node *node;
	std::string name;
	struct vh_rack *r = NULL;
};

class Node
{
      public:
	Sim &sim;
	std::string id;
	size_t index;
	uint64_t incarnation = 0;
	bool up = false;
	int64_t paused_until = 0;
	std::string writer;
	struct vh_claims *claims = NULL;
	struct vh_stream *s = NULL;
	FakeLog::Port port;
	std::map<std::string, std::unique_ptr<SimRack>> racks;
	std::map<std::string, std::unique_ptr<SimHome>> homes;
	std::map<std::string, std::pair<uint64_t, int64_t>> heartbeats;
	std::set<std::string> pending_claims;

	Node(Sim &sim, size_t index);
	~Node();
	void start();
	void crash();
	void tick();
	void heartbeat();
	void submit(const std::string &key, bool idempotent, uint32_t n,
		    uint32_t client);

	struct vh_claim claim_of(const std::string &unit);
	Node *owner_of(const std::string &unit);
	SimHome *home(const std::string &unit);

      private:
	static void on_claims(void *ctx, uint64_t offset,
			      const struct vh_batch *batch);
	static void on_gone(void *ctx, uint64_t first);
	static void on_home_batch(void *ctx, uint64_t offset,
				  const struct vh_batch *batch);
	static size_t choose(void *ctx, const struct vh_start *start,
			     const struct vh_worker_view *views, size_t n,
			     enum vh_err *why);
	static void on_placed(void *ctx, struct vh_slice task, uint32_t attempt,
			      struct vh_slice home, struct vh_slice worker);
	static void on_refused(void *ctx, struct vh_slice task,
			       uint32_t attempt, struct vh_slice home,
			       enum vh_err why);
	static void on_ended(void *ctx, struct vh_slice worker,
			     const struct vh_ended_task *e);
	void claim_changed(const struct vh_claim &c);
	void rack_changed(const std::string &name, const struct vh_claim &c);
	void home_changed(const std::string &unit, const struct vh_claim &c);
	bool owns(const struct vh_claim &c) const;
	bool alive(const std::string &node, uint64_t inc) const;
	void claim_units();
	void update_rack(SimRack &r);
	void send_sync(SimRack &r, struct vh_slice worker,
		       const struct vh_sync_req &req);
	void update_home(SimHome &h);
	void open_home(SimHome &h);
	void start_tasks(SimHome &h);
	void request_start(SimHome &h, struct vh_task *task, bool again);
	void resend_requests(SimHome &h);
	void reconcile(SimHome &h, const std::string &rack);
	void home_append(SimHome &h, enum vh_rec_kind kind,
			 struct vh_slice body,
			 std::function<void(enum vh_err)> done);
	void handle_end(SimHome &h, const std::string &rack,
			const std::string &task, uint32_t attempt,
			enum vh_end end, Node &from);
	friend struct SimHome;
};

/* What the workers observed and what callers were told. */
class Ledger
{
      public:
	struct Task {
		bool idempotent = true;
		int running = 0;
		int begun = 0;
	};
	std::map<std::string, Task> tasks;
	std::map<std::string, bool> job_idempotent; /* by key */
	std::map<std::string, std::string> job_of;  /* by key */
	int team_running = 0, team_limit = 0;
	uint64_t starts = 0, ends = 0;
	std::vector<std::string> violations;
};

class Sim
{
      public:
	SimSettings settings;
	std::mt19937_64 rng;
	Events events;
	FakeLog log{ events };
	std::vector<std::unique_ptr<FakeWorker>> workers;
	std::map<std::string, std::vector<size_t>> rack_workers;
	std::vector<std::unique_ptr<Node>> nodes;
	Ledger ledger;
	std::vector<std::string> trace;
	std::set<std::pair<size_t, size_t>> cut; /* node pairs */
	std::set<std::pair<size_t, size_t>> cut_worker;
	std::set<size_t> cut_log;
	bool log_down = false;
	bool stopped = false;
	std::map<std::string, std::string> acked; /* key to job id */
	struct vh_limit limit = {};

	explicit Sim(const SimSettings &settings);
	~Sim();
	bool run(); /* false: see ledger.violations */

	uint64_t below(uint64_t n)
	{
		return rng() % n;
	}
	bool chance(unsigned int percent)
	{
		return below(100) < percent;
	}
	void add_trace(const std::string &line);
	void violation(const std::string &line);
	void send(Node &from, Node &to, Message m, bool once = false);
	/* calls may be lost or late; a connection never duplicates one */
	void send_once(Node &from, Node &to, Message m)
	{
		send(from, to, m, true);
	}
	bool healing() const
	{
		return events.now >= settings.faults_until;
	}
	Node *node(struct vh_slice id);
	std::vector<struct vh_slice> rack_names();

	struct Done {
		std::function<void(enum vh_err)> fn;
	};
	Done *keep_callback(std::function<void(enum vh_err)> fn);
	static void on_done(void *arg, enum vh_err err, uint64_t offset);

      private:
	std::deque<std::string> names;
	std::deque<Done> kept_callbacks;
	void make_workers();
	void make_faults();
	void make_jobs();
	void inject_fault();
	void replace_all();
	void tick_node(size_t i);
	void tick_workers();
	void heal();
	void check_end();
	bool all_ended();
};

#endif
