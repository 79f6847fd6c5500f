#include "eng_priv.h"

/*
 * Learned records: statistics of the owner that its successor starts with. Each
 * kind of statistics has a letter, with which the names of its records begin,
 * and stores only those of its records that changed enough to matter.
 */
#define LEARNED_INTERVAL_MS 5000 /* between two writes */

/**
 * struct learned_kind - one kind of statistics
 * @pack: appends the records to store, with eng_learned_add()
 * @restore: takes a record; @name is without the letter; false if the record's
 *	     format is not known
 */
struct learned_kind {
	char prefix;
	void (*pack)(struct engine *e, GArray *records);
	bool (*restore)(struct engine *e, struct vh_slice name,
			struct vh_slice bytes);
};

static const struct learned_kind kinds[] = {
	{ 'w', eng_speeds_pack, eng_speeds_restore },
	{ USAGE_RECORD_PREFIX, eng_usage_pack, eng_usage_restore },
	{ 0 }, /* end of the list */
};

bool eng_learned_due(const struct engine *e)
{
	return kinds[0].prefix && e->ready && e->next_learned_ms <= e->now_ms;
}

struct vh_buf *eng_learned_add(GArray *records, char prefix,
			       struct vh_slice name)
{
	struct eng_record r = { 0 };

	r.name = g_strdup_printf("%c%.*s", prefix, VH_SLICE_ARGS(name));
	vh_buf_init(&r.bytes);
	g_array_append_val(records, r);
	return &g_array_index(records, struct eng_record, records->len - 1)
			.bytes;
}

void eng_learned_pack(struct engine *e, GArray *records)
{
	for (const struct learned_kind *k = kinds; k->prefix; k++)
		k->pack(e, records);
	e->next_learned_ms = e->now_ms + LEARNED_INTERVAL_MS;
}

bool eng_learned_restore(struct engine *e, struct vh_slice name,
			 struct vh_slice record, int64_t now_ms)
{
	e->now_ms = now_ms;
	for (const struct learned_kind *k = kinds; k->prefix; k++) {
		if (name.len && name.data[0] == k->prefix && !e->ready)
			return k->restore(e,
					  vh_slice(name.data + 1, name.len - 1),
					  record);
	}
	return false;
}
