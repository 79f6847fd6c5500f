#include "harness.h"

#include <map>

extern "C" {
#include "loadgen.h"
#include "worker_server.h"
}

namespace
{
/* A simulated entry node whose responses come from @handle. */
struct FakeNode {
	struct vh_httpd http;
	std::function<void(struct vh_httpd_req *)> handle;

	static void on_request(void *ctx, struct vh_httpd_req *req)
	{
		static_cast<FakeNode *>(ctx)->handle(req);
	}
};

std::string header(struct vh_httpd_req *req, const char *name)
{
	const char *v = evhttp_find_header(
		evhttp_request_get_input_headers(req->ev), name);

	return v ? v : "";
}

void reply(struct vh_httpd_req *req, int status, const std::string &body)
{
	vh_httpd_reply(req, status, "application/json",
		       vh_slice(body.data(), body.size()));
}

std::string job_json(const std::string &id, const std::string &echo,
		     const std::string &state = "done",
		     const std::string &outcome = "ran")
{
	return "{\"id\":\"" + id + "\",\"state\":\"" + state +
	       "\",\"class\":\"batch\",\"tasks\":[{\"result\":\"" + id +
	       "/0 echo=" + echo + "\",\"outcome\":\"" + outcome + "\"}]}";
}

class Loadgen : public Harness
{
      protected:
	struct vh_profile profile = {};
	struct vh_profile_team team = {};
	struct vh_profile_workload workload = {};
	struct vh_worker_server workers;
	struct vh_loadgen load;
	FakeNode a, b;
	std::map<std::string, int> submits; /* by idempotency key */
	bool done = false;

	void SetUp() override
	{
		struct vh_worker_settings settings = {};
		struct vh_fleet fleet;
		GError *err = nullptr;

		Harness::SetUp();
		settings.max_tokens = 100;
		vh_fleet_generate(&fleet, 1);
		ASSERT_TRUE(vh_worker_server_start(&workers, &kernel, &fleet,
						   &settings, &err));
		vh_fleet_finish(&fleet);
		for (FakeNode *n : { &a, &b }) {
			vh_httpd_init(&n->http, &kernel, FakeNode::on_request,
				      n);
			ASSERT_TRUE(vh_httpd_start(&n->http, 0, &err));
			n->handle = [this](struct vh_httpd_req *r) {
				serve(r);
			};
		}
		team.name = const_cast<char *>("shop");
		team.key = const_cast<char *>("secret");
		team.weight = 1;
		workload.name = const_cast<char *>("w");
		workload.queue = const_cast<char *>("q");
		workload.weight = 1;
		workload.tasks = { 1, 1 };
		workload.cpu_milli = { 100, 100 };
		workload.memory_mb = { 10, 10 };
		profile.teams = &team;
		profile.n_teams = 1;
		profile.workloads = &workload;
		profile.n_workloads = 1;
		profile.max_open = 10;
	}

	void TearDown() override
	{
		vh_loadgen_finish(&load);
		vh_httpd_stop(&a.http);
		vh_httpd_stop(&b.http);
		vh_worker_server_stop(&workers);
		Harness::TearDown();
	}

	static std::string token(const std::string &key)
	{
		return key + ".0";
	}

	void record_start(const std::string &key)
	{
		vh_checker_token_started(&workers.checker, token(key).c_str(),
					 true, "w1", vh_kernel_now_ms(&kernel));
	}

	/* Serves as a cell without faults. The idempotency key of a job is
	 * its id. */
	void serve(struct vh_httpd_req *req)
	{
		if (evhttp_request_get_command(req->ev) == EVHTTP_REQ_POST) {
			std::string key = header(req, "Idempotency-Key");

			if (submits[key]++ == 0)
				record_start(key);
			reply(req, 202, "{\"id\":\"" + key + "\"}");
			return;
		}
		std::string id = req->path + strlen("/v1/jobs/");

		reply(req, 200, job_json(id, token(id)));
	}

	void run(int n = 3, int64_t answer_timeout_ms = kTimeoutMs)
	{
		struct vh_loadgen_settings s = {};
		uint16_t ports[] = { a.http.port, b.http.port };

		s.profile = &profile;
		s.nodes = ports;
		s.n_nodes = 2;
		s.checker_port = workers.control.port;
		s.rate_per_s = 1000;
		s.duration_ms = n;
		s.answer_timeout_ms = answer_timeout_ms;
		s.seed = 1;
		vh_loadgen_init(
			&load, &kernel, &s,
			[](void *ctx) { *static_cast<bool *>(ctx) = true; },
			&done);
		vh_loadgen_start(&load);
		wait_for([&] { return done; });
	}

	uint64_t outcome_count(enum vh_loadgen_outcome f)
	{
		return load.stats.outcomes[f];
	}
};
} // namespace

