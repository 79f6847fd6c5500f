#ifndef VH_LOG_CLIENT_H
#define VH_LOG_CLIENT_H

/*
 * HTTP client of the platform's log service, through which streams append and
 * read. packages/core creates it and reads its counters.
 */

#include "vh/kernel.h"
#include "vh/stream.h"

/**
 * struct vh_log_client - a client of one log service
 *
 * Implements struct vh_log_transport. Appends and reads use separate
 * connections, so that long polls do not delay appends.
 */
struct vh_log_client;

/* vh_log_client_new - @max_readers: maximum number of concurrent long polls */
struct vh_log_client *vh_log_client_new(struct vh_kernel *kernel,
					struct vh_slice address, uint16_t port,
					size_t max_readers);
void vh_log_client_free(struct vh_log_client *c);
const struct vh_log_transport *
vh_log_client_transport(const struct vh_log_client *c);
uint64_t vh_log_client_bytes(const struct vh_log_client *c);

/* vh_log_client_append_count - number of appends sent */
uint64_t vh_log_client_append_count(const struct vh_log_client *c);

#endif
