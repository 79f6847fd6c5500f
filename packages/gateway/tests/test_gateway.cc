#include "harness.h"

using Gateway = GatewayTest;

namespace
{
const char job[] = "{\"tasks\":[{\"cpus\":0.5,\"memory_mb\":256}]}";

bool has(const std::string &text, const char *part)
{
	return text.find(part) != std::string::npos;
}
} // namespace

TEST_F(Gateway, RespondsByRouteAndKey)
{
	struct {
		const char *method, *path, *key, *body;
		int status;
		const char *contains;
	} rows[] = {
		{ "POST", "/v1/queues/open/jobs", "shop-key", job, 202,
		  "{\"id\":\"shop.0.1.1\"}" },
		{ "POST", "/v1/queues/checks/jobs", "shop-key", job, 202,
		  "id" },
		{ "POST", "/v1/queues/checks/jobs", "yard-key", job, 403,
		  "\"kind\":\"forbidden\"" },
		{ "POST", "/v1/queues/none/jobs", "shop-key", job, 404,
		  "no such queue" },
		{ "POST", "/v1/queues/open/jobs", "", job, 401,
		  "\"outcome\":\"not_run\"" },
		{ "POST", "/v1/queues/open/jobs", "bad-key", job, 401,
		  "unauthenticated" },
		{ "POST", "/v1/queues/open/jobs", "shop-key",
		  "{\"tasks\":", 400, "not valid JSON" },
		{ "GET", "/v1/queues/open/jobs", "shop-key", "", 405,
		  "method_not_allowed" },
		{ "GET", "/v1/jobs/shop.0.1.1", "shop-key", "", 200,
		  "waiting" },
		{ "GET", "/v1/jobs/shop.0.1.1", "yard-key", "", 404,
		  "not_found" },
		{ "GET", "/v1/jobs/shop.0.1.1?wait=x", "shop-key", "", 400,
		  "wait" },
		{ "DELETE", "/v1/jobs/shop.0.1.1", "shop-key", "", 200,
		  "cancelled" },
		{ "DELETE", "/v1/jobs/shop.0.1.1", "yard-key", "", 404,
		  "not_found" },
		{ "POST", "/v1/services/none/requests", "shop-key", "", 404,
		  "no such service" },
		{ "GET", "/", "shop-key", "", 404, "no such path" },
		{ "GET", "/v1/queues//jobs", "shop-key", "", 404, "not_found" },
	};

	start();
	for (auto &row : rows) {
		auto *c = connect_caller();

		c->request(row.method, row.path, row.key, row.body);
		ASSERT_TRUE(wait_for_responses(c)) << row.path;
		EXPECT_EQ(c->status(), row.status) << row.path << row.key;
		EXPECT_TRUE(has(c->body(), row.contains)) << c->body();
	}
}

TEST_F(Gateway, SubmitsCarryTeamKeyAndUniqueRequestId)
{
	auto *c = (start(), connect_caller());

	c->request("POST", "/v1/queues/open/jobs", "shop-key", job,
		   "Idempotency-Key: k1\r\n");
	c->request("POST", "/v1/queues/open/jobs", "shop-key", job);
	ASSERT_TRUE(wait_for_responses(c, 2));
	ASSERT_EQ(core->submitted.size(), 2u);
	EXPECT_EQ(core->submitted[0].team, "shop");
	EXPECT_EQ(core->submitted[0].key, "k1");
	EXPECT_EQ(core->submitted[1].key, "");
	EXPECT_NE(core->submitted[0].request, core->submitted[1].request);
	EXPECT_EQ(c->header("Vh-Request-Id", 1), core->submitted[1].request);
}

TEST_F(Gateway, SubmitIsRetriedWithTheSameRequestId)
{
	auto *c = (start(), connect_caller());

	core->submit_errors = { VH_ERR_UNREACHABLE, VH_ERR_UNKNOWN_OUTCOME };
	c->request("POST", "/v1/queues/open/jobs", "shop-key", job);
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 202);
	ASSERT_EQ(core->submitted.size(), 3u);
	EXPECT_EQ(core->submitted[0].request, core->submitted[2].request);
}

TEST_F(Gateway, OwnerRefusalIsForwardedWithRetryAfter)
{
	auto *c = (start(), connect_caller());

	core->submit_errors = { VH_ERR_LOG_UNAVAILABLE };
	c->request("POST", "/v1/queues/open/jobs", "shop-key", job);
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 503);
	EXPECT_EQ(c->header("Retry-After"), "5");
	EXPECT_TRUE(has(c->body(), "\"outcome\":\"not_run\""));
}

TEST_F(Gateway, WithdrawnKeyIsRefusedOnKeepAliveAndLongPolls)
{
	auto *c = (start(), connect_caller()), *poll = connect_caller(),
	     *other = connect_caller();

	c->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	poll->request("GET", "/v1/jobs/shop.0.1.1?wait=30", "shop-key");
	other->request("GET", "/v1/jobs/yard.0.1.1?wait=30", "yard-key");
	ASSERT_TRUE(wait_for_responses(c));
	ASSERT_TRUE(run_until([&] { return core->held_gets.size() == 2; }));
	core->load(withdraw_key(ini(), "shop-1"));
	ASSERT_TRUE(wait_for_responses(poll));
	EXPECT_EQ(poll->status(), 401);
	c->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(c, 2));
	EXPECT_EQ(c->status(1), 401);
	EXPECT_EQ(other->response_count(), 0u);
	for (auto &h : core->held_gets)
		h.done(h.ctx, VH_OK, vh_slice_str("{}"));
	ASSERT_TRUE(wait_for_responses(other));
	EXPECT_EQ(other->status(), 200);
}

