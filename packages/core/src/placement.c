#include "placement.h"

/* A team as a number: only its being equal counts. */
static uint32_t team_number(struct vh_slice home)
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
	out->team = team_number(s->home);
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

static enum vh_err wait_kind(const struct vh_ask *ask)
{
	switch (ask->result) {
	case VH_ASK_START:
		return VH_OK;
	case VH_ASK_DEADLINE:
		return VH_ERR_DEADLINE;
	case VH_ASK_NEVER:
		return VH_ERR_NEVER_FITS;
	case VH_ASK_FULL:
	case VH_ASK_TURN:
		break;
	}
	return ask->place.reason == VH_PLACE_NONE_USABLE ? VH_ERR_NOT_READY
							 : VH_ERR_NO_CAPACITY;
}

size_t placement_choose(struct vh_waitlist *waiting,
			struct worker_health *health,
			const struct vh_demand *demand,
			const struct vh_worker_view *views, size_t n,
			int64_t now_ms, enum vh_err *why)
{
	struct vh_worker_load loads[VH_WAITLIST_WORKERS];
	size_t used = n < VH_WAITLIST_WORKERS ? n : VH_WAITLIST_WORKERS;
	struct vh_ask ask;

	memset(loads, 0, sizeof(loads));
	for (size_t i = 0; i < used; i++) {
		struct vh_candidate *c = &loads[i].worker;
		bool healthy = worker_health_takes(health, views[i].id,
						   &c->failures, now_ms);

		c->capacity = views[i].capacity;
		c->free = views[i].free;
		c->usable = views[i].usable && healthy;
		c->same_job = views[i].n_tasks;
	}
	vh_waitlist_ask(waiting, demand, loads, used, now_ms, &ask);
	*why = wait_kind(&ask);
	if (*why != VH_OK)
		return n;
	worker_health_started(health, views[ask.place.index].id, now_ms);
	return ask.place.index;
}
