#include "route.h"

#include <math.h>

#define REFUSED_BACKOFF_MIN_MS 4
#define REFUSED_BACKOFF_MAX_MS 16
#define OTHER_LOAD_HALF_LIFE_MS 50.0
#define BREAKER_FAILURES 2 /* consecutive failures that open the breaker */
#define BREAKER_OPEN_BASE_MS 500
#define BREAKER_OPEN_MAX_MS 8000
#define RETRIES_PER_REQUEST 0.1
#define RETRY_BURST 10.0 /* capacity of the retry budget, in retries */

static double other_load_now(const struct vh_route_target *t, int64_t now_ms)
{
	return t->other_load * exp2(-(double)(now_ms - t->other_load_ms) /
				    OTHER_LOAD_HALF_LIFE_MS);
}

static double load_of(const struct vh_route_target *t, int64_t now_ms)
{
	return (t->in_flight + other_load_now(t, now_ms)) / t->slots;
}

bool vh_route_usable(const struct vh_route_target *t, int64_t now_ms)
{
	if (t->leaving || t->in_flight >= t->slots ||
	    t->in_flight >= t->conn_share)
		return false;
	if (now_ms < t->backoff_until_ms || now_ms < t->breaker_open_until_ms)
		return false;
	/* Half-open breaker: one probe request at a time. */
	return t->failures < BREAKER_FAILURES || !t->in_flight;
}

static size_t pick_in_tier(struct vh_route_target *const *targets, size_t n,
			   enum vh_route_tier tier, uint64_t avoid_mask,
			   int64_t now_ms, GRand *rng)
{
	size_t candidates[2] = { n, n };
	uint32_t n_usable = 0;

	for (size_t i = 0; i < n; i++) {
		uint32_t slot;

		if (targets[i]->tier != tier ||
		    (i < 64 && avoid_mask >> i & 1) ||
		    !vh_route_usable(targets[i], now_ms))
			continue;
		/* Reservoir sampling of two, each with equal probability. */
		n_usable++;
		slot = n_usable <= 2
			       ? n_usable - 1
			       : (uint32_t)g_rand_int_range(rng, 0,
							    (gint32)n_usable);
		if (slot < 2)
			candidates[slot] = i;
	}
	if (n_usable < 2)
		return candidates[0];
	if (load_of(targets[candidates[0]], now_ms) ==
	    load_of(targets[candidates[1]], now_ms))
		return candidates[g_rand_boolean(rng) ? 1 : 0];
	return load_of(targets[candidates[0]], now_ms) <
			       load_of(targets[candidates[1]], now_ms)
		       ? candidates[0]
		       : candidates[1];
}

size_t vh_route_pick(struct vh_route_target *const *targets, size_t n,
		     uint64_t avoid_mask, bool allow_remote, int64_t now_ms,
		     GRand *rng)
{
	for (int tier = 0; tier < VH_ROUTE_TIERS; tier++) {
		enum vh_route_tier t = (enum vh_route_tier)tier;
		size_t i;

		if (t == VH_ROUTE_REMOTE && !allow_remote)
			break;
		i = pick_in_tier(targets, n, t, avoid_mask, now_ms, rng);
		if (i < n)
			return i;
	}
	if (avoid_mask)
		return vh_route_pick(targets, n, 0, allow_remote, now_ms, rng);
	return n;
}

void vh_route_refused(struct vh_route_target *t, int64_t now_ms, GRand *rng)
{
	t->backoff_until_ms =
		now_ms + g_rand_int_range(rng, REFUSED_BACKOFF_MIN_MS,
					  REFUSED_BACKOFF_MAX_MS + 1);
	t->other_load = other_load_now(t, now_ms) + t->slots / 2.0;
	t->other_load_ms = now_ms;
}

void vh_route_failed(struct vh_route_target *t, int64_t now_ms, GRand *rng)
{
	int64_t open_ms = BREAKER_OPEN_BASE_MS;

	t->failures++;
	if (t->failures < BREAKER_FAILURES)
		return;
	for (uint32_t i = BREAKER_FAILURES;
	     i < t->failures && open_ms < BREAKER_OPEN_MAX_MS; i++)
		open_ms *= 2;
	t->breaker_open_until_ms =
		now_ms +
		(int64_t)((double)open_ms * g_rand_double_range(rng, 0.5, 1.5));
}

void vh_route_succeeded(struct vh_route_target *t)
{
	t->failures = 0;
	t->breaker_open_until_ms = 0;
}

uint32_t vh_route_conn_share(uint32_t conns, uint32_t nodes, uint32_t rank)
{
	if (!nodes)
		return conns;
	return conns / nodes + (rank < conns % nodes ? 1 : 0);
}

void vh_route_retry_budget_init(struct vh_route_retry_budget *b)
{
	b->tokens = RETRY_BURST;
}

void vh_route_retry_budget_deposit(struct vh_route_retry_budget *b)
{
	b->tokens += RETRIES_PER_REQUEST;
	if (b->tokens > RETRY_BURST)
		b->tokens = RETRY_BURST;
}

bool vh_route_retry_budget_take(struct vh_route_retry_budget *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
