#include <inttypes.h>

#include "owner_priv.h"
#include "vh/log.h"

#define US_PER_MS 1000
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
