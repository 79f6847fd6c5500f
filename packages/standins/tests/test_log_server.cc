#include "harness.h"

extern "C" {
#include "log_server.h"
}

namespace
{
class LogServer : public Harness
{
      protected:
	struct vh_log_server s;

	void start(uint64_t retain_records = 0)
	{
		struct vh_log_faults none = {};
		GError *err = nullptr;

		ASSERT_TRUE(vh_log_server_start(&s, &kernel, 0, &none,
						retain_records, 0, 1, &err));
	}

	void TearDown() override
	{
		vh_log_server_stop(&s);
		Harness::TearDown();
	}

	Reply append(const std::string &body)
	{
		return post(s.http.port, "/streams/a/records", body);
	}

	Reply read(uint64_t from, const std::string &more = "")
	{
		return get(s.http.port, "/streams/a/records?from=" +
						std::to_string(from) + more);
	}

	void control(const std::string &json)
	{
		ASSERT_EQ(post(s.http.port, "/control", json).status, 200);
	}
};
} // namespace

TEST_F(LogServer, ReadsAppendedRecordsByOffset)
{
	start();
	EXPECT_EQ(append("x").body, "{\"offset\":1}");
	EXPECT_EQ(append("yy").body, "{\"offset\":2}");
	EXPECT_EQ(read(1).body, std::string("\x93\x01\x03\x92\x92\x01\xc4\x01x"
					    "\x92\x02\xc4\x02yy",
					    15));
	EXPECT_EQ(read(2).body,
		  std::string("\x93\x01\x03\x91\x92\x02\xc4\x02yy", 10));
	EXPECT_EQ(read(9).body, std::string("\x93\x01\x03\x90"));
}

TEST_F(LogServer, MaxBytesReturnsAtLeastOneRecord)
{
	start();
	append("aaaa");
	append("bbbb");
	EXPECT_EQ(read(1, "&max_bytes=5").body,
		  std::string("\x93\x01\x03\x91\x92\x01\xc4\x04"
			      "aaaa"));
	EXPECT_EQ(read(1, "&max_bytes=1").body.size(), 12u);
	EXPECT_EQ(read(1, "&max_bytes=8").body.size(), 20u);
}

TEST_F(LogServer, MissingStreamIsEmpty)
{
	start();
	EXPECT_EQ(read(1).body, std::string("\x93\x01\x01\x90"));
	EXPECT_EQ(get(s.http.port, "/streams//records").status, 404);
	EXPECT_EQ(get(s.http.port, "/other").status, 404);
}

TEST_F(LogServer, ReadWaitsForARecord)
{
	Reply waiting_reads;

	start();
	send(&waiting_reads, s.http.port,
	     "/streams/a/records?from=1&wait_ms=60000", nullptr);
	wait_for([&] { return s.waiting_reads->len == 1; });
	EXPECT_FALSE(waiting_reads.done);
	append("x");
	wait_for([&] { return waiting_reads.done; });
	EXPECT_EQ(waiting_reads.body,
		  std::string("\x93\x01\x02\x91\x92\x01\xc4\x01x"));
}

TEST_F(LogServer, ReadBelowTheRetentionReturns410)
{
	start(2);
	for (int i = 0; i < 5; i++)
		append("x");
	Reply r = read(3);

	EXPECT_EQ(r.status, 410);
	EXPECT_EQ(r.body, "{\"first\":4,\"next\":6}");
	EXPECT_EQ(read(4).status, 200);
}

TEST_F(LogServer, AppendWithoutReplyTakesEffect)
{
	start();
	control("{\"lose_replies\":1}");
	EXPECT_EQ(append("x").status, 0);
	control("{\"lose_replies\":0}");
	EXPECT_EQ(append("y").body, "{\"offset\":2}");
}

TEST_F(LogServer, DelayedAppendTakesEffectAfterTheConnectionClosed)
{
	start();
	control("{\"lose_replies\":1,\"effect_delay_ms\":50}");
	EXPECT_EQ(append("x").status, 0);
	wait_for([&] { return s.counters.appends == 1; });
	EXPECT_EQ(read(1).body,
		  std::string("\x93\x01\x02\x91\x92\x01\xc4\x01x"));
}

TEST_F(LogServer, RejectedAppendHasNoEffect)
{
	start();
	control("{\"reject\":1}");
	EXPECT_EQ(append("x").status, 503);
	control("{\"reject\":0,\"down\":\"refuse\"}");
	EXPECT_EQ(append("x").status, 503);
	control("{\"down\":true}");
	EXPECT_EQ(append("x").status, 0);
	EXPECT_EQ(read(1).status, 0);
	control("{\"down\":false}");
	EXPECT_EQ(append("y").body, "{\"offset\":1}");
}

TEST_F(LogServer, HungRequestsAreServedAfterTheOutage)
{
	Reply hung;
	std::string body = "x";

	start();
	control("{\"down\":\"hang\"}");
	send(&hung, s.http.port, "/streams/a/records", &body);
	wait_for([&] { return s.hung_requests->len == 1; });
	EXPECT_EQ(s.counters.appends, 0u);
	control("{\"down\":false}");
	wait_for([&] { return hung.done; });
	EXPECT_EQ(hung.body, "{\"offset\":1}");
}

TEST_F(LogServer, RefusesInvalidControlRequests)
{
	start();
	EXPECT_EQ(post(s.http.port, "/control", "{").status, 400);
	EXPECT_EQ(post(s.http.port, "/control", "{\"nope\":1}").status, 400);
	EXPECT_EQ(post(s.http.port, "/control", "[]").status, 400);
}
