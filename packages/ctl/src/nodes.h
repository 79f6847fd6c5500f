#ifndef NODES_H
#define NODES_H

#include "client.h"

/**
 * struct ctl_node - a node to ask
 * @endpoint: IP:PORT of its operators' listener, NULL if not known
 * @state: as membership sees it, "alive" if not told
 * @version: of the objects it enforces; -1 if not known
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
 * ctl_nodes_discover - the nodes of --nodes, or those that a server knows
 *
 * Returns CTL_OK or, after a message, an exit code. To be given back with
 * ctl_nodes_finish() either way.
 */
int ctl_nodes_discover(struct ctl *c, struct ctl_nodes *nodes);
void ctl_nodes_finish(struct ctl_nodes *nodes);

/* ctl_json_rows - the array that an answer of rows holds: bare, or as the only
 * member or the member @name of an object; borrowed */
json_t *ctl_json_rows(json_t *json, const char *name);

/* ctl_node_is_dead - whether membership has given it up */
bool ctl_node_is_dead(const struct ctl_node *node);

/* ctl_node_fetch_version - asks the node itself; -1: no answer */
int64_t ctl_node_fetch_version(struct ctl *c, const struct ctl_node *node);

/**
 * ctl_nodes_gather - joins the arrays that all nodes answer on @path
 * @member: name of the array
 * @json: {"@member":[...],"missing":[ID,...]}, new
 *
 * Returns CTL_OK, or CTL_UNAVAILABLE if a live node gave no answer; what the
 * others gave is in @json all the same.
 */
int ctl_nodes_gather(struct ctl *c, const char *path, const char *member,
		     json_t **json);

#endif
