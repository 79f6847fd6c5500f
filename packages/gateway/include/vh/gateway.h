#ifndef VH_GATEWAY_H
#define VH_GATEWAY_H

/*
 * Serves the HTTP API of a node for callers and operators. Called by the
 * daemon, and by the package's tests and benchmark.
 */

#include "vh/kernel.h"
#include "vh/objects.h"

/**
 * struct vh_operator_token - credentials of one operator
 * @name: recorded as the author of a publish
 * @hash: SHA-256 of the token's text
 */
struct vh_operator_token {
	struct vh_slice name;
	unsigned char hash[VH_KEY_HASH_BYTES];
};

/**
 * struct vh_gateway_settings - settings of the two HTTP listeners
 * @node: id of this node; request ids consist of it, the node's incarnation and
 *	  a sequence number
 * @callers_port: 0 selects a free port, see vh_gateway_callers_port()
 * @max_body_bytes: limit on a caller's request body; larger bodies are
 *		    answered with 413
 * @max_connections: concurrent caller connections; 0 for 10,240
 * @read_timeout_ms: time for one whole request to arrive, and the longest time
 *		     without progress while a response is sent; 0 for 10 s
 * @idle_timeout_ms: connections without a request are closed after this time;
 *		     0 for 60 s
 * @max_active: requests processed at once, further ones are queued; 0 for 2,048
 * @buffered_bytes: intended limit on request and response bodies in memory; 0
 *		    for 32 MiB; not enforced
 * @config_max_age_ms: if the last contact with the log is older than this, keys
 *		       are trusted only as long as this node sees more than half
 *		       of the nodes that it saw when that contact was last no
 *		       older; 0 for 5 s
 * @drain_settle_ms: how long /readyz reports that the node is draining before
 *		     the callers' listener stops accepting connections; 0 for
 *		     1 s
 */
struct vh_gateway_settings {
	struct vh_slice node;
	struct vh_slice region;
	struct vh_slice zone;
	struct vh_slice callers_address;
	uint16_t callers_port;
	struct vh_slice operators_address;
	uint16_t operators_port;
	const struct vh_operator_token *operators;
	size_t n_operators;
	uint32_t max_body_bytes;
	uint32_t max_connections;
	uint32_t read_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t max_active;
	uint64_t buffered_bytes;
	int64_t config_max_age_ms;
	int64_t drain_settle_ms;
};

struct vh_gateway;

/**
 * vh_gateway_new - creates the service "gateway", the HTTP API for callers and
 * operators
 *
 * Settings are copied. Add vh_gateway_service() to the kernel after the
 * services "peer", "config", "jobs", "upstreams" and "status", which the
 * gateway looks up by name at start. Requests that need a missing service are
 * answered with 503 "not_ready".
 */
struct vh_gateway *vh_gateway_new(const struct vh_gateway_settings *settings,
				  struct vh_kernel *kernel);

/* vh_gateway_free - call after the kernel has stopped its services */
void vh_gateway_free(struct vh_gateway *g);
struct vh_service *vh_gateway_service(struct vh_gateway *g);

/* The bound ports; 0 before the start. */
uint16_t vh_gateway_callers_port(const struct vh_gateway *g);
uint16_t vh_gateway_operators_port(const struct vh_gateway *g);

#endif
