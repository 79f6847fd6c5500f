#include "eng_priv.h"

#include <math.h>

#define CUTOFF_FACTOR 3		  /* time to the cutoff, in objectives */
#define SPEED_NOISE_INITIAL 0.7	  /* so that the first samples prove little */
#define STORE_LATENCY_DECAY 0.9	  /* of the estimate, per observation */
#define STORE_LATENCY_MAX_MS 600  /* bound of the estimate */
#define INITIAL_APPROVAL_RATE 0.5 /* before the first answer for a queue */
#define JOB_AGE_MAX_MS 60000	  /* bound of the age when a job is added */

static void queue_free(gpointer p)
{
	struct queue *q = p;

	g_free(q->name);
	g_free(q);
}

static void worker_free(gpointer p)
{
	struct worker *w = p;

	g_free(w->id);
	g_free(w->address);
	g_strfreev(w->labels);
	g_array_free(w->lost_runs, TRUE);
	g_ptr_array_free(w->tasks, TRUE);
	g_free(w);
}

static void job_free_steps(struct job *j)
{
	if (!j->steps)
		return;
	for (size_t i = 0; i < j->spec->n_steps; i++) {
		struct step *s = &j->steps[i];

		for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
			g_free((char *)s->tasks[k].checkpoint.data);
			if (s->tasks[k].losses)
				g_array_free(s->tasks[k].losses, TRUE);
		}
		g_free(s->tasks);
		g_free(s->timed);
		g_hash_table_destroy(s->advice_by_worker);
		g_array_free(s->approved, TRUE);
		g_array_free(s->open, TRUE);
		g_free(s->asked_set.words);
		g_free(s->approved_set.words);
		if (s->reservations)
			g_array_free(s->reservations, TRUE);
	}
	g_free(j->steps);
	j->steps = NULL;
}

static void job_free(gpointer p)
{
	struct job *j = p;

	job_free_steps(j);
	eng_job_free(j->spec);
	vh_buf_finish(&j->stored_record);
	eng_parts_free(j->parts);
	g_clear_pointer(&j->stored_parts, g_tree_unref);
	g_clear_pointer(&j->dropped_parts, g_array_unref);
	g_free(j);
}

struct engine *eng_new(const struct eng_settings *s,
		       const struct eng_callbacks *callbacks, int64_t now_ms)
{
	struct engine *e = g_new0(struct engine, 1);

	e->settings = *s;
	e->callbacks = *callbacks;
	e->now_ms = now_ms;
	e->open_batch = 1;
	e->start_limit_ms = INT64_MAX;
	e->mean_speed = 1;
	e->speed_noise = SPEED_NOISE_INITIAL;
	e->restored_speeds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					job_free);
	e->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   worker_free);
	e->worker_list = g_ptr_array_new();
	e->zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 eng_zone_free);
	e->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 eng_team_free);
	e->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  queue_free);
	e->runnable_steps = g_ptr_array_new();
	e->dirty = g_ptr_array_new();
	e->record_bytes = s->record_bytes;
	e->unstored = g_ptr_array_new();
	e->ended_jobs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	e->pools = g_ptr_array_new_with_free_func(g_free);
	e->reported_teams = g_ptr_array_new();
	g_queue_init(&e->storing);
	e->room_indexes = g_ptr_array_new_with_free_func(eng_index_free);
	e->hidden_workers = g_ptr_array_new();
	e->reserved_workers = g_ptr_array_new();
	e->failing_workers = g_ptr_array_new();
	e->unacknowledged = g_ptr_array_new();
	e->poll_due_ms = g_array_new(FALSE, TRUE, sizeof(int64_t));
	return e;
}

