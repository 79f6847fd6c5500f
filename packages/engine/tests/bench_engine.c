#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "vh/engine.h"

/*
 * What the owner's decisions cost at a worst load: 350 workers, half as much
 * again as they can do, thousands of tasks waiting. The world around the
 * engine is as small as can be: stores, starts and advice answer in the next
 * step. Lines: bench NAME value unit bound verdict.
 */

#define WORKERS 350
#define ADVISORS 30
#define STEP_MS 20
#define WARM_S 10
#define PLAY_S 20
#define REPORT_MS 200
#define RUN_MS_MOST 10.0     /* "decided in milliseconds", by the brief */
#define CORE_SHARE_MOST 0.25 /* half of a strong entry VM's half core */

struct run {
	struct eng_task_ref task;
	int64_t ends_ms;
};

struct host {
	char id[16];
	char address[24];
	GArray *running;  /* struct run */
	GArray *finished; /* struct eng_finished_task */
	int64_t numbered;
};

struct advice {
	int64_t at_ms;
	uint64_t job;
	uint32_t step;
	char **ids;
	size_t n;
};

struct world {
	struct engine *e;
	int64_t now;
	struct host hosts[WORKERS];
	GArray *started; /* struct eng_task_ref, with the host's number */
	GArray *advice;	 /* struct advice */
	int64_t busy_until[ADVISORS];
	uint64_t next_job;
	GRand *rand;
	int64_t spent_ns;
	int64_t worst_ns;
	uint64_t n_runs;
};

struct started {
	int host;
	struct eng_task_ref task;
};

static int64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static int host_of(struct vh_slice id)
{
	char text[16] = "";

	memcpy(text, id.data, MIN(id.len, sizeof(text) - 1));
	return (int)g_ascii_strtoll(text + 1, NULL, 10);
}

static void on_start(void *ctx, const struct eng_start_request *o)
{
	struct world *w = ctx;
	struct started s = { host_of(o->worker), o->task };

	g_array_append_val(w->started, s);
}

static void on_stop(void *ctx, struct vh_slice worker, struct vh_slice address,
		    struct eng_task_ref task)
{
	struct world *w = ctx;
	struct host *h = &w->hosts[host_of(worker)];

	(void)address;
	for (guint i = 0; i < h->running->len; i++) {
		struct run *r = &g_array_index(h->running, struct run, i);

		if (!memcmp(&r->task, &task, sizeof(task)))
			r->ends_ms = w->now;
	}
}

static void on_hold(void *ctx, const struct eng_hold_request *o)
{
	struct world *w = ctx;
	struct host *h = &w->hosts[host_of(o->worker)];
	guint keep = 0;

	for (guint i = 0; i < h->finished->len; i++) {
		struct eng_finished_task f =
			g_array_index(h->finished, struct eng_finished_task, i);

		if (f.number > o->acknowledged)
			g_array_index(h->finished, struct eng_finished_task,
				      keep++) = f;
	}
	g_array_set_size(h->finished, keep);
}

static int free_advisor(const struct world *w)
{
	for (int i = 0; i < ADVISORS; i++) {
		if (w->busy_until[i] <= w->now)
			return i;
	}
	return -1;
}

static bool advice_available(void *ctx, double cost_ms)
{
	(void)cost_ms;
	return free_advisor(ctx) >= 0;
}

static bool on_advise(void *ctx, const struct eng_advice_request *q)
{
	struct world *w = ctx;
	int i = free_advisor(w);
	struct advice a = { .job = q->job, .step = q->step, .n = q->n };

	if (i < 0)
		return false;
	a.at_ms = w->now + (int64_t)q->cost_ms + STEP_MS;
	w->busy_until[i] = w->now + (int64_t)q->cost_ms;
	a.ids = g_new0(char *, q->n + 1);
	for (size_t k = 0; k < q->n; k++)
		a.ids[k] = vh_slice_dup(q->workers[k]);
	g_array_append_val(w->advice, a);
	return true;
}

static void on_deposed(void *ctx, const char *why)
{
	(void)ctx;
	g_error("deposed: %s", why);
}

