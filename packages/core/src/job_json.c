#include <jansson.h>

#include "home_priv.h"

bool job_is_terminal(const struct vh_job *job)
{
	return job->n_unfinished == 0;
}

static const char *task_outcome(const struct vh_task *task)
{
	if (task->state != VH_TASK_ENDED)
		return "pending";
	if (task->not_run)
		return vh_outcome_name(VH_OUTCOME_NOT_RUN);
	return vh_outcome_name(task->unknown ? VH_OUTCOME_UNKNOWN
					     : VH_OUTCOME_RAN);
}

static json_t *slice_json(struct vh_slice s)
{
	json_t *v = json_stringn(s.data ? s.data : "", s.len);

	return v ? v : json_string("");
}

static json_t *task_json(const struct vh_task *task)
{
	json_t *obj =
		json_pack("{s:I,s:s,s:I,s:s}", "index", (json_int_t)task->index,
			  "state", vh_task_state_name(task->state), "attempt",
			  (json_int_t)task->attempt, "outcome",
			  task_outcome(task));

	if (task->worker.len)
		json_object_set_new(obj, "worker", slice_json(task->worker));
	if (task->state == VH_TASK_WAITING && task->why != VH_OK)
		json_object_set_new(obj, "why",
				    json_string(vh_err_info(task->why)->name));
	if (task->state == VH_TASK_ENDED) {
		json_object_set_new(obj, "end",
				    json_string(vh_end_name(task->end)));
		json_object_set_new(obj, "exit_code",
				    json_integer(task->exit_code));
		json_object_set_new(obj, "result", slice_json(task->result));
	}
	return obj;
}

const char *job_state(const struct vh_job *job)
{
	bool failed = false, running = false, unknown = false;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		const struct vh_task *t = &job->tasks[i];

		if (t->state == VH_TASK_ENDED) {
			unknown = unknown || t->unknown;
			failed = failed || t->end != VH_END_DONE;
		} else if (t->state != VH_TASK_WAITING) {
			running = true;
		}
	}
	if (!job_is_terminal(job))
		return running ? "running" : "waiting";
	if (unknown)
		return "unknown";
	if (job->cancelled)
		return "cancelled";
	return failed ? "failed" : "done";
}

void job_to_json(const struct vh_job *job, struct vh_buf *out)
{
	json_t *tasks = json_array();
	json_t *root;
	char *dump;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++)
		json_array_append_new(tasks, task_json(&job->tasks[i]));
	root = json_pack("{s:o,s:o,s:s,s:s,s:b,s:I,s:o}", "id",
			 slice_json(job->id), "queue",
			 slice_json(job->spec.queue), "class",
			 vh_class_name(job->spec.cls), "state", job_state(job),
			 "cancelled", job->cancelled, "accepted_ms",
			 (json_int_t)job->accepted_wall_ms, "tasks", tasks);
	dump = json_dumps(root, JSON_COMPACT);
	vh_buf_add_str(out, dump);
	free(dump);
	json_decref(root);
}
