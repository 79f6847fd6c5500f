#include "sim.h"

#include <glib.h>

#include "vh/gang.h"
#include "vh/health.h"
#include "vh/preempt.h"
#include "vh/rack_index.h"
#include "vh/waitlist.h"

#define RETRY_MS 250
#define TRIES_PER_STEP 32 /* tasks of a team and class tried in one step */
#define WAITS_PER_STEP 4  /* of these, tries at racks without room */
/* A task's first try picks racks up to this many times, each time with the
 * summaries that the last refusals carried. */
#define PICKS_IN_FIRST_TRY 4
#define PREEMPT_AFTER_MS 500
#define PREEMPT_PER_MIN 600

/* Bytes between regions that equal a millisecond of waiting: sitara gives more
 * weight to waiting, faserkreis to the cost of transfers. */
static const uint64_t bytes_per_ms[] = {
	[SIM_SITARA] = 1000000, [SIM_FASERKREIS] = 20000
};
#define GANGS_MAX 4096
#define RACK_TASKS 1024

struct sim_options sim_options = { .k = 2,
				   .summary_age_ms = 1000,
				   .estimates = true,
				   .preemption = true,
				   .health = true,
				   .shares = true };

/** struct queue - waiting tasks of one team and class */
struct queue {
	uint32_t *tasks;
	size_t n, cap;
};

struct rack {
	struct vh_waitlist list;
	struct vh_gang_table gangs;
	struct vh_health health;
	uint32_t running[RACK_TASKS];
	size_t n_running;
};

struct gang {
	struct vh_gang g;
	uint32_t first_task; /* the indexes of its tasks are consecutive */
	uint32_t team;
	bool started;
};

/** struct home - the state that the scheduler keeps for one team */
struct home {
	struct queue queues[VH_CLASS_COUNT];
	struct vh_rack_index racks;
	struct vh_estimate estimates[VH_CLASS_COUNT];
	struct vh_preempt_budget budget;
	uint64_t due;
	int64_t run_ms[VH_CLASS_COUNT]; /* estimates, updated each second */
	bool reserving; /* a rack is asked to reserve a worker for one task */
	uint32_t reserved_task, reserved_rack;
};

struct current_state {
	struct home homes[SIM_TEAMS];
	struct rack *racks;
	size_t n_racks;
	struct gang *gangs;
	size_t n_gangs;
	uint64_t rng;
};

static void queue_add(struct queue *q, uint32_t task)
{
	if (q->n == q->cap) {
		q->cap = q->cap ? 2 * q->cap : 256;
		q->tasks = g_renew(uint32_t, q->tasks, q->cap);
	}
	q->tasks[q->n++] = task;
}

static void summarize(struct sim *s, size_t rack, struct vh_rack_summary *out)
{
	struct current_state *st = s->state;
	struct vh_candidate w[SIM_RACK_SIZE];
	struct vh_res batch[SIM_RACK_SIZE] = { 0 };
	struct rack *r = &st->racks[rack];

	for (size_t i = 0; i < SIM_RACK_SIZE; i++) {
		w[i] = s->workers[rack * SIM_RACK_SIZE + i];
		w[i].usable = vh_health_accepts(&r->health, i, s->now_ms);
	}
	vh_gang_subtract_holds(&r->gangs, w, SIM_RACK_SIZE, 0, s->now_ms);
	for (size_t i = 0; i < r->n_running; i++) {
		const struct sim_task *t = &s->tasks[r->running[i]];

		if (t->cls == VH_CLASS_BATCH)
			vh_res_add(&batch[t->worker % SIM_RACK_SIZE],
				   &t->committed);
	}
	vh_summary_build(out, w, batch, SIM_RACK_SIZE, (uint32_t)r->list.n);
}

static void send_summary(struct sim *s, size_t rack, struct home *h)
{
	const struct vh_candidate *w = &s->workers[rack * SIM_RACK_SIZE];
	struct vh_rack_summary sum;

	summarize(s, rack, &sum);
	vh_rack_index_update(&h->racks, (uint32_t)rack, w->region, w->zone,
			     &sum);
}

