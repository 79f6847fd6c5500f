#include "owners.h"
#include "placement.h"
#include "racks_priv.h"

bool rack_answer_waiters(struct rack *r, struct vh_slice task, uint32_t attempt,
			 enum vh_err err, struct vh_slice body)
{
	struct place_waiter **at = &r->waiters;
	bool found = false;

	while (*at) {
		struct place_waiter *w = *at;

		if (w->attempt != attempt || !vh_slice_eq_str(task, w->task)) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		vh_peer_answer(w->reply, err, body);
		g_free(w->task);
		g_free(w);
		found = true;
	}
	return found;
}

/* Whether the requesting home's epoch is older than the one in the claims. */
static bool home_epoch_is_stale(struct vh_racks *rs, const struct vh_start *s)
{
	struct vh_claim claim;

	owners_get(rs->core->owners, s->home, &claim);
	return s->home_epoch < claim.epoch;
}

static enum vh_err decide_place(struct rack *r, const struct wire_place *msg)
{
	int64_t now = vh_kernel_now_ms(r->racks->core->kernel);
	struct vh_place_req req = { .start = msg->start,
				    .rack_epoch = msg->rack_epoch,
				    .again = msg->again };
	enum vh_err err;

	if (msg->deadline_in_ms)
		req.deadline_ms = now + msg->deadline_in_ms;
	r->current_request = msg;
	err = vh_rack_place(r->state, &req, now);
	r->current_request = NULL;
	if (err == VH_ERR_NO_CAPACITY)
		rack_preempt_for(r, msg);
	return err;
}

static void handle_place(struct vh_racks *rs, const struct wire_place *msg,
			 struct vh_peer_reply *reply)
{
	struct rack *r = rack_find(rs, msg->rack);
	struct place_waiter *w;
	enum vh_err err;

	if (!r || !r->owned) {
		vh_peer_answer(reply, VH_ERR_NOT_OWNER, vh_slice("", 0));
		return;
	}
	if (home_epoch_is_stale(rs, &msg->start)) {
		vh_peer_answer(reply, VH_ERR_STALE_EPOCH, vh_slice("", 0));
		return;
	}
	w = g_new0(struct place_waiter, 1);
	w->task = vh_slice_dup(msg->start.task);
	w->attempt = msg->start.attempt;
	w->reply = reply;
	w->next = r->waiters;
	r->waiters = w;
	err = decide_place(r, msg);
	if (err != VH_OK)
		rack_answer_waiters(r, msg->start.task, msg->start.attempt, err,
				    vh_slice("", 0));
	rack_schedule_tick(r);
}

static void on_place(void *ctx, const struct vh_node *from,
		     struct vh_slice body, struct vh_peer_reply *reply)
{
	struct wire_place msg;
	struct vh_unpack u;

	(void)from;
	if (wire_place_unpack(&u, body, &msg))
		handle_place(ctx, &msg, reply);
	else
		vh_peer_answer(reply, VH_ERR_BAD_REQUEST, vh_slice("", 0));
	vh_unpack_finish(&u);
}

static void on_stop(void *ctx, const struct vh_node *from, struct vh_slice body,
		    struct vh_peer_reply *reply)
{
	enum vh_err err = VH_ERR_BAD_REQUEST;
	struct wire_stop msg;
	struct vh_unpack u;
	struct rack *r;

	(void)from;
	if (wire_stop_unpack(&u, body, &msg)) {
		r = rack_find(ctx, msg.rack);
		err = VH_ERR_NOT_OWNER;
		if (r && r->owned) {
			err = vh_rack_stop(r->state, msg.stop.task,
					   msg.stop.attempt, msg.stop.mode);
			rack_schedule_tick(r);
		}
	}
	vh_unpack_finish(&u);
	vh_peer_answer(reply, err, vh_slice("", 0));
}

struct run_list {
	struct vh_buf runs;
	size_t n;
};

static void add_run(void *ctx, const struct vh_running_task *run,
		    struct vh_slice worker)
{
	struct run_list *list = ctx;

	wire_running_task_pack(&list->runs, run, worker);
	list->n++;
}

static void reconcile_rack(struct vh_racks *rs, struct vh_slice name,
			   struct vh_slice home, uint64_t home_epoch,
			   struct vh_buf *out)
{
	struct rack *r = rack_find(rs, name);
	struct run_list list = { { 0 }, 0 };
	bool complete = false;
	uint64_t epoch = 0;

	if (r && r->owned) {
		epoch = vh_rack_epoch(r->state);
		complete = vh_rack_fence_home(r->state, home, home_epoch);
		vh_rack_each_home_run(r->state, home, add_run, &list);
	}
	vh_pack_array(out, 4);
	vh_pack_slice(out, name);
	vh_pack_u64(out, epoch);
	vh_pack_bool(out, complete);
	vh_pack_array(out, list.n);
	vh_buf_add_slice(out, vh_buf_slice(&list.runs));
	vh_buf_finish(&list.runs);
}

static void on_reconcile(void *ctx, const struct vh_node *from,
			 struct vh_slice body, struct vh_peer_reply *reply)
{
	struct vh_unpack u, names;
	struct vh_slice home;
	struct vh_buf out;
	uint64_t epoch;
	uint32_t n;

