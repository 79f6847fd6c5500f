#ifndef VH_HOME_PRIV_H
#define VH_HOME_PRIV_H

/*
 * The state of the homes on this node, and the functions that the sources of
 * the service "homes" share. Internal to the package: included by homes.c,
 * home_*.c, replicas.c, job_json.c and status.c.
 */

#include "homes.h"
#include "wire.h"

struct home;
struct home_gang;

/*
 * A pending operation of a home: an append, a call to another node or a
 * scheduled resend of one. The home lists its operations so that it can be
 * freed before they complete.
 */
struct home_op {
	struct home_op *next;
	struct home *home; /* NULL once the home was freed */
	bool call; /* a peer call: completes even after the home was freed */
	struct vh_peer_reply *reply; /* call to answer, or NULL */
	char *id;		     /* of the job or task */
	char *rack;
	uint32_t attempt;
	uint64_t rack_epoch;  /* of the owner that was called */
	bool again;	      /* the request repeats an earlier one */
	bool retry_scheduled; /* not in flight: to be resent at due_ms */
	int64_t due_ms;	      /* of a gang's call: when it was sent */
};

/* The state of a rack at one home. */
struct home_rack {
	struct home_rack *next;
	char *name;
	uint64_t reconciled_epoch; /* rack epoch that was reconciled; 0: none */
	bool reconciling;	   /* a reconcile call is pending */
};

/* A call that waits for a change of a job. */
struct job_waiter {
	struct job_waiter *next;
	char *id;
	uint64_t version;
	bool until_durable; /* waits until the job is durable instead */
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
	struct job_waiter *waiters;
	struct home_gang *gangs;
	struct vh_timer dispatch;
	struct vh_timer maintenance;
	uint64_t replica_serial;
	uint64_t pick_seed;	 /* breaks ties of the next rack pick */
	uint32_t n_homes;	 /* of the team */
	bool transfer_in_flight; /* a credit transfer call is pending */
	int64_t next_transfer_ms;
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

/* Appends the ends of tasks that were lost or whose deadline has passed. */
void home_expire(struct home *h);

/* Schedules home_dispatch() for the next iteration of the event loop. */
void home_schedule_dispatch(struct home *h);

/* home_place.c */
void home_dispatch(void *ctx);
void home_send_stop(struct home *h, const struct vh_task *task,
		    enum vh_stop_mode mode);

/* Sends the request for an attempt that was started in the state; @record, if
 * not empty, is made durable first. */
void home_send_start(struct home *h, struct vh_task *task,
		     const struct vh_buf *record);

/* The preferred region of a job's tasks. */
struct vh_slice home_region(const struct home *h, const struct vh_job *job);

/* home_gang.c */
struct vh_gang_ticket home_gang_ticket(const struct vh_job *job);
void home_gang_advance(struct home *h, struct vh_job *job);
void home_gangs_prune(struct home *h);
void home_gangs_finish(struct home *h);

/* home_reconcile.c */
void home_reconcile_racks(struct home *h);
void home_racks_refresh(struct home *h);

/* The rack has a new owner and must be reconciled again. */
void home_rack_owner_changed(struct home *h, struct vh_slice rack);

/* home_rpc.c */
void home_rpc_register(struct vh_homes *hs);
void home_answer_waiters(struct home *h);
void home_cancel_waiters(struct home *h);

/* home_credit.c: transfers limit credit between the homes of a team. */
void home_transfer_credit(struct home *h);
void home_credit_register(struct vh_homes *hs);

/* replicas.c: keeps the team's services at their configured replica counts. */
void home_reconcile_replicas(struct home *h);

/* job_json.c */
void job_to_json(const struct vh_job *job, struct vh_buf *out);
bool job_is_terminal(const struct vh_job *job);
const char *job_state(const struct vh_job *job);

#endif
