// The platform's list of VMs.

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "vh/vm_list.h"
}

namespace
{

std::string worker(const std::string &id)
{
	return "{\"kind\":\"worker\",\"id\":\"" + id +
	       "\",\"address\":\"10.0.0.1\",\"port\":1,\"region\":\"r\","
	       "\"zone\":\"z\",\"rack\":\"k\",\"state\":\"live\",\"cpus\":4,"
	       "\"memory_mb\":1024,\"accelerators\":0,\"slots\":8,"
	       "\"connections\":64}";
}

struct VmList : testing::Test {
	~VmList() override
	{
		for (size_t i = 0; i < n; i++)
			vh_vm_finish(&vms[i]);
		g_free(vms);
		g_clear_error(&err);
	}

	bool parse(const std::string &text)
	{
		return vh_vm_list_parse({ text.data(), text.size() }, &vms, &n,
					&version, &malformed, &err);
	}

	struct vh_vm *vms = nullptr;
	size_t n = 0;
	uint64_t version = 0;
	size_t malformed = 0;
	GError *err = nullptr;
};

// One worker that the platform described wrongly kept all others from being known.
TEST_F(VmList, AMalformedWorkerDoesNotHideTheOthers)
{
	EXPECT_TRUE(parse("{\"version\":7,\"vms\":[" + worker("a") +
			  ",{\"kind\":\"worker\",\"id\":\"b\"},7,null," +
			  worker("c") + "]}"));
	EXPECT_EQ(version, 7u);
	EXPECT_EQ(malformed, 1u);
	ASSERT_EQ(n, 2u);
	EXPECT_TRUE(vh_slice_eq_str(vms[0].id, "a"));
	EXPECT_TRUE(vh_slice_eq_str(vms[1].id, "c"));
}

TEST_F(VmList, WhatIsNoListIsRefused)
{
	EXPECT_FALSE(parse("{\"version\":7,\"vms\":{}}"));
	EXPECT_NE(err, nullptr);
}

} // namespace
