#ifndef VH_OBJECTS_H
#define VH_OBJECTS_H

/*
 * The configured objects of a cell (teams, keys, queues, services and others):
 * loads, validates, renders and looks them up. Called by core, the gateway,
 * vhctl and the stand-ins; the daemon's settings.c uses the key hashes.
 */

#include <glib.h>

#include "vh/buf.h"
#include "vh/error.h"
#include "vh/job.h"
#include "vh/problem.h"

#define VH_KEY_HASH_BYTES 32 /* SHA-256 */

/** struct vh_share - weight of a team's fair share when the cell is full */
struct vh_share {
	struct vh_slice name;
	uint32_t weight; /* 1 to 1,000,000 */
};

/**
 * struct vh_limit - upper limits of a team over the whole cell
 * @running: resources committed to running tasks; VH_RES_UNLIMITED: no limit
 * @tasks: number of running tasks; VH_RES_UNLIMITED: no limit
 * @requests_per_s: rate of admitted requests; 0: no limit
 * @concurrent_requests: number of requests in flight; 0: no limit
 */
struct vh_limit {
	struct vh_slice name;
	struct vh_res running;
	uint32_t tasks;
	uint32_t requests_per_s;
	uint32_t concurrent_requests;
};

/**
 * struct vh_team - a team
 * @limit: NULL: no limit
 * @homes: number of partitions (homes) that its jobs are spread over, 1 to 64
 * @preempt_per_min: limit on the preemptions that its tasks cause each minute
 */
struct vh_team {
	struct vh_slice name;
	const struct vh_share *share;
	const struct vh_limit *limit;
	uint32_t homes;
	uint32_t preempt_per_min;
};

/** struct vh_key - an API key of callers; only its hash is stored */
struct vh_key {
	struct vh_slice name;
	const struct vh_team *team;
	unsigned char hash[VH_KEY_HASH_BYTES];
	bool withdrawn;
};

/**
 * struct vh_queue - a queue to which jobs are submitted
 * @teams: the @n_teams teams that may submit to it; empty: all teams
 * @cls: scheduling class of its jobs
 * @priority: default priority of its jobs
 * @max_waiting: limit on one team's waiting jobs; further ones are refused
 */
struct vh_queue {
	struct vh_slice name;
	const struct vh_team **teams;
	size_t n_teams;
	enum vh_class cls;
	uint32_t priority;
	uint32_t max_waiting;
};

/**
 * struct vh_service_object - a long-running service with upstreams
 * @team: team whose limit and share its replicas count against
 * @teams: the @n_teams teams that may send requests; empty: all teams
 * @replicas: number of tasks kept running
 * @size: resources of one replica; its request slots and connections are
 *	  taken from those of its worker
 * @idempotent: whether its requests may be retried
 * @timeout_ms: maximum duration of one request
 * @cls: scheduling class of its replicas
 */
struct vh_service_object {
	struct vh_slice name;
	const struct vh_team *team;
	const struct vh_team **teams;
	size_t n_teams;
	uint32_t replicas;
	struct vh_res size;
	bool idempotent;
	uint32_t timeout_ms;
	enum vh_class cls;
};

/**
 * struct vh_fleet_policy - settings of the whole cell, group [fleet]
 * @lease_ms: a worker stops its tasks this long after the last renewal
 * @start_void_ms: a start that has not begun within this time never begins
 * @dedupe_window_s: retention of idempotency keys
 * @urgent_preempts: whether urgent tasks may preempt batch tasks
 */
struct vh_fleet_policy {
	uint32_t lease_ms;
	uint32_t start_void_ms;
	uint32_t dedupe_window_s;
	bool urgent_preempts;
};

/**
 * struct vh_objects - a complete set of objects, validated and resolved
 *
 * Arrays are sorted by name. All members are valid until vh_objects_finish().
 */
struct vh_objects {
	struct vh_share *shares;
	size_t n_shares;
	struct vh_limit *limits;
	size_t n_limits;
	struct vh_team *teams;
	size_t n_teams;
	struct vh_key *keys;
	size_t n_keys;
	struct vh_queue *queues;
	size_t n_queues;
	struct vh_service_object *services;
	size_t n_services;
	struct vh_fleet_policy fleet;
	struct vh_objects_priv *priv;
};

/**
 * vh_objects_load - parses and validates a complete set
 * @set: uninitialized; if the result is true, it holds the set and is released
 *	 with vh_objects_finish(); otherwise it holds nothing
 * @sources: @n files
 * @problems: initialized; every error is added, not only the first
 *
 * Deterministic: the same text gives the same result on every node.
 */
bool vh_objects_load(struct vh_objects *set,
		     const struct vh_ini_source *sources, size_t n,
		     struct vh_problems *problems);
void vh_objects_finish(struct vh_objects *set);

/* vh_objects_render - appends the set as canonical INI text, sorted by group */
void vh_objects_render(const struct vh_objects *set, struct vh_buf *out);

/* vh_objects_find_team, _queue, _service - return NULL for an unknown name */
const struct vh_team *vh_objects_find_team(const struct vh_objects *set,
					   struct vh_slice name);
const struct vh_queue *vh_objects_find_queue(const struct vh_objects *set,
					     struct vh_slice name);
const struct vh_service_object *
vh_objects_find_service(const struct vh_objects *set, struct vh_slice name);

/* vh_key_hash - stores the SHA-256 of a key or token, VH_KEY_HASH_BYTES long */
void vh_key_hash(struct vh_slice key, unsigned char *hash);

/* vh_key_hash_parse - decodes hexadecimal digits; false if malformed */
bool vh_key_hash_parse(const char *hex, unsigned char *out);

/**
 * vh_objects_authenticate - looks up the API key that a caller presents
 * @key: text of the key
 *
 * Returns NULL for an unknown or withdrawn key. The duration depends only on
 * the length of @key, to prevent timing attacks.
 */
const struct vh_key *vh_objects_authenticate(const struct vh_objects *set,
					     struct vh_slice key);

/* vh_queue_allows, vh_service_allows - whether @team may use it */
bool vh_queue_allows(const struct vh_queue *queue, const struct vh_team *team);
bool vh_service_allows(const struct vh_service_object *service,
		       const struct vh_team *team);

#endif
