#include "owner.h"

#include "keys.h"
#include "owner_priv.h"
#include "vh/log.h"

#define RUN_SOON_MS 4	   /* after an event, so that several share a run */
#define RUN_REST 3	   /* times a run's length until the next one */
#define TICK_MS 40	   /* between runs without events */
#define FLEET_PAUSE_MS 400 /* between two readings of the fleet's list */
#define JOBS_PAUSE_MS 250  /* for jobs that other nodes stored themselves */
#define PULSE_MS 500	   /* an owner writes at least this often */
#define APPEND_TIMEOUT_MS 900
#define APPEND_RETRY_MS 60
#define APPEND_REFUSED_MS 450 /* one that failed sooner was turned away */
#define FROZEN_MS 900	      /* a loop that stood still so long */
#define JOBS_AGE_MOST_MS 1500 /* older: a job may exist that is not known */

void owner_schedule_run(struct lead *l)
{
	if (!vh_timer_pending(&l->run) && l->phase != OWNER_ENDED)
		vh_timer_start(&l->run,
			       MAX(RUN_SOON_MS, RUN_REST * l->run_duration_ms));
}

int64_t owner_now_ms(const struct lead *l)
{
	return vh_kernel_now_ms(l->kernel);
}

static void gave_up(struct lead *l, const char *why)
{
	if (l->phase == OWNER_ENDED)
		return;
	l->ops.gave_up(l->ctx, why);
}

static void append_send(struct lead *l);

static void append_done(struct lead *l)
{
	if (l->failures)
		vh_log(G_LOG_LEVEL_INFO, "state is stored again", NULL);
	l->failures = 0;
	l->refused = false;
	l->append_in_flight = false;
	l->last_write_ms = owner_now_ms(l);
	owner_record_append_time(l, l->last_write_ms - l->append_sent_ms);
	l->ops.proved(l->ctx, l->append_sent_ms);
	l->awaiting_store = false;
	if (l->phase == OWNER_FENCING) {
		l->phase = OWNER_LOADING;
		topic_reader_start(&l->state);
	}
	if (l->batch)
		eng_batch_stored(l->engine, l->batch, owner_now_ms(l));
	l->batch = 0;
	eng_records_free(l->records, l->n_records);
	l->records = NULL;
	l->n_records = 0;
	owner_schedule_run(l);
}

static void on_append(void *ctx, const struct vh_append_reply *r)
{
	struct lead *l = ctx;

	l->calls--;
	if (owner_has_ended(l))
		return;
	switch (r->result) {
	case VH_STORE_OK:
		append_done(l);
		return;
	case VH_STORE_BAD_SEQUENCE:
		if (r->expected == l->sequence + 1) {
			append_done(l); /* an earlier try was stored */
			return;
		}
		gave_up(l, "another writer used this epoch");
		return;
	case VH_STORE_FENCED:
		gave_up(l, "the store knows a newer owner");
		return;
	default:
		l->refused =
			owner_now_ms(l) - l->append_sent_ms < APPEND_REFUSED_MS;
		if (!l->failures++)
			vh_log(G_LOG_LEVEL_WARNING, "state cannot be stored",
			       NULL);
		vh_timer_start(&l->retry, APPEND_RETRY_MS);
	}
}

static void append_send(struct lead *l)
{
	struct vh_append a = { .topic = VH_TOPIC_STATE,
			       .epoch = l->epoch,
			       .sequence = l->sequence,
			       .timeout_ms = APPEND_TIMEOUT_MS };
	struct vh_record *out = g_new0(struct vh_record, l->n_records + 1);
	char(*keys)[VH_KEY_BYTES] =
		g_malloc0((l->n_records + 1) * VH_KEY_BYTES);

	for (size_t i = 0; i < l->n_records; i++) {
		vh_key_format(keys[i], VH_KEY_STATE, l->records[i].job);
		out[i].key = vh_slice_str(keys[i]);
		out[i].value = vh_buf_slice(&l->records[i].bytes);
	}
	a.n = l->n_records;
	if (!a.n && l->phase != OWNER_FENCING) {
		out[0].key = vh_slice_str(VH_KEY_HEARTBEAT);
		out[0].value = vh_slice_str("1");
		a.n = 1;
	}
	a.records = out;
	l->append_sent_ms = owner_now_ms(l);
	l->calls++;
	l->ports->store->append(l->ports->store_self, &a, on_append, l);
	g_free(out);
	g_free(keys);
}

static void on_retry(void *ctx)
{
	append_send(ctx);
}

