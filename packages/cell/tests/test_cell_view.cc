// Several nodes, of which one owns the cell, while topics of the store have faults.
// From outside, it is checked that no task starts later than a bound after the store
// has answered a cancellation, a worker's drain or a drained zone, and that work
// goes on once the topics are read again.

#include <gtest/gtest.h>

#include <random>

#include "fake_cluster.h"
#include "simulated_time.h"

extern "C" {
#include "owner_priv.h"
}

using fake::Cluster;
using fake::Fault;
using fake::Node;
using fake::TopicFault;

namespace
{

constexpr int WORKERS = 3;
constexpr int NODES = 3;
constexpr uint32_t TASKS = 2400;	  // about 15 s of work for all workers
constexpr int64_t RUN_MS = 300;		  // short, so that starts are frequent
constexpr int64_t MAX_VIEW_AGE_MS = 3000; // the most that an owner allows
constexpr int64_t WAY_TO_WORKER_MS = 100;
constexpr int64_t BOUND_MS = MAX_VIEW_AGE_MS + WAY_TO_WORKER_MS;
constexpr int64_t RULE_MS = 5000; // cancel_ms and drain_ms of the rules
constexpr int64_t OUTAGE_MS = 10000;
constexpr int64_t READ_MS = 20; // more than what a read takes
constexpr int64_t SLOW_MS = 800;
constexpr int64_t COMPLETE_MS = 60000;
constexpr int64_t RETRY_MS = 100; // of clients whose request had no success
constexpr int EPISODES = 20;	  // of a seed

static_assert(BOUND_MS < RULE_MS, "the check is stricter than the rules");

struct CellView : testing::Test {
	Cluster cluster;
	std::vector<std::unique_ptr<Node>> nodes;
	int n_added = 0;

	static void SetUpTestSuite()
	{
		static bool done; // the log can be set up only once

		if (!done)
			vh_log_init("test", G_LOG_LEVEL_CRITICAL);
		done = true;
	}

	void SetUp() override
	{
		cluster.run_ms = RUN_MS;
		cluster.max_view_age_ms = MAX_VIEW_AGE_MS;
		cluster.view.bound_ms = BOUND_MS;
		cluster.store_record(VH_TOPIC_OBJECTS, "config", "1");
		for (int i = 0; i < WORKERS; i++)
			set_draining(i, false);
		for (int i = 0; i < NODES; i++)
			add_node();
		wait_for_owner();
	}

	void TearDown() override
	{
		cluster.faults.clear();
		while (!nodes.empty())
			nodes.pop_back();
		cluster.run_until(
			[this] { return !cluster.pending_callbacks; });
		for (auto &v : cluster.violations)
			ADD_FAILURE() << v;
	}

	static std::string worker_id(int i)
	{
		return "10.0.0." + std::to_string(i + 1) + ":1";
	}

	// Each worker is in a zone of its own.
	void set_draining(int i, bool draining)
	{
		std::string value = "z" + std::to_string(i);

		if (draining)
			value += fake::DRAINING_SUFFIX;
		cluster.store_record(VH_TOPIC_FLEET, worker_id(i), value);
	}

	void set_zone_drained(int i, bool drained)
	{
		cluster.store_record(VH_TOPIC_OBJECTS,
				     "evacuate/z" + std::to_string(i),
				     drained ? "{}" : "");
	}

