#include "bytes.h"
#include "home_priv.h"

#include "vh/invariant.h"

static void apply_job(struct vh_home *h, struct vh_slice body, int64_t now_ms)
{
	struct vh_slice id, key, spec;
	uint64_t fingerprint;
	struct home_job *job;
	struct vh_unpack u;
	int64_t wall_ms;
	bool ok;

	vh_unpack_init(&u, body, NULL);
	id = vh_unpack_slice(&u);
	key = vh_unpack_slice(&u);
	fingerprint = vh_unpack_u64(&u);
	wall_ms = vh_unpack_i64(&u);
	spec = vh_unpack_slice(&u);
	ok = u.ok && id.len && id.len <= VH_JOB_ID_MAX;
	vh_unpack_finish(&u);
	if (!ok)
		return;
	job = (struct home_job *)vh_home_job(h, id);
	if (!job) {
		struct home_key *k = home_key_find(h, key);

		if (!vh_invariant_check(VH_I7_AT_MOST_ONCE, !k,
					"key %.*s of %s has two jobs",
					VH_SLICE_ARGS(key), h->unit))
			return;
		job = home_job_add(h, id, spec, wall_ms, now_ms);
		if (!job)
			return;
		job->replayed = true;
		job->key = home_key_add(h, key, fingerprint, wall_ms);
		job->key->job = job;
	}
	job->pub.durable = true;
	job->key->durable = true;
	home_job_changed(h, &job->pub);
	home_job_activate(h, job);
	home_keys_expire(h, wall_ms);
}

/* Reads the job id and index that identify a task. */
static struct vh_task *task_unpack(struct vh_home *h, struct vh_unpack *u)
{
	struct vh_slice id = vh_unpack_slice(u);
	uint32_t index = vh_unpack_u32(u);
	struct vh_job *job = u->ok ? vh_home_job(h, id) : NULL;

	if (!job || index >= job->spec.n_tasks)
		return NULL;
	return &job->tasks[index];
}

static void apply_attempt(struct vh_home *h, struct vh_slice body)
{
	struct vh_unpack u;
	struct vh_task *task;
	uint32_t attempt;

	vh_unpack_init(&u, body, NULL);
	task = task_unpack(h, &u);
	attempt = vh_unpack_u32(&u);
	if (u.ok && task) {
		task_priv(task)->recorded = true;
		task_priv(task)->recorded_attempt = attempt;
		if (task->state == VH_TASK_RECORDING &&
		    task->attempt == attempt)
			home_task_set_state(h, task, VH_TASK_REQUESTED);
		else if (!h->epoch)
			task->attempt = attempt;
	}
	vh_unpack_finish(&u);
}

static void task_ended(struct vh_home *h, struct vh_task *task)
{
	struct home_job *job = home_job_of(task);

	task_priv(task)->ended_durable = true;
	task_priv(task)->must_end = false;
	home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
	home_task_set_state(h, task, VH_TASK_ENDED);
	if (--job->pub.n_unfinished == 0)
		home_job_deactivate(h, job);
}

static void apply_end(struct vh_home *h, struct vh_slice body)
{
	struct vh_unpack u;
	struct vh_task *task;
	uint32_t attempt, end;
	int64_t exit_code;
	bool not_run, unknown;
	struct vh_slice result;

	vh_unpack_init(&u, body, NULL);
	task = task_unpack(h, &u);
	attempt = vh_unpack_u32(&u);
	end = vh_unpack_u32(&u);
	exit_code = vh_unpack_i64(&u);
	not_run = vh_unpack_bool(&u);
	unknown = vh_unpack_bool(&u);
	result = vh_unpack_slice(&u);
	if (u.ok && task && end < VH_END_COUNT &&
	    !task_priv(task)->ended_durable) {
		task->attempt = attempt;
		task->end = (enum vh_end)end;
		task->exit_code = (int32_t)exit_code;
		task->not_run = not_run;
		task->unknown = unknown;
		bytes_set(&task->result, result);
		task_ended(h, task);
	}
	vh_unpack_finish(&u);
}

static void cancel_task(struct vh_home *h, struct vh_task *task,
			bool may_have_started)
{
	if (task_priv(task)->ended_durable)
		return;
	task->end = VH_END_NOT_STARTED;
	task->not_run = !may_have_started;
	task->unknown = may_have_started;
	task_ended(h, task);
}

static void apply_cancel(struct vh_home *h, struct vh_slice body)
{
	struct vh_unpack u, list;
	struct vh_job *job;
	uint32_t n;

	vh_unpack_init(&u, body, NULL);
	job = vh_home_job(h, vh_unpack_slice(&u));
	n = vh_unpack_array(&u, &list);
	if (u.ok && job) {
		job->cancelled = true;
		((struct home_job *)job)->cancelling = false;
		for (uint32_t i = 0; i < n; i++) {
			uint64_t v = vh_unpack_u64(&list);

			if (list.ok && v >> 1 < job->spec.n_tasks)
				cancel_task(h, &job->tasks[v >> 1], v & 1);
		}
		home_job_changed(h, job);
	}
	vh_unpack_finish(&u);
}

/* A newer owner's record deposes this one. */
static void apply_open(struct vh_home *h, uint64_t epoch)
{
	if (epoch <= h->open_epoch)
		return;
	h->open_epoch = epoch;
	h->n_opens++;
	if (h->epoch && h->epoch < epoch)
		vh_home_close(h);
}

void vh_home_apply(struct vh_home *h, uint64_t offset, uint64_t epoch,
		   uint32_t kind, struct vh_slice body, int64_t now_ms)
{
	(void)offset;
	switch (kind) {
	case VH_REC_OPEN:
		apply_open(h, epoch);
		break;
	case VH_REC_JOB:
		apply_job(h, body, now_ms);
		break;
	case VH_REC_ATTEMPT:
		apply_attempt(h, body);
		break;
	case VH_REC_END:
		apply_end(h, body);
		break;
	case VH_REC_CANCEL:
		apply_cancel(h, body);
		break;
	case VH_REC_TRANSFER:
		home_apply_transfer(h, body);
		break;
	case VH_REC_REQUEST:
		home_apply_request(h, body);
		break;
	case VH_REC_REQUEST_END:
		home_apply_request_end(h, body);
		break;
	default:
		break; /* from a later version, or part of a snapshot */
	}
}
