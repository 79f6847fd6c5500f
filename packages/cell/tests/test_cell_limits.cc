// What the store refuses for good, as it is too large, does not keep anything else from
// being stored.

#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace
{

constexpr size_t RECORD_BYTES = 2000;
constexpr size_t CALL_BYTES = 6000;
constexpr uint32_t TASKS = 400; // whose state needs some 4,000 bytes and more
constexpr uint64_t LARGE = 1, SMALL = 2;
constexpr eng_resources LITTLE = { 10, 1, 0 };

// Whether the nodes' settings tell the limits.
class Limits : public testing::TestWithParam<bool>
{
      protected:
	Limits()
	{
		cluster.limits_told = GetParam();
		cluster.record_bytes = RECORD_BYTES;
		cluster.call_bytes = CALL_BYTES;
		cluster.checkpoint = "00000bb87a21d94b";
		for (const char *w : { "10.0.0.1:1", "10.0.0.2:1" })
			cluster.store_record(VH_TOPIC_FLEET, w, "z");
		cluster.store_record(VH_TOPIC_OBJECTS, "config", "1");
	}

	void start_node()
	{
		node.reset(); // ends as a crashed process does
		node.reset(new fake::Node(cluster, "a", fake::free_port()));
		ASSERT_TRUE(
			cluster.run_until([this] { return node->is_owner(); }));
	}

	void expect_no_violation()
	{
		for (auto &v : cluster.violations)
			ADD_FAILURE() << v;
	}

	/* How many records of a kind have a value. */
	size_t stored(int topic, char kind)
	{
		std::map<std::string, std::string> last;
		size_t n = 0;

		for (auto &r : cluster.topics[topic].records)
			last[r.first] = r.second;
		for (auto &r : last)
			n += r.first[0] == kind && !r.second.empty();
		return n;
	}

	size_t parts_stored()
	{
		return stored(VH_TOPIC_STATE, VH_KEY_PART);
	}

	size_t jobs_stored()
	{
		return stored(VH_TOPIC_JOBS, VH_KEY_JOB);
	}

	fake::Cluster cluster;
	std::unique_ptr<fake::Node> node;
};

// Review case 12: the state of a large job outgrew a record. The store refused it from
// then on, and no state of any job was stored any more.
TEST_P(Limits, TheStateOfALargeJobDoesNotStopTheOthers)
{
	start_node();
	cluster.run_ms = 3000;
	node->submit_step(LARGE, TASKS, LITTLE, 3000);
	ASSERT_TRUE(cluster.run_until(
		[this] { return cluster.starts.size() >= TASKS; }));
	cluster.run_ms = 100;
	node->submit(SMALL, 1);
	EXPECT_TRUE(node->wait_complete(SMALL));
	EXPECT_TRUE(node->wait_complete(LARGE, 30000));
	expect_no_violation();
	EXPECT_LE(cluster.largest_append, CALL_BYTES);
	// The parts are deleted with the state.
	EXPECT_TRUE(cluster.run_until([this] { return !parts_stored(); }));
}

// A new owner knows the whole job, though it is in several records.
TEST_P(Limits, ANewOwnerGoesOnWithALargeJob)
{
	start_node();
	cluster.run_ms = 6000;
	node->submit_step(LARGE, TASKS, LITTLE, 6000);
	ASSERT_TRUE(cluster.run_until(
		[this] { return cluster.starts.size() >= TASKS; }));
	ASSERT_TRUE(cluster.run_until([this] { return parts_stored() > 1; }));
	start_node();
	EXPECT_TRUE(node->wait_complete(LARGE, 30000));
	for (auto &s : cluster.starts)
		EXPECT_EQ(s.second, 1) << s.first;
	expect_no_violation();
}

// The states of many jobs, which a takeover changes all at once, are more than one call
// may have.
TEST_P(Limits, TheStatesOfManyJobsAreStoredInSeveralCalls)
{
	constexpr uint64_t JOBS = 150;

	start_node();
	cluster.run_ms = 1500;
	for (uint64_t id = 10; id < 10 + JOBS; id++)
		node->submit_step(id, 4, LITTLE, 1500);
	for (uint64_t id = 10; id < 10 + JOBS; id++)
		ASSERT_TRUE(node->wait_complete(id, 20000)) << id;
	EXPECT_GT(cluster.largest_append, CALL_BYTES / 4);
	EXPECT_LE(cluster.largest_append, CALL_BYTES);
	expect_no_violation();
}

// The deletion of the records of many ended jobs was one append, of 11,264 bytes. Had it
// been over the limit, it would have been repeated without end.
TEST_P(Limits, TheRecordsOfEndedJobsAreDeletedInSeveralCalls)
{
	constexpr uint64_t JOBS = 60;

	cluster.call_bytes = 1000;
	start_node();
	cluster.run_ms = 50;
	for (uint64_t id = 10; id < 10 + JOBS; id++)
		node->submit_step(id, 1, LITTLE, 50);
	for (uint64_t id = 10; id < 10 + JOBS; id++)
		ASSERT_TRUE(node->wait_complete(id, 20000)) << id;
	EXPECT_TRUE(cluster.run_until([this] { return !jobs_stored(); }));
	EXPECT_LE(cluster.largest_append, 1000u);
}

// A state that cannot be made smaller: none of its tasks starts, and all others do.
TEST_P(Limits, AStateThatIsAlwaysRefusedStopsOnlyItsJob)
{
	char key[VH_KEY_BYTES];

	vh_key_format(key, VH_KEY_STATE, LARGE);
	cluster.refused_key = key;
	start_node();
	node->submit(LARGE, 1);
	ASSERT_TRUE(cluster.run_until(
		[this] { return node->outcomes.count(LARGE) > 0; }));
	node->submit(SMALL, 1);
	EXPECT_TRUE(node->wait_complete(SMALL));
	EXPECT_EQ(cluster.starts.size(), 1u);
	EXPECT_EQ(node->outcomes[LARGE], VH_OK);
	EXPECT_NE(cluster.metrics().find("vh_state_records_refused_total"),
		  std::string::npos);
	// It is tried again, and goes on once the store takes it.
	cluster.refused_key.clear();
	EXPECT_TRUE(node->wait_complete(LARGE));
	expect_no_violation();
}

// A job whose own record is too large turned away the jobs of others that came with it,
// as if the store were down.
TEST_P(Limits, AJobThatIsTooLargeIsRefusedAlone)
{
	start_node();
	node->submit_step(LARGE, 1, LITTLE, 100,
			  std::string(RECORD_BYTES, 'x').substr(0, 256));
	node->submit_with_payload(SMALL, std::string(RECORD_BYTES, 'x'));
	node->submit(3, 1);
	ASSERT_TRUE(cluster.run_until(
		[this] { return node->outcomes.size() == 3; }));
	EXPECT_EQ(node->outcomes[LARGE], VH_OK);
	EXPECT_EQ(node->outcomes[SMALL], VH_ERR_BAD_REQUEST);
	EXPECT_EQ(node->outcomes[3], VH_OK);
	EXPECT_TRUE(node->wait_complete(3));
}

INSTANTIATE_TEST_SUITE_P(Told, Limits, testing::Bool());

} // namespace
