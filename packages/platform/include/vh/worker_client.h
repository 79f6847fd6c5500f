#ifndef VH_WORKER_CLIENT_H
#define VH_WORKER_CLIENT_H

/*
 * HTTP client of one worker (POST /v1/sync) and the JSON form of sync requests
 * and replies. Called by the rack owners in packages/core.
 */

#include "vh/kernel.h"
#include "vh/rack.h"

struct vh_worker_client;

struct vh_worker_client *vh_worker_client_new(struct vh_kernel *kernel,
					      struct vh_slice address,
					      uint16_t port);
void vh_worker_client_free(struct vh_worker_client *c);

/**
 * vh_worker_client_sync - sends one sync request
 * @done: called once, asynchronously, unless the client is freed before. VH_OK:
 *	  @reply is valid during the call. VH_ERR_STALE_EPOCH: rejected by
 *	  fencing, without effect. VH_ERR_UNKNOWN_OUTCOME: the worker may or may
 *	  not have processed the request.
 */
void vh_worker_client_sync(struct vh_worker_client *c,
			   const struct vh_sync_req *req,
			   void (*done)(void *ctx, enum vh_err err,
					const struct vh_sync_reply *reply),
			   void *ctx);
uint64_t vh_worker_client_bytes(const struct vh_worker_client *c);

/* vh_sync_req_to_json - returns the request body, as docs/PLATFORM.md specifies
 * it; free with free() */
char *vh_sync_req_to_json(const struct vh_sync_req *req);

/**
 * vh_sync_reply_parse - parses a sync reply
 * @storage: memory that @out points into; release both with
 *	     vh_sync_reply_finish()
 */
bool vh_sync_reply_parse(struct vh_slice json, struct vh_sync_reply *out,
			 void **storage, GError **err);
void vh_sync_reply_finish(struct vh_sync_reply *reply, void *storage);

#endif
