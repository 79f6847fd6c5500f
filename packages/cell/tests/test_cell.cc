// A few nodes, a store, workers and a policy service: the way of a job, and
// what becomes of it when owners die, are turned away or leave.

#include <gtest/gtest.h>

#include "fake_cluster.h"

using town::Node;
using town::Town;

namespace
{

constexpr int WORKERS = 3;

struct Cell : testing::Test {
	Town town;
	std::vector<std::unique_ptr<Node>> nodes;
	uint16_t next_port = 0;

	static void SetUpTestSuite()
	{
		vh_log_init("test", G_LOG_LEVEL_CRITICAL);
	}

	void SetUp() override
	{
		town.topics[VH_TOPIC_OBJECTS].records.emplace_back("config",
								   "1");
		for (int i = 0; i < WORKERS; i++)
			town.topics[VH_TOPIC_FLEET].records.emplace_back(
				"10.0.0." + std::to_string(i + 1) + ":1", "1");
		for (int i = 0; i < 3; i++)
			add();
		ASSERT_TRUE(town.until([this] { return owner(); }));
		ASSERT_TRUE(town.until([this] { return settled(); }));
	}

	void TearDown() override
	{
		while (!nodes.empty())
			nodes.pop_back();
		town.until([this] { return !town.open; });
		for (auto &v : town.violations)
			ADD_FAILURE() << v;
	}

	// A port that nothing listens on at this moment.
	static uint16_t free_port()
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

	void add()
	{
		std::string name = "n" + std::to_string(++next_port);

		nodes.push_back(
			std::make_unique<Node>(town, name, free_port()));
		ASSERT_TRUE(nodes.back()->started);
	}

	Node *owner()
	{
		for (auto &n : nodes)
			if (n->owner())
				return n.get();
		return nullptr;
	}

	Node &other()
	{
		for (auto &n : nodes)
			if (!n->owner())
				return *n;
		return *nodes[0];
	}

	// Every other node is connected to the owner.
	bool settled()
	{
		for (auto &n : nodes)
			if (!n->owner() &&
			    !owner_client_usable(&n->cell->owner_client))
				return false;
		return owner();
	}

	void kill(Node *n)
	{
		for (auto i = nodes.begin(); i != nodes.end(); i++) {
			if (i->get() == n) {
				nodes.erase(i);
				return;
			}
		}
	}

	// Jobs are handed in at a node and accepted.
	void accept(Node &n, uint64_t from, uint64_t to)
	{
		for (uint64_t id = from; id <= to; id++)
			n.submit(id, 2);
		ASSERT_TRUE(town.until([&] {
			for (uint64_t id = from; id <= to; id++)
				if (!n.outcomes.count(id))
					return false;
			return true;
		}));
		for (uint64_t id = from; id <= to; id++)
			EXPECT_EQ(n.outcomes[id], VH_OK) << id;
	}