static void publish_summaries(struct sim *s)
{
	struct current_state *st = s->state;
	int64_t interval_ms = sim_options.summary_age_ms;

	for (size_t r = 0; r < st->n_racks; r++) {
		int64_t offset = (int64_t)r * SIM_TICK_MS;

		if (interval_ms > SIM_TICK_MS &&
		    (s->now_ms + offset) % interval_ms)
			continue;
		for (int t = 0; t < SIM_TEAMS; t++)
			send_summary(s, r, &st->homes[t]);
	}
}

static void current_init(struct sim *s)
{
	struct current_state *st = g_new0(struct current_state, 1);

	s->state = st;
	st->n_racks = s->n_workers / SIM_RACK_SIZE;
	st->racks = g_new0(struct rack, st->n_racks);
	st->gangs = g_new0(struct gang, GANGS_MAX);
	st->rng = s->spec.seed ^ 99;
	for (size_t r = 0; r < st->n_racks; r++)
		st->racks[r].health.n_workers = SIM_RACK_SIZE;
	for (int t = 0; t < SIM_TEAMS; t++) {
		vh_rack_index_init(&st->homes[t].racks, st->n_racks);
		vh_preempt_budget_init(&st->homes[t].budget, PREEMPT_PER_MIN,
				       0);
		for (size_t r = 0; r < st->n_racks; r++)
			send_summary(s, r, &st->homes[t]);
	}
}

static void current_finish(struct sim *s)
{
	struct current_state *st = s->state;

	for (int t = 0; t < SIM_TEAMS; t++) {
		vh_rack_index_finish(&st->homes[t].racks);
		for (int c = 0; c < VH_CLASS_COUNT; c++)
			g_free(st->homes[t].queues[c].tasks);
	}
	g_free(st->racks);
	g_free(st->gangs);
	g_free(st);
}

static struct vh_res size_to_commit(struct sim *s, const struct sim_task *t)
{
	struct current_state *st = s->state;
	struct vh_res size = t->declared;
	const struct vh_res *most = &s->workers[0].capacity;

	if (sim_options.estimates)
		vh_estimate_size(&st->homes[t->team].estimates[t->cls],
				 &t->declared, &size);
	for (int d = VH_CPU; d <= VH_MEM; d++)
		size.v[d] = size.v[d] < most->v[d] ? size.v[d] : most->v[d];
	return size;
}

static void gang_arrived(struct sim *s, uint32_t task)
{
	struct current_state *st = s->state;
	const struct sim_task *t = &s->tasks[task];
	struct vh_res size = size_to_commit(s, t);
	struct vh_place_request want = sim_place_request(t, &size);
	struct vh_gang_ticket ticket = { t->arrive_ms, t->job };
	struct gang g = { .first_task = task, .team = t->team };

	if (st->n_gangs && st->gangs[st->n_gangs - 1].g.ticket.id == t->job)
		return;
	g_assert(st->n_gangs < GANGS_MAX);
	vh_gang_init(&g.g, &ticket, &want, t->gang, s->now_ms);
	st->gangs[st->n_gangs++] = g;
}

static void current_arrived(struct sim *s, uint32_t task)
{
	struct current_state *st = s->state;
	struct sim_task *t = &s->tasks[task];

	t->next_try_ms = s->now_ms;
	if (t->gang && !t->starts)
		gang_arrived(s, task);
	else
		queue_add(&st->homes[t->team].queues[t->cls], task);
}

static void remove_running(struct rack *r, uint32_t task)
{
	for (size_t i = 0; i < r->n_running; i++) {
		if (r->running[i] == task) {
			r->running[i] = r->running[--r->n_running];
			return;
		}
	}
}

static void current_ended(struct sim *s, uint32_t task, bool failed)
{
	struct current_state *st = s->state;
	const struct sim_task *t = &s->tasks[task];
	struct rack *r = &st->racks[t->worker / SIM_RACK_SIZE];
	size_t w = t->worker % SIM_RACK_SIZE;

	remove_running(r, task);
	if (failed && sim_options.health)
		vh_health_failed(&r->health, w, t->job, t->team, s->now_ms);
	else if (!failed)
		vh_health_succeeded(&r->health, w, t->job, s->now_ms);
	if (!failed)
		vh_estimate_add(&st->homes[t->team].estimates[t->cls], t->job,
				&t->declared, &t->used,
				s->now_ms - t->start_ms);
}

