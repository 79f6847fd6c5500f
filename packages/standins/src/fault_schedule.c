#include "fault_schedule.h"

#include <string.h>

#define NODES_MAX 16
#define RACKS_MAX 256
#define WORKERS_PER_RACK_MAX 64
#define RESTART_MIN_MS 300
#define RESTART_MAX_MS 8000
/* The leases of the example settings last 6 s, so that some pauses outlast
 * them. */
#define PAUSE_MIN_MS 500
#define PAUSE_MAX_MS 14000
#define LOG_FAULT_MIN_MS 500
#define LOG_FAULT_MAX_MS 10000
#define WORKER_FAULT_MIN_MS 2000
#define WORKER_FAULT_MAX_MS 10000
#define LEAVE_NOTICE_MS 8000
#define NODE_REPLACE_STEP_MS 700

struct generator {
	const struct vh_fault_schedule_settings *settings;
	struct vh_fault_schedule *s;
	GRand *rand;
	int64_t now_ms;
	int64_t node_busy_ms[NODES_MAX];
	int64_t log_busy_ms;
	const char *racks[RACKS_MAX];
	int64_t rack_busy_ms[RACKS_MAX];
	size_t n_racks;
	uint32_t publishes;
};

static int64_t random_between(struct generator *g, int64_t min, int64_t max)
{
	return g_rand_int_range(g->rand, (int32_t)min, (int32_t)max + 1);
}

