#include "lead_priv.h"

#include "vh/log.h"

#define ASK_PATIENCE_MS 2500 /* beyond what the service itself takes */
#define TICKET_AGE_MS 100    /* a ticket's age when its answer arrives */
#define FAR_EXTRA_MS 60.0    /* first guess of what a node's call adds */
#define OWN_EXTRA_MS 5.0
#define NOBODY (-1)

/* A call to the policy service, waiting or out. */
struct ask {
	struct lead *lead;
	uint64_t sequence;
	uint64_t job;
	uint32_t step;
	double cost_ms;
	int64_t give_up_ms;
	int advisor;
	bool alone; /* the node had no other call */
	int64_t sent_ms;
	char **workers;
	size_t n;
};

static void ask_free(struct ask *a)
{
	g_strfreev(a->workers);
	g_free(a);
}

static void ask_failed(struct ask *a)
{
	struct lead *l = a->lead;

	g_hash_table_remove(l->asked, &a->sequence);
	advisors_answered(&l->advisors, a->advisor, a->cost_ms, lead_now(l));
	eng_advice_failed(l->engine, a->job, a->step, lead_now(l));
	ask_free(a);
	lead_poke(l);
}

static void ask_answered(struct ask *a, const struct eng_good *good, size_t n,
			 int64_t valid_ms)
{
	struct lead *l = a->lead;
	struct vh_slice *asked = g_new(struct vh_slice, a->n + 1);
	int64_t now = lead_now(l);

	for (size_t i = 0; i < a->n; i++)
		asked[i] = vh_slice_str(a->workers[i]);
	g_hash_table_remove(l->asked, &a->sequence);
	if (a->alone)
		advisors_took(&l->advisors, a->advisor, a->cost_ms,
			      (double)(now - a->sent_ms));
	advisors_answered(&l->advisors, a->advisor, a->cost_ms, now);
	eng_advice(l->engine, a->job, a->step, asked, a->n, good, n,
		   now - TICKET_AGE_MS, valid_ms, now);
	g_free(asked);
	ask_free(a);
	lead_poke(l);
}

/* This node's own call; the ask may have been given up meanwhile. */
struct own_call {
	struct lead *lead;
	uint64_t sequence;
};

static void on_own(void *ctx, const struct vh_policy_reply *r)
{
	struct own_call *c = ctx;
	struct lead *l = c->lead;
	struct ask *a;

	l->calls--;
	if (!lead_gone(l)) {
		a = g_hash_table_lookup(l->asked, &c->sequence);
		if (a && r->ok)
			ask_answered(a, r->good, r->n, r->valid_ms);
		else if (a)
			ask_failed(a);
	}
	g_free(c);
}

static void on_advice(void *ctx, struct hub_link *link,
		      const struct vh_frame *f)
{
	struct lead *l = ctx;
	uint64_t sequence = wire_u64(f, 0);
	struct ask *a = g_hash_table_lookup(l->asked, &sequence);
	const msgpack_object *rows = f->n > 3 ? &f->args[3] : NULL;
	struct eng_good *good;
	size_t n;

	(void)link;
	if (!a)
		return;
	if (!wire_u64(f, 1) || !rows || rows->type != MSGPACK_OBJECT_ARRAY) {
		ask_failed(a);
		return;
	}
	n = rows->via.array.size / 2;
	good = g_new0(struct eng_good, n + 1);
	for (size_t i = 0; i < n; i++) {
		const msgpack_object *p = &rows->via.array.ptr[i * 2];

		vh_frame_bytes(&p[0], ENG_NAME_MAX, &good[i].worker);
		vh_frame_bytes(&p[1], ENG_NAME_MAX, &good[i].ticket);
	}
	ask_answered(a, good, n, (int64_t)wire_u64(f, 2));
	g_free(good);
}

static struct hub_link *link_of(struct lead *l, int advisor)
{
	for (struct hub_link *k = l->hub->links; k; k = k->next) {
		if (k->ready && k->advisor == advisor)
			return k;
	}
	return NULL;
}

