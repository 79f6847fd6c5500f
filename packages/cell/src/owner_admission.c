#include "owner_priv.h"

#include <inttypes.h>

#include "admission_view.h"
#include "keys.h"
#include "vh/log.h"

/*
 * The owner's part of admission control: it alone refuses a job, since it alone
 * knows which jobs are stored. See docs/design/admission.md.
 */
#define VIEW_INTERVAL_MS 250
#define LOAD_MAX_AGE_MS 100  /* an older load is computed anew */
#define VIEW_MIN_WAIT_MS 200 /* below, the nodes are told nothing */
#define HOLD_MAX_MS 1000     /* a refusal that waits longer is an acceptance */
#define HELD_MAX 4096
#define LOG_LINES_PER_S 20
#define US_PER_MS 1000

/* An accepted job that the engine does not know yet. */
struct storing_job {
	uint64_t id;
	unsigned int submissions;
	char *queue;
	int64_t work;
	bool over_share;
};

/* A job that is to be refused once the topic of jobs was read again. */
struct held_job {
	struct admission_job job;
	struct eng_job_spec *spec;
	int64_t excess_ms;
	int64_t wait_ms;
	int64_t view_age_ms;
	int64_t held_ms;
	int64_t deadline_ms;
	void (*done)(void *ctx, int retry_after_s);
	void *ctx;
};

static void storing_job_free(gpointer p)
{
	struct storing_job *s = p;

	g_free(s->queue);
	g_free(s);
}

static void add_work(struct eng_load *load, const struct storing_job *s)
{
	struct eng_queue_load *q = eng_load_find(load, vh_slice_str(s->queue));

	/* Without other waiting work, a job of the queue is not refused. */
	if (!q)
		return;
	if (s->over_share)
		q->over_work += s->work;
	else
		q->work += s->work;
}

/* Jobs on their way to the engine count, or all of a burst would be accepted. */
static void refresh_load(struct owner *o, int64_t now_ms, int64_t max_age_ms)
{
	struct owner_admission *a = &o->admission;
	GHashTableIter it;
	gpointer s;

	if (a->load.at_ms && now_ms - a->load.at_ms <= max_age_ms)
		return;
	eng_load_compute(o->engine, &a->load, now_ms);
	g_hash_table_iter_init(&it, a->storing);
	while (g_hash_table_iter_next(&it, NULL, &s)) {
		if (!eng_job_known(o->engine, ((struct storing_job *)s)->id))
			add_work(&a->load, s);
	}
}

/* Jobs may be on their way to the store that this owner has not heard of. */
static void check_knowledge(struct owner *o, int64_t now_ms)
{
	struct owner_admission *a = &o->admission;

	if (!owner_may_act(o) || !a->was_active)
		admission_suspend(&a->state, now_ms);
	a->was_active = o->phase == OWNER_ACTIVE;
}

static bool maybe_stored(const struct owner *o, uint64_t id)
{
	return eng_job_known(o->engine, id) ||
	       g_hash_table_contains(o->admission.storing, &id);
}

static void accept_job(struct owner *o, const struct admission_job *job,
		       void (*done)(void *ctx, int retry_after_s), void *ctx)
{
	struct owner_admission *a = &o->admission;
	struct storing_job *s = g_hash_table_lookup(a->storing, &job->id);

	if (!s) {
		s = g_new0(struct storing_job, 1);
		s->id = job->id;
		s->queue = vh_slice_dup(job->queue);
		s->work = job->size.work;
		s->over_share = job->over_share;
		g_hash_table_insert(a->storing, &s->id, s);
		add_work(&a->load, s);
		admission_note_accepted(&a->state, job, owner_now_ms(o));
	}
	s->submissions++;
	done(ctx, 0);
}

static void log_refusal(struct owner *o, const struct held_job *h,
			int retry_after_s)
{
	struct owner_admission *a = &o->admission;
	int64_t second = owner_now_ms(o) / 1000;
	char id[20];
	char wait[24];
	char retry[12];
	char age[24];
	char skipped[24];
	char *queue;
	char *team;

	if (second != a->log_second) {
		a->log_second = second;
		a->log_lines = 0;
	}
	if (++a->log_lines > LOG_LINES_PER_S) {
		a->log_skipped++;
		return;
	}
	queue = vh_slice_dup(h->job.queue);
	team = vh_slice_dup(h->job.team);
	g_snprintf(id, sizeof(id), "%016" PRIx64, h->job.id);
	g_snprintf(wait, sizeof(wait), "%" PRId64, h->wait_ms);
	g_snprintf(retry, sizeof(retry), "%d", retry_after_s);
	g_snprintf(age, sizeof(age), "%" PRId64, h->view_age_ms);
	g_snprintf(skipped, sizeof(skipped), "%" PRIu64, a->log_skipped);
	vh_log(G_LOG_LEVEL_INFO, "job refused", "job", id, "queue", queue,
	       "team", team, "wait_ms", wait, "retry_after_s", retry,
	       "over_share", h->job.over_share ? "1" : "0", "view_age_ms", age,
	       "lines_skipped", skipped, NULL);
	a->log_skipped = 0;
	g_free(queue);
	g_free(team);
}

