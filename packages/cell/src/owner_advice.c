#include "owner_priv.h"

#include "vh/log.h"

#define ADVICE_TIMEOUT_MARGIN_MS 2500 /* added to the node's backlog */
#define TICKET_AGE_ON_ARRIVAL_MS 100  /* assumed age of a received ticket */
#define PEER_OVERHEAD_GUESS_MS 60.0   /* for a call through another node */
#define OWN_OVERHEAD_GUESS_MS 5.0     /* for a call from this node */
#define NO_NODE (-1)
#define CALLS_OF_OWNERSHIP_BITS 32 /* of a call's number; the epoch is above */

/* A pending call to the policy service. */
struct advice_call {
	struct owner *owner;
	uint64_t sequence;
	uint64_t job;
	uint32_t step;
	double cost_ms;
	int64_t deadline_ms;
	int balancer_node;
	bool node_was_idle; /* no other call of the node adds to the latency */
	int64_t sent_ms;
	char **workers;
	size_t n;
};

static void advice_call_free(struct advice_call *a)
{
	g_strfreev(a->workers);
	g_free(a);
}

static void advice_call_failed(struct advice_call *a)
{
	struct owner *o = a->owner;

	g_hash_table_remove(o->advice_calls, &a->sequence);
	advice_balancer_call_ended(&o->advice_balancer, a->balancer_node,
				   a->cost_ms, owner_now_ms(o));
	eng_advice_failed(o->engine, a->job, a->step, owner_now_ms(o));
	advice_call_free(a);
	owner_schedule_run(o);
}

static void advice_call_answered(struct advice_call *a,
				 const struct eng_advised_worker *approved,
				 size_t n, int64_t valid_ms)
{
	struct owner *o = a->owner;
	struct vh_slice *requested = g_new(struct vh_slice, a->n + 1);
	int64_t now = owner_now_ms(o);

	for (size_t i = 0; i < a->n; i++)
		requested[i] = vh_slice_str(a->workers[i]);
	g_hash_table_remove(o->advice_calls, &a->sequence);
	if (a->node_was_idle)
		advice_balancer_record_latency(&o->advice_balancer,
					       a->balancer_node, a->cost_ms,
					       (double)(now - a->sent_ms));
	advice_balancer_call_ended(&o->advice_balancer, a->balancer_node,
				   a->cost_ms, now);
	eng_advice_received(o->engine, a->job, a->step, requested, a->n,
			    approved, n, now - TICKET_AGE_ON_ARRIVAL_MS,
			    valid_ms, now);
	g_free(requested);
	advice_call_free(a);
	owner_schedule_run(o);
}

/* A pending call from this node itself. Refers to its advice_call by number,
 * since that may time out and be freed before the reply. */
struct own_call {
	struct owner *owner;
	uint64_t sequence;
};

static void on_own_reply(void *ctx, const struct vh_policy_reply *r)
{
	struct own_call *c = ctx;
	struct owner *o = c->owner;
	struct advice_call *a;

	o->pending_calls--;
	if (!owner_has_ended(o)) {
		a = g_hash_table_lookup(o->advice_calls, &c->sequence);
		if (a && r->ok)
			advice_call_answered(a, r->good, r->n, r->valid_ms);
		else if (a)
			advice_call_failed(a);
	}
	g_free(c);
}

static void on_peer_reply(void *ctx, struct peer_conn *conn,
			  const struct vh_frame *f)
{
	struct owner *o = ctx;
	uint64_t sequence = wire_u64(f, 0);
	struct advice_call *a = g_hash_table_lookup(o->advice_calls, &sequence);
	const msgpack_object *pairs = f->n > 3 ? &f->args[3] : NULL;
	struct eng_advised_worker *approved;
	size_t n;

	(void)conn;
	if (!a)
		return;
	if (!wire_u64(f, 1) || !pairs || pairs->type != MSGPACK_OBJECT_ARRAY) {
		advice_call_failed(a);
		return;
	}
	n = pairs->via.array.size / 2;
	approved = g_new0(struct eng_advised_worker, n + 1);
	for (size_t i = 0; i < n; i++) {
		const msgpack_object *p = &pairs->via.array.ptr[i * 2];

		vh_frame_read_bytes(&p[0], ENG_NAME_MAX, &approved[i].worker);
		vh_frame_read_bytes(&p[1], ENG_NAME_MAX, &approved[i].ticket);
	}
	advice_call_answered(a, approved, n, (int64_t)wire_u64(f, 2));
	g_free(approved);
}

static struct peer_conn *find_conn(struct owner *o, int balancer_node)
{
	for (struct peer_conn *conn = o->peer_server->conns; conn;
	     conn = conn->next) {
		if (conn->ready && conn->balancer_node == balancer_node)
			return conn;
	}
	return NULL;
}

