#include "owners.h"

#include "config.h"
#include "vh/log.h"

#define TICK_MS 200
#define DEAD_GRACE_MS 4000	/* unheard nodes count as dead only after it */
#define REBALANCE_AFTER_MS 3000 /* of unchanged membership */
#define RELEASE_MAX_MS 5000	/* a drain waits so long for the log */
#define MAX_WATCHERS 4
#define MAX_NODES 512

struct unit {
	struct unit *next;
	char *name;
	char *region; /* preferred region of its owner, or NULL */
	bool wanted;
	bool busy; /* a claim or release of ours is on its way */
};

struct watcher {
	void (*fn)(void *ctx, const struct vh_claim *claim);
	void *ctx;
};

struct vh_owners {
	struct vh_core *core;
	struct vh_service service;
	struct vh_log_stream *stream;
	struct vh_claims *claims;
	struct vh_timer timer;
	struct unit *units;
	bool units_stale;
	int64_t started_ms;
	int64_t members_changed_ms;
	struct watcher watchers[MAX_WATCHERS];
	size_t n_watchers;
	bool (*gate)(void *ctx, struct vh_slice unit);
	void *gate_ctx;
	bool releasing_all;
	int64_t release_until_ms;
};

bool owners_get(const struct vh_owners *o, struct vh_slice unit,
		struct vh_claim *claim)
{
	if (!vh_claims_get(o->claims, unit, claim)) {
		memset(claim, 0, sizeof(*claim));
		claim->unit = unit;
		return false;
	}
	return claim->node.len > 0;
}

void owners_watch(struct vh_owners *o,
		  void (*fn)(void *ctx, const struct vh_claim *claim),
		  void *ctx)
{
	g_return_if_fail(o->n_watchers < MAX_WATCHERS);
	o->watchers[o->n_watchers].fn = fn;
	o->watchers[o->n_watchers++].ctx = ctx;
}

void owners_each(const struct vh_owners *o,
		 void (*fn)(void *ctx, const struct vh_claim *claim), void *ctx)
{
	vh_claims_each(o->claims, fn, ctx);
}

bool owners_loaded(const struct vh_owners *o)
{
	return o->stream && vh_log_stream_caught_up(o->stream);
}

int64_t owners_confirmed_ms(const struct vh_owners *o)
{
	return o->stream ? vh_stream_fresh_ms(vh_log_stream(o->stream))
			 : INT64_MIN;
}

int64_t owners_age_ms(const struct vh_owners *o)
{
	return o->stream ? vh_log_stream_age_ms(o->stream) : INT64_MAX;
}

void owners_set_release_filter(struct vh_owners *o,
			       bool (*may)(void *ctx, struct vh_slice unit),
			       void *ctx)
{
	o->gate = may;
	o->gate_ctx = ctx;
}

static struct unit *unit_find(struct vh_owners *o, struct vh_slice name)
{
	for (struct unit *u = o->units; u; u = u->next) {
		if (vh_slice_eq_str(name, u->name))
			return u;
	}
	return NULL;
}

/* Marks @name as wanted; @region may be empty. */
static void unit_want(struct vh_owners *o, const char *name,
		      struct vh_slice region)
{
	struct unit *u = unit_find(o, vh_slice_str(name));

	if (!u) {
		u = g_new0(struct unit, 1);
		u->name = g_strdup(name);
		u->region = region.len ? vh_slice_dup(region) : NULL;
		u->next = o->units;
		o->units = u;
	}
	u->wanted = true;
}

static void want_racks(struct vh_owners *o)
{
	const struct vh_vm *vms;
	size_t n = vh_vm_list_workers(o->core->vms, &vms);
	char name[VH_UNIT_MAX + 1];

	/* Without objects nothing may run, and leases have no length yet. */
	if (!core_objects(o->core))
		return;
	for (size_t i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "rack/%.*s",
			   VH_SLICE_ARGS(vms[i].rack));
		unit_want(o, name, vms[i].region);
	}
}

static void want_homes(struct vh_owners *o)
{
	const struct vh_objects *set = core_objects(o->core);
	char name[VH_UNIT_MAX + 1];

	for (size_t i = 0; set && i < set->n_teams; i++) {
		const struct vh_team *team = &set->teams[i];

		for (uint32_t k = 0; k < team->homes; k++) {
			g_snprintf(name, sizeof(name), "home/%.*s/%u",
				   VH_SLICE_ARGS(team->name), k);
			unit_want(o, name, vh_slice("", 0));
		}
	}
}

