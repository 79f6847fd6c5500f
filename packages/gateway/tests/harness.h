#ifndef HARNESS_H
#define HARNESS_H

/*
 * Runs a gateway with fakes of the services it uses, and sends it raw HTTP
 * requests. Internal to the package's tests; included by test_gateway.cc,
 * test_limits.cc and upstreams.h.
 */

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

extern "C" {
#include "vh/core.h"
#include "vh/gateway.h"
#include "vh/invariant.h"
}

inline std::string slice_to_string(struct vh_slice s)
{
	return s.len ? std::string(s.data, s.len) : std::string();
}

inline struct vh_slice to_slice(const std::string &s)
{
	return vh_slice(s.data(), s.size());
}

inline std::string sha256(const std::string &text)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						  text.c_str(), -1);
	std::string s = hex;

	g_free(hex);
	return s;
}

/* A client connection that sends and receives raw bytes. */
class Client
{
      public:
	Client(struct vh_kernel *kernel, uint16_t port)
	{
		struct sockaddr_in to = {};

		to.sin_family = AF_INET;
		to.sin_port = htons(port);
		inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
		bev = bufferevent_socket_new(kernel->base, -1,
					     BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(bev, on_read, nullptr, on_event, this);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		bufferevent_socket_connect(bev, (struct sockaddr *)&to,
					   sizeof(to));
	}

	~Client()
	{
		if (bev)
			bufferevent_free(bev);
	}

	Client(const Client &) = delete;
	Client &operator=(const Client &) = delete;

	void send(const std::string &bytes)
	{
		if (bev)
			bufferevent_write(bev, bytes.data(), bytes.size());
	}

	void request(const std::string &method, const std::string &path,
		     const std::string &key, const std::string &body = "",
		     const std::string &extra_headers = "")
	{
		send(method + " " + path + " HTTP/1.1\r\nHost: n\r\n" +
		     (key.empty() ? ""
				  : "Authorization: Bearer " + key + "\r\n") +
		     extra_headers + "Content-Length: " +
		     std::to_string(body.size()) + "\r\n\r\n" + body);
	}

	void close()
	{
		bufferevent_free(bev);
		bev = nullptr;
	}

	/* Number of complete responses received; needs Content-Length. */
	size_t response_count() const
	{
		size_t n = 0, at = 0;

		while (next_response(&at))
			n++;
		return n;
	}

	int status(size_t index = 0) const
	{
		size_t at = response_offset(index);

		return at + 12 <= received.size()
			       ? atoi(received.c_str() + at + 9)
			       : 0;
	}

	std::string body(size_t index = 0) const
	{
		size_t at = response_offset(index);
		size_t end = received.find("\r\n\r\n", at);

		if (end == std::string::npos)
			return "";
		return received.substr(end + 4, length(at, end));
	}

	std::string header(const std::string &name, size_t index = 0) const
	{
		size_t at = response_offset(index);
		size_t end = received.find("\r\n\r\n", at);
		size_t h = received.find("\r\n" + name + ": ", at);

		if (h == std::string::npos || h > end)
			return "";
		h += name.size() + 4;
		return received.substr(h, received.find("\r\n", h) - h);
	}

	std::string received;
	bool closed = false;

      private:
	size_t length(size_t at, size_t end) const
	{
		size_t h = received.find("Content-Length: ", at);

		return h < end ? strtoul(received.c_str() + h + 16, nullptr, 10)
			       : 0;
	}

	bool next_response(size_t *at) const
	{
		size_t end = received.find("\r\n\r\n", *at);

		if (end == std::string::npos ||
		    end + 4 + length(*at, end) > received.size())
			return false;
		*at = end + 4 + length(*at, end);
		return true;
	}

	size_t response_offset(size_t index) const
	{
		size_t at = 0;

		while (index--)
			next_response(&at);
		return at;
	}

	static void on_read(struct bufferevent *bev, void *ctx)
	{
		auto *c = static_cast<Client *>(ctx);
		char buf[65536];
		size_t n;

		while ((n = bufferevent_read(bev, buf, sizeof(buf))) > 0)
			c->received.append(buf, n);
	}

	static void on_event(struct bufferevent *bev, short what, void *ctx)
	{
		(void)bev;
		if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
			static_cast<Client *>(ctx)->closed = true;
	}

	struct bufferevent *bev;
};

/* Fakes of the services that the gateway uses, scripted by the test. */
struct FakeCore {
	struct HeldGet {
		void (*done)(void *ctx, enum vh_err err, struct vh_slice json);
		void *ctx;
		int64_t wait_ms;
		std::string id;
	};