static void advice_call_send(struct owner *o, struct advice_call *a)
{
	struct vh_slice *ids = g_new(struct vh_slice, a->n + 1);
	struct peer_conn *conn;
	struct own_call *c;

	for (size_t i = 0; i < a->n; i++)
		ids[i] = vh_slice_str(a->workers[i]);
	a->sequence = ++o->advice_sequence;
	a->deadline_ms =
		owner_now_ms(o) + ADVICE_TIMEOUT_MARGIN_MS +
		(int64_t)advice_balancer_backlog_ms(
			&o->advice_balancer, a->balancer_node, owner_now_ms(o));
	g_hash_table_insert(o->advice_calls, &a->sequence, a);
	conn = find_conn(o, a->balancer_node);
	if (a->balancer_node != o->own_balancer_node && conn) {
		peer_conn_request_advice(conn, a->sequence, a->job, a->step,
					 ids, a->n);
	} else {
		c = g_new0(struct own_call, 1);
		c->owner = o;
		c->sequence = a->sequence;
		o->pending_calls++;
		o->ports->policy->advise(o->ports->policy_self, a->job, a->step,
					 ids, a->n, on_own_reply, c);
	}
	g_free(ids);
}

void owner_advice_expire(struct owner *o)
{
	GList *all = g_hash_table_get_values(o->advice_calls);
	int64_t now = owner_now_ms(o);

	for (GList *i = all; i; i = i->next) {
		struct advice_call *a = i->data;

		if (a->deadline_ms <= now)
			advice_call_failed(a);
	}
	g_list_free(all);
}

bool owner_advice_available(void *ctx, double cost_ms)
{
	struct owner *o = ctx;

	return advice_balancer_has_capacity(&o->advice_balancer, cost_ms,
					    owner_now_ms(o));
}

bool owner_advise(void *ctx, const struct eng_advice_request *request)
{
	struct owner *o = ctx;
	int balancer_node = advice_balancer_assign(
		&o->advice_balancer, request->cost_ms, owner_now_ms(o));
	struct advice_call *a;

	if (balancer_node == NO_NODE)
		return false;
	a = g_new0(struct advice_call, 1);
	a->owner = o;
	a->job = request->job;
	a->step = request->step;
	a->cost_ms = request->cost_ms;
	a->balancer_node = balancer_node;
	a->node_was_idle =
		o->advice_balancer.nodes[balancer_node].calls_out == 1;
	a->sent_ms = owner_now_ms(o);
	a->n = request->n;
	a->workers = g_new0(char *, request->n + 1);
	for (size_t i = 0; i < request->n; i++)
		a->workers[i] = vh_slice_dup(request->workers[i]);
	advice_call_send(o, a);
	return true;
}

static void on_joined(void *ctx, struct peer_conn *conn)
{
	struct owner *o = ctx;

	conn->balancer_node = advice_balancer_add_node(&o->advice_balancer,
						       PEER_OVERHEAD_GUESS_MS);
	vh_log(G_LOG_LEVEL_INFO, "node connected", "peer", conn->name, NULL);
	owner_schedule_run(o);
}

static void on_left(void *ctx, struct peer_conn *conn)
{
	struct owner *o = ctx;
	GList *all = g_hash_table_get_values(o->advice_calls);

	vh_log(G_LOG_LEVEL_WARNING, "node disconnected", "peer", conn->name,
	       NULL);
	owner_admission_node_left(o);
	for (GList *i = all; i; i = i->next) {
		struct advice_call *a = i->data;

		if (a->balancer_node == conn->balancer_node)
			advice_call_failed(a);
	}
	g_list_free(all);
	advice_balancer_remove_node(&o->advice_balancer, conn->balancer_node);
}

static enum eng_job_status on_status(void *ctx, uint64_t job)
{
	bool known;
	enum eng_job_status s = owner_job_status(ctx, job, &known);

	/* A value above the last one means that the status is not known. */
	return known ? s : ENG_UNKNOWN + 1;
}

static bool on_count(void *ctx, struct vh_slice queue, size_t *jobs)
{
	return owner_pending_jobs(ctx, queue, jobs);
}

static void on_store_reached(void *ctx)
{
	struct owner *o = ctx;

	o->ops.store_reached(o->ctx);
}

void owner_advice_init(struct owner *o)
{
	static const struct peer_server_ops ops = {
		.job_status = on_status,
		.pending_jobs = on_count,
		.joined = on_joined,
		.left = on_left,
		.advice_reply = on_peer_reply,
		.submit = owner_on_submit,
		.store_reached = on_store_reached,
	};

	/* An answer to a call of a former ownership names none of this one. */
	o->advice_sequence = o->epoch << CALLS_OF_OWNERSHIP_BITS;
	o->advice_calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	o->own_balancer_node = advice_balancer_add_node(&o->advice_balancer,
							OWN_OVERHEAD_GUESS_MS);
	peer_server_set_owner(o->peer_server, o->epoch, &ops, o);
}

void owner_advice_finish(struct owner *o)
{
	GList *all = g_hash_table_get_values(o->advice_calls);

	for (GList *i = all; i; i = i->next)
		advice_call_free(i->data);
	g_list_free(all);
	g_hash_table_destroy(o->advice_calls);
	o->advice_calls = NULL;
}
