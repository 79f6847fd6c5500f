#include "advice_balancer.h"

#include <string.h>

#define SHORT_CALL_MAX_MS 30.0	  /* longer calls may not use reserved nodes */
#define SHORT_NODES_SHARE 0.3	  /* share of nodes reserved for short calls */
#define SHORT_NODES_HOLD_MS 10000 /* reserved this long after a short call */
#define MAX_BACKLOG_MS 90.0	  /* a node with this backlog gets no calls */
#define OVERHEAD_WEIGHT 0.2	  /* weight of a sample in the moving average */
#define MAX_CALLS_OUT 16	  /* per node; the service accepts 32 */

int advice_balancer_add_node(struct advice_balancer *b, double overhead_ms)
{
	for (int i = 0; i < ADVICE_BALANCER_MAX_NODES; i++) {
		if (b->nodes[i].present)
			continue;
		memset(&b->nodes[i], 0, sizeof(b->nodes[i]));
		b->nodes[i].present = true;
		b->nodes[i].overhead_ms = overhead_ms;
		return i;
	}
	return -1;
}

void advice_balancer_remove_node(struct advice_balancer *b, int i)
{
	if (i >= 0)
		b->nodes[i].present = false;
}

static int count_nodes(const struct advice_balancer *b)
{
	int n = 0;

	for (int i = 0; i < ADVICE_BALANCER_MAX_NODES; i++)
		n += b->nodes[i].present;
	return n;
}

double advice_balancer_backlog_ms(const struct advice_balancer *b, int i,
				  int64_t now_ms)
{
	const struct balancer_node *node = &b->nodes[i];
	double remaining =
		node->outstanding_ms - (double)(now_ms - node->since_ms);

	return node->calls_out && remaining > 0 ? remaining : 0;
}

/* Returns how many nodes are reserved for short calls: those that come first
 * in the table. */
static int count_reserved_nodes(const struct advice_balancer *b, int64_t now_ms)
{
	int n = count_nodes(b);
	int n_reserved = (int)(n * SHORT_NODES_SHARE + 0.5);

	if (n <= 1 || now_ms - b->last_short_call_ms > SHORT_NODES_HOLD_MS)
		return 0;
	return n_reserved < 1 ? 1 : n_reserved;
}

static int find_least_busy(const struct advice_balancer *b, bool is_short,
			   int64_t now_ms)
{
	int n_reserved = count_reserved_nodes(b, now_ms);
	double best_wait = 0;
	int best = -1;
	int seen = 0;

	for (int i = 0; i < ADVICE_BALANCER_MAX_NODES; i++) {
		const struct balancer_node *node = &b->nodes[i];
		double backlog;

		if (!node->present || (seen++ < n_reserved && !is_short))
			continue;
		backlog = advice_balancer_backlog_ms(b, i, now_ms);
		if (node->calls_out >= MAX_CALLS_OUT ||
		    backlog >= MAX_BACKLOG_MS)
			continue;
		backlog += node->overhead_ms;
		if (best >= 0 && backlog >= best_wait)
			continue;
		best_wait = backlog;
		best = i;
	}
	return best;
}

bool advice_balancer_has_capacity(const struct advice_balancer *b,
				  double cost_ms, int64_t now_ms)
{
	return find_least_busy(b, cost_ms <= SHORT_CALL_MAX_MS, now_ms) >= 0;
}

int advice_balancer_assign(struct advice_balancer *b, double cost_ms,
			   int64_t now_ms)
{
	bool is_short = cost_ms <= SHORT_CALL_MAX_MS;
	int best;

	if (is_short)
		b->last_short_call_ms = now_ms;
	best = find_least_busy(b, is_short, now_ms);
	if (best < 0)
		return -1;
	if (!b->nodes[best].calls_out)
		b->nodes[best].since_ms = now_ms;
	b->nodes[best].outstanding_ms += cost_ms;
	b->nodes[best].calls_out++;
	return best;
}

void advice_balancer_record_latency(struct advice_balancer *b, int i,
				    double cost_ms, double took_ms)
{
	struct balancer_node *node = &b->nodes[i];
	double overhead = took_ms > cost_ms ? took_ms - cost_ms : 0;

	node->overhead_ms += OVERHEAD_WEIGHT * (overhead - node->overhead_ms);
}

void advice_balancer_call_ended(struct advice_balancer *b, int i,
				double cost_ms, int64_t now_ms)
{
	struct balancer_node *node = &b->nodes[i];

	node->outstanding_ms -= cost_ms;
	node->since_ms = now_ms;
	if (node->calls_out)
		node->calls_out--;
	if (!node->calls_out || node->outstanding_ms < 0)
		node->outstanding_ms = 0;
}
