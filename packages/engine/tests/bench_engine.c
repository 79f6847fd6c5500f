#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "vh/engine.h"

/*
 * CPU cost of scheduling. At 350 and 1,100 workers the load grows with the
 * workers. At 3,000 and 7,200 workers tasks run longer instead, for 1,500
 * starts a second, in a cell that is filled first: once with few waiting tasks
 * and once with 14,000 beyond its capacity. The simulation around the engine is
 * minimal: records are stored at the end of each tick, starts are confirmed in
 * the next tick, and a call of the policy service takes its cost and one tick.
 * Output: bench NAME value unit bound verdict.
 */

#define WORKERS_MAX 7200
#define TEAMS_MAX 65
#define ADVICE_NODES_MAX 723 /* each makes one call at a time */
#define LOAD_WORKERS 350     /* that the rates of job_classes are for */
#define TICK_MS 20
#define STARTS_PER_S_MAX 1500.0
#define FILL_SHARE 0.9	 /* of the cell, before the load begins */
#define STEADY_LOAD 0.85 /* of the load that fills the cell */
#define REPORT_INTERVAL_MS 200
#define RUN_MS_MAX 10.0	    /* target for the slowest pass of a hundred */
#define CORE_SHARE_MAX 0.25 /* half of the 0.5 cores of a large entry VM */

/**
 * struct scenario - one measurement
 * @suffix: added to the number of workers in the names of the figures
 * @waiting: tasks submitted at the start beyond what fills the cell
 * @load: factor of the rates of job_classes
 * @longer_runs: rates stay at STARTS_PER_S_MAX, and tasks run longer instead
 */
struct scenario {
	int n_workers;
	int n_advice_nodes;
	const char *suffix;
	int warmup_s;
	int measure_s;
	uint32_t waiting;
	double load;
	bool longer_runs;
};

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
	struct scenario scenario;
	int n_workers;
	int n_advice_nodes;
	double rate;	      /* factor of the rates of job_classes */
	double run_scale;     /* factor of run times and estimates */
	GArray *started;      /* struct started */
	GArray *advice_calls; /* struct advice_call */
	int64_t busy_until_ms[ADVICE_NODES_MAX];
	uint64_t next_job;
	uint64_t n_teams;
	GRand *random;
	int64_t total_ns;
	unsigned int interrupted; /* calls of eng_schedule() */
	uint64_t starts;	  /* before the measurement */
	GArray *pass_ns;	  /* int64_t */
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
	struct started s = { worker_index(request->boot.worker),
			     request->task };

	g_array_append_val(sim->started, s);
}

static void on_stop(void *ctx, const struct eng_stop_request *request)
{
	struct simulation *sim = ctx;
	struct sim_worker *w =
		&sim->workers[worker_index(request->boot.worker)];

	for (guint i = 0; i < w->running->len; i++) {
		struct run *r = &g_array_index(w->running, struct run, i);

		if (!memcmp(&r->task, &request->task, sizeof(r->task)))
			r->ends_ms = sim->now;
	}
}

