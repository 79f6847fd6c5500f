#ifndef VH_INI_H
#define VH_INI_H

#include <glib.h>

#include "vh/problem.h"

/**
 * struct vh_ini_group - one group of an INI file
 * @file: name for messages
 * @group: header without brackets, for example queue "stock-checks"
 * @kind: first word of the header
 * @name: the quoted second word, NULL if there is none
 * @line: line of the header, from 1
 * @keys: where the values are
 * @like: group that gives the keys that this one does not have, or NULL
 */
struct vh_ini_group {
	char *file;
	char *group;
	char *kind;
	char *name;
	unsigned int line;
	GKeyFile *keys;
	const struct vh_ini_group *like;
};

/**
 * struct vh_ini - groups of one or more INI files, in file order
 *
 * A group is [kind] or [kind "name"]. A key's value is the rest of its line
 * without the blanks around it; there are no quotes and no escapes. Lists are
 * separated by semicolons. Lines that begin with # are comments.
 */
struct vh_ini {
	struct vh_ini_group *groups;
	size_t n;
	size_t cap;
	GPtrArray *files;
	GHashTable *seen;
};

void vh_ini_init(struct vh_ini *ini);
void vh_ini_finish(struct vh_ini *ini);

/**
 * vh_ini_read - adds the groups of one file
 * @problems: gets each malformed line, duplicate group and duplicate key
 *
 * What is malformed or duplicate is left out of @ini. Pointers to groups are
 * valid until the next call.
 */
void vh_ini_read(struct vh_ini *ini, const struct vh_ini_source *source,
		 struct vh_problems *problems);

/* vh_ini_value - the trimmed value or NULL; free with g_free() */
char *vh_ini_value(const struct vh_ini_group *g, const char *key);

/*
 * The readers below leave *@out, the default, if @key is missing. They return
 * false after adding a problem.
 */
bool vh_ini_u32(const struct vh_ini_group *g, const char *key, uint32_t min,
		uint32_t max, uint32_t *out, struct vh_problems *problems);
bool vh_ini_bool(const struct vh_ini_group *g, const char *key, bool *out,
		 struct vh_problems *problems);

/* vh_ini_list - NULL-terminated items, trimmed; g_strfreev(); NULL: missing */
char **vh_ini_list(const struct vh_ini_group *g, const char *key);

/* vh_ini_check_keys - a problem for each key that is not in @known */
void vh_ini_check_keys(const struct vh_ini_group *g, const char *const *known,
		       struct vh_problems *problems);

/* vh_ini_problem - adds an error at @key, which may be NULL, of @g */
void vh_ini_problem(struct vh_problems *problems, const struct vh_ini_group *g,
		    const char *key, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* vh_ini_warning - the same for a warning */
void vh_ini_warning(struct vh_problems *problems, const struct vh_ini_group *g,
		    const char *key, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
