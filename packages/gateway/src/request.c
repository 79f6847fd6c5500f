#include "gateway_impl.h"

/* Ends the request; its release hook cancels work in progress or lets it
 * finish. */
static void on_caller_disconnect(void *ctx)
{
	struct vh_request *req = ctx;

	++*vh_metrics_counter(&req->g->kernel->metrics, "vh_callers_gone_total",
			      "");
	if (req->streaming)
		vh_request_abort(req);
	else
		vh_request_respond_error(req, VH_ERR_CANCELLED,
					 vh_slice(NULL, 0));
}

struct vh_request *vh_request_new(struct vh_gateway *g, struct vh_exchange *ex)
{
	struct vh_request *req = g_new0(struct vh_request, 1);

	req->g = g;
	req->ex = ex;
	req->cls = VH_CLASS_URGENT;
	req->arrived_us = vh_gateway_now_us(g);
	vh_gateway_make_request_id(g, req->id);
	req->next = g->requests;
	req->prev = &g->requests;
	if (req->next)
		req->next->prev = &req->next;
	g->requests = req;
	ex->on_disconnect = on_caller_disconnect;
	ex->disconnect_ctx = req;
	return req;
}

const struct vh_key *vh_request_key(const struct vh_request *req)
{
	const struct vh_objects *objects = vh_gateway_objects(req->g);
	struct vh_slice key = vh_exchange_bearer_token(req->ex);

	if (!objects || !key.len)
		return NULL;
	return vh_objects_authenticate(objects, key);
}

/* Frees the request in the next event-loop iteration, so that loops over the
 * list may complete requests. */
static void defer_free(struct vh_request *req)
{
	*req->prev = req->next;
	if (req->next)
		req->next->prev = req->prev;
	req->next_completed = req->g->completed;
	req->g->completed = req;
	if (!vh_timer_pending(&req->g->cleanup_timer))
		vh_timer_start(&req->g->cleanup_timer, 0);
}

static void record_latency(struct vh_request *req)
{
	int64_t now_us = vh_gateway_now_us(req->g);
	struct vh_latency_stats *stats =
		vh_gateway_latency_stats(req->g, req->team, req->cls);

	vh_histogram_add(stats->waiting,
			 (uint64_t)(req->started_us - req->arrived_us));
	vh_histogram_add(stats->service, (uint64_t)(now_us - req->started_us));
	vh_histogram_add(stats->total, (uint64_t)(now_us - req->arrived_us));
}

void vh_request_complete(struct vh_request *req)
{
	struct vh_gateway *g = req->g;

	req->ex = NULL;
	if (req->started_us)
		record_latency(req);
	if (req->release)
		req->release(req);
	req->release = NULL;
	if (req->admitted) {
		vh_admission_release(&g->admission, &req->admission);
		req->admitted = false;
		vh_request_run_waiting(g);
	}
	if (!req->pending_callbacks)
		defer_free(req);
}

void vh_request_abort(struct vh_request *req)
{
	vh_exchange_stream_abort(req->ex);
	vh_request_complete(req);
}

bool vh_request_callback_done(struct vh_request *req)
{
	req->pending_callbacks--;
	if (req->ex)
		return true;
	if (!req->pending_callbacks)
		defer_free(req);
	return false;
}

void vh_request_respond_json(struct vh_request *req, int status,
			     struct vh_slice body)
{
	if (!req->ex)
		return;
	vh_exchange_set_header(req->ex, "Vh-Request-Id", req->id);
	vh_exchange_respond_json(req->ex, status, body);
	vh_request_complete(req);
}

void vh_request_respond_outcome(struct vh_request *req, enum vh_err err,
				enum vh_outcome outcome,
				struct vh_slice message)
{
	if (!req->ex)
		return;
	vh_gateway_count_refusal(req->g, req->team, err);
	vh_exchange_set_header(req->ex, "Vh-Request-Id", req->id);
	vh_exchange_respond_outcome(req->ex, err, outcome, message);
	vh_request_complete(req);
}

void vh_request_respond_error(struct vh_request *req, enum vh_err err,
			      struct vh_slice message)
{
	vh_request_respond_outcome(req, err, vh_err_info(err)->outcome,
				   message);
}

static void start_request(struct vh_request *req)
{
	req->started_us = vh_gateway_now_us(req->g);
	req->start(req);
}

void vh_request_admit(struct vh_request *req, const struct vh_team *team)
{
	struct vh_gateway *g = req->g;
	enum vh_err err = vh_admission_acquire(&g->admission, team, req->cls,
					       vh_kernel_now_ms(g->kernel),
					       &req->admission);

	if (err != VH_OK) {
		vh_request_respond_error(req, err, vh_slice(NULL, 0));
		return;
	}
	req->admitted = true;
	if (req->admission.active)
		start_request(req);
}

void vh_request_run_waiting(struct vh_gateway *g)
{
	struct vh_admission_item *item;

	/* Completing a request in the loop below calls this function again; the
	 * outer call continues the loop. */
	if (g->in_run_waiting)
		return;
	g->in_run_waiting = true;
	while ((item = vh_admission_next(&g->admission))) {
		struct vh_request *req =
			(struct vh_request *)((char *)item -
					      offsetof(struct vh_request,
						       admission));

		if (vh_request_key(req))
			start_request(req);
		else
			vh_request_respond_error(req, VH_ERR_UNAUTHENTICATED,
						 vh_slice(NULL, 0));
	}
	g->in_run_waiting = false;
}

/* Rechecks requests that are queued for admission, and long polls. */
void vh_request_recheck_keys(struct vh_gateway *g)
{
	for (struct vh_request *req = g->requests; req; req = req->next) {
		bool is_queued = req->admitted && !req->admission.active;
		bool is_waiting = req->ex && (is_queued || req->recheck_key);

		if (is_waiting && !vh_request_key(req))
			vh_request_respond_error(req, VH_ERR_UNAUTHENTICATED,
						 vh_slice(NULL, 0));
	}
}

void vh_request_free_completed(void *gateway)
{
	struct vh_gateway *g = gateway;

	while (g->completed) {
		struct vh_request *req = g->completed;

		g->completed = req->next_completed;
		g_free(req);
	}
}
