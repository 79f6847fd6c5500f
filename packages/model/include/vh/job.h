#ifndef VH_JOB_H
#define VH_JOB_H

#include "vh/res.h"
#include "vh/slice.h"

/* Bounds on what a caller may ask for; docs/API.md states them. */
#define VH_NAME_MAX 48		/* bytes in an object's name */
#define VH_IDEM_KEY_MAX 128	/* bytes in an Idempotency-Key */
#define VH_TASK_INPUT_MAX 16384 /* bytes */
#define VH_TASK_RESULT_MAX 4096 /* bytes */
#define VH_JOB_TASKS_MAX 1024
#define VH_JOB_ENCODED_BYTES_MAX 262144 /* packed */

/**
 * enum vh_class - what policy a task gets
 * @VH_CLASS_URGENT: somebody waits; starts within 3.4 s, may preempt
 * @VH_CLASS_SERVICE: long-running; spread and stays put
 * @VH_CLASS_BATCH: packed tight, backfilled, may be preempted
 */
enum vh_class {
	VH_CLASS_URGENT,
	VH_CLASS_SERVICE,
	VH_CLASS_BATCH,
	VH_CLASS_COUNT
};

/* vh_class_name - "urgent", "service" or "batch" */
const char *vh_class_name(enum vh_class c);

/* vh_class_from_name - VH_CLASS_COUNT if there is no such class */
enum vh_class vh_class_from_name(struct vh_slice name);

/**
 * struct vh_task_spec - one task of a job as the caller asked for it
 * @size: declared size; slots and conns are 0 for tasks that serve no requests
 * @run_ms: declared run time, 0 if not declared
 * @input: opaque bytes for the program
 */
struct vh_task_spec {
	struct vh_res size;
	uint32_t run_ms;
	struct vh_slice input;
};

/**
 * struct vh_job_spec - a job as the caller asked for it
 * @queue: queue that it was sent to
 * @service: the service whose replica each task is; empty for other jobs
 * @cls: policy class
 * @priority: larger goes first within a team and class
 * @gang: all tasks are started together or none
 * @idempotent: false: no task is ever started a second time
 * @deadline_ms: milliseconds after acceptance; no start later; 0 for none
 * @region: wanted region, empty for the caller's own
 * @tasks: @n_tasks tasks
 */
struct vh_job_spec {
	struct vh_slice queue;
	struct vh_slice service;
	enum vh_class cls;
	uint32_t priority;
	bool gang;
	bool idempotent;
	uint32_t deadline_ms;
	struct vh_slice region;
	uint32_t n_tasks;
	struct vh_task_spec *tasks;
};

#endif
