#include "owner.h"

#include "keys.h"
#include "owner_priv.h"
#include "vh/log.h"

#define RUN_DELAY_MS 4	   /* after an event, to handle several in one run */
#define RUN_INTERVAL_MS 40 /* from a run that was not interrupted to the next */
/* Part of a lease by which other events may delay a run. A lease is renewed with
 * nearly half of it left, so a run this late still renews it in time. */
#define RUN_LATEST_LEASE_SHARE 0.05
#define FLEET_POLL_INTERVAL_MS 400
#define JOBS_POLL_INTERVAL_MS 250 /* for jobs that other nodes have stored */
#define MAX_JOBS_AGE_MS 1500	  /* with older data, a job may be missing */

void owner_schedule_run(struct owner *o)
{
	if (!run_timer_pending(&o->run_timer) && o->phase != OWNER_ENDED)
		run_timer_start(&o->run_timer, RUN_DELAY_MS);
}

int64_t owner_now_ms(const struct owner *o)
{
	return vh_kernel_now_ms(o->kernel);
}

/* Passes on the stored batch, which releases starts, once the owner may act. */
static void pass_withheld(struct owner *o)
{
	uint64_t batch = o->stored_batch;

	owner_view_update(o);
	if (!owner_may_act(o))
		return;
	o->stored_batch = 0;
	if (batch)
		eng_batch_stored(o->engine, batch, owner_now_ms(o));
}

void owner_batch_stored(struct owner *o)
{
	if (o->phase == OWNER_FENCING) {
		o->phase = OWNER_LOADING;
		/* The former owner may have stored states of jobs until now
		 * that were stored after the jobs were read. */
		topic_reader_refresh(&o->jobs_reader);
		topic_reader_start(&o->state_reader);
		topic_reader_start(&o->fleet_reader);
	}
	pass_withheld(o);
}

static void on_run(void *ctx)
{
	struct owner *o = ctx;
	int64_t now = owner_now_ms(o);
	bool done = true;

	owner_record_loop_delay(o, o->run_timer.delay_ms);
	owner_note_pause(o);
	o->last_run_ms = now;
	pass_withheld(o);
	owner_loading_report(o);
	if (owner_may_act(o)) {
		owner_former_check(o);
		done = eng_schedule(o->engine, owner_now_ms(o));
		if (o->phase == OWNER_ENDED)
			return;
		owner_advice_expire(o);
		owner_update_zone_metrics(o);
		owner_update_usage_metrics(o);
	}
	owner_append_flush(o);
	/* An interrupted run goes on once the events that are ready have been
	 * handled. */
	run_timer_start(&o->run_timer, done ? RUN_INTERVAL_MS : 0);
}

static void maybe_activate(struct owner *o)
{
	char records[24];

	if (o->phase != OWNER_LOADING || !o->fleet_reader.snapshot_read ||
	    !o->jobs_reader.refreshed || !o->state_reader.snapshot_read)
		return;
	if (owner_view_zones_outdated(o)) {
		o->ops.zones_wanted(o->ctx);
		return;
	}
	owner_note_pause(o);
	o->phase = OWNER_ACTIVE;
	o->last_write_ms = owner_now_ms(o);
	owner_loading_end(o);
	eng_recovery_done(o->engine, owner_now_ms(o));
	g_snprintf(records, sizeof(records), "%u", o->n_records_loaded);
	vh_log(G_LOG_LEVEL_INFO, "owner ready", "records", records, NULL);
	owner_gc_check(o);
	owner_schedule_run(o);
}

static void on_fleet_record(void *ctx, const struct vh_record *r)
{
	owner_fleet_record(ctx, r);
}

static void on_fleet_caught_up(void *ctx, int64_t as_of_ms)
{
	(void)as_of_ms;
	maybe_activate(ctx);
	owner_view_update(ctx);
}

static void restore_learned(struct owner *o, struct vh_slice name,
			    struct vh_slice value)
{
	char *text;

	if (eng_learned_restore(o->engine, name, value, owner_now_ms(o)))
		return;
	text = vh_slice_dup(name);
	vh_log(G_LOG_LEVEL_WARNING, "learned record ignored", "name", text,
	       NULL);
	g_free(text);
}

