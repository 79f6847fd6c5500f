#include "gateway_impl.h"

/* The caller has gone: what waits is given up, what runs runs on. */
static void caller_gone(void *ctx)
{
	struct vh_request *w = ctx;

	++*vh_metrics_counter(&w->g->kernel->metrics, "vh_callers_gone_total",
			      "");
	if (w->streaming)
		vh_request_abort(w);
	else
		vh_request_respond_error(w, VH_ERR_CANCELLED,
					 vh_slice(NULL, 0));
}

struct vh_request *vh_request_new(struct vh_gateway *g, struct vh_exchange *ex)
{
	struct vh_request *w = g_new0(struct vh_request, 1);

	w->g = g;
	w->ex = ex;
	w->cls = VH_CLASS_URGENT;
	w->arrived_us = vh_gateway_now_us(g);
	vh_gateway_make_request_id(g, w->id);
	w->next = g->works;
	w->prev = &g->works;
	if (w->next)
		w->next->prev = &w->next;
	g->works = w;
	ex->on_gone = caller_gone;
	ex->gone_ctx = w;
	return w;
}

const struct vh_key *vh_request_key(const struct vh_request *w)
{
	const struct vh_objects *objects = vh_gateway_objects(w->g);
	struct vh_slice key = vh_exchange_bearer_token(w->ex);

	if (!objects || !key.len)
		return NULL;
	return vh_objects_authenticate(objects, key);
}

/* Frees it in the next turn of the loop, when nobody walks the list. */
static void free_work(struct vh_request *w)
{
	*w->prev = w->next;
	if (w->next)
		w->next->prev = w->prev;
	w->next_completed = w->g->ended;
	w->g->ended = w;
	if (!vh_timer_pending(&w->g->reaper))
		vh_timer_start(&w->g->reaper, 0);
}

static void record_times(struct vh_request *w)
{
	int64_t now = vh_gateway_now_us(w->g);
	struct vh_latency_stats *s =
		vh_gateway_latency_stats(w->g, w->team, w->cls);

	vh_histogram_add(s->waiting, (uint64_t)(w->started_us - w->arrived_us));
	vh_histogram_add(s->service, (uint64_t)(now - w->started_us));
	vh_histogram_add(s->total, (uint64_t)(now - w->arrived_us));
}

void vh_request_complete(struct vh_request *w)
{
	struct vh_gateway *g = w->g;

	w->ex = NULL;
	if (w->started_us)
		record_times(w);
	if (w->release)
		w->release(w);
	w->release = NULL;
	if (w->admitted) {
		vh_admission_release(&g->admit, &w->admit);
		w->admitted = false;
		vh_request_run_waiting(g);
	}
	if (!w->pending)
		free_work(w);
}

void vh_request_abort(struct vh_request *w)
{
	vh_exchange_stream_abort(w->ex);
	vh_request_complete(w);
}

bool vh_request_callback_done(struct vh_request *w)
{
	w->pending--;
	if (w->ex)
		return true;
	if (!w->pending)
		free_work(w);
	return false;
}

void vh_request_respond_json(struct vh_request *w, int status,
			     struct vh_slice body)
{
	if (!w->ex)
		return;
	vh_exchange_set_header(w->ex, "Vh-Request-Id", w->id);
	vh_exchange_respond_json(w->ex, status, body);
	vh_request_complete(w);
}

void vh_request_respond_outcome(struct vh_request *w, enum vh_err err,
				enum vh_outcome outcome,
				struct vh_slice message)
{
	if (!w->ex)
		return;
	vh_gateway_count_refusal(w->g, w->team, err);
	vh_exchange_set_header(w->ex, "Vh-Request-Id", w->id);
	vh_exchange_respond_outcome(w->ex, err, outcome, message);
	vh_request_complete(w);
}

void vh_request_respond_error(struct vh_request *w, enum vh_err err,
			      struct vh_slice message)
{
	vh_request_respond_outcome(w, err, vh_err_info(err)->outcome, message);
}

static void start_work(struct vh_request *w)
{
	w->started_us = vh_gateway_now_us(w->g);
	w->run(w);
}

void vh_request_admit(struct vh_request *w, const struct vh_team *team)
{
	struct vh_gateway *g = w->g;
	enum vh_err err =
		vh_admission_acquire(&g->admit, team, w->cls,
				     vh_kernel_now_ms(g->kernel), &w->admit);

	if (err != VH_OK) {
		vh_request_respond_error(w, err, vh_slice(NULL, 0));
		return;
	}
	w->admitted = true;
	if (w->admit.active)
		start_work(w);
}

/* Runs what waits, as far as there is room, if its key is still valid. */
void vh_request_run_waiting(struct vh_gateway *g)
{
	struct vh_admission_item *item;

	/* Ending one asks for this again; the loop sees to it. */
	if (g->in_run_waiting)
		return;
	g->in_run_waiting = true;
	while ((item = vh_admission_next(&g->admit))) {
		struct vh_request *w =
			(struct vh_request *)((char *)item -
					      offsetof(struct vh_request,
						       admit));

		if (vh_request_key(w))
			start_work(w);
		else
			vh_request_respond_error(w, VH_ERR_UNAUTHENTICATED,
						 vh_slice(NULL, 0));
	}
	g->in_run_waiting = false;
}

/* Work that still waits here stops when its key is withdrawn. */
void vh_request_recheck_keys(struct vh_gateway *g)
{
	for (struct vh_request *w = g->works; w; w = w->next) {
		bool queued = w->admitted && !w->admit.active;
		bool waits = w->ex && (queued || w->recheck);

		if (waits && !vh_request_key(w))
			vh_request_respond_error(w, VH_ERR_UNAUTHENTICATED,
						 vh_slice(NULL, 0));
	}
}

void vh_request_free_completed(void *gateway)
{
	struct vh_gateway *g = gateway;

	while (g->ended) {
		struct vh_request *w = g->ended;

		g->ended = w->next_completed;
		g_free(w);
	}
}