static void start(struct sim *s, uint32_t task, size_t worker,
		  const struct vh_res *size)
{
	struct current_state *st = s->state;
	struct rack *r = &st->racks[worker / SIM_RACK_SIZE];

	sim_start(s, task, (uint32_t)worker, size);
	g_assert(r->n_running < RACK_TASKS);
	r->running[r->n_running++] = task;
	vh_health_started(&r->health, worker % SIM_RACK_SIZE, s->now_ms);
}

static int64_t run_estimate(struct sim *s, const struct sim_task *t)
{
	struct current_state *st = s->state;

	if (t->cls == VH_CLASS_SERVICE)
		return 0;
	return st->homes[t->team].run_ms[t->cls];
}

/* Forecasts when each quarter of a worker's tasks will have ended, of those
 * whose run time can be estimated. */
static void forecast_releases(struct sim *s, const struct rack *r,
			      size_t worker,
			      struct vh_worker_forecast *forecast)
{
	int64_t ends[RACK_TASKS];
	size_t n = 0;

	for (size_t i = 0; i < r->n_running; i++) {
		const struct sim_task *t = &s->tasks[r->running[i]];
		int64_t run = run_estimate(s, t), at;

		if (t->worker % SIM_RACK_SIZE != worker || !run)
			continue;
		at = t->start_ms + run;
		at = at > s->now_ms ? at : s->now_ms + 1000;
		for (size_t k = n++;; k--) {
			if (!k || ends[k - 1] <= at) {
				ends[k] = at;
				break;
			}
			ends[k] = ends[k - 1];
		}
	}
	for (size_t q = 1; q <= 4 && n; q++)
		forecast->release_ms[q - 1] = ends[(n * q - 1) / 4];
}

static void forecast_rack(struct sim *s, size_t rack, int64_t run_ms,
			  struct vh_worker_forecast *forecasts)
{
	struct current_state *st = s->state;
	struct rack *r = &st->racks[rack];
	struct vh_candidate w[SIM_RACK_SIZE];
	bool any_reservation = false;

	for (size_t i = 0; i < r->list.n; i++)
		any_reservation |= r->list.items[i].demand.reserve;
	for (size_t i = 0; i < SIM_RACK_SIZE; i++) {
		w[i] = s->workers[rack * SIM_RACK_SIZE + i];
		w[i].usable = vh_health_accepts(&r->health, i, s->now_ms);
		w[i].failures = vh_health_failures(&r->health, i, s->now_ms);
	}
	vh_gang_assign(&r->gangs, w, SIM_RACK_SIZE, s->now_ms);
	vh_gang_subtract_holds(&r->gangs, w, SIM_RACK_SIZE, run_ms, s->now_ms);
	for (size_t i = 0; i < SIM_RACK_SIZE; i++) {
		forecasts[i] = (struct vh_worker_forecast){ .worker = w[i] };
		if (any_reservation)
			forecast_releases(s, r, i, &forecasts[i]);
	}
}

static bool is_reserved(const struct home *h, uint32_t task)
{
	return h->reserving && h->reserved_task == task;
}

static bool request_start(struct sim *s, uint32_t task, size_t rack,
			  const struct vh_res *size)
{
	struct current_state *st = s->state;
	struct sim_task *t = &s->tasks[task];
	struct vh_worker_forecast forecasts[SIM_RACK_SIZE];
	struct vh_demand d = {
		.id = (uint64_t)task << 8 | (t->starts & 255),
		.team = t->team,
		.accepted_ms = t->arrive_ms,
		.run_ms = run_estimate(s, t),
		.due = UINT64_MAX,
		.want = sim_place_request(t, size),
	};
	struct vh_waitlist_decision out;

	d.reserve = is_reserved(&st->homes[t->team], task) &&
		    st->homes[t->team].reserved_rack == rack;

	if (sim_options.shares) {
		d.share = vh_share_weighted(
			vh_share_dominant(&s->running[t->team], &s->fleet),
			s->weights[t->team]);
		d.step = vh_share_weighted(vh_share_dominant(size, &s->fleet),
					   s->weights[t->team]);
		d.due = st->homes[t->team].due;
	}
	forecast_rack(s, rack, d.run_ms, forecasts);
	vh_waitlist_admit(&st->racks[rack].list, &d, forecasts, SIM_RACK_SIZE,
			  s->now_ms, &out);
	s->stats.requests++;
	t->requests++;
	if (out.result == VH_WAITLIST_START) {
		start(s, task, rack * SIM_RACK_SIZE + out.place.index, size);
		return true;
	}
	s->stats.refused++;
	send_summary(s, rack, &st->homes[t->team]);
	t->waiting_rack = (uint32_t)rack;
	return false;
}

