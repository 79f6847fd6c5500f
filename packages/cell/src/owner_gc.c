#include <inttypes.h>

#include "keys.h"
#include "owner_priv.h"
#include "vh/log.h"

/*
 * A new owner reads all records of the jobs topic. Of a job that has ended, it
 * needs only the few bytes in the state topic, so the records of the job and of
 * its cancellation are deleted from the jobs topic.
 */
#define GC_INTERVAL_MS 1000
#define GC_APPEND_TIMEOUT_MS 1500
#define JOB_KEYS_BYTES \
	(2 * (VH_RECORD_OVERHEAD + VH_KEY_BYTES)) /* of one job */
#define MISSING_JOBS_LOGGED 20 /* log lines of one takeover */

static const char *status_name(enum eng_job_status status)
{
	static const char *const names[] = {
		[ENG_PENDING] = "pending",     [ENG_RUNNING] = "running",
		[ENG_COMPLETE] = "complete",   [ENG_FAILED] = "failed",
		[ENG_CANCELLED] = "cancelled", [ENG_UNKNOWN] = "unknown",
	};

	return names[status];
}

static void log_job(GLogLevelFlags level, const char *what,
		    const struct eng_ended_job *j)
{
	char job[20];
	char state[24];
	char stored[24];

	g_snprintf(job, sizeof(job), "%016" PRIx64, j->id);
	g_snprintf(state, sizeof(state), "%" PRIu64, j->state_batch);
	g_snprintf(stored, sizeof(stored), "%" PRIu64, j->stored_batch);
	vh_log(level, what, "job", job, "status", status_name(j->status),
	       "state_batch", state, "stored_batch", stored, NULL);
}

void owner_gc_check(struct owner *o)
{
	struct eng_ended_job jobs[MISSING_JOBS_LOGGED];
	size_t n = eng_states_without_job(o->engine, jobs, MISSING_JOBS_LOGGED);
	char all[24];

	if (!n)
		return;
	g_snprintf(all, sizeof(all), "%zu", n);
	vh_log(G_LOG_LEVEL_WARNING, "states without a job's record", "jobs",
	       all, NULL);
	for (size_t i = 0; i < MIN(n, MISSING_JOBS_LOGGED); i++)
		log_job(G_LOG_LEVEL_WARNING, "state without the job's record",
			&jobs[i]);
}

/* Takes the next jobs, unless an earlier deletion has failed. */
static void take_ended_jobs(struct owner *o)
{
	if (o->n_gc_jobs)
		return;
	o->n_gc_jobs =
		eng_pop_ended_jobs(o->engine, o->gc_jobs, OWNER_GC_MAX_JOBS);
	for (size_t i = 0; i < o->n_gc_jobs; i++)
		log_job(G_LOG_LEVEL_INFO, "records of an ended job are deleted",
			&o->gc_jobs[i]);
}

static void on_gc_stored(void *ctx, const struct vh_append_reply *r)
{
	struct owner *o = ctx;

	size_t n = o->gc_sent;

	o->pending_calls--;
	o->gc_in_flight = false;
	if (r->result == VH_STORE_INVALID && n > 1)
		o->gc_max_jobs = n / 2;
	if (r->result != VH_STORE_OK)
		return;
	o->n_gc_jobs -= n;
	memmove(o->gc_jobs, o->gc_jobs + n, o->n_gc_jobs * sizeof(*o->gc_jobs));
}

static size_t add_keys(struct vh_record *out, char (*keys)[VH_KEY_BYTES],
		       uint64_t id)
{
	vh_key_format(keys[0], VH_KEY_JOB, id);
	vh_key_format(keys[1], VH_KEY_CANCEL, id);
	out[0].key = vh_slice_str(keys[0]);
	out[1].key = vh_slice_str(keys[1]);
	return 2;
}

static void on_gc_timer(void *ctx)
{
	struct owner *o = ctx;
	struct vh_record records[2 * OWNER_GC_MAX_JOBS] = { 0 };
	char keys[2 * OWNER_GC_MAX_JOBS][VH_KEY_BYTES];
	struct vh_append a = { .topic = VH_TOPIC_JOBS,
			       .records = records,
			       .timeout_ms = GC_APPEND_TIMEOUT_MS };

	vh_timer_start(&o->gc_timer, GC_INTERVAL_MS);
	if (o->gc_in_flight || !owner_may_act(o))
		return;
	take_ended_jobs(o);
	o->gc_sent = MIN(o->n_gc_jobs, o->gc_max_jobs);
	for (size_t i = 0; i < o->gc_sent; i++)
		a.n += add_keys(&records[a.n], &keys[a.n], o->gc_jobs[i].id);
	if (!a.n)
		return;
	o->gc_in_flight = true;
	o->pending_calls++;
	o->ports->store->append(o->ports->store_self, &a, on_gc_stored, o);
}

void owner_gc_init(struct owner *o, const struct vh_store_limits *limits)
{
	o->gc_max_jobs = OWNER_GC_MAX_JOBS;
	if (limits->call_bytes)
		o->gc_max_jobs = CLAMP(limits->call_bytes / JOB_KEYS_BYTES, 1,
				       OWNER_GC_MAX_JOBS);
	vh_timer_init(&o->gc_timer, o->kernel, on_gc_timer, o);
	vh_timer_start(&o->gc_timer, GC_INTERVAL_MS);
}

void owner_gc_finish(struct owner *o)
{
	vh_timer_finish(&o->gc_timer);
}
