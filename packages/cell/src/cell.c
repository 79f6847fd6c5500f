#include "cell_priv.h"

#include <inttypes.h>

#include "keys.h"
#include "routes.h"
#include "vh/log.h"

#define OBJECTS_POLL_MS 900 /* long-poll time of a configuration read */
/* The same on the owner. Up to two of them and two answers pass until a change that
 * was just missed is known, which must be well within owner_view_limit_ms(). */
#define OBJECTS_OWNER_POLL_MS 450
#define READY_MAX_CONFIG_AGE_MS 2600 /* an older one makes a node not ready */
#define RESPONSE_MARGIN_MS 120	     /* reserved for returning the response */
#define OWNER_TIME_SHARE 0.6 /* share of the timeout given to the owner */
#define TOO_LARGE_WHY "the job is larger than what can be stored"
#define REFUSED_WHY "the backlog is too long for the job to end in time"

void cell_pass_zones(struct vh_cell *c)
{
	struct vh_slice *list;
	size_t n;

	if (!c->owner || !c->zones.known)
		return;
	list = zones_list(&c->zones, &n);
	owner_set_drained_zones(c->owner, list, n,
				c->objects_reader.caught_up_ms);
	g_free(list);
}

static void on_objects_snapshot(void *ctx, bool begins)
{
	struct vh_cell *c = ctx;

	if (begins)
		zones_snapshot_begin(&c->zones);
	else
		zones_snapshot_end(&c->zones);
}

void cell_follow_objects(struct vh_cell *c, bool is_owner)
{
	c->objects_reader.wait_ms =
		is_owner ? OBJECTS_OWNER_POLL_MS : OBJECTS_POLL_MS;
}

/* The set is as of a newer time, even if it has not changed. */
static void on_objects_caught_up(void *ctx, int64_t as_of_ms)
{
	(void)as_of_ms;
	cell_pass_zones(ctx);
}

static void on_objects_record(void *ctx, const struct vh_record *r)
{
	struct vh_cell *c = ctx;
	struct vh_config_view *v;
	char version[24];

	if (zones_apply(&c->zones, c->ports->decode, r))
		cell_pass_zones(c);
	v = c->ports->decode->config(r->key, r->value);

	if (!v)
		return;
	if (c->config_view && v->version <= c->config_view->version) {
		vh_config_view_free(v);
		return;
	}
	g_snprintf(version, sizeof(version), "%" PRIu64, v->version);
	vh_log(G_LOG_LEVEL_INFO, "configuration in force", "version", version,
	       NULL);
	vh_config_view_free(c->config_view);
	c->config_view = v;
	if (c->owner)
		owner_set_config(c->owner, v);
}

static bool start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_cell *c = self;

	(void)kernel;
	if (!ownership_start(c, err))
		return false;
	topic_reader_start(&c->objects_reader);
	return true;
}

static void stop(void *self)
{
	struct vh_cell *c = self;

	ownership_stop(c);
	topic_reader_stop(&c->objects_reader);
	writer_finish(&c->writer);
}

/* The largest value of a record with one of the cell's keys; 0: not known. */
static size_t largest_value(const struct vh_store_limits *limits)
{
	const size_t beside = VH_RECORD_OVERHEAD + VH_KEY_BYTES;

	return limits->record_bytes > beside ? limits->record_bytes - beside
					     : 0;
}

struct vh_cell *vh_cell_new(const struct vh_cell_settings *settings,
			    const struct vh_ports *ports,
			    struct vh_kernel *kernel)
{
	struct vh_cell *c = g_new0(struct vh_cell, 1);

	c->kernel = kernel;
	c->ports = ports;
	c->name = vh_slice_dup(settings->name);
	c->peer_address = vh_slice_dup(settings->peer_address);
	c->max_config_age_ms = settings->max_config_age_ms;
	c->cpu_share_milli = settings->cpu_share_milli;
	c->owner_settings.engine = settings->engine;
	c->owner_settings.admission = settings->admission;
	c->owner_settings.limits = settings->limits;
	c->owner_settings.engine.record_bytes =
		largest_value(&settings->limits);
	c->owner_settings.max_view_age_ms = settings->max_view_age_ms;
	c->incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
	c->objects_reader.kernel = kernel;
	c->objects_reader.ports = ports;
	c->objects_reader.topic = VH_TOPIC_OBJECTS;
	cell_follow_objects(c, false);
	c->objects_reader.on_record = on_objects_record;
	c->objects_reader.on_snapshot = on_objects_snapshot;
	c->objects_reader.on_caught_up = on_objects_caught_up;
	zones_init(&c->zones);
	c->objects_reader.ctx = c;
	ownership_init(c);
	writer_init(&c->writer, kernel, ports, VH_TOPIC_JOBS,
		    &settings->limits);
	c->service.name = "cell";
	c->service.self = c;
	c->service.start = start;
	c->service.stop = stop;
	return c;
}

