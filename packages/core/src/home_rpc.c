#include "home_priv.h"

#define NO_BODY vh_slice("", 0)

/* The open home that a call names; if there is none, answers the call and
 * returns NULL. */
static struct home *open_home(struct vh_homes *hs, struct vh_slice unit,
			      struct vh_peer_reply *reply)
{
	struct home *h = home_find(hs, unit);

	if (h && h->open)
		return h;
	vh_peer_answer(reply, h ? VH_ERR_NOT_READY : VH_ERR_NOT_OWNER, NO_BODY);
	return NULL;
}

static void waiter_add(struct home *h, const struct vh_job *job,
		       bool until_durable, int64_t wait_ms,
		       struct vh_peer_reply *reply)
{
	struct job_waiter *w = g_new0(struct job_waiter, 1);

	w->id = vh_slice_dup(job->id);
	w->version = job->version;
	w->until_durable = until_durable;
	w->deadline_ms = home_now_ms(h) + wait_ms;
	w->reply = reply;
	w->next = h->waiters;
	h->waiters = w;
}

static void answer_job(struct vh_peer_reply *reply, const struct vh_job *job)
{
	struct vh_buf json;

	vh_buf_init(&json);
	job_to_json(job, &json);
	vh_peer_answer(reply, VH_OK, vh_buf_slice(&json));
	vh_buf_finish(&json);
}

/* Answers @w if its job has changed or its time is up; returns false if it
 * keeps waiting. */
static bool waiter_try_answer(struct home *h, struct job_waiter *w)
{
	struct vh_job *job = vh_home_job(h->state, vh_slice_str(w->id));
	bool timed_out = home_now_ms(h) >= w->deadline_ms;

	if (!job) {
		vh_peer_answer(w->reply, VH_ERR_NOT_FOUND, NO_BODY);
		return true;
	}
	if (w->until_durable) {
		if (!job->durable && !timed_out)
			return false;
		vh_peer_answer(w->reply,
			       job->durable ? VH_OK : VH_ERR_UNKNOWN_OUTCOME,
			       job->id);
		return true;
	}
	if (job->version == w->version && !job_is_terminal(job) && !timed_out)
		return false;
	answer_job(w->reply, job);
	return true;
}

void home_answer_waiters(struct home *h)
{
	struct job_waiter **at = &h->waiters;

	while (*at) {
		struct job_waiter *w = *at;

		if (!waiter_try_answer(h, w)) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		g_free(w->id);
		g_free(w);
	}
}

void home_cancel_waiters(struct home *h)
{
	while (h->waiters) {
		struct job_waiter *w = h->waiters;

		h->waiters = w->next;
		vh_peer_answer(w->reply, VH_ERR_NOT_OWNER, NO_BODY);
		g_free(w->id);
		g_free(w);
	}
}

/* Takes the reply out of @op, so that detach_ops() does not answer it too. */
static struct vh_peer_reply *op_reply(struct home_op *op)
{
	struct vh_peer_reply *reply = op->reply;

	op->reply = NULL;
	return reply;
}

static void job_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;
	struct vh_job *job = vh_home_job(h->state, vh_slice_str(op->id));

	(void)offset;
	if (err == VH_OK)
		vh_peer_answer(op_reply(op), VH_OK, vh_slice_str(op->id));
	else
		vh_peer_answer(op_reply(op),
			       err == VH_ERR_STALE_EPOCH ? VH_ERR_NOT_OWNER
							 : err,
			       NO_BODY);
	if (err != VH_OK && job && !job->durable)
		vh_home_submit_failed(h->state, job);
	home_op_free(op);
	home_schedule_dispatch(h);
}

struct submit_msg {
	struct vh_slice unit;
	struct vh_slice key;
	uint64_t fingerprint;
	int64_t wait_ms;
	struct vh_job_spec spec;
};

static void handle_submit(struct home *h, const struct submit_msg *msg,
			  struct vh_peer_reply *reply)
{
	struct vh_job *job = NULL;
	struct home_op *op;
	struct vh_buf body;

