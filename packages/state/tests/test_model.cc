#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <unordered_map>
#include <vector>

/*
 * Exhaustive search over the ownership protocol on small instances: two nodes
 * that claim one or two racks of one worker each and one home with one task.
 * All orders of claims, log reads, adoptions, OPEN records, reconciliations,
 * starts (with unbounded delay) and losses are tried. The property: the task
 * never begins while it is running, and a task that is not idempotent never
 * begins twice.
 *
 * A step of the model is atomic where the program's is: one record applied, one
 * message handled, one exchange processed by the worker.
 */
namespace
{

enum {
	NODES = 2,
	RACKS = 2,
	HOME = RACKS,
	MAX_CLAIMS = 6,
	MAX_STARTS = 3
};

struct Fences {
	bool worker_epoch = true;   /* the worker rejects older owners */
	bool list_first = true;	    /* a new owner lists runs first */
	bool home_fence = true;	    /* the rack rejects older homes */
	bool open = true;	    /* an OPEN fences older homes */
	bool reconcile = true;	    /* a new home reconciles first */
	bool attempt = true;	    /* a start waits for its ATTEMPT record */
	bool non_idempotent = true; /* the task is not idempotent */
	uint8_t racks = 1;
	uint8_t claims = 3; /* in addition to the initial ones */
	bool claim_racks = true;
};

/* A start in transit to the worker. */
struct Start {
	uint8_t rack = 0;
	uint8_t rack_epoch = 0; /* 0: none */
};

struct Node {
	uint8_t claims_read = 0; /* number of claims applied */
	struct {
		uint8_t epoch; /* owned epoch; 0: not owned */
		bool adopted;
		uint8_t fence;	/* newest known home epoch */
		bool committed; /* a run is committed */
	} racks[RACKS];
	uint8_t home_epoch = 0;
	bool home_open = false;
	uint8_t reconciled = 0; /* bit mask of racks */
	bool recorded = false;	/* an earlier owner's ATTEMPT was read */
	bool requested = false;
	bool no_start = false;
	uint8_t home_read = 0;
	bool appended = false; /* its ATTEMPT is in the log */
};

/* One record of the home's stream. */
struct Record {
	uint8_t epoch = 0;
	uint8_t kind = 0; /* 1 OPEN, 2 ATTEMPT */
};

struct State {
	/* claims: unit and node, in log order */
	std::array<uint8_t, MAX_CLAIMS> claims{};
	uint8_t n_claims = 0;
	std::array<Record, 6> home{};
	uint8_t n_home = 0;
	std::array<Node, NODES> nodes{};
	std::array<Start, MAX_STARTS> starts{};
	uint8_t n_starts = 0;
	uint8_t worker_epoch[RACKS];
	bool running[RACKS];
	uint8_t begun = 0;
	bool unsafe = false;

	std::string key() const
	{
		return std::string((const char *)this, sizeof(*this));
	}
};

class Search
{
      public:
	explicit Search(const Fences &f) : f(f)
	{
	}
	size_t states = 0;
	std::vector<std::string> path; /* steps to the violation */

	/* Returns true if a violation is reachable. */
	bool run()
	{
		State s;

		memset((void *)&s, 0, sizeof(s));
		/* node 0 owns all units at first */
		for (uint8_t r = 0; r < f.racks; r++)
			claim(s, r, 0);
		claim(s, HOME, 0);
		return visit(s);
	}

      private:
	Fences f;
	std::unordered_map<std::string, bool> seen;
	std::vector<std::string> steps;

	static void claim(State &s, uint8_t unit, uint8_t node)
	{
		s.claims[s.n_claims++] = (uint8_t)(unit << 4 | node);
	}
	bool visit(const State &s)
	{
		if (s.unsafe) {
			path = steps;
			return true;
		}
		if (seen.count(s.key()))
			return false;
		seen[s.key()] = true;
		states++;
		for (uint8_t n = 0; n < NODES; n++)
			if (node_steps(s, n))
				return true;
		return worker_steps(s);
	}
	bool step_to(const State &s, const std::string &what)
	{
		steps.push_back(what);
		bool found = visit(s);
		steps.pop_back();
		return found;
	}
	static std::string name(const char *what, uint8_t n)
	{
		return std::string(what) + " by " + std::to_string(n);
	}

