#include "end_notifier.h"

#include "owners.h"

#define RETRY_MS 300
#define CALL_TIMEOUT_MS 8000

struct pending_end {
	struct pending_end *next;
	struct ends *ends;
	char *rack;
	char *task;
	char *home;
	char *worker;
	char *result;
	struct vh_ended_task ended;
	bool asked;
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
	struct pending_end **at = &item->ends->items;

	while (*at != item)
		at = &(*at)->next;
	*at = item->next;
	item->ends->n--;
}

/* Epoch of the home's owner that answered; 0 if it did not say. */
static uint64_t answer_epoch(struct vh_slice body)
{
	struct vh_unpack u;
	uint64_t epoch;

	vh_unpack_init(&u, body, NULL);
	epoch = vh_unpack_u64(&u);
	vh_unpack_finish(&u);
	return epoch;
}

static void told(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct pending_end *item = ctx;
	struct ends *e = item->ends;

	item->asked = false;
	if (item->dropped) {
		item_free(item);
		return;
	}
	if (err != VH_OK && err != VH_ERR_NOT_FOUND) {
		if (!vh_timer_pending(&e->timer))
			vh_timer_start(&e->timer, RETRY_MS);
		return;
	}
	item_unlink(item);
	e->settled(e->ctx, vh_slice_str(item->rack), vh_slice_str(item->task),
		   item->ended.attempt, answer_epoch(body));
	item_free(item);
}

static void tell(struct pending_end *item)
{
	struct ends *e = item->ends;
	struct wire_ended msg = { item->ended, vh_slice_str(item->worker) };
	struct vh_claim claim;
	struct vh_buf body;

	if (item->asked)
		return;
	if (!owners_get(e->core->owners, vh_slice_str(item->home), &claim)) {
		if (!vh_timer_pending(&e->timer))
			vh_timer_start(&e->timer, RETRY_MS);
		return;
	}
	item->asked = true;
	vh_buf_init(&body);
	wire_ended_pack(&body, &msg);
	vh_peer_call(e->core->peer, claim.node, VH_METHOD_TASK_ENDED,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, told, item);
	vh_buf_finish(&body);
}

static void tell_all(void *ctx)
{
	struct ends *e = ctx;

	for (struct pending_end *item = e->items; item; item = item->next)
		tell(item);
}

void end_notifier_init(struct ends *e, struct vh_core *core,
		       void (*settled)(void *ctx, struct vh_slice rack,
				       struct vh_slice task, uint32_t attempt,
				       uint64_t home_epoch),
		       void *ctx)
{
	memset(e, 0, sizeof(*e));
	e->core = core;
	e->settled = settled;
	e->ctx = ctx;
	vh_timer_init(&e->timer, core->kernel, tell_all, e);
}

void end_notifier_finish(struct ends *e)
{
	while (e->items) {
		struct pending_end *item = e->items;

		e->items = item->next;
		item_free(item);
	}
	vh_timer_finish(&e->timer);
}

static struct pending_end *find(struct ends *e, struct vh_slice task,
				uint32_t attempt)
{
	for (struct pending_end *item = e->items; item; item = item->next) {
		if (item->ended.attempt == attempt &&
		    vh_slice_eq_str(task, item->task))
			return item;
	}
	return NULL;
}

void end_notifier_add(struct ends *e, struct vh_slice rack,
		      struct vh_slice worker, const struct vh_ended_task *ended)
{
	struct pending_end *item = find(e, ended->task, ended->attempt);

	if (item)
		return;
	item = g_new0(struct pending_end, 1);
	item->ends = e;
	item->rack = vh_slice_dup(rack);
	item->task = vh_slice_dup(ended->task);
	item->home = vh_slice_dup(ended->home);
	item->worker = vh_slice_dup(worker);
	item->result = vh_slice_dup(ended->result);
	item->ended = *ended;
	item->ended.task = vh_slice_str(item->task);
	item->ended.home = vh_slice_str(item->home);
	item->ended.result = vh_slice(item->result, ended->result.len);
	item->next = e->items;
	e->items = item;
	e->n++;
	tell(item);
}

void end_notifier_drop_rack(struct ends *e, struct vh_slice rack)
{
	struct pending_end **at = &e->items;

	while (*at) {
		struct pending_end *item = *at;

		if (!vh_slice_eq_str(rack, item->rack)) {
			at = &item->next;
			continue;
		}
		*at = item->next;
		e->n--;
		if (item->asked)
			item->dropped = true;
		else
			item_free(item);
	}
}
