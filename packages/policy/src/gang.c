#include "vh/gang.h"

#define RACK_WORKERS_MAX 64

bool vh_gang_ticket_before(const struct vh_gang_ticket *a,
			   const struct vh_gang_ticket *b)
{
	if (a->accepted_wall_ms != b->accepted_wall_ms)
		return a->accepted_wall_ms < b->accepted_wall_ms;
	return a->id < b->id;
}

static bool tickets_equal(const struct vh_gang_ticket *a,
			  const struct vh_gang_ticket *b)
{
	return a->id == b->id && a->accepted_wall_ms == b->accepted_wall_ms;
}

static void remove_hold(struct vh_gang_table *t, size_t i)
{
	t->holds[i] = t->holds[--t->n];
}

int64_t vh_gang_expire(struct vh_gang_table *t, int64_t now_ms)
{
	int64_t next = INT64_MAX;
	size_t kept = 0;

	for (size_t i = 0; i < t->n_requests; i++) {
		int64_t at = t->requests[i].expires_ms;

		if (at <= now_ms)
			continue;
		next = at < next ? at : next;
		t->requests[kept++] = t->requests[i];
	}
	t->n_requests = kept;
	for (size_t i = 0; i < t->n;) {
		int64_t at = t->holds[i].expires_ms;

		if (at <= now_ms) {
			remove_hold(t, i);
			continue;
		}
		next = at < next ? at : next;
		i++;
	}
	return next;
}

/* Renews the gang's holds and removes those beyond the requested number. */
static void renew_holds(struct vh_gang_table *t,
			const struct vh_gang_request *request)
{
	uint32_t held = 0;

	for (size_t i = 0; i < t->n;) {
		struct vh_gang_hold *h = &t->holds[i];

		if (!tickets_equal(&h->ticket, &request->ticket)) {
			i++;
			continue;
		}
		if (held == request->tasks) {
			remove_hold(t, i);
			continue;
		}
		h->expires_ms = request->expires_ms;
		h->start_ms = request->start_ms;
		held++;
		i++;
	}
}

static void remove_request(struct vh_gang_table *t,
			   const struct vh_gang_ticket *ticket)
{
	size_t kept = 0;

	for (size_t i = 0; i < t->n_requests; i++) {
		if (!tickets_equal(&t->requests[i].ticket, ticket))
			t->requests[kept++] = t->requests[i];
	}
	t->n_requests = kept;
}

/* Keeps requests ordered by ticket; a full table drops the youngest. */
static void insert_request(struct vh_gang_table *t,
			   struct vh_gang_request *request)
{
	size_t at = 0;

	for (size_t i = 0; i < t->n_requests; i++) {
		if (tickets_equal(&t->requests[i].ticket, &request->ticket))
			request->since_ms = t->requests[i].since_ms;
	}
	remove_request(t, &request->ticket);
	while (at < t->n_requests &&
	       vh_gang_ticket_before(&t->requests[at].ticket, &request->ticket))
		at++;
	if (at == VH_GANG_REQUESTS_MAX)
		return;
	if (t->n_requests < VH_GANG_REQUESTS_MAX)
		t->n_requests++;
	for (size_t i = t->n_requests - 1; i > at; i--)
		t->requests[i] = t->requests[i - 1];
	t->requests[at] = *request;
}

static uint32_t count_holds(const struct vh_gang_table *t,
			    const struct vh_gang_ticket *ticket)
{
	uint32_t held = 0;

	for (size_t i = 0; i < t->n; i++)
		held += tickets_equal(&t->holds[i].ticket, ticket);
	return held;
}

/* Whether the gang of @ticket may revoke the hold. */
static bool is_revocable(const struct vh_gang_hold *h,
			 const struct vh_gang_ticket *ticket)
{
	return !h->confirmed && vh_gang_ticket_before(ticket, &h->ticket);
}

/* Subtracts the holds that the gang of @ticket must not revoke from the free
 * amounts. */
static void subtract_firm_holds(const struct vh_gang_table *t,
				const struct vh_gang_ticket *ticket,
				struct vh_candidate *workers, size_t n)
{
	for (size_t i = 0; i < t->n; i++) {
		const struct vh_gang_hold *h = &t->holds[i];

		if (h->worker < n && !is_revocable(h, ticket))
			vh_res_sub(&workers[h->worker].free, &h->size);
	}
}

