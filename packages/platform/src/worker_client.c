#include "vh/worker_client.h"

#include <stdlib.h>

#include "vh/http_pool.h"
#include "vh/log.h"

#define SYNC_TIMEOUT_MS 2000 /* beyond the wait of a long poll */
#define MAX_CONNS 2	     /* one may be occupied by a long poll */
#define MAX_SYNC_BYTES (4u << 20)

struct vh_worker_client {
	struct vh_http_pool *pool;
};

struct sync_op {
	void (*done)(void *ctx, enum vh_err err,
		     const struct vh_sync_reply *reply);
	void *ctx;
};

struct vh_worker_client *vh_worker_client_new(struct vh_kernel *kernel,
					      struct vh_slice address,
					      uint16_t port)
{
	struct vh_worker_client *c = g_new0(struct vh_worker_client, 1);

	c->pool = vh_http_pool_new(kernel, address, port, MAX_CONNS,
				   MAX_SYNC_BYTES);
	return c;
}

void vh_worker_client_free(struct vh_worker_client *c)
{
	if (!c)
		return;
	vh_http_pool_free(c->pool);
	g_free(c);
}

static void deliver_reply(const struct sync_op *op, struct vh_slice body)
{
	struct vh_sync_reply reply;
	void *storage = NULL;
	GError *err = NULL;

	if (!vh_sync_reply_parse(body, &reply, &storage, &err)) {
		vh_log(G_LOG_LEVEL_WARNING, "cannot parse worker reply",
		       "error", err->message, NULL);
		g_error_free(err);
		op->done(op->ctx, VH_ERR_UNKNOWN_OUTCOME, NULL);
		return;
	}
	op->done(op->ctx, VH_OK, &reply);
	vh_sync_reply_finish(&reply, storage);
}

static void sync_done(void *ctx, const struct vh_http_reply *reply)
{
	struct sync_op op = *(struct sync_op *)ctx;

	g_free(ctx);
	if (reply->status == 200)
		deliver_reply(&op, reply->body);
	else if (reply->status == 409)
		op.done(op.ctx, VH_ERR_STALE_EPOCH, NULL);
	else
		op.done(op.ctx, VH_ERR_UNKNOWN_OUTCOME, NULL);
}

void vh_worker_client_sync(struct vh_worker_client *c,
			   const struct vh_sync_req *req,
			   void (*done)(void *ctx, enum vh_err err,
					const struct vh_sync_reply *reply),
			   void *ctx)
{
	struct sync_op *op = g_new(struct sync_op, 1);
	char *body = vh_sync_req_to_json(req);
	struct vh_http_request request = {
		.method = EVHTTP_REQ_POST,
		.path = "/v1/sync",
		.content_type = "application/json",
		.body = vh_slice_str(body),
		.timeout_ms = SYNC_TIMEOUT_MS + req->wait_ms,
	};

	op->done = done;
	op->ctx = ctx;
	vh_http_pool_send(c->pool, &request, sync_done, op);
	free(body);
}

uint64_t vh_worker_client_bytes(const struct vh_worker_client *c)
{
	return vh_http_pool_bytes(c->pool);
}
