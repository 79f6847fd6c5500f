#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "vh/engine.h"

/*
 * CPU cost of scheduling under overload: 350 and 1,100 workers, 150 % of the
 * load that they can run, thousands of waiting tasks. The simulation around the engine is
 * minimal: records are stored at the end of each tick, starts are confirmed in
 * the next tick, and a call of the policy service takes its cost and one tick.
 * Arguments: number of teams (1), half-life of their past use in seconds (0: off).
 * Output: bench NAME value unit bound verdict.
 */

#define WORKERS_MAX 1100
#define TEAMS_MAX 65
#define ADVICE_NODES_MAX 100 /* each makes one call at a time */
#define LOAD_WORKERS 350     /* that the rates of job_classes are for */
#define TICK_MS 20
#define WARMUP_S 10
#define MEASURE_S 20
#define REPORT_INTERVAL_MS 200
#define RUN_MS_MAX 10.0	    /* target for the slowest pass of a hundred */
#define CORE_SHARE_MAX 0.25 /* half of the 0.5 cores of a large entry VM */

struct run {
	struct eng_task_ref task;
	int64_t ends_ms;
};

struct sim_worker {
	char id[16];
	char address[24];
	GArray *running;  /* struct run */
	GArray *finished; /* struct eng_finished_task */
	int64_t last_end;
};

struct advice_call {
	int64_t at_ms;
	uint64_t job;
	uint32_t step;
	char **ids;
	size_t n;
};

struct simulation {
	struct engine *engine;
	int64_t now;
	struct sim_worker workers[WORKERS_MAX];
	int n_workers;
	int n_advice_nodes;
	GArray *started;      /* struct started */
	GArray *advice_calls; /* struct advice_call */
	int64_t busy_until_ms[ADVICE_NODES_MAX];
	uint64_t next_job;
	uint64_t n_teams;
	GRand *random;
	int64_t total_ns;
	GArray *pass_ns; /* int64_t */
};

struct started {
	int worker;
	struct eng_task_ref task;
};

static int64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static int worker_index(struct vh_slice id)
{
	char text[16] = "";

	memcpy(text, id.data, MIN(id.len, sizeof(text) - 1));
	return (int)g_ascii_strtoll(text + 1, NULL, 10);
}

static void on_start(void *ctx, const struct eng_start_request *request)
{
	struct simulation *sim = ctx;
	struct started s = { worker_index(request->worker), request->task };

	g_array_append_val(sim->started, s);
}

static void on_stop(void *ctx, struct vh_slice worker, struct vh_slice address,
		    struct eng_task_ref task)
{
	struct simulation *sim = ctx;
	struct sim_worker *w = &sim->workers[worker_index(worker)];

	(void)address;
	for (guint i = 0; i < w->running->len; i++) {
		struct run *r = &g_array_index(w->running, struct run, i);

		if (!memcmp(&r->task, &task, sizeof(task)))
			r->ends_ms = sim->now;
	}
}

static void on_hold(void *ctx, const struct eng_hold_request *request)
{
	struct simulation *sim = ctx;
	struct sim_worker *w = &sim->workers[worker_index(request->worker)];
	guint keep = 0;

	for (guint i = 0; i < w->finished->len; i++) {
		struct eng_finished_task f =
			g_array_index(w->finished, struct eng_finished_task, i);

		if (f.number > request->acknowledged)
			g_array_index(w->finished, struct eng_finished_task,
				      keep++) = f;
	}
	g_array_set_size(w->finished, keep);
}

static int find_idle_node(const struct simulation *sim)
{
	for (int i = 0; i < sim->n_advice_nodes; i++) {
		if (sim->busy_until_ms[i] <= sim->now)
			return i;
	}
	return -1;
}

static bool advice_available(void *ctx, double cost_ms)
{
	(void)cost_ms;
	return find_idle_node(ctx) >= 0;
}

