#include <inttypes.h>

#include "owner_priv.h"
#include "vh/log.h"

#define US_PER_MS 1000
/* A drain of a zone must be in force 5 s after its record is stored, however long the
 * settings allow for other changes. */
#define MAX_AGE_MS 3000
/* With an older view, each start is logged. */
#define LOGGED_VIEW_AGE_MS 1000

/* Ages of what the owner has read, one of each topic that it decides from. */
struct view_ages {
	int64_t jobs_ms;
	int64_t fleet_ms;
	int64_t objects_ms;
};

static struct view_ages view_ages(const struct owner *o)
{
	int64_t now = owner_now_ms(o);
	struct view_ages a = {
		.jobs_ms = topic_reader_age_ms(&o->jobs_reader, now),
		.fleet_ms = topic_reader_age_ms(&o->fleet_reader, now),
		.objects_ms = now - o->zones_as_of_ms,
	};

	return a;
}

void owner_view_init(struct owner *o, int64_t max_age_ms)
{
	o->max_view_age_ms =
		max_age_ms ? MIN(max_age_ms, MAX_AGE_MS) : MAX_AGE_MS;
}

int64_t owner_view_limit_ms(const struct owner *o)
{
	int64_t as_of_ms = MIN(MIN(o->jobs_reader.caught_up_ms,
				   o->fleet_reader.caught_up_ms),
			       o->zones_as_of_ms);

	return as_of_ms ? as_of_ms + o->max_view_age_ms : 0;
}

bool owner_view_zones_outdated(const struct owner *o)
{
	return !o->zones_as_of_ms ||
	       owner_now_ms(o) - o->zones_as_of_ms > o->max_view_age_ms;
}

static void log_outdated(const struct owner *o)
{
	struct view_ages a = view_ages(o);
	char jobs[24];
	char fleet[24];
	char objects[24];

	g_snprintf(jobs, sizeof(jobs), "%" PRId64, a.jobs_ms);
	g_snprintf(fleet, sizeof(fleet), "%" PRId64, a.fleet_ms);
	g_snprintf(objects, sizeof(objects), "%" PRId64, a.objects_ms);
	vh_log(G_LOG_LEVEL_WARNING, "scheduling waits for reads of the store",
	       "jobs_age_ms", jobs, "fleet_age_ms", fleet, "objects_age_ms",
	       objects, NULL);
}

static void set_outdated(struct owner *o, bool outdated)
{
	o->view_outdated = outdated;
	if (!outdated) {
		vh_log(G_LOG_LEVEL_INFO, "the store is read again", NULL);
		return;
	}
	++*vh_metrics_counter(&o->kernel->metrics,
			      "vh_owner_view_outdated_total", NULL);
	log_outdated(o);
}

/* Reads at once what is too old. After a failure the reader tries again by itself. */
static void read_soon(struct owner *o, struct topic_reader *t)
{
	if (topic_reader_age_ms(t, owner_now_ms(o)) > o->max_view_age_ms &&
	    !t->failures)
		topic_reader_hurry(t);
}

static void read_outdated(struct owner *o)
{
	read_soon(o, &o->jobs_reader);
	read_soon(o, &o->fleet_reader);
	if (owner_view_zones_outdated(o))
		o->ops.zones_wanted(o->ctx);
}

void owner_view_update(struct owner *o)
{
	int64_t limit_ms = owner_view_limit_ms(o);
	bool outdated = limit_ms < owner_now_ms(o);

	if (o->phase != OWNER_ACTIVE)
		return;
	if (outdated != o->view_outdated)
		set_outdated(o, outdated);
	if (outdated)
		read_outdated(o);
	/* The engine sends starts that the limit allows. */
	if (owner_may_act(o))
		eng_set_start_limit(o->engine, limit_ms, owner_now_ms(o));
}

static void record_age(struct owner *o, const char *labels, int64_t age_ms)
{
	vh_histogram_add(vh_metrics_histogram(&o->kernel->metrics,
					      "vh_start_view_age_seconds",
					      labels),
			 (uint64_t)MAX(age_ms, 0) * US_PER_MS);
}

static void log_start(const struct eng_start_request *s,
		      const struct view_ages *a)
{
	char job[20];
	char task[40];
	char run[24];
	char waited[24];
	char jobs[24];
	char fleet[24];
	char objects[24];

	g_snprintf(job, sizeof(job), "%016" PRIx64, s->task.job);
	g_snprintf(task, sizeof(task), "%u.%u.%u", s->task.occurrence,
		   s->task.step, s->task.index);
	g_snprintf(run, sizeof(run), "%u/%u", s->task.run, s->attempt);
	g_snprintf(waited, sizeof(waited), "%" PRId64, s->waited_ms);
	g_snprintf(jobs, sizeof(jobs), "%" PRId64, a->jobs_ms);
	g_snprintf(fleet, sizeof(fleet), "%" PRId64, a->fleet_ms);
	g_snprintf(objects, sizeof(objects), "%" PRId64, a->objects_ms);
	vh_log(G_LOG_LEVEL_INFO, "start on an old view", "job", job, "task",
	       task, "run", run, "waited_ms", waited, "jobs_age_ms", jobs,
	       "fleet_age_ms", fleet, "objects_age_ms", objects, NULL);
}

void owner_view_note_start(struct owner *o, const struct eng_start_request *s)
{
	struct view_ages a = view_ages(o);
	int64_t oldest = MAX(MAX(a.jobs_ms, a.fleet_ms), a.objects_ms);

	record_age(o, "topic=\"jobs\"", a.jobs_ms);
	record_age(o, "topic=\"fleet\"", a.fleet_ms);
	record_age(o, "topic=\"objects\"", a.objects_ms);
	if (oldest > LOGGED_VIEW_AGE_MS)
		log_start(s, &a);
}

void owner_view_log_cancellation(struct owner *o, uint64_t job, const char *way)
{
	struct view_ages a = view_ages(o);
	char id[20];
	char age[24];

	g_snprintf(id, sizeof(id), "%016" PRIx64, job);
	g_snprintf(age, sizeof(age), "%" PRId64, a.jobs_ms);
	vh_log(G_LOG_LEVEL_INFO, "cancellation applied", "job", id, "way", way,
	       "jobs_age_ms", age, NULL);
}
