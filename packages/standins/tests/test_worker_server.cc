#include "harness.h"

extern "C" {
#include "worker_server.h"
}

namespace
{
class WorkerServer : public Harness
{
      protected:
	struct vh_worker_server s;

	void SetUp() override
	{
		struct vh_worker_settings settings = {};
		struct vh_fleet fleet;
		GError *err = nullptr;

		Harness::SetUp();
		settings.max_runs = 100;
		settings.max_tokens = 100;
		settings.seed = 1;
		vh_fleet_generate(&fleet, 3);
		ASSERT_TRUE(vh_worker_server_start(&s, &kernel, &fleet,
						   &settings, &err));
		vh_fleet_finish(&fleet);
	}

	void TearDown() override
	{
		vh_worker_server_stop(&s);
		Harness::TearDown();
	}

	uint16_t port(int i)
	{
		return s.hosts[i].http.port;
	}

	/* A start order that does not expire. */
	static std::string start(const std::string &task,
				 const std::string &input, int cpu = 100)
	{
		return "{\"task\":\"" + task +
		       "\",\"attempt\":1,\"home\":\"home/shop/0\","
		       "\"home_epoch\":1,\"class\":\"batch\",\"service\":\"" +
		       (input.empty() ? "web" : "") +
		       "\",\"slots\":1,\"connections\":1,\"cpu_milli\":" +
		       std::to_string(cpu) + ",\"input\":\"" + input +
		       "\",\"not_after\":99999999999}";
	}

	static std::string sync(int epoch, const std::string &starts,
				const std::string &more = "")
	{
		return "{\"epoch\":" + std::to_string(epoch) +
		       ",\"lease_until\":99999999999,\"starts\":[" + starts +
		       "]" + more + "}";
	}

	void control(const std::string &json)
	{
		ASSERT_EQ(post(s.control.port, "/control", json).status, 200);
	}
};
} // namespace

TEST_F(WorkerServer, LongPollReturnsATaskEnd)
{
	Reply r = post(port(0), "/v1/sync",
		       sync(3, start("a/0", "run_ms=30 echo=hi"),
			    ",\"wait_ms\":60000"));

	EXPECT_EQ(r.status, 200);
	EXPECT_NE(r.body.find("\"end\":\"done\""), std::string::npos);
	EXPECT_NE(r.body.find("\"result\":\"a/0 echo=hi\""), std::string::npos);
	r = post(port(0), "/v1/sync", "{\"epoch\":3,\"ack\":1}");
	EXPECT_NE(r.body.find("\"ended\":[]"), std::string::npos);
}

TEST_F(WorkerServer, StaleEpochHasNoEffect)
{
	post(port(0), "/v1/sync", sync(5, ""));
	Reply r = post(port(0), "/v1/sync", sync(4, start("a/0", "run_ms=9")));

	EXPECT_EQ(r.status, 409);
	EXPECT_EQ(r.body, "{\"kind\":\"stale_epoch\",\"epoch\":5}");
	EXPECT_EQ(s.checker.run_starts, 0u);
}

TEST_F(WorkerServer, SyncForAnotherIncarnationHasNoEffect)
{
	post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=60000")));
	Reply r = post(port(0), "/v1/sync",
		       sync(5, start("b/0", "run_ms=9"),
			    ",\"incarnation\":\"north-a-r1-w1/9\",\"ack\":9,"
			    "\"stops\":[{\"task\":\"a/0\",\"attempt\":1,"
			    "\"mode\":\"kill\"}]"));

	EXPECT_EQ(r.status, 200);
	EXPECT_NE(
		r.body.find("\"task\":\"b/0\",\"attempt\":1,\"why\":\"late\""),
		std::string::npos);
	EXPECT_EQ(s.hosts[0].worker.tasks->len, 1u);
	r = post(port(0), "/v1/sync",
		 sync(5, start("b/0", "run_ms=60000"),
		      ",\"incarnation\":\"north-a-r1-w1/1\""));
	EXPECT_EQ(s.hosts[0].worker.tasks->len, 2u);
}

TEST_F(WorkerServer, FullSyncListsRunningTasks)
{
	Reply r = post(port(0), "/v1/sync",
		       sync(5, start("a/0", "run_ms=60000"), ",\"full\":true"));

	EXPECT_NE(r.body.find("\"task\":\"a/0\",\"attempt\":1,\"home\":"
			      "\"home/shop/0\",\"home_epoch\":1"),
		  std::string::npos);
}

TEST_F(WorkerServer, DetectsTheSameTaskOnTwoWorkers)
{
	post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=60000")));
	post(port(1), "/v1/sync", sync(5, start("a/0", "run_ms=60000")));
	Reply r = get(s.control.port, "/witness");

	EXPECT_EQ(s.checker.violation_counts[VH_I2_ONE_PLACE], 1u);
	EXPECT_NE(r.body.find("I2_one_place: a/0/1 started on"),
		  std::string::npos);
}

