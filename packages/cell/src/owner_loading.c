#include "owner_priv.h"
#include "vh/log.h"

/*
 * What keeps a new owner from scheduling. Nothing starts meanwhile and callers are
 * told that the state of their jobs is not known, so an operator has to see why.
 */
#define FIRST_LINE_MS 3000 /* a takeover is usually over by then */
#define LINE_INTERVAL_MS 5000
#define METRIC "vh_owner_waits_seconds"
#define MS_PER_S 1000.0

enum wait {
	WAIT_FENCE,
	WAIT_JOBS,
	WAIT_STATES,
	WAIT_WORKERS,
	WAIT_OBJECTS,
	WAIT_COUNT
};

static const char *const wait_names[WAIT_COUNT] = {
	[WAIT_FENCE] = "fence",	    [WAIT_JOBS] = "jobs",
	[WAIT_STATES] = "states",   [WAIT_WORKERS] = "workers",
	[WAIT_OBJECTS] = "objects",
};

static bool waits_for(const struct owner *o, enum wait what)
{
	if (o->phase == OWNER_FENCING)
		return what == WAIT_FENCE;
	if (o->phase != OWNER_LOADING)
		return false;
	switch (what) {
	case WAIT_JOBS:
		return !o->jobs_reader.refreshed;
	case WAIT_STATES:
		return !o->state_reader.snapshot_read;
	case WAIT_WORKERS:
		return !o->fleet_reader.snapshot_read;
	case WAIT_OBJECTS:
		return owner_view_zones_outdated(o);
	default:
		return false;
	}
}

static void set_metrics(struct owner *o, int64_t waited_ms)
{
	char labels[32];

	for (int i = 0; i < WAIT_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "for=\"%s\"", wait_names[i]);
		*vh_metrics_gauge(&o->kernel->metrics, METRIC, labels) =
			waits_for(o, i) ? (double)waited_ms / MS_PER_S : 0;
	}
}

static void log_waits(const struct owner *o, int64_t waited_ms)
{
	GString *names = g_string_new(NULL);
	char waited[24];

	for (int i = 0; i < WAIT_COUNT; i++) {
		if (waits_for(o, i))
			g_string_append_printf(names, "%s%s",
					       names->len ? "," : "",
					       wait_names[i]);
	}
	g_snprintf(waited, sizeof(waited), "%" G_GINT64_FORMAT, waited_ms);
	vh_log(G_LOG_LEVEL_WARNING, "owner cannot schedule yet", "waits_for",
	       names->str, "waited_ms", waited, NULL);
	g_string_free(names, TRUE);
}

void owner_loading_begin(struct owner *o)
{
	o->loading_since_ms = owner_now_ms(o);
	o->loading_line_ms = o->loading_since_ms + FIRST_LINE_MS;
}

void owner_loading_report(struct owner *o)
{
	int64_t now = owner_now_ms(o);

	if (o->phase >= OWNER_ACTIVE || now < o->loading_line_ms)
		return;
	o->loading_line_ms = now + LINE_INTERVAL_MS;
	set_metrics(o, now - o->loading_since_ms);
	log_waits(o, now - o->loading_since_ms);
}

void owner_loading_end(struct owner *o)
{
	set_metrics(o, 0);
}
