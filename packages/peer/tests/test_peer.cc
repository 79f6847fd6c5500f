#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "vh/log.h"
#include "vh/peer.h"
}

namespace
{
struct node {
	struct vh_kernel *kernel;
	struct vh_peer *peer;
};

/*
 * Several nodes on one event loop. Each peer service is started directly, not
 * through the kernel's service list.
 */
class Peers : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		vh_kernel_init(&kernel, vh_clock_system());
	}

	void TearDown() override
	{
		for (auto *p : peers) {
			if (p)
				stop(p);
		}
		vh_kernel_finish(&kernel);
	}

	struct vh_peer *start(const std::string &id, uint16_t port,
			      const std::string &secret,
			      const std::vector<uint16_t> &seed_ports)
	{
		std::vector<std::string> texts;
		std::vector<struct vh_slice> seeds;
		struct vh_peer_settings s = {};
		GError *err = nullptr;

		for (auto sp : seed_ports)
			texts.push_back("127.0.0.1:" + std::to_string(sp));
		for (auto &t : texts)
			seeds.push_back(vh_slice(t.data(), t.size()));
		s.id = vh_slice(id.data(), id.size());
		s.address = vh_slice_str("127.0.0.1");
		s.port = port;
		s.region = vh_slice_str("lahore");
		s.zone = vh_slice_str("lahore-a");
		s.secret = vh_slice(secret.data(), secret.size());
		s.seeds = seeds.data();
		s.n_seeds = seeds.size();
		s.heartbeat_ms = 40;
		s.suspect_ms = 200;
		s.dead_ms = dead_ms;
		auto *p = vh_peer_new(&s, &kernel);
		auto *svc = vh_peer_service(p);

		EXPECT_TRUE(svc->start(svc->self, &kernel, &err));
		peers.push_back(p);
		return p;
	}

	void stop(struct vh_peer *p)
	{
		auto *svc = vh_peer_service(p);

		svc->stop(svc->self);
		vh_peer_free(p);
		for (auto &q : peers) {
			if (q == p)
				q = nullptr;
		}
	}

	bool run_until(const std::function<bool()> &cond, int limit_ms = 20000)
	{
		int64_t end = vh_kernel_now_ms(&kernel) + limit_ms;
		struct timeval tv = { 0, 5000 };

		while (!cond() && vh_kernel_now_ms(&kernel) < end) {
			event_base_loopexit(kernel.base, &tv);
			event_base_loop(kernel.base, EVLOOP_NO_EXIT_ON_EMPTY);
		}
		return cond();
	}

	static bool has_state(struct vh_peer *p, const char *id,
			      enum vh_node_state state)
	{
		auto *n = vh_peer_node(p, vh_slice_str(id));

		return n && n->state == state;
	}

	struct vh_kernel kernel;
	std::vector<struct vh_peer *> peers;
	int64_t dead_ms = 500;
};

struct call_result {
	int calls = 0;
	enum vh_err err = VH_OK;
	std::string body;
};

void record_result(void *ctx, enum vh_err err, struct vh_slice body)
{
	auto *r = static_cast<struct call_result *>(ctx);

	r->calls++;
	r->err = err;
	r->body.assign(body.data ? body.data : "", body.len);
}

void echo(void *ctx, const struct vh_node *from, struct vh_slice body,
	  struct vh_peer_reply *reply)
{
	std::string out(from->id.data, from->id.len);

	(void)ctx;
	out += ":" + std::string(body.data ? body.data : "", body.len);
	vh_peer_answer(reply, VH_OK, vh_slice(out.data(), out.size()));
}

void keep_reply(void *ctx, const struct vh_node *from, struct vh_slice body,
		struct vh_peer_reply *reply)
{
	(void)from;
	(void)body;
	static_cast<std::vector<struct vh_peer_reply *> *>(ctx)->push_back(
		reply);
}
} // namespace

TEST_F(Peers, JoinsThroughSeedAndLearnsOthersByGossip)
{
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	auto *c = start("c", 0, "s", { vh_peer_port(a) });

	EXPECT_TRUE(run_until([&] {
		return has_state(a, "b", VH_NODE_ALIVE) &&
		       has_state(a, "c", VH_NODE_ALIVE) &&
		       has_state(b, "c", VH_NODE_ALIVE) &&
		       has_state(c, "b", VH_NODE_ALIVE);
	}));
	EXPECT_EQ(vh_peer_node(b, vh_slice_str("c"))->port, vh_peer_port(c));
}

