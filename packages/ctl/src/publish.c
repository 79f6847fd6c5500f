#include "publish.h"

#include "nodes.h"
#include "print.h"

#define RESOLVE_TIMEOUT_S 60 /* for finding the outcome of a publish */
#define RESOLVE_RETRY_MS 500
#define WAIT_TIMEOUT_S 30 /* for a version to be in force on all live nodes */
#define WAIT_POLL_MS 200

/** enum publish_outcome - outcome of a publish according to the history */
enum publish_outcome {
	OUTCOME_UNKNOWN, /* no history, or it has no publish with this base */
	OUTCOME_PUBLISHED,
	OUTCOME_SUPERSEDED /* the history has another publish with this base */
};

/* A publish whose outcome may not be known yet. */
struct publish_operation {
	struct ctl *c;
	uint64_t base;
	struct vh_slice text;
	char id[40];
	bool maybe_delivered;
	uint64_t version;
};

static enum publish_outcome find_outcome_in_history(struct publish_operation *p)
{
	struct ctl_response response;
	enum publish_outcome outcome = OUTCOME_UNKNOWN;
	json_t *json = NULL;
	json_t *item;
	size_t i;

	if (ctl_get(p->c, NULL, "/v1/config/history", &response) &&
	    response.status == 200)
		json = ctl_response_json(&response);
	json_array_foreach(json_object_get(json, "versions"), i, item)
	{
		json_int_t version = 0;
		json_int_t base = -1;
		const char *id = "";

		json_unpack(item, "{s?I,s?I,s?s}", "version", &version, "base",
			    &base, "id", &id);
		if (!strcmp(id, p->id)) {
			p->version = (uint64_t)version;
			outcome = OUTCOME_PUBLISHED;
			break;
		}
		if (base == (json_int_t)p->base)
			outcome = OUTCOME_SUPERSEDED;
	}
	json_decref(json);
	ctl_response_finish(&response);
	return outcome;
}

static void print_conflict(struct publish_operation *p,
			   const struct ctl_response *response)
{
	json_t *json = ctl_response_json(response);
	json_t *differs = json_object_get(json, "differs");
	json_int_t version = 0;
	json_t *item;
	size_t i;

	if (json)
		json_unpack(json, "{s?I}", "version", &version);
	fprintf(p->c->err,
		"vhctl: not published: made from version %" G_GUINT64_FORMAT
		", but version %" G_GINT64_FORMAT " is in force\n",
		p->base, (gint64)version);
	json_array_foreach(differs, i, item) fprintf(
		p->c->err, "  differs: [%s]\n",
		json_string_value(item) ? json_string_value(item) : "?");
	if (p->c->json_output && json)
		print_json(p->c, json);
	json_decref(json);
}

static void print_response_problems(struct publish_operation *p,
				    const struct ctl_response *response)
{
	json_t *json = ctl_response_json(response);
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(json, "problems"), i, item)
	{
		const char *group = "";
		const char *key = NULL;
		const char *text = "";

		json_unpack(item, "{s?s,s?s,s?s}", "group", &group, "key", &key,
			    "text", &text);
		fprintf(p->c->err, "[%s]%s%s: %s\n", group, key ? " " : "",
			key ? key : "", text);
	}
	if (p->c->json_output && json)
		print_json(p->c, json);
	json_decref(json);
}

static bool is_outcome_unknown(const struct ctl_response *response)
{
	json_t *json;
	const char *kind = "";
	bool unknown;

	if (!response->status)
		return response->maybe_delivered;
	if (response->status < 500)
		return false;
	json = ctl_response_json(response);
	if (json)
		json_unpack(json, "{s:{s:s}}", "error", "kind", &kind);
	/* any other 5xx may have been sent after the publish took effect */
	unknown = strcmp(kind, "log_unavailable") != 0 &&
		  strcmp(kind, "not_ready") != 0 &&
		  strcmp(kind, "draining") != 0;
	json_decref(json);
	return unknown;
}

/* Sends the publish once; @resolved tells whether its outcome is known. Returns
 * the exit code if it is. */
static int publish_once(struct publish_operation *p, bool *resolved)
{
	char *path =
		g_strdup_printf("/v1/config?base=%" G_GUINT64_FORMAT, p->base);
	struct ctl_request request = {
		.post = true, .path = path, .body = p->text, .publish_id = p->id
	};
	struct ctl_response response;
	int code = CTL_OK;

	*resolved = true;
	ctl_send_request(p->c, &request, &response);
	g_free(path);
	if (response.status == 200) {
		json_t *json = ctl_response_json(&response);
		json_int_t version = 0;

		if (json)
			json_unpack(json, "{s:I}", "version", &version);
		p->version = (uint64_t)version;
		json_decref(json);
	} else if (response.status == 409 && p->maybe_delivered &&
		   find_outcome_in_history(p) == OUTCOME_PUBLISHED) {
		code = CTL_OK;
	} else if (response.status == 409) {
		print_conflict(p, &response);
		code = CTL_CONFLICT;
	} else if (is_outcome_unknown(&response)) {
		p->maybe_delivered = true;
		*resolved = false;
	} else if (p->maybe_delivered && response.status != 422) {
		*resolved = false; /* an earlier attempt may have succeeded */
	} else {
		code = ctl_report_error(p->c, &response);
		if (response.status == 422)
			print_response_problems(p, &response);
	}
	ctl_response_finish(&response);
	return code;
}

