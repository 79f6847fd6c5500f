#ifndef CELL_SPOKE_H
#define CELL_SPOKE_H

#include "wire.h"

/**
 * struct owner_client - this node's connection to the owner
 * @epoch, @incarnation, @address: the owner's, from its record
 * @ask: the owner wants the policy service called; see WIRE_ADVICE_REQUEST
 * @cpu_share_milli, @store_ms: this node's, for its rank among successors
 * @heard: the owner of an epoch was heard; @rank: this node's
 * @dead: nobody, or another process, is at the owner's address
 * @store_age_ms: how long ago this node reached the store
 * @reach: the owner asks whether this node reaches the store; owner_client_report_store_reached()
 * @vacant: the owner of an epoch has stopped acting
 */
struct owner_client {
	struct vh_kernel *kernel;
	char *name;
	uint64_t own_incarnation;
	uint64_t cpu_share_milli;
	uint64_t store_ms;
	void (*ask)(void *ctx, const struct vh_frame *f);
	void (*heard)(void *ctx, uint64_t epoch, uint64_t rank);
	void (*dead)(void *ctx, uint64_t epoch);
	int64_t (*store_age_ms)(void *ctx);
	void (*reach)(void *ctx, uint64_t epoch);
	void (*vacant)(void *ctx, uint64_t epoch);
	void *ctx;

	uint64_t epoch;
	uint64_t incarnation;
	char *address;
	struct bufferevent *bev;
	bool ready; /* the owner has answered on this connection */
	uint64_t sequence;
	GHashTable *calls; /* sequence to struct spoke_call */
	struct vh_timer tick;
	int64_t connect_ms;
	int64_t last_ms; /* when anything came */
};

void owner_client_init(struct owner_client *s, struct vh_kernel *kernel,
		       const char *name, uint64_t incarnation);
void owner_client_finish(struct owner_client *s);

/* owner_client_connect - connects to an owner; an empty address: to nobody */
void owner_client_connect(struct owner_client *s, uint64_t epoch,
			  uint64_t incarnation, struct vh_slice address);

/* owner_client_usable - whether a question could be answered now */
bool owner_client_usable(const struct owner_client *s);

/**
 * owner_client_job_status - asks the owner for a job's state
 * @done: called once, later; known is false if there was no answer in time
 */
void owner_client_job_status(
	struct owner_client *s, uint64_t job, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx);

/* owner_client_pending_jobs - asks for the jobs of a queue of which nothing has started */
void owner_client_pending_jobs(
	struct owner_client *s, struct vh_slice queue, int64_t timeout_ms,
	void (*done)(void *ctx, bool known, uint64_t value), void *ctx);

/**
 * owner_client_submit - has the owner store a record
 *
 * The value is an enum write_outcome. Not known: it may be stored.
 */
void owner_client_submit(struct owner_client *s, struct vh_slice key,
			 struct vh_slice value, int64_t timeout_ms,
			 void (*done)(void *ctx, bool known, uint64_t outcome),
			 void *ctx);

/* owner_client_report_store_reached - answers @reach: this node reaches the store */
void owner_client_report_store_reached(struct owner_client *s, uint64_t epoch);

/* owner_client_reply_advice - answers an ask */
void owner_client_reply_advice(struct owner_client *s, uint64_t sequence,
			       bool ok, int64_t valid_ms,
			       const struct eng_advised_worker *good, size_t n);

#endif
