#include "eng_priv.h"

#define LOSS_FIELDS 3 /* elements for each loss */
#define TASK_FIELDS 5 /* elements of a task's array, without losses */

/*
 * The record of a job is a MessagePack array:
 *
 *   [format, status, started, [worker...], [step...], over share]
 *
 * worker: [id, boot time, address]
 * step:   [failed runs of the gang, [task...]]
 * task:   nil if it was never placed, else [done, run, failed runs, worker,
 *	   checkpoint, losses], where worker is a position in the list of
 *	   workers, counted from 1, or 0 if the task is not assigned to a
 *	   worker, and losses is left out if there are none
 * losses: [run, enum loss_kind, started, run, ...]
 *
 * The record of an ended job without placed tasks stops after its status. An
 * older version wrote no "over share" and no losses, and ignores both. A job whose
 * record would be too large has several, see eng_parts.c.
 */
enum {
	REC_FORMAT,
	REC_STATUS,
	REC_STARTED,
	REC_WORKERS,
	REC_STEPS,
	REC_FIELDS_MIN,
	REC_OVER_SHARE = REC_FIELDS_MIN,
	REC_FIELDS
};

struct task_range eng_job_tasks(const struct job *j, uint32_t first, uint32_t n)
{
	struct task_range r = { .job = j, .index = first, .left = n };

	while (r.step < j->spec->n_steps &&
	       r.index >= j->spec->steps[r.step].n_tasks)
		r.index -= j->spec->steps[r.step++].n_tasks;
	return r;
}

struct task *eng_range_next(struct task_range *r)
{
	const struct job *j = r->job;
	struct task *t;

	if (!r->left || r->step >= j->spec->n_steps)
		return NULL;
	t = &j->steps[r->step].tasks[r->index];
	r->left--;
	if (++r->index == j->spec->steps[r->step].n_tasks) {
		r->index = 0;
		r->step++;
	}
	return t;
}

void eng_record_pack_bytes(msgpack_packer *pk, struct vh_slice s)
{
	msgpack_pack_bin(pk, s.len);
	msgpack_pack_bin_body(pk, s.data, s.len);
}

/*
 * Position of a worker in the list, counted from 1; 0 if @w is NULL. Appends
 * the worker if the list does not contain it.
 */
static uint32_t worker_index(GPtrArray *list, struct worker *w)
{
	guint at;

	if (!w)
		return 0;
	if (g_ptr_array_find(list, w, &at))
		return at + 1;
	g_ptr_array_add(list, w);
	return list->len;
}

static void collect_workers(const struct task_range *tasks, GPtrArray *list)
{
	struct task_range r = *tasks;
	struct task *t;

	while ((t = eng_range_next(&r)))
		worker_index(list, t->worker);
}

static void pack_losses(msgpack_packer *pk, const GArray *losses)
{
	msgpack_pack_array(pk, LOSS_FIELDS * (size_t)losses->len);
	for (guint i = 0; i < losses->len; i++) {
		const struct loss *l = &g_array_index(losses, struct loss, i);

		msgpack_pack_uint32(pk, l->run);
		msgpack_pack_int(pk, (int)l->kind);
		msgpack_pack_int(pk, l->started);
	}
}

void eng_record_pack_task(msgpack_packer *pk, const struct task *t,
			  GPtrArray *workers)
{
	bool with_losses = eng_task_losses(t) && !t->done;

	if (!t->run && !t->done) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_array(pk, TASK_FIELDS + (with_losses ? 1 : 0));
	msgpack_pack_int(pk, t->done);
	msgpack_pack_uint32(pk, t->run);
	msgpack_pack_uint64(pk, t->failed_runs);
	msgpack_pack_uint32(pk, worker_index(workers, t->worker));
	eng_record_pack_bytes(pk, t->done ? vh_slice(NULL, 0) : t->checkpoint);
	if (with_losses)
		pack_losses(pk, t->losses);
}

GPtrArray *eng_record_pack_workers(msgpack_packer *pk,
				   const struct task_range *tasks)
{
	GPtrArray *workers = g_ptr_array_new();

	collect_workers(tasks, workers);
	msgpack_pack_array(pk, workers->len);
	for (guint i = 0; i < workers->len; i++) {
		const struct worker *w = workers->pdata[i];

		msgpack_pack_array(pk, 3);
		eng_record_pack_bytes(pk, eng_str(w->id));
		msgpack_pack_int64(pk, w->born_ms);
		eng_record_pack_bytes(pk, eng_str(w->address));
	}
	return workers;
}

