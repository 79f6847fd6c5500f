// The decision of admission control, its Retry-After and the owner's view.

#include <set>

#include <gtest/gtest.h>

extern "C" {
#include "admission_view.h"
}

namespace
{

constexpr int64_t NOW_MS = 100000;

struct Admission : testing::Test {
	Admission()
	{
		eng_load_init(&load);
		admission_init(&admission);
		job.queue = vh_slice_str("q");
		job.team = vh_slice_str("t");
		job.size = { 1000, 1000, 3000, 9000 };
		admission_note_accepted(&admission, &job, NOW_MS);
	}

	~Admission() override
	{
		eng_load_finish(&load);
		admission_finish(&admission);
	}

	eng_queue_load *add(const char *queue, uint32_t priority, int64_t work)
	{
		eng_queue_load *q = eng_load_add(&load, vh_slice_str(queue));

		q->priority = priority;
		q->work = work;
		q->rate_milli = 1000;
		return q;
	}

	int64_t excess()
	{
		int64_t wait_ms;

		return admission_excess_ms(&load, &job, &wait_ms);
	}

	// Decodes a frame as the owner's client does.
	bool read(const msgpack_sbuffer &sb)
	{
		vh_frame f;
		bool ok;

		EXPECT_EQ(vh_frame_decode(&f, vh_slice(sb.data, sb.size)),
			  VH_OK);
		ok = admission_view_read(&load, &f);
		vh_frame_finish(&f);
		return ok;
	}

	eng_load load;
	struct admission admission;
	admission_job job = {};
};

TEST_F(Admission, OnlyAJobThatCannotEndInTimeIsRefused)
{
	EXPECT_LE(excess(), 0);
	add("q", 1, 8000);
	EXPECT_LE(excess(), 0);
	add("urgent", 0, 2000);
	EXPECT_GT(excess(), 0);
}

TEST_F(Admission, WorkThatGoesAfterTheJobDoesNotCount)
{
	add("q", 1, 100);
	add("batch", 2, 1000000);
	EXPECT_LE(excess(), 0);
	add("elsewhere", 0, 1000000)->pool = 1;
	EXPECT_LE(excess(), 0);
}

// Work beyond its share goes last, so all work is in front of it.
TEST_F(Admission, TeamsBeyondTheirShareAreRefusedFirst)
{
	add("q", 1, 1000)->over_work = 3000;
	EXPECT_LE(excess(), 0);
	job.over_share = true;
	EXPECT_GT(excess(), 0);
}

TEST_F(Admission, WorkWithoutValueCountsOnlyWhileWorkIsLate)
{
	eng_queue_load *q = add("q", 1, 1000);

	q->dead_work = 100000;
	EXPECT_LE(excess(), 0);
	q->late = true;
	EXPECT_GT(excess(), 0);
}

// Late work is not served as long as other work can be in time.
TEST_F(Admission, WhileWorkIsLateAJobHasToBeInTime)
{
	eng_queue_load *q = add("q", 1, 4000);

	EXPECT_LE(excess(), 0);
	q->late = true;
	EXPECT_GT(excess(), 0);
}

TEST_F(Admission, WithoutWorkersTheRateIsUnknown)
{
	add("q", 1, 1000000)->rate_milli = 0;
	EXPECT_LE(excess(), 0);
}

TEST_F(Admission, NoTeamOrQueueIsShutOut)
{
	EXPECT_TRUE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 500));
	EXPECT_FALSE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 1000));
	job.over_share = true;
	EXPECT_TRUE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 1000));
	EXPECT_FALSE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 5000));
	job.team = vh_slice_str("other");
	EXPECT_FALSE(admission_may_refuse(&admission, &load, &job, NOW_MS));
}

// Large jobs at the minimum rate of small ones would fill the pool.
TEST_F(Admission, ALargeJobWaitsLongerForItsTurn)
{
	add("q", 1, 4000);
	job.size.work = 200;
	EXPECT_TRUE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 3900));
	EXPECT_FALSE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 4000));
	job.size.work = 1000000;
	EXPECT_FALSE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 20000));
}

