#include "publish.h"

#include "nodes.h"
#include "print.h"

#define SETTLE_MAX_S 60 /* for settling an answer that was lost */
#define SETTLE_PAUSE_MS 500
#define WAIT_MAX_S 30 /* for a version to be in force everywhere */
#define WAIT_PAUSE_MS 200

/** enum fate - what the history says about a publish */
enum fate {
	FATE_UNKNOWN, /* neither it nor another one from its base is there */
	FATE_WON,
	FATE_LOST /* another publish from the same base is there */
};

/* One publish under way. */
struct publish {
	struct ctl *c;
	uint64_t base;
	struct vh_slice text;
	char id[40];
	bool may_have_arrived;
	uint64_t version;
};

static enum fate history_fate(struct publish *p)
{
	struct ctl_response answer;
	enum fate fate = FATE_UNKNOWN;
	json_t *json = NULL;
	json_t *item;
	size_t i;

	if (ctl_get(p->c, NULL, "/v1/config/history", &answer) &&
	    answer.status == 200)
		json = ctl_response_json(&answer);
	json_array_foreach(json_object_get(json, "versions"), i, item)
	{
		json_int_t version = 0;
		json_int_t base = -1;
		const char *id = "";

		json_unpack(item, "{s?I,s?I,s?s}", "version", &version, "base",
			    &base, "id", &id);
		if (!strcmp(id, p->id)) {
			p->version = (uint64_t)version;
			fate = FATE_WON;
			break;
		}
		if (base == (json_int_t)p->base)
			fate = FATE_LOST;
	}
	json_decref(json);
	ctl_response_finish(&answer);
	return fate;
}

static void explain_conflict(struct publish *p,
			     const struct ctl_response *answer)
{
	json_t *json = ctl_response_json(answer);
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
	if (p->c->json && json)
		print_json(p->c, json);
	json_decref(json);
}

static void explain_problems(struct publish *p,
			     const struct ctl_response *answer)
{
	json_t *json = ctl_response_json(answer);
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
	if (p->c->json && json)
		print_json(p->c, json);
	json_decref(json);
}

static bool is_unsettled(const struct ctl_response *answer)
{
	json_t *json;
	const char *kind = "";
	bool unknown;

	if (!answer->status)
		return answer->sent;
	if (answer->status < 500)
		return false;
	json = ctl_response_json(answer);
	if (json)
		json_unpack(json, "{s:{s:s}}", "error", "kind", &kind);
	/* a 5xx that does not say "not run" may have published */
	unknown = strcmp(kind, "log_unavailable") != 0 &&
		  strcmp(kind, "not_ready") != 0 &&
		  strcmp(kind, "draining") != 0;
	json_decref(json);
	return unknown;
}

/* Sends once; sets *@settled when the result is known. Returns exit code. */
static int publish_once(struct publish *p, bool *settled)
{
	char *path =
		g_strdup_printf("/v1/config?base=%" G_GUINT64_FORMAT, p->base);
	struct ctl_request request = {
		.post = true, .path = path, .body = p->text, .publish_id = p->id
	};
	struct ctl_response answer;
	int code = CTL_OK;

	*settled = true;
	ctl_send_request(p->c, &request, &answer);
	g_free(path);
	if (answer.status == 200) {
		json_t *json = ctl_response_json(&answer);
		json_int_t version = 0;

		if (json)
			json_unpack(json, "{s:I}", "version", &version);
		p->version = (uint64_t)version;
		json_decref(json);
	} else if (answer.status == 409 && p->may_have_arrived &&
		   history_fate(p) == FATE_WON) {
		code = CTL_OK;
	} else if (answer.status == 409) {
		explain_conflict(p, &answer);
		code = CTL_CONFLICT;
	} else if (is_unsettled(&answer)) {
		p->may_have_arrived = true;
		*settled = false;
	} else if (p->may_have_arrived && answer.status != 422) {
		*settled = false; /* this try failed, an earlier one may not */
	} else {
		code = ctl_report_error(p->c, &answer);
		if (answer.status == 422)
			explain_problems(p, &answer);
	}
	ctl_response_finish(&answer);
	return code;
}

