#include <inttypes.h>

#include "config.h"
#include "process_metrics.h"
#include "fleet.h"
#include "homes.h"
#include "jobs.h"
#include "owners.h"
#include "racks.h"
#include "status.h"
#include "upstreams.h"

#define MAX_LOG_READERS 128
#define MIN_APPEND_INTERVAL_MS 5 /* between two appends to a stream */

const struct vh_objects *core_objects(const struct vh_core *core)
{
	return config_objects(core->config);
}

uint32_t core_rendezvous_rank(const struct vh_core *core, const char *name)
{
	uint64_t seed = vh_slice_hash(vh_slice_str(name), 0);
	uint64_t own = vh_slice_hash(vh_slice_str(core->id), seed);
	const struct vh_node *nodes;
	size_t n = vh_peer_nodes(core->peer, &nodes);
	uint32_t rank = 0;

	for (size_t i = 1; i < n; i++) {
		if (nodes[i].state == VH_NODE_ALIVE &&
		    vh_slice_hash(nodes[i].id, seed) < own)
			rank++;
	}
	return rank;
}

bool core_is_self(const struct vh_core *core, const struct vh_claim *claim)
{
	return claim->incarnation == core->incarnation &&
	       vh_slice_eq_str(claim->node, core->id);
}

static uint32_t count_live_nodes(void *ctx)
{
	struct vh_core *core = ctx;
	const struct vh_node *nodes;
	size_t n = vh_peer_nodes(core->peer, &nodes);
	uint32_t live = 1;

	for (size_t i = 1; i < n; i++)
		live += nodes[i].state != VH_NODE_DEAD;
	return live;
}

struct vh_core *vh_core_new(const struct vh_core_settings *settings,
			    struct vh_kernel *kernel, struct vh_peer *peer)
{
	struct vh_core *core = g_new0(struct vh_core, 1);

	core->kernel = kernel;
	core->peer = peer;
	core->id = vh_slice_dup(settings->id);
	core->region = vh_slice_dup(settings->region);
	core->zone = vh_slice_dup(settings->zone);
	if (settings->operators.len)
		core->operators = vh_slice_dup(settings->operators);
	core->incarnation = vh_peer_self(peer)->incarnation;
	core->writer =
		g_strdup_printf("%s/%" PRIx64, core->id, core->incarnation);
	core->log = vh_log_client_new(kernel, settings->log_address,
				      settings->log_port, MAX_LOG_READERS);
	append_limiter_init(&core->append_limiter, kernel,
			    vh_log_client_transport(core->log),
			    settings->appends_per_s, count_live_nodes, core);
	vh_log_streams_init(&core->streams, kernel,
			    &core->append_limiter.transport,
			    vh_slice_str(core->writer), MIN_APPEND_INTERVAL_MS,
			    (int64_t)settings->retention_s * VH_MS_PER_S);
	core->vms = vh_vm_list_new(kernel, settings->vms_address,
				   settings->vms_port);
	core->config = config_new(core);
	core->owners = owners_new(core);
	core->racks = racks_new(core);
	core->fleet = fleet_new(core);
	core->homes = homes_new(core);
	core->jobs = jobs_new(core);
	core->upstreams = upstreams_new(core);
	core->status = status_new(core);
	core->process_metrics = process_metrics_new(core);
	vh_kernel_add(kernel, vh_vm_list_service(core->vms));
	vh_kernel_add(kernel, config_service(core->config));
	vh_kernel_add(kernel, owners_service(core->owners));
	vh_kernel_add(kernel, racks_service(core->racks));
	vh_kernel_add(kernel, fleet_service(core->fleet));
	vh_kernel_add(kernel, homes_service(core->homes));
	vh_kernel_add(kernel, jobs_service(core->jobs));
	vh_kernel_add(kernel, upstreams_service(core->upstreams));
	vh_kernel_add(kernel, status_service(core->status));
	vh_kernel_add(kernel, process_metrics_service(core->process_metrics));
	return core;
}

void vh_core_free(struct vh_core *core)
{
	if (!core)
		return;
	process_metrics_free(core->process_metrics);
	status_free(core->status);
	upstreams_free(core->upstreams);
	jobs_free(core->jobs);
	homes_free(core->homes);
	fleet_free(core->fleet);
	racks_free(core->racks);
	owners_free(core->owners);
	config_free(core->config);
	vh_vm_list_free(core->vms);
	append_limiter_finish(&core->append_limiter);
	vh_log_client_free(core->log);
	g_free(core->id);
	g_free(core->region);
	g_free(core->zone);
	g_free(core->operators);
	g_free(core->writer);
	g_free(core);
}
