#include "cell_priv.h"

/* A call to the policy service that this node makes for the owner. */
struct errand {
	struct vh_cell *cell;
	uint64_t sequence;
	uint64_t epoch;
};

static void on_advised(void *ctx, const struct vh_policy_reply *r)
{
	struct errand *x = ctx;
	struct owner_client *s = &x->cell->owner_client;

	x->cell->calls--;
	if (!x->cell->stopped && owner_client_usable(s) && s->epoch == x->epoch)
		owner_client_reply_advice(s, x->sequence, r->ok, r->valid_ms,
					  r->good, r->n);
	g_free(x);
}

void advice_proxy_call(struct vh_cell *c, const struct vh_frame *f)
{
	const msgpack_object *rows = f->n > 3 ? &f->args[3] : NULL;
	struct vh_slice *ids;
	struct errand *x;
	size_t n;

	if (!rows || rows->type != MSGPACK_OBJECT_ARRAY)
		return;
	n = rows->via.array.size;
	ids = g_new0(struct vh_slice, n + 1);
	for (size_t i = 0; i < n; i++)
		vh_frame_bytes(&rows->via.array.ptr[i], ENG_NAME_MAX, &ids[i]);
	x = g_new0(struct errand, 1);
	x->cell = c;
	c->calls++;
	x->sequence = wire_u64(f, 0);
	x->epoch = c->owner_client.epoch;
	c->ports->policy->advise(c->ports->policy_self, wire_u64(f, 1),
				 (uint32_t)wire_u64(f, 2), ids, n, on_advised,
				 x);
	g_free(ids);
}
