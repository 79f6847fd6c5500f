#include <gtest/gtest.h>

#include <unistd.h>

#include <string>

extern "C" {
#include "fleet.h"
#include "profile.h"
#include "vh/objects.h"
}

namespace
{
bool load(struct vh_profile *p, const std::string &text, std::string *message)
{
	char *path = nullptr;
	int fd = g_file_open_tmp("profile-XXXXXX", &path, nullptr);
	GError *err = nullptr;
	bool ok;

	EXPECT_GE(fd, 0);
	close(fd);
	g_file_set_contents(path, text.c_str(), -1, nullptr);
	ok = vh_profile_load(p, path, &err);
	*message = err ? err->message : "";
	g_clear_error(&err);
	remove(path);
	g_free(path);
	return ok;
}

const char good[] = "[team a]\nkey=k\n"
		    "[work w]\nqueue=q\ntasks=2-3\ncpus=0.5-1\n";
} // namespace

TEST(Profile, ReadsRanges)
{
	struct vh_profile p;
	std::string message;

	ASSERT_TRUE(load(&p, good, &message)) << message;
	EXPECT_EQ(p.workloads[0].tasks.min, 2u);
	EXPECT_EQ(p.workloads[0].tasks.max, 3u);
	EXPECT_EQ(p.workloads[0].cpu_milli.min, 500u);
	EXPECT_EQ(p.workloads[0].cpu_milli.max, 1000u);
	vh_profile_finish(&p);
}

TEST(Profile, ReportsTheInvalidKey)
{
	static const struct {
		const char *text;
		const char *message;
	} cases[] = {
		{ "[work w]\nqueue=q\nodd=1\n", "[work w] odd: unknown key" },
		{ "[work w]\nqueue=q\ntasks=3-2\n", "[work w] tasks: " },
		{ "[work w]\nqueue=q\ntasks=0\n", "[work w] tasks: " },
		{ "[work w]\nqueue=q\ncpus=x\n", "[work w] cpus: " },
		{ "[work w]\n", "[work w] queue: " },
		{ "[work w]\nqueue=q\nservice=s\n", "[work w] queue: " },
		{ "[team a]\n", "[team a] key: missing" },
		{ "[load]\nrate_per_s=0\n", "[load] rate_per_s: " },
		{ "[odd]\n", "[odd] : unknown group" },
		{ "[team a]\nkey=k\n", "[load] : needs" },
		{ "[team a]\nkey=k\n[work w]\nqueue=q\nnot_for=a\n",
		  "[load] a: has no work" },
	};

	for (const auto &c : cases) {
		struct vh_profile p;
		std::string message;

		EXPECT_FALSE(load(&p, c.text, &message)) << c.text;
		EXPECT_NE(message.find(c.message), std::string::npos)
			<< message;
	}
}

TEST(Profile, SamplesByWeightAndTeam)
{
	struct vh_profile p;
	std::string message;
	GRand *rand = g_rand_new_with_seed(7);
	int heavy = 0;

	ASSERT_TRUE(load(&p,
			 "[team a]\nkey=k\nweight=9\n[team b]\nkey=k\n"
			 "[work x]\nqueue=q\nonly_for=a\n[work y]\nqueue=q\n"
			 "not_for=a\n[work z]\nqueue=q\nweight=0\n",
			 &message))
		<< message;
	for (int i = 0; i < 1000; i++) {
		const struct vh_profile_team *t;
		const struct vh_profile_workload *w;

		vh_profile_sample(&p, rand, &t, &w);
		EXPECT_STREQ(w->name, *t->name == 'a' ? "x" : "y");
		heavy += *t->name == 'a';
	}
	EXPECT_GT(heavy, 850);
	EXPECT_LT(heavy, 950);
	g_rand_free(rand);
	vh_profile_finish(&p);
}

/* Checks that the example fleets, objects and profiles are valid. */
class Example : public ::testing::TestWithParam<const char *>
{
      protected:
	static std::string path(const std::string &name)
	{
		return std::string(VH_EXAMPLES) + "/" + GetParam() + "/" + name;
	}

	static void load_objects(struct vh_objects *set)
	{
		static const char *const names[] = { "fleet", "keys", "queues",
						     "services", "teams" };
		struct vh_ini_source sources[5];
		struct vh_problems problems;
		char *texts[5];

		vh_problems_init(&problems);
		for (int i = 0; i < 5; i++) {
			std::string file = path("objects/" +
						std::string(names[i]) + ".ini");
			gsize len;

			ASSERT_TRUE(g_file_get_contents(file.c_str(), &texts[i],
							&len, nullptr))
				<< file;
			sources[i].file = vh_slice_str(names[i]);
			sources[i].text = vh_slice(texts[i], len);
		}
		bool ok = vh_objects_load(set, sources, 5, &problems);

		for (size_t i = 0; i < problems.n; i++)
			ADD_FAILURE() << problems.items[i].group << " "
				      << problems.items[i].text;
		for (char *text : texts)
			g_free(text);
		vh_problems_finish(&problems);
		ASSERT_TRUE(ok);
	}
};

TEST_P(Example, FleetHas50Workers)
{
	struct vh_fleet f;
	GError *err = nullptr;

	ASSERT_TRUE(vh_fleet_load(&f, path("fleet.ini").c_str(), &err));
	EXPECT_EQ(f.n, 50u);
	EXPECT_EQ(f.vms[0].slots, 8u);
	EXPECT_EQ(f.vms[0].connections, 64u);
	vh_fleet_finish(&f);
}

TEST_P(Example, ProfileMatchesTheObjects)
{
	struct vh_profile p;
	struct vh_objects set;
	GError *err = nullptr;

	load_objects(&set);
	ASSERT_TRUE(vh_profile_load(&p, path("load.ini").c_str(), &err))
		<< err->message;
	EXPECT_EQ(p.n_teams, 6u);
	for (size_t i = 0; i < p.n_teams; i++) {
		const struct vh_key *key = vh_objects_authenticate(
			&set, vh_slice_str(p.teams[i].key));

		ASSERT_NE(key, nullptr) << p.teams[i].name;
		EXPECT_TRUE(vh_slice_eq_str(key->team->name, p.teams[i].name));
	}
	for (size_t i = 0; i < p.n_workloads; i++) {
		const struct vh_profile_workload *w = &p.workloads[i];

		EXPECT_TRUE(w->queue
				    ? vh_objects_find_queue(
					      &set, vh_slice_str(w->queue)) !=
					      nullptr
				    : vh_objects_find_service(
					      &set, vh_slice_str(w->service)) !=
					      nullptr)
			<< w->name;
	}
	vh_profile_finish(&p);
	vh_objects_finish(&set);
}

INSTANTIATE_TEST_SUITE_P(All, Example,
			 ::testing::Values("sitara", "faserkreis"));
