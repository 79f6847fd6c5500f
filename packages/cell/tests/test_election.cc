#include <gtest/gtest.h>

extern "C" {
#include "election.h"
}

namespace
{

constexpr int64_t TICK_MS = 50;
constexpr int64_t LOOK_MS = 650; // a look takes so long

struct Claim : testing::Test {
	struct claim c;
	int64_t now = 10000;
	bool peers = true, reach = true;
	bool refused = false;	   // the store turns the owner away
	bool node_reaches = false; // a node that is asked reaches the store
	int64_t answered = 0;	   // 0: the store serves no call of the owner
	int asked = 0;

	void SetUp() override
	{
		election_init(&c, 100, now);
	}

	election_action wait(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += TICK_MS) {
			struct election_view v = { peers, reach, refused,
						   answered };
			election_action a = election_tick(&c, now, &v);

			if (a == ELECTION_PROBE_NODES) {
				asked++;
				if (node_reaches)
					election_node_reached_store(&c, now);
				continue;
			}
			if (a != ELECTION_NO_ACTION)
				return a;
		}
		return ELECTION_NO_ACTION;
	}

	void owned_by_another()
	{
		election_record_read(&c, 5, false, false, now);
		election_caught_up(&c, now);
	}

	void own()
	{
		election_record_read(&c, 6, true, false, now);
	}
};

TEST_F(Claim, NothingBeforeTheStoreWasRead)
{
	EXPECT_EQ(wait(5000), ELECTION_NO_ACTION);
}

TEST_F(Claim, TakesAnEmptyCellAfterItsDelay)
{
	election_caught_up(&c, now);
	EXPECT_EQ(wait(100), ELECTION_NO_ACTION);
	EXPECT_EQ(wait(200), ELECTION_WRITE_CLAIM);
}

TEST_F(Claim, TakesFromAnOwnerThatRefusesAtOnce)
{
	owned_by_another();
	election_owner_dead(&c, 5, now);
	EXPECT_EQ(wait(300), ELECTION_WRITE_CLAIM);
}

// A node that is cut off from the others must not take a sound owner's cell.
TEST_F(Claim, LooksBeforeItTakesFromASilentOwner)
{
	owned_by_another();
	EXPECT_EQ(wait(3000), ELECTION_CHECK_OWNER);
	now += LOOK_MS;
	election_owner_checked(&c, true, false, now);
	EXPECT_EQ(wait(300), ELECTION_NO_ACTION);
	EXPECT_EQ(wait(3000), ELECTION_CHECK_OWNER);
	now += LOOK_MS;
	election_owner_checked(&c, false, false, now);
	EXPECT_EQ(wait(300), ELECTION_WRITE_CLAIM);
}

// An owner that loses its power is missed from its last heartbeat on.
TEST_F(Claim, ADarkOwnerIsClaimedSoon)
{
	constexpr int64_t AIM_MS = 1200;
	int64_t dark = now;

	owned_by_another();
	EXPECT_EQ(wait(AIM_MS), ELECTION_CHECK_OWNER);
	now += LOOK_MS;
	election_owner_checked(&c, false, false, now);
	EXPECT_EQ(wait(AIM_MS), ELECTION_WRITE_CLAIM);
	EXPECT_LE(now - dark, AIM_MS);
}

TEST_F(Claim, ALookWithoutAnAnswerProvesNothing)
{
	owned_by_another();
	EXPECT_EQ(wait(3000), ELECTION_CHECK_OWNER);
	election_owner_checked(&c, false, true, now);
	EXPECT_EQ(wait(250), ELECTION_NO_ACTION);
	EXPECT_EQ(wait(3000), ELECTION_CHECK_OWNER);
}

TEST_F(Claim, AnOwnerThatIsHeardIsLeftAlone)
{
	owned_by_another();
	for (int i = 0; i < 100; i++) {
		election_owner_heard(&c, 5, now);
		EXPECT_EQ(wait(250), ELECTION_NO_ACTION);
	}
}

