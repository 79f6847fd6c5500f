#ifndef VH_UPSTREAM_H
#define VH_UPSTREAM_H

/*
 * Tracks the upstreams of each service and pools connections to them. Internal
 * to the package; called by service_api.c, attempt.c and gateway.c.
 */

#include <event2/http.h>

#include "gateway_impl.h"
#include "route.h"

struct vh_upstream_worker;

/**
 * struct vh_upstream_conn - a pooled keep-alive connection to an upstream
 */
struct vh_upstream_conn {
	struct vh_upstream_worker *worker;
	struct evhttp_connection *evcon;
	bool busy;
	int64_t idle_since_ms;
	struct vh_upstream_conn *next;
};

/**
 * struct vh_upstream_worker - a worker that runs replicas of one service
 * @route: must be the first member, see vh_upstream_pick()
 * @listed: present in the latest list of upstreams
 * @leaving_since_ms: when it was first seen to be leaving; 0 if it is not
 */
struct vh_upstream_worker {
	struct vh_route_target route;
	char id[VH_NAME_MAX + 1];
	char address[VH_NAME_MAX + 1];
	uint16_t port;
	bool listed;
	int64_t leaving_since_ms;
	struct vh_upstream_conn *conns;
	uint32_t n_conns;
};

/**
 * struct vh_service_state - upstreams and queued requests of one service
 * @waiting: requests that wait for an upstream with a free slot
 * @synced_ms: time of the last update from the list of upstreams; INT64_MIN / 2
 *	       makes the next vh_upstream_sync() read the list
 * @change_wait_pending: a callback for changes of the list is registered
 * @dispatching: vh_service_dispatch() is running, guards against recursion
 * @has_local: this node's region has an upstream that is not leaving
 */
struct vh_service_state {
	struct vh_gateway *g;
	struct vh_service_state *next;
	char name[VH_NAME_MAX + 1];
	struct vh_upstream_worker **workers;
	size_t n_workers;
	struct vh_fairq waiting;
	struct vh_timer dispatch_timer;
	struct vh_route_retry_budget retry_budget;
	int64_t synced_ms;
	bool change_wait_pending;
	bool dispatching;
	bool has_local;
};

/* vh_upstream_get_service - finds or creates the state of a service */
struct vh_service_state *vh_upstream_get_service(struct vh_gateway *g,
						 const char *name);
void vh_upstream_free_services(struct vh_gateway *g);

/* vh_upstream_sync - applies the latest list of upstreams; false if no list is
 * known yet */
bool vh_upstream_sync(struct vh_service_state *s);

/* vh_upstream_pick - selects an upstream that can take a request, or NULL */
struct vh_upstream_worker *vh_upstream_pick(struct vh_service_state *s,
					    uint64_t avoid_mask,
					    bool allow_remote);

/* vh_upstream_avoid_bit - the worker's bit in the mask for vh_upstream_pick();
 * 0 beyond the first 64 workers */
uint64_t vh_upstream_avoid_bit(const struct vh_service_state *s,
			       const struct vh_upstream_worker *w);

/* vh_upstream_conn_acquire - takes an idle connection or opens one; NULL if
 * this node's share of connections is in use */
struct vh_upstream_conn *vh_upstream_conn_acquire(struct vh_gateway *g,
						  struct vh_upstream_worker *w);

/* vh_upstream_conn_release - returns a connection to the pool after its request
 * has completed */
void vh_upstream_conn_release(struct vh_gateway *g, struct vh_upstream_conn *c);

/* vh_upstream_conn_close - closes the connection in the next event-loop
 * iteration; a request on it gets no callback */
void vh_upstream_conn_close(struct vh_gateway *g, struct vh_upstream_conn *c);

#endif