static void count_refusal(struct owner *o, const struct held_job *h)
{
	struct vh_metrics *m = &o->kernel->metrics;
	char labels[2 * ENG_NAME_MAX + 32];

	g_snprintf(labels, sizeof(labels), "team=\"%.*s\",queue=\"%.*s\"",
		   VH_SLICE_ARGS(h->job.team), VH_SLICE_ARGS(h->job.queue));
	++*vh_metrics_counter(m, "vh_admission_refused_total", labels);
}

static void record_wait(struct owner *o, const struct admission_job *job,
			int64_t wait_ms)
{
	char labels[ENG_NAME_MAX + 16];

	g_snprintf(labels, sizeof(labels), "queue=\"%.*s\"",
		   VH_SLICE_ARGS(job->queue));
	vh_histogram_add(vh_metrics_histogram(&o->kernel->metrics,
					      "vh_admission_wait_seconds",
					      labels),
			 (uint64_t)wait_ms * US_PER_MS);
}

static bool is_held(const struct owner *o, uint64_t id)
{
	for (GList *l = o->admission.held.head; l; l = l->next) {
		if (((struct held_job *)l->data)->job.id == id)
			return true;
	}
	return false;
}

static void refuse_or_accept(struct owner *o, struct held_job *h, bool refuse)
{
	struct owner_admission *a = &o->admission;
	int64_t now = owner_now_ms(o);
	int retry_after_s;

	if (!refuse || maybe_stored(o, h->job.id) ||
	    !admission_may_refuse(&a->state, &a->load, &h->job, now)) {
		accept_job(o, &h->job, h->done, h->ctx);
	} else {
		retry_after_s =
			admission_refuse(&a->state, &h->job, h->excess_ms, now);
		log_refusal(o, h, retry_after_s);
		count_refusal(o, h);
		h->done(h->ctx, retry_after_s);
	}
	eng_job_free(h->spec);
	g_free(h);
}

/* Resolves the jobs that were held before @as_of_ms, and those whose time is
 * up: these are accepted. */
static void resolve_held(struct owner *o, int64_t as_of_ms)
{
	GQueue *held = &o->admission.held;
	int64_t now = owner_now_ms(o);

	for (guint n = held->length; n; n--) {
		struct held_job *h = g_queue_pop_head(held);

		if (h->held_ms <= as_of_ms)
			refuse_or_accept(o, h, true);
		else if (h->deadline_ms <= now)
			refuse_or_accept(o, h, false);
		else
			g_queue_push_tail(held, h);
	}
}

static void hold(struct owner *o, const struct admission_job *job,
		 struct eng_job_spec *spec, int64_t excess_ms, int64_t wait_ms,
		 int64_t timeout_ms, void (*done)(void *ctx, int retry_after_s),
		 void *ctx)
{
	struct held_job *h = g_new0(struct held_job, 1);
	int64_t now = owner_now_ms(o);

	h->job = *job;
	h->spec = spec;
	h->excess_ms = excess_ms;
	h->wait_ms = wait_ms;
	h->view_age_ms = now - o->admission.load.at_ms;
	h->held_ms = now;
	h->deadline_ms = now + MIN(timeout_ms / 2, HOLD_MAX_MS);
	h->done = done;
	h->ctx = ctx;
	g_queue_push_tail(&o->admission.held, h);
}

void owner_admission_ask(struct owner *o, struct vh_slice key,
			 struct vh_slice value, int64_t timeout_ms,
			 bool may_refuse,
			 void (*done)(void *ctx, int retry_after_s), void *ctx)
{
	struct owner_admission *a = &o->admission;
	struct eng_job_spec *spec = NULL;
	struct admission_job job = { 0 };
	int64_t now = owner_now_ms(o);
	int64_t excess_ms;
	int64_t wait_ms;

	if (a->enabled && vh_key_parse(key, VH_KEY_JOB, &job.id))
		spec = eng_job_unpack(value);
	if (!spec) {
		done(ctx, 0);
		return;
	}
	job.queue = spec->queue;
	job.team = spec->team;
	job.size = eng_job_measure(spec);
	check_knowledge(o, now);
	if (may_refuse && o->phase == OWNER_ACTIVE)
		refresh_load(o, now, LOAD_MAX_AGE_MS);
	job.over_share = eng_team_over_share(o->engine, job.team, now);
	excess_ms = admission_excess_ms(&a->load, &job, &wait_ms);
	record_wait(o, &job, wait_ms);
	if (may_refuse && excess_ms > 0 && !maybe_stored(o, job.id) &&
	    !is_held(o, job.id) && a->held.length < HELD_MAX &&
	    admission_may_refuse(&a->state, &a->load, &job, now)) {
		hold(o, &job, spec, excess_ms, wait_ms, timeout_ms, done, ctx);
		return;
	}
	accept_job(o, &job, done, ctx);
	eng_job_free(spec);
}

