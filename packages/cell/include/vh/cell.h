#ifndef VH_CELL_H
#define VH_CELL_H

#include "vh/ports.h"

/**
 * struct vh_cell_settings
 * @name: of this node, unique
 * @peer_address: IP:PORT at which other nodes reach it
 * @cpu_share_milli: share of a processor that this node has, in thousandths
 * @max_config_age_ms: a node that has not known the newest configuration for so
 *		  long refuses, since a key may have been withdrawn
 * @engine: fence and former_owner_ms are the cell's own
 */
struct vh_cell_settings {
	struct vh_slice name;
	struct vh_slice peer_address;
	uint64_t cpu_share_milli;
	int64_t max_config_age_ms;
	struct eng_settings engine;
};

struct vh_cell;

/**
 * vh_cell_new - one node of the scheduler: the service "cell"
 *
 * Takes jobs for all, and owns the cell when it is this node's turn.
 */
struct vh_cell *vh_cell_new(const struct vh_cell_settings *settings,
			    const struct vh_ports *ports,
			    struct vh_kernel *kernel);

/* vh_cell_idle - after its service has stopped: no call is out any more */
bool vh_cell_idle(const struct vh_cell *c);

/* vh_cell_free - only when it is idle */
void vh_cell_free(struct vh_cell *c);
struct vh_service *vh_cell_service(struct vh_cell *c);

/* vh_cell_leave - the node is about to stop: gives up the ownership */
void vh_cell_leave(struct vh_cell *c);

/* vh_cell_ready - whether new callers should be sent here */
bool vh_cell_ready(const struct vh_cell *c);

/**
 * struct vh_cell_route - where a request goes
 * @queue: its terms, valid until the loop turns
 * @team: empty on a queue open to all
 * @rest: what follows the queue's prefix in the path
 * @max_body_bytes: 0: no limit
 */
struct vh_cell_route {
	const struct vh_queue_config *queue;
	struct vh_slice team;
	struct vh_slice rest;
	size_t max_body_bytes;
};

/**
 * vh_cell_route - finds a request's queue and checks its key
 * @key: empty: none
 *
 * Returns VH_OK, VH_ERR_NOT_READY, VH_ERR_NOT_FOUND or VH_ERR_UNAUTHENTICATED.
 */
enum vh_err vh_cell_route(const struct vh_cell *c, struct vh_slice host,
			  struct vh_slice path, struct vh_slice key,
			  struct vh_cell_route *out);

/**
 * vh_cell_submit - accepts a job
 * @spec: as the caller gave it; the queue's terms are filled in
 * @timeout_ms: @done is called by then
 * @done: VH_OK: stored; VH_ERR_STORE_SILENT: surely not, and will not run;
 *	  VH_ERR_TIMEOUT: not known; VH_ERR_BAD_REQUEST: @why says why
 */
void vh_cell_submit(struct vh_cell *c, const struct vh_cell_route *route,
		    struct eng_job_spec *spec, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, const char *why),
		    void *ctx);

/* vh_cell_cancel - as vh_cell_submit(); a job that is not known is cancelled
 * in advance */
void vh_cell_cancel(struct vh_cell *c, uint64_t id, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, const char *why),
		    void *ctx);

/* vh_cell_status - VH_OK and a state, or VH_ERR_NOT_READY */
void vh_cell_status(struct vh_cell *c, uint64_t id, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, uint64_t status),
		    void *ctx);

/* vh_cell_pending_jobs - jobs of a queue of which no task has started */
void vh_cell_pending_jobs(struct vh_cell *c, const struct vh_cell_route *route,
			  int64_t timeout_ms,
			  void (*done)(void *ctx, enum vh_err err,
				       uint64_t jobs),
			  void *ctx);

#endif