static bool preempt(struct sim *s, uint32_t task, size_t rack,
		    const struct vh_res *size)
{
	static const struct vh_preempt_settings settings = { 3, 30000 };
	struct current_state *st = s->state;
	struct sim_task *t = &s->tasks[task];
	struct rack *r = &st->racks[rack];
	struct vh_victim victims[RACK_TASKS];
	uint32_t ids[RACK_TASKS];
	size_t n = r->n_running;
	struct vh_place_request want = sim_place_request(t, size);
	struct vh_worker_forecast forecasts[SIM_RACK_SIZE];
	struct vh_candidate w[SIM_RACK_SIZE];
	struct vh_preempt_decision out;

	forecast_rack(s, rack, 0, forecasts);
	for (size_t i = 0; i < SIM_RACK_SIZE; i++)
		w[i] = forecasts[i].worker;
	for (size_t i = 0; i < n; i++) {
		const struct sim_task *v = &s->tasks[r->running[i]];
		int64_t ran = s->now_ms - v->start_ms;

		ids[i] = r->running[i];
		victims[i] = (struct vh_victim){
			.size = v->committed,
			.worker = v->worker % SIM_RACK_SIZE,
			.cls = v->cls,
			.team = v->team,
			.team_share = vh_share_weighted(
				vh_share_dominant(&s->running[v->team],
						  &s->fleet),
				s->weights[v->team]),
			.team_due = st->homes[v->team].due,
			.started_ms = v->start_ms,
			.checkpoint_ms =
				v->start_ms +
				ran / SIM_CHECKPOINT_MS * SIM_CHECKPOINT_MS,
			.idempotent = true,
			.preempted = v->preempted,
		};
	}
	vh_preempt_choose(&settings, &want, w, SIM_RACK_SIZE, victims, n,
			  s->now_ms, &out);
	if (out.reason != VH_PREEMPT_OK ||
	    !vh_preempt_budget_take(&st->homes[t->team].budget, (uint32_t)out.n,
				    s->now_ms))
		return false;
	for (size_t i = 0; i < out.n; i++) {
		remove_running(r, ids[out.victims[i]]);
		sim_preempt(s, ids[out.victims[i]]);
	}
	start(s, task, rack * SIM_RACK_SIZE + out.worker, size);
	return true;
}

/* Makes the task the one for which its home asks @rack to reserve a worker,
 * unless the task of the last reservation still waits. */
static void reserve(struct sim *s, uint32_t task, uint32_t rack)
{
	struct current_state *st = s->state;
	struct home *h = &st->homes[s->tasks[task].team];

	if (h->reserving && s->tasks[h->reserved_task].state == SIM_WAITING)
		return;
	h->reserving = true;
	h->reserved_task = task;
	h->reserved_rack = rack;
}

/** struct quota - counts the tries that a queue has used in one step */
struct quota {
	unsigned int tries, waits;
};

static bool may_request(struct quota *q, enum vh_pick_kind kind)
{
	if (kind == VH_PICK_NEVER_FITS || q->tries == TRIES_PER_STEP ||
	    (kind == VH_PICK_WAIT && q->waits == WAITS_PER_STEP))
		return false;
	q->tries++;
	q->waits += kind == VH_PICK_WAIT;
	return true;
}

/* Removes the demand that the last refusal left at a rack. */
static void withdraw_demand(struct sim *s, uint32_t task)
{
	struct current_state *st = s->state;
	struct sim_task *t = &s->tasks[task];

	if (t->requests)
		vh_waitlist_remove(&st->racks[t->waiting_rack].list,
				   (uint64_t)task << 8 | (t->starts & 255));
}

