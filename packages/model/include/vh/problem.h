#ifndef VH_PROBLEM_H
#define VH_PROBLEM_H

/*
 * Errors and warnings about objects or settings, collected while they are read
 * and rendered for the user. Called by the loaders in this package, core, the
 * gateway, vhctl, the daemon and the stand-ins.
 */

#include <stdarg.h>

#include "vh/buf.h"
#include "vh/slice.h"

/**
 * struct vh_problem - one error or warning about a set of objects or settings
 * @file: file name
 * @group: header of the group without brackets; "": the whole file
 * @key: may be NULL
 * @text: what is wrong and what is expected
 * @warning: not an error: the set may be published
 */
struct vh_problem {
	char *file;
	char *group;
	char *key;
	char *text;
	bool warning;
};

/**
 * struct vh_problems - errors and warnings, in the order of detection
 * @n: number of @items
 * @n_errors: number of @items that are not warnings
 */
struct vh_problems {
	struct vh_problem *items;
	size_t n;
	size_t n_errors;
};

/**
 * struct vh_ini_source - contents of one INI file
 * @file: file name for messages
 */
struct vh_ini_source {
	struct vh_slice file;
	struct vh_slice text;
};

void vh_problems_init(struct vh_problems *p);
void vh_problems_finish(struct vh_problems *p);

/* vh_problems_add - adds a problem; the strings are copied */
void vh_problems_add(struct vh_problems *p, bool warning, const char *file,
		     const char *group, const char *key, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));
void vh_problems_vadd(struct vh_problems *p, bool warning, const char *file,
		      const char *group, const char *key, const char *fmt,
		      va_list ap) __attribute__((format(printf, 6, 0)));

/**
 * vh_problems_render - appends one line for each problem
 *
 * The format is FILE: [GROUP] KEY: SEVERITY: TEXT, where SEVERITY is "error"
 * or "warning". [GROUP] and KEY are left out if empty.
 */
void vh_problems_render(const struct vh_problems *p, struct vh_buf *out);

#endif
