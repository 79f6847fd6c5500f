#include "cell_priv.h"

/* A pending call to the policy service on behalf of the owner. */
struct proxied_call {
	struct vh_cell *cell;
	uint64_t sequence;
	uint64_t epoch;
};

static void on_advised(void *ctx, const struct vh_policy_reply *r)
{
	struct proxied_call *call = ctx;
	struct owner_client *client = &call->cell->owner_client;

	call->cell->pending_calls--;
	if (!call->cell->stopped && owner_client_usable(client) &&
	    client->epoch == call->epoch)
		owner_client_reply_advice(client, call->sequence, r->ok,
					  r->valid_ms, r->good, r->n);
	g_free(call);
}

void advice_proxy_call(struct vh_cell *c, const struct vh_frame *f)
{
	const msgpack_object *workers = f->n > 3 ? &f->args[3] : NULL;
	struct vh_slice *ids;
	struct proxied_call *call;
	size_t n;

	if (!workers || workers->type != MSGPACK_OBJECT_ARRAY)
		return;
	n = workers->via.array.size;
	ids = g_new0(struct vh_slice, n + 1);
	for (size_t i = 0; i < n; i++)
		vh_frame_read_bytes(&workers->via.array.ptr[i], ENG_NAME_MAX,
				    &ids[i]);
	call = g_new0(struct proxied_call, 1);
	call->cell = c;
	c->pending_calls++;
	call->sequence = wire_u64(f, 0);
	call->epoch = c->owner_client.epoch;
	c->ports->policy->advise(c->ports->policy_self, wire_u64(f, 1),
				 (uint32_t)wire_u64(f, 2), ids, n, on_advised,
				 call);
	g_free(ids);
}
