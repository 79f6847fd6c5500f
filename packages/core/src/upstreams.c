#include "upstreams.h"

#include "config.h"
#include "owners.h"
#include "wire.h"

#define REFRESH_MS 1000
#define RETRY_MS 150
#define REFRESH_FOR_MS 30000 /* after the last lookup */
#define CALL_TIMEOUT_MS 2000
#define MAX_UPSTREAMS 4096

struct waiter {
	struct waiter *next;
	int64_t deadline_ms;
	void (*fn)(void *ctx);
	void *ctx;
};

struct upstream_cache {
	struct upstream_cache *next;
	struct vh_upstreams *owner;
	char *service;
	struct vh_upstream *items;
	size_t n;
	char **strings; /* memory of the items' slices */
	size_t n_strings;
	int64_t fetched_ms; /* -1: never */
	int64_t last_lookup_ms;
	int64_t next_refresh_ms;
	bool refreshing;
	struct waiter *waiters;
};

struct vh_upstreams {
	struct vh_core *core;
	struct vh_service service;
	struct upstream_cache *list;
	struct vh_timer timer;
};

static int64_t now_ms(const struct vh_upstreams *u)
{
	return vh_kernel_now_ms(u->core->kernel);
}

static void items_clear(struct upstream_cache *c)
{
	for (size_t i = 0; i < c->n_strings; i++)
		g_free(c->strings[i]);
	g_free(c->strings);
	g_free(c->items);
	c->strings = NULL;
	c->items = NULL;
	c->n_strings = 0;
	c->n = 0;
}

static struct vh_slice add_string(struct upstream_cache *c, struct vh_slice s)
{
	char *copy = vh_slice_dup(s);

	c->strings[c->n_strings++] = copy;
	return vh_slice(copy, s.len);
}

/* Counts a replica at its worker's upstream, which is added if new. */
static void add_replica(struct upstream_cache *c, struct vh_unpack *row)
{
	struct vh_slice worker = vh_unpack_slice(row);
	struct vh_upstream *up;

	for (size_t i = 0; i < c->n; i++) {
		if (vh_slice_eq(c->items[i].worker, worker)) {
			c->items[i].replicas++;
			return;
		}
	}
	up = &c->items[c->n++];
	memset(up, 0, sizeof(*up));
	up->worker = add_string(c, worker);
	up->address = add_string(c, vh_unpack_slice(row));
	up->port = (uint16_t)vh_unpack_u32(row);
	up->region = add_string(c, vh_unpack_slice(row));
	up->zone = add_string(c, vh_unpack_slice(row));
	up->rack = add_string(c, vh_unpack_slice(row));
	wire_unpack_res(row, &up->size);
	up->leaving = vh_unpack_bool(row);
	up->replicas = 1;
}

static void replace_items(struct upstream_cache *c, struct vh_slice body)
{
	struct vh_unpack u, row;

	if (vh_unpack_init(&u, body, NULL) && u.n <= MAX_UPSTREAMS) {
		items_clear(c);
		c->items = g_new0(struct vh_upstream, u.n + 1);
		c->strings = g_new0(char *, (size_t)u.n * 5 + 1);
		for (uint32_t i = 0, n = u.n; i < n; i++) {
			vh_unpack_array(&u, &row);
			add_replica(c, &row);
		}
		c->fetched_ms = now_ms(c->owner);
	}
	vh_unpack_finish(&u);
}

static void notify_waiters(struct upstream_cache *c, bool all)
{
	struct waiter **at = &c->waiters;

	while (*at) {
		struct waiter *w = *at;

		if (!all && now_ms(c->owner) < w->deadline_ms) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		w->fn(w->ctx);
		g_free(w);
	}
}

static void refresh_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct upstream_cache *c = ctx;

	c->refreshing = false;
	if (err == VH_OK)
		replace_items(c, body);
	c->next_refresh_ms = now_ms(c->owner) +
			     (err == VH_OK && c->n ? REFRESH_MS : RETRY_MS);
	notify_waiters(c, err == VH_OK && c->n);
}

