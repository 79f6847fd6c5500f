#include "eng_priv.h"

/*
 * Boots of workers.
 *
 * A worker that starts again may keep its id. An order reaches the boot that it is
 * meant for or none (see struct eng_boot), so the new boot has no run and no lease
 * that was meant for the former one, and all runs that are assigned to the worker
 * ended with that.
 *
 * Only a report of the worker tells which boot is present. Its entry in the list
 * may be old or come from another writer, and start times may go back, since a
 * boot takes them from the clock of its machine.
 */

static bool same_run(struct eng_task_ref a, struct eng_task_ref b)
{
	return a.job == b.job && a.step == b.step && a.index == b.index &&
	       a.run == b.run;
}

static bool lists_run(const struct eng_worker_report *r, const struct task *t)
{
	struct eng_task_ref ref = eng_task_ref(t);

	for (size_t i = 0; i < r->n_running; i++) {
		if (same_run(r->running[i].task, ref))
			return true;
	}
	for (size_t i = 0; i < r->n_finished; i++) {
		if (same_run(r->finished[i].task, ref))
			return true;
	}
	return false;
}

/*
 * What the new boot lists is there nevertheless, for example if an owner of an
 * earlier version has started it.
 */
static void lose_runs(struct engine *e, struct worker *w,
		      const struct eng_worker_report *r)
{
	GPtrArray *tasks = g_ptr_array_new();

	for (guint i = 0; i < w->tasks->len; i++)
		g_ptr_array_add(tasks, w->tasks->pdata[i]);
	for (guint i = 0; i < tasks->len; i++) {
		struct task *t = tasks->pdata[i];

		/* It may have been released with another one. */
		if (t->worker == w && !lists_run(r, t))
			eng_task_lost(e, t, "worker started anew");
	}
	g_ptr_array_free(tasks, TRUE);
}

/* From now on, replies to earlier requests tell nothing about the worker. */
static void ignore_earlier_replies(struct engine *e, struct worker *w)
{
	w->boot++;
	for (guint i = 0; i < w->tasks->len; i++) {
		struct task *t = w->tasks->pdata[i];

		t->request_pending = false;
	}
	w->next_hold_ms = 0;
	eng_worker_touch(e, w);
}

/* The new boot runs nothing of the former one, and counts its ends anew. */
static void forget_former_boot(struct engine *e, struct worker *w)
{
	ignore_earlier_replies(e, w);
	w->boot_over = false;
	w->fenced = false;
	w->clock_at_ms = 0;
	w->lease_until_ms = 0;
	w->lease_expired_ms = e->now_ms + eng_longest_lease_ms(e);
	w->processed = 0;
	w->acknowledged = 0;
	w->ends_listed = false;
	w->unknown_runs = false;
}

/*
 * A boot that has not answered this owner is known from an entry only, which may
 * be old: what a former owner has placed on the worker may be on the new one.
 */
static void worker_restarted(struct engine *e, struct worker *w,
			     const struct eng_worker_report *r)
{
	bool had_answered = w->fenced;

	eng_worker_report_event(e, w, "worker started anew", true);
	eng_loss_crashed(e, w);
	eng_speed_reset(w);
	forget_former_boot(e, w);
	w->born_ms = r->born_ms;
	if (had_answered)
		lose_runs(e, w, r);
}

void eng_worker_boot_over(struct engine *e, struct worker *w)
{
	if (w->boot_over)
		return;
	w->boot_over = true;
	eng_worker_report_event(e, w, "worker crashed", true);
	eng_loss_crashed(e, w);
	while (w->tasks->len)
		eng_task_lost(e, w->tasks->pdata[w->tasks->len - 1],
			      "worker crashed");
}

void eng_boot_entry(struct engine *e, struct worker *w,
		    const struct eng_worker_info *info)
{
	bool changed = info->born_ms != w->entry_born_ms;

	w->entry_born_ms = info->born_ms;
	if (!w->born_ms)
		w->born_ms = info->born_ms;
	if (!changed || !info->born_ms || info->born_ms == w->born_ms)
		return;
	w->boot_over = false; /* a hold tells */
	w->report_needed = true;
	w->next_hold_ms = 0;
	eng_worker_touch(e, w);
}

void eng_boot_moved(struct engine *e, struct worker *w, struct vh_slice address)
{
	if (*w->address && !vh_slice_eq_str(address, w->address)) {
		ignore_earlier_replies(e, w);
		w->boot_over = false; /* a hold tells */
	}
	eng_worker_set_address(w, address);
}

bool eng_boot_reported(struct engine *e, struct worker *w,
		       const struct eng_worker_report *r)
{
	if (!r->born_ms || r->born_ms == w->born_ms)
		return true;
	/* The hold may have been answered before the present boot was known. */
	if (r->boot != w->boot)
		return false;
	if (w->born_ms)
		worker_restarted(e, w, r);
	w->born_ms = r->born_ms;
	return true;
}
