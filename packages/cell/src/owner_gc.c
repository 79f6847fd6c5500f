#include "keys.h"
#include "owner_priv.h"

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
	l->gc_in_flight = false;
	if (r->result == VH_STORE_OK)
		l->n_gc_jobs = 0;
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
	struct vh_record records[2 * OWNER_GC_MAX_JOBS] = { 0 };
	char keys[2 * OWNER_GC_MAX_JOBS][VH_KEY_BYTES];
	struct vh_append a = { .topic = VH_TOPIC_JOBS,
			       .records = records,
			       .timeout_ms = DROP_TIMEOUT_MS };

	vh_timer_start(&l->drop, DROP_MS);
	if (l->phase != OWNER_ACTIVE || l->gc_in_flight || l->awaiting_store)
		return;
	if (!l->n_gc_jobs)
		l->n_gc_jobs = eng_pop_ended_jobs(l->engine, l->gc_jobs,
						  OWNER_GC_MAX_JOBS);
	for (size_t i = 0; i < l->n_gc_jobs; i++)
		a.n += add_keys(&records[a.n], &keys[a.n], l->gc_jobs[i]);
	if (!a.n)
		return;
	l->gc_in_flight = true;
	l->calls++;
	l->ports->store->append(l->ports->store_self, &a, on_dropped, l);
}

void owner_gc_init(struct lead *l)
{
	vh_timer_init(&l->drop, l->kernel, on_drop, l);
	vh_timer_start(&l->drop, DROP_MS);
}

void owner_gc_finish(struct lead *l)
{
	vh_timer_finish(&l->drop);
}
