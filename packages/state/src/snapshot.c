#include "vh/snapshot.h"

#include "stream_priv.h"
#include "vh/codec.h"

#define CHECKSUM_BYTES 8
#define SHA256_BYTES 32

/* A snapshot being read. */
struct vh_snap_partial {
	struct vh_buf id;
	uint64_t covers;
	uint64_t len;
	uint64_t next_chunk;
	struct vh_buf bytes;
	struct vh_unpack unpacked; /* valid once complete */
	bool is_unpacked;
};

/* Counts the outstanding appends of one snapshot. */
struct snap_write {
	struct snap_write *next;
	struct vh_stream *stream;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
	size_t n_left;
	enum vh_err err;
};

static void digest(struct vh_slice bytes, guint8 *out)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 all[SHA256_BYTES];
	gsize len = sizeof(all);

	g_checksum_update(sum, (const guchar *)bytes.data, (gssize)bytes.len);
	g_checksum_get_digest(sum, all, &len);
	memcpy(out, all, CHECKSUM_BYTES);
	g_checksum_free(sum);
}

static void write_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct snap_write *w = arg;
	struct snap_write **at;

	if (err != VH_OK)
		w->err = err;
	if (--w->n_left)
		return;
	at = &w->stream->snap_writes;
	while (*at != w)
		at = &(*at)->next;
	*at = w->next;
	if (w->done)
		w->done(w->arg, w->err, offset);
	g_free(w);
}

void snap_writes_free(struct vh_stream *s)
{
	while (s->snap_writes) {
		struct snap_write *w = s->snap_writes;

		s->snap_writes = w->next;
		g_free(w);
	}
}

static void append(struct vh_stream *s, enum vh_rec_kind kind,
		   struct vh_buf *body, struct snap_write *w)
{
	if (w->err == VH_OK)
		vh_stream_append(s, kind, vh_buf_slice(body), write_done, w);
	else
		write_done(w, w->err, 0);
	vh_buf_clear(body);
}

static void write_records(struct vh_stream *s, struct vh_slice id,
			  uint64_t covers, struct vh_slice bytes,
			  struct snap_write *w)
{
	guint8 sum[CHECKSUM_BYTES];
	struct vh_buf body;

	vh_buf_init(&body);
	vh_pack_array(&body, 3);
	vh_pack_slice(&body, id);
	vh_pack_u64(&body, covers);
	vh_pack_u64(&body, bytes.len);
	append(s, VH_REC_SNAP_BEGIN, &body, w);
	for (size_t at = 0; at < bytes.len; at += VH_SNAP_CHUNK_BYTES) {
		vh_pack_array(&body, 3);
		vh_pack_slice(&body, id);
		vh_pack_u64(&body, at / VH_SNAP_CHUNK_BYTES);
		vh_pack_slice(&body, vh_slice(bytes.data + at,
					      MIN(bytes.len - at,
						  VH_SNAP_CHUNK_BYTES)));
		append(s, VH_REC_SNAP_CHUNK, &body, w);
	}
	digest(bytes, sum);
	vh_pack_array(&body, 2);
	vh_pack_slice(&body, id);
	vh_pack_slice(&body, vh_slice((const char *)sum, sizeof(sum)));
	append(s, VH_REC_SNAP_END, &body, w);
	vh_buf_finish(&body);
}

void vh_snap_write(struct vh_stream *s, uint64_t covers, struct vh_slice state,
		   void (*done)(void *arg, enum vh_err err, uint64_t offset),
		   void *arg)
{
	struct snap_write *w = g_new0(struct snap_write, 1);
	struct vh_buf bytes, stream, id;

	vh_buf_init(&bytes);
	vh_buf_init(&stream);
	vh_buf_init(&id);
	vh_stream_save(s, &stream, &id);
	vh_pack_array(&bytes, 2);
	vh_pack_slice(&bytes, vh_buf_slice(&stream));
	vh_pack_slice(&bytes, state);
	w->stream = s;
	w->next = s->snap_writes;
	s->snap_writes = w;
	w->done = done;
	w->arg = arg;
	w->n_left =
		2 + (bytes.len + VH_SNAP_CHUNK_BYTES - 1) / VH_SNAP_CHUNK_BYTES;
	write_records(s, vh_buf_slice(&id), covers, vh_buf_slice(&bytes), w);
	vh_buf_finish(&bytes);
	vh_buf_finish(&stream);
	vh_buf_finish(&id);
}

static void partial_free(struct vh_snap_partial *p)
{
	if (!p)
		return;
	if (p->is_unpacked)
		vh_unpack_finish(&p->unpacked);
	vh_buf_finish(&p->id);
	vh_buf_finish(&p->bytes);
	g_free(p);
}

