#include "home_priv.h"

#include "owners.h"

/*
 * After a takeover of a home or of a rack, the home asks the rack's owner for
 * all runs of the home on that rack. The call also fences earlier owners of the
 * home, so the answer stays complete. It counts only if the rack reports that
 * it is complete, and comes from the rack epoch that the claims show.
 */

#define RECONCILE_TIMEOUT_MS 2000

struct home_rack *home_rack_find(struct home *h, struct vh_slice name)
{
	for (struct home_rack *r = h->racks; r; r = r->next) {
		if (vh_slice_eq_str(name, r->name))
			return r;
	}
	return NULL;
}

static void rack_add(struct home *h, struct vh_slice name)
{
	struct home_rack *r = home_rack_find(h, name);

	if (r)
		return;
	r = g_new0(struct home_rack, 1);
	r->name = vh_slice_dup(name);
	r->next = h->racks;
	h->racks = r;
}

static void add_claimed_rack(void *ctx, const struct vh_claim *claim)
{
	static const struct vh_slice prefix = VH_SLICE("rack/");

	if (claim->unit.len > prefix.len &&
	    !memcmp(claim->unit.data, prefix.data, prefix.len))
		rack_add(ctx, vh_slice(claim->unit.data + prefix.len,
				       claim->unit.len - prefix.len));
}

void home_racks_refresh(struct home *h)
{
	struct vh_core *core = h->homes->core;
	const struct vh_vm *vms;
	size_t n = vh_vm_list_workers(core->vms, &vms);

	for (size_t i = 0; i < n; i++)
		rack_add(h, vms[i].rack);
	owners_each(core->owners, add_claimed_rack, h);
}

static bool rack_claim(const struct home *h, const struct home_rack *r,
		       struct vh_claim *claim)
{
	char unit[VH_UNIT_MAX + 1];

	g_snprintf(unit, sizeof(unit), "rack/%s", r->name);
	return owners_get(h->homes->core->owners, vh_slice_str(unit), claim);
}

static void apply_rack_reply(struct home *h, struct vh_unpack *u)
{
	struct vh_slice name = vh_unpack_slice(u);
	uint64_t epoch = vh_unpack_u64(u);
	bool complete = vh_unpack_bool(u);
	struct home_rack *r = home_rack_find(h, name);
	struct vh_claim claim;
	struct vh_unpack runs;
	uint32_t n = vh_unpack_array(u, &runs);

	if (!u->ok || !r || !complete || !rack_claim(h, r, &claim) ||
	    epoch != claim.epoch)
		return;
	for (uint32_t i = 0; i < n; i++) {
		struct vh_running_task run;
		struct vh_slice worker;

		wire_running_task_unpack(&runs, &run, &worker);
		if (!runs.ok)
			return;
		vh_home_reconcile_run(h->state, name, &run, worker);
	}
	vh_home_rack_reconciled(h->state, name);
	r->reconciled_epoch = epoch;
	home_expire(h);
}

static void reconcile_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	struct home_rack *r;
	struct vh_unpack u, rack;

	if (!h) {
		home_op_free(op);
		return;
	}
	r = home_rack_find(h, vh_slice_str(op->rack));
	if (r)
		r->reconciling = false;
	if (err == VH_OK && h->open && vh_unpack_init(&u, body, NULL) &&
	    vh_unpack_array(&u, &rack))
		apply_rack_reply(h, &rack);
	if (err == VH_OK && h->open)
		vh_unpack_finish(&u);
	home_op_free(op);
	home_schedule_dispatch(h);
}

static void send_reconcile(struct home *h, struct home_rack *r,
			   const struct vh_claim *claim)
{
	struct home_op *op = home_op_new(h, true);
	struct vh_buf body;

	r->reconciling = true;
	op->rack = g_strdup(r->name);
	vh_buf_init(&body);
	vh_pack_array(&body, 3);
	vh_pack_slice(&body, vh_slice_str(h->unit));
	vh_pack_u64(&body, h->epoch);
	vh_pack_array(&body, 1);
	vh_pack_slice(&body, vh_slice_str(r->name));
	vh_peer_call(h->homes->core->peer, claim->node, VH_METHOD_RECONCILE,
		     vh_buf_slice(&body), RECONCILE_TIMEOUT_MS, reconcile_done,
		     op);
	vh_buf_finish(&body);
}

void home_rack_owner_changed(struct home *h, struct vh_slice rack)
{
	struct home_rack *r = home_rack_find(h, rack);

	if (!h->open)
		return;
	if (!r)
		rack_add(h, rack);
	else
		r->reconciled_epoch = 0;
	vh_home_rack_owner_changed(h->state, rack);
	home_reconcile_racks(h);
}

void home_reconcile_racks(struct home *h)
{
	struct vh_claim claim;

	for (struct home_rack *r = h->racks; r; r = r->next) {
		if (r->reconciling || !rack_claim(h, r, &claim))
			continue;
		if (r->reconciled_epoch == claim.epoch)
			continue;
		send_reconcile(h, r, &claim);
	}
}
