#ifndef VH_ENG_JOB_H
#define VH_ENG_JOB_H

/*
 * Specification of a job: its limits, validation and serialized form. platform/
 * parses requests into it, the cell package stores it, and the engine schedules
 * it.
 */

#include <msgpack.h>

#include "vh/buf.h"
#include "vh/slice.h"

#define ENG_STEPS_MAX 256	   /* steps of one job */
#define ENG_TASKS_MAX 10000	   /* tasks of one job */
#define ENG_PAYLOAD_BYTES_MAX 4000 /* bytes of the payload of a job */
#define ENG_NAME_MAX 256	   /* bytes of a label, image, queue or team */
/* The index of free room counts in 32 bits, and no sum over workers or tasks of
 * smaller amounts overflows 64 bits. */
#define ENG_AMOUNT_MAX INT32_MAX
#define ENG_DURATION_MAX_MS INT64_C(1000000000000) /* 31 years */

/**
 * struct eng_resources - amounts of resources
 * @cpu_milli: thousandths of a processor
 * @mem_mb: mebibytes
 * @gpu: whole accelerators
 */
struct eng_resources {
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t gpu;
};

/**
 * struct eng_step_spec - one step of a job: a set of identical tasks
 * @n_tasks: number of tasks
 * @need: resources that each task takes on its worker
 * @estimate_ms: the caller's estimate of a task's run time, 0: unknown
 * @after: numbers of the earlier steps that must be done before this one
 * @label: a worker without it may not run the step; empty: any
 * @rack: preferred rack, which holds its data; empty: no preference
 * @image: what its tasks run, a key for statistics about their behaviour
 * @max_per_worker: limit of its tasks on one worker, 0: no limit
 * @target_ms: target of a service's tail latency, 0: no target
 * @max_unavailable: how many tasks of a service the scheduler may interrupt at
 *		     once
 * @gang: the tasks start and end together
 * @one_rack: the tasks are slow when spread over racks
 * @speculative: a second copy of a task may run in parallel
 * @checkpoints: its tasks save their progress
 * @service: its tasks run until the job is cancelled
 * @filler: its tasks run on processors that other tasks leave unused, and so
 *	    reserve none
 */
struct eng_step_spec {
	uint32_t n_tasks;
	struct eng_resources need;
	int64_t estimate_ms;
	uint32_t *after;
	size_t n_after;
	struct vh_slice label;
	struct vh_slice rack;
	struct vh_slice image;
	uint32_t max_per_worker;
	int64_t target_ms;
	uint32_t max_unavailable;
	bool gang;
	bool one_rack;
	bool speculative;
	bool checkpoints;
	bool service;
	bool filler;
};

/**
 * struct eng_advice_params - how the policy service handles a queue
 * @needed: a step may only run on workers that the policy service approved
 * @decide_ms: fixed part of the duration of a call
 * @each_ms: additional duration per worker in the call
 * @valid_ms: how long a ticket is valid
 */
struct eng_advice_params {
	bool needed;
	double decide_ms;
	double each_ms;
	int64_t valid_ms;
};

/**
 * struct eng_job_spec - a job as accepted, with the parameters of its queue
 * @id: chosen by the caller
 * @priority: 0 is the highest
 * @max_attempts: the job fails once this many runs of one task, or of one gang,
 *		  have failed
 * @stretch: factor in the objective for the time until the job completes, which
 *	     is @stretch times the critical path plus @target_ms
 * @target_ms: constant part of the objective
 * @received_ms: wall-clock time at which it was received
 * @payload: what its tasks run
 * @occurrences: how often the steps run, 0: once, immediately
 * @first_ms: wall-clock time of the first occurrence
 * @interval_ms: time between two occurrences
 */
struct eng_job_spec {
	uint64_t id;
	struct vh_slice queue;
	struct vh_slice service;
	struct vh_slice team;
	uint32_t priority;
	uint32_t max_attempts;
	double stretch;
	int64_t target_ms;
	struct eng_advice_params advice;
	int64_t received_ms;
	struct vh_slice payload;
	uint32_t occurrences;
	int64_t first_ms;
	int64_t interval_ms;
	struct eng_step_spec *steps;
	size_t n_steps;
};

/**
 * eng_job_validate - checks whether a job can be accepted
 *
 * Returns NULL, or a constant error message.
 */
const char *eng_job_validate(const struct eng_job_spec *spec);

/* eng_job_pack - appends the serialized job to @out */
void eng_job_pack(const struct eng_job_spec *spec, struct vh_buf *out);

/**
 * eng_job_unpack - parses a serialized job
 *
 * Returns a copy that owns all its data, to be freed with eng_job_free(); NULL
 * if the bytes are not a valid job.
 */
struct eng_job_spec *eng_job_unpack(struct vh_slice bytes);
void eng_job_free(struct eng_job_spec *spec);

/* eng_job_id_parse - parses 16 hexadecimal digits; false on anything else */
bool eng_job_id_parse(struct vh_slice s, uint64_t *id);

/**
 * eng_critical_paths_ms - longest estimated time from each step's start to the
 *			   end of the job, along its chains of steps
 * @paths: room for n_steps durations
 *
 * Includes one call of the policy service per step, if the queue needs it.
 */
void eng_critical_paths_ms(const struct eng_job_spec *spec, int64_t *paths);

#endif
