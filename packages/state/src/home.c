#include "home_priv.h"

#include "vh/credit.h"
#include "vh/invariant.h"

struct vh_home *vh_home_new(const struct vh_home_settings *settings)
{
	struct vh_home *h = g_new0(struct vh_home, 1);

	h->settings = *settings;
	h->team = vh_slice_dup(settings->team);
	h->settings.team = vh_slice(h->team, settings->team.len);
	h->unit = g_strdup_printf("home/%s/%u", h->team, settings->index);
	h->key_tail = &h->key_head;
	h->parts = settings->index ? 0 : VH_CREDIT_PARTS;
	return h;
}

static void home_clear(struct vh_home *h)
{
	home_unreconciled_clear(h);
	home_keys_clear(h);
	while (h->oldest_job)
		home_job_remove(h, h->oldest_job);
	vh_table_finish(&h->jobs);
	home_transfers_clear(h);
}

void vh_home_free(struct vh_home *h)
{
	if (!h)
		return;
	home_clear(h);
	g_free(h->team);
	g_free(h->unit);
	g_free(h);
}

struct vh_slice vh_home_unit(const struct vh_home *h)
{
	return vh_slice_str(h->unit);
}

void vh_home_close(struct vh_home *h)
{
	h->epoch = 0;
	home_unreconciled_clear(h);
}

uint64_t vh_home_epoch(const struct vh_home *h)
{
	return h->epoch;
}

void vh_home_counts(const struct vh_home *h, struct vh_home_counts *out)
{
	*out = h->counts;
}

static void job_pack(struct vh_buf *body, struct vh_slice id,
		     struct vh_slice key, uint64_t fingerprint, int64_t wall_ms,
		     struct vh_slice spec)
{
	vh_pack_array(body, 5);
	vh_pack_slice(body, id);
	vh_pack_slice(body, key);
	vh_pack_u64(body, fingerprint);
	vh_pack_i64(body, wall_ms);
	vh_pack_slice(body, spec);
}

static struct home_job *job_new(struct vh_home *h, struct vh_slice key,
				uint64_t fingerprint,
				const struct vh_job_spec *spec, int64_t wall_ms,
				int64_t now_ms, struct vh_buf *body)
{
	char *id = g_strdup_printf("%s.%u.%" G_GINT64_MODIFIER
				   "x.%" G_GUINT64_FORMAT,
				   h->team, h->settings.index,
				   (guint64)h->epoch, (guint64)h->next_job++);
	struct home_job *job;
	struct vh_buf packed;

	vh_buf_init(&packed);
	vh_job_spec_pack(spec, &packed);
	job_pack(body, vh_slice_str(id), key, fingerprint, wall_ms,
		 vh_buf_slice(&packed));
	job = home_job_add(h, vh_slice_str(id), vh_buf_slice(&packed), wall_ms,
			   now_ms);
	vh_buf_finish(&packed);
	g_free(id);
	return job;
}

enum vh_submit_result vh_home_submit(struct vh_home *h, struct vh_slice key,
				     uint64_t fingerprint,
				     const struct vh_job_spec *spec,
				     int64_t wall_ms, int64_t now_ms,
				     struct vh_buf *body, struct vh_job **job)
{
	struct home_key *k = home_key_find(h, key);
	struct home_job *new_job;

	*job = NULL;
	if (k && (!k->job || k->fingerprint != fingerprint))
		return VH_SUBMIT_CONFLICT;
	if (k) {
		*job = &k->job->pub;
		return VH_SUBMIT_DUPLICATE;
	}
	new_job = job_new(h, key, fingerprint, spec, wall_ms, now_ms, body);
	g_assert(new_job); /* a spec packed here always unpacks */
	new_job->key = home_key_add(h, key, fingerprint, wall_ms);
	new_job->key->job = new_job;
	*job = &new_job->pub;
	return VH_SUBMIT_NEW;
}

void vh_home_submit_failed(struct vh_home *h, struct vh_job *job)
{
	if (!job->durable)
		home_key_remove(h, ((struct home_job *)job)->key);
}

bool vh_home_cancel(struct vh_home *h, struct vh_job *job, struct vh_buf *body)
{
	struct home_job *j = (struct home_job *)job;

	if (!h->epoch || !job->durable || job->cancelled || !job->n_unfinished)
		return false;
	j->cancelling = true;
	vh_pack_array(body, 2);
	vh_pack_slice(body, job->id);
	vh_pack_array(body, j->n_waiting);
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == VH_TASK_WAITING)
			vh_pack_u64(body, (uint64_t)i << 1 |
						  j->priv[i].may_have_started);
	}
	return true;
}

void vh_home_cancel_failed(struct vh_home *h, struct vh_job *job)
{
	(void)h;
	((struct home_job *)job)->cancelling = false;
}