TEST_F(Gateway, WithdrawnKeyRefusesQueuedRequests)
{
	settings.max_active = 1;
	core->hold_submits = true;
	auto *first = (start(), connect_caller()), *second = connect_caller();

	first->request("POST", "/v1/queues/open/jobs", "yard-key", job);
	ASSERT_TRUE(run_until([&] { return core->held_submits.size() == 1; }));
	second->request("POST", "/v1/queues/open/jobs", "shop-key", job);
	run_until([] { return false; }, 50);
	EXPECT_EQ(core->submitted.size(), 1u);
	core->load(withdraw_key(ini(), "shop-1"));
	ASSERT_TRUE(wait_for_responses(second));
	EXPECT_EQ(second->status(), 401);
	FakeCore::complete_submit(core->held_submits[0]);
	core->held_submits.clear();
	ASSERT_TRUE(wait_for_responses(first));
	EXPECT_EQ(first->status(), 202);
	EXPECT_EQ(core->submitted.size(), 1u);
}

TEST_F(Gateway, EnforcesTeamRateLimit)
{
	auto *c = (start(), connect_caller());

	for (int i = 0; i < 4; i++)
		c->request("POST", "/v1/queues/open/jobs", "rare-key", job);
	ASSERT_TRUE(wait_for_responses(c, 4));
	EXPECT_EQ(c->status(1), 202);
	EXPECT_EQ(c->status(3), 429);
	EXPECT_EQ(c->header("Retry-After", 3), "1");
}

TEST_F(Gateway, NotReadyWithoutConfiguration)
{
	GError *err = nullptr;

	gateway = vh_gateway_new(&settings, &kernel);
	vh_kernel_add(&kernel, vh_gateway_service(gateway));
	ASSERT_TRUE(vh_kernel_start(&kernel, &err));
	auto *c = connect_caller(), *o = connect_operator();

	c->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	o->request("GET", "/readyz", "");
	ASSERT_TRUE(wait_for_responses(c) && wait_for_responses(o));
	EXPECT_EQ(c->status(), 503);
	EXPECT_EQ(o->status(), 503);
}

TEST_F(Gateway, DisconnectReleasesActiveSlot)
{
	settings.max_active = 1;
	core->hold_submits = true;
	auto *first = (start(), connect_caller()), *second = connect_caller();

	first->request("POST", "/v1/queues/open/jobs", "shop-key", job);
	ASSERT_TRUE(run_until([&] { return core->held_submits.size() == 1; }));
	second->request("POST", "/v1/queues/open/jobs", "shop-key", job);
	first->close();
	ASSERT_TRUE(run_until([&] { return core->held_submits.size() == 2; }));
	for (auto *pending : core->held_submits)
		FakeCore::complete_submit(pending);
	core->held_submits.clear();
	ASSERT_TRUE(wait_for_responses(second));
	EXPECT_EQ(second->status(), 202);
}

TEST_F(Gateway, OperatorRoutesAndTokens)
{
	struct {
		const char *method, *path, *key;
		int status;
		const char *contains;
	} rows[] = {
		{ "GET", "/healthz", "", 200, "ok" },
		{ "GET", "/readyz", "", 200, "ready" },
		{ "GET", "/metrics", "", 401, "unauthenticated" },
		{ "GET", "/v1/config", "shop-key", 401, "unauthenticated" },
		{ "GET", "/v1/config", "op-token", 200, "[team \"shop\"]" },
		{ "GET", "/v1/config?version=7", "op-token", 404, "kept" },
		{ "GET", "/v1/config/history", "op-token", 200, "versions" },
		{ "GET", "/v1/explain/shop.0.1.1", "op-token", 200, "no room" },
		{ "GET", "/v1/status", "op-token", 503, "not_ready" },
		{ "GET", "/metrics", "op-token", 200,
		  "vh_invariant_checked_total{invariant=\"I3_keys\"}" },
		{ "POST", "/v1/config?base=0", "op-token", 422, "problems" },
		{ "POST", "/v1/config", "op-token", 400, "base" },
		{ "GET", "/v1/nothing", "op-token", 404, "not_found" },
	};

	start();
	for (auto &row : rows) {
		auto *c = connect_operator();

		c->request(row.method, row.path, row.key, "[nonsense]\n");
		ASSERT_TRUE(wait_for_responses(c)) << row.path;
		EXPECT_EQ(c->status(), row.status) << row.path;
		EXPECT_TRUE(has(c->body(), row.contains)) << c->body();
	}
}

TEST_F(Gateway, PublishRecordsAuthorAndReportsConflicts)
{
	auto *c = (start(), connect_operator());
	std::string changed = ini() + "[queue \"late\"]\n";

	c->request("POST", "/v1/config?base=1", "op-token", changed,
		   "Vh-Publish-Id: p-1\r\n");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->body(), "{\"version\":2}");
	EXPECT_EQ(core->author, "amir/p-1");
	c->request("POST", "/v1/config?base=1", "op-token", ini());
	ASSERT_TRUE(wait_for_responses(c, 2));
	EXPECT_EQ(c->status(1), 409);
	EXPECT_TRUE(has(c->body(1), "\"base\":1,\"version\":2"));
	EXPECT_TRUE(has(c->body(1), "\"differs\":[\"queue \\\"late\\\"\"]"))
		<< c->body(1);
}

TEST_F(Gateway, SingleNodeTrustsKeysWithoutTheLog)
{
	auto *c = (start(), connect_caller());

	core->age_ms = 60000;
	c->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 200) << "a single node keeps trusting its keys";
}
