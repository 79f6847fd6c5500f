#include "home_priv.h"

#include "fleet.h"
#include "owners.h"
#include "vh/share.h"

#define DISPATCH_MAX 128
#define PLACE_TIMEOUT_MS 4000
#define RESEND_DELAY_MS 300
#define RETRY_MS 100
#define DISPATCH_MS 50
#define RACKS_MAX 3
#define STOP_TIMEOUT_MS 2000

static bool rack_owner(const struct home *h, const char *rack,
		       struct vh_claim *claim)
{
	char unit[VH_UNIT_MAX + 1];

	g_snprintf(unit, sizeof(unit), "rack/%s", rack);
	return owners_get(h->homes->core->owners, vh_slice_str(unit), claim);
}

static bool rack_is_reconciled(const struct home *h, const struct home_rack *r)
{
	struct vh_claim claim;

	return rack_owner(h, r->name, &claim) &&
	       r->reconciled_epoch == claim.epoch;
}

/* A reconciled rack that has capacity according to the summaries, or NULL and
 * the reason in *@why. */
static struct home_rack *pick_rack(struct home *h, const struct vh_task *task,
				   struct vh_slice region, enum vh_err *why)
{
	struct vh_fleet *fleet = h->homes->core->fleet;
	const struct vh_job_spec *spec = &task->job->spec;
	struct vh_pick_request want = {
		.want = { .size = spec->tasks[task->index].size,
			  .cls = spec->cls,
			  .region = fleet_region_index(fleet, region),
			  .spread = spec->cls == VH_CLASS_SERVICE },
		.away = true,
		.refused = UINT32_MAX,
		.k = RACKS_MAX,
		.seed = h->pick_seed++,
	};
	struct vh_pick pick;

	fleet_pick_rack(fleet, &want, &pick);
	*why = pick.kind == VH_PICK_NEVER_FITS ? VH_ERR_NEVER_FITS
					       : VH_ERR_NO_CAPACITY;
	if (pick.kind == VH_PICK_NEVER_FITS)
		return NULL;
	for (unsigned int i = 0; i < pick.n; i++) {
		struct home_rack *r =
			home_rack_find(h, fleet_rack_name(fleet, pick.rack[i]));

		if (r && rack_is_reconciled(h, r)) {
			fleet_note_request(fleet, pick.rack[i]);
			return r;
		}
	}
	return NULL;
}

struct vh_slice home_region(const struct home *h, const struct vh_job *job)
{
	if (job->spec.region.len)
		return job->spec.region;
	return vh_slice_str(h->homes->core->region);
}

static void send_place(struct home *h, struct vh_task *task,
		       uint64_t asked_epoch);

static void resend_place(void *ctx)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	struct vh_task *task = vh_home_task(h->state, vh_slice_str(op->id));
	uint32_t attempt = op->attempt;
	uint64_t epoch = op->rack_epoch;

	home_op_free(op);
	if (task && task->attempt == attempt &&
	    task->state == VH_TASK_REQUESTED)
		send_place(h, task, epoch);
}

/* Resends the requests that are due; they are listed as operations. */
static void resend_due(struct home *h)
{
	int64_t now = home_now_ms(h);
	struct home_op *op = h->ops;

	while (op) {
		struct home_op *next = op->next;

		if (op->retry_scheduled && op->due_ms <= now) {
			resend_place(op);
			next = h->ops;
		}
		op = next;
	}
}

static void schedule_resend(struct home *h, const struct home_op *call)
{
	struct home_op *op = home_op_new(h, true);

	op->retry_scheduled = true;
	op->due_ms = home_now_ms(h) + RESEND_DELAY_MS;
	op->id = g_strdup(call->id);
	op->attempt = call->attempt;
	op->rack_epoch = call->rack_epoch;
}

static void attempt_not_started(struct home *h, struct home_op *op,
				struct vh_task *task, enum vh_err err)
{
	vh_home_attempt_not_started(h->state, task, op->attempt, err,
				    home_now_ms(h) + RETRY_MS);
}

