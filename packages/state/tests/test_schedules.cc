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

/* Without each mechanism some schedule breaks a promise; the same seeds hold
 * with it. */
struct Mutation {
	const char *name;
	bool Mutations::*without;
	uint64_t from; /* the search for a seed begins here */
};

class Mutants : public ::testing::TestWithParam<Mutation>
{
};

TEST_P(Mutants, AreCaught)
{
	Mutation m = GetParam();
	std::string seen;

	for (uint64_t i = m.from; i < m.from + 400 && seen.empty(); i++) {
		SimSettings s;

		s.seed = i;
		s.without.*m.without = true;
		testing::internal::CaptureStderr();
		Sim sim(s);
		if (!sim.run())
			seen = "seed " + std::to_string(i) + ": " +
			       sim.ledger.violations[0];
		testing::internal::GetCapturedStderr();
	}
	printf("%s: %s\n", m.name, seen.c_str());
	EXPECT_FALSE(seen.empty());
}

INSTANTIATE_TEST_SUITE_P(
	Schedules, Mutants,
	::testing::Values(
		Mutation{ "worker_epoch", &Mutations::no_worker_epoch, 35 },
		Mutation{ "seal", &Mutations::no_seal, 1 },
		Mutation{ "open", &Mutations::no_open, 5 },
		Mutation{ "home_fence", &Mutations::no_home_fence, 8 },
		Mutation{ "margin", &Mutations::no_margin, 1 },
		Mutation{ "fresh", &Mutations::no_fresh, 175 },
		Mutation{ "attempt", &Mutations::no_attempt, 2 },
		Mutation{ "rack_epoch", &Mutations::no_rack_epoch, 53 }),
	[](const ::testing::TestParamInfo<Mutation> &info) {
		return std::string(info.param.name);
	});