void eng_free(struct engine *e)
{
	if (!e)
		return;
	g_queue_clear(&e->storing);
	g_ptr_array_free(e->dirty, TRUE);
	g_ptr_array_free(e->unstored, TRUE);
	g_array_free(e->ended_jobs, TRUE);
	g_ptr_array_free(e->pools, TRUE);
	g_ptr_array_free(e->reported_teams, TRUE);
	g_ptr_array_free(e->runnable_steps, TRUE);
	g_hash_table_destroy(e->jobs);
	g_ptr_array_free(e->worker_list, TRUE);
	g_hash_table_destroy(e->workers);
	g_hash_table_destroy(e->zones);
	g_hash_table_destroy(e->teams);
	g_hash_table_destroy(e->queues);
	g_ptr_array_free(e->room_indexes, TRUE);
	g_ptr_array_free(e->hidden_workers, TRUE);
	g_ptr_array_free(e->reserved_workers, TRUE);
	g_ptr_array_free(e->failing_workers, TRUE);
	g_ptr_array_free(e->unacknowledged, TRUE);
	g_array_free(e->poll_due_ms, TRUE);
	g_free(e->grown.words);
	g_free(e->grown_before_pass.words);
	g_hash_table_destroy(e->restored_speeds);
	g_free(e);
}

void eng_decision_set_boot(const struct engine *e, struct eng_decision *d,
			   const struct worker *w)
{
	d->born_ms = w->born_ms;
	d->heard_ms = w->clock_at_ms ? e->now_ms - w->clock_at_ms : -1;
	d->lease_left_ms = w->lease_expired_ms - e->now_ms;
}

static struct eng_decision decision(const struct engine *e, const char *what,
				    const struct task *t,
				    const struct worker *w)
{
	struct eng_decision d = {
		.what = what,
		.task = eng_task_ref(t),
		.worker = eng_str(w ? w->id : ""),
		.need_cpu = t->step->spec->need.cpu_milli,
		.used_cpu = w ? w->used.cpu_milli : 0,
		.age_ms = e->now_ms - t->step->job->accepted_ms,
		.in_state_ms = e->now_ms - t->since_ms,
		.lost_runs = eng_task_losses(t),
	};

	if (w)
		eng_decision_set_boot(e, &d, w);
	return d;
}

void eng_report_decision(struct engine *e, const char *what,
			 const struct task *t, const struct worker *w)
{
	struct eng_decision d = decision(e, what, t, w);

	if (e->callbacks.decided)
		e->callbacks.decided(e->callbacks.ctx, &d);
}

void eng_report_usage_wait(struct engine *e, const struct step *s,
			   const struct eng_usage_wait *wait)
{
	struct eng_decision d =
		decision(e, "waits behind a team with less past use",
			 &s->tasks[0], NULL);

	d.usage = wait;
	if (e->callbacks.decided)
		e->callbacks.decided(e->callbacks.ctx, &d);
}

void eng_milestone(struct engine *e, const struct job *j,
		   enum eng_job_status status)
{
	struct eng_milestone m = { .status = status,
				   .took_ms = e->now_ms - j->accepted_ms };

	if (!e->callbacks.milestone || !e->ready || !j->queue)
		return;
	m.queue = eng_str(j->queue->name);
	m.team = eng_str(j->team->name);
	e->callbacks.milestone(e->callbacks.ctx, &m);
}

const char *eng_intern(struct vh_slice name)
{
	char *text = vh_slice_dup(name);
	const char *interned = g_intern_string(text);

	g_free(text);
	return interned;
}

struct queue *eng_queue_get(struct engine *e, struct vh_slice name)
{
	char *key = vh_slice_dup(name);
	struct queue *q = g_hash_table_lookup(e->queues, key);

	if (q) {
		g_free(key);
		return q;
	}
	q = g_new0(struct queue, 1);
	q->name = key;
	q->approval_rate = INITIAL_APPROVAL_RATE;
	eng_queue_ratios_changed(q);
	g_hash_table_insert(e->queues, q->name, q);
	return q;
}

static struct job *job_find(const struct engine *e, uint64_t id)
{
	return g_hash_table_lookup(e->jobs, &id);
}

struct job *eng_job_get(struct engine *e, uint64_t id)
{
	struct job *j = job_find(e, id);

	if (j)
		return j;
	j = g_new0(struct job, 1);
	j->id = id;
	g_hash_table_insert(e->jobs, &j->id, j);
	return j;
}

bool eng_job_active(const struct job *j)
{
	return j->spec && !j->cancelled &&
	       (j->status == ENG_PENDING || j->status == ENG_RUNNING);
}

