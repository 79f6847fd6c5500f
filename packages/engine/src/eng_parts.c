#include "eng_priv.h"

/*
 * The state of a job whose record would be too large, in several records: a head, and
 * parts of some of its tasks each, of which those are written that have changed. All
 * are MessagePack arrays:
 *
 *   head: [format, status, started, [failed runs of the gang, of each step...],
 *	    over share, number of parts stored]
 *   part: [format, number of its first task, [worker...], [task...]]
 *
 * Workers and tasks are as in the record of a whole job (eng_record.c), and tasks are
 * counted through all steps. A part none of whose tasks was ever placed is not stored.
 * A part that would be too large is divided in two.
 *
 * The records of a job may be stored in several appends, and an owner may end between
 * two of them. Nothing is started and no end is acknowledged before all are stored, so
 * what is missing then has no effect outside; the order of the records does the rest.
 * The parts come before the head, and the later of two halves before the earlier: the
 * head never counts a part that is not stored, and of two parts with the same task the
 * one that begins later is the newer one. The parts may tell that the job has started or
 * ended before its head does. When the job has ended, its head is replaced
 * by the record of an ended job, and then the parts are deleted.
 */
#define PART_FORMAT 1
#define PART_TASKS 64	     /* of a part that was not divided */
#define RECORD_BYTES_MIN 512 /* records are not divided any further below it */

enum {
	HEAD_FORMAT,
	HEAD_STATUS,
	HEAD_STARTED,
	HEAD_FAILED_RUNS,
	HEAD_OVER_SHARE,
	HEAD_PARTS,
	HEAD_FIELDS
};

enum {
	PART_REC_FORMAT,
	PART_REC_FIRST,
	PART_REC_WORKERS,
	PART_REC_TASKS,
	PART_REC_FIELDS
};

/**
 * struct part - tasks of a job with one record
 * @first: number of the first task
 * @stored: a record of it was passed to the store
 * @bytes: what that record held; empty: it is to be written anew
 */
struct part {
	uint32_t first;
	uint32_t n;
	bool stored;
	struct vh_buf bytes;
};

/* @list: of struct part, which cover all tasks in order */
struct job_parts {
	GArray *list;
};

static void part_clear(gpointer p)
{
	vh_buf_finish(&((struct part *)p)->bytes);
}

static struct part *part_at(const struct job_parts *p, guint i)
{
	return &g_array_index(p->list, struct part, i);
}

static uint32_t count_tasks(const struct job *j)
{
	uint32_t n = 0;

	for (size_t i = 0; i < j->spec->n_steps; i++)
		n += j->spec->steps[i].n_tasks;
	return n;
}

static struct job_parts *parts_new(void)
{
	struct job_parts *p = g_new0(struct job_parts, 1);

	p->list = g_array_new(FALSE, TRUE, sizeof(struct part));
	g_array_set_clear_func(p->list, part_clear);
	return p;
}

void eng_parts_free(struct job_parts *p)
{
	if (!p)
		return;
	g_array_free(p->list, TRUE);
	g_free(p);
}

/* Appends parts for the tasks from the end of the last one to @end, which end at
 * multiples of PART_TASKS. */
static void add_parts_up_to(struct job_parts *p, uint32_t end)
{
	guint len = p->list->len;
	const struct part *last = len ? part_at(p, len - 1) : NULL;
	uint32_t first = last ? last->first + last->n : 0;

	while (first < end) {
		uint32_t next = (first / PART_TASKS + 1) * PART_TASKS;
		struct part part = { .first = first };

		part.n = MIN(next, end) - first;
		g_array_append_val(p->list, part);
		first += part.n;
	}
}

static void divide_part(struct job_parts *p, guint i)
{
	struct part *whole = part_at(p, i);
	struct part second = { .first = whole->first + whole->n / 2,
			       .n = whole->n - whole->n / 2 };

	whole->n /= 2;
	g_array_insert_val(p->list, i + 1, second);
}

