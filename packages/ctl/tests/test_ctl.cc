#include <gtest/gtest.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <sys/queue.h>

#include <string>
#include <vector>

extern "C" {
#include "ctl.h"
#include "vh/delta.h"
#include "vh/objects.h"
}

namespace
{

const char token[] = "op-token";

/* How the fake node fails a publish. */
enum fault {
	NO_FAULT,
	LOSE_REPLY,   /* publishes, then responds 500 unknown_outcome */
	LOSE_REQUEST, /* responds 500 unknown_outcome without publishing */
	LOSE_REPLY_THEN_RACE /* as LOSE_REPLY, and another publish follows */
};

struct Version {
	uint64_t version;
	uint64_t base;
	std::string id;
	std::string text;
};

/* A fake operators' listener of a node, on the event loop of the test. */
struct FakeNode {
	struct event_base *loop = event_base_new();
	struct evhttp *http = evhttp_new(loop);
	std::vector<Version> versions;
	std::vector<fault> faults;
	/* number of status responses that are a version behind */
	int lag = 0;
	int publishes = 0;
	int metrics_requests = 0;
	int port = 0;

	FakeNode()
	{
		struct evhttp_bound_socket *s =
			evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
		struct sockaddr_in addr = {};
		socklen_t len = sizeof(addr);

		getsockname(evhttp_bound_socket_get_fd(s),
			    (struct sockaddr *)&addr, &len);
		port = ntohs(addr.sin_port);
		evhttp_set_gencb(http, on_request, this);
	}

	~FakeNode()
	{
		evhttp_free(http);
		event_base_free(loop);
	}

	uint64_t now() const
	{
		return versions.empty() ? 0 : versions.back().version;
	}

	void add(uint64_t base, const std::string &id, const std::string &text)
	{
		versions.push_back({ now() + 1, base, id, text });
	}

	static void reply(struct evhttp_request *req, int status,
			  const std::string &body)
	{
		struct evbuffer *out = evbuffer_new();

		evbuffer_add(out, body.data(), body.size());
		evhttp_send_reply(req, status, "x", out);
		evbuffer_free(out);
	}

	static std::string error(const char *kind)
	{
		return std::string("{\"error\":{\"kind\":\"") + kind +
		       "\",\"message\":\"m\",\"outcome\":\"unknown\"}}";
	}

	void on_publish(struct evhttp_request *req, uint64_t base)
	{
		const char *id = evhttp_find_header(
			evhttp_request_get_input_headers(req), "Vh-Publish-Id");
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(in);
		std::string text((const char *)evbuffer_pullup(in, -1), len);
		fault f = publishes < (int)faults.size() ? faults[publishes]
							 : NO_FAULT;

		publishes++;
		if (base != now()) {
			reply(req, 409,
			      "{\"error\":{\"kind\":\"version_superseded\"},"
			      "\"base\":" +
				      std::to_string(base) +
				      ",\"version\":" + std::to_string(now()) +
				      ",\"differs\":[\"queue \\\"q\\\"\"]}");
			return;
		}
		if (f != LOSE_REQUEST)
			add(base, id ? id : "", text);
		if (f == LOSE_REPLY_THEN_RACE)
			add(now(), "other", text);
		if (f == NO_FAULT)
			reply(req, 200,
			      "{\"version\":" + std::to_string(now()) + "}");
		else
			reply(req, 500, error("unknown_outcome"));
	}

	std::string history() const
	{
		std::string s;

		for (auto &v : versions)
			s = "{\"version\":" + std::to_string(v.version) +
			    ",\"base\":" + std::to_string(v.base) +
			    ",\"author\":\"asma\",\"id\":\"" + v.id + "\"}" +
			    (s.empty() ? "" : ",") + s;
		return "{\"versions\":[" + s + "]}";
	}

	/* Each request adds 90 waits up to 0.5 s and 10 up to 2 s. */
	std::string metrics()
	{
		const char *l = "vh_request_waiting_seconds_bucket{team=\"t\","
				"class=\"urgent\",le=\"";
		int n = ++metrics_requests;

		return std::string("# TYPE x histogram\n") + l + "0.5\"} " +
		       std::to_string(90 * n) + "\n" + l + "2\"} " +
		       std::to_string(100 * n) + "\n" + l + "+Inf\"} " +
		       std::to_string(100 * n) +
		       "\nvh_refusals_total{team=\"t\",kind=\"<b>\"} 3\n"
		       "vh_uptime_seconds{} 10\n"
		       "vh_process_cpu_seconds_total{} 5\n";
	}

