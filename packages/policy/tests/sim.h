#ifndef VH_SIM_H
#define VH_SIM_H

/*
 * A simulator to compare scheduling policies on generated traces. Time advances
 * in ticks; there are neither a network nor processes. Called by bench_policy.c
 * and by the policies in sim_baseline.c and sim_current.c; internal to the
 * package.
 */

#include "vh/estimate.h"
#include "vh/place.h"
#include "vh/share.h"

#define SIM_TICK_MS 50
#define SIM_TEAMS 6
#define SIM_RACK_SIZE 8 /* workers */
#define SIM_REGIONS 3
#define SIM_ATTEMPTS_MAX 4
#define SIM_CHECKPOINT_MS 60000 /* interval of a running task's checkpoints */
#define SIM_FAILS_AFTER_MS 1000 /* run time of a task that fails */

/* Users whose fleets and tasks the traces imitate. */
enum sim_user {
	SIM_SITARA,
	SIM_FASERKREIS
};

struct sim_spec {
	enum sim_user user;
	uint64_t seed;
	size_t workers;
	unsigned int load;  /* in percent of the fleet's processors */
	int64_t horizon_ms; /* length of the trace */
	bool misdeclared;   /* declared sizes are off by up to 10 times */
	bool faulty_worker; /* all tasks fail on one of the workers */
};

enum sim_state {
	SIM_WAITING,
	SIM_RUNNING,
	SIM_DONE,
	SIM_FAILED
};

struct sim_task {
	int64_t arrive_ms;
	int64_t run_ms;
	uint32_t team, job, gang; /* gang: its number of tasks; 0 for none */
	enum vh_class cls;
	uint32_t region;
	struct vh_res declared, used;
	uint64_t transfer_bytes;
	bool broken; /* its job fails wherever it runs */

	enum sim_state state;
	struct vh_res committed;
	int64_t first_start_ms; /* -1 if never started */
	int64_t start_ms, end_ms, next_try_ms;
	uint32_t worker, starts, attempts, preempted, requests;
	uint32_t waiting_rack; /* the last rack that refused it */
};

/** struct sim_end - the end of a run, valid while @start equals the task's
 * @starts */
struct sim_end {
	int64_t at_ms;
	uint32_t task, start;
};

struct sim;

/** struct sim_policy - callbacks of a scheduling policy */
struct sim_policy {
	const char *name;
	void (*init)(struct sim *s);
	void (*arrived)(struct sim *s, uint32_t task);
	void (*ended)(struct sim *s, uint32_t task, bool failed);
	void (*step)(struct sim *s);
	void (*finish)(struct sim *s);
};

/**
 * struct sim_stats - totals of a run
 * @lost_core_s: core-seconds of work lost by preemptions
 * @cross_bytes: bytes sent between regions
 * @faulty_starts, @faulty_last_start_ms: starts on the faulty worker, and the
 *	  time of the last of them
 */
struct sim_stats {
	uint64_t starts, preemptions, lost_core_s, cross_bytes, faulty_starts;
	uint64_t requests, refused;
	int64_t faulty_last_start_ms;
	double used_core_ms; /* committed processors over time, after warm-up */
	double deviation_sum; /* of vh_share_deviation(), after warm-up */
	uint64_t deviation_n;
};

struct sim {
	struct sim_spec spec;
	const struct sim_policy *policy;
	void *state;
	struct vh_candidate *workers;
	size_t n_workers;
	struct vh_res fleet;
	struct sim_task *tasks;
	size_t n_tasks;
	struct sim_end *ends; /* heap, earliest end first */
	size_t n_ends, cap_ends;
	int64_t now_ms;
	uint32_t weights[SIM_TEAMS];
	struct vh_res running[SIM_TEAMS], waiting[SIM_TEAMS];
	struct vh_share_window windows[SIM_TEAMS];
	uint32_t faulty_worker; /* UINT32_MAX for none */
	struct sim_stats stats;
};

uint64_t sim_random(uint64_t *state);

/* sim_generate_trace - fills @tasks of @s, in order of arrival */
void sim_generate_trace(struct sim *s);

void sim_init(struct sim *s, const struct sim_spec *spec,
	      const struct sim_policy *policy);
void sim_run(struct sim *s);
void sim_finish(struct sim *s);

/* sim_start - starts a task and commits @size; aborts if there is no room */
void sim_start(struct sim *s, uint32_t task, uint32_t worker,
	       const struct vh_res *size);

/* sim_preempt - stops a task, which waits again and keeps its progress up to
 * the last checkpoint */
void sim_preempt(struct sim *s, uint32_t task);

/* sim_place_request - the input to vh_place() for a task */
struct vh_place_request sim_place_request(const struct sim_task *t,
					  const struct vh_res *size);

/* sim_wait_times - sorted waiting times of one class, either of gangs or of
 * other tasks, censored at the horizon; to be freed with g_free() */
int64_t *sim_wait_times(const struct sim *s, enum vh_class cls, bool gangs,
			size_t *n);

extern const struct sim_policy sim_first_fit, sim_best_fit, sim_two_choices,
	sim_first_version, sim_current;

/** struct sim_options - parameters of sim_current that benchmarks vary */
struct sim_options {
	unsigned int k;		/* racks picked for one try */
	int64_t summary_age_ms; /* interval at which racks send summaries */
	bool estimates, preemption, health, shares;
};

extern struct sim_options sim_options;

#endif
