#ifndef NODES_H
#define NODES_H

/*
 * Finds the nodes of the cell and merges what they return. Internal to the
 * package; called by cmd_inspect.c, cmd_report.c, report_data.c and publish.c.
 */

#include "client.h"

/**
 * struct ctl_node - a node of the cell
 * @endpoint: IP:PORT of its operators' listener, NULL if unknown
 * @state: as membership reports it; "alive" if not reported
 * @version: version of the objects it enforces; -1 if unknown
 */
struct ctl_node {
	char *id;
	char *endpoint;
	char *state;
	int64_t version;
};

/**
 * struct ctl_nodes - all nodes of the cell
 */
struct ctl_nodes {
	struct ctl_node *items;
	size_t n;
};

/**
 * ctl_nodes_discover - lists the nodes given by --nodes, or else those that a
 * server knows
 *
 * Returns CTL_OK, or another exit code after printing an error. Free @nodes
 * with ctl_nodes_finish() in either case.
 */
int ctl_nodes_discover(struct ctl *c, struct ctl_nodes *nodes);
void ctl_nodes_finish(struct ctl_nodes *nodes);

/* ctl_json_rows - the array in a response: @json itself if it is an array, else
 * its member @name; a borrowed reference */
json_t *ctl_json_rows(json_t *json, const char *name);

/* ctl_node_is_dead - whether membership considers the node dead */
bool ctl_node_is_dead(const struct ctl_node *node);

/**
 * ctl_node_fetch_version - requests the version that the node enforces
 *
 * Returns -1 if the node does not respond, and the version in @node if its
 * endpoint is unknown.
 */
int64_t ctl_node_fetch_version(struct ctl *c, const struct ctl_node *node);

/**
 * ctl_nodes_gather - concatenates the arrays that all live nodes return
 * @path: path to request
 * @member: name of the array
 * @json: {"@member":[...],"missing":[ID,...]}, a new reference
 *
 * Returns CTL_OK, or CTL_UNAVAILABLE if a live node did not respond; @json
 * then still has what the others returned.
 */
int ctl_nodes_gather(struct ctl *c, const char *path, const char *member,
		     json_t **json);

#endif
