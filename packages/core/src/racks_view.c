#include "racks_priv.h"

#define MAX_SUMMED 256 /* workers of one rack in a summary */

struct each_ctx {
	struct rack *rack;
	void (*fn)(void *ctx, struct vh_slice rack,
		   const struct vh_worker_view *view, const struct vh_vm *vm);
	void *ctx;
};

static void each_view(void *ctx, const struct vh_worker_view *view,
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
			vh_rack_each_worker(r->state, each_view, &each);
	}
}

struct sum_ctx {
	struct rack *rack;
	struct vh_candidate workers[MAX_SUMMED];
	struct vh_res preemptible[MAX_SUMMED];
	size_t n;
};

static void add_candidate(void *ctx, const struct vh_worker_view *view,
			  const struct vh_vm *vm)
{
	struct sum_ctx *sum = ctx;
	struct vh_candidate *c;

	(void)vm;
	if (sum->n == MAX_SUMMED)
		return;
	memset(&sum->preemptible[sum->n], 0, sizeof(struct vh_res));
	c = &sum->workers[sum->n++];
	memset(c, 0, sizeof(*c));
	c->capacity = view->capacity;
	c->free = view->free;
	c->usable = worker_health_accepts(
			    &sum->rack->health, view->id, &c->failures,
			    vh_kernel_now_ms(sum->rack->racks->core->kernel)) &&
		    view->usable;
}

static void add_preemptible(void *ctx, const struct vh_running_task *run,
			    size_t worker, int64_t since_ms)
{
	struct sum_ctx *sum = ctx;

	(void)since_ms;
	if (worker < sum->n && run->cls == VH_CLASS_BATCH && run->idempotent)
		vh_res_add(&sum->preemptible[worker], &run->size);
}

void racks_summaries(const struct vh_racks *rs,
		     void (*fn)(void *ctx, struct vh_slice rack,
				const struct vh_rack_summary *summary),
		     void *ctx)
{
	struct vh_rack_summary summary;
	struct sum_ctx sum;

	for (struct rack *r = rs->list; r; r = r->next) {
		if (!r->owned)
			continue;
		sum.rack = r;
		sum.n = 0;
		vh_rack_each_worker(r->state, add_candidate, &sum);
		vh_rack_each_run(r->state, add_preemptible, &sum);
		vh_summary_build(&summary, sum.workers, sum.preemptible, sum.n,
				 (uint32_t)r->waiting.n);
		fn(ctx, vh_slice_str(r->name), &summary);
	}
}

uint64_t racks_worker_bytes(const struct vh_racks *rs)
{
	uint64_t sum = rs->freed_client_bytes;

	for (const struct rack *r = rs->list; r; r = r->next) {
		for (const struct worker *w = r->workers; w; w = w->next)
			sum += w->client ? vh_worker_client_bytes(w->client)
					 : 0;
	}
	return sum;
}
