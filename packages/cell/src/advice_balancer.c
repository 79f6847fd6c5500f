#include "advice_balancer.h"

#include <string.h>

#define SHORT_CALL_MS 30.0  /* calls up to here have nodes of their own */
#define SHORT_SHARE 0.3	    /* of the nodes */
#define SHORT_SEEN_MS 10000 /* so long after the last short call */
#define AHEAD_MS 90.0	    /* a call is given so long before its turn */
#define EXTRA_STEP 0.2	    /* weight of a new call in what is learned */
#define OUT_MOST 16	    /* calls at one node; the service takes 32 */

int advice_balancer_add_node(struct advice_balancer *a, double overhead_ms)
{
	for (int i = 0; i < ADVICE_BALANCER_MAX_NODES; i++) {
		if (a->items[i].present)
			continue;
		memset(&a->items[i], 0, sizeof(a->items[i]));
		a->items[i].present = true;
		a->items[i].overhead_ms = overhead_ms;
		return i;
	}
	return -1;
}

void advice_balancer_remove_node(struct advice_balancer *a, int i)
{
	if (i >= 0)
		a->items[i].present = false;
}

static int count(const struct advice_balancer *a)
{
	int n = 0;

	for (int i = 0; i < ADVICE_BALANCER_MAX_NODES; i++)
		n += a->items[i].present;
	return n;
}

double advice_balancer_backlog_ms(const struct advice_balancer *a, int i,
				  int64_t now_ms)
{
	const struct advisor *x = &a->items[i];
	double left = x->outstanding_ms - (double)(now_ms - x->since_ms);

	return x->out && left > 0 ? left : 0;
}

/* How many nodes, from the first on, take short calls only. */
static int kept_short(const struct advice_balancer *a, int64_t now_ms)
{
	int n = count(a);
	int kept = (int)(n * SHORT_SHARE + 0.5);

	if (n <= 1 || now_ms - a->last_short_call_ms > SHORT_SEEN_MS)
		return 0;
	return kept < 1 ? 1 : kept;
}

static int least_busy(const struct advice_balancer *a, bool is_short,
		      int64_t now_ms)
{
	int kept = kept_short(a, now_ms);
	double best = 0;
	int found = -1;
	int seen = 0;

	for (int i = 0; i < ADVICE_BALANCER_MAX_NODES; i++) {
		const struct advisor *x = &a->items[i];
		double b;

		if (!x->present || (seen++ < kept && !is_short))
			continue;
		b = advice_balancer_backlog_ms(a, i, now_ms);
		if (x->out >= OUT_MOST || b >= AHEAD_MS)
			continue;
		b += x->overhead_ms;
		if (found >= 0 && b >= best)
			continue;
		best = b;
		found = i;
	}
	return found;
}

bool advice_balancer_has_capacity(const struct advice_balancer *a,
				  double cost_ms, int64_t now_ms)
{
	return least_busy(a, cost_ms <= SHORT_CALL_MS, now_ms) >= 0;
}

int advice_balancer_assign(struct advice_balancer *a, double cost_ms,
			   int64_t now_ms)
{
	bool is_short = cost_ms <= SHORT_CALL_MS;
	int found;

	if (is_short)
		a->last_short_call_ms = now_ms;
	found = least_busy(a, is_short, now_ms);
	if (found < 0)
		return -1;
	if (!a->items[found].out)
		a->items[found].since_ms = now_ms;
	a->items[found].outstanding_ms += cost_ms;
	a->items[found].out++;
	return found;
}

void advice_balancer_record_latency(struct advice_balancer *a, int i,
				    double cost_ms, double took_ms)
{
	struct advisor *x = &a->items[i];
	double extra = took_ms > cost_ms ? took_ms - cost_ms : 0;

	x->overhead_ms += EXTRA_STEP * (extra - x->overhead_ms);
}

void advice_balancer_call_ended(struct advice_balancer *a, int i,
				double cost_ms, int64_t now_ms)
{
	struct advisor *x = &a->items[i];

	x->outstanding_ms -= cost_ms;
	x->since_ms = now_ms;
	if (x->out)
		x->out--;
	if (!x->out || x->outstanding_ms < 0)
		x->outstanding_ms = 0;
}
