#include "route.h"

#include <math.h>

#define FULL_MIN_MS 4
#define FULL_MAX_MS 16
#define HEAT_HALF_LIFE_MS 50.0
#define FAILURES_TO_OPEN 2
#define OPEN_BASE_MS 500
#define OPEN_MAX_MS 8000
#define RETRY_RATIO 0.1 /* retries for each request */
#define RETRY_BURST 10.0

static double heat_now(const struct vh_route_target *t, int64_t now_ms)
{
	return t->heat *
	       exp2(-(double)(now_ms - t->other_load_ms) / HEAT_HALF_LIFE_MS);
}

static double load_of(const struct vh_route_target *t, int64_t now_ms)
{
	return (t->busy + heat_now(t, now_ms)) / t->slots;
}

bool vh_route_usable(const struct vh_route_target *t, int64_t now_ms)
{
	if (t->leaving || t->busy >= t->slots || t->busy >= t->share)
		return false;
	if (now_ms < t->full_until_ms || now_ms < t->breaker_open_until_ms)
		return false;
	/* After a failure one request at a time finds out. */
	return t->failures < FAILURES_TO_OPEN || !t->busy;
}

static size_t pick_in_tier(struct vh_route_target *const *targets, size_t n,
			   enum vh_route_tier tier, uint64_t avoid,
			   int64_t now_ms, GRand *rng)
{
	size_t two[2] = { n, n };
	uint32_t seen = 0;

	for (size_t i = 0; i < n; i++) {
		uint32_t at;

		if (targets[i]->tier != tier || (i < 64 && avoid >> i & 1) ||
		    !vh_route_usable(targets[i], now_ms))
			continue;
		/* Keeps two of those seen, each with the same chance. */
		seen++;
		at = seen <= 2
			     ? seen - 1
			     : (uint32_t)g_rand_int_range(rng, 0, (gint32)seen);
		if (at < 2)
			two[at] = i;
	}
	if (seen < 2)
		return two[0];
	if (load_of(targets[two[0]], now_ms) ==
	    load_of(targets[two[1]], now_ms))
		return two[g_rand_boolean(rng) ? 1 : 0];
	return load_of(targets[two[0]], now_ms) <
			       load_of(targets[two[1]], now_ms)
		       ? two[0]
		       : two[1];
}

size_t vh_route_pick(struct vh_route_target *const *targets, size_t n,
		     uint64_t avoid, bool remote, int64_t now_ms, GRand *rng)
{
	for (int tier = 0; tier < VH_ROUTE_TIERS; tier++) {
		enum vh_route_tier t = (enum vh_route_tier)tier;
		size_t i;

		if (t == VH_ROUTE_REMOTE && !remote)
			break;
		i = pick_in_tier(targets, n, t, avoid, now_ms, rng);
		if (i < n)
			return i;
	}
	if (avoid)
		return vh_route_pick(targets, n, 0, remote, now_ms, rng);
	return n;
}

void vh_route_refused(struct vh_route_target *t, int64_t now_ms, GRand *rng)
{
	t->full_until_ms =
		now_ms + g_rand_int_range(rng, FULL_MIN_MS, FULL_MAX_MS + 1);
	t->heat = heat_now(t, now_ms) + t->slots / 2.0;
	t->other_load_ms = now_ms;
}

void vh_route_failed(struct vh_route_target *t, int64_t now_ms, GRand *rng)
{
	int64_t open = OPEN_BASE_MS;

	t->failures++;
	if (t->failures < FAILURES_TO_OPEN)
		return;
	for (uint32_t i = FAILURES_TO_OPEN;
	     i < t->failures && open < OPEN_MAX_MS; i++)
		open *= 2;
	t->breaker_open_until_ms =
		now_ms +
		(int64_t)((double)open * g_rand_double_range(rng, 0.5, 1.5));
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

void vh_retry_budget_init(struct vh_retry_budget *b)
{
	b->tokens = RETRY_BURST;
}

void vh_retry_budget_request(struct vh_retry_budget *b)
{
	b->tokens += RETRY_RATIO;
	if (b->tokens > RETRY_BURST)
		b->tokens = RETRY_BURST;
}

bool vh_retry_budget_take(struct vh_retry_budget *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
