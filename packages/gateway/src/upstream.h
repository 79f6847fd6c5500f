#ifndef VH_UPSTREAM_H
#define VH_UPSTREAM_H

#include <event2/http.h>

#include "gateway_impl.h"
#include "route.h"

struct vh_worker;

/**
 * struct vh_upstream_conn - a connection kept to an upstream
 */
struct vh_upstream_conn {
	struct vh_worker *worker;
	struct evhttp_connection *evcon;
	bool busy;
	int64_t idle_since_ms;
	struct vh_upstream_conn *next;
};

/**
 * struct vh_worker - a worker that runs replicas of one service
 * @listed: it is in the newest list of upstreams
 * @left_ms: since when it is known to be leaving; 0: it is not
 */
struct vh_worker {
	struct vh_route_target route;
	char id[VH_NAME_MAX + 1];
	char address[VH_NAME_MAX + 1];
	uint16_t port;
	bool listed;
	int64_t left_ms;
	struct vh_upstream_conn *conns;
	uint32_t n_conns;
};

/**
 * struct vh_service_state - what this node knows of one service
 * @waiting: requests that wait for an upstream with room
 */
struct vh_service_state {
	struct vh_gateway *g;
	struct vh_service_state *next;
	char name[VH_NAME_MAX + 1];
	struct vh_worker **workers;
	size_t n_workers;
	struct vh_fairq waiting;
	struct vh_timer timer;
	struct vh_retry_budget budget;
	int64_t synced_ms;
	bool asked;
	bool pumping;
	bool near; /* some upstream is in this node's region */
};

/* vh_upstream_get_service - finds or makes the state of a service */
struct vh_service_state *vh_upstream_get_service(struct vh_gateway *g,
						 const char *name);
void vh_upstream_free_services(struct vh_gateway *g);

/* vh_upstream_sync - takes in the newest list; false if there is none yet */
bool vh_upstream_sync(struct vh_service_state *s);

/* vh_upstream_pick - an upstream with room for a request, or NULL */
struct vh_worker *vh_upstream_pick(struct vh_service_state *s, uint64_t avoid,
				   bool remote);
uint64_t vh_upstream_avoid_bit(const struct vh_service_state *s,
			       const struct vh_worker *w);

/* vh_upstream_conn_acquire - an idle or a new connection, now busy; NULL: none */
struct vh_upstream_conn *vh_upstream_conn_acquire(struct vh_gateway *g,
						  struct vh_worker *w);

/* vh_upstream_conn_release - the request on it has ended and it may be kept */
void vh_upstream_conn_release(struct vh_gateway *g, struct vh_upstream_conn *c);

/* vh_upstream_conn_close - closes it, soon; what was on it gets no callback */
void vh_upstream_conn_close(struct vh_gateway *g, struct vh_upstream_conn *c);

#endif