void eng_job_mark_dirty(struct engine *e, struct job *j)
{
	if (j->dirty || e->restoring)
		return;
	if (j->incomplete && j->status < ENG_COMPLETE)
		return; /* what is stored of it stays as it is */
	j->dirty = true;
	g_ptr_array_add(e->dirty, j);
}

bool eng_step_deps_done(const struct step *s)
{
	for (size_t i = 0; i < s->spec->n_after; i++) {
		const struct step *dep = &s->job->steps[s->spec->after[i]];

		if (dep->n_done < dep->spec->n_tasks)
			return false;
	}
	return true;
}

void eng_step_update(struct engine *e, struct step *s)
{
	bool runnable = eng_job_active(s->job) && !s->job->incomplete &&
			!s->job->refused_batch && s->n_waiting &&
			eng_step_deps_done(s);

	if (runnable == s->runnable)
		return;
	s->runnable = runnable;
	s->waits_since_ms = e->now_ms;
	if (runnable)
		g_ptr_array_add(e->runnable_steps, s);
	else
		g_ptr_array_remove_fast(e->runnable_steps, s);
}

void eng_job_update_steps(struct engine *e, struct job *j)
{
	for (size_t i = 0; j->steps && i < j->spec->n_steps; i++)
		eng_step_update(e, &j->steps[i]);
}

static void job_init_steps(struct job *j)
{
	size_t n = j->spec->n_steps;
	struct eng_job_spec without_advice = *j->spec;
	int64_t *paths = g_new0(int64_t, n);
	int64_t *work = g_new0(int64_t, n);

	without_advice.advice.needed = false;
	eng_critical_paths_ms(j->spec, paths);
	eng_critical_paths_ms(&without_advice, work);
	j->steps = g_new0(struct step, n);
	for (size_t i = 0; i < n; i++) {
		struct step *s = &j->steps[i];

		s->job = j;
		s->number = (uint32_t)i;
		s->spec = &j->spec->steps[i];
		s->critical_path_ms = paths[i];
		s->path_work_ms = work[i];
		s->n_waiting = s->spec->n_tasks;
		s->tasks = g_new0(struct task, s->spec->n_tasks);
		s->advice_by_worker = g_hash_table_new_full(
			g_direct_hash, g_direct_equal, NULL, eng_advice_free);
		s->approved =
			g_array_new(FALSE, FALSE, sizeof(struct approval));
		s->open = g_array_new(FALSE, FALSE, sizeof(struct approval));
		for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
			s->tasks[k].step = s;
			s->tasks[k].index = k;
		}
	}
	g_free(paths);
	g_free(work);
}

static int64_t job_objective_ms(const struct job *j)
{
	int64_t longest = 0;

	for (size_t i = 0; i < j->spec->n_steps; i++)
		longest = MAX(longest, j->steps[i].critical_path_ms);
	return (int64_t)(j->spec->stretch * (double)longest) +
	       j->spec->target_ms;
}

/* Whether the job was stored in parts, which may not all have been read yet. */
static bool awaits_parts(const struct engine *e, const struct job *j)
{
	return !e->ready && j->stored_record.len && j->stored_in_parts;
}

static void apply_stored_record(struct engine *e, struct job *j)
{
	if (!j->stored_record.len)
		return;
	if (!j->stored_in_parts) {
		eng_record_apply(e, j, vh_buf_slice(&j->stored_record));
		return;
	}
	j->incomplete = !eng_parts_apply(e, j);
	if (j->incomplete && e->callbacks.job_problem)
		e->callbacks.job_problem(e->callbacks.ctx, j->id,
					 "stored state is not complete");
}

static void apply_record_now(struct engine *e, struct job *j)
{
	bool was_pending = !j->started;

	apply_stored_record(e, j);
	vh_buf_finish(&j->stored_record);
	vh_buf_init(&j->stored_record);
	if (was_pending && j->started)
		j->queue->pending--;
	if (j->cancelled && e->ready)
		eng_job_end(e, j, ENG_CANCELLED);
	eng_job_update_steps(e, j);
	if (e->ready)
		eng_job_reclaim(e, j);
}

