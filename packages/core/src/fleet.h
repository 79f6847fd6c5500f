#ifndef VH_FLEET_H
#define VH_FLEET_H

/*
 * Service "fleet": the index of all racks that this node knows, its own and
 * those of others. Internal to the package: homes pick racks with it, and the
 * service "status" reads the digests of the nodes.
 */

#include "core_priv.h"
#include "vh/rack_index.h"

/*
 * Each node publishes a digest with its heartbeats (the address of its
 * operators' listener, its configuration version, and summaries of its racks)
 * and indexes the digests that it receives.
 */
struct vh_fleet *fleet_new(struct vh_core *core);
void fleet_free(struct vh_fleet *f);
struct vh_service *fleet_service(struct vh_fleet *f);

/* Index of a rack, UINT32_MAX if unknown, and the name for an index. */
uint32_t fleet_rack_index(const struct vh_fleet *f, struct vh_slice name);
struct vh_slice fleet_rack_name(const struct vh_fleet *f, uint32_t rack);

/* Index of a region, assigned on first use; UINT32_MAX if the table is full. */
uint32_t fleet_region_index(struct vh_fleet *f, struct vh_slice name);

/* vh_rack_index_pick() and vh_rack_index_note_request() for this index. */
void fleet_pick_rack(struct vh_fleet *f, const struct vh_pick_request *want,
		     struct vh_pick *out);
void fleet_note_request(struct vh_fleet *f, uint32_t rack);

/* Total capacity of all listed workers that are not gone. */
void fleet_total_capacity(const struct vh_fleet *f, struct vh_res *out);

/**
 * struct fleet_node_digest - the node's own data in its digest
 * @operators: "IP:PORT" of its operators' listener, empty if not known
 */
struct fleet_node_digest {
	struct vh_slice operators;
	uint64_t version;
	int64_t config_age_ms; /* -1: the configuration was never read */
};

/* Returns false if @node has no readable digest. Slices point into @node. */
bool fleet_node_digest_read(const struct vh_node *node,
			    struct fleet_node_digest *out);

#endif
