#include "objects_priv.h"

static void render_header(struct vh_buf *out, const char *kind,
			  struct vh_slice name)
{
	vh_buf_printf(out, "[%s \"%.*s\"]\n", kind, VH_SLICE_ARGS(name));
}

static void render_u32(struct vh_buf *out, const char *key, uint32_t v)
{
	vh_buf_printf(out, "%s = %u\n", key, v);
}

static void render_bound(struct vh_buf *out, const char *key, uint32_t v)
{
	if (v == VH_RES_UNLIMITED)
		vh_buf_printf(out, "%s = unlimited\n", key);
	else
		render_u32(out, key, v);
}

static void render_bool(struct vh_buf *out, const char *key, bool v)
{
	vh_buf_printf(out, "%s = %s\n", key, v ? "true" : "false");
}

static void render_name(struct vh_buf *out, const char *key,
			struct vh_slice name)
{
	vh_buf_printf(out, "%s = %.*s\n", key, VH_SLICE_ARGS(name));
}

static void render_teams(struct vh_buf *out, const struct vh_team **teams,
			 size_t n)
{
	if (!n)
		return;
	vh_buf_add_str(out, "teams = ");
	for (size_t i = 0; i < n; i++)
		vh_buf_printf(out, "%s%.*s", i ? ";" : "",
			      VH_SLICE_ARGS(teams[i]->name));
	vh_buf_add_str(out, "\n");
}

static void render_fleet(struct vh_buf *out, const struct vh_fleet_policy *f)
{
	vh_buf_add_str(out, "[fleet]\n");
	render_u32(out, "lease_ms", f->lease_ms);
	render_u32(out, "start_void_ms", f->start_void_ms);
	render_u32(out, "dedupe_window_s", f->dedupe_window_s);
	render_bool(out, "urgent_preempts", f->urgent_preempts);
}

static void render_key(struct vh_buf *out, const struct vh_key *k)
{
	render_header(out, "key", k->name);
	render_name(out, "team", k->team->name);
	vh_buf_add_str(out, "sha256 = ");
	for (size_t i = 0; i < VH_KEY_HASH_BYTES; i++)
		vh_buf_printf(out, "%02x", k->hash[i]);
	vh_buf_add_str(out, "\n");
	render_bool(out, "withdrawn", k->withdrawn);
}

static void render_limit(struct vh_buf *out, const struct vh_limit *l)
{
	render_header(out, "limit", l->name);
	render_bound(out, "cpu_milli", l->running.v[VH_CPU]);
	render_bound(out, "memory_mb", l->running.v[VH_MEM]);
	render_bound(out, "accelerators", l->running.v[VH_ACCEL]);
	render_bound(out, "slots", l->running.v[VH_SLOTS]);
	render_bound(out, "connections", l->running.v[VH_CONNS]);
	render_bound(out, "tasks", l->tasks);
	render_u32(out, "requests_per_s", l->requests_per_s);
	render_u32(out, "concurrent_requests", l->concurrent_requests);
}

static void render_queue(struct vh_buf *out, const struct vh_queue *q)
{
	render_header(out, "queue", q->name);
	render_teams(out, q->teams, q->n_teams);
	vh_buf_printf(out, "class = %s\n", vh_class_name(q->cls));
	render_u32(out, "priority", q->priority);
	render_u32(out, "max_waiting", q->max_waiting);
}

static void render_service(struct vh_buf *out,
			   const struct vh_service_object *s)
{
	render_header(out, "service", s->name);
	render_name(out, "team", s->team->name);
	render_teams(out, s->teams, s->n_teams);
	render_u32(out, "replicas", s->replicas);
	render_u32(out, "cpu_milli", s->size.v[VH_CPU]);
	render_u32(out, "memory_mb", s->size.v[VH_MEM]);
	render_u32(out, "accelerators", s->size.v[VH_ACCEL]);
	render_u32(out, "slots", s->size.v[VH_SLOTS]);
	render_u32(out, "connections", s->size.v[VH_CONNS]);
	render_bool(out, "idempotent", s->idempotent);
	render_u32(out, "timeout_ms", s->timeout_ms);
	vh_buf_printf(out, "class = %s\n", vh_class_name(s->cls));
}

static void render_team(struct vh_buf *out, const struct vh_team *t)
{
	render_header(out, "team", t->name);
	render_name(out, "share", t->share->name);
	if (t->limit)
		render_name(out, "limit", t->limit->name);
	render_u32(out, "homes", t->homes);
	render_u32(out, "preempt_per_min", t->preempt_per_min);
}

void vh_objects_render(const struct vh_objects *set, struct vh_buf *out)
{
	render_fleet(out, &set->fleet);
	for (size_t i = 0; i < set->n_keys; i++)
		render_key(out, &set->keys[i]);
	for (size_t i = 0; i < set->n_limits; i++)
		render_limit(out, &set->limits[i]);
	for (size_t i = 0; i < set->n_queues; i++)
		render_queue(out, &set->queues[i]);
	for (size_t i = 0; i < set->n_services; i++)
		render_service(out, &set->services[i]);
	for (size_t i = 0; i < set->n_shares; i++) {
		render_header(out, "share", set->shares[i].name);
		render_u32(out, "weight", set->shares[i].weight);
	}
	for (size_t i = 0; i < set->n_teams; i++)
		render_team(out, &set->teams[i]);
}
