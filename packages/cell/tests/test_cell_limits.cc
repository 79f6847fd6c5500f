// What the store refuses for good, as it is too large, does not keep anything else from
// being stored.

#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace
{

constexpr size_t RECORD_BYTES = 2000;
constexpr size_t CALL_BYTES = 6000;
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

	fake::Cluster cluster;
	std::unique_ptr<fake::Node> node;
};

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
	EXPECT_TRUE(node->wait_complete(3, 5000));
}

INSTANTIATE_TEST_SUITE_P(Told, Limits, testing::Bool());

} // namespace