TEST_F(Loadgen, CountsEveryAnswer)
{
	run();
	EXPECT_EQ(load.stats.sent, 3u);
	EXPECT_EQ(outcome_count(VH_LOADGEN_ANSWERED), 3u);
	EXPECT_EQ(load.stats.task_starts, 3u);
	EXPECT_TRUE(vh_loadgen_stats_consistent(&load.stats));
	EXPECT_EQ(g_tree_nnodes(load.stats.waits), 1);
}

TEST_F(Loadgen, RetriesALostAnswerWithTheSameKey)
{
	int dropped = 0;

	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		if (evhttp_request_get_command(req->ev) == EVHTTP_REQ_POST &&
		    dropped++ == 0) {
			submits[header(req, "Idempotency-Key")]++;
			record_start(header(req, "Idempotency-Key"));
			vh_httpd_drop(req);
			return;
		}
		serve(req);
	};
	run(1);
	EXPECT_EQ(outcome_count(VH_LOADGEN_ANSWERED), 1u);
	EXPECT_EQ(submits.size(), 1u);
	EXPECT_EQ(submits.begin()->second, 2);
	EXPECT_TRUE(vh_loadgen_stats_consistent(&load.stats));
}

TEST_F(Loadgen, UsesAnotherNodeIfOneIsDown)
{
	vh_httpd_stop(&b.http);
	run(4);
	EXPECT_EQ(outcome_count(VH_LOADGEN_ANSWERED), 4u);
	EXPECT_TRUE(vh_loadgen_stats_consistent(&load.stats));
}

TEST_F(Loadgen, AnswerOfAnotherJobIsIncorrect)
{
	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		if (evhttp_request_get_command(req->ev) == EVHTTP_REQ_POST)
			serve(req);
		else
			reply(req, 200,
			      job_json(req->path + strlen("/v1/jobs/"),
				       "other.0"));
	};
	run(1);
	EXPECT_EQ(outcome_count(VH_LOADGEN_INCORRECT), 1u);
	EXPECT_FALSE(vh_loadgen_stats_consistent(&load.stats));
}

TEST_F(Loadgen, UnknownAcceptedJobIsIncorrect)
{
	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		if (evhttp_request_get_command(req->ev) == EVHTTP_REQ_POST)
			serve(req);
		else
			reply(req, 404, "{}");
	};
	run(1);
	EXPECT_EQ(outcome_count(VH_LOADGEN_INCORRECT), 1u);
}

TEST_F(Loadgen, CorrectRefusalIsConsistent)
{
	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		reply(req, 403,
		      "{\"error\":{\"kind\":\"forbidden\",\"message\":\"\","
		      "\"outcome\":\"not_run\"}}");
	};
	run(2);
	EXPECT_EQ(outcome_count(VH_LOADGEN_REFUSED), 2u);
	EXPECT_TRUE(vh_loadgen_stats_consistent(&load.stats));
	auto *n = static_cast<uint64_t *>(
		g_tree_lookup(load.stats.refusals, "forbidden"));
	ASSERT_NE(n, nullptr);
	EXPECT_EQ(*n, 2u);
}

TEST_F(Loadgen, RefusalOfAStartedTaskIsInconsistent)
{
	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		record_start(header(req, "Idempotency-Key"));
		reply(req, 403,
		      "{\"error\":{\"kind\":\"forbidden\",\"message\":\"\","
		      "\"outcome\":\"not_run\"}}");
	};
	run(1);
	EXPECT_EQ(outcome_count(VH_LOADGEN_REFUSED), 1u);
	EXPECT_FALSE(vh_loadgen_stats_consistent(&load.stats));
}

TEST_F(Loadgen, RefusalAfterAnUncertainTryIsUnknown)
{
	int tries = 0;

	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		if (tries++ == 0)
			vh_httpd_drop(req);
		else
			reply(req, 403,
			      "{\"error\":{\"kind\":\"forbidden\","
			      "\"message\":\"\",\"outcome\":\"not_run\"}}");
	};
	run(1);
	EXPECT_EQ(outcome_count(VH_LOADGEN_UNKNOWN), 1u);
	EXPECT_TRUE(vh_loadgen_stats_consistent(&load.stats));
}

TEST_F(Loadgen, NoFinalStateIsATimeout)
{
	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		if (evhttp_request_get_command(req->ev) == EVHTTP_REQ_POST)
			serve(req);
		else
			reply(req, 200, job_json("x", "", "running"));
	};
	run(1, 50);
	EXPECT_EQ(outcome_count(VH_LOADGEN_TIMED_OUT), 1u);
	EXPECT_FALSE(vh_loadgen_stats_consistent(&load.stats));
}

TEST_F(Loadgen, AnswerWithoutAStartIsInconsistent)
{
	a.handle = b.handle = [&](struct vh_httpd_req *req) {
		std::string key = header(req, "Idempotency-Key");

		if (!key.empty())
			reply(req, 202, "{\"id\":\"" + key + "\"}");
		else
			serve(req);
	};
	run(1);
	EXPECT_EQ(outcome_count(VH_LOADGEN_ANSWERED), 1u);
	EXPECT_FALSE(vh_loadgen_stats_consistent(&load.stats));
}