static bool too_large(const struct engine *e, const struct vh_buf *bytes)
{
	return e->record_bytes && bytes->len > e->record_bytes;
}

static struct eng_record *add_record(GArray *records, const struct job *j)
{
	struct eng_record r = { .job = j->id };

	g_array_append_val(records, r);
	return &g_array_index(records, struct eng_record, records->len - 1);
}

static struct eng_record *add_part_record(GArray *records, const struct job *j,
					  uint32_t first_task)
{
	struct eng_record *r = add_record(records, j);

	r->is_part = true;
	r->first_task = first_task;
	return r;
}

static bool any_placed(struct task_range r)
{
	const struct task *t;

	while ((t = eng_range_next(&r))) {
		if (t->run || t->done)
			return true;
	}
	return false;
}

static void pack_part(const struct job *j, const struct part *part,
		      struct vh_buf *out)
{
	struct task_range tasks = eng_job_tasks(j, part->first, part->n);
	msgpack_sbuffer sb;
	msgpack_packer pk;
	GPtrArray *workers;
	struct task *t;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, PART_REC_FIELDS);
	msgpack_pack_int(&pk, PART_FORMAT);
	msgpack_pack_uint32(&pk, part->first);
	workers = eng_record_pack_workers(&pk, &tasks);
	msgpack_pack_array(&pk, part->n);
	while ((t = eng_range_next(&tasks)))
		eng_record_pack_task(&pk, t, workers);
	vh_buf_add(out, sb.data, sb.size);
	g_ptr_array_free(workers, TRUE);
	msgpack_sbuffer_destroy(&sb);
}

static void add_part(struct engine *e, struct job *j, guint i, GArray *records)
{
	struct part *part = part_at(j->parts, i);
	struct vh_buf bytes = { 0 };
	struct eng_record *r;

	if (!part->stored &&
	    !any_placed(eng_job_tasks(j, part->first, part->n)))
		return;
	pack_part(j, part, &bytes);
	if (part->n > 1 && too_large(e, &bytes)) {
		vh_buf_finish(&bytes);
		divide_part(j->parts, i);
		add_part(e, j, i + 1, records);
		add_part(e, j, i, records);
		return;
	}
	if (part->stored &&
	    vh_slice_eq(vh_buf_slice(&bytes), vh_buf_slice(&part->bytes))) {
		vh_buf_finish(&bytes);
		return;
	}
	part->stored = true;
	vh_buf_finish(&part->bytes);
	part->bytes = bytes;
	r = add_part_record(records, j, part->first);
	vh_buf_add_slice(&r->bytes, vh_buf_slice(&bytes));
}

static uint32_t count_stored(const struct job_parts *p)
{
	uint32_t n = 0;

	for (guint i = 0; i < p->list->len; i++)
		n += part_at(p, i)->stored;
	return n;
}

/* Always written: a batch with a change that shows in no part must not be empty, as
 * the acknowledgement of an end may wait for it. */
