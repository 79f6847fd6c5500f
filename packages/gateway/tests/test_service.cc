#include "upstreams.h"

using Service = ServiceTest;

namespace
{
bool has(const std::string &text, const char *part)
{
	return text.find(part) != std::string::npos;
}

void echo(const FakeUpstream::Request &r)
{
	r.respond("echo:" + r.body);
}
} // namespace

TEST_F(Service, ForwardsStatusHeadersAndBody)
{
	auto *u = add_upstream([](const FakeUpstream::Request &r) {
		r.respond("no argon", 404, "X-Shelf: 7\r\n");
	});

	start();
	auto *c = send_request();
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 404);
	EXPECT_EQ(c->body(), "no argon");
	EXPECT_EQ(c->header("X-Shelf"), "7");
	EXPECT_EQ(c->header("Vh-Upstream"), "w-0");
	ASSERT_EQ(u->requests.size(), 1u);
	EXPECT_EQ(u->requests[0].body, "argon?");
	EXPECT_TRUE(has(u->requests[0].head, "POST /v1/requests/stock HTTP"));
	EXPECT_TRUE(has(u->requests[0].head, "Vh-Team: shop"));
	EXPECT_FALSE(has(u->requests[0].head, "shop-key"));
}

TEST_F(Service, BodiesFromEmptyToSixteenMegabytes)
{
	size_t sizes[] = { 0, 1, 16383, 16384, 100000, 16u << 20 };
	size_t next = 0;

	settings.max_body_bytes = 20u << 20;
	add_upstream([&](const FakeUpstream::Request &r) {
		r.respond(std::string(sizes[next], 'a'));
	});
	start();
	for (next = 0; next < sizeof(sizes) / sizeof(sizes[0]); next++) {
		auto *c = send_request();

		ASSERT_TRUE(wait_for_responses(c)) << sizes[next];
		EXPECT_EQ(c->body().size(), sizes[next]);
	}
}

TEST_F(Service, ScriptedUpstreamFailures)
{
	using R = FakeUpstream::Request;
	struct {
		const char *name;
		FakeUpstream::Script first;
		int idempotent_status; /* after a retry on another upstream */
		int refund_status;
		const char *refund_outcome;
	} rows[] = {
		{ "reset after execution", [](const R &r) { r.shut_down(); },
		  200, 502, "unknown" },
		{ "closed in the middle of the body",
		  [](const R &r) {
			  r.send_raw(
				  "HTTP/1.1 200 X\r\nVh-Request-Id: " + r.id +
				  "\r\nContent-Length: 10\r\n\r\nhalf");
			  r.shut_down();
		  },
		  200, 502, "unknown" },
		{ "response to another request",
		  [](const R &r) {
			  r.send_raw(
				  "HTTP/1.1 200 X\r\nVh-Request-Id: other\r\n"
				  "Content-Length: 2\r\n\r\nno");
		  },
		  200, 502, "unknown" },
		{ "response without request id",
		  [](const R &r) {
			  r.send_raw(
				  "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n"
				  "no");
		  },
		  200, 502, "unknown" },
		{ "neither length nor chunked",
		  [](const R &r) {
			  r.send_raw("HTTP/1.1 200 X\r\nVh-Request-Id: " +
				     r.id + "\r\n\r\npart");
			  r.shut_down();
		  },
		  200, 502, "unknown" },
		{ "not HTTP", [](const R &r) { r.send_raw("hello\r\n\r\n"); },
		  200, 502, "unknown" },
		{ "refused as not run",
		  [](const R &r) {
			  r.send_raw("HTTP/1.1 503 X\r\nVh-Not-Run: 1\r\n"
				     "Content-Length: 0\r\n\r\n");
		  },
		  200, 200, "" },
		{ "refusal of another request",
		  [](const R &r) {
			  r.send_raw("HTTP/1.1 503 X\r\nVh-Not-Run: 1\r\n"
				     "Vh-Request-Id: other\r\n"
				     "Content-Length: 0\r\n\r\n");
		  },
		  200, 502, "unknown" },
	};

	size_t row = 0;
	int seen = 0;
	auto script = [&](const R &r) {
		if (seen++ == 0)
			rows[row].first(r);
		else
			echo(r);
	};

	add_upstream(script);
	add_upstream(script);
	start();
	for (row = 0; row < sizeof(rows) / sizeof(rows[0]); row++) {
		seen = 0;
		auto *c = send_request("stock");
		ASSERT_TRUE(wait_for_responses(c)) << rows[row].name;
		EXPECT_EQ(c->status(), rows[row].idempotent_status)
			<< rows[row].name << c->body();
		EXPECT_EQ(c->body(), "echo:argon?") << rows[row].name;
		seen = 0;
		c = send_request("refunds", "pay");
		ASSERT_TRUE(wait_for_responses(c)) << rows[row].name;
		EXPECT_EQ(c->status(), rows[row].refund_status)
			<< rows[row].name << c->body();
		EXPECT_TRUE(has(c->body(), rows[row].refund_outcome))
			<< rows[row].name;
	}
}

