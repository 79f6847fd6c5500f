#ifndef VH_LISTENER_H
#define VH_LISTENER_H

/*
 * Runs an HTTP server on libevent with limits on sizes, times and connections.
 * Internal to the package; gateway.c runs one listener for callers and one for
 * operators, and the sources that serve their requests respond through it.
 */

#include <event2/http.h>

#include "vh/kernel.h"

struct vh_listener;
struct vh_exchange;

/**
 * struct vh_listener_settings - limits of one HTTP listener
 * @name: "listener" label of its metrics
 * @buffered_bytes: not enforced, see struct vh_gateway_settings
 * @handle: called for each completely received request
 */
struct vh_listener_settings {
	const char *name;
	struct vh_slice address;
	uint16_t port;
	size_t max_header_bytes;
	size_t max_body_bytes;
	size_t max_connections;
	int64_t read_timeout_ms;
	int64_t idle_timeout_ms;
	uint64_t buffered_bytes;
	void (*handle)(void *ctx, struct vh_exchange *ex);
	void *ctx;
};

/**
 * struct vh_exchange - an HTTP request and its response
 * @conn: NULL after the caller has disconnected
 * @on_disconnect: called if the caller disconnects before the response; the
 *		   exchange must still be responded to, which then only frees it
 * @on_flushed: called when the output buffer of a streamed response is empty
 * @received_ms: when the request had arrived completely
 */
struct vh_exchange {
	struct vh_listener *listener;
	struct vh_conn *conn;
	struct evhttp_request *req;
	void (*on_disconnect)(void *ctx);
	void *disconnect_ctx;
	void (*on_flushed)(void *ctx);
	void *flushed_ctx;
	int64_t received_ms;
	struct vh_exchange *next;
	struct vh_exchange **prev;
};

struct vh_listener *vh_listener_new(const struct vh_listener_settings *settings,
				    struct vh_kernel *kernel);
bool vh_listener_start(struct vh_listener *l, GError **err);
void vh_listener_free(struct vh_listener *l);
uint16_t vh_listener_port(const struct vh_listener *l);

/**
 * vh_listener_drain - starts a graceful shutdown that interrupts no request
 * @settle_ms: connections are still accepted for this time, and longer while any
 *	       wait to be accepted
 * @done: called when no connection is left
 *
 * From now on each response closes its connection. Connections without a
 * request are closed once they have been idle for @settle_ms.
 */
void vh_listener_drain(struct vh_listener *l, int64_t settle_ms,
		       void (*done)(void *ctx), void *ctx);

size_t vh_listener_connections(const struct vh_listener *l);

/* Views of the request; valid until the response. */
enum evhttp_cmd_type vh_exchange_method(const struct vh_exchange *ex);
struct vh_slice vh_exchange_path(const struct vh_exchange *ex);
struct vh_slice vh_exchange_query(const struct vh_exchange *ex);
struct vh_slice vh_exchange_header(const struct vh_exchange *ex,
				   const char *name);
struct vh_slice vh_exchange_body(const struct vh_exchange *ex);

/* vh_exchange_query_param - finds a query parameter, not percent-decoded;
 * false if absent */
bool vh_exchange_query_param(const struct vh_exchange *ex, const char *name,
			     struct vh_slice *value);

/* vh_exchange_bearer_token - the token of "Authorization: Bearer", or empty */
struct vh_slice vh_exchange_bearer_token(const struct vh_exchange *ex);

/* vh_exchange_set_header - adds a response header */
void vh_exchange_set_header(struct vh_exchange *ex, const char *name,
			    const char *value);

/* vh_exchange_respond - sends the response and frees @ex */
void vh_exchange_respond(struct vh_exchange *ex, int status, const char *type,
			 struct vh_slice body);
void vh_exchange_respond_json(struct vh_exchange *ex, int status,
			      struct vh_slice body);

/* vh_exchange_respond_error - responds with the status and outcome that the
 * error table gives for @err; @message may be empty */
void vh_exchange_respond_error(struct vh_exchange *ex, enum vh_err err,
			       struct vh_slice message);

/* vh_exchange_respond_outcome - like vh_exchange_respond_error(), but with the
 * given outcome */
void vh_exchange_respond_outcome(struct vh_exchange *ex, enum vh_err err,
				 enum vh_outcome outcome,
				 struct vh_slice message);

/* vh_json_append_error - appends {"error":{...} and leaves the outer object
 * open, so that members can follow */
void vh_json_append_error(struct vh_buf *out, enum vh_err err,
			  enum vh_outcome outcome, struct vh_slice message);

/* vh_json_append_string - appends a quoted and escaped string */
void vh_json_append_string(struct vh_buf *out, struct vh_slice s);

/**
 * Streamed responses: begin, any number of writes, then end or abort.
 *
 * @length: size of the whole body in bytes, or -1 if not known. abort closes
 * the connection so that the caller can tell that the response is incomplete.
 */
void vh_exchange_stream_begin(struct vh_exchange *ex, int status,
			      int64_t length);
void vh_exchange_stream_write(struct vh_exchange *ex, struct evbuffer *data);
void vh_exchange_stream_end(struct vh_exchange *ex);
void vh_exchange_stream_abort(struct vh_exchange *ex);

/* vh_exchange_unsent - response bytes not yet written to the socket */
size_t vh_exchange_unsent(const struct vh_exchange *ex);

#endif