	struct Submitted {
		std::string team, key, request, queue;
		uint32_t n_tasks;
	};

	struct PendingSubmit {
		FakeCore *core;
		void (*done)(void *ctx, enum vh_err err, struct vh_slice id,
			     struct vh_slice message);
		void *ctx;
		enum vh_err err;
	};

	explicit FakeCore(struct vh_kernel *k) : kernel(k)
	{
		config_ops = {};
		config_ops.objects = [](void *self) {
			auto *c = static_cast<FakeCore *>(self);

			return c->loaded
				       ? (const struct vh_objects *)&c->objects
				       : nullptr;
		};
		config_ops.version = [](void *self) {
			return static_cast<FakeCore *>(self)->version;
		};
		config_ops.age_ms = [](void *self) {
			return static_cast<FakeCore *>(self)->age_ms;
		};
		config_ops.publish = publish;
		config_ops.text = [](void *self) {
			return to_slice(static_cast<FakeCore *>(self)->text);
		};
		config_ops.watch = [](void *self, void (*fn)(void *),
				      void *ctx) {
			auto *c = static_cast<FakeCore *>(self);

			c->watch_fn = fn;
			c->watch_ctx = ctx;
		};
		config_ops.history = [](void *self, size_t limit,
					struct vh_buf *json) {
			(void)self;
			(void)limit;
			vh_buf_add_str(json, "{\"versions\":[]}");
		};
		config_ops.text_at = [](void *self, uint64_t version,
					struct vh_buf *out) {
			(void)self;
			(void)out;
			return version == 0;
		};
		jobs_ops = {};
		jobs_ops.submit = submit;
		jobs_ops.get = get;
		jobs_ops.cancel = cancel;
		jobs_ops.explain = explain;
		add_service(&config, "config", &config_ops);
		add_service(&jobs, "jobs", &jobs_ops);
	}

	void add_service(struct vh_service *s, const char *name,
			 const void *ops)
	{
		*s = {};
		s->name = name;
		s->self = this;
		s->ops = ops;
		vh_kernel_add(kernel, s);
	}

	~FakeCore()
	{
		if (loaded)
			vh_objects_finish(&objects);
	}

	void load(const std::string &ini)
	{
		struct vh_ini_source src = { vh_slice_str("test.ini"),
					     to_slice(ini) };
		struct vh_problems problems;
		struct vh_buf out;

		vh_problems_init(&problems);
		if (loaded)
			vh_objects_finish(&objects);
		loaded = vh_objects_load(&objects, &src, 1, &problems);
		EXPECT_TRUE(loaded);
		for (size_t i = 0; i < problems.n; i++) {
			if (!loaded)
				ADD_FAILURE() << problems.items[i].text;
		}
		vh_problems_finish(&problems);
		vh_buf_init(&out);
		vh_objects_render(&objects, &out);
		text = slice_to_string(vh_buf_slice(&out));
		vh_buf_finish(&out);
		version++;
		if (watch_fn)
			watch_fn(watch_ctx);
	}

