#ifndef CELL_OWNER_CLIENT_H
#define CELL_OWNER_CLIENT_H

/*
 * A node's side of the connection to the owner: forwards requests and reports
 * heartbeats. Internal to the package; called by cell.c, ownership.c and
 * advice_proxy.c.
 */

#include "admission_view.h"

/**
 * struct owner_client - this node's connection to the owner
 * @cpu_share_milli, @store_latency_ms: of this node; determine its rank
 * @advice_request: the owner wants this node to call the policy service; see
 *		    WIRE_ADVICE_REQUEST
 * @heartbeat: the owner of @epoch was heard; @rank is this node's position in
 *	       the order of claims
 * @owner_dead: the owner's address refuses connections, or another process
 *		answers there
 * @store_age_ms: returns the time since this node last reached the store
 * @store_probe: the owner asks whether this node reaches the store; answered by
 *		 owner_client_report_store_reached()
 * @owner_resigned: the owner of @epoch has stopped
 * @wants_load: the owner is to send its view of the load
 * @load: that view, on the wall clock; its at_ms is 0 if there is none
 * @epoch, @incarnation, @address: those of the owner, from its record
 * @ready: the owner has sent a heartbeat on this connection, and neither one of
 *	   an older epoch nor WIRE_OWNER_RESIGNED since
 * @requests: struct owner_request by sequence number
 * @connection_changed_ms: when a connection was last attempted or closed
 * @last_received_ms: when a frame last arrived, or when the connection was
 *		      attempted or established
 */
struct owner_client {
	struct vh_kernel *kernel;
	char *name;
	uint64_t own_incarnation;
	uint64_t cpu_share_milli;
	uint64_t store_latency_ms;
	void (*advice_request)(void *ctx, const struct vh_frame *f);
	void (*heartbeat)(void *ctx, uint64_t epoch, uint64_t rank);
	void (*owner_dead)(void *ctx, uint64_t epoch);
	int64_t (*store_age_ms)(void *ctx);
	void (*store_probe)(void *ctx, uint64_t epoch);
	void (*owner_resigned)(void *ctx, uint64_t epoch);
	void *ctx;

	bool wants_load;
	struct eng_load load;
	uint64_t epoch;
	uint64_t incarnation;
	char *address;
	struct bufferevent *bev;
	bool ready;
	uint64_t sequence;
	GHashTable *requests;
	struct vh_timer timer;
	int64_t connection_changed_ms;
	int64_t last_received_ms;
};

void owner_client_init(struct owner_client *c, struct vh_kernel *kernel,
		       const char *name, uint64_t incarnation);
void owner_client_finish(struct owner_client *c);

/* owner_client_connect - connects to a new owner; an empty @address only
 * disconnects from the old one */
void owner_client_connect(struct owner_client *c, uint64_t epoch,
			  uint64_t incarnation, struct vh_slice address);

/* owner_client_usable - whether the owner is likely to answer a request */
bool owner_client_usable(const struct owner_client *c);

/**
 * owner_client_job_status - asks the owner for the status of a job
 * @done: called once, later; known is false if no answer arrived in time
 */
void owner_client_job_status(
	struct owner_client *c, uint64_t job, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx);

/* owner_client_pending_jobs - counts jobs of a queue with no task started */
void owner_client_pending_jobs(
	struct owner_client *c, struct vh_slice queue, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx);

/**
 * owner_client_submit - asks the owner to store a record
 * @may_refuse: no earlier attempt to store it is known here
 * @done: the outcome is as in WIRE_SUBMIT_REPLY; if it is not known, the record
 *	  may be stored
 */
void owner_client_submit(struct owner_client *c, struct vh_slice key,
			 struct vh_slice value, int64_t timeout_ms,
			 bool may_refuse,
			 void (*done)(void *ctx, bool known, uint64_t outcome),
			 void *ctx);

/* owner_client_report_store_reached - positive answer to a store probe */
void owner_client_report_store_reached(struct owner_client *c, uint64_t epoch);

/* owner_client_reply_advice - answers an advice request */
void owner_client_reply_advice(struct owner_client *c, uint64_t sequence,
			       bool ok, int64_t valid_ms,
			       const struct eng_advised_worker *approved,
			       size_t n);

#endif
