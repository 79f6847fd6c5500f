#include "upstream.h"

#include <event2/bufferevent.h>

#include "vh/invariant.h"

#define SYNC_INTERVAL_MS 50
#define IDLE_TIMEOUT_MS 20000
#define LIBEVENT_TIMEOUT_S 86400 /* requests have deadlines of their own */
#define HEADERS_MAX_BYTES 16384
#define RESPONSE_MAX_BYTES (16 << 20)
#define READ_AHEAD_MAX_BYTES 65536 /* read from the socket, not yet forwarded */
/* An upstream that began leaving longer ago must not be selected. */
#define LEAVING_GRACE_MS 3000
#define RANK_HASH_SEED 7

struct vh_service_state *vh_upstream_get_service(struct vh_gateway *g,
						 const char *name)
{
	struct vh_service_state *s = g->services;

	while (s && strcmp(s->name, name))
		s = s->next;
	if (s)
		return s;
	s = g_new0(struct vh_service_state, 1);
	s->g = g;
	g_strlcpy(s->name, name, sizeof(s->name));
	vh_fairq_init(&s->waiting);
	vh_route_retry_budget_init(&s->retry_budget);
	s->synced_ms = INT64_MIN / 2;
	s->next = g->services;
	g->services = s;
	return s;
}

static void free_conn(struct vh_upstream_conn *c)
{
	evhttp_connection_free(c->evcon);
	g_free(c);
}

static void close_conns(struct vh_upstream_worker *w)
{
	while (w->conns) {
		struct vh_upstream_conn *c = w->conns;

		w->conns = c->next;
		free_conn(c);
	}
	w->n_conns = 0;
}

static void free_closed_conns(struct vh_gateway *g)
{
	while (g->closed_conns) {
		struct vh_upstream_conn *c = g->closed_conns;

		g->closed_conns = c->next;
		free_conn(c);
	}
}

void vh_upstream_free_services(struct vh_gateway *g)
{
	free_closed_conns(g);
	while (g->services) {
		struct vh_service_state *s = g->services;

		g->services = s->next;
		for (size_t i = 0; i < s->n_workers; i++) {
			close_conns(s->workers[i]);
			g_free(s->workers[i]);
		}
		g_free(s->workers);
		vh_fairq_finish(&s->waiting);
		vh_timer_finish(&s->dispatch_timer);
		g_free(s);
	}
}

/* Rendezvous hashing: this node's rank for one upstream among the nodes that
 * are not dead. */
static uint32_t node_rank(const struct vh_gateway *g, struct vh_slice worker,
			  uint32_t *n_nodes)
{
	const struct vh_node *nodes;
	size_t n = g->peer ? vh_peer_nodes(g->peer, &nodes) : 0;
	uint64_t seed = vh_slice_hash(worker, RANK_HASH_SEED), own_hash;
	uint32_t rank = 0;

	*n_nodes = 1;
	if (!n)
		return 0;
	own_hash = vh_slice_hash(nodes[0].id, seed);
	for (size_t i = 1; i < n; i++) {
		if (nodes[i].state == VH_NODE_DEAD)
			continue;
		++*n_nodes;
		rank += vh_slice_hash(nodes[i].id, seed) < own_hash;
	}
	return rank;
}

static enum vh_route_tier tier_of(const struct vh_gateway *g,
				  const struct vh_upstream *u)
{
	if (!vh_slice_eq(u->region, g->settings.region))
		return VH_ROUTE_REMOTE;
	return vh_slice_eq(u->zone, g->settings.zone) ? VH_ROUTE_ZONE
						      : VH_ROUTE_REGION;
}

static struct vh_upstream_worker *
find_or_add_worker(struct vh_service_state *s, const struct vh_upstream *u)
{
	struct vh_upstream_worker *w;

	for (size_t i = 0; i < s->n_workers; i++) {
		w = s->workers[i];
		if (vh_slice_eq_str(u->worker, w->id) && w->port == u->port &&
		    vh_slice_eq_str(u->address, w->address))
			return w;
	}
	if (u->worker.len > VH_NAME_MAX || u->address.len > VH_NAME_MAX ||
	    !u->address.len)
		return NULL;
	w = g_new0(struct vh_upstream_worker, 1);
	memcpy(w->id, u->worker.data, u->worker.len);
	memcpy(w->address, u->address.data, u->address.len);
	w->port = u->port;
	s->workers = g_renew(struct vh_upstream_worker *, s->workers,
			     s->n_workers + 1);
	s->workers[s->n_workers++] = w;
	return w;
}

static void update_worker(struct vh_service_state *s,
			  const struct vh_upstream *u, int64_t now_ms)
{
	struct vh_upstream_worker *w = find_or_add_worker(s, u);
	uint32_t nodes, rank, conns;

	if (!w)
		return;
	rank = node_rank(s->g, u->worker, &nodes);
	conns = u->replicas * u->size.v[VH_CONNS];
	w->listed = true;
	w->route.tier = tier_of(s->g, u);
	w->route.slots = u->replicas * u->size.v[VH_SLOTS];
	w->route.conn_share = vh_route_conn_share(conns, nodes, rank);
	w->route.leaving = u->leaving;
	if (!u->leaving)
		w->leaving_since_ms = 0;
	else if (!w->leaving_since_ms)
		w->leaving_since_ms = now_ms;
}

/* Removes unlisted workers that have no request of this node in flight. */
static void remove_unlisted(struct vh_service_state *s, int64_t now_ms)
{
	size_t kept = 0;

	s->has_local = false;
	for (size_t i = 0; i < s->n_workers; i++) {
		struct vh_upstream_worker *w = s->workers[i];

		if (!w->listed && !w->route.in_flight) {
			close_conns(w);
			g_free(w);
			continue;
		}
		if (!w->listed && !w->leaving_since_ms) {
			w->route.leaving = true;
			w->leaving_since_ms = now_ms;
		}
		s->has_local |=
			w->route.tier != VH_ROUTE_REMOTE && !w->route.leaving;
		s->workers[kept++] = w;
	}
	s->n_workers = kept;
}

