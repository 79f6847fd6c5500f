#include "vh/log_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <msgpack.h>

#include "vh/http_pool.h"

#define APPEND_CONNS 8
#define APPEND_TIMEOUT_MS 5000
#define READ_MARGIN_MS 5000 /* added to the wait of a long poll */
#define MAX_REPLY_BYTES (8u << 20)

struct vh_log_client {
	struct vh_http_pool *appends;
	struct vh_http_pool *reads;
	struct vh_log_transport transport;
	uint64_t n_appends;
};

struct append_op {
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

struct read_op {
	void (*done)(void *arg, const struct vh_log_read *result);
	void *arg;
};

static bool parse_json_u64(struct vh_slice body, const char *key, uint64_t *out)
{
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_t *value = json_object_get(root, key);
	bool ok = json_is_integer(value);

	if (ok)
		*out = (uint64_t)json_integer_value(value);
	json_decref(root);
	return ok;
}

static void append_done(void *ctx, const struct vh_http_reply *reply)
{
	struct append_op op = *(struct append_op *)ctx;
	uint64_t offset = 0;

	g_free(ctx);
	if (reply->status == 200 &&
	    parse_json_u64(reply->body, "offset", &offset))
		op.done(op.arg, VH_OK, offset);
	else if (reply->status == 429 || reply->status == 503)
		op.done(op.arg, VH_ERR_UNREACHABLE, 0);
	else
		op.done(op.arg, VH_ERR_UNKNOWN_OUTCOME, 0);
}

static void
client_append(void *ctx, struct vh_slice stream, struct vh_slice bytes,
	      void (*done)(void *arg, enum vh_err err, uint64_t offset),
	      void *arg)
{
	struct vh_log_client *c = ctx;
	struct append_op *op = g_new(struct append_op, 1);
	char *path =
		g_strdup_printf("/streams/%.*s/records", VH_SLICE_ARGS(stream));
	struct vh_http_request request = {
		.method = EVHTTP_REQ_POST,
		.path = path,
		.content_type = "application/octet-stream",
		.body = bytes,
		.timeout_ms = APPEND_TIMEOUT_MS,
	};

	op->done = done;
	op->arg = arg;
	c->n_appends++;
	vh_http_pool_send(c->appends, &request, append_done, op);
	g_free(path);
}

static bool parse_entry(const msgpack_object *o, struct vh_log_entry *entry)
{
	const msgpack_object *pair;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2)
		return false;
	pair = o->via.array.ptr;
	if (pair[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    pair[1].type != MSGPACK_OBJECT_BIN)
		return false;
	entry->offset = pair[0].via.u64;
	entry->bytes = vh_slice(pair[1].via.bin.ptr, pair[1].via.bin.size);
	return true;
}

/* Parses [first, next, entries]. On success the caller frees the entries. */
static bool parse_read_reply(const msgpack_object *o,
			     struct vh_log_read *result)
{
	const msgpack_object *fields;
	struct vh_log_entry *entries;
	size_t n;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3)
		return false;
	fields = o->via.array.ptr;
	if (fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	n = fields[2].via.array.size;
	entries = g_new(struct vh_log_entry, n + 1);
	for (size_t i = 0; i < n; i++) {
		if (!parse_entry(&fields[2].via.array.ptr[i], &entries[i])) {
			g_free(entries);
			return false;
		}
	}
	result->first = fields[0].via.u64;
	result->next = fields[1].via.u64;
	result->entries = entries;
	result->n = n;
	return true;
}

static void deliver_read(const struct read_op *op, struct vh_slice body)
{
	struct vh_log_read result = { .err = VH_ERR_CORRUPT };
	msgpack_unpacked u;
	size_t off = 0;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, body.data, body.len, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    parse_read_reply(&u.data, &result))
		result.err = VH_OK;
	op->done(op->arg, &result);
	g_free((void *)result.entries);
	msgpack_unpacked_destroy(&u);
}

static void read_done(void *ctx, const struct vh_http_reply *reply)
{
	struct read_op op = *(struct read_op *)ctx;
	struct vh_log_read result = { .err = VH_ERR_UNREACHABLE };

	g_free(ctx);
	if (reply->status == 200) {
		deliver_read(&op, reply->body);
		return;
	}
	if (reply->status == 410 &&
	    parse_json_u64(reply->body, "first", &result.first) &&
	    parse_json_u64(reply->body, "next", &result.next))
		result.err = VH_ERR_OFFSET_GONE;
	op.done(op.arg, &result);
}

static void client_read(void *ctx, struct vh_slice stream, uint64_t from,
			size_t max_bytes, int64_t wait_ms,
			void (*done)(void *arg,
				     const struct vh_log_read *result),
			void *arg)
{
	struct vh_log_client *c = ctx;
	struct read_op *op = g_new(struct read_op, 1);
	char *path = g_strdup_printf("/streams/%.*s/records?from=%" PRIu64
				     "&max_bytes=%zu&wait_ms=%" PRId64,
				     VH_SLICE_ARGS(stream), from, max_bytes,
				     wait_ms);
	struct vh_http_request request = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.timeout_ms = wait_ms + READ_MARGIN_MS,
	};

	op->done = done;
	op->arg = arg;
	vh_http_pool_send(c->reads, &request, read_done, op);
	g_free(path);
}

struct vh_log_client *vh_log_client_new(struct vh_kernel *kernel,
					struct vh_slice address, uint16_t port,
					size_t max_readers)
{
	struct vh_log_client *c = g_new0(struct vh_log_client, 1);

	c->appends = vh_http_pool_new(kernel, address, port, APPEND_CONNS,
				      MAX_REPLY_BYTES);
	c->reads = vh_http_pool_new(kernel, address, port, max_readers,
				    MAX_REPLY_BYTES);
	c->transport.append = client_append;
	c->transport.read = client_read;
	c->transport.ctx = c;
	return c;
}

void vh_log_client_free(struct vh_log_client *c)
{
	if (!c)
		return;
	vh_http_pool_free(c->appends);
	vh_http_pool_free(c->reads);
	g_free(c);
}

const struct vh_log_transport *
vh_log_client_transport(const struct vh_log_client *c)
{
	return &c->transport;
}

uint64_t vh_log_client_bytes(const struct vh_log_client *c)
{
	return vh_http_pool_bytes(c->appends) + vh_http_pool_bytes(c->reads);
}

uint64_t vh_log_client_append_count(const struct vh_log_client *c)
{
	return c->n_appends;
}