static void refresh(struct upstream_cache *c)
{
	struct vh_core *core = c->owner->core;
	const struct vh_objects *set = core_objects(core);
	const struct vh_service_object *s =
		set ? vh_objects_find_service(set, vh_slice_str(c->service))
		    : NULL;
	char unit[VH_UNIT_MAX + 1];
	struct vh_claim claim;
	struct vh_buf body;

	c->next_refresh_ms = now_ms(c->owner) + RETRY_MS;
	if (!s)
		return;
	g_snprintf(unit, sizeof(unit), "home/%.*s/0",
		   VH_SLICE_ARGS(s->team->name));
	if (!owners_get(core->owners, vh_slice_str(unit), &claim))
		return;
	c->refreshing = true;
	vh_buf_init(&body);
	vh_pack_array(&body, 2);
	vh_pack_slice(&body, vh_slice_str(unit));
	vh_pack_slice(&body, vh_slice_str(c->service));
	vh_peer_call(core->peer, claim.node, VH_METHOD_UPSTREAMS,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, refresh_done, c);
	vh_buf_finish(&body);
}

static void tick(void *ctx)
{
	struct vh_upstreams *u = ctx;
	int64_t now = now_ms(u);

	vh_timer_start(&u->timer, RETRY_MS / 3);
	for (struct upstream_cache *c = u->list; c; c = c->next) {
		notify_waiters(c, false);
		if (!c->refreshing && now >= c->next_refresh_ms &&
		    now - c->last_lookup_ms < REFRESH_FOR_MS)
			refresh(c);
	}
}

static struct upstream_cache *cache_get(struct vh_upstreams *u,
					struct vh_slice service)
{
	struct upstream_cache *c;

	for (c = u->list; c; c = c->next) {
		if (vh_slice_eq_str(service, c->service))
			break;
	}
	if (!c) {
		c = g_new0(struct upstream_cache, 1);
		c->owner = u;
		c->service = vh_slice_dup(service);
		c->fetched_ms = -1;
		c->next = u->list;
		u->list = c;
	}
	c->last_lookup_ms = now_ms(u);
	if (!c->refreshing && now_ms(u) >= c->next_refresh_ms)
		refresh(c);
	return c;
}

static size_t ops_lookup(void *self, struct vh_slice service,
			 const struct vh_upstream **out, int64_t *age_ms)
{
	struct vh_upstreams *u = self;
	struct upstream_cache *c = cache_get(u, service);

	/* The VM list may be newer than the home's answer. */
	for (size_t i = 0; i < c->n; i++) {
		const struct vh_vm *vm =
			vh_vm_list_find(u->core->vms, c->items[i].worker);

		if (!vm || vm->leaving || vm->gone)
			c->items[i].leaving = true;
	}
	*out = c->items;
	*age_ms = c->fetched_ms < 0 ? -1 : now_ms(u) - c->fetched_ms;
	return c->n;
}

static void ops_wait(void *self, struct vh_slice service, int64_t timeout_ms,
		     void (*fn)(void *ctx), void *ctx)
{
	struct upstream_cache *c = cache_get(self, service);
	struct waiter *w = g_new0(struct waiter, 1);

	w->deadline_ms = now_ms(self) + timeout_ms;
	w->fn = fn;
	w->ctx = ctx;
	w->next = c->waiters;
	c->waiters = w;
}

static bool upstreams_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_upstreams *u = self;

	(void)kernel;
	(void)err;
	vh_timer_start(&u->timer, RETRY_MS);
	return true;
}

static void upstreams_stop(void *self)
{
	vh_timer_stop(&((struct vh_upstreams *)self)->timer);
}

struct vh_upstreams *upstreams_new(struct vh_core *core)
{
	static const struct vh_upstreams_ops ops = {
		.lookup = ops_lookup,
		.wait = ops_wait,
	};
	struct vh_upstreams *u = g_new0(struct vh_upstreams, 1);

	u->core = core;
	vh_timer_init(&u->timer, core->kernel, tick, u);
	u->service.name = "upstreams";
	u->service.self = u;
	u->service.ops = &ops;
	u->service.start = upstreams_start;
	u->service.stop = upstreams_stop;
	return u;
}

void upstreams_free(struct vh_upstreams *u)
{
	if (!u)
		return;
	while (u->list) {
		struct upstream_cache *c = u->list;

		u->list = c->next;
		while (c->waiters) {
			struct waiter *w = c->waiters;

			c->waiters = w->next;
			g_free(w);
		}
		items_clear(c);
		g_free(c->service);
		g_free(c);
	}
	vh_timer_finish(&u->timer);
	g_free(u);
}

struct vh_service *upstreams_service(struct vh_upstreams *u)
{
	return &u->service;
}
