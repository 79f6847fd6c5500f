#ifndef VH_FAULT_SCHEDULE_H
#define VH_FAULT_SCHEDULE_H

/*
 * Generates random schedules of faults and repairs for soak tests. Internal to
 * the package: vh-standin-soak uses it.
 */

#include <glib.h>

#include "fleet.h"

/**
 * struct vh_fault_schedule_settings - the system under test and the timing
 * @nodes: number of nodes of the cell; their numbers start at 1
 * @fleet: workers of the cell
 * @duration_ms: length of the schedule; all faults are repaired by then
 * @gap_ms: mean time between the starts of two faults
 */
struct vh_fault_schedule_settings {
	uint32_t nodes;
	const struct vh_fleet *fleet;
	int64_t duration_ms;
	int64_t gap_ms;
	uint32_t seed;
};

/**
 * struct vh_fault_event - the start or the repair of a fault
 * @action: "node N kill", "node N start", "node N stop", "node N cont",
 *	  "log JSON", "workers JSON", "vms JSON", "publish N" or "withdraw N"
 */
struct vh_fault_event {
	int64_t at_ms;
	uint32_t serial; /* orders events with the same time */
	char *action;
};

/**
 * struct vh_fault_schedule - a random sequence of faults and repairs
 *
 * Performs no I/O; the same settings give the same schedule. Faults of
 * different components overlap, but a node, a rack and the log have at most
 * one fault at a time. At least one node stays healthy, unless all nodes are
 * replaced.
 */
struct vh_fault_schedule {
	GArray *events;
};

void vh_fault_schedule_init(struct vh_fault_schedule *s,
			    const struct vh_fault_schedule_settings *settings);
void vh_fault_schedule_finish(struct vh_fault_schedule *s);

#endif
