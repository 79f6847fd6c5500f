#include "print.h"
#include "publish.h"
#include "object_set.h"
#include "vh/delta.h"

static json_t *object_counts_json(const struct ctl_object_set *set)
{
	const struct vh_objects *o = &set->objects;

	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "shares",
			 (json_int_t)o->n_shares, "limits",
			 (json_int_t)o->n_limits, "teams",
			 (json_int_t)o->n_teams, "keys", (json_int_t)o->n_keys,
			 "queues", (json_int_t)o->n_queues, "services",
			 (json_int_t)o->n_services);
}

int cmd_check(struct ctl *c, int argc, char **argv)
{
	struct ctl_object_set set;
	bool ok;

	if (argc < 1)
		return ctl_usage_error(c,
				       "check requires files or a directory");
	if (!ctl_object_set_read(c, &set, argv, argc))
		return CTL_FAILED;
	ok = set.ok;
	if (c->json_output) {
		json_t *json = json_pack("{s:b,s:o}", "ok", ok, "problems",
					 problems_json(&set.problems));

		if (ok)
			json_object_set_new(json, "objects",
					    object_counts_json(&set));
		print_json(c, json);
		json_decref(json);
	} else {
		print_problems(c, &set.problems);
		if (ok)
			fprintf(c->out, "no errors, %zu warnings\n",
				set.problems.n);
		else
			fprintf(c->out, "%zu errors\n", set.problems.n_errors);
	}
	ctl_object_set_finish(&set);
	return ok ? CTL_OK : CTL_INVALID;
}

static void print_lines(struct ctl *c, char prefix, struct vh_slice lines,
			struct vh_slice other)
{
	char *text = vh_slice_dup(lines);
	char *others = vh_slice_dup(other);
	char **a = g_strsplit(text, "\n", -1);
	char **b = g_strsplit(others, "\n", -1);

	for (size_t i = 0; a[i]; i++) {
		if (*a[i] && !g_strv_contains((const char *const *)b, a[i]))
			fprintf(c->out, "  %c %s\n", prefix, a[i]);
	}
	g_strfreev(a);
	g_strfreev(b);
	g_free(text);
	g_free(others);
}

/* Context of print_change(). */
struct diff_context {
	struct ctl *c;
	json_t *changes;
};

static void print_change(void *ctx, const struct vh_group_change *change)
{
	struct diff_context *d = ctx;
	char *group = vh_slice_dup(change->group);

	if (!d->c->json_output) {
		fprintf(d->c->out, "%s [%s]\n", vh_change_name(change->change),
			group);
		print_lines(d->c, '-', change->from, change->to);
		print_lines(d->c, '+', change->to, change->from);
	}
	json_array_append_new(
		d->changes,
		json_pack("{s:s,s:s,s:s%,s:s%}", "group", group, "change",
			  vh_change_name(change->change), "from",
			  change->from.len ? change->from.data : "",
			  change->from.len, "to",
			  change->to.len ? change->to.data : "",
			  change->to.len));
	g_free(group);
}

int cmd_diff(struct ctl *c, int argc, char **argv)
{
	struct diff_context d = { .c = c };
	struct ctl_response response;
	struct ctl_object_set set;
	int code;

	if (argc < 1)
		return ctl_usage_error(c, "diff requires files or a directory");
	if (!ctl_object_set_read(c, &set, argv, argc))
		return CTL_FAILED;
	print_problems(c, &set.problems);
	if (!set.ok) {
		ctl_object_set_finish(&set);
		return CTL_INVALID;
	}
	code = fetch_objects(c, &response);
	if (code == CTL_OK) {
		d.changes = json_array();
		vh_objects_diff(vh_buf_slice(&response.body),
				vh_buf_slice(&set.text), print_change, &d);
		if (c->json_output)
			print_json(c, d.changes);
		else if (!json_array_size(d.changes))
			fprintf(c->out,
				"no difference to version %" G_GUINT64_FORMAT
				"\n",
				response.version);
		json_decref(d.changes);
	}
	ctl_response_finish(&response);
	ctl_object_set_finish(&set);
	return code;
}

/* Determines the version that the set is based on: from --base, else from the
 * "# version" line in the files, else the version in force now. */
static int resolve_base_version(struct ctl *c, const struct ctl_object_set *set,
				uint64_t *base)
{
	struct ctl_response response;
	int code;

	if (c->opt.base_version >= 0 || set->base_version >= 0) {
		*base = (uint64_t)(c->opt.base_version >= 0
					   ? c->opt.base_version
					   : set->base_version);
		return CTL_OK;
	}
	code = fetch_objects(c, &response);
	*base = response.version;
	ctl_response_finish(&response);
	if (code == CTL_OK)
		fprintf(c->err,
			"vhctl: no --base and no \"# version\" line: based on "
			"version %" G_GUINT64_FORMAT ", in force now\n",
			*base);
	return code;
}

int cmd_publish(struct ctl *c, int argc, char **argv)
{
	struct ctl_object_set set;
	uint64_t version;
	uint64_t base;
	int code;

	if (argc < 1)
		return ctl_usage_error(c,
				       "publish requires files or a directory");
	if (!ctl_object_set_read(c, &set, argv, argc))
		return CTL_FAILED;
	print_problems(c, &set.problems);
	code = set.ok ? resolve_base_version(c, &set, &base) : CTL_INVALID;
	if (code == CTL_OK)
		code = publish_objects(c, base, vh_buf_slice(&set.text),
				       &version);
	ctl_object_set_finish(&set);
	return code == CTL_OK ? publish_print_result(c, version) : code;
}

