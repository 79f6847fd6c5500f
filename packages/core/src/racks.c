#include "config.h"
#include "owners.h"
#include "placement.h"
#include "racks_priv.h"
#include "vh/log.h"

#define TICK_MS 50
#define CLOCK_MARGIN_MS 500

static void tick(void *ctx);

struct rack *rack_find(const struct vh_racks *rs, struct vh_slice name)
{
	for (struct rack *r = rs->list; r; r = r->next) {
		if (vh_slice_eq_str(name, r->name))
			return r;
	}
	return NULL;
}

static void worker_free_client(struct worker *w)
{
	if (w->client)
		w->rack->racks->freed_client_bytes +=
			vh_worker_client_bytes(w->client);
	vh_worker_client_free(w->client);
}

static struct worker *worker_find(struct rack *r, struct vh_slice id)
{
	for (struct worker *w = r->workers; w; w = w->next) {
		if (vh_slice_eq_str(id, w->id))
			return w;
	}
	return NULL;
}

void rack_schedule_tick(struct rack *r)
{
	vh_timer_start(&r->timer, 0);
}

static void on_placed(void *ctx, struct vh_slice task, uint32_t attempt,
		      struct vh_slice home, struct vh_slice worker)
{
	struct rack *r = ctx;

	(void)home;
	++*r->racks->placed;
	rack_answer_waiters(r, task, attempt, VH_OK, worker);
}

static void on_refused(void *ctx, struct vh_slice task, uint32_t attempt,
		       struct vh_slice home, enum vh_err why)
{
	struct rack *r = ctx;
	struct vh_ended_task ended = { .task = task,
				       .attempt = attempt,
				       .home = home,
				       .end = VH_END_NOT_STARTED };

	++*r->racks->refused;
	if (!rack_answer_waiters(r, task, attempt, why, vh_slice("", 0)))
		end_notifier_add(&r->racks->end_notifier, vh_slice_str(r->name),
				 vh_slice("", 0), &ended);
}

static void on_ended(void *ctx, struct vh_slice worker,
		     const struct vh_ended_task *ended)
{
	struct rack *r = ctx;

	worker_health_ended(&r->health, worker, ended,
			    vh_kernel_now_ms(r->racks->core->kernel));
	rack_answer_waiters(r, ended->task, ended->attempt, VH_OK, worker);
	end_notifier_add(&r->racks->end_notifier, vh_slice_str(r->name), worker,
			 ended);
}

static size_t on_choose(void *ctx, const struct vh_start *start,
			const struct vh_worker_view *views, size_t n,
			enum vh_err *why)
{
	struct rack *r = ctx;
	int64_t now = vh_kernel_now_ms(r->racks->core->kernel);
	struct vh_demand demand;

	(void)start;
	placement_demand(r->current_request, now, &demand);
	return placement_choose(&r->waitlist, &r->health, &r->gangs,
				r->current_request->ticket.id
					? &r->current_request->ticket
					: NULL,
				&demand, views, n, now, why);
}

static void on_end_acked(void *ctx, struct vh_slice rack, struct vh_slice task,
			 uint32_t attempt, uint64_t home_epoch)
{
	struct rack *r = rack_find(ctx, rack);

	if (r && r->owned) {
		vh_rack_ack_end_from(r->state, task, attempt, home_epoch);
		rack_schedule_tick(r);
	}
}

struct sync_call {
	struct rack *rack;
	uint64_t exchange;
};

/* The exchange may have revealed that the rack has a newer owner. */
static void check_ownership(struct rack *r)
{
	if (r->owned && !vh_rack_epoch(r->state)) {
		vh_log(G_LOG_LEVEL_INFO, "rack fenced by a newer owner", "rack",
		       r->name, NULL);
		r->owned = false;
	}
}

static void sync_done(void *ctx, enum vh_err err,
		      const struct vh_sync_reply *reply)
{
	struct sync_call call = *(struct sync_call *)ctx;
	int64_t now = vh_kernel_now_ms(call.rack->racks->core->kernel);

	g_free(ctx);
	if (err == VH_OK)
		vh_rack_exchange_done(call.rack->state, call.exchange, reply,
				      now);
	else
		vh_rack_exchange_failed(call.rack->state, call.exchange, err,
					now);
	check_ownership(call.rack);
	rack_schedule_tick(call.rack);
}

