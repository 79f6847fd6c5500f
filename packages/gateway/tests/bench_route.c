/*
 * Ways to choose an upstream, compared in a simulation: 50 workers of 8 slots,
 * a load of 85%, service times of 20 ms on average, at 7 and 50 entry nodes.
 *
 *   two     the less loaded of two at random on each node's own news, with the
 *	     worker's refusal as the last line (what the gateway does)
 *   random  any worker that has not just refused
 *   grants  each worker's slots are granted to nodes beforehand, renewed every
 *	     second; no refusals
 *
 * And the loss of a zone with 16 of the workers at half load: attempts for
 * each request, over the whole run.
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
#define SURVIVORS 34 /* workers, of the other two zones */
#define AMPLIFICATION_BOUND 1.2
#define SIM_MS 20000.0
#define HOP_MS 1.0
#define RETRY_MS 5.0
#define P99_BOUND_MS 200.0
#define EVENTS_MAX 400000

enum way {
	WAY_TWO,
	WAY_RANDOM,
	WAY_GRANTS
};

struct event {
	double at;
	int kind; /* 0 arrival, 1 at the worker, 2 done, 3 try again */
	int node;
	int worker;
	double born;
};

struct sim {
	enum way way;
	int nodes;
	GRand *rng;
	struct vh_route_target targets[NODES_MAX][WORKERS];
	struct vh_route_target *views[NODES_MAX][WORKERS];
	int running[WORKERS];
	double busy_ms[WORKERS];
	struct vh_histogram wait_us;
	struct event *heap;
	int n;
	uint64_t requests;
	uint64_t attempts;
	uint64_t refused;
	bool lost; /* a zone's workers fail from the middle on */
	struct vh_retry_budget budgets[NODES_MAX];
};

