#include "vh/ini.h"

#include <stdlib.h>

/* State while the lines of one file are parsed. */
struct ini_parser {
	struct vh_ini *ini;
	struct vh_problems *problems;
	char *file;
	unsigned int line;
	struct vh_buf normalized; /* text passed to GKeyFile */
	char *group;		  /* header of the current group */
	bool skip;		  /* group is malformed or a duplicate */
	size_t first_group;	  /* index in ini->groups */
};

void vh_ini_init(struct vh_ini *ini)
{
	memset(ini, 0, sizeof(*ini));
	ini->key_files =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_key_file_free);
	ini->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void vh_ini_finish(struct vh_ini *ini)
{
	for (size_t i = 0; i < ini->n; i++) {
		g_free(ini->groups[i].file);
		g_free(ini->groups[i].group);
		g_free(ini->groups[i].kind);
		g_free(ini->groups[i].name);
	}
	g_free(ini->groups);
	g_ptr_array_free(ini->key_files, TRUE);
	g_hash_table_destroy(ini->seen);
	memset(ini, 0, sizeof(*ini));
}

static struct vh_ini_group *add_group(struct vh_ini *ini)
{
	struct vh_ini_group *g;

	if (ini->n == ini->cap) {
		ini->cap = ini->cap ? ini->cap * 2 : 16;
		ini->groups =
			g_renew(struct vh_ini_group, ini->groups, ini->cap);
	}
	g = &ini->groups[ini->n++];
	memset(g, 0, sizeof(*g));
	return g;
}

/* Splits kind "name" or kind; returns false if @header has neither form. */
static bool split_header(const char *header, char **kind, char **name)
{
	size_t len = strcspn(header, " \"");
	const char *rest = header + len;
	size_t quoted;

	*kind = NULL;
	*name = NULL;
	if (!len)
		return false;
	if (*rest) {
		if (strncmp(rest, " \"", 2) != 0)
			return false;
		rest += 2;
		quoted = strcspn(rest, "\"");
		if (strcmp(rest + quoted, "\"") != 0)
			return false;
		*name = g_strndup(rest, quoted);
	}
	*kind = g_strndup(header, len);
	return true;
}

static void parse_header(struct ini_parser *p, const char *line)
{
	size_t len = strlen(line);
	struct vh_ini_group *g;
	char *kind;
	char *name;

	g_free(p->group);
	p->group = g_strndup(line + 1, len > 1 ? len - 2 : 0);
	p->skip = true;
	if (line[len - 1] != ']' || strpbrk(p->group, "[]\t\r") ||
	    !split_header(p->group, &kind, &name)) {
		vh_problems_add(p->problems, false, p->file, p->group, NULL,
				"line %u: malformed group header; expected "
				"[kind] or [kind \"name\"]",
				p->line);
		return;
	}
	if (!g_hash_table_add(p->ini->seen, g_strdup(p->group))) {
		vh_problems_add(p->problems, false, p->file, p->group, NULL,
				"line %u: duplicate group; a name must be "
				"unique within its kind",
				p->line);
		g_free(kind);
		g_free(name);
		return;
	}
	p->skip = false;
	g = add_group(p->ini);
	g->file = g_strdup(p->file);
	g->group = g_strdup(p->group);
	g->kind = kind;
	g->name = name;
	g->line = p->line;
	vh_buf_printf(&p->normalized, "[%s]\n", p->group);
}

static bool key_is_valid(const char *key)
{
	if (!*key)
		return false;
	for (; *key; key++) {
		if (!g_ascii_islower(*key) && !g_ascii_isdigit(*key) &&
		    *key != '_')
			return false;
	}
	return true;
}

static void parse_key(struct ini_parser *p, char *line)
{
	char *eq = strchr(line, '=');
	char *key;

	if (!p->group) {
		vh_problems_add(p->problems, false, p->file, NULL, NULL,
				"line %u: precedes the first group header; "
				"expected [kind] or [kind \"name\"]",
				p->line);
		return;
	}
	if (!eq) {
		vh_problems_add(p->problems, false, p->file, p->group, NULL,
				"line %u: expected KEY = VALUE", p->line);
		return;
	}
	*eq = '\0';
	key = g_strstrip(line);
	if (!key_is_valid(key)) {
		vh_problems_add(p->problems, false, p->file, p->group, NULL,
				"line %u: malformed key; expected letters "
				"a-z, digits and _",
				p->line);
		return;
	}
	if (p->skip)
		return;
	if (!g_hash_table_add(p->ini->seen,
			      g_strdup_printf("%s\n%s", p->group, key))) {
		vh_problems_add(p->problems, false, p->file, p->group, key,
				"line %u: duplicate key; remove one", p->line);
		return;
	}
	vh_buf_printf(&p->normalized, "%s=%s\n", key, g_strstrip(eq + 1));
}

