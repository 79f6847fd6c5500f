#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "vh/claims.h"
#include "vh/home.h"
#include "vh/rack.h"
#include "vh/stream.h"

/*
 * Benchmarks of the state machines at the size expected in two years: 900
 * racks, 65 teams, 69,000 jobs a day, 27,000 running tasks. Bounds: 64 MB per
 * node, 22 ms of processor time per second, a start within 6 s, and 300 appends
 * per second for the whole system at 510 starts per second.
 */
#define RACKS 900
#define WORKERS 8
#define TEAMS 65
#define JOBS 69000
#define RUNNING 27000
#define NODE_MB 64.0
#define START_S 6.0
#define NODE_CPU_US 22000.0
#define NODE_WORKERS 72 /* 7,200 workers over 100 nodes */
#define LEASE_MS 6000
#define RENEW_MS 2000
#define VOID_MS 3000
#define MARGIN_MS 500

static double seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static double used_mb(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd) / 1048576.0;
}

/* Prints a row. With @at_least the bound is a lower one. */
static void report(const char *name, double value, const char *unit,
		   double bound, bool at_least)
{
	bool ok = at_least ? value >= bound : value <= bound;

	printf("bench %s %.4g %s %.4g %s\n", name, value, unit, bound,
	       ok ? "ok" : "MISS");
}

static void bench_claims(unsigned int n)
{
	struct vh_claims *c = vh_claims_new();
	struct vh_claim changed;
	struct vh_buf body, dump;
	char name[80];
	double mb = used_mb(), t;

	vh_buf_init(&body);
	vh_buf_init(&dump);
	t = seconds();
	for (unsigned int i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "rack/region-a-zone-%u", i);
		vh_buf_clear(&body);
		vh_claim_pack(&body, vh_slice_str(name),
			      vh_slice_str("node-17"), 99, 0);
		vh_claims_apply(c, i + 1, VH_REC_CLAIM, vh_buf_slice(&body),
				&changed);
	}
	t = seconds() - t;
	snprintf(name, sizeof(name), "state_claims_%u_memory", n);
	report(name, used_mb() - mb, "MB", NODE_MB, false);
	snprintf(name, sizeof(name), "state_claims_%u_replay", n);
	report(name, n / t, "records/s", (RACKS + TEAMS) / START_S, true);
	vh_claims_dump(c, &dump);
	snprintf(name, sizeof(name), "state_claims_%u_snapshot", n);
	report(name, (double)dump.len / 1024, "KB", 1024, false);
	vh_buf_finish(&body);
	vh_buf_finish(&dump);
	vh_claims_free(c);
}

static struct vh_home *home_new(void)
{
	struct vh_home_settings s = { .team = vh_slice_str("team-17"),
				      .homes = 1,
				      .dedupe_window_ms = 86400000,
				      .max_attempts = 3 };

	return vh_home_new(&s);
}

/* Builds the JOB and END record bodies of @n jobs. */
static struct vh_buf *home_records(unsigned int n)
{
	struct vh_buf *bodies = g_new0(struct vh_buf, 2 * (size_t)n);
	struct vh_task_spec task = { .input = vh_slice_str("run_ms=200") };
	struct vh_job_spec spec = { .queue = vh_slice_str("deposits"),
				    .idempotent = true,
				    .n_tasks = 1,
				    .tasks = &task };
	struct vh_home *h = home_new();
	char key[40], name[VH_JOB_ID_MAX + 8];

	vh_home_open(h, 10, NULL, 0, 0);
	for (unsigned int i = 0; i < n; i++) {
		struct vh_ended_task end = { .attempt = 1,
					     .result = vh_slice_str("ok") };
		struct vh_job *job;
		struct vh_buf none;

		vh_buf_init(&none);
		snprintf(key, sizeof(key), "idempotency-key-%u", i);
		vh_home_submit(h, vh_slice_str(key), i, &spec, i, 0,
			       &bodies[2 * i], &job);
		vh_home_apply(h, 1, 10, VH_REC_JOB,
			      vh_buf_slice(&bodies[2 * i]), 0);
		vh_home_start_attempt(h, &job->tasks[0], vh_slice_str("r"),
				      &none);
		snprintf(name, sizeof(name), "%.*s/0", VH_SLICE_ARGS(job->id));
		end.task = vh_slice_str(name);
		vh_home_attempt_ended(h, &end, 0, &bodies[2 * i + 1]);
	}
	vh_home_free(h);
	return bodies;
}

