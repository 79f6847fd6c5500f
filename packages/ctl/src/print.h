#ifndef PRINT_H
#define PRINT_H

#include "ctl.h"
#include "vh/problem.h"

/* print_json - a value over several lines, keys in their order */
void print_json(struct ctl *c, const json_t *value);

/**
 * print_value - a value as JSON or, by default, as text for people
 *
 * As text an object's plain members are lines NAME: VALUE, and an array of
 * objects is a table with a column for each of their plain members.
 */
void print_value(struct ctl *c, const json_t *value);

/* print_problems - one line for each on the error stream */
void print_problems(struct ctl *c, const struct vh_problems *problems);

/* problems_json - as an array */
json_t *problems_json(const struct vh_problems *problems);

#endif
