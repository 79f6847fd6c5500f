#include "admission.h"

void vh_admission_init(struct vh_admission *a, uint32_t max_active,
		       uint32_t max_waiting)
{
	memset(a, 0, sizeof(*a));
	a->max_active = max_active;
	a->max_waiting = max_waiting;
	a->nodes = 1;
	vh_fairq_init(&a->waiting);
}

void vh_admission_finish(struct vh_admission *a)
{
	while (a->teams) {
		struct vh_admission_team *t = a->teams;

		a->teams = t->next;
		g_free(t);
	}
	vh_fairq_finish(&a->waiting);
}

static struct vh_admission_team *get_team(struct vh_admission *a,
					  struct vh_slice name)
{
	struct vh_admission_team *t = a->teams;

	while (t && !vh_slice_eq_str(name, t->name))
		t = t->next;
	if (t)
		return t;
	t = g_new0(struct vh_admission_team, 1);
	if (name.len && name.len <= VH_NAME_MAX)
		memcpy(t->name, name.data, name.len);
	t->next = a->teams;
	a->teams = t;
	return t;
}

/* This node's share of a cluster-wide limit, rounded up. */
static uint32_t node_share(const struct vh_admission *a, uint32_t limit)
{
	return (limit + a->nodes - 1) / a->nodes;
}

static bool take_token(const struct vh_admission *a,
		       struct vh_admission_team *t, uint32_t requests_per_s,
		       int64_t now_ms)
{
	double rate = node_share(a, requests_per_s);

	if (!t->initialized)
		t->tokens = rate;
	else
		t->tokens +=
			rate * (double)(now_ms - t->refilled_ms) / VH_MS_PER_S;
	t->initialized = true;
	t->refilled_ms = now_ms;
	if (t->tokens > rate)
		t->tokens = rate;
	if (t->tokens < 1)
		return false;
	t->tokens -= 1;
	return true;
}

static bool should_shed(const struct vh_admission *a, enum vh_class cls)
{
	/* The fill level of the queue, in quarters, that sheds a class. */
	static const uint32_t shed_quarters[VH_CLASS_COUNT] = {
		[VH_CLASS_URGENT] = 4,
		[VH_CLASS_SERVICE] = 3,
		[VH_CLASS_BATCH] = 2,
	};

	return a->waiting.n >=
	       (uint64_t)a->max_waiting * shed_quarters[cls] / 4;
}

enum vh_err vh_admission_acquire(struct vh_admission *a,
				 const struct vh_team *team, enum vh_class cls,
				 int64_t now_ms, struct vh_admission_item *item)
{
	struct vh_admission_team *t = get_team(a, team->name);
	const struct vh_limit *limit = team->limit;
	uint32_t weight = team->share ? team->share->weight : 1;
	bool must_queue = a->active >= a->max_active || a->waiting.n;

	item->team = t;
	if (must_queue && should_shed(a, cls))
		return VH_ERR_OVERLOADED;
	if (limit && limit->concurrent_requests &&
	    t->active >= node_share(a, limit->concurrent_requests))
		return VH_ERR_RATE_LIMITED;
	if (limit && limit->requests_per_s &&
	    !take_token(a, t, limit->requests_per_s, now_ms))
		return VH_ERR_RATE_LIMITED;
	t->active++;
	if (must_queue) {
		vh_fairq_push(&a->waiting, team->name, weight, cls,
			      &item->queue_item);
		return VH_OK;
	}
	item->active = true;
	a->active++;
	return VH_OK;
}

struct vh_admission_item *vh_admission_next(struct vh_admission *a)
{
	struct vh_admission_item *item;

	if (a->active >= a->max_active)
		return NULL;
	item = (struct vh_admission_item *)vh_fairq_pop(&a->waiting);
	if (!item)
		return NULL;
	item->active = true;
	a->active++;
	return item;
}

void vh_admission_release(struct vh_admission *a,
			  struct vh_admission_item *item)
{
	if (item->queue_item.flow)
		vh_fairq_remove(&a->waiting, &item->queue_item);
	if (item->active)
		a->active--;
	item->active = false;
	item->team->active--;
}
