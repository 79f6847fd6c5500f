#include "end_notifier.h"

#include "owners.h"

#define RETRY_MS 300
#define CALL_TIMEOUT_MS 8000

struct pending_end {
	struct pending_end *next;
	struct end_notifier *end_notifier;
	char *rack;
	char *task;
	char *home;
	char *worker;
	char *result;
	struct vh_ended_task ended;
	bool in_flight;
	bool dropped;
};

static void item_free(struct pending_end *item)
{
	g_free(item->rack);
	g_free(item->task);
	g_free(item->home);
	g_free(item->worker);
	g_free(item->result);
	g_free(item);
}

static void item_unlink(struct pending_end *item)
{
	struct pending_end **at = &item->end_notifier->items;

	while (*at != item)
		at = &(*at)->next;
	*at = item->next;
	item->end_notifier->n--;
}

/* Epoch of the home that answered; 0 if the answer has none. */
static uint64_t reply_epoch(struct vh_slice body)
{
	struct vh_unpack u;
	uint64_t epoch;

	vh_unpack_init(&u, body, NULL);
	epoch = vh_unpack_u64(&u);
	vh_unpack_finish(&u);
	return epoch;
}

static void report_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct pending_end *item = ctx;
	struct end_notifier *en = item->end_notifier;

	item->in_flight = false;
	if (item->dropped) {
		item_free(item);
		return;
	}
	if (err != VH_OK && err != VH_ERR_NOT_FOUND) {
		if (!vh_timer_pending(&en->timer))
			vh_timer_start(&en->timer, RETRY_MS);
		return;
	}
	item_unlink(item);
	en->acked(en->ctx, vh_slice_str(item->rack), vh_slice_str(item->task),
		  item->ended.attempt, reply_epoch(body));
	item_free(item);
}

static void report(struct pending_end *item)
{
	struct end_notifier *en = item->end_notifier;
	struct wire_ended msg = { item->ended, vh_slice_str(item->worker) };
	struct vh_claim claim;
	struct vh_buf body;

	if (item->in_flight)
		return;
	if (!owners_get(en->core->owners, vh_slice_str(item->home), &claim)) {
		if (!vh_timer_pending(&en->timer))
			vh_timer_start(&en->timer, RETRY_MS);
		return;
	}
	item->in_flight = true;
	vh_buf_init(&body);
	wire_ended_pack(&body, &msg);
	vh_peer_call(en->core->peer, claim.node, VH_METHOD_TASK_ENDED,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, report_done, item);
	vh_buf_finish(&body);
}

static void report_all(void *ctx)
{
	struct end_notifier *en = ctx;

	for (struct pending_end *item = en->items; item; item = item->next)
		report(item);
}

void end_notifier_init(struct end_notifier *en, struct vh_core *core,
		       void (*acked)(void *ctx, struct vh_slice rack,
				     struct vh_slice task, uint32_t attempt,
				     uint64_t home_epoch),
		       void *ctx)
{
	memset(en, 0, sizeof(*en));
	en->core = core;
	en->acked = acked;
	en->ctx = ctx;
	vh_timer_init(&en->timer, core->kernel, report_all, en);
}

void end_notifier_finish(struct end_notifier *en)
{
	while (en->items) {
		struct pending_end *item = en->items;

		en->items = item->next;
		item_free(item);
	}
	vh_timer_finish(&en->timer);
}

static struct pending_end *find(struct end_notifier *en, struct vh_slice task,
				uint32_t attempt)
{
	for (struct pending_end *item = en->items; item; item = item->next) {
		if (item->ended.attempt == attempt &&
		    vh_slice_eq_str(task, item->task))
			return item;
	}
	return NULL;
}

void end_notifier_add(struct end_notifier *en, struct vh_slice rack,
		      struct vh_slice worker, const struct vh_ended_task *ended)
{
	struct pending_end *item = find(en, ended->task, ended->attempt);

	if (item)
		return;
	item = g_new0(struct pending_end, 1);
	item->end_notifier = en;
	item->rack = vh_slice_dup(rack);
	item->task = vh_slice_dup(ended->task);
	item->home = vh_slice_dup(ended->home);
	item->worker = vh_slice_dup(worker);
	item->result = vh_slice_dup(ended->result);
	item->ended = *ended;
	item->ended.task = vh_slice_str(item->task);
	item->ended.home = vh_slice_str(item->home);
	item->ended.result = vh_slice(item->result, ended->result.len);
	item->next = en->items;
	en->items = item;
	en->n++;
	report(item);
}

void end_notifier_drop_rack(struct end_notifier *en, struct vh_slice rack)
{
	struct pending_end **at = &en->items;

	while (*at) {
		struct pending_end *item = *at;

		if (!vh_slice_eq_str(rack, item->rack)) {
			at = &item->next;
			continue;
		}
		*at = item->next;
		en->n--;
		if (item->in_flight)
			item->dropped = true;
		else
			item_free(item);
	}
}
