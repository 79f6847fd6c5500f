#ifndef VH_OBJECTS_H
#define VH_OBJECTS_H

#include <glib.h>

#include "vh/buf.h"
#include "vh/error.h"
#include "vh/job.h"
#include "vh/problem.h"

#define VH_KEY_HASH_BYTES 32 /* SHA-256 of the key's text */

/** struct vh_share - weight of a team when the cell is full */
struct vh_share {
	struct vh_slice name;
	uint32_t weight; /* 1 to 1,000,000 */
};

/**
 * struct vh_limit - upper limits over the whole fleet
 * @running: committed at once; VH_RES_UNLIMITED where there is no limit
 * @tasks: tasks running at once
 * @requests_per_s: requests admitted a second; 0 for no limit
 * @concurrent_requests: requests under way at once; 0 for no limit
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
 * @homes: number of homes that its jobs are spread over, 1 to 64
 * @preempt_per_min: preemptions that it may cause a minute
 */
struct vh_team {
	struct vh_slice name;
	const struct vh_share *share;
	const struct vh_limit *limit; /* NULL: none */
	uint32_t homes;
	uint32_t preempt_per_min;
};

/** struct vh_key - a key that callers present; only its hash is kept */
struct vh_key {
	struct vh_slice name;
	const struct vh_team *team;
	unsigned char hash[VH_KEY_HASH_BYTES];
	bool withdrawn;
};

/**
 * struct vh_queue - where jobs are sent
 * @teams: the @n_teams teams that may use it; none: open to all
 * @cls: class of its jobs
 * @priority: default priority of its jobs
 * @max_waiting: jobs waiting in it for one team; more are refused
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
 * @team: whose limit and share its replicas count against
 * @teams: the @n_teams teams that may send requests; none: open to all
 * @replicas: tasks kept running
 * @size: of one replica; slots and conns are what it takes of its worker
 * @idempotent: whether its requests may be tried again
 * @timeout_ms: longest time for one request
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

/** struct vh_fleet_policy - settings of the whole cell, group [fleet] */
struct vh_fleet_policy {
	uint32_t lease_ms; /* a worker stops its tasks this long after the last
			      renewal */
	uint32_t start_void_ms;	  /* a start not begun by then never begins */
	uint32_t dedupe_window_s; /* how long an idempotency key is kept */
	bool urgent_preempts;
};

/**
 * struct vh_objects - a whole set of objects, checked and resolved
 *
 * Everything in it lives until vh_objects_finish().
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
 * vh_objects_load - reads and checks a whole set
 * @set: uninitialized memory; on true it holds the set, to be given back with
 *	 vh_objects_finish(); on false it holds nothing
 * @sources: @n files
 * @problems: initialized; every mistake is added, not only the first
 *
 * The same text gives the same result on every node.
 */
bool vh_objects_load(struct vh_objects *set,
		     const struct vh_ini_source *sources, size_t n,
		     struct vh_problems *problems);
void vh_objects_finish(struct vh_objects *set);

/* vh_objects_render - appends the set as canonical INI text, groups sorted */
void vh_objects_render(const struct vh_objects *set, struct vh_buf *out);

const struct vh_team *vh_objects_find_team(const struct vh_objects *set,
					   struct vh_slice name);
const struct vh_queue *vh_objects_find_queue(const struct vh_objects *set,
					     struct vh_slice name);
const struct vh_service_object *
vh_objects_find_service(const struct vh_objects *set, struct vh_slice name);

/* vh_key_hash - SHA-256 of a key or token, VH_KEY_HASH_BYTES bytes */
void vh_key_hash(struct vh_slice key, unsigned char *hash);

/* vh_key_hash_parse - from hexadecimal; false if malformed */
bool vh_key_hash_parse(const char *hex, unsigned char *out);

/**
 * vh_objects_authenticate - finds the key that a caller presents
 * @key: the key's text
 *
 * Returns NULL for an unknown or withdrawn key. Takes the same time for any
 * key of one length.
 */
const struct vh_key *vh_objects_authenticate(const struct vh_objects *set,
					     struct vh_slice key);

/* vh_queue_allows, vh_service_allows - may this team use it? */
bool vh_queue_allows(const struct vh_queue *queue, const struct vh_team *team);
bool vh_service_allows(const struct vh_service_object *service,
		       const struct vh_team *team);

#endif
