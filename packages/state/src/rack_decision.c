#include "rack_priv.h"

/* An attempt that is over, kept to answer a late repeat of its request. */
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

	if (vh_table_find(&r->decided, key))
		return;
	d = g_malloc0(sizeof(*d) + key.len);
	memcpy(d->key, key.data, key.len);
	d->node.key = vh_slice(d->key, key.len);
	d->err = err;
	d->until_ms = now_ms + VH_RACK_DECISION_TTL_MS;
	vh_table_add(&r->decided, &d->node);
	if (r->newest)
		r->newest->newer = d;
	else
		r->oldest = d;
	r->newest = d;
}

bool rack_decision_find(struct vh_rack *r, struct vh_slice task,
			uint32_t attempt, enum vh_err *err)
{
	struct rack_decision *d = (struct rack_decision *)vh_table_find(
		&r->decided, rack_key(&r->key, task, attempt));

	if (d && err)
		*err = d->err;
	return d != NULL;
}

void rack_decision_expire(struct vh_rack *r, int64_t now_ms)
{
	while (r->oldest && r->oldest->until_ms <= now_ms) {
		struct rack_decision *d = r->oldest;

		r->oldest = d->newer;
		if (!r->oldest)
			r->newest = NULL;
		vh_table_remove(&r->decided, &d->node);
		g_free(d);
	}
}

void rack_decision_clear(struct vh_rack *r)
{
	rack_decision_expire(r, INT64_MAX);
}
