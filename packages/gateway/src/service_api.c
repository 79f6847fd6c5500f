#include "service_api.h"

#include <event2/buffer.h>

#include "vh/invariant.h"

#define DEFAULT_TIMEOUT_MS 30000
#define POLL_MS 5	    /* until waiting requests look for room again */
#define NEWS_MS 250	    /* until they look for upstreams again */
#define REMOTE_AFTER_MS 100 /* of waiting, before another region is paid for */
#define ATTEMPTS_MAX 64
#define BODY_SEED 1

static struct vh_service_request *sreq_of(struct vh_fairq_item *item)
{
	return (struct vh_service_request *)((char *)item -
					     offsetof(struct vh_service_request,
						      wait));
}

static const struct vh_jobs_ops *jobs_ops(const struct vh_service_request *r)
{
	return r->w->g->jobs ? r->w->g->jobs->ops : NULL;
}

static void free_sreq(struct vh_service_request *r)
{
	if (r->wait.flow)
		vh_fairq_remove(&r->service->waiting, &r->wait);
	vh_attempt_cancel(r);
	vh_timer_finish(&r->timer);
	vh_timer_finish(&r->connect_timer);
	evbuffer_free(r->body);
	r->w->detail = NULL;
	g_free(r);
}

/*
 * The work has been answered or its caller has gone. A request that is not
 * idempotent and under way is left to end, so that its record gets its end.
 */
static void release(struct vh_request *w)
{
	struct vh_service_request *r = w->detail;
	struct vh_service_state *s = r->service;

	if (r->call && !r->idempotent) {
		r->orphan = true;
		w->pending++;
		return;
	}
	free_sreq(r);
	vh_service_dispatch(s);
}

static void end_recorded(void *ctx, enum vh_err err)
{
	(void)err;
	vh_request_callback_done(ctx);
}

static void send_end(struct vh_request *w, int status)
{
	const struct vh_objects *objects = vh_gateway_objects(w->g);
	const struct vh_team *team =
		objects ? vh_objects_team(objects, vh_slice_str(w->team))
			: NULL;
	const struct vh_jobs_ops *ops = w->g->jobs->ops;

	if (!team)
		return;
	w->pending++;
	ops->request_end(w->g->jobs->self, team, vh_slice_str(w->key),
			 (uint32_t)status, end_recorded, w);
}

/* Records how a non-idempotent request ended; 0: it surely did not run. */
static void record_end(struct vh_service_request *r, int status)
{
	if (!r->recorded)
		return;
	r->recorded = false;
	send_end(r->w, status);
}

static void end_orphan(struct vh_service_request *r)
{
	struct vh_request *w = r->w;

	free_sreq(r);
	vh_request_callback_done(w);
}

void vh_service_fail(struct vh_service_request *r, enum vh_err err,
		     const char *message)
{
	enum vh_outcome outcome = vh_err_info(err)->outcome;

	if (r->maybe_ran)
		outcome = VH_OUTCOME_UNKNOWN;
	else if (!r->call)
		outcome = VH_OUTCOME_NOT_RUN;
	if (outcome == VH_OUTCOME_NOT_RUN) {
		vh_invariant_check(VH_I6_NOT_RUN, !r->maybe_ran && !r->call,
				   "request %s said not to have run", r->w->id);
		record_end(r, 0);
	}
	if (r->orphan)
		end_orphan(r);
	else
		vh_request_respond_outcome(r->w, err, outcome,
					   vh_slice_str(message));
}

static void deadline_passed(void *ctx)
{
	struct vh_service_request *r = ctx;

	if (r->call) {
		r->maybe_ran = true;
		vh_attempt_cancel(r);
	}
	if (r->w->streaming && r->w->ex)
		vh_request_abort(r->w);
	else if (r->maybe_ran)
		vh_service_fail(r, VH_ERR_TIMEOUT, "no answer in time");
	else
		vh_service_fail(r, VH_ERR_DEADLINE,
				"no upstream had room in time");
}

static void pump_timer(void *ctx)
{
	vh_service_dispatch(ctx);
}

static void pump_in(struct vh_service_state *s, int64_t delay_ms)
{
	if (!s->timer.ev)
		vh_timer_init(&s->timer, s->g->kernel, pump_timer, s);
	if (!vh_timer_pending(&s->timer))
		vh_timer_start(&s->timer, delay_ms);
}

static void news_came(void *ctx)
{
	struct vh_service_state *s = ctx;

	s->asked = false;
	s->synced_ms = INT64_MIN / 2;
	vh_service_dispatch(s);
}

