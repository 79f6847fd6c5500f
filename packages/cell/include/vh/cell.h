#ifndef VH_CELL_H
#define VH_CELL_H

/*
 * One node of the scheduler, as seen by the program around it: its lifecycle
 * and the requests about jobs. platform/main.c creates the node, and
 * platform/http_api.c passes clients' requests to it.
 */

#include "vh/ports.h"

/**
 * struct vh_cell_settings - settings of one node
 * @name: unique name of this node
 * @peer_address: IP:PORT at which other nodes reach this node
 * @cpu_share_milli: CPU share of this node, in thousandths of a processor
 * @max_config_age_ms: time since the store last confirmed that this node has
 *		       the newest configuration, after which requests are
 *		       refused, since an API key may have been revoked
 * @max_view_age_ms: how old may be what the owner has read of the store, when a
 *		     start leaves that is based on it; 0: the default
 * @admission: jobs that could not end in time are refused
 * @limits: of the store; a job that needs a larger record is refused
 * @engine: engine settings; fence, former_owner_ms and record_bytes are set by the cell
 */
struct vh_cell_settings {
	struct vh_slice name;
	struct vh_slice peer_address;
	uint64_t cpu_share_milli;
	int64_t max_config_age_ms;
	int64_t max_view_age_ms;
	bool admission;
	struct vh_store_limits limits;
	struct eng_settings engine;
};

struct vh_cell;

/**
 * vh_cell_new - creates the service "cell": one node of the scheduler
 *
 * Every node accepts jobs. One node at a time is elected the owner of the cell
 * and makes the scheduling decisions.
 */
struct vh_cell *vh_cell_new(const struct vh_cell_settings *settings,
			    const struct vh_ports *ports,
			    struct vh_kernel *kernel);

/* vh_cell_idle - whether no calls are pending after the service has stopped */
bool vh_cell_idle(const struct vh_cell *c);

/* vh_cell_free - the cell must be idle, see vh_cell_idle() */
void vh_cell_free(struct vh_cell *c);
struct vh_service *vh_cell_service(struct vh_cell *c);

/**
 * vh_cell_leave - prepares the node for its shutdown
 *
 * Releases the ownership of the cell if this node has it, and claims it no
 * more. The node is no longer ready, but still serves requests.
 */
void vh_cell_leave(struct vh_cell *c);

/* vh_cell_ready - whether a load balancer should send new clients here */
bool vh_cell_ready(const struct vh_cell *c);

/**
 * struct vh_cell_route - queue and team that a request resolves to
 * @queue: valid until control returns to the event loop
 * @team: empty if the queue allows anonymous requests
 * @rest: path after the queue's prefix
 * @max_body_bytes: 0 if unlimited
 */
struct vh_cell_route {
	const struct vh_queue_config *queue;
	struct vh_slice team;
	struct vh_slice rest;
	size_t max_body_bytes;
};

/**
 * vh_cell_route - resolves a request to its queue and checks its API key
 * @key: empty if the request has none
 *
 * Returns VH_OK, VH_ERR_NOT_READY, VH_ERR_NOT_FOUND or VH_ERR_UNAUTHENTICATED.
 */
enum vh_err vh_cell_route(const struct vh_cell *c, struct vh_slice host,
			  struct vh_slice path, struct vh_slice key,
			  struct vh_cell_route *out);

/**
 * vh_cell_submit - stores a job
 * @spec: the caller's specification; the queue's settings are filled in
 * @timeout_ms: @done is called within this time
 * @done: VH_OK: stored; VH_ERR_STORE_SILENT: not stored and will never run;
 *	  VH_ERR_TIMEOUT: may or may not be stored; VH_ERR_BAD_REQUEST:
 *	  rejected, with the reason in @why; VH_ERR_RATE_LIMITED: refused by
 *	  admission control, not stored and will never run. retry_after_s: when
 *	  the caller may return, 0: the default of the error
 */
void vh_cell_submit(struct vh_cell *c, const struct vh_cell_route *route,
		    struct eng_job_spec *spec, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, const char *why,
				 int retry_after_s),
		    void *ctx);

/**
 * vh_cell_cancel - stores the cancellation of a job
 *
 * Reports as vh_cell_submit() does. The job need not be known yet: if it is
 * submitted later, it is already cancelled.
 */
void vh_cell_cancel(struct vh_cell *c, uint64_t id, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, const char *why,
				 int retry_after_s),
		    void *ctx);

/**
 * vh_cell_status - looks up the status of a job
 * @done: VH_OK and an enum eng_job_status, or VH_ERR_NOT_READY
 */
void vh_cell_status(struct vh_cell *c, uint64_t id, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, uint64_t status),
		    void *ctx);

/**
 * vh_cell_pending_jobs - counts jobs of a queue with no task started yet
 * @done: VH_OK and the count, or VH_ERR_NOT_READY
 */
void vh_cell_pending_jobs(struct vh_cell *c, const struct vh_cell_route *route,
			  int64_t timeout_ms,
			  void (*done)(void *ctx, enum vh_err err,
				       uint64_t jobs),
			  void *ctx);

#endif