TEST_F(Service, DuplicateAndLateResponsesReachNoOtherRequest)
{
	std::vector<FakeUpstream::Request> held;

	auto *u = add_upstream([&](const FakeUpstream::Request &r) {
		if (r.body == "twice") {
			r.respond("one");
			r.respond("two");
		} else if (r.body == "late") {
			held.push_back(r);
		} else {
			echo(r);
		}
	});
	/* At most one connection at a time, which the requests share. */
	upstream_list[0].size.v[VH_CONNS] = 1;
	start();
	auto *c = send_request("stock", "twice");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->body(), "one");
	auto *next = send_request("stock", "next");
	ASSERT_TRUE(wait_for_responses(next));
	EXPECT_EQ(next->body(), "echo:next");
	auto *late = send_request("stock", "late", "Vh-Timeout-Ms: 50\r\n");
	ASSERT_TRUE(wait_for_responses(late));
	EXPECT_EQ(late->status(), 504);
	EXPECT_TRUE(has(late->body(), "\"outcome\":\"unknown\""));
	ASSERT_EQ(held.size(), 1u);
	if (u->conns.count(held[0].bev))
		held[0].respond("too late");
	auto *after = send_request("stock", "after");
	ASSERT_TRUE(wait_for_responses(after));
	EXPECT_EQ(after->body(), "echo:after");
}

TEST_F(Service, NoResponseIsUnknownAndNoUpstreamIsNotRun)
{
	add_upstream([](const FakeUpstream::Request &) {});
	start();
	auto *c = send_request("stock", "x", "Vh-Timeout-Ms: 60\r\n");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 504);
	EXPECT_TRUE(has(c->body(), "\"outcome\":\"unknown\""));
	upstream_list.clear();
	run_until([] { return false; }, 60);
	c = send_request("stock", "x", "Vh-Timeout-Ms: 60\r\n");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 504);
	EXPECT_TRUE(has(c->body(), "\"outcome\":\"not_run\""));
}

TEST_F(Service, NonIdempotentRunsOncePerKey)
{
	int seen = 0;
	std::string key = "Idempotency-Key: refund-9\r\n";

	records().clear();
	add_upstream([&](const FakeUpstream::Request &r) {
		seen++;
		echo(r);
	});
	start();
	auto *c = send_request("refunds", "pay", key);
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 200);
	ASSERT_TRUE(run_until([&] { return records()["refund-9"].ended; }));
	c = send_request("refunds", "pay", key);
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 409);
	EXPECT_TRUE(has(c->body(), "\"outcome\":\"ran\"")) << c->body();
	c = send_request("refunds", "other", key);
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 409);
	EXPECT_TRUE(has(c->body(), "\"outcome\":\"not_run\"")) << c->body();
	EXPECT_EQ(seen, 1);
}

TEST_F(Service, LostResponseStaysUnknownAndIsNotRetried)
{
	int seen = 0;
	std::string key = "Idempotency-Key: refund-10\r\n";

	records().clear();
	add_upstream([&](const FakeUpstream::Request &r) {
		seen++;
		r.shut_down();
	});
	add_upstream([&](const FakeUpstream::Request &r) {
		seen++;
		r.shut_down();
	});
	start();
	for (int i = 0; i < 2; i++) {
		auto *c = send_request("refunds", "pay", key);

		ASSERT_TRUE(wait_for_responses(c));
		EXPECT_TRUE(has(c->body(), "\"outcome\":\"unknown\""));
	}
	EXPECT_EQ(seen, 1);
}

TEST_F(Service, NotRunReleasesTheIdempotencyKey)
{
	auto *u = add_upstream(echo);

	records().clear();
	start();
	u->stop();
	auto *c = send_request(
		"refunds", "pay",
		"Idempotency-Key: refund-11\r\nVh-Timeout-Ms: 300\r\n");
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_TRUE(has(c->body(), "\"outcome\":\"not_run\"")) << c->body();
	ASSERT_TRUE(run_until([&] { return !records().count("refund-11"); }));
}

TEST_F(Service, DisconnectCancelsIdempotentAndRecordsNonIdempotent)
{
	std::vector<FakeUpstream::Request> held;

	records().clear();
	auto *u = add_upstream(
		[&](const FakeUpstream::Request &r) { held.push_back(r); });
	start();
	auto *c = send_request("stock");
	ASSERT_TRUE(run_until([&] { return held.size() == 1; }));
	c->close();
	EXPECT_TRUE(run_until([&] { return u->conns.empty(); }));
	c = send_request("refunds", "pay", "Idempotency-Key: refund-12\r\n");
	ASSERT_TRUE(run_until([&] { return held.size() == 2; }));
	c->close();
	run_until([] { return false; }, 50);
	EXPECT_EQ(u->conns.size(), 1u);
	held[1].respond("paid");
	EXPECT_TRUE(
		run_until([&] { return records()["refund-12"].ended == 200; }));
}

