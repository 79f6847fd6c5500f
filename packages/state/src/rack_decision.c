#include "rack_priv.h"

/* A past decision, kept to answer late repeats of its request. */
struct rack_decision {
	struct vh_table_node node;
	struct rack_decision *newer;
	enum vh_err err;
	int64_t until_ms;
	char key[];
};

struct vh_slice rack_key(struct vh_buf *buf, struct vh_slice task,
			 uint32_t attempt)
{
	vh_buf_clear(buf);
	vh_buf_add_slice(buf, task);
	vh_buf_printf(buf, "#%u", attempt);
	return vh_buf_slice(buf);
}

void rack_decision_add(struct vh_rack *r, struct vh_slice task,
		       uint32_t attempt, enum vh_err err, int64_t now_ms)
{
	struct vh_slice key = rack_key(&r->key, task, attempt);
	struct rack_decision *d;

	if (vh_table_find(&r->decisions, key))
		return;
	d = g_malloc0(sizeof(*d) + key.len);
	memcpy(d->key, key.data, key.len);
	d->node.key = vh_slice(d->key, key.len);
	d->err = err;
	d->until_ms = now_ms + VH_RACK_DECISION_TTL_MS;
	vh_table_add(&r->decisions, &d->node);
	if (r->newest_decision)
		r->newest_decision->newer = d;
	else
		r->oldest_decision = d;
	r->newest_decision = d;
}

bool rack_decision_find(struct vh_rack *r, struct vh_slice task,
			uint32_t attempt, enum vh_err *err)
{
	struct rack_decision *d = (struct rack_decision *)vh_table_find(
		&r->decisions, rack_key(&r->key, task, attempt));

	if (d && err)
		*err = d->err;
	return d != NULL;
}

void rack_decision_expire(struct vh_rack *r, int64_t now_ms)
{
	while (r->oldest_decision && r->oldest_decision->until_ms <= now_ms) {
		struct rack_decision *d = r->oldest_decision;

		r->oldest_decision = d->newer;
		if (!r->oldest_decision)
			r->newest_decision = NULL;
		vh_table_remove(&r->decisions, &d->node);
		g_free(d);
	}
}

void rack_decision_clear(struct vh_rack *r)
{
	rack_decision_expire(r, INT64_MAX);
}