/* Revokes younger gangs' holds on a worker, youngest first, until the remaining
 * holds fit its free amounts. */
static void revoke_younger_holds(struct vh_gang_table *t,
				 const struct vh_gang_ticket *ticket,
				 uint32_t worker, const struct vh_res *free)
{
	for (;;) {
		struct vh_res sum = { { 0 } };
		size_t youngest = t->n;

		for (size_t i = 0; i < t->n; i++) {
			const struct vh_gang_hold *h = &t->holds[i];

			if (h->worker != worker)
				continue;
			vh_res_add(&sum, &h->size);
			if (is_revocable(h, ticket) &&
			    (youngest == t->n ||
			     vh_gang_ticket_before(&t->holds[youngest].ticket,
						   &h->ticket)))
				youngest = i;
		}
		if (youngest == t->n || vh_res_fits(&sum, free))
			return;
		remove_hold(t, youngest);
		t->revoked++;
	}
}

/* Takes holds for one request from the capacity without confirmed holds, its
 * own holds and those of older gangs; revokes younger gangs' holds in its way.
 * Returns how many tasks are still without a hold, and sets @remaining to the
 * workers with the amounts that are then free. */
static uint32_t acquire_holds(struct vh_gang_table *t,
			      const struct vh_gang_request *request,
			      const struct vh_candidate *workers,
			      struct vh_candidate *remaining, size_t n)
{
	uint32_t held = count_holds(t, &request->ticket);

	for (size_t i = 0; i < n; i++) {
		remaining[i] = workers[i];
		if (t->draining >> i & 1)
			remaining[i].usable = false;
	}
	subtract_firm_holds(t, &request->ticket, remaining, n);
	while (held < request->tasks && t->n < VH_GANG_HOLDS_MAX) {
		struct vh_place_result r;

		vh_place(&request->want, remaining, n, &r);
		if (r.reason != VH_PLACE_OK)
			break;
		vh_res_sub(&remaining[r.index].free, &request->want.size);
		t->holds[t->n++] = (struct vh_gang_hold){
			.ticket = request->ticket,
			.size = request->want.size,
			.worker = (uint32_t)r.index,
			.expires_ms = request->expires_ms,
			.start_ms = request->start_ms,
		};
		revoke_younger_holds(t, &request->ticket, (uint32_t)r.index,
				     &workers[r.index].free);
		held++;
	}
	return held < request->tasks ? request->tasks - held : 0;
}

/* The worker with the largest free fraction of the requested size, summed over
 * the dimensions, among those that would hold a task if empty and are not yet
 * draining; @n if there is none. */
static size_t find_drain_worker(const struct vh_gang_request *request,
				const struct vh_candidate *remaining, size_t n,
				uint64_t draining)
{
	uint64_t best = 0;
	size_t at = n;

	for (size_t i = 0; i < n; i++) {
		uint64_t part = 1;

		if (draining >> i & 1 || !remaining[i].usable ||
		    !vh_res_fits(&request->want.size, &remaining[i].capacity))
			continue;
		for (int d = VH_CPU; d <= VH_ACCEL; d++) {
			uint64_t want = request->want.size.v[d];
			uint64_t has = remaining[i].free.v[d];

			if (want)
				part += (has < want ? has : want) * 1000 / want;
		}
		if (part > best) {
			best = part;
			at = i;
		}
	}
	return at;
}

/* Number of tasks of the request that an empty worker would hold. */
static uint32_t tasks_per_worker(const struct vh_gang_request *request,
				 const struct vh_res *capacity)
{
	uint32_t least = UINT32_MAX;

	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint32_t want = request->want.size.v[d];

		if (want && capacity->v[d] / want < least)
			least = capacity->v[d] / want;
	}
	return least;
}

/* Marks workers as draining until, once empty, they would hold @tasks. */
static void drain_workers(struct vh_gang_table *t,
			  const struct vh_gang_request *request, uint32_t tasks,
			  const struct vh_candidate *remaining, size_t n)
{
	while (tasks) {
		size_t at =
			find_drain_worker(request, remaining, n, t->draining);
		uint32_t held;

		if (at == n)
			return;
		t->draining |= UINT64_C(1) << at;
		if (request->start_ms < t->drain_start_ms)
			t->drain_start_ms = request->start_ms;
		held = tasks_per_worker(request, &remaining[at].capacity);
		tasks -= held < tasks ? held : tasks;
	}
}

