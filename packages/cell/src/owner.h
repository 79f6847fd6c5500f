#ifndef CELL_OWNER_H
#define CELL_OWNER_H

/*
 * The owner of the cell: connects the scheduling engine to the store, the
 * workers and the policy service. Internal to the package; ownership.c creates
 * and ends it, and cell.c passes requests to it.
 */

#include "advice_balancer.h"
#include "topic_reader.h"
#include "peer_server.h"
#include "writer.h"

/**
 * struct owner_settings - settings of an owner
 * @engine: fence and former_owner_ms are set by owner_new()
 * @admission: jobs that could not end in time are refused
 * @max_view_age_ms: how old may be what the owner has read of any topic, when a
 *		     start leaves that is based on it; 0: the default
 * @limits: of the store
 */
struct owner_settings {
	bool admission;
	struct vh_store_limits limits;
	int64_t max_view_age_ms;
	struct eng_settings engine;
};

/**
 * struct owner_ops - events that an owner reports to its node
 * @confirmed: the store accepted a write that this owner sent at @sent_ms
 * @permitted_until_ms: returns until when this owner may act, by the newest
 *			confirmation
 * @ownership_lost: another owner was found; the callee must call owner_end()
 * @store_reached: a probed node reported that it reaches the store
 * @zones_wanted: the topic of objects must be read soon, see
 *		  owner_set_drained_zones()
 * @freed: the last pending call has returned, and the owner is being freed
 */
struct owner_ops {
	void (*confirmed)(void *ctx, int64_t sent_ms);
	int64_t (*permitted_until_ms)(void *ctx);
	void (*ownership_lost)(void *ctx, const char *why);
	void (*store_reached)(void *ctx);
	void (*zones_wanted)(void *ctx);
	void (*former_owners_end)(void *ctx, int64_t end_ms);
	void (*freed)(void *ctx);
};

struct owner;

/**
 * owner_new - starts the scheduler of a node that owns the cell
 * @former_owner_ms: how long a former owner may still act
 *
 * Fences former owners at the store, loads the state that they stored, fences
 * them at the workers, and then starts to place tasks.
 */
struct owner *owner_new(struct vh_kernel *kernel, const struct vh_ports *ports,
			struct peer_server *peer_server,
			const struct owner_settings *settings, uint64_t epoch,
			int64_t former_owner_ms, const struct owner_ops *ops,
			void *ctx);

/**
 * struct owner_former - the owner before this one, which may still act
 * @incarnation: of its process
 * @earlier_end_ms: when the owners before it have stopped
 * @settle_ms: how long orders of a process that has ended may be on their way
 */
struct owner_former {
	char *node;
	uint64_t incarnation;
	int64_t earlier_end_ms;
	int64_t settle_ms;
};

/* owner_set_former - tells of an owner that is not known to have stopped; its
 * record was read before this owner's was written. Copies @former. */
void owner_set_former(struct owner *o, const struct owner_former *former);

/* owner_end - stops scheduling; @o is freed once all its calls have returned */
void owner_end(struct owner *o);

/**
 * owner_submit - stores a caller's record and applies it to the engine
 * @timeout_ms: @done is called within this time
 * @may_refuse: see owner_admission_ask()
 * @done: the outcome is as in WIRE_SUBMIT_REPLY; known is true
 */
void owner_submit(struct owner *o, struct vh_slice key, struct vh_slice value,
		  int64_t timeout_ms, bool may_refuse,
		  void (*done)(void *ctx, bool known, uint64_t outcome),
		  void *ctx);

/* owner_accepts_submits - whether owner_submit() may be called */
bool owner_accepts_submits(const struct owner *o);

/* owner_set_config - applies the teams of a new configuration */
void owner_set_config(struct owner *o, const struct vh_config_view *config);

/**
 * owner_set_drained_zones - replaces the set of drained zones
 * @as_of_ms: all records that the store held then are included
 *
 * Also called if only @as_of_ms has changed. The owner starts nothing while the set
 * is older than its settings allow.
 */
void owner_set_drained_zones(struct owner *o, const struct vh_slice *zones,
			     size_t n, int64_t as_of_ms);

/**
 * owner_job_status - looks up the status of a job
 * @known: set to false during recovery, and if the job was not found but may
 *	   be stored, since the jobs were last read from the store too long ago
 */
enum eng_job_status owner_job_status(struct owner *o, uint64_t job,
				     bool *known);

/* owner_pending_jobs - counts pending jobs; returns false during recovery, while the
 * jobs were last read too long ago, and after a pause until the owner is confirmed
 * and has read them again */
bool owner_pending_jobs(struct owner *o, struct vh_slice queue, size_t *jobs);

/* owner_stats - returns false during recovery */
bool owner_stats(const struct owner *o, struct eng_stats *out);

/**
 * owner_store_health - how well the store serves this owner
 * @refused: set if the store refused the last write
 * @refused_sent_ms: set to when the last refused write was sent
 *
 * Returns when the newest call that the store answered was sent; 0: none.
 */
int64_t owner_store_health(const struct owner *o, bool *refused,
			   int64_t *refused_sent_ms);
uint64_t owner_epoch(const struct owner *o);

#endif
