#ifndef CELL_ADVICE_BALANCER_H
#define CELL_ADVICE_BALANCER_H

/*
 * Assigns calls to the policy service to nodes. Does no I/O. Internal to the
 * package; called by owner_advice.c.
 *
 * The service processes one call at a time per calling machine, in order of
 * arrival. Calls of half a second are mixed with calls of ten milliseconds for
 * jobs that are worthless a second later, and a burst exceeds the service's
 * capacity. Therefore some nodes are reserved for short calls, and a node gets
 * its next call only shortly before the previous one ends, so that waiting
 * calls stay with the owner, which can reorder them.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADVICE_BALANCER_MAX_NODES 64 /* further nodes get no calls */

/**
 * struct balancer_node - a node that calls the policy service
 * @outstanding_ms: total service time of its unanswered calls
 * @since_ms: when the service began the oldest of these calls, as estimated:
 *	      when it was assigned or when the previous call ended
 * @overhead_ms: time that a call through this node takes beyond the service
 *		 time
 */
struct balancer_node {
	bool present;
	double outstanding_ms;
	int64_t since_ms;
	double overhead_ms;
	unsigned int calls_out;
};

/**
 * struct advice_balancer - state of the balancer
 * @last_short_call_ms: when a node for a short call was last requested
 */
struct advice_balancer {
	struct balancer_node nodes[ADVICE_BALANCER_MAX_NODES];
	int64_t last_short_call_ms;
};

/**
 * advice_balancer_assign - assigns a call to a node
 * @cost_ms: expected service time of the call
 *
 * Returns the node's index, or -1 if all nodes are busy and the call has to
 * wait.
 */
int advice_balancer_assign(struct advice_balancer *b, double cost_ms,
			   int64_t now_ms);

/* advice_balancer_has_capacity - whether a call would be assigned now */
bool advice_balancer_has_capacity(const struct advice_balancer *b,
				  double cost_ms, int64_t now_ms);

/* advice_balancer_call_ended - a call at node @i succeeded or failed */
void advice_balancer_call_ended(struct advice_balancer *b, int i,
				double cost_ms, int64_t now_ms);

/**
 * advice_balancer_record_latency - updates the overhead of node @i
 * @took_ms: total time of a call that was assigned while the node was idle
 */
void advice_balancer_record_latency(struct advice_balancer *b, int i,
				    double cost_ms, double took_ms);

/* advice_balancer_backlog_ms - time until node @i has finished its calls */
double advice_balancer_backlog_ms(const struct advice_balancer *b, int i,
				  int64_t now_ms);

/**
 * advice_balancer_add_node - adds a node
 * @overhead_ms: initial estimate
 *
 * Returns the node's index, or -1 if the table is full.
 */
int advice_balancer_add_node(struct advice_balancer *b, double overhead_ms);
void advice_balancer_remove_node(struct advice_balancer *b, int i);

#endif
