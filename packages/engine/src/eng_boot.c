#include "eng_priv.h"

/*
 * Boots of workers.
 *
 * A worker that starts again may keep its id, which is all that its API tells
 * boots apart by. So what was sent to the former boot may be carried out by the
 * new one, before or after the owner learns of it. Of the runs that are assigned
 * to the worker, those are lost that the former boot has listed: no start of
 * theirs is on its way. The others may be on the new boot, or get there, and
 * stay assigned until it proves that they are not, and never will be.
 *
 * Only a report of the worker tells which boot is present. Its entry in the list
 * may be old or come from another writer, and start times may go back, since a
 * boot takes them from the clock of its machine.
 */

/* Whether a run can only be, or have been, on the former boot. */
static bool ended_with_boot(const struct task *t)
{
	return t->state == TASK_STORING || (t->listed && !t->open_starts);
}

/* A start without a reply may still reach the new boot; a stop voids it there. */
static void keep_on_new_boot(struct engine *e, struct task *t)
{
	t->listed = false;
	eng_report_decision(e, "may be on the new boot", t, t->worker);
	if (t->open_starts || t->state == TASK_STOPPING)
		eng_task_stop_again(e, t);
	else
		eng_task_set_state(e, t, TASK_UNCONFIRMED);
}

static void lose_or_keep(struct engine *e, struct worker *w)
{
	GPtrArray *tasks = g_ptr_array_new();

	for (guint i = 0; i < w->tasks->len; i++)
		g_ptr_array_add(tasks, w->tasks->pdata[i]);
	for (guint i = 0; i < tasks->len; i++) {
		struct task *t = tasks->pdata[i];

		if (t->worker != w)
			continue; /* released with another one */
		if (ended_with_boot(t))
			eng_task_lost(e, t, "worker started anew");
		else
			keep_on_new_boot(e, t);
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
	/* Its clock starts anew too, so a lease that was meant for the former
	 * boot may be as long as the worker allows. */
	w->lease_floor_ms =
		e->now_ms + REQUEST_IN_FLIGHT_MS + eng_longest_lease_ms(e);
	w->lease_expired_ms = w->lease_floor_ms;
	w->processed = 0;
	w->acknowledged = 0;
	w->ends_listed = false;
	w->unknown_runs = false;
}

/*
 * From its first answer on, the boot refuses calls of former owners. One that it
 * has carried out may have been meant for the boot before, whose clock read more,
 * so the lease in it may be as long as the worker allows.
 */
void eng_boot_fenced(const struct engine *e, struct worker *w)
{
	int64_t last_call_ms = MIN(e->now_ms, e->former_calls_until_ms);

	w->lease_floor_ms =
		MAX(w->lease_floor_ms, last_call_ms + eng_longest_lease_ms(e));
}

bool eng_boot_start_in_flight(const struct task *t, int64_t at_ms)
{
	return (t->open_starts || t->adopted) &&
	       at_ms - t->start_sent_ms <= REQUEST_IN_FLIGHT_MS;
}

int64_t eng_boot_run_ends_ms(const struct engine *e, const struct task *t)
{
	const struct worker *w = t->worker;

	if (ended_with_boot(t) || !t->start_sent_ms)
		return w->lease_expired_ms;
	return MAX(w->lease_expired_ms,
		   MAX(t->start_sent_ms, w->lease_sent_ms) +
			   REQUEST_IN_FLIGHT_MS + eng_longest_lease_ms(e));
}

static void worker_restarted(struct engine *e, struct worker *w,
			     int64_t born_ms)
{
	eng_worker_report_event(e, w, "worker started anew", true);
	eng_loss_crashed(e, w);
	eng_speed_reset(w);
	forget_former_boot(e, w);
	w->born_ms = born_ms;
	lose_or_keep(e, w);
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

static void keep_reported_run(struct engine *e, const struct worker *w,
			      struct eng_task_ref ref)
{
	struct task *t = eng_find_task(e, ref);

	if (t && t->worker == w && t->run == ref.run)
		t->listed = false;
}

/* A repeated start of a former owner may have brought a run that the former boot
 * has listed to the new one. */
static void keep_reported_runs(struct engine *e, const struct worker *w,
			       const struct eng_worker_report *r)
{
	for (size_t i = 0; i < r->n_running; i++)
		keep_reported_run(e, w, r->running[i].task);
	for (size_t i = 0; i < r->n_finished; i++)
		keep_reported_run(e, w, r->finished[i].task);
}

bool eng_boot_reported(struct engine *e, struct worker *w,
		       const struct eng_worker_report *r)
{
	if (!r->born_ms || r->born_ms == w->born_ms)
		return true;
	/* The hold may have been answered before the present boot was known. */
	if (r->boot != w->boot)
		return false;
	if (w->born_ms) {
		keep_reported_runs(e, w, r);
		worker_restarted(e, w, r->born_ms);
	}
	w->born_ms = r->born_ms;
	return true;
}