static void ask_for_news(struct vh_service_state *s)
{
	const struct vh_upstreams_ops *ops =
		s->g->upstreams ? s->g->upstreams->ops : NULL;

	if (s->asked || !ops)
		return;
	s->asked = true;
	ops->wait(s->g->upstreams->self, vh_slice_str(s->name), NEWS_MS,
		  news_came, s);
}

/* Work that waits for an upstream stops when its key is withdrawn. */
static bool still_allowed(struct vh_service_request *r)
{
	const struct vh_key *key = vh_request_key(r->w);
	const struct vh_service_object *service =
		key ? vh_objects_service(vh_gateway_objects(r->w->g),
					 vh_slice_str(r->w->target))
		    : NULL;

	return service && vh_service_allows(service, key->team);
}

/* Sends or refuses as much as can be. */
static void send_waiting(struct vh_service_state *s)
{
	while (s->waiting.n) {
		struct vh_service_request *r =
			sreq_of(vh_fairq_pop(&s->waiting));
		int64_t waited =
			vh_kernel_now_ms(s->g->kernel) - r->enqueued_ms;
		bool remote = waited >= REMOTE_AFTER_MS || !s->near;
		struct vh_worker *worker;

		if (!still_allowed(r)) {
			vh_service_fail(r, VH_ERR_UNAUTHENTICATED, NULL);
			continue;
		}
		worker = vh_upstream_pick(s, r->avoid, remote);
		if (!worker || !vh_attempt_start(r, worker)) {
			vh_service_enqueue(r, true);
			break;
		}
	}
}

void vh_service_dispatch(struct vh_service_state *s)
{
	/* Ending one request asks for this again; the loop sees to it. */
	if (!s->waiting.n || s->pumping)
		return;
	if (!vh_upstream_sync(s)) {
		ask_for_news(s);
		return;
	}
	s->pumping = true;
	send_waiting(s);
	s->pumping = false;
	if (s->waiting.n) {
		pump_in(s, POLL_MS);
		ask_for_news(s);
	}
}

void vh_service_enqueue(struct vh_service_request *r, bool front)
{
	const struct vh_objects *objects = vh_gateway_objects(r->w->g);
	const struct vh_team *team =
		vh_objects_team(objects, vh_slice_str(r->w->team));
	uint32_t weight = team && team->share ? team->share->weight : 1;
	struct vh_slice name = vh_slice_str(r->w->team);

	if (front)
		vh_fairq_push_front(&r->service->waiting, name, weight,
				    r->w->cls, &r->wait);
	else
		vh_fairq_push(&r->service->waiting, name, weight, r->w->cls,
			      &r->wait);
}

void vh_service_retry(struct vh_service_request *r, bool surely_not_run,
		      enum vh_err err)
{
	struct vh_service_state *s = r->service;

	if (!surely_not_run)
		r->maybe_ran = true;
	if (r->orphan) {
		if (surely_not_run)
			record_end(r, 0);
		end_orphan(r);
		return;
	}
	if (!surely_not_run && !r->idempotent) {
		vh_service_fail(r, err, "the upstream failed");
		return;
	}
	if (++r->attempts >= ATTEMPTS_MAX ||
	    (err != VH_ERR_NO_CAPACITY && !vh_retry_budget_take(&s->budget))) {
		vh_service_fail(r, err, "upstreams fail");
		return;
	}
	vh_service_enqueue(r, true);
	pump_in(s, err == VH_ERR_NO_CAPACITY ? POLL_MS : 0);
}

/* Passes on an answer that is whole and was not streamed. */
static void pass_whole(struct vh_service_request *r, int status)
{
	struct vh_request *w = r->w;
	size_t n = evbuffer_get_length(r->body);
	struct vh_slice body =
		vh_slice((const char *)evbuffer_pullup(r->body, -1), n);

	vh_invariant_check(VH_I5_ANSWERS,
			   r->length < 0 || (uint64_t)r->length == r->received,
			   "answer to %s has %" G_GUINT64_FORMAT
			   " bytes of %" G_GINT64_FORMAT,
			   w->id, r->received, r->length);
	vh_exchange_set_header(w->ex, "Vh-Request-Id", w->id);
	vh_exchange_respond(w->ex, status, NULL, body);
	vh_request_complete(w);
}

void vh_service_complete(struct vh_service_request *r, int status)
{
	record_end(r, status);
	if (r->orphan) {
		end_orphan(r);
	} else if (r->w->streaming) {
		vh_exchange_stream_end(r->w->ex);
		vh_request_complete(r->w);
	} else {
		pass_whole(r, status);
	}
}

