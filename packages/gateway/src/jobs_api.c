#include "gateway_impl.h"

#include "job_json.h"
#include "vh/invariant.h"

#define SUBMIT_TIMEOUT_MS 10000
#define SUBMIT_ATTEMPT_TIMEOUT_MS 4000
#define RETRY_BASE_MS 50
#define RETRY_MAX_MS 1000
#define BODY_HASH_SEED 1

/**
 * struct submission - a job being submitted to the node that owns it
 * @backoff_ms: delay before the next retry, before jitter
 * @outcome_unknown: an attempt may have been accepted
 */
struct submission {
	struct vh_request *req;
	struct vh_job_request job;
	struct vh_timer retry_timer;
	int64_t deadline_ms;
	int64_t backoff_ms;
	bool outcome_unknown;
};

static const struct vh_jobs_ops *jobs_ops(const struct vh_request *req)
{
	return req->g->jobs ? req->g->jobs->ops : NULL;
}

static void free_submission(struct vh_request *req)
{
	struct submission *sub = req->priv;

	vh_job_request_finish(&sub->job);
	vh_timer_finish(&sub->retry_timer);
	g_free(sub);
	req->priv = NULL;
}

static void send_submission(void *ctx);

/* Retries are safe: the node that owns the job deduplicates submissions by
 * Idempotency-Key or request id. */
static bool is_retryable(enum vh_err err)
{
	return err == VH_ERR_UNREACHABLE || err == VH_ERR_NOT_OWNER ||
	       err == VH_ERR_STALE_EPOCH || err == VH_ERR_UNKNOWN_OUTCOME;
}

static bool schedule_retry(struct submission *sub, enum vh_err err)
{
	struct vh_gateway *g = sub->req->g;
	int64_t jittered_ms =
		sub->backoff_ms / 2 +
		g_rand_int_range(g->rng, 0, (gint32)sub->backoff_ms / 2 + 1);

	if (!is_retryable(err) ||
	    vh_kernel_now_ms(g->kernel) + jittered_ms >= sub->deadline_ms)
		return false;
	if (sub->backoff_ms < RETRY_MAX_MS)
		sub->backoff_ms *= 2;
	vh_timer_start(&sub->retry_timer, jittered_ms);
	return true;
}

static void on_submitted(void *ctx, enum vh_err err, struct vh_slice id,
			 struct vh_slice message)
{
	struct vh_request *req = ctx;
	struct submission *sub;
	struct vh_buf json;

	if (!vh_request_callback_done(req))
		return;
	sub = req->priv;
	if (err == VH_OK) {
		vh_buf_init(&json);
		vh_buf_add_str(&json, "{\"id\":");
		vh_json_append_string(&json, id);
		vh_buf_add_str(&json, "}");
		vh_request_respond_json(req, 202, vh_buf_slice(&json));
		vh_buf_finish(&json);
		return;
	}
	sub->outcome_unknown |= err == VH_ERR_UNKNOWN_OUTCOME;
	if (schedule_retry(sub, err))
		return;
	/* An earlier attempt may have been accepted. A retryable error does not
	 * rule that out; any other error does, because the owner looks for an
	 * earlier submission before it refuses this one. */
	if (sub->outcome_unknown && is_retryable(err))
		err = VH_ERR_UNKNOWN_OUTCOME;
	vh_request_respond_error(req, err, message);
}

static void send_submission(void *ctx)
{
	struct submission *sub = ctx;
	struct vh_request *req = sub->req;
	const struct vh_jobs_ops *ops = jobs_ops(req);
	const struct vh_key *key = vh_request_key(req);
	const struct vh_queue *queue = vh_objects_find_queue(
		vh_gateway_objects(req->g), vh_slice_str(req->target));
	struct vh_submit_request submit;

	if (!key || !queue || !vh_queue_allows(queue, key->team)) {
		vh_request_respond_outcome(req, VH_ERR_UNAUTHENTICATED,
					   sub->outcome_unknown
						   ? VH_OUTCOME_UNKNOWN
						   : VH_OUTCOME_NOT_RUN,
					   vh_slice(NULL, 0));
		return;
	}
	vh_invariant_check(VH_I3_KEYS,
			   !key->withdrawn &&
				   vh_slice_eq_str(key->team->name, req->team),
			   "request %s of team %s sent with an invalid "
			   "key of team %.*s",
			   req->id, req->team, VH_SLICE_ARGS(key->team->name));
	submit.team = key->team;
	submit.key = vh_exchange_header(req->ex, "Idempotency-Key");
	submit.request = vh_slice_str(req->id);
	submit.fingerprint =
		vh_slice_hash(vh_exchange_body(req->ex), BODY_HASH_SEED);
	submit.spec = &sub->job.spec;
	req->pending_callbacks++;
	ops->submit(req->g->jobs->self, &submit, SUBMIT_ATTEMPT_TIMEOUT_MS,
		    on_submitted, req);
}

