#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "vh/objects.h"
}

namespace
{

/* SHA-256 of "secret-a" and "secret-b" */
const char hash_a[] =
	"8766b9cb08e6040b704f1e3ee1e186efccf2635b1d2634d6525333007e6aeae1";
const char hash_b[] =
	"ff492ef788c89b555e6f738b33d2422f57dbb6656af2402155672c5f123a90af";

std::string base_set()
{
	return std::string("[share \"gold\"]\nweight = 10\n"
			   "[limit \"small\"]\ntasks = 4\ncpu_milli = 8000\n"
			   "[team \"shop\"]\nshare = gold\nlimit = small\n"
			   "[team \"yard\"]\nshare = gold\n"
			   "[key \"shop-1\"]\nteam = shop\nsha256 = ") +
	       hash_a + "\n[key \"yard-1\"]\nteam = yard\nsha256 = " + hash_b +
	       "\n[queue \"checks\"]\nteams = shop; yard;\nclass = urgent\n"
	       "[queue \"open\"]\n"
	       "[service \"ledger\"]\nteam = shop\nteams = shop\n"
	       "replicas = 2\n";
}

struct Loaded {
	struct vh_objects set = {};
	struct vh_problems problems;
	bool ok;

	explicit Loaded(const std::string &text)
	{
		struct vh_ini_source src = {
			VH_SLICE("set.ini"), vh_slice(text.data(), text.size())
		};

		vh_problems_init(&problems);
		ok = vh_objects_load(&set, &src, 1, &problems);
	}

	~Loaded()
	{
		if (ok)
			vh_objects_finish(&set);
		vh_problems_finish(&problems);
	}

	std::string messages() const
	{
		struct vh_buf buf;
		std::string s;

		vh_buf_init(&buf);
		vh_problems_render(&problems, &buf);
		s.assign(buf.data ? buf.data : "", buf.len);
		vh_buf_finish(&buf);
		return s;
	}

	std::string render() const
	{
		struct vh_buf buf;
		std::string s;

		vh_buf_init(&buf);
		vh_objects_render(&set, &buf);
		s.assign(buf.data, buf.len);
		vh_buf_finish(&buf);
		return s;
	}
};

} // namespace

TEST(Objects, LoadsAndResolves)
{
	Loaded l(base_set());
	const struct vh_team *shop;
	const struct vh_queue *q;

	ASSERT_TRUE(l.ok) << l.messages();
	EXPECT_EQ(l.messages(), "");
	shop = vh_objects_find_team(&l.set, vh_slice_str("shop"));
	ASSERT_NE(shop, nullptr);
	EXPECT_EQ(shop->share->weight, 10u);
	EXPECT_EQ(shop->limit->tasks, 4u);
	EXPECT_EQ(shop->limit->running.v[VH_MEM], VH_RES_UNLIMITED);
	q = vh_objects_find_queue(&l.set, vh_slice_str("checks"));
	ASSERT_NE(q, nullptr);
	EXPECT_EQ(q->n_teams, 2u);
	EXPECT_EQ(q->cls, VH_CLASS_URGENT);
	EXPECT_EQ(vh_objects_find_team(&l.set, vh_slice_str("sho")), nullptr);
	EXPECT_EQ(vh_objects_find_queue(&l.set, vh_slice_str("")), nullptr);
	EXPECT_EQ(l.set.fleet.lease_ms, 10000u);
}

TEST(Objects, QueuesAndServicesAllowTheirTeamsOnly)
{
	Loaded l(base_set());
	const struct vh_team *yard;
	const struct vh_service_object *ledger;

	ASSERT_TRUE(l.ok);
	yard = vh_objects_find_team(&l.set, vh_slice_str("yard"));
	ledger = vh_objects_find_service(&l.set, vh_slice_str("ledger"));
	EXPECT_FALSE(vh_service_allows(ledger, yard));
	EXPECT_TRUE(vh_service_allows(
		ledger, vh_objects_find_team(&l.set, vh_slice_str("shop"))));
	EXPECT_TRUE(vh_queue_allows(
		vh_objects_find_queue(&l.set, vh_slice_str("open")), yard));
	EXPECT_TRUE(vh_queue_allows(
		vh_objects_find_queue(&l.set, vh_slice_str("checks")), yard));
}

