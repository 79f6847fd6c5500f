#include "harness.h"

/* Malformed and oversized input, slow callers, and graceful shutdown. */
class Limits : public GatewayTest
{
      protected:
	void SetUp() override
	{
		GatewayTest::SetUp();
		settings.max_body_bytes = 1u << 20;
		settings.read_timeout_ms = 300;
	}

	bool drained()
	{
		return run_until(
			[&] { return vh_gateway_service(gateway)->drained; });
	}

	static void connect_late(void *ctx)
	{
		auto *t = static_cast<Limits *>(ctx);

		t->late_caller = t->connect_caller();
		t->late_caller->request("GET", "/v1/jobs/shop.0.1.1",
					"shop-key");
	}

	Client *late_caller = nullptr;

	/* Other callers must still be served. */
	void expect_others_served()
	{
		auto *c = connect_caller();

		c->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
		ASSERT_TRUE(wait_for_responses(c));
		EXPECT_EQ(c->status(), 200);
	}
};

TEST_F(Limits, BodyOfSixtyFourMegabytes)
{
	/* evhttp responds with 413 only after it has discarded the body. */
	settings.read_timeout_ms = 20000;
	start();
	auto *c = connect_caller();
	std::string part(1 << 16, 'x');

	c->send("POST /v1/queues/open/jobs HTTP/1.1\r\nHost: n\r\n"
		"Authorization: Bearer shop-key\r\n"
		"Content-Length: 67108864\r\n\r\n");
	for (int i = 0; i < 1024; i++)
		c->send(part);
	ASSERT_TRUE(run_until([&] { return c->status() == 413; }));
	EXPECT_EQ(core->submitted.size(), 0u);
	expect_others_served();
}

TEST_F(Limits, OversizedHeader)
{
	start();
	auto *c = connect_caller();

	c->send("GET / HTTP/1.1\r\nX: " + std::string(100000, 'x') +
		"\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return c->closed || c->status(); }));
	EXPECT_NE(c->status(), 200);
	expect_others_served();
}

TEST_F(Limits, SlowRequestIsCutOff)
{
	start();
	auto *c = connect_caller();
	std::string request = "GET /v1/jobs/shop.0.1.1 HTTP/1.1\r\n";
	size_t sent = 0;

	EXPECT_TRUE(run_until([&] {
		run_until([] { return false; }, 40);
		if (sent < request.size())
			c->send(request.substr(sent++, 1));
		return c->closed;
	}));
	EXPECT_LT(sent, request.size())
		<< "cut off before the request was complete";
	expect_others_served();
}

TEST_F(Limits, NonHttpInput)
{
	start();
	auto *c = connect_caller();

	c->send("\x83\xa1g\r\n\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return c->closed || c->status(); }));
	EXPECT_NE(c->status(), 200);
	expect_others_served();
}

TEST_F(Limits, ConnectionsBeyondTheLimitWait)
{
	settings.max_connections = 2;
	settings.idle_timeout_ms = 300;
	start();
	auto *a = connect_caller(), *b = connect_caller();

	a->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	b->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(a) && wait_for_responses(b));
	auto *c = connect_caller();

	c->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(c))
		<< "served when idle ones are closed";
	EXPECT_TRUE(a->closed || b->closed);
}

TEST_F(Limits, DrainReportsNotReadyThenClosesIdleConnections)
{
	start();
	auto *idle = connect_caller(), *o = connect_operator();

	idle->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(idle));
	vh_kernel_drain(&kernel);
	o->request("GET", "/readyz", "");
	ASSERT_TRUE(wait_for_responses(o));
	EXPECT_EQ(o->status(), 503);
	expect_others_served();
	EXPECT_FALSE(idle->closed);
	ASSERT_TRUE(drained());
	EXPECT_TRUE(run_until([&] { return idle->closed; }));
}

