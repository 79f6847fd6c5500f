#ifndef VH_JOB_H
#define VH_JOB_H

/*
 * A job as submitted by a caller: its tasks, its scheduling class and the
 * limits on it. Used by the gateway, which parses submitted jobs, and by core,
 * state, platform and policy.
 */

#include "vh/res.h"
#include "vh/slice.h"

/* Limits on submitted jobs, as documented in docs/API.md */
#define VH_NAME_MAX 48		/* bytes in an object's name */
#define VH_IDEM_KEY_MAX 128	/* bytes in an Idempotency-Key */
#define VH_TASK_INPUT_MAX 16384 /* bytes */
#define VH_TASK_RESULT_MAX 4096 /* bytes */
#define VH_JOB_TASKS_MAX 1024
#define VH_JOB_ENCODED_BYTES_MAX 262144

/**
 * enum vh_class - scheduling class of a task
 * @VH_CLASS_URGENT: latency-sensitive: starts within 3.4 s, may preempt
 * @VH_CLASS_SERVICE: long-running: replicas are spread and not moved
 * @VH_CLASS_BATCH: bin-packed and backfilled, may be preempted
 */
enum vh_class {
	VH_CLASS_URGENT,
	VH_CLASS_SERVICE,
	VH_CLASS_BATCH,
	VH_CLASS_COUNT
};

/* vh_class_name - "urgent", "service" or "batch" */
const char *vh_class_name(enum vh_class c);

/* vh_class_from_name - returns VH_CLASS_COUNT for an unknown name */
enum vh_class vh_class_from_name(struct vh_slice name);

/**
 * struct vh_task_spec - one task of a job as submitted by the caller
 * @size: declared resources; slots and connections are 0 for tasks that serve
 *	  no requests
 * @run_ms: declared run time; 0: not declared
 * @input: opaque bytes passed to the program
 */
struct vh_task_spec {
	struct vh_res size;
	uint32_t run_ms;
	struct vh_slice input;
};

/**
 * struct vh_job_spec - a job as submitted by the caller
 * @queue: queue to which it was submitted
 * @service: service whose replicas its tasks are; empty for other jobs
 * @cls: scheduling class
 * @priority: higher values are scheduled first within a team and class
 * @gang: gang scheduling: either all tasks start together or none does
 * @idempotent: if false, no task is started a second time
 * @deadline_ms: latest start, in milliseconds after acceptance; 0: none
 * @region: requested region; empty: the caller's region
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
