#include "loadgen.h"

#include <string.h>

#define QUERY_PERIOD_MS 100
#define QUERY_TOKENS_MAX 1000
#define QUERY_TIMEOUT_MS 10000
#define PROGRESS_PERIOD_MS 1000

static int64_t now(const struct vh_loadgen *l)
{
	return vh_kernel_now_ms(l->kernel);
}

static void record_starts(struct vh_loadgen *l, json_t *answer,
			  struct vh_loadgen_item *item, const char *token)
{
	json_int_t starts = 0, first_ms = 0;

	json_unpack(json_object_get(answer, token), "[I,I]", &starts,
		    &first_ms);
	l->stats.task_starts += (uint64_t)starts;
	if (item->outcome == VH_LOADGEN_ANSWERED && !starts)
		vh_loadgen_stats_add_error(
			&l->stats, "%s was answered but never started", token);
	if (item->workload->queue && starts)
		vh_loadgen_stats_add_wait(&l->stats, item->team->name,
					  item->cls, first_ms - item->sent_ms);
}

/* Verifies the queried items with the starts that the checker saw. */
static void verify_items(struct vh_loadgen *l, json_t *starts_by_token)
{
	for (unsigned int i = 0; i < l->n_queried; i++) {
		struct vh_loadgen_item *item = l->unverified->pdata[i];

		for (char **t = item->tokens; *t; t++)
			record_starts(l, starts_by_token, item, *t);
	}
	if (l->n_queried)
		g_ptr_array_remove_range(l->unverified, 0, l->n_queried);
}

static void verify_not_run(struct vh_loadgen *l, json_t *starts_by_token)
{
	for (unsigned int i = 0; i < l->not_run_tokens->len; i++) {
		const char *token = l->not_run_tokens->pdata[i];
		json_int_t starts = 0, first_ms = 0;

		json_unpack(json_object_get(starts_by_token, token), "[I,I]",
			    &starts, &first_ms);
		if (starts)
			vh_loadgen_stats_add_error(
				&l->stats,
				"%s was reported as not run but started "
				"%d times",
				token, (int)starts);
	}
}

static void on_checker_answer(void *ctx, const struct vh_client_reply *r)
{
	struct vh_loadgen *l = ctx;
	json_t *json = r->status == HTTP_OK
			       ? json_loadb(r->body.data, r->body.len, 0, NULL)
			       : NULL;
	json_t *starts_by_token = json_object_get(json, "begun");

	l->query_pending = false;
	if (starts_by_token && l->final_query) {
		verify_not_run(l, starts_by_token);
		json_decref(json);
		vh_timer_stop(&l->query_timer);
		l->done(l->ctx);
		return;
	}
	if (starts_by_token)
		verify_items(l, starts_by_token);
	json_decref(json);
}

static void query_checker(struct vh_loadgen *l, json_t *tokens)
{
	json_t *json = json_pack("{s:o}", "tokens", tokens);
	char *body = json_dumps(json, JSON_COMPACT);
	struct vh_client_request req = {
		.port = l->settings.checker_port,
		.method = EVHTTP_REQ_POST,
		.path = "/tokens",
		.body = vh_slice_str(body),
		.timeout_ms = QUERY_TIMEOUT_MS,
	};

	json_decref(json);
	l->query_pending = true;
	vh_client_send(&l->client, &req, on_checker_answer, l);
	free(body);
}

static void query_items(struct vh_loadgen *l)
{
	json_t *tokens = json_array();

	l->n_queried = 0;
	while (l->n_queried < l->unverified->len &&
	       json_array_size(tokens) < QUERY_TOKENS_MAX) {
		struct vh_loadgen_item *item =
			l->unverified->pdata[l->n_queried++];

		for (char **t = item->tokens; *t; t++)
			json_array_append_new(tokens, json_string(*t));
	}
	query_checker(l, tokens);
}

static void query_not_run(struct vh_loadgen *l)
{
	json_t *tokens = json_array();

	for (unsigned int i = 0; i < l->not_run_tokens->len; i++)
		json_array_append_new(tokens,
				      json_string(l->not_run_tokens->pdata[i]));
	l->final_query = true;
	query_checker(l, tokens);
}

static void on_query_timer(void *ctx)
{
	struct vh_loadgen *l = ctx;

	if (!l->query_pending && l->unverified->len)
		query_items(l);
	else if (!l->query_pending && !l->sending && !l->open_items->len)
		query_not_run(l);
	vh_timer_start(&l->query_timer, QUERY_PERIOD_MS);
}

static void record_not_run(struct vh_loadgen *l, struct vh_loadgen_item *item)
{
	if (item->id)
		return; /* record_not_run_tasks() recorded each task */
	for (char **t = item->tokens; *t; t++)
		g_ptr_array_add(l->not_run_tokens, g_strdup(*t));
}