/* Works out anew which units there should be. */
static void refresh_units(struct vh_owners *o)
{
	if (!o->units_stale)
		return;
	o->units_stale = false;
	for (struct unit *u = o->units; u; u = u->next)
		u->wanted = false;
	want_racks(o);
	want_homes(o);
}

struct members {
	struct vh_slice id[MAX_NODES];
	size_t n;
};

/* Live nodes that may own things, all or of one region. */
static void collect(struct vh_owners *o, const char *region, struct members *m)
{
	const struct vh_node *nodes;
	size_t n = vh_peer_nodes(o->core->peer, &nodes);

	m->n = 0;
	for (size_t i = 0; i < n && m->n < MAX_NODES; i++) {
		if (nodes[i].state != VH_NODE_ALIVE &&
		    nodes[i].state != VH_NODE_SUSPECT)
			continue;
		if (i == 0 && o->releasing_all)
			continue;
		if (region && !vh_slice_eq_str(nodes[i].region, region))
			continue;
		m->id[m->n++] = nodes[i].id;
	}
}

/* The node that should own @u; empty if there is none. */
static struct vh_slice proposed(struct vh_owners *o, const struct unit *u)
{
	struct members m;

	collect(o, u->region, &m);
	if (!m.n && u->region)
		collect(o, NULL, &m);
	if (!m.n)
		return vh_slice("", 0);
	return m.id[vh_rendezvous(vh_slice_str(u->name), m.id, m.n)];
}

static bool node_alive(struct vh_owners *o, const struct vh_claim *claim)
{
	const struct vh_node *node = vh_peer_node(o->core->peer, claim->node);
	int64_t now = vh_kernel_now_ms(o->core->kernel);

	if (node && node->incarnation == claim->incarnation)
		return node->state != VH_NODE_DEAD;
	if (node)
		return false;
	return now - o->started_ms < DEAD_GRACE_MS;
}

struct append_ref {
	struct vh_owners *owners;
	char *unit;
};

static void append_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct append_ref *ref = arg;
	struct unit *u = unit_find(ref->owners, vh_slice_str(ref->unit));

	(void)err;
	(void)offset;
	if (u)
		u->busy = false;
	g_free(ref->unit);
	g_free(ref);
}

static void append_claim(struct vh_owners *o, struct unit *u,
			 enum vh_rec_kind kind, uint64_t prev)
{
	struct append_ref *ref = g_new(struct append_ref, 1);
	struct vh_buf body;

	ref->owners = o;
	ref->unit = g_strdup(u->name);
	u->busy = true;
	vh_buf_init(&body);
	vh_claim_pack(&body, vh_slice_str(u->name), vh_slice_str(o->core->id),
		      o->core->incarnation, prev);
	vh_log_stream_append(o->stream, kind, vh_buf_slice(&body), append_done,
			     ref);
	vh_buf_finish(&body);
}

static bool may_release(struct vh_owners *o, const struct unit *u)
{
	return !o->gate || o->gate(o->gate_ctx, vh_slice_str(u->name));
}

static void consider_own(struct vh_owners *o, struct unit *u,
			 const struct vh_claim *claim, struct vh_slice should)
{
	int64_t now = vh_kernel_now_ms(o->core->kernel);

	if (u->wanted && vh_slice_eq_str(should, o->core->id))
		return;
	if (!o->releasing_all && u->wanted &&
	    now - o->members_changed_ms < REBALANCE_AFTER_MS)
		return;
	if (!o->releasing_all && u->wanted && !should.len)
		return;
	if (may_release(o, u))
		append_claim(o, u, VH_REC_RELEASE, claim->epoch);
}

static void consider(struct vh_owners *o, struct unit *u)
{
	struct vh_claim claim;
	bool owned = owners_get(o, vh_slice_str(u->name), &claim);
	struct vh_slice should;

	if (u->busy)
		return;
	should = proposed(o, u);
	if (owned && core_is_self(o->core, &claim)) {
		consider_own(o, u, &claim, should);
		return;
	}
	if (!u->wanted || !vh_slice_eq_str(should, o->core->id))
		return;
	if (owned && node_alive(o, &claim))
		return;
	append_claim(o, u, VH_REC_CLAIM, claim.epoch);
}

static bool owns_any(struct vh_owners *o)
{
	struct vh_claim claim;

	for (struct unit *u = o->units; u; u = u->next) {
		if (owners_get(o, vh_slice_str(u->name), &claim) &&
		    core_is_self(o->core, &claim))
			return true;
	}
	return false;
}

