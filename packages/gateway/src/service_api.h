#ifndef VH_SERVICE_API_H
#define VH_SERVICE_API_H

#include "upstream.h"

/**
 * struct vh_service_request - a request to a service, from its admission to its answer
 * @wait: its place among those that wait for an upstream
 * @idempotent: it may be tried again although it may have run
 * @recorded: its key has been recorded by request_begin
 * @maybe_ran: an attempt may have run
 * @orphan: its caller has gone; it ends when the upstream has answered
 * @conn, @call: the attempt under way
 * @id: of that attempt; the upstream must repeat it
 * @body: of the answer, as far as it has not been passed on
 * @length: of the whole body, -1 if not announced
 * @remote: it goes to another region, whose bytes are counted
 */
struct vh_service_request {
	struct vh_fairq_item wait;
	struct vh_request *w;
	struct vh_service_state *service;
	bool idempotent;
	bool recorded;
	bool maybe_ran;
	bool orphan;
	unsigned int attempts;
	uint64_t avoid;
	int64_t deadline_ms;
	int64_t enqueued_ms;
	struct vh_timer timer;
	struct vh_timer connect_timer;
	struct vh_upstream_conn *conn;
	struct evhttp_request *call;
	bool failed; /* the library has reported an error of this attempt */
	char id[VH_REQUEST_ID_MAX + 16];
	struct evbuffer *body;
	int64_t length;
	uint64_t received;
	bool remote;
	bool checked; /* the head of the answer was found good */
	bool paused;
};

/* vh_service_api_run - sends an admitted request to an upstream */
void vh_service_api_run(struct vh_request *w);

/* vh_service_dispatch - sends what waits for this service, as far as it can */
void vh_service_dispatch(struct vh_service_state *s);

/* vh_service_enqueue - puts it among those that wait, in front if it was sent
 * before */
void vh_service_enqueue(struct vh_service_request *r, bool front);

/* vh_service_fail - ends it; true outcome by what its attempts did */
void vh_service_fail(struct vh_service_request *r, enum vh_err err,
		     const char *message);

/* vh_attempt_start - sends it; false if there is no connection for it */
bool vh_attempt_start(struct vh_service_request *r, struct vh_worker *worker);

/* vh_attempt_cancel - forgets the attempt under way, if any */
void vh_attempt_cancel(struct vh_service_request *r);

/* vh_service_retry - after a failed attempt: tries again or answers */
void vh_service_retry(struct vh_service_request *r, bool surely_not_run,
		      enum vh_err err);

/* vh_service_complete - the whole answer has come or its last part has */
void vh_service_complete(struct vh_service_request *r, int status);

#endif