void vh_snap_reader_finish(struct vh_snap_reader *r)
{
	for (size_t i = 0; i < VH_SNAP_PARTIAL_MAX; i++)
		partial_free(r->partials[i]);
	partial_free(r->complete);
	memset(r, 0, sizeof(*r));
}

static struct vh_snap_partial **partial_find(struct vh_snap_reader *r,
					     struct vh_slice id)
{
	for (size_t i = 0; i < VH_SNAP_PARTIAL_MAX; i++) {
		struct vh_snap_partial *p = r->partials[i];

		if (p && vh_slice_eq(vh_buf_slice(&p->id), id))
			return &r->partials[i];
	}
	return NULL;
}

static void partial_drop(struct vh_snap_partial **at)
{
	partial_free(*at);
	*at = NULL;
}

/* Replaces the oldest partial snapshot, whose writer has probably died. */
static void read_begin(struct vh_snap_reader *r, struct vh_slice id,
		       uint64_t covers, uint64_t len)
{
	struct vh_snap_partial **at = partial_find(r, id);
	struct vh_snap_partial *p;

	if (len > VH_SNAP_MAX_BYTES)
		return;
	if (at)
		partial_drop(at);
	p = g_new0(struct vh_snap_partial, 1);
	vh_buf_add_slice(&p->id, id);
	p->covers = covers;
	p->len = len;
	partial_free(r->partials[0]);
	memmove(r->partials, r->partials + 1,
		(VH_SNAP_PARTIAL_MAX - 1) * sizeof(struct vh_snap_partial *));
	r->partials[VH_SNAP_PARTIAL_MAX - 1] = p;
}

static void read_chunk(struct vh_snap_reader *r, struct vh_slice id,
		       uint64_t index, struct vh_slice bytes)
{
	struct vh_snap_partial **at = partial_find(r, id);

	if (!at)
		return;
	if (index != (*at)->next_chunk ||
	    (*at)->bytes.len + bytes.len > (*at)->len) {
		partial_drop(at);
		return;
	}
	(*at)->next_chunk++;
	vh_buf_add_slice(&(*at)->bytes, bytes);
}

static bool read_end(struct vh_snap_reader *r, struct vh_slice id,
		     struct vh_slice sum, struct vh_snapshot *out)
{
	struct vh_snap_partial **at = partial_find(r, id);
	struct vh_snap_partial *p = at ? *at : NULL;
	guint8 expect[CHECKSUM_BYTES];

	if (!p)
		return false;
	*at = NULL;
	partial_free(r->complete);
	r->complete = p;
	digest(vh_buf_slice(&p->bytes), expect);
	if (p->bytes.len != p->len ||
	    !vh_slice_eq(sum, vh_slice((const char *)expect, sizeof(expect))))
		return false;
	vh_unpack_init(&p->unpacked, vh_buf_slice(&p->bytes), NULL);
	p->is_unpacked = true;
	out->covers = p->covers;
	out->stream = vh_unpack_slice(&p->unpacked);
	out->state = vh_unpack_slice(&p->unpacked);
	return p->unpacked.ok;
}

bool vh_snap_reader_apply(struct vh_snap_reader *r, uint32_t kind,
			  struct vh_slice body, struct vh_snapshot *out)
{
	struct vh_slice id, bytes;
	struct vh_unpack u;
	uint64_t a, b;
	bool complete = false;

	if (kind != VH_REC_SNAP_BEGIN && kind != VH_REC_SNAP_CHUNK &&
	    kind != VH_REC_SNAP_END)
		return false;
	vh_unpack_init(&u, body, NULL);
	id = vh_unpack_slice(&u);
	if (kind == VH_REC_SNAP_BEGIN) {
		a = vh_unpack_u64(&u);
		b = vh_unpack_u64(&u);
		if (u.ok)
			read_begin(r, id, a, b);
	} else if (kind == VH_REC_SNAP_CHUNK) {
		a = vh_unpack_u64(&u);
		bytes = vh_unpack_slice(&u);
		if (u.ok)
			read_chunk(r, id, a, bytes);
	} else {
		bytes = vh_unpack_slice(&u);
		complete = u.ok && read_end(r, id, bytes, out);
	}
	vh_unpack_finish(&u);
	return complete;
}

int64_t vh_snap_due_ms(int64_t newest_ms, int64_t retention_ms, uint32_t rank)
{
	return newest_ms + retention_ms / 4 + rank * (retention_ms / 16);
}
