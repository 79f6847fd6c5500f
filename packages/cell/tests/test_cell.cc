// Runs jobs on several nodes with a simulated store, workers and policy
// service, while owners die, lose the connection to the store or leave.

#include <gtest/gtest.h>

#include "fake_cluster.h"

extern "C" {
#include "keys.h"
#include "owner_priv.h"
}

using fake::Cluster;
using fake::Node;
using fake::Topic;

namespace
{

constexpr int WORKERS = 3;

struct Cell : testing::Test {
	Cluster cluster;
	std::vector<std::unique_ptr<Node>> nodes;
	uint16_t n_added = 0;
	std::vector<bufferevent *> cut_connections;
	evutil_socket_t silent_listener = -1;

	static void SetUpTestSuite()
	{
		static bool done; // the log can be set up only once

		if (!done)
			vh_log_init("test", G_LOG_LEVEL_CRITICAL);
		done = true;
	}

	void SetUp() override
	{
		cluster.topics[VH_TOPIC_OBJECTS].records.emplace_back("config",
								      "1");
		for (int i = 0; i < WORKERS; i++)
			cluster.topics[VH_TOPIC_FLEET].records.emplace_back(
				worker_id(i), "z" + std::to_string(i));
		for (int i = 0; i < 3; i++)
			add_node();
		ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
		ASSERT_TRUE(
			cluster.run_until([this] { return all_connected(); }));
	}

	void TearDown() override
	{
		while (!nodes.empty())
			nodes.pop_back();
		cluster.run_until(
			[this] { return !cluster.pending_callbacks; });
		for (bufferevent *bev : cut_connections)
			bufferevent_free(bev);
		if (silent_listener >= 0)
			evutil_closesocket(silent_listener);
		for (auto &v : cluster.violations)
			ADD_FAILURE() << v;
	}

	// Each worker is in a zone of its own.
	static std::string worker_id(int i)
	{
		return "10.0.0." + std::to_string(i + 1) + ":1";
	}

	void write_objects(const std::string &key, const std::string &value)
	{
		cluster.topics[VH_TOPIC_OBJECTS].records.emplace_back(key,
								      value);
	}

	void add_node()
	{
		std::string name = "n" + std::to_string(++n_added);

		nodes.push_back(std::make_unique<Node>(cluster, name,
						       fake::free_port()));
		ASSERT_TRUE(nodes.back()->started);
	}

	Node *owner()
	{
		for (auto &n : nodes)
			if (n->is_owner())
				return n.get();
		return nullptr;
	}

	Node &non_owner()
	{
		for (auto &n : nodes)
			if (!n->is_owner())
				return *n;
		return *nodes[0];
	}

	// Whether every other node is connected to the owner.
	bool all_connected()
	{
		for (auto &n : nodes)
			if (!n->is_owner() &&
			    !owner_client_usable(&n->cell->owner_client))
				return false;
		return owner();
	}

	void kill_node(Node *n)
	{
		for (auto i = nodes.begin(); i != nodes.end(); i++) {
			if (i->get() == n) {
				nodes.erase(i);
				return;
			}
		}
	}

	// Returns an address where connections are established, but not served.
	std::string silent_address()
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (silent_listener < 0) {
			silent_listener = socket(AF_INET, SOCK_STREAM, 0);
			bind(silent_listener, (struct sockaddr *)&at,
			     sizeof(at));
			listen(silent_listener, 64);
		}
		getsockname(silent_listener, (struct sockaddr *)&at, &len);
		return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
	}

	// Cuts a node off from the owner; neither sees the connection close.
	void cut_off_from_owner(Node &n)
	{
		owner_client *c = &n.cell->owner_client;

		if (c->bev) {
			bufferevent_disable(c->bev, EV_READ | EV_WRITE);
			bufferevent_setcb(c->bev, nullptr, nullptr, nullptr,
					  nullptr);
			cut_connections.push_back(c->bev);
		}
		c->bev = nullptr;
		c->ready = false;
		g_free(c->address);
		c->address = g_strdup(silent_address().c_str());
	}

