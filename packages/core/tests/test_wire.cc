#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "../src/wire.h"
}

namespace
{
std::string to_string(struct vh_slice s)
{
	return std::string(s.data ? s.data : "", s.len);
}
} // namespace

TEST(Wire, PlaceRoundTrip)
{
	struct wire_place in = {}, out;
	struct vh_buf buf;
	struct vh_unpack u;

	in.rack = vh_slice_str("r1");
	in.start.task = vh_slice_str("t.0.1.2/3");
	in.start.attempt = 4;
	in.start.home = vh_slice_str("home/t/0");
	in.start.home_epoch = 5;
	in.start.cls = VH_CLASS_URGENT;
	in.start.size = { { 1, 2, 3, 4, 5 } };
	in.start.service = vh_slice_str("s");
	in.start.input = vh_slice_str("run_ms=1");
	in.deadline_in_ms = 6;
	in.again = true;
	in.waited_ms = 7;
	in.share = 8;
	in.step = 9;
	in.priority = 10;
	in.run_ms = 11;
	in.ticket = { 12, 13 };
	in.rack_epoch = 14;
	in.start.idempotent = true;
	vh_buf_init(&buf);
	wire_place_pack(&buf, &in);
	ASSERT_TRUE(wire_place_unpack(&u, vh_buf_slice(&buf), &out));
	EXPECT_EQ(u.at, u.n);
	EXPECT_EQ(to_string(out.rack), "r1");
	EXPECT_EQ(to_string(out.start.task), "t.0.1.2/3");
	EXPECT_EQ(to_string(out.start.input), "run_ms=1");
	EXPECT_EQ(out.start.size.v[VH_CONNS], 5u);
	EXPECT_EQ(out.start.cls, VH_CLASS_URGENT);
	EXPECT_TRUE(out.again);
	EXPECT_EQ(out.run_ms, 11u);
	EXPECT_EQ(out.ticket.accepted_wall_ms, 12);
	EXPECT_EQ(out.ticket.id, 13u);
	EXPECT_EQ(out.rack_epoch, 14u);
	EXPECT_TRUE(out.start.idempotent);
	vh_unpack_finish(&u);
	vh_buf_finish(&buf);
}

TEST(Wire, HoldRoundTrip)
{
	struct wire_hold in = {}, out;
	struct vh_buf buf;
	struct vh_unpack u;

	in.rack = vh_slice_str("r1");
	in.home = vh_slice_str("home/t/0");
	in.home_epoch = 5;
	in.ticket = { 12, 13 };
	in.size = { { 1, 2, 3, 4, 5 } };
	in.cls = VH_CLASS_BATCH;
	in.tasks = 6;
	vh_buf_init(&buf);
	wire_hold_pack(&buf, &in);
	ASSERT_TRUE(wire_hold_unpack(&u, vh_buf_slice(&buf), &out));
	EXPECT_EQ(u.at, u.n);
	EXPECT_EQ(to_string(out.home), "home/t/0");
	EXPECT_EQ(out.ticket.id, 13u);
	EXPECT_EQ(out.tasks, 6u);
	vh_unpack_finish(&u);
	vh_buf_finish(&buf);
}

/* Every proper prefix of a body, as after a truncated frame, is rejected. */
TEST(Wire, RejectsTruncatedBodies)
{
	struct wire_hold in = {}, out;
	struct vh_buf buf;
	struct vh_unpack u;

	vh_buf_init(&buf);
	wire_hold_pack(&buf, &in);
	for (size_t len = 0; len < buf.len; len++) {
		EXPECT_FALSE(
			wire_hold_unpack(&u, vh_slice(buf.data, len), &out));
		vh_unpack_finish(&u);
	}
	vh_buf_finish(&buf);
}