void vh_gang_assign(struct vh_gang_table *t, const struct vh_candidate *workers,
		    size_t n, int64_t now_ms)
{
	if (n > RACK_WORKERS_MAX)
		n = RACK_WORKERS_MAX;
	vh_gang_expire(t, now_ms);
	t->draining = 0;
	t->drain_start_ms = INT64_MAX;
	if (t->n_requests) {
		const struct vh_gang_request *request = &t->requests[0];
		struct vh_candidate remaining[RACK_WORKERS_MAX];
		uint32_t missing =
			acquire_holds(t, request, workers, remaining, n);

		if (now_ms - request->since_ms >= VH_GANG_DRAIN_AFTER_MS)
			drain_workers(t, request,
				      missing < request->drain ? missing
							       : request->drain,
				      remaining, n);
	}
}

uint32_t vh_gang_hold(struct vh_gang_table *t,
		      const struct vh_gang_request *request,
		      const struct vh_candidate *workers, size_t n,
		      int64_t now_ms)
{
	struct vh_gang_request kept = *request;

	kept.expires_ms = now_ms + VH_GANG_HOLD_TTL_MS;
	kept.since_ms = now_ms;
	vh_gang_expire(t, now_ms);
	insert_request(t, &kept);
	renew_holds(t, &kept);
	vh_gang_assign(t, workers, n, now_ms);
	/* vh_gang_assign() has served the oldest gang only. */
	if (!tickets_equal(&t->requests[0].ticket, &request->ticket)) {
		struct vh_candidate remaining[RACK_WORKERS_MAX];

		kept.expires_ms = now_ms + VH_GANG_YOUNGER_HOLD_TTL_MS;
		renew_holds(t, &kept);
		acquire_holds(t, &kept, workers, remaining,
			      n < RACK_WORKERS_MAX ? n : RACK_WORKERS_MAX);
	}
	return count_holds(t, &request->ticket);
}

bool vh_gang_confirm(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket, uint32_t tasks,
		     int64_t now_ms)
{
	struct vh_gang_request trimmed = { .ticket = *ticket, .tasks = tasks };

	vh_gang_expire(t, now_ms);
	if (count_holds(t, ticket) < tasks)
		return false;
	remove_request(t, ticket);
	trimmed.expires_ms = now_ms + VH_GANG_HOLD_TTL_MS;
	renew_holds(t, &trimmed);
	for (size_t i = 0; i < t->n; i++) {
		if (!tickets_equal(&t->holds[i].ticket, ticket))
			continue;
		t->holds[i].confirmed = true;
	}
	return true;
}

uint32_t vh_gang_start(struct vh_gang_table *t,
		       const struct vh_gang_ticket *ticket)
{
	for (size_t i = 0; i < t->n; i++) {
		uint32_t worker = t->holds[i].worker;

		if (!t->holds[i].confirmed ||
		    !tickets_equal(&t->holds[i].ticket, ticket))
			continue;
		remove_hold(t, i);
		return worker;
	}
	return UINT32_MAX;
}

void vh_gang_release(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket)
{
	remove_request(t, ticket);
	for (size_t i = 0; i < t->n;) {
		if (tickets_equal(&t->holds[i].ticket, ticket))
			remove_hold(t, i);
		else
			i++;
	}
}

void vh_gang_subtract_holds(const struct vh_gang_table *t,
			    struct vh_candidate *workers, size_t n,
			    int64_t run_ms, int64_t now_ms)
{
	for (size_t i = 0; i < t->n; i++) {
		const struct vh_gang_hold *h = &t->holds[i];
		bool backfills = run_ms && !h->confirmed &&
				 now_ms + run_ms <= h->start_ms;

		if (h->worker < n && h->expires_ms > now_ms && !backfills)
			vh_res_sub(&workers[h->worker].free, &h->size);
	}
	if (run_ms && now_ms + run_ms <= t->drain_start_ms)
		return;
	for (size_t i = 0; i < n && t->n_requests; i++) {
		if (t->draining >> i & 1)
			workers[i].free = (struct vh_res){ { 0 } };
	}
}