static void bench_home_snapshot(struct vh_home *h, unsigned int n)
{
	struct vh_home *copy = home_new();
	struct vh_buf dump;
	char name[80];
	double t = seconds();

	vh_buf_init(&dump);
	vh_home_dump(h, &dump);
	snprintf(name, sizeof(name), "state_home_%u_dump", n);
	report(name, (seconds() - t) * 1000, "ms", START_S * 1000, false);
	snprintf(name, sizeof(name), "state_home_%u_snapshot", n);
	report(name, (double)dump.len / 1048576, "MB", NODE_MB, false);
	t = seconds();
	vh_home_load(copy, vh_buf_slice(&dump), 0);
	snprintf(name, sizeof(name), "state_home_%u_load", n);
	report(name, (seconds() - t) * 1000, "ms", START_S * 1000, false);
	vh_buf_finish(&dump);
	vh_home_free(copy);
}

static void bench_home(unsigned int n)
{
	struct vh_buf *bodies = home_records(n);
	struct vh_home *h = home_new();
	char name[80];
	double mb = used_mb(), t = seconds();

	for (unsigned int i = 0; i < n; i++) {
		vh_home_apply(h, 1, 10, VH_REC_JOB,
			      vh_buf_slice(&bodies[2 * i]), 0);
		vh_home_apply(h, 1, 10, VH_REC_END,
			      vh_buf_slice(&bodies[2 * i + 1]), 0);
	}
	t = seconds() - t;
	snprintf(name, sizeof(name), "state_home_%u_replay", n);
	report(name, 2.0 * n / t, "records/s", 2.0 * JOBS / START_S, true);
	snprintf(name, sizeof(name), "state_home_%u_memory", n);
	report(name, used_mb() - mb, "MB", NODE_MB, false);
	bench_home_snapshot(h, n);
	vh_home_free(h);
	for (unsigned int i = 0; i < 2 * n; i++)
		vh_buf_finish(&bodies[i]);
	g_free(bodies);
}

static size_t choose(void *ctx, const struct vh_start *start,
		     const struct vh_worker_view *views, size_t n,
		     enum vh_err *why)
{
	(void)ctx;
	for (size_t i = 0; i < n; i++) {
		if (views[i].usable &&
		    vh_res_fits(&start->size, &views[i].free))
			return i;
	}
	*why = VH_ERR_NO_CAPACITY;
	return n;
}

static void placed(void *ctx, struct vh_slice task, uint32_t attempt,
		   struct vh_slice home, struct vh_slice worker)
{
	(void)ctx;
	(void)task;
	(void)attempt;
	(void)home;
	(void)worker;
}

static void refused(void *ctx, struct vh_slice task, uint32_t attempt,
		    struct vh_slice home, enum vh_err why)
{
	(void)ctx;
	(void)task;
	(void)attempt;
	(void)home;
	(void)why;
}

static void ended(void *ctx, struct vh_slice worker,
		  const struct vh_ended_task *e)
{
	(void)ctx;
	(void)worker;
	(void)e;
}

static struct vh_rack *rack_new(unsigned int index)
{
	struct vh_rack_settings s = { .name = vh_slice_str("r"),
				      .lease_ms = LEASE_MS,
				      .renew_ms = RENEW_MS,
				      .start_void_ms = VOID_MS,
				      .clock_margin_ms = MARGIN_MS,
				      .hold = true };
	struct vh_rack_callbacks cb = { choose, placed, refused, ended, NULL };
	struct vh_rack *r = vh_rack_new(&s, &cb);

	for (unsigned int i = 0; i < WORKERS; i++) {
		struct vh_vm vm = { .capacity = {
					    { 64000, 262144, 2, 8, 64 } } };
		char id[32];

		snprintf(id, sizeof(id), "w-%u-%u", index, i);
		vm.id = vh_slice_str(id);
		vh_rack_update_vm(r, &vm, 0);
	}
	return r;
}

