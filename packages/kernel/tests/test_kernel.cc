#include <gtest/gtest.h>

#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "vh/kernel.h"
}

namespace
{
struct traced_service {
	std::string *trace;
	const char *name;
	struct vh_kernel *kernel;
	struct vh_service service;
	bool fail;
};

bool start(void *self, struct vh_kernel *kernel, GError **err)
{
	auto *p = static_cast<struct traced_service *>(self);

	p->kernel = kernel;
	if (p->fail) {
		g_set_error(err, VH_ERROR, VH_ERR_INTERNAL, "start failed");
		return false;
	}
	*p->trace += std::string("+") + p->name;
	return true;
}

void drain(void *self)
{
	auto *p = static_cast<struct traced_service *>(self);

	*p->trace += std::string("~") + p->name;
	vh_kernel_drained(p->kernel, &p->service);
}

void stop(void *self)
{
	auto *p = static_cast<struct traced_service *>(self);

	*p->trace += std::string("-") + p->name;
}

void setup(struct traced_service *p, std::string *trace, const char *name)
{
	*p = {};
	p->trace = trace;
	p->name = name;
	p->service.name = name;
	p->service.self = p;
	p->service.start = start;
	p->service.drain = drain;
	p->service.stop = stop;
}
} // namespace

TEST(Kernel, StartsInOrderAndDrainsAndStopsInReverse)
{
	std::string trace;
	struct vh_kernel k;
	struct traced_service a, b;
	GError *err = nullptr;

	vh_kernel_init(&k, vh_clock_system());
	setup(&a, &trace, "a");
	setup(&b, &trace, "b");
	vh_kernel_add(&k, &a.service);
	vh_kernel_add(&k, &b.service);
	EXPECT_EQ(vh_kernel_find(&k, "b"), &b.service);
	EXPECT_EQ(vh_kernel_find(&k, "c"), nullptr);
	ASSERT_TRUE(vh_kernel_start(&k, &err));
	vh_kernel_defer(
		&k,
		[](void *ctx) {
			vh_kernel_drain(static_cast<struct vh_kernel *>(ctx));
		},
		&k);
	vh_kernel_run(&k);
	EXPECT_EQ(trace, "+a+b~b~a-b-a");
	vh_kernel_finish(&k);
}

TEST(Kernel, FailedStartStopsStartedServices)
{
	std::string trace;
	struct vh_kernel k;
	struct traced_service a, b;
	GError *err = nullptr;

	vh_kernel_init(&k, vh_clock_system());
	setup(&a, &trace, "a");
	setup(&b, &trace, "b");
	b.fail = true;
	vh_kernel_add(&k, &a.service);
	vh_kernel_add(&k, &b.service);
	EXPECT_FALSE(vh_kernel_start(&k, &err));
	EXPECT_EQ(trace, "+a-a");
	g_clear_error(&err);
	vh_kernel_finish(&k);
}

TEST(Timer, FiresOnceAndCanBeStopped)
{
	struct vh_kernel k;
	struct vh_timer fires, stopped;
	static int count;

	count = 0;
	vh_kernel_init(&k, vh_clock_system());
	vh_timer_init(
		&fires, &k,
		[](void *ctx) {
			count++;
			vh_kernel_stop(static_cast<struct vh_kernel *>(ctx));
		},
		&k);
	vh_timer_init(
		&stopped, &k, [](void *) { count += 100; }, nullptr);
	vh_timer_start(&stopped, 0);
	vh_timer_stop(&stopped);
	vh_timer_start(&fires, 1);
	vh_kernel_run(&k);
	EXPECT_EQ(count, 1);
	vh_timer_finish(&fires);
	vh_timer_finish(&stopped);
	vh_kernel_finish(&k);
}

// A timer that yields ran before another of its kind without a poll between them,
// so the second did not see what had become ready during the first.
TEST(Timer, WaitsForAnIdleLoopBehindYieldingTimersAndASocket)
{
	struct trace {
		struct vh_kernel kernel;
		int fds[2];
		std::string order;
	} t;
	struct vh_timer yielding, idle;
	struct event *ev;

	vh_kernel_init(&t.kernel, vh_clock_system());
	ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, t.fds), 0);
	ev = event_new(
		t.kernel.base, t.fds[0], EV_READ,
		[](evutil_socket_t, short, void *ctx) {
			static_cast<trace *>(ctx)->order += "socket ";
		},
		&t);
	event_add(ev, nullptr);
	vh_timer_init(
		&yielding, &t.kernel,
		[](void *ctx) {
			auto *at = static_cast<trace *>(ctx);

			at->order += "yielding ";
			EXPECT_EQ(write(at->fds[1], "x", 1), 1);
		},
		&t);
	vh_timer_yield(&yielding);
	vh_timer_init(
		&idle, &t.kernel,
		[](void *ctx) {
			auto *at = static_cast<trace *>(ctx);

			at->order += "idle";
			vh_kernel_stop(&at->kernel);
		},
		&t);
	vh_timer_wait_idle(&idle);
	vh_timer_start(&idle, 0);
	vh_timer_start(&yielding, 0);
	vh_kernel_run(&t.kernel);
	EXPECT_EQ(t.order, "yielding socket idle");
	vh_timer_finish(&yielding);
	vh_timer_finish(&idle);
	event_free(ev);
	close(t.fds[0]);
	close(t.fds[1]);
	vh_kernel_finish(&t.kernel);
}
