// Requests of an HTTP connection pool that are bound to a session, against a server
// whose bytes a test decides.

#include <gtest/gtest.h>

#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "vh/http_pool.h"
}

namespace
{

// A server that is one session after another, all at one address.
struct Sessions : testing::Test {
	struct Connection {
		Sessions *test;
		struct bufferevent *bev;
		uint64_t session; /* that has accepted it */
		bool named;	  /* a reply on it has named its session */
	};
	struct Received {
		std::string path;
		uint64_t session;
		bool named;
	};
	struct Reply {
		int status;
		bool not_sent;
		std::string body;
	};

	struct vh_kernel kernel;
	struct evconnlistener *listener = nullptr;
	struct sockaddr_in at = {};
	struct vh_http_pool *pool = nullptr;
	uint64_t session = 1;
	std::set<Connection *> connections;
	size_t n_accepted = 0;
	std::vector<Received> received;
	std::vector<Reply> replies;
	std::function<void(Connection *, const std::string &)> serve;

	static bool read_session(const struct vh_http_reply *reply,
				 uint64_t *named)
	{
		std::string body(reply->body.len ? reply->body.data : "",
				 reply->body.len);

		if (reply->status != 200 || body.compare(0, 8, "session ") != 0)
			return false;
		*named = strtoull(body.c_str() + 8, nullptr, 10);
		return *named > 0;
	}

	static void on_reply(void *ctx, const struct vh_http_reply *r)
	{
		((Sessions *)ctx)
			->replies.push_back(
				{ r->status, r->not_sent,
				  std::string(r->body.len ? r->body.data : "",
					      r->body.len) });
	}

	static void on_accept(struct evconnlistener *, evutil_socket_t fd,
			      struct sockaddr *, int, void *ctx)
	{
		Sessions *t = (Sessions *)ctx;
		struct bufferevent *bev = bufferevent_socket_new(
			t->kernel.base, fd, BEV_OPT_CLOSE_ON_FREE);
		Connection *c = new Connection{ t, bev, t->session, false };

		t->n_accepted++;
		t->connections.insert(c);
		bufferevent_setcb(bev, on_read, nullptr, on_event, c);
		bufferevent_enable(bev, EV_READ);
	}

	static void on_event(struct bufferevent *, short, void *ctx)
	{
		Connection *c = (Connection *)ctx;

		c->test->close(c);
	}

	static bool take_request(struct evbuffer *in, std::string *path)
	{
		std::string all((const char *)evbuffer_pullup(in, -1),
				evbuffer_get_length(in));
		size_t end = all.find("\r\n\r\n");
		size_t at = all.find("Content-Length: ");
		size_t len = at < end ? std::stoul(all.substr(at + 16)) : 0;
		size_t from = all.find(' ') + 1;

		if (end == std::string::npos || all.size() < end + 4 + len)
			return false;
		*path = all.substr(from, all.find(' ', from) - from);
		evbuffer_drain(in, end + 4 + len);
		return true;
	}

	static void on_read(struct bufferevent *bev, void *ctx)
	{
		Connection *c = (Connection *)ctx;
		Sessions *t = c->test;
		std::string path;

		while (t->connections.count(c) &&
		       evbuffer_get_length(bufferevent_get_input(bev)) &&
		       take_request(bufferevent_get_input(bev), &path)) {
			t->received.push_back({ path, c->session, c->named });
			t->serve(c, path);
		}
	}

	void SetUp() override
	{
		at.sin_family = AF_INET;
		/* An address of its own keeps the port while nobody listens. */
		at.sin_addr.s_addr = htonl(
			0x7f800000u | ((unsigned)getpid() & 0xffffu) << 4 | 1);
		signal(SIGPIPE, SIG_IGN);
		vh_kernel_init(&kernel, vh_clock_system());
		serve = [this](Connection *c, const std::string &) {
			name_session(c);
		};
		listen();
		open_pool(1);
	}

	void TearDown() override
	{
		vh_http_pool_free(pool);
		event_base_loop(kernel.base, EVLOOP_NONBLOCK);
		end_session();
		vh_kernel_finish(&kernel);
	}