static bool on_advise(void *ctx, const struct eng_advice_request *request)
{
	struct simulation *sim = ctx;
	int i = find_idle_node(sim);
	struct advice_call a = { .job = request->job,
				 .step = request->step,
				 .n = request->n };

	if (i < 0)
		return false;
	a.at_ms = sim->now + (int64_t)request->cost_ms + TICK_MS;
	sim->busy_until_ms[i] = sim->now + (int64_t)request->cost_ms;
	a.ids = g_new0(char *, request->n + 1);
	for (size_t k = 0; k < request->n; k++)
		a.ids[k] = vh_slice_dup(request->workers[k]);
	g_array_append_val(sim->advice_calls, a);
	return true;
}

static void on_deposed(void *ctx, const char *why)
{
	(void)ctx;
	g_error("deposed: %s", why);
}

static void reply_advice(struct simulation *sim, const struct advice_call *a)
{
	struct vh_slice *ids = g_new(struct vh_slice, a->n + 1);
	struct eng_advised_worker *approved =
		g_new(struct eng_advised_worker, a->n + 1);
	size_t n = 0;

	for (size_t i = 0; i < a->n; i++) {
		ids[i] = vh_slice_str(a->ids[i]);
		if (vh_slice_hash(ids[i], a->job + a->step) % 100 < 40)
			approved[n++] =
				(struct eng_advised_worker){ ids[i], ids[i] };
	}
	eng_advice_received(sim->engine, a->job, a->step, ids, a->n, approved,
			    n, sim->now, 2500, sim->now);
	g_free(ids);
	g_free(approved);
}

static void deliver_advice(struct simulation *sim)
{
	for (guint i = sim->advice_calls->len; i-- > 0;) {
		struct advice_call a =
			g_array_index(sim->advice_calls, struct advice_call, i);

		if (a.at_ms > sim->now)
			continue;
		g_array_remove_index_fast(sim->advice_calls, i);
		reply_advice(sim, &a);
		g_strfreev(a.ids);
	}
}

static void confirm_starts(struct simulation *sim)
{
	GArray *starts = sim->started;

	sim->started = g_array_new(FALSE, FALSE, sizeof(struct started));
	for (guint i = 0; i < starts->len; i++) {
		struct started s = g_array_index(starts, struct started, i);
		struct sim_worker *w = &sim->workers[s.worker];
		struct run r = { s.task,
				 sim->now + g_rand_int_range(sim->random, 200,
							     4000) };

		g_array_append_val(w->running, r);
		eng_start_reply(sim->engine, vh_slice_str(w->id), s.task,
				ENG_REPLY_OK, sim->now);
	}
	g_array_free(starts, TRUE);
}

static void end_runs(struct simulation *sim, struct sim_worker *w)
{
	for (guint i = w->running->len; i-- > 0;) {
		struct run *r = &g_array_index(w->running, struct run, i);
		struct eng_finished_task f = { .task = r->task,
					       .how = ENG_END_DONE };

		if (r->ends_ms > sim->now)
			continue;
		f.number = ++w->last_end;
		g_array_append_val(w->finished, f);
		g_array_remove_index_fast(w->running, i);
	}
}

static void report(struct simulation *sim, struct sim_worker *w)
{
	struct eng_running_task *run =
		g_new0(struct eng_running_task, w->running->len + 1);
	struct eng_worker_report r = { .sent_ms = sim->now - TICK_MS,
				       .clock_ms = sim->now,
				       .born_ms = 1,
				       .running = run,
				       .n_running = w->running->len,
				       .finished = (void *)w->finished->data,
				       .n_finished = w->finished->len };

	for (guint i = 0; i < w->running->len; i++)
		run[i].task = g_array_index(w->running, struct run, i).task;
	eng_worker_report(sim->engine, vh_slice_str(w->id), &r, sim->now);
	g_free(run);
}

struct job_class {
	const char *queue;
	uint32_t priority;
	uint32_t n_tasks;
	int64_t cpu_milli;
	int64_t estimate_ms;
	double decide_ms;
	double each_ms;
	bool gang;
	double jobs_per_s;
};