static void on_state_record(void *ctx, const struct vh_record *r)
{
	struct owner *o = ctx;
	struct vh_slice name;
	uint32_t first_task;
	uint64_t id;

	if (vh_key_parse_part(r->key, &id, &first_task)) {
		o->n_records_loaded++;
		eng_job_restore_part(o->engine, id, first_task, r->value,
				     owner_now_ms(o));
	}
	if (vh_key_parse_learned(r->key, &name))
		restore_learned(o, name, r->value);
	if (!vh_key_parse(r->key, VH_KEY_STATE, &id))
		return;
	o->n_records_loaded++;
	eng_job_restore(o->engine, id, r->value, owner_now_ms(o));
}

static void on_state_caught_up(void *ctx, int64_t as_of_ms)
{
	struct owner *o = ctx;

	(void)as_of_ms;
	/* Former owners are fenced, so only this owner writes to the topic,
	 * and it needs no further reads. */
	topic_reader_stop(&o->state_reader);
	maybe_activate(o);
}

void owner_apply_record(struct owner *o, struct vh_slice key,
			struct vh_slice value, const char *way)
{
	struct eng_job_spec *spec;
	uint64_t id;

	if (vh_key_parse(key, VH_KEY_CANCEL, &id) && value.len) {
		owner_view_log_cancellation(o, id, way);
		eng_job_cancel(o->engine, id, owner_now_ms(o));
	} else if (vh_key_parse(key, VH_KEY_JOB, &id) && value.len &&
		   !eng_job_known(o->engine, id)) {
		spec = eng_job_unpack(value);
		if (spec && spec->id == id) {
			eng_job_add(o->engine, spec, owner_now_ms(o),
				    vh_clock_wall_ms(o->kernel->clock));
		} else {
			eng_job_free(spec);
			vh_log(G_LOG_LEVEL_WARNING,
			       "malformed job record ignored", NULL);
		}
	}
	owner_schedule_run(o);
}

static void on_job_record(void *ctx, const struct vh_record *r)
{
	struct owner *o = ctx;

	o->n_records_loaded++;
	owner_admission_record(o, r->key);
	owner_apply_record(o, r->key, r->value, "read");
}

static void on_jobs_caught_up(void *ctx, int64_t as_of_ms)
{
	owner_admission_read(ctx, as_of_ms);
	maybe_activate(ctx);
	owner_view_update(ctx);
}

static void
reader_setup(struct owner *o, struct topic_reader *reader, enum vh_topic topic,
	     void (*on_record)(void *ctx, const struct vh_record *r),
	     void (*on_caught_up)(void *ctx, int64_t as_of_ms))
{
	reader->kernel = o->kernel;
	reader->ports = o->ports;
	reader->topic = topic;
	reader->on_record = on_record;
	reader->on_caught_up = on_caught_up;
	reader->ctx = o;
	reader->stopped = true;
}

struct owner *owner_new(struct vh_kernel *kernel, const struct vh_ports *ports,
			struct peer_server *peer_server,
			const struct owner_settings *settings, uint64_t epoch,
			int64_t former_owner_ms, const struct owner_ops *ops,
			void *ctx)
{
	struct owner *o = g_new0(struct owner, 1);
	struct eng_settings s = settings->engine;

	o->kernel = kernel;
	o->ports = ports;
	o->peer_server = peer_server;
	o->epoch = epoch;
	o->ops = *ops;
	o->ctx = ctx;
	o->last_run_ms = owner_now_ms(o);
	owner_loading_begin(o);
	s.fence = epoch;
	s.former_owner_ms = former_owner_ms;
	o->engine = owner_engine_new(o, &s);
	reader_setup(o, &o->fleet_reader, VH_TOPIC_FLEET, on_fleet_record,
		     on_fleet_caught_up);
	o->fleet_reader.poll_interval_ms = FLEET_POLL_INTERVAL_MS;
	reader_setup(o, &o->state_reader, VH_TOPIC_STATE, on_state_record,
		     on_state_caught_up);
	reader_setup(o, &o->jobs_reader, VH_TOPIC_JOBS, on_job_record,
		     on_jobs_caught_up);
	o->jobs_reader.poll_interval_ms = JOBS_POLL_INTERVAL_MS;
	run_timer_init(&o->run_timer, kernel,
		       (int64_t)(RUN_LATEST_LEASE_SHARE * (double)s.lease_ms),
		       on_run, o);
	owner_append_init(o, &settings->limits);
	owner_view_init(o, settings->max_view_age_ms);
	eng_set_start_limit(o->engine, 0, owner_now_ms(o));
	owner_fleet_init(o);
	owner_advice_init(o);
	owner_gc_init(o, &settings->limits);
	owner_submit_init(o, &settings->limits);
	owner_admission_init(o, settings->admission);
	owner_append_fence(o);
	/* The job states are read only once the store has set the fence, see
	 * owner_batch_stored(). So are the workers: the engine counts the time for
	 * which a former owner may act from their listing, and until the fence
	 * is set, the store still confirms that owner. */
	topic_reader_start(&o->jobs_reader);
	run_timer_start(&o->run_timer, RUN_INTERVAL_MS);
	return o;
}

