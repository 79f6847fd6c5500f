#include "racks_priv.h"

#define MAX_SUMMARY_WORKERS 256 /* workers of a rack that its summary covers */

struct each_ctx {
	struct rack *rack;
	void (*fn)(void *ctx, struct vh_slice rack,
		   const struct vh_worker_view *view, const struct vh_vm *vm);
	void *ctx;
};

static void call_each(void *ctx, const struct vh_worker_view *view,
		      const struct vh_vm *vm)
{
	struct each_ctx *each = ctx;

	each->fn(each->ctx, vh_slice_str(each->rack->name), view, vm);
}

void racks_each_worker(const struct vh_racks *rs,
		       void (*fn)(void *ctx, struct vh_slice rack,
				  const struct vh_worker_view *view,
				  const struct vh_vm *vm),
		       void *ctx)
{
	struct each_ctx each = { NULL, fn, ctx };

	for (struct rack *r = rs->list; r; r = r->next) {
		each.rack = r;
		if (r->owned)
			vh_rack_each_worker(r->state, call_each, &each);
	}
}

struct summary_ctx {
	struct rack *rack;
	struct vh_candidate workers[MAX_SUMMARY_WORKERS];
	struct vh_res preemptible[MAX_SUMMARY_WORKERS];
	size_t n;
};

static void add_candidate(void *ctx, const struct vh_worker_view *view,
			  const struct vh_vm *vm)
{
	struct summary_ctx *s = ctx;
	struct vh_candidate *c;

	(void)vm;
	if (s->n == MAX_SUMMARY_WORKERS)
		return;
	memset(&s->preemptible[s->n], 0, sizeof(struct vh_res));
	c = &s->workers[s->n++];
	memset(c, 0, sizeof(*c));
	c->capacity = view->capacity;
	c->free = view->free;
	c->usable = worker_health_accepts(
			    &s->rack->health, view->id, &c->failures,
			    vh_kernel_now_ms(s->rack->racks->core->kernel)) &&
		    view->usable;
}

static void add_preemptible(void *ctx, const struct vh_running_task *run,
			    size_t worker, int64_t since_ms)
{
	struct summary_ctx *s = ctx;

	(void)since_ms;
	if (worker < s->n && run->cls == VH_CLASS_BATCH && run->idempotent)
		vh_res_add(&s->preemptible[worker], &run->size);
}

void racks_summaries(const struct vh_racks *rs,
		     void (*fn)(void *ctx, struct vh_slice rack,
				const struct vh_rack_summary *summary),
		     void *ctx)
{
	struct vh_rack_summary summary;
	struct summary_ctx s;

	for (struct rack *r = rs->list; r; r = r->next) {
		if (!r->owned)
			continue;
		s.rack = r;
		s.n = 0;
		vh_rack_each_worker(r->state, add_candidate, &s);
		vh_rack_each_run(r->state, add_preemptible, &s);
		vh_summary_build(&summary, s.workers, s.preemptible, s.n,
				 (uint32_t)r->waitlist.n);
		fn(ctx, vh_slice_str(r->name), &summary);
	}
}

uint64_t racks_worker_bytes(const struct vh_racks *rs)
{
	uint64_t s = rs->freed_client_bytes;

	for (const struct rack *r = rs->list; r; r = r->next) {
		for (const struct worker *w = r->workers; w; w = w->next)
			s += w->client ? vh_worker_client_bytes(w->client) : 0;
	}
	return s;
}
