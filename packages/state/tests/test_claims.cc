#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "vh/claims.h"
}

static std::string str(struct vh_slice s)
{
	return std::string(s.data ? s.data : "", s.len);
}

static bool apply(struct vh_claims *c, uint64_t offset, uint32_t kind,
		  const char *unit, const char *node, uint64_t prev,
		  struct vh_claim *changed)
{
	struct vh_buf body;
	bool done;

	vh_buf_init(&body);
	vh_claim_pack(&body, vh_slice_str(unit), vh_slice_str(node), 9, prev);
	done = vh_claims_apply(c, offset, kind, vh_buf_slice(&body), changed);
	vh_buf_finish(&body);
	return done;
}

TEST(Claims, FirstInLogOrderWins)
{
	struct {
		uint64_t offset;
		uint32_t kind;
		const char *unit;
		const char *node;
		uint64_t prev;
		bool counts;
		const char *owner;
		uint64_t epoch;
	} rows[] = {
		{ 1, VH_REC_CLAIM, "rack/a", "n1", 0, true, "n1", 1 },
		{ 2, VH_REC_CLAIM, "rack/a", "n2", 0, false, "n1", 1 },
		{ 3, VH_REC_CLAIM, "rack/a", "n2", 1, true, "n2", 3 },
		{ 4, VH_REC_CLAIM, "rack/a", "n1", 1, false, "n2", 3 },
		{ 5, VH_REC_RELEASE, "rack/a", "n1", 3, false, "n2", 3 },
		{ 6, VH_REC_RELEASE, "rack/a", "n2", 1, false, "n2", 3 },
		{ 7, VH_REC_RELEASE, "rack/a", "n2", 3, true, "", 7 },
		{ 8, VH_REC_CLAIM, "rack/a", "n1", 3, false, "", 7 },
		{ 9, VH_REC_CLAIM, "rack/a", "n1", 7, true, "n1", 9 },
		{ 10, VH_REC_JOB, "rack/a", "n3", 9, false, "n1", 9 },
		{ 11, VH_REC_RELEASE, "rack/b", "n3", 0, false, NULL, 0 },
		{ 12, VH_REC_CLAIM, "rack/b", "n3", 5, false, NULL, 0 },
	};
	struct vh_claims *c = vh_claims_new();

	for (auto &r : rows) {
		struct vh_claim changed, now;

		EXPECT_EQ(apply(c, r.offset, r.kind, r.unit, r.node, r.prev,
				&changed),
			  r.counts)
			<< r.offset;
		if (r.counts) {
			EXPECT_EQ(str(changed.node), r.owner);
		}
		EXPECT_EQ(vh_claims_get(c, vh_slice_str(r.unit), &now),
			  r.owner != NULL);
		EXPECT_EQ(str(now.node), r.owner ? r.owner : "");
		EXPECT_EQ(now.epoch, r.epoch);
	}
	EXPECT_EQ(vh_claims_count(c), 1u);
	vh_claims_free(c);
}

TEST(Claims, MalformedBodiesChangeNothing)
{
	struct vh_claims *c = vh_claims_new();
	std::string long_node(VH_NODE_ID_MAX + 1, 'n');
	std::string long_unit(VH_UNIT_MAX + 1, 'u');
	struct vh_claim changed;

	EXPECT_FALSE(vh_claims_apply(c, 1, VH_REC_CLAIM, vh_slice_str("\xff"),
				     &changed));
	EXPECT_FALSE(apply(c, 1, VH_REC_CLAIM, "", "n1", 0, &changed));
	EXPECT_FALSE(apply(c, 1, VH_REC_CLAIM, "rack/a", "", 0, &changed));
	EXPECT_FALSE(apply(c, 1, VH_REC_CLAIM, "rack/a", long_node.c_str(), 0,
			   &changed));
	EXPECT_FALSE(apply(c, 1, VH_REC_CLAIM, long_unit.c_str(), "n1", 0,
			   &changed));
	EXPECT_EQ(vh_claims_count(c), 0u);
	vh_claims_free(c);
}

TEST(Rendezvous, SpreadsEvenlyAndMovesFewUnits)
{
	const size_t n_members = 7, n_units = 7000;
	std::vector<std::string> names;
	std::vector<struct vh_slice> members;
	std::vector<size_t> counts(n_members);
	size_t moved = 0;

	EXPECT_EQ(vh_rendezvous(vh_slice_str("rack/a"), NULL, 0), 0u);
	for (size_t i = 0; i < n_members; i++)
		names.push_back("node-" + std::to_string(i));
	for (auto &n : names)
		members.push_back(vh_slice(n.data(), n.size()));
	for (size_t i = 0; i < n_units; i++) {
		std::string unit = "rack/r" + std::to_string(i);
		struct vh_slice u = vh_slice(unit.data(), unit.size());
		size_t all = vh_rendezvous(u, members.data(), n_members);
		size_t fewer = vh_rendezvous(u, members.data(), n_members - 1);

		counts[all]++;
		if (all != n_members - 1)
			moved += all != fewer;
	}
	EXPECT_EQ(moved, 0u);
	for (size_t c : counts) {
		EXPECT_GT(c, n_units / n_members * 8 / 10);
		EXPECT_LT(c, n_units / n_members * 12 / 10);
	}
}

TEST(Rendezvous, OrderOfMembersDoesNotMatter)
{
	struct vh_slice a = vh_slice_str("a"), b = vh_slice_str("b");
	struct vh_slice one[] = { a, b }, two[] = { b, a };

	for (int i = 0; i < 100; i++) {
		std::string unit = std::to_string(i);
		struct vh_slice u = vh_slice(unit.data(), unit.size());

		EXPECT_NE(vh_rendezvous(u, one, 2), vh_rendezvous(u, two, 2));
	}
}
