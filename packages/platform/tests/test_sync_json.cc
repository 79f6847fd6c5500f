#include <gtest/gtest.h>

#include <jansson.h>

extern "C" {
#include "vh/worker_client.h"
}

/* Every field of a request is in its JSON, as docs/PLATFORM.md names it. */
TEST(SyncJson, RequestIsWhole)
{
	struct vh_start start = {};
	struct vh_stop stop = {};
	struct vh_sync_req req = {};

	start.task = vh_slice_str("a/0");
	start.home = vh_slice_str("home/a/0");
	start.cls = VH_CLASS_BATCH;
	start.not_after_ms = 7;
	stop.task = vh_slice_str("b/0");
	req.epoch = 3;
	req.owner = vh_slice_str("n/1");
	req.incarnation = vh_slice_str("w/2");
	req.lease_until_ms = 9;
	req.starts = &start;
	req.n_starts = 1;
	req.stops = &stop;
	req.n_stops = 1;
	char *text = vh_sync_req_to_json(&req);

	ASSERT_NE(text, nullptr);
	json_t *json = json_loads(text, 0, nullptr);
	const char *owner, *incarnation, *task, *mode;
	int epoch, lease, ack, full, wait_ms, not_after;

	ASSERT_EQ(json_unpack(json,
			      "{s:i,s:s,s:s,s:i,s:i,s:b,s:i,"
			      "s:[{s:s,s:i}],s:[{s:s}]}",
			      "epoch", &epoch, "owner", &owner, "incarnation",
			      &incarnation, "lease_until", &lease, "ack", &ack,
			      "full", &full, "wait_ms", &wait_ms, "starts",
			      "task", &task, "not_after", &not_after, "stops",
			      "mode", &mode),
		  0);
	EXPECT_STREQ(incarnation, "w/2");
	EXPECT_EQ(lease, 9);
	EXPECT_EQ(not_after, 7);
	EXPECT_STREQ(mode, "kill");
	json_decref(json);
	free(text);
}