	void open_pool(size_t conns)
	{
		char ip[INET_ADDRSTRLEN];

		vh_http_pool_free(pool);
		evutil_inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
		pool = vh_http_pool_new(&kernel, vh_slice_str(ip),
					ntohs(at.sin_port), conns, 1024);
		vh_http_pool_set_sessions(pool, read_session);
	}

	void listen()
	{
		socklen_t len = sizeof(at);

		listener = evconnlistener_new_bind(
			kernel.base, on_accept, this,
			LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
			(struct sockaddr *)&at, sizeof(at));
		ASSERT_TRUE(listener);
		getsockname(evconnlistener_get_fd(listener),
			    (struct sockaddr *)&at, &len);
	}

	void close(Connection *c)
	{
		connections.erase(c);
		bufferevent_free(c->bev);
		delete c;
	}

	void reset(Connection *c)
	{
		struct linger now = { 1, 0 };

		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
			   &now, sizeof(now));
		close(c);
	}

	void close_output(Connection *c)
	{
		shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	}

	void end_session()
	{
		while (!connections.empty())
			reset(*connections.begin());
		if (listener)
			evconnlistener_free(listener);
		listener = nullptr;
	}

	void next_session()
	{
		end_session();
		session++;
		listen();
	}

	// Written at once: the connection may be closed next.
	void write_bytes(Connection *c, const std::string &bytes)
	{
		ASSERT_EQ(::send(bufferevent_getfd(c->bev), bytes.data(),
				 bytes.size(), MSG_NOSIGNAL),
			  (ssize_t)bytes.size());
	}

	static std::string message(int status, const std::string &body,
				   const std::string &header = "")
	{
		return "HTTP/1.1 " + std::to_string(status) +
		       " X\r\nContent-Length: " + std::to_string(body.size()) +
		       "\r\n" + header + "\r\n" + body;
	}

	std::string naming(const Connection *c)
	{
		return message(200, "session " + std::to_string(c->session));
	}

	void name_session(Connection *c)
	{
		write_bytes(c, naming(c));
		c->named = true;
	}

	void order(uint64_t to, bool answers = false, int64_t max_queue_ms = 0,
		   int64_t opening_timeout_ms = 60000)
	{
		std::string path = "/order/" + std::to_string(to);
		struct vh_http_opening opening = {};
		struct vh_http_request req = {};

		opening.path = "/open";
		opening.body = vh_slice_str("ask");
		opening.timeout_ms = opening_timeout_ms;
		opening.session = to;
		opening.answers = answers;
		req.method = EVHTTP_REQ_POST;
		req.path = path.c_str();
		req.content_type = "application/json";
		req.body = vh_slice_str("order");
		req.timeout_ms = 60000;
		req.max_queue_ms = max_queue_ms;
		req.opening = &opening;
		vh_http_pool_send(pool, &req, on_reply, this);
	}

	void run_until_replies(size_t n)
	{
		while (replies.size() < n)
			event_base_loop(kernel.base, EVLOOP_ONCE);
	}

	void run_until(const std::function<bool()> &condition)
	{
		while (!condition())
			event_base_loop(kernel.base, EVLOOP_ONCE);
	}

	// Lets both sides see what their sockets have received.
	void settle()
	{
		for (int i = 0; i < 20; i++)
			event_base_loop(kernel.base, EVLOOP_NONBLOCK);
	}

	std::vector<std::string> paths()
	{
		std::vector<std::string> out;

		for (auto &r : received)
			out.push_back(r.path);
		return out;
	}

	// The rule that the pool keeps, whatever the server does.
	void expect_orders_at_their_sessions()
	{
		for (auto &r : received) {
			if (r.path == "/open")
				continue;
			EXPECT_EQ(r.path,
				  "/order/" + std::to_string(r.session));
			EXPECT_TRUE(r.named) << r.path;
		}
	}
};

using Paths = std::vector<std::string>;

TEST_F(Sessions, AnOrderFollowsTheReplyThatNamesItsSession)
{
	order(1);
	order(1);
	run_until_replies(2);
	EXPECT_EQ(paths(), (Paths{ "/open", "/order/1", "/order/1" }));
	EXPECT_EQ(n_accepted, 1u);
	for (auto &r : replies) {
		EXPECT_EQ(r.status, 200);
		EXPECT_FALSE(r.not_sent);
	}
	expect_orders_at_their_sessions();
}

