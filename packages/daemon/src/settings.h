#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>

#include "vh/objects.h"
#include "vh/problem.h"

/** struct vh_endpoint - an IP number and a port */
struct vh_endpoint {
	char *address;
	uint16_t port;
};

/** struct vh_operator - who may use the operators' listener */
struct vh_operator {
	char *name;
	unsigned char hash[VH_KEY_HASH_BYTES]; /* SHA-256 of the token */
};

/**
 * struct vh_settings - the settings file of one process
 *
 * docs/CONFIG.md describes every key. All strings are NUL-terminated and live
 * until vh_settings_finish().
 *
 * @idle_timeout_s: of a caller's connection, and the longest time for reading
 *		    one request
 * @appends_per_s: what all nodes together may append to the log
 * @retention_s: how long the log keeps a record
 * @buffered_mb: bodies of requests and answers held at once
 */
struct vh_settings {
	struct {
		char *id;
		char *region;
		char *zone;
		GLogLevelFlags log_level;
	} node;
	struct {
		struct vh_endpoint listen;
		uint32_t max_body_bytes;
		uint32_t max_connections;
		uint32_t idle_timeout_s;
	} callers;
	struct {
		struct vh_endpoint listen;
		struct vh_operator *tokens;
		size_t n_tokens;
	} operators;
	struct {
		struct vh_endpoint listen;
		char *secret;
		char **seeds; /* "IP:PORT", NULL-terminated, never NULL */
		uint32_t heartbeat_ms;
		uint32_t suspect_ms;
		uint32_t dead_ms;
	} peers;
	struct {
		struct vh_endpoint log;
		struct vh_endpoint vms;
		uint32_t appends_per_s;
		uint32_t retention_s;
	} platform;
	struct {
		uint32_t buffered_mb;
	} limits;
};

void vh_settings_init(struct vh_settings *s);
void vh_settings_finish(struct vh_settings *s);

/**
 * vh_settings_load - reads and checks a settings file
 * @s: initialized; filled as far as possible
 * @path: file name
 * @problems: gets every mistake: unknown group or key, bad value, missing key
 *
 * Returns whether there is no mistake.
 */
bool vh_settings_load(struct vh_settings *s, const char *path,
		      struct vh_problems *problems);

/* vh_settings_find_operator - whose token this is, NULL if nobody's */
const struct vh_operator *vh_settings_find_operator(const struct vh_settings *s,
						    struct vh_slice token);

#endif