/* Applies the record that a former owner stored, if there is one; that of a job in parts
 * when eng_recovery_done() is called. */
static void job_apply_record(struct engine *e, struct job *j)
{
	if (!awaits_parts(e, j))
		apply_record_now(e, j);
}

void eng_job_restore(struct engine *e, uint64_t id, struct vh_slice record,
		     int64_t now_ms)
{
	struct job *j = eng_job_get(e, id);
	enum eng_job_status status;
	bool placed;
	bool in_parts;

	e->now_ms = now_ms;
	if (e->ready || j->status >= ENG_COMPLETE ||
	    !eng_record_status(record, &status, &placed, &in_parts))
		return;
	/* Tasks of an ended job may still run and use resources. */
	if (status >= ENG_COMPLETE && !placed && !j->spec) {
		j->status = status;
		g_array_append_val(e->ended_jobs, j->id);
		return;
	}
	j->stored_in_parts = in_parts;
	vh_buf_clear(&j->stored_record);
	vh_buf_add_slice(&j->stored_record, record);
	if (j->spec)
		job_apply_record(e, j);
}

void eng_job_add(struct engine *e, struct eng_job_spec *spec, int64_t now_ms,
		 int64_t wall_ms)
{
	struct job *j = eng_job_get(e, spec->id);
	int64_t age = CLAMP(wall_ms - spec->received_ms, 0, JOB_AGE_MAX_MS);

	e->now_ms = now_ms;
	if (j->spec || j->status >= ENG_COMPLETE) {
		eng_job_free(spec);
		return;
	}
	j->spec = spec;
	j->team = eng_team_get(e, spec->team);
	j->queue = eng_queue_get(e, spec->queue);
	j->service = eng_intern(spec->service);
	j->pool = eng_pool_get(e, j->service);
	j->queue->pending++;
	job_init_steps(j);
	j->accepted_ms = now_ms - age;
	j->due_ms = j->accepted_ms + job_objective_ms(j);
	j->cutoff_ms = j->accepted_ms + CUTOFF_FACTOR * job_objective_ms(j);
	e->stats.jobs++;
	/* Jobs read in recovery were charged to the share when accepted; the
	 * record of one beyond the share says so. */
	j->over_share = e->ready && !eng_team_take_token(j->team, now_ms);
	if (j->over_share)
		eng_job_mark_dirty(e, j);
	eng_overload_job_added(e, j);
	job_apply_record(e, j);
}

static void job_stop_tasks(struct engine *e, struct job *j)
{
	for (size_t i = 0; j->steps && i < j->spec->n_steps; i++) {
		struct step *s = &j->steps[i];

		for (uint32_t k = 0; k < s->spec->n_tasks; k++)
			eng_task_stop(e, &s->tasks[k]);
	}
}

void eng_job_end(struct engine *e, struct job *j, enum eng_job_status status)
{
	if (j->status >= ENG_COMPLETE)
		return;
	j->status = status;
	j->status_batch = e->open_batch;
	if (j->queue && !j->started)
		j->queue->pending--;
	j->started = true;
	eng_milestone(e, j, status);
	eng_job_mark_dirty(e, j);
	eng_job_update_steps(e, j);
	if (status != ENG_COMPLETE)
		job_stop_tasks(e, j);
	eng_job_reclaim(e, j);
}

void eng_job_reclaim(struct engine *e, struct job *j)
{
	if (j->status < ENG_COMPLETE || !j->steps || !j->spec)
		return;
	for (size_t i = 0; i < j->spec->n_steps; i++) {
		if (j->steps[i].n_placed || j->steps[i].advice_pending)
			return;
	}
	if (j->dirty)
		return;
	job_free_steps(j);
	eng_job_free(j->spec);
	j->spec = NULL;
	g_array_append_val(e->ended_jobs, j->id);
}

static struct eng_ended_job ended_job(const struct engine *e,
				      const struct job *j)
{
	struct eng_ended_job out = { .id = j->id,
				     .status = j->status,
				     .state_batch = j->state_batch,
				     .stored_batch = e->stored_batch };

	return out;
}

