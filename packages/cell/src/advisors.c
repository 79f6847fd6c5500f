#include "advisors.h"

#include <string.h>

#define LONG_CALL_MS 120.0     /* calls from here on are kept apart */
#define SHORT_SHARE 0.35       /* of the nodes that take no long calls */
#define BACKLOG_MOST_MS 1500.0 /* a node is given no more than this */
#define OUT_MOST 20	       /* calls at one node; the service takes 32 */

int advisors_joined(struct advisors *a)
{
	for (int i = 0; i < ADVISORS_MAX; i++) {
		if (a->items[i].present)
			continue;
		memset(&a->items[i], 0, sizeof(a->items[i]));
		a->items[i].present = true;
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

static double backlog(const struct advisor *x, int64_t now_ms)
{
	double left = x->busy_until_ms - (double)now_ms;

	return x->out && left > 0 ? left : 0;
}

/* How many nodes, from the first on, take no long calls. */
static int kept_short(int n)
{
	int kept = (int)(n * SHORT_SHARE + 0.5);

	if (n <= 1)
		return 0;
	return kept < 1 ? 1 : kept;
}

int advisors_choose(struct advisors *a, double cost_ms, int64_t now_ms)
{
	int kept = kept_short(count(a));
	double best = BACKLOG_MOST_MS;
	int found = -1;
	int seen = 0;

	for (int i = 0; i < ADVISORS_MAX; i++) {
		struct advisor *x = &a->items[i];
		double b;

		if (!x->present)
			continue;
		if (cost_ms >= LONG_CALL_MS && seen++ < kept)
			continue;
		b = backlog(x, now_ms);
		if (x->out >= OUT_MOST || b >= best)
			continue;
		best = b;
		found = i;
	}
	if (found < 0)
		return -1;
	a->items[found].busy_until_ms = (double)now_ms + best + cost_ms;
	a->items[found].out++;
	return found;
}

void advisors_answered(struct advisors *a, int i, int64_t now_ms)
{
	struct advisor *x = &a->items[i];

	if (x->out)
		x->out--;
	if (!x->out)
		x->busy_until_ms = (double)now_ms;
}
