#include "rack_priv.h"

#define TICK_MAX_MS 1000
/* Time after which a refusal that no home acknowledged is dropped. */
#define REFUSAL_TTL_MS 600000

static void set_earlier(int64_t *next, int64_t at)
{
	if (at < *next)
		*next = at;
}

/* Drops a refused run but keeps the decision for late repeats. */
static void refusal_expire(struct vh_rack *r, struct rack_run *run)
{
	rack_decision_add(r, run->info.task, run->info.attempt, run->why,
			  r->now_ms);
	rack_run_free(r, run);
}

static void run_tick(struct vh_rack *r, struct rack_run *run, int64_t *next)
{
	struct rack_worker *w = run->worker;
	int64_t now_ms = r->now_ms;

	switch (run->state) {
	case RUN_QUEUED:
		if (now_ms - run->decided_ms > r->settings.start_void_ms)
			rack_run_refuse(r, run, VH_ERR_UNREACHABLE, now_ms);
		else
			set_earlier(next, run->decided_ms +
						  r->settings.start_void_ms +
						  1);
		return;
	case RUN_SENT:
		if (!run->exchange && w->adopted &&
		    rack_worker_clock(w, now_ms) > run->not_after_ms)
			w->needs_full_list = true;
		return;
	case RUN_RUNNING:
		return;
	case RUN_REFUSED:
		if (now_ms - run->decided_ms >= REFUSAL_TTL_MS) {
			refusal_expire(r, run);
			return;
		}
		break;
	case RUN_ENDED:
		break;
	}
	if (now_ms - run->notified_ms >= VH_RACK_END_RESEND_MS) {
		run->notified_ms = now_ms;
		rack_run_notify(r, run,
				run->state == RUN_ENDED ? NOTICE_ENDED
							: NOTICE_REFUSED);
	}
	set_earlier(next, run->notified_ms + VH_RACK_END_RESEND_MS);
}

static void worker_tick(struct vh_rack *r, struct rack_worker *w, int64_t *next)
{
	struct rack_run *following;

	if (!w->known_empty && rack_worker_lease_expired(r, w, r->now_ms)) {
		rack_worker_lost(r, w, r->now_ms);
		w->known_empty = true;
	}
	for (struct rack_run *run = w->runs; run; run = following) {
		following = run->next;
		run_tick(r, run, next);
	}
}

static void rack_remove_gone(struct vh_rack *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->n_workers; i++) {
		struct rack_worker *w = r->workers[i];

		if (w->vm.gone && w->known_empty && !w->runs)
			rack_worker_free(w);
		else
			r->workers[n++] = w;
	}
	r->n_workers = n;
	r->next_worker = 0;
}

int64_t vh_rack_tick(struct vh_rack *r, int64_t now_ms)
{
	int64_t next = now_ms + TICK_MAX_MS;

	r->now_ms = now_ms;
	if (!r->epoch)
		return INT64_MAX;
	rack_decision_expire(r, now_ms);
	for (size_t i = 0; i < r->n_workers; i++)
		worker_tick(r, r->workers[i], &next);
	rack_deliver_notices(r);
	rack_remove_gone(r);
	for (size_t i = 0; i < r->n_workers; i++)
		set_earlier(&next, rack_next_sync_ms(r, r->workers[i]));
	return next > now_ms ? next : now_ms;
}
