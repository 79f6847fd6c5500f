#include "service_api.h"

#include <event2/buffer.h>

#include "vh/invariant.h"

#define DEFAULT_TIMEOUT_MS 30000
#define DISPATCH_RETRY_MS 5 /* between attempts to send queued requests */
#define CHANGE_WAIT_MS 250  /* time-out of a wait for a new upstream list */
/* Age of a request from which it may be sent to another region, which is
 * billed, although this node's region has upstreams. */
#define REMOTE_DELAY_MS 100
#define MAX_ATTEMPTS 64
#define MAX_FAILED_RUNS 3 /* upstreams that may fail under one request */
#define BODY_HASH_SEED 1

static struct vh_service_request *request_of_item(struct vh_fairq_item *item)
{
	return (struct vh_service_request *)((char *)item -
					     offsetof(struct vh_service_request,
						      queue_item));
}

static const struct vh_jobs_ops *jobs_ops(const struct vh_service_request *sreq)
{
	return sreq->req->g->jobs ? sreq->req->g->jobs->ops : NULL;
}

static void free_service_request(struct vh_service_request *sreq)
{
	if (sreq->queue_item.flow)
		vh_fairq_remove(&sreq->service->waiting, &sreq->queue_item);
	vh_attempt_cancel(sreq);
	vh_timer_finish(&sreq->deadline_timer);
	vh_timer_finish(&sreq->connect_timer);
	evbuffer_free(sreq->body);
	sreq->req->priv = NULL;
	g_free(sreq);
}

/*
 * Called after the response or the caller's disconnect. A non-idempotent
 * request in flight is left to finish so that its outcome can be recorded.
 */
static void release(struct vh_request *req)
{
	struct vh_service_request *sreq = req->priv;
	struct vh_service_state *svc = sreq->service;

	if (sreq->call && !sreq->idempotent) {
		sreq->orphaned = true;
		req->pending_callbacks++;
		return;
	}
	free_service_request(sreq);
	vh_service_dispatch(svc);
}

static void on_end_recorded(void *ctx, enum vh_err err)
{
	(void)err;
	vh_request_callback_done(ctx);
}

static void send_request_end(struct vh_request *req, int status)
{
	const struct vh_objects *objects = vh_gateway_objects(req->g);
	const struct vh_team *team =
		objects ? vh_objects_find_team(objects, vh_slice_str(req->team))
			: NULL;
	const struct vh_jobs_ops *ops = req->g->jobs->ops;

	if (!team)
		return;
	req->pending_callbacks++;
	ops->request_end(req->g->jobs->self, team,
			 vh_slice_str(req->idempotency_key), (uint32_t)status,
			 on_end_recorded, req);
}

/* Records the outcome of a request whose begin was recorded. Status 0 means
 * that it did not run and makes its Idempotency-Key usable again. */
static void record_outcome(struct vh_service_request *sreq, int status)
{
	if (!sreq->recorded)
		return;
	sreq->recorded = false;
	send_request_end(sreq->req, status);
}

static void complete_orphan(struct vh_service_request *sreq)
{
	struct vh_request *req = sreq->req;

	free_service_request(sreq);
	vh_request_callback_done(req);
}

void vh_service_fail(struct vh_service_request *sreq, enum vh_err err,
		     const char *message)
{
	enum vh_outcome outcome = vh_err_info(err)->outcome;

	if (sreq->may_have_run)
		outcome = VH_OUTCOME_UNKNOWN;
	else if (!sreq->call)
		outcome = VH_OUTCOME_NOT_RUN;
	if (outcome == VH_OUTCOME_NOT_RUN) {
		vh_invariant_check(
			VH_I6_NOT_RUN, !sreq->may_have_run && !sreq->call,
			"request %s reported as not run after an attempt",
			sreq->req->id);
		record_outcome(sreq, 0);
	}
	if (sreq->orphaned)
		complete_orphan(sreq);
	else
		vh_request_respond_outcome(sreq->req, err, outcome,
					   vh_slice_str(message));
}

