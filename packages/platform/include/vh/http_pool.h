#ifndef VH_HTTP_POOL_H
#define VH_HTTP_POOL_H

/*
 * HTTP client with a pool of persistent connections to one address. Called by
 * the clients of the log service, the VM list and the workers in this package,
 * and by the adapter in the top-level folder platform.
 */

#include <event2/http.h>

#include "vh/kernel.h"

/**
 * struct vh_http_reply - an HTTP response
 * @status: HTTP status; 0 if the exchange failed
 * @not_sent: the request was not sent: it waited too long for a connection, or
 *	      the opening exchange failed or named another session; the other
 *	      fields are those of the reply to the opening request, if there is
 *	      one
 * @waited_ms: time that the request spent in the queue and in the opening exchange
 *	       before it was sent or given up
 * @body: valid during the callback
 * @headers: valid during the callback; NULL if the exchange failed
 */
struct vh_http_reply {
	int status;
	bool not_sent;
	int64_t waited_ms;
	struct vh_slice body;
	struct evkeyvalq *headers;
};

/**
 * struct vh_http_opening - binds a request to one session of the server
 *
 * A session is one life of the server's process. A connection ends with the
 * process that accepted it, so one on which a reply has named the session can
 * bring a request to no other session, however long it takes on the way. On
 * every other connection the opening request comes first, and the request itself
 * is sent only if the reply to that names its session.
 *
 * @path, @body: of the opening request, a POST that any session may carry out;
 *		 copied
 * @timeout_ms: bound of the opening exchange
 * @session: that the request is meant for
 * @answers: the reply to the opening request is passed on as the reply to the
 *	     request, which is then not sent
 */
struct vh_http_opening {
	const char *path;
	struct vh_slice body;
	int64_t timeout_ms;
	uint64_t session;
	bool answers;
};

/**
 * struct vh_http_request - an HTTP request
 * @path: path and query; copied
 * @content_type: NULL if there is no body; a constant string, not copied
 * @body: copied
 * @timeout_ms: bound of the exchange, without its time in the queue
 * @max_queue_ms: bound of its time in the queue and in the opening exchange; 0:
 *		  unlimited
 * @header, @header_value: one additional header; NULL: none; copied
 * @opening: NULL: any session may carry out the request
 */
struct vh_http_request {
	enum evhttp_cmd_type method;
	const char *path;
	const char *content_type;
	struct vh_slice body;
	int64_t timeout_ms;
	int64_t max_queue_ms;
	const char *header;
	const char *header_value;
	const struct vh_http_opening *opening;
};

/**
 * struct vh_http_pool - the connections and the queue of waiting requests
 *
 * At most @max_conns exchanges are in progress at a time; further ones are
 * queued in FIFO order. After a failed exchange it is unknown whether the
 * server processed the request.
 */
struct vh_http_pool;

struct vh_http_pool *vh_http_pool_new(struct vh_kernel *kernel,
				      struct vh_slice address, uint16_t port,
				      size_t max_conns, size_t max_reply_bytes);

/**
 * vh_http_pool_set_sessions - how the server's replies name its session
 * @read: the session that a reply names; false if it names none
 *
 * Called before the first request that has an opening.
 */
void vh_http_pool_set_sessions(struct vh_http_pool *pool,
			       bool (*read)(const struct vh_http_reply *reply,
					    uint64_t *session));

/* vh_http_pool_limit_kept - while the pools of the process have more than @max
 * connections, one without use is closed after the time-out of its last request */
void vh_http_pool_limit_kept(size_t max);

/* vh_http_pool_free - pending exchanges are dropped without a callback */
void vh_http_pool_free(struct vh_http_pool *pool);

/* vh_http_pool_send - calls @done once, asynchronously */
void vh_http_pool_send(
	struct vh_http_pool *pool, const struct vh_http_request *request,
	void (*done)(void *ctx, const struct vh_http_reply *reply), void *ctx);

/* vh_http_pool_bytes - total body and estimated header bytes, in both
 * directions */
uint64_t vh_http_pool_bytes(const struct vh_http_pool *pool);

#endif