	static void publish(void *self, uint64_t base, struct vh_slice author,
			    struct vh_slice id, struct vh_slice ini,
			    void (*done)(void *, enum vh_err, uint64_t,
					 struct vh_slice),
			    void *ctx)
	{
		auto *c = static_cast<FakeCore *>(self);

		/* Stored as AUTHOR/PUBLISH-ID. */
		c->author = slice_to_string(author) + "/" + slice_to_string(id);
		if (base != c->version) {
			done(ctx, VH_ERR_VERSION_SUPERSEDED, c->version,
			     vh_slice_str(""));
			return;
		}
		c->load(slice_to_string(ini));
		done(ctx, VH_OK, c->version, vh_slice_str(""));
	}

	static void submit(void *self, const struct vh_submit_request *s,
			   int64_t timeout_ms,
			   void (*done)(void *, enum vh_err, struct vh_slice,
					struct vh_slice),
			   void *ctx)
	{
		auto *c = static_cast<FakeCore *>(self);
		enum vh_err err = VH_OK;

		(void)timeout_ms;
		c->submitted.push_back(
			{ slice_to_string(s->team->name),
			  slice_to_string(s->key), slice_to_string(s->request),
			  slice_to_string(s->spec->queue), s->spec->n_tasks });
		if (!c->submit_errors.empty()) {
			err = c->submit_errors.front();
			c->submit_errors.erase(c->submit_errors.begin());
		}
		auto *pending = new PendingSubmit{ c, done, ctx, err };

		if (c->hold_submits)
			c->held_submits.push_back(pending);
		else
			vh_kernel_defer(c->kernel, complete_submit, pending);
	}

	static void complete_submit(void *ctx)
	{
		auto *pending = static_cast<PendingSubmit *>(ctx);

		pending->done(pending->ctx, pending->err,
			      vh_slice_str(pending->err == VH_OK ? "shop.0.1.1"
								 : ""),
			      vh_slice_str(""));
		delete pending;
	}

	static void get(void *self, struct vh_slice team, struct vh_slice id,
			int64_t wait_ms,
			void (*done)(void *, enum vh_err, struct vh_slice),
			void *ctx)
	{
		auto *c = static_cast<FakeCore *>(self);

		if (slice_to_string(id).rfind(slice_to_string(team) + ".", 0) !=
		    0)
			done(ctx, VH_ERR_NOT_FOUND, vh_slice_str(""));
		else if (wait_ms)
			c->held_gets.push_back(
				{ done, ctx, wait_ms, slice_to_string(id) });
		else
			done(ctx, VH_OK,
			     vh_slice_str("{\"state\":\"waiting\"}"));
	}

	static void cancel(void *self, struct vh_slice team, struct vh_slice id,
			   void (*done)(void *, enum vh_err, struct vh_slice),
			   void *ctx)
	{
		(void)self;
		if (slice_to_string(id).rfind(slice_to_string(team) + ".", 0) !=
		    0)
			done(ctx, VH_ERR_NOT_FOUND, vh_slice_str(""));
		else
			done(ctx, VH_OK,
			     vh_slice_str("{\"state\":\"cancelled\"}"));
	}

	static void explain(void *self, struct vh_slice id,
			    void (*done)(void *, enum vh_err, struct vh_slice),
			    void *ctx)
	{
		(void)self;
		(void)id;
		done(ctx, VH_OK, vh_slice_str("{\"why\":\"no room\"}"));
	}

