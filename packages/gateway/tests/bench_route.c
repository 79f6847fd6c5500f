/*
 * Simulation of load-balancing policies: 50 workers with 8 slots each, 85% load
 * and 20 ms mean service time, with 7 and 50 nodes that run a gateway.
 *
 *   two     the less loaded of two random workers by the node's own state;
 *	     workers refuse requests when full (used by the gateway)
 *   random  any worker that has not refused recently
 *   grants  worker slots are granted to nodes in advance and reassigned every
 *	     second; no refusals
 *
 * A further run at half load loses a zone with 16 of the workers and reports
 * the attempts per request over the whole run.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "route.h"
#include "vh/metrics.h"

#define WORKERS 50
#define SLOTS 8
#define NODES_MAX 50
#define SERVICE_MS 20.0
#define LOAD 0.85
#define LOAD_BEFORE_LOSS 0.5
#define SURVIVING_WORKERS 34 /* those in the other two zones */
#define AMPLIFICATION_BOUND 1.2
#define SIM_MS 20000.0
#define HOP_MS 1.0   /* network delay between a node and a worker */
#define RETRY_MS 5.0 /* delay after no worker was usable */
#define P99_BOUND_MS 200.0
#define EVENTS_MAX 400000

enum policy {
	POLICY_TWO_CHOICES,
	POLICY_RANDOM,
	POLICY_GRANTS
};

struct event {
	double at_ms;
	int kind; /* 0 arrival, 1 at the worker, 2 done, 3 retry */
	int node;
	int worker;
	double created_ms;
};

struct sim {
	enum policy policy;
	int nodes;
	GRand *rng;
	struct vh_route_target targets[NODES_MAX][WORKERS];
	struct vh_route_target *target_ptrs[NODES_MAX][WORKERS];
	int running[WORKERS];
	double busy_ms[WORKERS];
	struct vh_histogram wait_us;
	struct event *heap;
	int n;
	uint64_t requests;
	uint64_t attempts;
	uint64_t refused; /* failed with the retry budget used up */
	bool zone_lost;	  /* a zone's workers fail halfway through the run */
	struct vh_route_retry_budget budgets[NODES_MAX];
};

