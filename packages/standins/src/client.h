#ifndef VH_CLIENT_H
#define VH_CLIENT_H

/*
 * Sends HTTP requests to ports of this machine. Internal to the package: the
 * load generator and the harness of the tests use it.
 */

#include <event2/http.h>
#include <jansson.h>

#include "vh/kernel.h"

/**
 * struct vh_client - an HTTP client to ports of 127.0.0.1
 *
 * Reuses idle connections and opens a new one when all are busy.
 */
struct vh_client {
	struct vh_kernel *kernel;
	struct _GHashTable *idle_conns; /* port to GQueue of connections */
	struct _GPtrArray *calls;
	struct vh_timer free_timer;
	struct _GPtrArray *closed_conns;
};

/**
 * struct vh_client_reply - the result of a request
 * @status: HTTP status; 0 if no response came and the outcome is unknown
 * @not_connected: with status 0, the connection failed and nothing was sent
 */
struct vh_client_reply {
	int status;
	bool not_connected;
	struct vh_slice body;
	struct evkeyvalq *headers; /* NULL without a response */
};

/**
 * struct vh_client_request - a request to send
 * @headers: alternating names and values, terminated by NULL; may be NULL
 */
struct vh_client_request {
	uint16_t port;
	enum evhttp_cmd_type method;
	const char *path;
	const char *const *headers;
	struct vh_slice body;
	int64_t timeout_ms;
};

void vh_client_init(struct vh_client *c, struct vh_kernel *kernel);

/* vh_client_finish - aborts open requests without calling their callbacks */
void vh_client_finish(struct vh_client *c);

/* vh_client_send - calls @done once, from the event loop or, if the request
 * cannot be queued, before it returns */
void vh_client_send(struct vh_client *c, const struct vh_client_request *req,
		    void (*done)(void *ctx, const struct vh_client_reply *r),
		    void *ctx);

#endif