	vh_buf_init(&body);
	switch (vh_home_submit(h->state, msg->key, msg->fingerprint, &msg->spec,
			       vh_clock_wall_ms(h->homes->core->kernel->clock),
			       home_now_ms(h), &body, &job)) {
	case VH_SUBMIT_NEW:
		/* Refusing is safe only for a new key: for a known one the
		 * job may have been accepted and run before. */
		if (vh_log_stream_is_stale(h->stream)) {
			vh_home_submit_failed(h->state, job);
			vh_peer_answer(reply, VH_ERR_LOG_UNAVAILABLE, NO_BODY);
			break;
		}
		op = home_op_new(h, false);
		op->id = vh_slice_dup(job->id);
		op->reply = reply;
		vh_log_stream_append(h->stream, VH_REC_JOB, vh_buf_slice(&body),
				     job_recorded, op);
		break;
	case VH_SUBMIT_DUPLICATE:
		waiter_add(h, job, true, msg->wait_ms, reply);
		home_schedule_dispatch(h);
		break;
	case VH_SUBMIT_CONFLICT:
		vh_peer_answer(reply, VH_ERR_CONFLICT, NO_BODY);
		break;
	}
	vh_buf_finish(&body);
}

static void on_submit(void *ctx, const struct vh_node *from,
		      struct vh_slice body, struct vh_peer_reply *reply)
{
	struct submit_msg msg = { 0 };
	struct vh_unpack u;
	struct home *h;
	bool ok = vh_unpack_init(&u, body, NULL);

	(void)from;
	msg.unit = vh_unpack_slice(&u);
	msg.key = vh_unpack_slice(&u);
	msg.fingerprint = vh_unpack_u64(&u);
	msg.wait_ms = vh_unpack_i64(&u);
	ok = ok && vh_job_spec_unpack(vh_unpack_slice(&u), &msg.spec, NULL);
	if (!ok || !u.ok) {
		vh_peer_answer(reply, VH_ERR_BAD_REQUEST, NO_BODY);
	} else {
		h = open_home(ctx, msg.unit, reply);
		if (h)
			handle_submit(h, &msg, reply);
	}
	g_free(msg.spec.tasks);
	vh_unpack_finish(&u);
}

static void on_get(void *ctx, const struct vh_node *from, struct vh_slice body,
		   struct vh_peer_reply *reply)
{
	struct vh_unpack u;
	struct vh_slice unit, id;
	int64_t wait_ms;
	struct vh_job *job;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	unit = vh_unpack_slice(&u);
	id = vh_unpack_slice(&u);
	wait_ms = vh_unpack_i64(&u);
	h = open_home(ctx, unit, reply);
	if (h) {
		job = vh_home_job(h->state, id);
		if (!job || !job->durable)
			vh_peer_answer(reply, VH_ERR_NOT_FOUND, NO_BODY);
		else if (wait_ms > 0 && !job_is_terminal(job))
			waiter_add(h, job, false, wait_ms, reply);
		else
			answer_job(reply, job);
	}
	vh_unpack_finish(&u);
}

static void cancel_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;
	struct vh_job *job = vh_home_job(h->state, vh_slice_str(op->id));

	(void)offset;
	if (err == VH_OK && job)
		answer_job(op_reply(op), job);
	else
		vh_peer_answer(op_reply(op),
			       err == VH_OK ? VH_ERR_NOT_FOUND : err, NO_BODY);
	home_op_free(op);
	home_schedule_dispatch(h);
}

static void handle_cancel(struct home *h, struct vh_slice id,
			  struct vh_peer_reply *reply)
{
	struct vh_job *job = vh_home_job(h->state, id);
	struct home_op *op;
	struct vh_buf body;

	if (!job || !job->durable) {
		vh_peer_answer(reply, VH_ERR_NOT_FOUND, NO_BODY);
		return;
	}
	vh_buf_init(&body);
	if (vh_home_cancel(h->state, job, &body)) {
		op = home_op_new(h, false);
		op->id = vh_slice_dup(id);
		op->reply = reply;
		vh_log_stream_append(h->stream, VH_REC_CANCEL,
				     vh_buf_slice(&body), cancel_recorded, op);
	} else {
		answer_job(reply, job);
	}
	vh_buf_finish(&body);
}

static void on_cancel(void *ctx, const struct vh_node *from,
		      struct vh_slice body, struct vh_peer_reply *reply)
{
	struct vh_unpack u;
	struct vh_slice unit, id;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	unit = vh_unpack_slice(&u);
	id = vh_unpack_slice(&u);
	h = open_home(ctx, unit, reply);
	if (h)
		handle_cancel(h, id, reply);
	vh_unpack_finish(&u);
}

