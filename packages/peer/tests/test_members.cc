#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "vh/frame.h"
#include "members.h"
}

namespace
{
const int64_t suspect_ms = 1000, dead_ms = 3000;

struct MemberTable {
	struct vh_members t;

	explicit MemberTable(const std::string &id, uint64_t incarnation)
	{
		struct vh_node self = {};

		self.id = vh_slice(id.data(), id.size());
		self.incarnation = incarnation;
		self.address = vh_slice_str("127.0.0.1");
		self.port = 1;
		self.region = vh_slice_str("r");
		self.zone = vh_slice_str("z");
		vh_members_init(&t, &self, suspect_ms, dead_ms,
				(uint32_t)incarnation);
	}

	~MemberTable()
	{
		vh_members_finish(&t);
	}

	size_t find(const char *id)
	{
		return vh_members_find(&t, vh_slice_str(id));
	}

	enum vh_node_state state(const char *id)
	{
		return t.nodes[find(id)].state;
	}
};

/* Merges into @to the updates that @from would send it; returns the
 * number of bytes. */
size_t gossip_to(MemberTable &from, MemberTable &to, size_t budget, int64_t now)
{
	size_t i = vh_members_find(&from.t, to.t.nodes[0].id);
	msgpack_sbuffer buf;
	msgpack_packer pk;
	msgpack_unpacked u;
	size_t off = 0, size;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	vh_members_pack_updates(&from.t, i, budget, &pk);
	size = buf.size;
	msgpack_unpacked_init(&u);
	EXPECT_EQ(msgpack_unpack_next(&u, buf.data, buf.size, &off),
		  MSGPACK_UNPACK_SUCCESS);
	for (uint32_t k = 0; k < u.data.via.array.size; k++) {
		struct vh_member_update update;

		EXPECT_TRUE(vh_member_update_unpack(&u.data.via.array.ptr[k],
						    &update));
		vh_members_merge(&to.t, &update, now);
	}
	msgpack_unpacked_destroy(&u);
	msgpack_sbuffer_destroy(&buf);
	return size;
}
} // namespace

TEST(Members, UnansweredProbeLeadsToSuspectThenDeadThenRemoval)
{
	MemberTable a("a", 1), b("b", 2);

	gossip_to(b, a, 1000, 0);
	ASSERT_EQ(a.state("b"), VH_NODE_ALIVE);
	vh_members_mark_suspect(&a.t, a.find("b"), 100);
	EXPECT_EQ(a.state("b"), VH_NODE_SUSPECT);
	vh_members_tick(&a.t, 100 + dead_ms - suspect_ms - 1);
	EXPECT_EQ(a.state("b"), VH_NODE_SUSPECT);
	vh_members_tick(&a.t, 100 + dead_ms - suspect_ms);
	EXPECT_EQ(a.state("b"), VH_NODE_DEAD);
	vh_members_tick(&a.t, 100 + 20 * dead_ms);
	EXPECT_EQ(a.find("b"), a.t.n);
}

TEST(Members, NodeRefutesItsOwnDeath)
{
	MemberTable a("a", 1), b("b", 2), c("c", 3);

	gossip_to(b, a, 1000, 0);
	gossip_to(a, c, 1000, 0);
	vh_members_mark_suspect(&a.t, a.find("b"), 1);
	vh_members_tick(&a.t, dead_ms);
	gossip_to(a, c, 1000, dead_ms);
	EXPECT_EQ(c.state("b"), VH_NODE_DEAD);
	gossip_to(b, a, 1000, dead_ms);
	EXPECT_EQ(a.state("b"), VH_NODE_DEAD)
		<< "an update with the old state version must not override";
	gossip_to(a, b, 1000, dead_ms);
	gossip_to(b, a, 1000, dead_ms);
	EXPECT_EQ(a.state("b"), VH_NODE_ALIVE);
	gossip_to(a, c, 1000, dead_ms);
	EXPECT_EQ(c.state("b"), VH_NODE_ALIVE);
	MemberTable third("d", 4);
	gossip_to(c, third, 1000, dead_ms);
	gossip_to(third, a, 1000, dead_ms);
	EXPECT_EQ(a.state("b"), VH_NODE_ALIVE);
}

