#include "job_json.h"

#include <jansson.h>
#include <math.h>

#define MILLI 1000.0
#define CPU_MILLI_MAX 1000000	  /* 1,000 processors a task */
#define MEMORY_MB_MAX (16u << 20) /* 16 TiB a task */
#define ACCELERATORS_MAX 1024	  /* a task */
#define PRIORITY_MAX 1000000
#define DEADLINE_S_MAX 2592000 /* 30 days */
#define TASK_OVERHEAD 64       /* packed bytes of a task around its input */

struct reader {
	struct vh_buf *message;
	enum vh_err err;
};

/* Notes the first mistake. */
static bool fail(struct reader *r, enum vh_err err, const char *where,
		 const char *what)
{
	if (r->err == VH_OK) {
		r->err = err;
		vh_buf_printf(r->message, "%s: %s", where, what);
	}
	return false;
}

static bool read_int(struct reader *r, const json_t *o, const char *key,
		     int64_t min, int64_t max, uint32_t *out)
{
	const json_t *v = json_object_get(o, key);
	char what[96];

	if (!v)
		return true;
	if (json_is_integer(v) && json_integer_value(v) >= min &&
	    json_integer_value(v) <= max) {
		*out = (uint32_t)json_integer_value(v);
		return true;
	}
	g_snprintf(what, sizeof(what),
		   "must be a whole number from %" G_GINT64_FORMAT
		   " to %" G_GINT64_FORMAT,
		   min, max);
	return fail(r, VH_ERR_BAD_REQUEST, key, what);
}

/* Reads a number, possibly with a fraction, as thousandths. */
static bool read_milli(struct reader *r, const json_t *o, const char *key,
		       double max, uint32_t *out)
{
	const json_t *v = json_object_get(o, key);
	double n;
	char what[96];

	if (!v)
		return true;
	n = json_number_value(v);
	if (json_is_number(v) && isfinite(n) && n >= 1 / MILLI && n <= max) {
		*out = (uint32_t)llround(n * MILLI);
		return true;
	}
	g_snprintf(what, sizeof(what), "must be a number from 0.001 to %.0f",
		   max);
	return fail(r, VH_ERR_BAD_REQUEST, key, what);
}

static bool read_bool(struct reader *r, const json_t *o, const char *key,
		      bool *out)
{
	const json_t *v = json_object_get(o, key);

	if (!v)
		return true;
	if (!json_is_boolean(v))
		return fail(r, VH_ERR_BAD_REQUEST, key,
			    "must be true or false");
	*out = json_is_true(v);
	return true;
}

static bool read_text(struct reader *r, const json_t *o, const char *key,
		      size_t max, struct vh_slice *out)
{
	const json_t *v = json_object_get(o, key);

	if (!v)
		return true;
	if (!json_is_string(v))
		return fail(r, VH_ERR_BAD_REQUEST, key, "must be a string");
	if (json_string_length(v) > max)
		return fail(r, VH_ERR_TOO_LARGE, key, "is too long");
	*out = vh_slice(json_string_value(v), json_string_length(v));
	return true;
}

static bool known_keys(struct reader *r, json_t *o, const char *const *known)
{
	const char *key;
	json_t *value;

	json_object_foreach(o, key, value)
	{
		const char *const *k = known;

		while (*k && strcmp(*k, key))
			k++;
		if (!*k)
			return fail(r, VH_ERR_BAD_REQUEST, key,
				    "is not a known key");
	}
	return true;
}

static bool read_task(struct reader *r, json_t *o, struct vh_task_spec *t,
		      uint32_t *count)
{
	static const char *const known[] = { "cpus",   "memory_mb",
					     "count",  "accelerators",
					     "run_ms", "input",
					     NULL };

	memset(t, 0, sizeof(*t));
	*count = 1;
	if (!json_is_object(o))
		return fail(r, VH_ERR_BAD_REQUEST, "tasks",
			    "must hold objects");
	if (!known_keys(r, o, known))
		return false;
	if (!json_object_get(o, "cpus"))
		return fail(r, VH_ERR_BAD_REQUEST, "cpus", "is missing");
	if (!json_object_get(o, "memory_mb"))
		return fail(r, VH_ERR_BAD_REQUEST, "memory_mb", "is missing");
	return read_milli(r, o, "cpus", CPU_MILLI_MAX / MILLI,
			  &t->size.v[VH_CPU]) &&
	       read_int(r, o, "memory_mb", 1, MEMORY_MB_MAX,
			&t->size.v[VH_MEM]) &&
	       read_int(r, o, "accelerators", 0, ACCELERATORS_MAX,
			&t->size.v[VH_ACCEL]) &&
	       read_int(r, o, "run_ms", 0, UINT32_MAX, &t->run_ms) &&
	       read_int(r, o, "count", 1, VH_JOB_TASKS_MAX, count) &&
	       read_text(r, o, "input", VH_TASK_INPUT_MAX, &t->input);
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
		bytes += count * (t.input.len + TASK_OVERHEAD);
		if (bytes > VH_JOB_BYTES_MAX)
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
			    "must be the queue's class, or be left out");
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
	return known_keys(r, root, known) && read_class(r, root, queue, spec) &&
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