static void make_publish_id(char *id, size_t size)
{
	g_snprintf(id, size, "p-%08x%08x%08x", g_random_int(), g_random_int(),
		   g_random_int());
}

int publish_objects(struct ctl *c, uint64_t base, struct vh_slice text,
		    uint64_t *version)
{
	struct publish_operation p = { .c = c, .base = base, .text = text };
	gint64 end =
		g_get_monotonic_time() + RESOLVE_TIMEOUT_S * G_USEC_PER_SEC;
	bool resolved;
	int code;

	make_publish_id(p.id, sizeof(p.id));
	do {
		code = publish_once(&p, &resolved);
		if (!resolved) {
			fprintf(c->err,
				"vhctl: the response was lost; checking "
				"the history for the publish\n");
			ctl_sleep(c, RESOLVE_RETRY_MS);
			resolved = find_outcome_in_history(&p) ==
				   OUTCOME_PUBLISHED;
		}
	} while (!resolved && g_get_monotonic_time() < end);
	*version = p.version;
	if (resolved)
		return code;
	fprintf(c->err,
		"vhctl: outcome unknown after %d s: look for the id %s in "
		"vhctl history once a node responds\n",
		RESOLVE_TIMEOUT_S, p.id);
	return CTL_UNKNOWN_OUTCOME;
}

/* Collects the live nodes that do not enforce @version yet; returns their
 * number. */
static size_t collect_lagging_nodes(struct ctl *c,
				    const struct ctl_nodes *nodes,
				    uint64_t version, json_t *lagging)
{
	json_array_clear(lagging);
	for (size_t i = 0; i < nodes->n; i++) {
		const struct ctl_node *node = &nodes->items[i];
		int64_t node_version;

		if (ctl_node_is_dead(node))
			continue;
		node_version = ctl_node_fetch_version(c, node);
		if (node_version < (int64_t)version)
			json_array_append_new(
				lagging,
				json_pack("{s:s,s:I}", "id", node->id,
					  "version", (json_int_t)node_version));
	}
	return json_array_size(lagging);
}

static void print_lagging_nodes(struct ctl *c, const json_t *lagging,
				uint64_t version)
{
	json_t *item;
	size_t i;

	json_array_foreach(lagging, i, item)
	{
		json_int_t node_version = -1;
		const char *id = "?";

		json_unpack(item, "{s:s,s:I}", "id", &id, "version",
			    &node_version);
		if (node_version < 0)
			fprintf(c->err, "vhctl: node %s: no response\n", id);
		else
			fprintf(c->err,
				"vhctl: node %s: enforces version "
				"%" G_GINT64_FORMAT ", not %" G_GUINT64_FORMAT
				"\n",
				id, (gint64)node_version, version);
	}
}

int publish_wait_in_force(struct ctl *c, uint64_t version)
{
	gint64 end = g_get_monotonic_time() + WAIT_TIMEOUT_S * G_USEC_PER_SEC;
	json_t *lagging = json_array();
	int code = CTL_NOT_IN_FORCE;

	do {
		struct ctl_nodes nodes;
		bool found = ctl_nodes_discover(c, &nodes) == CTL_OK;

		if (found &&
		    !collect_lagging_nodes(c, &nodes, version, lagging))
			code = CTL_OK;
		ctl_nodes_finish(&nodes);
		if (code != CTL_OK)
			ctl_sleep(c, WAIT_POLL_MS);
	} while (code != CTL_OK && g_get_monotonic_time() < end);
	print_lagging_nodes(c, lagging, version);
	json_decref(lagging);
	return code;
}

int publish_print_result(struct ctl *c, uint64_t version)
{
	int code = c->opt.wait ? publish_wait_in_force(c, version) : CTL_OK;
	const char *state = "published";
	json_t *json;

	if (c->opt.wait)
		state = code == CTL_OK ? "in force on every live node"
				       : "published, not in force everywhere";
	if (!c->json_output) {
		fprintf(c->out, "version %" G_GUINT64_FORMAT ": %s\n", version,
			state);
		return code;
	}
	json = json_pack("{s:I,s:s}", "version", (json_int_t)version, "state",
			 state);
	print_json(c, json);
	json_decref(json);
	return code;
}

int fetch_objects(struct ctl *c, struct ctl_response *response)
{
	ctl_get(c, NULL, "/v1/config", response);
	if (response->status == 200)
		return CTL_OK;
	return ctl_report_error(c, response);
}
