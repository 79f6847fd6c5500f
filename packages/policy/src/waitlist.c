#include "vh/waitlist.h"

/* Waiting time that raises a task's priority by one. */
#define AGE_STEP_MS 30000
#define AGE_STEPS_MAX 8
#define QUARTERS 4

static uint64_t age_steps(const struct vh_demand *d, int64_t now_ms)
{
	int64_t steps = (now_ms - d->accepted_ms) / AGE_STEP_MS;

	if (steps <= 0)
		return 0;
	return steps < AGE_STEPS_MAX ? (uint64_t)steps : AGE_STEPS_MAX;
}

/* Rank of the demand's class in the order; smaller goes first. */
static int class_rank(const struct vh_demand *d)
{
	if (d->want.cls == VH_CLASS_URGENT)
		return 0;
	return d->want.cls == VH_CLASS_SERVICE && d->share < d->due ? 1 : 2;
}

bool vh_demand_before(const struct vh_demand *a, const struct vh_demand *b,
		      int64_t now_ms)
{
	uint64_t pa = a->priority + age_steps(a, now_ms);
	uint64_t pb = b->priority + age_steps(b, now_ms);

	if (class_rank(a) != class_rank(b))
		return class_rank(a) < class_rank(b);
	if (a->share != b->share)
		return a->share < b->share;
	if (a->team != b->team)
		return a->team < b->team;
	if (pa != pb)
		return pa > pb;
	if (a->accepted_ms != b->accepted_ms)
		return a->accepted_ms < b->accepted_ms;
	return a->id < b->id;
}

static void remove_at(struct vh_waitlist *w, size_t i)
{
	w->items[i] = w->items[--w->n];
}

static void expire_demands(struct vh_waitlist *w, int64_t now_ms)
{
	for (size_t i = 0; i < w->n;) {
		const struct vh_waitlist_entry *x = &w->items[i];
		bool late =
			x->demand.deadline_ms && now_ms > x->demand.deadline_ms;

		if (late || now_ms - x->renewed_ms > VH_DEMAND_TTL_MS)
			remove_at(w, i);
		else
			i++;
	}
}

/* Sets the newest share and fair share of a team on all its demands: if they
 * differed within a team, the order would have cycles. */
static void set_team_share(struct vh_waitlist *w, const struct vh_demand *d,
			   uint64_t share)
{
	for (size_t i = 0; i < w->n; i++) {
		if (w->items[i].demand.team != d->team)
			continue;
		w->items[i].demand.share = share;
		w->items[i].demand.due = d->due;
	}
}

static size_t find_demand(const struct vh_waitlist *w, uint64_t id)
{
	size_t i = 0;

	while (i < w->n && w->items[i].demand.id != id)
		i++;
	return i;
}

/* Adds or renews a demand; a full list drops the last in order. */
static void upsert_demand(struct vh_waitlist *w, const struct vh_demand *demand,
			  int64_t now_ms)
{
	size_t at = find_demand(w, demand->id);

	if (at == VH_WAITLIST_MAX) {
		at = 0;
		for (size_t i = 1; i < w->n; i++) {
			if (vh_demand_before(&w->items[at].demand,
					     &w->items[i].demand, now_ms))
				at = i;
		}
		w->dropped++;
		if (vh_demand_before(&w->items[at].demand, demand, now_ms))
			return;
	} else if (at == w->n) {
		w->n++;
	}
	w->items[at].demand = *demand;
	w->items[at].renewed_ms = now_ms;
	set_team_share(w, demand, demand->share);
}

/** struct schedule - the workers in a trial placement of demands in order */
struct schedule {
	struct vh_candidate workers[VH_WAITLIST_WORKERS];
	const struct vh_worker_forecast *forecasts;
	size_t n;
	size_t reserved;	   /* worker of the reservation; n for none */
	uint64_t reserved_for;	   /* id of the demand */
	int64_t reserved_start_ms; /* expected start of the reservation */
};