TEST_F(Sessions, AnOrderForAnotherSessionIsNotSent)
{
	order(7);
	run_until_replies(1);
	settle();
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_TRUE(replies[0].not_sent);
	EXPECT_EQ(replies[0].status, 200);
	EXPECT_EQ(replies[0].body, "session 1");
}

// libevent opens a closed connection anew with the next request, so the order
// went to whoever accepted that one.
TEST_F(Sessions, AnOrderIsNotSentOnAConnectionThatWasClosedWhileIdle)
{
	order(1);
	run_until_replies(1);
	next_session();
	settle();
	order(1);
	run_until_replies(2);
	settle();
	EXPECT_EQ(paths(), (Paths{ "/open", "/order/1", "/open" }));
	EXPECT_TRUE(replies[1].not_sent);
	expect_orders_at_their_sessions();
}

TEST_F(Sessions, AnOrderIsNotSentIfItsSessionEndsAfterTheOpeningReply)
{
	serve = [this](Connection *c, const std::string &) {
		name_session(c);
		next_session();
	};
	order(1);
	run_until_replies(1);
	settle();
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_EQ(n_accepted, 1u);
	EXPECT_EQ(replies[0].status, 0);
}

TEST_F(Sessions, AnOrderIsNotSentIfTheServerClosesWithTheOpeningReply)
{
	serve = [this](Connection *c, const std::string &) {
		write_bytes(c,
			    message(200, "session 1", "Connection: close\r\n"));
		close(c);
	};
	order(1);
	run_until_replies(1);
	settle();
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_TRUE(replies[0].not_sent);
}

// The reply ends with the connection, which has no length.
TEST_F(Sessions, AnOrderIsNotSentAnewIfTheOpeningReplyEndsTheConnection)
{
	serve = [this](Connection *c, const std::string &) {
		write_bytes(c, "HTTP/1.1 200 X\r\n\r\nsession 1");
		close(c);
	};
	order(1);
	run_until_replies(1);
	settle();
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_EQ(n_accepted, 1u);
	EXPECT_EQ(replies[0].status, 0);
}

// A half-closed connection leads to the same session still.
TEST_F(Sessions, AnOrderOnAHalfClosedConnectionHasNoReply)
{
	serve = [this](Connection *c, const std::string &path) {
		if (path != "/open")
			return;
		name_session(c);
		close_output(c);
	};
	order(1);
	run_until_replies(1);
	settle();
	EXPECT_EQ(n_accepted, 1u);
	EXPECT_EQ(replies[0].status, 0);
	EXPECT_FALSE(replies[0].not_sent);
	expect_orders_at_their_sessions();
}

TEST_F(Sessions, AnOrderThatIsNotAnsweredMayHaveBeenCarriedOut)
{
	serve = [this](Connection *c, const std::string &path) {
		if (path == "/open")
			name_session(c);
		else
			reset(c);
	};
	order(1);
	run_until_replies(1);
	EXPECT_EQ(paths(), (Paths{ "/open", "/order/1" }));
	EXPECT_EQ(replies[0].status, 0);
	EXPECT_FALSE(replies[0].not_sent);
}

TEST_F(Sessions, AnInterimReplyNamesNoSession)
{
	serve = [this](Connection *c, const std::string &path) {
		if (path == "/open")
			write_bytes(c, "HTTP/1.1 100 Continue\r\n\r\n");
		name_session(c);
	};
	order(1);
	run_until_replies(1);
	EXPECT_EQ(paths(), (Paths{ "/open", "/order/1" }));
	EXPECT_EQ(replies[0].status, 200);
	expect_orders_at_their_sessions();
}

// What a request is told that was not sent: the reply to the opening request.
TEST_F(Sessions, AnOrderIsNotSentIfTheOpeningReplyNamesNoSession)
{
	const std::vector<std::pair<int, std::string>> cases = {
		{ 200, "" },	      { 200, "none" },
		{ 409, "session 1" }, { 421, "session 1" },
		{ 429, "session 1" }, { 503, "session 1" },
	};

	for (auto &[status, body] : cases) {
		serve = [this, status = status,
			 body = body](Connection *c, const std::string &) {
			write_bytes(c, message(status, body));
		};
		order(1);
		run_until_replies(replies.size() + 1);
		EXPECT_TRUE(replies.back().not_sent) << status;
		EXPECT_EQ(replies.back().status, status);
		EXPECT_EQ(replies.back().body, body);
	}
	EXPECT_EQ(paths(), Paths(cases.size(), "/open"));
	EXPECT_EQ(n_accepted, 1u);
}