TEST_F(Limits, DrainServesARequestOnAnIdleConnection)
{
	start();
	auto *idle = connect_caller();

	idle->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(idle));
	vh_kernel_drain(&kernel);
	idle->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(idle, 2));
	EXPECT_EQ(idle->status(1), 200);
	EXPECT_EQ(idle->header("Connection", 1), "close");
	EXPECT_TRUE(drained());
}

TEST_F(Limits, DrainFinishesAPartlySentRequest)
{
	settings.read_timeout_ms = 5000;
	settings.drain_settle_ms = 50;
	start();
	auto *c = connect_caller();

	c->send("GET /v1/jobs/shop.0.1.1 HTTP/1.1\r\nHost: n\r\n");
	run_until([] { return false; }, 50);
	vh_kernel_drain(&kernel);
	run_until([] { return false; }, 700);
	EXPECT_FALSE(vh_gateway_service(gateway)->drained);
	c->send("Authorization: Bearer shop-key\r\n\r\n");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 200);
	EXPECT_TRUE(drained());
}

// The listener was closed with a connection in its backlog, which was reset.
TEST_F(Limits, DrainServesAConnectionNotYetAcceptedWhenTheListenerIsDue)
{
	constexpr useconds_t LONGER_THAN_SWEEP_US = 600000;
	struct vh_timer busy;

	settings.drain_settle_ms = 50;
	start();
	late_caller = nullptr;
	vh_timer_init(&busy, &kernel, connect_late, this);
	vh_kernel_drain(&kernel);
	/* The sweep and then the close of the listener are due behind it. */
	vh_timer_start(&busy, 0);
	usleep(LONGER_THAN_SWEEP_US);
	ASSERT_TRUE(run_until([&] { return late_caller != nullptr; }));
	EXPECT_TRUE(run_until([&] {
		return late_caller->closed || late_caller->response_count();
	}));
	EXPECT_EQ(late_caller->response_count(), 1u);
	EXPECT_TRUE(drained());
	vh_timer_finish(&busy);
}

// Connections that waited at the connection limit were reset when the listener was
// closed.
TEST_F(Limits, DrainServesAConnectionThatWaitsAtTheLimit)
{
	settings.drain_settle_ms = 50;
	settings.max_connections = 1;
	start();
	auto *a = connect_caller();

	a->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	ASSERT_TRUE(wait_for_responses(a));
	auto *b = connect_caller();

	b->request("GET", "/v1/jobs/shop.0.1.1", "shop-key");
	vh_kernel_drain(&kernel);
	EXPECT_TRUE(
		run_until([&] { return b->closed || b->response_count(); }));
	EXPECT_EQ(b->response_count(), 1u);
	EXPECT_TRUE(drained());
}

TEST_F(Limits, DrainAnswersLongPollWithCurrentState)
{
	start();
	auto *c = connect_caller();

	c->request("GET", "/v1/jobs/shop.0.1.1?wait=60", "shop-key");
	ASSERT_TRUE(run_until([&] { return core->held_gets.size() == 1; }));
	vh_kernel_drain(&kernel);
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 200);
	EXPECT_EQ(c->body(), "{\"state\":\"waiting\"}");
	EXPECT_TRUE(drained());
	core->held_gets[0].done(core->held_gets[0].ctx, VH_OK,
				vh_slice_str("{}"));
}

TEST_F(Limits, DrainWaitsForRunningRequests)
{
	core->hold_submits = true;
	start();
	auto *c = connect_caller();

	c->request("POST", "/v1/queues/open/jobs", "shop-key",
		   "{\"tasks\":[{\"cpus\":1,\"memory_mb\":1}]}");
	ASSERT_TRUE(run_until([&] { return core->held_submits.size() == 1; }));
	vh_kernel_drain(&kernel);
	run_until([] { return false; }, 900);
	EXPECT_FALSE(vh_gateway_service(gateway)->drained);
	FakeCore::complete_submit(core->held_submits[0]);
	core->held_submits.clear();
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 202);
	EXPECT_TRUE(drained());
}