static void pack_steps(msgpack_packer *pk, const struct job *j)
{
	struct task_range all = eng_job_tasks(j, 0, UINT32_MAX);
	GPtrArray *workers = eng_record_pack_workers(pk, &all);

	msgpack_pack_array(pk, j->spec->n_steps);
	for (size_t i = 0; i < j->spec->n_steps; i++) {
		const struct step *s = &j->steps[i];

		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, s->failed_runs);
		msgpack_pack_array(pk, s->spec->n_tasks);
		for (uint32_t k = 0; k < s->spec->n_tasks; k++)
			eng_record_pack_task(pk, &s->tasks[k], workers);
	}
	g_ptr_array_free(workers, TRUE);
}

bool eng_job_has_placed_tasks(const struct job *j)
{
	for (size_t i = 0; j->steps && i < j->spec->n_steps; i++) {
		if (j->steps[i].n_placed)
			return true;
	}
	return false;
}

void eng_record_pack(const struct job *j, struct vh_buf *out)
{
	bool with_steps = j->steps && (j->status < ENG_COMPLETE ||
				       eng_job_has_placed_tasks(j));
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, with_steps ? REC_FIELDS : REC_STARTED);
	msgpack_pack_int(&pk, RECORD_FORMAT_JOB);
	msgpack_pack_int(&pk, (int)j->status);
	if (with_steps) {
		msgpack_pack_int(&pk, j->started);
		pack_steps(&pk, j);
		msgpack_pack_int(&pk, j->over_share);
	}
	vh_buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

bool eng_record_uint(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

bool eng_record_array(const msgpack_object *o, const msgpack_object **p,
		      size_t *n)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	*p = o->via.array.ptr;
	*n = o->via.array.size;
	return true;
}

static bool unpack_header(const msgpack_object *o, const msgpack_object **p,
			  size_t *n, uint64_t *format,
			  enum eng_job_status *status)
{
	uint64_t s;

	if (!eng_record_array(o, p, n) || *n < REC_STARTED)
		return false;
	if (!eng_record_uint(&(*p)[REC_FORMAT], RECORD_FORMAT_HEAD, format) ||
	    *format < RECORD_FORMAT_JOB)
		return false;
	if (!eng_record_uint(&(*p)[REC_STATUS], ENG_CANCELLED, &s))
		return false;
	*status = (enum eng_job_status)s;
	return true;
}

bool eng_record_status(struct vh_slice bytes, enum eng_job_status *status,
		       bool *placed, bool *in_parts)
{
	const msgpack_object *p;
	msgpack_unpacked u;
	size_t off = 0;
	uint64_t format = 0;
	size_t n;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, bytes.data, bytes.len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     unpack_header(&u.data, &p, &n, &format, status);
	*placed = ok && n >= REC_FIELDS_MIN;
	*in_parts = ok && format == RECORD_FORMAT_HEAD;
	msgpack_unpacked_destroy(&u);
	return ok;
}

static bool restore_losses(struct task *t, const msgpack_object *o)
{
	const msgpack_object *p;
	uint64_t run;
	uint64_t kind;
	uint64_t started;
	size_t n;

	if (!eng_record_array(o, &p, &n) || n % LOSS_FIELDS)
		return false;
	for (size_t i = 0; i < n; i += LOSS_FIELDS) {
		struct loss l;

		if (!eng_record_uint(&p[i], UINT32_MAX, &run) ||
		    !eng_record_uint(&p[i + 1], LOSS_SUSPECT, &kind) ||
		    !eng_record_uint(&p[i + 2], 1, &started))
			return false;
		l.run = (uint32_t)run;
		l.kind = (enum loss_kind)kind;
		l.started = started;
		eng_loss_add(t, &l);
	}
	return true;
}

/*
 * The former owner may have known of a later boot than the entry of the worker
 * names, so the run is looked for on the present boot.
 */
static void restore_placement(struct engine *e, struct task *t,
			      const struct recorded_worker *r)
{
	struct loss l = { t->run, LOSS_UNPROVEN, false };

	eng_task_assign(e, t, r->w);
	eng_task_set_state(e, t, TASK_UNCONFIRMED);
	if (r->rebooted && !t->done)
		eng_loss_add(t, &l);
}

