#include "streams.h"

#include <glib.h>
#include <msgpack.h>

struct record {
	int64_t at_ms;
	size_t len;
	char data[];
};

struct stream {
	GQueue records;
	uint64_t first;
	uint64_t next;
};

static void free_stream(void *ptr)
{
	struct stream *st = ptr;

	g_queue_clear_full(&st->records, g_free);
	g_free(st);
}

void vh_streams_init(struct vh_streams *s, uint64_t retain_records,
		     int64_t retain_ms)
{
	s->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_stream);
	s->retain_records = retain_records;
	s->retain_ms = retain_ms;
}

void vh_streams_finish(struct vh_streams *s)
{
	g_hash_table_destroy(s->by_name);
}

static bool exceeds_retention(const struct vh_streams *s,
			      const struct stream *st, int64_t now_ms)
{
	const struct record *oldest = g_queue_peek_head((GQueue *)&st->records);

	if (!oldest)
		return false;
	if (s->retain_records && st->next - st->first > s->retain_records)
		return true;
	return s->retain_ms && now_ms - oldest->at_ms > s->retain_ms;
}

static void expire(const struct vh_streams *s, struct stream *st,
		   int64_t now_ms)
{
	while (exceeds_retention(s, st, now_ms)) {
		g_free(g_queue_pop_head(&st->records));
		st->first++;
	}
}

uint64_t vh_streams_append(struct vh_streams *s, const char *name,
			   struct vh_slice record, int64_t now_ms)
{
	struct stream *st = g_hash_table_lookup(s->by_name, name);
	struct record *r = g_malloc(sizeof(*r) + record.len);

	if (!st) {
		st = g_new0(struct stream, 1);
		g_queue_init(&st->records);
		st->first = 1;
		st->next = 1;
		g_hash_table_insert(s->by_name, g_strdup(name), st);
	}
	r->at_ms = now_ms;
	r->len = record.len;
	if (record.len)
		memcpy(r->data, record.data, record.len);
	g_queue_push_tail(&st->records, r);
	st->next++;
	expire(s, st, now_ms);
	return st->next - 1;
}

void vh_streams_expire(struct vh_streams *s, int64_t now_ms)
{
	GHashTableIter it;
	void *st;

	g_hash_table_iter_init(&it, s->by_name);
	while (g_hash_table_iter_next(&it, NULL, &st))
		expire(s, st, now_ms);
}

void vh_streams_bounds(const struct vh_streams *s, const char *name,
		       uint64_t *first, uint64_t *next)
{
	const struct stream *st = g_hash_table_lookup(s->by_name, name);

	*first = st ? st->first : 1;
	*next = st ? st->next : 1;
}

static int pack_to_buf(void *data, const char *bytes, size_t len)
{
	vh_buf_add(data, bytes, len);
	return 0;
}

/* Counts the records from @link on that fit into @max_bytes, but at least
 * one. */
static size_t count_fitting(const GList *link, size_t max_bytes)
{
	size_t n = 0, bytes = 0;

	for (; link; link = link->next) {
		const struct record *r = link->data;

		bytes += r->len;
		if (n && bytes > max_bytes)
			break;
		n++;
	}
	return n;
}

/* Searches from the end, as most reads are for the newest records. */
static const GList *find_record(const struct stream *st, uint64_t from)
{
	const GList *link = st->records.tail;

	for (uint64_t at = st->next - 1; link && at > from; at--)
		link = link->prev;
	return link;
}

bool vh_streams_read(const struct vh_streams *s, const char *name,
		     uint64_t from, size_t max_bytes, struct vh_buf *out)
{
	const struct stream *st = g_hash_table_lookup(s->by_name, name);
	const GList *link = NULL;
	msgpack_packer pk;
	uint64_t first, next;
	size_t n;

	vh_streams_bounds(s, name, &first, &next);
	if (from < first)
		return false;
	if (st && from < next)
		link = find_record(st, from);
	n = count_fitting(link, max_bytes);
	msgpack_packer_init(&pk, out, pack_to_buf);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, first);
	msgpack_pack_uint64(&pk, next);
	msgpack_pack_array(&pk, n);
	for (size_t i = 0; i < n; i++, link = link->next) {
		const struct record *r = link->data;

		msgpack_pack_array(&pk, 2);
		msgpack_pack_uint64(&pk, from + i);
		msgpack_pack_bin(&pk, r->len);
		msgpack_pack_bin_body(&pk, r->data, r->len);
	}
	return true;
}
