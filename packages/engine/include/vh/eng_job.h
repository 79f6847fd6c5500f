#ifndef VH_ENG_JOB_H
#define VH_ENG_JOB_H

#include <msgpack.h>

#include "vh/buf.h"
#include "vh/slice.h"

#define ENG_STEPS_MAX 256	   /* steps of one job */
#define ENG_TASKS_MAX 10000	   /* tasks of one job */
#define ENG_PAYLOAD_BYTES_MAX 4000 /* bytes of what a job's tasks run */
#define ENG_NAME_MAX 256	   /* bytes of a label, image, queue or team */

/**
 * struct eng_resources - an amount of what a worker has
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
 * struct eng_step_spec - one step of a job: tasks that are alike
 * @n_tasks: how many
 * @need: what each task takes on its worker
 * @estimate_ms: how long the caller thinks that a task takes, 0: no idea
 * @after: numbers of earlier steps whose tasks must all be done
 * @label: a worker without it may not run the step; empty: any
 * @rack: where its data is; empty: nowhere in particular
 * @image: what its tasks run, for learning how they behave
 * @max_per_worker: at most so many of its tasks on one worker, 0: any number
 * @target_ms: the tail of a service's answers must stay below it, 0: no target
 * @max_unavailable: so many tasks of a service may be away by our doing
 * @gang: the tasks start and end together
 * @one_rack: the tasks are slow when spread over racks
 * @speculative: a second copy of a task may run beside the first
 * @checkpoints: its tasks save their progress
 * @service: its tasks run until the job is cancelled
 * @filler: its processors come from what other tasks leave unused
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
 * struct eng_advice_params - how a policy service answers for a queue
 * @needed: workers of a step must be asked for
 * @decide_ms: time of one call
 * @each_ms: more for each worker named
 * @valid_ms: how long a ticket lasts
 */
struct eng_advice_params {
	bool needed;
	double decide_ms;
	double each_ms;
	int64_t valid_ms;
};

/**
 * struct eng_job_spec - a job as it was accepted, with its queue's terms
 * @id: chosen by the caller
 * @priority: 0 goes first
 * @max_attempts: runs of a task that may fail
 * @stretch: the objective is this times the longest chain of work ...
 * @target_ms: ... plus this
 * @received_ms: wall-clock time at which it was received
 * @payload: what its tasks run
 * @occurrences: the steps run this many times, 0: once, at once
 * @first_ms: wall-clock time of the first occurrence
 * @interval_ms: between two occurrences
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
 * eng_job_validate - whether a job can be taken
 *
 * Returns NULL, or a constant text that says what is wrong.
 */
const char *eng_job_validate(const struct eng_job_spec *spec);

/* eng_job_pack - appends the record's bytes to @out */
void eng_job_pack(const struct eng_job_spec *spec, struct vh_buf *out);

/**
 * eng_job_unpack - reads a record
 *
 * Returns a copy that owns all it points to, to be freed with eng_job_free();
 * NULL if the bytes are no valid job.
 */
struct eng_job_spec *eng_job_unpack(struct vh_slice bytes);
void eng_job_free(struct eng_job_spec *spec);

/* eng_job_id_parse - reads 16 hexadecimal digits; false if they are not that */
bool eng_job_id_parse(struct vh_slice s, uint64_t *id);

/**
 * eng_critical_paths_ms - longest chain of declared work from each step to the end
 * @chains: room for n_steps durations, in milliseconds
 *
 * Counts the policy service's calls, one a step.
 */
void eng_critical_paths_ms(const struct eng_job_spec *spec, int64_t *chains);

#endif