size_t eng_pop_ended_jobs(struct engine *e, struct eng_ended_job *jobs,
			  size_t max)
{
	size_t n = 0;
	guint i = 0;

	while (i < e->ended_jobs->len && n < max) {
		uint64_t id = g_array_index(e->ended_jobs, uint64_t, i);
		const struct job *j = job_find(e, id);

		/* Until its last state is stored, the newest stored one names
		 * tasks that only the job's input describes. */
		if (j->state_batch > e->stored_batch) {
			i++;
			continue;
		}
		jobs[n++] = ended_job(e, j);
		g_array_remove_index_fast(e->ended_jobs, i);
	}
	return n;
}

size_t eng_states_without_job(const struct engine *e,
			      struct eng_ended_job *jobs, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, e->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct job *j = p;
		bool placed;
		bool in_parts;

		if (j->spec || !j->stored_record.len)
			continue;
		if (n++ >= max)
			continue;
		jobs[n - 1] = ended_job(e, j);
		eng_record_status(vh_buf_slice(&j->stored_record),
				  &jobs[n - 1].status, &placed, &in_parts);
	}
	return n;
}

void eng_job_cancel(struct engine *e, uint64_t id, int64_t now_ms)
{
	struct job *j = eng_job_get(e, id);

	e->now_ms = now_ms;
	if (j->cancelled || j->status >= ENG_COMPLETE)
		return;
	j->cancelled = true;
	/*
	 * During recovery, the job's record may not have been read yet;
	 * eng_recovery_done() ends the job then.
	 */
	if (j->spec && e->ready)
		eng_job_end(e, j, ENG_CANCELLED);
}

bool eng_job_known(const struct engine *e, uint64_t id)
{
	const struct job *j = job_find(e, id);

	return j && (j->spec || j->status >= ENG_COMPLETE);
}

enum eng_job_status eng_job_status(const struct engine *e, uint64_t id)
{
	const struct job *j = job_find(e, id);

	if (!j || (!j->spec && j->status < ENG_COMPLETE))
		return ENG_UNKNOWN;
	if (j->cancelled)
		return ENG_CANCELLED;
	if (j->status >= ENG_COMPLETE && j->status_batch > e->stored_batch)
		return ENG_RUNNING;
	return j->status;
}

size_t eng_queue_pending(const struct engine *e, struct vh_slice queue)
{
	char *key = vh_slice_dup(queue);
	const struct queue *q = g_hash_table_lookup(e->queues, key);

	g_free(key);
	return q ? q->pending : 0;
}

uint64_t eng_flush(struct engine *e, struct eng_record **records, size_t *n)
{
	GArray *out;

	eng_unstored_retry(e);
	if (!e->dirty->len && !eng_learned_due(e))
		return 0;
	out = g_array_sized_new(FALSE, TRUE, sizeof(struct eng_record),
				e->dirty->len);
	for (guint i = 0; i < e->dirty->len; i++) {
		struct job *j = e->dirty->pdata[i];

		eng_parts_add_records(e, j, out);
		j->dirty = false;
		j->state_batch = e->open_batch;
	}
	for (guint i = 0; i < e->dirty->len; i++)
		eng_job_reclaim(e, e->dirty->pdata[i]);
	g_ptr_array_set_size(e->dirty, 0);
	if (eng_learned_due(e))
		eng_learned_pack(e, out);
	*n = out->len;
	*records = (struct eng_record *)(void *)g_array_free(out, FALSE);
	if (!*n) {
		eng_records_free(*records, 0);
		*records = NULL;
		return 0;
	}
	return e->open_batch++;
}

void eng_records_free(struct eng_record *records, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		g_free(records[i].name);
		vh_buf_finish(&records[i].bytes);
	}
	g_free(records);
}

/*
 * Decaying maximum rather than a mean: tickets have to stay valid during the
 * next store operation, which may be as slow as the slowest recent one.
 */
static void update_store_latency(struct engine *e, const struct task *t)
{
	int64_t latency = e->now_ms - t->since_ms;
	int64_t decayed =
		(int64_t)((double)e->store_latency_ms * STORE_LATENCY_DECAY);

	e->store_latency_ms = MIN(MAX(latency, decayed), STORE_LATENCY_MAX_MS);
}