	void expect_complete(Node &n, uint64_t from, uint64_t to)
	{
		for (uint64_t id = from; id <= to; id++)
			EXPECT_TRUE(n.complete(id)) << id;
	}
};

TEST_F(Cell, AJobHandedInAtAnyNodeIsRunOnce)
{
	accept(other(), 1, 5);
	accept(*owner(), 6, 10);
	expect_complete(other(), 1, 10);
	for (auto &s : town.starts)
		EXPECT_EQ(s.second, 1) << s.first;
	EXPECT_EQ(town.starts.size(), 20u);
	std::string metrics = town.metrics();
	for (auto line :
	     { "vh_job_wait_seconds_count{team=\"\",queue=\"q\"} 10",
	       "vh_job_complete_seconds_count{team=\"\",queue=\"q\"}"
	       " 10",
	       "vh_store_append_seconds_count{topic=\"state\"}" })
		EXPECT_NE(metrics.find(line), std::string::npos) << metrics;
}

TEST_F(Cell, AnotherNodeGoesOnWhenTheOwnerDies)
{
	town.run_ms = 600;
	accept(other(), 1, 8);
	kill(owner());
	ASSERT_TRUE(town.until([this] { return owner(); }));
	expect_complete(*owner(), 1, 8);
	accept(other(), 9, 12);
	expect_complete(other(), 9, 12);
}

// Everything that was accepted is done although no node is left of those that
// accepted it.
TEST_F(Cell, NothingAcceptedIsLostWithAllNodes)
{
	town.run_ms = 400;
	accept(other(), 1, 8);
	while (!nodes.empty())
		nodes.pop_back();
	for (int i = 0; i < 2; i++)
		add();
	ASSERT_TRUE(town.until([this] { return owner(); }));
	expect_complete(*owner(), 1, 8);
}

TEST_F(Cell, AnOwnerThatTheStoreTurnsAwayHandsOver)
{
	Node *first = owner();

	accept(other(), 1, 3);
	first->gate.path = Town::REFUSES;
	ASSERT_TRUE(town.until([&] { return owner() && owner() != first; }));
	accept(*owner(), 4, 6);
	expect_complete(*owner(), 1, 6);
	first->gate.path = Town::WELL;
	ASSERT_TRUE(town.until([this] { return settled(); }));
}

// Until it has handed over, the others store what callers bring themselves.
TEST_F(Cell, ANodeStoresWhatTheOwnerCannot)
{
	Node &n = other();

	owner()->gate.path = Town::REFUSES;
	accept(n, 1, 4);
	ASSERT_TRUE(town.until([this] { return owner(); }));
	expect_complete(n, 1, 4);
}

TEST_F(Cell, AnOwnerThatTheStoreDoesNotAnswerHandsOver)
{
	Node *first = owner();

	first->gate.path = Town::SILENT;
	ASSERT_TRUE(town.until([&] { return owner() && owner() != first; }));
	accept(*owner(), 1, 3);
	expect_complete(*owner(), 1, 3);
}

// Down for all: what runs goes on under the same owner, and what cannot be
// stored is refused, truly.
TEST_F(Cell, TheOwnerStaysWhileTheStoreIsDownForAll)
{
	Node *first = owner();

	accept(other(), 1, 3);
	for (auto &n : nodes)
		n->gate.path = Town::REFUSES;
	town.turn(1500);
	EXPECT_EQ(owner(), first);
	other().submit(4, 2);
	ASSERT_TRUE(town.until([this] { return other().outcomes.count(4); }));
	EXPECT_EQ(other().outcomes[4], VH_ERR_STORE_SILENT);
	for (auto &n : nodes)
		n->gate.path = Town::WELL;
	accept(other(), 5, 6);
	expect_complete(other(), 1, 3);
	expect_complete(other(), 5, 6);
	EXPECT_FALSE(town.starts.count("4.0.0"));
}

TEST_F(Cell, ANodeThatLeavesGivesTheCellUp)
{
	Node *first = owner();

	accept(other(), 1, 4);
	vh_cell_leave(first->cell);
	EXPECT_FALSE(vh_cell_ready(first->cell));
	ASSERT_TRUE(town.until([&] { return owner() && owner() != first; }));
	expect_complete(*owner(), 1, 4);
	accept(*first, 5, 6);
	expect_complete(*first, 5, 6);
}

// A node whose view of the keys may be old refuses what needs one.
TEST_F(Cell, ANodeCutOffFromTheStoreStopsServing)
{
	Node &n = other();

	n.gate.path = Town::SILENT;
	EXPECT_TRUE(town.until([&] { return !vh_cell_ready(n.cell); }));
	EXPECT_TRUE(town.until([&] {
		n.outcomes.clear();
		n.submit(1, 1);
		return n.outcomes.count(1) && n.outcomes[1] == VH_ERR_NOT_READY;
	}));
}

} // namespace
