#ifndef CLIENT_H
#define CLIENT_H

/*
 * Sends vhctl's HTTP requests to the operators' listeners of the nodes and
 * waits for the responses. Internal to the package; called by the command
 * sources, nodes.c, publish.c and report_data.c.
 */

#include "ctl.h"

/**
 * struct ctl_response - a node's response to a request
 * @status: HTTP status; 0 if there is no response
 * @maybe_delivered: if there is no response, whether the request may have
 *		     reached the node
 * @version: header Vh-Version, 0 if absent
 * @age_ms: header Vh-Age-Ms, -1 if absent
 * @body: followed by a NUL that its length does not count
 */
struct ctl_response {
	int status;
	bool maybe_delivered;
	uint64_t version;
	int64_t age_ms;
	struct vh_buf body;
};

/**
 * struct ctl_request - a request to one node
 * @endpoint: IP:PORT; NULL: the servers of the command line are tried in turn
 *	      until one responds
 * @post: POST; otherwise GET
 * @publish_id: header Vh-Publish-Id, or NULL
 */
struct ctl_request {
	const char *endpoint;
	bool post;
	const char *path;
	struct vh_slice body;
	const char *publish_id;
};

/* ctl_send_request - sends a request and waits for the response;
 * returns whether one arrived */
bool ctl_send_request(struct ctl *c, const struct ctl_request *request,
		      struct ctl_response *response);

/* ctl_get - sends a GET request; returns as ctl_send_request() */
bool ctl_get(struct ctl *c, const char *endpoint, const char *path,
	     struct ctl_response *response);

void ctl_response_finish(struct ctl_response *response);

/* ctl_response_json - the body as JSON, or NULL if it is not JSON; free
 * with json_decref() */
json_t *ctl_response_json(const struct ctl_response *response);

/* ctl_report_error - prints why a response is not 200; returns the exit code */
int ctl_report_error(struct ctl *c, const struct ctl_response *response);

/* ctl_sleep - runs the event loop for @ms */
void ctl_sleep(struct ctl *c, int ms);

#endif
