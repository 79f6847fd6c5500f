#ifndef VH_RACK_PRIV_H
#define VH_RACK_PRIV_H

/*
 * Internal to the package: the data of struct vh_rack and the functions that
 * rack.c and the rack_*.c files call in each other.
 */

#include <glib.h>

#include "table.h"
#include "vh/buf.h"
#include "vh/rack.h"

struct rack_worker;

/**
 * enum run_state - state of a run on its rack
 * @RUN_QUEUED: committed, not yet sent to the worker
 * @RUN_SENT: sent; the reply is not known
 * @RUN_RUNNING: accepted by the worker
 * @RUN_REFUSED: never begins; the home may not know yet
 * @RUN_ENDED: ended; the home may not know yet
 */
enum run_state {
	RUN_QUEUED,
	RUN_SENT,
	RUN_RUNNING,
	RUN_REFUSED,
	RUN_ENDED
};

/* The callback to make for a run once the current update is complete. */
enum run_notice {
	NOTICE_NONE,
	NOTICE_PLACED,
	NOTICE_REFUSED,
	NOTICE_ENDED
};

/*
 * One attempt of a task. Indexed in @attempts by task and attempt number, and
 * in @live by task while it holds resources.
 */
struct rack_run {
	struct vh_table_node node;
	struct vh_table_node live;
	struct rack_run *next; /* runs of the same worker */
	struct rack_run **prev;
	struct rack_run *notice_next;
	struct rack_worker *worker;
	enum run_state state;
	enum run_notice notice;
	bool in_callback;
	bool freed;
	struct vh_running_task info;
	struct vh_slice input;
	int64_t decided_ms;
	int64_t not_after_ms; /* worker's clock; 0 until sent */
	uint64_t exchange;    /* exchange that sends it; 0 if none */
	bool maybe_sent;      /* in an exchange with unknown outcome */
	bool listed;	      /* in the worker's latest full list */
	bool stop_wanted;
	bool stop_sent;
	uint64_t stop_exchange; /* exchange that sent the stop */
	enum vh_stop_mode stop_mode;
	uint64_t end_seq;
	enum vh_end end;
	int32_t exit_code;
	struct vh_slice result;
	enum vh_err why;
	int64_t notified_ms;
	char *strings; /* storage of the slices above */
};

/* An exchange in flight. */
struct rack_exchange {
	uint64_t id; /* 0: none */
	uint64_t generation;
};

struct rack_worker {
	struct vh_vm vm;
	char *vm_strings;
	struct rack_run *runs;
	struct vh_res committed;
	uint32_t n_tasks;
	bool adopted;	      /* reported all runs in this epoch */
	bool known_empty;     /* certainly runs nothing, though not adopted */
	bool needs_full_list; /* request a list of all its tasks */
	bool leaving;	      /* as reported by the worker itself */
	int64_t gone_ms;      /* when it was first seen to be gone */
	char *incarnation;
	uint64_t generation;	 /* incremented per incarnation change */
	int64_t clock_ms;	 /* latest reading of its clock */
	int64_t clock_at_ms;	 /* when that was received */
	int64_t lease_expiry_ms; /* its lease has expired by then */
	uint64_t last_end_seq;	 /* newest end that it reported */
	struct rack_exchange poll;
	struct rack_exchange orders;
	unsigned int failures;
	int64_t retry_ms;
	int64_t renewed_ms; /* last lease renewal */
};

struct vh_rack {
	struct vh_rack_settings settings;
	struct vh_rack_callbacks callbacks;
	char *name;
	uint64_t epoch;
	int64_t owned_since_ms;
	int64_t fresh_ms;
	int64_t now_ms; /* time of the latest call */
	struct rack_worker **workers;
	size_t n_workers;
	size_t next_worker; /* start of the search for due workers */
	struct vh_table attempts;
	struct vh_table live;
	struct vh_table fences;
	struct vh_table decisions;
	struct rack_decision *oldest_decision;
	struct rack_decision *newest_decision;
	struct rack_run *notice_head;
	struct rack_run **notice_tail;
	bool in_callbacks;
	uint64_t last_exchange;
	struct vh_worker_view *views;
	struct vh_start *starts;
	struct vh_stop *stops;
	struct vh_buf key;
};

#define RUN_FROM_LIVE_NODE(n) \
	((struct rack_run *)((char *)(n)-offsetof(struct rack_run, live)))

/* Maximum numbers of starts and stops in one exchange. */
#define RACK_STARTS_MAX 64
#define RACK_STOPS_MAX 256

/* rack_sync.c: time of the worker's next exchange */
int64_t rack_next_sync_ms(const struct vh_rack *r, const struct rack_worker *w);

/* rack_run.c */
struct rack_run *rack_run_find(struct vh_rack *r, struct vh_slice task,
			       uint32_t attempt);
struct rack_run *rack_run_add(struct vh_rack *r, struct rack_worker *w,
			      const struct vh_running_task *info,
			      struct vh_slice input);
bool rack_run_holds_resources(const struct rack_run *run);

/* Reserves the run's resources; checks I1 and I2. */
void rack_run_commit(struct vh_rack *r, struct rack_run *run);
void rack_run_refuse(struct vh_rack *r, struct rack_run *run, enum vh_err why,
		     int64_t now_ms);
void rack_run_end(struct vh_rack *r, struct rack_run *run,
		  const struct vh_ended_task *ended, int64_t now_ms);
void rack_run_lost(struct vh_rack *r, struct rack_run *run, int64_t now_ms);
void rack_run_free(struct vh_rack *r, struct rack_run *run);
void rack_run_notify(struct vh_rack *r, struct rack_run *run,
		     enum run_notice notice);

/* Makes all pending callbacks. */
void rack_deliver_notices(struct vh_rack *r);

/* rack_decision.c: past decisions, kept to answer repeated requests */
void rack_decision_add(struct vh_rack *r, struct vh_slice task,
		       uint32_t attempt, enum vh_err err, int64_t now_ms);
bool rack_decision_find(struct vh_rack *r, struct vh_slice task,
			uint32_t attempt, enum vh_err *err);
void rack_decision_expire(struct vh_rack *r, int64_t now_ms);
void rack_decision_clear(struct vh_rack *r);

/* Formats the key of an attempt, "TASK#ATTEMPT", in @buf. */
struct vh_slice rack_key(struct vh_buf *buf, struct vh_slice task,
			 uint32_t attempt);

/* rack_worker.c */
struct rack_worker *rack_worker_find(const struct vh_rack *r,
				     struct vh_slice id);
struct rack_worker *rack_worker_add(struct vh_rack *r);
void rack_worker_set_vm(struct rack_worker *w, const struct vh_vm *vm);
void rack_worker_reset(struct rack_worker *w);
void rack_worker_free(struct rack_worker *w);

/*
 * Ends the runs there as lost, unsent ones as refused. The worker must be
 * adopted again before use.
 */
void rack_worker_lost(struct vh_rack *r, struct rack_worker *w, int64_t now_ms);
bool rack_worker_usable(const struct vh_rack *r, const struct rack_worker *w,
			int64_t now_ms);

/* Has its lease certainly expired, with claims read since? */
bool rack_worker_lease_expired(const struct vh_rack *r,
			       const struct rack_worker *w, int64_t now_ms);
uint64_t rack_worker_ack(const struct rack_worker *w);
int64_t rack_worker_clock(const struct rack_worker *w, int64_t now_ms);

#endif
