#include "harness.h"

extern "C" {
#include "vm_server.h"
}

namespace
{
class VmServer : public Harness
{
      protected:
	struct vh_vm_server s;

	void start(int64_t lag_ms)
	{
		struct vh_fleet fleet;
		GError *err = nullptr;

		vh_fleet_generate(&fleet, 10);
		ASSERT_TRUE(vh_vm_server_start(&s, &kernel, 0, &fleet, lag_ms,
					       &err));
		vh_fleet_finish(&fleet);
	}

	void TearDown() override
	{
		vh_vm_server_stop(&s);
		Harness::TearDown();
	}
};
} // namespace

TEST(VmList, ChangesBecomeVisibleAfterTheLag)
{
	struct vh_vm_list l;
	struct vh_fleet f;

	vh_fleet_generate(&f, 1);
	vh_vm_list_init(&l, 100);
	vh_vm_list_set(&l, &f.vms[0], 1000);
	EXPECT_EQ(vh_vm_list_next_due_ms(&l), 1100);
	EXPECT_FALSE(vh_vm_list_apply_due(&l, 1099));
	EXPECT_EQ(l.version, 1u);
	EXPECT_TRUE(vh_vm_list_apply_due(&l, 1100));
	EXPECT_EQ(l.version, 2u);
	EXPECT_EQ(vh_vm_list_next_due_ms(&l), INT64_MAX);
	vh_vm_list_finish(&l);
	vh_fleet_finish(&f);
}

TEST_F(VmServer, LongPollWaitsForAChange)
{
	Reply r;

	start(0);
	ASSERT_EQ(get(s.http.port, "/vms?since=0").status, 200);
	EXPECT_EQ(get(s.http.port, "/vms?since=2&wait_ms=1").status, 304);
	send(&r, s.http.port, "/vms?since=2&wait_ms=60000", nullptr);
	wait_for([&] { return s.long_polls->len == 1; });
	EXPECT_EQ(post(s.http.port, "/control",
		       "{\"vm\":\"north-a-r1-w3\",\"state\":\"leaving\"}")
			  .status,
		  200);
	wait_for([&] { return r.done; });
	EXPECT_NE(r.body.find("\"version\":3"), std::string::npos);
	EXPECT_NE(r.body.find("\"leaving\""), std::string::npos);
}

TEST_F(VmServer, GoneVmIsNotListed)
{
	start(0);
	EXPECT_EQ(post(s.http.port, "/control",
		       "{\"rack\":\"north-a-r1\",\"state\":\"gone\"}")
			  .status,
		  200);
	std::string body = get(s.http.port, "/vms").body;

	EXPECT_EQ(body.find("north-a-r1"), std::string::npos);
	EXPECT_NE(body.find("middle-a-r1-w2"), std::string::npos);
	EXPECT_EQ(post(s.http.port, "/control",
		       "{\"vm\":\"north-a-r1-w1\",\"state\":\"live\"}")
			  .status,
		  200);
	body = get(s.http.port, "/vms").body;
	EXPECT_NE(body.find("north-a-r1-w1"), std::string::npos);
}

TEST_F(VmServer, RefusesUnknownVmOrState)
{
	start(0);
	EXPECT_EQ(post(s.http.port, "/control",
		       "{\"vm\":\"nope\",\"state\":\"live\"}")
			  .status,
		  400);
	EXPECT_EQ(post(s.http.port, "/control",
		       "{\"vm\":\"north-a-r1-w1\",\"state\":\"odd\"}")
			  .status,
		  400);
}
