#include "gateway_impl.h"

#include "job_json.h"
#include "vh/invariant.h"

#define SUBMIT_TIMEOUT_MS 10000
#define SUBMIT_TRY_MS 4000
#define RETRY_BASE_MS 50
#define RETRY_MAX_MS 1000
#define SEED_BODY 1

/**
 * struct submission - a job on its way to its home
 * @unknown: an attempt may have been received
 */
struct submission {
	struct vh_request *w;
	struct vh_job_request job;
	struct vh_timer retry;
	int64_t until_ms;
	int64_t delay_ms;
	bool unknown;
};

static const struct vh_jobs_ops *jobs_ops(const struct vh_request *w)
{
	return w->g->jobs ? w->g->jobs->ops : NULL;
}

static void free_submission(struct vh_request *w)
{
	struct submission *s = w->detail;

	vh_job_request_finish(&s->job);
	vh_timer_finish(&s->retry);
	g_free(s);
	w->detail = NULL;
}

static void send_submission(void *ctx);

/* Asking again is safe: the home knows the request by its key or id. */
static bool may_ask_again(enum vh_err err)
{
	return err == VH_ERR_UNREACHABLE || err == VH_ERR_NOT_OWNER ||
	       err == VH_ERR_STALE_EPOCH || err == VH_ERR_UNKNOWN_OUTCOME;
}

static bool ask_again(struct submission *s, enum vh_err err)
{
	struct vh_gateway *g = s->w->g;
	int64_t delay =
		s->delay_ms / 2 +
		g_rand_int_range(g->rng, 0, (gint32)s->delay_ms / 2 + 1);

	if (!may_ask_again(err) ||
	    vh_kernel_now_ms(g->kernel) + delay >= s->until_ms)
		return false;
	if (s->delay_ms < RETRY_MAX_MS)
		s->delay_ms *= 2;
	vh_timer_start(&s->retry, delay);
	return true;
}

static void submitted(void *ctx, enum vh_err err, struct vh_slice id,
		      struct vh_slice message)
{
	struct vh_request *w = ctx;
	struct submission *s;
	struct vh_buf json;

	if (!vh_request_callback_done(w))
		return;
	s = w->detail;
	if (err == VH_OK) {
		vh_buf_init(&json);
		vh_buf_add_str(&json, "{\"id\":");
		vh_json_append_string(&json, id);
		vh_buf_add_str(&json, "}");
		vh_request_respond_json(w, 202, vh_buf_slice(&json));
		vh_buf_finish(&json);
		return;
	}
	s->unknown |= err == VH_ERR_UNKNOWN_OUTCOME;
	if (ask_again(s, err))
		return;
	/* An earlier attempt may have been accepted whatever this one says,
	 * unless the home has looked the request up and refused it. */
	if (s->unknown && may_ask_again(err))
		err = VH_ERR_UNKNOWN_OUTCOME;
	vh_request_respond_error(w, err, message);
}

static void send_submission(void *ctx)
{
	struct submission *s = ctx;
	struct vh_request *w = s->w;
	const struct vh_jobs_ops *ops = jobs_ops(w);
	const struct vh_key *key = vh_request_key(w);
	const struct vh_queue *queue = vh_objects_queue(
		vh_gateway_objects(w->g), vh_slice_str(w->target));
	struct vh_submit submit;

	if (!key || !queue || !vh_queue_allows(queue, key->team)) {
		vh_request_respond_outcome(w, VH_ERR_UNAUTHENTICATED,
					   s->unknown ? VH_OUTCOME_UNKNOWN
						      : VH_OUTCOME_NOT_RUN,
					   vh_slice(NULL, 0));
		return;
	}
	vh_invariant_check(VH_I3_KEYS,
			   !key->withdrawn &&
				   vh_slice_eq_str(key->team->name, w->team),
			   "request %s of team %s sent with a key of %.*s",
			   w->id, w->team, VH_SLICE_ARGS(key->team->name));
	submit.team = key->team;
	submit.key = vh_exchange_header(w->ex, "Idempotency-Key");
	submit.request = vh_slice_str(w->id);
	submit.fingerprint = vh_slice_hash(vh_exchange_body(w->ex), SEED_BODY);
	submit.spec = &s->job.spec;
	w->pending++;
	ops->submit(w->g->jobs->self, &submit, SUBMIT_TRY_MS, submitted, w);
}

