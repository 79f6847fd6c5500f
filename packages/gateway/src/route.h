#ifndef VH_ROUTE_H
#define VH_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum vh_route_tier - how near an upstream is; nearer ones go first */
enum vh_route_tier {
	VH_ROUTE_ZONE,
	VH_ROUTE_REGION,
	VH_ROUTE_REMOTE, /* bytes to it are billed */
	VH_ROUTE_TIERS
};

/**
 * struct vh_route_target - what this node knows of one upstream's load; pure
 * @slots: requests that it takes at once, from all nodes
 * @share: connections to it that this node may have
 * @busy: requests of this node under way there
 * @leaving: takes nothing new
 * @full_until_ms: it said that it was full; not asked again before
 * @failures: failures in a row
 * @breaker_open_until_ms: set aside after failures; then one request tries it
 * @heat: requests of other nodes there, guessed from its refusals
 */
struct vh_route_target {
	enum vh_route_tier tier;
	uint32_t slots;
	uint32_t share;
	uint32_t busy;
	bool leaving;
	int64_t full_until_ms;
	uint32_t failures;
	int64_t breaker_open_until_ms;
	double heat;
	int64_t other_load_ms;
};

/* vh_route_usable - may it be sent a request now? */
bool vh_route_usable(const struct vh_route_target *t, int64_t now_ms);

/**
 * vh_route_pick - chooses an upstream
 * @targets: @n upstreams
 * @avoid: bit i set: the i-th has failed this request before; chosen only if
 *	   nothing else in its tier is usable
 * @remote: may it go to another region?
 *
 * In the nearest tier with a usable one: the less loaded of two at random.
 * Returns @n if none is usable.
 */
size_t vh_route_pick(struct vh_route_target *const *targets, size_t n,
		     uint64_t avoid, bool remote, int64_t now_ms, GRand *rng);

/* vh_route_refused - it refused a request for want of room */
void vh_route_refused(struct vh_route_target *t, int64_t now_ms, GRand *rng);

/* vh_route_failed - a connection or an answer failed */
void vh_route_failed(struct vh_route_target *t, int64_t now_ms, GRand *rng);
void vh_route_succeeded(struct vh_route_target *t);

/**
 * vh_route_conn_share - connections to an upstream that one node may have
 * @conns: that the upstream takes from all nodes
 * @nodes: number of nodes
 * @rank: this node's place among them for this upstream, 0 to @nodes - 1
 *
 * The shares of all nodes add up to @conns.
 */
uint32_t vh_route_conn_share(uint32_t conns, uint32_t nodes, uint32_t rank);

/**
 * struct vh_retry_budget - keeps retries to a part of the requests
 */
struct vh_retry_budget {
	double tokens;
};

void vh_retry_budget_init(struct vh_retry_budget *b);
void vh_retry_budget_request(struct vh_retry_budget *b);

/* vh_retry_budget_take - false: too many retries lately */
bool vh_retry_budget_take(struct vh_retry_budget *b);

#endif