TEST(Objects, AuthenticatesActiveKeys)
{
	std::string withdrawn = base_set();
	size_t at = withdrawn.find("\n[key \"yard-1\"]");

	withdrawn.insert(at, "\nwithdrawn = true");
	Loaded l(base_set());
	Loaded w(withdrawn);
	const struct vh_key *k;

	ASSERT_TRUE(l.ok);
	ASSERT_TRUE(w.ok) << w.messages();
	k = vh_objects_authenticate(&l.set, vh_slice_str("secret-a"));
	ASSERT_NE(k, nullptr);
	EXPECT_TRUE(vh_slice_eq_str(k->team->name, "shop"));
	for (const char *bad : { "", "secret-", "secret-c", "secret-aa" })
		EXPECT_EQ(vh_objects_authenticate(&l.set, vh_slice_str(bad)),
			  nullptr)
			<< bad;
	EXPECT_EQ(vh_objects_authenticate(&w.set, vh_slice_str("secret-a")),
		  nullptr);
	EXPECT_NE(vh_objects_authenticate(&w.set, vh_slice_str("secret-b")),
		  nullptr);
}

TEST(Objects, RenderIsCanonical)
{
	Loaded l(base_set());

	ASSERT_TRUE(l.ok);
	std::string once = l.render();
	Loaded again(once);

	ASSERT_TRUE(again.ok) << again.messages();
	EXPECT_EQ(again.render(), once);
	EXPECT_NE(once.find("[queue \"checks\"]\nteams = shop;yard\n"),
		  std::string::npos);
}

TEST(Objects, LikeSuppliesMissingKeys)
{
	Loaded l(base_set() +
		 "[queue \"zebra\"]\nlike = alike\nmax_waiting = 7\n"
		 "[queue \"alike\"]\nlike = checks\npriority = 9\n");
	const struct vh_queue *q;

	ASSERT_TRUE(l.ok) << l.messages();
	q = vh_objects_find_queue(&l.set, vh_slice_str("zebra"));
	EXPECT_EQ(q->max_waiting, 7u);
	EXPECT_EQ(q->priority, 9u);
	EXPECT_EQ(q->cls, VH_CLASS_URGENT);
	EXPECT_EQ(q->n_teams, 2u);
}

