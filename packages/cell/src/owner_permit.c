#include "owner_priv.h"

#include <inttypes.h>

#include "vh/log.h"

/*
 * While this process stands still, another node may take over the cell. After a
 * pause, answers to earlier calls arrive first, and they tell nothing about the
 * present owner. What only that one may send therefore waits for a write that
 * was sent after the pause; its result shows whether there is a newer owner.
 *
 * Without a pause, the newest confirmation permits the owner to act for a time
 * that its successor waits for. It counts from the sending of the call, so that
 * it also ends in a process that is slow, or whose timers are late.
 */
#define STALL_MS 900 /* a longer gap between runs is a pause */

static void report_pause(struct owner *o, int64_t pause_ms)
{
	char pause[24];
	char since_write[24];

	owner_record_pause(o, pause_ms);
	g_snprintf(pause, sizeof(pause), "%" PRId64, pause_ms);
	g_snprintf(since_write, sizeof(since_write), "%" PRId64,
		   owner_now_ms(o) - o->last_write_ms);
	vh_log(G_LOG_LEVEL_WARNING,
	       "owner stalled; scheduling waits for the store", "pause_ms",
	       pause, "since_write_ms", since_write, "write_pending",
	       o->append_in_flight ? "1" : "0", NULL);
}

static void report_resumption(struct owner *o)
{
	int64_t now = owner_now_ms(o);
	int64_t age_ms = now - o->append_first_sent_ms;
	char suspended[24];
	char age[24];
	char earlier[12];
	char starts[12];
	char leases[12];

	owner_record_resumption(o, age_ms);
	g_snprintf(suspended, sizeof(suspended), "%" PRId64,
		   now - o->suspended_ms);
	g_snprintf(age, sizeof(age), "%" PRId64, age_ms);
	g_snprintf(earlier, sizeof(earlier), "%u", o->earlier_answers);
	g_snprintf(starts, sizeof(starts), "%u", o->withheld_starts);
	g_snprintf(leases, sizeof(leases), "%u", o->withheld_leases);
	vh_log(G_LOG_LEVEL_INFO, "owner schedules again", "suspended_ms",
	       suspended, "write_age_ms", age, "earlier_answers", earlier,
	       "batch_withheld", o->stored_batch ? "1" : "0", "starts_withheld",
	       starts, "leases_withheld", leases, NULL);
}

void owner_note_pause(struct owner *o)
{
	int64_t now = owner_now_ms(o);

	if (o->phase == OWNER_ENDED || now - o->last_run_ms <= STALL_MS)
		return;
	report_pause(o, now - o->last_run_ms);
	o->last_run_ms = now;
	o->suspended_ms = now;
	o->woken_ms = now;
}

void owner_write_stored(struct owner *o)
{
	owner_note_pause(o);
	if (!o->suspended_ms)
		return;
	if (o->append_first_sent_ms < o->suspended_ms) {
		o->earlier_answers++;
		return;
	}
	report_resumption(o);
	o->suspended_ms = 0;
	o->earlier_answers = 0;
	o->withheld_starts = 0;
	o->withheld_leases = 0;
}

static void report_lapse(struct owner *o, bool lapsed)
{
	o->lapsed = lapsed;
	if (!lapsed) {
		vh_log(G_LOG_LEVEL_INFO, "owner is confirmed again", NULL);
		return;
	}
	++*vh_metrics_counter(&o->kernel->metrics, "vh_owner_lapses_total",
			      NULL);
	vh_log(G_LOG_LEVEL_WARNING,
	       "owner without a recent confirmation waits for the store", NULL);
}

bool owner_is_permitted(struct owner *o)
{
	bool lapsed;

	owner_note_pause(o);
	if (o->suspended_ms)
		return false;
	lapsed = owner_now_ms(o) > o->ops.permitted_until_ms(o->ctx);
	if (lapsed != o->lapsed)
		report_lapse(o, lapsed);
	return !lapsed;
}

bool owner_may_act(struct owner *o)
{
	return o->phase == OWNER_ACTIVE && owner_is_permitted(o);
}