TEST_F(Peers, OwnAddressMayBeTheLastSeed)
{
	std::vector<uint16_t> ports;

	for (const char *id : { "a", "b", "c" })
		ports.push_back(vh_peer_port(start(id, 0, "s3cret", {})));
	for (auto *p : std::vector<struct vh_peer *>(peers))
		stop(p);
	auto *c = start("c", ports[2], "s3cret", ports);

	/* no seed is reachable yet: one round must end all the same */
	run_until([&] { return false; }, 200);
	start("a", ports[0], "s3cret", ports);
	EXPECT_TRUE(
		run_until([&] { return has_state(c, "a", VH_NODE_ALIVE); }));
}

TEST_F(Peers, WrongSecretIsNotAdmitted)
{
	auto *a = start("a", 0, "right", {});
	auto *b = start("b", 0, "wrong", { vh_peer_port(a) });
	auto *c = start("c", 0, "right", { vh_peer_port(a) });
	const struct vh_node *nodes;

	ASSERT_TRUE(
		run_until([&] { return has_state(a, "c", VH_NODE_ALIVE); }));
	run_until([] { return false; }, 300);
	EXPECT_EQ(vh_peer_nodes(b, &nodes), 1u);
	EXPECT_EQ(vh_peer_nodes(a, &nodes), 2u);
	EXPECT_TRUE(has_state(c, "a", VH_NODE_ALIVE));
}

TEST_F(Peers, CallsToRemoteAndLocalNode)
{
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	struct call_result self, other, none, method;

	vh_peer_set_handler(a, 20, echo, nullptr);
	vh_peer_set_handler(b, 20, echo, nullptr);
	ASSERT_TRUE(
		run_until([&] { return has_state(a, "b", VH_NODE_ALIVE); }));
	vh_peer_call(a, vh_slice_str("b"), 20, vh_slice_str("x"), 5000,
		     record_result, &other);
	vh_peer_call(a, vh_slice_str("a"), 20, vh_slice_str("y"), 5000,
		     record_result, &self);
	vh_peer_call(a, vh_slice_str("nobody"), 20, vh_slice_str("z"), 5000,
		     record_result, &none);
	vh_peer_call(a, vh_slice_str("b"), 21, vh_slice_str("z"), 5000,
		     record_result, &method);
	EXPECT_EQ(self.calls + none.calls, 0)
		<< "callbacks must run in a later loop iteration";
	ASSERT_TRUE(run_until([&] {
		return self.calls && other.calls && none.calls && method.calls;
	}));
	EXPECT_EQ(self.body, "a:y");
	EXPECT_EQ(other.body, "a:x");
	EXPECT_EQ(none.err, VH_ERR_UNREACHABLE);
	EXPECT_EQ(method.err, VH_ERR_METHOD_NOT_ALLOWED);
}

TEST_F(Peers, LargeBodyAndBodyAboveTheFrameLimit)
{
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	std::string big(900000, 'q'), huge(VH_PEER_FRAME_MAX, 'q');
	struct call_result r1, r2;

	vh_peer_set_handler(b, 20, echo, nullptr);
	ASSERT_TRUE(
		run_until([&] { return has_state(a, "b", VH_NODE_ALIVE); }));
	vh_peer_call(a, vh_slice_str("b"), 20, vh_slice(big.data(), big.size()),
		     5000, record_result, &r1);
	vh_peer_call(a, vh_slice_str("b"), 20,
		     vh_slice(huge.data(), huge.size()), 5000, record_result,
		     &r2);
	ASSERT_TRUE(run_until([&] { return r1.calls && r2.calls; }));
	EXPECT_EQ(r1.err, VH_OK);
	EXPECT_EQ(r1.body.size(), big.size() + 2);
	EXPECT_EQ(r2.err, VH_ERR_TOO_LARGE);
}