static bool outcome_is_unknown(const struct home_op *op, enum vh_err err)
{
	if (op->again)
		return err != VH_OK && err != VH_ERR_CANCELLED &&
		       err != VH_ERR_NO_CAPACITY && err != VH_ERR_NEVER_FITS &&
		       err != VH_ERR_DEADLINE;
	return err == VH_ERR_UNKNOWN_OUTCOME || err == VH_ERR_INTERNAL;
}

static void place_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	struct vh_task *task;

	if (!h) {
		home_op_free(op);
		return;
	}
	task = vh_home_task(h->state, vh_slice_str(op->id));
	if (task && task->attempt == op->attempt &&
	    task->state == VH_TASK_REQUESTED) {
		if (outcome_is_unknown(op, err))
			schedule_resend(h, op);
		else if (err == VH_OK)
			vh_home_attempt_started(h->state, task, op->attempt,
						body);
		else
			attempt_not_started(h, op, task, err);
	}
	home_op_free(op);
	home_schedule_dispatch(h);
}

static int64_t time_to_deadline(const struct home *h, const struct vh_job *job)
{
	int64_t left;

	if (!job->spec.deadline_ms)
		return 0;
	left = job->accepted_ms + job->spec.deadline_ms - home_now_ms(h);
	return left > 0 ? left : 1;
}

static char *task_id(const struct vh_task *task)
{
	return g_strdup_printf("%.*s/%u", VH_SLICE_ARGS(task->job->id),
			       task->index);
}

static bool is_gang(const struct vh_job *job)
{
	return job->spec.gang && job->spec.n_tasks > 1;
}

static uint32_t team_weight(const struct home *h)
{
	const struct vh_objects *set = core_objects(h->homes->core);
	const struct vh_team *team =
		set ? vh_objects_find_team(set, vh_slice_str(h->team)) : NULL;

	return team && team->share ? team->share->weight : 1;
}

/* Fills in what the rack's owner needs to order the waiting demands. */
static void fill_demand(const struct home *h, const struct vh_task *task,
			struct wire_place *msg)
{
	const struct vh_job *job = task->job;
	uint32_t weight = team_weight(h);
	struct vh_home_counts counts;
	struct vh_res total;

	vh_home_counts(h->state, &counts);
	fleet_total_capacity(h->homes->core->fleet, &total);
	msg->share = vh_share_weighted(
		vh_share_dominant(&counts.committed, &total), weight);
	msg->step = vh_share_weighted(
		vh_share_dominant(&msg->start.size, &total), weight);
	msg->waited_ms = home_now_ms(h) - job->accepted_ms;
	msg->priority = job->spec.priority;
	msg->run_ms = job->spec.tasks[task->index].run_ms;
	if (is_gang(job))
		msg->ticket = home_gang_ticket(job);
}

/* Sends the start to the rack's owner. @asked_epoch is 0, or for a resend the
 * rack epoch that was asked first: a resend goes to that owner or to none. If
 * the rack has a new owner, reconciling it tells the outcome. */
static void send_place(struct home *h, struct vh_task *task,
		       uint64_t asked_epoch)
{
	bool again = asked_epoch != 0;
	const struct vh_task_spec *spec = &task->job->spec.tasks[task->index];
	struct home_op *op = home_op_new(h, true);
	struct wire_place msg = { .again = again };
	struct vh_claim claim;
	struct vh_buf body;

	op->id = task_id(task);
	op->rack = vh_slice_dup(task->rack);
	op->attempt = task->attempt;
	op->again = again;
	op->rack_epoch = asked_epoch;
	if (!rack_owner(h, op->rack, &claim)) {
		place_done(op, again ? VH_ERR_NOT_OWNER : VH_ERR_UNREACHABLE,
			   vh_slice("", 0));
		return;
	}
	if (again && claim.epoch != asked_epoch) {
		home_op_free(op);
		return;
	}
	op->rack_epoch = claim.epoch;
	msg.rack = vh_slice_str(op->rack);
	msg.rack_epoch = claim.epoch;
	msg.start.task = vh_slice_str(op->id);
	msg.start.attempt = task->attempt;
	msg.start.home = vh_slice_str(h->unit);
	msg.start.home_epoch = h->epoch;
	msg.start.cls = task->job->spec.cls;
	msg.start.size = spec->size;
	msg.start.service = task->job->spec.service;
	msg.start.input = spec->input;
	msg.start.idempotent = task->job->spec.idempotent;
	msg.deadline_in_ms = time_to_deadline(h, task->job);
	fill_demand(h, task, &msg);
	vh_buf_init(&body);
	wire_place_pack(&body, &msg);
	vh_peer_call(h->homes->core->peer, claim.node, VH_METHOD_PLACE,
		     vh_buf_slice(&body), PLACE_TIMEOUT_MS, place_done, op);
	vh_buf_finish(&body);
}

