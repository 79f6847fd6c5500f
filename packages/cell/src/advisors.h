#ifndef CELL_ADVISORS_H
#define CELL_ADVISORS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADVISORS_MAX 64 /* nodes that are asked; more are left alone */

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
 * @owed_ms: what its calls without an answer take the service
 * @since_ms: when the service began the first of them
 * @extra_ms: what a call through this node takes beyond the service's time
 */
struct advisor {
	bool present;
	double owed_ms;
	int64_t since_ms;
	double extra_ms;
	unsigned int out;
};

/**
 * struct advisors
 * @short_ms: when a short call was last asked for
 */
struct advisors {
	struct advisor items[ADVISORS_MAX];
	int64_t short_ms;
};

/**
 * advisors_choose - takes a node for a call
 * @cost_ms: how long the service takes for the call
 *
 * Returns the node's number, or -1 if all have enough to do; the call waits.
 */
int advisors_choose(struct advisors *a, double cost_ms, int64_t now_ms);

/* advisors_free - whether advisors_choose() would find a node */
bool advisors_free(const struct advisors *a, double cost_ms, int64_t now_ms);

/* advisors_answered - node @i answered a call of @cost_ms, or failed to */
void advisors_answered(struct advisors *a, int i, double cost_ms,
		       int64_t now_ms);

/* advisors_took - a call that found node @i idle took @took_ms in all */
void advisors_took(struct advisors *a, int i, double cost_ms, double took_ms);

/* advisors_backlog_ms - how long until node @i is through with its calls */
double advisors_backlog_ms(const struct advisors *a, int i, int64_t now_ms);

/* advisors_joined - returns the node's number, -1 if there is no place;
 * @extra_ms: a first guess */
int advisors_joined(struct advisors *a, double extra_ms);
void advisors_left(struct advisors *a, int i);

#endif
