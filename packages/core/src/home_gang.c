#include "home_priv.h"

#include "fleet.h"
#include "owners.h"
#include "vh/gang.h"

/*
 * Starts gangs all or none: requests holds from racks, confirms them once every
 * task has one, then starts all tasks. No task is started before all holds are
 * confirmed.
 */

#define CALL_TIMEOUT_MS 1500
#define RETRY_MS 200
#define RACKS_MAX VH_PICK_MAX
#define IDLE_TTL_MS 10000

struct home_gang {
	struct home_gang *next;
	char *job;
	struct vh_gang gang;
	unsigned int pending_confirms; /* pending confirm calls */
	int64_t last_used_ms;
};

struct vh_gang_ticket home_gang_ticket(const struct vh_job *job)
{
	struct vh_gang_ticket t = { job->accepted_wall_ms,
				    vh_slice_hash(job->id, 0) | 1 };

	return t;
}

/* All holds of a gang have the maximum of its tasks' sizes in each dimension,
 * so that any task fits any hold. */
static struct vh_place_request gang_place_request(const struct home *h,
						  const struct vh_job *job)
{
	struct vh_place_request want = {
		.cls = job->spec.cls,
		.region = fleet_region_index(h->homes->core->fleet,
					     home_region(h, job)),
	};

	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		for (int d = 0; d < VH_DIM_COUNT; d++) {
			uint32_t v = job->spec.tasks[i].size.v[d];

			if (v > want.size.v[d])
				want.size.v[d] = v;
		}
	}
	return want;
}

static uint32_t count_waiting(const struct vh_job *job)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++)
		n += job->tasks[i].state == VH_TASK_WAITING;
	return n;
}

static void gang_free(struct home_gang *g)
{
	g_free(g->job);
	g_free(g);
}

void home_gangs_finish(struct home *h)
{
	while (h->gangs) {
		struct home_gang *g = h->gangs;

		h->gangs = g->next;
		gang_free(g);
	}
}

static struct home_gang *gang_find(struct home *h, struct vh_slice job)
{
	struct home_gang *g = h->gangs;

	while (g && !vh_slice_eq_str(job, g->job))
		g = g->next;
	return g;
}

static void gang_reset(struct home *h, struct home_gang *g,
		       const struct vh_job *job, uint32_t tasks)
{
	struct vh_gang_ticket ticket = home_gang_ticket(job);
	struct vh_place_request want = gang_place_request(h, job);

	vh_gang_init(&g->gang, &ticket, &want, tasks, home_now_ms(h));
}

static struct home_gang *gang_get(struct home *h, const struct vh_job *job,
				  uint32_t tasks)
{
	struct home_gang *g = gang_find(h, job->id);

	if (!g) {
		g = g_new0(struct home_gang, 1);
		g->job = vh_slice_dup(job->id);
		gang_reset(h, g, job, tasks);
		g->next = h->gangs;
		h->gangs = g;
	}
	g->last_used_ms = home_now_ms(h);
	return g;
}

static bool rack_call(struct home *h, unsigned int method, uint32_t rack,
		      const struct wire_hold *hold,
		      void (*done)(void *ctx, enum vh_err err,
				   struct vh_slice body),
		      struct home_op *op)
{
	char unit[VH_UNIT_MAX + 1];
	struct wire_hold msg = *hold;
	struct vh_claim claim;
	struct vh_buf body;

	msg.rack = fleet_rack_name(h->homes->core->fleet, rack);
	msg.home = vh_slice_str(h->unit);
	msg.home_epoch = h->epoch;
	g_snprintf(unit, sizeof(unit), "rack/%.*s", VH_SLICE_ARGS(msg.rack));
	if (!owners_get(h->homes->core->owners, vh_slice_str(unit), &claim)) {
		home_op_free(op);
		return false;
	}
	vh_buf_init(&body);
	wire_hold_pack(&body, &msg);
	vh_peer_call(h->homes->core->peer, claim.node, method,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, done, op);
	vh_buf_finish(&body);
	return true;
}

static struct home_op *gang_op(struct home *h, const struct home_gang *g,
			       uint32_t rack)
{
	struct home_op *op = home_op_new(h, true);

	op->id = g_strdup(g->job);
	op->attempt = rack;
	op->due_ms = home_now_ms(h);
	return op;
}

