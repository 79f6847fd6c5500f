#ifndef VH_CORE_NODE_H
#define VH_CORE_NODE_H

/*
 * Creates the core of a node, which adds its services to the kernel. Called by
 * the daemon.
 */

#include "vh/core.h"

/**
 * struct vh_core_settings - settings of the core of a node
 * @operators: "IP:PORT" of this node's listener for operators, announced to the
 *	       other nodes
 * @appends_per_s: limit on log appends per second of all nodes together
 * @retention_s: how long the platform's log retains a record
 *
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
 * struct vh_core - services "vms", "config", "owners", "racks", "fleet",
 *		    "homes", "jobs", "upstreams", "status" and "cost" of a node
 */
struct vh_core;

/* vh_core_new - adds the services to @kernel; @peer must outlive the core */
struct vh_core *vh_core_new(const struct vh_core_settings *settings,
			    struct vh_kernel *kernel, struct vh_peer *peer);
void vh_core_free(struct vh_core *core);

#endif
