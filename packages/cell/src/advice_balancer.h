#ifndef CELL_ADVISORS_H
#define CELL_ADVISORS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADVICE_BALANCER_MAX_NODES \
	64 /* nodes that are asked; more are left alone */

/*
 * Which node makes which call to the policy service: decisions only.
 *
 * Load that it answers: the service answers one call at a time for each
 * calling machine, in turn. Calls of half a second come among calls of ten
 * milliseconds, whose work is worth nothing a second later, and in a burst
 * there are more calls than the service can answer. So some nodes are kept for
 * short calls, and a node is given the next call only shortly before it is
 * through with the last: what waits stays where it can be put in order.
 */

/**
 * struct advisor - a node that makes calls
 * @outstanding_ms: what its calls without an answer take the service
 * @since_ms: when the service began the first of them
 * @overhead_ms: what a call through this node takes beyond the service's time
 */
struct advisor {
	bool present;
	double outstanding_ms;
	int64_t since_ms;
	double overhead_ms;
	unsigned int out;
};

/**
 * struct advice_balancer
 * @last_short_call_ms: when a short call was last asked for
 */
struct advice_balancer {
	struct advisor items[ADVICE_BALANCER_MAX_NODES];
	int64_t last_short_call_ms;
};

/**
 * advice_balancer_assign - takes a node for a call
 * @cost_ms: how long the service takes for the call
 *
 * Returns the node's number, or -1 if all have enough to do; the call waits.
 */
int advice_balancer_assign(struct advice_balancer *a, double cost_ms,
			   int64_t now_ms);

/* advice_balancer_has_capacity - whether advice_balancer_assign() would find a node */
bool advice_balancer_has_capacity(const struct advice_balancer *a,
				  double cost_ms, int64_t now_ms);

/* advice_balancer_call_ended - node @i answered a call of @cost_ms, or failed to */
void advice_balancer_call_ended(struct advice_balancer *a, int i,
				double cost_ms, int64_t now_ms);

/* advice_balancer_record_latency - a call that found node @i idle took @took_ms in all */
void advice_balancer_record_latency(struct advice_balancer *a, int i,
				    double cost_ms, double took_ms);

/* advice_balancer_backlog_ms - how long until node @i is through with its calls */
double advice_balancer_backlog_ms(const struct advice_balancer *a, int i,
				  int64_t now_ms);

/* advice_balancer_add_node - returns the node's number, -1 if there is no place;
 * @overhead_ms: a first guess */
int advice_balancer_add_node(struct advice_balancer *a, double overhead_ms);
void advice_balancer_remove_node(struct advice_balancer *a, int i);

#endif
