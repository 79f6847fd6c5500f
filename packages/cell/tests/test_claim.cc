#include <gtest/gtest.h>

extern "C" {
#include "claim.h"
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
		claim_init(&c, 100, now);
	}

	claim_action wait(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += TICK_MS) {
			struct claim_view v = { peers, reach, refused,
						answered };
			claim_action a = claim_tick(&c, now, &v);

			if (a == CLAIM_ASK) {
				asked++;
				if (node_reaches)
					claim_reached(&c, now);
				continue;
			}
			if (a != CLAIM_NOTHING)
				return a;
		}
		return CLAIM_NOTHING;
	}

	void owned_by_another()
	{
		claim_record(&c, 5, false, false, now);
		claim_known(&c, now);
	}

	void own()
	{
		claim_record(&c, 6, true, false, now);
	}
};

TEST_F(Claim, NothingBeforeTheStoreWasRead)
{
	EXPECT_EQ(wait(5000), CLAIM_NOTHING);
}

TEST_F(Claim, TakesAnEmptyCellAfterItsDelay)
{
	claim_known(&c, now);
	EXPECT_EQ(wait(100), CLAIM_NOTHING);
	EXPECT_EQ(wait(200), CLAIM_TAKE);
}

TEST_F(Claim, TakesFromAnOwnerThatRefusesAtOnce)
{
	owned_by_another();
	claim_dead(&c, 5, now);
	EXPECT_EQ(wait(300), CLAIM_TAKE);
}

// A node that is cut off from the others must not take a sound owner's cell.
TEST_F(Claim, LooksBeforeItTakesFromASilentOwner)
{
	owned_by_another();
	EXPECT_EQ(wait(3000), CLAIM_LOOK);
	now += LOOK_MS;
	claim_looked(&c, true, false, now);
	EXPECT_EQ(wait(300), CLAIM_NOTHING);
	EXPECT_EQ(wait(3000), CLAIM_LOOK);
	now += LOOK_MS;
	claim_looked(&c, false, false, now);
	EXPECT_EQ(wait(300), CLAIM_TAKE);
}

// An owner that loses its power is missed from its last heartbeat on.
TEST_F(Claim, ADarkOwnerIsClaimedSoon)
{
	constexpr int64_t AIM_MS = 1200;
	int64_t dark = now;

	owned_by_another();
	EXPECT_EQ(wait(AIM_MS), CLAIM_LOOK);
	now += LOOK_MS;
	claim_looked(&c, false, false, now);
	EXPECT_EQ(wait(AIM_MS), CLAIM_TAKE);
	EXPECT_LE(now - dark, AIM_MS);
}

TEST_F(Claim, ALookWithoutAnAnswerProvesNothing)
{
	owned_by_another();
	EXPECT_EQ(wait(3000), CLAIM_LOOK);
	claim_looked(&c, false, true, now);
	EXPECT_EQ(wait(250), CLAIM_NOTHING);
	EXPECT_EQ(wait(3000), CLAIM_LOOK);
}

TEST_F(Claim, AnOwnerThatIsHeardIsLeftAlone)
{
	owned_by_another();
	for (int i = 0; i < 100; i++) {
		claim_heard(&c, 5, now);
		EXPECT_EQ(wait(250), CLAIM_NOTHING);
	}
}

TEST_F(Claim, AReleasedCellIsTaken)
{
	owned_by_another();
	claim_record(&c, 6, false, true, now);
	EXPECT_EQ(wait(300), CLAIM_TAKE);
}

TEST_F(Claim, AnOlderRecordChangesNothing)
{
	own();
	claim_record(&c, 4, false, false, now);
	EXPECT_TRUE(c.mine);
}

TEST_F(Claim, AnOwnerCutOffFromTheStoreGivesUpInTime)
{
	own();
	EXPECT_EQ(wait(claim_former_ms()), CLAIM_STEP_DOWN);
}

// With the store down for all nobody can claim, and what runs goes on.
TEST_F(Claim, AnOwnerGoesOnWhileTheStoreIsDownForAll)
{
	own();
	reach = false;
	EXPECT_EQ(wait(20000), CLAIM_NOTHING);
}

// The store answers some machines and turns the owner's away, for seconds.
TEST_F(Claim, AnOwnerThatIsTurnedAwayHandsOverAtOnce)
{
	own();
	refused = true;
	node_reaches = true;
	EXPECT_EQ(wait(600), CLAIM_STEP_DOWN);
	EXPECT_EQ(asked, 1);
}

TEST_F(Claim, AnOwnerWithoutAnyAnswerHandsOverInASecond)
{
	own();
	node_reaches = true;
	EXPECT_EQ(wait(800), CLAIM_NOTHING);
	EXPECT_EQ(wait(400), CLAIM_STEP_DOWN);
}

// One lost answer, while others come: nothing is wrong with the path.
TEST_F(Claim, AnOwnerThatIsServedOtherwiseDoesNotAsk)
{
	own();
	refused = true;
	for (int i = 0; i < 100; i++) {
		answered = now;
		EXPECT_EQ(wait(200), CLAIM_NOTHING);
	}
	EXPECT_EQ(asked, 0);
}

TEST_F(Claim, TheNodesAreNotAskedAllTheTime)
{
	own();
	refused = true;
	reach = false;
	EXPECT_EQ(wait(6000), CLAIM_NOTHING);
	EXPECT_GT(asked, 5);
	EXPECT_LE(asked, 20);
}

TEST_F(Claim, AnOwnerThatSaysSoLeavesTheCellVacant)
{
	owned_by_another();
	claim_vacant(&c, 4, now);
	EXPECT_EQ(wait(300), CLAIM_NOTHING);
	claim_vacant(&c, 5, now);
	EXPECT_EQ(wait(300), CLAIM_TAKE);
}

TEST_F(Claim, AnOwnerThatIsAloneGivesUp)
{
	own();
	peers = false;
	reach = false;
	EXPECT_EQ(wait(claim_former_ms()), CLAIM_STEP_DOWN);
}

TEST(ClaimYields, ToANearerNodeThatStays)
{
	EXPECT_TRUE(claim_yields({ 250, 64 }, { 250, 5 }, 3000));
	EXPECT_FALSE(claim_yields({ 250, 64 }, { 250, 5 }, 500));
	EXPECT_FALSE(claim_yields({ 250, 64 }, { 250, 60 }, 3000));
	EXPECT_FALSE(claim_yields({ 500, 64 }, { 120, 5 }, 3000));
	EXPECT_TRUE(claim_yields({ 120, 5 }, { 500, 64 }, 3000));
}

// Two nodes never hand the cell to and fro.
TEST(ClaimYields, NotBack)
{
	struct claim_place a = { 250, 64 }, b = { 250, 5 }, c = { 500, 64 };

	EXPECT_FALSE(claim_yields(b, a, 9000));
	EXPECT_FALSE(claim_yields(c, b, 9000));
	EXPECT_FALSE(claim_yields(a, a, 9000));
}

} // namespace
