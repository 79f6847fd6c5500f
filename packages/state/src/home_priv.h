#ifndef VH_HOME_PRIV_H
#define VH_HOME_PRIV_H

/*
 * Internal to the package: the data of struct vh_home and the functions that
 * home.c and the home_*.c files call in each other.
 */

#include <glib.h>

#include "table.h"
#include "vh/codec.h"
#include "vh/credit.h"
#include "vh/home.h"

/*
 * Internal state of a task beside its public view.
 * @recorded_attempt: number of the newest VH_REC_ATTEMPT
 * @recorded: a VH_REC_ATTEMPT is in the log, and no report says that this
 *       attempt never began
 * @owner_changed: requested or running on a rack whose owner has changed
 * @listed: reported by the rack being reconciled
 * @may_have_started: an attempt began, or may have begun
 * @must_end: ended for good but not recorded; vh_home_expire() records it
 */
struct task_priv {
	uint32_t recorded_attempt;
	bool recorded;
	bool owner_changed;
	bool listed;
	bool may_have_started;
	bool must_end;
	bool ended_durable;
};

/* A job; @pub must be the first member. */
struct home_job {
	struct vh_job pub;
	struct vh_table_node node; /* by id */
	struct home_job *next;	   /* all jobs, in order of acceptance */
	struct home_job *prev;
	struct home_job *next_active; /* unfinished, in start order */
	struct home_job *prev_active;
	struct task_priv *priv;
	struct home_key *key;
	uint32_t n_waiting;
	bool active;
	bool cancelling; /* VH_REC_CANCEL being appended */
	bool replayed;	 /* from the log: accepted_ms is an estimate */
	struct vh_slice spec_bytes; /* storage of pub.spec */
	char id[];
};

/* An idempotency key of a job, or of a request (@job is NULL). */
struct home_key {
	struct vh_table_node node;
	struct home_key *next; /* next newer key */
	struct home_job *job;
	uint64_t fingerprint;
	int64_t wall_ms;
	bool durable;
	bool ended;
	uint32_t status;
	char key[];
};

struct home_rack {
	struct home_rack *next;
	bool initial; /* not reconciled since the home was opened */
	size_t len;
	char name[];
};

/* Credit sent to another home and not yet settled. */
struct home_transfer {
	struct home_transfer *next;
	uint32_t to;
	uint64_t seq;
	uint32_t parts;
};

/* Sequence numbers of the last transfer from and to another home. */
struct home_peer {
	uint64_t received_seq;
	uint64_t sent_seq;
};

struct vh_home {
	struct vh_home_settings settings;
	char *team;
	char *unit;
	uint64_t epoch;	     /* owned epoch; 0 if closed */
	uint64_t open_epoch; /* newest epoch of a VH_REC_OPEN */
	uint32_t n_opens;
	uint64_t next_job;
	uint64_t version;
	int64_t wall_ms; /* newest wall-clock time in a record */

	struct vh_table jobs;
	struct home_job *oldest_job;
	struct home_job *newest_job;
	struct home_job *first_active;
	struct home_job *last_active;
	struct vh_table keys;
	struct home_key *key_head;
	struct home_key **key_tail;

	struct home_rack *unreconciled;
	size_t n_initial_unreconciled;

	bool limited;
	struct vh_limit limit;
	uint32_t parts;		/* this home's share of the limit */
	uint32_t parts_sending; /* in a transfer being appended */
	struct home_transfer *transfers;
	struct home_peer peers[VH_HOMES_MAX];
	struct vh_home_counts counts;
};

static inline struct home_job *home_job_of(const struct vh_task *task)
{
	return (struct home_job *)task->job;
}

static inline struct task_priv *task_priv(const struct vh_task *task)
{
	return &home_job_of(task)->priv[task->index];
}

static inline const struct vh_res *task_size(const struct vh_task *task)
{
	return &task->job->spec.tasks[task->index].size;
}

/* home_job.c */
struct home_job *home_job_add(struct vh_home *h, struct vh_slice id,
			      struct vh_slice spec_bytes, int64_t wall_ms,
			      int64_t now_ms);
void home_job_remove(struct vh_home *h, struct home_job *job);

/* Adds the job to the active list if it is durable and unfinished. */
void home_job_activate(struct vh_home *h, struct home_job *job);
void home_job_deactivate(struct vh_home *h, struct home_job *job);
void home_job_changed(struct vh_home *h, struct vh_job *job);

/* home_task.c */
void home_task_set_state(struct vh_home *h, struct vh_task *task,
			 enum vh_task_state state);
void home_task_set_placement(struct vh_task *task, struct vh_slice rack,
			     struct vh_slice worker);

/* The attempt is lost: the task waits again or must end for good. */
void home_task_lost(struct vh_home *h, struct vh_task *task);
void home_end_pack(struct vh_buf *body, const struct vh_task *task);
void home_task_name_pack(struct vh_buf *body, const struct vh_task *task);

/* home_key.c */
struct home_key *home_key_find(const struct vh_home *h, struct vh_slice key);
struct home_key *home_key_add(struct vh_home *h, struct vh_slice key,
			      uint64_t fingerprint, int64_t wall_ms);
void home_key_remove(struct vh_home *h, struct home_key *key);

/* Drops keys past the dedupe window, measured by a record's wall-clock time. */
void home_keys_expire(struct vh_home *h, int64_t wall_ms);
void home_keys_clear(struct vh_home *h);
void home_apply_request(struct vh_home *h, struct vh_slice body);
void home_apply_request_end(struct vh_home *h, struct vh_slice body);

/* home_credit.c */
bool home_credit_allows(const struct vh_home *h, const struct vh_res *size);
bool home_within_credit(const struct vh_home *h);
void home_apply_transfer(struct vh_home *h, struct vh_slice body);
void home_transfers_clear(struct vh_home *h);

/* home_reconcile.c */
struct home_rack *home_unreconciled_find(const struct vh_home *h,
					 struct vh_slice rack);
void home_unreconciled_clear(struct vh_home *h);

#endif
