#include "gateway_impl.h"

#include "service_api.h"

#define QUEUES "/v1/queues/"
#define JOBS "/v1/jobs/"
#define SERVICES "/v1/services/"
#define WAIT_MAX_S 60 /* longest ?wait= of a job */

static bool strip_prefix(struct vh_slice *path, const char *prefix)
{
	size_t n = strlen(prefix);

	if (path->len < n || memcmp(path->data, prefix, n))
		return false;
	path->data += n;
	path->len -= n;
	return true;
}

/* Splits "NAME/REST" or "NAME"; false if the name is empty or too long. */
static bool split_name(struct vh_slice path, struct vh_slice *name,
		       struct vh_slice *rest)
{
	const char *slash = memchr(path.data, '/', path.len);

	*name = vh_slice(path.data,
			 slash ? (size_t)(slash - path.data) : path.len);
	*rest = vh_slice(path.data + name->len, path.len - name->len);
	return name->len && name->len <= VH_NAME_MAX;
}

static void refuse(struct vh_request *w, enum vh_err err, const char *message)
{
	vh_request_respond_error(w, err, vh_slice_str(message));
}

static void set_name(char to[VH_NAME_MAX + 1], struct vh_slice name)
{
	memcpy(to, name.data, name.len);
	to[name.len] = '\0';
}

static void serve_queue(struct vh_request *w, const struct vh_key *key,
			struct vh_slice path)
{
	const struct vh_objects *objects = vh_gateway_objects(w->g);
	const struct vh_queue *queue;
	struct vh_slice name, rest;

	if (!split_name(path, &name, &rest) ||
	    !vh_slice_eq_str(rest, "/jobs")) {
		refuse(w, VH_ERR_NOT_FOUND, "no such path");
		return;
	}
	if (vh_exchange_method(w->ex) != EVHTTP_REQ_POST) {
		refuse(w, VH_ERR_METHOD_NOT_ALLOWED, "jobs are sent by POST");
		return;
	}
	queue = vh_objects_queue(objects, name);
	if (!queue) {
		refuse(w, VH_ERR_NOT_FOUND, "no such queue");
		return;
	}
	if (!vh_queue_allows(queue, key->team)) {
		refuse(w, VH_ERR_FORBIDDEN,
		       "the key's team may not use this queue");
		return;
	}
	set_name(w->target, name);
	w->cls = queue->cls;
	w->run = vh_jobs_api_submit;
	vh_request_admit(w, key->team);
}

static bool read_wait(const struct vh_exchange *ex, int64_t *wait_ms)
{
	struct vh_slice text;
	uint64_t seconds;

	*wait_ms = 0;
	if (!vh_exchange_query_param(ex, "wait", &text))
		return true;
	if (!vh_slice_to_u64(text, &seconds))
		return false;
	if (seconds > WAIT_MAX_S)
		seconds = WAIT_MAX_S;
	*wait_ms = (int64_t)seconds * VH_MS_PER_S;
	return true;
}

static void serve_job(struct vh_request *w, struct vh_slice id)
{
	int64_t wait_ms;

	if (!id.len || memchr(id.data, '/', id.len)) {
		refuse(w, VH_ERR_NOT_FOUND, "no such path");
		return;
	}
	switch (vh_exchange_method(w->ex)) {
	case EVHTTP_REQ_GET:
		if (!read_wait(w->ex, &wait_ms))
			refuse(w, VH_ERR_BAD_REQUEST,
			       "wait: must be whole seconds");
		else
			vh_jobs_api_get(w, id, wait_ms);
		return;
	case EVHTTP_REQ_DELETE:
		vh_jobs_api_cancel(w, id);
		return;
	default:
		refuse(w, VH_ERR_METHOD_NOT_ALLOWED,
		       "jobs are read and cancelled here");
	}
}

static void serve_service(struct vh_request *w, const struct vh_key *key,
			  struct vh_slice path)
{
	const struct vh_objects *objects = vh_gateway_objects(w->g);
	const struct vh_service_object *service;
	struct vh_slice name, rest;

	if (!split_name(path, &name, &rest) ||
	    !strip_prefix(&rest, "/requests") ||
	    (rest.len && rest.data[0] != '/')) {
		refuse(w, VH_ERR_NOT_FOUND, "no such path");
		return;
	}
	if (vh_exchange_method(w->ex) != EVHTTP_REQ_POST) {
		refuse(w, VH_ERR_METHOD_NOT_ALLOWED,
		       "requests are sent by POST");
		return;
	}
	service = vh_objects_service(objects, name);
	if (!service) {
		refuse(w, VH_ERR_NOT_FOUND, "no such service");
		return;
	}
	if (!vh_service_allows(service, key->team)) {
		refuse(w, VH_ERR_FORBIDDEN,
		       "the key's team may not use this service");
		return;
	}
	set_name(w->target, name);
	w->cls = service->cls;
	w->run = vh_service_api_run;
	vh_request_admit(w, key->team);
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
	struct vh_request *w = vh_request_new(g, ex);
	struct vh_slice path = vh_exchange_path(ex);
	const struct vh_key *key;

	if (!vh_gateway_objects(g)) {
		refuse(w, VH_ERR_NOT_READY, "no configuration is in force yet");
		return;
	}
	if (!vh_gateway_trusts_keys(g)) {
		refuse(w, VH_ERR_NOT_READY,
		       "this node is cut off and cannot check keys");
		return;
	}
	key = vh_request_key(w);
	if (!key) {
		vh_exchange_set_header(ex, "WWW-Authenticate", "Bearer");
		refuse(w, VH_ERR_UNAUTHENTICATED, "no valid key");
		return;
	}
	set_name(w->team, key->team->name);
	if (strip_prefix(&path, QUEUES))
		serve_queue(w, key, path);
	else if (strip_prefix(&path, JOBS))
		serve_job(w, path);
	else if (strip_prefix(&path, SERVICES))
		serve_service(w, key, path);
	else
		refuse(w, VH_ERR_NOT_FOUND, "no such path");
}

void vh_callers_end_long_polls(struct vh_gateway *g)
{
	struct vh_request *next;

	for (struct vh_request *w = g->works; w; w = next) {
		next = w->next;
		if (w->ex && w->recheck)
			vh_jobs_api_end_long_poll(w);
	}
}
