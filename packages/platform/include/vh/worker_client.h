#ifndef VH_WORKER_CLIENT_H
#define VH_WORKER_CLIENT_H

#include "vh/kernel.h"
#include "vh/rack.h"

/**
 * struct vh_worker_client - exchanges with one worker, POST /v1/sync
 */
struct vh_worker_client;

struct vh_worker_client *vh_worker_client_new(struct vh_kernel *kernel,
					      struct vh_slice address,
					      uint16_t port);
void vh_worker_client_free(struct vh_worker_client *c);

/**
 * vh_worker_client_sync - one exchange
 * @done: called once, later, unless the client is freed before. VH_OK: @reply
 *	  is valid during the call. VH_ERR_STALE_EPOCH: fenced, nothing done.
 *	  VH_ERR_UNKNOWN_OUTCOME: the worker may have acted on it.
 */
void vh_worker_client_sync(struct vh_worker_client *c,
			   const struct vh_sync_req *req,
			   void (*done)(void *ctx, enum vh_err err,
					const struct vh_sync_reply *reply),
			   void *ctx);
uint64_t vh_worker_client_bytes(const struct vh_worker_client *c);

/* vh_sync_req_to_json - the body of an exchange, as docs/PLATFORM.md gives it;
 * free with free() */
char *vh_sync_req_to_json(const struct vh_sync_req *req);

/**
 * vh_sync_reply_parse - reads an answer
 * @holder: keeps the memory behind @out; give to vh_sync_reply_finish()
 */
bool vh_sync_reply_parse(struct vh_slice json, struct vh_sync_reply *out,
			 void **holder, GError **err);
void vh_sync_reply_finish(struct vh_sync_reply *reply, void *holder);

#endif
