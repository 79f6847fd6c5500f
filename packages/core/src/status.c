#include "status.h"

#include <jansson.h>

#include "config.h"
#include "fleet.h"
#include "home_priv.h"
#include "owners.h"
#include "racks.h"
#include "vh/invariant.h"

#define MAX_JOB_ROWS 1000
#define LOG_OK_AGE_MS 6000

struct vh_status {
	struct vh_core *core;
	struct vh_service service;
};

static json_t *slice_json(struct vh_slice s)
{
	return json_stringn(s.data ? s.data : "", s.len);
}

static void render(json_t *root, struct vh_buf *out)
{
	char *dump = json_dumps(root, JSON_COMPACT);

	vh_buf_add_str(out, dump);
	free(dump);
	json_decref(root);
}

/* Maps INT64_MAX, for never, to -1. */
static json_t *age_json(int64_t ms)
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
			      slice_json(claim->unit));
}

static json_t *invariants_json(void)
{
	json_t *o = json_object();

	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		json_object_set_new(
			o, vh_invariant_name(i),
			json_pack("{s:I,s:I}", "checked",
				  (json_int_t)vh_invariant_checked(i),
				  "violated",
				  (json_int_t)vh_invariant_violated(i)));
	return o;
}

/* Documented in docs/OPERATIONS.md. */
static json_t *log_down_json(void)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s}", "running_tasks", "go on",
			 "leases", "are renewed",
			 "idempotent_jobs_accepted_before", "start", "new_jobs",
			 "are refused as not run", "publishes",
			 "are refused as not published");
}

static void ops_status(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	struct owned_ctx owned = { core, json_array(), json_array() };
	int64_t log_age = config_age_ms(core->config);
	json_t *o;

	owners_each(core->owners, add_owned, &owned);
	o = json_pack("{s:s,s:s,s:s,s:I,s:o,s:{s:b,s:o}}", "node", core->id,
		      "region", core->region, "zone", core->zone, "version",
		      (json_int_t)config_version(core->config), "config_age_ms",
		      age_json(log_age), "log", "ok", log_age < LOG_OK_AGE_MS,
		      "age_ms", age_json(log_age));
	json_object_set_new(o, "claims_age_ms",
			    age_json(owners_age_ms(core->owners)));
	json_object_set_new(o, "vms_known",
			    json_boolean(vh_vm_list_loaded(core->vms)));
	json_object_set_new(o, "draining",
			    json_boolean(core->kernel->draining));
	json_object_set_new(
		o, "units",
		json_integer((json_int_t)json_array_size(owned.racks) +
			     (json_int_t)json_array_size(owned.homes)));
	json_object_set_new(o, "racks", owned.racks);
	json_object_set_new(o, "homes", owned.homes);
	json_object_set_new(
		o, "unsettled_ends",
		json_integer((json_int_t)racks_unacked_ends(core->racks)));
	json_object_set_new(o, "invariants", invariants_json());
	json_object_set_new(o, "while_log_down", log_down_json());
	render(o, out);
}

static json_t *node_json(struct vh_core *core, const struct vh_node *node,
			 bool self)
{
	static const char *const states[] = { "alive", "suspect", "leaving",
					      "dead" };
	int64_t now = vh_kernel_now_ms(core->kernel);
	struct fleet_node_digest digest = { .version = 0, .config_age_ms = -1 };
	json_t *o;

	fleet_node_digest_read(node, &digest);
	if (self) {
		digest.version = config_version(core->config);
		digest.config_age_ms = config_age_ms(core->config);
	}
	o = json_pack("{s:o,s:o,s:I,s:o,s:o,s:s}", "id", slice_json(node->id),
		      "address", slice_json(node->address), "port",
		      (json_int_t)node->port, "region",
		      slice_json(node->region), "zone", slice_json(node->zone),
		      "state", states[node->state]);
	json_object_set_new(o, "heard_ms_ago",
			    json_integer(self ? 0 : now - node->heard_ms));
	json_object_set_new(o, "operators", slice_json(digest.operators));
	json_object_set_new(o, "version",
			    json_integer((json_int_t)digest.version));
	json_object_set_new(o, "config_age_ms", age_json(digest.config_age_ms));
	return o;
}

static void ops_nodes(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	const struct vh_node *nodes;
	size_t n = vh_peer_nodes(core->peer, &nodes);
	json_t *list = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, node_json(core, &nodes[i], !i));
	render(json_pack("{s:o}", "nodes", list), out);
}