/* The answer contains the home's epoch, so that the rack can ignore a deposed
 * owner of the home. */
static void answer_end(const struct home *h, struct vh_peer_reply *reply,
		       enum vh_err err)
{
	struct vh_buf body;

	vh_buf_init(&body);
	vh_pack_array(&body, 1);
	vh_pack_u64(&body, h->epoch);
	vh_peer_answer(reply, err, vh_buf_slice(&body));
	vh_buf_finish(&body);
}

static void end_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;

	(void)offset;
	answer_end(h, op_reply(op),
		   err == VH_ERR_STALE_EPOCH ? VH_ERR_NOT_OWNER : err);
	home_op_free(op);
	home_schedule_dispatch(h);
}

static void handle_ended(struct home *h, const struct wire_ended *msg,
			 struct vh_peer_reply *reply)
{
	struct vh_task *task = vh_home_task(h->state, msg->ended.task);
	struct home_op *op;
	struct vh_buf body;

	if (!task) {
		answer_end(h, reply, VH_ERR_NOT_FOUND);
		return;
	}
	if (vh_home_must_defer_end(h->state, &msg->ended)) {
		vh_peer_answer(reply, VH_ERR_NOT_READY, NO_BODY);
		return;
	}
	vh_buf_init(&body);
	if (vh_home_attempt_ended(h->state, &msg->ended, home_now_ms(h),
				  &body)) {
		op = home_op_new(h, false);
		op->reply = reply;
		vh_log_stream_append(h->stream, VH_REC_END, vh_buf_slice(&body),
				     end_recorded, op);
	} else {
		answer_end(h, reply, VH_OK);
		home_schedule_dispatch(h);
	}
	vh_buf_finish(&body);
}

static void on_ended(void *ctx, const struct vh_node *from,
		     struct vh_slice body, struct vh_peer_reply *reply)
{
	struct wire_ended msg;
	struct vh_unpack u;
	struct home *h;

	(void)from;
	if (!wire_ended_unpack(&u, body, &msg)) {
		vh_peer_answer(reply, VH_ERR_BAD_REQUEST, NO_BODY);
	} else {
		h = open_home(ctx, msg.ended.home, reply);
		if (h)
			handle_ended(h, &msg, reply);
	}
	vh_unpack_finish(&u);
}

static void request_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;

	(void)offset;
	vh_peer_answer(op_reply(op),
		       err == VH_ERR_STALE_EPOCH ? VH_ERR_NOT_OWNER : err,
		       NO_BODY);
	home_op_free(op);
	home_schedule_dispatch(h);
}

static void request_append(struct home *h, enum vh_rec_kind kind,
			   const struct vh_buf *body,
			   struct vh_peer_reply *reply)
{
	struct home_op *op = home_op_new(h, false);

	op->reply = reply;
	vh_log_stream_append(h->stream, kind, vh_buf_slice(body),
			     request_recorded, op);
}

static void handle_request_begin(struct home *h, struct vh_slice key,
				 uint64_t fingerprint,
				 struct vh_peer_reply *reply)
{
	uint32_t status = 0;
	struct vh_buf body, answer;

	vh_buf_init(&body);
	vh_buf_init(&answer);
	switch (vh_home_request(h->state, key, fingerprint,
				vh_clock_wall_ms(h->homes->core->kernel->clock),
				&body, &status)) {
	case VH_REQUEST_NEW:
		if (vh_log_stream_is_stale(h->stream)) {
			vh_home_request_failed(h->state, key);
			vh_peer_answer(reply, VH_ERR_LOG_UNAVAILABLE, NO_BODY);
			break;
		}
		request_append(h, VH_REC_REQUEST, &body, reply);
		break;
	case VH_REQUEST_UNDER_WAY:
		vh_peer_answer(reply, VH_ERR_UNKNOWN_OUTCOME, NO_BODY);
		break;
	case VH_REQUEST_ENDED:
		vh_pack_array(&answer, 1);
		vh_pack_u64(&answer, status);
		vh_peer_answer(reply, VH_ERR_CANCELLED, vh_buf_slice(&answer));
		break;
	case VH_REQUEST_CONFLICT:
		vh_peer_answer(reply, VH_ERR_CONFLICT, NO_BODY);
		break;
	}
	vh_buf_finish(&body);
	vh_buf_finish(&answer);
}

