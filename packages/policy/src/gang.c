#include "vh/gang.h"

#define RACK_WORKERS_MAX 64

bool vh_gang_ticket_before(const struct vh_gang_ticket *a,
			   const struct vh_gang_ticket *b)
{
	if (a->accepted_wall_ms != b->accepted_wall_ms)
		return a->accepted_wall_ms < b->accepted_wall_ms;
	return a->id < b->id;
}

static bool same_ticket(const struct vh_gang_ticket *a,
			const struct vh_gang_ticket *b)
{
	return a->id == b->id && a->accepted_wall_ms == b->accepted_wall_ms;
}

static void drop_hold(struct vh_gang_table *t, size_t i)
{
	t->holds[i] = t->holds[--t->n];
}

int64_t vh_gang_expire(struct vh_gang_table *t, int64_t now_ms)
{
	int64_t next = INT64_MAX;
	size_t asks = 0;

	for (size_t i = 0; i < t->n_requests; i++) {
		int64_t at = t->asks[i].expires_ms;

		if (at <= now_ms)
			continue;
		next = at < next ? at : next;
		t->asks[asks++] = t->asks[i];
	}
	t->n_requests = asks;
	for (size_t i = 0; i < t->n;) {
		int64_t at = t->holds[i].expires_ms;

		if (at <= now_ms) {
			drop_hold(t, i);
			continue;
		}
		next = at < next ? at : next;
		i++;
	}
	return next;
}

/* Renews the gang's holds, gives back what is more than it asks for. */
static void renew_holds(struct vh_gang_table *t,
			const struct vh_gang_request *ask)
{
	uint32_t held = 0;

	for (size_t i = 0; i < t->n;) {
		struct vh_gang_hold *h = &t->holds[i];

		if (!same_ticket(&h->ticket, &ask->ticket)) {
			i++;
			continue;
		}
		if (held == ask->tasks) {
			drop_hold(t, i);
			continue;
		}
		h->expires_ms = ask->expires_ms;
		h->start_ms = ask->start_ms;
		held++;
		i++;
	}
}

static void remove_ask(struct vh_gang_table *t,
		       const struct vh_gang_ticket *ticket)
{
	size_t kept = 0;

	for (size_t i = 0; i < t->n_requests; i++) {
		if (!same_ticket(&t->asks[i].ticket, ticket))
			t->asks[kept++] = t->asks[i];
	}
	t->n_requests = kept;
}

/* Keeps asks in order of tickets; the youngest of too many is left out. */
static void insert_ask(struct vh_gang_table *t, struct vh_gang_request *ask)
{
	size_t at = 0;

	for (size_t i = 0; i < t->n_requests; i++) {
		if (same_ticket(&t->asks[i].ticket, &ask->ticket))
			ask->since_ms = t->asks[i].since_ms;
	}
	remove_ask(t, &ask->ticket);
	while (at < t->n_requests &&
	       vh_gang_ticket_before(&t->asks[at].ticket, &ask->ticket))
		at++;
	if (at == VH_GANG_REQUESTS_MAX)
		return;
	if (t->n_requests < VH_GANG_REQUESTS_MAX)
		t->n_requests++;
	for (size_t i = t->n_requests - 1; i > at; i--)
		t->asks[i] = t->asks[i - 1];
	t->asks[at] = *ask;
}

static uint32_t count_holds(const struct vh_gang_table *t,
			    const struct vh_gang_ticket *ticket)
{
	uint32_t held = 0;

	for (size_t i = 0; i < t->n; i++)
		held += same_ticket(&t->holds[i].ticket, ticket);
	return held;
}

static bool younger(const struct vh_gang_hold *h,
		    const struct vh_gang_ticket *than)
{
	return !h->confirmed && vh_gang_ticket_before(than, &h->ticket);
}

/* Free amounts less the holds that @ticket must respect. */
static void respect_holds(const struct vh_gang_table *t,
			  const struct vh_gang_ticket *ticket,
			  struct vh_candidate *workers, size_t n)
{
	for (size_t i = 0; i < t->n; i++) {
		const struct vh_gang_hold *h = &t->holds[i];

		if (h->worker < n && !younger(h, ticket))
			vh_res_sub(&workers[h->worker].free, &h->size);
	}
}

/* Takes younger gangs' holds from a worker, youngest first, until what is held
 * there fits again. */
static void wound(struct vh_gang_table *t, const struct vh_gang_ticket *ticket,
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
			if (younger(h, ticket) &&
			    (youngest == t->n ||
			     vh_gang_ticket_before(&t->holds[youngest].ticket,
						   &h->ticket)))
				youngest = i;
		}
		if (youngest == t->n || vh_res_fits(&sum, free))
			return;
		drop_hold(t, youngest);
		t->wounded++;
	}
}

/* Takes holds for one ask from what older gangs and confirmed holds leave.
 * Returns how many tasks have none yet; @left is what is free after it. */
static uint32_t take_holds(struct vh_gang_table *t,
			   const struct vh_gang_request *ask,
			   const struct vh_candidate *workers,
			   struct vh_candidate *left, size_t n)
{
	uint32_t held = count_holds(t, &ask->ticket);