bool eng_record_restore_task(struct engine *e, struct task *t,
			     const msgpack_object *o, const GArray *workers)
{
	const msgpack_object *p;
	uint64_t done;
	uint64_t run;
	uint64_t position; /* in the list of workers, from 1; 0: none */
	size_t n;

	if (o->type == MSGPACK_OBJECT_NIL)
		return true;
	if (!eng_record_array(o, &p, &n) || n < TASK_FIELDS)
		return false;
	if (!eng_record_uint(&p[0], 1, &done) ||
	    !eng_record_uint(&p[1], UINT32_MAX, &run) ||
	    !eng_record_uint(&p[2], UINT64_MAX, &t->failed_runs) ||
	    !eng_record_uint(&p[3], workers->len, &position) ||
	    p[4].type != MSGPACK_OBJECT_BIN)
		return false;
	t->run = (uint32_t)run;
	if (p[4].via.bin.size) {
		struct vh_slice c =
			vh_slice(p[4].via.bin.ptr, p[4].via.bin.size);

		t->checkpoint = vh_slice(vh_slice_dup(c), c.len);
	}
	if (done) {
		t->done = true;
		t->step->n_done++;
		t->step->n_waiting--;
	}
	if (n > TASK_FIELDS && !restore_losses(t, &p[TASK_FIELDS]))
		return false;
	if (position)
		restore_placement(e, t,
				  &g_array_index(workers,
						 struct recorded_worker,
						 position - 1));
	return true;
}

bool eng_record_restore_workers(struct engine *e, const msgpack_object *o,
				GArray *workers)
{
	const msgpack_object *rows;
	size_t n;

	if (!eng_record_array(o, &rows, &n))
		return false;
	for (size_t i = 0; i < n; i++) {
		const msgpack_object *row;
		struct recorded_worker r;
		struct worker *w;
		uint64_t born;
		size_t n_row;

		if (!eng_record_array(&rows[i], &row, &n_row) || n_row < 3 ||
		    row[0].type != MSGPACK_OBJECT_BIN ||
		    !eng_record_uint(&row[1], INT64_MAX, &born) ||
		    row[2].type != MSGPACK_OBJECT_BIN)
			return false;
		w = eng_worker_get(e, vh_slice(row[0].via.bin.ptr,
					       row[0].via.bin.size));
		if (!*w->address)
			eng_worker_set_address(w,
					       vh_slice(row[2].via.bin.ptr,
							row[2].via.bin.size));
		if (!w->born_ms)
			w->born_ms = (int64_t)born;
		r.w = w;
		r.rebooted = w->born_ms != (int64_t)born;
		g_array_append_val(workers, r);
	}
	return true;
}

static bool restore_step(struct engine *e, struct step *s,
			 const msgpack_object *o, const GArray *workers)
{
	const msgpack_object *p;
	const msgpack_object *tasks;
	size_t n;
	size_t n_tasks;

	if (!eng_record_array(o, &p, &n) || n < 2 ||
	    !eng_record_uint(&p[0], UINT64_MAX, &s->failed_runs) ||
	    !eng_record_array(&p[1], &tasks, &n_tasks) ||
	    n_tasks != s->spec->n_tasks)
		return false;
	for (size_t k = 0; k < n_tasks; k++) {
		if (!eng_record_restore_task(e, &s->tasks[k], &tasks[k],
					     workers))
			return false;
	}
	if (s->n_done == s->spec->n_tasks)
		s->job->n_steps_done++;
	return true;
}

static bool restore_job(struct engine *e, struct job *j,
			const msgpack_object *o, GArray *workers)
{
	const msgpack_object *p;
	const msgpack_object *steps;
	enum eng_job_status status;
	uint64_t format;
	uint64_t started;
	uint64_t over_share;
	size_t n;
	size_t n_steps;

	if (!unpack_header(o, &p, &n, &format, &status))
		return false;
	j->status = status;
	j->started = status >= ENG_COMPLETE;
	if (n < REC_FIELDS_MIN)
		return true;
	if (n > REC_OVER_SHARE &&
	    eng_record_uint(&p[REC_OVER_SHARE], 1, &over_share))
		j->over_share = over_share;
	if (!eng_record_uint(&p[REC_STARTED], 1, &started) ||
	    !eng_record_restore_workers(e, &p[REC_WORKERS], workers) ||
	    !eng_record_array(&p[REC_STEPS], &steps, &n_steps) ||
	    n_steps != j->spec->n_steps)
		return false;
	j->started = started;
	for (size_t i = 0; i < n_steps; i++) {
		if (!restore_step(e, &j->steps[i], &steps[i], workers))
			return false;
	}
	return true;
}

bool eng_record_apply(struct engine *e, struct job *j, struct vh_slice bytes)
{
	GArray *workers =
		g_array_new(FALSE, FALSE, sizeof(struct recorded_worker));
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	e->restoring = true;
	ok = msgpack_unpack_next(&u, bytes.data, bytes.len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     restore_job(e, j, &u.data, workers);
	e->restoring = false;
	msgpack_unpacked_destroy(&u);
	g_array_free(workers, TRUE);
	return ok;
}
