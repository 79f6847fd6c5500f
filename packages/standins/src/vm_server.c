#include "vm_server.h"

#define HTTP_NOT_MODIFIED 304

/* A request that waits for a new version of the list. */
struct long_poll {
	struct vh_vm_server *s;
	struct vh_httpd_req *req;
	struct vh_timer timeout;
};

static int64_t now(const struct vh_vm_server *s)
{
	return vh_kernel_now_ms(s->http.kernel);
}

static void free_long_poll(struct long_poll *p)
{
	g_ptr_array_remove_fast(p->s->long_polls, p);
	vh_timer_finish(&p->timeout);
	g_free(p);
}

static void on_long_poll_cancel(struct vh_httpd_req *req)
{
	free_long_poll(req->ctx);
}

static void on_long_poll_timeout(void *ctx)
{
	struct long_poll *p = ctx;

	p->req->on_cancel = NULL;
	vh_httpd_reply(p->req, HTTP_NOT_MODIFIED, NULL, vh_slice(NULL, 0));
	free_long_poll(p);
}

static void publish_due_changes(struct vh_vm_server *s)
{
	int64_t next_ms;

	if (vh_vm_list_apply_due(&s->list, now(s))) {
		for (unsigned int i = s->long_polls->len; i-- > 0;) {
			struct long_poll *p = s->long_polls->pdata[i];

			p->req->on_cancel = NULL;
			vh_httpd_reply_json(p->req, HTTP_OK,
					    vh_vm_list_json(&s->list));
			free_long_poll(p);
		}
	}
	next_ms = vh_vm_list_next_due_ms(&s->list);
	if (next_ms != INT64_MAX)
		vh_timer_start(&s->lag_timer, MAX(0, next_ms - now(s)));
}

static void on_lag_timer(void *ctx)
{
	publish_due_changes(ctx);
}

static void serve_list(struct vh_vm_server *s, struct vh_httpd_req *req)
{
	int64_t since = vh_httpd_query_int(req, "since", 0);
	int64_t wait_ms = vh_httpd_query_int(req, "wait_ms", 0);
	struct long_poll *p;

	if ((uint64_t)since != s->list.version) {
		vh_httpd_reply_json(req, HTTP_OK, vh_vm_list_json(&s->list));
		return;
	}
	p = g_new0(struct long_poll, 1);
	p->s = s;
	p->req = req;
	req->ctx = p;
	req->on_cancel = on_long_poll_cancel;
	vh_timer_init(&p->timeout, s->http.kernel, on_long_poll_timeout, p);
	g_ptr_array_add(s->long_polls, p);
	vh_timer_start(&p->timeout, MAX(0, wait_ms));
}

static bool set_state(struct vh_vm_server *s, const char *id, const char *state)
{
	const struct vh_fleet_vm *actual = vh_vm_list_find(&s->list, id);
	struct vh_fleet_vm vm;

	if (!actual)
		return false;
	vh_fleet_vm_copy(&vm, actual);
	g_free(vm.state);
	vm.state = g_strdup(state);
	vh_vm_list_set(&s->list, &vm, now(s));
	vh_fleet_vm_finish(&vm);
	return true;
}

static bool set_rack_state(struct vh_vm_server *s, const char *rack,
			   const char *state)
{
	GPtrArray *ids = vh_vm_list_ids(&s->list, rack);
	bool any = ids->len > 0;

	for (unsigned int i = 0; i < ids->len; i++)
		set_state(s, ids->pdata[i], state);
	g_ptr_array_free(ids, TRUE);
	return any;
}

static bool is_valid_state(const char *state)
{
	return !strcmp(state, "live") || !strcmp(state, "leaving") ||
	       !strcmp(state, "failed") || !strcmp(state, "gone");
}

/* Returns NULL, or a description of the error. */
static const char *apply_control(struct vh_vm_server *s, json_t *json)
{
	const char *id = NULL, *rack = NULL, *state = NULL;
	json_t *add = NULL;
	int down = s->down;
	json_int_t lag_ms = s->list.lag_ms;
	struct vh_fleet_vm vm;

	if (json_unpack_ex(json, NULL, JSON_STRICT, "{s?s,s?s,s?s,s?o,s?b,s?I}",
			   "vm", &id, "rack", &rack, "state", &state, "add",
			   &add, "down", &down, "lag_ms", &lag_ms))
		return "unknown key or wrong type";
	if ((id || rack) && (!state || !is_valid_state(state)))
		return "state must be live, leaving, failed or gone";
	s->down = down;
	s->list.lag_ms = lag_ms;
	if (add) {
		if (!vh_fleet_vm_from_json(&vm, add, NULL))
			return "add: not a valid VM";
		vh_vm_list_set(&s->list, &vm, now(s));
		vh_fleet_vm_finish(&vm);
	}
	if (id && !set_state(s, id, state))
		return "no such VM";
	if (rack && !set_rack_state(s, rack, state))
		return "no such rack";
	return NULL;
}

static void on_request(void *ctx, struct vh_httpd_req *req)
{
	struct vh_vm_server *s = ctx;
	const char *problem;
	json_t *json;

	if (vh_httpd_req_matches(req, EVHTTP_REQ_GET, "/vms")) {
		if (s->down)
			vh_httpd_drop(req);
		else
			serve_list(s, req);
		return;
	}
	if (!vh_httpd_req_matches(req, EVHTTP_REQ_POST, "/control")) {
		vh_httpd_reply_error(req, HTTP_NOTFOUND, "not_found",
				     "no such path");
		return;
	}
	json = vh_httpd_parse_json(req);
	if (!json)
		return;
	problem = apply_control(s, json);
	json_decref(json);
	if (problem)
		vh_httpd_reply_error(req, HTTP_BADREQUEST, "bad_request",
				     problem);
	else
		vh_httpd_reply_json(req, HTTP_OK, json_object());
	publish_due_changes(s);
}

bool vh_vm_server_start(struct vh_vm_server *s, struct vh_kernel *kernel,
			uint16_t port, const struct vh_fleet *fleet,
			int64_t lag_ms, GError **err)
{
	memset(s, 0, sizeof(*s));
	vh_httpd_init(&s->http, kernel, on_request, s);
	if (!vh_httpd_start(&s->http, port, err))
		return false;
	vh_vm_list_init(&s->list, 0);
	s->long_polls = g_ptr_array_new();
	vh_timer_init(&s->lag_timer, kernel, on_lag_timer, s);
	for (size_t i = 0; i < fleet->n; i++)
		vh_vm_list_set(&s->list, &fleet->vms[i], now(s));
	publish_due_changes(s);
	s->list.lag_ms = lag_ms;
	return true;
}

void vh_vm_server_stop(struct vh_vm_server *s)
{
	vh_httpd_stop(&s->http);
	vh_timer_finish(&s->lag_timer);
	g_ptr_array_free(s->long_polls, TRUE);
	vh_vm_list_finish(&s->list);
}