	void on_get(struct evhttp_request *req, const std::string &uri)
	{
		size_t at = uri.find("config?version=");
		uint64_t version = now();

		if (at != std::string::npos)
			version = std::stoull(uri.substr(at + 15));
		if (uri.find("/v1/config/history") == 0) {
			reply(req, 200, history());
		} else if (uri.find("/v1/config") == 0) {
			evhttp_add_header(
				evhttp_request_get_output_headers(req),
				"Vh-Version", std::to_string(version).c_str());
			reply(req, version > now() ? 404 : 200,
			      version && version <= now()
				      ? versions[version - 1].text
				      : "");
		} else if (uri == "/v1/status") {
			uint64_t v = lag-- > 0 ? now() - 1 : now();

			reply(req, 200,
			      "{\"node\":\"n1\",\"version\":" +
				      std::to_string(v) + "}");
		} else if (uri == "/v1/nodes") {
			reply(req, 200,
			      "{\"nodes\":[{\"id\":\"n1\",\"state\":"
			      "\"alive\",\"operators\":\"\"},{\"id\":\"n2\","
			      "\"state\":\"dead\"}]"
			      "}");
		} else if (uri == "/v1/jobs") {
			reply(req, 200,
			      "{\"jobs\":[{\"id\":\"t.0.1.2\",\"size\":"
			      "{\"cpus\":4}}],\"homes\":[{\"home\":"
			      "\"home/t/0\",\"committed\":{\"cpus\":4}}]}");
		} else if (uri == "/v1/workers") {
			reply(req, 200,
			      "[{\"id\":\"w1\",\"capacity\":{\"cpus\":16},"
			      "\"free\":{\"cpus\":4}}]");
		} else if (uri == "/metrics") {
			reply(req, 200, metrics());
		} else {
			reply(req, 404, error("not_found"));
		}
	}

	static void on_request(struct evhttp_request *req, void *ctx)
	{
		FakeNode *n = static_cast<FakeNode *>(ctx);
		std::string uri = evhttp_request_get_uri(req);
		const char *auth = evhttp_find_header(
			evhttp_request_get_input_headers(req), "Authorization");

		if (!auth ||
		    std::string(auth) != std::string("Bearer ") + token)
			reply(req, 401, error("unauthenticated"));
		else if (evhttp_request_get_command(req) == EVHTTP_REQ_POST)
			n->on_publish(req, std::stoull(uri.substr(
						   uri.find('=') + 1)));
		else
			n->on_get(req, uri);
	}
};

struct Result {
	int code;
	std::string out;
	std::string err;
};

std::string read_all(FILE *f)
{
	std::string s;
	int ch;

	rewind(f);
	while ((ch = fgetc(f)) != EOF)
		s += (char)ch;
	fclose(f);
	return s;
}

Result run(struct event_base *loop, std::vector<std::string> args)
{
	std::vector<char *> argv;
	FILE *out = tmpfile();
	FILE *err = tmpfile();
	Result r;

	args.insert(args.begin(), "vhctl");
	for (auto &a : args)
		argv.push_back(&a[0]);
	argv.push_back(nullptr);
	r.code = ctl_main(loop, out, err, (int)args.size(), argv.data());
	r.out = read_all(out);
	r.err = read_all(err);
	return r;
}

class Ctl : public ::testing::Test
{
      protected:
	FakeNode node;
	std::string path;

	void SetUp() override
	{
		char *name = nullptr;
		int fd = g_file_open_tmp("vhctl-XXXXXX.ini", &name, nullptr);

		ASSERT_GE(fd, 0);
		g_close(fd, nullptr);
		path = name;
		g_free(name);
		write(valid_objects());
		g_setenv("VHCTL_TOKEN", token, TRUE);
		g_setenv("VHCTL_SERVER",
			 ("127.0.0.1:" + std::to_string(node.port)).c_str(),
			 TRUE);
	}

	void TearDown() override
	{
		g_unlink(path.c_str());
	}

	static std::string valid_objects()
	{
		return "[share \"s\"]\nweight = 1\n[team \"t\"]\nshare = s\n"
		       "[queue \"q\"]\n";
	}

	void write(const std::string &text) const
	{
		g_file_set_contents(path.c_str(), text.data(),
				    (gssize)text.size(), nullptr);
	}

	Result ctl(std::vector<std::string> args) const
	{
		return run(node.loop, args);
	}
};

} // namespace

TEST_F(Ctl, CheckNeedsNoServer)
{
	Result r = ctl({ "check", path });

	EXPECT_EQ(r.code, CTL_OK) << r.err;
	write("[team \"t\"]\nshare = s\n[queue \"Q\"]\n");
	r = ctl({ "check", path });
	EXPECT_EQ(r.code, CTL_INVALID);
	EXPECT_NE(r.err.find("there is no [share \"s\"]"), std::string::npos);
	EXPECT_NE(r.err.find("malformed name"), std::string::npos);
	r = ctl({ "check", "--output", "json", path });
	EXPECT_EQ(r.code, CTL_INVALID);
	EXPECT_NE(r.out.find("\"key\": \"share\""), std::string::npos);
}