bool eng_may_start(const struct engine *e)
{
	return e->now_ms <= e->start_limit_ms;
}

static void send_stored(struct engine *e)
{
	while (eng_may_start(e) && !g_queue_is_empty(&e->storing)) {
		struct task *t = g_queue_peek_head(&e->storing);

		if (t->store_batch > e->stored_batch)
			return;
		g_queue_pop_head(&e->storing);
		if (t->state == TASK_STORING)
			eng_task_send(e, t);
	}
}

static void acknowledge_ends(struct engine *e, uint64_t batch)
{
	guint i = 0;

	while (i < e->unacknowledged->len) {
		struct worker *w = e->unacknowledged->pdata[i];

		e->stats.workers_examined++;
		if (w->acknowledged < w->processed && w->ack_batch > batch) {
			i++;
			continue;
		}
		w->acknowledged = w->processed;
		w->ack_pending = false;
		g_ptr_array_remove_index_fast(e->unacknowledged, i);
		eng_worker_touch(e, w);
	}
}

void eng_batch_stored(struct engine *e, uint64_t batch, int64_t now_ms)
{
	const struct task *first = g_queue_peek_head(&e->storing);

	e->now_ms = now_ms;
	e->stored_batch = batch;
	if (first && first->store_batch <= batch)
		update_store_latency(e, first);
	eng_unstored_confirm(e, batch);
	send_stored(e);
	acknowledge_ends(e, batch);
}

void eng_set_start_limit(struct engine *e, int64_t not_after_ms, int64_t now_ms)
{
	e->now_ms = now_ms;
	e->start_limit_ms = not_after_ms;
	send_stored(e);
}

/* All records that former owners stored have been read. */
static void apply_parts(struct engine *e)
{
	GHashTableIter it;
	gpointer job;

	g_hash_table_iter_init(&it, e->jobs);
	while (g_hash_table_iter_next(&it, NULL, &job)) {
		struct job *j = job;

		if (j->spec && awaits_parts(e, j))
			apply_record_now(e, j);
	}
}

/* Parts that were left behind, when the job ended or by an owner of an older version
 * that has stored the job as a whole since. */
static void drop_useless_parts(struct engine *e, struct job *j)
{
	bool useless =
		j->status >= ENG_COMPLETE || (j->spec && !j->stored_record.len);

	if (useless && eng_parts_drop_stored(j))
		eng_job_mark_dirty(e, j);
	if (j->parts && !eng_job_has_placed_tasks(j) &&
	    j->status >= ENG_COMPLETE)
		eng_job_mark_dirty(e, j);
}

void eng_recovery_done(struct engine *e, int64_t now_ms)
{
	GHashTableIter it;
	gpointer job;

	e->now_ms = now_ms;
	apply_parts(e);
	e->ready = true;
	g_hash_table_iter_init(&it, e->jobs);
	while (g_hash_table_iter_next(&it, NULL, &job)) {
		struct job *j = job;

		drop_useless_parts(e, j);
		eng_parts_settle(e, j);
		if (j->cancelled && j->spec)
			eng_job_end(e, j, ENG_CANCELLED);
		eng_job_reclaim(e, j);
	}
	eng_usage_recovered(e);
}

bool eng_schedule(struct engine *e, int64_t now_ms)
{
	e->now_ms = now_ms;
	if (e->deposed)
		return true;
	eng_poll_zones(e);
	eng_update_speeds(e);
	eng_poll_workers(e);
	eng_usage_refresh(e);
	return !e->ready || !eng_may_start(e) || eng_place_steps(e);
}

void eng_stats(const struct engine *e, struct eng_stats *out)
{
	*out = e->stats;
	out->jobs = g_hash_table_size(e->jobs);
	for (guint i = 0; i < e->runnable_steps->len; i++)
		out->waiting_tasks +=
			((struct step *)e->runnable_steps->pdata[i])->n_waiting;
	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		out->running_tasks += w->tasks->len;
		out->cpu_used += w->used.cpu_milli;
		if (w->listed)
			out->cpu_capacity += w->capacity.cpu_milli;
	}
}
