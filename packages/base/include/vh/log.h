#ifndef VH_LOG_H
#define VH_LOG_H

/*
 * Structured logging to standard output. The daemon and platform/main.c set it
 * up; they and the packages cell, core, kernel, peer and platform write log
 * lines with it.
 */

#include <glib.h>
#include <stdbool.h>

/**
 * vh_log_init - writes GLib's log messages to standard output as JSON lines
 * @node: value of the "node" key in each line; copied
 * @min_level: the least severe level to write, e.g. G_LOG_LEVEL_INFO
 *
 * A line has the keys ts (RFC 3339, UTC), level, node and msg, then the fields
 * passed to vh_log(). API keys and request bodies are never logged. Lines above
 * the rate limit, or that the reader does not accept, are dropped and counted.
 */
void vh_log_init(const char *node, GLogLevelFlags min_level);

/* vh_log_level_from_name - "debug", "info", "warning", "error"; 0 if unknown */
GLogLevelFlags vh_log_level_from_name(const char *name);

/**
 * vh_log - writes one line with additional fields
 * @level: G_LOG_LEVEL_DEBUG, _INFO, _MESSAGE, _WARNING or _CRITICAL
 * @msg: constant string
 * @...: pairs of const char * name and const char * value, ended by NULL
 */
void vh_log(GLogLevelFlags level, const char *msg, ...)
	__attribute__((sentinel));

#endif