bool vh_upstream_sync(struct vh_service_state *s)
{
	const struct vh_upstreams_ops *ops =
		s->g->upstreams ? s->g->upstreams->ops : NULL;
	int64_t now_ms = vh_kernel_now_ms(s->g->kernel);
	const struct vh_upstream *list;
	int64_t age_ms = -1;
	size_t n;

	if (!ops)
		return false;
	if (now_ms - s->synced_ms < SYNC_INTERVAL_MS && s->n_workers)
		return true;
	n = ops->lookup(s->g->upstreams->self, vh_slice_str(s->name), &list,
			&age_ms);
	if (age_ms < 0)
		return s->n_workers > 0;
	s->synced_ms = now_ms;
	for (size_t i = 0; i < s->n_workers; i++)
		s->workers[i]->listed = false;
	for (size_t i = 0; i < n; i++)
		update_worker(s, &list[i], now_ms);
	remove_unlisted(s, now_ms);
	return true;
}

struct vh_upstream_worker *vh_upstream_pick(struct vh_service_state *s,
					    uint64_t avoid_mask,
					    bool allow_remote)
{
	/* route is the first member of struct vh_upstream_worker. */
	struct vh_route_target *const *targets =
		(struct vh_route_target *const *)s->workers;
	int64_t now_ms = vh_kernel_now_ms(s->g->kernel);
	size_t i = vh_route_pick(targets, s->n_workers, avoid_mask,
				 allow_remote, now_ms, s->g->rng);
	struct vh_upstream_worker *w;

	if (i == s->n_workers)
		return NULL;
	w = s->workers[i];
	vh_invariant_check(VH_I8_LEAVING,
			   !w->leaving_since_ms ||
				   now_ms - w->leaving_since_ms <
					   LEAVING_GRACE_MS,
			   "worker %s selected %" G_GINT64_FORMAT
			   " ms after it began leaving",
			   w->id, now_ms - w->leaving_since_ms);
	return w;
}

uint64_t vh_upstream_avoid_bit(const struct vh_service_state *s,
			       const struct vh_upstream_worker *w)
{
	for (size_t i = 0; i < s->n_workers && i < 64; i++) {
		if (s->workers[i] == w)
			return UINT64_C(1) << i;
	}
	return 0;
}

static struct vh_upstream_conn *new_conn(struct vh_gateway *g,
					 struct vh_upstream_worker *w)
{
	struct vh_upstream_conn *c = g_new0(struct vh_upstream_conn, 1);

	c->worker = w;
	c->evcon = evhttp_connection_base_new(g->kernel->base, NULL, w->address,
					      w->port);
	evhttp_connection_set_timeout(c->evcon, LIBEVENT_TIMEOUT_S);
	evhttp_connection_set_max_headers_size(c->evcon, HEADERS_MAX_BYTES);
	evhttp_connection_set_max_body_size(c->evcon, RESPONSE_MAX_BYTES);
	bufferevent_setwatermark(evhttp_connection_get_bufferevent(c->evcon),
				 EV_READ, 0, READ_AHEAD_MAX_BYTES);
	c->next = w->conns;
	w->conns = c;
	w->n_conns++;
	return c;
}

struct vh_upstream_conn *vh_upstream_conn_acquire(struct vh_gateway *g,
						  struct vh_upstream_worker *w)
{
	struct vh_upstream_conn *c = w->conns;

	while (c && c->busy)
		c = c->next;
	if (!c && w->n_conns < w->route.conn_share)
		c = new_conn(g, w);
	if (!c)
		return NULL;
	c->busy = true;
	w->route.in_flight++;
	return c;
}

void vh_upstream_conn_release(struct vh_gateway *g, struct vh_upstream_conn *c)
{
	c->busy = false;
	c->idle_since_ms = vh_kernel_now_ms(g->kernel);
	c->worker->route.in_flight--;
	if (c->worker->n_conns > c->worker->route.conn_share ||
	    c->worker->route.leaving) {
		/* vh_upstream_conn_close() takes a connection in use. */
		c->busy = true;
		c->worker->route.in_flight++;
		vh_upstream_conn_close(g, c);
	}
}

static void unlink_conn(struct vh_upstream_conn *c)
{
	struct vh_upstream_conn **at = &c->worker->conns;

	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	c->worker->n_conns--;
}

void vh_upstream_conn_close(struct vh_gateway *g, struct vh_upstream_conn *c)
{
	unlink_conn(c);
	c->worker->route.in_flight--;
	c->worker = NULL;
	c->next = g->closed_conns;
	g->closed_conns = c;
	if (!vh_timer_pending(&g->cleanup_timer))
		vh_timer_start(&g->cleanup_timer, 0);
}

void vh_upstream_free_closed(struct vh_gateway *g)
{
	free_closed_conns(g);
}

void vh_upstream_close_idle(struct vh_gateway *g)
{
	int64_t now_ms = vh_kernel_now_ms(g->kernel);

	for (struct vh_service_state *s = g->services; s; s = s->next) {
		for (size_t i = 0; i < s->n_workers; i++) {
			struct vh_upstream_conn *c = s->workers[i]->conns;

			while (c) {
				struct vh_upstream_conn *next = c->next;

				if (!c->busy && now_ms - c->idle_since_ms >
							IDLE_TIMEOUT_MS) {
					unlink_conn(c);
					free_conn(c);
				}
				c = next;
			}
		}
	}
}
