#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "vh/codec.h"
#include "vh/record.h"
}

static std::string str(struct vh_slice s)
{
	return std::string(s.data ? s.data : "", s.len);
}

class BatchTest : public ::testing::Test
{
      protected:
	struct vh_buf records;
	struct vh_buf packed;

	void SetUp() override
	{
		struct vh_batch batch = {};

		vh_buf_init(&records);
		vh_buf_init(&packed);
		vh_record_add(&records, VH_REC_CLAIM, vh_slice_str("first"));
		vh_record_add(&records, (enum vh_rec_kind)999,
			      vh_slice_str(""));
		vh_record_add(&records, VH_REC_JOB, vh_slice_str("third"));
		batch.writer = vh_slice_str("node-1/5f");
		batch.seq = 7;
		batch.epoch = 42;
		batch.records = vh_buf_slice(&records);
		vh_batch_pack(&batch, &packed);
	}
	void TearDown() override
	{
		vh_buf_finish(&records);
		vh_buf_finish(&packed);
	}
};

TEST_F(BatchTest, RoundTrip)
{
	struct vh_slice body, rest;
	struct vh_batch batch;
	uint32_t kind;

	ASSERT_TRUE(vh_batch_unpack(vh_buf_slice(&packed), &batch, NULL));
	EXPECT_EQ(str(batch.writer), "node-1/5f");
	EXPECT_EQ(batch.seq, 7u);
	EXPECT_EQ(batch.epoch, 42u);
	rest = batch.records;
	ASSERT_TRUE(vh_record_next(&rest, &kind, &body));
	EXPECT_EQ(kind, (uint32_t)VH_REC_CLAIM);
	EXPECT_EQ(str(body), "first");
	ASSERT_TRUE(vh_record_next(&rest, &kind, &body));
	EXPECT_EQ(kind, 999u);
	ASSERT_TRUE(vh_record_next(&rest, &kind, &body));
	EXPECT_EQ(str(body), "third");
	EXPECT_FALSE(vh_record_next(&rest, &kind, &body));
	EXPECT_EQ(rest.len, 0u);
}

TEST_F(BatchTest, TruncatedOrCorruptBatchIsRejected)
{
	std::string good = str(vh_buf_slice(&packed));
	struct vh_batch batch;

	for (size_t n = 0; n < good.size(); n++)
		EXPECT_FALSE(
			vh_batch_unpack(vh_slice(good.data(), n), &batch, NULL))
			<< n;
	for (size_t n = 0; n < good.size(); n++) {
		std::string bad = good;
		GError *err = NULL;

		bad[n] = (char)(bad[n] ^ 0x04);
		EXPECT_FALSE(vh_batch_unpack(vh_slice(bad.data(), bad.size()),
					     &batch, &err))
			<< n;
		EXPECT_EQ(vh_err_kind(err), VH_ERR_CORRUPT);
		g_clear_error(&err);
	}
	good += "x";
	EXPECT_FALSE(vh_batch_unpack(vh_slice(good.data(), good.size()), &batch,
				     NULL));
}

TEST(Record, TruncatedTailIsLeftOver)
{
	struct vh_slice rest, body;
	struct vh_buf records;
	uint32_t kind;

	vh_buf_init(&records);
	vh_record_add(&records, VH_REC_JOB, vh_slice_str("whole"));
	vh_record_add(&records, VH_REC_JOB, vh_slice_str("torn"));
	rest = vh_slice(records.data, records.len - 1);
	EXPECT_TRUE(vh_record_next(&rest, &kind, &body));
	EXPECT_FALSE(vh_record_next(&rest, &kind, &body));
	EXPECT_GT(rest.len, 0u);
	vh_buf_finish(&records);
}

TEST(JobSpec, RoundTripAndTruncation)
{
	struct vh_task_spec tasks[2] = {};
	struct vh_job_spec spec = {}, out;
	struct vh_buf buf;

	tasks[0].size.v[VH_CPU] = 1500;
	tasks[0].input = vh_slice_str("run_ms=20");
	tasks[1].size.v[VH_CONNS] = UINT32_MAX;
	tasks[1].run_ms = 9;
	spec.queue = vh_slice_str("deposits");
	spec.cls = VH_CLASS_BATCH;
	spec.priority = 3;
	spec.gang = true;
	spec.deadline_ms = 1000;
	spec.region = vh_slice_str("lahore");
	spec.n_tasks = 2;
	spec.tasks = tasks;
	vh_buf_init(&buf);
	vh_job_spec_pack(&spec, &buf);
	ASSERT_TRUE(vh_job_spec_unpack(vh_buf_slice(&buf), &out, NULL));
	EXPECT_EQ(str(out.queue), "deposits");
	EXPECT_EQ(out.service.len, 0u);
	EXPECT_EQ(out.cls, VH_CLASS_BATCH);
	EXPECT_EQ(out.priority, 3u);
	EXPECT_TRUE(out.gang);
	EXPECT_FALSE(out.idempotent);
	EXPECT_EQ(out.deadline_ms, 1000u);
	EXPECT_EQ(str(out.region), "lahore");
	ASSERT_EQ(out.n_tasks, 2u);
	EXPECT_EQ(out.tasks[0].size.v[VH_CPU], 1500u);
	EXPECT_EQ(str(out.tasks[0].input), "run_ms=20");
	EXPECT_EQ(out.tasks[1].size.v[VH_CONNS], UINT32_MAX);
	EXPECT_EQ(out.tasks[1].run_ms, 9u);
	g_free(out.tasks);
	for (size_t n = 0; n < buf.len; n++)
		EXPECT_FALSE(
			vh_job_spec_unpack(vh_slice(buf.data, n), &out, NULL));
	vh_buf_finish(&buf);
}

TEST(Codec, ExtraFieldsAreIgnoredAndMissingOnesDetected)
{
	struct vh_unpack u;
	struct vh_buf buf;

	vh_buf_init(&buf);
	vh_pack_array(&buf, 3);
	vh_pack_i64(&buf, -5);
	vh_pack_u64(&buf, UINT64_MAX);
	vh_pack_bool(&buf, true);
	ASSERT_TRUE(vh_unpack_init(&u, vh_buf_slice(&buf), NULL));
	EXPECT_EQ(vh_unpack_i64(&u), -5);
	EXPECT_TRUE(u.ok);
	EXPECT_EQ(vh_unpack_i64(&u), 0);
	EXPECT_FALSE(u.ok);
	vh_unpack_finish(&u);
	ASSERT_TRUE(vh_unpack_init(&u, vh_buf_slice(&buf), NULL));
	vh_unpack_i64(&u);
	EXPECT_EQ(vh_unpack_u64(&u), UINT64_MAX);
	EXPECT_TRUE(vh_unpack_bool(&u));
	EXPECT_TRUE(u.ok);
	vh_unpack_slice(&u);
	EXPECT_FALSE(u.ok);
	vh_unpack_finish(&u);
	vh_buf_finish(&buf);
}
