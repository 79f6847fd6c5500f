#ifndef VH_SCHEDULE_H
#define VH_SCHEDULE_H

#include <glib.h>

#include "fleet.h"

/**
 * struct vh_fault_schedule_settings - what a schedule may break
 * @nodes: nodes of the cell, numbered from 1
 * @fleet: its workers
 * @duration_ms: every fault is repaired by then
 * @gap_ms: mean time from one fault to the next
 */
struct vh_fault_schedule_settings {
	uint32_t nodes;
	const struct vh_fleet *fleet;
	int64_t duration_ms;
	int64_t gap_ms;
	uint32_t seed;
};

/**
 * struct vh_fault_event - one step
 * @action: "node N kill", "node N start", "node N stop", "node N cont",
 *	  "log JSON", "workers JSON", "vms JSON", "publish N" or "withdraw N"
 */
struct vh_fault_event {
	int64_t at_ms;
	uint32_t serial; /* keeps the order of events of one time */
	char *action;
};

/**
 * struct vh_fault_schedule - a seeded course of faults and repairs
 *
 * Pure: the same settings give the same schedule. Different faults overlap;
 * one VM, rack or the log has one fault at a time, and one node at least is
 * left alone unless all are replaced at once.
 */
struct vh_fault_schedule {
	GArray *events;
};

void vh_fault_schedule_init(struct vh_fault_schedule *s,
			    const struct vh_fault_schedule_settings *settings);
void vh_fault_schedule_finish(struct vh_fault_schedule *s);

#endif
