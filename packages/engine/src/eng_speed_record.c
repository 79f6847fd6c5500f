#include "eng_priv.h"

#include <math.h>
#include <msgpack.h>

#include "vh/ratio_hist.h"

/*
 * Learned records of speeds. All workers are divided into groups by their ids,
 * with one record per group, so that little is rewritten when a speed changes:
 *
 *   "w" + group:       [format, [id, boot time, speed, samples]...]
 *   "wq" + queue name: [format, count of each bucket...]
 *
 * The speed is in thousandths.
 */
#define SPEEDS_FORMAT 1
#define GROUPS 64
#define BYTES_PER_WRITE 4000 /* every 5 s: less than 1 KB/s */
#define CHANGE_MIN 0.1	     /* relative change that is stored */
#define RATIOS_CHANGE_MIN 64 /* samples of a queue after which it is stored */
#define SPEED_UNIT 1000
#define WORKER_FIELDS 4
#define RESTORED_MAX 20000 /* workers in all records */

/* A speed that was restored before its worker was listed. */
struct restored {
	int64_t born_ms;
	double speed;
	unsigned int n;
};

static guint group_of(const struct worker *w)
{
	return g_str_hash(w->id) % GROUPS;
}

static bool worker_changed(const struct worker *w)
{
	const struct speed *v = &w->speed;

	if (!v->known)
		return v->stored > 0;
	return fabs(v->value - v->stored) > CHANGE_MIN * v->stored;
}

static void pack_worker(msgpack_packer *pk, const struct worker *w)
{
	size_t len = strlen(w->id);

	msgpack_pack_array(pk, WORKER_FIELDS);
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, w->id, len);
	msgpack_pack_int64(pk, w->born_ms);
	msgpack_pack_int64(pk, (int64_t)(w->speed.value * SPEED_UNIT));
	msgpack_pack_uint32(pk, w->speed.n);
}

static size_t finish_record(GArray *records, struct vh_slice name,
			    msgpack_sbuffer *sb)
{
	struct vh_buf *out = eng_learned_add(records, 'w', name);
	size_t size = sb->size;

	vh_buf_add(out, sb->data, size);
	msgpack_sbuffer_destroy(sb);
	return size;
}

static size_t pack_group(struct engine *e, guint group, guint n,
			 GArray *records)
{
	char name[12];
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, n + 1);
	msgpack_pack_int(&pk, SPEEDS_FORMAT);
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];

		if (group_of(w) != group || !w->listed)
			continue;
		w->speed.stored = w->speed.known ? w->speed.value : 0;
		if (w->speed.known)
			pack_worker(&pk, w);
	}
	g_snprintf(name, sizeof(name), "%u", group);
	return finish_record(records, eng_str(name), &sb);
}

static size_t pack_queue(struct queue *q, GArray *records)
{
	char name[ENG_NAME_MAX + 2];
	msgpack_sbuffer sb;
	msgpack_packer pk;

	q->ratios_unstored = 0;
	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, VH_RATIO_BUCKETS + 1);
	msgpack_pack_int(&pk, SPEEDS_FORMAT);
	for (size_t i = 0; i < VH_RATIO_BUCKETS; i++)
		msgpack_pack_uint16(&pk, q->ratios[i]);
	g_snprintf(name, sizeof(name), "q%s", q->name);
	return finish_record(records, eng_str(name), &sb);
}

static size_t pack_queues(struct engine *e, GArray *records)
{
	GHashTableIter it;
	gpointer p;
	size_t bytes = 0;

	g_hash_table_iter_init(&it, e->queues);
	while (bytes < BYTES_PER_WRITE / 2 &&
	       g_hash_table_iter_next(&it, NULL, &p)) {
		struct queue *q = p;

		if (q->ratios_unstored >= RATIOS_CHANGE_MIN)
			bytes += pack_queue(q, records);
	}
	return bytes;
}

