#ifndef VH_CLIENT_H
#define VH_CLIENT_H

#include <event2/http.h>
#include <jansson.h>

#include "vh/kernel.h"

/**
 * struct vh_client - an HTTP client to ports of 127.0.0.1
 *
 * Keeps idle connections and opens another one whenever all are busy.
 */
struct vh_client {
	struct vh_kernel *kernel;
	struct _GHashTable *idle_conns; /* port to GQueue of connections */
	struct _GPtrArray *calls;
	struct vh_timer free_timer;
	struct _GPtrArray *closed_conns;
};

/**
 * struct vh_client_reply - an answer, or the lack of one
 * @status: HTTP status; 0: no answer, so the outcome is unknown
 * @not_connected: with status 0: there was no connection, so nothing was sent
 */
struct vh_client_reply {
	int status;
	bool not_connected;
	struct vh_slice body;
	struct evkeyvalq *headers; /* NULL without an answer */
};

/**
 * struct vh_client_request - what to send
 * @headers: pairs of name and value, ended by NULL; may be NULL
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

/* vh_client_finish - open calls are given up without a callback */
void vh_client_finish(struct vh_client *c);

/* vh_client_send - @done is called once, from the loop */
void vh_client_send(struct vh_client *c, const struct vh_client_request *req,
		    void (*done)(void *ctx, const struct vh_client_reply *r),
		    void *ctx);

#endif
