#ifndef VH_LOADGEN_H
#define VH_LOADGEN_H

/*
 * Generates load on the entry nodes and verifies each outcome. Internal to the
 * package: vh-standin-load uses it.
 */

#include "client.h"
#include "profile.h"
#include "loadgen_stats.h"

/**
 * struct vh_loadgen_settings - settings of a load generator
 * @nodes: client ports of the @n_nodes entry nodes
 * @checker_port: control port of vh-standin-workers, which serves /tokens
 * @duration_ms: time in which new items are sent
 * @answer_timeout_ms: maximum time from sending an item to its final answer
 * @progress: print a line to standard error each second
 */
struct vh_loadgen_settings {
	const struct vh_profile *profile;
	const uint16_t *nodes;
	size_t n_nodes;
	uint16_t checker_port;
	uint32_t rate_per_s;
	int64_t duration_ms;
	int64_t answer_timeout_ms;
	uint32_t seed;
	bool progress;
};

/**
 * struct vh_loadgen - sends a mixed load and verifies the outcome of each item
 * @done: called once, when all items are complete and verified
 */
struct vh_loadgen {
	struct vh_kernel *kernel;
	struct vh_loadgen_settings settings;
	struct vh_client client;
	struct vh_loadgen_stats stats;
	GRand *rand;
	GPtrArray *open_items; /* items without an outcome */
	GPtrArray *unverified; /* complete; starts not yet known from checker */
	unsigned int n_queried; /* items at the head of unverified in a query */
	GPtrArray *not_run_tokens; /* of tasks reported as not run */
	struct vh_timer send_timer;
	struct vh_timer query_timer;
	struct vh_timer progress_timer;
	int64_t started_ms;
	uint64_t serial;
	bool sending;
	bool query_pending;
	bool final_query;
	void (*done)(void *ctx);
	void *ctx;
};

void vh_loadgen_init(struct vh_loadgen *l, struct vh_kernel *kernel,
		     const struct vh_loadgen_settings *settings,
		     void (*done)(void *ctx), void *ctx);
void vh_loadgen_finish(struct vh_loadgen *l);
void vh_loadgen_start(struct vh_loadgen *l);

/**
 * struct vh_loadgen_item - a job or a request of the load
 * @tokens: one per task, terminated by NULL; a request has one
 * @outcome_uncertain: an earlier try may have taken effect, so a later refusal
 *		       does not prove that the item did not run
 * @resend: called by @retry_timer
 */
struct vh_loadgen_item {
	struct vh_loadgen *loadgen;
	const struct vh_profile_team *team;
	const struct vh_profile_workload *workload;
	char *key;
	char *authorization;
	char *path;
	char *body;
	char *id;
	char *cls;
	char **tokens;
	uint32_t n_tasks;
	uint32_t run_ms;
	int64_t sent_ms;
	int64_t answered_ms;
	uint32_t retries;
	uint32_t refusal_retries;
	size_t node;
	bool outcome_uncertain;
	enum vh_loadgen_outcome outcome;
	struct vh_timer retry_timer;
	void (*resend)(struct vh_loadgen_item *item);
};

/* vh_loadgen_item_new - creates the next random item without sending it */
struct vh_loadgen_item *vh_loadgen_item_new(struct vh_loadgen *l);
void vh_loadgen_item_send(struct vh_loadgen_item *item);
void vh_loadgen_item_free(void *item);

/* vh_loadgen_item_completed - records the outcome of @item and queues it for
 * verification */
void vh_loadgen_item_completed(struct vh_loadgen_item *item);

/* vh_loadgen_verify_job_answer - returns NULL if @json is the complete answer
 * to the job of @item, else a description of the problem */
const char *vh_loadgen_verify_job_answer(const struct vh_loadgen_item *item,
					 json_t *json);

#endif
