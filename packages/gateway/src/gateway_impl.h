#ifndef VH_GATEWAY_IMPL_H
#define VH_GATEWAY_IMPL_H

/*
 * Defines the state of the gateway and of callers' requests, and the functions
 * that its sources call across files. Internal to the package; included by most
 * of its sources, some through upstream.h or service_api.h.
 */

#include "admission.h"
#include "key_trust.h"
#include "listener.h"
#include "vh/core.h"
#include "vh/gateway.h"

#define VH_REQUEST_ID_MAX 96 /* bytes with NUL */

/**
 * struct vh_latency_stats - latency histograms of one team and class
 * @waiting: from arrival to the start of processing
 * @service: from the start of processing to the response
 * @total: from arrival to the response
 */
struct vh_latency_stats {
	struct vh_latency_stats *next;
	char team[VH_NAME_MAX + 1];
	enum vh_class cls;
	struct vh_histogram *waiting;
	struct vh_histogram *service;
	struct vh_histogram *total;
};

/**
 * struct vh_request - a caller's request from arrival to response
 * @ex: NULL after the response
 * @pending_callbacks: callbacks still outstanding; the request is freed after
 *		       the last one
 * @streaming: part of the response has been sent
 * @start: starts processing after admission
 * @release: releases @priv; may be NULL
 * @priv: state of the API that serves the request
 * @recheck_key: the request is a long poll, which is refused if its key becomes
 *		 invalid while it waits
 * @target: name of the queue or service
 * @idempotency_key: key under which a service request is recorded; empty if
 *		     it is not recorded
 * @arrived_us, @started_us: monotonic
 * @next_completed: list of requests to free in the next event-loop iteration
 */
struct vh_request {
	struct vh_gateway *g;
	struct vh_exchange *ex;
	struct vh_admission_item admission;
	bool admitted;
	unsigned int pending_callbacks;
	bool streaming;
	void (*start)(struct vh_request *req);
	void (*release)(struct vh_request *req);
	void *priv;
	bool recheck_key;
	char team[VH_NAME_MAX + 1];
	char target[VH_NAME_MAX + 1];
	char id[VH_REQUEST_ID_MAX];
	char idempotency_key[VH_IDEM_KEY_MAX + 1];
	enum vh_class cls;
	int64_t arrived_us;
	int64_t started_us;
	struct vh_request *next;
	struct vh_request **prev;
	struct vh_request *next_completed;
};

/**
 * struct vh_gateway - the service "gateway"
 * @requests: requests that await a response or a callback
 * @completed: requests to free in the next event-loop iteration
 * @closed_conns: upstream connections to free in the next event-loop iteration
 * @cleanup_timer: frees @completed and @closed_conns
 * @last_request_seq: number in the last request id
 * @in_run_waiting: vh_request_run_waiting() is running, guards against
 *		    recursion
 */
struct vh_gateway {
	struct vh_gateway_settings settings;
	struct vh_kernel *kernel;
	struct vh_service service;
	struct vh_listener *callers;
	struct vh_listener *operators;
	struct vh_service *config;
	struct vh_service *jobs;
	struct vh_service *upstreams;
	struct vh_service *status;
	struct vh_peer *peer;
	struct vh_key_trust key_trust;
	struct vh_admission admission;
	struct vh_request *requests;
	struct vh_request *completed;
	struct vh_latency_stats *latency_stats;
	struct vh_service_state *services;
	struct vh_upstream_conn *closed_conns;
	struct vh_timer tick_timer;
	struct vh_timer cleanup_timer;
	uint64_t incarnation;
	uint64_t last_request_seq;
	bool draining;
	bool in_run_waiting;
	GRand *rng;
};

/* gateway.c */

/* vh_gateway_objects - the configuration in force, or NULL */
const struct vh_objects *vh_gateway_objects(const struct vh_gateway *g);

/* vh_gateway_trusts_keys - are the known keys current enough to rely on? */
bool vh_gateway_trusts_keys(struct vh_gateway *g);
void vh_gateway_make_request_id(struct vh_gateway *g,
				char id[VH_REQUEST_ID_MAX]);

/* vh_gateway_now_us - monotonic time */
int64_t vh_gateway_now_us(const struct vh_gateway *g);
void vh_gateway_count_refusal(struct vh_gateway *g, const char *team,
			      enum vh_err err);

/* vh_gateway_latency_stats - finds or creates the histograms */
struct vh_latency_stats *vh_gateway_latency_stats(struct vh_gateway *g,
						  const char *team,
						  enum vh_class cls);

/* request.c */
struct vh_request *vh_request_new(struct vh_gateway *g, struct vh_exchange *ex);

/* vh_request_admit - starts, queues or refuses the request */
void vh_request_admit(struct vh_request *req, const struct vh_team *team);

/* vh_request_key - the valid API key of the request, else NULL */
const struct vh_key *vh_request_key(const struct vh_request *req);

/* These respond if the caller is still connected and complete the request. */
void vh_request_respond_json(struct vh_request *req, int status,
			     struct vh_slice body);
void vh_request_respond_error(struct vh_request *req, enum vh_err err,
			      struct vh_slice message);
void vh_request_respond_outcome(struct vh_request *req, enum vh_err err,
				enum vh_outcome outcome,
				struct vh_slice message);

/* vh_request_abort - closes the connection in the middle of a streamed
 * response */
void vh_request_abort(struct vh_request *req);

/* vh_request_complete - completes the request after its response was sent,
 * which has freed req->ex */
void vh_request_complete(struct vh_request *req);

/* vh_request_callback_done - one pending callback has arrived; false if the
 * request was already answered, in which case @req may be invalid */
bool vh_request_callback_done(struct vh_request *req);
void vh_request_free_completed(void *gateway);

/* vh_request_recheck_keys - after a configuration change: refuses waiting
 * requests whose key is no longer valid */
void vh_request_recheck_keys(struct vh_gateway *g);

/* vh_request_run_waiting - starts queued requests as capacity permits */
void vh_request_run_waiting(struct vh_gateway *g);

/* upstream.c */
void vh_upstream_free_closed(struct vh_gateway *g);
void vh_upstream_close_idle(struct vh_gateway *g);

/* callers.c */
void vh_callers_handle(void *gateway, struct vh_exchange *ex);

/* vh_idempotency_key_valid - is @key a valid or an absent Idempotency-Key? */
bool vh_idempotency_key_valid(struct vh_slice key);

/* vh_callers_end_long_polls - answers all long polls when the node drains */
void vh_callers_end_long_polls(struct vh_gateway *g);

/* operators.c */
void vh_operators_handle(void *gateway, struct vh_exchange *ex);

/* jobs_api.c */
void vh_jobs_api_submit(struct vh_request *req);
void vh_jobs_api_get(struct vh_request *req, struct vh_slice id,
		     int64_t wait_ms);
void vh_jobs_api_cancel(struct vh_request *req, struct vh_slice id);
void vh_jobs_api_end_long_poll(struct vh_request *req);

#endif