// Two sessions that live at the same time, each with a connection.
TEST_F(Sessions, TwoSessionsOnOnePoolKeepTheirConnections)
{
	open_pool(2);
	order(1);
	run_until_replies(1);
	session = 2;
	order(2);
	run_until_replies(2);
	received.clear();
	for (uint64_t to : { 1, 2, 2, 1 }) {
		order(to);
		run_until_replies(replies.size() + 1);
		EXPECT_FALSE(replies.back().not_sent);
	}
	EXPECT_EQ(paths(),
		  (Paths{ "/order/1", "/order/2", "/order/2", "/order/1" }));
	EXPECT_EQ(n_accepted, 2u);
	expect_orders_at_their_sessions();
}

TEST_F(Sessions, TheOnlyConnectionIsReplacedForAnotherSession)
{
	order(1);
	run_until_replies(1);
	session = 2;
	order(2);
	run_until_replies(2);
	order(1);
	run_until_replies(3);
	settle();
	EXPECT_EQ(paths(),
		  (Paths{ "/open", "/order/1", "/open", "/order/2", "/open" }));
	EXPECT_TRUE(replies[2].not_sent);
	EXPECT_EQ(connections.size(), 1u);
	expect_orders_at_their_sessions();
}

// The connection that a request without an opening has opened is bound too.
TEST_F(Sessions, AReplyToAnyRequestNamesTheSession)
{
	struct vh_http_request ask = {};

	ask.method = EVHTTP_REQ_POST;
	ask.path = "/ask";
	ask.timeout_ms = 60000;
	vh_http_pool_send(pool, &ask, on_reply, this);
	order(1);
	run_until_replies(2);
	EXPECT_EQ(paths(), (Paths{ "/ask", "/order/1" }));
}

TEST_F(Sessions, AnOpeningThatIsNotAnsweredEndsTheOrder)
{
	serve = [](Connection *, const std::string &) {};
	order(1, false, 0, 50);
	run_until_replies(1);
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_EQ(replies[0].status, 0);
	EXPECT_TRUE(replies[0].not_sent);
}

// An order that is too old when the opening ends must not be sent.
TEST_F(Sessions, TheBoundOfTheQueueCountsThroughTheOpening)
{
	constexpr int64_t BOUND_MS = 20;

	serve = [this](Connection *c, const std::string &) {
		usleep(2 * BOUND_MS * 1000);
		name_session(c);
	};
	order(1, false, BOUND_MS);
	run_until_replies(1);
	settle();
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_TRUE(replies[0].not_sent);
}

TEST_F(Sessions, TheOpeningReplyAnswersARequestThatAsksForIt)
{
	order(1, true);
	run_until_replies(1);
	EXPECT_EQ(paths(), Paths{ "/open" });
	EXPECT_EQ(replies[0].body, "session 1");
	EXPECT_FALSE(replies[0].not_sent);
	order(1, true);
	run_until_replies(2);
	EXPECT_EQ(paths(), (Paths{ "/open", "/order/1" }));
	next_session();
	settle();
	order(1, true);
	run_until_replies(3);
	settle();
	EXPECT_EQ(replies[2].body, "session 2");
	expect_orders_at_their_sessions();
}

// A connect that fails at once, and one that is refused.
TEST_F(Sessions, AnOrderWhoseConnectFailsIsNotSent)
{
	end_session();
	order(1);
	EXPECT_EQ(replies.size(), 0u);
	run_until_replies(1);
	vh_http_pool_free(pool);
	pool = vh_http_pool_new(&kernel, vh_slice_str("127.255.255.255"), 80, 1,
				1024);
	vh_http_pool_set_sessions(pool, read_session);
	order(1);
	order(1);
	EXPECT_EQ(replies.size(), 1u);
	run_until_replies(3);
	for (auto &r : replies) {
		EXPECT_EQ(r.status, 0);
		EXPECT_TRUE(r.not_sent);
	}
}