static void hold_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	struct home_gang *g = h ? gang_find(h, vh_slice_str(op->id)) : NULL;
	struct vh_unpack u;
	uint32_t held;

	if (g && err == VH_OK) {
		vh_unpack_init(&u, body, NULL);
		held = vh_unpack_u32(&u);
		if (u.ok)
			vh_gang_hold_reply(&g->gang, op->attempt, held,
					   op->due_ms, home_now_ms(h));
		vh_unpack_finish(&u);
	}
	home_op_free(op);
	if (g)
		home_schedule_dispatch(h);
}

static void send_hold_requests(struct home *h, struct home_gang *g)
{
	struct wire_hold msg = { .ticket = g->gang.ticket,
				 .size = g->gang.want.size,
				 .cls = g->gang.want.cls };

	for (size_t i = 0; i < g->gang.n_parts; i++) {
		const struct vh_gang_rack *part = &g->gang.parts[i];

		msg.tasks = part->wanted;
		if (part->wanted || part->held)
			rack_call(h, VH_METHOD_HOLD, part->rack, &msg,
				  hold_done, gang_op(h, g, part->rack));
	}
}

/* How many tasks of @size the rack's workers would hold if they were empty. */
static uint32_t rack_empty_capacity(const struct home *h, struct vh_slice rack,
				    const struct vh_res *size)
{
	const struct vh_vm *vms;
	size_t n = vh_vm_list_workers(h->homes->core->vms, &vms);
	uint32_t room = 0;

	for (size_t i = 0; i < n; i++) {
		uint32_t fit = UINT32_MAX;

		if (vms[i].gone || vms[i].leaving ||
		    !vh_slice_eq(vms[i].rack, rack))
			continue;
		for (int d = 0; d < VH_DIM_COUNT; d++) {
			if (size->v[d] &&
			    vms[i].capacity.v[d] / size->v[d] < fit)
				fit = vms[i].capacity.v[d] / size->v[d];
		}
		room += fit < VH_JOB_TASKS_MAX ? fit : VH_JOB_TASKS_MAX;
	}
	return room;
}

static enum vh_err request_holds(struct home *h, struct home_gang *g)
{
	struct vh_fleet *fleet = h->homes->core->fleet;
	struct vh_pick_request want = { .want = g->gang.want,
					.away = true,
					.refused = UINT32_MAX,
					.k = RACKS_MAX,
					.seed = h->pick_seed++ };
	uint32_t room[RACKS_MAX];
	struct vh_pick pick;

	fleet_pick_rack(fleet, &want, &pick);
	if (pick.kind == VH_PICK_NEVER_FITS)
		return VH_ERR_NEVER_FITS;
	for (unsigned int i = 0; i < pick.n; i++)
		room[i] = rack_empty_capacity(
			h, fleet_rack_name(fleet, pick.rack[i]),
			&g->gang.want.size);
	vh_gang_plan(&g->gang, pick.rack, room, pick.n);
	send_hold_requests(h, g);
	return VH_ERR_NO_CAPACITY;
}

static void confirm_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	struct home_gang *g = h ? gang_find(h, vh_slice_str(op->id)) : NULL;

	(void)body;
	if (g) {
		g->pending_confirms--;
		vh_gang_confirm_reply(&g->gang, op->attempt, err == VH_OK,
				      home_now_ms(h));
	}
	home_op_free(op);
	if (g)
		home_schedule_dispatch(h);
}

static void confirm_holds(struct home *h, struct home_gang *g)
{
	struct wire_hold msg = { .ticket = g->gang.ticket,
				 .size = g->gang.want.size,
				 .cls = g->gang.want.cls };

	if (g->pending_confirms)
		return;
	for (size_t i = 0; i < g->gang.n_parts; i++) {
		const struct vh_gang_rack *part = &g->gang.parts[i];

		msg.tasks = part->wanted;
		if (!part->wanted || part->confirmed)
			continue;
		g->pending_confirms++;
		if (!rack_call(h, VH_METHOD_HOLD_CONFIRM, part->rack, &msg,
			       confirm_done, gang_op(h, g, part->rack)))
			g->pending_confirms--;
	}
}

