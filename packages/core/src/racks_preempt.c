#include "racks_priv.h"

#include "config.h"
#include "placement.h"
#include "vh/log.h"
#include "vh/preempt.h"

#define MAX_VICTIMS 512		    /* tasks considered in one rack */
#define REPEAT_MS 2000		    /* between two preemptions for one task */
#define CHECKPOINT_DURATION_MS 1000 /* estimate, as workers do not report it */
#define MAX_PREEMPTED 3
#define PROTECT_MS 1000

/* The preemptible tasks of a rack. Both arrays are indexed alike. */
struct victim_list {
	struct vh_victim items[MAX_VICTIMS];
	struct vh_stop stops[MAX_VICTIMS];
	size_t n;
};

static void add_victim(void *ctx, const struct vh_running_task *run,
		       size_t worker, int64_t since_ms)
{
	struct victim_list *list = ctx;
	struct vh_victim *v;

	if (list->n == MAX_VICTIMS || run->cls != VH_CLASS_BATCH ||
	    !run->idempotent)
		return;
	list->stops[list->n].task = run->task;
	list->stops[list->n].attempt = run->attempt;
	v = &list->items[list->n++];
	memset(v, 0, sizeof(*v));
	v->size = run->size;
	v->worker = (uint32_t)worker;
	v->cls = run->cls;
	v->team = placement_team_id(run->home);
	v->started_ms = since_ms;
	v->can_checkpoint = true;
	v->idempotent = run->idempotent;
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
	memset(c, 0, sizeof(*c));
	c->capacity = view->capacity;
	c->free = view->free;
	c->usable = view->usable;
}

/* Whether tasks were preempted for @demand within the last REPEAT_MS. If not,
 * records a preemption for it now. */
static bool preempted_recently(struct rack *r, uint64_t demand, int64_t now_ms)
{
	struct rack_preemption *oldest = &r->preempted[0];

	for (size_t i = 0; i < G_N_ELEMENTS(r->preempted); i++) {
		struct rack_preemption *p = &r->preempted[i];

		if (p->demand == demand && now_ms - p->at_ms < REPEAT_MS)
			return true;
		if (p->at_ms < oldest->at_ms)
			oldest = p;
	}
	oldest->demand = demand;
	oldest->at_ms = now_ms;
	return false;
}

static uint32_t team_preempt_per_min(const struct vh_racks *rs,
				     struct vh_slice home)
{
	const struct vh_objects *set = core_objects(rs->core);

	for (size_t i = 0; set && i < set->n_teams; i++) {
		const struct vh_team *t = &set->teams[i];

		if ((uint32_t)vh_slice_hash(t->name, 0) ==
		    placement_team_id(home))
			return t->preempt_per_min;
	}
	return 0;
}

/* The preemption budget of the home's team on this node. */
static struct vh_preempt_budget *
team_budget_get(struct vh_racks *rs, struct vh_slice home, int64_t now_ms)
{
	uint32_t team = placement_team_id(home);
	struct team_preempt_budget *b = rs->budgets;

	while (b && b->team != team)
		b = b->next;
	if (!b) {
		b = g_new0(struct team_preempt_budget, 1);
		b->team = team;
		vh_preempt_budget_init(&b->budget,
				       team_preempt_per_min(rs, home), now_ms);
		b->next = rs->budgets;
		rs->budgets = b;
	}
	b->budget.per_min = team_preempt_per_min(rs, home);
	return &b->budget;
}

static void stop_victims(struct rack *r, const struct victim_list *list,
			 const struct vh_preempt_decision *p,
			 const struct vh_demand *demand, int64_t now_ms)
{
	for (size_t i = 0; i < p->n; i++) {
		const struct vh_stop *s = &list->stops[p->victims[i]];
		enum vh_preempt_mode mode =
			vh_preempt_mode(&list->items[p->victims[i]],
					demand->accepted_ms,
					CHECKPOINT_DURATION_MS, now_ms);

		vh_rack_stop(r->state, s->task, s->attempt,
			     mode == VH_PREEMPT_KILL ? VH_STOP_KILL
						     : VH_STOP_CHECKPOINT);
		++*r->racks->preempted;
	}
}

void rack_preempt_for(struct rack *r, const struct wire_place *msg)
{
	static const struct vh_preempt_settings settings = {
		.max_preempted = MAX_PREEMPTED,
		.protect_ms = PROTECT_MS,
	};
	const struct vh_objects *set = core_objects(r->racks->core);
	int64_t now = vh_kernel_now_ms(r->racks->core->kernel);
	struct worker_list workers = { .n = 0 };
	struct victim_list *list;
	struct vh_demand demand;
	struct vh_preempt_decision p;

	if (msg->start.cls != VH_CLASS_URGENT || !set ||
	    !set->fleet.urgent_preempts)
		return;
	placement_demand(msg, now, &demand);
	list = g_new(struct victim_list, 1);
	list->n = 0;
	vh_rack_each_worker(r->state, add_worker, &workers);
	vh_rack_each_run(r->state, add_victim, list);
	vh_preempt_choose(&settings, &demand.want, workers.workers, workers.n,
			  list->items, list->n, now, &p);
	if (p.reason == VH_PREEMPT_OK && p.n &&
	    !preempted_recently(r, demand.id, now) &&
	    vh_preempt_budget_take(team_budget_get(r->racks, msg->start.home,
						   now),
				   (uint32_t)p.n, now))
		stop_victims(r, list, &p, &demand, now);
	g_free(list);
}
