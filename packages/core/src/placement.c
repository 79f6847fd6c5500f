#include "placement.h"

uint32_t placement_team_id(struct vh_slice home)
{
	const char *first_slash = memchr(home.data, '/', home.len);
	size_t name_at =
		first_slash ? (size_t)(first_slash - home.data) + 1 : 0;
	const char *second_slash =
		memchr(home.data + name_at, '/', home.len - name_at);
	size_t len = second_slash ? (size_t)(second_slash - home.data) - name_at
				  : home.len - name_at;

	return (uint32_t)vh_slice_hash(vh_slice(home.data + name_at, len), 0);
}

void placement_demand(const struct wire_place *msg, int64_t now_ms,
		      struct vh_demand *out)
{
	const struct vh_start *s = &msg->start;

	memset(out, 0, sizeof(*out));
	out->id = vh_slice_hash(s->task, 0);
	out->team = placement_team_id(s->home);
	out->priority = msg->priority;
	out->share = msg->share;
	out->step = msg->step;
	out->due = UINT64_MAX;
	out->accepted_ms = now_ms - msg->waited_ms;
	out->deadline_ms =
		msg->deadline_in_ms ? now_ms + msg->deadline_in_ms : 0;
	out->run_ms = msg->run_ms;
	out->want.size = s->size;
	out->want.cls = s->cls;
	out->want.region = UINT32_MAX;
	out->want.spread = s->cls == VH_CLASS_SERVICE;
}

static enum vh_err decision_err(const struct vh_waitlist_decision *decision)
{
	switch (decision->result) {
	case VH_WAITLIST_START:
		return VH_OK;
	case VH_WAITLIST_DEADLINE:
		return VH_ERR_DEADLINE;
	case VH_WAITLIST_NEVER_FITS:
		return VH_ERR_NEVER_FITS;
	case VH_WAITLIST_NO_ROOM:
	case VH_WAITLIST_NOT_FIRST:
		break;
	}
	return decision->place.reason == VH_PLACE_NONE_USABLE
		       ? VH_ERR_NOT_READY
		       : VH_ERR_NO_CAPACITY;
}

static size_t fill_candidates(struct worker_health *health,
			      const struct vh_worker_view *views, size_t n,
			      int64_t now_ms, struct vh_candidate *out)
{
	size_t n_workers = n < VH_WAITLIST_WORKERS ? n : VH_WAITLIST_WORKERS;

	memset(out, 0, n_workers * sizeof(*out));
	for (size_t i = 0; i < n_workers; i++) {
		bool healthy = worker_health_accepts(health, views[i].id,
						     &out[i].failures, now_ms);

		out[i].capacity = views[i].capacity;
		out[i].free = views[i].free;
		out[i].usable = views[i].usable && healthy;
		out[i].same_job = views[i].n_tasks;
	}
	return n_workers;
}

/* Consumes a confirmed hold of @ticket and returns its worker, or @n if there
 * is none or the worker cannot take the task. */
static size_t held_worker(struct vh_gang_table *gangs,
			  const struct vh_gang_ticket *ticket,
			  const struct vh_candidate *workers, size_t n,
			  const struct vh_res *size)
{
	uint32_t w = vh_gang_start(gangs, ticket);

	return w < n && workers[w].usable && vh_res_fits(size, &workers[w].free)
		       ? w
		       : n;
}

size_t placement_choose(struct vh_waitlist *waitlist,
			struct worker_health *health,
			struct vh_gang_table *gangs,
			const struct vh_gang_ticket *ticket,
			const struct vh_demand *demand,
			const struct vh_worker_view *views, size_t n,
			int64_t now_ms, enum vh_err *why)
{
	struct vh_candidate workers[VH_WAITLIST_WORKERS];
	struct vh_worker_forecast forecasts[VH_WAITLIST_WORKERS];
	size_t n_workers = fill_candidates(health, views, n, now_ms, workers);
	size_t chosen = n_workers;
	struct vh_waitlist_decision decision;

	vh_gang_expire(gangs, now_ms);
	if (ticket)
		chosen = held_worker(gangs, ticket, workers, n_workers,
				     &demand->want.size);
	if (chosen < n_workers) {
		worker_health_started(health, views[chosen].id, now_ms);
		return chosen;
	}
	vh_gang_assign(gangs, workers, n_workers, now_ms);
	vh_gang_subtract_holds(gangs, workers, n_workers, demand->run_ms,
			       now_ms);
	memset(forecasts, 0, sizeof(forecasts));
	for (size_t i = 0; i < n_workers; i++)
		forecasts[i].worker = workers[i];
	vh_waitlist_admit(waitlist, demand, forecasts, n_workers, now_ms,
			  &decision);
	*why = decision_err(&decision);
	if (*why != VH_OK)
		return n;
	worker_health_started(health, views[decision.place.index].id, now_ms);
	return decision.place.index;
}
