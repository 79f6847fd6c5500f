#include "vh/codec.h"
#include "vh/record.h"

#define JOB_SPEC_FIELDS 9
#define TASK_SPEC_FIELDS 3

static void res_pack(struct vh_buf *out, const struct vh_res *res)
{
	vh_pack_array(out, VH_DIM_COUNT);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		vh_pack_u64(out, res->v[d]);
}

static bool res_unpack(struct vh_unpack *u, struct vh_res *res)
{
	struct vh_unpack sub;

	vh_unpack_array(u, &sub);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		res->v[d] = vh_unpack_u32(&sub);
	return sub.ok;
}

void vh_job_spec_pack(const struct vh_job_spec *spec, struct vh_buf *out)
{
	vh_pack_array(out, JOB_SPEC_FIELDS);
	vh_pack_slice(out, spec->queue);
	vh_pack_slice(out, spec->service);
	vh_pack_u64(out, spec->cls);
	vh_pack_u64(out, spec->priority);
	vh_pack_bool(out, spec->gang);
	vh_pack_bool(out, spec->idempotent);
	vh_pack_u64(out, spec->deadline_ms);
	vh_pack_slice(out, spec->region);
	vh_pack_array(out, spec->n_tasks);
	for (uint32_t i = 0; i < spec->n_tasks; i++) {
		vh_pack_array(out, TASK_SPEC_FIELDS);
		res_pack(out, &spec->tasks[i].size);
		vh_pack_u64(out, spec->tasks[i].run_ms);
		vh_pack_slice(out, spec->tasks[i].input);
	}
}

static bool task_specs_unpack(struct vh_unpack *list, struct vh_job_spec *out)
{
	for (uint32_t i = 0; i < out->n_tasks; i++) {
		struct vh_task_spec *task = &out->tasks[i];
		struct vh_unpack u;

		vh_unpack_array(list, &u);
		if (!res_unpack(&u, &task->size))
			return false;
		task->run_ms = vh_unpack_u32(&u);
		task->input = vh_unpack_slice(&u);
		if (!u.ok)
			return false;
	}
	return list->ok;
}

static bool job_spec_read(struct vh_unpack *u, struct vh_job_spec *out)
{
	struct vh_unpack list;
	uint32_t cls;

	out->queue = vh_unpack_slice(u);
	out->service = vh_unpack_slice(u);
	cls = vh_unpack_u32(u);
	out->priority = vh_unpack_u32(u);
	out->gang = vh_unpack_bool(u);
	out->idempotent = vh_unpack_bool(u);
	out->deadline_ms = vh_unpack_u32(u);
	out->region = vh_unpack_slice(u);
	out->n_tasks = vh_unpack_array(u, &list);
	if (!u->ok || cls >= VH_CLASS_COUNT || out->n_tasks > VH_JOB_TASKS_MAX)
		return false;
	out->cls = (enum vh_class)cls;
	out->tasks = g_new0(struct vh_task_spec, out->n_tasks);
	return task_specs_unpack(&list, out);
}

bool vh_job_spec_unpack(struct vh_slice bytes, struct vh_job_spec *out,
			GError **err)
{
	struct vh_unpack u;
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = vh_unpack_init(&u, bytes, NULL) && job_spec_read(&u, out);
	vh_unpack_finish(&u);
	if (ok)
		return true;
	g_free(out->tasks);
	memset(out, 0, sizeof(*out));
	g_set_error_literal(err, VH_ERROR, VH_ERR_CORRUPT,
			    "job spec is truncated or out of range");
	return false;
}
