#ifndef VH_INI_H
#define VH_INI_H

/*
 * Reads INI files into groups and parses their values; every fault becomes a
 * problem with its file and group. Called by the loader of objects in this
 * package and by the daemon's settings.c.
 */

#include <glib.h>

#include "vh/problem.h"

/**
 * struct vh_ini_group - one group of an INI file
 * @file: file name for messages
 * @group: header without brackets, for example queue "stock-checks"
 * @kind: first word of the header
 * @name: quoted second word of the header, or NULL
 * @line: line number of the header, from 1
 * @keys: parsed file that holds the values
 * @like: group from which missing keys are inherited, or NULL
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
 * @cap: allocated length of @groups
 * @key_files: GKeyFile of each file that was read
 * @seen: headers, and header and key pairs, read so far; finds duplicates
 *
 * A group header is [kind] or [kind "name"]. A value is the rest of its line
 * without leading and trailing white space; there is no quoting and no
 * escaping. List items are separated by semicolons. Lines that begin with #
 * are comments.
 */
struct vh_ini {
	struct vh_ini_group *groups;
	size_t n;
	size_t cap;
	GPtrArray *key_files;
	GHashTable *seen;
};

void vh_ini_init(struct vh_ini *ini);
void vh_ini_finish(struct vh_ini *ini);

/**
 * vh_ini_read - adds the groups of one file
 * @problems: receives each malformed line, duplicate group and duplicate key
 *
 * Malformed and duplicate entries are not added to @ini. Pointers to groups
 * are valid until the next call.
 */
void vh_ini_read(struct vh_ini *ini, const struct vh_ini_source *source,
		 struct vh_problems *problems);

/* vh_ini_value - returns the trimmed value or NULL; free with g_free() */
char *vh_ini_value(const struct vh_ini_group *g, const char *key);

/*
 * vh_ini_u32, vh_ini_bool - parse a value
 *
 * If @key is missing, they leave *@out unchanged and return true. If the value
 * is invalid, they add a problem and return false.
 */
bool vh_ini_u32(const struct vh_ini_group *g, const char *key, uint32_t min,
		uint32_t max, uint32_t *out, struct vh_problems *problems);
bool vh_ini_bool(const struct vh_ini_group *g, const char *key, bool *out,
		 struct vh_problems *problems);

/* vh_ini_list - returns the trimmed items, NULL-terminated, or NULL if @key is
 * missing; free with g_strfreev() */
char **vh_ini_list(const struct vh_ini_group *g, const char *key);

/* vh_ini_check_keys - adds a problem for each key that is not in @known */
void vh_ini_check_keys(const struct vh_ini_group *g, const char *const *known,
		       struct vh_problems *problems);

/* vh_ini_problem - adds an error at @key of @g; @key may be NULL */
void vh_ini_problem(struct vh_problems *problems, const struct vh_ini_group *g,
		    const char *key, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* vh_ini_warning - adds a warning at @key of @g; @key may be NULL */
void vh_ini_warning(struct vh_problems *problems, const struct vh_ini_group *g,
		    const char *key, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
