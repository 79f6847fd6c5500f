#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "vh/buf.h"
#include "vh/clock.h"
#include "vh/error.h"
#include "vh/invariant.h"
#include "vh/metrics.h"
#include "vh/slice.h"
}

TEST(Slice, ParsesUnsignedIntegersOnly)
{
	struct {
		const char *text;
		bool ok;
		uint64_t value;
	} rows[] = {
		{ "0", true, 0 },
		{ "18446744073709551615", true, UINT64_MAX },
		{ "18446744073709551616", false, 0 },
		{ "", false, 0 },
		{ "-1", false, 0 },
		{ "1 ", false, 0 },
	};

	for (auto &row : rows) {
		uint64_t v = 0;

		EXPECT_EQ(vh_slice_to_u64(vh_slice_str(row.text), &v), row.ok)
			<< row.text;
		if (row.ok) {
			EXPECT_EQ(v, row.value);
		}
	}
}

TEST(Slice, ConstantTimeCompareMatchesEquality)
{
	const char *words[] = { "", "a", "ab", "abc", "abd" };

	for (auto a : words) {
		for (auto b : words) {
			EXPECT_EQ(vh_slice_eq_consttime(vh_slice_str(a),
							vh_slice_str(b)),
				  !strcmp(a, b));
		}
	}
}

TEST(Slice, CopiesBytesAfterANul)
{
	const char bytes[] = { 'a', 0, 'b' };
	char *copy = vh_slice_dup(vh_slice(bytes, sizeof(bytes)));

	EXPECT_EQ(memcmp(copy, bytes, sizeof(bytes)), 0);
	EXPECT_EQ(copy[sizeof(bytes)], 0);
	g_free(copy);
}

TEST(Buf, GrowsAndConsumes)
{
	struct vh_buf buf;

	vh_buf_init(&buf);
	for (int i = 0; i < 1000; i++)
		vh_buf_printf(&buf, "%03d", i);
	EXPECT_EQ(buf.len, 3000u);
	vh_buf_consume(&buf, 2997);
	EXPECT_EQ(std::string(buf.data, buf.len), "999");
	vh_buf_finish(&buf);
}

TEST(Error, EveryKindHasAUniqueName)
{
	for (int k = 0; k < VH_ERR_COUNT; k++) {
		const struct vh_err_info *info = vh_err_info((enum vh_err)k);

		ASSERT_NE(info->name, nullptr) << k;
		EXPECT_EQ(vh_err_from_name(vh_slice_str(info->name)), k);
		EXPECT_GE(info->status, 200);
	}
}

TEST(Histogram, QuantilesAreWithinABucket)
{
	struct vh_histogram h = {};

	for (uint64_t v = 1; v <= 100000; v++)
		vh_histogram_add(&h, v);
	for (double q : { 0.1, 0.5, 0.9, 0.99 }) {
		double exact = q * 100000;
		double got = (double)vh_histogram_quantile(&h, q);

		EXPECT_GE(got, exact * 0.999);
		EXPECT_LE(got, exact * 1.26);
	}
	EXPECT_EQ(vh_histogram_quantile(&h, 1.0), 100000u);
}

TEST(Metrics, SeriesBeyondTheLimitShareOverflow)
{
	struct vh_metrics m;
	struct vh_buf out;

	vh_metrics_init(&m, 3);
	vh_buf_init(&out);
	for (int i = 0; i < 100; i++) {
		std::string label = "team=\"t" + std::to_string(i) + "\"";

		++*vh_metrics_counter(&m, "vh_x_total", label.c_str());
	}
	EXPECT_LE(m.n_series, 4u);
	vh_metrics_render(&m, &out);
	EXPECT_NE(std::string(out.data, out.len)
			  .find("vh_x_total{overflow=\"1\"} 97"),
		  std::string::npos);
	vh_buf_finish(&out);
	vh_metrics_finish(&m);
}

TEST(Clock, FakeAdvancesOnlyOnRequest)
{
	struct vh_fake_clock fake;

	vh_fake_clock_init(&fake, 5000);
	EXPECT_EQ(vh_clock_ms(&fake.clock), 5000);
	vh_fake_clock_advance(&fake, 1234);
	EXPECT_EQ(vh_clock_ms(&fake.clock), 6234);
}

TEST(Invariant, CountsViolations)
{
	uint64_t before = vh_invariant_violated(VH_I5_ANSWERS);

	EXPECT_TRUE(vh_invariant_check(VH_I5_ANSWERS, true, "fine"));
	EXPECT_FALSE(vh_invariant_check(VH_I5_ANSWERS, false,
					"violated on purpose"));
	EXPECT_EQ(vh_invariant_violated(VH_I5_ANSWERS), before + 1);
}