static void on_deadline(void *ctx)
{
	struct vh_service_request *sreq = ctx;

	if (sreq->call) {
		sreq->may_have_run = true;
		vh_attempt_cancel(sreq);
	}
	if (sreq->req->streaming && sreq->req->ex)
		vh_request_abort(sreq->req);
	else if (sreq->may_have_run)
		vh_service_fail(
			sreq, VH_ERR_TIMEOUT,
			"the upstream did not answer before the deadline");
	else
		vh_service_fail(sreq, VH_ERR_DEADLINE,
				"no upstream had room before the deadline");
}

static void on_dispatch_timer(void *ctx)
{
	vh_service_dispatch(ctx);
}

static void schedule_dispatch(struct vh_service_state *svc, int64_t delay_ms)
{
	if (!svc->dispatch_timer.ev)
		vh_timer_init(&svc->dispatch_timer, svc->g->kernel,
			      on_dispatch_timer, svc);
	if (!vh_timer_pending(&svc->dispatch_timer))
		vh_timer_start(&svc->dispatch_timer, delay_ms);
}

static void on_upstreams_changed(void *ctx)
{
	struct vh_service_state *svc = ctx;

	svc->change_wait_pending = false;
	svc->synced_ms = INT64_MIN / 2;
	vh_service_dispatch(svc);
}

static void watch_upstreams(struct vh_service_state *svc)
{
	const struct vh_upstreams_ops *ops =
		svc->g->upstreams ? svc->g->upstreams->ops : NULL;

	if (svc->change_wait_pending || !ops)
		return;
	svc->change_wait_pending = true;
	ops->wait(svc->g->upstreams->self, vh_slice_str(svc->name),
		  CHANGE_WAIT_MS, on_upstreams_changed, svc);
}

/* Checks again, before sending, that the key is valid and that the service
 * still exists and allows the key's team. */
static bool is_still_allowed(struct vh_service_request *sreq)
{
	const struct vh_key *key = vh_request_key(sreq->req);
	const struct vh_service_object *service =
		key ? vh_objects_find_service(vh_gateway_objects(sreq->req->g),
					      vh_slice_str(sreq->req->target))
		    : NULL;

	return service && vh_service_allows(service, key->team);
}

/* Sends queued requests until no upstream can take the next one. */
static void send_queued(struct vh_service_state *svc)
{
	while (svc->waiting.n) {
		struct vh_service_request *sreq =
			request_of_item(vh_fairq_pop(&svc->waiting));
		int64_t waited_ms =
			vh_kernel_now_ms(svc->g->kernel) - sreq->created_ms;
		bool remote = waited_ms >= REMOTE_DELAY_MS || !svc->has_local;
		struct vh_upstream_worker *worker;

		if (!is_still_allowed(sreq)) {
			vh_service_fail(sreq, VH_ERR_UNAUTHENTICATED, NULL);
			continue;
		}
		worker = vh_upstream_pick(svc, sreq->avoid_mask, remote);
		if (!worker || !vh_attempt_start(sreq, worker)) {
			vh_service_enqueue(sreq, true);
			break;
		}
	}
}

void vh_service_dispatch(struct vh_service_state *svc)
{
	/* Completing a request in send_queued() calls this function again; the
	 * outer call sends the rest of the queue. */
	if (!svc->waiting.n || svc->dispatching)
		return;
	if (!vh_upstream_sync(svc)) {
		watch_upstreams(svc);
		return;
	}
	svc->dispatching = true;
	send_queued(svc);
	svc->dispatching = false;
	if (svc->waiting.n) {
		schedule_dispatch(svc, DISPATCH_RETRY_MS);
		watch_upstreams(svc);
	}
}

void vh_service_enqueue(struct vh_service_request *sreq, bool front)
{
	const struct vh_objects *objects = vh_gateway_objects(sreq->req->g);
	const struct vh_team *team =
		vh_objects_find_team(objects, vh_slice_str(sreq->req->team));
	uint32_t weight = team && team->share ? team->share->weight : 1;
	struct vh_slice name = vh_slice_str(sreq->req->team);

	if (front)
		vh_fairq_push_front(&sreq->service->waiting, name, weight,
				    sreq->req->cls, &sreq->queue_item);
	else
		vh_fairq_push(&sreq->service->waiting, name, weight,
			      sreq->req->cls, &sreq->queue_item);
}

