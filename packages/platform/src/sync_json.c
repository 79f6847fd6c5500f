#include <jansson.h>

#include "vh/worker_client.h"

/* JSON strings are UTF-8: other bytes give an empty string. The gateway rejects
 * such input beforehand. */
static json_t *json_from_slice(struct vh_slice s)
{
	json_t *v = json_stringn(s.data ? s.data : "", s.len);

	return v ? v : json_string("");
}

static json_t *start_json(const struct vh_start *s)
{
	return json_pack(
		"{s:o,s:I,s:o,s:I,s:s,s:I,s:I,s:I,s:I,s:I,s:o,s:o,s:b,s:I}",
		"task", json_from_slice(s->task), "attempt",
		(json_int_t)s->attempt, "home", json_from_slice(s->home),
		"home_epoch", (json_int_t)s->home_epoch, "class",
		vh_class_name(s->cls), "cpu_milli",
		(json_int_t)s->size.v[VH_CPU], "memory_mb",
		(json_int_t)s->size.v[VH_MEM], "accelerators",
		(json_int_t)s->size.v[VH_ACCEL], "slots",
		(json_int_t)s->size.v[VH_SLOTS], "connections",
		(json_int_t)s->size.v[VH_CONNS], "service",
		json_from_slice(s->service), "input", json_from_slice(s->input),
		"idempotent", s->idempotent, "not_after",
		(json_int_t)s->not_after_ms);
}

static json_t *stop_json(const struct vh_stop *s)
{
	static const char *const modes[] = { "kill", "checkpoint", "throttle" };

	return json_pack("{s:o,s:I,s:s}", "task", json_from_slice(s->task),
			 "attempt", (json_int_t)s->attempt, "mode",
			 modes[s->mode]);
}

char *vh_sync_req_to_json(const struct vh_sync_req *req)
{
	json_t *root = json_pack("{s:I,s:o,s:o,s:I,s:I,s:b,s:I}", "epoch",
				 (json_int_t)req->epoch, "owner",
				 json_from_slice(req->owner), "incarnation",
				 json_from_slice(req->incarnation),
				 "lease_until", (json_int_t)req->lease_until_ms,
				 "ack", (json_int_t)req->ack, "full", req->full,
				 "wait_ms", (json_int_t)req->wait_ms);
	json_t *list;
	char *out;

	if (req->n_starts) {
		list = json_array();
		for (size_t i = 0; i < req->n_starts; i++)
			json_array_append_new(list,
					      start_json(&req->starts[i]));
		json_object_set_new(root, "starts", list);
	}
	if (req->n_stops) {
		list = json_array();
		for (size_t i = 0; i < req->n_stops; i++)
			json_array_append_new(list, stop_json(&req->stops[i]));
		json_object_set_new(root, "stops", list);
	}
	out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return out;
}

static struct vh_slice get_slice(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	return vh_slice(json_string_value(v), json_string_length(v));
}