/* When the worker should have room, from the forecast release of each quarter
 * of its commitments; INT64_MAX if unknown. */
static int64_t expected_room_ms(const struct vh_worker_forecast *forecast,
				const struct vh_res *size, int64_t now_ms)
{
	const struct vh_candidate *c = &forecast->worker;

	if (vh_res_fits(size, &c->free))
		return now_ms;
	for (int q = 1; q <= QUARTERS; q++) {
		struct vh_res later = c->free;

		if (!forecast->release_ms[q - 1])
			continue;
		for (int d = 0; d < VH_DIM_COUNT; d++)
			later.v[d] += (uint32_t)((uint64_t)(c->capacity.v[d] -
							    c->free.v[d]) *
						 (unsigned int)q / QUARTERS);
		if (vh_res_fits(size, &later))
			return forecast->release_ms[q - 1] > now_ms
				       ? forecast->release_ms[q - 1]
				       : now_ms;
	}
	return INT64_MAX;
}

/* Reserves the worker that should have room first for the demand that has
 * waited longest, among teams not above their fair share. */
static void reserve_worker(struct schedule *t, const struct vh_waitlist *w,
			   int64_t now_ms)
{
	const struct vh_demand *oldest = NULL;

	for (size_t i = 0; i < w->n; i++) {
		const struct vh_demand *d = &w->items[i].demand;

		if (d->reserve &&
		    now_ms - d->accepted_ms >= VH_RESERVE_AFTER_MS &&
		    d->share <= d->due &&
		    (!oldest || d->accepted_ms < oldest->accepted_ms))
			oldest = d;
	}
	for (size_t i = 0; oldest && i < t->n; i++) {
		const struct vh_candidate *c = &t->forecasts[i].worker;
		int64_t at;

		if (!c->usable ||
		    !vh_res_fits(&oldest->want.size, &c->capacity))
			continue;
		at = expected_room_ms(&t->forecasts[i], &oldest->want.size,
				      now_ms);
		if (t->reserved < t->n && at >= t->reserved_start_ms)
			continue;
		t->reserved = i;
		t->reserved_start_ms = at;
		t->reserved_for = oldest->id;
	}
}

/* Places one demand in the room that preceding demands left. The reserved
 * worker is used only for the reservation's demand and for backfill. */
static bool place_demand(struct schedule *t, const struct vh_demand *d,
			 int64_t now_ms, struct vh_place_result *out)
{
	bool backfills = d->run_ms && t->reserved_start_ms < INT64_MAX &&
			 now_ms + d->run_ms <= t->reserved_start_ms;
	bool skip_reserved =
		t->reserved < t->n && d->id != t->reserved_for && !backfills;
	bool usable = skip_reserved && t->workers[t->reserved].usable;

	if (skip_reserved)
		t->workers[t->reserved].usable = false;
	vh_place(&d->want, t->workers, t->n, out);
	if (skip_reserved)
		t->workers[t->reserved].usable = usable;
	if (out->reason != VH_PLACE_OK)
		return false;
	vh_res_sub(&t->workers[out->index].free, &d->want.size);
	return true;
}

/* Index of the first demand in order. */
static size_t find_first(const struct vh_demand *left, size_t n, int64_t now_ms)
{
	size_t first = 0;

	for (size_t i = 1; i < n; i++) {
		if (vh_demand_before(&left[i], &left[first], now_ms))
			first = i;
	}
	return first;
}

/* Whether a usable worker has room. A demand without room before the trial
 * placement has none after it either. */
static bool has_room(const struct schedule *t, const struct vh_res *size)
{
	for (size_t i = 0; i < t->n; i++) {
		if (t->workers[i].usable &&
		    vh_res_fits(size, &t->workers[i].free))
			return true;
	}
	return false;
}