	// Submits jobs to a node and expects all of them to be accepted.
	void submit_jobs(Node &n, uint64_t from, uint64_t to)
	{
		for (uint64_t id = from; id <= to; id++)
			n.submit(id, 2);
		ASSERT_TRUE(cluster.run_until([&] {
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
			EXPECT_TRUE(n.wait_complete(id)) << id;
	}
};

TEST_F(Cell, JobSubmittedToAnyNodeRunsOnce)
{
	submit_jobs(non_owner(), 1, 5);
	submit_jobs(*owner(), 6, 10);
	expect_complete(non_owner(), 1, 10);
	for (auto &s : cluster.starts)
		EXPECT_EQ(s.second, 1) << s.first;
	EXPECT_EQ(cluster.starts.size(), 20u);
	std::string metrics = cluster.metrics();
	for (auto line :
	     { "vh_job_wait_seconds_count{team=\"\",queue=\"q\"} 10",
	       "vh_job_complete_seconds_count{team=\"\",queue=\"q\"}"
	       " 10",
	       "vh_store_append_seconds_count{topic=\"state\"}" })
		EXPECT_NE(metrics.find(line), std::string::npos) << metrics;
}

TEST_F(Cell, AnotherNodeTakesOverFromADeadOwner)
{
	cluster.run_ms = 600;
	submit_jobs(non_owner(), 1, 8);
	kill_node(owner());
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	expect_complete(*owner(), 1, 8);
	submit_jobs(non_owner(), 9, 12);
	expect_complete(non_owner(), 9, 12);
}

// Accepted jobs are completed by new nodes after all nodes that accepted them
// have died.
TEST_F(Cell, AcceptedJobsSurviveTheLossOfAllNodes)
{
	cluster.run_ms = 400;
	submit_jobs(non_owner(), 1, 8);
	while (!nodes.empty())
		nodes.pop_back();
	for (int i = 0; i < 2; i++)
		add_node();
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	expect_complete(*owner(), 1, 8);
}

TEST_F(Cell, OwnerRefusedByTheStoreHandsOver)
{
	Node *first = owner();

	submit_jobs(non_owner(), 1, 3);
	first->node_ports.store_access = Cluster::REFUSING;
	ASSERT_TRUE(
		cluster.run_until([&] { return owner() && owner() != first; }));
	submit_jobs(*owner(), 4, 6);
	expect_complete(*owner(), 1, 6);
	first->node_ports.store_access = Cluster::REACHABLE;
	ASSERT_TRUE(cluster.run_until([this] { return all_connected(); }));
}

// Until the owner has handed over, the other nodes store jobs themselves.
TEST_F(Cell, NodeStoresWhatTheOwnerCannot)
{
	Node &n = non_owner();

	owner()->node_ports.store_access = Cluster::REFUSING;
	submit_jobs(n, 1, 4);
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	expect_complete(n, 1, 4);
}

TEST_F(Cell, OwnerWithoutAnswersFromTheStoreHandsOver)
{
	Node *first = owner();

	first->node_ports.store_access = Cluster::UNRESPONSIVE;
	ASSERT_TRUE(
		cluster.run_until([&] { return owner() && owner() != first; }));
	submit_jobs(*owner(), 1, 3);
	expect_complete(*owner(), 1, 3);
}

// While the store is down for all nodes, running jobs continue under the same
// owner, and a job that is refused never runs.
TEST_F(Cell, OwnerStaysWhileTheStoreIsDownForAll)
{
	Node *first = owner();

	submit_jobs(non_owner(), 1, 3);
	for (auto &n : nodes)
		n->node_ports.store_access = Cluster::REFUSING;
	cluster.run_for(1500);
	EXPECT_EQ(owner(), first);
	non_owner().submit(4, 2);
	ASSERT_TRUE(cluster.run_until(
		[this] { return non_owner().outcomes.count(4); }));
	EXPECT_EQ(non_owner().outcomes[4], VH_ERR_STORE_SILENT);
	for (auto &n : nodes)
		n->node_ports.store_access = Cluster::REACHABLE;
	submit_jobs(non_owner(), 5, 6);
	expect_complete(non_owner(), 1, 3);
	expect_complete(non_owner(), 5, 6);
	EXPECT_FALSE(cluster.starts.count("4.0.0"));
}

// One task runs until its lease lapses. The store turns the owner and another
// node away and serves the third one, which is cut off from these two and from
// the worker of the task.
struct CellCutInTwo : Cell {
	Node *former = nullptr, *companion = nullptr, *successor = nullptr;

	void SetUp() override
	{
		Cell::SetUp();
		cluster.run_ms = 60000;
		former = owner();
		for (auto &n : nodes) {
			if (n.get() == former)
				continue;
			companion = successor;
			successor = n.get();
		}
		successor->submit(1, 1);
		ASSERT_TRUE(cluster.run_until([this] { return runs() == 1; }));
	}

	void TearDown() override
	{
		for (auto &w : cluster.workers)
			w.second.running.clear();
		Cell::TearDown();
	}

	size_t runs()
	{
		size_t n = 0;

		for (auto &w : cluster.workers)
			n += w.second.running.size();
		return n;
	}

	// Makes the owner take its connections for older than they are.
	void be_steady()
	{
		for (peer_conn *c = former->cell->peer_server.conns; c;
		     c = c->next)
			c->steady_since_ms -= 60000;
	}

	void cut_off_from_the_task()
	{
		for (auto &w : cluster.workers)
			if (!w.second.running.empty())
				successor->node_ports.cut_workers.insert(
					w.first);
	}

	void cut()
	{
		cut_off_from_the_task();
		former->node_ports.store_access = Cluster::REFUSING;
		companion->node_ports.store_access = Cluster::REFUSING;
		cut_off_from_owner(*successor);
	}
};

// A former owner that still hears a node renewed the lease of a task that its
// successor started on another worker: two runs of one task.
TEST_F(CellCutInTwo, TaskOfTheFormerOwnerEndsBeforeItsSuccessorStartsIt)
{
	cut();
	ASSERT_TRUE(
		cluster.run_until([this] { return successor->is_owner(); }));
	ASSERT_TRUE(cluster.run_until(
		[this] { return cluster.starts["1.0.0"] == 2; }));
	EXPECT_FALSE(former->cell->owner);
	EXPECT_NE(cluster.metrics().find(
			  "vh_owner_confirmation_events_total{why=\"a known "
			  "node does not answer\"} 1"),
		  std::string::npos)
		<< cluster.metrics();
}

// An owner that took each closed connection for a node that may have claimed the
// cell gave up while the store was down for all.
TEST_F(CellCutInTwo, OwnerStaysWhenANodeIsKilledDuringAnOutage)
{
	for (auto &n : nodes)
		n->node_ports.store_access = Cluster::REFUSING;
	be_steady();
	cluster.run_for(300);
	kill_node(successor);
	cluster.run_for(4500);
	EXPECT_TRUE(former->is_owner());
	EXPECT_EQ(former->cell->election.reason, ELECTION_NODES_ANSWER);
}

// The store may still carry out a claim that the node sent before it was killed.
TEST_F(CellCutInTwo, OwnerStepsDownIfAKilledNodeWasNotSteady)
{
	for (auto &n : nodes)
		n->node_ports.store_access = Cluster::REFUSING;
	cluster.run_for(300);
	kill_node(successor);
	EXPECT_TRUE(cluster.run_until([this] { return !former->cell->owner; },
				      4500));
	EXPECT_EQ(former->cell->election.reason, ELECTION_NODE_SILENT);
}

// A node that no longer hears the owner closes the connection and may claim the
// cell. If the cut is in one direction, the owner sees that; it must not take the
// node for ended.
TEST_F(CellCutInTwo, OwnerStepsDownIfANodeThatDoesNotHearItDisconnects)
{
	owner_client *c = &successor->cell->owner_client;

	be_steady();
	cut_off_from_the_task();
	bufferevent_setcb(c->bev, nullptr, nullptr, nullptr, nullptr);
	g_free(c->address);
	c->address = g_strdup(silent_address().c_str());
	former->node_ports.store_access = Cluster::REFUSING;
	companion->node_ports.store_access = Cluster::REFUSING;
	ASSERT_TRUE(
		cluster.run_until([this] { return successor->is_owner(); }));
	EXPECT_TRUE(cluster.run_until([this] { return !former->cell->owner; },
				      election_former_owner_ms()));
	EXPECT_EQ(former->cell->election.reason, ELECTION_NODE_SILENT);
}

// The owner does not miss a node that it does not know.
TEST_F(CellCutInTwo, ANodeThatTheOwnerDoesNotKnowWaitsLonger)
{
	Node *unknown;

	evconnlistener_disable(former->cell->peer_server.listener);
	add_node();
	unknown = nodes.back().get();
	ASSERT_TRUE(cluster.run_until(
		[&] { return unknown->cell->election.caught_up; }));
	for (auto &n : nodes)
		if (n.get() != unknown)
			n->node_ports.store_access = Cluster::REFUSING;
	ASSERT_TRUE(cluster.run_until([&] { return unknown->is_owner(); }));
	EXPECT_EQ(unknown->cell->claimed_former_owners_ms,
		  election_unknown_owner_ms());
	EXPECT_TRUE(former->is_owner());
}

// Tasks on a worker that was gone waited for over a minute, though the former
// owner's process had ended and another one of its node was connected.
TEST_F(CellCutInTwo, TasksWaitNoLongerOnceTheFormerOwnersProcessHasEnded)
{
	std::string name = former->cell->name;
	Node *unknown;

	evconnlistener_disable(former->cell->peer_server.listener);
	add_node();
	unknown = nodes.back().get();
	for (auto &w : cluster.workers)
		if (!w.second.running.empty())
			unknown->node_ports.cut_workers.insert(w.first);
	ASSERT_TRUE(cluster.run_until(
		[&] { return unknown->cell->election.caught_up; }));
	for (auto &n : nodes)
		if (n.get() != unknown)
			n->node_ports.store_access = Cluster::REFUSING;
	ASSERT_TRUE(cluster.run_until([&] { return unknown->is_owner(); }));
	ASSERT_EQ(unknown->cell->claimed_former_owners_ms,
		  election_unknown_owner_ms());
	kill_node(former);
	nodes.push_back(
		std::make_unique<Node>(cluster, name, fake::free_port()));
	EXPECT_TRUE(cluster.run_until(
		[this] { return cluster.starts["1.0.0"] == 2; }, 20000));
	EXPECT_LT(unknown->cell->election.former_owners_end_ms -
			  vh_kernel_now_ms(unknown->cell->kernel),
		  election_former_owner_ms());
}

// Nodes that have heard the owner lately do not wait longer.
TEST_F(CellCutInTwo, ANodeThatTheOwnerKnowsWaitsForItsBoundOnly)
{
	cut();
	ASSERT_TRUE(
		cluster.run_until([this] { return successor->is_owner(); }));
	EXPECT_EQ(successor->cell->claimed_former_owners_ms,
		  election_former_owner_ms());
}

TEST_F(Cell, LeavingNodeReleasesTheOwnership)
{
	Node *first = owner();

	submit_jobs(non_owner(), 1, 4);
	vh_cell_leave(first->cell);
	EXPECT_FALSE(vh_cell_ready(first->cell));
	ASSERT_TRUE(
		cluster.run_until([&] { return owner() && owner() != first; }));
	expect_complete(*owner(), 1, 4);
	submit_jobs(*first, 5, 6);
	expect_complete(*first, 5, 6);
}

// A node whose API keys may be outdated refuses requests.
TEST_F(Cell, NodeCutOffFromTheStoreStopsServing)
{
	Node &n = non_owner();

	n.node_ports.store_access = Cluster::UNRESPONSIVE;
	EXPECT_TRUE(cluster.run_until([&] { return !vh_cell_ready(n.cell); }));
	EXPECT_TRUE(cluster.run_until([&] {
		n.outcomes.clear();
		n.submit(1, 1);
		return n.outcomes.count(1) && n.outcomes[1] == VH_ERR_NOT_READY;
	}));
}

// From the record of a drain to its tombstone, no task starts in the zone. A
// value that cannot be parsed counts, a key without a zone does not.
TEST_F(Cell, NothingStartsInADrainedZone)
{
	write_objects("evacuate/z0", "{");
	write_objects("evacuate/", "{}");
	cluster.run_for(300);
	cluster.starts_by_worker.clear();
	submit_jobs(non_owner(), 1, 10);
	expect_complete(non_owner(), 1, 10);
	EXPECT_EQ(cluster.starts_by_worker[worker_id(0)], 0);
	EXPECT_NE(cluster.metrics().find("vh_zone_drained_seconds{zone=\"z0"),
		  std::string::npos);
	write_objects("evacuate/z0", "");
	write_objects("evacuate/z1", "{}");
	write_objects("evacuate/z2", "{}");
	cluster.run_for(300);
	cluster.starts_by_worker.clear();
	submit_jobs(non_owner(), 11, 13);
	expect_complete(non_owner(), 11, 13);
	EXPECT_EQ(cluster.starts_by_worker.size(), 1u);
	EXPECT_GT(cluster.starts_by_worker[worker_id(0)], 0);
}

// A record of another writer whose key begins with the id of a worker and a NUL
// byte removed that worker from the list.
TEST_F(Cell, ARecordWithANulByteInItsKeyRemovesNoWorker)
{
	for (int i = 0; i < WORKERS; i++)
		cluster.topics[VH_TOPIC_FLEET].records.emplace_back(
			worker_id(i) + std::string("\0x", 2), "");
	cluster.run_for(600);
	submit_jobs(non_owner(), 1, 1);
	expect_complete(non_owner(), 1, 1);
}

// A record whose key cannot be sent in a header named a worker.
TEST_F(Cell, ARecordWhoseKeyIsNoIdNamesNoWorker)
{
	for (const std::string &key :
	     { std::string(), std::string("i\r\nX: y"), std::string("\xff"),
	       std::string(ENG_NAME_MAX + 1, 'x'), worker_id(0) + '\x7f' })
		cluster.topics[VH_TOPIC_FLEET].records.emplace_back(key, "z0");
	cluster.run_for(600);
	submit_jobs(non_owner(), 1, 10);
	expect_complete(non_owner(), 1, 10);
	EXPECT_EQ(cluster.workers.size(), (size_t)WORKERS);
}

// A writer that repeats an odd entry, or writes many, must not fill the log.
TEST_F(Cell, AnOddEntryIsCountedAndLoggedOnce)
{
	Topic &fleet = cluster.topics[VH_TOPIC_FLEET];

	for (int i = 0; i < 5; i++)
		fleet.records.emplace_back("odd", "{");
	fleet.records.emplace_back("odd", "");
	fleet.records.emplace_back("odd\n", "z0");
	cluster.run_for(1500);
	GHashTable *logged = owner()->cell->owner->ignored_entries;

	EXPECT_EQ(g_hash_table_size(logged), 2u);
	for (auto line :
	     { "vh_worker_entries_ignored_total{reason=\"malformed\"} 5",
	       "vh_worker_entries_ignored_total{reason=\"key is no id\"} 1" })
		EXPECT_NE(cluster.metrics().find(line), std::string::npos)
			<< cluster.metrics();
	for (int i = 0; i < 1000; i++)
		fleet.records.emplace_back("odd" + std::to_string(i), "{");
	cluster.run_for(1500);
	EXPECT_EQ(g_hash_table_size(logged), (guint)OWNER_IGNORED_ENTRIES_MAX);
	EXPECT_NE(cluster.metrics().find("reason=\"malformed\"} 1005"),
		  std::string::npos);
}

// An entry that becomes odd ends the use of the worker. Its tasks are not given
// up, since the worker still holds them.
TEST_F(Cell, TasksOfAWorkerWhoseEntryBecomesOddGoOn)
{
	Topic &fleet = cluster.topics[VH_TOPIC_FLEET];

	cluster.run_ms = 3000;
	submit_jobs(non_owner(), 1, 10);
	ASSERT_TRUE(cluster.run_until(
		[this] { return cluster.starts.size() == 20; }));
	for (int i = 0; i < WORKERS; i++)
		fleet.records.emplace_back(worker_id(i), "{");
	cluster.run_for(1000);
	cluster.starts_by_worker.clear();
	fleet.records.emplace_back(worker_id(1), "z1");
	cluster.run_for(1000);
	submit_jobs(non_owner(), 11, 20);
	expect_complete(non_owner(), 1, 20);
	for (auto &s : cluster.starts)
		EXPECT_EQ(s.second, 1) << s.first;
	EXPECT_EQ(cluster.starts_by_worker[worker_id(0)], 0);
	EXPECT_GT(cluster.starts_by_worker[worker_id(1)], 0);
	EXPECT_EQ(cluster.starts_by_worker[worker_id(2)], 0);
}

// The record of a drain whose key names a zone and then a NUL byte drained it.
TEST_F(Cell, ARecordWithANulByteInItsKeyDrainsNoZone)
{
	for (int i = 0; i < WORKERS; i++)
		write_objects("evacuate/z" + std::to_string(i) +
				      std::string("\0x", 2),
			      "{}");
	cluster.run_for(300);
	submit_jobs(non_owner(), 1, 1);
	expect_complete(non_owner(), 1, 1);
}

// The past use of teams is reported and stored by nodes whose settings have a
// half-life, and not by others.
TEST_F(Cell, ReportsAndStoresThePastUseOfTeams)
{
	auto stored = [this] {
		for (auto &r : cluster.topics[VH_TOPIC_STATE].records)
			if (r.first == "lu") /* the team without a name */
				return true;
		return false;
	};
	std::string metric = "vh_team_past_use_seconds{team=\"\"}";

	submit_jobs(non_owner(), 1, 5);
	expect_complete(non_owner(), 1, 5);
	cluster.run_for(1100);
	EXPECT_EQ(cluster.metrics().find(metric), std::string::npos);
	while (!nodes.empty())
		nodes.pop_back();
	cluster.past_use_half_life_ms = 1000;
	for (int i = 0; i < 2; i++)
		add_node();
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	submit_jobs(*owner(), 6, 20);
	EXPECT_FALSE(stored());
	ASSERT_TRUE(cluster.run_until(stored));
	EXPECT_NE(cluster.metrics().find(metric), std::string::npos);
	expect_complete(*owner(), 6, 20);
}

// The history with the tombstone is discarded before the nodes have read it.
TEST_F(Cell, ADrainThatIsGoneFromTheTopicEnds)
{
	Topic &t = cluster.topics[VH_TOPIC_OBJECTS];

	write_objects("evacuate/z0", "{}");
	write_objects("evacuate/z1", "{}");
	write_objects("evacuate/z2", "{}");
	cluster.run_for(300);
	submit_jobs(non_owner(), 1, 2);
	cluster.run_for(500);
	EXPECT_TRUE(cluster.starts.empty());
	t.records.resize(1);
	for (int i = 0; i < 20; i++)
		write_objects("other", "1");
	cluster.objects_retained_from = t.records.size();
	cluster.run_for(1500);
	cluster.objects_retained_from = 0;
	expect_complete(non_owner(), 1, 2);
}

// New nodes may read the other topics first. A new owner must not place anything
// before it knows the drains.
TEST_F(Cell, ANewOwnerWaitsForTheDrainedZones)
{
	for (auto zone : { "evacuate/z0", "evacuate/z1", "evacuate/z2" })
		write_objects(zone, "{}");
	cluster.run_for(300);
	submit_jobs(non_owner(), 1, 6);
	while (!nodes.empty())
		nodes.pop_back();
	write_objects("evacuate/z1", "");
	write_objects("evacuate/z2", "");
	cluster.objects_from_ms = cluster.now() + 6000;
	cluster.starts_by_worker.clear();
	add_node();
	cluster.run_for(5500);
	EXPECT_EQ(owner(), nullptr);
	EXPECT_TRUE(cluster.starts_by_worker.empty());
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	expect_complete(*owner(), 1, 6);
	EXPECT_EQ(cluster.starts.size(), 12u);
	EXPECT_EQ(cluster.starts_by_worker[worker_id(0)], 0);
}

// While the owner is cut off, a drain begins. Its node reads the topic later
// than the store takes its writes again.
TEST_F(Cell, AnOwnerThatWasCutOffReadsTheZonesFirst)
{
	for (auto &n : nodes)
		n->node_ports.store_access = Cluster::REFUSING;
	cluster.run_for(3500);
	write_objects("evacuate/z0", "{}");
	cluster.objects_from_ms = cluster.now() + 1500;
	for (auto &n : nodes)
		n->node_ports.store_access = Cluster::REACHABLE;
	cluster.starts_by_worker.clear();
	submit_jobs(*owner(), 1, 8);
	expect_complete(*owner(), 1, 8);
	EXPECT_EQ(cluster.starts_by_worker[worker_id(0)], 0);
}

// The cluster is full, and the job with id 1 waits for longer than other jobs
// can wait.
struct CellAdmission : Cell {
	CellAdmission()
	{
		cluster.admission = true;
		cluster.run_ms = 60000;
	}

	void SetUp() override
	{
		Cell::SetUp();
		cluster.run_for(ADMISSION_SUSPENDED_MS + 500);
		fill(*owner());
	}

	// Lets the workers end their runs, which would delay the nodes' end.
	void TearDown() override
	{
		for (auto &w : cluster.workers)
			w.second.running.clear();
		Cell::TearDown();
	}

	void fill(Node &n)
	{
		n.submit(1, 500, 5000);
		ASSERT_TRUE(
			cluster.run_until([&] { return n.outcomes.count(1); }));
		EXPECT_EQ(n.outcomes[1], VH_OK);
		ASSERT_TRUE(cluster.run_until([this] { return views(); }));
		close_floor(n);
	}

	// The minimum rates must not let a job in while a slow machine runs the
	// test.
	void close_floor(Node &n)
	{
		admission_job job = {};

		job.queue = vh_slice_str("q");
		admission_note_accepted(&n.cell->owner->admission.state, &job,
					cluster.now() + 60000);
	}

	bool views()
	{
		for (auto &n : nodes)
			if (!n->is_owner() &&
			    !n->cell->owner_client.load.queues->len)
				return false;
		return true;
	}

	enum vh_err submit(Node &n, uint64_t id)
	{
		n.outcomes.erase(id);
		n.submit(id, 1);
		cluster.run_until([&] { return n.outcomes.count(id); });
		return n.outcomes[id];
	}

	bool stored(uint64_t id)
	{
		char key[VH_KEY_BYTES];

		vh_key_format(key, VH_KEY_JOB, id);
		for (auto &r : cluster.topics[VH_TOPIC_JOBS].records)
			if (r.first == key)
				return true;
		return false;
	}

	// Stores a job as a node does that the owner has not heard of.
	void store_behind_the_owner(uint64_t id)
	{
		Topic &t = cluster.topics[VH_TOPIC_JOBS];
		eng_job_spec *spec =
			eng_job_unpack(fake::slice(t.records[0].second));
		char key[VH_KEY_BYTES];
		vh_buf bytes = {};

		ASSERT_TRUE(spec);
		spec->id = id;
		spec->steps[0].n_tasks = 1;
		spec->steps[0].estimate_ms = 200;
		eng_job_pack(spec, &bytes);
		vh_key_format(key, VH_KEY_JOB, id);
		t.records.emplace_back(key, std::string(bytes.data, bytes.len));
		vh_buf_finish(&bytes);
		eng_job_free(spec);
	}

	using Topic = fake::Topic;
};

TEST_F(CellAdmission, AJobThatCannotEndInTimeIsRefusedBeforeItIsStored)
{
	Node &n = non_owner();

	EXPECT_EQ(submit(n, 2), VH_ERR_RATE_LIMITED);
	EXPECT_GE(n.retry_after_s[2], 1);
	EXPECT_LE(n.retry_after_s[2], ADMISSION_RETRY_MAX_S);
	EXPECT_EQ(submit(*owner(), 3), VH_ERR_RATE_LIMITED);
	EXPECT_FALSE(stored(2));
	EXPECT_FALSE(stored(3));
	EXPECT_NE(cluster.metrics().find(
			  "vh_admission_refused_total{team=\"\",queue=\"q\"}"
			  " 2"),
		  std::string::npos);
}

// A refusal of a job that is stored would be a lie: the job will run.
TEST_F(CellAdmission, ARepeatedSubmissionOfAStoredJobIsNeverRefused)
{
	ASSERT_EQ(submit(non_owner(), 2), VH_ERR_RATE_LIMITED);
	for (auto &n : nodes)
		EXPECT_EQ(submit(*n, 1), VH_OK);
	store_behind_the_owner(7);
	EXPECT_EQ(submit(non_owner(), 7), VH_OK);
}

// The owner has read the other node's job only after the refusal was due.
TEST_F(CellAdmission, ARefusalWaitsForTheStore)
{
	Node &n = non_owner();

	n.submit(2, 1);
	cluster.run_for(1);
	store_behind_the_owner(2);
	ASSERT_TRUE(cluster.run_until([&] { return n.outcomes.count(2); }));
	EXPECT_EQ(n.outcomes[2], VH_OK);
}

TEST_F(CellAdmission, ANewOwnerAcceptsUntilItsKnowledgeIsComplete)
{
	ASSERT_EQ(submit(non_owner(), 2), VH_ERR_RATE_LIMITED);
	kill_node(owner());
	EXPECT_EQ(submit(*nodes[0], 3), VH_OK);
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	close_floor(*owner());
	EXPECT_EQ(submit(*owner(), 4), VH_OK);
}

TEST_F(CellAdmission, TheOwnerAcceptsWhenANodeIsLost)
{
	Node *lost = &non_owner();

	ASSERT_EQ(submit(*owner(), 2), VH_ERR_RATE_LIMITED);
	kill_node(lost);
	cluster.run_for(50);
	EXPECT_EQ(submit(*owner(), 3), VH_OK);
}

TEST_F(CellAdmission, AStaleViewIsNotUsed)
{
	Node &n = non_owner();

	ASSERT_EQ(submit(n, 2), VH_ERR_RATE_LIMITED);
	n.cell->owner_client.load.at_ms -= ADMISSION_VIEW_MAX_AGE_MS;
	n.submit(3, 1);
	ASSERT_TRUE(cluster.run_until([&] { return n.outcomes.count(3); }));
	EXPECT_EQ(n.outcomes[3], VH_OK);
}

} // namespace