static json_t *res_json(const struct vh_res *r)
{
	return json_pack("{s:f,s:I,s:I,s:I,s:I}", "cpus", r->v[VH_CPU] / 1000.0,
			 "memory_mb", (json_int_t)r->v[VH_MEM], "accelerators",
			 (json_int_t)r->v[VH_ACCEL], "slots",
			 (json_int_t)r->v[VH_SLOTS], "connections",
			 (json_int_t)r->v[VH_CONNS]);
}

struct worker_rows {
	struct vh_core *core;
	json_t *list;
};

static json_t *committed_json(const struct vh_worker_view *view)
{
	struct vh_res committed = view->capacity;

	vh_res_sub(&committed, &view->free);
	return res_json(&committed);
}

static void add_worker(void *ctx, struct vh_slice rack,
		       const struct vh_worker_view *view,
		       const struct vh_vm *vm)
{
	struct worker_rows *rows = ctx;
	const char *state = vm->gone	    ? "gone"
			    : vm->leaving   ? "leaving"
			    : !view->usable ? "not_usable"
					    : "live";
	json_t *o = json_pack("{s:o,s:o,s:o,s:o,s:s,s:s}", "id",
			      slice_json(view->id), "region",
			      slice_json(vm->region), "zone",
			      slice_json(vm->zone), "rack", slice_json(rack),
			      "state", state, "owner", rows->core->id);

	json_object_set_new(o, "committed", committed_json(view));
	json_object_set_new(o, "capacity", res_json(&view->capacity));
	json_object_set_new(o, "tasks", json_integer(view->n_tasks));
	json_array_append_new(rows->list, o);
}

static void ops_workers(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	struct worker_rows rows = { core, json_array() };

	racks_each_worker(core->racks, add_worker, &rows);
	render(json_pack("{s:o}", "workers", rows.list), out);
}

struct job_rows {
	json_t *list;
	struct vh_slice team;
	int64_t now_ms;
};

static enum vh_err job_wait_reason(const struct vh_job *job)
{
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == VH_TASK_WAITING)
			return job->tasks[i].why;
	}
	return VH_OK;
}

static void add_job(void *ctx, struct vh_job *job)
{
	struct job_rows *rows = ctx;
	enum vh_err why = job_wait_reason(job);
	json_t *o;

	if (!job->n_unfinished || json_array_size(rows->list) >= MAX_JOB_ROWS)
		return;
	o = json_pack("{s:o,s:o,s:o,s:s,s:s}", "id", slice_json(job->id),
		      "team", slice_json(rows->team), "queue",
		      slice_json(job->spec.queue), "class",
		      vh_class_name(job->spec.cls), "state", job_state(job));
	json_object_set_new(o, "waiting_ms",
			    json_integer(rows->now_ms - job->accepted_ms));
	json_object_set_new(o, "why",
			    json_string(why ? vh_err_info(why)->name : ""));
	json_array_append_new(rows->list, o);
}

static struct vh_slice unit_team(struct vh_slice unit)
{
	const char *from = memchr(unit.data, '/', unit.len);
	const char *to;

	if (!from)
		return unit;
	from++;
	to = memchr(from, '/', unit.len - (size_t)(from - unit.data));
	return vh_slice(from, to ? (size_t)(to - from) : 0);
}

static void add_home_jobs(void *ctx, struct vh_home *home)
{
	struct job_rows *rows = ctx;

	rows->team = unit_team(vh_home_unit(home));
	vh_home_each_job(home, add_job, rows);
}

static void add_home(void *ctx, struct vh_home *home)
{
	struct vh_home_counts c;

	vh_home_counts(home, &c);
	json_array_append_new(
		ctx,
		json_pack("{s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "home",
			  slice_json(vh_home_unit(home)), "epoch",
			  (json_int_t)vh_home_epoch(home), "jobs",
			  (json_int_t)c.jobs, "waiting", (json_int_t)c.waiting,
			  "running", (json_int_t)c.running, "unsealed_racks",
			  (json_int_t)vh_home_unreconciled_racks(home), "keys",
			  (json_int_t)c.keys, "committed",
			  res_json(&c.committed)));
}

static void ops_jobs(void *self, struct vh_buf *out)
{
	struct vh_core *core = ((struct vh_status *)self)->core;
	struct job_rows rows = { json_array(), vh_slice("", 0),
				 vh_kernel_now_ms(core->kernel) };
	json_t *homes = json_array();

	homes_each(core->homes, add_home_jobs, &rows);
	homes_each(core->homes, add_home, homes);
	render(json_pack("{s:o,s:o}", "jobs", rows.list, "homes", homes), out);
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
