#include "gateway_impl.h"

#include "service_api.h"

#define QUEUES_PREFIX "/v1/queues/"
#define JOBS_PREFIX "/v1/jobs/"
#define SERVICES_PREFIX "/v1/services/"
#define LONG_POLL_MAX_S 60 /* larger values of ?wait= are lowered to it */

static bool strip_prefix(struct vh_slice *path, const char *prefix)
{
	size_t n = strlen(prefix);

	if (path->len < n || memcmp(path->data, prefix, n))
		return false;
	path->data += n;
	path->len -= n;
	return true;
}

/* Splits "NAME/..." or "NAME" so that @rest begins at the slash or is empty;
 * false if the name is empty or too long. */
static bool split_name(struct vh_slice path, struct vh_slice *name,
		       struct vh_slice *rest)
{
	const char *slash = memchr(path.data, '/', path.len);

	*name = vh_slice(path.data,
			 slash ? (size_t)(slash - path.data) : path.len);
	*rest = vh_slice(path.data + name->len, path.len - name->len);
	return name->len && name->len <= VH_NAME_MAX;
}

static void respond_error(struct vh_request *req, enum vh_err err,
			  const char *message)
{
	vh_request_respond_error(req, err, vh_slice_str(message));
}

static void copy_name(char to[VH_NAME_MAX + 1], struct vh_slice name)
{
	memcpy(to, name.data, name.len);
	to[name.len] = '\0';
}

static void serve_queue(struct vh_request *req, const struct vh_key *key,
			struct vh_slice path)
{
	const struct vh_objects *objects = vh_gateway_objects(req->g);
	const struct vh_queue *queue;
	struct vh_slice name, rest;

	if (!split_name(path, &name, &rest) ||
	    !vh_slice_eq_str(rest, "/jobs")) {
		respond_error(req, VH_ERR_NOT_FOUND, "no such path");
		return;
	}
	if (vh_exchange_method(req->ex) != EVHTTP_REQ_POST) {
		respond_error(req, VH_ERR_METHOD_NOT_ALLOWED,
			      "jobs are sent by POST");
		return;
	}
	queue = vh_objects_find_queue(objects, name);
	if (!queue) {
		respond_error(req, VH_ERR_NOT_FOUND, "no such queue");
		return;
	}
	if (!vh_queue_allows(queue, key->team)) {
		respond_error(
			req, VH_ERR_FORBIDDEN,
			"the key's team is not allowed to use this queue");
		return;
	}
	copy_name(req->target, name);
	req->cls = queue->cls;
	req->start = vh_jobs_api_submit;
	vh_request_admit(req, key->team);
}

static bool parse_wait(const struct vh_exchange *ex, int64_t *wait_ms)
{
	struct vh_slice text;
	uint64_t seconds;

	*wait_ms = 0;
	if (!vh_exchange_query_param(ex, "wait", &text))
		return true;
	if (!vh_slice_to_u64(text, &seconds))
		return false;
	if (seconds > LONG_POLL_MAX_S)
		seconds = LONG_POLL_MAX_S;
	*wait_ms = (int64_t)seconds * VH_MS_PER_S;
	return true;
}

static void serve_job(struct vh_request *req, struct vh_slice id)
{
	int64_t wait_ms;

	if (!id.len || memchr(id.data, '/', id.len)) {
		respond_error(req, VH_ERR_NOT_FOUND, "no such path");
		return;
	}
	switch (vh_exchange_method(req->ex)) {
	case EVHTTP_REQ_GET:
		if (!parse_wait(req->ex, &wait_ms))
			respond_error(
				req, VH_ERR_BAD_REQUEST,
				"wait: must be a whole number of seconds");
		else
			vh_jobs_api_get(req, id, wait_ms);
		return;
	case EVHTTP_REQ_DELETE:
		vh_jobs_api_cancel(req, id);
		return;
	default:
		respond_error(
			req, VH_ERR_METHOD_NOT_ALLOWED,
			"jobs can only be read (GET) or cancelled (DELETE)");
	}
}

static void serve_service(struct vh_request *req, const struct vh_key *key,
			  struct vh_slice path)
{
	const struct vh_objects *objects = vh_gateway_objects(req->g);
	const struct vh_service_object *service;
	struct vh_slice name, rest;

	if (!split_name(path, &name, &rest) ||
	    !strip_prefix(&rest, "/requests") ||
	    (rest.len && rest.data[0] != '/')) {
		respond_error(req, VH_ERR_NOT_FOUND, "no such path");
		return;
	}
	if (vh_exchange_method(req->ex) != EVHTTP_REQ_POST) {
		respond_error(req, VH_ERR_METHOD_NOT_ALLOWED,
			      "requests are sent by POST");
		return;
	}
	service = vh_objects_find_service(objects, name);
	if (!service) {
		respond_error(req, VH_ERR_NOT_FOUND, "no such service");
		return;
	}
	if (!vh_service_allows(service, key->team)) {
		respond_error(
			req, VH_ERR_FORBIDDEN,
			"the key's team is not allowed to use this service");
		return;
	}
	copy_name(req->target, name);
	req->cls = service->cls;
	req->start = vh_service_api_run;
	vh_request_admit(req, key->team);
}

bool vh_idempotency_key_valid(struct vh_slice key)
{
	if (key.len > VH_IDEM_KEY_MAX)
		return false;
	for (size_t i = 0; i < key.len; i++) {
		if (key.data[i] < 0x21 || key.data[i] > 0x7e)
			return false;
	}
	return true;
}

void vh_callers_handle(void *gateway, struct vh_exchange *ex)
{
	struct vh_gateway *g = gateway;
	struct vh_request *req = vh_request_new(g, ex);
	struct vh_slice path = vh_exchange_path(ex);
	const struct vh_key *key;

	if (!vh_gateway_objects(g)) {
		respond_error(req, VH_ERR_NOT_READY,
			      "no configuration has been loaded yet");
		return;
	}
	if (!vh_gateway_trusts_keys(g)) {
		respond_error(req, VH_ERR_NOT_READY,
			      "this node has lost contact with the log and "
			      "cannot check keys");
		return;
	}
	key = vh_request_key(req);
	if (!key) {
		vh_exchange_set_header(ex, "WWW-Authenticate", "Bearer");
		respond_error(req, VH_ERR_UNAUTHENTICATED,
			      "missing or invalid key");
		return;
	}
	copy_name(req->team, key->team->name);
	if (strip_prefix(&path, QUEUES_PREFIX))
		serve_queue(req, key, path);
	else if (strip_prefix(&path, JOBS_PREFIX))
		serve_job(req, path);
	else if (strip_prefix(&path, SERVICES_PREFIX))
		serve_service(req, key, path);
	else
		respond_error(req, VH_ERR_NOT_FOUND, "no such path");
}

void vh_callers_end_long_polls(struct vh_gateway *g)
{
	struct vh_request *next;

	for (struct vh_request *req = g->requests; req; req = next) {
		next = req->next;
		if (req->ex && req->recheck_key)
			vh_jobs_api_end_long_poll(req);
	}
}