	for (size_t i = 0; i < n; i++) {
		left[i] = workers[i];
		if (t->draining >> i & 1)
			left[i].usable = false;
	}
	respect_holds(t, &ask->ticket, left, n);
	while (held < ask->tasks && t->n < VH_GANG_HOLDS_MAX) {
		struct vh_place_result r;

		vh_place(&ask->want, left, n, &r);
		if (r.reason != VH_PLACE_OK)
			break;
		vh_res_sub(&left[r.index].free, &ask->want.size);
		t->holds[t->n++] = (struct vh_gang_hold){
			.ticket = ask->ticket,
			.size = ask->want.size,
			.worker = (uint32_t)r.index,
			.expires_ms = ask->expires_ms,
			.start_ms = ask->start_ms,
		};
		wound(t, &ask->ticket, (uint32_t)r.index,
		      &workers[r.index].free);
		held++;
	}
	return held < ask->tasks ? ask->tasks - held : 0;
}

/* Of the workers that could hold a task if empty, the one most free. */
static size_t most_free(const struct vh_gang_request *ask,
			const struct vh_candidate *left, size_t n,
			uint64_t draining)
{
	uint64_t best = 0;
	size_t at = n;

	for (size_t i = 0; i < n; i++) {
		uint64_t part = 1;

		if (draining >> i & 1 || !left[i].usable ||
		    !vh_res_fits(&ask->want.size, &left[i].capacity))
			continue;
		for (int d = VH_CPU; d <= VH_ACCEL; d++) {
			uint64_t want = ask->want.size.v[d];
			uint64_t has = left[i].free.v[d];

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

/* How many tasks of the ask an empty worker would hold. */
static uint32_t tasks_of_worker(const struct vh_gang_request *ask,
				const struct vh_res *capacity)
{
	uint32_t least = UINT32_MAX;

	for (int d = 0; d < VH_DIMS; d++) {
		uint32_t want = ask->want.size.v[d];

		if (want && capacity->v[d] / want < least)
			least = capacity->v[d] / want;
	}
	return least;
}

static void drain(struct vh_gang_table *t, const struct vh_gang_request *ask,
		  uint32_t tasks, const struct vh_candidate *left, size_t n)
{
	while (tasks) {
		size_t at = most_free(ask, left, n, t->draining);
		uint32_t held;

		if (at == n)
			return;
		t->draining |= UINT64_C(1) << at;
		if (ask->start_ms < t->drain_start_ms)
			t->drain_start_ms = ask->start_ms;
		held = tasks_of_worker(ask, &left[at].capacity);
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
		const struct vh_gang_request *ask = &t->asks[0];
		struct vh_candidate left[RACK_WORKERS_MAX];
		uint32_t missing = take_holds(t, ask, workers, left, n);

		if (now_ms - ask->since_ms >= VH_GANG_DRAIN_AFTER_MS)
			drain(t, ask,
			      missing < ask->drain ? missing : ask->drain, left,
			      n);
	}
}

uint32_t vh_gang_hold(struct vh_gang_table *t,
		      const struct vh_gang_request *ask,
		      const struct vh_candidate *workers, size_t n,
		      int64_t now_ms)
{
	struct vh_gang_request kept = *ask;

	kept.expires_ms = now_ms + VH_GANG_HOLD_TTL_MS;
	kept.since_ms = now_ms;
	vh_gang_expire(t, now_ms);
	insert_ask(t, &kept);
	renew_holds(t, &kept);
	vh_gang_assign(t, workers, n, now_ms);
	if (!same_ticket(&t->asks[0].ticket, &ask->ticket)) {
		struct vh_candidate left[RACK_WORKERS_MAX];

		kept.expires_ms = now_ms + VH_GANG_YOUNGER_HOLD_TTL_MS;
		renew_holds(t, &kept);
		take_holds(t, &kept, workers, left,
			   n < RACK_WORKERS_MAX ? n : RACK_WORKERS_MAX);
	}
	return count_holds(t, &ask->ticket);
}

bool vh_gang_confirm(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket, uint32_t tasks,
		     int64_t now_ms)
{
	struct vh_gang_request rest = { .ticket = *ticket, .tasks = tasks };

	vh_gang_expire(t, now_ms);
	if (count_holds(t, ticket) < tasks)
		return false;
	remove_ask(t, ticket);
	rest.expires_ms = now_ms + VH_GANG_HOLD_TTL_MS;
	renew_holds(t, &rest);
	for (size_t i = 0; i < t->n; i++) {
		if (!same_ticket(&t->holds[i].ticket, ticket))
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
		    !same_ticket(&t->holds[i].ticket, ticket))
			continue;
		drop_hold(t, i);
		return worker;
	}
	return UINT32_MAX;
}

void vh_gang_release(struct vh_gang_table *t,
		     const struct vh_gang_ticket *ticket)
{
	remove_ask(t, ticket);
	for (size_t i = 0; i < t->n;) {
		if (same_ticket(&t->holds[i].ticket, ticket))
			drop_hold(t, i);
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