/* Completes every exchange that is due; returns their number. */
static unsigned int answer_all(struct vh_rack *r, int64_t now_ms)
{
	struct vh_sync_req req;
	struct vh_slice worker;
	unsigned int n = 0;

	while (vh_rack_sync_due(r, now_ms, &worker, &req)) {
		struct vh_sync_reply reply = { .epoch = req.epoch,
					       .clock_ms = now_ms,
					       .full = req.full };
		reply.incarnation = vh_slice_str("1");
		vh_rack_exchange_done(r, req.exchange, &reply, now_ms);
		if (++n >= 4 * WORKERS)
			break;
	}
	return n;
}

static void place_tasks(struct vh_rack *r, unsigned int index, unsigned int n)
{
	for (unsigned int i = 0; i < n; i++) {
		struct vh_place_req req = { .rack_epoch = 5 };
		char task[64];

		snprintf(task, sizeof(task), "team-17.0.5f3.%u/%u", index, i);
		req.start.task = vh_slice_str(task);
		req.start.attempt = 1;
		req.start.home = vh_slice_str("home/team-17/0");
		req.start.size.v[VH_CPU] = 1000;
		req.start.input = vh_slice_str("run_ms=200");
		vh_rack_place(r, &req, 10);
	}
}

static void bench_racks(unsigned int n)
{
	struct vh_rack **racks = g_new0(struct vh_rack *, n);
	unsigned int per_rack = RUNNING / RACKS, exchanges = 0;
	char name[80];
	double mb = used_mb(), t;

	for (unsigned int i = 0; i < n; i++) {
		racks[i] = rack_new(i);
		vh_rack_take_ownership(racks[i], 5, 0);
		vh_rack_tick(racks[i], 0);
		answer_all(racks[i], 5);
		place_tasks(racks[i], i, per_rack);
		answer_all(racks[i], 15);
	}
	snprintf(name, sizeof(name), "state_racks_%u_memory", n);
	report(name, used_mb() - mb, "MB", NODE_MB, false);
	t = seconds();
	for (int64_t ms = 1000; ms <= 10000; ms += 1000) {
		for (unsigned int i = 0; i < n; i++) {
			vh_rack_tick(racks[i], ms);
			exchanges += answer_all(racks[i], ms);
		}
	}
	t = seconds() - t;
	snprintf(name, sizeof(name), "state_racks_%u_exchange_cpu", n);
	report(name, t * 1e6 / exchanges, "us",
	       NODE_CPU_US / (NODE_WORKERS * 1000.0 / RENEW_MS), false);
	for (unsigned int i = 0; i < n; i++)
		vh_rack_free(racks[i]);
	g_free(racks);
}

/* A transport that acknowledges each append after a delay. */
struct slow_log {
	int64_t reply_at;
	uint64_t offset;
	unsigned int appends;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
};

static void
slow_append(void *ctx, struct vh_slice stream, struct vh_slice bytes,
	    void (*done)(void *arg, enum vh_err err, uint64_t offset),
	    void *arg)
{
	struct slow_log *log = ctx;

	(void)stream;
	(void)bytes;
	log->appends++;
	log->done = done;
	log->arg = arg;
}

static void slow_read(void *ctx, struct vh_slice stream, uint64_t from,
		      size_t max_bytes, int64_t wait_ms,
		      void (*done)(void *arg, const struct vh_log_read *result),
		      void *arg)
{
	struct slow_log *log = ctx;
	struct vh_log_read r = { .first = 1, .next = log->offset + 1 };

	(void)stream;
	(void)from;
	(void)max_bytes;
	(void)wait_ms;
	done(arg, &r);
}

static void on_batch(void *ctx, uint64_t offset, const struct vh_batch *batch)
{
	(void)ctx;
	(void)offset;
	(void)batch;
}

static void on_gone(void *ctx, uint64_t first)
{
	(void)ctx;
	(void)first;
}

