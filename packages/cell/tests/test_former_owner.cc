// When the process of a former owner is taken to have ended.

#include <gtest/gtest.h>

extern "C" {
#include "peer_server.h"
}

namespace
{

constexpr uint64_t OWNER_PROCESS = 1, LATER_PROCESS = 2;
constexpr int64_t SINCE_MS = 1000;

struct FormerOwner : testing::Test {
	char name[3] = "n1";
	peer_conn conn = {};
	peer_server server = {};

	void SetUp() override
	{
		conn.name = name;
		conn.ready = true;
		conn.incarnation = LATER_PROCESS;
		conn.answered_ms = SINCE_MS;
		server.conns = &conn;
	}

	bool ended(const char *node = "n1")
	{
		return peer_server_process_ended(&server, node, OWNER_PROCESS,
						 SINCE_MS);
	}
};

TEST_F(FormerOwner, HasEndedIfALaterProcessOfItsNodeAnswers)
{
	EXPECT_TRUE(ended());
}

// A connection of an earlier process may be read late.
TEST_F(FormerOwner, MayActIfTheOtherProcessHasNotAnsweredSince)
{
	conn.answered_ms = SINCE_MS - 1;
	EXPECT_FALSE(ended());
}

TEST_F(FormerOwner, MayActIfItsProcessAnswers)
{
	conn.incarnation = OWNER_PROCESS;
	EXPECT_FALSE(ended());
}

TEST_F(FormerOwner, MayActIfAnotherNodeAnswers)
{
	EXPECT_FALSE(ended("n2"));
}

} // namespace
