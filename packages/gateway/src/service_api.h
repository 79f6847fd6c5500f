#ifndef VH_SERVICE_API_H
#define VH_SERVICE_API_H

/*
 * Forwards requests to services, with queueing, attempts and retries. Internal
 * to the package; callers.c makes vh_service_api_run() the start function of a
 * request, and service_api.c and attempt.c share the other functions.
 */

#include "upstream.h"

/**
 * struct vh_service_request - a request to a service, from admission to
 * response
 * @queue_item: linkage in the queue of requests that wait for an upstream
 * @idempotent: may be retried even if an attempt may have run
 * @recorded: its idempotency key was recorded by request_begin
 * @may_have_run: an attempt may have run
 * @failed_runs: how many attempts may have run and failed
 * @orphaned: the caller has disconnected; completes when the upstream responds
 * @avoid_mask: upstreams that have failed or refused this request, see
 *		vh_upstream_avoid_bit()
 * @created_ms: retries do not change it
 * @conn, @call: the attempt in progress
 * @errored: the HTTP library reported an error for this attempt
 * @attempt_id: request id of this attempt; the upstream must echo it
 * @body: response bytes not yet forwarded
 * @content_length: announced length of the response body, or -1
 * @cross_region: the upstream is in another region; transferred bytes are
 *		  counted
 * @head_valid: the response head passed validation
 * @read_paused: reading from the upstream is paused for flow control
 */
struct vh_service_request {
	struct vh_fairq_item queue_item;
	struct vh_request *req;
	struct vh_service_state *service;
	bool idempotent;
	bool recorded;
	bool may_have_run;
	bool orphaned;
	unsigned int attempts;
	unsigned int failed_runs;
	uint64_t avoid_mask;
	int64_t deadline_ms;
	int64_t created_ms;
	struct vh_timer deadline_timer;
	struct vh_timer connect_timer;
	struct vh_upstream_conn *conn;
	struct evhttp_request *call;
	bool errored;
	char attempt_id[VH_REQUEST_ID_MAX + 16];
	struct evbuffer *body;
	int64_t content_length;
	uint64_t received_bytes;
	bool cross_region;
	bool head_valid;
	bool read_paused;
};

/* vh_service_api_run - forwards an admitted request to an upstream */
void vh_service_api_run(struct vh_request *req);

/* vh_service_dispatch - sends as many of the service's queued requests as
 * upstreams can take */
void vh_service_dispatch(struct vh_service_state *svc);

/* vh_service_enqueue - queues a request; at the front if it was dequeued
 * before */
void vh_service_enqueue(struct vh_service_request *sreq, bool front);

/* vh_service_fail - ends a request with an error; the reported outcome depends
 * on whether an attempt may have run */
void vh_service_fail(struct vh_service_request *sreq, enum vh_err err,
		     const char *message);

/* vh_attempt_start - sends the request to @worker; false if no connection is
 * available */
bool vh_attempt_start(struct vh_service_request *sreq,
		      struct vh_upstream_worker *worker);

/* vh_attempt_cancel - cancels the attempt in progress, if any */
void vh_attempt_cancel(struct vh_service_request *sreq);

/* vh_service_retry - after a failed or refused attempt: retries or responds
 * with @err; @surely_not_run: the upstream cannot have run the request */
void vh_service_retry(struct vh_service_request *sreq, bool surely_not_run,
		      enum vh_err err);

/* vh_service_complete - the response, or the last part of a streamed one, has
 * arrived */
void vh_service_complete(struct vh_service_request *sreq, int status);

#endif
