#ifndef CLIENT_H
#define CLIENT_H

#include "ctl.h"

/**
 * struct ctl_response - a node's answer
 * @status: HTTP status; 0: no answer
 * @sent: when there is no answer: whether the request may have arrived
 * @version: header Vh-Version, 0 if absent
 * @age_ms: header Vh-Age-Ms, -1 if absent
 * @body: NUL-terminated behind its length
 */
struct ctl_response {
	int status;
	bool sent;
	uint64_t version;
	int64_t age_ms;
	struct vh_buf body;
};

/**
 * struct ctl_request
 * @endpoint: IP:PORT; NULL: the servers of the command line in turn, until one
 *	      is reached
 * @publish_id: header Vh-Publish-Id, or NULL
 */
struct ctl_request {
	const char *endpoint;
	bool post;
	const char *path;
	struct vh_slice body;
	const char *publish_id;
};

/* ctl_send_request - asks and waits; returns whether there is an answer */
bool ctl_send_request(struct ctl *c, const struct ctl_request *request,
		      struct ctl_response *answer);

/* ctl_get - a GET; as above */
bool ctl_get(struct ctl *c, const char *endpoint, const char *path,
	     struct ctl_response *answer);

void ctl_response_finish(struct ctl_response *answer);

/* ctl_response_json - the body as JSON or NULL; give back with json_decref() */
json_t *ctl_response_json(const struct ctl_response *answer);

/* ctl_report_error - writes why an answer is not 200; returns exit code */
int ctl_report_error(struct ctl *c, const struct ctl_response *answer);

/* ctl_sleep - lets @ms pass while the loop runs */
void ctl_sleep(struct ctl *c, int ms);

#endif