void owner_admission_written(struct owner *o, struct vh_slice key,
			     enum write_outcome outcome)
{
	struct owner_admission *a = &o->admission;
	struct storing_job *s;
	uint64_t id;

	if (!a->enabled || !vh_key_parse(key, VH_KEY_JOB, &id))
		return;
	/* It may be stored later, or the node that sent it stores it. */
	if (outcome == WRITE_UNKNOWN || outcome == WRITE_REJECTED)
		admission_suspend(&a->state, owner_now_ms(o));
	s = g_hash_table_lookup(a->storing, &id);
	if (s && !--s->submissions)
		g_hash_table_remove(a->storing, &id);
}

void owner_admission_record(struct owner *o, struct vh_slice key)
{
	uint64_t id;

	if (!o->admission.enabled || o->phase != OWNER_ACTIVE ||
	    !vh_key_parse(key, VH_KEY_JOB, &id) || maybe_stored(o, id))
		return;
	/* Another node stores jobs without this owner. */
	admission_suspend(&o->admission.state, owner_now_ms(o));
}

void owner_admission_read(struct owner *o, int64_t as_of_ms)
{
	if (o->admission.enabled)
		resolve_held(o, as_of_ms);
}

void owner_admission_node_left(struct owner *o)
{
	if (o->admission.enabled)
		admission_suspend(&o->admission.state, owner_now_ms(o));
}

static bool any_wait(const struct eng_load *load)
{
	bool late;

	for (guint i = 0; i < load->queues->len; i++) {
		const struct eng_queue_load *q =
			&g_array_index(load->queues, struct eng_queue_load, i);

		if (eng_load_wait_ms(load, q, true, &late) >= VIEW_MIN_WAIT_MS)
			return true;
	}
	return false;
}

static void send_view(struct owner *o)
{
	int64_t wall_ms = vh_clock_wall_ms(o->kernel->clock);
	struct wire_msg msg;

	for (struct peer_conn *c = o->peer_server->conns; c; c = c->next) {
		if (!c->ready || !c->wants_load)
			continue;
		admission_view_pack(&msg, &o->admission.load, o->epoch,
				    wall_ms);
		wire_send(&msg, c->bev);
	}
}

static void on_timer(void *ctx)
{
	struct owner *o = ctx;
	struct owner_admission *a = &o->admission;
	int64_t now = owner_now_ms(o);
	bool waits;

	check_knowledge(o, now);
	resolve_held(o, INT64_MIN);
	if (o->phase == OWNER_ACTIVE) {
		refresh_load(o, now, 0);
		waits = any_wait(&a->load);
		/* One more view, without a wait, ends the former ones. */
		if (waits || a->view_sent)
			send_view(o);
		a->view_sent = waits;
	}
	vh_timer_start(&a->timer, VIEW_INTERVAL_MS);
}

void owner_admission_init(struct owner *o, bool enabled)
{
	struct owner_admission *a = &o->admission;

	a->enabled = enabled;
	if (!enabled)
		return;
	admission_init(&a->state);
	eng_load_init(&a->load);
	a->storing = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   storing_job_free);
	g_queue_init(&a->held);
	vh_timer_init(&a->timer, o->kernel, on_timer, o);
	vh_timer_start(&a->timer, VIEW_INTERVAL_MS);
}

void owner_admission_finish(struct owner *o)
{
	struct owner_admission *a = &o->admission;

	if (!a->enabled)
		return;
	vh_timer_finish(&a->timer);
	/* The writer is still open and tells their callers the outcome. */
	while (a->held.length)
		refuse_or_accept(o, g_queue_pop_head(&a->held), false);
}

void owner_admission_free(struct owner *o)
{
	struct owner_admission *a = &o->admission;

	if (!a->enabled)
		return;
	g_hash_table_destroy(a->storing);
	eng_load_finish(&a->load);
	admission_finish(&a->state);
}