static bool idle(const struct owner *o)
{
	return !o->pending_calls && writer_idle(&o->writer) &&
	       topic_reader_idle(&o->fleet_reader) &&
	       topic_reader_idle(&o->jobs_reader) &&
	       topic_reader_idle(&o->state_reader);
}

static void free_when_idle(void *ctx)
{
	struct owner *o = ctx;

	if (!idle(o)) {
		run_timer_start(&o->run_timer, RUN_INTERVAL_MS);
		return;
	}
	run_timer_finish(&o->run_timer);
	owner_append_finish(o);
	if (o->fleet_reader.timer.ev)
		topic_reader_finish(&o->fleet_reader);
	if (o->state_reader.timer.ev)
		topic_reader_finish(&o->state_reader);
	if (o->jobs_reader.timer.ev)
		topic_reader_finish(&o->jobs_reader);
	owner_admission_free(o);
	owner_fleet_free(o);
	owner_former_finish(o);
	eng_free(o->engine);
	o->ops.freed(o->ctx);
	g_free(o);
}

bool owner_has_ended(struct owner *o)
{
	return o->phase == OWNER_ENDED;
}

void owner_end(struct owner *o)
{
	owner_clear_zone_metrics(o);
	owner_clear_usage_metrics(o);
	o->phase = OWNER_ENDED;
	owner_loading_end(o);
	peer_server_set_owner(o->peer_server, 0, NULL, NULL);
	if (o->fleet_reader.timer.ev)
		topic_reader_stop(&o->fleet_reader);
	if (o->state_reader.timer.ev)
		topic_reader_stop(&o->state_reader);
	if (o->jobs_reader.timer.ev)
		topic_reader_stop(&o->jobs_reader);
	vh_timer_stop(&o->append_retry_timer);
	owner_gc_finish(o);
	owner_admission_finish(o);
	writer_finish(&o->writer);
	owner_advice_finish(o);
	o->run_timer.fn = free_when_idle;
	run_timer_start(&o->run_timer, RUN_INTERVAL_MS);
}

void owner_set_config(struct owner *o, const struct vh_config_view *config)
{
	eng_set_teams(o->engine, config->teams, config->n_teams);
}

void owner_set_drained_zones(struct owner *o, const struct vh_slice *zones,
			     size_t n, int64_t as_of_ms)
{
	o->zones_as_of_ms = MAX(o->zones_as_of_ms, as_of_ms);
	eng_set_drained_zones(o->engine, zones, n, owner_now_ms(o));
	maybe_activate(o);
	owner_view_update(o);
	owner_schedule_run(o);
}

enum eng_job_status owner_job_status(struct owner *o, uint64_t job, bool *known)
{
	enum eng_job_status s = eng_job_status(o->engine, job);

	*known = o->phase == OWNER_ACTIVE;
	if (s == ENG_UNKNOWN &&
	    topic_reader_age_ms(&o->jobs_reader, owner_now_ms(o)) >
		    MAX_JOBS_AGE_MS)
		*known = false;
	return s;
}

bool owner_pending_jobs(struct owner *o, struct vh_slice queue, size_t *jobs)
{
	*jobs = eng_queue_pending(o->engine, queue);
	/* Other nodes may have stored jobs since they were read. */
	return owner_may_act(o) &&
	       topic_reader_age_ms(&o->jobs_reader, owner_now_ms(o)) <=
		       MAX_JOBS_AGE_MS &&
	       o->jobs_reader.caught_up_ms >= o->woken_ms;
}

bool owner_stats(const struct owner *o, struct eng_stats *out)
{
	eng_stats(o->engine, out);
	return o->phase == OWNER_ACTIVE;
}

int64_t owner_store_health(const struct owner *o, bool *refused,
			   int64_t *refused_sent_ms)
{
	*refused = o->append_refused;
	*refused_sent_ms = o->refused_sent_ms;
	return MAX(MAX(o->fleet_reader.caught_up_ms,
		       o->jobs_reader.caught_up_ms),
		   o->last_write_ms);
}

uint64_t owner_epoch(const struct owner *o)
{
	return o->epoch;
}