static void add_event(struct generator *g, int64_t at_ms, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void add_event(struct generator *g, int64_t at_ms, const char *fmt, ...)
{
	struct vh_fault_event e = { at_ms, g->s->events->len, NULL };
	va_list ap;

	va_start(ap, fmt);
	e.action = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_array_append_val(g->s->events, e);
}

/* Picks the end of a fault that lasts @min to @max ms; 0 if the schedule ends
 * before it. */
static int64_t random_repair_ms(struct generator *g, int64_t min, int64_t max)
{
	int64_t at_ms = g->now_ms + random_between(g, min, max);

	return at_ms < g->settings->duration_ms ? at_ms : 0;
}

/* Picks a node without a fault; 0 unless another one stays healthy. */
static uint32_t pick_healthy_node(struct generator *g)
{
	uint32_t up = 0,
		 first = (uint32_t)random_between(g, 0, g->settings->nodes - 1);
	uint32_t found = 0;

	for (uint32_t i = 0; i < g->settings->nodes; i++) {
		uint32_t n = (first + i) % g->settings->nodes + 1;

		if (g->node_busy_ms[n] > g->now_ms)
			continue;
		up++;
		if (!found)
			found = n;
	}
	return up > 1 ? found : 0;
}

static void crash_node(struct generator *g)
{
	int64_t end_ms = random_repair_ms(g, RESTART_MIN_MS, RESTART_MAX_MS);
	uint32_t n = pick_healthy_node(g);

	if (!n || !end_ms)
		return;
	g->node_busy_ms[n] = end_ms + RESTART_MIN_MS;
	add_event(g, g->now_ms, "node %u kill", n);
	add_event(g, end_ms, "node %u start", n);
}

static void pause_node(struct generator *g)
{
	int64_t end_ms = random_repair_ms(g, PAUSE_MIN_MS, PAUSE_MAX_MS);
	uint32_t n = pick_healthy_node(g);

	if (!n || !end_ms)
		return;
	g->node_busy_ms[n] = end_ms + 1;
	add_event(g, g->now_ms, "node %u stop", n);
	add_event(g, end_ms, "node %u cont", n);
}

/* Replaces all nodes, either one after another or all at once. */
static void replace_nodes(struct generator *g)
{
	int64_t step_ms = random_between(g, 0, 1) ? NODE_REPLACE_STEP_MS : 0;
	int64_t end_ms =
		random_repair_ms(g, WORKER_FAULT_MIN_MS, WORKER_FAULT_MIN_MS) +
		step_ms * g->settings->nodes;

	for (uint32_t n = 1; n <= g->settings->nodes; n++) {
		if (g->node_busy_ms[n] > g->now_ms)
			return;
	}
	if (end_ms > g->settings->duration_ms || end_ms < g->now_ms)
		return;
	for (uint32_t n = 1; n <= g->settings->nodes; n++) {
		int64_t at_ms = g->now_ms + step_ms * n;

		add_event(g, at_ms, "node %u kill", n);
		add_event(g, at_ms + RESTART_MIN_MS, "node %u start", n);
		g->node_busy_ms[n] = end_ms;
	}
}

static void add_log_fault(struct generator *g, const char *fault,
			  const char *repair)
{
	int64_t end_ms =
		random_repair_ms(g, LOG_FAULT_MIN_MS, LOG_FAULT_MAX_MS);

	if (g->log_busy_ms > g->now_ms || !end_ms)
		return;
	g->log_busy_ms = end_ms + 1;
	add_event(g, g->now_ms, "log %s", fault);
	add_event(g, end_ms, "log %s", repair);
}

static void take_log_down(struct generator *g)
{
	static const char *const modes[] = { "refuse", "silent", "hang" };
	char *fault = g_strdup_printf("{\"down\":\"%s\"}",
				      modes[random_between(g, 0, 2)]);

	add_log_fault(g, fault, "{\"down\":false}");
	g_free(fault);
}

static void slow_log_down(struct generator *g)
{
	char *fault = g_strdup_printf("{\"slow_ms\":%d}",
				      (int)random_between(g, 100, 1500));

	add_log_fault(g, fault, "{\"slow_ms\":0}");
	g_free(fault);
}

static void make_log_lossy(struct generator *g)
{
	char *fault =
		g_strdup_printf("{\"lose_replies\":0.%d,\"reject\":0.%d,"
				"\"effect_delay_ms\":%d}",
				(int)random_between(g, 1, 5),
				(int)random_between(g, 0, 3),
				(int)random_between(g, 0, 1) *
					(int)random_between(g, 100, 1500));

	add_log_fault(g, fault,
		      "{\"lose_replies\":0.0,\"reject\":0.0,"
		      "\"effect_delay_ms\":0}");
	g_free(fault);
}

/* Reserves a rack without a fault until @end_ms; returns its index, or -1. */
static int reserve_rack(struct generator *g, int64_t end_ms)
{
	size_t first = (size_t)random_between(g, 0, (int64_t)g->n_racks - 1);

	for (size_t i = 0; i < g->n_racks; i++) {
		size_t r = (first + i) % g->n_racks;

		if (g->rack_busy_ms[r] > g->now_ms)
			continue;
		g->rack_busy_ms[r] = end_ms + 1;
		return (int)r;
	}
	return -1;
}

/* Reserves a rack without a fault until @end_ms and returns the id of one of
 * its workers, or NULL. */
static const char *reserve_worker(struct generator *g, int64_t end_ms)
{
	const struct vh_fleet *f = g->settings->fleet;
	int rack = end_ms ? reserve_rack(g, end_ms) : -1;
	const char *ids[WORKERS_PER_RACK_MAX];
	size_t n = 0;

	for (size_t i = 0; rack >= 0 && i < f->n && n < WORKERS_PER_RACK_MAX;
	     i++) {
		if (!strcmp(f->vms[i].rack, g->racks[rack]))
			ids[n++] = f->vms[i].id;
	}
	return n ? ids[random_between(g, 0, (int64_t)n - 1)] : NULL;
}

static void fail_rack(struct generator *g)
{
	int64_t end_ms =
		random_repair_ms(g, WORKER_FAULT_MIN_MS, WORKER_FAULT_MAX_MS);
	int rack = end_ms ? reserve_rack(g, end_ms) : -1;
	const char *name = rack < 0 ? NULL : g->racks[rack];

	if (!name)
		return;
	add_event(g, g->now_ms, "workers {\"rack\":\"%s\",\"fail\":true}",
		  name);
	add_event(g, g->now_ms, "vms {\"rack\":\"%s\",\"state\":\"failed\"}",
		  name);
	add_event(g, end_ms, "workers {\"rack\":\"%s\",\"recover\":true}",
		  name);
	add_event(g, end_ms, "vms {\"rack\":\"%s\",\"state\":\"live\"}", name);
}

/* Drops a random part of the requests and replies of a whole rack. */
static void make_rack_lossy(struct generator *g)
{
	int64_t end_ms =
		random_repair_ms(g, WORKER_FAULT_MIN_MS, WORKER_FAULT_MAX_MS);
	int rack = end_ms ? reserve_rack(g, end_ms) : -1;
	const char *name = rack < 0 ? NULL : g->racks[rack];

	if (!name)
		return;
	add_event(g, g->now_ms,
		  "workers {\"rack\":\"%s\",\"drop_replies\":0.%d,"
		  "\"lose_requests\":0.%d,\"latency_ms\":%d}",
		  name, (int)random_between(g, 1, 5),
		  (int)random_between(g, 0, 5), (int)random_between(g, 0, 200));
	add_event(g, end_ms,
		  "workers {\"rack\":\"%s\",\"drop_replies\":0.0,"
		  "\"lose_requests\":0.0,\"latency_ms\":0}",
		  name);
}

static void fail_worker(struct generator *g)
{
	int64_t end_ms =
		random_repair_ms(g, WORKER_FAULT_MIN_MS, WORKER_FAULT_MAX_MS);
	const char *id = reserve_worker(g, end_ms);

	if (!id)
		return;
	add_event(g, g->now_ms, "workers {\"worker\":\"%s\",\"fail\":true}",
		  id);
	add_event(g, g->now_ms, "vms {\"vm\":\"%s\",\"state\":\"failed\"}", id);
	add_event(g, end_ms, "workers {\"worker\":\"%s\",\"recover\":true}",
		  id);
	add_event(g, end_ms, "vms {\"vm\":\"%s\",\"state\":\"live\"}", id);
}

/* The VM list does not show a restart, so only the worker gets an event. */
static void restart_worker(struct generator *g)
{
	const char *id = reserve_worker(g, g->now_ms);

	if (id)
		add_event(g, g->now_ms,
			  "workers {\"worker\":\"%s\",\"restart\":true}", id);
}

static void pause_worker(struct generator *g)
{
	int64_t end_ms = random_repair_ms(g, PAUSE_MIN_MS, PAUSE_MAX_MS);
	const char *id = reserve_worker(g, end_ms);

	if (id)
		add_event(g, g->now_ms,
			  "workers {\"worker\":\"%s\",\"pause_ms\":%d}", id,
			  (int)(end_ms - g->now_ms));
}

static void remove_worker(struct generator *g)
{
	int64_t gone_ms = g->now_ms + LEAVE_NOTICE_MS;
	int64_t end_ms =
		random_repair_ms(g, LEAVE_NOTICE_MS + WORKER_FAULT_MIN_MS,
				 LEAVE_NOTICE_MS + WORKER_FAULT_MAX_MS);
	const char *id = reserve_worker(g, end_ms);

	if (!id)
		return;
	add_event(g, g->now_ms, "workers {\"worker\":\"%s\",\"leave\":true}",
		  id);
	add_event(g, g->now_ms, "vms {\"vm\":\"%s\",\"state\":\"leaving\"}",
		  id);
	add_event(g, gone_ms, "workers {\"worker\":\"%s\",\"fail\":true}", id);
	add_event(g, gone_ms, "vms {\"vm\":\"%s\",\"state\":\"gone\"}", id);
	add_event(g, end_ms, "workers {\"worker\":\"%s\",\"recover\":true}",
		  id);
	add_event(g, end_ms, "vms {\"vm\":\"%s\",\"state\":\"live\"}", id);
}

/* Makes every task that starts on one worker fail. */
static void fail_worker_tasks(struct generator *g)
{
	int64_t end_ms =
		random_repair_ms(g, WORKER_FAULT_MIN_MS, WORKER_FAULT_MAX_MS);
	const char *id = reserve_worker(g, end_ms);

	if (!id)
		return;
	add_event(g, g->now_ms,
		  "workers {\"worker\":\"%s\",\"fail_tasks\":1.0}", id);
	add_event(g, end_ms, "workers {\"worker\":\"%s\",\"fail_tasks\":0.0}",
		  id);
}

static void publish_config(struct generator *g)
{
	add_event(g, g->now_ms, "publish %u", ++g->publishes);
}

static void withdraw_config_key(struct generator *g)
{
	add_event(g, g->now_ms, "withdraw %u", ++g->publishes);
}

/** struct fault - a type of fault and its relative frequency */
static const struct fault {
	uint32_t weight;
	void (*inject)(struct generator *g);
} faults[] = {
	{ 14, crash_node },	    { 14, pause_node },
	{ 3, replace_nodes },	    { 6, take_log_down },
	{ 4, slow_log_down },	    { 8, make_log_lossy },
	{ 4, fail_rack },	    { 8, make_rack_lossy },
	{ 7, fail_worker },	    { 5, restart_worker },
	{ 8, pause_worker },	    { 5, remove_worker },
	{ 4, fail_worker_tasks },   { 5, publish_config },
	{ 3, withdraw_config_key },
};

static void inject_random_fault(struct generator *g)
{
	uint32_t sum = 0, at;
	size_t i = 0;

	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		sum += faults[i].weight;
	at = (uint32_t)random_between(g, 0, sum - 1);
	for (i = 0; at >= faults[i].weight; i++)
		at -= faults[i].weight;
	faults[i].inject(g);
}

static void collect_racks(struct generator *g)
{
	const struct vh_fleet *f = g->settings->fleet;

	for (size_t i = 0; i < f->n && g->n_racks < RACKS_MAX; i++) {
		size_t r = 0;

		while (r < g->n_racks && strcmp(g->racks[r], f->vms[i].rack))
			r++;
		if (r == g->n_racks)
			g->racks[g->n_racks++] = f->vms[i].rack;
	}
}

static int compare_events(const void *a, const void *b)
{
	const struct vh_fault_event *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->serial < y->serial ? -1 : 1;
}

static void free_event(void *ptr)
{
	struct vh_fault_event *e = ptr;

	g_free(e->action);
}

void vh_fault_schedule_init(struct vh_fault_schedule *s,
			    const struct vh_fault_schedule_settings *settings)
{
	struct generator g = { .settings = settings, .s = s };

	s->events = g_array_new(FALSE, FALSE, sizeof(struct vh_fault_event));
	g_array_set_clear_func(s->events, free_event);
	g.rand = g_rand_new_with_seed(settings->seed);
	collect_racks(&g);
	while (g.now_ms < settings->duration_ms) {
		g.now_ms += random_between(&g, settings->gap_ms / 2,
					   settings->gap_ms * 3 / 2);
		if (g.now_ms < settings->duration_ms)
			inject_random_fault(&g);
	}
	g_array_sort(s->events, compare_events);
	g_rand_free(g.rand);
}

void vh_fault_schedule_finish(struct vh_fault_schedule *s)
{
	g_array_free(s->events, TRUE);
}