void vh_loadgen_item_completed(struct vh_loadgen_item *item)
{
	struct vh_loadgen *l = item->loadgen;

	vh_loadgen_stats_add_outcome(&l->stats, item->outcome);
	if (item->outcome == VH_LOADGEN_REFUSED)
		record_not_run(l, item);
	if (item->outcome == VH_LOADGEN_TIMED_OUT)
		vh_loadgen_stats_add_error(&l->stats,
					   "%s, job %s: no final state within "
					   "the answer timeout",
					   item->key,
					   item->id ? item->id : "none");
	if (item->outcome == VH_LOADGEN_ANSWERED && !item->workload->queue)
		vh_loadgen_stats_add_wait(
			&l->stats, item->team->name, item->cls,
			item->answered_ms - item->sent_ms - item->run_ms);
	g_ptr_array_remove_fast(l->open_items, item);
	if (!item->cls)
		item->cls = g_strdup("none");
	g_ptr_array_add(l->unverified, item);
}

static void send_one(struct vh_loadgen *l)
{
	struct vh_loadgen_item *item = vh_loadgen_item_new(l);

	l->stats.sent++;
	g_ptr_array_add(l->open_items, item);
	vh_loadgen_item_send(item);
}

static void on_send_timer(void *ctx)
{
	struct vh_loadgen *l = ctx;
	int64_t elapsed_ms = now(l) - l->started_ms;
	uint64_t due = (uint64_t)MIN(elapsed_ms, l->settings.duration_ms) *
		       l->settings.rate_per_s / VH_MS_PER_S;

	while (l->serial < due &&
	       l->open_items->len < l->settings.profile->max_open)
		send_one(l);
	if (elapsed_ms >= l->settings.duration_ms) {
		l->sending = false;
		return;
	}
	vh_timer_start(&l->send_timer,
		       MAX(1, VH_MS_PER_S / (int64_t)l->settings.rate_per_s));
}

static void on_progress_timer(void *ctx)
{
	struct vh_loadgen *l = ctx;
	const struct vh_loadgen_stats *t = &l->stats;

	fprintf(stderr,
		"%3d s: sent %d, answered %d, failed %d, refused %d, "
		"unknown %d, open %u\n",
		(int)((now(l) - l->started_ms) / VH_MS_PER_S), (int)t->sent,
		(int)t->outcomes[VH_LOADGEN_ANSWERED],
		(int)t->outcomes[VH_LOADGEN_FAILED],
		(int)t->outcomes[VH_LOADGEN_REFUSED],
		(int)t->outcomes[VH_LOADGEN_UNKNOWN], l->open_items->len);
	vh_timer_start(&l->progress_timer, PROGRESS_PERIOD_MS);
}

void vh_loadgen_init(struct vh_loadgen *l, struct vh_kernel *kernel,
		     const struct vh_loadgen_settings *settings,
		     void (*done)(void *ctx), void *ctx)
{
	memset(l, 0, sizeof(*l));
	l->kernel = kernel;
	l->settings = *settings;
	l->done = done;
	l->ctx = ctx;
	l->rand = g_rand_new_with_seed(settings->seed);
	l->open_items = g_ptr_array_new_with_free_func(NULL);
	l->unverified = g_ptr_array_new_with_free_func(vh_loadgen_item_free);
	l->not_run_tokens = g_ptr_array_new_with_free_func(g_free);
	vh_client_init(&l->client, kernel);
	vh_loadgen_stats_init(&l->stats);
	vh_timer_init(&l->send_timer, kernel, on_send_timer, l);
	vh_timer_init(&l->query_timer, kernel, on_query_timer, l);
	vh_timer_init(&l->progress_timer, kernel, on_progress_timer, l);
}

void vh_loadgen_finish(struct vh_loadgen *l)
{
	vh_client_finish(&l->client);
	for (unsigned int i = 0; i < l->open_items->len; i++)
		vh_loadgen_item_free(l->open_items->pdata[i]);
	g_ptr_array_free(l->open_items, TRUE);
	g_ptr_array_free(l->unverified, TRUE);
	g_ptr_array_free(l->not_run_tokens, TRUE);
	vh_timer_finish(&l->send_timer);
	vh_timer_finish(&l->query_timer);
	vh_timer_finish(&l->progress_timer);
	vh_loadgen_stats_finish(&l->stats);
	g_rand_free(l->rand);
}

void vh_loadgen_start(struct vh_loadgen *l)
{
	l->started_ms = now(l);
	l->sending = true;
	vh_timer_start(&l->send_timer, 0);
	vh_timer_start(&l->query_timer, QUERY_PERIOD_MS);
	if (l->settings.progress)
		vh_timer_start(&l->progress_timer, PROGRESS_PERIOD_MS);
}