TEST_F(Ctl, RejectsInvalidCommandLines)
{
	std::vector<std::vector<std::string>> rows = {
		{},
		{ "nonsense" },
		{ "check" },
		{ "publish" },
		{ "rollback", "x" },
		{ "key", "grant" },
		{ "status", "--output", "xml" },
		{ "status", "--colour" },
		{ "explain", "a b" },
	};

	for (auto &row : rows)
		EXPECT_EQ(ctl(row).code, CTL_USAGE) << row.size();
	EXPECT_EQ(ctl({ "help" }).code, CTL_OK);
	EXPECT_NE(ctl({ "publish", "--help" }).out.find("--wait"),
		  std::string::npos);
}

TEST_F(Ctl, PublishesGetsAndDiffs)
{
	Result r = ctl({ "publish", "--wait", path });

	EXPECT_EQ(r.code, CTL_OK) << r.err;
	EXPECT_NE(r.out.find("version 1: in force on every live node"),
		  std::string::npos);
	r = ctl({ "get", "queue", "q" });
	EXPECT_EQ(r.code, CTL_OK);
	EXPECT_EQ(r.out.find("# version 1\n[queue \"q\"]\n"), 0u) << r.out;
	EXPECT_EQ(ctl({ "get", "queue", "nope" }).code, CTL_FAILED);
	EXPECT_NE(ctl({ "list" }).out.find("share"), std::string::npos);
	EXPECT_NE(ctl({ "diff", path }).out.find("no difference"),
		  std::string::npos);
	write(valid_objects() + "priority = 7\n[queue \"r\"]\n");
	r = ctl({ "diff", path });
	EXPECT_NE(r.out.find("changed [queue \"q\"]\n  - priority = 100\n"
			     "  + priority = 7\nadded [queue \"r\"]"),
		  std::string::npos)
		<< r.out;
}

TEST_F(Ctl, ConflictNamesBothVersions)
{
	ASSERT_EQ(ctl({ "publish", path }).code, CTL_OK);
	write("# version 0\n" + valid_objects());
	Result r = ctl({ "publish", path });

	EXPECT_EQ(r.code, CTL_CONFLICT);
	EXPECT_NE(r.err.find("made from version 0, but version 1"),
		  std::string::npos)
		<< r.err;
	EXPECT_NE(r.err.find("differs: [queue \"q\"]"), std::string::npos);
	EXPECT_EQ(node.now(), 1u);
}

TEST_F(Ctl, ResolvesALostResponse)
{
	struct {
		std::vector<fault> faults;
		uint64_t version;
		int publishes;
	} rows[] = {
		{ { LOSE_REPLY }, 1, 1 },
		{ { LOSE_REQUEST }, 1, 2 },
		{ { LOSE_REQUEST, LOSE_REPLY }, 1, 2 },
		{ { LOSE_REPLY_THEN_RACE }, 1, 1 },
	};

	for (auto &row : rows) {
		node.versions.clear();
		node.publishes = 0;
		node.faults = row.faults;
		Result r = ctl({ "publish", "--base", "0", path });

		EXPECT_EQ(r.code, CTL_OK) << r.err;
		EXPECT_NE(r.out.find("version " + std::to_string(row.version) +
				     ": published"),
			  std::string::npos)
			<< r.out;
		EXPECT_EQ(node.publishes, row.publishes);
	}
}

TEST_F(Ctl, WaitPollsUntilNodesEnforceTheVersion)
{
	node.lag = 3;
	Result r = ctl({ "publish", "--wait", path });

	EXPECT_EQ(r.code, CTL_OK) << r.err;
	EXPECT_LT(node.lag, 0);
}

TEST_F(Ctl, RollbackPublishesANewVersion)
{
	ASSERT_EQ(ctl({ "publish", path }).code, CTL_OK);
	write(valid_objects() + "[queue \"r\"]\n");
	ASSERT_EQ(ctl({ "publish", path }).code, CTL_OK);
	EXPECT_EQ(ctl({ "rollback", "1" }).code, CTL_OK);
	EXPECT_EQ(node.now(), 3u);
	EXPECT_EQ(node.versions[2].text, node.versions[0].text);
	EXPECT_EQ(ctl({ "rollback", "9" }).code, CTL_FAILED);
}

