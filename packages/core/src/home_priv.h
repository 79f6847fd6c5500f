#ifndef VH_HOME_PRIV_H
#define VH_HOME_PRIV_H

#include "homes.h"
#include "wire.h"

struct home;
struct home_gang;

/*
 * Something under way for a home: an append or a call to another node. The
 * home keeps a list of its own, so that it can go before they end.
 */
struct home_op {
	struct home_op *next;
	struct home *home; /* NULL once the home has gone */
	bool call; /* a peer call: ends later even if the home has gone */
	struct vh_peer_reply *reply; /* whom to answer, or NULL */
	char *id;		     /* of the job or task */
	char *rack;
	uint32_t attempt;
	uint64_t rack_epoch; /* of the owner that was asked */
	bool again;
	bool retry_scheduled;
	int64_t due_ms;
};

/* A rack as one home sees it. */
struct home_rack {
	struct home_rack *next;
	char *name;
	uint64_t
		reconciled_epoch; /* rack epoch at which it told all; 0: not yet */
	bool busy;		  /* a seal is under way */
};

/* A caller that waits for a change of a job. */
struct job_waiter {
	struct job_waiter *next;
	char *id;
	uint64_t version;
	bool until_durable; /* waits for the acceptance instead */
	int64_t deadline_ms;
	struct vh_peer_reply *reply;
};

struct home {
	struct home *next;
	struct vh_homes *homes;
	char *unit;
	char *team;
	uint32_t index;
	uint64_t epoch;
	struct vh_home *state;
	struct vh_log_stream *stream;
	bool open_requested;
	bool open;
	bool closing;
	struct home_rack *racks;
	struct home_op *ops;
	struct job_waiter *waits;
	struct home_gang *gangs;
	struct vh_timer dispatch;
	struct vh_timer upkeep;
	uint64_t replica_serial;
	uint64_t turn;	  /* rotates the choice of racks */
	uint32_t n_homes; /* of the team */
	bool offering;	  /* a gift of credit is being offered */
	int64_t next_offer_ms;
	int64_t next_credit_request_ms;
};

struct vh_homes {
	struct vh_core *core;
	struct vh_service service;
	struct home *list;
	bool stopping;
};

/* homes.c */
struct home *home_find(struct vh_homes *hs, struct vh_slice unit);
struct home_op *home_op_new(struct home *h, bool call);
void home_op_free(struct home_op *op);
int64_t home_now_ms(const struct home *h);
struct home_rack *home_rack_find(struct home *h, struct vh_slice name);

/* Appends the ends of tasks that can no longer start or were lost. */
void home_expire(struct home *h);

/* Looks at what waits, soon. */
void home_schedule_dispatch(struct home *h);

/* home_place.c */
void home_dispatch(void *ctx);
void home_send_stop(struct home *h, const struct vh_task *task,
		    enum vh_stop_mode mode);

/* Sends a start that has begun, after its record if it has one. */
void home_send_start(struct home *h, struct vh_task *task,
		     const struct vh_buf *record);

/* The region that a job's tasks are wanted in. */
struct vh_slice home_region(const struct home *h, const struct vh_job *job);

/* home_gang.c */
struct vh_gang_ticket home_gang_ticket(const struct vh_job *job);
void home_gang_advance(struct home *h, struct vh_job *job);
void home_gangs_prune(struct home *h);
void home_gangs_finish(struct home *h);

/* home_seal.c */
void home_reconcile_racks(struct home *h);
void home_racks_refresh(struct home *h);

/* The rack has another owner now. */
void home_rack_owner_changed(struct home *h, struct vh_slice rack);

/* home_rpc.c */
void home_rpc_register(struct vh_homes *hs);
void home_answer_waiters(struct home *h);
void home_cancel_waiters(struct home *h);

/* home_credit.c: gives credit to the team's other homes and asks for it. */
void home_transfer_credit(struct home *h);
void home_credit_register(struct vh_homes *hs);

/* replicas.c: keeps the replicas of the team's services at their number. */
void home_reconcile_replicas(struct home *h);

/* job_json.c */
void job_to_json(const struct vh_job *job, struct vh_buf *out);
bool job_is_terminal(const struct vh_job *job);
const char *job_state(const struct vh_job *job);

#endif
