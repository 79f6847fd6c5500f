#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "sim.h"

#include "vh/rack_index.h"
#include "vh/waitlist.h"

/*
 * Usage: policy_bench_policy [quick|decide|fill|trace|ours|stale|all] [SEED]
 * or: policy_bench_policy one USER LOAD POLICY SEED [w]
 * with w for misdeclared sizes. Prints lines of the form
 * bench NAME value unit bound verdict
 * in which a bound of "-" means that the value is not checked. Exits with 1 if
 * a bound is violated.
 */

static int failures;

static void print_bounded(const char *name, double value, const char *unit,
			  double bound, bool at_most)
{
	bool ok = at_most ? value <= bound : value >= bound;

	failures += !ok;
	printf("bench %s %.6g %s %s%.6g %s\n", name, value, unit,
	       at_most ? "<=" : ">=", bound, ok ? "ok" : "FAIL");
}

static void print_value(const char *name, double value, const char *unit)
{
	printf("bench %s %.6g %s - -\n", name, value, unit);
}

static int64_t now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static int compare_ns(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

#define DECISIONS 20000

struct fleet {
	struct vh_candidate *w;
	size_t n, racks;
	struct vh_rack_index index;
	struct vh_waitlist *lists;
};

static void update_summary(struct fleet *f, size_t r)
{
	struct vh_rack_summary sum;

	vh_summary_build(&sum, &f->w[r * SIM_RACK_SIZE], NULL, SIM_RACK_SIZE,
			 (uint32_t)f->lists[r].n);
	vh_rack_index_update(&f->index, (uint32_t)r,
			     f->w[r * SIM_RACK_SIZE].region,
			     f->w[r * SIM_RACK_SIZE].zone, &sum);
}

/* A fleet with 95% of its processors committed on average, as at peak load. */
static void fleet_init(struct fleet *f, size_t n, uint64_t *rng)
{
	f->n = n;
	f->racks = n / SIM_RACK_SIZE;
	f->w = g_new0(struct vh_candidate, n);
	f->lists = g_new0(struct vh_waitlist, f->racks);
	vh_rack_index_init(&f->index, f->racks);
	for (size_t i = 0; i < n; i++) {
		size_t r = i / SIM_RACK_SIZE;

		f->w[i].capacity = (struct vh_res){ { 16000, 65536,
						      r % 2 ? 4 : 0, 8, 64 } };
		f->w[i].free = f->w[i].capacity;
		f->w[i].free.v[VH_CPU] = (uint32_t)(sim_random(rng) % 1600);
		f->w[i].free.v[VH_ACCEL] =
			r % 2 ? (uint32_t)(sim_random(rng) % 2) : 0;
		f->w[i].usable = true;
		f->w[i].rack = (uint32_t)r;
		f->w[i].region = r % 5;
		f->w[i].zone = r % 13;
	}
	for (size_t r = 0; r < f->racks; r++)
		update_summary(f, r);
}

static void fleet_finish(struct fleet *f)
{
	vh_rack_index_finish(&f->index);
	g_free(f->w);
	g_free(f->lists);
}

/* One decision: the home picks racks, and their owners admit or refuse. */
static uint64_t decide(struct fleet *f, uint64_t *rng, uint64_t id)
{
	struct vh_demand d = { .id = id,
			       .team = sim_random(rng) % 65,
			       .share = sim_random(rng) % 1000,
			       .step = 1,
			       .due = 500 };
	struct vh_worker_forecast loads[SIM_RACK_SIZE] = { 0 };
	struct vh_pick_request want = { .refused = UINT32_MAX, .k = 2 };
	struct vh_pick pick;
	struct vh_waitlist_decision out = { 0 };

	d.want.size.v[VH_CPU] = 100 + (uint32_t)(sim_random(rng) % 1500);
	d.want.size.v[VH_MEM] = 1024;
	d.want.size.v[VH_ACCEL] = sim_random(rng) % 10 == 0;
	d.want.region = sim_random(rng) % 5;
	d.want.cls = VH_CLASS_BATCH;
	want.want = d.want;
	want.seed = sim_random(rng);
	want.away = true;
	vh_rack_index_pick(&f->index, &want, &pick);
	for (unsigned int i = 0; i < pick.n; i++) {
		size_t r = pick.rack[i];

		for (size_t k = 0; k < SIM_RACK_SIZE; k++)
			loads[k].worker = f->w[r * SIM_RACK_SIZE + k];
		vh_waitlist_admit(&f->lists[r], &d, loads, SIM_RACK_SIZE, 1000,
				  &out);
		update_summary(f, r);
		if (out.result == VH_WAITLIST_START)
			break;
	}
	return pick.examined;
}

static void bench_decide(size_t n, uint64_t seed)
{
	struct fleet f;
	int64_t *ns = g_new(int64_t, DECISIONS), sum = 0;
	uint64_t rng = seed, examined = 0;
	const size_t p50 = DECISIONS / 2, p99 = DECISIONS * 99 / 100;
	char name[64];

	fleet_init(&f, n, &rng);
	for (size_t i = 0; i < DECISIONS; i++) {
		int64_t t0 = now_ns();

		examined += decide(&f, &rng, i + 1);
		ns[i] = now_ns() - t0;
		sum += ns[i];
	}
	qsort(ns, DECISIONS, sizeof(*ns), compare_ns);
	g_snprintf(name, sizeof(name), "decide.%zu.p50", n);
	print_bounded(name, (double)ns[p50] / 1000, "us", 1000, true);
	g_snprintf(name, sizeof(name), "decide.%zu.p99", n);
	print_bounded(name, (double)ns[p99] / 1000, "us", 1000, true);
	g_snprintf(name, sizeof(name), "decide.%zu.rate", n);
	print_bounded(name, DECISIONS * 1e9 / (double)sum, "per_s", 5000,
		      false);
	g_snprintf(name, sizeof(name), "decide.%zu.examined", n);
	print_value(name, (double)examined / DECISIONS, "count");
	g_snprintf(name, sizeof(name), "decide.%zu.bytes_worker", n);
	print_value(name,
		    ((double)vh_rack_index_bytes(&f.index) +
		     (double)f.racks * sizeof(struct vh_waitlist)) /
			    (double)n,
		    "bytes");
	fleet_finish(&f);
	g_free(ns);
}

static double quantile(const int64_t *v, size_t n, double q)
{
	return n ? (double)v[(size_t)((double)(n - 1) * q)] : 0;
}

static void print_waits(const struct sim *s, const char *prefix,
			const char *what, enum vh_class cls, bool gangs)
{
	char name[128];
	size_t n;
	int64_t *w = sim_wait_times(s, cls, gangs, &n);

	if (n) {
		printf("# %s.%s.wait n=%zu", prefix, what, n);
		printf(" p50=%.0f p95=%.0f p99=%.0f ms\n", quantile(w, n, .5),
		       quantile(w, n, .95), quantile(w, n, .99));
		g_snprintf(name, sizeof(name), "%s.%s.wait_p95", prefix, what);
		print_value(name, quantile(w, n, .95), "ms");
	}
	g_free(w);
}

static void bench_trace(const struct sim_spec *spec,
			const struct sim_policy *policy, const char *label)
{
	struct sim s;
	char prefix[64], name[128];
	double all;
	uint32_t failed = 0;
	int64_t t0 = now_ns();

	sim_init(&s, spec, policy);
	sim_run(&s);
	g_snprintf(prefix, sizeof(prefix), "%s.%s.%u%s",
		   spec->user == SIM_SITARA ? "sitara" : "faserkreis", label,
		   spec->load, spec->misdeclared ? "w" : "");
	print_waits(&s, prefix, "urgent", VH_CLASS_URGENT, false);
	print_waits(&s, prefix, "batch", VH_CLASS_BATCH, false);
	print_waits(&s, prefix, "service", VH_CLASS_SERVICE, false);
	print_waits(&s, prefix, "gang", VH_CLASS_BATCH, true);
	all = (double)s.fleet.v[VH_CPU] * (double)spec->horizon_ms * 5 / 6;
	for (size_t i = 0; i < s.n_tasks; i++)
		failed += s.tasks[i].state == SIM_FAILED && !s.tasks[i].broken;
	g_snprintf(name, sizeof(name), "%s.used", prefix);
	print_value(name, 100 * s.stats.used_core_ms / all, "percent");
	g_snprintf(name, sizeof(name), "%s.distance", prefix);
	print_value(name,
		    s.stats.deviation_sum / (double)s.stats.deviation_n / 10000,
		    "percent");
	printf("# %s starts=%lu preempted=%lu lost_core_s=%lu cross_GB=%.1f "
	       "asks=%lu refused=%lu bad_starts=%lu bad_last_s=%.0f "
	       "innocent_failed=%u sim_s=%.1f\n",
	       prefix, s.stats.starts, s.stats.preemptions, s.stats.lost_core_s,
	       (double)s.stats.cross_bytes / 1e9, s.stats.requests,
	       s.stats.refused, s.stats.faulty_starts,
	       (double)s.stats.faulty_last_start_ms / 1000, failed,
	       (double)(now_ns() - t0) / 1e9);
	fflush(stdout);
	sim_finish(&s);
}

static const struct sim_policy *const policies[] = {
	&sim_current, &sim_first_version, &sim_first_fit, &sim_best_fit,
	&sim_two_choices
};

static void bench_policies(const struct sim_spec *spec, size_t n)
{
	for (size_t p = 0; p < n; p++)
		bench_trace(spec, policies[p], policies[p]->name);
}

/* Runs the first @n_policies policies on the same traces. */
static void bench_traces(uint64_t seed, size_t workers, int64_t horizon_ms,
			 size_t n_policies)
{
	static const unsigned int loads[] = { 60, 90, 110 };

	for (int user = 0; user < 2; user++) {
		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			struct sim_spec spec = { .user = (enum sim_user)user,
						 .seed = seed,
						 .workers = workers,
						 .load = loads[l],
						 .horizon_ms = horizon_ms,
						 .faulty_worker = true };

			bench_policies(&spec, n_policies);
			if (loads[l] != 90)
				continue;
			spec.misdeclared = true;
			bench_policies(&spec, n_policies);
		}
	}
}

