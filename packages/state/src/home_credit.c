#include "home_priv.h"

#include "vh/credit.h"

/* Returns how much of one dimension of the limit this home may use. */
static uint32_t credit_amount(const struct vh_home *h, uint32_t limit)
{
	uint64_t parts = h->parts - h->parts_sending;

	if (limit == VH_RES_UNLIMITED)
		return VH_RES_UNLIMITED;
	return (uint32_t)(parts * limit / VH_CREDIT_PARTS);
}

static bool credit_fits(const struct vh_home *h, const struct vh_res *used,
			uint32_t tasks)
{
	if (!h->limited)
		return true;
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		if (used->v[d] > credit_amount(h, h->limit.running.v[d]))
			return false;
	}
	return tasks <= credit_amount(h, h->limit.tasks);
}

bool home_credit_allows(const struct vh_home *h, const struct vh_res *size)
{
	struct vh_res used = h->counts.committed;

	vh_res_add(&used, size);
	return credit_fits(h, &used, h->counts.committed_tasks + 1);
}

bool home_within_credit(const struct vh_home *h)
{
	return credit_fits(h, &h->counts.committed, h->counts.committed_tasks);
}

void vh_home_set_limit(struct vh_home *h, const struct vh_limit *limit)
{
	h->limited = limit != NULL;
	if (limit)
		h->limit = *limit;
	h->limit.name = vh_slice("", 0);
}

uint32_t vh_home_credit_parts(const struct vh_home *h)
{
	return h->parts - h->parts_sending;
}

/* Returns the parts that cover an amount of one dimension, rounded up. */
static uint64_t parts_for_amount(uint64_t amount, uint32_t limit)
{
	if (limit == VH_RES_UNLIMITED || !amount)
		return 0;
	if (!limit)
		return VH_CREDIT_PARTS;
	return (amount * VH_CREDIT_PARTS + limit - 1) / limit;
}

static uint32_t parts_for_usage(const struct vh_home *h,
				const struct vh_res *used, uint32_t tasks)
{
	uint64_t need = parts_for_amount(tasks, h->limit.tasks);

	for (int d = 0; d < VH_DIM_COUNT; d++)
		need = MAX(need,
			   parts_for_amount(used->v[d], h->limit.running.v[d]));
	return (uint32_t)MIN(need, VH_CREDIT_PARTS);
}

uint32_t vh_home_credit_used(const struct vh_home *h)
{
	if (!h->limited)
		return 0;
	return parts_for_usage(h, &h->counts.committed,
			       h->counts.committed_tasks);
}

uint32_t vh_home_credit_wanted(const struct vh_home *h)
{
	struct vh_res want = h->counts.committed;
	uint32_t tasks = h->counts.committed_tasks;

	if (!h->limited)
		return 0;
	for (const struct home_job *job = h->first_active; job;
	     job = job->next_active) {
		if (!job->n_waiting || job->pub.cancelled)
			continue;
		for (uint32_t i = 0; i < job->pub.spec.n_tasks; i++) {
			if (job->pub.tasks[i].state != VH_TASK_WAITING)
				continue;
			vh_res_add(&want, task_size(&job->pub.tasks[i]));
			tasks++;
		}
	}
	return parts_for_usage(h, &want, tasks);
}

static void transfer_pack(struct vh_buf *body, enum vh_transfer_kind kind,
			  uint32_t peer, uint64_t seq, uint32_t parts)
{
	vh_pack_array(body, 4);
	vh_pack_u64(body, kind);
	vh_pack_u64(body, peer);
	vh_pack_u64(body, seq);
	vh_pack_u64(body, parts);
}

bool vh_home_transfer_out(struct vh_home *h, uint32_t to, uint32_t parts,
			  struct vh_buf *body)
{
	uint32_t keep = vh_home_credit_used(h);

	if (!h->epoch || to >= VH_HOMES_MAX || to == h->settings.index ||
	    !parts || h->parts_sending || parts > h->parts ||
	    h->parts - parts < keep)
		return false;
	h->parts_sending = parts;
	transfer_pack(body, VH_TRANSFER_OUT, to, h->peers[to].sent_seq + 1,
		      parts);
	return true;
}

void vh_home_transfer_out_failed(struct vh_home *h)
{
	h->parts_sending = 0;
}

bool vh_home_transfer_in(struct vh_home *h, uint32_t from, uint64_t seq,
			 uint32_t parts, struct vh_buf *body)
{
	if (!h->epoch || from >= VH_HOMES_MAX ||
	    seq <= h->peers[from].received_seq)
		return false;
	transfer_pack(body, VH_TRANSFER_IN, from, seq, parts);
	return true;
}

uint64_t vh_home_transfer_received(const struct vh_home *h, uint32_t from)
{
	return from < VH_HOMES_MAX ? h->peers[from].received_seq : 0;
}

bool vh_home_transfer_pending(const struct vh_home *h,
			      struct vh_credit_transfer *out)
{
	if (!h->transfers)
		return false;
	out->to = h->transfers->to;
	out->seq = h->transfers->seq;
	out->parts = h->transfers->parts;
	return true;
}

bool vh_home_transfer_settle(struct vh_home *h, uint32_t to,
			     uint64_t received_seq, struct vh_buf *body)
{
	for (const struct home_transfer *m = h->transfers; m; m = m->next) {
		if (m->to == to && m->seq <= received_seq) {
			transfer_pack(body, VH_TRANSFER_SETTLED, to,
				      received_seq, 0);
			return true;
		}
	}
	return false;
}

static void transfer_sent(struct vh_home *h, uint32_t to, uint64_t seq,
			  uint32_t parts)
{
	struct home_transfer **at = &h->transfers;
	struct home_transfer *m;

	h->parts_sending = 0;
	if (seq <= h->peers[to].sent_seq || parts > h->parts)
		return;
	h->peers[to].sent_seq = seq;
	h->parts -= parts;
	while (*at)
		at = &(*at)->next;
	m = g_new0(struct home_transfer, 1);
	m->to = to;
	m->seq = seq;
	m->parts = parts;
	*at = m;
}

static void transfer_settled(struct vh_home *h, uint32_t to, uint64_t seq)
{
	struct home_transfer **at = &h->transfers;

	while (*at) {
		struct home_transfer *m = *at;

		if (m->to != to || m->seq > seq) {
			at = &m->next;
			continue;
		}
		*at = m->next;
		g_free(m);
	}
}

void home_apply_transfer(struct vh_home *h, struct vh_slice body)
{
	struct vh_unpack u;
	uint32_t kind, peer, parts;
	uint64_t seq;
	bool ok;

	vh_unpack_init(&u, body, NULL);
	kind = vh_unpack_u32(&u);
	peer = vh_unpack_u32(&u);
	seq = vh_unpack_u64(&u);
	parts = vh_unpack_u32(&u);
	ok = u.ok && peer < VH_HOMES_MAX;
	vh_unpack_finish(&u);
	if (!ok)
		return;
	if (kind == VH_TRANSFER_OUT) {
		transfer_sent(h, peer, seq, parts);
	} else if (kind == VH_TRANSFER_SETTLED) {
		transfer_settled(h, peer, seq);
	} else if (kind == VH_TRANSFER_IN &&
		   seq > h->peers[peer].received_seq &&
		   parts <= VH_CREDIT_PARTS - h->parts) {
		h->peers[peer].received_seq = seq;
		h->parts += parts;
	}
}

void home_transfers_clear(struct vh_home *h)
{
	for (uint32_t i = 0; i < VH_HOMES_MAX; i++)
		transfer_settled(h, i, UINT64_MAX);
}
