#ifndef VH_FLEET_H
#define VH_FLEET_H

#include "core_priv.h"
#include "vh/rack_index.h"

/*
 * What this node knows of all racks, its own and others': each node spreads a
 * digest with its heartbeats (where its operators' listener is, its version of
 * the objects, and summaries of its racks), and indexes the digests it hears.
 */
struct vh_fleet *fleet_new(struct vh_core *core);
void fleet_free(struct vh_fleet *f);
struct vh_service *fleet_service(struct vh_fleet *f);

/* A rack's number, UINT32_MAX if it has none yet; and back. */
uint32_t fleet_rack_index(const struct vh_fleet *f, struct vh_slice name);
struct vh_slice fleet_rack_name(const struct vh_fleet *f, uint32_t rack);

/* A region's number, made on first use; UINT32_MAX if there are too many. */
uint32_t fleet_region_index(struct vh_fleet *f, struct vh_slice name);

/* vh_rack_index_pick() and vh_rack_index_note_request() on the index. */
void fleet_pick_rack(struct vh_fleet *f, const struct vh_pick_request *want,
		     struct vh_pick *out);
void fleet_note_request(struct vh_fleet *f, uint32_t rack);

/* All that live workers hold together. */
void fleet_total_capacity(const struct vh_fleet *f, struct vh_res *out);

/**
 * struct fleet_node_digest - what a node's digest says
 * @operators: "IP:PORT" of its operators' listener, empty if not known
 */
struct fleet_node_digest {
	struct vh_slice operators;
	uint64_t version;
	int64_t config_age_ms; /* -1: never read */
};

/* False if @node has sent no readable digest; slices borrow from the node. */
bool fleet_node_digest_read(const struct vh_node *node,
			    struct fleet_node_digest *out);

#endif
