#include "bytes.h"
#include "home_priv.h"

#define HOME_SNAP_VERSION 1
#define TASK_FIELDS 9

static void task_dump(const struct vh_task *task, struct vh_buf *out)
{
	const struct task_priv *priv = task_priv(task);
	bool ended = priv->ended_durable;

	vh_pack_array(out, TASK_FIELDS);
	vh_pack_u64(out, priv->recorded_attempt);
	vh_pack_bool(out, priv->recorded);
	vh_pack_bool(out, ended);
	vh_pack_u64(out, ended ? task->attempt : 0);
	vh_pack_u64(out, ended ? task->end : VH_END_DONE);
	vh_pack_i64(out, ended ? task->exit_code : 0);
	vh_pack_bool(out, ended && task->not_run);
	vh_pack_bool(out, ended && task->unknown);
	vh_pack_slice(out, ended ? task->result : vh_slice("", 0));
}

static void job_dump(const struct home_job *job, struct vh_buf *out)
{
	const struct vh_job *pub = &job->pub;

	vh_pack_array(out, 5);
	vh_pack_slice(out, pub->id);
	vh_pack_i64(out, pub->accepted_wall_ms);
	vh_pack_slice(out, job->spec_bytes);
	vh_pack_bool(out, pub->cancelled);
	vh_pack_array(out, pub->spec.n_tasks);
	for (uint32_t i = 0; i < pub->spec.n_tasks; i++)
		task_dump(&pub->tasks[i], out);
}

static void keys_dump(const struct vh_home *h, struct vh_buf *out)
{
	size_t n = 0;

	for (const struct home_key *k = h->key_head; k; k = k->next)
		n += k->durable;
	vh_pack_array(out, n);
	for (const struct home_key *k = h->key_head; k; k = k->next) {
		if (!k->durable)
			continue;
		vh_pack_array(out, 6);
		vh_pack_slice(out, k->node.key);
		vh_pack_u64(out, k->fingerprint);
		vh_pack_i64(out, k->wall_ms);
		vh_pack_bool(out, k->ended);
		vh_pack_u64(out, k->status);
		if (k->job)
			job_dump(k->job, out);
		else
			vh_pack_array(out, 0);
	}
}

static void credit_dump(const struct vh_home *h, struct vh_buf *out)
{
	size_t n = 0;

	vh_pack_u64(out, h->parts);
	for (const struct home_transfer *m = h->transfers; m; m = m->next)
		n++;
	vh_pack_array(out, n);
	for (const struct home_transfer *m = h->transfers; m; m = m->next) {
		vh_pack_array(out, 3);
		vh_pack_u64(out, m->to);
		vh_pack_u64(out, m->seq);
		vh_pack_u64(out, m->parts);
	}
	vh_pack_array(out, (size_t)VH_HOMES_MAX * 2);
	for (uint32_t i = 0; i < VH_HOMES_MAX; i++) {
		vh_pack_u64(out, h->peers[i].received_seq);
		vh_pack_u64(out, h->peers[i].sent_seq);
	}
}

void vh_home_dump(const struct vh_home *h, struct vh_buf *out)
{
	vh_pack_array(out, 8);
	vh_pack_u64(out, HOME_SNAP_VERSION);
	vh_pack_u64(out, h->open_epoch);
	vh_pack_u64(out, h->n_opens);
	vh_pack_i64(out, h->wall_ms);
	credit_dump(h, out);
	keys_dump(h, out);
}

static bool task_load(struct vh_home *h, struct vh_task *task,
		      struct vh_unpack *u)
{
	struct task_priv *priv = task_priv(task);
	uint32_t end;

	priv->recorded_attempt = vh_unpack_u32(u);
	priv->recorded = vh_unpack_bool(u);
	priv->ended_durable = vh_unpack_bool(u);
	task->attempt = vh_unpack_u32(u);
	end = vh_unpack_u32(u);
	task->exit_code = (int32_t)vh_unpack_i64(u);
	task->not_run = vh_unpack_bool(u);
	task->unknown = vh_unpack_bool(u);
	bytes_set(&task->result, vh_unpack_slice(u));
	if (!u->ok || end >= VH_END_COUNT)
		return false;
	task->end = (enum vh_end)end;
	if (!priv->ended_durable) {
		task->attempt = priv->recorded_attempt;
		return true;
	}
	home_task_set_state(h, task, VH_TASK_ENDED);
	task->job->n_unfinished--;
	return true;
}