	(void)from;
	vh_buf_init(&out);
	vh_unpack_init(&u, body, NULL);
	home = vh_unpack_slice(&u);
	epoch = vh_unpack_u64(&u);
	n = vh_unpack_array(&u, &names);
	if (u.ok) {
		vh_pack_array(&out, n);
		for (uint32_t i = 0; i < n; i++)
			reconcile_rack(ctx, vh_unpack_slice(&names), home,
				       epoch, &out);
	}
	vh_peer_answer(reply, u.ok ? VH_OK : VH_ERR_BAD_REQUEST,
		       vh_buf_slice(&out));
	vh_unpack_finish(&u);
	vh_buf_finish(&out);
}

struct worker_list {
	struct vh_candidate workers[VH_WAITLIST_WORKERS];
	size_t n;
};

static void add_worker(void *ctx, const struct vh_worker_view *view,
		       const struct vh_vm *vm)
{
	struct worker_list *list = ctx;
	struct vh_candidate *c;

	(void)vm;
	if (list->n == VH_WAITLIST_WORKERS)
		return;
	c = &list->workers[list->n++];
	c->capacity = view->capacity;
	c->free = view->free;
	c->usable = view->usable;
	c->same_job = view->n_tasks;
}

/* The rack that a hold or confirm request names; if this node may not serve
 * it, answers the call and returns NULL. */
static struct rack *hold_rack(struct vh_racks *rs, const struct wire_hold *msg,
			      struct vh_peer_reply *reply)
{
	struct rack *r = rack_find(rs, msg->rack);
	struct vh_claim claim;

	owners_get(rs->core->owners, msg->home, &claim);
	if (r && r->owned && msg->home_epoch >= claim.epoch)
		return r;
	vh_peer_answer(reply,
		       r && r->owned ? VH_ERR_STALE_EPOCH : VH_ERR_NOT_OWNER,
		       vh_slice("", 0));
	return NULL;
}

static void handle_hold(struct rack *r, const struct wire_hold *msg,
			struct vh_peer_reply *reply)
{
	struct vh_gang_request request = {
		.ticket = msg->ticket,
		.want = { .size = msg->size,
			  .cls = msg->cls,
			  .region = UINT32_MAX },
		.tasks = msg->tasks,
	};
	int64_t now = vh_kernel_now_ms(r->racks->core->kernel);
	struct worker_list list = { .n = 0 };
	struct vh_buf out;
	uint32_t held = 0;

	vh_gang_expire(&r->gangs, now);
	if (msg->tasks) {
		vh_rack_each_worker(r->state, add_worker, &list);
		held = vh_gang_hold(&r->gangs, &request, list.workers, list.n,
				    now);
	} else {
		vh_gang_release(&r->gangs, &msg->ticket);
	}
	vh_buf_init(&out);
	vh_pack_array(&out, 1);
	vh_pack_u64(&out, held);
	vh_peer_answer(reply, VH_OK, vh_buf_slice(&out));
	vh_buf_finish(&out);
}

static void on_hold(void *ctx, const struct vh_node *from, struct vh_slice body,
		    struct vh_peer_reply *reply)
{
	struct wire_hold msg;
	struct vh_unpack u;
	struct rack *r;

	(void)from;
	if (!wire_hold_unpack(&u, body, &msg)) {
		vh_peer_answer(reply, VH_ERR_BAD_REQUEST, vh_slice("", 0));
	} else {
		r = hold_rack(ctx, &msg, reply);
		if (r)
			handle_hold(r, &msg, reply);
	}
	vh_unpack_finish(&u);
}

static void on_confirm(void *ctx, const struct vh_node *from,
		       struct vh_slice body, struct vh_peer_reply *reply)
{
	struct wire_hold msg;
	struct vh_unpack u;
	struct rack *r;
	bool ok;

	(void)from;
	if (!wire_hold_unpack(&u, body, &msg)) {
		vh_peer_answer(reply, VH_ERR_BAD_REQUEST, vh_slice("", 0));
	} else {
		r = hold_rack(ctx, &msg, reply);
		if (r) {
			ok = vh_gang_confirm(
				&r->gangs, &msg.ticket, msg.tasks,
				vh_kernel_now_ms(r->racks->core->kernel));
			vh_peer_answer(reply, ok ? VH_OK : VH_ERR_NO_CAPACITY,
				       vh_slice("", 0));
		}
	}
	vh_unpack_finish(&u);
}

void racks_rpc_register(struct vh_racks *rs)
{
	struct vh_peer *p = rs->core->peer;

	vh_peer_set_handler(p, VH_METHOD_PLACE, on_place, rs);
	vh_peer_set_handler(p, VH_METHOD_STOP, on_stop, rs);
	vh_peer_set_handler(p, VH_METHOD_RECONCILE, on_reconcile, rs);
	vh_peer_set_handler(p, VH_METHOD_HOLD, on_hold, rs);
	vh_peer_set_handler(p, VH_METHOD_HOLD_CONFIRM, on_confirm, rs);
}