	/* The offset of a claim, from 1, is its epoch. */
	static void read_claim(State &s, uint8_t n, bool fence)
	{
		Node &node = s.nodes[n];
		uint8_t c = s.claims[node.claims_read];
		uint8_t epoch = ++node.claims_read;

		if (c >> 4 != HOME) {
			auto &rack = node.racks[c >> 4];

			rack.epoch = (c & 15) == n ? epoch : 0;
			rack.adopted = rack.committed = false;
		} else {
			uint8_t read = node.claims_read;
			Node reset = node;

			reset.reconciled = 0;
			reset.home_open = reset.recorded = false;
			reset.requested = reset.no_start = reset.appended =
				false;
			reset.home_read = 0;
			reset.home_epoch = (c & 15) == n ? epoch : 0;
			reset.claims_read = read;
			for (auto &rack : reset.racks)
				rack.fence = fence ? epoch : 0;
			node = reset;
		}
	}
	/* A home applies one record of its stream. */
	void read_home(State &s, uint8_t n) const
	{
		Node &node = s.nodes[n];
		Record r = s.home[node.home_read++];
		uint8_t newest = 0;

		for (uint8_t i = 0; i + 1 < node.home_read; i++)
			if (s.home[i].kind == 1 && s.home[i].epoch > newest)
				newest = s.home[i].epoch;
		if (f.open && r.epoch < newest)
			return;
		if (r.kind == 1 && r.epoch == node.home_epoch)
			node.home_open = true;
		if (r.kind == 1 && r.epoch > node.home_epoch && f.open) {
			node.home_epoch = 0; /* deposed */
			node.home_open = false;
		}
		if (r.kind == 2) {
			if (r.epoch == node.home_epoch)
				node.appended = true;
			else
				node.recorded = true;
		}
	}
	bool node_steps(const State &s, uint8_t n)
	{
		const Node &node = s.nodes[n];

		if (node.claims_read < s.n_claims) {
			State t = s;
			read_claim(t, n, f.home_fence);
			if (step_to(t, name("claim read", n)))
				return true;
		}
		/* a node that has read all claims may claim any unit */
		if (node.claims_read == s.n_claims &&
		    s.n_claims < f.racks + 1 + f.claims)
			for (uint8_t unit = 0; unit <= HOME; unit++) {
				State t = s;

				if (unit != HOME &&
				    (unit >= f.racks || !f.claim_racks))
					continue;
				claim(t, unit, n);
				if (step_to(t,
					    name(unit == HOME ? "home claimed"
							      : "rack claimed",
						 n)))
					return true;
			}
		return rack_steps(s, n) || home_steps(s, n);
	}
	bool rack_steps(const State &s, uint8_t n)
	{
		for (uint8_t r = 0; r < f.racks; r++) {
			const auto &rack = s.nodes[n].racks[r];
			State t = s;
			auto &m = t.nodes[n].racks[r];

			/* the worker learns the epoch and lists its runs */
			if (!rack.epoch || rack.adopted)
				continue;
			if (f.worker_epoch && rack.epoch < s.worker_epoch[r]) {
				m.epoch = 0;
			} else {
				if (rack.epoch > t.worker_epoch[r])
					t.worker_epoch[r] = rack.epoch;
				m.adopted = true;
				if (f.list_first)
					m.committed = s.running[r];
			}
			if (step_to(t, name("adoption", n)))
				return true;
		}
		return false;
	}
	bool home_steps(const State &s, uint8_t n)
	{
		const Node &node = s.nodes[n];
		uint8_t h = node.home_epoch;

		if (!h)
			return false;
		if (node.home_read < s.n_home) {
			State t = s;
			read_home(t, n);
			if (step_to(t, name("record read", n)))
				return true;
		}
		if (!node.home_open && node.home_read == s.n_home) {
			State t = s;

			if (f.open && s.n_home < 6)
				t.home[t.n_home++] = { h, 1 };
			else if (!f.open)
				t.nodes[n].home_open = true;
			else
				return false;
			if (step_to(t, name("OPEN", n)))
				return true;
		}
		return node.home_open && start_steps(s, n);
	}
	/* The rack's owner fences older homes and then reports its runs. */
	bool reconcile_steps(const State &s, uint8_t n, uint8_t r)
	{
		const Node &node = s.nodes[n];

		for (uint8_t o = 0; o < NODES; o++) {
			const auto &rack = s.nodes[o].racks[r];
			State t = s;

			if (f.reconcile &&
			    (!rack.epoch || !rack.adopted ||
			     rack.epoch != known_rack_epoch(s, n, r)))
				continue;
			t.nodes[n].reconciled |= (uint8_t)(1 << r);
			if (f.reconcile && f.home_fence &&
			    rack.fence < node.home_epoch)
				t.nodes[o].racks[r].fence = node.home_epoch;
			if (f.reconcile && rack.committed)
				t.nodes[n].no_start = true; /* it runs there */
			else if (f.non_idempotent && node.recorded)
				t.nodes[n].no_start =
					true; /* unknown outcome */
			if (step_to(t, name("reconcile", n)))
				return true;
		}
		return false;
	}
	bool start_steps(const State &s, uint8_t n)
	{
		const Node &node = s.nodes[n];
		uint8_t all = (uint8_t)((1 << f.racks) - 1);

		for (uint8_t r = 0; r < f.racks; r++)
			if (!(node.reconciled >> r & 1) &&
			    reconcile_steps(s, n, r))
				return true;
		if (node.reconciled != all || node.no_start || node.requested)
			return false;
		if (f.non_idempotent && !node.appended) {
			if (s.n_home < 6 && !pending(s, node.home_epoch)) {
				State t = s;

				t.home[t.n_home++] = { node.home_epoch, 2 };
				if (step_to(t, name("ATTEMPT", n)))
					return true;
			}
			if (f.attempt)
				return false;
		}
		return place_steps(s, n);
	}
	static bool pending(const State &s, uint8_t epoch)
	{
		for (uint8_t i = 0; i < s.n_home; i++)
			if (s.home[i].kind == 2 && s.home[i].epoch == epoch)
				return true;
		return false;
	}
	/* Epoch of the rack according to the claims that this node has read. */
	static uint8_t known_rack_epoch(const State &s, uint8_t n, uint8_t rack)
	{
		uint8_t epoch = 0;

		for (uint8_t i = 0; i < s.nodes[n].claims_read; i++)
			if (s.claims[i] >> 4 == rack)
				epoch = (uint8_t)(i + 1);
		return epoch;
	}
	/* An owner handles PLACE and sends the start. */
	bool place_steps(const State &s, uint8_t n)
	{
		for (uint8_t i = 0; i < NODES * f.racks; i++) {
			uint8_t o = i % NODES, r = i / NODES;
			const auto &rack = s.nodes[o].racks[r];
			State t = s;

			if (!rack.epoch || s.n_starts == MAX_STARTS ||
			    (f.list_first && !rack.adopted) || rack.committed)
				continue;
			if (f.home_fence && s.nodes[n].home_epoch < rack.fence)
				continue;
			t.nodes[n].requested = true;
			t.nodes[o].racks[r].committed = true;
			t.starts[t.n_starts++] = { r, rack.epoch };
			if (step_to(t, name("start sent", o)))
				return true;
		}
		return false;
	}
	bool worker_steps(const State &s)
	{
		for (uint8_t r = 0; r < f.racks; r++) {
			State t = s;

			if (!s.running[r] || s.begun > 1)
				continue;
			/* the worker restarts and the rack's owners notice */
			t.running[r] = false;
			for (auto &n : t.nodes)
				n.racks[r].committed = false;
			if (step_to(t, "run lost"))
				return true;
		}
		for (uint8_t i = 0; i < s.n_starts; i++) {
			uint8_t r = s.starts[i].rack;
			State t = s;

			t.starts[i] = t.starts[--t.n_starts];
			t.starts[t.n_starts] = {};
			if (step_to(t, "start lost"))
				return true;
			if (f.worker_epoch &&
			    s.starts[i].rack_epoch < s.worker_epoch[r])
				continue;
			if (s.starts[i].rack_epoch > t.worker_epoch[r])
				t.worker_epoch[r] = s.starts[i].rack_epoch;
			t.unsafe = s.running[0] || s.running[1] ||
				   (f.non_idempotent && s.begun);
			t.running[r] = true;
			t.begun = 1;
			if (step_to(t, "start begun"))
				return true;
		}
		return false;
	}
};

struct Case {
	const char *name;
	bool Fences::*off; /* NULL: all enabled */
	bool non_idempotent;
	uint8_t racks; /* with two, only the home changes its owner */
	bool violated;
};

} // namespace