static void send_sync(struct rack *r, struct vh_slice worker,
		      const struct vh_sync_req *req)
{
	struct worker *w = worker_find(r, worker);
	struct sync_call *call;

	if (!w || !w->client) {
		vh_rack_exchange_failed(
			r->state, req->exchange, VH_ERR_UNREACHABLE,
			vh_kernel_now_ms(r->racks->core->kernel));
		return;
	}
	call = g_new(struct sync_call, 1);
	call->rack = r;
	call->exchange = req->exchange;
	vh_worker_client_sync(w->client, req, sync_done, call);
}

static void tick(void *ctx)
{
	struct rack *r = ctx;
	struct vh_kernel *kernel = r->racks->core->kernel;
	struct vh_sync_req req;
	struct vh_slice worker;

	if (!r->owned || r->racks->stopping)
		return;
	vh_rack_ownership_confirmed(
		r->state, owners_confirmed_ms(r->racks->core->owners));
	vh_rack_tick(r->state, vh_kernel_now_ms(kernel));
	while (vh_rack_sync_due(r->state, vh_kernel_now_ms(kernel), &worker,
				&req)) {
		req.owner = vh_slice_str(r->racks->core->writer);
		send_sync(r, worker, &req);
	}
	if (!vh_timer_pending(&r->timer))
		vh_timer_start(&r->timer, TICK_MS);
}

static void rack_settings(struct vh_racks *rs, const char *name,
			  struct vh_rack_settings *out)
{
	const struct vh_objects *set = core_objects(rs->core);

	out->name = vh_slice_str(name);
	out->lease_ms = set ? set->fleet.lease_ms : 30000;
	out->renew_ms = out->lease_ms / 3;
	out->start_void_ms = set ? set->fleet.start_void_ms : 5000;
	out->clock_margin_ms = CLOCK_MARGIN_MS;
	out->hold = true;
}

static struct vh_rack *state_new(struct rack *r)
{
	struct vh_rack_settings settings;
	struct vh_rack_callbacks callbacks = {
		.choose = on_choose,
		.placed = on_placed,
		.refused = on_refused,
		.ended = on_ended,
		.ctx = r,
	};

	rack_settings(r->racks, r->name, &settings);
	return vh_rack_new(&settings, &callbacks);
}

static struct rack *rack_new(struct vh_racks *rs, struct vh_slice name)
{
	struct rack *r = g_new0(struct rack, 1);

	r->racks = rs;
	r->name = vh_slice_dup(name);
	r->unit = g_strdup_printf("rack/%s", r->name);
	vh_timer_init(&r->timer, rs->core->kernel, tick, r);
	r->state = state_new(r);
	r->next = rs->list;
	rs->list = r;
	return r;
}

static void worker_free(struct worker *w)
{
	worker_free_client(w);
	g_free(w->id);
	g_free(w->address);
	g_free(w);
}

static void worker_set_address(struct worker *w, const struct vh_vm *vm)
{
	if (w->client && w->port == vm->port &&
	    vh_slice_eq_str(vm->address, w->address))
		return;
	worker_free_client(w);
	g_free(w->address);
	w->address = vh_slice_dup(vm->address);
	w->port = vm->port;
	w->client = vh_worker_client_new(w->rack->racks->core->kernel,
					 vm->address, vm->port);
}

static void on_vm(void *ctx, const struct vh_vm *vm)
{
	struct vh_racks *rs = ctx;
	struct worker *w;
	struct rack *r;

	if (!vm)
		return;
	r = rack_find(rs, vm->rack);
	if (!r)
		r = rack_new(rs, vm->rack);
	w = worker_find(r, vm->id);
	if (!w) {
		w = g_new0(struct worker, 1);
		w->rack = r;
		w->id = vh_slice_dup(vm->id);
		w->next = r->workers;
		r->workers = w;
	}
	worker_set_address(w, vm);
	vh_rack_update_vm(r->state, vm, vh_kernel_now_ms(rs->core->kernel));
	rack_schedule_tick(r);
}

static void cancel_waiters(struct rack *r)
{
	while (r->waiters) {
		struct place_waiter *w = r->waiters;

		r->waiters = w->next;
		vh_peer_answer(w->reply, VH_ERR_UNKNOWN_OUTCOME,
			       vh_slice("", 0));
		g_free(w->task);
		g_free(w);
	}
}

