#ifndef VH_PROFILE_H
#define VH_PROFILE_H

/*
 * Reads the description of a mixed load and samples from it. Internal to the
 * package: the load generator and vh-standin-load use it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct vh_range - integers from @min to @max */
struct vh_range {
	uint32_t min;
	uint32_t max;
};

/** struct vh_profile_team - a team that sends load */
struct vh_profile_team {
	char *name;
	char *key;
	uint32_t weight;
};

/**
 * struct vh_profile_workload - a type of job or request
 * @queue: queue of the jobs; NULL for requests
 * @service: service of the requests; NULL for jobs
 * @only_for: teams that send it; NULL for all
 * @not_for: teams that do not send it; NULL for none
 */
struct vh_profile_workload {
	char *name;
	char *queue;
	char *service;
	char **only_for;
	char **not_for;
	uint32_t weight;
	bool idempotent;
	bool gang;
	struct vh_range tasks;
	struct vh_range cpu_milli;
	struct vh_range memory_mb;
	struct vh_range accelerators;
	struct vh_range run_ms;
	uint32_t deadline_s; /* 0: no deadline */
};

/**
 * struct vh_profile - a mixed load
 * @rate_per_s: jobs and requests sent per second
 * @max_open: maximum number of unanswered jobs and requests; sending pauses
 *	      there
 */
struct vh_profile {
	struct vh_profile_team *teams;
	size_t n_teams;
	struct vh_profile_workload *workloads;
	size_t n_workloads;
	uint32_t rate_per_s;
	uint32_t duration_s;
	uint32_t max_open;
};

/**
 * vh_profile_load - reads a profile from an INI file
 *
 * The groups are [load], [team NAME] and [work NAME]. A range is "MIN-MAX" or
 * one number; cpus may have a fraction. Unknown keys are errors.
 */
bool vh_profile_load(struct vh_profile *p, const char *path, GError **err);
void vh_profile_finish(struct vh_profile *p);

/* vh_profile_sample - picks a team and one of its workloads by their weights */
void vh_profile_sample(const struct vh_profile *p, GRand *rand,
		       const struct vh_profile_team **team,
		       const struct vh_profile_workload **work);

uint32_t vh_range_sample(const struct vh_range *r, GRand *rand);

#endif
