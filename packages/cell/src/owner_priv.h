#ifndef CELL_OWNER_PRIV_H
#define CELL_OWNER_PRIV_H

/*
 * State and functions that the sources of the owner share. Internal to the
 * package; included by owner.c, owner_admission.c, owner_advice.c,
 * owner_append.c,
 * owner_engine.c, owner_fleet.c, owner_gc.c, owner_loading.c, owner_permit.c,
 * owner_submit.c and owner_view.c.
 */

#include "admission.h"
#include "owner.h"
#include "run_timer.h"

#define OWNER_GC_MAX_JOBS 256 /* jobs whose records one append deletes */

enum owner_phase {
	OWNER_FENCING,
	OWNER_LOADING,
	OWNER_ACTIVE,
	OWNER_ENDED
};

/**
 * struct owner_admission - admission control of an owner
 * @load: on the monotonic clock
 * @was_active: the owner was active when last looked at
 * @storing: accepted jobs that are being stored, by id
 * @held: jobs that are to be refused once the topic of jobs was read again
 * @view_sent: the last view showed a wait
 * @log_second: the second that @log_lines counts
 * @log_skipped: refusals without a log line since the last line
 */
struct owner_admission {
	bool enabled;
	struct admission state;
	struct eng_load load;
	bool was_active;
	GHashTable *storing;
	GQueue held;
	struct vh_timer timer;
	bool view_sent;
	int64_t log_second;
	unsigned int log_lines;
	uint64_t log_skipped;
};

/**
 * struct owner - the scheduler of a node that owns the cell
 * @pending_calls: calls to the store, workers and policy service without a
 *		   result
 * @loading_since_ms: when it began
 * @loading_line_ms: when it is logged next why it cannot schedule
 * @append_failures: failed attempts of the pending append
 * @append_refused: the last attempt failed so soon that the store is taken to
 *		    refuse writes
 * @refused_sent_ms: when the last attempt that the store refused was sent
 * @suspended_ms: when the last pause of the process ended, if no write sent
 *		  since then is confirmed; else 0
 * @woken_ms: when the last pause of the process ended; 0: there was none
 * @lapsed: the newest confirmation was found to be too old
 * @earlier_answers: answers to earlier writes while suspended
 * @withheld_starts: starts not sent for want of permission
 * @withheld_leases: lease renewals left out of holds for the same reason
 * @zones_as_of_ms: time as of which the drained zones are known; 0: never
 * @zone_metrics_ms: when the gauges of drained zones were last set
 * @usage_metrics_ms: when the gauges of the past use of teams were last set
 * @max_view_age_ms: see struct owner_settings
 * @view_outdated: nothing is placed or started until all topics are read again
 * @ignored_entries: keys and reasons of workers' entries that were logged as
 *		     ignored
 * @sequence: sequence number of the pending append, or else of the last one
 * @append_batch: number of the engine's batch in the pending append; 0: none
 * @stored_batch: last stored batch, if the engine is not told yet; 0: none
 * @append_at: position of the first record of the batch that is not stored
 * @append_n: how many records from there on the pending append has
 * @append_bytes_max: bytes of an append, beside those of its first record
 * @append_bytes: the same, while the store refuses larger ones
 * @append_first_sent_ms: when the pending append, or else the last one, was
 *			  first sent
 * @append_sent_ms: when its last attempt was sent
 * @last_run_ms: when the last run began, or a later pause ended
 * @writer: writes callers' records
 * @gc_jobs: ended jobs whose records are being deleted
 * @gc_max_jobs: of how many of them one append deletes the records
 * @gc_sent: the same, of the append in flight
 * @advice_calls: pending calls to the policy service, by sequence number
 */
struct owner {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	struct peer_server *peer_server;
	struct owner_ops ops;
	void *ctx;
	uint64_t epoch;
	enum owner_phase phase;
	struct engine *engine;
	struct topic_reader fleet_reader;
	struct topic_reader state_reader;
	struct topic_reader jobs_reader;
	GHashTable *ignored_entries;
	struct run_timer run_timer;
	struct vh_timer append_retry_timer;
	unsigned int pending_calls;
	unsigned int n_records_loaded;
	int64_t loading_since_ms;
	int64_t loading_line_ms;