static bool is_home_unit(struct vh_slice unit)
{
	return unit.len > 5 && !memcmp(unit.data, "home/", 5);
}

static void fence_home(void *ctx, const struct vh_claim *claim)
{
	struct rack *r = ctx;

	if (is_home_unit(claim->unit))
		vh_rack_fence_home(r->state, claim->unit, claim->epoch);
}

static void rack_acquired(struct rack *r, uint64_t epoch)
{
	vh_log(G_LOG_LEVEL_INFO, "rack acquired", "rack", r->name, NULL);
	r->owned = true;
	vh_rack_take_ownership(r->state, epoch,
			       vh_kernel_now_ms(r->racks->core->kernel));
	owners_each(r->racks->core->owners, fence_home, r);
	rack_schedule_tick(r);
}

static void rack_released(struct rack *r)
{
	vh_log(G_LOG_LEVEL_INFO, "rack released", "rack", r->name, NULL);
	r->owned = false;
	vh_rack_drop_ownership(r->state);
	worker_health_clear(&r->health);
	cancel_waiters(r);
	end_notifier_drop_rack(&r->racks->end_notifier, vh_slice_str(r->name));
}

static void on_claim(void *ctx, const struct vh_claim *claim)
{
	static const struct vh_slice prefix = VH_SLICE("rack/");
	struct vh_racks *rs = ctx;
	struct vh_slice name;
	struct rack *r;

	if (is_home_unit(claim->unit)) {
		for (r = rs->list; r; r = r->next) {
			if (r->owned)
				fence_home(r, claim);
		}
		return;
	}
	if (claim->unit.len <= prefix.len ||
	    memcmp(claim->unit.data, prefix.data, prefix.len))
		return;
	name = vh_slice(claim->unit.data + prefix.len,
			claim->unit.len - prefix.len);
	r = rack_find(rs, name);
	if (core_is_self(rs->core, claim)) {
		if (!r)
			r = rack_new(rs, name);
		rack_acquired(r, claim->epoch);
	} else if (r && vh_rack_epoch(r->state)) {
		rack_released(r);
	}
}

static bool racks_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_racks *rs = self;

	(void)err;
	rs->placed = vh_metrics_counter(&kernel->metrics,
					"vh_starts_placed_total", "");
	rs->preempted = vh_metrics_counter(&kernel->metrics,
					   "vh_preemptions_total", "");
	rs->refused = vh_metrics_counter(&kernel->metrics,
					 "vh_starts_refused_total", "");
	vh_vm_list_watch(rs->core->vms, on_vm, rs);
	owners_watch(rs->core->owners, on_claim, rs);
	racks_rpc_register(rs);
	return true;
}

static void racks_stop(void *self)
{
	struct vh_racks *rs = self;

	rs->stopping = true;
	for (struct rack *r = rs->list; r; r = r->next)
		vh_timer_stop(&r->timer);
}

struct vh_racks *racks_new(struct vh_core *core)
{
	struct vh_racks *rs = g_new0(struct vh_racks, 1);

	rs->core = core;
	end_notifier_init(&rs->end_notifier, core, on_end_acked, rs);
	rs->service.name = "racks";
	rs->service.self = rs;
	rs->service.start = racks_start;
	rs->service.stop = racks_stop;
	return rs;
}

static void rack_free(struct rack *r)
{
	while (r->workers) {
		struct worker *w = r->workers;

		r->workers = w->next;
		worker_free(w);
	}
	cancel_waiters(r);
	vh_timer_finish(&r->timer);
	vh_rack_free(r->state);
	worker_health_clear(&r->health);
	g_free(r->name);
	g_free(r->unit);
	g_free(r);
}

void racks_free(struct vh_racks *rs)
{
	if (!rs)
		return;
	while (rs->list) {
		struct rack *r = rs->list;

		rs->list = r->next;
		rack_free(r);
	}
	while (rs->budgets) {
		struct team_preempt_budget *b = rs->budgets;

		rs->budgets = b->next;
		g_free(b);
	}
	end_notifier_finish(&rs->end_notifier);
	g_free(rs);
}

struct vh_service *racks_service(struct vh_racks *rs)
{
	return &rs->service;
}

size_t racks_unacked_ends(const struct vh_racks *rs)
{
	return rs->end_notifier.n;
}
