#include "status.h"

#include <jansson.h>

#include "config.h"
#include "homes.h"
#include "owners.h"
#include "racks.h"
#include "vh/home.h"
#include "vh/invariant.h"

struct vh_status {
	struct vh_core *core;
	struct vh_service service;
};

static json_t *text(struct vh_slice s)
{
	return json_stringn(s.data ? s.data : "", s.len);
}

static void emit(json_t *root, struct vh_buf *out)
{
	char *dump = json_dumps(root, JSON_COMPACT);

	vh_buf_add_str(out, dump);
	free(dump);
	json_decref(root);
}

/* -1 stands for never. */
static json_t *age(int64_t ms)
{
	return json_integer(ms == INT64_MAX ? -1 : ms);
}

struct owned_ctx {
	struct vh_core *core;
	json_t *racks;
	json_t *homes;
};

static void add_owned(void *ctx, const struct vh_claim *claim)
{
	struct owned_ctx *o = ctx;

	if (!core_is_self(o->core, claim))
		return;
	json_array_append_new(claim->unit.data[0] == 'r' ? o->racks : o->homes,
			      text(claim->unit));
}

static json_t *invariants(void)
{
	json_t *o = json_object();

	for (int i = 0; i < VH_INV_COUNT; i++)
		json_object_set_new(
			o, vh_invariant_name(i),
			json_pack("{s:I,s:I}", "checked",
				  (json_int_t)vh_invariant_checked(i),
				  "violated",
				  (json_int_t)vh_invariant_violated(i)));
	return o;
}

static void ops_status(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	struct owned_ctx owned = { core, json_array(), json_array() };

	owners_each(core->owners, add_owned, &owned);
	emit(json_pack("{s:s,s:s,s:s,s:I,s:o,s:o,s:b,s:b,s:o,s:o,s:I,s:o}",
		       "node", core->id, "region", core->region, "zone",
		       core->zone, "config_version",
		       (json_int_t)config_version(core->config),
		       "config_age_ms", age(config_age_ms(core->config)),
		       "claims_age_ms", age(owners_age_ms(core->owners)),
		       "vms_known", vh_vm_list_known(core->vms), "draining",
		       core->kernel->draining, "racks", owned.racks, "homes",
		       owned.homes, "unsettled_ends",
		       (json_int_t)racks_unsettled(core->racks), "invariants",
		       invariants()),
	     out);
}

static void ops_nodes(void *self, struct vh_buf *out)
{
	static const char *const states[] = { "alive", "suspect", "leaving",
					      "dead" };
	struct vh_core *core = ((struct vh_status *)self)->core;
	const struct vh_node *nodes;
	size_t n = vh_peer_nodes(core->peer, &nodes);
	int64_t now = vh_kernel_now_ms(core->kernel);
	json_t *list = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:o,s:o,s:I,s:o,s:o,s:s,s:I}", "id",
					text(nodes[i].id), "address",
					text(nodes[i].address), "port",
					(json_int_t)nodes[i].port, "region",
					text(nodes[i].region), "zone",
					text(nodes[i].zone), "state",
					states[nodes[i].state], "heard_ms_ago",
					(json_int_t)(i ? now - nodes[i].heard_ms
						       : 0)));
	emit(list, out);
}

static json_t *res_json(const struct vh_res *r)
{
	return json_pack("{s:f,s:I,s:I,s:I,s:I}", "cpus", r->v[VH_CPU] / 1000.0,
			 "memory_mb", (json_int_t)r->v[VH_MEM], "accelerators",
			 (json_int_t)r->v[VH_ACCEL], "slots",
			 (json_int_t)r->v[VH_SLOTS], "connections",
			 (json_int_t)r->v[VH_CONNS]);
}

static void add_worker(void *ctx, struct vh_slice rack,
		       const struct vh_worker_view *view,
		       const struct vh_vm *vm)
{
	json_array_append_new(
		ctx,
		json_pack("{s:o,s:o,s:o,s:b,s:b,s:I,s:o,s:o}", "id",
			  text(view->id), "rack", text(rack), "zone",
			  text(vm->zone), "usable", view->usable, "leaving",
			  vm->leaving, "tasks", (json_int_t)view->n_tasks,
			  "capacity", res_json(&view->capacity), "free",
			  res_json(&view->free)));
}

static void ops_workers(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	json_t *list = json_array();

	racks_each_worker(core->racks, add_worker, list);
	emit(list, out);
}

static void add_home(void *ctx, struct vh_home *home)
{
	struct vh_home_counts c;

	vh_home_counts(home, &c);
	json_array_append_new(
		ctx,
		json_pack("{s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "home",
			  text(vh_home_unit(home)), "epoch",
			  (json_int_t)vh_home_epoch(home), "jobs",
			  (json_int_t)c.jobs, "waiting", (json_int_t)c.waiting,
			  "running", (json_int_t)c.running, "unsealed_racks",
			  (json_int_t)vh_home_unsealed(home), "keys",
			  (json_int_t)c.keys, "committed",
			  res_json(&c.committed)));
}

static void ops_jobs(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	json_t *list = json_array();

	homes_each(core->homes, add_home, list);
	emit(list, out);
}

struct vh_status *status_new(struct vh_core *core)
{
	static const struct vh_status_ops ops = {
		.status = ops_status,
		.nodes = ops_nodes,
		.workers = ops_workers,
		.jobs = ops_jobs,
	};
	struct vh_status *s = g_new0(struct vh_status, 1);

	s->core = core;
	s->service.name = "status";
	s->service.self = s;
	s->service.ops = &ops;
	return s;
}

void status_free(struct vh_status *s)
{
	g_free(s);
}

struct vh_service *status_service(struct vh_status *s)
{
	return &s->service;
}