static void release_holds(struct home *h, struct home_gang *g)
{
	struct wire_hold msg = { .ticket = g->gang.ticket,
				 .size = g->gang.want.size,
				 .cls = g->gang.want.cls };

	for (size_t i = 0; i < g->gang.n_parts; i++)
		rack_call(h, VH_METHOD_HOLD, g->gang.parts[i].rack, &msg,
			  hold_done, gang_op(h, g, g->gang.parts[i].rack));
}

/* A gang task with a new attempt, and the attempt's record. */
struct gang_start {
	struct vh_task *task;
	struct vh_buf record;
};

/* Starts an attempt of every task, which takes its credit. The team's limit may
 * allow only some of them. Returns the number of attempts started. */
static uint32_t start_attempts(struct home *h, struct home_gang *g,
			       struct vh_job *job, struct gang_start *starts)
{
	struct vh_fleet *fleet = h->homes->core->fleet;
	uint32_t left = 0, n = 0;
	size_t part = 0;

	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		struct vh_task *task = &job->tasks[i];
		enum vh_err err;

		if (task->state != VH_TASK_WAITING)
			continue;
		while (!left && part < g->gang.n_parts)
			left = g->gang.parts[part++].wanted;
		if (!left || n == g->gang.tasks)
			break;
		left--;
		err = vh_home_start_attempt(
			h->state, task,
			fleet_rack_name(fleet, g->gang.parts[part - 1].rack),
			&starts[n].record);
		task->why = err;
		if (err != VH_OK)
			break;
		starts[n++].task = task;
	}
	return n;
}

static void revert_attempts(struct home *h, const struct gang_start *starts,
			    uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		vh_home_attempt_not_started(h->state, starts[i].task,
					    starts[i].task->attempt,
					    VH_ERR_LIMIT_REACHED,
					    home_now_ms(h) + RETRY_MS);
}

static void start_all(struct home *h, struct home_gang *g, struct vh_job *job)
{
	uint32_t n = job->spec.n_tasks;
	struct gang_start *starts = g_new0(struct gang_start, n);
	uint32_t started = start_attempts(h, g, job, starts);
	bool all = started == g->gang.tasks;

	if (!all) {
		revert_attempts(h, starts, started);
		release_holds(h, g);
	}
	for (uint32_t i = 0; all && i < started; i++)
		home_send_start(h, starts[i].task, &starts[i].record);
	for (uint32_t i = 0; i < n; i++)
		vh_buf_finish(&starts[i].record);
	g_free(starts);
}

static void gang_remove(struct home *h, struct home_gang *g)
{
	struct home_gang **at = &h->gangs;

	while (*at != g)
		at = &(*at)->next;
	*at = g->next;
	gang_free(g);
}

void home_gang_advance(struct home *h, struct vh_job *job)
{
	uint32_t waiting = count_waiting(job);
	struct home_gang *g = gang_get(h, job, waiting);
	enum vh_err why = VH_ERR_NO_CAPACITY;
	bool due = home_now_ms(h) >=
		   g->gang.next_ms; /* before vh_gang_tick() changes it */

	if (g->gang.tasks != waiting && !g->pending_confirms) {
		release_holds(h, g);
		gang_reset(h, g, job, waiting);
	}
	switch (vh_gang_tick(&g->gang, home_now_ms(h))) {
	case VH_GANG_ACQUIRING:
		if (due)
			why = request_holds(h, g);
		break;
	case VH_GANG_CONFIRMING:
		confirm_holds(h, g);
		break;
	case VH_GANG_STARTING:
		start_all(h, g, job);
		gang_remove(h, g);
		return;
	case VH_GANG_FAILED:
		release_holds(h, g);
		gang_reset(h, g, job, waiting);
		break;
	}
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == VH_TASK_WAITING)
			job->tasks[i].why = why;
	}
}

void home_gangs_prune(struct home *h)
{
	struct home_gang **at = &h->gangs;

	while (*at) {
		struct home_gang *g = *at;

		if (g->pending_confirms ||
		    home_now_ms(h) - g->last_used_ms < IDLE_TTL_MS) {
			at = &g->next;
			continue;
		}
		*at = g->next;
		gang_free(g);
	}
}
