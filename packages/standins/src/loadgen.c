#include "loadgen.h"

#include <string.h>

#define CHECK_PERIOD_MS 100
#define CHECK_TOKENS_MAX 1000
#define CHECK_TIMEOUT_MS 10000
#define PROGRESS_PERIOD_MS 1000

static int64_t now(const struct vh_loadgen *l)
{
	return vh_kernel_now_ms(l->kernel);
}

static void note_begins(struct vh_loadgen *l, json_t *answer,
			struct vh_loadgen_item *item, const char *token)
{
	json_int_t begins = 0, first_ms = 0;

	json_unpack(json_object_get(answer, token), "[I,I]", &begins,
		    &first_ms);
	l->tally.task_starts += (uint64_t)begins;
	if (item->fate == VH_LOADGEN_ANSWERED && !begins)
		vh_loadgen_stats_add_error(
			&l->tally, "%s was answered and never began", token);
	if (item->work->queue && begins)
		vh_loadgen_stats_add_wait(&l->tally, item->team->name,
					  item->cls, first_ms - item->sent_ms);
}

/* The witness's answer to the items that it was asked for. */
static void check_items(struct vh_loadgen *l, json_t *begun)
{
	for (unsigned int i = 0; i < l->n_asked; i++) {
		struct vh_loadgen_item *item = l->to_check->pdata[i];

		for (char **t = item->tokens; *t; t++)
			note_begins(l, begun, item, *t);
	}
	if (l->n_asked)
		g_ptr_array_remove_range(l->to_check, 0, l->n_asked);
}

static void check_not_run(struct vh_loadgen *l, json_t *begun)
{
	for (unsigned int i = 0; i < l->not_run->len; i++) {
		const char *token = l->not_run->pdata[i];
		json_int_t begins = 0, first_ms = 0;

		json_unpack(json_object_get(begun, token), "[I,I]", &begins,
			    &first_ms);
		if (begins)
			vh_loadgen_stats_add_error(
				&l->tally,
				"%s was refused as not run and began "
				"%d times",
				token, (int)begins);
	}
}

static void on_checked(void *ctx, const struct vh_client_reply *r)
{
	struct vh_loadgen *l = ctx;
	json_t *json = r->status == HTTP_OK
			       ? json_loadb(r->body.data, r->body.len, 0, NULL)
			       : NULL;
	json_t *begun = json_object_get(json, "begun");

	l->checking = false;
	if (begun && l->final_check) {
		check_not_run(l, begun);
		json_decref(json);
		vh_timer_stop(&l->check);
		l->done(l->ctx);
		return;
	}
	if (begun)
		check_items(l, begun);
	json_decref(json);
}

static void ask_witness(struct vh_loadgen *l, json_t *tokens)
{
	json_t *json = json_pack("{s:o}", "tokens", tokens);
	char *body = json_dumps(json, JSON_COMPACT);
	struct vh_client_request req = {
		.port = l->settings.witness,
		.method = EVHTTP_REQ_POST,
		.path = "/tokens",
		.body = vh_slice_str(body),
		.timeout_ms = CHECK_TIMEOUT_MS,
	};

	json_decref(json);
	l->checking = true;
	vh_client_send(&l->client, &req, on_checked, l);
	free(body);
}

static void ask_for_items(struct vh_loadgen *l)
{
	json_t *tokens = json_array();

	l->n_asked = 0;
	while (l->n_asked < l->to_check->len &&
	       json_array_size(tokens) < CHECK_TOKENS_MAX) {
		struct vh_loadgen_item *item = l->to_check->pdata[l->n_asked++];

		for (char **t = item->tokens; *t; t++)
			json_array_append_new(tokens, json_string(*t));
	}
	ask_witness(l, tokens);
}

static void ask_for_not_run(struct vh_loadgen *l)
{
	json_t *tokens = json_array();

	for (unsigned int i = 0; i < l->not_run->len; i++)
		json_array_append_new(tokens,
				      json_string(l->not_run->pdata[i]));
	l->final_check = true;
	ask_witness(l, tokens);
}

static void on_check(void *ctx)
{
	struct vh_loadgen *l = ctx;

	if (!l->checking && l->to_check->len)
		ask_for_items(l);
	else if (!l->checking && !l->sending && !l->open->len)
		ask_for_not_run(l);
	vh_timer_start(&l->check, CHECK_PERIOD_MS);
}