static void add_head(const struct job *j, GArray *records)
{
	struct eng_record *r = add_record(records, j);
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, HEAD_FIELDS);
	msgpack_pack_int(&pk, RECORD_FORMAT_HEAD);
	msgpack_pack_int(&pk, (int)j->status);
	msgpack_pack_int(&pk, j->started);
	msgpack_pack_array(&pk, j->spec->n_steps);
	for (size_t i = 0; i < j->spec->n_steps; i++)
		msgpack_pack_uint64(&pk, j->steps[i].failed_runs);
	msgpack_pack_int(&pk, j->over_share);
	msgpack_pack_uint32(&pk, count_stored(j->parts));
	vh_buf_add(&r->bytes, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

static void drop_part(struct job *j, uint32_t first)
{
	if (!j->dropped_parts)
		j->dropped_parts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_val(j->dropped_parts, first);
}

/* Adds records that delete those parts that are of no use any more. */
static void add_deletions(struct job *j, GArray *records)
{
	for (guint i = 0; j->dropped_parts && i < j->dropped_parts->len; i++)
		add_part_record(records, j,
				g_array_index(j->dropped_parts, uint32_t, i));
	g_clear_pointer(&j->dropped_parts, g_array_unref);
}

static void leave_parts(struct job *j)
{
	for (guint i = 0; j->parts && i < j->parts->list->len; i++) {
		if (part_at(j->parts, i)->stored)
			drop_part(j, part_at(j->parts, i)->first);
	}
	eng_parts_free(j->parts);
	j->parts = NULL;
}

static bool has_state(const struct job *j)
{
	return j->steps &&
	       (j->status < ENG_COMPLETE || eng_job_has_placed_tasks(j));
}

/* Returns false, and adds nothing, if the record would be too large. */
static bool add_whole(struct engine *e, struct job *j, GArray *records)
{
	struct vh_buf bytes = { 0 };

	eng_record_pack(j, &bytes);
	if (has_state(j) && too_large(e, &bytes)) {
		vh_buf_finish(&bytes);
		return false;
	}
	add_record(records, j)->bytes = bytes;
	return true;
}

void eng_parts_add_records(struct engine *e, struct job *j, GArray *records)
{
	if (!has_state(j))
		leave_parts(j);
	if (!j->parts && add_whole(e, j, records)) {
		add_deletions(j, records);
		return;
	}
	if (!j->parts) {
		j->parts = parts_new();
		add_parts_up_to(j->parts, count_tasks(j));
	}
	for (guint i = j->parts->list->len; i-- > 0;)
		add_part(e, j, i, records);
	add_head(j, records);
}

void eng_parts_written_anew(struct job *j)
{
	for (guint i = 0; j->parts && i < j->parts->list->len; i++)
		vh_buf_clear(&part_at(j->parts, i)->bytes);
}

bool eng_record_refused(struct engine *e, uint64_t job, size_t bytes,
			struct eng_record **records, size_t *n)
{
	struct job *j = g_hash_table_lookup(e->jobs, &job);
	GArray *out;

	if (!j || !j->steps || bytes / 2 < RECORD_BYTES_MIN)
		return false;
	if (!e->record_bytes || bytes / 2 < e->record_bytes)
		e->record_bytes = bytes / 2;
	eng_parts_written_anew(j);
	out = g_array_new(FALSE, TRUE, sizeof(struct eng_record));
	eng_parts_add_records(e, j, out);
	*n = out->len;
	*records = (struct eng_record *)(void *)g_array_free(out, FALSE);
	return true;
}

static int by_number(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return GPOINTER_TO_UINT(a) < GPOINTER_TO_UINT(b)
		       ? -1
		       : GPOINTER_TO_UINT(a) > GPOINTER_TO_UINT(b);
}

void eng_job_restore_part(struct engine *e, uint64_t id, uint32_t first_task,
			  struct vh_slice record, int64_t now_ms)
{
	struct job *j = eng_job_get(e, id);
	gpointer key = GUINT_TO_POINTER(first_task);

	e->now_ms = now_ms;
	if (e->ready)
		return;
	if (!j->stored_parts)
		j->stored_parts = g_tree_new_full(
			by_number, NULL, NULL, (GDestroyNotify)g_bytes_unref);
	if (record.len)
		g_tree_replace(j->stored_parts, key,
			       g_bytes_new(record.data, record.len));
	else
		g_tree_remove(j->stored_parts, key);
}

static gboolean drop_stored_part(gpointer key, gpointer value, gpointer job)
{
	(void)value;
	drop_part(job, GPOINTER_TO_UINT(key));
	return FALSE;
}

bool eng_parts_drop_stored(struct job *j)
{
	bool any = j->stored_parts && g_tree_nnodes(j->stored_parts) > 0;

	if (any)
		g_tree_foreach(j->stored_parts, drop_stored_part, j);
	g_clear_pointer(&j->stored_parts, g_tree_unref);
	return any;
}

static bool restore_head(struct job *j, const msgpack_object *o,
			 uint64_t *n_parts)
{
	const msgpack_object *p;
	const msgpack_object *failed;
	uint64_t status;
	uint64_t started;
	uint64_t over_share;
	size_t n;
	size_t n_steps;

	if (!eng_record_array(o, &p, &n) || n < HEAD_FIELDS ||
	    !eng_record_uint(&p[HEAD_STATUS], ENG_CANCELLED, &status) ||
	    !eng_record_uint(&p[HEAD_STARTED], 1, &started) ||
	    !eng_record_array(&p[HEAD_FAILED_RUNS], &failed, &n_steps) ||
	    n_steps != j->spec->n_steps ||
	    !eng_record_uint(&p[HEAD_OVER_SHARE], 1, &over_share) ||
	    !eng_record_uint(&p[HEAD_PARTS], UINT32_MAX, n_parts))
		return false;
	for (size_t i = 0; i < n_steps; i++) {
		if (!eng_record_uint(&failed[i], UINT64_MAX,
				     &j->steps[i].failed_runs))
			return false;
	}
	j->status = (enum eng_job_status)status;
	j->started = started;
	j->over_share = over_share;
	return true;
}

/* Restores the tasks of a part up to number @end. Returns how many it has, 0 if it is
 * malformed. */
static uint32_t restore_tasks(struct engine *e, struct job *j, uint32_t first,
			      uint32_t end, const msgpack_object *o)
{
	GArray *workers =
		g_array_new(FALSE, FALSE, sizeof(struct recorded_worker));
	struct task_range range = eng_job_tasks(j, first, end - first);
	const msgpack_object *p;
	const msgpack_object *tasks;
	uint64_t format;
	uint64_t recorded_first;
	size_t n_fields;
	size_t n = 0;
	struct task *t;
	bool ok =
		eng_record_array(o, &p, &n_fields) &&
		n_fields >= PART_REC_FIELDS &&
		eng_record_uint(&p[PART_REC_FORMAT], PART_FORMAT, &format) &&
		eng_record_uint(&p[PART_REC_FIRST], UINT32_MAX,
				&recorded_first) &&
		recorded_first == first &&
		eng_record_restore_workers(e, &p[PART_REC_WORKERS], workers) &&
		eng_record_array(&p[PART_REC_TASKS], &tasks, &n);

	for (size_t k = 0; ok && k < n && (t = eng_range_next(&range)); k++)
		ok = eng_record_restore_task(e, t, &tasks[k], workers);
	g_array_free(workers, TRUE);
	return ok ? (uint32_t)MIN(n, end - first) : 0;
}

static uint32_t restore_part(struct engine *e, struct job *j, uint32_t first,
			     uint32_t end, struct vh_slice bytes)
{
	msgpack_unpacked u;
	size_t off = 0;
	uint32_t n = 0;

	msgpack_unpacked_init(&u);
	if (first < end && msgpack_unpack_next(&u, bytes.data, bytes.len,
					       &off) == MSGPACK_UNPACK_SUCCESS)
		n = restore_tasks(e, j, first, end, &u.data);
	msgpack_unpacked_destroy(&u);
	return n;
}

static gboolean collect_first(gpointer key, gpointer value, gpointer list)
{
	(void)value;
	g_array_append_vals(list, &(uint32_t){ GPOINTER_TO_UINT(key) }, 1);
	return FALSE;
}

/* Restores all parts; each ends where the next begins, which is newer. */
static bool restore_parts(struct engine *e, struct job *j)
{
	uint32_t n_tasks = count_tasks(j);
	GArray *firsts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	bool ok = true;

	g_tree_foreach(j->stored_parts, collect_first, firsts);
	for (guint i = 0; ok && i < firsts->len; i++) {
		struct part part = { .first =
					     g_array_index(firsts, uint32_t, i),
				     .stored = true };
		uint32_t end = i + 1 < firsts->len
				       ? g_array_index(firsts, uint32_t, i + 1)
				       : n_tasks;
		GBytes *bytes = g_tree_lookup(j->stored_parts,
					      GUINT_TO_POINTER(part.first));
		gsize len;
		const char *data = g_bytes_get_data(bytes, &len);

		part.n = restore_part(e, j, part.first, MIN(end, n_tasks),
				      vh_slice(data, len));
		ok = part.n;
		if (!ok)
			break;
		add_parts_up_to(j->parts, part.first);
		g_array_append_val(j->parts->list, part);
	}
	add_parts_up_to(j->parts, n_tasks);
	g_array_free(firsts, TRUE);
	return ok;
}

/*
 * A gang is done as a whole, and its members have one checkpoint. Of the parts with
 * its tasks, only some may have been stored when that changed; the later ones are
 * stored first.
 */
static void complete_gang(struct step *s)
{
	struct vh_slice checkpoint = { 0 };
	bool done = false;

	for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
		const struct task *t = &s->tasks[k];

		done |= t->done;
		if (t->checkpoint.len)
			checkpoint = t->checkpoint;
	}
	checkpoint.data = vh_slice_dup(checkpoint);
	for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
		struct task *t = &s->tasks[k];

		if (done)
			eng_task_mark_done(t);
		g_free((char *)t->checkpoint.data);
		t->checkpoint =
			vh_slice(vh_slice_dup(checkpoint), checkpoint.len);
	}
	g_free((char *)checkpoint.data);
}