TEST_F(Ctl, GrantsAndWithdrawsKeys)
{
	ASSERT_EQ(ctl({ "publish", path }).code, CTL_OK);
	Result r = ctl({ "key", "grant", "t", "--name", "t-1" });

	ASSERT_EQ(r.code, CTL_OK) << r.err;
	std::string key = r.out.substr(r.out.find("key: ") + 5, 48);
	auto in_force = [&]() {
		struct vh_ini_source src = {
			VH_SLICE("x"),
			vh_slice_str(node.versions.back().text.c_str())
		};
		struct vh_problems problems;
		struct vh_objects set;
		bool found;

		vh_problems_init(&problems);
		EXPECT_TRUE(vh_objects_load(&set, &src, 1, &problems));
		found = vh_objects_authenticate(
				&set, vh_slice_str(key.c_str())) != nullptr;
		vh_objects_finish(&set);
		vh_problems_finish(&problems);
		return found;
	};
	EXPECT_TRUE(in_force());
	EXPECT_EQ(ctl({ "key", "grant", "t", "--name", "t-1" }).code,
		  CTL_FAILED);
	EXPECT_EQ(ctl({ "key", "grant", "nobody" }).code, CTL_FAILED);
	EXPECT_EQ(ctl({ "key", "withdraw", "t-1" }).code, CTL_OK);
	EXPECT_FALSE(in_force());
	EXPECT_EQ(ctl({ "key", "withdraw", "nope" }).code, CTL_FAILED);
}

TEST_F(Ctl, PrintsNodeResponses)
{
	EXPECT_EQ(ctl({ "status" }).out, "node: n1\nversion: 0\n");
	EXPECT_EQ(ctl({ "jobs" }).out, "id       size\nt.0.1.2  cpus=4\n");
	EXPECT_EQ(ctl({ "explain", "a.0.1.3" }).code, CTL_FAILED);
}

TEST_F(Ctl, FailuresHaveExitCodes)
{
	g_setenv("VHCTL_TOKEN", "wrong", TRUE);
	EXPECT_EQ(ctl({ "status" }).code, CTL_FAILED);
	g_setenv("VHCTL_TOKEN", token, TRUE);
	EXPECT_EQ(ctl({ "status", "--server", "127.0.0.1:1" }).code,
		  CTL_UNAVAILABLE);
	EXPECT_EQ(ctl({ "publish", "--base", "0", "--server", "127.0.0.1:1",
			path })
			  .code,
		  CTL_UNAVAILABLE);
}

TEST_F(Ctl, ReportContainsTheMeasurements)
{
	std::string html = path + ".html";
	json_error_t err;
	gchar *text = nullptr;
	double p50 = 0, p99 = 0, got = 0, due = 0;
	json_t *json;

	ASSERT_EQ(ctl({ "publish", path }).code, CTL_OK);
	Result r = ctl({ "report", "--output", "json" });
	ASSERT_EQ(r.code, CTL_OK) << r.err;
	json = json_loads(r.out.c_str(), 0, &err);
	ASSERT_EQ(json_unpack(json, "{s:[{s:F,s:F}],s:[{s:F,s:F}]}", "waiting",
			      "p50_s", &p50, "p99_s", &p99, "shares", "got",
			      &got, "due", &due),
		  0);
	EXPECT_DOUBLE_EQ(p50, 0.5);
	EXPECT_DOUBLE_EQ(p99, 2);
	EXPECT_DOUBLE_EQ(got, 0.25);
	EXPECT_DOUBLE_EQ(due, 1);
	json_decref(json);
	ASSERT_EQ(ctl({ "report", "--out", html }).code, CTL_OK);
	ASSERT_TRUE(g_file_get_contents(html.c_str(), &text, nullptr, nullptr));
	std::string s = text;
	g_free(text);
	g_unlink(html.c_str());
	EXPECT_NE(s.find("t, urgent"), std::string::npos);
	EXPECT_NE(s.find("12 of 16"), std::string::npos);
	EXPECT_NE(s.find("50.00 of 2.20 % of a core"), std::string::npos);
	EXPECT_NE(s.find("not reported"), std::string::npos);
	EXPECT_EQ(s.find("<b>"), std::string::npos);
	EXPECT_EQ(s.find("http://"), std::string::npos);
	EXPECT_EQ(s.find("src="), std::string::npos);
}

TEST_F(Ctl, TopShowsTheLastInterval)
{
	Result r = ctl({ "top", "--interval", "1", "--count", "1", "--output",
			 "json" });

	EXPECT_EQ(r.code, CTL_OK) << r.err;
	EXPECT_NE(r.out.find("\"per_s\": 100.0"), std::string::npos) << r.out;
}

TEST(CtlManual, NamesEveryCommand)
{
	for (const char *file : { "/man/vhctl.1", "/completion/vhctl.bash" }) {
		gchar *text = nullptr;

		ASSERT_TRUE(g_file_get_contents(
			(std::string(CTL_DIR) + file).c_str(), &text, nullptr,
			nullptr))
			<< file;
		for (size_t i = 0; ctl_commands[i].name; i++)
			EXPECT_NE(strstr(text, ctl_commands[i].name), nullptr)
				<< file << " " << ctl_commands[i].name;
		g_free(text);
	}
}
