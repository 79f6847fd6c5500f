#include "keys.h"
#include "lead_priv.h"

/*
 * Load that it answers: a new owner reads back every accepted job. Of those
 * that have ended only the state is needed, a few bytes each.
 */
#define DROP_MS 1000
#define DROP_TIMEOUT_MS 1500

static void on_dropped(void *ctx, const struct vh_append_reply *r)
{
	struct lead *l = ctx;

	l->calls--;
	l->drop_open = false;
	if (r->result == VH_STORE_OK)
		l->n_dropping = 0;
}

static size_t add_keys(struct vh_record *out, char (*keys)[VH_KEY_BYTES],
		       uint64_t id)
{
	vh_key_format(keys[0], VH_KEY_JOB, id);
	vh_key_format(keys[1], VH_KEY_CANCEL, id);
	out[0].key = vh_slice_str(keys[0]);
	out[1].key = vh_slice_str(keys[1]);
	return 2;
}

static void on_drop(void *ctx)
{
	struct lead *l = ctx;
	struct vh_record records[2 * LEAD_DROP_MOST] = { 0 };
	char keys[2 * LEAD_DROP_MOST][VH_KEY_BYTES];
	struct vh_append a = { .topic = VH_TOPIC_JOBS,
			       .records = records,
			       .timeout_ms = DROP_TIMEOUT_MS };

	vh_timer_start(&l->drop, DROP_MS);
	if (l->phase != LEAD_ACTING || l->drop_open || l->frozen)
		return;
	if (!l->n_dropping)
		l->n_dropping =
			eng_ended(l->engine, l->dropping, LEAD_DROP_MOST);
	for (size_t i = 0; i < l->n_dropping; i++)
		a.n += add_keys(&records[a.n], &keys[a.n], l->dropping[i]);
	if (!a.n)
		return;
	l->drop_open = true;
	l->calls++;
	l->ports->store->append(l->ports->store_self, &a, on_dropped, l);
}

void lead_drop_init(struct lead *l)
{
	vh_timer_init(&l->drop, l->kernel, on_drop, l);
	vh_timer_start(&l->drop, DROP_MS);
}

void lead_drop_finish(struct lead *l)
{
	vh_timer_finish(&l->drop);
}