static void push_event(struct sim *s, struct event e)
{
	int i = s->n++;

	while (i && s->heap[(i - 1) / 2].at_ms > e.at_ms) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

static struct event pop_event(struct sim *s)
{
	struct event top = s->heap[0], last = s->heap[--s->n];
	int i = 0;

	for (;;) {
		int c = 2 * i + 1;

		if (c + 1 < s->n && s->heap[c + 1].at_ms < s->heap[c].at_ms)
			c++;
		if (c >= s->n || s->heap[c].at_ms >= last.at_ms)
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = last;
	return top;
}

static double exponential(struct sim *s, double mean)
{
	return -mean * log(1.0 - g_rand_double(s->rng));
}

static size_t choose_worker(struct sim *s, int node, int64_t now)
{
	size_t tries;

	if (s->policy != POLICY_RANDOM)
		return vh_route_pick(s->target_ptrs[node], WORKERS, 0, true,
				     now, s->rng);
	for (tries = 0; tries < 4; tries++) {
		size_t i = (size_t)g_rand_int_range(s->rng, 0, WORKERS);

		if (vh_route_usable(s->target_ptrs[node][i], now))
			return i;
	}
	return WORKERS;
}

static void send_one(struct sim *s, struct event e)
{
	size_t i = choose_worker(s, e.node, (int64_t)e.at_ms);

	if (i == WORKERS) {
		e.kind = 3;
		e.at_ms += RETRY_MS;
		push_event(s, e);
		return;
	}
	s->targets[e.node][i].in_flight++;
	s->attempts++;
	e.worker = (int)i;
	e.kind = 1;
	e.at_ms += HOP_MS;
	push_event(s, e);
}

static void arrive_at_worker(struct sim *s, struct event e)
{
	struct vh_route_target *t = &s->targets[e.node][e.worker];
	double run_ms;

	if (s->zone_lost && e.at_ms > SIM_MS / 2 &&
	    e.worker >= SURVIVING_WORKERS) {
		t->in_flight--;
		vh_route_failed(t, (int64_t)(e.at_ms + HOP_MS), s->rng);
		e.at_ms += HOP_MS;
		if (vh_route_retry_budget_take(&s->budgets[e.node]))
			send_one(s, e);
		else
			s->refused++;
		return;
	}
	if (s->running[e.worker] >= SLOTS) {
		t->in_flight--;
		vh_route_refused(t, (int64_t)(e.at_ms + HOP_MS), s->rng);
		e.at_ms += HOP_MS;
		send_one(s, e);
		return;
	}
	run_ms = exponential(s, SERVICE_MS);
	s->running[e.worker]++;
	s->busy_ms[e.worker] += run_ms;
	vh_histogram_add(&s->wait_us,
			 (uint64_t)((e.at_ms - e.created_ms) * 1000));
	e.kind = 2;
	e.at_ms += run_ms;
	push_event(s, e);
}

/* Reassigns each worker's slots to random nodes. */
static void assign_grants(struct sim *s)
{
	for (int w = 0; w < WORKERS; w++) {
		for (int n = 0; n < s->nodes; n++)
			s->targets[n][w].conn_share = 0;
		for (int k = 0; k < SLOTS; k++)
			s->targets[g_rand_int_range(s->rng, 0, s->nodes)][w]
				.conn_share++;
	}
}

static void report(const struct sim *s, const char *name)
{
	double p99 = (double)vh_histogram_quantile(&s->wait_us, 0.99) / 1000;
	double max = 0, sum = 0, imbalance;
	bool is_gateway_policy = s->policy == POLICY_TWO_CHOICES;

	for (int w = 0; w < WORKERS; w++) {
		sum += s->busy_ms[w];
		max = s->busy_ms[w] > max ? s->busy_ms[w] : max;
	}
	imbalance = max / (sum / WORKERS);
	printf("bench route_%s_%d_nodes_wait_p99 %.1f ms %.0f %s\n", name,
	       s->nodes, p99, P99_BOUND_MS,
	       !is_gateway_policy    ? "info"
	       : p99 <= P99_BOUND_MS ? "ok"
				     : "FAIL");
	printf("bench route_%s_%d_nodes_imbalance %.3f max/mean 1.25 %s\n",
	       name, s->nodes, imbalance,
	       !is_gateway_policy  ? "info"
	       : imbalance <= 1.25 ? "ok"
				   : "FAIL");
	printf("bench route_%s_%d_nodes_attempts %.3f per-request 0 info\n",
	       name, s->nodes, (double)s->attempts / (double)s->requests);
}

static void report_loss(const struct sim *s)
{
	double amplification = (double)s->attempts / (double)s->requests;

	printf("bench route_zone_lost_%d_nodes_amplification %.3f "
	       "attempts/request %.1f %s\n",
	       s->nodes, amplification, AMPLIFICATION_BOUND,
	       amplification <= AMPLIFICATION_BOUND ? "ok" : "FAIL");
	printf("bench route_zone_lost_%d_nodes_refused %.4f of-requests 0 "
	       "info\n",
	       s->nodes, (double)s->refused / (double)s->requests);
}

static void simulate(enum policy policy, const char *name, int nodes,
		     bool zone_lost)
{
	struct sim *s = g_new0(struct sim, 1);
	double load = zone_lost ? LOAD_BEFORE_LOSS : LOAD;
	double mean_gap_ms = SERVICE_MS / (WORKERS * SLOTS * load),
	       granted_ms = 0;
	struct event first = { 0 };

	s->policy = policy;
	s->nodes = nodes;
	s->zone_lost = zone_lost;
	s->rng = g_rand_new_with_seed(11);
	s->heap = g_new0(struct event, EVENTS_MAX);
	for (int n = 0; n < nodes; n++) {
		vh_route_retry_budget_init(&s->budgets[n]);
		for (int w = 0; w < WORKERS; w++) {
			s->targets[n][w].slots = SLOTS;
			s->targets[n][w].conn_share = SLOTS;
			s->target_ptrs[n][w] = &s->targets[n][w];
		}
	}
	if (policy == POLICY_GRANTS)
		assign_grants(s);
	push_event(s, first);
	while (s->n && s->n < EVENTS_MAX - 2) {
		struct event e = pop_event(s);

		if (policy == POLICY_GRANTS && e.at_ms > granted_ms + 1000) {
			assign_grants(s);
			granted_ms = e.at_ms;
		}
		if (e.kind == 0 && e.at_ms < SIM_MS) {
			struct event next = {
				.at_ms = e.at_ms + exponential(s, mean_gap_ms)
			};

			push_event(s, next);
			e.node = g_rand_int_range(s->rng, 0, nodes);
			e.created_ms = e.at_ms;
			s->requests++;
			vh_route_retry_budget_deposit(&s->budgets[e.node]);
			send_one(s, e);
		} else if (e.kind == 1) {
			arrive_at_worker(s, e);
		} else if (e.kind == 2) {
			s->running[e.worker]--;
			s->targets[e.node][e.worker].in_flight--;
			vh_route_succeeded(&s->targets[e.node][e.worker]);
		} else if (e.kind == 3) {
			send_one(s, e);
		}
	}
	if (zone_lost)
		report_loss(s);
	else
		report(s, name);
	g_rand_free(s->rng);
	g_free(s->heap);
	g_free(s);
}

int main(void)
{
	static const int nodes[] = { 7, 50 };

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		simulate(POLICY_TWO_CHOICES, "two", nodes[i], false);
		simulate(POLICY_RANDOM, "random", nodes[i], false);
		simulate(POLICY_GRANTS, "grants", nodes[i], false);
		simulate(POLICY_TWO_CHOICES, "two", nodes[i], true);
	}
	return 0;
}
