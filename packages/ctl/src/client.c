#include "client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define BODY_MAX (64 << 20) /* bytes of an answer */

/* One call under way. */
struct call {
	struct ctl_response *answer;
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

static void take_answer(struct evhttp_request *req, struct ctl_response *a)
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

static void call_done(struct evhttp_request *req, void *ctx)
{
	struct call *call = ctx;

	call->done = true;
	/* without a connection libevent calls with a request without status */
	if (req && evhttp_request_get_response_code(req))
		take_answer(req, call->answer);
	else
		call->answer->sent = req == NULL;
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

/* Splits IP:PORT; false if it is not that. */
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

static void call_endpoint(struct ctl *c, const char *endpoint,
			  const struct ctl_request *request,
			  struct ctl_response *answer)
{
	struct call call = { .answer = answer };
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	uint16_t port;
	char *ip;

	if (!split_endpoint(endpoint, &ip, &port)) {
		fprintf(c->err, "vhctl: \"%s\" is not IP:PORT\n", endpoint);
		return;
	}
	conn = evhttp_connection_base_new(c->loop, NULL, ip, port);
	g_free(ip);
	evhttp_connection_set_timeout(conn, c->opt.timeout_s);
	evhttp_connection_set_max_body_size(conn, BODY_MAX);
	req = evhttp_request_new(call_done, &call);
	add_headers(c, request, req);
	evbuffer_add(evhttp_request_get_output_buffer(req), request->body.data,
		     request->body.len);
	if (evhttp_make_request(
		    conn, req, request->post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
		    request->path) == 0) {
		while (!call.done)
			event_base_loop(c->loop, EVLOOP_ONCE);
	}
	evhttp_connection_free(conn);
}

bool ctl_send_request(struct ctl *c, const struct ctl_request *request,
		      struct ctl_response *answer)
{
	char **servers;

	memset(answer, 0, sizeof(*answer));
	answer->age_ms = -1;
	if (request->endpoint) {
		call_endpoint(c, request->endpoint, request, answer);
		return answer->status != 0;
	}
	servers = g_strsplit(c->opt.server, ",", -1);
	for (size_t i = 0; servers[i] && !answer->status; i++) {
		/* what may have arrived is not sent again by itself */
		if (request->post && answer->sent)
			break;
		answer->sent = false;
		call_endpoint(c, g_strstrip(servers[i]), request, answer);
	}
	g_strfreev(servers);
	return answer->status != 0;
}

bool ctl_get(struct ctl *c, const char *endpoint, const char *path,
	     struct ctl_response *answer)
{
	struct ctl_request request = { .endpoint = endpoint, .path = path };

	return ctl_send_request(c, &request, answer);
}

void ctl_response_finish(struct ctl_response *answer)
{
	vh_buf_finish(&answer->body);
}

json_t *ctl_response_json(const struct ctl_response *answer)
{
	if (!answer->body.len)
		return NULL;
	return json_loadb(answer->body.data, answer->body.len, 0, NULL);
}

static int exit_of_status(int status)
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

int ctl_report_error(struct ctl *c, const struct ctl_response *answer)
{
	json_t *json = ctl_response_json(answer);
	const char *kind = "no error kind";
	const char *message = "";
	int code = exit_of_status(answer->status);

	if (!answer->status) {
		fprintf(c->err, "vhctl: no answer from %s%s\n", c->opt.server,
			answer->sent ? " (it may have arrived)" : "");
		return answer->sent ? CTL_UNKNOWN_OUTCOME : CTL_UNAVAILABLE;
	}
	if (json)
		json_unpack(json, "{s:{s:s,s?s}}", "error", "kind", &kind,
			    "message", &message);
	if (!strcmp(kind, "unknown_outcome"))
		code = CTL_UNKNOWN_OUTCOME;
	fprintf(c->err, "vhctl: %d %s%s%s\n", answer->status, kind,
		*message ? ": " : "", message);
	json_decref(json);
	return code;
}

static void sleep_done(evutil_socket_t fd, short what, void *ctx)
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

	event_base_once(c->loop, -1, EV_TIMEOUT, sleep_done, &done, &tv);
	while (!done)
		event_base_loop(c->loop, EVLOOP_ONCE);
}