TEST(Model, NoInterleavingViolatesSafetyAndEachFenceIsNeeded)
{
	Case cases[] = {
		{ "all, one rack, not idempotent", NULL, true, 1, false },
		{ "all, one rack, idempotent", NULL, false, 1, false },
		{ "all, two racks, not idempotent", NULL, true, 2, false },
		{ "all, two racks, idempotent", NULL, false, 2, false },
		{ "worker_epoch", &Fences::worker_epoch, false, 1, true },
		{ "list_first", &Fences::list_first, false, 1, true },
		{ "reconcile", &Fences::reconcile, false, 2, true },
		{ "home_fence", &Fences::home_fence, false, 2, true },
		{ "open", &Fences::open, true, 1, true },
		{ "attempt", &Fences::attempt, true, 1, true },
	};

	for (auto &c : cases) {
		Fences f;

		f.non_idempotent = c.non_idempotent;
		f.racks = c.racks;
		f.claim_racks = c.racks == 1;
		f.claims = c.racks == 1 ? 3 : 2;
		if (c.off)
			f.*c.off = false;
		Search search(f);
		EXPECT_EQ(search.run(), c.violated) << c.name;
		printf("%s: %zu states\n", c.name, search.states);
		for (auto &step : search.path)
			printf("    %s\n", step.c_str());
	}
}