int cmd_rollback(struct ctl *c, int argc, char **argv)
{
	struct ctl_response current;
	struct ctl_response old;
	uint64_t version;
	uint64_t version_to_restore;
	char *path;
	int code;

	if (argc != 1 ||
	    !vh_slice_to_u64(vh_slice_str(argv[0]), &version_to_restore))
		return ctl_usage_error(c, "rollback requires a version number");
	path = g_strdup_printf("/v1/config?version=%" G_GUINT64_FORMAT,
			       version_to_restore);
	ctl_get(c, NULL, path, &old);
	g_free(path);
	if (old.status != 200) {
		code = ctl_report_error(c, &old);
		ctl_response_finish(&old);
		return code;
	}
	code = fetch_objects(c, &current);
	if (code == CTL_OK)
		code = publish_objects(c,
				       c->opt.base_version >= 0
					       ? (uint64_t)c->opt.base_version
					       : current.version,
				       vh_buf_slice(&old.body), &version);
	ctl_response_finish(&current);
	ctl_response_finish(&old);
	return code == CTL_OK ? publish_print_result(c, version) : code;
}

/* Context of collect_group(): the groups to collect, and where to. */
struct object_filter {
	const char *kind;
	const char *name;
	struct vh_buf *out;
	json_t *list;
};

static void collect_group(void *ctx, const struct vh_group_change *change)
{
	struct object_filter *f = ctx;
	char *group = vh_slice_dup(change->group);
	char **parts = g_strsplit(group, " ", 2);
	char *name = parts[1] ? g_strndup(parts[1] + 1, strlen(parts[1]) - 2)
			      : g_strdup("");

	if ((!f->kind || !strcmp(parts[0], f->kind)) &&
	    (!f->name || !strcmp(name, f->name))) {
		char *keys = vh_slice_dup(change->to);
		char **lines = g_strsplit(g_strstrip(keys), "\n", -1);
		char *joined = g_strjoinv(", ", lines);

		vh_buf_printf(f->out, "[%s]\n%.*s", group,
			      VH_SLICE_ARGS(change->to));
		json_array_append_new(
			f->list, json_pack("{s:s,s:s,s:s}", "kind", parts[0],
					   "name", name, "keys", joined));
		g_free(joined);
		g_strfreev(lines);
		g_free(keys);
	}
	g_free(name);
	g_strfreev(parts);
	g_free(group);
}

static int fetch_filtered(struct ctl *c, int argc, char **argv,
			  struct ctl_response *response, struct vh_buf *out,
			  json_t *list)
{
	struct object_filter f = { .kind = argc > 0 ? argv[0] : NULL,
				   .name = argc > 1 ? argv[1] : NULL,
				   .out = out,
				   .list = list };
	int code = fetch_objects(c, response);

	if (code != CTL_OK)
		return code;
	vh_objects_diff(vh_slice(NULL, 0), vh_buf_slice(&response->body),
			collect_group, &f);
	if (f.name && !json_array_size(list)) {
		fprintf(c->err, "vhctl: there is no [%s \"%s\"]\n", f.kind,
			f.name);
		return CTL_FAILED;
	}
	return CTL_OK;
}

int cmd_get(struct ctl *c, int argc, char **argv)
{
	json_t *list = json_array();
	struct ctl_response response;
	struct vh_buf out;
	int code;

	vh_buf_init(&out);
	code = fetch_filtered(c, argc, argv, &response, &out, list);
	if (code == CTL_OK && c->json_output) {
		json_t *json = json_pack("{s:I,s:O}", "version",
					 (json_int_t)response.version,
					 "objects", list);

		print_json(c, json);
		json_decref(json);
	} else if (code == CTL_OK) {
		fprintf(c->out, "# version %" G_GUINT64_FORMAT "\n",
			response.version);
		fwrite(out.data ? out.data : "", 1, out.len, c->out);
	}
	vh_buf_finish(&out);
	json_decref(list);
	ctl_response_finish(&response);
	return code;
}

int cmd_list(struct ctl *c, int argc, char **argv)
{
	json_t *list = json_array();
	struct ctl_response response;
	struct vh_buf out;
	int code;

	vh_buf_init(&out);
	code = fetch_filtered(c, MIN(argc, 1), argv, &response, &out, list);
	if (code == CTL_OK)
		print_value(c, list);
	vh_buf_finish(&out);
	json_decref(list);
	ctl_response_finish(&response);
	return code;
}

int cmd_history(struct ctl *c, int argc, char **argv)
{
	char *path =
		g_strdup_printf("/v1/config/history?limit=%d", c->opt.limit);
	struct ctl_response response;
	json_t *json;
	int code = CTL_OK;

	(void)argc;
	(void)argv;
	ctl_get(c, NULL, path, &response);
	g_free(path);
	json = response.status == 200 ? ctl_response_json(&response) : NULL;
	if (json)
		print_value(c, json);
	else
		code = ctl_report_error(c, &response);
	json_decref(json);
	ctl_response_finish(&response);
	return code;
}
