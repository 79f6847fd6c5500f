#include <gtest/gtest.h>

#include <glib/gstdio.h>

#include <string>
#include <unistd.h>

extern "C" {
#include "settings.h"
}

namespace
{

const char valid_settings[] =
	"[node]\nid = node-1\nregion = lahore\nzone = lahore-a\n"
	"[callers]\naddress = 127.0.0.1\nport = 8080\n"
	"[operators]\naddress = 127.0.0.1\nport = 8081\n"
	"tokens = "
	"asma:"
	"8766b9cb08e6040b704f1e3ee1e186efccf2635b1d2634d6525333007e6aeae1\n"
	"[peers]\naddress = 127.0.0.1\nport = 8082\n"
	"secret = 0123456789abcdef\nseeds = 127.0.0.1:8083; [::1]:9;\n"
	"[platform]\nlog = 127.0.0.1:7000\nvms = 127.0.0.1:7001\n"
	"[limits]\nbuffered_mb = 8\n";

struct Loaded {
	struct vh_settings s;
	struct vh_problems problems;
	std::string messages;
	bool ok;

	explicit Loaded(const std::string &text)
	{
		GError *err = nullptr;
		char *path = nullptr;
		int fd = g_file_open_tmp("vh-settings-XXXXXX", &path, &err);
		struct vh_buf buf;

		EXPECT_GE(fd, 0);
		close(fd);
		g_file_set_contents(path, text.data(), (gssize)text.size(),
				    nullptr);
		vh_settings_init(&s);
		vh_problems_init(&problems);
		ok = vh_settings_load(&s, path, &problems);
		vh_buf_init(&buf);
		vh_problems_render(&problems, &buf);
		messages.assign(buf.data ? buf.data : "", buf.len);
		vh_buf_finish(&buf);
		g_unlink(path);
		g_free(path);
	}

	~Loaded()
	{
		vh_problems_finish(&problems);
		vh_settings_finish(&s);
	}
};

std::string with_replacement(const std::string &from, const std::string &to)
{
	std::string text = valid_settings;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

} // namespace

TEST(Settings, LoadsWithDefaults)
{
	Loaded l(valid_settings);

	ASSERT_TRUE(l.ok) << l.messages;
	EXPECT_STREQ(l.s.node.zone, "lahore-a");
	EXPECT_EQ(l.s.callers.listen.port, 8080);
	EXPECT_EQ(l.s.callers.max_connections, 1000u);
	EXPECT_EQ(l.s.platform.log.port, 7000);
	EXPECT_EQ(l.s.limits.buffered_mb, 8u);
	ASSERT_NE(l.s.peers.seeds[0], nullptr);
	EXPECT_STREQ(l.s.peers.seeds[1], "[::1]:9");
	EXPECT_EQ(l.s.peers.seeds[2], nullptr);
}

TEST(Settings, FindsOperators)
{
	Loaded l(valid_settings);
	const struct vh_operator *op;

	op = vh_settings_find_operator(&l.s, vh_slice_str("secret-a"));
	ASSERT_NE(op, nullptr);
	EXPECT_STREQ(op->name, "asma");
	EXPECT_EQ(vh_settings_find_operator(&l.s, vh_slice_str("secret-b")),
		  nullptr);
	EXPECT_EQ(vh_settings_find_operator(&l.s, vh_slice_str("")), nullptr);
}

TEST(Settings, ReportsEachError)
{
	struct {
		std::string text;
		const char *message;
	} cases[] = {
		{ with_replacement("zone = lahore-a\n", ""),
		  "[node] zone: error: missing" },
		{ with_replacement("id = node-1", "id = Node 1"),
		  "[node] id: error: \"Node 1\" is not a valid name" },
		{ with_replacement("[node]", "[node]\ncolour = red"),
		  "[node] colour: error: unknown key; expected one of id, "
		  "region, zone, log_level" },
		{ with_replacement("[node]", "[node]\nlog_level = loud"),
		  "log_level: error: \"loud\" is not a level" },
		{ with_replacement("[limits]", "[limit]"),
		  "[limit] error: unknown group" },
		{ with_replacement(
			  "[callers]\naddress = 127.0.0.1\nport = 8080\n", ""),
		  "[callers] error: missing group" },
		{ with_replacement("port = 8080", "port = 80800"),
		  "[callers] port: error: \"80800\" is not a whole number" },
		{ with_replacement("port = 8080", "port = x"),
		  "\"x\" is not a whole" },
		{ with_replacement("port = 8080\n", ""),
		  "[callers] port: error: missing" },
		{ with_replacement("address = 127.0.0.1",
				   "address = localhost"),
		  "address: error: \"localhost\" is not an IP address" },
		{ with_replacement("[peers]\naddress = 127.0.0.1",
				   "[peers]\naddress = 0.0.0.0"),
		  "cannot be reached by other nodes" },
		{ with_replacement("secret = 0123456789abcdef",
				   "secret = short"),
		  "[peers] secret: error: too short" },
		{ with_replacement("seeds = 127.0.0.1:8083",
				   "seeds = node-2:8083"),
		  "seeds: error: \"node-2:8083\" is not IP:PORT" },
		{ with_replacement("seeds = 127.0.0.1:8083",
				   "seeds = 127.0.0.1:0"),
		  "is not IP:PORT" },
		{ with_replacement("seeds = 127.0.0.1:8083", "seeds = ::1:9"),
		  "is not IP:PORT" },
		{ with_replacement("[peers]", "[peers]\ndead_ms = 2000"),
		  "dead_ms: error: 2000 is not greater than suspect_ms" },
		{ with_replacement("log = 127.0.0.1:7000", "log = 127.0.0.1"),
		  "[platform] log: error: \"127.0.0.1\" is not IP:PORT" },
		{ with_replacement("vms = 127.0.0.1:7001\n", ""),
		  "[platform] vms: error: missing" },
		{ with_replacement("tokens = asma:", "tokens = asma"),
		  "[operators] tokens: error: item 1 is not NAME:SHA256" },
		{ with_replacement("[platform]", "[node]\n[platform]"),
		  "[node] error: line 17: duplicate group" },
	};

	for (auto &c : cases) {
		Loaded l(c.text);

		EXPECT_FALSE(l.ok) << c.message;
		EXPECT_NE(l.messages.find(c.message), std::string::npos)
			<< "wanted: " << c.message << "\ngot: " << l.messages;
	}
}

TEST(Settings, MessagesDoNotShowTokens)
{
	Loaded l(
		with_replacement("tokens = asma:", "tokens = secret-of-asma;"));

	EXPECT_FALSE(l.ok);
	EXPECT_EQ(l.messages.find("secret-of-asma"), std::string::npos);
}

TEST(Settings, MissingFileIsAnError)
{
	struct vh_settings s;
	struct vh_problems problems;

	vh_settings_init(&s);
	vh_problems_init(&problems);
	EXPECT_FALSE(vh_settings_load(&s, "no/such/file.ini", &problems));
	EXPECT_EQ(problems.n_errors, 1u);
	vh_problems_finish(&problems);
	vh_settings_finish(&s);
}