TEST_F(Peers, UnknownOutcomeAfterSendAndUnreachableBefore)
{
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	std::vector<struct vh_peer_reply *> kept;
	struct call_result late, closed, gone;

	vh_peer_set_handler(b, 20, keep_reply, &kept);
	ASSERT_TRUE(
		run_until([&] { return has_state(a, "b", VH_NODE_ALIVE); }));
	vh_peer_call(a, vh_slice_str("b"), 20, vh_slice_str(""), 50,
		     record_result, &late);
	ASSERT_TRUE(run_until([&] { return late.calls > 0; }));
	EXPECT_EQ(late.err, VH_ERR_UNKNOWN_OUTCOME);
	ASSERT_EQ(kept.size(), 1u);
	vh_peer_answer(kept[0], VH_OK, vh_slice_str("too late"));
	vh_peer_call(a, vh_slice_str("b"), 20, vh_slice_str(""), 20000,
		     record_result, &closed);
	ASSERT_TRUE(run_until([&] { return kept.size() == 2; }));
	stop(b);
	ASSERT_TRUE(run_until([&] { return closed.calls > 0; }));
	EXPECT_EQ(closed.err, VH_ERR_UNKNOWN_OUTCOME);
	EXPECT_EQ(late.calls, 1);
	vh_peer_call(a, vh_slice_str("b"), 20, vh_slice_str(""), 20000,
		     record_result, &gone);
	ASSERT_TRUE(run_until([&] { return gone.calls > 0; }));
	EXPECT_EQ(gone.err, VH_ERR_UNREACHABLE);
}

TEST_F(Peers, DeadLeavingAndRestartedNodes)
{
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	auto *c = start("c", 0, "s", { vh_peer_port(a) });

	ASSERT_TRUE(run_until([&] {
		return has_state(a, "b", VH_NODE_ALIVE) &&
		       has_state(b, "c", VH_NODE_ALIVE) &&
		       has_state(c, "b", VH_NODE_ALIVE);
	}));
	uint64_t old = vh_peer_node(a, vh_slice_str("b"))->incarnation;
	uint16_t port = vh_peer_port(b);

	stop(b);
	EXPECT_TRUE(run_until([&] {
		return has_state(a, "b", VH_NODE_DEAD) &&
		       has_state(c, "b", VH_NODE_DEAD);
	}));
	b = start("b", port, "s", { vh_peer_port(a) });
	EXPECT_TRUE(run_until([&] {
		return has_state(a, "b", VH_NODE_ALIVE) &&
		       has_state(c, "b", VH_NODE_ALIVE) &&
		       has_state(b, "c", VH_NODE_ALIVE);
	}));
	EXPECT_NE(vh_peer_node(c, vh_slice_str("b"))->incarnation, old);
	vh_peer_leave(c);
	EXPECT_TRUE(run_until([&] {
		return has_state(a, "c", VH_NODE_LEAVING) &&
		       has_state(b, "c", VH_NODE_LEAVING);
	}));
	stop(c);
	EXPECT_TRUE(run_until([&] { return has_state(a, "c", VH_NODE_DEAD); }));
}

TEST_F(Peers, RefusedConnectionMarksNodeDead)
{
	/* Without the refused connection, detection would take an hour. */
	dead_ms = 3600000;
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });

	ASSERT_TRUE(run_until([&] {
		return has_state(a, "b", VH_NODE_ALIVE) &&
		       has_state(b, "a", VH_NODE_ALIVE);
	}));
	stop(b);
	EXPECT_TRUE(run_until([&] { return has_state(a, "b", VH_NODE_DEAD); }));
}

TEST_F(Peers, SummariesArePropagated)
{
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	auto *c = start("c", 0, "s", { vh_peer_port(a) });

	auto has_summary = [&](struct vh_peer *p, const char *id,
			       const char *text) {
		auto *n = vh_peer_node(p, vh_slice_str(id));

		return n && vh_slice_eq_str(n->summary, text);
	};
	vh_peer_set_summary(b, vh_slice_str("one"));
	EXPECT_TRUE(run_until([&] { return has_summary(c, "b", "one"); }));
	vh_peer_set_summary(b, vh_slice_str("two"));
	EXPECT_TRUE(run_until([&] {
		return has_summary(c, "b", "two") && has_summary(a, "b", "two");
	}));
}

