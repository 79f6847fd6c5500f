#include "team_limits.h"

#include "vh/objects.h"

static GArray *read_files(const char *dir, GError **err)
{
	GDir *d = g_dir_open(dir, 0, err);
	GArray *sources;
	const char *name;

	if (!d)
		return NULL;
	sources = g_array_new(FALSE, FALSE, sizeof(struct vh_ini_source));
	while ((name = g_dir_read_name(d))) {
		struct vh_ini_source source;
		char *path, *text = NULL;
		gsize len = 0;

		if (!g_str_has_suffix(name, ".ini"))
			continue;
		path = g_build_filename(dir, name, NULL);
		if (g_file_get_contents(path, &text, &len, NULL)) {
			source.file = vh_slice_str(g_strdup(name));
			source.text = vh_slice(text, len);
			g_array_append_val(sources, source);
		}
		g_free(path);
	}
	g_dir_close(d);
	return sources;
}

static void free_files(GArray *sources)
{
	for (unsigned int i = 0; i < sources->len; i++) {
		struct vh_ini_source *s =
			&g_array_index(sources, struct vh_ini_source, i);

		g_free((char *)s->file.data);
		g_free((char *)s->text.data);
	}
	g_array_free(sources, TRUE);
}

static void set_limits(struct vh_checker *c, const struct vh_objects *set,
		       int64_t now_ms)
{
	for (size_t i = 0; i < set->n_teams; i++) {
		const struct vh_team *t = &set->teams[i];
		struct vh_checker_limit limit;
		char *name;

		if (!t->limit)
			continue;
		limit.running = t->limit->running;
		limit.tasks = t->limit->tasks;
		name = vh_slice_dup(t->name);
		vh_checker_set_limit(c, name, &limit, now_ms);
		g_free(name);
	}
}

bool vh_team_limits_load(struct vh_checker *c, const char *dir, int64_t now_ms,
			 GError **err)
{
	GArray *sources = read_files(dir, err);
	struct vh_problems problems;
	struct vh_objects set;
	bool ok;

	if (!sources)
		return false;
	vh_problems_init(&problems);
	ok = vh_objects_load(&set, (const struct vh_ini_source *)sources->data,
			     sources->len, &problems);
	if (ok) {
		set_limits(c, &set, now_ms);
		vh_objects_finish(&set);
	} else {
		g_set_error(err, VH_ERROR, VH_ERR_INVALID_CONFIG, "%s: %s", dir,
			    problems.n ? problems.items[0].text : "no objects");
	}
	vh_problems_finish(&problems);
	free_files(sources);
	return ok;
}