TEST(Objects, ReportsEachError)
{
	struct {
		const char *added_text;
		const char *message;
	} cases[] = {
		{ "[queue \"checks\"]\n", "[queue \"checks\"] error: line 25: "
					  "duplicate group" },
		{ "[share \"x\"]\nweight = 1\nweight = 2\n",
		  "weight: error: line 27: duplicate key" },
		{ "[team \"x\"]\nshare = nope\n",
		  "[team \"x\"] share: error: there is no [share \"nope\"]" },
		{ "[team \"x\"]\n", "[team \"x\"] share: error: missing" },
		{ "[queue \"x\"]\nteams = shop;nope\n",
		  "[queue \"x\"] teams: error: there is no [team \"nope\"]" },
		{ "[queue \"x\"]\nteams = shop;shop\n", "is listed twice" },
		{ "[queue \"x\"]\nteams = ;\n", "teams: error: empty list" },
		{ "[queue \"x\"]\nlike = y\n[queue \"y\"]\nlike = x\n",
		  "[queue \"x\"] like: error: circular" },
		{ "[queue \"x\"]\nlike = x\n", "like: error: circular" },
		{ "[queue \"X\"]\n", "[queue \"X\"] error: malformed name" },
		{ "[queue \"-x\"]\n", "malformed name" },
		{ "[queue \"a1234567890123456789012345678901234567890123456789"
		  "\"]\n",
		  "malformed name" },
		{ "[queue]\n", "[queue] error: has no name" },
		{ "[queue x]\n", "malformed group header" },
		{ "[quue \"x\"]\n", "[quue \"x\"] error: unknown group" },
		{ "[fleet \"x\"]\n", "expected [fleet]" },
		{ "[queue \"x\"]\npriorty = 1\n",
		  "[queue \"x\"] priorty: error: unknown key; expected one "
		  "of like, teams, class, priority, max_waiting" },
		{ "[queue \"x\"]\npriority = -1\n",
		  "priority: error: \"-1\" is not a whole number from 0 to "
		  "1000" },
		{ "[queue \"x\"]\npriority = 99999999999999999999\n",
		  "is not a whole number" },
		{ "[queue \"x\"]\nclass = fast\n",
		  "class: error: \"fast\" is not a class" },
		{ "[queue \"x\"]\nnonsense\n",
		  "line 26: expected KEY = VALUE" },
		{ "[key \"x\"]\nteam = shop\nsha256 = abc\n",
		  "[key \"x\"] sha256: error: malformed" },
		{ "[key \"x\"]\nteam = shop\nwithdrawn = maybe\nsha256 = "
		  "8766b9cb08e6040b704f1e3ee1e186efccf2635b1d2634d6525333007e6a"
		  "eae1\n",
		  "sha256: error: same hash as [key \"shop-1\"]" },
		{ "[service \"x\"]\nteam = shop\nreplicas = 3\n",
		  "limit \"small\" is too low for the team's services: they "
		  "need tasks = 5, the limit is 4" },
		{ "[service \"x\"]\nteam = shop\ncpu_milli = 7000\n",
		  "need cpu_milli = 9000, the limit is 8000" },
		{ "[share \"b\"]\nweight = 1000000\n[share \"s\"]\nweight = 1\n"
		  "[team \"b\"]\nshare = b\n[team \"s\"]\nshare = s\n",
		  "[team \"s\"] share: error: share \"s\" rounds to zero" },
		{ "[fleet]\nlease_ms = 2000\nstart_void_ms = 2000\n",
		  "[fleet] start_void_ms: error: 2000 is not less" },
		{ "[fleet]\nlease_ms = 5\n", "lease_ms: error: \"5\"" },
		{ "\xff\n", "not valid UTF-8" },
	};

	for (auto &c : cases) {
		Loaded l(base_set() + c.added_text);

		EXPECT_FALSE(l.ok) << c.added_text;
		EXPECT_NE(l.messages().find(c.message), std::string::npos)
			<< "wanted: " << c.message << "\ngot: " << l.messages();
	}
}

TEST(Objects, ReportsAllErrorsAtOnce)
{
	Loaded l("[share \"s\"]\nweight = 0\n[team \"t\"]\nshare = u\n"
		 "homes = 65\n[queue \"q\"]\nclass = c\nteams = v\n");

	EXPECT_FALSE(l.ok);
	EXPECT_EQ(l.problems.n_errors, 5u) << l.messages();
}

TEST(Objects, LoadsDespiteWarnings)
{
	Loaded l(base_set() + "[share \"spare\"]\nweight = 1\n"
			      "[team \"new\"]\nshare = gold\n");

	EXPECT_TRUE(l.ok);
	EXPECT_EQ(l.problems.n, 2u) << l.messages();
	EXPECT_EQ(l.problems.n_errors, 0u);
}

TEST(Objects, ReportsDuplicatesAcrossFiles)
{
	struct vh_ini_source src[2] = {
		{ VH_SLICE("a.ini"), VH_SLICE("[queue \"q\"]\n") },
		{ VH_SLICE("b.ini"), VH_SLICE("[queue \"q\"]\n") },
	};
	struct vh_objects set;
	struct vh_problems problems;

	vh_problems_init(&problems);
	EXPECT_FALSE(vh_objects_load(&set, src, 2, &problems));
	ASSERT_EQ(problems.n, 1u);
	EXPECT_STREQ(problems.items[0].file, "b.ini");
	vh_problems_finish(&problems);
}

TEST(Objects, LoadsTheDocumentedExample)
{
	gchar *text = nullptr;

	ASSERT_TRUE(g_file_get_contents(DOCS_DIR "/CONFIG.md", &text, nullptr,
					nullptr));
	std::string doc = text;
	g_free(text);
	size_t from = doc.find("```ini\n");
	ASSERT_NE(from, std::string::npos);
	Loaded l(doc.substr(from + 7, doc.find("\n```", from) - from - 6));

	EXPECT_TRUE(l.ok) << l.messages();
	EXPECT_EQ(l.problems.n, 1u) << l.messages();
	EXPECT_EQ(l.set.n_queues, 2u);
}
