#include "eng_priv.h"

/*
 * Report of the steps that have waited longest, with what decides whether they
 * are placed. A step that waits though there is room for it is a fault, and the
 * line tells which input is at fault.
 */
#define REPORT_INTERVAL_MS 2000
#define LONG_WAIT_MS 3000
#define REPORTED_STEPS_MAX 4 /* at a time, so that the log stays bounded */

static int64_t waited_ms(const struct engine *e, const struct step *s)
{
	return e->now_ms - s->waits_since_ms;
}

/* Inserts a step into a list that is sorted by its wait, the longest first. */
static void insert_step(struct engine *e, struct step **longest, size_t *n,
			struct step *s)
{
	size_t at = *n;

	if (at == REPORTED_STEPS_MAX) {
		if (waited_ms(e, s) <= waited_ms(e, longest[at - 1]))
			return;
		at--;
	} else {
		++*n;
	}
	for (; at && waited_ms(e, s) > waited_ms(e, longest[at - 1]); at--)
		longest[at] = longest[at - 1];
	longest[at] = s;
}

static struct task *first_waiting(const struct step *s)
{
	for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
		struct task *t = &s->tasks[k];

		if (!t->worker && !t->done)
			return t;
	}
	return NULL;
}

/* Looks at the workers themselves and not at what the passes keep of them. */
static void count_approved(struct engine *e, const struct step *s,
			   struct eng_long_wait *out)
{
	for (guint i = 0; i < s->approved->len; i++) {
		const struct approval *a =
			&g_array_index(s->approved, struct approval, i);

		out->tickets += eng_ticket_valid(e, a->advice);
		out->with_room += eng_free_slots(e, s, a->w) > 0;
	}
}

static void report_step(struct engine *e, const struct step *s)
{
	struct task *t = first_waiting(s);
	struct eng_long_wait w = {
		.reason = s->wait_reason ? s->wait_reason : "",
		.waited_ms = waited_ms(e, s),
		.n_waiting = s->n_waiting,
		.asked = g_hash_table_size(s->advice_by_worker),
		.approved = s->approved->len,
		.considered = s->open->len,
		.advice_pending = s->advice_pending,
		.team_allows = eng_team_quota_allows(
			s, s->spec->gang ? s->spec->n_tasks : 1),
		.deferred = s->deferred,
		.on_trial = t && eng_task_needs_trial(t),
	};

	if (!t)
		return;
	w.task = eng_task_ref(t);
	count_approved(e, s, &w);
	e->callbacks.long_wait(e->callbacks.ctx, &w);
}

void eng_long_waits_report(struct engine *e)
{
	struct step *longest[REPORTED_STEPS_MAX];
	size_t n = 0;

	if (!e->callbacks.long_wait || e->next_long_wait_ms > e->now_ms)
		return;
	e->next_long_wait_ms = e->now_ms + REPORT_INTERVAL_MS;
	for (guint i = 0; i < e->runnable_steps->len; i++) {
		struct step *s = e->runnable_steps->pdata[i];

		if (s->n_waiting && waited_ms(e, s) >= LONG_WAIT_MS)
			insert_step(e, longest, &n, s);
	}
	for (size_t i = 0; i < n; i++)
		report_step(e, longest[i]);
}
