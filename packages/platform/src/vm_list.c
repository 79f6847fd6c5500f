#include "vh/vm_list.h"

#include <inttypes.h>

#include "vh/http_pool.h"
#include "vh/log.h"

#define POLL_WAIT_MS 10000 /* longest time that the platform holds a request */
#define POLL_TIMEOUT_MARGIN_MS 3000
#define RETRY_MS 500
#define MAX_LIST_BYTES (16u << 20)
#define MAX_WATCHERS 8

struct watcher {
	void (*fn)(void *ctx, const struct vh_vm *vm);
	void *ctx;
};

struct vh_vm_list {
	struct vh_kernel *kernel;
	struct vh_service service;
	struct vh_http_pool *pool;
	struct vh_timer timer;
	struct vh_vm *vms; /* sorted by id */
	size_t n;
	uint64_t version;
	bool loaded;
	size_t malformed; /* workers left out of the last list */
	struct watcher watchers[MAX_WATCHERS];
	size_t n_watchers;
};

static int cmp_id(const void *a, const void *b)
{
	return vh_slice_cmp(((const struct vh_vm *)a)->id,
			    ((const struct vh_vm *)b)->id);
}

static void notify(struct vh_vm_list *l, const struct vh_vm *vm)
{
	for (size_t i = 0; i < l->n_watchers; i++)
		l->watchers[i].fn(l->watchers[i].ctx, vm);
}

static bool vm_equal(const struct vh_vm *a, const struct vh_vm *b)
{
	return vh_slice_eq(a->address, b->address) && a->port == b->port &&
	       vh_slice_eq(a->rack, b->rack) && vh_slice_eq(a->zone, b->zone) &&
	       !memcmp(&a->capacity, &b->capacity, sizeof(a->capacity)) &&
	       a->leaving == b->leaving && a->gone == b->gone;
}

/* Replaces the list with @vms and notifies the watchers of each difference. */
static void update_list(struct vh_vm_list *l, struct vh_vm *vms, size_t n)
{
	struct vh_vm *old = l->vms;
	size_t n_old = l->n;
	size_t i = 0, j = 0;

	if (n)
		qsort(vms, n, sizeof(*vms), cmp_id);
	l->vms = vms;
	l->n = n;
	l->loaded = true;
	while (i < n_old || j < n) {
		int cmp = i == n_old ? 1
			  : j == n   ? -1
				     : cmp_id(&old[i], &vms[j]);

		if (cmp < 0) {
			old[i].gone = true;
			notify(l, &old[i++]);
		} else if (cmp > 0) {
			notify(l, &vms[j++]);
		} else {
			if (!vm_equal(&old[i], &vms[j]))
				notify(l, &vms[j]);
			i++;
			j++;
		}
	}
	notify(l, NULL);
	for (i = 0; i < n_old; i++)
		vh_vm_finish(&old[i]);
	g_free(old);
}

/* Malformed workers are left out, and so no longer used. */
static void note_malformed(struct vh_vm_list *l, size_t malformed)
{
	char n[24];

	*vh_metrics_gauge(&l->kernel->metrics, "vh_vm_list_malformed", NULL) =
		(double)malformed;
	if (malformed && malformed != l->malformed) {
		g_snprintf(n, sizeof(n), "%zu", malformed);
		vh_log(G_LOG_LEVEL_WARNING, "malformed workers ignored",
		       "workers", n, NULL);
	}
	l->malformed = malformed;
}

/* Returns false if the reply is no list. */
static bool handle_reply(struct vh_vm_list *l, struct vh_slice body)
{
	struct vh_vm *vms = NULL;
	size_t n = 0;
	uint64_t version = 0;
	size_t malformed = 0;
	GError *err = NULL;

	if (vh_vm_list_parse(body, &vms, &n, &version, &malformed, &err)) {
		l->version = version;
		note_malformed(l, malformed);
		update_list(l, vms, n);
		return true;
	}
	vh_log(G_LOG_LEVEL_WARNING, "cannot parse VM list", "error",
	       err->message, NULL);
	g_error_free(err);
	return false;
}

static void poll_done(void *ctx, const struct vh_http_reply *reply)
{
	struct vh_vm_list *l = ctx;
	bool ok = reply->status == 304 ||
		  (reply->status == 200 && handle_reply(l, reply->body));

	vh_timer_start(&l->timer, ok ? 0 : RETRY_MS);
}

static void poll_list(void *ctx)
{
	struct vh_vm_list *l = ctx;
	char *path = g_strdup_printf("/vms?since=%" PRIu64 "&wait_ms=%d",
				     l->version, POLL_WAIT_MS);
	struct vh_http_request request = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.timeout_ms = POLL_WAIT_MS + POLL_TIMEOUT_MARGIN_MS,
	};

	vh_http_pool_send(l->pool, &request, poll_done, l);
	g_free(path);
}

static bool list_start(void *self, struct vh_kernel *kernel, GError **err)
{
	(void)kernel;
	(void)err;
	poll_list(self);
	return true;
}

static void list_stop(void *self)
{
	struct vh_vm_list *l = self;

	vh_http_pool_free(l->pool);
	l->pool = NULL;
	vh_timer_stop(&l->timer);
}

struct vh_vm_list *vh_vm_list_new(struct vh_kernel *kernel,
				  struct vh_slice address, uint16_t port)
{
	struct vh_vm_list *l = g_new0(struct vh_vm_list, 1);

	l->kernel = kernel;
	l->pool = vh_http_pool_new(kernel, address, port, 1, MAX_LIST_BYTES);
	vh_timer_init(&l->timer, kernel, poll_list, l);
	l->service.name = "vms";
	l->service.self = l;
	l->service.start = list_start;
	l->service.stop = list_stop;
	return l;
}

void vh_vm_list_free(struct vh_vm_list *l)
{
	if (!l)
		return;
	vh_http_pool_free(l->pool);
	vh_timer_finish(&l->timer);
	for (size_t i = 0; i < l->n; i++)
		vh_vm_finish(&l->vms[i]);
	g_free(l->vms);
	g_free(l);
}

struct vh_service *vh_vm_list_service(struct vh_vm_list *l)
{
	return &l->service;
}

size_t vh_vm_list_workers(const struct vh_vm_list *l, const struct vh_vm **out)
{
	*out = l->vms;
	return l->n;
}

const struct vh_vm *vh_vm_list_find(const struct vh_vm_list *l,
				    struct vh_slice id)
{
	struct vh_vm key = { .id = id };

	if (!l->n)
		return NULL;
	return bsearch(&key, l->vms, l->n, sizeof(*l->vms), cmp_id);
}

bool vh_vm_list_loaded(const struct vh_vm_list *l)
{
	return l->loaded;
}

void vh_vm_list_watch(struct vh_vm_list *l,
		      void (*fn)(void *ctx, const struct vh_vm *vm), void *ctx)
{
	g_return_if_fail(l->n_watchers < MAX_WATCHERS);
	l->watchers[l->n_watchers].fn = fn;
	l->watchers[l->n_watchers++].ctx = ctx;
}
