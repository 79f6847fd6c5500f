#ifndef VH_HTTPD_H
#define VH_HTTPD_H

/*
 * Serves HTTP for the simulated platform. Internal to the package: the log
 * server, the VM server and the worker server use it.
 */

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "vh/kernel.h"

struct vh_httpd;

/**
 * struct vh_httpd_req - a request that has not been answered
 * @server: server that received it
 * @ev: the request in libevent
 * @path: decoded path without the query
 * @query: parsed query
 * @body: complete body
 * @ctx: data of the handler
 * @on_cancel: called when the server stops before the request is answered;
 *	       the handler must drop its references. May be NULL.
 * @drop_connection: closes the connection instead of sending the reply
 *
 * Valid until one of the functions below answers or drops it.
 */
struct vh_httpd_req {
	struct vh_httpd *server;
	struct evhttp_request *ev;
	char *path;
	struct evkeyvalq query;
	struct vh_buf body;
	void *ctx;
	void (*on_cancel)(struct vh_httpd_req *req);
	struct vh_timer delay;
	struct vh_buf reply;
	int status;
	const char *type;
	bool drop_connection;
};

/**
 * struct vh_httpd - an HTTP server on one port of 127.0.0.1
 * @handle: called with each request; may answer it later
 * @port: bound port, set by vh_httpd_start()
 * @pending: requests that have not been answered
 */
struct vh_httpd {
	struct vh_kernel *kernel;
	struct evhttp *http;
	void (*handle)(void *ctx, struct vh_httpd_req *req);
	void *ctx;
	uint16_t port;
	struct _GPtrArray *pending;
};

void vh_httpd_init(struct vh_httpd *s, struct vh_kernel *kernel,
		   void (*handle)(void *ctx, struct vh_httpd_req *req),
		   void *ctx);

/* vh_httpd_start - listens on @port, or on any free port if it is 0 */
bool vh_httpd_start(struct vh_httpd *s, uint16_t port, GError **err);

/* vh_httpd_stop - closes all connections; pending requests get no response */
void vh_httpd_stop(struct vh_httpd *s);

bool vh_httpd_req_matches(const struct vh_httpd_req *req,
			  enum evhttp_cmd_type method, const char *path);

/* vh_httpd_query_int - returns a query parameter, or @default_value if it is
 * missing or not an integer */
int64_t vh_httpd_query_int(const struct vh_httpd_req *req, const char *name,
			   int64_t default_value);

/* vh_httpd_add_header - adds a header to the response */
void vh_httpd_add_header(struct vh_httpd_req *req, const char *name,
			 const char *value);

void vh_httpd_reply(struct vh_httpd_req *req, int status, const char *type,
		    struct vh_slice body);

/* vh_httpd_reply_after - responds after @delay_ms; copies the body */
void vh_httpd_reply_after(struct vh_httpd_req *req, int64_t delay_ms,
			  int status, const char *type, struct vh_slice body);

/* vh_httpd_reply_json - takes the ownership of @json */
void vh_httpd_reply_json(struct vh_httpd_req *req, int status, json_t *json);

/* vh_httpd_reply_error - responds with {"kind":KIND,"message":MESSAGE} */
void vh_httpd_reply_error(struct vh_httpd_req *req, int status,
			  const char *kind, const char *message);

/* vh_httpd_drop - closes the connection without a response */
void vh_httpd_drop(struct vh_httpd_req *req);
void vh_httpd_drop_after(struct vh_httpd_req *req, int64_t delay_ms);

/* vh_httpd_parse_json - parses the body as a JSON object; on an error responds
 * with 400 and returns NULL */
json_t *vh_httpd_parse_json(struct vh_httpd_req *req);

#endif