static void push(struct sim *s, struct event e)
{
	int i = s->n++;

	while (i && s->heap[(i - 1) / 2].at > e.at) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

static struct event pop(struct sim *s)
{
	struct event top = s->heap[0], last = s->heap[--s->n];
	int i = 0;

	for (;;) {
		int c = 2 * i + 1;

		if (c + 1 < s->n && s->heap[c + 1].at < s->heap[c].at)
			c++;
		if (c >= s->n || s->heap[c].at >= last.at)
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

static size_t choose(struct sim *s, int node, int64_t now)
{
	size_t tries;

	if (s->way != WAY_RANDOM)
		return vh_route_pick(s->views[node], WORKERS, 0, true, now,
				     s->rng);
	for (tries = 0; tries < 4; tries++) {
		size_t i = (size_t)g_rand_int_range(s->rng, 0, WORKERS);

		if (vh_route_usable(s->views[node][i], now))
			return i;
	}
	return WORKERS;
}

static void send_one(struct sim *s, struct event e)
{
	size_t i = choose(s, e.node, (int64_t)e.at);

	if (i == WORKERS) {
		e.kind = 3;
		e.at += RETRY_MS;
		push(s, e);
		return;
	}
	s->targets[e.node][i].busy++;
	s->attempts++;
	e.worker = (int)i;
	e.kind = 1;
	e.at += HOP_MS;
	push(s, e);
}

static void reach_worker(struct sim *s, struct event e)
{
	struct vh_route_target *t = &s->targets[e.node][e.worker];
	double run;

	if (s->lost && e.at > SIM_MS / 2 && e.worker >= SURVIVORS) {
		t->busy--;
		vh_route_failed(t, (int64_t)(e.at + HOP_MS), s->rng);
		e.at += HOP_MS;
		if (vh_retry_budget_take(&s->budgets[e.node]))
			send_one(s, e);
		else
			s->refused++;
		return;
	}
	if (s->running[e.worker] >= SLOTS) {
		t->busy--;
		vh_route_refused(t, (int64_t)(e.at + HOP_MS), s->rng);
		e.at += HOP_MS;
		send_one(s, e);
		return;
	}
	run = exponential(s, SERVICE_MS);
	s->running[e.worker]++;
	s->busy_ms[e.worker] += run;
	vh_histogram_add(&s->wait_us, (uint64_t)((e.at - e.born) * 1000));
	e.kind = 2;
	e.at += run;
	push(s, e);
}

/* Grants: the slots of each worker dealt out anew, at random. */
static void deal_grants(struct sim *s)
{
	for (int w = 0; w < WORKERS; w++) {
		for (int n = 0; n < s->nodes; n++)
			s->targets[n][w].share = 0;
		for (int k = 0; k < SLOTS; k++)
			s->targets[g_rand_int_range(s->rng, 0, s->nodes)][w]
				.share++;
	}
}

static void report(const struct sim *s, const char *name)
{
	double p99 = (double)vh_histogram_quantile(&s->wait_us, 0.99) / 1000;
	double max = 0, sum = 0, imbalance;
	bool chosen = s->way == WAY_TWO;

	for (int w = 0; w < WORKERS; w++) {
		sum += s->busy_ms[w];
		max = s->busy_ms[w] > max ? s->busy_ms[w] : max;
	}
	imbalance = max / (sum / WORKERS);
	printf("bench route_%s_%d_nodes_wait_p99 %.1f ms %.0f %s\n", name,
	       s->nodes, p99, P99_BOUND_MS,
	       !chosen		     ? "info"
	       : p99 <= P99_BOUND_MS ? "ok"
				     : "FAIL");
	printf("bench route_%s_%d_nodes_imbalance %.3f max/mean 1.25 %s\n",
	       name, s->nodes, imbalance,
	       !chosen		   ? "info"
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

static void simulate(enum way way, const char *name, int nodes, bool lost)
{
	struct sim *s = g_new0(struct sim, 1);
	double load = lost ? LOAD_BEFORE_LOSS : LOAD;
	double gap = SERVICE_MS / (WORKERS * SLOTS * load), dealt = 0;
	struct event first = { 0 };

	s->way = way;
	s->nodes = nodes;
	s->lost = lost;
	s->rng = g_rand_new_with_seed(11);
	s->heap = g_new0(struct event, EVENTS_MAX);
	for (int n = 0; n < nodes; n++) {
		vh_retry_budget_init(&s->budgets[n]);
		for (int w = 0; w < WORKERS; w++) {
			s->targets[n][w].slots = SLOTS;
			s->targets[n][w].share = SLOTS;
			s->views[n][w] = &s->targets[n][w];
		}
	}
	if (way == WAY_GRANTS)
		deal_grants(s);
	push(s, first);
	while (s->n && s->n < EVENTS_MAX - 2) {
		struct event e = pop(s);

		if (way == WAY_GRANTS && e.at > dealt + 1000) {
			deal_grants(s);
			dealt = e.at;
		}
		if (e.kind == 0 && e.at < SIM_MS) {
			struct event next = { .at = e.at +
						    exponential(s, gap) };

			push(s, next);
			e.node = g_rand_int_range(s->rng, 0, nodes);
			e.born = e.at;
			s->requests++;
			vh_retry_budget_request(&s->budgets[e.node]);
			send_one(s, e);
		} else if (e.kind == 1) {
			reach_worker(s, e);
		} else if (e.kind == 2) {
			s->running[e.worker]--;
			s->targets[e.node][e.worker].busy--;
			vh_route_succeeded(&s->targets[e.node][e.worker]);
		} else if (e.kind == 3) {
			send_one(s, e);
		}
	}
	if (lost)
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
		simulate(WAY_TWO, "two", nodes[i], false);
		simulate(WAY_RANDOM, "random", nodes[i], false);
		simulate(WAY_GRANTS, "grants", nodes[i], false);
		simulate(WAY_TWO, "two", nodes[i], true);
	}
	return 0;
}