void vh_service_retry(struct vh_service_request *sreq, bool surely_not_run,
		      enum vh_err err)
{
	struct vh_service_state *svc = sreq->service;

	if (!surely_not_run) {
		sreq->may_have_run = true;
		sreq->failed_runs++;
	}
	if (sreq->orphaned) {
		if (surely_not_run)
			record_outcome(sreq, 0);
		complete_orphan(sreq);
		return;
	}
	if (!surely_not_run && !sreq->idempotent) {
		vh_service_fail(sreq, err,
				"the upstream failed and the request is not "
				"idempotent");
		return;
	}
	if (++sreq->attempts >= MAX_ATTEMPTS ||
	    sreq->failed_runs >= MAX_FAILED_RUNS ||
	    (err != VH_ERR_NO_CAPACITY &&
	     !vh_route_retry_budget_take(&svc->retry_budget))) {
		vh_service_fail(
			sreq, err,
			"upstreams fail and the retry limit is reached");
		return;
	}
	vh_service_enqueue(sreq, true);
	schedule_dispatch(svc,
			  err == VH_ERR_NO_CAPACITY ? DISPATCH_RETRY_MS : 0);
}

/* Forwards a complete response that was not streamed. */
static void respond_buffered(struct vh_service_request *sreq, int status)
{
	struct vh_request *req = sreq->req;
	size_t len = evbuffer_get_length(sreq->body);
	struct vh_slice body =
		vh_slice((const char *)evbuffer_pullup(sreq->body, -1), len);

	vh_invariant_check(VH_I5_ANSWERS,
			   sreq->content_length < 0 ||
				   (uint64_t)sreq->content_length ==
					   sreq->received_bytes,
			   "response to request %s has %" G_GUINT64_FORMAT
			   " bytes, announced %" G_GINT64_FORMAT,
			   req->id, sreq->received_bytes, sreq->content_length);
	vh_exchange_set_header(req->ex, "Vh-Request-Id", req->id);
	vh_exchange_respond(req->ex, status, NULL, body);
	vh_request_complete(req);
}

void vh_service_complete(struct vh_service_request *sreq, int status)
{
	record_outcome(sreq, status);
	if (sreq->orphaned) {
		complete_orphan(sreq);
	} else if (sreq->req->streaming) {
		vh_exchange_stream_end(sreq->req->ex);
		vh_request_complete(sreq->req);
	} else {
		respond_buffered(sreq, status);
	}
}

static void on_begin_recorded(void *ctx, enum vh_err err, uint32_t status)
{
	struct vh_request *req = ctx;
	struct vh_service_request *sreq;
	char message[64];

	/* The caller disconnected before anything was sent upstream. */
	if (!req->ex && err == VH_OK)
		send_request_end(req, 0);
	if (!vh_request_callback_done(req))
		return;
	sreq = req->priv;
	switch (err) {
	case VH_OK:
		sreq->recorded = true;
		vh_service_enqueue(sreq, false);
		vh_service_dispatch(sreq->service);
		return;
	case VH_ERR_CANCELLED: /* a request with this key has ended */
		g_snprintf(message, sizeof(message),
			   "already ran and was answered with status %u",
			   status);
		vh_request_respond_outcome(req, VH_ERR_CONFLICT, VH_OUTCOME_RAN,
					   vh_slice_str(message));
		return;
	case VH_ERR_UNKNOWN_OUTCOME:
		vh_request_respond_outcome(
			req, err, VH_OUTCOME_UNKNOWN,
			vh_slice_str(
				"a request with this key was begun before; "
				"its end is unknown"));
		return;
	default:
		vh_request_respond_error(req, err, vh_slice(NULL, 0));
	}
}