TEST_F(Admission, SuspendedAcceptsEverything)
{
	admission_suspend(&admission, NOW_MS);
	EXPECT_FALSE(
		admission_may_refuse(&admission, &load, &job, NOW_MS + 500));
}

TEST_F(Admission, RetryAfterIsSpreadAndBounded)
{
	for (int64_t excess_ms : { 1, 2500, 3600000 }) {
		std::set<int> seen;

		for (job.id = 1; job.id <= 1000; job.id++)
			seen.insert(admission_refuse(&admission, &job,
						     excess_ms, NOW_MS));
		EXPECT_GE(*seen.begin(), 1);
		EXPECT_LE(*seen.rbegin(), ADMISSION_RETRY_MAX_S);
		EXPECT_GE(seen.size(), 4u) << excess_ms;
	}
}

TEST_F(Admission, AJobThatWasRefusedBeforeMayReturnEarlier)
{
	int first, second;

	for (job.id = 1; job.id <= 100; job.id++) {
		first = admission_refuse(&admission, &job, 60000, NOW_MS);
		second = admission_refuse(&admission, &job, 60000,
					  NOW_MS + 8000);
		EXPECT_LT(second, first) << job.id;
	}
}

TEST_F(Admission, ViewsThatAreStaleOrFromTheFutureAreNotUsed)
{
	EXPECT_TRUE(admission_view_usable(NOW_MS, NOW_MS));
	EXPECT_TRUE(admission_view_usable(NOW_MS - 2000, NOW_MS));
	EXPECT_FALSE(admission_view_usable(NOW_MS - 2001, NOW_MS));
	EXPECT_FALSE(admission_view_usable(NOW_MS + 1000, NOW_MS));
	EXPECT_FALSE(admission_view_usable(0, NOW_MS));
}

TEST_F(Admission, AViewIsReadAsItWasSent)
{
	wire_msg msg;

	add("q", 1, 8000)->late = true;
	admission_view_pack(&msg, &load, 5, NOW_MS);
	EXPECT_LT(msg.sb.size, 60u);
	EXPECT_TRUE(read(msg.sb));
	wire_send(&msg, nullptr);
	ASSERT_EQ(load.queues->len, 1u);
	EXPECT_EQ(load.at_ms, NOW_MS);
	eng_queue_load *q = eng_load_find(&load, vh_slice_str("q"));
	ASSERT_TRUE(q);
	EXPECT_EQ(q->work, 8000);
	EXPECT_TRUE(q->late);
	EXPECT_EQ(q->rate_milli, 1000);
}

// A prefix of a view, and one with a byte of another type, leave no view.
TEST_F(Admission, MalformedViewsAreIgnored)
{
	for (int kind = 0; kind < 4; kind++) {
		wire_msg msg;

		wire_begin(&msg, WIRE_LOAD, kind ? 3 : 1);
		msgpack_pack_uint64(&msg.pk, 5);
		if (kind) {
			msgpack_pack_uint64(&msg.pk, NOW_MS);
			if (kind == 1)
				msgpack_pack_int(&msg.pk, -1);
			if (kind >= 2)
				msgpack_pack_array(&msg.pk, 1);
			if (kind == 2)
				msgpack_pack_array(&msg.pk, 0);
			if (kind == 3) {
				msgpack_pack_array(&msg.pk, 8);
				for (int i = 0; i < 8; i++)
					msgpack_pack_int(&msg.pk, -1);
			}
		}
		add("q", 1, 8000);
		load.at_ms = NOW_MS;
		EXPECT_FALSE(read(msg.sb)) << kind;
		EXPECT_EQ(load.queues->len, 0u);
		EXPECT_FALSE(admission_view_usable(load.at_ms, NOW_MS));
		wire_send(&msg, nullptr);
	}
}

} // namespace
