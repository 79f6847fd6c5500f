#ifndef VH_CORE_NODE_H
#define VH_CORE_NODE_H

#include "vh/core.h"

/**
 * struct vh_core_settings - what the core of a node needs to know
 * @operators: "IP:PORT" that operators reach this node by; told to the others
 * @appends_per_s: what all nodes together may append to the log
 * @retention_s: how long the platform's log keeps a record
 * All strings are copied.
 */
struct vh_core_settings {
	struct vh_slice id;
	struct vh_slice region;
	struct vh_slice zone;
	struct vh_slice operators;
	struct vh_slice log_address;
	uint16_t log_port;
	struct vh_slice vms_address;
	uint16_t vms_port;
	uint32_t appends_per_s;
	uint32_t retention_s;
};

/**
 * struct vh_core - services "vms", "config", "owners", "racks", "homes",
 *		    "jobs", "upstreams" and "status" of one node
 */
struct vh_core;

/* vh_core_new - adds its services to @kernel; @peer is borrowed */
struct vh_core *vh_core_new(const struct vh_core_settings *settings,
			    struct vh_kernel *kernel, struct vh_peer *peer);
void vh_core_free(struct vh_core *core);

#endif
