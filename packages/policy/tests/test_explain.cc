#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "vh/explain.h"
#include "vh/infeasible.h"
}

static std::string render(const struct vh_explanation &e)
{
	struct vh_buf out;

	vh_buf_init(&out);
	vh_explain_render(&e, &out);
	std::string s(out.data ? out.data : "", out.len);
	vh_buf_finish(&out);
	return s;
}

TEST(Explain, EveryReasonHasANameAndACompleteText)
{
	std::set<std::string> names;

	for (int r = 0; r < VH_REASON_COUNT; r++) {
		struct vh_explanation e = {};
		std::string s;

		e.reason = (enum vh_reason)r;
		e.next = vh_slice_str("ledger");
		s = render(e);
		EXPECT_GT(s.size(), 15u) << r;
		EXPECT_EQ(s.back(), '.') << s;
		EXPECT_EQ(s.find_first_of("{}"), std::string::npos) << s;
		EXPECT_EQ(s.find("  "), std::string::npos) << s;
		names.insert(vh_reason_name(e.reason));
	}
	EXPECT_EQ(names.size(), (size_t)VH_REASON_COUNT);
}

TEST(Explain, TextContainsAmounts)
{
	struct vh_place_result p = {};
	struct vh_explanation e = {};

	p.reason = VH_PLACE_FULL;
	p.short_dim = VH_MEM;
	p.short_by = 512;
	vh_explain_place(&e, &p);
	e.where = vh_slice_str("w-7");
	EXPECT_EQ(render(e),
		  "No worker has room. The closest, w-7, is short of 512 MiB "
		  "of memory. It is placed on a worker once that much is free "
		  "on it.");
}

static void collect(void *ctx, uint64_t id)
{
	((std::set<uint64_t> *)ctx)->insert(id);
}

static bool even(void *ctx, uint64_t id)
{
	++*(int *)ctx;
	return id % 2 == 0;
}

TEST(Infeasible, RecheckedWhenTheFleetChanges)
{
	struct vh_res caps[2] = { { { 16000, 65536, 0, 8, 64 } },
				  { { 64000, 262144, 8, 8, 64 } } };
	struct vh_infeasible_list p;
	std::set<uint64_t> tried;
	int calls = 0;

	vh_infeasible_init(&p);
	for (uint64_t i = 0; i < 10000; i++) {
		struct vh_res size = { { 32000, 1000, (uint32_t)(i % 10), 0,
					 0 } };

		vh_infeasible_add(&p, i, &size);
	}
	vh_infeasible_recheck(&p, caps, 1, collect, &tried);
	EXPECT_TRUE(tried.empty());
	vh_infeasible_recheck(&p, caps, 2, collect, &tried);
	EXPECT_EQ(tried.size(), 9000u);
	EXPECT_EQ(p.n, 1000u);
	vh_infeasible_remove(&p, even, &calls);
	EXPECT_EQ(calls, 1000) << "removal is one pass over the list";
	EXPECT_EQ(p.n, 1000u) << "ids ending in 9 are odd";
	vh_infeasible_finish(&p);
}
