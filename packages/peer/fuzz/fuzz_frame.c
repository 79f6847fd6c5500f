#include "vh/frame.h"
#include "members.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Takes the news in a ping, as from a node that has proved itself. */
static void take_news(const msgpack_object *list)
{
	struct vh_node self = { .id = VH_SLICE("self"),
				.address = VH_SLICE("127.0.0.1"),
				.port = 1 };
	struct vh_members t;
	struct vh_member_update news;

	vh_members_init(&t, &self, 1000, 3000, 1);
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		if (vh_member_update_unpack(&list->via.array.ptr[i], &news))
			vh_members_merge(&t, &news, 1);
	}
	vh_members_tick(&t, 10000);
	vh_members_finish(&t);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct vh_frame f;

	if (vh_frame_decode(&f, vh_slice((const char *)data, size)) != VH_OK)
		return 0;
	if (f.n == 2 && f.args[1].type == MSGPACK_OBJECT_ARRAY)
		take_news(&f.args[1]);
	vh_frame_finish(&f);
	return 0;
}
