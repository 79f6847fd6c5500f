#include "job_json.h"

#include <jansson.h>
#include <math.h>

#define MILLI_PER_UNIT 1000.0
#define TASK_CPU_MILLI_MAX 1000000     /* 1,000 processors */
#define TASK_MEMORY_MB_MAX (16u << 20) /* 16 TiB */
#define TASK_ACCELERATORS_MAX 1024
#define PRIORITY_MAX 1000000
#define DEADLINE_S_MAX 2592000 /* 30 days */
#define TASK_OVERHEAD_BYTES 64 /* encoded size of a task without its input */

struct reader {
	struct vh_buf *message;
	enum vh_err err;
};

/* Records the error unless one was recorded before; returns false. */
static bool fail(struct reader *r, enum vh_err err, const char *where,
		 const char *what)
{
	if (r->err == VH_OK) {
		r->err = err;
		vh_buf_printf(r->message, "%s: %s", where, what);
	}
	return false;
}

static bool read_int(struct reader *r, const json_t *obj, const char *key,
		     int64_t min, int64_t max, uint32_t *out)
{
	const json_t *value = json_object_get(obj, key);
	char what[96];

	if (!value)
		return true;
	if (json_is_integer(value) && json_integer_value(value) >= min &&
	    json_integer_value(value) <= max) {
		*out = (uint32_t)json_integer_value(value);
		return true;
	}
	g_snprintf(what, sizeof(what),
		   "must be a whole number from %" G_GINT64_FORMAT
		   " to %" G_GINT64_FORMAT,
		   min, max);
	return fail(r, VH_ERR_BAD_REQUEST, key, what);
}

/* Reads a number that may have a fraction and converts it to thousandths. */
static bool read_milli(struct reader *r, const json_t *obj, const char *key,
		       double max, uint32_t *out)
{
	const json_t *value = json_object_get(obj, key);
	double n;
	char what[96];

	if (!value)
		return true;
	n = json_number_value(value);
	if (json_is_number(value) && isfinite(n) && n >= 1 / MILLI_PER_UNIT &&
	    n <= max) {
		*out = (uint32_t)llround(n * MILLI_PER_UNIT);
		return true;
	}
	g_snprintf(what, sizeof(what), "must be a number from 0.001 to %.0f",
		   max);
	return fail(r, VH_ERR_BAD_REQUEST, key, what);
}

static bool read_bool(struct reader *r, const json_t *obj, const char *key,
		      bool *out)
{
	const json_t *value = json_object_get(obj, key);

	if (!value)
		return true;
	if (!json_is_boolean(value))
		return fail(r, VH_ERR_BAD_REQUEST, key,
			    "must be true or false");
	*out = json_is_true(value);
	return true;
}

static bool read_text(struct reader *r, const json_t *obj, const char *key,
		      size_t max, struct vh_slice *out)
{
	const json_t *value = json_object_get(obj, key);

	if (!value)
		return true;
	if (!json_is_string(value))
		return fail(r, VH_ERR_BAD_REQUEST, key, "must be a string");
	if (json_string_length(value) > max)
		return fail(r, VH_ERR_TOO_LARGE, key, "is too long");
	*out = vh_slice(json_string_value(value), json_string_length(value));
	return true;
}

static bool check_known_keys(struct reader *r, json_t *obj,
			     const char *const *known)
{
	const char *key;
	json_t *value;

	json_object_foreach(obj, key, value)
	{
		const char *const *k = known;

		while (*k && strcmp(*k, key))
			k++;
		if (!*k)
			return fail(r, VH_ERR_BAD_REQUEST, key, "unknown key");
	}
	return true;
}

static bool read_task(struct reader *r, json_t *obj, struct vh_task_spec *t,
		      uint32_t *count)
{
	static const char *const known[] = { "cpus",   "memory_mb",
					     "count",  "accelerators",
					     "run_ms", "input",
					     NULL };

	memset(t, 0, sizeof(*t));
	*count = 1;
	if (!json_is_object(obj))
		return fail(r, VH_ERR_BAD_REQUEST, "tasks",
			    "must contain objects");
	if (!check_known_keys(r, obj, known))
		return false;
	if (!json_object_get(obj, "cpus"))
		return fail(r, VH_ERR_BAD_REQUEST, "cpus", "is missing");
	if (!json_object_get(obj, "memory_mb"))
		return fail(r, VH_ERR_BAD_REQUEST, "memory_mb", "is missing");
	return read_milli(r, obj, "cpus", TASK_CPU_MILLI_MAX / MILLI_PER_UNIT,
			  &t->size.v[VH_CPU]) &&
	       read_int(r, obj, "memory_mb", 1, TASK_MEMORY_MB_MAX,
			&t->size.v[VH_MEM]) &&
	       read_int(r, obj, "accelerators", 0, TASK_ACCELERATORS_MAX,
			&t->size.v[VH_ACCEL]) &&
	       read_int(r, obj, "run_ms", 0, UINT32_MAX, &t->run_ms) &&
	       read_int(r, obj, "count", 1, VH_JOB_TASKS_MAX, count) &&
	       read_text(r, obj, "input", VH_TASK_INPUT_MAX, &t->input);
}

