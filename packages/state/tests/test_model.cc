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
 * Every order of claims, reads of the log, adoptions, OPEN records, seals,
 * starts (which may be delayed for ever) and losses is tried. The property: the task never
 * begins while it runs already, and if it is not idempotent, never twice.
 *
 * Steps of the protocol are atomic where the program's are: one record
 * applied, one message handled, one exchange read by the worker.
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
	bool worker_epoch = true; /* the worker refuses older owners */
	bool adopt_first = true;  /* a new owner reads the worker first */
	bool home_fence = true;	  /* the rack refuses older homes */
	bool open = true;	  /* an OPEN voids records of older homes */
	bool seal = true;	  /* a new home asks the rack first */
	bool attempt = true;	  /* a start waits for its ATTEMPT */
	bool once = true;	  /* the task is not idempotent */
	uint8_t racks = 1;
	uint8_t claims = 3; /* besides those at the beginning */
	bool claim_racks = true;
};

/* A start on its way to the worker. */
struct Start {
	uint8_t rack = 0;
	uint8_t rack_epoch = 0; /* 0: none */
};

struct Node {
	uint8_t claims_read = 0; /* records of the claims applied */
	struct {
		uint8_t epoch; /* owned under; 0: not owned */
		bool adopted;
		uint8_t fence; /* newest home epoch known to it */
		bool has;      /* a run is committed */
	} racks[RACKS];
	uint8_t home_epoch = 0;
	bool home_open = false;
	uint8_t sealed = 0;    /* a bit for each rack */
	bool recorded = false; /* what this home knows of the task */
	bool asked = false;
	bool over = false;
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
	bool bad = false;

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
	std::vector<std::string> path; /* to the violation */

