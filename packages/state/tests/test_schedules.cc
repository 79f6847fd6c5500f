#include <gtest/gtest.h>

#include <cstdlib>

#include "sim_run.h"

/* VH_SEED and VH_SCHEDULES choose another or a longer run. */
static uint64_t number(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static void print(const Sim &sim)
{
	size_t from = sim.trace.size() > 400 ? sim.trace.size() - 400 : 0;

	printf("seed %llu:\n", (unsigned long long)sim.settings.seed);
	for (auto &v : sim.ledger.violations)
		printf("  %s\n", v.c_str());
	for (size_t i = from; i < sim.trace.size(); i++)
		printf("    %s\n", sim.trace[i].c_str());
}

TEST(Schedules, PromisesHoldUnderRandomFaults)
{
	uint64_t seed = number("VH_SEED", 1);
	uint64_t n = number("VH_SCHEDULES", 40);
	uint64_t starts = 0;

	for (uint64_t i = 0; i < n; i++) {
		SimSettings s;

		s.seed = seed + i;
		Sim sim(s);
		bool ok = sim.run();
		starts += sim.ledger.starts;
		if (!ok)
			print(sim);
		ASSERT_TRUE(ok) << "seed " << s.seed;
	}
	printf("%llu schedules, %llu starts\n", (unsigned long long)n,
	       (unsigned long long)starts);
	EXPECT_GT(starts, n * 5);
}