static void on_hold(void *ctx, const struct eng_hold_request *request)
{
	struct simulation *sim = ctx;
	struct sim_worker *w =
		&sim->workers[worker_index(request->boot.worker)];
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

static int64_t elapsed_us(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
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
		struct run r = {
			s.task,
			sim->now + (int64_t)(sim->run_scale *
					     g_rand_int_range(sim->random, 200,
							      4000))
		};

		g_array_append_val(w->running, r);
		eng_start_reply(sim->engine, vh_slice_str(w->id), 0, s.task,
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
				      .estimate_ms =
					      (int64_t)(sim->run_scale *
							(double)k->estimate_ms),
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
	struct eng_ended_job ended[256];
	size_t n;
	uint64_t batch = eng_flush(sim->engine, &records, &n);

	if (!batch)
		return;
	eng_records_free(records, n);
	eng_batch_stored(sim->engine, batch, sim->now);
	eng_pop_ended_jobs(sim->engine, ended, G_N_ELEMENTS(ended));
}

/* Calls the scheduler once; false if it is to be called again. */
static bool run_scheduler(struct simulation *sim, bool measured)
{
	int64_t begin_ns = cpu_ns();
	bool done = eng_schedule(sim->engine, sim->now);
	int64_t elapsed_ns = cpu_ns() - begin_ns;

	if (!measured)
		return done;
	sim->interrupted += !done;
	sim->total_ns += elapsed_ns;
	g_array_append_val(sim->pass_ns, elapsed_ns);
	return done;
}

static void run_tick(struct simulation *sim, bool measured)
{
	sim->now += TICK_MS;
	for (size_t i = 0; i < G_N_ELEMENTS(job_classes); i++) {
		double due =
			job_classes[i].jobs_per_s * TICK_MS / 1000 * sim->rate;

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
	while (!run_scheduler(sim, measured))
		;
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

static void print_result(const struct simulation *sim, const char *name,
			 double value, const char *unit, double max)
{
	printf("bench engine_%d%s_%s %.4g %s <=%.4g %s\n", sim->n_workers,
	       sim->scenario.suffix, name, value, unit, max,
	       value <= max ? "ok" : "FAIL");
}

static void print_figure(const struct simulation *sim, const char *name,
			 double value, const char *unit)
{
	printf("bench engine_%d%s_%s %.6g %s - -\n", sim->n_workers,
	       sim->scenario.suffix, name, value, unit);
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

static double peak_memory_mb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_maxrss / 1024;
}

static void print_results(struct simulation *sim)
{
	struct eng_stats stats;
	double starts;

	eng_stats(sim->engine, &stats);
	starts = (double)(stats.starts - sim->starts);
	g_array_sort(sim->pass_ns, by_duration);
	print_figure(sim, "waiting_tasks", (double)stats.waiting_tasks,
		     "tasks");
	print_figure(sim, "cpu_used",
		     (double)stats.cpu_used / (double)stats.cpu_capacity,
		     "share");
	print_figure(sim, "starts", starts / sim->scenario.measure_s, "per_s");
	print_figure(sim, "time_per_start",
		     (double)sim->total_ns / 1e3 / MAX(starts, 1), "us");
	print_figure(sim, "run_p50", quantile_ms(sim, 0.5), "ms");
	print_result(sim, "run_p99", quantile_ms(sim, 0.99), "ms", RUN_MS_MAX);
	print_figure(sim, "interrupted", sim->interrupted, "runs");
	print_figure(sim, "run_worst", quantile_ms(sim, 1), "ms");
	print_result(sim, "core_share",
		     (double)sim->total_ns / 1e9 / sim->scenario.measure_s,
		     "cores", CORE_SHARE_MAX);
	/* Of the process so far: the scenarios run in the order of their size. */
	print_figure(sim, "peak_memory", peak_memory_mb(), "MB");
	fflush(stdout);
}

/* Processors that the tasks of a job of each class take, by its rate. */
static int64_t class_cpu_milli(const struct job_class *k)
{
	return (int64_t)k->n_tasks * k->cpu_milli;
}

/* Submits batch jobs for FILL_SHARE of the cell and the waiting tasks. */
static void fill(struct simulation *sim)
{
	const struct job_class *k = &job_classes[G_N_ELEMENTS(job_classes) - 1];
	int64_t cpu = (int64_t)(FILL_SHARE * 64000 * sim->n_workers);

	for (; cpu > 0; cpu -= class_cpu_milli(k))
		submit(sim, k);
	for (uint32_t n = 0; n < sim->scenario.waiting; n += k->n_tasks)
		submit(sim, k);
}

static void set_rates(struct simulation *sim)
{
	double scale = (double)sim->n_workers / LOAD_WORKERS;
	double tasks_per_s = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(job_classes); i++)
		tasks_per_s +=
			job_classes[i].n_tasks * job_classes[i].jobs_per_s;
	sim->rate = scale;
	sim->run_scale = 1;
	if (sim->scenario.longer_runs) {
		sim->rate = STARTS_PER_S_MAX / tasks_per_s;
		sim->run_scale = scale / sim->rate;
	}
	sim->run_scale *= sim->scenario.load;
}

static void free_simulation(struct simulation *sim)
{
	eng_free(sim->engine);
	for (int i = 0; i < sim->n_workers; i++) {
		g_array_free(sim->workers[i].running, TRUE);
		g_array_free(sim->workers[i].finished, TRUE);
	}
	for (guint i = 0; i < sim->advice_calls->len; i++)
		g_strfreev(
			g_array_index(sim->advice_calls, struct advice_call, i)
				.ids);
	g_array_free(sim->advice_calls, TRUE);
	g_array_free(sim->started, TRUE);
	g_array_free(sim->pass_ns, TRUE);
	g_rand_free(sim->random);
	g_free(sim);
}

static void measure(const struct scenario *scenario, uint64_t n_teams,
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
					   .elapsed_us = elapsed_us,
					   .ctx = sim };
	struct eng_stats stats;
	int ticks = scenario->measure_s * 1000 / TICK_MS;

	sim->now = 1000;
	sim->scenario = *scenario;
	sim->n_workers = scenario->n_workers;
	sim->n_teams = n_teams;
	sim->n_advice_nodes = scenario->n_advice_nodes;
	set_rates(sim);
	sim->random = g_rand_new_with_seed(1);
	sim->started = g_array_new(FALSE, FALSE, sizeof(struct started));
	sim->advice_calls =
		g_array_new(FALSE, FALSE, sizeof(struct advice_call));
	sim->pass_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	sim->engine = eng_new(&s, &callbacks, sim->now);
	add_workers(sim);
	eng_recovery_done(sim->engine, sim->now);
	if (scenario->longer_runs)
		fill(sim);
	for (int i = 0; i < scenario->warmup_s * 1000 / TICK_MS; i++)
		run_tick(sim, false);
	eng_stats(sim->engine, &stats);
	sim->starts = stats.starts;
	for (int i = 0; i < ticks; i++)
		run_tick(sim, true);
	print_results(sim);
	free_simulation(sim);
}

/*
 * Arguments, all optional: the number of workers that limits the scenarios to
 * those of that size, 0 for all; the number of teams; and the half-life of their
 * past use in seconds, 0: off.
 */
int main(int argc, char **argv)
{
	static const struct scenario scenarios[] = {
		{ 350, 30, "", 10, 20, 0, 1, false },
		{ 1100, 100, "", 10, 20, 0, 1, false },
		{ 3000, 301, "_steady", 10, 10, 0, STEADY_LOAD, true },
		{ 3000, 301, "", 10, 10, 14000, 1, true },
		{ 7200, 723, "_steady", 10, 10, 0, STEADY_LOAD, true },
		{ 7200, 723, "", 10, 10, 14000, 1, true },
	};
	int only = argc > 1 ? (int)g_ascii_strtoll(argv[1], NULL, 10) : 0;
	uint64_t n_teams = argc > 2 ? g_ascii_strtoull(argv[2], NULL, 10) : 1;
	int64_t half_life_s = argc > 3 ? g_ascii_strtoll(argv[3], NULL, 10) : 0;

	n_teams = CLAMP(n_teams, 1, TEAMS_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		if (!only || scenarios[i].n_workers == only)
			measure(&scenarios[i], n_teams, half_life_s * 1000);
	}
	return 0;
}
