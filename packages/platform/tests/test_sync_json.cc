#include <gtest/gtest.h>

#include <jansson.h>

#include <cstdlib>

extern "C" {
#include "vh/worker_client.h"
}

TEST(SyncJson, EncodesEveryFieldOfARequest)
{
	struct vh_start start = {};
	struct vh_stop stop = {};
	struct vh_sync_req req = {};
	const char *owner = nullptr, *incarnation = nullptr, *task = nullptr,
		   *mode = nullptr;
	json_int_t epoch = 0, lease = 0, ack = 0, wait = 0;
	int full = 0;

	start.task = vh_slice_str("t.0.1.0/0");
	stop.task = vh_slice_str("t.0.1.1/0");
	req.epoch = 17;
	req.owner = vh_slice_str("node-1/5f");
	req.incarnation = vh_slice_str("w-1/7");
	req.lease_until_ms = 120000;
	req.ack = 4;
	req.full = true;
	req.wait_ms = 250;
	req.starts = &start;
	req.n_starts = 1;
	req.stops = &stop;
	req.n_stops = 1;
	char *text = vh_sync_req_to_json(&req);
	ASSERT_NE(text, nullptr);
	json_t *json = json_loads(text, 0, nullptr);
	ASSERT_EQ(
		json_unpack(json,
			    "{s:I,s:s,s:s,s:I,s:I,s:b,s:I,s:[{s:s}],s:[{s:s}]}",
			    "epoch", &epoch, "owner", &owner, "incarnation",
			    &incarnation, "lease_until", &lease, "ack", &ack,
			    "full", &full, "wait_ms", &wait, "starts", "task",
			    &task, "stops", "mode", &mode),
		0)
		<< text;
	EXPECT_EQ(epoch, 17);
	EXPECT_STREQ(owner, "node-1/5f");
	EXPECT_STREQ(incarnation, "w-1/7");
	EXPECT_EQ(lease, 120000);
	EXPECT_EQ(ack, 4);
	EXPECT_EQ(full, 1);
	EXPECT_EQ(wait, 250);
	EXPECT_STREQ(task, "t.0.1.0/0");
	EXPECT_STREQ(mode, "kill");
	json_decref(json);
	free(text);
}