	bool append_in_flight;
	unsigned int append_failures;
	bool append_refused;
	int64_t refused_sent_ms;
	int64_t suspended_ms;
	int64_t woken_ms;
	bool lapsed;
	unsigned int earlier_answers;
	unsigned int withheld_starts;
	unsigned int withheld_leases;
	int64_t zones_as_of_ms;
	int64_t zone_metrics_ms;
	int64_t usage_metrics_ms;
	int64_t max_view_age_ms;
	bool view_outdated;
	uint64_t sequence;
	uint64_t append_batch;
	uint64_t stored_batch;
	struct eng_record *append_records;
	size_t n_append_records;
	size_t append_at;
	size_t append_n;
	size_t append_bytes_max;
	size_t append_bytes;
	int64_t append_first_sent_ms;
	int64_t append_sent_ms;
	int64_t last_write_ms;
	int64_t last_run_ms;
	struct owner_former former;
	int64_t former_since_ms;

	struct writer writer;
	struct owner_admission admission;

	bool gc_in_flight;
	struct vh_timer gc_timer;
	struct eng_ended_job gc_jobs[OWNER_GC_MAX_JOBS];
	size_t n_gc_jobs;
	size_t gc_max_jobs;
	size_t gc_sent;

	struct advice_balancer advice_balancer;
	int own_balancer_node;
	GHashTable *advice_calls;
	uint64_t advice_sequence;
};

void owner_schedule_run(struct owner *o);
int64_t owner_now_ms(const struct owner *o);

/* owner_has_ended - whether results of calls must be ignored */
bool owner_has_ended(struct owner *o);

/* owner_append.c: writes to the topic of states */
void owner_append_init(struct owner *o, const struct vh_store_limits *limits);
void owner_append_finish(struct owner *o);
/* owner_append_fence - sets the epoch of the topic, which fences former owners */
void owner_append_fence(struct owner *o);
/* owner_append_flush - appends what has changed, or a sign of life, if it is time */
void owner_append_flush(struct owner *o);
/* owner_append_send - sends the pending append, also once more */
void owner_append_send(void *ctx);
/* owner_batch_stored - all appends of a batch, or the fence, are stored (in owner.c) */
void owner_batch_stored(struct owner *o);

/* owner_permit.c: what only the present owner may send waits after a pause */
/* owner_note_pause - suspends the owner if the process stood still; called
 * before anything that arrived is acted on */
void owner_note_pause(struct owner *o);
/* owner_write_stored - the store has accepted the pending append */
void owner_write_stored(struct owner *o);
/**
 * owner_may_act - whether starts, renewals of leases and the like may be sent
 *
 * False before recovery is done, while the owner is suspended, and while its
 * newest confirmation by the store is too old.
 */
bool owner_may_act(struct owner *o);
/* owner_is_permitted - the same, also true during recovery */
bool owner_is_permitted(struct owner *o);

/* owner_loading.c: why an owner cannot schedule yet, for the log and the metrics */
void owner_loading_begin(struct owner *o);
/* owner_loading_report - called in each run; logs a line now and then */
void owner_loading_report(struct owner *o);
/* owner_loading_end - the owner schedules, or has ended */
void owner_loading_end(struct owner *o);

/* owner_former.c: the end of the former owner's process */
/* owner_former_check - acts on it if it is known by now */
void owner_former_check(struct owner *o);
void owner_former_finish(struct owner *o);

/* owner_engine.c: connects the engine to workers, logs and metrics */
struct engine *owner_engine_new(struct owner *o, const struct eng_settings *s);

/* owner_update_zone_metrics - sets the gauges of drained zones, once a second */
void owner_update_zone_metrics(struct owner *o);
/* owner_clear_zone_metrics - another node is going to report them */
void owner_clear_zone_metrics(struct owner *o);
/* owner_record_loop_delay - adds to the metric of the event loop's delay */
void owner_record_loop_delay(struct owner *o, int64_t delay_ms);
/* owner_update_usage_metrics - sets the gauges of past use, once a second */
void owner_update_usage_metrics(struct owner *o);
/* owner_clear_usage_metrics - another node is going to report them */
void owner_clear_usage_metrics(struct owner *o);

