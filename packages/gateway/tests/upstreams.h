#ifndef UPSTREAMS_H
#define UPSTREAMS_H

/*
 * Extends the gateway's test fixture with services and scripted upstreams.
 * Internal to the package's tests; included by test_service.cc.
 */

#include "harness.h"

#include <event2/listener.h>

#include <deque>
#include <map>
#include <set>

/* An upstream whose responses the test scripts byte by byte. */
class FakeUpstream
{
      public:
	struct Request {
		FakeUpstream *upstream;
		struct bufferevent *bev;
		std::string head, body, id;

		void send_raw(const std::string &bytes) const
		{
			bufferevent_write(bev, bytes.data(), bytes.size());
		}

		void respond(const std::string &body, int status = 200,
			     const std::string &extra_headers = "") const
		{
			send_raw("HTTP/1.1 " + std::to_string(status) +
				 " X\r\nVh-Request-Id: " + id + "\r\n" +
				 extra_headers + "Content-Length: " +
				 std::to_string(body.size()) + "\r\n\r\n" +
				 body);
		}

		/* Flushes the output and closes the connection. */
		void shut_down() const
		{
			evbuffer_unfreeze(bufferevent_get_output(bev), 1);
			evbuffer_write(bufferevent_get_output(bev),
				       bufferevent_getfd(bev));
			shutdown(bufferevent_getfd(bev), SHUT_RDWR);
		}
	};

	using Script = std::function<void(const Request &)>;

	FakeUpstream(struct vh_kernel *kernel, Script script)
	    : base(kernel->base), serve(std::move(script))
	{
		struct sockaddr_in at = {};
		socklen_t len = sizeof(at);

		at.sin_family = AF_INET;
		inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
		listener = evconnlistener_new_bind(
			base, on_accept, this,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&at, sizeof(at));
		getsockname(evconnlistener_get_fd(listener),
			    (struct sockaddr *)&at, &len);
		port = ntohs(at.sin_port);
	}

	~FakeUpstream()
	{
		stop();
	}

	FakeUpstream(const FakeUpstream &) = delete;
	FakeUpstream &operator=(const FakeUpstream &) = delete;

	void stop()
	{
		if (listener)
			evconnlistener_free(listener);
		listener = nullptr;
		for (auto *b : conns)
			bufferevent_free(b);
		conns.clear();
	}

	uint16_t port;
	std::vector<Request> requests;
	std::set<struct bufferevent *> conns;
	size_t max_conns = 0;

      private:
	static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
			      struct sockaddr *from, int len, void *ctx)
	{
		auto *u = static_cast<FakeUpstream *>(ctx);
		auto *bev = bufferevent_socket_new(u->base, fd,
						   BEV_OPT_CLOSE_ON_FREE);

		(void)l;
		(void)from;
		(void)len;
		bufferevent_setcb(bev, on_read, nullptr, on_event, u);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		u->conns.insert(bev);
		u->max_conns = std::max(u->max_conns, u->conns.size());
	}

	static std::string find(const std::string &head, const char *name)
	{
		std::string key = std::string("\r\n") + name + ": ";
		size_t at = head.find(key);

		if (at == std::string::npos)
			return "";
		at += key.size();
		return head.substr(at, head.find("\r\n", at) - at);
	}

	static void on_read(struct bufferevent *bev, void *ctx)
	{
		auto *u = static_cast<FakeUpstream *>(ctx);
		struct evbuffer *in = bufferevent_get_input(bev);
		size_t n = evbuffer_get_length(in);
		std::string all((char *)evbuffer_pullup(in, -1), n);
		size_t end = all.find("\r\n\r\n");

		if (end == std::string::npos)
			return;
		Request r = { u, bev, all.substr(0, end + 2), "", "" };
		size_t want = strtoul(find(r.head, "Content-Length").c_str(),
				      nullptr, 10);

		if (n < end + 4 + want)
			return;
		r.body = all.substr(end + 4, want);
		r.id = find(r.head, "Vh-Request-Id");
		evbuffer_drain(in, end + 4 + want);
		u->requests.push_back(r);
		u->serve(r);
	}

	static void on_event(struct bufferevent *bev, short what, void *ctx)
	{
		(void)what;
		static_cast<FakeUpstream *>(ctx)->conns.erase(bev);
		bufferevent_free(bev);
	}

	struct event_base *base;
	struct evconnlistener *listener;
	Script serve;
};

/* Gateway tests with the services "stock" (idempotent) and "refunds" (not). */
class ServiceTest : public GatewayTest
{
      protected:
	void SetUp() override
	{
		GatewayTest::SetUp();
		extra_ini = "[service \"stock\"]\nteam = shop\n"
			    "teams = shop\nidempotent = true\n"
			    "timeout_ms = 3000\n"
			    "[service \"refunds\"]\nteam = shop\n"
			    "idempotent = false\ntimeout_ms = 3000\n";
		core->jobs_ops.request_begin = request_begin;
		core->jobs_ops.request_end = request_end;
		ops.lookup = lookup;
		ops.wait = wait;
		service = {};
		service.name = "upstreams";
		service.self = this;
		service.ops = &ops;
		vh_kernel_add(&kernel, &service);
	}