TEST_F(Sessions, APoolIsFreedWhileAnOpeningIsInProgress)
{
	serve = [](Connection *, const std::string &) {};
	order(1);
	order(1);
	run_until([this] { return !received.empty(); });
	vh_http_pool_free(pool);
	pool = nullptr;
	settle();
	EXPECT_EQ(replies.size(), 0u);
	EXPECT_EQ(connections.size(), 0u);
}

TEST_F(Sessions, APoolIsFreedWhileAConnectionIsReplaced)
{
	order(1);
	run_until_replies(1);
	session = 2;
	order(2);
	vh_http_pool_free(pool);
	pool = nullptr;
	settle();
	EXPECT_EQ(replies.size(), 1u);
	EXPECT_EQ(connections.size(), 0u);
}

// An owner of 1,000 workers kept up to four connections to each, and ran out of
// descriptors.
TEST_F(Sessions, MoreConnectionsAreKeptThanTheLimitSays)
{
	vh_http_pool_limit_kept(0);
	order(1, true, 0, 100);
	run_until_replies(1);
	run_until([this] { return connections.empty(); });
	vh_http_pool_limit_kept(3000);
	order(1, true, 0, 100);
	run_until_replies(2);
	usleep(200000);
	event_base_loop(kernel.base, EVLOOP_NONBLOCK);
	EXPECT_EQ(connections.size(), 1u);
}

// libevent keeps a mark on a connection that it closes for bytes that nobody asked
// for. If the next connect was then reset, it ended the process.
TEST_F(Sessions, AConnectIsResetAfterUnaskedBytes)
{
	order(1);
	run_until_replies(1);
	write_bytes(*connections.begin(), "x");
	run_until([this] { return connections.empty(); });
	order(1);
	end_session();
	run_until_replies(2);
	EXPECT_EQ(replies[1].status, 0);
}

// The bytes arrived before the order was sent, so they say nothing about it.
TEST_F(Sessions, BytesAfterTheOpeningReplyAreNoReplyToTheOrder)
{
	serve = [this](Connection *c, const std::string &path) {
		if (path != "/open")
			return reset(c);
		write_bytes(c, naming(c) + message(200, "done"));
		c->named = true;
	};
	order(1);
	run_until_replies(1);
	EXPECT_TRUE(replies[0].not_sent);
	EXPECT_EQ(paths(), Paths{ "/open" });
}

struct FreedPool : Sessions {
	bool free_later = false;

	static void free_pool(void *ctx, const struct vh_http_reply *r)
	{
		FreedPool *t = (FreedPool *)ctx;

		on_reply(t, r);
		if (t->free_later)
			vh_kernel_defer(&t->kernel, free_now, t);
		else
			free_now(t);
	}

	static void free_now(void *ctx)
	{
		FreedPool *t = (FreedPool *)ctx;

		vh_http_pool_free(t->pool);
		t->pool = nullptr;
	}

	// Frees the pool when the order ends, with another one in its queue.
	void order_and_free(uint64_t to, bool answers, int64_t max_queue_ms = 0)
	{
		struct vh_http_opening opening = {};
		struct vh_http_request req = {};

		opening.path = "/open";
		opening.timeout_ms = 60000;
		opening.session = to;
		opening.answers = answers;
		req.method = EVHTTP_REQ_POST;
		req.path = "/order/1";
		req.timeout_ms = 60000;
		req.opening = &opening;
		vh_http_pool_send(pool, &req, free_pool, this);
		order(1, answers, max_queue_ms);
		run_until_replies(1);
		settle();
		EXPECT_EQ(replies.size(), 1u);
		EXPECT_EQ(connections.size(), 0u);
		expect_orders_at_their_sessions();
	}
};

// The request has expired, and its end is deferred until after the pool's. Its
// callback used what its caller had freed with the pool.
TEST_F(FreedPool, BeforeTheEndOfAnExpiredRequest)
{
	serve = [this](Connection *c, const std::string &) {
		usleep(40000);
		name_session(c);
	};
	free_later = true;
	order_and_free(1, true, 20);
}

TEST_F(FreedPool, ByTheEndOfAnOrder)
{
	order_and_free(1, false);
}