bool vh_cell_idle(const struct vh_cell *c)
{
	return writer_idle(&c->writer) && ownership_idle(c) &&
	       topic_reader_idle(&c->objects_reader);
}

void vh_cell_free(struct vh_cell *c)
{
	ownership_finish(c);
	topic_reader_finish(&c->objects_reader);
	vh_config_view_free(c->config_view);
	zones_finish(&c->zones);
	g_free(c->recorded_owner.node);
	g_free(c->name);
	g_free(c->peer_address);
	g_free(c);
}

struct vh_service *vh_cell_service(struct vh_cell *c)
{
	return &c->service;
}

static int64_t config_age_ms(const struct vh_cell *c)
{
	return topic_reader_age_ms(&c->objects_reader,
				   vh_kernel_now_ms(c->kernel));
}

bool vh_cell_ready(const struct vh_cell *c)
{
	return c->config_view && !c->leaving &&
	       config_age_ms(c) < READY_MAX_CONFIG_AGE_MS;
}

enum vh_err vh_cell_route(const struct vh_cell *c, struct vh_slice host,
			  struct vh_slice path, struct vh_slice key,
			  struct vh_cell_route *out)
{
	const struct eng_team *team;

	memset(out, 0, sizeof(*out));
	if (!c->config_view || config_age_ms(c) > c->max_config_age_ms)
		return VH_ERR_NOT_READY;
	out->queue = routes_find(c->config_view, host, path);
	if (!out->queue)
		return VH_ERR_NOT_FOUND;
	out->max_body_bytes = c->config_view->max_body_bytes;
	out->rest = vh_slice(path.data + out->queue->prefix.len,
			     path.len - out->queue->prefix.len);
	if (out->queue->allow_anonymous)
		return VH_OK;
	team = routes_find_team(c->config_view, key);
	if (!team)
		return VH_ERR_UNAUTHENTICATED;
	out->team = team->name;
	return VH_OK;
}

/*
 * A caller's record that is being stored.
 * @way: who stores it, for log lines: "here" (this node is the owner), "owner" or
 *	 "direct"
 */
struct caller_write {
	struct vh_cell *cell;
	char kind;
	uint64_t id;
	const char *way;
	struct vh_buf key;
	struct vh_buf value;
	int64_t deadline_ms;
	void (*done)(void *ctx, enum vh_err err, const char *why,
		     int retry_after_s);
	void *ctx;
};

static void log_cancellation(const struct caller_write *w, enum vh_err err)
{
	char job[20];

	g_snprintf(job, sizeof(job), "%016" PRIx64, w->id);
	vh_log(G_LOG_LEVEL_INFO, "cancellation answered", "job", job, "way",
	       w->way, "result", vh_err_info(err)->name, NULL);
}

static void caller_write_end(struct caller_write *w, enum vh_err err,
			     const char *why, int retry_after_s)
{
	if (w->kind == VH_KEY_CANCEL)
		log_cancellation(w, err);
	w->done(w->ctx, err, why, retry_after_s);
	vh_buf_finish(&w->key);
	vh_buf_finish(&w->value);
	g_free(w);
}

static void on_written(void *ctx, enum write_outcome outcome)
{
	static const enum vh_err errs[] = {
		[WRITE_STORED] = VH_OK,
		[WRITE_NOT_SENT] = VH_ERR_STORE_SILENT,
		[WRITE_UNKNOWN] = VH_ERR_TIMEOUT,
		[WRITE_REJECTED] = VH_ERR_STORE_SILENT,
		[WRITE_INVALID] = VH_ERR_BAD_REQUEST,
	};

	caller_write_end(ctx, errs[outcome],
			 outcome == WRITE_INVALID ? TOO_LARGE_WHY : "", 0);
}