static bool request_racks(struct sim *s, uint32_t task,
			  const struct vh_pick *pick, const struct vh_res *size)
{
	struct current_state *st = s->state;
	struct home *h = &st->homes[s->tasks[task].team];

	withdraw_demand(s, task);
	for (unsigned int i = 0; i < pick->n; i++) {
		if (request_start(s, task, pick->rack[i], size)) {
			vh_rack_index_note_request(&h->racks, pick->rack[i]);
			return true;
		}
	}
	return false;
}

static bool try_task(struct sim *s, uint32_t task, struct quota *quota)
{
	struct current_state *st = s->state;
	struct sim_task *t = &s->tasks[task];
	struct vh_res size = size_to_commit(s, t);
	struct vh_pick_request want = { .want = sim_place_request(t, &size),
					.refused = UINT32_MAX,
					.k = sim_options.k,
					.seed = sim_random(&st->rng) };
	int64_t waited = s->now_ms - t->arrive_ms;
	struct vh_pick pick;

	want.away =
		waited >= vh_region_wait_limit_ms(t->cls, t->transfer_bytes,
						  bytes_per_ms[s->spec.user]);
	vh_rack_index_pick(&st->homes[t->team].racks, &want, &pick);
	t->next_try_ms = s->now_ms + RETRY_MS +
			 (int64_t)(sim_random(&st->rng) % 2) * SIM_TICK_MS;
	if (!may_request(quota, pick.kind))
		return false;
	if (waited >= VH_RESERVE_AFTER_MS && pick.n)
		reserve(s, task, pick.rack[0]);
	if (is_reserved(&st->homes[t->team], task) &&
	    request_start(s, task, st->homes[t->team].reserved_rack, &size))
		return true;
	for (int i = 0; i < (waited < RETRY_MS ? PICKS_IN_FIRST_TRY : 1); i++) {
		if (request_racks(s, task, &pick, &size))
			return true;
		if (pick.kind != VH_PICK_FREE)
			break;
		/* The refusals carried newer summaries. */
		vh_rack_index_pick(&st->homes[t->team].racks, &want, &pick);
		if (pick.kind != VH_PICK_FREE)
			break;
	}
	for (unsigned int i = 0; i < pick.n; i++) {
		if (sim_options.preemption && t->cls == VH_CLASS_URGENT &&
		    (waited >= PREEMPT_AFTER_MS ||
		     pick.kind == VH_PICK_PREEMPT) &&
		    preempt(s, task, pick.rack[i], &size))
			return true;
	}
	return false;
}

static void run_queue(struct sim *s, struct queue *q)
{
	struct quota quota = { 0 };
	size_t kept = 0, n = q->n;

	for (size_t i = 0; i < n; i++) {
		uint32_t task = q->tasks[i];
		bool started = false;

		if (quota.tries < TRIES_PER_STEP &&
		    s->now_ms >= s->tasks[task].next_try_ms)
			started = try_task(s, task, &quota);
		if (!started)
			q->tasks[kept++] = task;
	}
	for (size_t i = n; i < q->n; i++) /* tasks preempted in this step */
		q->tasks[kept++] = q->tasks[i];
	q->n = kept;
}

static void request_holds(struct sim *s, struct gang *g)
{
	struct current_state *st = s->state;
	uint32_t racks[VH_GANG_RACKS_MAX], room[VH_GANG_RACKS_MAX];
	uint32_t region = s->tasks[g->first_task].region;
	size_t n = 0, from = sim_random(&st->rng) % st->n_racks;
	const struct sim_task *t = &s->tasks[g->first_task];
	bool away = s->now_ms - t->arrive_ms >=
		    vh_region_wait_limit_ms(t->cls, t->transfer_bytes,
					    bytes_per_ms[s->spec.user]);

	for (size_t i = 0; i < st->n_racks && n < VH_GANG_RACKS_MAX; i++) {
		size_t r = (from + i) % st->n_racks;

		if (s->workers[r * SIM_RACK_SIZE].region != region && !away)
			continue;
		racks[n] = (uint32_t)r;
		room[n++] = g->g.tasks;
	}
	vh_gang_plan(&g->g, racks, room, n);
	for (size_t i = 0; i < g->g.n_parts; i++) {
		struct vh_gang_rack *p = &g->g.parts[i];
		struct vh_gang_request a = { .ticket = g->g.ticket,
					     .want = g->g.want,
					     .tasks = p->wanted,
					     .drain = p->drain };
		struct vh_candidate w[SIM_RACK_SIZE];
		struct rack *r = &st->racks[p->rack];

		for (size_t k = 0; k < SIM_RACK_SIZE; k++) {
			w[k] = s->workers[p->rack * SIM_RACK_SIZE + k];
			w[k].usable =
				vh_health_accepts(&r->health, k, s->now_ms);
		}
		vh_gang_hold_reply(&g->g, p->rack,
				   vh_gang_hold(&r->gangs, &a, w, SIM_RACK_SIZE,
						s->now_ms),
				   s->now_ms, s->now_ms);
		if (g->g.state != VH_GANG_ACQUIRING)
			break;
	}
}