TEST_F(FreedPool, ByTheEndOfAnOrderThatIsNotSent)
{
	order_and_free(2, false);
}

TEST_F(FreedPool, ByAnOpeningReply)
{
	order_and_free(1, true);
}

TEST_F(FreedPool, ByAFailedOpening)
{
	end_session();
	order_and_free(1, false);
}

// Draws what a server sends and when it closes, resets or starts again.
struct AnyServer : Sessions {
	std::mt19937 random;
	bool unasked_bytes = false; /* sends more than it is asked for */
	size_t n_sent = 0;

	size_t draw(size_t n)
	{
		return random() % n;
	}

	std::string any_reply(Connection *c)
	{
		const std::string body =
			"session " + std::to_string(c->session);
		const std::string named = naming(c);

		switch (draw(unasked_bytes ? 12 : 8)) {
		case 0:
			return message(200, "none");
		case 1:
			return message(409, body);
		case 2:
			return message(503, "");
		case 3:
			return "HTTP/1.1 100 Continue\r\n\r\n" + named;
		case 4:
			return message(200, body, "Connection: close\r\n");
		case 5:
			return "HTTP/1.1 200 X\r\n\r\n" + body;
		case 8:
			return named + "x";
		case 9:
			return named + named;
		case 10:
			return named + "HTTP/1.1 100 Continue\r\n\r\n";
		default:
			return named;
		}
	}

	void any_end(Connection *c)
	{
		switch (draw(8)) {
		case 0:
			return close(c);
		case 1:
			return reset(c);
		case 2:
			return close_output(c);
		case 3:
			return next_session();
		default:
			return;
		}
	}

	// It may have closed its output, or the client the connection.
	void write_any(Connection *c)
	{
		std::string bytes = any_reply(c);

		if (draw(8) == 0)
			bytes.resize(1 + draw(bytes.size()));
		::send(bufferevent_getfd(c->bev), bytes.data(), bytes.size(),
		       MSG_NOSIGNAL);
		c->named = true;
	}

	void send_any()
	{
		struct vh_http_request ask = {};

		n_sent++;
		if (draw(4)) {
			order(session + 1 - draw(3), draw(4) == 0);
			return;
		}
		ask.method = EVHTTP_REQ_POST;
		ask.path = "/open";
		ask.timeout_ms = 60000;
		vh_http_pool_send(pool, &ask, on_reply, this);
	}

	void any_step()
	{
		Connection *c =
			connections.empty() ? nullptr : *connections.begin();

		switch (draw(8)) {
		case 0:
			event_base_loop(kernel.base, EVLOOP_NONBLOCK);
			break;
		case 1:
			if (c)
				any_end(c);
			break;
		case 2:
			next_session();
			break;
		case 3:
			settle();
			break;
		case 4:
			if (c && unasked_bytes)
				write_any(c);
			break;
		default:
			send_any();
		}
	}

	void serve_any()
	{
		serve = [this](Connection *c, const std::string &) {
			if (draw(6))
				write_any(c);
			any_end(c);
		};
	}

	void run_seed(unsigned seed)
	{
		constexpr int STEPS = 40;

		random.seed(seed);
		next_session();
		open_pool(1 + draw(3));
		received.clear();
		replies.clear();
		n_sent = 0;
		serve_any();
		for (int i = 0; i < STEPS; i++)
			any_step();
		next_session();
		serve = [this](Connection *c, const std::string &) {
			name_session(c);
		};
		run_until_replies(n_sent);
		expect_orders_at_their_sessions();
	}
};

// An order that was meant for the former session reached the next one.
TEST_F(AnyServer, OrdersReachTheirSessionOrNone)
{
	for (unsigned seed = 1; seed <= 300 && !HasFailure(); seed++) {
		SCOPED_TRACE(seed);
		run_seed(seed);
	}
}

// The same from a server that also sends bytes that nobody asked for.
TEST_F(AnyServer, OrdersReachTheirSessionOrNoneAmidUnaskedBytes)
{
	unasked_bytes = true;
	for (unsigned seed = 1; seed <= 300 && !HasFailure(); seed++) {
		SCOPED_TRACE(seed);
		run_seed(seed);
	}
}

} // namespace