	/* Returns true if a violation can be reached. */
	bool run()
	{
		State s;

		memset((void *)&s, 0, sizeof(s));
		/* node 0 begins as owner of all */
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
		if (s.bad) {
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
	bool go(const State &s, const std::string &what)
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

	/* Claims: the offset, from 1, is the epoch. */
	static void read_claim(State &s, uint8_t n, bool fence)
	{
		Node &node = s.nodes[n];
		uint8_t c = s.claims[node.claims_read];
		uint8_t epoch = ++node.claims_read;

		if (c >> 4 != HOME) {
			auto &rack = node.racks[c >> 4];

			rack.epoch = (c & 15) == n ? epoch : 0;
			rack.adopted = rack.has = false;
		} else {
			uint8_t read = node.claims_read;
			Node fresh = node;

			fresh.sealed = 0;
			fresh.home_open = fresh.recorded = false;
			fresh.asked = fresh.over = fresh.appended = false;
			fresh.home_read = 0;
			fresh.home_epoch = (c & 15) == n ? epoch : 0;
			fresh.claims_read = read;
			for (auto &rack : fresh.racks)
				rack.fence = fence ? epoch : 0;
			node = fresh;
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
			if (go(t, name("claim read", n)))
				return true;
		}
		/* a node that has read all may claim either unit */
		if (node.claims_read == s.n_claims &&
		    s.n_claims < f.racks + 1 + f.claims)
			for (uint8_t unit = 0; unit <= HOME; unit++) {
				State t = s;

				if (unit != HOME &&
				    (unit >= f.racks || !f.claim_racks))
					continue;
				claim(t, unit, n);
				if (go(t, name(unit == HOME ? "home claimed"
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

			/* adoption: the worker hears the epoch, tells what runs */
			if (!rack.epoch || rack.adopted)
				continue;
			if (f.worker_epoch && rack.epoch < s.worker_epoch[r]) {
				m.epoch = 0;
			} else {
				if (rack.epoch > t.worker_epoch[r])
					t.worker_epoch[r] = rack.epoch;
				m.adopted = true;
				if (f.adopt_first)
					m.has = s.running[r];
			}
			if (go(t, name("adoption", n)))
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
			if (go(t, name("record read", n)))
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
			if (go(t, name("OPEN", n)))
				return true;
		}
		return node.home_open && start_steps(s, n);
	}
	/* The rack's owner refuses the older home from then on, and tells. */
	bool seal_steps(const State &s, uint8_t n, uint8_t r)
	{
		const Node &node = s.nodes[n];

		for (uint8_t o = 0; o < NODES; o++) {
			const auto &rack = s.nodes[o].racks[r];
			State t = s;

			if (f.seal && (!rack.epoch || !rack.adopted ||
				       rack.epoch != newest_rack(s, n, r)))
				continue;
			t.nodes[n].sealed |= (uint8_t)(1 << r);
			if (f.seal && f.home_fence &&
			    rack.fence < node.home_epoch)
				t.nodes[o].racks[r].fence = node.home_epoch;
			if (f.seal && rack.has)
				t.nodes[n].over = true; /* it runs there */
			else if (f.once && node.recorded)
				t.nodes[n].over = true; /* unknown outcome */
			if (go(t, name("seal", n)))
				return true;
		}
		return false;
	}
	bool start_steps(const State &s, uint8_t n)
	{
		const Node &node = s.nodes[n];
		uint8_t all = (uint8_t)((1 << f.racks) - 1);

		for (uint8_t r = 0; r < f.racks; r++)
			if (!(node.sealed >> r & 1) && seal_steps(s, n, r))
				return true;
		if (node.sealed != all || node.over || node.asked)
			return false;
		if (f.once && !node.appended) {
			if (s.n_home < 6 && !pending(s, node.home_epoch)) {
				State t = s;

				t.home[t.n_home++] = { node.home_epoch, 2 };
				if (go(t, name("ATTEMPT", n)))
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
	/* Epoch of the rack as this node has read the claims. */
	static uint8_t newest_rack(const State &s, uint8_t n, uint8_t rack)
	{
		uint8_t epoch = 0;

		for (uint8_t i = 0; i < s.nodes[n].claims_read; i++)
			if (s.claims[i] >> 4 == rack)
				epoch = (uint8_t)(i + 1);
		return epoch;
	}
	/* PLACE is handled by an owner, which sends the start. */
	bool place_steps(const State &s, uint8_t n)
	{
		for (uint8_t i = 0; i < NODES * f.racks; i++) {
			uint8_t o = i % NODES, r = i / NODES;
			const auto &rack = s.nodes[o].racks[r];
			State t = s;

			if (!rack.epoch || s.n_starts == MAX_STARTS ||
			    (f.adopt_first && !rack.adopted) || rack.has)
				continue;
			if (f.home_fence && s.nodes[n].home_epoch < rack.fence)
				continue;
			t.nodes[n].asked = true;
			t.nodes[o].racks[r].has = true;
			t.starts[t.n_starts++] = { r, rack.epoch };
			if (go(t, name("start sent", o)))
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
			/* the worker starts anew and its owner learns of it */
			t.running[r] = false;
			for (auto &n : t.nodes)
				n.racks[r].has = false;
			if (go(t, "run lost"))
				return true;
		}
		for (uint8_t i = 0; i < s.n_starts; i++) {
			uint8_t r = s.starts[i].rack;
			State t = s;

			t.starts[i] = t.starts[--t.n_starts];
			t.starts[t.n_starts] = {};
			if (go(t, "start lost"))
				return true;
			if (f.worker_epoch &&
			    s.starts[i].rack_epoch < s.worker_epoch[r])
				continue;
			if (s.starts[i].rack_epoch > t.worker_epoch[r])
				t.worker_epoch[r] = s.starts[i].rack_epoch;
			t.bad = s.running[0] || s.running[1] ||
				(f.once && s.begun);
			t.running[r] = true;
			t.begun = 1;
			if (go(t, "start begun"))
				return true;
		}
		return false;
	}
};

struct Case {
	const char *name;
	bool Fences::*off; /* NULL: all on */
	bool once;
	uint8_t racks; /* with two, only the home changes hands */
	bool violated;
};

} // namespace

TEST(Model, NoInterleavingBreaksThePromisesAndEachFenceIsNeeded)
{
	Case cases[] = {
		{ "all, one rack, not idempotent", NULL, true, 1, false },
		{ "all, one rack, idempotent", NULL, false, 1, false },
		{ "all, two racks, not idempotent", NULL, true, 2, false },
		{ "all, two racks, idempotent", NULL, false, 2, false },
		{ "worker_epoch", &Fences::worker_epoch, false, 1, true },
		{ "adopt_first", &Fences::adopt_first, false, 1, true },
		{ "seal", &Fences::seal, false, 2, true },
		{ "home_fence", &Fences::home_fence, false, 2, true },
		{ "open", &Fences::open, true, 1, true },
		{ "attempt", &Fences::attempt, true, 1, true },
	};

	for (auto &c : cases) {
		Fences f;

		f.once = c.once;
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