TEST(Members, LocalPauseDoesNotMarkOthersDead)
{
	MemberTable a("a", 1), b("b", 2);

	gossip_to(b, a, 1000, 0);
	vh_members_mark_suspect(&a.t, a.find("b"), 1);
	vh_members_compensate_pause(&a.t, 40000);
	vh_members_tick(&a.t, 40000);
	EXPECT_EQ(a.state("b"), VH_NODE_SUSPECT);
}

TEST(Members, RestartedNodeReplacesOldIncarnation)
{
	for (uint64_t incarnation : { UINT64_C(1), UINT64_C(9) }) {
		MemberTable a("a", 1), old("b", 5), fresh("b", incarnation);

		gossip_to(old, a, 1000, 0);
		gossip_to(fresh, a, 1000, 0);
		gossip_to(a, fresh, 1000, 0);
		gossip_to(fresh, a, 1000, 0);
		EXPECT_EQ(a.t.nodes[a.find("b")].incarnation, incarnation);
	}
}

TEST(Members, OldUpdateDoesNotOverrideLeaving)
{
	MemberTable a("a", 1), b("b", 2), c("c", 3);

	gossip_to(b, a, 1000, 0);
	gossip_to(b, c, 1000, 0);
	vh_members_leave(&b.t, 0);
	gossip_to(b, a, 1000, 0);
	gossip_to(c, a, 1000, 0);
	EXPECT_EQ(a.state("b"), VH_NODE_LEAVING);
}

TEST(Members, UpdatesReachAllNodesWithinTheByteBudget)
{
	const size_t n = 60, budget = 700;
	std::vector<std::unique_ptr<MemberTable>> all;
	std::string summary(100, 's');
	GRand *rng = g_rand_new_with_seed(3);
	int rounds = 0, known_summaries = 0;

	for (size_t i = 0; i < n; i++) {
		all.push_back(std::make_unique<MemberTable>(
			"n" + std::to_string(i), i + 1));
		vh_members_set_summary(&all[i]->t,
				       vh_slice(summary.data(), 100));
		gossip_to(*all[i], *all[0], budget, 0);
	}
	while (known_summaries < (int)(n * n) && rounds++ < 200) {
		known_summaries = 0;
		for (size_t i = 0; i < n; i++) {
			auto &to = *all[(size_t)g_rand_int_range(rng, 0,
								 (gint32)n)];

			EXPECT_LE(gossip_to(*all[i], to, budget, 0),
				  budget + 5);
			gossip_to(to, *all[i], budget, 0);
		}
		for (auto &t : all) {
			for (size_t i = 0; i < t->t.n; i++)
				known_summaries +=
					t->t.nodes[i].summary.len == 100;
		}
	}
	EXPECT_EQ(known_summaries, (int)(n * n)) << "after rounds: " << rounds;
	EXPECT_LT(rounds, 100);
	g_rand_free(rng);
}

TEST(Frame, RejectsTruncatedAndMalformedFrames)
{
	const struct {
		std::string bytes;
		bool ok;
	} cases[] = {
		{ std::string("\x93\x04\x01\x90", 4), true },
		{ std::string("\x93\x04\x01", 3), false },
		{ std::string("\x93\x04\x01\x90\x00", 5), false },
		{ "", false },
		{ std::string("\xdd\xff\xff\xff\xff", 5), false },
		{ std::string("\x92\x04\xc6\xff\xff\xff\xff", 7), false },
		{ std::string("\xdf\x7f\xff\xff\xff", 5), false },
		{ std::string("\x81\x01\x02", 3), false },
		{ std::string("\xc1", 1), false },
		{ std::string("\x91\xa1x", 3), false },
		{ std::string(1000, '\x91'), false },
	};

	for (auto &test_case : cases) {
		struct vh_frame f;
		bool ok =
			vh_frame_decode(&f, vh_slice(test_case.bytes.data(),
						     test_case.bytes.size())) ==
			VH_OK;

		EXPECT_EQ(ok, test_case.ok) << test_case.bytes.size();
		if (ok)
			vh_frame_finish(&f);
	}
}
