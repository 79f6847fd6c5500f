#ifndef VH_JOB_JSON_H
#define VH_JOB_JSON_H

/*
 * Parses and validates the JSON body of a job submission. Internal to the
 * package; called by jobs_api.c, test_job_json.cc and the fuzz target
 * fuzz_job.c.
 */

#include "vh/buf.h"
#include "vh/error.h"
#include "vh/objects.h"

/**
 * struct vh_job_request - a job parsed from a caller's JSON
 * @spec: points into @json and @tasks and to the queue's name
 */
struct vh_job_request {
	struct vh_job_spec spec;
	struct vh_task_spec *tasks;
	void *json;
};

/**
 * vh_job_request_read - parses and validates a job
 * @r: need not be initialized; must be passed to vh_job_request_finish() only
 *     after VH_OK
 * @queue: the target queue; provides the default class and priority
 * @message: receives the location and description of the first error
 *
 * Returns VH_OK, VH_ERR_BAD_REQUEST or VH_ERR_TOO_LARGE.
 */
enum vh_err vh_job_request_read(struct vh_job_request *r, struct vh_slice body,
				const struct vh_queue *queue,
				struct vh_buf *message);
void vh_job_request_finish(struct vh_job_request *r);

#endif