/* A run of the task has ended, so the job has started. */
static bool any_ended(const struct job *j)
{
	struct task_range all = eng_job_tasks(j, 0, UINT32_MAX);
	const struct task *t;

	while ((t = eng_range_next(&all))) {
		if (t->done || t->failed_runs)
			return true;
	}
	return false;
}

static void complete_job(struct job *j)
{
	for (size_t i = 0; i < j->spec->n_steps; i++) {
		struct step *s = &j->steps[i];

		if (s->spec->gang)
			complete_gang(s);
		if (s->n_done == s->spec->n_tasks)
			j->n_steps_done++;
	}
	if (!any_ended(j))
		return;
	j->started = true;
	j->status = MAX(j->status, ENG_RUNNING);
}

static bool any_failed_too_often(const struct job *j)
{
	struct task_range all = eng_job_tasks(j, 0, UINT32_MAX);
	const struct task *t;

	while ((t = eng_range_next(&all))) {
		if (!t->done && eng_task_failed_too_often(t))
			return true;
	}
	return false;
}

void eng_parts_settle(struct engine *e, struct job *j)
{
	if (!j->parts || !eng_job_active(j) || j->incomplete)
		return;
	if (j->n_steps_done == j->spec->n_steps)
		eng_job_end(e, j, ENG_COMPLETE);
	else if (any_failed_too_often(j))
		eng_job_end(e, j, ENG_FAILED);
}

bool eng_parts_apply(struct engine *e, struct job *j)
{
	struct vh_slice head = vh_buf_slice(&j->stored_record);
	uint64_t n_parts = 0;
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	if (!j->stored_parts)
		j->stored_parts = g_tree_new_full(by_number, NULL, NULL, NULL);
	j->parts = parts_new();
	e->restoring = true;
	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, head.data, head.len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     restore_head(j, &u.data, &n_parts) &&
	     (uint64_t)g_tree_nnodes(j->stored_parts) >= n_parts &&
	     restore_parts(e, j);
	msgpack_unpacked_destroy(&u);
	if (ok)
		complete_job(j);
	e->restoring = false;
	g_clear_pointer(&j->stored_parts, g_tree_unref);
	return ok;
}