/* Ends the write of a record that the owner has refused. */
static void on_refused(struct caller_write *w, uint64_t outcome)
{
	int retry_after_s =
		(int)MIN(outcome - WIRE_SUBMIT_REFUSED, ADMISSION_RETRY_MAX_S);

	caller_write_end(w, VH_ERR_RATE_LIMITED, REFUSED_WHY, retry_after_s);
}

static void on_written_directly(void *ctx, enum write_outcome outcome)
{
	struct vh_cell *c = ((struct caller_write *)ctx)->cell;

	c->last_direct_ms = vh_kernel_now_ms(c->kernel);
	on_written(ctx, outcome);
}

static void write_directly(struct caller_write *w, bool maybe_stored)
{
	struct vh_cell *c = w->cell;

	c->last_direct_ms = vh_kernel_now_ms(c->kernel);
	w->way = "direct";
	writer_add(&c->writer, vh_buf_slice(&w->key), vh_buf_slice(&w->value),
		   w->deadline_ms, maybe_stored, on_written_directly, w);
}

/* This node is the owner. */
static void on_submitted_here(void *ctx, bool known, uint64_t outcome)
{
	(void)known;
	if (outcome > WIRE_SUBMIT_REFUSED)
		on_refused(ctx, outcome);
	else
		on_written(ctx, (enum write_outcome)outcome);
}

/*
 * Handles the owner's reply to a submitted record. This node writes the record
 * itself if the owner did not reply, in which case the record may already be
 * stored, or if the store refused the owner's write, since the store may still
 * accept writes from this node.
 */
static void on_submitted(void *ctx, bool known, uint64_t outcome)
{
	struct caller_write *w = ctx;
	bool rejected = known && outcome == WRITE_REJECTED;

	if (known && outcome > WIRE_SUBMIT_REFUSED)
		on_refused(w, outcome);
	else if (known &&
		 (outcome < WRITE_REJECTED || outcome == WRITE_INVALID))
		on_written(w, (enum write_outcome)outcome);
	else
		write_directly(w, !rejected);
}

static void store_record(struct vh_cell *c, char kind, uint64_t id,
			 struct vh_slice value, int64_t timeout_ms,
			 bool may_refuse,
			 void (*done)(void *ctx, enum vh_err err,
				      const char *why, int retry_after_s),
			 void *ctx)
{
	struct caller_write *w = g_new0(struct caller_write, 1);
	int64_t budget_ms = timeout_ms - RESPONSE_MARGIN_MS;
	char key[VH_KEY_BYTES];
	struct vh_slice k;

	w->cell = c;
	w->kind = kind;
	w->id = id;
	w->way = c->owner ? "here" : "owner";
	w->deadline_ms = vh_kernel_now_ms(c->kernel) + budget_ms;
	w->done = done;
	w->ctx = ctx;
	vh_key_format(key, kind, id);
	k = vh_slice_str(key);
	vh_buf_add_slice(&w->key, k);
	vh_buf_add_slice(&w->value, value);
	if (c->owner && owner_accepts_submits(c->owner))
		owner_submit(c->owner, k, value, budget_ms, may_refuse,
			     on_submitted_here, w);
	else if (!c->owner && owner_client_usable(&c->owner_client))
		owner_client_submit(
			&c->owner_client, k, value,
			(int64_t)((double)budget_ms * OWNER_TIME_SHARE),
			may_refuse, on_submitted, w);
	else
		write_directly(w, false);
}

/* This node stores jobs without the owner, or did so lately. */
static bool wrote_directly(const struct vh_cell *c)
{
	if (c->writer.waiting.length || c->writer.sent.length)
		return true;
	return c->last_direct_ms &&
	       vh_kernel_now_ms(c->kernel) - c->last_direct_ms <
		       ADMISSION_SUSPENDED_MS;
}

/*
 * Whether the owner is asked for a decision. It alone can refuse a job, but only
 * if this node has not stored records without it lately, and if its view, where
 * it is not stale, shows a load at which it may want to: the team is taken to be
 * beyond its share, which only the owner knows.
 */