static void answer_advice(struct world *w, const struct advice *a)
{
	struct vh_slice *ids = g_new(struct vh_slice, a->n + 1);
	struct eng_advised_worker *good =
		g_new(struct eng_advised_worker, a->n + 1);
	size_t n = 0;

	for (size_t i = 0; i < a->n; i++) {
		ids[i] = vh_slice_str(a->ids[i]);
		if (vh_slice_hash(ids[i], a->job + a->step) % 100 < 40)
			good[n++] =
				(struct eng_advised_worker){ ids[i], ids[i] };
	}
	eng_advice_received(w->e, a->job, a->step, ids, a->n, good, n, w->now,
			    2500, w->now);
	g_free(ids);
	g_free(good);
}

static void run_advice(struct world *w)
{
	for (guint i = w->advice->len; i-- > 0;) {
		struct advice a = g_array_index(w->advice, struct advice, i);

		if (a.at_ms > w->now)
			continue;
		g_array_remove_index_fast(w->advice, i);
		answer_advice(w, &a);
		g_strfreev(a.ids);
	}
}

static void run_starts(struct world *w)
{
	GArray *now = w->started;

	w->started = g_array_new(FALSE, FALSE, sizeof(struct started));
	for (guint i = 0; i < now->len; i++) {
		struct started s = g_array_index(now, struct started, i);
		struct host *h = &w->hosts[s.host];
		/* The step's number tells its kind; see submit(). */
		struct run r = { s.task, w->now + g_rand_int_range(w->rand, 200,
								   4000) };

		g_array_append_val(h->running, r);
		eng_start_reply(w->e, vh_slice_str(h->id), s.task, ENG_REPLY_OK,
				w->now);
	}
	g_array_free(now, TRUE);
}

static void end_runs(struct world *w, struct host *h)
{
	for (guint i = h->running->len; i-- > 0;) {
		struct run *r = &g_array_index(h->running, struct run, i);
		struct eng_finished_task f = { .task = r->task,
					       .how = ENG_END_DONE };

		if (r->ends_ms > w->now)
			continue;
		f.number = ++h->numbered;
		g_array_append_val(h->finished, f);
		g_array_remove_index_fast(h->running, i);
	}
}

static void report(struct world *w, struct host *h)
{
	struct eng_running_task *run =
		g_new0(struct eng_running_task, h->running->len + 1);
	struct eng_worker_report r = { .sent_ms = w->now - STEP_MS,
				       .clock_ms = w->now,
				       .born_ms = 1,
				       .running = run,
				       .n_running = h->running->len,
				       .finished = (void *)h->finished->data,
				       .n_finished = h->finished->len };

	for (guint i = 0; i < h->running->len; i++)
		run[i].task = g_array_index(h->running, struct run, i).task;
	eng_worker_report(w->e, vh_slice_str(h->id), &r, w->now);
	g_free(run);
}

struct kind {
	const char *queue;
	uint32_t priority;
	uint32_t tasks;
	int64_t cpu;
	int64_t ms;
	double decide_ms;
	double each_ms;
	bool gang;
	double per_s;
};

static const struct kind kinds[] = {
	{ "short", 0, 3, 9900, 640, 7, 0.1, false, 190 },
	{ "wide", 1, 20, 18000, 6200, 540, 7.7, true, 5 },
	{ "batch", 2, 25, 6900, 2200, 80, 1.1, false, 17 },
};

static void submit(struct world *w, const struct kind *k)
{
	struct eng_step_spec step = { .n_tasks = k->tasks,
				      .need = { k->cpu, 4000, 0 },
				      .estimate_ms = k->ms,
				      .gang = k->gang,
				      .checkpoints = !k->gang };
	struct eng_job_spec spec = { .id = ++w->next_job,
				     .queue = vh_slice_str(k->queue),
				     .service = vh_slice_str("svc"),
				     .team = vh_slice_str("team"),
				     .priority = k->priority,
				     .max_attempts = 3,
				     .stretch = 2,
				     .target_ms = 1000,
				     .steps = &step,
				     .n_steps = 1 };
	struct vh_buf bytes;

	spec.advice = (struct eng_advice_params){ true, k->decide_ms,
						  k->each_ms, 2500 };
	spec.received_ms = w->now;
	vh_buf_init(&bytes);
	eng_job_pack(&spec, &bytes);
	eng_job_add(w->e, eng_job_unpack(vh_buf_slice(&bytes)), w->now, w->now);
	vh_buf_finish(&bytes);
}

