#ifndef PRINT_H
#define PRINT_H

/*
 * Prints the results of commands as JSON or text, and problems found in
 * configuration objects. Internal to the package; called by the command sources
 * and publish.c.
 */

#include "ctl.h"
#include "vh/problem.h"

/* print_json - prints a value as indented JSON with keys in their order */
void print_json(struct ctl *c, const json_t *value);

/**
 * print_value - prints a value as JSON or, by default, as text
 *
 * As text, each scalar member of an object is a line NAME: VALUE, and an array
 * of objects is a table with one column for each of their members.
 */
void print_value(struct ctl *c, const json_t *value);

/* print_problems - prints one line for each problem to the error stream */
void print_problems(struct ctl *c, const struct vh_problems *problems);

/* problems_json - the problems as a JSON array */
json_t *problems_json(const struct vh_problems *problems);

#endif
