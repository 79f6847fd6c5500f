#include "eng_priv.h"

/*
 * Jobs whose state the store refuses for good. Other jobs are stored and go on. What
 * such a job has running goes on, and its ends are acknowledged, since the leases of
 * their workers, which others use too, depend on it; but no task of it is started, as
 * the next owner would not know.
 */
#define STORE_AGAIN_MS 5000

static void hold_back(struct engine *e, struct job *j)
{
	for (size_t i = 0; j->steps && i < j->spec->n_steps; i++) {
		struct step *s = &j->steps[i];

		for (uint32_t k = 0; j->steps && k < s->spec->n_tasks; k++) {
			struct task *t = &s->tasks[k];

			if (t->state == TASK_STORING)
				eng_task_lost(e, t,
					      "not sent, its state is refused");
		}
	}
}

void eng_job_unstored(struct engine *e, uint64_t job, int64_t now_ms)
{
	struct job *j = g_hash_table_lookup(e->jobs, &job);

	e->now_ms = now_ms;
	if (!j)
		return;
	if (!j->refused_batch)
		g_ptr_array_add(e->unstored, j);
	j->refused_batch = MAX(j->state_batch, 1);
	j->store_again_ms = now_ms + STORE_AGAIN_MS;
	eng_parts_written_anew(j);
	hold_back(e, j);
	eng_job_update_steps(e, j);
}

void eng_unstored_retry(struct engine *e)
{
	for (guint i = 0; i < e->unstored->len; i++) {
		struct job *j = e->unstored->pdata[i];

		if (j->store_again_ms > e->now_ms)
			continue;
		eng_parts_written_anew(j);
		eng_job_mark_dirty(e, j);
	}
}

void eng_unstored_confirm(struct engine *e, uint64_t batch)
{
	guint i = 0;

	while (i < e->unstored->len) {
		struct job *j = e->unstored->pdata[i];

		if (j->state_batch <= j->refused_batch ||
		    j->state_batch > batch) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(e->unstored, i);
		j->refused_batch = 0;
		eng_job_update_steps(e, j);
	}
}