/* Stores what has changed, or that this owner is still there. */
static void flush(struct lead *l)
{
	if (l->append_in_flight || l->phase == OWNER_ENDED)
		return;
	/* Others see by these writes that the cell has an owner. */
	if (l->phase == OWNER_ACTIVE)
		l->batch = eng_flush(l->engine, &l->records, &l->n_records);
	if (!l->batch && owner_now_ms(l) - l->last_write_ms < PULSE_MS &&
	    !l->awaiting_store)
		return;
	l->append_in_flight = true;
	l->sequence++;
	append_send(l);
}

static void on_run(void *ctx)
{
	struct lead *l = ctx;
	int64_t now = owner_now_ms(l);

	if (now - l->last_run_ms > FROZEN_MS && l->phase == OWNER_ACTIVE) {
		/* Another may own the cell by now: ask the store first. */
		l->awaiting_store = true;
		vh_log(G_LOG_LEVEL_WARNING, "owner stood still", NULL);
	}
	l->last_run_ms = now;
	if (l->phase == OWNER_ACTIVE && !l->awaiting_store) {
		eng_schedule(l->engine, now);
		if (l->phase == OWNER_ENDED)
			return;
		owner_advice_expire(l);
		l->run_duration_ms = owner_now_ms(l) - now;
	}
	flush(l);
	vh_timer_start(&l->run, TICK_MS);
}

static void maybe_ready(struct lead *l)
{
	char jobs[24];

	if (l->phase != OWNER_LOADING || !l->fleet.loaded || !l->jobs.loaded ||
	    !l->state.loaded)
		return;
	l->phase = OWNER_ACTIVE;
	l->last_run_ms = owner_now_ms(l);
	l->last_write_ms = l->last_run_ms;
	eng_recovery_done(l->engine, l->last_run_ms);
	g_snprintf(jobs, sizeof(jobs), "%u", l->n_loaded);
	vh_log(G_LOG_LEVEL_INFO, "owner ready", "records", jobs, NULL);
	owner_schedule_run(l);
}

static void on_fleet_record(void *ctx, const struct vh_record *r)
{
	struct lead *l = ctx;
	GStringChunk *scratch;
	struct eng_worker_info info = { 0 };

	scratch = g_string_chunk_new(512);
	if (l->ports->decode->worker(r->key, r->value, &info, scratch))
		eng_worker_listed(l->engine, &info, owner_now_ms(l));
	else
		eng_worker_unlisted(l->engine, r->key, owner_now_ms(l));
	g_string_chunk_free(scratch);
}

static void on_fleet_fresh(void *ctx, int64_t as_of_ms)
{
	(void)as_of_ms;
	maybe_ready(ctx);
}

static void on_state_record(void *ctx, const struct vh_record *r)
{
	struct lead *l = ctx;
	uint64_t id;

	if (!vh_key_parse(r->key, VH_KEY_STATE, &id))
		return;
	l->n_loaded++;
	eng_job_restore(l->engine, id, r->value, owner_now_ms(l));
}

static void on_state_fresh(void *ctx, int64_t as_of_ms)
{
	struct lead *l = ctx;

	(void)as_of_ms;
	/* Nobody else writes there from the fence on. */
	topic_reader_stop(&l->state);
	maybe_ready(l);
}

void owner_apply_record(struct lead *l, struct vh_slice key,
			struct vh_slice value)
{
	struct eng_job_spec *spec;
	uint64_t id;

	if (vh_key_parse(key, VH_KEY_CANCEL, &id) && value.len) {
		eng_job_cancel(l->engine, id, owner_now_ms(l));
	} else if (vh_key_parse(key, VH_KEY_JOB, &id) && value.len &&
		   !eng_job_known(l->engine, id)) {
		spec = eng_job_unpack(value);
		if (spec && spec->id == id) {
			eng_job_add(l->engine, spec, owner_now_ms(l),
				    vh_clock_wall_ms(l->kernel->clock));
		} else {
			eng_job_free(spec);
			vh_log(G_LOG_LEVEL_WARNING, "unreadable job record",
			       NULL);
		}
	}
	owner_schedule_run(l);
}

static void on_job_record(void *ctx, const struct vh_record *r)
{
	struct lead *l = ctx;

	l->n_loaded++;
	owner_apply_record(l, r->key, r->value);
}

static void on_job_fresh(void *ctx, int64_t as_of_ms)
{
	(void)as_of_ms;
	maybe_ready(ctx);
}

static void follow_setup(struct lead *l, struct topic_reader *f,
			 enum vh_topic topic,
			 void (*record)(void *ctx, const struct vh_record *r),
			 void (*fresh)(void *ctx, int64_t as_of_ms))
{
	f->kernel = l->kernel;
	f->ports = l->ports;
	f->topic = topic;
	f->record = record;
	f->fresh = fresh;
	f->ctx = l;
	f->stopped = true;
}

