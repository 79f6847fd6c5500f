#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "team_limits.h"
#include "fault_schedule.h"
}

namespace
{
class FaultSchedule : public ::testing::Test
{
      protected:
	struct vh_fleet fleet;

	void SetUp() override
	{
		vh_fleet_generate(&fleet, 50);
	}

	void TearDown() override
	{
		vh_fleet_finish(&fleet);
	}

	std::vector<std::pair<int64_t, std::string>> make(uint32_t seed)
	{
		struct vh_fault_schedule_settings settings = {};
		std::vector<std::pair<int64_t, std::string>> out;
		struct vh_fault_schedule s;

		settings.nodes = 3;
		settings.fleet = &fleet;
		settings.duration_ms = 600000;
		settings.gap_ms = 1000;
		settings.seed = seed;
		vh_fault_schedule_init(&s, &settings);
		for (unsigned int i = 0; i < s.events->len; i++) {
			auto *e = &g_array_index(s.events,
						 struct vh_fault_event, i);

			out.emplace_back(e->at_ms, e->action);
		}
		vh_fault_schedule_finish(&s);
		return out;
	}
};
} // namespace

TEST_F(FaultSchedule, SameSeedGivesTheSameEvents)
{
	EXPECT_EQ(make(7), make(7));
	EXPECT_NE(make(7), make(8));
}

TEST_F(FaultSchedule, EveryFaultIsRepaired)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		std::map<std::string, std::string> node;
		std::string log_down = "false";
		int64_t last = 0;

		for (const auto &e : make(seed)) {
			EXPECT_GE(e.first, last);
			EXPECT_LE(e.first, 600000);
			last = e.first;
			if (e.second.rfind("node ", 0) == 0)
				node[e.second.substr(5, 1)] =
					e.second.substr(7);
			if (e.second.rfind("log {\"down\":", 0) == 0)
				log_down = e.second.substr(12);
		}
		for (const auto &n : node)
			EXPECT_TRUE(n.second == "start" || n.second == "cont")
				<< n.second;
		EXPECT_TRUE(log_down == "false" || log_down == "false}");
	}
}

TEST_F(FaultSchedule, NodeHasOneFaultAtATime)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		std::map<std::string, std::string> state;

		for (const auto &e : make(seed)) {
			if (e.second.rfind("node ", 0) != 0)
				continue;
			std::string &s = state[e.second.substr(5, 1)];
			std::string action = e.second.substr(7);

			if (action == "start")
				EXPECT_EQ(s, "kill");
			else if (action == "cont")
				EXPECT_EQ(s, "stop");
			else
				EXPECT_TRUE(s != "kill" && s != "stop") << s;
			s = action;
		}
	}
}

TEST(TeamLimits, AreReadFromTheObjects)
{
	struct vh_checker c;
	struct vh_checker_run run = {};
	GError *err = nullptr;

	vh_checker_init(&c, 10, 10, 0);
	ASSERT_TRUE(
		vh_team_limits_load(&c, VH_EXAMPLES "/sitara/objects", 0, &err))
		<< err->message;
	run.task = const_cast<char *>("a/0");
	run.worker = const_cast<char *>("w1");
	run.team = const_cast<char *>("korangi-yard");
	run.idempotent = true;
	run.size.v[VH_CPU] = 48000;
	vh_checker_run_started(&c, &run);
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 0u);
	run.task = const_cast<char *>("b/0");
	run.size.v[VH_CPU] = 1;
	vh_checker_run_started(&c, &run);
	EXPECT_EQ(c.violation_counts[VH_I4_LIMITS], 1u);
	EXPECT_FALSE(vh_team_limits_load(&c, "/nonexistent", 0, &err));
	g_clear_error(&err);
	vh_checker_finish(&c);
}