static void store(struct world *w)
{
	struct eng_record *records;
	uint64_t ids[256];
	size_t n;
	uint64_t batch = eng_flush(w->e, &records, &n);

	if (!batch)
		return;
	eng_records_free(records, n);
	eng_batch_stored(w->e, batch, w->now);
	eng_pop_ended_jobs(w->e, ids, G_N_ELEMENTS(ids));
}

static void decide(struct world *w, bool counted)
{
	int64_t from = cpu_ns();
	int64_t took;

	eng_schedule(w->e, w->now);
	took = cpu_ns() - from;
	if (!counted)
		return;
	w->spent_ns += took;
	w->worst_ns = MAX(w->worst_ns, took);
	w->n_runs++;
}

static void step(struct world *w, bool counted)
{
	w->now += STEP_MS;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		double due = kinds[i].per_s * STEP_MS / 1000;

		for (; due > g_rand_double(w->rand); due--)
			submit(w, &kinds[i]);
	}
	run_advice(w);
	run_starts(w);
	for (int i = 0; i < WORKERS; i++) {
		end_runs(w, &w->hosts[i]);
		if ((w->now / STEP_MS + i) % (REPORT_MS / STEP_MS) == 0)
			report(w, &w->hosts[i]);
	}
	decide(w, counted);
	store(w);
}

static void list_hosts(struct world *w)
{
	for (int i = 0; i < WORKERS; i++) {
		struct host *h = &w->hosts[i];
		struct eng_worker_info info = {
			.capacity = { 64000, 131072, 0 }, .born_ms = 1
		};

		g_snprintf(h->id, sizeof(h->id), "w%d", i);
		g_snprintf(h->address, sizeof(h->address), "10.0.0.1:%d",
			   i + 1);
		h->running = g_array_new(FALSE, FALSE, sizeof(struct run));
		h->finished = g_array_new(FALSE, FALSE,
					  sizeof(struct eng_finished_task));
		info.id = vh_slice_str(h->id);
		info.address = vh_slice_str(h->address);
		info.service = vh_slice_str("svc");
		info.zone = vh_slice_str("z");
		eng_worker_listed(w->e, &info, w->now);
		report(w, h);
	}
}

static void line(const char *name, double value, const char *unit, double most)
{
	printf("bench %s %.4g %s <=%.4g %s\n", name, value, unit, most,
	       value <= most ? "ok" : "FAIL");
}

int main(void)
{
	struct world *w = g_new0(struct world, 1);
	struct eng_settings s = { .fence = 1,
				  .lease_ms = 5000,
				  .lease_max_ms = 6000,
				  .stop_ms = 900,
				  .gang_ms = 3000 };
	struct eng_callbacks ports = { .start = on_start,
				       .stop = on_stop,
				       .hold = on_hold,
				       .advise = on_advise,
				       .advice_available = advice_available,
				       .deposed = on_deposed,
				       .ctx = w };
	struct eng_stats stats;

	w->now = 1000;
	w->rand = g_rand_new_with_seed(1);
	w->started = g_array_new(FALSE, FALSE, sizeof(struct started));
	w->advice = g_array_new(FALSE, FALSE, sizeof(struct advice));
	w->e = eng_new(&s, &ports, w->now);
	list_hosts(w);
	eng_recovery_done(w->e, w->now);
	for (int i = 0; i < (WARM_S + PLAY_S) * 1000 / STEP_MS; i++)
		step(w, i >= WARM_S * 1000 / STEP_MS);
	eng_stats(w->e, &stats);
	printf("bench engine_waiting_tasks %" G_GUINT64_FORMAT " tasks - -\n",
	       stats.waiting_tasks);
	printf("bench engine_cpu_used %.3f share - -\n",
	       (double)stats.cpu_used / (double)stats.cpu_capacity);
	line("engine_run_mean", (double)w->spent_ns / 1e6 / (double)w->n_runs,
	     "ms", RUN_MS_MOST);
	line("engine_core_share", (double)w->spent_ns / 1e9 / PLAY_S, "cores",
	     CORE_SHARE_MOST);
	printf("bench engine_run_worst %.3f ms - -\n",
	       (double)w->worst_ns / 1e6);
	return 0;
}