/* Starts tasks that never end, one per tick, until the first one has to wait,
 * and prints how full the fleet is then. */
static void bench_fill(enum sim_user user, uint64_t seed, size_t workers,
		       const struct sim_policy *policy)
{
	struct sim_spec spec = { .user = user,
				 .seed = seed,
				 .workers = workers,
				 .load = 100,
				 .horizon_ms = 900000 };
	struct vh_res used = { { 0 } };
	struct sim s;
	char name[128];

	sim_init(&s, &spec, policy);
	for (uint32_t i = 0; i < s.n_tasks; i++) {
		struct sim_task *t = &s.tasks[i];

		if (t->cls != VH_CLASS_BATCH || t->gang)
			continue;
		t->run_ms = 100 * spec.horizon_ms;
		t->broken = false;
		t->transfer_bytes = 0;
		s.now_ms += SIM_TICK_MS;
		t->arrive_ms = s.now_ms;
		policy->arrived(&s, i);
		policy->step(&s);
		if (t->state == SIM_WAITING)
			break;
		vh_res_add(&used, &t->committed);
	}
	g_snprintf(name, sizeof(name), "%s.%s.fill_first_refusal",
		   user == SIM_SITARA ? "sitara" : "faserkreis", policy->name);
	print_value(name, (double)vh_share_dominant(&used, &s.fleet) / 10000,
		    "percent");
	sim_finish(&s);
}