static void on_request_begin(void *ctx, const struct vh_node *from,
			     struct vh_slice body, struct vh_peer_reply *reply)
{
	struct vh_unpack u;
	struct vh_slice unit, key;
	uint64_t fingerprint;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	unit = vh_unpack_slice(&u);
	key = vh_unpack_slice(&u);
	fingerprint = vh_unpack_u64(&u);
	h = open_home(ctx, unit, reply);
	if (h)
		handle_request_begin(h, key, fingerprint, reply);
	vh_unpack_finish(&u);
}

static void on_request_end(void *ctx, const struct vh_node *from,
			   struct vh_slice body, struct vh_peer_reply *reply)
{
	struct vh_unpack u;
	struct vh_slice unit, key;
	uint32_t status;
	struct vh_buf record;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	unit = vh_unpack_slice(&u);
	key = vh_unpack_slice(&u);
	status = vh_unpack_u32(&u);
	h = open_home(ctx, unit, reply);
	if (h) {
		vh_buf_init(&record);
		vh_home_request_ended(h->state, key, status, &record);
		request_append(h, VH_REC_REQUEST_END, &record, reply);
		vh_buf_finish(&record);
	}
	vh_unpack_finish(&u);
}

struct upstream_list {
	struct vh_core *core;
	struct vh_slice service;
	struct vh_buf rows;
	size_t n;
};

static void add_upstream(struct upstream_list *list, const struct vh_job *job,
			 const struct vh_task *task)
{
	const struct vh_vm *vm = vh_vm_list_find(list->core->vms, task->worker);

	if (!vm)
		return;
	vh_pack_array(&list->rows, 8);
	vh_pack_slice(&list->rows, vm->id);
	vh_pack_slice(&list->rows, vm->address);
	vh_pack_u64(&list->rows, vm->port);
	vh_pack_slice(&list->rows, vm->region);
	vh_pack_slice(&list->rows, vm->zone);
	vh_pack_slice(&list->rows, vm->rack);
	wire_pack_res(&list->rows, &job->spec.tasks[task->index].size);
	vh_pack_bool(&list->rows, vm->leaving || vm->gone);
	list->n++;
}

static void add_upstreams(void *ctx, struct vh_job *job)
{
	struct upstream_list *list = ctx;

	if (!job->n_unfinished || job->cancelled ||
	    !vh_slice_eq(job->spec.service, list->service))
		return;
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == VH_TASK_RUNNING)
			add_upstream(list, job, &job->tasks[i]);
	}
}

static void on_upstreams(void *ctx, const struct vh_node *from,
			 struct vh_slice body, struct vh_peer_reply *reply)
{
	struct vh_homes *hs = ctx;
	struct upstream_list list = { .core = hs->core };
	struct vh_unpack u;
	struct vh_slice unit;
	struct vh_buf out;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	unit = vh_unpack_slice(&u);
	list.service = vh_unpack_slice(&u);
	h = open_home(hs, unit, reply);
	if (h) {
		vh_buf_init(&out);
		vh_home_each_job(h->state, add_upstreams, &list);
		vh_pack_array(&out, list.n);
		vh_buf_add_slice(&out, vh_buf_slice(&list.rows));
		vh_peer_answer(reply, VH_OK, vh_buf_slice(&out));
		vh_buf_finish(&out);
		vh_buf_finish(&list.rows);
	}
	vh_unpack_finish(&u);
}

void home_rpc_register(struct vh_homes *hs)
{
	struct vh_peer *p = hs->core->peer;

	vh_peer_set_handler(p, VH_METHOD_SUBMIT, on_submit, hs);
	vh_peer_set_handler(p, VH_METHOD_JOB_GET, on_get, hs);
	vh_peer_set_handler(p, VH_METHOD_JOB_CANCEL, on_cancel, hs);
	vh_peer_set_handler(p, VH_METHOD_TASK_ENDED, on_ended, hs);
	vh_peer_set_handler(p, VH_METHOD_REQUEST_BEGIN, on_request_begin, hs);
	vh_peer_set_handler(p, VH_METHOD_REQUEST_END, on_request_end, hs);
	vh_peer_set_handler(p, VH_METHOD_UPSTREAMS, on_upstreams, hs);
}