/* Places the demands in order, up to the one with @id, and decides on it. */
static void simulate_order(const struct vh_waitlist *w, struct schedule *t,
			   uint64_t id, int64_t now_ms,
			   struct vh_waitlist_decision *out)
{
	struct vh_demand left[VH_WAITLIST_MAX];
	size_t n = 0;
	bool placed_before = false;

	for (size_t i = 0; i < w->n; i++) {
		if (has_room(t, &w->items[i].demand.want.size))
			left[n++] = w->items[i].demand;
	}
	while (n) {
		size_t at = find_first(left, n, now_ms);
		struct vh_demand d = left[at];
		bool ok = place_demand(t, &d, now_ms, &out->place);

		if (d.id == id) {
			out->result =
				ok ? VH_WAITLIST_START : VH_WAITLIST_NO_ROOM;
			if (!ok && placed_before)
				out->result = VH_WAITLIST_NOT_FIRST;
			return;
		}
		if (!out->before++)
			out->first_team = d.team;
		placed_before |= ok;
		left[at] = left[--n];
		for (size_t i = 0; ok && i < n; i++) {
			if (left[i].team == d.team)
				left[i].share += d.step;
		}
	}
}

void vh_waitlist_admit(struct vh_waitlist *w, const struct vh_demand *demand,
		       const struct vh_worker_forecast *forecasts, size_t n,
		       int64_t now_ms, struct vh_waitlist_decision *out)
{
	struct schedule t = { .forecasts = forecasts, .n = n, .reserved = n };

	*out = (struct vh_waitlist_decision){ .result = VH_WAITLIST_NO_ROOM };
	expire_demands(w, now_ms);
	if (demand->deadline_ms && now_ms > demand->deadline_ms) {
		out->result = VH_WAITLIST_DEADLINE;
		vh_waitlist_remove(w, demand->id);
		return;
	}
	for (size_t i = 0; i < n; i++)
		t.workers[i] = forecasts[i].worker;
	vh_place(&demand->want, t.workers, n, &out->place);
	if (out->place.reason == VH_PLACE_NEVER_FITS) {
		out->result = VH_WAITLIST_NEVER_FITS;
		vh_waitlist_remove(w, demand->id);
		return;
	}
	upsert_demand(w, demand, now_ms);
	if (out->place.reason != VH_PLACE_OK)
		return;
	reserve_worker(&t, w, now_ms);
	simulate_order(w, &t, demand->id, now_ms, out);
	if (out->result == VH_WAITLIST_START) {
		vh_waitlist_remove(w, demand->id);
		set_team_share(w, demand, demand->share + demand->step);
	}
}

void vh_waitlist_remove(struct vh_waitlist *w, uint64_t id)
{
	size_t at = find_demand(w, id);

	if (at < w->n)
		remove_at(w, at);
}

/* A hash table with open addressing, at most half full. A slot contains the
 * index of a demand plus 1, or 0 if it is empty. */
#define ID_SLOTS (2 * VH_WAITLIST_MAX)

static size_t id_slot(const size_t *slots, const struct vh_waitlist *w,
		      uint64_t id)
{
	size_t at = (id ^ id >> 32) % ID_SLOTS;

	while (slots[at] && w->items[slots[at] - 1].demand.id != id)
		at = (at + 1) % ID_SLOTS;
	return at;
}

void vh_waitlist_remove_many(struct vh_waitlist *w, const uint64_t *ids,
			     size_t n)
{
	size_t slots[ID_SLOTS] = { 0 }, kept = 0;
	bool gone[VH_WAITLIST_MAX] = { false };

	for (size_t i = 0; i < w->n; i++)
		slots[id_slot(slots, w, w->items[i].demand.id)] = i + 1;
	for (size_t i = 0; i < n; i++) {
		size_t at = slots[id_slot(slots, w, ids[i])];

		if (at)
			gone[at - 1] = true;
	}
	for (size_t i = 0; i < w->n; i++) {
		if (!gone[i])
			w->items[kept++] = w->items[i];
	}
	w->n = kept;
}