static const struct job_class job_classes[] = {
	{ "short", 0, 3, 9900, 640, 7, 0.1, false, 190 },
	{ "wide", 1, 20, 18000, 6200, 540, 7.7, true, 5 },
	{ "batch", 2, 25, 6900, 2200, 80, 1.1, false, 17 },
};

static void submit(struct simulation *sim, const struct job_class *k)
{
	struct eng_step_spec step = { .n_tasks = k->n_tasks,
				      .need = { k->cpu_milli, 4000, 0 },
				      .estimate_ms = k->estimate_ms,
				      .gang = k->gang,
				      .checkpoints = !k->gang };
	struct eng_job_spec spec = { .id = ++sim->next_job,
				     .queue = vh_slice_str(k->queue),
				     .service = vh_slice_str("svc"),
				     .priority = k->priority,
				     .max_attempts = 3,
				     .stretch = 2,
				     .target_ms = 1000,
				     .steps = &step,
				     .n_steps = 1 };
	struct vh_buf bytes;
	char team[16];

	/* The first teams submit most. */
	g_snprintf(team, sizeof(team), "team%d",
		   (int)MIN(spec.id % sim->n_teams,
			    spec.id / sim->n_teams % sim->n_teams));
	spec.team = vh_slice_str(team);
	spec.advice = (struct eng_advice_params){ true, k->decide_ms,
						  k->each_ms, 2500 };
	spec.received_ms = sim->now;
	vh_buf_init(&bytes);
	eng_job_pack(&spec, &bytes);
	eng_job_add(sim->engine, eng_job_unpack(vh_buf_slice(&bytes)), sim->now,
		    sim->now);
	vh_buf_finish(&bytes);
}

static void store_batch(struct simulation *sim)
{
	struct eng_record *records;
	uint64_t ids[256];
	size_t n;
	uint64_t batch = eng_flush(sim->engine, &records, &n);

	if (!batch)
		return;
	eng_records_free(records, n);
	eng_batch_stored(sim->engine, batch, sim->now);
	eng_pop_ended_jobs(sim->engine, ids, G_N_ELEMENTS(ids));
}

static void run_scheduler(struct simulation *sim, bool measured)
{
	int64_t begin_ns = cpu_ns();
	int64_t elapsed_ns;

	eng_schedule(sim->engine, sim->now);
	elapsed_ns = cpu_ns() - begin_ns;
	if (!measured)
		return;
	sim->total_ns += elapsed_ns;
	g_array_append_val(sim->pass_ns, elapsed_ns);
}

static void run_tick(struct simulation *sim, bool measured)
{
	sim->now += TICK_MS;
	for (size_t i = 0; i < G_N_ELEMENTS(job_classes); i++) {
		double due = job_classes[i].jobs_per_s * TICK_MS / 1000 *
			     sim->n_workers / LOAD_WORKERS;

		for (; due > g_rand_double(sim->random); due--)
			submit(sim, &job_classes[i]);
	}
	deliver_advice(sim);
	confirm_starts(sim);
	for (int i = 0; i < sim->n_workers; i++) {
		end_runs(sim, &sim->workers[i]);
		if ((sim->now / TICK_MS + i) % (REPORT_INTERVAL_MS / TICK_MS) ==
		    0)
			report(sim, &sim->workers[i]);
	}
	run_scheduler(sim, measured);
	store_batch(sim);
}

static void add_workers(struct simulation *sim)
{
	for (int i = 0; i < sim->n_workers; i++) {
		struct sim_worker *w = &sim->workers[i];
		struct eng_worker_info info = {
			.capacity = { 64000, 131072, 0 }, .born_ms = 1
		};

		g_snprintf(w->id, sizeof(w->id), "w%d", i);
		g_snprintf(w->address, sizeof(w->address), "10.0.0.1:%d",
			   i + 1);
		w->running = g_array_new(FALSE, FALSE, sizeof(struct run));
		w->finished = g_array_new(FALSE, FALSE,
					  sizeof(struct eng_finished_task));
		info.id = vh_slice_str(w->id);
		info.address = vh_slice_str(w->address);
		info.service = vh_slice_str("svc");
		info.zone = vh_slice_str("z");
		eng_worker_listed(sim->engine, &info, sim->now);
		report(sim, w);
	}
}

