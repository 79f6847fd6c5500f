// Log lines are rate-limited, writing never blocks, and critical lines are
// always written.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "vh/log.h"
}

namespace
{

constexpr int BURST = 2000;

struct Log : testing::Test {
	int saved, ends[2];

	/* GLib accepts a log writer only once per process. */
	static void SetUpTestSuite()
	{
		vh_log_init("n", G_LOG_LEVEL_INFO);
	}

	void SetUp() override
	{
		fflush(stdout);
		ASSERT_EQ(pipe(ends), 0);
		fcntl(ends[0], F_SETFL, O_NONBLOCK);
		saved = dup(STDOUT_FILENO);
		dup2(ends[1], STDOUT_FILENO);
	}

	void TearDown() override
	{
		dup2(saved, STDOUT_FILENO);
		close(saved);
		close(ends[0]);
		close(ends[1]);
	}

	std::string drain()
	{
		std::string all;
		char buf[65536];
		ssize_t n;

		while ((n = read(ends[0], buf, sizeof(buf))) > 0)
			all.append(buf, (size_t)n);
		return all;
	}

	static size_t count(const std::string &s, const std::string &what)
	{
		size_t n = 0;

		for (size_t at = 0; (at = s.find(what, at)) != s.npos; at++)
			n++;
		return n;
	}
};

// Nothing reads the pipe during the loop: a blocking write would hang the test.
TEST_F(Log, DoesNotBlockOnAStalledReader)
{
	for (int i = 0; i < 3 * BURST; i++)
		vh_log(G_LOG_LEVEL_INFO, "line", "k", "v", NULL);
	std::string all = drain();
	EXPECT_GT(count(all, "\n"), 10u);
	EXPECT_LT(count(all, "\n"), 3u * BURST);
	EXPECT_EQ(all.back(), '\n');
}

TEST_F(Log, LimitsRateOfAllButCriticalLines)
{
	std::string all;

	for (int i = 0; i < 100; i++) {
		for (int k = 0; k < BURST / 10; k++)
			vh_log(G_LOG_LEVEL_INFO, "line", "k", "v", NULL);
		vh_log(G_LOG_LEVEL_CRITICAL, "critical", NULL);
		all += drain();
	}
	EXPECT_EQ(count(all, "critical"), 100u);
	EXPECT_LT(count(all, "\"line\""), 10u * BURST);
}

} // namespace
