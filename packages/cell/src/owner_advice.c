#include "owner_priv.h"

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
	advice_balancer_call_ended(&l->advice_balancer, a->advisor, a->cost_ms,
				   owner_now_ms(l));
	eng_advice_failed(l->engine, a->job, a->step, owner_now_ms(l));
	ask_free(a);
	owner_schedule_run(l);
}

static void ask_answered(struct ask *a, const struct eng_advised_worker *good,
			 size_t n, int64_t valid_ms)
{
	struct lead *l = a->lead;
	struct vh_slice *asked = g_new(struct vh_slice, a->n + 1);
	int64_t now = owner_now_ms(l);

	for (size_t i = 0; i < a->n; i++)
		asked[i] = vh_slice_str(a->workers[i]);
	g_hash_table_remove(l->asked, &a->sequence);
	if (a->alone)
		advice_balancer_record_latency(&l->advice_balancer, a->advisor,
					       a->cost_ms,
					       (double)(now - a->sent_ms));
	advice_balancer_call_ended(&l->advice_balancer, a->advisor, a->cost_ms,
				   now);
	eng_advice_received(l->engine, a->job, a->step, asked, a->n, good, n,
			    now - TICKET_AGE_MS, valid_ms, now);
	g_free(asked);
	ask_free(a);
	owner_schedule_run(l);
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
	if (!owner_has_ended(l)) {
		a = g_hash_table_lookup(l->asked, &c->sequence);
		if (a && r->ok)
			ask_answered(a, r->good, r->n, r->valid_ms);
		else if (a)
			ask_failed(a);
	}
	g_free(c);
}

static void on_advice(void *ctx, struct peer_conn *link,
		      const struct vh_frame *f)
{
	struct lead *l = ctx;
	uint64_t sequence = wire_u64(f, 0);
	struct ask *a = g_hash_table_lookup(l->asked, &sequence);
	const msgpack_object *rows = f->n > 3 ? &f->args[3] : NULL;
	struct eng_advised_worker *good;
	size_t n;

	(void)link;
	if (!a)
		return;
	if (!wire_u64(f, 1) || !rows || rows->type != MSGPACK_OBJECT_ARRAY) {
		ask_failed(a);
		return;
	}
	n = rows->via.array.size / 2;
	good = g_new0(struct eng_advised_worker, n + 1);
	for (size_t i = 0; i < n; i++) {
		const msgpack_object *p = &rows->via.array.ptr[i * 2];

		vh_frame_bytes(&p[0], ENG_NAME_MAX, &good[i].worker);
		vh_frame_bytes(&p[1], ENG_NAME_MAX, &good[i].ticket);
	}
	ask_answered(a, good, n, (int64_t)wire_u64(f, 2));
	g_free(good);
}

static struct peer_conn *link_of(struct lead *l, int advisor)
{
	for (struct peer_conn *k = l->hub->links; k; k = k->next) {
		if (k->ready && k->advisor == advisor)
			return k;
	}
	return NULL;
}

static void ask_send(struct lead *l, struct ask *a)
{
	struct vh_slice *ids = g_new(struct vh_slice, a->n + 1);
	struct peer_conn *link;
	struct own_call *c;

	for (size_t i = 0; i < a->n; i++)
		ids[i] = vh_slice_str(a->workers[i]);
	a->sequence = ++l->advice_sequence;
	a->give_up_ms = owner_now_ms(l) + ASK_PATIENCE_MS +
			(int64_t)advice_balancer_backlog_ms(&l->advice_balancer,
							    a->advisor,
							    owner_now_ms(l));
	g_hash_table_insert(l->asked, &a->sequence, a);
	link = link_of(l, a->advisor);
	if (a->advisor != l->own_balancer_node && link) {
		peer_conn_request_advice(link, a->sequence, a->job, a->step,
					 ids, a->n);
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
void owner_advice_expire(struct lead *l)
{
	GList *all = g_hash_table_get_values(l->asked);
	int64_t now = owner_now_ms(l);

	for (GList *i = all; i; i = i->next) {
		struct ask *a = i->data;

		if (a->give_up_ms <= now)
			ask_failed(a);
	}
	g_list_free(all);
}

bool owner_advice_available(void *ctx, double cost_ms)
{
	struct lead *l = ctx;

	return advice_balancer_has_capacity(&l->advice_balancer, cost_ms,
					    owner_now_ms(l));
}

bool owner_advise(void *ctx, const struct eng_advice_request *q)
{
	struct lead *l = ctx;
	int advisor = advice_balancer_assign(&l->advice_balancer, q->cost_ms,
					     owner_now_ms(l));
	struct ask *a;

	if (advisor == NOBODY)
		return false;
	a = g_new0(struct ask, 1);
	a->lead = l;
	a->job = q->job;
	a->step = q->step;
	a->cost_ms = q->cost_ms;
	a->advisor = advisor;
	a->alone = l->advice_balancer.items[advisor].out == 1;
	a->sent_ms = owner_now_ms(l);
	a->n = q->n;
	a->workers = g_new0(char *, q->n + 1);
	for (size_t i = 0; i < q->n; i++)
		a->workers[i] = vh_slice_dup(q->workers[i]);
	ask_send(l, a);
	return true;
}

static void on_joined(void *ctx, struct peer_conn *link)
{
	struct lead *l = ctx;

	link->advisor =
		advice_balancer_add_node(&l->advice_balancer, FAR_EXTRA_MS);
	vh_log(G_LOG_LEVEL_INFO, "node joined", "peer", link->name, NULL);
	owner_schedule_run(l);
}

static void on_left(void *ctx, struct peer_conn *link)
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
	advice_balancer_remove_node(&l->advice_balancer, link->advisor);
}

static enum eng_job_status on_status(void *ctx, uint64_t job)
{
	bool known;
	enum eng_job_status s = owner_job_status(ctx, job, &known);

	return known ? s : ENG_UNKNOWN + 1;
}

static bool on_count(void *ctx, struct vh_slice queue, size_t *jobs)
{
	return owner_pending_jobs(ctx, queue, jobs);
}

static void on_reached(void *ctx)
{
	struct lead *l = ctx;

	l->ops.reached(l->ctx);
}

void owner_advice_init(struct lead *l)
{
	static const struct peer_server_ops ops = {
		.status = on_status,
		.count = on_count,
		.joined = on_joined,
		.left = on_left,
		.advice = on_advice,
		.submit = owner_on_submit,
		.reached = on_reached,
	};

	l->asked = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->own_balancer_node =
		advice_balancer_add_node(&l->advice_balancer, OWN_EXTRA_MS);
	peer_server_set_owner(l->hub, l->epoch, &ops, l);
}

void owner_advice_finish(struct lead *l)
{
	GList *all = g_hash_table_get_values(l->asked);

	for (GList *i = all; i; i = i->next)
		ask_free(i->data);
	g_list_free(all);
	g_hash_table_destroy(l->asked);
	l->asked = NULL;
}