static void print_result(int n_workers, const char *name, double value,
			 const char *unit, double max)
{
	printf("bench engine_%d_%s %.4g %s <=%.4g %s\n", n_workers, name, value,
	       unit, max, value <= max ? "ok" : "FAIL");
}

static int by_duration(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static double quantile_ms(const struct simulation *sim, double q)
{
	guint at = (guint)(q * (sim->pass_ns->len - 1));

	return (double)g_array_index(sim->pass_ns, int64_t, at) / 1e6;
}

static void print_results(struct simulation *sim)
{
	struct eng_stats stats;
	int n = sim->n_workers;

	eng_stats(sim->engine, &stats);
	g_array_sort(sim->pass_ns, by_duration);
	printf("bench engine_%d_waiting_tasks %" G_GUINT64_FORMAT
	       " tasks - -\n",
	       n, stats.waiting_tasks);
	printf("bench engine_%d_cpu_used %.3f share - -\n", n,
	       (double)stats.cpu_used / (double)stats.cpu_capacity);
	printf("bench engine_%d_run_p50 %.3f ms - -\n", n,
	       quantile_ms(sim, 0.5));
	print_result(n, "run_p99", quantile_ms(sim, 0.99), "ms", RUN_MS_MAX);
	printf("bench engine_%d_run_worst %.3f ms - -\n", n,
	       quantile_ms(sim, 1));
	print_result(n, "core_share", (double)sim->total_ns / 1e9 / MEASURE_S,
		     "cores", CORE_SHARE_MAX);
}

static void measure(int n_workers, int n_advice_nodes, uint64_t n_teams,
		    int64_t half_life_ms)
{
	struct simulation *sim = g_new0(struct simulation, 1);
	struct eng_settings s = { .fence = 1,
				  .lease_ms = 5000,
				  .lease_max_ms = 6000,
				  .stop_ms = 900,
				  .gang_ms = 3000,
				  .past_use_half_life_ms = half_life_ms };
	struct eng_callbacks callbacks = { .start = on_start,
					   .stop = on_stop,
					   .hold = on_hold,
					   .advise = on_advise,
					   .advice_available = advice_available,
					   .deposed = on_deposed,
					   .ctx = sim };

	sim->now = 1000;
	sim->n_workers = n_workers;
	sim->n_teams = n_teams;
	sim->n_advice_nodes = n_advice_nodes;
	sim->random = g_rand_new_with_seed(1);
	sim->started = g_array_new(FALSE, FALSE, sizeof(struct started));
	sim->advice_calls =
		g_array_new(FALSE, FALSE, sizeof(struct advice_call));
	sim->pass_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	sim->engine = eng_new(&s, &callbacks, sim->now);
	add_workers(sim);
	eng_recovery_done(sim->engine, sim->now);
	for (int i = 0; i < (WARMUP_S + MEASURE_S) * 1000 / TICK_MS; i++)
		run_tick(sim, i >= WARMUP_S * 1000 / TICK_MS);
	print_results(sim);
}

int main(int argc, char **argv)
{
	uint64_t n_teams = 1;
	uint64_t half_life_s = 0;

	if (argc > 1)
		n_teams = g_ascii_strtoull(argv[1], NULL, 10);
	if (argc > 2)
		half_life_s = g_ascii_strtoull(argv[2], NULL, 10);
	n_teams = CLAMP(n_teams, 1, TEAMS_MAX);
	measure(LOAD_WORKERS, 30, n_teams, (int64_t)half_life_s * 1000);
	measure(WORKERS_MAX, 100, n_teams, (int64_t)half_life_s * 1000);
	return 0;
}
