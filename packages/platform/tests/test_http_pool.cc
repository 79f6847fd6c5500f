// The queue of an HTTP connection pool, against a server that never answers.

#include <gtest/gtest.h>

#include <event2/http.h>
#include <string>
#include <vector>

extern "C" {
#include "vh/http_pool.h"
}

namespace
{

constexpr int64_t TIMEOUT_MS = 300, MAX_QUEUE_MS = 100;

struct HttpPool : testing::Test {
	struct vh_kernel kernel;
	struct evhttp *server = nullptr;
	struct vh_http_pool *pool = nullptr;
	std::vector<std::string> received;
	std::vector<struct vh_http_reply> replies;

	static void on_request(struct evhttp_request *req, void *ctx)
	{
		((HttpPool *)ctx)
			->received.push_back(evhttp_request_get_uri(req));
	}

	static void on_reply(void *ctx, const struct vh_http_reply *reply)
	{
		((HttpPool *)ctx)->replies.push_back(*reply);
	}

	void SetUp() override
	{
		struct evhttp_bound_socket *socket;
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		vh_kernel_init(&kernel, vh_clock_system());
		server = evhttp_new(kernel.base);
		evhttp_set_gencb(server, on_request, this);
		socket = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
		ASSERT_TRUE(socket);
		getsockname(evhttp_bound_socket_get_fd(socket),
			    (struct sockaddr *)&at, &len);
		pool = vh_http_pool_new(&kernel, vh_slice_str("127.0.0.1"),
					ntohs(at.sin_port), 1, 1024);
	}

	void TearDown() override
	{
		vh_http_pool_free(pool);
		evhttp_free(server);
		vh_kernel_finish(&kernel);
	}

	void send(const char *path, int64_t max_queue_ms)
	{
		struct vh_http_request req = {};

		req.method = EVHTTP_REQ_GET;
		req.path = path;
		req.timeout_ms = TIMEOUT_MS;
		req.max_queue_ms = max_queue_ms;
		vh_http_pool_send(pool, &req, on_reply, this);
	}

	void run_until_replies(size_t n)
	{
		while (replies.size() < n)
			event_base_loop(kernel.base, EVLOOP_ONCE);
	}
};

// A start that waits behind calls to a worker without an answer must not reach
// the worker after its job was cancelled.
TEST_F(HttpPool, ARequestThatWaitedTooLongIsNotSent)
{
	send("/first", 0);
	send("/expires", MAX_QUEUE_MS);
	send("/waits", 0);
	run_until_replies(3);
	ASSERT_EQ(received.size(), 2u);
	EXPECT_EQ(received[0], "/first");
	EXPECT_EQ(received[1], "/waits");
	int not_sent = 0;
	for (auto &r : replies) {
		EXPECT_EQ(r.status, 0);
		not_sent += r.not_sent;
	}
	EXPECT_EQ(not_sent, 1);
}

TEST_F(HttpPool, ARequestThatNeedNotWaitIsSent)
{
	send("/first", MAX_QUEUE_MS);
	run_until_replies(1);
	EXPECT_EQ(received.size(), 1u);
	EXPECT_FALSE(replies[0].not_sent);
}

// A caller is in the middle of an operation while it sends: a result that came
// from within the call changed what the operation worked on.
TEST_F(HttpPool, ACallThatCannotConnectEndsAfterItWasSent)
{
	vh_http_pool_free(pool);
	/* A broadcast address, to which connect() fails at once. */
	pool = vh_http_pool_new(&kernel, vh_slice_str("127.255.255.255"), 80, 1,
				1024);
	send("/first", 0);
	send("/second", 0);
	EXPECT_EQ(replies.size(), 0u);
	run_until_replies(2);
	for (auto &r : replies)
		EXPECT_EQ(r.status, 0);
}

// The deferred end of an exchange outlives the pool.
TEST_F(HttpPool, APoolIsFreedBeforeAFailedCallHasEnded)
{
	vh_http_pool_free(pool);
	pool = vh_http_pool_new(&kernel, vh_slice_str("127.255.255.255"), 80, 1,
				1024);
	send("/first", 0);
	vh_http_pool_free(pool);
	pool = nullptr;
	event_base_loop(kernel.base, EVLOOP_NONBLOCK);
	EXPECT_EQ(replies.size(), 0u);
}

} // namespace
