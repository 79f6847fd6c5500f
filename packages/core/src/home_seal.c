#include "home_priv.h"

#include "owners.h"
#include "vh/log.h"

#define SEAL_TIMEOUT_MS 2000

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

static void add_claimed(void *ctx, const struct vh_claim *claim)
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
	owners_each(core->owners, add_claimed, h);
}

static bool rack_claim(const struct home *h, const struct home_rack *r,
		       struct vh_claim *claim)
{
	char unit[VH_UNIT_MAX + 1];

	g_snprintf(unit, sizeof(unit), "rack/%s", r->name);
	return owners_get(h->homes->core->owners, vh_slice_str(unit), claim);
}

struct suspect_ctx {
	struct home_op *op;
	const char *rack;
};

static void add_suspects(void *ctx, struct vh_job *job)
{
	struct suspect_ctx *s = ctx;
	struct home_op *op = s->op;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		const struct vh_task *task = &job->tasks[i];
		size_t n = op->n_suspects;

		if (task->state != VH_TASK_RUNNING ||
		    !vh_slice_eq_str(task->rack, s->rack))
			continue;
		op->suspects = g_renew(char *, op->suspects, n + 1);
		op->suspect_attempts =
			g_renew(uint32_t, op->suspect_attempts, n + 1);
		op->suspects[n] = g_strdup_printf("%.*s/%u", VH_FMT(job->id),
						  task->index);
		op->suspect_attempts[n] = task->attempt;
		op->n_suspects = n + 1;
	}
}

/* The rack's new owner does not know this run: it is over. */
static void run_lost(struct home *h, struct home_op *op, size_t i)
{
	struct vh_ended ended = {
		.task = vh_slice_str(op->suspects[i]),
		.attempt = op->suspect_attempts[i],
		.home = vh_slice_str(h->unit),
		.end = VH_END_LOST,
	};
	struct vh_task *task = vh_home_task(h->state, ended.task);
	struct vh_buf body;

	if (!task || task->state != VH_TASK_RUNNING ||
	    task->attempt != ended.attempt)
		return;
	vh_log(G_LOG_LEVEL_WARNING, "run lost with its rack's owner", "task",
	       op->suspects[i], NULL);
	vh_buf_init(&body);
	if (vh_home_ended(h->state, &ended, home_now_ms(h), &body))
		vh_hub_append(h->stream, VH_REC_END, vh_buf_slice(&body), NULL,
			      NULL);
	vh_buf_finish(&body);
}

static void suspect_seen(struct home_op *op, const struct vh_running *run)
{
	for (size_t i = 0; i < op->n_suspects; i++) {
		if (op->suspects[i][0] &&
		    op->suspect_attempts[i] == run->attempt &&
		    vh_slice_eq_str(run->task, op->suspects[i]))
			op->suspects[i][0] = '\0';
	}
}

static void take_rack(struct home *h, struct home_op *op, struct vh_unpack *u)
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
		struct vh_running run;
		struct vh_slice worker;

		wire_run_unpack(&runs, &run, &worker);
		if (!runs.ok)
			return;
		suspect_seen(op, &run);
		if (!r->sealed)
			vh_home_seal_run(h->state, name, &run, worker);
	}
	for (size_t i = 0; i < op->n_suspects; i++) {
		if (op->suspects[i][0])
			run_lost(h, op, i);
	}
	if (!r->sealed)
		vh_home_seal_rack(h->state, name);
	r->sealed = true;
	r->sealed_epoch = epoch;
}

static void seal_done(void *ctx, enum vh_err err, struct vh_slice body)
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
		r->busy = false;
	if (err == VH_OK && h->open && vh_unpack_init(&u, body, NULL) &&
	    vh_unpack_array(&u, &rack))
		take_rack(h, op, &rack);
	if (err == VH_OK && h->open)
		vh_unpack_finish(&u);
	home_op_free(op);
	home_poke(h);
}

static void seal_send(struct home *h, struct home_rack *r,
		      const struct vh_claim *claim)
{
	struct home_op *op = home_op_new(h, true);
	struct suspect_ctx s = { op, r->name };
	struct vh_buf body;

	r->busy = true;
	op->rack = g_strdup(r->name);
	vh_home_each_job(h->state, add_suspects, &s);
	vh_buf_init(&body);
	vh_pack_array(&body, 3);
	vh_pack_slice(&body, vh_slice_str(h->unit));
	vh_pack_u64(&body, h->epoch);
	vh_pack_array(&body, 1);
	vh_pack_slice(&body, vh_slice_str(r->name));
	vh_peer_call(h->homes->core->peer, claim->node, VH_METHOD_SEAL,
		     vh_buf_slice(&body), SEAL_TIMEOUT_MS, seal_done, op);
	vh_buf_finish(&body);
}

void home_seal_racks(struct home *h)
{
	struct vh_claim claim;

	for (struct home_rack *r = h->racks; r; r = r->next) {
		if (r->busy || !rack_claim(h, r, &claim))
			continue;
		if (r->sealed && r->sealed_epoch == claim.epoch)
			continue;
		seal_send(h, r, &claim);
	}
}