void eng_speeds_pack(struct engine *e, GArray *records)
{
	size_t bytes = pack_queues(e, records);
	guint n_known[GROUPS] = { 0 };
	bool changed[GROUPS] = { false };

	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];
		guint group = group_of(w);

		if (!w->listed)
			continue;
		n_known[group] += w->speed.known;
		changed[group] |= worker_changed(w);
	}
	for (guint k = 0; k < GROUPS && bytes < BYTES_PER_WRITE; k++) {
		guint group = e->next_speed_group++ % GROUPS;

		if (changed[group])
			bytes += pack_group(e, group, n_known[group], records);
	}
}

static int64_t int_of(const msgpack_object *o)
{
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return (int64_t)MIN(o->via.u64, (uint64_t)INT64_MAX);
	return -1;
}

static void restore_worker(struct engine *e, const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	struct restored *r;
	struct restored value;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != WORKER_FIELDS ||
	    f[0].type != MSGPACK_OBJECT_BIN || f[0].via.bin.size > ENG_NAME_MAX)
		return;
	value.born_ms = int_of(&f[1]);
	value.speed = (double)int_of(&f[2]) / SPEED_UNIT;
	value.n = (unsigned int)CLAMP(int_of(&f[3]), 0, SPEED_SAMPLES);
	if (value.born_ms < 0 || value.speed <= 0 || !value.n ||
	    g_hash_table_size(e->restored_speeds) >= RESTORED_MAX)
		return;
	r = g_memdup2(&value, sizeof(value));
	g_hash_table_replace(
		e->restored_speeds,
		vh_slice_dup(vh_slice(f[0].via.bin.ptr, f[0].via.bin.size)), r);
}

static void restore_queue(struct engine *e, struct vh_slice name,
			  const msgpack_object_array *a)
{
	struct queue *q = eng_queue_get(e, name);
	uint32_t total = 0;

	for (size_t i = 0; i < VH_RATIO_BUCKETS; i++) {
		int64_t n = int_of(&a->ptr[i + 1]);

		/* Less than half of the range, so that the sums cannot wrap. */
		q->ratios[i] = (uint16_t)CLAMP(n, 0, UINT16_MAX / 2);
		total += q->ratios[i];
	}
	q->n_ratios = total;
	eng_queue_ratios_changed(q);
}

static void restore_speeds(struct engine *e, const msgpack_object_array *a)
{
	for (size_t i = 1; i < a->size; i++)
		restore_worker(e, &a->ptr[i]);
	for (guint i = 0; i < e->worker_list->len; i++)
		eng_speed_worker_known(e, e->worker_list->pdata[i]);
}

static bool restore(struct engine *e, struct vh_slice name,
		    const msgpack_object *o)
{
	const msgpack_object_array *a = &o->via.array;

	if (o->type != MSGPACK_OBJECT_ARRAY || !a->size ||
	    int_of(&a->ptr[0]) != SPEEDS_FORMAT)
		return false;
	if (!name.len || name.data[0] != 'q') {
		restore_speeds(e, a);
		return true;
	}
	if (a->size != VH_RATIO_BUCKETS + 1 || name.len > ENG_NAME_MAX)
		return false;
	restore_queue(e, vh_slice(name.data + 1, name.len - 1), a);
	return true;
}

bool eng_speeds_restore(struct engine *e, struct vh_slice name,
			struct vh_slice bytes)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, bytes.data, bytes.len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     restore(e, name, &u.data);
	msgpack_unpacked_destroy(&u);
	return ok;
}

void eng_speed_worker_known(struct engine *e, struct worker *w)
{
	const struct restored *r;

	if (!g_hash_table_size(e->restored_speeds) || !w->listed || !w->born_ms)
		return;
	r = g_hash_table_lookup(e->restored_speeds, w->id);
	if (!r)
		return;
	/* What was learned about another boot does not apply. */
	if (r->born_ms == w->born_ms && !w->speed.n &&
	    !e->settings.ignore_speeds) {
		eng_speed_set(e, w, r->speed, r->n);
		w->speed.stored = w->speed.known ? w->speed.value : 0;
	}
	g_hash_table_remove(e->restored_speeds, w->id);
}
