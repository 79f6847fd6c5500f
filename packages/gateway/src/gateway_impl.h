#ifndef VH_GATEWAY_IMPL_H
#define VH_GATEWAY_IMPL_H

#include "admission.h"
#include "listener.h"
#include "key_trust.h"
#include "vh/core.h"
#include "vh/gateway.h"

#define VH_REQUEST_ID_MAX 96 /* bytes with NUL */

/**
 * struct vh_latency_stats - what is counted for one team and class
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
 * struct vh_request - a caller's request from its arrival to its answer
 * @ex: NULL once it is answered
 * @pending: callbacks still to come; it is freed after the last
 * @next_completed: list of those that are freed in the next turn of the loop
 * @streaming: part of the answer has been sent
 * @run: begins it once it is admitted
 * @release: gives back what the kind of request holds; may be NULL
 * @recheck: the key must still be valid while it waits
 * @arrived_us, @started_us: monotonic
 */
struct vh_request {
	struct vh_gateway *g;
	struct vh_exchange *ex;
	struct vh_admission_item admit;
	bool admitted;
	unsigned int pending;
	bool streaming;
	void (*run)(struct vh_request *w);
	void (*release)(struct vh_request *w);
	void *detail;
	bool recheck;
	char team[VH_NAME_MAX + 1];
	char target[VH_NAME_MAX + 1]; /* queue or service */
	char id[VH_REQUEST_ID_MAX];
	char key[VH_IDEM_KEY_MAX + 1]; /* Idempotency-Key that was recorded */
	enum vh_class cls;
	int64_t arrived_us;
	int64_t started_us;
	struct vh_request *next;
	struct vh_request **prev;
	struct vh_request *next_completed;
};

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
	struct vh_key_trust trust;
	struct vh_admission admit;
	struct vh_request *works;
	struct vh_request *ended;
	struct vh_latency_stats *stats;
	struct vh_service_state *services;
	struct vh_upstream_conn
		*dropped; /* connections to close in the next turn */
	struct vh_timer tick;
	struct vh_timer reaper;
	uint64_t incarnation;
	uint64_t last_request;
	bool draining;
	bool in_run_waiting;
	GRand *rng;
};

/* gateway.c */
const struct vh_objects *vh_gateway_objects(const struct vh_gateway *g);

/* vh_gateway_trusts_keys - may keys be gone by now? */
bool vh_gateway_trusts_keys(struct vh_gateway *g);
void vh_gateway_make_request_id(struct vh_gateway *g,
				char id[VH_REQUEST_ID_MAX]);
int64_t vh_gateway_now_us(const struct vh_gateway *g);
void vh_gateway_count_refusal(struct vh_gateway *g, const char *team,
			      enum vh_err err);
struct vh_latency_stats *vh_gateway_latency_stats(struct vh_gateway *g,
						  const char *team,
						  enum vh_class cls);

/* work.c */
struct vh_request *vh_request_new(struct vh_gateway *g, struct vh_exchange *ex);

/* vh_request_admit - queues or runs it; refuses it if the node must */
void vh_request_admit(struct vh_request *w, const struct vh_team *team);

/* vh_request_key - the valid key that it came with, else NULL */
const struct vh_key *vh_request_key(const struct vh_request *w);

/* Each answers, if the caller is still there, and ends the work. */
void vh_request_respond_json(struct vh_request *w, int status,
			     struct vh_slice body);
void vh_request_respond_error(struct vh_request *w, enum vh_err err,
			      struct vh_slice message);
void vh_request_respond_outcome(struct vh_request *w, enum vh_err err,
				enum vh_outcome outcome,
				struct vh_slice message);

/* vh_request_abort - cuts the connection in the middle of a streamed answer */
void vh_request_abort(struct vh_request *w);

/* vh_request_complete - the answer was given directly through w->ex, now invalid */
void vh_request_complete(struct vh_request *w);

/* vh_request_callback_done - one pending callback has come; false: nothing is left
 * to answer and @w may be gone */
bool vh_request_callback_done(struct vh_request *w);
void vh_request_free_completed(void *gateway);
void vh_request_recheck_keys(struct vh_gateway *g);
void vh_request_run_waiting(struct vh_gateway *g);

/* upstream.c */
void vh_upstream_free_closed(struct vh_gateway *g);
void vh_upstream_close_idle(struct vh_gateway *g);

/* callers.c, operators.c: the two APIs */
void vh_callers_handle(void *gateway, struct vh_exchange *ex);

/* vh_idempotency_key_valid - is it a valid Idempotency-Key? Empty is. */
bool vh_idempotency_key_valid(struct vh_slice key);
void vh_callers_end_long_polls(struct vh_gateway *g);
void vh_operators_handle(void *gateway, struct vh_exchange *ex);

/* jobs_api.c */
void vh_jobs_api_submit(struct vh_request *w);
void vh_jobs_api_get(struct vh_request *w, struct vh_slice id, int64_t wait_ms);
void vh_jobs_api_cancel(struct vh_request *w, struct vh_slice id);
void vh_jobs_api_end_long_poll(struct vh_request *w);

#endif
