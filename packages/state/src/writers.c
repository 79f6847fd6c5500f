#include "writers.h"

#include <glib.h>

struct vh_writer {
	struct vh_table_node node;
	struct vh_writer *newer;
	struct vh_writer *older;
	uint64_t seq;
	char name[];
};

static void writer_unlink(struct vh_writers *w, struct vh_writer *writer)
{
	if (writer->newer)
		writer->newer->older = writer->older;
	else
		w->newest = writer->older;
	if (writer->older)
		writer->older->newer = writer->newer;
	else
		w->oldest = writer->newer;
}

static void writer_push(struct vh_writers *w, struct vh_writer *writer)
{
	writer->newer = NULL;
	writer->older = w->newest;
	if (w->newest)
		w->newest->newer = writer;
	else
		w->oldest = writer;
	w->newest = writer;
}

static struct vh_writer *writer_add(struct vh_writers *w, struct vh_slice name)
{
	struct vh_writer *writer = g_malloc0(sizeof(*writer) + name.len);

	memcpy(writer->name, name.data, name.len);
	writer->node.key = vh_slice(writer->name, name.len);
	vh_table_add(&w->table, &writer->node);
	writer_push(w, writer);
	return writer;
}

static void writer_drop(struct vh_writers *w, struct vh_writer *writer)
{
	writer_unlink(w, writer);
	vh_table_remove(&w->table, &writer->node);
	g_free(writer);
}

void vh_writers_finish(struct vh_writers *w)
{
	while (w->oldest)
		writer_drop(w, w->oldest);
	vh_table_finish(&w->table);
}

bool vh_writers_accept(struct vh_writers *w, struct vh_slice name, uint64_t seq)
{
	struct vh_writer *writer =
		(struct vh_writer *)vh_table_find(&w->table, name);

	if (writer && seq <= writer->seq)
		return false;
	if (writer) {
		writer_unlink(w, writer);
		writer_push(w, writer);
	} else {
		writer = writer_add(w, name);
	}
	writer->seq = seq;
	if (w->table.n > VH_WRITERS_MAX)
		writer_drop(w, w->oldest);
	return true;
}

void vh_writers_pack(const struct vh_writers *w, struct vh_buf *out)
{
	vh_pack_array(out, w->table.n * 2);
	for (const struct vh_writer *i = w->oldest; i; i = i->newer) {
		vh_pack_slice(out, i->node.key);
		vh_pack_u64(out, i->seq);
	}
}

bool vh_writers_unpack(struct vh_writers *w, struct vh_unpack *u)
{
	struct vh_unpack list;
	uint32_t n = vh_unpack_array(u, &list);

	for (uint32_t i = 0; i + 1 < n; i += 2) {
		struct vh_slice name = vh_unpack_slice(&list);
		uint64_t seq = vh_unpack_u64(&list);

		if (!list.ok)
			return false;
		vh_writers_accept(w, name, seq);
	}
	return u->ok;
}
