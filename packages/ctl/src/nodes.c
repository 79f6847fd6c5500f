#include "nodes.h"

static struct ctl_node *nodes_append(struct ctl_nodes *nodes)
{
	struct ctl_node *node;

	nodes->items = g_renew(struct ctl_node, nodes->items, nodes->n + 1);
	node = &nodes->items[nodes->n++];
	memset(node, 0, sizeof(*node));
	node->version = -1;
	return node;
}

static void nodes_from_option(struct ctl *c, struct ctl_nodes *nodes)
{
	char **items = g_strsplit(c->opt.nodes, ",", -1);

	for (size_t i = 0; items[i]; i++) {
		struct ctl_node *node = nodes_append(nodes);

		node->id = g_strdup(g_strstrip(items[i]));
		node->endpoint = g_strdup(node->id);
		node->state = g_strdup("alive");
	}
	g_strfreev(items);
}

json_t *ctl_json_rows(json_t *json, const char *name)
{
	return json_is_array(json) ? json : json_object_get(json, name);
}

static void nodes_from_json(struct ctl *c, struct ctl_nodes *nodes,
			    json_t *json)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(json, "nodes"), i, item)
	{
		struct ctl_node *node = nodes_append(nodes);
		const char *id = "?";
		const char *state = "alive";
		const char *endpoint = NULL;
		json_int_t version = -1;

		json_unpack(item, "{s?s,s?s,s?s,s?I}", "id", &id, "state",
			    &state, "operators", &endpoint, "version",
			    &version);
		node->id = g_strdup(id);
		node->state = g_strdup(state);
		if (endpoint && !*endpoint)
			endpoint = NULL;
		/* the first entry is the node that responded */
		if (!endpoint && i == 0 && !strchr(c->opt.server, ','))
			endpoint = c->opt.server;
		node->endpoint = g_strdup(endpoint);
		node->version = version;
	}
}

int ctl_nodes_discover(struct ctl *c, struct ctl_nodes *nodes)
{
	struct ctl_response response;
	int code = CTL_OK;
	json_t *json;

	memset(nodes, 0, sizeof(*nodes));
	if (c->opt.nodes) {
		nodes_from_option(c, nodes);
		return CTL_OK;
	}
	ctl_get(c, NULL, "/v1/nodes", &response);
	json = response.status == 200 ? ctl_response_json(&response) : NULL;
	if (json)
		nodes_from_json(c, nodes, json);
	else
		code = ctl_report_error(c, &response);
	json_decref(json);
	ctl_response_finish(&response);
	return code;
}

void ctl_nodes_finish(struct ctl_nodes *nodes)
{
	for (size_t i = 0; i < nodes->n; i++) {
		g_free(nodes->items[i].id);
		g_free(nodes->items[i].endpoint);
		g_free(nodes->items[i].state);
	}
	g_free(nodes->items);
	memset(nodes, 0, sizeof(*nodes));
}

bool ctl_node_is_dead(const struct ctl_node *node)
{
	return !strcmp(node->state, "dead");
}

int64_t ctl_node_fetch_version(struct ctl *c, const struct ctl_node *node)
{
	struct ctl_response response;
	json_int_t version = -1;
	json_t *json;

	if (!node->endpoint)
		return node->version;
	ctl_get(c, node->endpoint, "/v1/status", &response);
	json = response.status == 200 ? ctl_response_json(&response) : NULL;
	if (json)
		json_unpack(json, "{s:I}", "version", &version);
	json_decref(json);
	ctl_response_finish(&response);
	return version;
}

static bool append_node_items(struct ctl *c, const struct ctl_node *node,
			      const char *path, const char *member, json_t *all)
{
	struct ctl_response response;
	json_t *json = NULL;
	json_t *items;

	if (!node->endpoint)
		return false;
	if (ctl_get(c, node->endpoint, path, &response) &&
	    response.status == 200)
		json = ctl_response_json(&response);
	items = ctl_json_rows(json, member);
	if (items)
		json_array_extend(all, items);
	json_decref(json);
	ctl_response_finish(&response);
	return items != NULL;
}

int ctl_nodes_gather(struct ctl *c, const char *path, const char *member,
		     json_t **json)
{
	json_t *all = json_array();
	json_t *missing = json_array();
	struct ctl_nodes nodes;
	int code = ctl_nodes_discover(c, &nodes);

	for (size_t i = 0; i < nodes.n; i++) {
		const struct ctl_node *node = &nodes.items[i];

		if (ctl_node_is_dead(node) ||
		    append_node_items(c, node, path, member, all))
			continue;
		fprintf(c->err, "vhctl: no response from node %s%s\n", node->id,
			node->endpoint ? ""
				       : ": its operators' listener is "
					 "unknown; name it by --nodes");
		json_array_append_new(missing, json_string(node->id));
		code = CTL_UNAVAILABLE;
	}
	*json = json_pack("{s:o,s:o}", member, all, "missing", missing);
	ctl_nodes_finish(&nodes);
	return code;
}
