#include "vh/record.h"

#include "vh/codec.h"

#define BATCH_VERSION 1
#define CHECKSUM_BYTES 8
#define SHA256_BYTES 32

static void batch_checksum(const struct vh_batch *batch, guint8 *out)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[SHA256_BYTES];
	gsize len = sizeof(digest);
	struct vh_buf head;

	vh_buf_init(&head);
	vh_pack_slice(&head, batch->writer);
	vh_pack_u64(&head, batch->seq);
	vh_pack_u64(&head, batch->epoch);
	g_checksum_update(sum, (const guchar *)head.data, (gssize)head.len);
	g_checksum_update(sum, (const guchar *)batch->records.data,
			  (gssize)batch->records.len);
	g_checksum_get_digest(sum, digest, &len);
	memcpy(out, digest, CHECKSUM_BYTES);
	g_checksum_free(sum);
	vh_buf_finish(&head);
}

void vh_batch_pack(const struct vh_batch *batch, struct vh_buf *out)
{
	guint8 sum[CHECKSUM_BYTES];

	batch_checksum(batch, sum);
	vh_pack_array(out, 6);
	vh_pack_u64(out, BATCH_VERSION);
	vh_pack_slice(out, batch->writer);
	vh_pack_u64(out, batch->seq);
	vh_pack_u64(out, batch->epoch);
	vh_pack_slice(out, vh_slice((const char *)sum, sizeof(sum)));
	vh_pack_slice(out, batch->records);
}

static const char *batch_read(struct vh_unpack *u, struct vh_batch *out)
{
	guint8 sum[CHECKSUM_BYTES];
	uint64_t version = vh_unpack_u64(u);
	struct vh_slice stored;

	out->writer = vh_unpack_slice(u);
	out->seq = vh_unpack_u64(u);
	out->epoch = vh_unpack_u64(u);
	stored = vh_unpack_slice(u);
	out->records = vh_unpack_slice(u);
	if (!u->ok)
		return "batch is truncated or lacks fields";
	if (version != BATCH_VERSION)
		return "batch has an unknown version";
	batch_checksum(out, sum);
	if (!vh_slice_eq(stored, vh_slice((const char *)sum, sizeof(sum))))
		return "batch checksum mismatch";
	return NULL;
}

bool vh_batch_unpack(struct vh_slice bytes, struct vh_batch *out, GError **err)
{
	struct vh_unpack u;
	size_t used = 0;
	const char *why = "batch is not a msgpack array";

	memset(out, 0, sizeof(*out));
	if (vh_unpack_init(&u, bytes, &used))
		why = batch_read(&u, out);
	vh_unpack_finish(&u);
	if (!why && used != bytes.len)
		why = "trailing bytes after the batch";
	if (!why)
		return true;
	g_set_error_literal(err, VH_ERROR, VH_ERR_CORRUPT, why);
	return false;
}

void vh_record_add(struct vh_buf *records, enum vh_rec_kind kind,
		   struct vh_slice body)
{
	vh_pack_array(records, 2);
	vh_pack_u64(records, kind);
	vh_pack_slice(records, body);
}

bool vh_record_next(struct vh_slice *rest, uint32_t *kind,
		    struct vh_slice *body)
{
	struct vh_unpack u;
	size_t used = 0;
	bool ok = false;

	if (!rest->len)
		return false;
	if (vh_unpack_init(&u, *rest, &used)) {
		*kind = vh_unpack_u32(&u);
		*body = vh_unpack_slice(&u);
		ok = u.ok;
	}
	vh_unpack_finish(&u);
	if (ok)
		*rest = vh_slice(rest->data + used, rest->len - used);
	return ok;
}