/* An empty array means that the key belongs to a request. */
static bool job_load(struct vh_home *h, struct home_key *k, struct vh_unpack *u,
		     int64_t now_ms)
{
	struct vh_slice id = vh_unpack_slice(u);
	int64_t wall_ms = vh_unpack_i64(u);
	struct vh_slice spec = vh_unpack_slice(u);
	bool cancelled = vh_unpack_bool(u);
	struct vh_unpack tasks, task;
	uint32_t n = vh_unpack_array(u, &tasks);
	struct home_job *job;

	if (!u->ok || !id.len || vh_home_job(h, id))
		return false;
	job = home_job_add(h, id, spec, wall_ms, now_ms);
	if (!job)
		return false;
	job->key = k;
	k->job = job;
	job->replayed = true;
	job->pub.durable = true;
	job->pub.cancelled = cancelled;
	if (n != job->pub.spec.n_tasks)
		return false;
	for (uint32_t i = 0; i < n; i++) {
		vh_unpack_array(&tasks, &task);
		if (!task_load(h, &job->pub.tasks[i], &task))
			return false;
	}
	home_job_activate(h, job);
	return true;
}

static bool keys_load(struct vh_home *h, struct vh_unpack *u, int64_t now_ms)
{
	struct vh_unpack list, item, job;
	uint32_t n = vh_unpack_array(u, &list);

	for (uint32_t i = 0; i < n; i++) {
		struct home_key *k;
		struct vh_slice key;
		uint64_t fingerprint;

		vh_unpack_array(&list, &item);
		key = vh_unpack_slice(&item);
		fingerprint = vh_unpack_u64(&item);
		if (!item.ok || home_key_find(h, key))
			return false;
		k = home_key_add(h, key, fingerprint, vh_unpack_i64(&item));
		k->durable = true;
		k->ended = vh_unpack_bool(&item);
		k->status = vh_unpack_u32(&item);
		if (vh_unpack_array(&item, &job) &&
		    !job_load(h, k, &job, now_ms))
			return false;
		if (!item.ok)
			return false;
	}
	return u->ok;
}

static bool credit_load(struct vh_home *h, struct vh_unpack *u)
{
	struct vh_unpack list, item;
	struct home_transfer **tail = &h->transfers;
	uint32_t n;

	h->parts = vh_unpack_u32(u);
	n = vh_unpack_array(u, &list);
	for (uint32_t i = 0; i < n; i++) {
		struct home_transfer *m = g_new0(struct home_transfer, 1);

		*tail = m;
		tail = &m->next;
		vh_unpack_array(&list, &item);
		m->to = vh_unpack_u32(&item);
		m->seq = vh_unpack_u64(&item);
		m->parts = vh_unpack_u32(&item);
		if (!item.ok)
			return false;
	}
	vh_unpack_array(u, &list);
	for (uint32_t i = 0; i < VH_HOMES_MAX; i++) {
		h->peers[i].received_seq = vh_unpack_u64(&list);
		h->peers[i].sent_seq = vh_unpack_u64(&list);
	}
	return u->ok && list.ok && h->parts <= VH_CREDIT_PARTS;
}

bool vh_home_load(struct vh_home *h, struct vh_slice bytes, int64_t now_ms)
{
	struct vh_unpack u;
	bool ok;

	vh_unpack_init(&u, bytes, NULL);
	ok = vh_unpack_u64(&u) == HOME_SNAP_VERSION && !h->newest_job &&
	     !h->key_head;
	if (ok) {
		h->open_epoch = vh_unpack_u64(&u);
		h->n_opens = vh_unpack_u32(&u);
		h->wall_ms = vh_unpack_i64(&u);
		ok = credit_load(h, &u) && keys_load(h, &u, now_ms) && u.ok;
	}
	vh_unpack_finish(&u);
	return ok;
}
