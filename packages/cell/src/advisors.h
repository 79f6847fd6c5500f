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
 * milliseconds, whose work is worth nothing a second later. So some nodes are
 * kept for short calls, and each call goes where it will be answered first.
 */
struct advisor {
	bool present;
	double busy_until_ms; /* when what it was given is answered */
	unsigned int out;     /* calls it has not answered */
};

struct advisors {
	struct advisor items[ADVISORS_MAX];
};

/**
 * advisors_choose - takes a node for a call
 * @cost_ms: how long the service takes for the call
 *
 * Returns the node's number, or -1 if all have enough to do; the call waits.
 */
int advisors_choose(struct advisors *a, double cost_ms, int64_t now_ms);

/* advisors_answered - node @i answered a call, or failed to */
void advisors_answered(struct advisors *a, int i, int64_t now_ms);

/* advisors_joined - returns the node's number, -1 if there is no place */
int advisors_joined(struct advisors *a);
void advisors_left(struct advisors *a, int i);

#endif
