#include "admission_view.h"

#define QUEUES_MAX 256	/* of a view */
#define QUEUE_FIELDS 8	/* elements of a queue's array */
#define POOLS_MAX 65536 /* numbers of pools are below */
#define AMOUNT_MAX 1e15 /* so that sums over all queues cannot overflow */

static uint64_t amount(int64_t v)
{
	return (uint64_t)CLAMP(v, 0, (int64_t)AMOUNT_MAX);
}

void admission_view_pack(struct wire_msg *msg, const struct eng_load *load,
			 uint64_t epoch, int64_t wall_ms)
{
	guint n = MIN(load->queues->len, QUEUES_MAX);
	msgpack_packer *pk = &msg->pk;

	wire_begin(msg, WIRE_LOAD, 3);
	msgpack_pack_uint64(pk, epoch);
	msgpack_pack_uint64(pk, (uint64_t)wall_ms);
	msgpack_pack_array(pk, n);
	for (guint i = 0; i < n; i++) {
		const struct eng_queue_load *q =
			&g_array_index(load->queues, struct eng_queue_load, i);

		msgpack_pack_array(pk, QUEUE_FIELDS);
		vh_frame_pack_bytes(pk, q->queue);
		msgpack_pack_uint32(pk, q->pool);
		msgpack_pack_uint32(pk, q->priority);
		msgpack_pack_int(pk, q->late);
		msgpack_pack_uint64(pk, amount(q->work));
		msgpack_pack_uint64(pk, amount(q->over_work));
		msgpack_pack_uint64(pk, amount(q->dead_work));
		msgpack_pack_uint64(pk, amount(q->rate_milli));
	}
}

static bool read_queue(struct eng_load *load, const msgpack_object *o)
{
	static const uint64_t max[QUEUE_FIELDS] = {
		0,
		POOLS_MAX,
		UINT32_MAX,
		1,
		(uint64_t)AMOUNT_MAX,
		(uint64_t)AMOUNT_MAX,
		(uint64_t)AMOUNT_MAX,
		(uint64_t)AMOUNT_MAX,
	};
	uint64_t v[QUEUE_FIELDS] = { 0 };
	struct eng_queue_load *q;
	struct vh_slice name;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != QUEUE_FIELDS ||
	    !vh_frame_read_bytes(&o->via.array.ptr[0], ENG_NAME_MAX, &name))
		return false;
	for (size_t i = 1; i < QUEUE_FIELDS; i++) {
		if (!vh_frame_read_u64(&o->via.array.ptr[i], max[i], &v[i]))
			return false;
	}
	q = eng_load_add(load, name);
	q->pool = (uint32_t)v[1];
	q->priority = (uint32_t)v[2];
	q->late = v[3];
	q->work = (int64_t)v[4];
	q->over_work = (int64_t)v[5];
	q->dead_work = (int64_t)v[6];
	q->rate_milli = (int64_t)v[7];
	return true;
}

static bool read_queues(struct eng_load *load, const struct vh_frame *f)
{
	const msgpack_object *list = f->n > 2 ? &f->args[2] : NULL;

	if (!list || list->type != MSGPACK_OBJECT_ARRAY ||
	    list->via.array.size > QUEUES_MAX)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		if (!read_queue(load, &list->via.array.ptr[i]))
			return false;
	}
	return true;
}

bool admission_view_read(struct eng_load *load, const struct vh_frame *f)
{
	uint64_t at_ms = 0;

	eng_load_clear(load);
	load->at_ms = 0;
	if (f->n < 2 || !vh_frame_read_u64(&f->args[1], INT64_MAX, &at_ms))
		return false;
	if (!read_queues(load, f)) {
		eng_load_clear(load);
		return false;
	}
	load->at_ms = (int64_t)at_ms;
	return true;
}
