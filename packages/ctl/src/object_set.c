#include "object_set.h"

#include <stdlib.h>

#define VERSION_PREFIX "# version "

/* The names and contents of the files read so far. */
struct input_files {
	GPtrArray *names;
	GPtrArray *texts;
};

static void files_init(struct input_files *f)
{
	f->names = g_ptr_array_new_with_free_func(g_free);
	f->texts = g_ptr_array_new_with_free_func(g_free);
}

static void files_finish(struct input_files *f)
{
	g_ptr_array_free(f->names, TRUE);
	g_ptr_array_free(f->texts, TRUE);
}

static bool add_file(struct ctl *c, struct input_files *f, const char *path)
{
	GError *err = NULL;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, &err)) {
		fprintf(c->err, "vhctl: %s\n", err->message);
		g_error_free(err);
		return false;
	}
	g_ptr_array_add(f->names, g_strdup(path));
	g_ptr_array_add(f->texts, text);
	return true;
}

static bool add_stdin(struct input_files *f)
{
	struct vh_buf buf;
	size_t n;

	vh_buf_init(&buf);
	do {
		n = fread(vh_buf_reserve(&buf, 4096), 1, 4096, stdin);
		buf.len += n;
	} while (n);
	g_ptr_array_add(f->names, g_strdup("(standard input)"));
	g_ptr_array_add(f->texts, vh_slice_dup(vh_buf_slice(&buf)));
	vh_buf_finish(&buf);
	return true;
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static bool add_directory(struct ctl *c, struct input_files *f,
			  const char *path)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	bool ok = true;

	while (dir && (name = g_dir_read_name(dir))) {
		if (g_str_has_suffix(name, ".ini"))
			g_ptr_array_add(names,
					g_build_filename(path, name, NULL));
	}
	if (dir)
		g_dir_close(dir);
	if (names->len)
		qsort(names->pdata, names->len, sizeof(char *),
		      compare_strings);
	else
		fprintf(c->err, "vhctl: no *.ini files in %s\n", path);
	ok = names->len > 0;
	for (unsigned int i = 0; ok && i < names->len; i++)
		ok = add_file(c, f, names->pdata[i]);
	g_ptr_array_free(names, TRUE);
	return ok;
}

static int64_t parse_base_version(const char *text)
{
	const char *at = text;
	char *end;
	int64_t v;

	while (at && strncmp(at, VERSION_PREFIX, strlen(VERSION_PREFIX)) != 0) {
		at = strchr(at, '\n');
		if (at)
			at++;
	}
	if (!at)
		return -1;
	at += strlen(VERSION_PREFIX);
	v = (int64_t)g_ascii_strtoull(at, &end, 10);
	return end == at ? -1 : v;
}

static void object_set_load(struct ctl_object_set *set,
			    const struct vh_ini_source *sources, size_t n)
{
	memset(set, 0, sizeof(*set));
	set->base_version = -1;
	vh_problems_init(&set->problems);
	set->ok = vh_objects_load(&set->objects, sources, n, &set->problems);
	if (set->ok)
		vh_objects_render(&set->objects, &set->text);
}

bool ctl_object_set_read(struct ctl *c, struct ctl_object_set *set,
			 char **paths, int n)
{
	struct vh_ini_source *sources;
	struct input_files f;
	bool ok = true;

	files_init(&f);
	for (int i = 0; ok && i < n; i++) {
		if (!strcmp(paths[i], "-"))
			ok = add_stdin(&f);
		else if (g_file_test(paths[i], G_FILE_TEST_IS_DIR))
			ok = add_directory(c, &f, paths[i]);
		else
			ok = add_file(c, &f, paths[i]);
	}
	if (!ok) {
		files_finish(&f);
		return false;
	}
	sources = g_new0(struct vh_ini_source, f.names->len + 1);
	for (unsigned int i = 0; i < f.names->len; i++) {
		sources[i].file = vh_slice_str(f.names->pdata[i]);
		sources[i].text = vh_slice_str(f.texts->pdata[i]);
	}
	object_set_load(set, sources, f.names->len);
	for (unsigned int i = 0; i < f.texts->len && set->base_version < 0; i++)
		set->base_version = parse_base_version(f.texts->pdata[i]);
	g_free(sources);
	files_finish(&f);
	return true;
}

void ctl_object_set_parse(struct ctl_object_set *set, const char *name,
			  struct vh_slice text)
{
	struct vh_ini_source source = { vh_slice_str(name), text };

	object_set_load(set, &source, 1);
}

void ctl_object_set_finish(struct ctl_object_set *set)
{
	if (set->ok)
		vh_objects_finish(&set->objects);
	vh_problems_finish(&set->problems);
	vh_buf_finish(&set->text);
}
