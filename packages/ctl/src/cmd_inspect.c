#include "nodes.h"
#include "print.h"

/* Prints the JSON that a node returns on @path. */
static int print_path(struct ctl *c, const char *endpoint, const char *path)
{
	struct ctl_response response;
	json_t *json;
	int code = CTL_OK;

	ctl_get(c, endpoint, path, &response);
	json = response.status == 200 ? ctl_response_json(&response) : NULL;
	if (json)
		print_value(c, json);
	else
		code = ctl_report_error(c, &response);
	json_decref(json);
	ctl_response_finish(&response);
	return code;
}

int cmd_status(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return print_path(c, NULL, "/v1/status");
}

int cmd_nodes(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return print_path(c, NULL, "/v1/nodes");
}

static int print_gathered(struct ctl *c, const char *path, const char *member)
{
	json_t *json;
	int code = ctl_nodes_gather(c, path, member, &json);

	if (c->json_output)
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
	return print_gathered(c, "/v1/workers", "workers");
}

int cmd_jobs(struct ctl *c, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return print_gathered(c, "/v1/jobs", "jobs");
}

int cmd_explain(struct ctl *c, int argc, char **argv)
{
	char *path;
	int code;

	if (argc != 1 || strspn(argv[0], "abcdefghijklmnopqrstuvwxyz"
					 "0123456789.-") != strlen(argv[0]))
		return ctl_usage_error(c, "explain requires a job id");
	path = g_strdup_printf("/v1/explain/%s", argv[0]);
	code = print_path(c, NULL, path);
	g_free(path);
	return code;
}

static int drain_node(struct ctl *c, const struct ctl_node *node)
{
	struct ctl_request request = { .endpoint = node->endpoint,
				       .post = true,
				       .path = "/v1/drain" };
	struct ctl_response response;
	int code = CTL_OK;

	ctl_send_request(c, &request, &response);
	if (response.status / 100 == 2)
		fprintf(c->out, "node %s is draining\n", node->id);
	else
		code = ctl_report_error(c, &response);
	ctl_response_finish(&response);
	return code;
}

int cmd_drain(struct ctl *c, int argc, char **argv)
{
	struct ctl_nodes nodes;
	int code;

	if (argc != 1)
		return ctl_usage_error(c, "drain requires a node id");
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
					"node %s is unknown; use --nodes\n"
				      : "vhctl: unknown node %s\n",
				argv[0]);
			code = CTL_FAILED;
		}
	}
	ctl_nodes_finish(&nodes);
	return code;
}
