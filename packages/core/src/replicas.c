#include <inttypes.h>

#include "home_priv.h"

struct replica_count {
	struct vh_slice service;
	uint32_t active;
	struct vh_job *newest;
};

static void count_active(void *ctx, struct vh_job *job)
{
	struct replica_count *c = ctx;

	if (job->n_unfinished && !job->cancelled &&
	    vh_slice_eq(job->spec.service, c->service)) {
		c->active++;
		c->newest = job;
	}
}

static void submit_replica(struct home *h, const struct vh_service_object *s)
{
	struct vh_task_spec task = { .size = s->size };
	struct vh_job_spec spec = {
		.queue = vh_slice("", 0),
		.service = s->name,
		.cls = s->cls,
		.idempotent = true,
		.n_tasks = 1,
		.tasks = &task,
	};
	char *key = g_strdup_printf("s/%.*s/%" PRIu64 "/%" PRIu64,
				    VH_SLICE_ARGS(s->name), h->epoch,
				    ++h->replica_serial);
	struct vh_job *job;
	struct vh_buf body;

	vh_buf_init(&body);
	if (vh_home_submit(h->state, vh_slice_str(key), 0, &spec,
			   vh_clock_wall_ms(h->homes->core->kernel->clock),
			   home_now_ms(h), &body, &job) == VH_SUBMIT_NEW)
		vh_log_stream_append(h->stream, VH_REC_JOB, vh_buf_slice(&body),
				     NULL, NULL);
	vh_buf_finish(&body);
	g_free(key);
}

static void cancel_replica(struct home *h, struct vh_job *job)
{
	struct vh_buf body;

	vh_buf_init(&body);
	if (vh_home_cancel(h->state, job, &body))
		vh_log_stream_append(h->stream, VH_REC_CANCEL,
				     vh_buf_slice(&body), NULL, NULL);
	vh_buf_finish(&body);
}

void home_reconcile_replicas(struct home *h)
{
	const struct vh_objects *set = core_objects(h->homes->core);

	/* While the log is unavailable, records would pile up without limit. */
	if (!set || h->index != 0 || vh_log_stream_is_stale(h->stream))
		return;
	for (size_t i = 0; i < set->n_services; i++) {
		const struct vh_service_object *s = &set->services[i];
		struct replica_count c = { s->name, 0, NULL };

		if (!vh_slice_eq_str(s->team->name, h->team))
			continue;
		vh_home_each_job(h->state, count_active, &c);
		if (c.active > s->replicas && c.newest)
			cancel_replica(h, c.newest);
		while (c.active < s->replicas) {
			submit_replica(h, s);
			c.active++;
		}
	}
}
