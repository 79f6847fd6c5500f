#include <gtest/gtest.h>

#include <cstdlib>

#include "sim_run.h"

/* VH_SEED and VH_SCHEDULES select another seed or a longer run. */
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

/* Runs @n schedules from @s.seed; returns the number of starts on workers. */
static uint64_t run_all(SimSettings s, uint64_t n)
{
	uint64_t starts = 0;

	for (uint64_t i = 0; i < n; i++, s.seed++) {
		Sim sim(s);
		bool ok = sim.run();

		starts += sim.ledger.starts;
		if (!ok)
			print(sim);
		EXPECT_TRUE(ok) << "seed " << s.seed;
		if (!ok)
			break;
	}
	printf("%llu schedules, %llu starts\n", (unsigned long long)n,
	       (unsigned long long)starts);
	return starts;
}

TEST(Schedules, InvariantsHoldUnderRandomFaults)
{
	uint64_t n = number("VH_SCHEDULES", 25);
	SimSettings s;

	s.seed = number("VH_SEED", 1);
	EXPECT_GT(run_all(s, n), n * 5);
}

TEST(Schedules, AllNodesReplacedAtOnce)
{
	uint64_t n = number("VH_SCHEDULES", 10);
	SimSettings s;

	s.seed = number("VH_SEED", 5001);
	s.replace_all_at = 20000;
	EXPECT_GT(run_all(s, n), n * 5);
}

/*
 * Without each mechanism some schedule violates an invariant; with it the same
 * seeds pass.
 */
struct Mutation {
	const char *name;
	bool Mutations::*disabled;
	uint64_t from; /* first seed of the search */
};

class Mutants : public ::testing::TestWithParam<Mutation>
{
};

TEST_P(Mutants, AreDetected)
{
	Mutation m = GetParam();
	std::string seen;

	for (uint64_t i = m.from; i < m.from + 400 && seen.empty(); i++) {
		SimSettings s;

		s.seed = i;
		s.disabled.*m.disabled = true;
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
		Mutation{ "worker_epoch", &Mutations::no_worker_epoch, 66 },
		Mutation{ "reconcile", &Mutations::no_reconcile, 1 },
		Mutation{ "open", &Mutations::no_open, 5 },
		Mutation{ "home_fence", &Mutations::no_home_fence, 8 },
		Mutation{ "clock_margin", &Mutations::no_clock_margin, 1 },
		Mutation{ "claims_check", &Mutations::no_claims_check, 175 },
		Mutation{ "attempt", &Mutations::no_attempt, 2 },
		Mutation{ "rack_epoch", &Mutations::no_rack_epoch, 53 }),
	[](const ::testing::TestParamInfo<Mutation> &info) {
		return std::string(info.param.name);
	});