static void begun(void *ctx, enum vh_err err, uint32_t status)
{
	struct vh_request *w = ctx;
	struct vh_service_request *r;
	char message[64];

	/* Recorded after its caller had gone: nothing was sent. */
	if (!w->ex && err == VH_OK)
		send_end(w, 0);
	if (!vh_request_callback_done(w))
		return;
	r = w->detail;
	switch (err) {
	case VH_OK:
		r->recorded = true;
		vh_service_enqueue(r, false);
		vh_service_dispatch(r->service);
		return;
	case VH_ERR_CANCELLED:
		g_snprintf(message, sizeof(message),
			   "ran before and was answered with status %u",
			   status);
		vh_request_respond_outcome(w, VH_ERR_CONFLICT, VH_OUTCOME_RAN,
					   vh_slice_str(message));
		return;
	case VH_ERR_UNKNOWN_OUTCOME:
		vh_request_respond_outcome(
			w, err, VH_OUTCOME_UNKNOWN,
			vh_slice_str("begun before, end unknown"));
		return;
	default:
		vh_request_respond_error(w, err, vh_slice(NULL, 0));
	}
}

/* A request that must not run twice is recorded under its caller's key. */
static void begin_recorded(struct vh_service_request *r)
{
	struct vh_request *w = r->w;
	const struct vh_key *key = vh_request_key(w);
	struct vh_slice idem = vh_exchange_header(w->ex, "Idempotency-Key");

	if (!jobs_ops(r) || !jobs_ops(r)->request_begin || !key) {
		vh_request_respond_error(w, VH_ERR_NOT_READY,
					 vh_slice(NULL, 0));
		return;
	}
	memcpy(w->key, idem.data, idem.len);
	w->pending++;
	jobs_ops(r)->request_begin(
		w->g->jobs->self, key->team, idem,
		vh_slice_hash(vh_exchange_body(w->ex), BODY_SEED), begun, w);
}

/* Reads Vh-Timeout-Ms; false if it is malformed. */
static bool read_timeout(const struct vh_request *w,
			 const struct vh_service_object *service,
			 int64_t *timeout_ms)
{
	struct vh_slice text = vh_exchange_header(w->ex, "Vh-Timeout-Ms");
	uint64_t wanted;

	*timeout_ms =
		service->timeout_ms ? service->timeout_ms : DEFAULT_TIMEOUT_MS;
	if (!text.len)
		return true;
	if (!vh_slice_to_u64(text, &wanted) || !wanted)
		return false;
	if (wanted < (uint64_t)*timeout_ms)
		*timeout_ms = (int64_t)wanted;
	return true;
}

static struct vh_service_request *
new_sreq(struct vh_request *w, const struct vh_service_object *service,
	 int64_t timeout_ms)
{
	struct vh_service_request *r = g_new0(struct vh_service_request, 1);
	int64_t now_ms = vh_kernel_now_ms(w->g->kernel);

	r->w = w;
	r->service = vh_upstream_get_service(w->g, w->target);
	r->idempotent =
		service->idempotent &&
		!vh_slice_eq_str(vh_exchange_header(w->ex, "Vh-Idempotent"),
				 "false");
	r->body = evbuffer_new();
	r->length = -1;
	r->enqueued_ms = now_ms;
	r->deadline_ms = now_ms + timeout_ms;
	vh_timer_init(&r->timer, w->g->kernel, deadline_passed, r);
	vh_timer_start(&r->timer, timeout_ms);
	vh_retry_budget_request(&r->service->budget);
	w->detail = r;
	w->release = release;
	return r;
}

void vh_service_api_run(struct vh_request *w)
{
	const struct vh_service_object *service = vh_objects_service(
		vh_gateway_objects(w->g), vh_slice_str(w->target));
	struct vh_slice key = vh_exchange_header(w->ex, "Idempotency-Key");
	struct vh_service_request *r;
	int64_t timeout_ms;

	if (!service || !w->g->upstreams) {
		vh_request_respond_error(w, VH_ERR_NOT_READY,
					 vh_slice(NULL, 0));
		return;
	}
	if (!read_timeout(w, service, &timeout_ms)) {
		vh_request_respond_error(
			w, VH_ERR_BAD_REQUEST,
			vh_slice_str("Vh-Timeout-Ms: must be a whole "
				     "number above 0"));
		return;
	}
	if (!vh_idempotency_key_valid(key)) {
		vh_request_respond_error(w, VH_ERR_BAD_REQUEST,
					 vh_slice_str(
						 "Idempotency-Key: 1 to 128 "
						 "printable characters"));
		return;
	}
	r = new_sreq(w, service, timeout_ms);
	if (!r->idempotent && key.len) {
		begin_recorded(r);
		return;
	}
	vh_service_enqueue(r, false);
	vh_service_dispatch(r->service);
}
