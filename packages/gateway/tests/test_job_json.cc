#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "job_json.h"
}

namespace
{
struct vh_queue batch_queue()
{
	struct vh_queue q = {};

	q.name = vh_slice_str("lists");
	q.cls = VH_CLASS_BATCH;
	q.priority = 5;
	return q;
}

enum vh_err read(struct vh_job_request *r, const std::string &text,
		 std::string *message)
{
	struct vh_queue q = batch_queue();
	struct vh_buf buf = {};
	enum vh_err err = vh_job_request_read(
		r, vh_slice(text.data(), text.size()), &q, &buf);

	message->assign(buf.data ? buf.data : "", buf.len);
	vh_buf_finish(&buf);
	return err;
}
} // namespace

TEST(JobJson, RejectsInvalidJobs)
{
	const std::string task = "{\"cpus\":1,\"memory_mb\":1}";
	const std::string big(VH_TASK_INPUT_MAX, 'x');
	const struct {
		std::string text;
		enum vh_err err;
		const char *message;
	} rows[] = {
		{ "", VH_ERR_BAD_REQUEST, "JSON" },
		{ "{", VH_ERR_BAD_REQUEST, "JSON" },
		{ "[]", VH_ERR_BAD_REQUEST, "object" },
		{ std::string(100000, '['), VH_ERR_BAD_REQUEST, "JSON" },
		{ "{\"tasks\":[" + task + "],\"tasks\":[]}", VH_ERR_BAD_REQUEST,
		  "duplicate" },
		{ "{}", VH_ERR_BAD_REQUEST, "tasks" },
		{ "{\"tasks\":[]}", VH_ERR_BAD_REQUEST, "tasks" },
		{ "{\"tasks\":{}}", VH_ERR_BAD_REQUEST, "tasks" },
		{ "{\"tasks\":[1]}", VH_ERR_BAD_REQUEST, "tasks" },
		{ "{\"tasks\":[" + task + "],\"colour\":1}", VH_ERR_BAD_REQUEST,
		  "colour" },
		{ "{\"tasks\":[{\"cpus\":1}]}", VH_ERR_BAD_REQUEST,
		  "memory_mb" },
		{ "{\"tasks\":[{\"cpus\":-1,\"memory_mb\":1}]}",
		  VH_ERR_BAD_REQUEST, "cpus" },
		{ "{\"tasks\":[{\"cpus\":0,\"memory_mb\":1}]}",
		  VH_ERR_BAD_REQUEST, "cpus" },
		{ "{\"tasks\":[{\"cpus\":1e300,\"memory_mb\":1}]}",
		  VH_ERR_BAD_REQUEST, "cpus" },
		{ "{\"tasks\":[{\"cpus\":\"1\",\"memory_mb\":1}]}",
		  VH_ERR_BAD_REQUEST, "cpus" },
		{ "{\"tasks\":[{\"cpus\":1,\"memory_mb\":-5}]}",
		  VH_ERR_BAD_REQUEST, "memory_mb" },
		{ "{\"tasks\":[{\"cpus\":1,\"memory_mb\":4294967297}]}",
		  VH_ERR_BAD_REQUEST, "memory_mb" },
		{ "{\"tasks\":[{\"cpus\":1,"
		  "\"memory_mb\":99999999999999999999}]}",
		  VH_ERR_BAD_REQUEST, "JSON" },
		{ "{\"tasks\":[{\"cpus\":1,\"memory_mb\":1,\"count\":0}]}",
		  VH_ERR_BAD_REQUEST, "count" },
		{ "{\"tasks\":[{\"cpus\":1,\"memory_mb\":1,\"count\":1024}," +
			  task + "]}",
		  VH_ERR_TOO_LARGE, "1024" },
		{ "{\"tasks\":[{\"cpus\":1,\"memory_mb\":1,\"input\":\"" + big +
			  "x\"}]}",
		  VH_ERR_TOO_LARGE, "input" },
		{ "{\"tasks\":[{\"cpus\":1,\"memory_mb\":1,\"count\":17,"
		  "\"input\":\"" +
			  big + "\"}]}",
		  VH_ERR_TOO_LARGE, "262144" },
		{ "{\"tasks\":[" + task + "],\"gang\":1}", VH_ERR_BAD_REQUEST,
		  "gang" },
		{ "{\"tasks\":[" + task + "],\"class\":\"urgent\"}",
		  VH_ERR_BAD_REQUEST, "class" },
		{ "{\"tasks\":[" + task + "],\"class\":\"vip\"}",
		  VH_ERR_BAD_REQUEST, "class" },
		{ "{\"tasks\":[" + task + "],\"deadline_s\":-1}",
		  VH_ERR_BAD_REQUEST, "deadline_s" },
		{ "{\"tasks\":[" + task + "],\"priority\":-1}",
		  VH_ERR_BAD_REQUEST, "priority" },
		{ "{\"tasks\":[" + task + "],\"region\":7}", VH_ERR_BAD_REQUEST,
		  "region" },
	};

	for (auto &row : rows) {
		struct vh_job_request r;
		std::string message;

		EXPECT_EQ(read(&r, row.text, &message), row.err)
			<< row.text.substr(0, 80);
		EXPECT_NE(message.find(row.message), std::string::npos)
			<< message << " for " << row.text.substr(0, 80);
	}
}

TEST(JobJson, ReadsAllFieldsAndAppliesQueueDefaults)
{
	struct vh_job_request r;
	std::string message;

	ASSERT_EQ(read(&r,
		       "{\"tasks\":[{\"cpus\":0.5,\"memory_mb\":256,"
		       "\"accelerators\":2,\"count\":3,\"run_ms\":1000,"
		       "\"input\":\"a\"},{\"cpus\":2,\"memory_mb\":1}],"
		       "\"gang\":true,\"idempotent\":true,\"deadline_s\":1.5,"
		       "\"region\":\"karachi\"}",
		       &message),
		  VH_OK)
		<< message;
	EXPECT_EQ(r.spec.n_tasks, 4u);
	EXPECT_EQ(r.spec.tasks[2].size.v[VH_CPU], 500u);
	EXPECT_EQ(r.spec.tasks[2].size.v[VH_ACCEL], 2u);
	EXPECT_EQ(r.spec.tasks[3].size.v[VH_CPU], 2000u);
	EXPECT_TRUE(vh_slice_eq_str(r.spec.tasks[0].input, "a"));
	EXPECT_TRUE(r.spec.gang && r.spec.idempotent);
	EXPECT_EQ(r.spec.deadline_ms, 1500u);
	EXPECT_EQ(r.spec.priority, 5u);
	EXPECT_EQ(r.spec.cls, VH_CLASS_BATCH);
	EXPECT_TRUE(vh_slice_eq_str(r.spec.region, "karachi"));
	vh_job_request_finish(&r);
}