	struct vh_kernel *kernel;
	struct vh_config_ops config_ops;
	struct vh_jobs_ops jobs_ops;
	struct vh_service config, jobs;
	struct vh_objects objects;
	bool loaded = false;
	uint64_t version = 0;
	int64_t age_ms = 0;
	std::string text, author;
	void (*watch_fn)(void *) = nullptr;
	void *watch_ctx = nullptr;
	std::vector<Submitted> submitted;
	std::vector<enum vh_err> submit_errors;
	std::vector<PendingSubmit *> held_submits;
	bool hold_submits = false;
	std::vector<HeldGet> held_gets;
};

/* A gateway with fake services, on an event loop of its own. */
class GatewayTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		vh_invariant_set_abort(true);
		vh_kernel_init(&kernel, vh_clock_system());
		core = std::make_unique<FakeCore>(&kernel);
		token.name = vh_slice_str("amir");
		vh_key_hash(vh_slice_str("op-token"), token.hash);
		settings = {};
		settings.node = vh_slice_str("node-1");
		settings.region = vh_slice_str("lahore");
		settings.zone = vh_slice_str("lahore-a");
		settings.callers_address = vh_slice_str("127.0.0.1");
		settings.operators_address = vh_slice_str("127.0.0.1");
		settings.operators = &token;
		settings.n_operators = 1;
		settings.drain_settle_ms = 300;
	}

	void start()
	{
		GError *err = nullptr;

		gateway = vh_gateway_new(&settings, &kernel);
		vh_kernel_add(&kernel, vh_gateway_service(gateway));
		ASSERT_TRUE(vh_kernel_start(&kernel, &err));
		core->load(ini());
	}

	void TearDown() override
	{
		clients.clear();
		if (gateway) {
			auto *s = vh_gateway_service(gateway);

			s->stop(s->self);
		}
		vh_gateway_free(gateway);
		for (auto *pending : core->held_submits)
			delete pending;
		core.reset();
		vh_kernel_finish(&kernel);
		vh_invariant_set_abort(false);
	}

	virtual std::string ini() const
	{
		return "[share \"gold\"]\nweight = 10\n"
		       "[limit \"few\"]\nrequests_per_s = 2\n"
		       "[team \"shop\"]\nshare = gold\n"
		       "[team \"yard\"]\nshare = gold\n"
		       "[team \"rare\"]\nshare = gold\nlimit = few\n"
		       "[key \"shop-1\"]\nteam = shop\nsha256 = " +
		       sha256("shop-key") +
		       "\n[key \"yard-1\"]\nteam = yard\nsha256 = " +
		       sha256("yard-key") +
		       "\n[key \"rare-1\"]\nteam = rare\nsha256 = " +
		       sha256("rare-key") +
		       "\n[queue \"open\"]\n"
		       "[queue \"checks\"]\nteams = shop\nclass = urgent\n" +
		       extra_ini;
	}

	static std::string withdraw_key(std::string ini, const std::string &key)
	{
		std::string group = "[key \"" + key + "\"]\n";
		size_t at = ini.find(group);

		return ini.insert(at + group.size(), "withdrawn = true\n");
	}

	Client *connect_caller()
	{
		clients.push_back(std::make_unique<Client>(
			&kernel, vh_gateway_callers_port(gateway)));
		return clients.back().get();
	}

	Client *connect_operator()
	{
		clients.push_back(std::make_unique<Client>(
			&kernel, vh_gateway_operators_port(gateway)));
		return clients.back().get();
	}

	/* Runs the event loop until @cond holds or @limit_ms has passed;
	 * returns whether @cond holds. A @cond that never holds makes it a
	 * delay. */
	bool run_until(const std::function<bool()> &cond, int limit_ms = 20000)
	{
		int64_t end = vh_kernel_now_ms(&kernel) + limit_ms;
		struct timeval tv = { 0, 2000 };

		while (!cond() && vh_kernel_now_ms(&kernel) < end) {
			event_base_loopexit(kernel.base, &tv);
			event_base_loop(kernel.base, EVLOOP_NO_EXIT_ON_EMPTY);
		}
		return cond();
	}

	bool wait_for_responses(Client *c, size_t n = 1)
	{
		return run_until([&] { return c->response_count() >= n; });
	}

	struct vh_kernel kernel;
	std::unique_ptr<FakeCore> core;
	struct vh_operator_token token;
	struct vh_gateway_settings settings;
	struct vh_gateway *gateway = nullptr;
	std::vector<std::unique_ptr<Client>> clients;
	std::string extra_ini;
};

#endif
