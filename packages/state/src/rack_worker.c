#include "rack_priv.h"

#define UNUSABLE_FAILURES 2

struct rack_worker *rack_worker_find(const struct vh_rack *r,
				     struct vh_slice id)
{
	for (size_t i = 0; i < r->n_workers; i++) {
		if (vh_slice_eq(r->workers[i]->vm.id, id))
			return r->workers[i];
	}
	return NULL;
}

struct rack_worker *rack_worker_add(struct vh_rack *r)
{
	struct rack_worker *w = g_new0(struct rack_worker, 1);
	size_t n = r->n_workers + 1;

	r->workers = g_renew(struct rack_worker *, r->workers, n);
	r->views = g_renew(struct vh_worker_view, r->views, n);
	r->workers[r->n_workers++] = w;
	rack_worker_reset(w);
	return w;
}

void rack_worker_set_vm(struct rack_worker *w, const struct vh_vm *vm)
{
	const struct vh_slice *from[] = { &vm->id, &vm->address, &vm->region,
					  &vm->zone, &vm->rack };
	struct vh_slice *to[] = { &w->vm.id, &w->vm.address, &w->vm.region,
				  &w->vm.zone, &w->vm.rack };
	struct vh_buf strings;
	size_t at = 0;

	vh_buf_init(&strings);
	for (size_t i = 0; i < G_N_ELEMENTS(from); i++)
		vh_buf_add_slice(&strings, *from[i]);
	vh_buf_reserve(&strings, 1);
	w->vm = *vm;
	for (size_t i = 0; i < G_N_ELEMENTS(to); i++) {
		to[i]->data = strings.data + at;
		at += to[i]->len;
	}
	g_free(w->vm_strings);
	w->vm_strings = strings.data;
}

void rack_worker_reset(struct rack_worker *w)
{
	w->adopted = false;
	w->known_empty = false;
	w->needs_full_list = false;
	w->leaving = false;
	g_free(w->incarnation);
	w->incarnation = NULL;
	w->generation++;
	w->last_end_seq = 0;
	w->failures = 0;
	w->retry_ms = INT64_MIN;
	memset(&w->poll, 0, sizeof(w->poll));
	memset(&w->orders, 0, sizeof(w->orders));
}

void rack_worker_free(struct rack_worker *w)
{
	g_free(w->incarnation);
	g_free(w->vm_strings);
	g_free(w);
}

void rack_worker_lost(struct vh_rack *r, struct rack_worker *w, int64_t now_ms)
{
	struct rack_run *next;

	for (struct rack_run *run = w->runs; run; run = next) {
		next = run->next;
		if (!rack_run_holds_resources(run))
			run->end_seq = 0;
		else if (run->state == RUN_QUEUED && !run->maybe_sent)
			rack_run_refuse(r, run, VH_ERR_UNREACHABLE, now_ms);
		else
			rack_run_lost(r, run, now_ms);
	}
	w->adopted = false;
	w->needs_full_list = false;
	w->last_end_seq = 0;
}

bool rack_worker_usable(const struct vh_rack *r, const struct rack_worker *w,
			int64_t now_ms)
{
	return w->adopted && !w->vm.leaving && !w->vm.gone && !w->leaving &&
	       w->failures < UNUSABLE_FAILURES &&
	       now_ms < w->lease_expiry_ms - r->settings.clock_margin_ms;
}

bool rack_worker_lease_expired(const struct vh_rack *r,
			       const struct rack_worker *w, int64_t now_ms)
{
	int64_t at = w->lease_expiry_ms;

	if (!w->adopted) {
		if (!w->vm.gone)
			return false;
		at = MAX(w->gone_ms, r->owned_since_ms) + r->settings.lease_ms +
		     r->settings.clock_margin_ms;
	}
	return now_ms >= at && r->fresh_ms >= at;
}

uint64_t rack_worker_ack(const struct rack_worker *w)
{
	uint64_t ack = w->last_end_seq;

	for (const struct rack_run *run = w->runs; run; run = run->next) {
		if (run->end_seq && run->end_seq <= ack)
			ack = run->end_seq - 1;
	}
	return ack;
}

int64_t rack_worker_clock(const struct rack_worker *w, int64_t now_ms)
{
	return w->clock_ms + (now_ms - w->clock_at_ms);
}
