#include "owners.h"

#include "config.h"
#include "vh/log.h"

#define TICK_MS 200
#define DEAD_GRACE_MS 4000 /* after start, before unknown nodes count as dead */
#define REBALANCE_AFTER_MS 3000 /* without a change of membership */
#define RELEASE_MAX_MS 5000	/* limit on a drain's wait for the log */
#define MAX_WATCHERS 4
#define MAX_NODES 512

struct unit {
	struct unit *next;
	char *name;
	char *region; /* preferred region of its owner, or NULL */
	bool exists;
	bool append_pending; /* an own claim or release is being appended */
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
	bool (*release_filter)(void *ctx, struct vh_slice unit);
	void *release_filter_ctx;
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
			       bool (*filter)(void *ctx, struct vh_slice unit),
			       void *ctx)
{
	o->release_filter = filter;
	o->release_filter_ctx = ctx;
}

static struct unit *unit_find(struct vh_owners *o, struct vh_slice name)
{
	for (struct unit *u = o->units; u; u = u->next) {
		if (vh_slice_eq_str(name, u->name))
			return u;
	}
	return NULL;
}

/* Marks unit @name as existing; @region may be empty. */
static void unit_mark_existing(struct vh_owners *o, const char *name,
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
	u->exists = true;
}

static void add_rack_units(struct vh_owners *o)
{
	const struct vh_vm *vms;
	size_t n = vh_vm_list_workers(o->core->vms, &vms);
	char name[VH_UNIT_MAX + 1];

	/* Without a configuration nothing may run and the lease duration is
	 * unknown. */
	if (!core_objects(o->core))
		return;
	for (size_t i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "rack/%.*s",
			   VH_SLICE_ARGS(vms[i].rack));
		unit_mark_existing(o, name, vms[i].region);
	}
}

static void add_home_units(struct vh_owners *o)
{
	const struct vh_objects *set = core_objects(o->core);
	char name[VH_UNIT_MAX + 1];

	for (size_t i = 0; set && i < set->n_teams; i++) {
		const struct vh_team *team = &set->teams[i];

		for (uint32_t k = 0; k < team->homes; k++) {
			g_snprintf(name, sizeof(name), "home/%.*s/%u",
				   VH_SLICE_ARGS(team->name), k);
			unit_mark_existing(o, name, vh_slice("", 0));
		}
	}
}

/* Recomputes the set of units from the VM list and the configuration. */
static void refresh_units(struct vh_owners *o)
{
	if (!o->units_stale)
		return;
	o->units_stale = false;
	for (struct unit *u = o->units; u; u = u->next)
		u->exists = false;
	add_rack_units(o);
	add_home_units(o);
}

struct members {
	struct vh_slice id[MAX_NODES];
	size_t n;
};

/* Collects the live nodes that may own units; @region NULL: of all regions. */
static void collect_members(struct vh_owners *o, const char *region,
			    struct members *m)
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

/* The node that rendezvous hashing prefers as owner of @u; empty if none. */
static struct vh_slice preferred_owner(struct vh_owners *o,
				       const struct unit *u)
{
	struct members m;

	collect_members(o, u->region, &m);
	if (!m.n && u->region)
		collect_members(o, NULL, &m);
	if (!m.n)
		return vh_slice("", 0);
	return m.id[vh_rendezvous(vh_slice_str(u->name), m.id, m.n)];
}

static bool owner_is_alive(struct vh_owners *o, const struct vh_claim *claim)
{
	const struct vh_node *node = vh_peer_node(o->core->peer, claim->node);
	int64_t now = vh_kernel_now_ms(o->core->kernel);

	if (node && node->incarnation == claim->incarnation)
		return node->state != VH_NODE_DEAD;
	if (node)
		return false;
	return now - o->started_ms < DEAD_GRACE_MS;
}

struct append_call {
	struct vh_owners *owners;
	char *unit;
};

static void append_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct append_call *call = arg;
	struct unit *u = unit_find(call->owners, vh_slice_str(call->unit));

	(void)err;
	(void)offset;
	if (u)
		u->append_pending = false;
	g_free(call->unit);
	g_free(call);
}

static void append_claim(struct vh_owners *o, struct unit *u,
			 enum vh_rec_kind kind, uint64_t prev)
{
	struct append_call *call = g_new(struct append_call, 1);
	struct vh_buf body;

	call->owners = o;
	call->unit = g_strdup(u->name);
	u->append_pending = true;
	vh_buf_init(&body);
	vh_claim_pack(&body, vh_slice_str(u->name), vh_slice_str(o->core->id),
		      o->core->incarnation, prev);
	vh_log_stream_append(o->stream, kind, vh_buf_slice(&body), append_done,
			     call);
	vh_buf_finish(&body);
}

static bool may_release(struct vh_owners *o, const struct unit *u)
{
	return !o->release_filter ||
	       o->release_filter(o->release_filter_ctx, vh_slice_str(u->name));
}

static void release_if_misplaced(struct vh_owners *o, struct unit *u,
				 const struct vh_claim *claim,
				 struct vh_slice preferred)
{
	int64_t now = vh_kernel_now_ms(o->core->kernel);

	if (u->exists && vh_slice_eq_str(preferred, o->core->id))
		return;
	if (!o->releasing_all && u->exists &&
	    now - o->members_changed_ms < REBALANCE_AFTER_MS)
		return;
	if (!o->releasing_all && u->exists && !preferred.len)
		return;
	if (may_release(o, u))
		append_claim(o, u, VH_REC_RELEASE, claim->epoch);
}

static void update_claim(struct vh_owners *o, struct unit *u)
{
	struct vh_claim claim;
	bool owned = owners_get(o, vh_slice_str(u->name), &claim);
	struct vh_slice preferred;

	if (u->append_pending)
		return;
	preferred = preferred_owner(o, u);
	if (owned && core_is_self(o->core, &claim)) {
		release_if_misplaced(o, u, &claim, preferred);
		return;
	}
	if (!u->exists || !vh_slice_eq_str(preferred, o->core->id))
		return;
	if (owned && owner_is_alive(o, &claim))
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
		update_claim(o, u);
	if (o->releasing_all &&
	    (!owns_any(o) ||
	     vh_kernel_now_ms(o->core->kernel) >= o->release_until_ms))
		vh_kernel_drained(o->core->kernel, &o->service);
}

static void notify_watchers(struct vh_owners *o, const struct vh_claim *claim)
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
		notify_watchers(o, &changed);
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

static void notify_if_changed(void *ctx, const struct vh_claim *claim)
{
	struct load_ctx *l = ctx;
	struct vh_claim old;

	if (!vh_claims_get(l->before, claim->unit, &old) ||
	    old.epoch != claim->epoch)
		notify_watchers(l->owners, claim);
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
	vh_claims_each(loaded, notify_if_changed, &l);
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
	o->stream = vh_log_stream_open(&o->core->streams,
				       vh_slice_str("claims"), 0, &user);
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