/* owner_record_pause - adds to the metric of pauses of the event loop */
void owner_record_pause(struct owner *o, int64_t pause_ms);
/* owner_record_resumption - adds to the metric of the age of the write after
 * which an owner that stalled schedules again */
void owner_record_resumption(struct owner *o, int64_t write_age_ms);

/* owner_record_append_time - adds to the metric of state append times */
void owner_record_append_time(struct owner *o, int64_t took_ms);

/* owner_fleet.c: the list of workers */
#define OWNER_IGNORED_ENTRIES_MAX 100 /* log lines of one owner */
void owner_fleet_init(struct owner *o);
void owner_fleet_free(struct owner *o);
/* owner_fleet_record - passes a record to the engine */
void owner_fleet_record(struct owner *o, const struct vh_record *r);

/*
 * owner_view.c: how old is what the owner decides from. Other nodes store
 * cancellations, workers store that they drain and operators store changes, and the
 * store tells them so. The owner learns of it by reading.
 */
/* owner_view_init - @max_age_ms: 0: the default */
void owner_view_init(struct owner *o, int64_t max_age_ms);
/* owner_view_limit_ms - until when starts may be based on what has been read */
int64_t owner_view_limit_ms(const struct owner *o);
/* owner_view_zones_outdated - whether the drained zones are not known or too old */
bool owner_view_zones_outdated(const struct owner *o);
/* owner_view_update - passes the limit to the engine, and asks for reads if it has
 * passed */
void owner_view_update(struct owner *o);
/* owner_view_note_start - records the ages for a start that is being sent */
void owner_view_note_start(struct owner *o, const struct eng_start_request *s);
/* owner_view_log_cancellation - logs that a cancellation is applied; @way: how
 * the owner knows of it, constant text */
void owner_view_log_cancellation(struct owner *o, uint64_t job,
				 const char *way);

/**
 * owner_apply_record - passes a stored record to the engine (in owner.c);
 * idempotent
 * @way: how the owner knows of the record, constant text
 */
void owner_apply_record(struct owner *o, struct vh_slice key,
			struct vh_slice value, const char *way);

/* owner_submit.c: stores callers' records from this node and from others */
void owner_submit_init(struct owner *o, const struct vh_store_limits *limits);
void owner_on_submit(void *ctx, struct peer_conn *conn,
		     const struct vh_frame *f);

/* owner_admission.c: refuses jobs that could not end in time */
void owner_admission_init(struct owner *o, bool enabled);
/* owner_admission_finish - stops; accepts the jobs that are still held */
void owner_admission_finish(struct owner *o);
void owner_admission_free(struct owner *o);
/**
 * owner_admission_ask - decides whether a record may be stored
 * @may_refuse: the sender of the record knows of no earlier attempt to store it
 * @done: called once, at once or within @timeout_ms; 0: store it and call
 *	  owner_admission_written(); otherwise it is refused
 */
void owner_admission_ask(struct owner *o, struct vh_slice key,
			 struct vh_slice value, int64_t timeout_ms,
			 bool may_refuse,
			 void (*done)(void *ctx, int retry_after_s), void *ctx);
/* owner_admission_written - the write of an accepted record has ended */
void owner_admission_written(struct owner *o, struct vh_slice key,
			     enum write_outcome outcome);
/* owner_admission_record - a record was read; before it is applied */
void owner_admission_record(struct owner *o, struct vh_slice key);
/* owner_admission_read - all jobs stored before @as_of_ms have been applied */
void owner_admission_read(struct owner *o, int64_t as_of_ms);
/* owner_admission_node_left - a node may store jobs without the owner */
void owner_admission_node_left(struct owner *o);

/* owner_gc.c: deletes the records of accepted jobs that have ended */
void owner_gc_init(struct owner *o, const struct vh_store_limits *limits);
void owner_gc_finish(struct owner *o);
/* owner_gc_check - logs states whose job's record is missing, after recovery */
void owner_gc_check(struct owner *o);

/* owner_advice.c: calls the policy service through all nodes */
void owner_advice_init(struct owner *o);
void owner_advice_finish(struct owner *o);

/* owner_advice_expire - fails the calls whose deadline has passed */
void owner_advice_expire(struct owner *o);

bool owner_advice_available(void *ctx, double cost_ms);
bool owner_advise(void *ctx, const struct eng_advice_request *request);

#endif