TEST_F(Claim, AReleasedCellIsTaken)
{
	owned_by_another();
	election_record_read(&c, 6, false, true, now);
	EXPECT_EQ(wait(300), ELECTION_WRITE_CLAIM);
}

TEST_F(Claim, AnOlderRecordChangesNothing)
{
	own();
	election_record_read(&c, 4, false, false, now);
	EXPECT_TRUE(c.mine);
}

TEST_F(Claim, AnOwnerCutOffFromTheStoreGivesUpInTime)
{
	own();
	EXPECT_EQ(wait(election_former_owner_ms()), ELECTION_STEP_DOWN);
}

// With the store down for all nobody can claim, and what runs goes on.
TEST_F(Claim, AnOwnerGoesOnWhileTheStoreIsDownForAll)
{
	own();
	reach = false;
	EXPECT_EQ(wait(20000), ELECTION_NO_ACTION);
}

// The store answers some machines and turns the owner's away, for seconds.
TEST_F(Claim, AnOwnerThatIsTurnedAwayHandsOverAtOnce)
{
	own();
	refused = true;
	node_reaches = true;
	EXPECT_EQ(wait(600), ELECTION_STEP_DOWN);
	EXPECT_EQ(asked, 1);
}

TEST_F(Claim, AnOwnerWithoutAnyAnswerHandsOverInASecond)
{
	own();
	node_reaches = true;
	EXPECT_EQ(wait(800), ELECTION_NO_ACTION);
	EXPECT_EQ(wait(400), ELECTION_STEP_DOWN);
}

// One lost answer, while others come: nothing is wrong with the path.
TEST_F(Claim, AnOwnerThatIsServedOtherwiseDoesNotAsk)
{
	own();
	refused = true;
	for (int i = 0; i < 100; i++) {
		answered = now;
		EXPECT_EQ(wait(200), ELECTION_NO_ACTION);
	}
	EXPECT_EQ(asked, 0);
}

TEST_F(Claim, TheNodesAreNotAskedAllTheTime)
{
	own();
	refused = true;
	reach = false;
	EXPECT_EQ(wait(6000), ELECTION_NO_ACTION);
	EXPECT_GT(asked, 5);
	EXPECT_LE(asked, 20);
}

TEST_F(Claim, AnOwnerThatSaysSoLeavesTheCellVacant)
{
	owned_by_another();
	election_owner_resigned(&c, 4, now);
	EXPECT_EQ(wait(300), ELECTION_NO_ACTION);
	election_owner_resigned(&c, 5, now);
	EXPECT_EQ(wait(300), ELECTION_WRITE_CLAIM);
}

TEST_F(Claim, AnOwnerThatIsAloneGivesUp)
{
	own();
	peers = false;
	reach = false;
	EXPECT_EQ(wait(election_former_owner_ms()), ELECTION_STEP_DOWN);
}

TEST(ClaimYields, ToANearerNodeThatStays)
{
	EXPECT_TRUE(election_should_yield({ 250, 64 }, { 250, 5 }, 3000));
	EXPECT_FALSE(election_should_yield({ 250, 64 }, { 250, 5 }, 500));
	EXPECT_FALSE(election_should_yield({ 250, 64 }, { 250, 60 }, 3000));
	EXPECT_FALSE(election_should_yield({ 500, 64 }, { 120, 5 }, 3000));
	EXPECT_TRUE(election_should_yield({ 120, 5 }, { 500, 64 }, 3000));
}

// Two nodes never hand the cell to and fro.
TEST(ClaimYields, NotBack)
{
	struct election_candidate a = { 250, 64 }, b = { 250, 5 },
				  c = { 500, 64 };

	EXPECT_FALSE(election_should_yield(b, a, 9000));
	EXPECT_FALSE(election_should_yield(c, b, 9000));
	EXPECT_FALSE(election_should_yield(a, a, 9000));
}

} // namespace
