#include "vh/share.h"

#define WEIGHT_SCALE 1024

uint64_t vh_share_dominant(const struct vh_res *running,
			   const struct vh_res *fleet)
{
	uint64_t most = 0;

	for (int d = VH_CPU; d <= VH_ACCEL; d++) {
		uint64_t whole = fleet->v[d], part;

		if (!whole)
			continue;
		part = ((uint64_t)running->v[d] * VH_SHARE_SCALE + whole - 1) /
		       whole;
		most = part > most ? part : most;
	}
	return most;
}

uint64_t vh_share_weighted(uint64_t dominant, uint32_t weight)
{
	return dominant * WEIGHT_SCALE / (weight ? weight : 1);
}

/* One round of progressive filling: every team whose demand is at most its
 * weighted part gets its demand. @due of the other teams stays UINT64_MAX.
 * Returns whether a team got its demand. */
static bool satisfy_demands(struct vh_share_team *teams, size_t n,
			    uint64_t *left, uint64_t *weights)
{
	uint64_t part = *left, total_weight = *weights;
	bool any = false;

	for (size_t i = 0; i < n; i++) {
		struct vh_share_team *t = &teams[i];

		if (t->due != UINT64_MAX ||
		    t->demand * total_weight > part * t->weight)
			continue;
		t->due = t->demand;
		*left -= t->due;
		*weights -= t->weight;
		any = true;
	}
	return any;
}

void vh_share_max_min(struct vh_share_team *teams, size_t n)
{
	uint64_t left = VH_SHARE_SCALE, weights = 0;

	for (size_t i = 0; i < n; i++) {
		teams[i].due = UINT64_MAX;
		weights += teams[i].weight;
	}
	while (weights && satisfy_demands(teams, n, &left, &weights))
		;
	for (size_t i = 0; i < n; i++) {
		if (teams[i].due == UINT64_MAX)
			teams[i].due =
				weights ? left * teams[i].weight / weights : 0;
	}
}

/* Clears the buckets that become the newest ones up to @bucket. */
static void window_advance(struct vh_share_window *w, int64_t bucket)
{
	int64_t first = w->newest + 1;

	if (bucket - first >= VH_SHARE_BUCKETS)
		first = bucket - VH_SHARE_BUCKETS + 1;
	for (int64_t b = first; b <= bucket; b++) {
		w->got[b % VH_SHARE_BUCKETS] = 0;
		w->due[b % VH_SHARE_BUCKETS] = 0;
		w->ms[b % VH_SHARE_BUCKETS] = 0;
	}
	if (bucket > w->newest)
		w->newest = bucket;
}

void vh_share_window_add(struct vh_share_window *w, uint64_t got, uint64_t due,
			 int64_t ms, int64_t now_ms)
{
	int64_t bucket = now_ms / w->bucket_ms;

	window_advance(w, bucket);
	if (bucket <= w->newest - VH_SHARE_BUCKETS || ms <= 0)
		return;
	w->got[bucket % VH_SHARE_BUCKETS] += got * (uint64_t)ms;
	w->due[bucket % VH_SHARE_BUCKETS] += due * (uint64_t)ms;
	w->ms[bucket % VH_SHARE_BUCKETS] += (uint64_t)ms;
}

void vh_share_window_read(const struct vh_share_window *w, int64_t now_ms,
			  uint64_t *got, uint64_t *due)
{
	int64_t now = now_ms / w->bucket_ms;
	uint64_t ms = 0;

	*got = *due = 0;
	for (int64_t b = now - VH_SHARE_BUCKETS + 1; b <= w->newest; b++) {
		if (b < 0 || b <= w->newest - VH_SHARE_BUCKETS)
			continue;
		*got += w->got[b % VH_SHARE_BUCKETS];
		*due += w->due[b % VH_SHARE_BUCKETS];
		ms += w->ms[b % VH_SHARE_BUCKETS];
	}
	if (ms) {
		*got /= ms;
		*due /= ms;
	}
}

uint64_t vh_share_deviation(const struct vh_share_window *windows, size_t n,
			    int64_t now_ms)
{
	uint64_t deviation = 0, sum = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t got, due;

		vh_share_window_read(&windows[i], now_ms, &got, &due);
		deviation += got > due ? got - due : due - got;
		sum += due;
	}
	return sum ? deviation * VH_SHARE_SCALE / (2 * sum) : 0;
}