static void make_id(char *id, size_t size)
{
	g_snprintf(id, size, "p-%08x%08x%08x", g_random_int(), g_random_int(),
		   g_random_int());
}

int publish_objects(struct ctl *c, uint64_t base, struct vh_slice text,
		    uint64_t *version)
{
	struct publish p = { .c = c, .base = base, .text = text };
	gint64 end = g_get_monotonic_time() + SETTLE_MAX_S * G_USEC_PER_SEC;
	bool settled;
	int code;

	make_id(p.id, sizeof(p.id));
	do {
		code = publish_once(&p, &settled);
		if (!settled) {
			fprintf(c->err, "vhctl: the answer was lost; asking "
					"what became of the publish\n");
			ctl_sleep(c, SETTLE_PAUSE_MS);
			settled = history_fate(&p) == FATE_WON;
		}
	} while (!settled && g_get_monotonic_time() < end);
	*version = p.version;
	if (settled)
		return code;
	fprintf(c->err,
		"vhctl: not settled in %d s: look for the id %s in vhctl "
		"history once a node answers\n",
		SETTLE_MAX_S, p.id);
	return CTL_UNKNOWN_OUTCOME;
}

/* Number of live nodes that do not enforce @version yet. */
static size_t count_behind(struct ctl *c, const struct ctl_nodes *nodes,
			   uint64_t version, json_t *behind)
{
	json_array_clear(behind);
	for (size_t i = 0; i < nodes->n; i++) {
		const struct ctl_node *node = &nodes->items[i];
		int64_t has;

		if (ctl_node_is_dead(node))
			continue;
		has = ctl_node_fetch_version(c, node);
		if (has < (int64_t)version)
			json_array_append_new(
				behind, json_pack("{s:s,s:I}", "id", node->id,
						  "version", (json_int_t)has));
	}
	return json_array_size(behind);
}

static void print_behind(struct ctl *c, const json_t *behind, uint64_t version)
{
	json_t *item;
	size_t i;

	json_array_foreach(behind, i, item)
	{
		json_int_t has = -1;
		const char *id = "?";

		json_unpack(item, "{s:s,s:I}", "id", &id, "version", &has);
		if (has < 0)
			fprintf(c->err, "vhctl: node %s: no answer\n", id);
		else
			fprintf(c->err,
				"vhctl: node %s: enforces version "
				"%" G_GINT64_FORMAT ", not %" G_GUINT64_FORMAT
				"\n",
				id, (gint64)has, version);
	}
}

int publish_wait_in_force(struct ctl *c, uint64_t version)
{
	gint64 end = g_get_monotonic_time() + WAIT_MAX_S * G_USEC_PER_SEC;
	json_t *behind = json_array();
	int code = CTL_NOT_IN_FORCE;

	do {
		struct ctl_nodes nodes;
		bool found = ctl_nodes_discover(c, &nodes) == CTL_OK;

		if (found && !count_behind(c, &nodes, version, behind))
			code = CTL_OK;
		ctl_nodes_finish(&nodes);
		if (code != CTL_OK)
			ctl_sleep(c, WAIT_PAUSE_MS);
	} while (code != CTL_OK && g_get_monotonic_time() < end);
	print_behind(c, behind, version);
	json_decref(behind);
	return code;
}

int publish_print_result(struct ctl *c, uint64_t version)
{
	int code = c->opt.wait ? publish_wait_in_force(c, version) : CTL_OK;
	const char *where = "published";
	json_t *json;

	if (c->opt.wait)
		where = code == CTL_OK ? "in force on every live node"
				       : "published, not in force everywhere";
	if (!c->json) {
		fprintf(c->out, "version %" G_GUINT64_FORMAT ": %s\n", version,
			where);
		return code;
	}
	json = json_pack("{s:I,s:s}", "version", (json_int_t)version, "state",
			 where);
	print_json(c, json);
	json_decref(json);
	return code;
}

int fetch_objects(struct ctl *c, struct ctl_response *answer)
{
	ctl_get(c, NULL, "/v1/config", answer);
	if (answer->status == 200)
		return CTL_OK;
	return ctl_report_error(c, answer);
}