static bool may_refuse(const struct vh_cell *c, const struct eng_job_spec *spec)
{
	const struct eng_load *view = &c->owner_client.load;
	struct admission_job job = { .id = spec->id,
				     .queue = spec->queue,
				     .team = spec->team,
				     .over_share = true };
	int64_t wait_ms;

	if (!c->owner_settings.admission || wrote_directly(c))
		return false;
	if (c->owner)
		return true;
	if (!admission_view_usable(view->at_ms,
				   vh_clock_wall_ms(c->kernel->clock)))
		return false;
	job.size = eng_job_measure(spec);
	return admission_excess_ms(view, &job, &wait_ms) > 0;
}

static bool too_large(const struct vh_cell *c, struct vh_slice value)
{
	size_t max = largest_value(&c->owner_settings.limits);

	return max && value.len > max;
}

void vh_cell_submit(struct vh_cell *c, const struct vh_cell_route *route,
		    struct eng_job_spec *spec, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, const char *why,
				 int retry_after_s),
		    void *ctx)
{
	const struct vh_queue_config *q = route->queue;
	const char *problem = eng_job_validate(spec);
	struct vh_buf bytes;

	if (problem) {
		done(ctx, VH_ERR_BAD_REQUEST, problem, 0);
		return;
	}
	spec->queue = q->name;
	spec->service = q->service;
	spec->team = route->team;
	spec->priority = q->priority;
	spec->max_attempts = q->max_attempts;
	spec->stretch = q->stretch;
	spec->target_ms = q->target_ms;
	spec->advice = q->advice;
	spec->received_ms = vh_clock_wall_ms(c->kernel->clock);
	vh_buf_init(&bytes);
	eng_job_pack(spec, &bytes);
	if (too_large(c, vh_buf_slice(&bytes))) {
		vh_buf_finish(&bytes);
		done(ctx, VH_ERR_BAD_REQUEST, TOO_LARGE_WHY, 0);
		return;
	}
	store_record(c, VH_KEY_JOB, spec->id, vh_buf_slice(&bytes), timeout_ms,
		     may_refuse(c, spec), done, ctx);
	vh_buf_finish(&bytes);
}

void vh_cell_cancel(struct vh_cell *c, uint64_t id, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, const char *why,
				 int retry_after_s),
		    void *ctx)
{
	store_record(c, VH_KEY_CANCEL, id, vh_slice_str("1"), timeout_ms, false,
		     done, ctx);
}

/* A pending query to the owner. */
struct owner_query {
	void (*done)(void *ctx, enum vh_err err, uint64_t value);
	void *ctx;
};

static void on_owner_reply(void *ctx, bool known, uint64_t value)
{
	struct owner_query *q = ctx;

	q->done(q->ctx, known ? VH_OK : VH_ERR_NOT_READY, value);
	g_free(q);
}

static struct owner_query *
owner_query_new(void (*done)(void *ctx, enum vh_err err, uint64_t value),
		void *ctx)
{
	struct owner_query *q = g_new0(struct owner_query, 1);

	q->done = done;
	q->ctx = ctx;
	return q;
}

void vh_cell_status(struct vh_cell *c, uint64_t id, int64_t timeout_ms,
		    void (*done)(void *ctx, enum vh_err err, uint64_t status),
		    void *ctx)
{
	enum eng_job_status s;
	bool known;

	if (!c->owner) {
		owner_client_job_status(&c->owner_client, id,
					timeout_ms - RESPONSE_MARGIN_MS,
					on_owner_reply,
					owner_query_new(done, ctx));
		return;
	}
	s = owner_job_status(c->owner, id, &known);
	done(ctx, known ? VH_OK : VH_ERR_NOT_READY, s);
}

void vh_cell_pending_jobs(struct vh_cell *c, const struct vh_cell_route *route,
			  int64_t timeout_ms,
			  void (*done)(void *ctx, enum vh_err err,
				       uint64_t jobs),
			  void *ctx)
{
	size_t jobs = 0;
	bool known;

	if (!c->owner) {
		owner_client_pending_jobs(&c->owner_client, route->queue->name,
					  timeout_ms - RESPONSE_MARGIN_MS,
					  on_owner_reply,
					  owner_query_new(done, ctx));
		return;
	}
	known = owner_pending_jobs(c->owner, route->queue->name, &jobs);
	done(ctx, known ? VH_OK : VH_ERR_NOT_READY, jobs);
}