static void bench_fills(uint64_t seed, size_t workers)
{
	for (int user = 0; user < 2; user++) {
		for (size_t p = 0; p < G_N_ELEMENTS(policies); p++)
			bench_fill((enum sim_user)user, seed, workers,
				   policies[p]);
	}
}

/* Varies the age of summaries and the number of racks picked for one try. */
static void bench_stale(uint64_t seed, size_t workers, int64_t horizon_ms)
{
	static const int64_t ages[] = { 0, 1000, 5000 };
	static const unsigned int ks[] = { 1, 2, 4, 8 };

	for (size_t a = 0; a < G_N_ELEMENTS(ages); a++) {
		for (size_t k = 0; k < G_N_ELEMENTS(ks); k++) {
			struct sim_spec spec = { .user = SIM_SITARA,
						 .seed = seed,
						 .workers = workers,
						 .load = 90,
						 .horizon_ms = horizon_ms };
			struct sim_options kept = sim_options;
			char label[32];

			sim_options.k = ks[k];
			sim_options.summary_age_ms = ages[a];
			g_snprintf(label, sizeof(label), "age%lds_k%u",
				   (long)(ages[a] / 1000), ks[k]);
			bench_trace(&spec, &sim_current, label);
			sim_options = kept;
		}
	}
}

/* The command "one USER LOAD POLICY SEED [w]": a single trace. */
static int bench_one(char **argv, bool misdeclared)
{
	struct sim_spec spec = {
		.user = strcmp(argv[2], "sitara") ? SIM_FASERKREIS : SIM_SITARA,
		.load = (unsigned int)strtoul(argv[3], NULL, 10),
		.seed = strtoull(argv[5], NULL, 10),
		.workers = 48,
		.horizon_ms = 900000,
		.faulty_worker = true,
		.misdeclared = misdeclared,
	};

	for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
		if (strcmp(policies[p]->name, argv[4]))
			continue;
		bench_trace(&spec, policies[p], policies[p]->name);
		return 0;
	}
	return 2;
}

int main(int argc, char **argv)
{
	const char *what = argc > 1 ? argv[1] : "quick";
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
	bool all = !strcmp(what, "all");

	if (argc >= 6 && !strcmp(what, "one"))
		return bench_one(argv, argc > 6);

	if (all || !strcmp(what, "quick") || !strcmp(what, "decide")) {
		bench_decide(400, seed);
		bench_decide(1800, seed);
		bench_decide(7200, seed);
	}
	if (all || !strcmp(what, "trace"))
		bench_traces(seed, 48, 900000, G_N_ELEMENTS(policies));
	if (!strcmp(what, "ours"))
		bench_traces(seed, 48, 900000, 1);
	if (all || !strcmp(what, "quick") || !strcmp(what, "fill"))
		bench_fills(seed, 48);
	if (all || !strcmp(what, "stale"))
		bench_stale(seed, 48, 600000);
	return failures ? 1 : 0;
}