TEST_F(WorkerServer, RefusesAndDetectsOvercommitment)
{
	Reply r = post(port(0), "/v1/sync",
		       sync(5, start("a/0", "run_ms=60000", 16001)));

	EXPECT_NE(r.body.find("\"why\":\"full\""), std::string::npos);
	EXPECT_EQ(s.checker.violation_counts[VH_I1_CAPACITY], 1u);
}

TEST_F(WorkerServer, ServesRequestsWithReplicas)
{
	Reply r = post(port(0), "/v1/requests/web", "x");

	EXPECT_EQ(r.status, 503);
	EXPECT_EQ(r.not_run, "1");
	post(port(0), "/v1/sync", sync(5, start("a/0", "")));
	r = post(port(0), "/v1/requests/web/p?token=q&idempotent=0", "x");
	EXPECT_EQ(r.status, 200);
	EXPECT_EQ(r.body, "request \nx");
	r = post(port(0), "/v1/requests/web/p?token=q&idempotent=0", "x");
	EXPECT_EQ(s.checker.violation_counts[VH_I7_AT_MOST_ONCE], 1u);
	EXPECT_EQ(post(port(0), "/v1/requests/web?bytes=70000&status=404", "")
			  .body.size(),
		  70000u);
}

TEST_F(WorkerServer, FailedWorkerIsSilentAndRestartsEmpty)
{
	post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=60000")));
	control("{\"worker\":\"north-a-r1-w1\",\"fail\":true}");
	EXPECT_EQ(post(s.hosts[0].vm.port, "/v1/sync", sync(5, "")).status, 0);
	control("{\"worker\":\"north-a-r1-w1\",\"recover\":true}");
	Reply r = post(port(0), "/v1/sync", sync(4, "", ",\"full\":true"));

	EXPECT_EQ(r.status, 200);
	EXPECT_NE(r.body.find("\"running\":[],\"ended\":[]"),
		  std::string::npos);
	EXPECT_NE(r.body.find("north-a-r1-w1/3"), std::string::npos);
}

TEST_F(WorkerServer, PausedWorkerAnswersAfterThePause)
{
	Reply r;
	std::string body = sync(5, "");

	control("{\"worker\":\"north-a-r1-w1\",\"pause_ms\":60000}");
	send(&r, port(0), "/v1/sync", &body);
	wait_for([&] { return s.hosts[0].deferred->len == 1; });
	EXPECT_FALSE(r.done);
	control("{\"worker\":\"north-a-r1-w1\",\"pause_ms\":1}");
	wait_for([&] { return r.done; });
	EXPECT_EQ(r.status, 200);
}

TEST_F(WorkerServer, DroppedReplyTakesEffectAndLostRequestDoesNot)
{
	control("{\"worker\":\"north-a-r1-w1\",\"lose_requests\":1}");
	EXPECT_EQ(post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=1")))
			  .status,
		  0);
	EXPECT_EQ(s.checker.run_starts, 0u);
	control("{\"all\":true,\"lose_requests\":0,\"drop_replies\":1}");
	EXPECT_EQ(post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=1")))
			  .status,
		  0);
	EXPECT_EQ(s.checker.run_starts, 1u);
}

TEST_F(WorkerServer, ControlSetsTeamLimits)
{
	control("{\"limits\":{\"shop\":{\"tasks\":1}}}");
	post(port(0), "/v1/sync",
	     sync(5, start("a/0", "run_ms=60000") + "," +
			     start("a/1", "run_ms=60000")));
	EXPECT_EQ(s.checker.violation_counts[VH_I4_LIMITS], 1u);
}

TEST_F(WorkerServer, DetectsAStartAfterTheLeavingGrace)
{
	control("{\"worker\":\"north-a-r1-w1\",\"leave\":true}");
	s.hosts[0].worker.leaving_since_ms -= 10;
	post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=1")));
	EXPECT_EQ(s.checker.violation_counts[VH_I8_LEAVING], 1u);
}

TEST_F(WorkerServer, TokensReturnsTheNumberOfStarts)
{
	post(port(0), "/v1/sync", sync(5, start("a/0", "run_ms=1 token=k")));
	std::string body =
		post(s.control.port, "/tokens", "{\"tokens\":[\"k\",\"z\"]}")
			.body;

	EXPECT_NE(body.find("\"k\":[1,"), std::string::npos);
	EXPECT_NE(body.find("\"z\":[0,0]"), std::string::npos);
}

TEST_F(WorkerServer, RefusesUnknownWorker)
{
	EXPECT_EQ(post(s.control.port, "/control",
		       "{\"worker\":\"nope\",\"fail\":true}")
			  .status,
		  400);
}
