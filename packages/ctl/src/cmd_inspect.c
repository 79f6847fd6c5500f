#include "nodes.h"
#include "print.h"

/* Prints the JSON that a server answers on @path. */
static int show(struct ctl *c, const char *endpoint, const char *path)
{
	struct ctl_response answer;
	json_t *json;
	int code = CTL_OK;

	ctl_get(c, endpoint, path, &answer);
	json = answer.status == 200 ? ctl_response_json(&answer) : NULL;
	if (json)
		print_value(c, json);
	else
		code = ctl_report_error(c, &answer);
	json_decref(json);
	ctl_response_finish(&answer);
	return code;
}

int cmd_status(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show(c, NULL, "/v1/status");
}

int cmd_nodes(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show(c, NULL, "/v1/nodes");
}

static int show_gathered(struct ctl *c, const char *path, const char *member)
{
	json_t *json;
	int code = ctl_nodes_gather(c, path, member, &json);

	if (c->json)
		print_json(c, json);
	else
		print_value(c, json_object_get(json, member));
	json_decref(json);
	return code;
}

int cmd_workers(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show_gathered(c, "/v1/workers", "workers");
}

int cmd_jobs(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return show_gathered(c, "/v1/jobs", "jobs");
}

int cmd_explain(struct ctl *c, int argc, char **argv)
{
	char *path;
	int code;

	if (argc != 1 || strspn(argv[0], "abcdefghijklmnopqrstuvwxyz"
					 "0123456789.-") != strlen(argv[0]))
		return ctl_usage_error(c, "explain needs the id of a job");
	path = g_strdup_printf("/v1/explain/%s", argv[0]);
	code = show(c, NULL, path);
	g_free(path);
	return code;
}

static int drain_node(struct ctl *c, const struct ctl_node *node)
{
	struct ctl_request request = { .endpoint = node->endpoint,
				       .post = true,
				       .path = "/v1/drain" };
	struct ctl_response answer;
	int code = CTL_OK;

	ctl_send_request(c, &request, &answer);
	if (answer.status / 100 == 2)
		fprintf(c->out, "node %s is draining\n", node->id);
	else
		code = ctl_report_error(c, &answer);
	ctl_response_finish(&answer);
	return code;
}

int cmd_drain(struct ctl *c, int argc, char **argv)
{
	struct ctl_nodes nodes;
	int code;

	if (argc != 1)
		return ctl_usage_error(c, "drain needs the id of a node");
	code = ctl_nodes_discover(c, &nodes);
	if (code == CTL_OK) {
		const struct ctl_node *found = NULL;

		for (size_t i = 0; i < nodes.n; i++) {
			if (!strcmp(nodes.items[i].id, argv[0]))
				found = &nodes.items[i];
		}
		if (found && found->endpoint) {
			code = drain_node(c, found);
		} else {
			fprintf(c->err,
				found ? "vhctl: the operators' listener of "
					"node %s is not known; use --nodes\n"
				      : "vhctl: there is no node %s\n",
				argv[0]);
			code = CTL_FAILED;
		}
	}
	ctl_nodes_finish(&nodes);
	return code;
}
