#include "eng_priv.h"

/* Report by team and class of what waits during an overload, and behind what. */
#define REPORT_INTERVAL_MS 2000

static uint32_t *count_for(struct eng_waiting *w, const struct step *s)
{
	switch (s->tier) {
	case TIER_IN_TIME:
		return s->band == BAND_DOUBTFUL ? &w->doubtful : &w->in_time;
	case TIER_LATE:
		return &w->late;
	case TIER_OVER_SHARE:
		return &w->over_share;
	default:
		return &w->no_value;
	}
}

static bool is_empty(const struct eng_waiting *w)
{
	return !w->in_time && !w->doubtful && !w->late && !w->over_share &&
	       !w->no_value;
}

static void clear(struct engine *e)
{
	for (guint i = 0; i < e->reported_teams->len; i++) {
		struct team *t = e->reported_teams->pdata[i];

		for (uint32_t c = 0; c < ENG_CLASSES; c++) {
			struct vh_slice team = t->waiting[c].team;

			/* Keeps the name, so that a zero is reported once. */
			t->waiting[c] = (struct eng_waiting){ .team = team };
		}
	}
}

static void add_step(struct engine *e, const struct step *s)
{
	struct team *t = s->job->team;
	struct eng_waiting *w = &t->waiting[eng_step_class(s)];

	if (is_empty(w)) {
		w->team = eng_str(t->name);
		w->ahead_cpu = s->ahead_cpu;
		w->wait_ms = eng_pool_wait_ms(s->job->pool, s->ahead_cpu);
	}
	*count_for(w, s) += s->n_waiting;
	if (t->reported)
		return;
	t->reported = true;
	g_ptr_array_add(e->reported_teams, t);
}

/* Returns whether the team has something to report the next time. */
static bool report_team(const struct engine *e, struct team *t)
{
	bool any = false;

	for (uint32_t c = 0; c < ENG_CLASSES; c++) {
		struct eng_waiting *w = &t->waiting[c];

		if (!w->team.len)
			continue;
		w->priority = c;
		e->callbacks.waiting(e->callbacks.ctx, w);
		if (is_empty(w))
			w->team = vh_slice(NULL, 0);
		else
			any = true;
	}
	return any;
}

static void report_teams(struct engine *e)
{
	guint keep = 0;

	for (guint i = 0; i < e->reported_teams->len; i++) {
		struct team *t = e->reported_teams->pdata[i];

		t->reported = report_team(e, t);
		if (t->reported)
			e->reported_teams->pdata[keep++] = t;
	}
	g_ptr_array_set_size(e->reported_teams, (gint)keep);
}

void eng_waiting_report(struct engine *e, const GPtrArray *steps)
{
	if (!e->callbacks.waiting || e->next_waiting_ms > e->now_ms)
		return;
	e->next_waiting_ms = e->now_ms + REPORT_INTERVAL_MS;
	clear(e);
	for (guint i = 0; i < steps->len; i++) {
		const struct step *s = steps->pdata[i];

		if (s->ranked)
			add_step(e, s);
	}
	report_teams(e);
}