static void attempt_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;
	struct vh_task *task = vh_home_task(h->state, vh_slice_str(op->id));
	uint32_t attempt = op->attempt;

	(void)offset;
	home_op_free(op);
	if (!task || task->attempt != attempt)
		return;
	if (err == VH_OK)
		send_place(h, task, 0);
	else if (err == VH_ERR_LOG_UNAVAILABLE)
		vh_home_attempt_not_started(h->state, task, attempt, err,
					    home_now_ms(h) + RETRY_MS);
}

static void record_attempt(struct home *h, struct vh_task *task,
			   struct vh_slice body)
{
	struct home_op *op = home_op_new(h, false);

	op->id = task_id(task);
	op->attempt = task->attempt;
	vh_log_stream_append(h->stream, VH_REC_ATTEMPT, body, attempt_recorded,
			     op);
}

void home_send_start(struct home *h, struct vh_task *task,
		     const struct vh_buf *record)
{
	if (record->len)
		record_attempt(h, task, vh_buf_slice(record));
	else
		send_place(h, task, false);
}

static void start_task(struct home *h, struct vh_task *task)
{
	enum vh_err why, err;
	struct home_rack *r =
		pick_rack(h, task, home_region(h, task->job), &why);
	struct vh_buf body;

	if (!r) {
		task->why = why;
		return;
	}
	vh_buf_init(&body);
	err = vh_home_start_attempt(h->state, task, vh_slice_str(r->name),
				    &body);
	if (err == VH_OK && body.len)
		record_attempt(h, task, vh_buf_slice(&body));
	else if (err == VH_OK)
		send_place(h, task, 0);
	else
		task->why = err;
	vh_buf_finish(&body);
}

void home_dispatch(void *ctx)
{
	struct home *h = ctx;
	struct vh_task *tasks[DISPATCH_MAX];
	size_t n;

	if (!h->open || h->homes->stopping)
		return;
	resend_due(h);
	n = vh_home_waiting(h->state, home_now_ms(h), tasks, DISPATCH_MAX);
	for (size_t i = 0; i < n; i++) {
		struct vh_job *job = tasks[i]->job;

		if (!is_gang(job))
			start_task(h, tasks[i]);
		else if (!i || tasks[i - 1]->job != job)
			home_gang_advance(h, job);
	}
	home_transfer_credit(h);
	home_answer_waiters(h);
	if (!vh_timer_pending(&h->dispatch))
		vh_timer_start(&h->dispatch, DISPATCH_MS);
}

static void stop_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	(void)err;
	(void)body;
	home_op_free(ctx);
}

void home_send_stop(struct home *h, const struct vh_task *task,
		    enum vh_stop_mode mode)
{
	char *rack = vh_slice_dup(task->rack);
	char *id = task_id(task);
	struct wire_stop msg = {
		.rack = vh_slice_str(rack),
		.stop = { vh_slice_str(id), task->attempt, mode },
	};
	struct vh_claim claim;
	struct vh_buf body;

	vh_buf_init(&body);
	wire_stop_pack(&body, &msg);
	if (rack_owner(h, rack, &claim))
		vh_peer_call(h->homes->core->peer, claim.node, VH_METHOD_STOP,
			     vh_buf_slice(&body), STOP_TIMEOUT_MS, stop_done,
			     home_op_new(h, true));
	vh_buf_finish(&body);
	g_free(rack);
	g_free(id);
}
