#include "advisors.h"

#include <string.h>

#define SHORT_CALL_MS 30.0  /* calls up to here have nodes of their own */
#define SHORT_SHARE 0.3	    /* of the nodes */
#define SHORT_SEEN_MS 10000 /* so long after the last short call */
#define AHEAD_MS 90.0	    /* a call is given so long before its turn */
#define EXTRA_STEP 0.2	    /* weight of a new call in what is learned */
#define OUT_MOST 16	    /* calls at one node; the service takes 32 */

int advisors_joined(struct advisors *a, double extra_ms)
{
	for (int i = 0; i < ADVISORS_MAX; i++) {
		if (a->items[i].present)
			continue;
		memset(&a->items[i], 0, sizeof(a->items[i]));
		a->items[i].present = true;
		a->items[i].extra_ms = extra_ms;
		return i;
	}
	return -1;
}

void advisors_left(struct advisors *a, int i)
{
	if (i >= 0)
		a->items[i].present = false;
}

static int count(const struct advisors *a)
{
	int n = 0;

	for (int i = 0; i < ADVISORS_MAX; i++)
		n += a->items[i].present;
	return n;
}

double advisors_backlog_ms(const struct advisors *a, int i, int64_t now_ms)
{
	const struct advisor *x = &a->items[i];
	double left = x->owed_ms - (double)(now_ms - x->since_ms);

	return x->out && left > 0 ? left : 0;
}

/* How many nodes, from the first on, take short calls only. */
static int kept_short(const struct advisors *a, int64_t now_ms)
{
	int n = count(a);
	int kept = (int)(n * SHORT_SHARE + 0.5);

	if (n <= 1 || now_ms - a->short_ms > SHORT_SEEN_MS)
		return 0;
	return kept < 1 ? 1 : kept;
}

static int least_busy(const struct advisors *a, bool is_short, int64_t now_ms)
{
	int kept = kept_short(a, now_ms);
	double best = 0;
	int found = -1;
	int seen = 0;

	for (int i = 0; i < ADVISORS_MAX; i++) {
		const struct advisor *x = &a->items[i];
		double b;

		if (!x->present || (seen++ < kept && !is_short))
			continue;
		b = advisors_backlog_ms(a, i, now_ms);
		if (x->out >= OUT_MOST || b >= AHEAD_MS)
			continue;
		b += x->extra_ms;
		if (found >= 0 && b >= best)
			continue;
		best = b;
		found = i;
	}
	return found;
}

bool advisors_free(const struct advisors *a, double cost_ms, int64_t now_ms)
{
	return least_busy(a, cost_ms <= SHORT_CALL_MS, now_ms) >= 0;
}

int advisors_choose(struct advisors *a, double cost_ms, int64_t now_ms)
{
	bool is_short = cost_ms <= SHORT_CALL_MS;
	int found;

	if (is_short)
		a->short_ms = now_ms;
	found = least_busy(a, is_short, now_ms);
	if (found < 0)
		return -1;
	if (!a->items[found].out)
		a->items[found].since_ms = now_ms;
	a->items[found].owed_ms += cost_ms;
	a->items[found].out++;
	return found;
}

void advisors_took(struct advisors *a, int i, double cost_ms, double took_ms)
{
	struct advisor *x = &a->items[i];
	double extra = took_ms > cost_ms ? took_ms - cost_ms : 0;

	x->extra_ms += EXTRA_STEP * (extra - x->extra_ms);
}

void advisors_answered(struct advisors *a, int i, double cost_ms,
		       int64_t now_ms)
{
	struct advisor *x = &a->items[i];

	x->owed_ms -= cost_ms;
	x->since_ms = now_ms;
	if (x->out)
		x->out--;
	if (!x->out || x->owed_ms < 0)
		x->owed_ms = 0;
}
