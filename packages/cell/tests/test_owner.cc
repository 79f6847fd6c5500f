// The pause between two engine runs of an owner.

#include <gtest/gtest.h>

extern "C" {
#include "owner_priv.h"
}

namespace
{

// An overloaded owner's loop was filled by its runs, so that it read nothing.
TEST(Owner, LongRunsFillTheEventLoop)
{
	for (int64_t run_ms : { 20, 90, 400 })
		EXPECT_GE(owner_run_pause_ms(run_ms), 3 * run_ms);
}

TEST(Owner, ShortRunsFollowEachOtherSoon)
{
	EXPECT_LE(owner_run_pause_ms(0), 40);
	EXPECT_LE(owner_run_pause_ms(5), 40);
}

} // namespace
