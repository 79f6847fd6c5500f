#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * The settings file of the daemon, vanillahollowd: parses and validates it, and
 * looks up operators by token. Called by main.c; internal to the package.
 */

#include <glib.h>

#include "vh/objects.h"
#include "vh/problem.h"

/** struct vh_endpoint - an IP address and a port */
struct vh_endpoint {
	char *address;
	uint16_t port;
};

/** struct vh_operator - an operator who may use the operators' listener */
struct vh_operator {
	char *name;
	unsigned char hash[VH_KEY_HASH_BYTES]; /* SHA-256 of the token */
};

/**
 * struct vh_settings - the settings file of one process
 *
 * docs/CONFIG.md describes every key. All strings are NUL-terminated and valid
 * until vh_settings_finish().
 *
 * @idle_timeout_s: idle timeout of a caller's connection and the maximum time
 *		    for reading one request
 * @appends_per_s: rate limit on log appends of all nodes together
 * @retention_s: retention time of the log
 * @buffered_mb: memory limit for buffered request and response bodies, in MiB
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
 * vh_settings_load - reads and validates a settings file
 * @s: initialized; filled as far as possible if there are errors
 * @path: file name
 * @problems: receives every error: unknown group or key, invalid value, missing
 *	      key
 *
 * Returns whether the file has no errors.
 */
bool vh_settings_load(struct vh_settings *s, const char *path,
		      struct vh_problems *problems);

/* vh_settings_find_operator - returns the owner of @token, or NULL */
const struct vh_operator *vh_settings_find_operator(const struct vh_settings *s,
						    struct vh_slice token);

#endif