static void note_refused(struct vh_loadgen *l, struct vh_loadgen_item *item)
{
	if (item->id)
		return; /* its tasks told each for itself */
	for (char **t = item->tokens; *t; t++)
		g_ptr_array_add(l->not_run, g_strdup(*t));
}

void vh_loadgen_item_completed(struct vh_loadgen_item *item)
{
	struct vh_loadgen *l = item->load;

	vh_loadgen_stats_add_outcome(&l->tally, item->fate);
	if (item->fate == VH_LOADGEN_REFUSED)
		note_refused(l, item);
	if (item->fate == VH_LOADGEN_TIMED_OUT)
		vh_loadgen_stats_add_error(&l->tally,
					   "%s, job %s: no end in time",
					   item->key,
					   item->id ? item->id : "none");
	if (item->fate == VH_LOADGEN_ANSWERED && !item->work->queue)
		vh_loadgen_stats_add_wait(
			&l->tally, item->team->name, item->cls,
			item->answered_ms - item->sent_ms - item->run_ms);
	g_ptr_array_remove_fast(l->open, item);
	if (!item->cls)
		item->cls = g_strdup("none");
	g_ptr_array_add(l->to_check, item);
}

static void send_one(struct vh_loadgen *l)
{
	struct vh_loadgen_item *item = vh_loadgen_item_new(l);

	l->tally.sent++;
	g_ptr_array_add(l->open, item);
	vh_loadgen_item_send(item);
}

static void on_next_send(void *ctx)
{
	struct vh_loadgen *l = ctx;
	int64_t elapsed_ms = now(l) - l->started_ms;
	uint64_t due = (uint64_t)MIN(elapsed_ms, l->settings.duration_ms) *
		       l->settings.rate_per_s / VH_MS_PER_S;

	while (l->serial < due && l->open->len < l->settings.profile->max_open)
		send_one(l);
	if (elapsed_ms >= l->settings.duration_ms) {
		l->sending = false;
		return;
	}
	vh_timer_start(&l->next_send,
		       MAX(1, VH_MS_PER_S / (int64_t)l->settings.rate_per_s));
}

static void on_progress(void *ctx)
{
	struct vh_loadgen *l = ctx;
	const struct vh_loadgen_stats *t = &l->tally;

	fprintf(stderr,
		"%3d s: sent %d, answered %d, failed %d, refused %d, "
		"unknown %d, open %u\n",
		(int)((now(l) - l->started_ms) / VH_MS_PER_S), (int)t->sent,
		(int)t->fates[VH_LOADGEN_ANSWERED],
		(int)t->fates[VH_LOADGEN_FAILED],
		(int)t->fates[VH_LOADGEN_REFUSED],
		(int)t->fates[VH_LOADGEN_UNKNOWN], l->open->len);
	vh_timer_start(&l->progress, PROGRESS_PERIOD_MS);
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
	l->open = g_ptr_array_new_with_free_func(NULL);
	l->to_check = g_ptr_array_new_with_free_func(vh_loadgen_item_free);
	l->not_run = g_ptr_array_new_with_free_func(g_free);
	vh_client_init(&l->client, kernel);
	vh_loadgen_stats_init(&l->tally);
	vh_timer_init(&l->next_send, kernel, on_next_send, l);
	vh_timer_init(&l->check, kernel, on_check, l);
	vh_timer_init(&l->progress, kernel, on_progress, l);
}

void vh_loadgen_finish(struct vh_loadgen *l)
{
	vh_client_finish(&l->client);
	for (unsigned int i = 0; i < l->open->len; i++)
		vh_loadgen_item_free(l->open->pdata[i]);
	g_ptr_array_free(l->open, TRUE);
	g_ptr_array_free(l->to_check, TRUE);
	g_ptr_array_free(l->not_run, TRUE);
	vh_timer_finish(&l->next_send);
	vh_timer_finish(&l->check);
	vh_timer_finish(&l->progress);
	vh_loadgen_stats_finish(&l->tally);
	g_rand_free(l->rand);
}

void vh_loadgen_start(struct vh_loadgen *l)
{
	l->started_ms = now(l);
	l->sending = true;
	vh_timer_start(&l->next_send, 0);
	vh_timer_start(&l->check, CHECK_PERIOD_MS);
	if (l->settings.progress)
		vh_timer_start(&l->progress, PROGRESS_PERIOD_MS);
}
