#ifndef VH_CORE_PRIV_H
#define VH_CORE_PRIV_H

/*
 * The state of a node's core, which connects its services, and helpers that
 * they share. Internal to the package: included by the header of each service.
 */

#include "append_limiter.h"
#include "log_stream.h"
#include "vh/claims.h"
#include "vh/core_node.h"
#include "vh/log_client.h"
#include "vh/vm_list.h"

struct vh_config;
struct vh_owners;
struct vh_racks;
struct vh_homes;
struct vh_jobs;
struct vh_upstreams;
struct vh_status;
struct vh_fleet;
struct vh_process_metrics;

struct vh_core {
	struct vh_kernel *kernel;
	struct vh_peer *peer;
	char *id;
	char *region;
	char *zone;
	char *operators; /* "IP:PORT" of the operators' listener, or NULL */
	char *writer;	 /* "ID/INCARNATION", the incarnation in hex */
	uint64_t incarnation;
	struct vh_log_client *log;
	struct vh_vm_list *vms;
	struct append_limiter append_limiter;
	struct vh_log_streams streams;
	struct vh_config *config;
	struct vh_owners *owners;
	struct vh_racks *racks;
	struct vh_fleet *fleet;
	struct vh_homes *homes;
	struct vh_jobs *jobs;
	struct vh_upstreams *upstreams;
	struct vh_status *status;
	struct vh_process_metrics *process_metrics;
};

/* The configuration objects in effect, or NULL. */
const struct vh_objects *core_objects(const struct vh_core *core);

/* This node's rank, from 0, in the rendezvous order of live nodes for @name. */
uint32_t core_rendezvous_rank(const struct vh_core *core, const char *name);

/* Whether @claim is held by this process (same node and incarnation). */
bool core_is_self(const struct vh_core *core, const struct vh_claim *claim);

#endif