static void ask_send(struct lead *l, struct ask *a)
{
	struct vh_slice *ids = g_new(struct vh_slice, a->n + 1);
	struct hub_link *link;
	struct own_call *c;

	for (size_t i = 0; i < a->n; i++)
		ids[i] = vh_slice_str(a->workers[i]);
	a->sequence = ++l->ask_sequence;
	a->give_up_ms = lead_now(l) + ASK_PATIENCE_MS +
			(int64_t)advisors_backlog_ms(&l->advisors, a->advisor,
						     lead_now(l));
	g_hash_table_insert(l->asked, &a->sequence, a);
	link = link_of(l, a->advisor);
	if (a->advisor != l->self_advisor && link) {
		hub_ask(link, a->sequence, a->job, a->step, ids, a->n);
	} else {
		c = g_new0(struct own_call, 1);
		c->lead = l;
		c->sequence = a->sequence;
		l->calls++;
		l->ports->policy->advise(l->ports->policy_self, a->job, a->step,
					 ids, a->n, on_own, c);
	}
	g_free(ids);
}

/* Ends calls that had no answer in time. */
void lead_asks_run(struct lead *l)
{
	GList *all = g_hash_table_get_values(l->asked);
	int64_t now = lead_now(l);

	for (GList *i = all; i; i = i->next) {
		struct ask *a = i->data;

		if (a->give_up_ms <= now)
			ask_failed(a);
	}
	g_list_free(all);
}

bool lead_advice_free(void *ctx, double cost_ms)
{
	struct lead *l = ctx;

	return advisors_free(&l->advisors, cost_ms, lead_now(l));
}

bool lead_advise(void *ctx, const struct eng_ask *q)
{
	struct lead *l = ctx;
	int advisor = advisors_choose(&l->advisors, q->cost_ms, lead_now(l));
	struct ask *a;

	if (advisor == NOBODY)
		return false;
	a = g_new0(struct ask, 1);
	a->lead = l;
	a->job = q->job;
	a->step = q->step;
	a->cost_ms = q->cost_ms;
	a->advisor = advisor;
	a->alone = l->advisors.items[advisor].out == 1;
	a->sent_ms = lead_now(l);
	a->n = q->n;
	a->workers = g_new0(char *, q->n + 1);
	for (size_t i = 0; i < q->n; i++)
		a->workers[i] = vh_slice_dup(q->workers[i]);
	ask_send(l, a);
	return true;
}

static void on_joined(void *ctx, struct hub_link *link)
{
	struct lead *l = ctx;

	link->advisor = advisors_joined(&l->advisors, FAR_EXTRA_MS);
	vh_log(G_LOG_LEVEL_INFO, "node joined", "peer", link->name, NULL);
	lead_poke(l);
}

static void on_left(void *ctx, struct hub_link *link)
{
	struct lead *l = ctx;
	GList *all = g_hash_table_get_values(l->asked);

	vh_log(G_LOG_LEVEL_WARNING, "node left", "peer", link->name, NULL);
	for (GList *i = all; i; i = i->next) {
		struct ask *a = i->data;

		if (a->advisor == link->advisor)
			ask_failed(a);
	}
	g_list_free(all);
	advisors_left(&l->advisors, link->advisor);
}

static enum eng_status on_status(void *ctx, uint64_t job)
{
	bool known;
	enum eng_status s = lead_status(ctx, job, &known);

	return known ? s : ENG_UNKNOWN + 1;
}

static bool on_count(void *ctx, struct vh_slice queue, size_t *jobs)
{
	return lead_count(ctx, queue, jobs);
}

static void on_reached(void *ctx)
{
	struct lead *l = ctx;

	l->ops.reached(l->ctx);
}

void lead_asks_init(struct lead *l)
{
	static const struct hub_ops ops = {
		.status = on_status,
		.count = on_count,
		.joined = on_joined,
		.left = on_left,
		.advice = on_advice,
		.submit = lead_on_submit,
		.reached = on_reached,
	};

	l->asked = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->self_advisor = advisors_joined(&l->advisors, OWN_EXTRA_MS);
	hub_own(l->hub, l->epoch, &ops, l);
}

void lead_asks_finish(struct lead *l)
{
	GList *all = g_hash_table_get_values(l->asked);

	for (GList *i = all; i; i = i->next)
		ask_free(i->data);
	g_list_free(all);
	g_hash_table_destroy(l->asked);
	l->asked = NULL;
}
