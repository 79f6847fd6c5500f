#include "client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define RESPONSE_BODY_MAX_BYTES (64 << 20)

/* A request whose response has not arrived yet. */
struct pending_request {
	struct ctl_response *response;
	bool done;
};

static uint64_t header_u64(struct evhttp_request *req, const char *name,
			   bool *present)
{
	const char *text =
		evhttp_find_header(evhttp_request_get_input_headers(req), name);
	uint64_t v = 0;

	*present = text && vh_slice_to_u64(vh_slice_str(text), &v);
	return v;
}

static void read_response(struct evhttp_request *req, struct ctl_response *a)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	bool present;
	uint64_t age;

	a->status = evhttp_request_get_response_code(req);
	a->version = header_u64(req, "Vh-Version", &present);
	age = header_u64(req, "Vh-Age-Ms", &present);
	a->age_ms = present ? (int64_t)age : -1;
	evbuffer_remove(in, vh_buf_reserve(&a->body, len + 1), len);
	a->body.len += len;
	a->body.data[a->body.len] = '\0';
}

static void on_response(struct evhttp_request *req, void *ctx)
{
	struct pending_request *pending = ctx;

	pending->done = true;
	/* if it cannot connect, libevent passes a request without a status */
	if (req && evhttp_request_get_response_code(req))
		read_response(req, pending->response);
	else
		pending->response->maybe_delivered = req == NULL;
}

static void add_headers(const struct ctl *c, const struct ctl_request *request,
			struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", "vanillahollow");
	evhttp_add_header(headers, "Connection", "close");
	if (c->token) {
		char *bearer = g_strdup_printf("Bearer %s", c->token);

		evhttp_add_header(headers, "Authorization", bearer);
		g_free(bearer);
	}
	if (request->publish_id)
		evhttp_add_header(headers, "Vh-Publish-Id",
				  request->publish_id);
	if (request->post)
		evhttp_add_header(headers, "Content-Type",
				  "text/plain; charset=utf-8");
}

/* Splits IP:PORT; returns false if @endpoint has another form. */
static bool split_endpoint(const char *endpoint, char **ip, uint16_t *port)
{
	const char *colon = strrchr(endpoint, ':');
	uint64_t n;

	if (!colon || !vh_slice_to_u64(vh_slice_str(colon + 1), &n) || !n ||
	    n > UINT16_MAX)
		return false;
	if (endpoint[0] == '[' && colon > endpoint + 2 && colon[-1] == ']')
		*ip = g_strndup(endpoint + 1, (size_t)(colon - endpoint) - 2);
	else
		*ip = g_strndup(endpoint, (size_t)(colon - endpoint));
	*port = (uint16_t)n;
	return true;
}

static void send_to_endpoint(struct ctl *c, const char *endpoint,
			     const struct ctl_request *request,
			     struct ctl_response *response)
{
	struct pending_request pending = { .response = response };
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	uint16_t port;
	char *ip;

	if (!split_endpoint(endpoint, &ip, &port)) {
		fprintf(c->err,
			"vhctl: invalid endpoint \"%s\": expected IP:PORT\n",
			endpoint);
		return;
	}
	conn = evhttp_connection_base_new(c->loop, NULL, ip, port);
	g_free(ip);
	evhttp_connection_set_timeout(conn, c->opt.timeout_s);
	evhttp_connection_set_max_body_size(conn, RESPONSE_BODY_MAX_BYTES);
	req = evhttp_request_new(on_response, &pending);
	add_headers(c, request, req);
	evbuffer_add(evhttp_request_get_output_buffer(req), request->body.data,
		     request->body.len);
	if (evhttp_make_request(
		    conn, req, request->post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
		    request->path) == 0) {
		while (!pending.done)
			event_base_loop(c->loop, EVLOOP_ONCE);
	}
	evhttp_connection_free(conn);
}

bool ctl_send_request(struct ctl *c, const struct ctl_request *request,
		      struct ctl_response *response)
{
	char **servers;

	memset(response, 0, sizeof(*response));
	response->age_ms = -1;
	if (request->endpoint) {
		send_to_endpoint(c, request->endpoint, request, response);
		return response->status != 0;
	}
	servers = g_strsplit(c->opt.server, ",", -1);
	for (size_t i = 0; servers[i] && !response->status; i++) {
		/* a POST that may have been received is not sent again */
		if (request->post && response->maybe_delivered)
			break;
		response->maybe_delivered = false;
		send_to_endpoint(c, g_strstrip(servers[i]), request, response);
	}
	g_strfreev(servers);
	return response->status != 0;
}

bool ctl_get(struct ctl *c, const char *endpoint, const char *path,
	     struct ctl_response *response)
{
	struct ctl_request request = { .endpoint = endpoint, .path = path };

	return ctl_send_request(c, &request, response);
}

void ctl_response_finish(struct ctl_response *response)
{
	vh_buf_finish(&response->body);
}

json_t *ctl_response_json(const struct ctl_response *response)
{
	if (!response->body.len)
		return NULL;
	return json_loadb(response->body.data, response->body.len, 0, NULL);
}

static int exit_code_for_status(int status)
{
	switch (status) {
	case 409:
		return CTL_CONFLICT;
	case 422:
		return CTL_INVALID;
	case 429:
	case 503:
		return CTL_UNAVAILABLE;
	default:
		return CTL_FAILED;
	}
}

int ctl_report_error(struct ctl *c, const struct ctl_response *response)
{
	json_t *json = ctl_response_json(response);
	const char *kind = "unspecified error kind";
	const char *message = "";
	int code = exit_code_for_status(response->status);

	if (!response->status) {
		fprintf(c->err, "vhctl: no response from %s%s\n", c->opt.server,
			response->maybe_delivered
				? " (the request may have been received)"
				: "");
		return response->maybe_delivered ? CTL_UNKNOWN_OUTCOME
						 : CTL_UNAVAILABLE;
	}
	if (json)
		json_unpack(json, "{s:{s:s,s?s}}", "error", "kind", &kind,
			    "message", &message);
	if (!strcmp(kind, "unknown_outcome"))
		code = CTL_UNKNOWN_OUTCOME;
	fprintf(c->err, "vhctl: %d %s%s%s\n", response->status, kind,
		*message ? ": " : "", message);
	json_decref(json);
	return code;
}

static void on_sleep_timeout(evutil_socket_t fd, short what, void *ctx)
{
	bool *done = ctx;

	(void)fd;
	(void)what;
	*done = true;
}

void ctl_sleep(struct ctl *c, int ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };
	bool done = false;

	event_base_once(c->loop, -1, EV_TIMEOUT, on_sleep_timeout, &done, &tv);
	while (!done)
		event_base_loop(c->loop, EVLOOP_ONCE);
}