void vh_jobs_api_submit(struct vh_request *req)
{
	struct vh_gateway *g = req->g;
	const struct vh_queue *queue = vh_objects_find_queue(
		vh_gateway_objects(g), vh_slice_str(req->target));
	struct submission *sub;
	struct vh_buf message;
	enum vh_err err;

	if (!jobs_ops(req) || !queue) {
		vh_request_respond_error(req, VH_ERR_NOT_READY,
					 vh_slice(NULL, 0));
		return;
	}
	if (!vh_idempotency_key_valid(
		    vh_exchange_header(req->ex, "Idempotency-Key"))) {
		vh_request_respond_error(
			req, VH_ERR_BAD_REQUEST,
			vh_slice_str(
				"Idempotency-Key: must be 1 to 128 printable "
				"ASCII characters without spaces"));
		return;
	}
	sub = g_new0(struct submission, 1);
	vh_buf_init(&message);
	err = vh_job_request_read(&sub->job, vh_exchange_body(req->ex), queue,
				  &message);
	if (err != VH_OK) {
		g_free(sub);
		vh_request_respond_error(req, err, vh_buf_slice(&message));
		vh_buf_finish(&message);
		return;
	}
	vh_buf_finish(&message);
	/* The name in @queue is freed when the configuration is replaced. */
	sub->job.spec.queue = vh_slice_str(req->target);
	if (!sub->job.spec.region.len)
		sub->job.spec.region = g->settings.region;
	sub->req = req;
	sub->deadline_ms = vh_kernel_now_ms(g->kernel) + SUBMIT_TIMEOUT_MS;
	sub->backoff_ms = RETRY_BASE_MS;
	vh_timer_init(&sub->retry_timer, g->kernel, send_submission, sub);
	req->priv = sub;
	req->release = free_submission;
	send_submission(sub);
}

static void on_job_json(void *ctx, enum vh_err err, struct vh_slice json)
{
	struct vh_request *req = ctx;

	if (!vh_request_callback_done(req))
		return;
	if (err == VH_OK)
		vh_request_respond_json(req, 200, json);
	else
		vh_request_respond_error(req, err, vh_slice(NULL, 0));
}

static bool begin_without_admission(struct vh_request *req)
{
	req->started_us = req->arrived_us;
	if (jobs_ops(req))
		return true;
	vh_request_respond_error(req, VH_ERR_NOT_READY, vh_slice(NULL, 0));
	return false;
}

/* Reads of a job, long polls included, bypass admission control and hold no
 * active-request slot. */
void vh_jobs_api_get(struct vh_request *req, struct vh_slice id,
		     int64_t wait_ms)
{
	if (!begin_without_admission(req))
		return;
	req->recheck_key = wait_ms > 0;
	if (req->g->draining)
		wait_ms = 0;
	req->pending_callbacks++;
	jobs_ops(req)->get(req->g->jobs->self, vh_slice_str(req->team), id,
			   wait_ms, on_job_json, req);
}

void vh_jobs_api_cancel(struct vh_request *req, struct vh_slice id)
{
	if (!begin_without_admission(req))
		return;
	req->pending_callbacks++;
	jobs_ops(req)->cancel(req->g->jobs->self, vh_slice_str(req->team), id,
			      on_job_json, req);
}

/* Answers a long poll early with the current state of the job. */
void vh_jobs_api_end_long_poll(struct vh_request *req)
{
	struct vh_slice id = vh_exchange_path(req->ex);
	size_t skip = strlen("/v1/jobs/");

	req->recheck_key = false;
	req->pending_callbacks++;
	jobs_ops(req)->get(req->g->jobs->self, vh_slice_str(req->team),
			   vh_slice(id.data + skip, id.len - skip), 0,
			   on_job_json, req);
}