void vh_jobs_api_submit(struct vh_request *w)
{
	struct vh_gateway *g = w->g;
	const struct vh_queue *queue = vh_objects_queue(
		vh_gateway_objects(g), vh_slice_str(w->target));
	struct submission *s;
	struct vh_buf message;
	enum vh_err err;

	if (!jobs_ops(w) || !queue) {
		vh_request_respond_error(w, VH_ERR_NOT_READY,
					 vh_slice(NULL, 0));
		return;
	}
	if (!vh_idempotency_key_valid(
		    vh_exchange_header(w->ex, "Idempotency-Key"))) {
		vh_request_respond_error(w, VH_ERR_BAD_REQUEST,
					 vh_slice_str(
						 "Idempotency-Key: 1 to 128 "
						 "printable characters"));
		return;
	}
	s = g_new0(struct submission, 1);
	vh_buf_init(&message);
	err = vh_job_request_read(&s->job, vh_exchange_body(w->ex), queue,
				  &message);
	if (err != VH_OK) {
		g_free(s);
		vh_request_respond_error(w, err, vh_buf_slice(&message));
		vh_buf_finish(&message);
		return;
	}
	vh_buf_finish(&message);
	/* The queue's name is the configuration's, which may be replaced. */
	s->job.spec.queue = vh_slice_str(w->target);
	if (!s->job.spec.region.len)
		s->job.spec.region = g->settings.region;
	s->w = w;
	s->until_ms = vh_kernel_now_ms(g->kernel) + SUBMIT_TIMEOUT_MS;
	s->delay_ms = RETRY_BASE_MS;
	vh_timer_init(&s->retry, g->kernel, send_submission, s);
	w->detail = s;
	w->release = free_submission;
	send_submission(s);
}

static void got(void *ctx, enum vh_err err, struct vh_slice json)
{
	struct vh_request *w = ctx;

	if (!vh_request_callback_done(w))
		return;
	if (err == VH_OK)
		vh_request_respond_json(w, 200, json);
	else
		vh_request_respond_error(w, err, vh_slice(NULL, 0));
}

static bool begin(struct vh_request *w)
{
	w->started_us = w->arrived_us;
	if (jobs_ops(w))
		return true;
	vh_request_respond_error(w, VH_ERR_NOT_READY, vh_slice(NULL, 0));
	return false;
}

/* A long poll holds a connection but none of the node's active requests. */
void vh_jobs_api_get(struct vh_request *w, struct vh_slice id, int64_t wait_ms)
{
	if (!begin(w))
		return;
	w->recheck = wait_ms > 0;
	if (w->g->draining)
		wait_ms = 0;
	w->pending++;
	jobs_ops(w)->get(w->g->jobs->self, vh_slice_str(w->team), id, wait_ms,
			 got, w);
}

void vh_jobs_api_cancel(struct vh_request *w, struct vh_slice id)
{
	if (!begin(w))
		return;
	w->pending++;
	jobs_ops(w)->cancel(w->g->jobs->self, vh_slice_str(w->team), id, got,
			    w);
}

/* A long poll is answered early, with the job as it is now. */
void vh_jobs_api_end_long_poll(struct vh_request *w)
{
	struct vh_slice id = vh_exchange_path(w->ex);
	size_t skip = strlen("/v1/jobs/");

	w->recheck = false;
	w->pending++;
	jobs_ops(w)->get(w->g->jobs->self, vh_slice_str(w->team),
			 vh_slice(id.data + skip, id.len - skip), 0, got, w);
}
