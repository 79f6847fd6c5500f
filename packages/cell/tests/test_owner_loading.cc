// An owner that cannot schedule says why.

#include "fake_owner.h"

namespace
{

struct OwnerLoading : fake::OneOwner {
	std::string metrics()
	{
		struct vh_buf out = {};

		vh_metrics_render(&kernel.metrics, &out);
		std::string text(out.data, out.len);
		vh_buf_finish(&out);
		return text;
	}

	// Whether the owner is shown as waiting for a topic.
	bool waits_for(const std::string &topic)
	{
		std::string text = metrics();
		size_t at = text.find("vh_owner_waits_seconds{for=\"" + topic +
				      "\"} ");

		if (at == std::string::npos)
			return false;
		return atof(text.c_str() + text.find('}', at) + 1) > 0;
	}

	void wait_loading(int64_t ms)
	{
		for (int64_t t = 0; t < ms; t += fake::TICK_MS) {
			tick(fake::TICK_MS);
			answer();
		}
	}
};

// While the workers could not be read, nothing told an operator what the owner was
// waiting for: only that one topic had failed once.
TEST_F(OwnerLoading, TopicsThatAreNotReadAreNamedInTheMetrics)
{
	hold_fleet = true;
	start_owner(1);
	wait_loading(4000);
	EXPECT_EQ(o->phase, OWNER_LOADING);
	EXPECT_TRUE(waits_for("workers"));
	EXPECT_FALSE(waits_for("jobs"));
	EXPECT_FALSE(waits_for("states"));
	hold_fleet = false;
	release_replies();
	wait_loading(1000);
	EXPECT_EQ(o->phase, OWNER_ACTIVE);
	EXPECT_FALSE(waits_for("workers"));
}

TEST_F(OwnerLoading, AFenceThatIsNotSetIsNamedInTheMetrics)
{
	start_owner(1);
	tick(4000);
	EXPECT_TRUE(waits_for("fence"));
	EXPECT_FALSE(waits_for("workers"));
}

} // namespace