static bool read_tasks(struct reader *r, const json_t *root,
		       struct vh_job_request *req)
{
	json_t *list = json_object_get(root, "tasks");
	struct vh_job_spec *spec = &req->spec;
	size_t bytes = 0;

	if (!json_is_array(list) || !json_array_size(list))
		return fail(r, VH_ERR_BAD_REQUEST, "tasks",
			    "must be an array of at least one task");
	req->tasks = g_new0(struct vh_task_spec, VH_JOB_TASKS_MAX);
	for (size_t i = 0; i < json_array_size(list); i++) {
		struct vh_task_spec t;
		uint32_t count;

		if (!read_task(r, json_array_get(list, i), &t, &count))
			return false;
		if (count > VH_JOB_TASKS_MAX - spec->n_tasks)
			return fail(r, VH_ERR_TOO_LARGE, "tasks",
				    "a job has at most 1024 tasks");
		bytes += count * (t.input.len + TASK_OVERHEAD_BYTES);
		if (bytes > VH_JOB_ENCODED_BYTES_MAX)
			return fail(r, VH_ERR_TOO_LARGE, "tasks",
				    "the job has more than 262144 bytes");
		while (count--)
			req->tasks[spec->n_tasks++] = t;
	}
	spec->tasks = req->tasks;
	return true;
}

static bool read_class(struct reader *r, const json_t *root,
		       const struct vh_queue *queue, struct vh_job_spec *spec)
{
	struct vh_slice name = vh_slice_str(vh_class_name(queue->cls));

	if (!read_text(r, root, "class", VH_NAME_MAX, &name))
		return false;
	spec->cls = vh_class_from_name(name);
	if (spec->cls != queue->cls)
		return fail(r, VH_ERR_BAD_REQUEST, "class",
			    "must match the queue's class or be left out");
	return true;
}

static bool read_job(struct reader *r, json_t *root,
		     const struct vh_queue *queue, struct vh_job_request *req)
{
	static const char *const known[] = { "tasks",	 "class",
					     "gang",	 "idempotent",
					     "priority", "deadline_s",
					     "region",	 NULL };
	struct vh_job_spec *spec = &req->spec;

	if (!json_is_object(root))
		return fail(r, VH_ERR_BAD_REQUEST, "job",
			    "must be a JSON object");
	spec->queue = queue->name;
	spec->priority = queue->priority;
	return check_known_keys(r, root, known) &&
	       read_class(r, root, queue, spec) &&
	       read_bool(r, root, "gang", &spec->gang) &&
	       read_bool(r, root, "idempotent", &spec->idempotent) &&
	       read_int(r, root, "priority", 0, PRIORITY_MAX,
			&spec->priority) &&
	       read_milli(r, root, "deadline_s", DEADLINE_S_MAX,
			  &spec->deadline_ms) &&
	       read_text(r, root, "region", VH_NAME_MAX, &spec->region) &&
	       read_tasks(r, root, req);
}

enum vh_err vh_job_request_read(struct vh_job_request *req,
				struct vh_slice body,
				const struct vh_queue *queue,
				struct vh_buf *message)
{
	struct reader r = { .message = message, .err = VH_OK };
	json_error_t where;
	json_t *root;

	memset(req, 0, sizeof(*req));
	root = json_loadb(body.len ? body.data : "", body.len,
			  JSON_REJECT_DUPLICATES, &where);
	if (!root) {
		vh_buf_printf(message, "not valid JSON: line %d: %s",
			      where.line, where.text);
		return VH_ERR_BAD_REQUEST;
	}
	req->json = root;
	if (!read_job(&r, root, queue, req))
		vh_job_request_finish(req);
	return r.err;
}

void vh_job_request_finish(struct vh_job_request *req)
{
	json_decref(req->json);
	g_free(req->tasks);
	memset(req, 0, sizeof(*req));
}