static int64_t get_int(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static uint32_t get_u32(const json_t *o, const char *key)
{
	int64_t v = get_int(o, key);

	if (v < 0)
		return 0;
	return v > UINT32_MAX ? UINT32_MAX : (uint32_t)v;
}

static void parse_running(const json_t *o, struct vh_running_task *r)
{
	r->task = get_slice(o, "task");
	r->attempt = get_u32(o, "attempt");
	r->home = get_slice(o, "home");
	r->home_epoch = (uint64_t)get_int(o, "home_epoch");
	r->cls = vh_class_from_name(get_slice(o, "class"));
	r->size.v[VH_CPU] = get_u32(o, "cpu_milli");
	r->size.v[VH_MEM] = get_u32(o, "memory_mb");
	r->size.v[VH_ACCEL] = get_u32(o, "accelerators");
	r->size.v[VH_SLOTS] = get_u32(o, "slots");
	r->size.v[VH_CONNS] = get_u32(o, "connections");
	r->service = get_slice(o, "service");
	r->idempotent = json_is_true(json_object_get(o, "idempotent"));
	r->used_cpu_milli = get_u32(o, "used_cpu_milli");
	r->used_mem_mb = get_u32(o, "used_memory_mb");
	r->since_ms = get_int(o, "since");
}

static void parse_ended(const json_t *o, struct vh_ended_task *e)
{
	e->seq = (uint64_t)get_int(o, "seq");
	e->task = get_slice(o, "task");
	e->attempt = get_u32(o, "attempt");
	e->home = get_slice(o, "home");
	e->end = vh_end_from_name(get_slice(o, "end"));
	e->exit_code = (int32_t)get_int(o, "exit_code");
	e->result = get_slice(o, "result");
	if (e->result.len > VH_TASK_RESULT_MAX)
		e->result.len = VH_TASK_RESULT_MAX;
}

static void parse_refused(const json_t *o, struct vh_refused_start *r)
{
	r->task = get_slice(o, "task");
	r->attempt = get_u32(o, "attempt");
	r->why = get_slice(o, "why");
}

static bool types_are_valid(const json_t *root, const json_t **running,
			    const json_t **ended, const json_t **refused)
{
	*running = json_object_get(root, "running");
	*ended = json_object_get(root, "ended");
	*refused = json_object_get(root, "refused");
	return json_is_integer(json_object_get(root, "epoch")) &&
	       json_is_integer(json_object_get(root, "clock")) &&
	       json_is_string(json_object_get(root, "incarnation")) &&
	       (!*running || json_is_array(*running)) &&
	       (!*ended || json_is_array(*ended)) &&
	       (!*refused || json_is_array(*refused));
}

static void parse_lists(const json_t *running, const json_t *ended,
			const json_t *refused, struct vh_sync_reply *out)
{
	struct vh_running_task *run =
		g_new0(struct vh_running_task, json_array_size(running) + 1);
	struct vh_ended_task *end =
		g_new0(struct vh_ended_task, json_array_size(ended) + 1);
	struct vh_refused_start *ref =
		g_new0(struct vh_refused_start, json_array_size(refused) + 1);

	for (size_t i = 0; i < json_array_size(running); i++)
		parse_running(json_array_get(running, i), &run[i]);
	for (size_t i = 0; i < json_array_size(ended); i++)
		parse_ended(json_array_get(ended, i), &end[i]);
	for (size_t i = 0; i < json_array_size(refused); i++)
		parse_refused(json_array_get(refused, i), &ref[i]);
	out->running = run;
	out->n_running = json_array_size(running);
	out->ended = end;
	out->n_ended = json_array_size(ended);
	out->refused = ref;
	out->n_refused = json_array_size(refused);
}

bool vh_sync_reply_parse(struct vh_slice json, struct vh_sync_reply *out,
			 void **storage, GError **err)
{
	json_t *root =
		json_loadb(json.data ? json.data : "", json.len, 0, NULL);
	const json_t *running, *ended, *refused;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(root) ||
	    !types_are_valid(root, &running, &ended, &refused)) {
		json_decref(root);
		g_set_error(err, VH_ERROR, VH_ERR_CORRUPT,
			    "malformed sync reply from worker");
		return false;
	}
	out->epoch = (uint64_t)get_int(root, "epoch");
	out->clock_ms = get_int(root, "clock");
	out->incarnation = get_slice(root, "incarnation");
	out->leaving = json_is_true(json_object_get(root, "leaving"));
	out->full = json_is_true(json_object_get(root, "full"));
	parse_lists(running, ended, refused, out);
	*storage = root;
	return true;
}

void vh_sync_reply_finish(struct vh_sync_reply *reply, void *storage)
{
	g_free((void *)reply->running);
	g_free((void *)reply->ended);
	g_free((void *)reply->refused);
	json_decref(storage);
}
