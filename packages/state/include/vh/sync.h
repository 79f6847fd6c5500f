#ifndef VH_SYNC_H
#define VH_SYNC_H

/*
 * Requests and replies of the sync protocol between a rack's owner and its
 * workers. Used by the homes and racks of this package, by packages/core and by
 * the worker client in packages/platform.
 */

#include "vh/error.h"
#include "vh/job.h"

/**
 * enum vh_end - how an attempt of a task ended
 * @VH_END_DONE: the program exited with code 0
 * @VH_END_FAILED: the program exited with another code
 * @VH_END_STOPPED: stopped on request (cancel or preemption)
 * @VH_END_LOST: began, and its worker or lease was lost
 * @VH_END_NOT_STARTED: certainly never began
 */
enum vh_end {
	VH_END_DONE,
	VH_END_FAILED,
	VH_END_STOPPED,
	VH_END_LOST,
	VH_END_NOT_STARTED,
	VH_END_COUNT
};

const char *vh_end_name(enum vh_end end);
enum vh_end vh_end_from_name(struct vh_slice name); /* VH_END_COUNT: unknown */

/*
 * A task is named "JOB/INDEX"; together with an attempt number it names one
 * run.
 */

/**
 * struct vh_start - an order to a worker to run a task
 * @home: unit "home/TEAM/K" that the job belongs to
 * @home_epoch: epoch under which the home decided the start
 * @idempotent: the task may be stopped and run again
 * @not_after_ms: latest start time, on the worker's clock
 */
struct vh_start {
	struct vh_slice task;
	uint32_t attempt;
	struct vh_slice home;
	uint64_t home_epoch;
	enum vh_class cls;
	struct vh_res size;
	struct vh_slice service;
	struct vh_slice input;
	bool idempotent;
	int64_t not_after_ms;
};

enum vh_stop_mode {
	VH_STOP_KILL,
	VH_STOP_CHECKPOINT,
	VH_STOP_THROTTLE
};

struct vh_stop {
	struct vh_slice task;
	uint32_t attempt;
	enum vh_stop_mode mode;
};

/**
 * struct vh_sync_req - an owner's request to a worker; also renews the lease
 * @epoch: the rack's epoch; the worker rejects epochs below the highest it has
 *       seen
 * @incarnation: incarnation the request is meant for; empty for any. Another
 *       incarnation must ignore times on the worker's clock and @ack: it grants
 *       no lease, drops no end, begins and stops nothing.
 * @exchange: identifies the exchange in vh_rack_exchange_done(); not sent
 * @lease_until_ms: on the worker's clock; 0 leaves the lease unchanged
 * @ack: ends up to this sequence number may be dropped
 * @full: reply with all running tasks, not only with changes
 * @wait_ms: delay the reply until a task ends, at most this long
 */
struct vh_sync_req {
	uint64_t epoch;
	struct vh_slice owner;
	struct vh_slice incarnation;
	uint64_t exchange;
	int64_t lease_until_ms;
	uint64_t ack;
	bool full;
	uint32_t wait_ms;
	const struct vh_start *starts;
	size_t n_starts;
	const struct vh_stop *stops;
	size_t n_stops;
};

struct vh_running_task {
	struct vh_slice task;
	uint32_t attempt;
	struct vh_slice home;
	uint64_t home_epoch;
	enum vh_class cls;
	struct vh_res size;
	struct vh_slice service;
	bool idempotent; /* as in struct vh_start */
	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
	int64_t since_ms; /* on the worker's clock */
};

struct vh_ended_task {
	uint64_t seq; /* numbered from 1 per worker incarnation */
	struct vh_slice task;
	uint32_t attempt;
	struct vh_slice home;
	enum vh_end end;
	int32_t exit_code;
	struct vh_slice result;
};

/** struct vh_refused_start - a start that a worker will never begin */
struct vh_refused_start {
	struct vh_slice task;
	uint32_t attempt;
	struct vh_slice why;
};

/**
 * struct vh_sync_reply - a worker's reply
 * @epoch: highest epoch that it has seen
 * @clock_ms: its monotonic clock at the time of the reply
 * @incarnation: changes whenever the worker restarts, without tasks
 * @leaving: the worker itself reports that it is leaving
 *
 * A start that is not in @refused was accepted.
 */
struct vh_sync_reply {
	uint64_t epoch;
	int64_t clock_ms;
	struct vh_slice incarnation;
	bool leaving;
	bool full;
	const struct vh_running_task *running;
	size_t n_running;
	const struct vh_ended_task *ended;
	size_t n_ended;
	const struct vh_refused_start *refused;
	size_t n_refused;
};

#endif