struct lead *owner_new(struct vh_kernel *kernel, const struct vh_ports *ports,
		       struct hub *hub, const struct owner_settings *settings,
		       uint64_t epoch, int64_t former_owner_ms,
		       const struct owner_ops *ops, void *ctx)
{
	struct lead *l = g_new0(struct lead, 1);
	struct eng_settings s = settings->engine;

	l->kernel = kernel;
	l->ports = ports;
	l->hub = hub;
	l->epoch = epoch;
	l->ops = *ops;
	l->ctx = ctx;
	s.fence = epoch;
	s.former_owner_ms = former_owner_ms;
	l->engine = owner_engine_new(l, &s);
	follow_setup(l, &l->fleet, VH_TOPIC_FLEET, on_fleet_record,
		     on_fleet_fresh);
	l->fleet.pause_ms = FLEET_PAUSE_MS;
	follow_setup(l, &l->state, VH_TOPIC_STATE, on_state_record,
		     on_state_fresh);
	follow_setup(l, &l->jobs, VH_TOPIC_JOBS, on_job_record, on_job_fresh);
	l->jobs.pause_ms = JOBS_PAUSE_MS;
	vh_timer_init(&l->run, kernel, on_run, l);
	vh_timer_init(&l->retry, kernel, on_retry, l);
	owner_advice_init(l);
	owner_gc_init(l);
	owner_submit_init(l);
	l->append_in_flight = true;
	append_send(l);
	/* The state is read behind the fence; what is not fenced, at once. */
	topic_reader_start(&l->fleet);
	topic_reader_start(&l->jobs);
	vh_timer_start(&l->run, TICK_MS);
	l->last_run_ms = owner_now_ms(l);
	return l;
}

static bool idle(const struct lead *l)
{
	return !l->calls && writer_idle(&l->writer) &&
	       topic_reader_idle(&l->fleet) && topic_reader_idle(&l->jobs) &&
	       topic_reader_idle(&l->state);
}

static void reap(void *ctx)
{
	struct lead *l = ctx;

	if (!idle(l)) {
		vh_timer_start(&l->run, TICK_MS);
		return;
	}
	vh_timer_finish(&l->run);
	vh_timer_finish(&l->retry);
	if (l->fleet.timer.ev)
		topic_reader_finish(&l->fleet);
	if (l->state.timer.ev)
		topic_reader_finish(&l->state);
	if (l->jobs.timer.ev)
		topic_reader_finish(&l->jobs);
	eng_free(l->engine);
	eng_records_free(l->records, l->n_records);
	l->ops.freed(l->ctx);
	g_free(l);
}

bool owner_has_ended(struct lead *l)
{
	return l->phase == OWNER_ENDED;
}

void owner_end(struct lead *l)
{
	l->phase = OWNER_ENDED;
	peer_server_set_owner(l->hub, 0, NULL, NULL);
	if (l->fleet.timer.ev)
		topic_reader_stop(&l->fleet);
	if (l->state.timer.ev)
		topic_reader_stop(&l->state);
	if (l->jobs.timer.ev)
		topic_reader_stop(&l->jobs);
	vh_timer_stop(&l->retry);
	owner_gc_finish(l);
	writer_finish(&l->writer);
	owner_advice_finish(l);
	l->run.fn = reap;
	vh_timer_start(&l->run, TICK_MS);
}

void owner_set_config(struct lead *l, const struct vh_config_view *view)
{
	eng_set_teams(l->engine, view->teams, view->n_teams);
}

enum eng_job_status owner_job_status(struct lead *l, uint64_t job, bool *known)
{
	enum eng_job_status s = eng_job_status(l->engine, job);

	*known = l->phase == OWNER_ACTIVE;
	if (s == ENG_UNKNOWN &&
	    topic_reader_age_ms(&l->jobs, owner_now_ms(l)) > JOBS_AGE_MOST_MS)
		*known = false;
	return s;
}

bool owner_pending_jobs(struct lead *l, struct vh_slice queue, size_t *jobs)
{
	*jobs = eng_queue_pending(l->engine, queue);
	return l->phase == OWNER_ACTIVE;
}

bool owner_stats(const struct lead *l, struct eng_stats *out)
{
	eng_stats(l->engine, out);
	return l->phase == OWNER_ACTIVE;
}

int64_t owner_store_health(const struct lead *l, bool *refused)
{
	*refused = l->refused;
	return MAX(MAX(l->fleet.fresh_ms, l->jobs.fresh_ms), l->last_write_ms);
}

uint64_t owner_epoch(const struct lead *l)
{
	return l->epoch;
}
