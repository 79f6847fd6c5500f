#include "placement.h"

uint32_t placement_team_id(struct vh_slice home)
{
	const char *from = memchr(home.data, '/', home.len);
	size_t skip = from ? (size_t)(from - home.data) + 1 : 0;
	const char *to = memchr(home.data + skip, '/', home.len - skip);
	size_t len = to ? (size_t)(to - home.data) - skip : home.len - skip;

	return (uint32_t)vh_slice_hash(vh_slice(home.data + skip, len), 0);
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

static enum vh_err wait_kind(const struct vh_waitlist_decision *ask)
{
	switch (ask->result) {
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
	return ask->place.reason == VH_PLACE_NONE_USABLE ? VH_ERR_NOT_READY
							 : VH_ERR_NO_CAPACITY;
}

static size_t fill_workers(struct worker_health *health,
			   const struct vh_worker_view *views, size_t n,
			   int64_t now_ms, struct vh_candidate *out)
{
	size_t used = n < VH_WAITLIST_WORKERS ? n : VH_WAITLIST_WORKERS;

	memset(out, 0, used * sizeof(*out));
	for (size_t i = 0; i < used; i++) {
		bool healthy = worker_health_accepts(health, views[i].id,
						     &out[i].failures, now_ms);

		out[i].capacity = views[i].capacity;
		out[i].free = views[i].free;
		out[i].usable = views[i].usable && healthy;
		out[i].same_job = views[i].n_tasks;
	}
	return used;
}

/* The worker of a confirmed hold, or @n. */
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

size_t placement_choose(struct vh_waitlist *waiting,
			struct worker_health *health,
			struct vh_gang_table *gangs,
			const struct vh_gang_ticket *ticket,
			const struct vh_demand *demand,
			const struct vh_worker_view *views, size_t n,
			int64_t now_ms, enum vh_err *why)
{
	struct vh_candidate workers[VH_WAITLIST_WORKERS];
	struct vh_worker_forecast loads[VH_WAITLIST_WORKERS];
	size_t used = fill_workers(health, views, n, now_ms, workers);
	size_t at = used;
	struct vh_waitlist_decision ask;

	vh_gang_expire(gangs, now_ms);
	if (ticket)
		at = held_worker(gangs, ticket, workers, used,
				 &demand->want.size);
	if (at < used) {
		worker_health_started(health, views[at].id, now_ms);
		return at;
	}
	vh_gang_assign(gangs, workers, used, now_ms);
	vh_gang_subtract_holds(gangs, workers, used, demand->run_ms, now_ms);
	memset(loads, 0, sizeof(loads));
	for (size_t i = 0; i < used; i++)
		loads[i].worker = workers[i];
	vh_waitlist_admit(waiting, demand, loads, used, now_ms, &ask);
	*why = wait_kind(&ask);
	if (*why != VH_OK)
		return n;
	worker_health_started(health, views[ask.place.index].id, now_ms);
	return ask.place.index;
}