static void parse_lines(struct ini_parser *p, char *text)
{
	char *next;

	for (char *line = text; line; line = next) {
		next = strchr(line, '\n');
		if (next)
			*next++ = '\0';
		p->line++;
		g_strstrip(line);
		if (!*line || *line == '#')
			continue;
		if (*line == '[')
			parse_header(p, line);
		else
			parse_key(p, line);
	}
}

static void load_key_file(struct ini_parser *p)
{
	GKeyFile *keys = g_key_file_new();
	GError *err = NULL;

	g_ptr_array_add(p->ini->key_files, keys);
	vh_buf_add_str(&p->normalized, "\n");
	if (!g_key_file_load_from_data(keys, p->normalized.data,
				       p->normalized.len, G_KEY_FILE_NONE,
				       &err)) {
		vh_problems_add(p->problems, false, p->file, NULL, NULL, "%s",
				err->message);
		g_error_free(err);
	}
	for (size_t i = p->first_group; i < p->ini->n; i++)
		p->ini->groups[i].keys = keys;
}

void vh_ini_read(struct vh_ini *ini, const struct vh_ini_source *source,
		 struct vh_problems *problems)
{
	struct ini_parser p = { .ini = ini,
				.problems = problems,
				.file = vh_slice_dup(source->file),
				.first_group = ini->n };
	char *text;

	if (!g_utf8_validate(source->text.data ? source->text.data : "",
			     (gssize)source->text.len, NULL)) {
		vh_problems_add(problems, false, p.file, NULL, NULL,
				"not valid UTF-8 text");
		g_free(p.file);
		return;
	}
	text = vh_slice_dup(source->text);
	vh_buf_init(&p.normalized);
	parse_lines(&p, text);
	load_key_file(&p);
	vh_buf_finish(&p.normalized);
	g_free(text);
	g_free(p.group);
	g_free(p.file);
}

char *vh_ini_value(const struct vh_ini_group *g, const char *key)
{
	for (; g; g = g->like) {
		char *v = g_key_file_get_value(g->keys, g->group, key, NULL);

		if (v)
			return g_strstrip(v);
	}
	return NULL;
}

bool vh_ini_u32(const struct vh_ini_group *g, const char *key, uint32_t min,
		uint32_t max, uint32_t *out, struct vh_problems *problems)
{
	char *text = vh_ini_value(g, key);
	uint64_t v = 0;
	bool ok;

	if (!text)
		return true;
	ok = vh_slice_to_u64(vh_slice_str(text), &v) && v >= min && v <= max;
	if (ok)
		*out = (uint32_t)v;
	else
		vh_ini_problem(problems, g, key,
			       "\"%s\" is not a whole number from %u to %u",
			       text, min, max);
	g_free(text);
	return ok;
}

bool vh_ini_bool(const struct vh_ini_group *g, const char *key, bool *out,
		 struct vh_problems *problems)
{
	char *text = vh_ini_value(g, key);
	bool ok = true;

	if (!text)
		return true;
	if (!strcmp(text, "true")) {
		*out = true;
	} else if (!strcmp(text, "false")) {
		*out = false;
	} else {
		vh_ini_problem(
			problems, g, key,
			"\"%s\" is not a boolean; expected true or false",
			text);
		ok = false;
	}
	g_free(text);
	return ok;
}

char **vh_ini_list(const struct vh_ini_group *g, const char *key)
{
	char *text = vh_ini_value(g, key);
	char **items;
	size_t n_items = 0;

	if (!text)
		return NULL;
	items = g_strsplit(text, ";", -1);
	g_free(text);
	for (size_t i = 0; items[i]; i++) {
		g_strstrip(items[i]);
		if (*items[i])
			items[n_items++] = items[i];
		else
			g_free(items[i]);
	}
	items[n_items] = NULL;
	return items;
}

void vh_ini_check_keys(const struct vh_ini_group *g, const char *const *known,
		       struct vh_problems *problems)
{
	char **keys = g_key_file_get_keys(g->keys, g->group, NULL, NULL);
	char *all = g_strjoinv(", ", (char **)known);

	for (size_t i = 0; keys && keys[i]; i++) {
		if (!g_strv_contains(known, keys[i]))
			vh_ini_problem(problems, g, keys[i],
				       "unknown key; expected one of %s", all);
	}
	g_free(all);
	g_strfreev(keys);
}

void vh_ini_problem(struct vh_problems *problems, const struct vh_ini_group *g,
		    const char *key, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vh_problems_vadd(problems, false, g->file, g->group, key, fmt, ap);
	va_end(ap);
}

void vh_ini_warning(struct vh_problems *problems, const struct vh_ini_group *g,
		    const char *key, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vh_problems_vadd(problems, true, g->file, g->group, key, fmt, ap);
	va_end(ap);
}
