#include "bytes.h"
#include "home_priv.h"

/* Should @a be started before @b? */
static bool job_before(const struct home_job *a, const struct home_job *b)
{
	const struct vh_job_spec *x = &a->pub.spec;
	const struct vh_job_spec *y = &b->pub.spec;

	if (x->cls != y->cls)
		return x->cls < y->cls;
	return x->priority > y->priority;
}

static void active_insert(struct vh_home *h, struct home_job *job)
{
	struct home_job *after = h->last_active;

	while (after && job_before(job, after))
		after = after->prev_active;
	job->prev_active = after;
	job->next_active = after ? after->next_active : h->first_active;
	if (job->next_active)
		job->next_active->prev_active = job;
	else
		h->last_active = job;
	if (after)
		after->next_active = job;
	else
		h->first_active = job;
	job->active = true;
}

void home_job_activate(struct vh_home *h, struct home_job *job)
{
	if (job->active || !job->pub.durable || !job->pub.n_unfinished)
		return;
	active_insert(h, job);
}

void home_job_deactivate(struct vh_home *h, struct home_job *job)
{
	if (!job->active)
		return;
	if (job->prev_active)
		job->prev_active->next_active = job->next_active;
	else
		h->first_active = job->next_active;
	if (job->next_active)
		job->next_active->prev_active = job->prev_active;
	else
		h->last_active = job->prev_active;
	job->active = false;
}

void home_job_changed(struct vh_home *h, struct vh_job *job)
{
	job->version = ++h->version;
}

static void job_link(struct vh_home *h, struct home_job *job)
{
	job->prev = h->newest_job;
	if (h->newest_job)
		h->newest_job->next = job;
	else
		h->oldest_job = job;
	h->newest_job = job;
	vh_table_add(&h->jobs, &job->node);
	h->counts.jobs++;
}

static void job_make_tasks(struct vh_home *h, struct home_job *job)
{
	uint32_t n = job->pub.spec.n_tasks;

	job->pub.tasks = g_new0(struct vh_task, n);
	job->priv = g_new0(struct task_priv, n);
	job->pub.n_unfinished = n;
	job->n_waiting = n;
	h->counts.waiting += n;
	for (uint32_t i = 0; i < n; i++) {
		job->pub.tasks[i].job = &job->pub;
		job->pub.tasks[i].index = i;
		job->pub.tasks[i].state = VH_TASK_WAITING;
	}
}

struct home_job *home_job_add(struct vh_home *h, struct vh_slice id,
			      struct vh_slice spec_bytes, int64_t wall_ms,
			      int64_t now_ms)
{
	struct home_job *job = g_malloc0(sizeof(*job) + id.len);

	memcpy(job->id, id.data, id.len);
	job->spec_bytes = bytes_copy(spec_bytes);
	if (!vh_job_spec_unpack(job->spec_bytes, &job->pub.spec, NULL)) {
		bytes_free(&job->spec_bytes);
		g_free(job);
		return NULL;
	}
	job->pub.id = vh_slice(job->id, id.len);
	job->node.key = job->pub.id;
	job->pub.accepted_wall_ms = wall_ms;
	job->pub.accepted_ms = now_ms;
	job_make_tasks(h, job);
	job_link(h, job);
	home_job_changed(h, &job->pub);
	return job;
}

void home_job_remove(struct vh_home *h, struct home_job *job)
{
	for (uint32_t i = 0; i < job->pub.spec.n_tasks; i++) {
		struct vh_task *task = &job->pub.tasks[i];

		home_task_set_state(h, task, VH_TASK_ENDED);
		home_task_set_placement(task, vh_slice("", 0), vh_slice("", 0));
		bytes_free(&task->result);
	}
	home_job_deactivate(h, job);
	if (job->prev)
		job->prev->next = job->next;
	else
		h->oldest_job = job->next;
	if (job->next)
		job->next->prev = job->prev;
	else
		h->newest_job = job->prev;
	vh_table_remove(&h->jobs, &job->node);
	h->counts.jobs--;
	g_free(job->pub.spec.tasks);
	g_free(job->pub.tasks);
	g_free(job->priv);
	bytes_free(&job->spec_bytes);
	g_free(job);
}

struct vh_job *vh_home_job(struct vh_home *h, struct vh_slice id)
{
	struct vh_table_node *node = vh_table_find(&h->jobs, id);

	if (!node)
		return NULL;
	return &((struct home_job *)((char *)node -
				     offsetof(struct home_job, node)))
			->pub;
}

struct vh_task *vh_home_task(struct vh_home *h, struct vh_slice name)
{
	size_t slash = name.len;
	struct vh_job *job;
	uint64_t index;

	while (slash && name.data[slash - 1] != '/')
		slash--;
	if (!slash ||
	    !vh_slice_to_u64(vh_slice(name.data + slash, name.len - slash),
			     &index))
		return NULL;
	job = vh_home_job(h, vh_slice(name.data, slash - 1));
	if (!job || index >= job->spec.n_tasks)
		return NULL;
	return &job->tasks[index];
}

void vh_home_each_job(struct vh_home *h,
		      void (*fn)(void *ctx, struct vh_job *job), void *ctx)
{
	struct home_job *next;

	for (struct home_job *job = h->oldest_job; job; job = next) {
		next = job->next;
		fn(ctx, &job->pub);
	}
}

static bool job_startable(const struct home_job *job, int64_t now_ms)
{
	const struct vh_job *pub = &job->pub;

	if (!job->n_waiting || pub->cancelled || job->cancelling)
		return false;
	return !pub->spec.deadline_ms ||
	       now_ms - pub->accepted_ms < pub->spec.deadline_ms;
}

static size_t job_waiting(struct home_job *job, int64_t now_ms,
			  struct vh_task **out, size_t max)
{
	uint32_t left = job->n_waiting;
	size_t n = 0;

	for (uint32_t i = 0; left && n < max && i < job->pub.spec.n_tasks;
	     i++) {
		struct vh_task *task = &job->pub.tasks[i];

		if (task->state != VH_TASK_WAITING)
			continue;
		left--;
		if (!job->priv[i].must_end && task->retry_at_ms <= now_ms)
			out[n++] = task;
	}
	return n;
}

size_t vh_home_waiting(struct vh_home *h, int64_t now_ms, struct vh_task **out,
		       size_t max)
{
	size_t n = 0;

	if (!h->epoch)
		return 0;
	for (struct home_job *job = h->first_active; job && n < max;
	     job = job->next_active) {
		if (job_startable(job, now_ms))
			n += job_waiting(job, now_ms, out + n, max - n);
	}
	return n;
}
