#include "print.h"

#define COLUMNS_MAX 24
#define COLUMN_WIDTH_MAX 60 /* characters; longer values are truncated */
#define LAST_COLUMN_WIDTH_MAX 1024

void print_json(struct ctl *c, const json_t *value)
{
	json_dumpf(value, c->out, JSON_INDENT(2));
	fputc('\n', c->out);
}

/* Formats the members of an object as NAME=VALUE, separated by spaces. */
static char *format_members(const json_t *object)
{
	GString *out = g_string_new(NULL);
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)object, key, v)
	{
		char *text =
			json_is_string(v)
				? strdup(json_string_value(v))
				: json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);

		g_string_append_printf(out, "%s%s=%s", out->len ? " " : "", key,
				       text);
		free(text);
	}
	return g_string_free(out, FALSE);
}

/* Formats a value on one line; free with g_free(). */
static char *format_cell(const json_t *v)
{
	char *text;
	char *copy;

	if (json_is_object(v))
		return format_members(v);
	if (json_is_string(v))
		return g_strdup(json_string_value(v));
	if (!v || json_is_null(v))
		return g_strdup("-");
	text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	return copy;
}

static bool is_object_array(const json_t *v)
{
	size_t i;
	json_t *row;

	if (!json_is_array(v))
		return false;
	json_array_foreach(v, i, row)
	{
		if (!json_is_object(row))
			return false;
	}
	return true;
}

/* Collects the member names of all rows in order of first appearance. */
static size_t collect_columns(const json_t *rows, const char **names)
{
	size_t n = 0;
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
	{
		const char *key;
		json_t *v;

		json_object_foreach(row, key, v)
		{
			size_t at = 0;

			while (at < n && strcmp(names[at], key) != 0)
				at++;
			if (at == n && n < COLUMNS_MAX)
				names[n++] = key;
		}
	}
	return n;
}

static size_t column_width(const json_t *rows, const char *name)
{
	size_t width = strlen(name);
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
	{
		char *text = format_cell(json_object_get(row, name));
		size_t len = strlen(text);

		width = MAX(width, len);
		g_free(text);
	}
	return MIN(width, COLUMN_WIDTH_MAX);
}

static void print_table(struct ctl *c, const json_t *rows)
{
	const char *names[COLUMNS_MAX];
	size_t widths[COLUMNS_MAX];
	size_t n = collect_columns(rows, names);
	size_t i;
	json_t *row;

	for (size_t k = 0; k < n; k++) {
		widths[k] = column_width(rows, names[k]);
		fprintf(c->out, "%-*s%s", k + 1 < n ? (int)widths[k] : 0,
			names[k], k + 1 < n ? "  " : "\n");
	}
	json_array_foreach(rows, i, row)
	{
		for (size_t k = 0; k < n; k++) {
			char *text =
				format_cell(json_object_get(row, names[k]));
			bool last = k + 1 == n;

			fprintf(c->out, "%-*.*s%s", last ? 0 : (int)widths[k],
				last ? LAST_COLUMN_WIDTH_MAX : COLUMN_WIDTH_MAX,
				text, last ? "\n" : "  ");
			g_free(text);
		}
	}
	if (!json_array_size(rows))
		fputs("(none)\n", c->out);
}

static void print_text(struct ctl *c, const json_t *value, int depth)
{
	const char *key;
	json_t *v;

	if (is_object_array(value)) {
		print_table(c, value);
		return;
	}
	if (!json_is_object(value)) {
		char *text = format_cell(value);

		fprintf(c->out, "%s\n", text);
		g_free(text);
		return;
	}
	json_object_foreach((json_t *)value, key, v)
	{
		if (is_object_array(v) && depth == 0 &&
		    json_object_size(value) == 1) {
			print_table(c, v);
		} else if (json_is_object(v) || is_object_array(v)) {
			fprintf(c->out, "%*s%s:\n", 2 * depth, "", key);
			print_text(c, v, depth + 1);
		} else {
			char *text = format_cell(v);

			fprintf(c->out, "%*s%s: %s\n", 2 * depth, "", key,
				text);
			g_free(text);
		}
	}
}

void print_value(struct ctl *c, const json_t *value)
{
	if (c->json_output)
		print_json(c, value);
	else
		print_text(c, value, 0);
}

void print_problems(struct ctl *c, const struct vh_problems *problems)
{
	struct vh_buf buf;

	vh_buf_init(&buf);
	vh_problems_render(problems, &buf);
	fwrite(buf.data ? buf.data : "", 1, buf.len, c->err);
	vh_buf_finish(&buf);
}

json_t *problems_json(const struct vh_problems *problems)
{
	json_t *array = json_array();

	for (size_t i = 0; i < problems->n; i++) {
		const struct vh_problem *p = &problems->items[i];

		json_array_append_new(array, json_pack("{s:s,s:s,s:s?,s:s,s:b}",
						       "file", p->file, "group",
						       p->group, "key", p->key,
						       "text", p->text,
						       "warning", p->warning));
	}
	return array;
}