	void add_node()
	{
		nodes.push_back(std::make_unique<Node>(
			cluster, "n" + std::to_string(++n_added),
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
			if (!n->cell->owner)
				return *n;
		return *nodes[0];
	}

	// Waits until all nodes are ready and connected to an active owner.
	void wait_for_owner()
	{
		ASSERT_TRUE(cluster.run_until([this] {
			for (auto &n : nodes)
				if (!vh_cell_ready(n->cell) ||
				    (!n->is_owner() &&
				     !owner_client_usable(
					     &n->cell->owner_client)))
					return false;
			return owner() != nullptr;
		}));
	}

	// The process of the owner ends, and another node begins to take over.
	void end_owner()
	{
		for (auto i = nodes.begin(); i != nodes.end(); i++) {
			if ((*i)->cell->owner) {
				nodes.erase(i);
				return;
			}
		}
	}

	// The node that takes over; nullptr: not yet fenced, or it has ended.
	Node *loading()
	{
		for (auto &n : nodes)
			if (n->cell->owner &&
			    n->cell->owner->phase == OWNER_LOADING)
				return n.get();
		return nullptr;
	}

	void submit(Node &n, uint64_t id, uint32_t tasks = TASKS)
	{
		n.outcomes.erase(id);
		n.submit(id, tasks, RUN_MS);
		ASSERT_TRUE(cluster.run_until(
			[&] { return n.outcomes.count(id); }));
		ASSERT_EQ(n.outcomes[id], VH_OK);
	}

	// For a while after an outage, a node may take the store to be silent.
	bool submit_until_accepted(Node &n, uint64_t id)
	{
		return cluster.run_until([&] {
			n.outcomes.erase(id);
			n.submit(id, 10, RUN_MS);
			cluster.run_until([&] { return n.outcomes.count(id); });
			cluster.run_for(RETRY_MS);
			return n.outcomes[id] == VH_OK;
		});
	}

	void cancel(Node &n, uint64_t id)
	{
		n.cancelled.erase(id);
		n.cancel(id);
		ASSERT_TRUE(cluster.run_until(
			[&] { return n.cancelled.count(id); }));
		ASSERT_EQ(n.cancelled[id], VH_OK);
	}

	// A job that has tasks running and more to come.
	void submit_running(uint64_t id)
	{
		submit(non_owner(), id);
		cluster.run_for(3000);
		ASSERT_GT(starts_of(id), 0);
	}

	int starts_of(uint64_t id)
	{
		const std::string prefix = std::to_string(id) + ".";
		int n = 0;

		for (auto &s : cluster.starts)
			if (s.first.compare(0, prefix.size(), prefix) == 0)
				n += s.second;
		return n;
	}

	int total_starts()
	{
		int n = 0;

		for (auto &s : cluster.starts)
			n += s.second;
		return n;
	}

	uint64_t status(uint64_t id)
	{
		Node &n = *owner();

		n.query_status(id);
		cluster.run_for(100);
		return n.status.count(id) ? n.status[id]
					  : (uint64_t)ENG_UNKNOWN;
	}

	// Once all topics are read again, new and old work goes on and ends.
	void expect_work_goes_on(uint64_t new_job)
	{
		cluster.faults.clear();
		for (auto &n : nodes)
			n->node_ports.faults.clear();
		wait_for_owner();
		EXPECT_TRUE(submit_until_accepted(non_owner(), new_job));
		EXPECT_TRUE(non_owner().wait_complete(new_job, COMPLETE_MS));
	}

	// The owner has just read the jobs, and does not read them again at once.
	void wait_for_a_read()
	{
		const topic_reader &r = owner()->cell->owner->jobs_reader;

		ASSERT_TRUE(cluster.run_until([&] {
			return !r.in_flight &&
			       cluster.now() - r.caught_up_ms < READ_MS;
		}));
	}

	// The owner's store calls for jobs fail, so another node cancels past it.
	void cancel_past_the_owner(const TopicFault &reads)
	{
		fake::StoreFaults &f = owner()->node_ports.faults;

		submit_running(1);
		wait_for_a_read();
		f.reads[VH_TOPIC_JOBS] = reads;
		f.writes[VH_TOPIC_JOBS].kind = Fault::REFUSED;
		cancel(non_owner(), 1);
		cluster.run_for(OUTAGE_MS);
		EXPECT_GT(cluster.view.starts_within, 0)
			<< "the owner knew of it at once";
		expect_work_goes_on(2);
		EXPECT_EQ(status(1), ENG_CANCELLED);
	}

	// The new owner has read the jobs, and does not know of the cancellation.
	void cancel_during_a_takeover(Fault writes)
	{
		submit_running(1);
		cluster.faults.reads[VH_TOPIC_FLEET].kind = Fault::SILENT;
		end_owner();
		ASSERT_TRUE(cluster.run_until([this] {
			Node *n = loading();

			return n && n->cell->owner->jobs_reader.refreshed;
		}));
		cluster.faults.reads[VH_TOPIC_JOBS].kind = Fault::SILENT;
		loading()->node_ports.faults.writes[VH_TOPIC_JOBS].kind =
			writes;
		cluster.run_for(READ_MS);
		ASSERT_TRUE(loading());
		cancel(non_owner(), 1);
		cluster.faults.reads[VH_TOPIC_FLEET].kind = Fault::NONE;
		ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
		cluster.run_for(OUTAGE_MS);
		expect_work_goes_on(2);
		EXPECT_EQ(status(1), ENG_CANCELLED);
	}

	// Whether the records of a job were deleted from the topic of jobs.
	bool records_deleted(uint64_t id)
	{
		char key[VH_KEY_BYTES];
		bool deleted = false;

		vh_key_format(key, VH_KEY_JOB, id);
		for (auto &r : cluster.topics[VH_TOPIC_JOBS].records)
			if (r.first == key)
				deleted = r.second.empty();
		return deleted;
	}

	void cancel_and_delete(uint64_t id)
	{
		cancel(non_owner(), id);
		ASSERT_TRUE(cluster.run_until(
			[this, id] { return records_deleted(id); }));
	}

	// Another node stores the job again, past the owner.
	void submit_again_past_the_owner(uint64_t id, Fault reads)
	{
		fake::StoreFaults &f = owner()->node_ports.faults;

		f.reads[VH_TOPIC_JOBS].kind = reads;
		f.writes[VH_TOPIC_JOBS].kind = Fault::REFUSED;
		cluster.run_for(1000);
		submit(non_owner(), id);
		ASSERT_FALSE(records_deleted(id));
	}
};

TEST_F(CellView, CancellationPastAnOwnerThatCannotReadTheJobs)
{
	cancel_past_the_owner({ Fault::SILENT, 0 });
}

TEST_F(CellView, CancellationPastAnOwnerWhoseReadsOfJobsAreRefused)
{
	cancel_past_the_owner({ Fault::REFUSED, 0 });
}

TEST_F(CellView, CancellationPastAnOwnerThatReadsTheJobsSlowly)
{
	cancel_past_the_owner({ Fault::SLOW, SLOW_MS });
}

// What a slow read tells is as old as the read's sending, not as its answer.
TEST_F(CellView, CancellationDuringASlowReadOfTheJobs)
{
	fake::StoreFaults &f = owner()->node_ports.faults;
	const topic_reader &r = owner()->cell->owner->jobs_reader;

	submit_running(1);
	f.reads[VH_TOPIC_JOBS] = { Fault::SLOW, SLOW_MS };
	f.writes[VH_TOPIC_JOBS].kind = Fault::REFUSED;
	cluster.run_for(2 * SLOW_MS);
	ASSERT_TRUE(cluster.run_until([&] {
		int64_t age_ms = cluster.now() - r.read_sent_ms;

		return r.in_flight && age_ms > READ_MS && age_ms < 2 * READ_MS;
	}));
	f.reads[VH_TOPIC_JOBS].kind = Fault::SILENT;
	cancel(non_owner(), 1);
	cluster.run_for(OUTAGE_MS);
	EXPECT_GT(cluster.view.starts_within, 0);
	expect_work_goes_on(2);
	EXPECT_EQ(status(1), ENG_CANCELLED);
}

// The cancellation is stored at once, and acknowledged only when it is repeated.
TEST_F(CellView, CancellationWhoseFirstAnswerIsLost)
{
	fake::StoreFaults &f = owner()->node_ports.faults;
	Node &n = non_owner();

	submit_running(1);
	f.reads[VH_TOPIC_JOBS].kind = Fault::SILENT;
	f.writes[VH_TOPIC_JOBS].kind = Fault::REFUSED;
	cluster.run_for(READ_MS);
	n.node_ports.faults.writes[VH_TOPIC_JOBS].kind = Fault::ANSWER_LOST;
	n.cancel(1);
	ASSERT_TRUE(cluster.run_until([&] { return n.cancelled.count(1); }));
	EXPECT_EQ(n.cancelled[1], VH_ERR_TIMEOUT);
	n.node_ports.faults.clear();
	cluster.run_for(1000);
	cancel(n, 1);
	cluster.run_for(OUTAGE_MS);
	expect_work_goes_on(2);
	EXPECT_EQ(status(1), ENG_CANCELLED);
}

TEST_F(CellView, CancellationStoredByAnOwnerThatIsNotActiveYet)
{
	cancel_during_a_takeover(Fault::NONE);
}

TEST_F(CellView, CancellationStoredPastAnOwnerThatIsNotActiveYet)
{
	cancel_during_a_takeover(Fault::REFUSED);
}

TEST_F(CellView, CancellationStoredByTheFormerOwnerAsItEnds)
{
	submit_running(1);
	cluster.faults.reads[VH_TOPIC_JOBS] = { Fault::SLOW, SLOW_MS };
	cancel(*owner(), 1);
	end_owner();
	ASSERT_TRUE(cluster.run_until([this] { return owner(); }));
	cluster.run_for(OUTAGE_MS);
	expect_work_goes_on(2);
	EXPECT_EQ(status(1), ENG_CANCELLED);
}

TEST_F(CellView, WorkerDrainsWhileTheFleetIsNotRead)
{
	for (Fault kind : { Fault::SILENT, Fault::REFUSED }) {
		uint64_t job = kind == Fault::SILENT ? 1 : 3;

		submit_running(job);
		cluster.faults.reads[VH_TOPIC_FLEET].kind = kind;
		cluster.run_for(READ_MS);
		set_draining(0, true);
		cluster.run_for(OUTAGE_MS);
		EXPECT_GT(cluster.view.starts_within, 0);
		expect_work_goes_on(job + 1);
		EXPECT_TRUE(non_owner().wait_complete(job, COMPLETE_MS));
		set_draining(0, false);
		cluster.view.starts_within = 0;
	}
}

TEST_F(CellView, ZoneIsDrainedWhileTheObjectsAreNotRead)
{
	for (Fault kind : { Fault::SILENT, Fault::REFUSED }) {
		uint64_t job = kind == Fault::SILENT ? 1 : 3;

		submit_running(job);
		owner()->node_ports.faults.reads[VH_TOPIC_OBJECTS].kind = kind;
		cluster.run_for(READ_MS);
		set_zone_drained(1, true);
		cluster.run_for(OUTAGE_MS);
		EXPECT_GT(cluster.view.starts_within, 0);
		expect_work_goes_on(job + 1);
		EXPECT_TRUE(non_owner().wait_complete(job, COMPLETE_MS));
		set_zone_drained(1, false);
		cluster.view.starts_within = 0;
	}
}

// The limit must not hold back work while every topic is read in time.
TEST_F(CellView, NothingIsWithheldWhileAllTopicsAreRead)
{
	const int64_t gap_ms = RUN_MS + 500;
	int last = 0;

	submit(non_owner(), 1);
	for (int64_t t = 0; t < 6 * gap_ms; t += gap_ms) {
		cluster.run_for(gap_ms);
		EXPECT_GT(total_starts(), last) << "at " << t << " ms";
		last = total_starts();
	}
	EXPECT_TRUE(non_owner().wait_complete(1, COMPLETE_MS));
	EXPECT_EQ(cluster.metrics().find("vh_owner_view_outdated_total"),
		  std::string::npos);
}

// A submission that arrives after the records of the cancelled job were deleted,
// before a takeover.
TEST_F(CellView, CancelledJobSubmittedAgainAfterItsRecordsAreDeleted)
{
	for (Fault reads : { Fault::SILENT, Fault::NONE }) {
		uint64_t job = reads == Fault::SILENT ? 1 : 2;

		submit_running(job);
		cancel_and_delete(job);
		submit_again_past_the_owner(job, reads);
		int before = starts_of(job);
		end_owner();
		add_node();
		wait_for_owner();
		cluster.run_for(OUTAGE_MS);
		EXPECT_EQ(starts_of(job), before);
		EXPECT_EQ(status(job), ENG_CANCELLED);
	}
}

// The same with a second takeover, and a submission during the first.
TEST_F(CellView, CancelledJobSubmittedAgainDuringATakeover)
{
	submit_running(1);
	cancel_and_delete(1);
	int before = starts_of(1);
	cluster.faults.reads[VH_TOPIC_FLEET].kind = Fault::SILENT;
	end_owner();
	ASSERT_TRUE(cluster.run_until([this] { return loading(); }));
	submit(non_owner(), 1);
	cluster.faults.clear();
	wait_for_owner();
	cluster.run_for(OUTAGE_MS);
	end_owner();
	add_node();
	wait_for_owner();
	cluster.run_for(OUTAGE_MS);
	EXPECT_EQ(starts_of(1), before);
	EXPECT_EQ(status(1), ENG_CANCELLED);
}

// The same for a job of which nothing was started, and three takeovers.
TEST_F(CellView, CancelledJobThatNeverStartedSubmittedAgain)
{
	for (int i = 0; i < WORKERS; i++)
		set_draining(i, true);
	cluster.run_for(1000);
	submit(non_owner(), 1);
	cancel_and_delete(1);
	for (int takeover = 0; takeover < 3; takeover++) {
		submit_again_past_the_owner(1, Fault::SILENT);
		end_owner();
		add_node();
		wait_for_owner();
		for (int i = 0; i < WORKERS; i++)
			set_draining(i, false);
		cluster.run_for(OUTAGE_MS);
		EXPECT_EQ(starts_of(1), 0) << takeover;
		EXPECT_EQ(status(1), ENG_CANCELLED) << takeover;
	}
}

// Faults of all topics, cancellations, drains and takeovers in random order.
struct CellViewSeeds : CellView, testing::WithParamInterface<unsigned int> {
	std::mt19937 random{ GetParam() };
	std::set<uint64_t> to_complete;
	uint64_t last_job = 0;

	void SetUp() override
	{
		g_random_set_seed(GetParam()); // of the election's delays
		CellView::SetUp();
	}

	Node &any_node()
	{
		return *nodes[(size_t)pick((int)nodes.size())];
	}

	int pick(int n)
	{
		return (int)(random() % (unsigned int)n);
	}

	void change_a_fault()
	{
		const int topics[] = { VH_TOPIC_OBJECTS, VH_TOPIC_FLEET,
				       VH_TOPIC_JOBS };
		const Fault kinds[] = { Fault::NONE,   Fault::NONE,
					Fault::SLOW,   Fault::REFUSED,
					Fault::SILENT, Fault::ANSWER_LOST };
		Node &n = pick(2) && owner() ? *owner() : any_node();
		fake::StoreFaults &f =
			pick(4) ? n.node_ports.faults : cluster.faults;
		int topic = topics[pick(3)];

		(pick(4) ? f.reads : f.writes)[topic] = {
			kinds[pick(6)], pick(2) ? SLOW_MS : SLOW_MS / 4
		};
	}

	void cancel_job(uint64_t id)
	{
		any_node().cancel(id);
		to_complete.erase(id);
	}

	void drain_a_worker()
	{
		set_draining(pick(WORKERS), true);
	}

	void drain_a_zone()
	{
		set_zone_drained(pick(WORKERS), true);
	}

	void take_over()
	{
		end_owner();
		while ((int)nodes.size() < NODES)
			add_node();
	}

	void act()
	{
		switch (pick(5)) {
		case 0:
			return drain_a_worker();
		case 1:
			return drain_a_zone();
		case 2:
			return take_over();
		default:
			return cancel_job(last_job);
		}
	}

	void end_faults()
	{
		cluster.faults.clear();
		for (auto &n : nodes)
			n->node_ports.faults.clear();
		for (int i = 0; i < WORKERS; i++) {
			set_draining(i, false);
			set_zone_drained(i, false);
		}
	}

	// A job runs, faults begin, something happens, and the faults end.
	void episode()
	{
		any_node().submit(++last_job, TASKS, RUN_MS);
		to_complete.insert(last_job);
		cluster.run_for(1000 + pick(1000));
		for (int i = 1 + pick(3); i; i--)
			change_a_fault();
		cluster.run_for(pick(1000));
		for (int i = 1 + pick(3); i; i--) {
			act();
			cluster.run_for(pick(1000));
		}
		cluster.run_for(4000 + pick(4000));
		end_faults();
		cluster.run_for(1000 + pick(1000));
		if (pick(3))
			cancel_job(last_job);
	}

	// Whether a node that is left has accepted the job.
	bool accepted(uint64_t id)
	{
		for (auto &n : nodes) {
			auto i = n->outcomes.find(id);

			if (i != n->outcomes.end())
				return i->second == VH_OK;
		}
		return false;
	}
};

TEST_P(CellViewSeeds, NoLateStartAndAllWorkEnds)
{
	for (int i = 0; i < EPISODES; i++)
		episode();
	expect_work_goes_on(++last_job);
	for (uint64_t id : to_complete) {
		if (accepted(id)) {
			EXPECT_TRUE(owner()->wait_complete(id, COMPLETE_MS))
				<< id;
		}
	}
	EXPECT_GT(cluster.view.starts_within, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CellViewSeeds, testing::Range(1u, 7u));

} // namespace
