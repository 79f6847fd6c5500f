#ifndef VH_STANDINS_HARNESS_H
#define VH_STANDINS_HARNESS_H

/*
 * Fixture for tests that talk to the stand-ins over HTTP: an event loop, a
 * client and waits with a time limit. The tests of this package use it.
 */

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <string>

extern "C" {
#include "client.h"
}

class Harness : public ::testing::Test
{
      protected:
	static constexpr int64_t kTimeoutMs = 30000;

	struct Reply {
		bool done = false;
		int status = -1;
		std::string body;
		std::string not_run;
	};

	struct vh_kernel kernel;
	struct vh_client client;

	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		vh_kernel_init(&kernel, vh_clock_system());
		vh_client_init(&client, &kernel);
	}

	void TearDown() override
	{
		vh_client_finish(&client);
		vh_kernel_finish(&kernel);
	}

	void wait_for(const std::function<bool()> &condition)
	{
		int64_t until = vh_kernel_now_ms(&kernel) + kTimeoutMs;

		while (!condition()) {
			ASSERT_LT(vh_kernel_now_ms(&kernel), until);
			struct timeval tick = { 0, 1000 };

			event_base_loopexit(kernel.base, &tick);
			event_base_loop(kernel.base, EVLOOP_ONCE);
		}
	}

	static void on_reply(void *ctx, const struct vh_client_reply *r)
	{
		auto *reply = static_cast<Reply *>(ctx);
		const char *h = r->headers ? evhttp_find_header(r->headers,
								"Vh-Not-Run")
					   : nullptr;

		reply->done = true;
		reply->status = r->status;
		reply->body = std::string(r->body.data ? r->body.data : "",
					  r->body.len);
		reply->not_run = h ? h : "";
	}

	void send(Reply *reply, uint16_t port, const std::string &path,
		  const std::string *body, int64_t timeout_ms = kTimeoutMs)
	{
		struct vh_client_request req = {};

		req.port = port;
		req.method = body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
		req.path = path.c_str();
		if (body)
			req.body = vh_slice(body->data(), body->size());
		req.timeout_ms = timeout_ms;
		vh_client_send(&client, &req, on_reply, reply);
	}

	Reply get(uint16_t port, const std::string &path)
	{
		Reply r;

		send(&r, port, path, nullptr);
		wait_for([&] { return r.done; });
		return r;
	}

	Reply post(uint16_t port, const std::string &path,
		   const std::string &body)
	{
		Reply r;

		send(&r, port, path, &body);
		wait_for([&] { return r.done; });
		return r;
	}
};

#endif