	void TearDown() override
	{
		upstreams.clear();
		GatewayTest::TearDown();
	}

	FakeUpstream *add_upstream(FakeUpstream::Script script,
				   const char *zone = "lahore-a",
				   const char *region = "lahore")
	{
		struct vh_upstream u = {};

		upstreams.push_back(std::make_unique<FakeUpstream>(
			&kernel, std::move(script)));
		names.push_back("w-" + std::to_string(names.size()));
		u.worker = to_slice(names.back());
		u.address = vh_slice_str("127.0.0.1");
		u.port = upstreams.back()->port;
		u.region = vh_slice_str(region);
		u.zone = vh_slice_str(zone);
		u.replicas = 1;
		u.size.v[VH_SLOTS] = 8;
		u.size.v[VH_CONNS] = 64;
		upstream_list.push_back(u);
		return upstreams.back().get();
	}

	Client *send_request(const std::string &service_name = "stock",
			     const std::string &body = "argon?",
			     const std::string &extra_headers = "")
	{
		auto *c = connect_caller();

		c->request("POST", "/v1/services/" + service_name + "/requests",
			   "shop-key", body, extra_headers);
		return c;
	}

	static size_t lookup(void *self, struct vh_slice name,
			     const struct vh_upstream **out, int64_t *age_ms)
	{
		auto *t = static_cast<ServiceTest *>(self);

		(void)name;
		*out = t->upstream_list.data();
		*age_ms = t->list_known ? 0 : -1;
		return t->upstream_list.size();
	}

	static void wait(void *self, struct vh_slice name, int64_t timeout_ms,
			 void (*fn)(void *), void *ctx)
	{
		auto *t = static_cast<ServiceTest *>(self);

		(void)name;
		(void)timeout_ms;
		t->change_waits.emplace_back(fn, ctx);
	}

	void notify_changes()
	{
		auto all = std::move(change_waits);

		change_waits.clear();
		for (auto &w : all)
			w.first(w.second);
	}

	/* Fakes of the operations that record non-idempotent requests. */
	static void request_begin(void *self, const struct vh_team *team,
				  struct vh_slice key, uint64_t fingerprint,
				  void (*done)(void *, enum vh_err, uint32_t),
				  void *ctx)
	{
		auto *core = static_cast<FakeCore *>(self);
		auto &r = records()[slice_to_string(key)];
		enum vh_err err = VH_OK;

		(void)team;
		if (r.begun && r.fingerprint != fingerprint)
			err = VH_ERR_CONFLICT;
		else if (r.ended)
			err = VH_ERR_CANCELLED;
		else if (r.begun)
			err = VH_ERR_UNKNOWN_OUTCOME;
		r.begun = true;
		r.fingerprint = fingerprint;
		struct Deferred {
			void (*done)(void *, enum vh_err, uint32_t);
			void *ctx;
			enum vh_err err;
			uint32_t status;
		};
		vh_kernel_defer(
			core->kernel,
			[](void *p) {
				auto *d = static_cast<Deferred *>(p);

				d->done(d->ctx, d->err, d->status);
				delete d;
			},
			new Deferred{ done, ctx, err, r.ended });
	}

	static void request_end(void *self, const struct vh_team *team,
				struct vh_slice key, uint32_t status,
				void (*done)(void *, enum vh_err), void *ctx)
	{
		auto *core = static_cast<FakeCore *>(self);

		(void)team;
		if (status)
			records()[slice_to_string(key)].ended = status;
		else
			records().erase(slice_to_string(key));
		struct Deferred {
			void (*done)(void *, enum vh_err);
			void *ctx;
		};
		vh_kernel_defer(
			core->kernel,
			[](void *p) {
				auto *d = static_cast<Deferred *>(p);

				d->done(d->ctx, VH_OK);
				delete d;
			},
			new Deferred{ done, ctx });
	}

	struct Record {
		bool begun = false;
		uint64_t fingerprint = 0;
		uint32_t ended = 0;
	};

	static std::map<std::string, Record> &records()
	{
		static std::map<std::string, Record> all;

		return all;
	}

	uint64_t counter(const char *name)
	{
		return *vh_metrics_counter(&kernel.metrics, name, "");
	}

	struct vh_upstreams_ops ops = {};
	struct vh_service service;
	std::vector<std::unique_ptr<FakeUpstream>> upstreams;
	std::vector<struct vh_upstream> upstream_list;
	std::deque<std::string> names;
	std::vector<std::pair<void (*)(void *), void *>> change_waits;
	bool list_known = true;
};

#endif