TEST_F(Service, RespectsSlotsAndConnections)
{
	std::vector<FakeUpstream::Request> held;
	auto *u = add_upstream(
		[&](const FakeUpstream::Request &r) { held.push_back(r); });

	upstream_list[0].size.v[VH_SLOTS] = 3;
	start();
	for (int i = 0; i < 6; i++)
		send_request();
	ASSERT_TRUE(run_until([&] { return held.size() == 3; }));
	run_until([] { return false; }, 50);
	EXPECT_EQ(held.size(), 3u);
	for (size_t i = 0; i < 6; i++) {
		ASSERT_TRUE(run_until([&] { return held.size() > i; }));
		held[i].respond("ok");
	}
	for (auto &c : clients)
		ASSERT_TRUE(wait_for_responses(c.get()));
	EXPECT_LE(u->max_conns, 3u);
}

TEST_F(Service, LeavingUpstreamsGetNoNewRequests)
{
	auto *a = add_upstream(echo), *b = add_upstream(echo);

	start();
	ASSERT_TRUE(wait_for_responses(send_request()));
	upstream_list[0].leaving = true;
	run_until([] { return false; }, 60);
	size_t before = a->requests.size();

	for (int i = 0; i < 10; i++)
		ASSERT_TRUE(wait_for_responses(send_request()));
	EXPECT_EQ(a->requests.size(), before);
	EXPECT_GE(b->requests.size(), 10u);
}

TEST_F(Service, PrefersNearUpstreamsAndCountsCrossRegionBytes)
{
	auto *remote = add_upstream(echo, "karachi-a", "karachi");
	auto *zone = add_upstream(echo);

	start();
	for (int i = 0; i < 5; i++)
		ASSERT_TRUE(wait_for_responses(send_request()));
	EXPECT_EQ(remote->requests.size(), 0u);
	EXPECT_EQ(zone->requests.size(), 5u);
	upstream_list.pop_back();
	run_until([] { return false; }, 60);
	ASSERT_TRUE(wait_for_responses(send_request()));
	EXPECT_EQ(remote->requests.size(), 1u);
	/* "argon?" and the response "echo:argon?". */
	EXPECT_EQ(*vh_metrics_counter(&kernel.metrics,
				      "vh_cross_region_bytes_total",
				      "team=\"shop\""),
		  17u);
}

TEST_F(Service, WithdrawnKeyRefusesRequestsWaitingForAnUpstream)
{
	int seen = 0;

	list_known = false;
	add_upstream([&](const FakeUpstream::Request &r) {
		seen++;
		echo(r);
	});
	start();
	auto *c = send_request();
	run_until([] { return false; }, 30);
	core->load(withdraw_key(ini(), "shop-1"));
	list_known = true;
	notify_changes();
	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 401);
	EXPECT_EQ(seen, 0);
}

TEST_F(Service, UpstreamFailureDuringStreamReachesTheCaller)
{
	auto *u = add_upstream([](const FakeUpstream::Request &r) {
		r.send_raw("HTTP/1.1 200 X\r\nVh-Request-Id: " + r.id +
			   "\r\nContent-Length: 100000\r\n\r\n" +
			   std::string(50000, 'a'));
	});
	start();
	auto *c = send_request();
	ASSERT_TRUE(run_until([&] { return c->received.size() > 20000; }));
	u->requests[0].shut_down();
	ASSERT_TRUE(run_until([&] { return c->closed; }));
	EXPECT_EQ(c->response_count(), 0u)
		<< "part of a response must not count as complete";
	EXPECT_TRUE(has(c->received, "Content-Length: 100000"));
}

TEST_F(Service, RetriesStayWithinTheBudget)
{
	int seen = 0;

	for (int i = 0; i < 4; i++)
		add_upstream([&](const FakeUpstream::Request &r) {
			seen++;
			r.shut_down();
		});
	start();
	int sent = 0;
	for (int i = 0; i < 100; i++) {
		auto *c = send_request("stock", "x", "Vh-Timeout-Ms: 20\r\n");

		ASSERT_TRUE(wait_for_responses(c));
		sent++;
	}
	EXPECT_LE(seen, sent + sent / 10 + 10);
}

// The retry budget of a service, ten at the start, is no bound for one request.
TEST_F(Service, RequestThatCrashesItsUpstreamsIsSentToOneAfterTheOther)
{
	int crashed = 0;

	for (int i = 0; i < 12; i++)
		add_upstream([&](const FakeUpstream::Request &r) {
			crashed++;
			r.shut_down();
		});
	start();
	auto *c = send_request();

	ASSERT_TRUE(wait_for_responses(c));
	EXPECT_EQ(c->status(), 502);
	EXPECT_LE(crashed, 3);
}