static void tick(void *ctx)
{
	struct vh_owners *o = ctx;

	vh_timer_start(&o->timer, TICK_MS);
	if (!owners_loaded(o)) {
		if (o->releasing_all)
			vh_kernel_drained(o->core->kernel, &o->service);
		return;
	}
	refresh_units(o);
	for (struct unit *u = o->units; u; u = u->next)
		consider(o, u);
	if (o->releasing_all &&
	    (!owns_any(o) ||
	     vh_kernel_now_ms(o->core->kernel) >= o->release_until_ms))
		vh_kernel_drained(o->core->kernel, &o->service);
}

static void tell(struct vh_owners *o, const struct vh_claim *claim)
{
	for (size_t i = 0; i < o->n_watchers; i++)
		o->watchers[i].fn(o->watchers[i].ctx, claim);
}

static void on_batch(void *ctx, uint64_t offset, const struct vh_batch *batch)
{
	struct vh_owners *o = ctx;
	struct vh_slice rest = batch->records;
	struct vh_slice body;
	struct vh_claim changed;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body)) {
		if (!vh_claims_apply(o->claims, offset, kind, body, &changed))
			continue;
		tell(o, &changed);
	}
}

static void dump(void *ctx, struct vh_buf *out)
{
	vh_claims_dump(((struct vh_owners *)ctx)->claims, out);
}

struct load_ctx {
	struct vh_owners *owners;
	const struct vh_claims *before;
};

static void tell_if_new(void *ctx, const struct vh_claim *claim)
{
	struct load_ctx *l = ctx;
	struct vh_claim old;

	if (!vh_claims_get(l->before, claim->unit, &old) ||
	    old.epoch != claim->epoch)
		tell(l->owners, claim);
}

static bool load(void *ctx, struct vh_slice state)
{
	struct vh_owners *o = ctx;
	struct vh_claims *loaded = vh_claims_new();
	struct load_ctx l = { o, o->claims };

	if (!vh_claims_load(loaded, state)) {
		vh_claims_free(loaded);
		return false;
	}
	o->claims = loaded;
	vh_claims_each(loaded, tell_if_new, &l);
	vh_claims_free((struct vh_claims *)l.before);
	return true;
}

static uint32_t rank(void *ctx)
{
	return core_rendezvous_rank(((struct vh_owners *)ctx)->core, "claims");
}

static void on_members(void *ctx)
{
	struct vh_owners *o = ctx;

	o->members_changed_ms = vh_kernel_now_ms(o->core->kernel);
	vh_timer_start(&o->timer, 0);
}

static void on_objects(void *ctx)
{
	struct vh_owners *o = ctx;

	o->units_stale = true;
	vh_timer_start(&o->timer, 0);
}

static void on_vm(void *ctx, const struct vh_vm *vm)
{
	if (!vm)
		on_objects(ctx);
}

static bool owners_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_owners *o = self;
	struct vh_log_stream_user user = { on_batch, dump, load, rank, o };

	(void)err;
	o->started_ms = vh_kernel_now_ms(kernel);
	o->members_changed_ms = o->started_ms;
	o->stream = vh_log_stream_open(&o->core->hub, vh_slice_str("claims"), 0,
				       &user);
	vh_peer_watch(o->core->peer, on_members, o);
	config_watch(o->core->config, on_objects, o);
	vh_vm_list_watch(o->core->vms, on_vm, o);
	vh_timer_start(&o->timer, TICK_MS);
	return true;
}

static void owners_drain(void *self)
{
	struct vh_owners *o = self;

	o->releasing_all = true;
	o->release_until_ms =
		vh_kernel_now_ms(o->core->kernel) + RELEASE_MAX_MS;
	vh_peer_leave(o->core->peer);
	vh_timer_start(&o->timer, 0);
}

static void owners_stop(void *self)
{
	struct vh_owners *o = self;

	vh_timer_stop(&o->timer);
	vh_log_stream_close(o->stream);
	o->stream = NULL;
}

struct vh_owners *owners_new(struct vh_core *core)
{
	struct vh_owners *o = g_new0(struct vh_owners, 1);

	o->core = core;
	o->claims = vh_claims_new();
	o->units_stale = true;
	vh_timer_init(&o->timer, core->kernel, tick, o);
	o->service.name = "owners";
	o->service.self = o;
	o->service.start = owners_start;
	o->service.drain = owners_drain;
	o->service.stop = owners_stop;
	return o;
}

void owners_free(struct vh_owners *o)
{
	if (!o)
		return;
	while (o->units) {
		struct unit *u = o->units;

		o->units = u->next;
		g_free(u->name);
		g_free(u->region);
		g_free(u);
	}
	vh_claims_free(o->claims);
	vh_timer_finish(&o->timer);
	g_free(o);
}

struct vh_service *owners_service(struct vh_owners *o)
{
	return &o->service;
}