/* A job is two records, JOB and END. @rate: jobs per second of one home. */
static void bench_appends(const char *name, double rate, int64_t gap_ms,
			  double bound)
{
	struct slow_log log = { 0 };
	struct vh_log_transport t = { slow_append, slow_read, &log };
	struct vh_stream_callbacks cb = { on_batch, on_gone, NULL };
	struct vh_stream_settings s = { .name = vh_slice_str("home.t.0"),
					.writer = vh_slice_str("n/1"),
					.max_queued_bytes = 1 << 22,
					.max_batch_bytes = 1 << 18,
					.min_append_interval_ms = gap_ms,
					.reply_timeout_ms = 2000,
					.poll_wait_ms = 1000 };
	struct vh_stream *stream = vh_stream_new(&s, &t, &cb);
	double due = 0, jobs = 0;

	vh_stream_start(stream, 1, 0);
	for (int64_t now = 0; now < 20000; now++) {
		for (due += rate / 1000; due >= 1; due--, jobs++) {
			vh_stream_append(stream, VH_REC_JOB,
					 vh_slice_str("job"), NULL, NULL);
			vh_stream_append(stream, VH_REC_END,
					 vh_slice_str("end"), NULL, NULL);
		}
		if (log.done && !log.reply_at)
			log.reply_at = now + 20;
		if (log.done && log.reply_at <= now) {
			void (*done)(void *, enum vh_err, uint64_t) = log.done;

			log.done = NULL;
			log.reply_at = 0;
			done(log.arg, VH_OK, ++log.offset);
		}
		vh_stream_tick(stream, now);
	}
	report(name, log.appends * 1000.0 / jobs, "appends/1000", bound, false);
	vh_stream_free(stream);
	if (log.done)
		log.done(log.arg, VH_ERR_TIMEOUT, 0);
}

/*
 * Measures the time until a new owner may place tasks, and until the runs of a
 * gone worker are lost.
 */
static void bench_takeover(void)
{
	struct vh_rack *r = rack_new(0);
	struct vh_slice home = vh_slice_str("home/team-17/0");
	struct vh_vm gone = { .id = vh_slice_str("w-0-0"), .gone = true };
	int64_t at = 0;

	vh_rack_take_ownership(r, 5, 0);
	vh_rack_tick(r, 0);
	answer_all(r, 3); /* one round trip between zones */
	report("state_takeover_reachable",
	       vh_rack_fence_home(r, home, 1) ? 3.0 / LEASE_MS : 99, "leases",
	       START_S * 1000 / LEASE_MS, false);
	vh_rack_take_ownership(r, 6, 0);
	vh_rack_update_vm(r, &gone, 0);
	for (unsigned int i = 1; i < WORKERS; i++) {
		struct vh_sync_req req;
		struct vh_slice w;
		struct vh_sync_reply reply = { .epoch = 6, .full = true };

		while (vh_rack_sync_due(r, 3, &w, &req)) {
			reply.incarnation = vh_slice_str("1");
			if (vh_slice_eq_str(w, "w-0-0"))
				vh_rack_exchange_failed(r, req.exchange,
							VH_ERR_UNREACHABLE, 3);
			else
				vh_rack_exchange_done(r, req.exchange, &reply,
						      3);
		}
	}
	while (!vh_rack_fence_home(r, home, 1) && at < 100000) {
		at += 10;
		vh_rack_ownership_confirmed(r, at);
		vh_rack_tick(r, at);
	}
	report("state_takeover_gone_worker", (double)at / LEASE_MS, "leases",
	       (LEASE_MS + 2.0 * MARGIN_MS) / LEASE_MS, false);
	vh_rack_free(r);
}

int main(void)
{
	const double appends_per_start = 300.0 / 510 * 1000;

	bench_claims(100);
	bench_claims(RACKS + TEAMS);
	bench_claims(10 * (RACKS + TEAMS));
	bench_home(JOBS / TEAMS);
	bench_home(JOBS / 7);
	bench_home(JOBS);
	bench_racks(9);
	bench_racks(RACKS / 7);
	bench_racks(RACKS);
	bench_appends("state_appends_one_home_510_per_s", 510, 5,
		      appends_per_start);
	bench_appends("state_appends_65_homes_8_per_s", 510.0 / TEAMS, 220,
		      appends_per_start);
	bench_takeover();
	return 0;
}