static void release_all(struct sim *s, const struct gang *g)
{
	struct current_state *st = s->state;

	for (size_t r = 0; r < st->n_racks; r++)
		vh_gang_release(&st->racks[r].gangs, &g->g.ticket);
}

static void confirm_and_start(struct sim *s, struct gang *g)
{
	struct current_state *st = s->state;
	uint32_t task = g->first_task;

	for (size_t i = 0; i < g->g.n_parts; i++) {
		struct vh_gang_rack *p = &g->g.parts[i];

		if (p->held)
			vh_gang_confirm_reply(
				&g->g, p->rack,
				vh_gang_confirm(&st->racks[p->rack].gangs,
						&g->g.ticket, p->held,
						s->now_ms),
				s->now_ms);
	}
	if (g->g.state != VH_GANG_STARTING) {
		release_all(s, g);
		return;
	}
	for (size_t i = 0; i < g->g.n_parts; i++) {
		struct vh_gang_rack *p = &g->g.parts[i];

		for (uint32_t k = 0; k < p->held; k++) {
			uint32_t w = vh_gang_start(&st->racks[p->rack].gangs,
						   &g->g.ticket);

			start(s, task++, p->rack * SIM_RACK_SIZE + w,
			      &g->g.want.size);
		}
	}
	release_all(s, g);
	g->started = true;
}

static void run_gangs(struct sim *s)
{
	struct current_state *st = s->state;

	for (size_t i = 0; i < st->n_gangs; i++) {
		struct gang *g = &st->gangs[i];
		bool due = s->now_ms >= g->g.next_ms;

		if (g->started)
			continue;
		if (vh_gang_tick(&g->g, s->now_ms) == VH_GANG_ACQUIRING && due)
			request_holds(s, g);
		if (g->g.state == VH_GANG_CONFIRMING)
			confirm_and_start(s, g);
	}
}

static void update_fair_shares(struct sim *s)
{
	struct current_state *st = s->state;
	struct vh_share_team teams[SIM_TEAMS];

	for (int i = 0; i < SIM_TEAMS; i++) {
		struct vh_res all = s->running[i];

		vh_res_add(&all, &s->waiting[i]);
		teams[i].weight = s->weights[i];
		teams[i].demand = vh_share_dominant(&all, &s->fleet);
	}
	vh_share_max_min(teams, SIM_TEAMS);
	for (int i = 0; i < SIM_TEAMS; i++)
		st->homes[i].due =
			vh_share_weighted(teams[i].due, s->weights[i]);
	for (int i = 0; i < SIM_TEAMS; i++) {
		for (int c = 0; c < VH_CLASS_COUNT; c++)
			st->homes[i].run_ms[c] = vh_estimate_run_ms(
				&st->homes[i].estimates[c], 50);
	}
}

static void current_step(struct sim *s)
{
	struct current_state *st = s->state;

	publish_summaries(s);
	if (s->now_ms % 1000 == 0)
		update_fair_shares(s);
	run_gangs(s);
	for (int c = 0; c < VH_CLASS_COUNT; c++) {
		for (int t = 0; t < SIM_TEAMS; t++)
			run_queue(s, &st->homes[t].queues[c]);
	}
}

const struct sim_policy sim_current = {
	.name = "ours",
	.init = current_init,
	.arrived = current_arrived,
	.ended = current_ended,
	.step = current_step,
	.finish = current_finish,
};
