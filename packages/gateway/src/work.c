#include "gateway_impl.h"

/* The caller has gone: what waits is given up, what runs runs on. */
static void caller_gone(void *ctx)
{
	struct vh_work *w = ctx;

	++*vh_metrics_counter(&w->g->kernel->metrics, "vh_callers_gone_total",
			      "");
	if (w->streaming)
		vh_work_abort(w);
	else
		vh_work_error(w, VH_ERR_CANCELLED, vh_slice(NULL, 0));
}

struct vh_work *vh_work_new(struct vh_gateway *g, struct vh_exchange *ex)
{
	struct vh_work *w = g_new0(struct vh_work, 1);

	w->g = g;
	w->ex = ex;
	w->cls = VH_CLASS_URGENT;
	w->arrived_us = vh_gateway_now_us(g);
	vh_gateway_request_id(g, w->id);
	w->next = g->works;
	w->prev = &g->works;
	if (w->next)
		w->next->prev = &w->next;
	g->works = w;
	ex->on_gone = caller_gone;
	ex->gone_ctx = w;
	return w;
}

const struct vh_key *vh_work_key(const struct vh_work *w)
{
	const struct vh_objects *objects = vh_gateway_objects(w->g);
	struct vh_slice key = vh_exchange_bearer(w->ex);

	if (!objects || !key.len)
		return NULL;
	return vh_objects_authenticate(objects, key);
}

/* Frees it in the next turn of the loop, when nobody walks the list. */
static void free_work(struct vh_work *w)
{
	*w->prev = w->next;
	if (w->next)
		w->next->prev = w->prev;
	w->next_ended = w->g->ended;
	w->g->ended = w;
	if (!vh_timer_pending(&w->g->reaper))
		vh_timer_start(&w->g->reaper, 0);
}

static void record_times(struct vh_work *w)
{
	int64_t now = vh_gateway_now_us(w->g);
	struct vh_stats *s = vh_gateway_stats(w->g, w->team, w->cls);

	vh_histogram_add(s->waiting, (uint64_t)(w->started_us - w->arrived_us));
	vh_histogram_add(s->service, (uint64_t)(now - w->started_us));
	vh_histogram_add(s->total, (uint64_t)(now - w->arrived_us));
}

void vh_work_end(struct vh_work *w)
{
	struct vh_gateway *g = w->g;

	w->ex = NULL;
	if (w->started_us)
		record_times(w);
	if (w->release)
		w->release(w);
	w->release = NULL;
	if (w->admitted) {
		vh_admit_leave(&g->admit, &w->admit);
		w->admitted = false;
		vh_work_run_waiting(g);
	}
	if (!w->pending)
		free_work(w);
}

void vh_work_abort(struct vh_work *w)
{
	vh_exchange_abort(w->ex);
	vh_work_end(w);
}

bool vh_work_called_back(struct vh_work *w)
{
	w->pending--;
	if (w->ex)
		return true;
	if (!w->pending)
		free_work(w);
	return false;
}

void vh_work_json(struct vh_work *w, int status, struct vh_slice body)
{
	if (!w->ex)
		return;
	vh_exchange_set(w->ex, "Vh-Request-Id", w->id);
	vh_exchange_json(w->ex, status, body);
	vh_work_end(w);
}

void vh_work_error_as(struct vh_work *w, enum vh_err err,
		      enum vh_outcome outcome, struct vh_slice message)
{
	if (!w->ex)
		return;
	vh_gateway_count_refusal(w->g, w->team, err);
	vh_exchange_set(w->ex, "Vh-Request-Id", w->id);
	vh_exchange_error_as(w->ex, err, outcome, message);
	vh_work_end(w);
}

void vh_work_error(struct vh_work *w, enum vh_err err, struct vh_slice message)
{
	vh_work_error_as(w, err, vh_err_info(err)->outcome, message);
}

static void start_work(struct vh_work *w)
{
	w->started_us = vh_gateway_now_us(w->g);
	w->run(w);
}

void vh_work_admit(struct vh_work *w, const struct vh_team *team)
{
	struct vh_gateway *g = w->g;
	enum vh_err err =
		vh_admit_arrive(&g->admit, team, w->cls,
				vh_kernel_now_ms(g->kernel), &w->admit);

	if (err != VH_OK) {
		vh_work_error(w, err, vh_slice(NULL, 0));
		return;
	}
	w->admitted = true;
	if (w->admit.active)
		start_work(w);
}

/* Runs what waits, as far as there is room, if its key is still valid. */
void vh_work_run_waiting(struct vh_gateway *g)
{
	struct vh_admit_item *item;

	/* Ending one asks for this again; the loop sees to it. */
	if (g->running_waiting)
		return;
	g->running_waiting = true;
	while ((item = vh_admit_next(&g->admit))) {
		struct vh_work *w =
			(struct vh_work *)((char *)item -
					   offsetof(struct vh_work, admit));

		if (vh_work_key(w))
			start_work(w);
		else
			vh_work_error(w, VH_ERR_UNAUTHENTICATED,
				      vh_slice(NULL, 0));
	}
	g->running_waiting = false;
}

/* Work that still waits here stops when its key is withdrawn. */
void vh_work_config_changed(struct vh_gateway *g)
{
	for (struct vh_work *w = g->works; w; w = w->next) {
		bool queued = w->admitted && !w->admit.active;
		bool waits = w->ex && (queued || w->recheck);

		if (waits && !vh_work_key(w))
			vh_work_error(w, VH_ERR_UNAUTHENTICATED,
				      vh_slice(NULL, 0));
	}
}

void vh_work_free_ended(void *gateway)
{
	struct vh_gateway *g = gateway;

	while (g->ended) {
		struct vh_work *w = g->ended;

		g->ended = w->next_ended;
		g_free(w);
	}
}
