#include <gtest/gtest.h>

#include <glib.h>

#include <string>
#include <vector>

extern "C" {
#include "vh/delta.h"
#include "vh/objects.h"
}

namespace
{

struct vh_slice slice(const std::string &s)
{
	return vh_slice(s.data(), s.size());
}

std::string to_string_and_free(struct vh_buf *buf)
{
	std::string s(buf->data ? buf->data : "", buf->len);

	vh_buf_finish(buf);
	return s;
}

std::string delta(const std::string &from, const std::string &to)
{
	struct vh_buf buf = {};

	vh_objects_delta_make(slice(from), slice(to), &buf);
	return to_string_and_free(&buf);
}

bool apply(const std::string &from, const std::string &d, std::string *to)
{
	struct vh_buf buf = {};
	bool ok = vh_objects_delta_apply(slice(from), slice(d), &buf);

	*to = to_string_and_free(&buf);
	return ok;
}

/* Returns a random valid set in canonical form. */
std::string random_set(GRand *rand)
{
	std::string text = "[share \"s\"]\nweight = " +
			   std::to_string(g_rand_int_range(rand, 1, 3)) + "\n";
	struct vh_problems problems;
	struct vh_objects set;
	struct vh_buf buf = {};

	for (int i = 0; i < 8; i++) {
		std::string n = std::to_string(i);

		if (g_rand_boolean(rand))
			continue;
		text += "[team \"t" + n + "\"]\nshare = s\nhomes = " +
			std::to_string(g_rand_int_range(rand, 1, 3)) + "\n";
		text += "[queue \"q-" + n + "\"]\nteams = t" + n +
			"\npriority = " +
			std::to_string(g_rand_int_range(rand, 0, 3)) + "\n";
		if (g_rand_boolean(rand))
			text += "[queue \"q-" + n + "-b\"]\n";
	}
	struct vh_ini_source src = { VH_SLICE("r"), slice(text) };

	vh_problems_init(&problems);
	EXPECT_TRUE(vh_objects_load(&set, &src, 1, &problems));
	vh_objects_render(&set, &buf);
	vh_objects_finish(&set);
	vh_problems_finish(&problems);
	return to_string_and_free(&buf);
}

} // namespace

TEST(Delta, ApplyingADeltaYieldsTheNewSet)
{
	GRand *rand = g_rand_new_with_seed(7);
	std::string from;

	for (int i = 0; i < 500; i++) {
		std::string to = random_set(rand);
		std::string applied;

		ASSERT_TRUE(apply(from, delta(from, to), &applied)) << i;
		ASSERT_EQ(applied, to) << i;
		ASSERT_EQ(delta(to, to), "");
		from = to;
	}
	g_rand_free(rand);
}

TEST(Delta, ContainsChangedGroupsOnly)
{
	std::string from = "[fleet]\na = 1\n[queue \"a\"]\np = 1\n"
			   "[queue \"a-b\"]\np = 1\n[queue \"c\"]\np = 1\n";
	std::string to = "[fleet]\na = 1\n[queue \"a\"]\np = 2\n"
			 "[queue \"b\"]\n[queue \"c\"]\np = 1\n";

	EXPECT_EQ(delta(from, to), "[queue \"a\"]\np = 2\n[-queue \"a-b\"]\n"
				   "[queue \"b\"]\n");
}

TEST(Delta, RejectsInvalidDeltas)
{
	const std::string from = "[queue \"a\"]\np = 1\n[queue \"c\"]\np = 1\n";
	std::string applied;

	for (const char *bad :
	     { "[-queue \"b\"]\n", "[-queue \"a\"]\np = 1\n",
	       "[queue \"b\"]\n[queue \"a\"]\n", "nonsense\n", "[-]\n",
	       "[queue \"b\"\np = 1\n", "[queue \"b\"]", "\n",
	       "[queue \"b\"]\n[queue \"b\"]\n" }) {
		EXPECT_FALSE(apply(from, bad, &applied)) << bad;
		EXPECT_EQ(applied, "");
	}
	EXPECT_FALSE(apply("[b]\n[a]\n", "", &applied));
}
