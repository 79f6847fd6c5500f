#ifndef VH_LOAD_H
#define VH_LOAD_H

#include "client.h"
#include "profile.h"
#include "loadgen_stats.h"

/**
 * struct vh_loadgen_settings - a load on a cell
 * @nodes: callers' ports of the entry nodes, @n_nodes of them
 * @checker_port: control port of the workers
 * @duration_ms: how long work is sent
 * @answer_timeout_ms: how long an answer may take
 * @progress: a line to standard error each second
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
 * struct vh_loadgen - sends a mixed load and follows every piece to its end
 * @done: called once when all of it has an end
 */
struct vh_loadgen {
	struct vh_kernel *kernel;
	struct vh_loadgen_settings settings;
	struct vh_client client;
	struct vh_loadgen_stats stats;
	GRand *rand;
	GPtrArray *open;       /* items without an end */
	GPtrArray *unverified; /* items whose tokens the witness is asked for */
	unsigned int n_queried;	   /* of unverified, from its front */
	GPtrArray *not_run_tokens; /* tokens said not to have run */
	struct vh_timer next_send;
	struct vh_timer check;
	struct vh_timer progress;
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
 * struct vh_loadgen_item - one piece of work
 * @tokens: one for each task; a request has one
 * @outcome_uncertain: a try may have had an effect, so no later refusal can say
 *		  that it did not run
 */
struct vh_loadgen_item {
	struct vh_loadgen *load;
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
	uint32_t tries;
	uint32_t refusal_retries;
	size_t node;
	bool outcome_uncertain;
	enum vh_loadgen_outcome outcome;
	struct vh_timer retry_timer;
	void (*resend)(struct vh_loadgen_item *item);
};

/* vh_loadgen_item_new - the next piece of work, not yet sent */
struct vh_loadgen_item *vh_loadgen_item_new(struct vh_loadgen *l);
void vh_loadgen_item_send(struct vh_loadgen_item *item);
void vh_loadgen_item_free(void *item);

/* vh_loadgen_item_completed - called by an item that has its fate */
void vh_loadgen_item_completed(struct vh_loadgen_item *item);

/* vh_loadgen_verify_job_answer - NULL if @json is the whole answer to @item's job,
 * else what is wrong with it */
const char *vh_loadgen_verify_job_answer(const struct vh_loadgen_item *item,
					 json_t *json);

#endif