namespace
{
/* Connects, sends @bytes and reads until the node closes the connection. */
struct RawClient {
	RawClient(struct event_base *base, uint16_t port,
		  const std::string &bytes)
	{
		struct sockaddr_in to = {};

		to.sin_family = AF_INET;
		to.sin_port = htons(port);
		inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
		bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(
			bev,
			[](struct bufferevent *b, void *ctx) {
				auto *s = static_cast<RawClient *>(ctx);
				char buf[4096];
				size_t n =
					bufferevent_read(b, buf, sizeof(buf));

				s->received.append(buf, n);
			},
			nullptr,
			[](struct bufferevent *b, short events, void *ctx) {
				(void)b;
				if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
					static_cast<RawClient *>(ctx)->closed =
						true;
			},
			this);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		bufferevent_socket_connect(bev, (struct sockaddr *)&to,
					   sizeof(to));
		bufferevent_write(bev, bytes.data(), bytes.size());
	}

	~RawClient()
	{
		bufferevent_free(bev);
	}

	struct bufferevent *bev;
	std::string received;
	bool closed = false;
};
} // namespace

TEST_F(Peers, UnauthenticatedConnectionsAreClosed)
{
	const std::string payloads[] = {
		std::string("GET / HTTP/1.1\r\n\r\n"),
		std::string("\x00\x00\x00\x03\x93\x04\x01", 7),
		std::string("\x00\x00\x00\x04\x93\x04\x01\x90", 8),
		std::string("\xff\xff\xff\xff", 4),
		std::string("\x00\x00\x00\x05\xdd\xff\xff\xff\xff", 9),
		std::string("\x00\x00\x00\x09half", 8), /* truncated */
		std::string(),
	};
	auto *a = start("a", 0, "s", {});
	auto *b = start("b", 0, "s", { vh_peer_port(a) });
	struct call_result r;

	vh_peer_set_handler(a, 20, echo, nullptr);
	for (auto &bytes : payloads) {
		RawClient s(kernel.base, vh_peer_port(a), bytes);

		EXPECT_TRUE(run_until([&] { return s.closed; }));
		EXPECT_LT(s.received.size(), 40u)
			<< "only the challenge may be sent";
	}
	ASSERT_TRUE(
		run_until([&] { return has_state(b, "a", VH_NODE_ALIVE); }));
	vh_peer_call(b, vh_slice_str("a"), 20, vh_slice_str("x"), 5000,
		     record_result, &r);
	ASSERT_TRUE(run_until([&] { return r.calls > 0; }));
	EXPECT_EQ(r.body, "b:x");
}

TEST_F(Peers, RollingAndFullRestart)
{
	std::vector<uint16_t> ports;
	std::vector<struct vh_peer *> nodes_running;
	const char *names[] = { "a", "b", "c", "d" };

	auto all_alive = [&] {
		for (auto *p : nodes_running) {
			const struct vh_node *nodes;
			size_t n = vh_peer_nodes(p, &nodes), alive = 0;

			for (size_t i = 0; i < n; i++) {
				auto *q = vh_peer_node(p, nodes[i].id);

				alive += q->state == VH_NODE_ALIVE;
			}
			if (alive != nodes_running.size())
				return false;
		}
		return true;
	};
	auto converged = [&] {
		for (auto *p : nodes_running) {
			for (auto *q : nodes_running) {
				auto *self = vh_peer_self(q);
				auto *n = vh_peer_node(p, self->id);

				if (!n || n->incarnation != self->incarnation)
					return false;
			}
		}
		return all_alive();
	};
	for (auto *name : names) {
		nodes_running.push_back(start(name, 0, "s", ports));
		ports.push_back(vh_peer_port(nodes_running.back()));
	}
	ASSERT_TRUE(run_until(converged));
	for (size_t i = 0; i < nodes_running.size(); i++) {
		stop(nodes_running[i]);
		nodes_running[i] = start(names[i], ports[i], "s", ports);
		ASSERT_TRUE(run_until(converged)) << names[i];
	}
	for (auto *p : nodes_running)
		stop(p);
	for (size_t i = 0; i < nodes_running.size(); i++)
		nodes_running[i] = start(names[i], ports[i], "s", ports);
	ASSERT_TRUE(run_until(converged));
}
