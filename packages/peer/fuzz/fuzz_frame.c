#include "vh/frame.h"
#include "members.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Merges the member updates of a ping, as if sent by an authenticated node. */
static void merge_updates(const msgpack_object *list)
{
	struct vh_node self = { .id = VH_SLICE("self"),
				.address = VH_SLICE("127.0.0.1"),
				.port = 1 };
	struct vh_members members;
	struct vh_member_update update;

	vh_members_init(&members, &self, 1000, 3000, 1);
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		if (vh_member_update_unpack(&list->via.array.ptr[i], &update))
			vh_members_merge(&members, &update, 1);
	}
	vh_members_tick(&members, 10000);
	vh_members_finish(&members);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct vh_frame f;

	if (vh_frame_decode(&f, vh_slice((const char *)data, size)) != VH_OK)
		return 0;
	if (f.n == 2 && f.args[1].type == MSGPACK_OBJECT_ARRAY)
		merge_updates(&f.args[1]);
	vh_frame_finish(&f);
	return 0;
}
