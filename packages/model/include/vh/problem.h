#ifndef VH_PROBLEM_H
#define VH_PROBLEM_H

#include <stdarg.h>

#include "vh/buf.h"
#include "vh/slice.h"

/**
 * struct vh_problem - one mistake in a set of objects or in the settings
 * @group: the group's header without brackets; "" for the whole file
 * @key: may be NULL
 * @text: what is wrong and what would be right
 * @warning: true: the set may still be published
 */
struct vh_problem {
	char *file;
	char *group;
	char *key;
	char *text;
	bool warning;
};

/**
 * struct vh_problems - all mistakes found
 * @n: number of @items
 * @n_errors: items that are not warnings
 */
struct vh_problems {
	struct vh_problem *items;
	size_t n;
	size_t n_errors;
};

/**
 * struct vh_ini_source - one INI file
 * @file: name for messages
 */
struct vh_ini_source {
	struct vh_slice file;
	struct vh_slice text;
};

void vh_problems_init(struct vh_problems *p);
void vh_problems_finish(struct vh_problems *p);

/* vh_problems_add - copies its arguments */
void vh_problems_add(struct vh_problems *p, bool warning, const char *file,
		     const char *group, const char *key, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));
void vh_problems_vadd(struct vh_problems *p, bool warning, const char *file,
		      const char *group, const char *key, const char *fmt,
		      va_list ap) __attribute__((format(printf, 6, 0)));

/**
 * vh_problems_render - appends one line for each problem
 *
 * A line is FILE: [GROUP] KEY: error: TEXT, or "warning" for "error".
 */
void vh_problems_render(const struct vh_problems *p, struct vh_buf *out);

#endif
