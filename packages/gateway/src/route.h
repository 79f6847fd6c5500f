#ifndef VH_ROUTE_H
#define VH_ROUTE_H

/*
 * Selects upstreams by proximity, load and health, and limits retries. Performs
 * no I/O. Internal to the package; called by upstream.c, attempt.c,
 * service_api.c, test_route.cc and bench_route.c.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum vh_route_tier - proximity of an upstream; nearer tiers are preferred */
enum vh_route_tier {
	VH_ROUTE_ZONE,	 /* same availability zone */
	VH_ROUTE_REGION, /* same region, another availability zone */
	VH_ROUTE_REMOTE, /* another region; traffic to it is billed */
	VH_ROUTE_TIERS
};

/**
 * struct vh_route_target - this node's view of one upstream's load
 * @slots: concurrent requests that the upstream accepts from all nodes
 * @conn_share: connections that this node may open to the upstream
 * @in_flight: this node's requests in flight to the upstream
 * @leaving: accepts no new requests
 * @backoff_until_ms: no requests are sent before this time because the upstream
 *		      reported that it was full
 * @failures: consecutive failures
 * @breaker_open_until_ms: the circuit breaker is open until then; afterwards
 *			   one probe request is sent
 * @other_load: load from other nodes, in requests, estimated from refusals;
 *		decays exponentially
 * @other_load_ms: time at which @other_load was last set
 */
struct vh_route_target {
	enum vh_route_tier tier;
	uint32_t slots;
	uint32_t conn_share;
	uint32_t in_flight;
	bool leaving;
	int64_t backoff_until_ms;
	uint32_t failures;
	int64_t breaker_open_until_ms;
	double other_load;
	int64_t other_load_ms;
};

/* vh_route_usable - can the target be sent a request now? */
bool vh_route_usable(const struct vh_route_target *t, int64_t now_ms);

/**
 * vh_route_pick - selects an upstream for a request
 * @targets: @n upstreams
 * @avoid_mask: bit i is set if the i-th target has already failed or refused
 *		this request; such targets are selected only if no other one is
 *		usable
 * @allow_remote: targets in other regions are eligible
 *
 * Picks the less loaded of two random targets in the nearest tier that has a
 * usable one. Returns @n if none is usable.
 */
size_t vh_route_pick(struct vh_route_target *const *targets, size_t n,
		     uint64_t avoid_mask, bool allow_remote, int64_t now_ms,
		     GRand *rng);

/* vh_route_refused - the target refused a request because it was full */
void vh_route_refused(struct vh_route_target *t, int64_t now_ms, GRand *rng);

/* vh_route_failed - a connection to the target or its response failed */
void vh_route_failed(struct vh_route_target *t, int64_t now_ms, GRand *rng);
void vh_route_succeeded(struct vh_route_target *t);

/**
 * vh_route_conn_share - connections that one node may open to an upstream
 * @conns: connections that the upstream accepts from all nodes
 * @nodes: number of nodes
 * @rank: this node's rank among them for this upstream, 0 to @nodes - 1
 *
 * The shares of all nodes add up to @conns.
 */
uint32_t vh_route_conn_share(uint32_t conns, uint32_t nodes, uint32_t rank);

/**
 * struct vh_route_retry_budget - token bucket that limits retries to a fraction
 * of the requests
 */
struct vh_route_retry_budget {
	double tokens;
};

void vh_route_retry_budget_init(struct vh_route_retry_budget *b);

/* vh_route_retry_budget_deposit - adds the allowance of one new request */
void vh_route_retry_budget_deposit(struct vh_route_retry_budget *b);

/* vh_route_retry_budget_take - spends one retry; false if none is left */
bool vh_route_retry_budget_take(struct vh_route_retry_budget *b);

#endif