/* Records a non-idempotent request under its Idempotency-Key before it is sent
 * upstream. */
static void record_begin(struct vh_service_request *sreq)
{
	struct vh_request *req = sreq->req;
	const struct vh_key *key = vh_request_key(req);
	struct vh_slice idem_key =
		vh_exchange_header(req->ex, "Idempotency-Key");

	if (!jobs_ops(sreq) || !jobs_ops(sreq)->request_begin || !key) {
		vh_request_respond_error(req, VH_ERR_NOT_READY,
					 vh_slice(NULL, 0));
		return;
	}
	memcpy(req->idempotency_key, idem_key.data, idem_key.len);
	req->pending_callbacks++;
	jobs_ops(sreq)->request_begin(req->g->jobs->self, key->team, idem_key,
				      vh_slice_hash(vh_exchange_body(req->ex),
						    BODY_HASH_SEED),
				      on_begin_recorded, req);
}

/* Applies Vh-Timeout-Ms, which can only shorten the service's time-out; false
 * if it is malformed. */
static bool parse_timeout(const struct vh_request *req,
			  const struct vh_service_object *service,
			  int64_t *timeout_ms)
{
	struct vh_slice text = vh_exchange_header(req->ex, "Vh-Timeout-Ms");
	uint64_t requested_ms;

	*timeout_ms =
		service->timeout_ms ? service->timeout_ms : DEFAULT_TIMEOUT_MS;
	if (!text.len)
		return true;
	if (!vh_slice_to_u64(text, &requested_ms) || !requested_ms)
		return false;
	if (requested_ms < (uint64_t)*timeout_ms)
		*timeout_ms = (int64_t)requested_ms;
	return true;
}

static struct vh_service_request *
new_service_request(struct vh_request *req,
		    const struct vh_service_object *service, int64_t timeout_ms)
{
	struct vh_service_request *sreq = g_new0(struct vh_service_request, 1);
	int64_t now_ms = vh_kernel_now_ms(req->g->kernel);

	sreq->req = req;
	sreq->service = vh_upstream_get_service(req->g, req->target);
	sreq->idempotent =
		service->idempotent &&
		!vh_slice_eq_str(vh_exchange_header(req->ex, "Vh-Idempotent"),
				 "false");
	sreq->body = evbuffer_new();
	sreq->content_length = -1;
	sreq->created_ms = now_ms;
	sreq->deadline_ms = now_ms + timeout_ms;
	vh_timer_init(&sreq->deadline_timer, req->g->kernel, on_deadline, sreq);
	vh_timer_start(&sreq->deadline_timer, timeout_ms);
	vh_route_retry_budget_deposit(&sreq->service->retry_budget);
	req->priv = sreq;
	req->release = release;
	return sreq;
}

void vh_service_api_run(struct vh_request *req)
{
	const struct vh_service_object *service = vh_objects_find_service(
		vh_gateway_objects(req->g), vh_slice_str(req->target));
	struct vh_slice key = vh_exchange_header(req->ex, "Idempotency-Key");
	struct vh_service_request *sreq;
	int64_t timeout_ms;

	if (!service || !req->g->upstreams) {
		vh_request_respond_error(req, VH_ERR_NOT_READY,
					 vh_slice(NULL, 0));
		return;
	}
	if (!parse_timeout(req, service, &timeout_ms)) {
		vh_request_respond_error(
			req, VH_ERR_BAD_REQUEST,
			vh_slice_str(
				"Vh-Timeout-Ms: must be a positive integer"));
		return;
	}
	if (!vh_idempotency_key_valid(key)) {
		vh_request_respond_error(
			req, VH_ERR_BAD_REQUEST,
			vh_slice_str(
				"Idempotency-Key: must be 1 to 128 printable "
				"ASCII characters without spaces"));
		return;
	}
	sreq = new_service_request(req, service, timeout_ms);
	if (!sreq->idempotent && key.len) {
		record_begin(sreq);
		return;
	}
	vh_service_enqueue(sreq, false);
	vh_service_dispatch(sreq->service);
}
