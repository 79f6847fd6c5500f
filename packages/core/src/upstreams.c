#include "upstreams.h"

#include "config.h"
#include "owners.h"
#include "wire.h"

#define REFRESH_MS 1000
#define RETRY_MS 150
#define KEEP_MS 30000 /* without a lookup */
#define CALL_TIMEOUT_MS 2000
#define MAX_UPSTREAMS 4096

struct waiter {
	struct waiter *next;
	int64_t deadline_ms;
	void (*fn)(void *ctx);
	void *ctx;
};

struct directory {
	struct directory *next;
	struct vh_upstreams *owner;
	char *service;
	struct vh_upstream *items;
	size_t n;
	char **strings; /* what the items' slices point into */
	size_t n_strings;
	int64_t fetched_ms; /* -1: never */
	int64_t wanted_ms;
	int64_t next_ms;
	bool busy;
	struct waiter *waiters;
};

struct vh_upstreams {
	struct vh_core *core;
	struct vh_service service;
	struct directory *list;
	struct vh_timer timer;
};

static int64_t now_ms(const struct vh_upstreams *u)
{
	return vh_kernel_now_ms(u->core->kernel);
}

static void items_clear(struct directory *d)
{
	for (size_t i = 0; i < d->n_strings; i++)
		g_free(d->strings[i]);
	g_free(d->strings);
	g_free(d->items);
	d->strings = NULL;
	d->items = NULL;
	d->n_strings = 0;
	d->n = 0;
}

static struct vh_slice keep(struct directory *d, struct vh_slice s)
{
	char *copy = vh_slice_dup(s);

	d->strings[d->n_strings++] = copy;
	return vh_slice(copy, s.len);
}

/* Adds a replica to the upstream of its worker, or a new upstream. */
static void take_row(struct directory *d, struct vh_unpack *row)
{
	struct vh_slice worker = vh_unpack_slice(row);
	struct vh_upstream *up;

	for (size_t i = 0; i < d->n; i++) {
		if (vh_slice_eq(d->items[i].worker, worker)) {
			d->items[i].replicas++;
			return;
		}
	}
	up = &d->items[d->n++];
	memset(up, 0, sizeof(*up));
	up->worker = keep(d, worker);
	up->address = keep(d, vh_unpack_slice(row));
	up->port = (uint16_t)vh_unpack_u32(row);
	up->region = keep(d, vh_unpack_slice(row));
	up->zone = keep(d, vh_unpack_slice(row));
	up->rack = keep(d, vh_unpack_slice(row));
	wire_unpack_res(row, &up->size);
	up->leaving = vh_unpack_bool(row);
	up->replicas = 1;
}

static void take_rows(struct directory *d, struct vh_slice body)
{
	struct vh_unpack u, row;

	if (vh_unpack_init(&u, body, NULL) && u.n <= MAX_UPSTREAMS) {
		items_clear(d);
		d->items = g_new0(struct vh_upstream, u.n + 1);
		d->strings = g_new0(char *, (size_t)u.n * 5 + 1);
		for (uint32_t i = 0, n = u.n; i < n; i++) {
			vh_unpack_array(&u, &row);
			take_row(d, &row);
		}
		d->fetched_ms = now_ms(d->owner);
	}
	vh_unpack_finish(&u);
}

static void wake(struct directory *d, bool all)
{
	struct waiter **at = &d->waiters;

	while (*at) {
		struct waiter *w = *at;

		if (!all && now_ms(d->owner) < w->deadline_ms) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		w->fn(w->ctx);
		g_free(w);
	}
}

static void answered(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct directory *d = ctx;

	d->busy = false;
	if (err == VH_OK)
		take_rows(d, body);
	d->next_ms = now_ms(d->owner) +
		     (err == VH_OK && d->n ? REFRESH_MS : RETRY_MS);
	wake(d, err == VH_OK && d->n);
}

static void refresh(struct directory *d)
{
	struct vh_core *core = d->owner->core;
	const struct vh_objects *set = core_objects(core);
	const struct vh_service_object *s =
		set ? vh_objects_find_service(set, vh_slice_str(d->service))
		    : NULL;
	char unit[VH_UNIT_MAX + 1];
	struct vh_claim claim;
	struct vh_buf body;

	d->next_ms = now_ms(d->owner) + RETRY_MS;
	if (!s)
		return;
	g_snprintf(unit, sizeof(unit), "home/%.*s/0",
		   VH_SLICE_ARGS(s->team->name));
	if (!owners_get(core->owners, vh_slice_str(unit), &claim))
		return;
	d->busy = true;
	vh_buf_init(&body);
	vh_pack_array(&body, 2);
	vh_pack_slice(&body, vh_slice_str(unit));
	vh_pack_slice(&body, vh_slice_str(d->service));
	vh_peer_call(core->peer, claim.node, VH_METHOD_UPSTREAMS,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, answered, d);
	vh_buf_finish(&body);
}

static void tick(void *ctx)
{
	struct vh_upstreams *u = ctx;
	int64_t now = now_ms(u);

	vh_timer_start(&u->timer, RETRY_MS / 3);
	for (struct directory *d = u->list; d; d = d->next) {
		wake(d, false);
		if (!d->busy && now >= d->next_ms &&
		    now - d->wanted_ms < KEEP_MS)
			refresh(d);
	}
}

static struct directory *directory_get(struct vh_upstreams *u,
				       struct vh_slice service)
{
	struct directory *d;

	for (d = u->list; d; d = d->next) {
		if (vh_slice_eq_str(service, d->service))
			break;
	}
	if (!d) {
		d = g_new0(struct directory, 1);
		d->owner = u;
		d->service = vh_slice_dup(service);
		d->fetched_ms = -1;
		d->next = u->list;
		u->list = d;
	}
	d->wanted_ms = now_ms(u);
	if (!d->busy && now_ms(u) >= d->next_ms)
		refresh(d);
	return d;
}

static size_t ops_lookup(void *self, struct vh_slice service,
			 const struct vh_upstream **out, int64_t *age_ms)
{
	struct vh_upstreams *u = self;
	struct directory *d = directory_get(u, service);

	/* The VM list may already say more than the home did. */
	for (size_t i = 0; i < d->n; i++) {
		const struct vh_vm *vm =
			vh_vm_list_find(u->core->vms, d->items[i].worker);

		if (!vm || vm->leaving || vm->gone)
			d->items[i].leaving = true;
	}
	*out = d->items;
	*age_ms = d->fetched_ms < 0 ? -1 : now_ms(u) - d->fetched_ms;
	return d->n;
}

static void ops_wait(void *self, struct vh_slice service, int64_t timeout_ms,
		     void (*fn)(void *ctx), void *ctx)
{
	struct directory *d = directory_get(self, service);
	struct waiter *w = g_new0(struct waiter, 1);

	w->deadline_ms = now_ms(self) + timeout_ms;
	w->fn = fn;
	w->ctx = ctx;
	w->next = d->waiters;
	d->waiters = w;
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
		struct directory *d = u->list;

		u->list = d->next;
		while (d->waiters) {
			struct waiter *w = d->waiters;

			d->waiters = w->next;
			g_free(w);
		}
		items_clear(d);
		g_free(d->service);
		g_free(d);
	}
	vh_timer_finish(&u->timer);
	g_free(u);
}

struct vh_service *upstreams_service(struct vh_upstreams *u)
{
	return &u->service;
}
