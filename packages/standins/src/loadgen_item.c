#include "loadgen.h"

#include <string.h>

#define HTTP_STATUS_ACCEPTED 202
#define SUBMIT_TIMEOUT_MS 15000
#define GET_WAIT_S 5
#define GET_TIMEOUT_MS 15000
#define RETRY_BASE_MS 100
#define RETRY_MAX_MS 2000
#define RETRY_DOUBLINGS 5
#define REFUSAL_RETRIES_MAX 4
#define QUOTED_ANSWER_MAX_BYTES 400

static int64_t now(const struct vh_loadgen_item *item)
{
	return vh_kernel_now_ms(item->loadgen->kernel);
}

/* Selects another node for the next try. */
static void advance_node(struct vh_loadgen_item *item)
{
	item->node = (item->node + 1) % item->loadgen->settings.n_nodes;
}

static void on_retry(void *ctx)
{
	struct vh_loadgen_item *item = ctx;

	item->resend(item);
}

/* Schedules a call of @resend with exponential back-off. Returns false if the
 * answer timeout would pass before it. */
static bool schedule_retry(struct vh_loadgen_item *item,
			   void (*resend)(struct vh_loadgen_item *item))
{
	struct vh_loadgen *l = item->loadgen;
	uint32_t doublings = MIN(item->retries, RETRY_DOUBLINGS);
	int32_t delay = MIN(RETRY_BASE_MS << doublings, RETRY_MAX_MS);

	if (now(item) - item->sent_ms + delay > l->settings.answer_timeout_ms)
		return false;
	item->retries++;
	item->resend = resend;
	l->stats.retries++;
	advance_node(item);
	vh_timer_start(&item->retry_timer,
		       delay / 2 + g_rand_int_range(l->rand, 0, delay / 2));
	return true;
}

static void complete(struct vh_loadgen_item *item,
		     enum vh_loadgen_outcome outcome)
{
	item->outcome = outcome;
	item->answered_ms = now(item);
	vh_loadgen_item_completed(item);
}

static void complete_incorrect(struct vh_loadgen_item *item,
			       const char *problem, struct vh_slice answer)
{
	vh_loadgen_stats_add_error(
		&item->loadgen->stats, "%s of %s, job %s: %s: %.*s", item->key,
		item->team->name, item->id ? item->id : "none", problem,
		(int)MIN(answer.len, QUOTED_ANSWER_MAX_BYTES),
		answer.data ? answer.data : "");
	complete(item, VH_LOADGEN_INCORRECT);
}

/**
 * struct refusal - a response {"error":{...}}
 * @retry: the response has a Retry-After header
 */
struct refusal {
	char kind[48];
	bool not_run;
	bool ran;
	bool retry;
};

static void parse_refusal(struct refusal *r,
			  const struct vh_client_reply *reply)
{
	json_t *json = json_loadb(reply->body.data ? reply->body.data : "",
				  reply->body.len, 0, NULL);
	const char *kind = "malformed", *outcome = "unknown";

	json_unpack(json, "{s:{s:s,s:s}}", "error", "kind", &kind, "outcome",
		    &outcome);
	g_strlcpy(r->kind, kind, sizeof(r->kind));
	r->not_run = !strcmp(outcome, "not_run");
	r->ran = !strcmp(outcome, "ran");
	r->retry = evhttp_find_header(reply->headers, "Retry-After") != NULL;
	json_decref(json);
}

/* Retries at another node, which is safe as the request has an idempotency
 * key. */
static void on_no_answer(struct vh_loadgen_item *item, bool not_connected,
			 void (*resend)(struct vh_loadgen_item *item))
{
	item->outcome_uncertain |= !not_connected;
	if (!schedule_retry(item, resend))
		complete(item, item->outcome_uncertain ? VH_LOADGEN_UNKNOWN
						       : VH_LOADGEN_REFUSED);
}

static void on_refusal(struct vh_loadgen_item *item,
		       const struct vh_client_reply *reply,
		       void (*resend)(struct vh_loadgen_item *item))
{
	struct refusal r;

	parse_refusal(&r, reply);
	vh_loadgen_stats_add_refusal(&item->loadgen->stats, r.kind);
	item->outcome_uncertain |= !r.not_run;
	if (r.ran) {
		complete(item, VH_LOADGEN_FAILED);
		return;
	}
	if (!r.not_run ||
	    (r.retry && item->refusal_retries++ < REFUSAL_RETRIES_MAX)) {
		if (schedule_retry(item, resend))
			return;
	}
	complete(item, item->outcome_uncertain ? VH_LOADGEN_UNKNOWN
					       : VH_LOADGEN_REFUSED);
}

static void send_call(struct vh_loadgen_item *item, enum evhttp_cmd_type method,
		      const char *path, int64_t timeout_ms,
		      void (*done)(void *ctx, const struct vh_client_reply *r))
{
	struct vh_loadgen *l = item->loadgen;
	bool post = method == EVHTTP_REQ_POST;
	const char *headers[] = { "Authorization", item->authorization,
				  post ? "Idempotency-Key" : NULL, item->key,
				  NULL };
	struct vh_client_request req = {
		.port = l->settings.nodes[item->node],
		.method = method,
		.path = path,
		.headers = headers,
		.body = post ? vh_slice_str(item->body) : vh_slice(NULL, 0),
		.timeout_ms = timeout_ms,
	};

	vh_client_send(&l->client, &req, done, item);
}

const char *vh_loadgen_verify_job_answer(const struct vh_loadgen_item *item,
					 json_t *json)
{
	json_t *tasks = json_object_get(json, "tasks"), *task;
	const char *id = json_string_value(json_object_get(json, "id"));
	size_t i;

	if (!id || !item->id || strcmp(id, item->id))
		return "the answer has the id of another job";
	if (json_array_size(tasks) != item->n_tasks)
		return "the answer has the wrong number of tasks";
	json_array_foreach(tasks, i, task)
	{
		const char *result =
			json_string_value(json_object_get(task, "result"));
		char *expected = g_strdup_printf("%s/%zu echo=%s", item->id, i,
						 item->tokens[i]);
		bool same = result && !strcmp(result, expected);

		g_free(expected);
		if (!same)
			return "a task result does not match its input";
	}
	return NULL;
}

/* Records the tasks reported as not run; returns true if all tasks are. */
static bool record_not_run_tasks(struct vh_loadgen_item *item, json_t *json)
{
	json_t *task;
	size_t i, n = 0;

	json_array_foreach(json_object_get(json, "tasks"), i, task)
	{
		const char *outcome =
			json_string_value(json_object_get(task, "outcome"));

		if (i >= item->n_tasks || !outcome ||
		    strcmp(outcome, "not_run"))
			continue;
		g_ptr_array_add(item->loadgen->not_run_tokens,
				g_strdup(item->tokens[i]));
		n++;
	}
	return n == item->n_tasks;
}

static void send_get(struct vh_loadgen_item *item);

/* Completes the item if the job has ended; returns false if it has not. */
static bool handle_job(struct vh_loadgen_item *item, json_t *json,
		       struct vh_slice text)
{
	const char *state = json_string_value(json_object_get(json, "state"));
	const char *cls = json_string_value(json_object_get(json, "class"));
	const char *problem;

	if (!state) {
		complete_incorrect(item, "the answer has no job state", text);
		return true;
	}
	if (!strcmp(state, "waiting") || !strcmp(state, "running"))
		return false;
	g_free(item->cls);
	item->cls = g_strdup(cls ? cls : "none");
	if (!strcmp(state, "done")) {
		problem = vh_loadgen_verify_job_answer(item, json);
		if (problem)
			complete_incorrect(item, problem, text);
		else
			complete(item, VH_LOADGEN_ANSWERED);
	} else if (!strcmp(state, "unknown")) {
		complete(item, VH_LOADGEN_UNKNOWN);
	} else if (record_not_run_tasks(item, json)) {
		vh_loadgen_stats_add_refusal(&item->loadgen->stats,
					     "ended_not_run");
		complete(item, VH_LOADGEN_REFUSED);
	} else {
		complete(item, VH_LOADGEN_FAILED);
	}
	return true;
}

static void on_get(void *ctx, const struct vh_client_reply *r)
{
	struct vh_loadgen_item *item = ctx;
	json_t *json;

	if (r->status == HTTP_OK) {
		json = json_loadb(r->body.data, r->body.len, 0, NULL);
		if (!json)
			complete_incorrect(item, "the answer is not valid JSON",
					   r->body);
		else if (!handle_job(item, json, r->body) &&
			 now(item) - item->sent_ms >
				 item->loadgen->settings.answer_timeout_ms)
			complete(item, VH_LOADGEN_TIMED_OUT);
		else if (json && item->outcome == VH_LOADGEN_OUTCOME_COUNT)
			send_get(item);
		json_decref(json);
		return;
	}
	if (r->status == HTTP_NOTFOUND) {
		complete_incorrect(item, "the accepted job is unknown (404)",
				   r->body);
		return;
	}
	if (!schedule_retry(item, send_get))
		complete(item, VH_LOADGEN_TIMED_OUT);
}

static void send_get(struct vh_loadgen_item *item)
{
	char *path =
		g_strdup_printf("/v1/jobs/%s?wait=%d", item->id, GET_WAIT_S);

	send_call(item, EVHTTP_REQ_GET, path, GET_TIMEOUT_MS, on_get);
	g_free(path);
}

static void send_submit(struct vh_loadgen_item *item);

static void on_submit(void *ctx, const struct vh_client_reply *r)
{
	struct vh_loadgen_item *item = ctx;
	const char *id = NULL;
	json_t *json;

	if (!r->status) {
		on_no_answer(item, r->not_connected, send_submit);
		return;
	}
	if (r->status != HTTP_STATUS_ACCEPTED) {
		on_refusal(item, r, send_submit);
		return;
	}
	json = json_loadb(r->body.data ? r->body.data : "", r->body.len, 0,
			  NULL);
	json_unpack(json, "{s:s}", "id", &id);
	item->id = g_strdup(id);
	json_decref(json);
	if (!item->id) {
		complete_incorrect(item, "the job was accepted without an id",
				   r->body);
		return;
	}
	item->retries = 0;
	send_get(item);
}

static void send_submit(struct vh_loadgen_item *item)
{
	send_call(item, EVHTTP_REQ_POST, item->path, SUBMIT_TIMEOUT_MS,
		  on_submit);
}

static void send_request(struct vh_loadgen_item *item);

static void on_request(void *ctx, const struct vh_client_reply *r)
{
	struct vh_loadgen_item *item = ctx;
	size_t len = strlen(item->body);

	if (!r->status) {
		on_no_answer(item, r->not_connected, send_request);
	} else if (r->status != HTTP_OK) {
		on_refusal(item, r, send_request);
	} else if (r->body.len < len ||
		   memcmp(r->body.data + r->body.len - len, item->body, len)) {
		complete_incorrect(item,
				   "the answer does not end with the request "
				   "body",
				   r->body);
	} else {
		complete(item, VH_LOADGEN_ANSWERED);
	}
}

static void send_request(struct vh_loadgen_item *item)
{
	send_call(item, EVHTTP_REQ_POST, item->path, SUBMIT_TIMEOUT_MS,
		  on_request);
}

void vh_loadgen_item_send(struct vh_loadgen_item *item)
{
	item->sent_ms = now(item);
	if (item->workload->queue)
		send_submit(item);
	else
		send_request(item);
}

static json_t *task_json(struct vh_loadgen_item *item, uint32_t i)
{
	const struct vh_profile_workload *w = item->workload;
	GRand *rand = item->loadgen->rand;
	uint32_t run_ms = vh_range_sample(&w->run_ms, rand);
	char *input = g_strdup_printf(
		"run_ms=%u exit=0 echo=%s token=%s idempotent=%d", run_ms,
		item->tokens[i], item->tokens[i], w->idempotent);
	json_t *json = json_pack("{s:f,s:i,s:i,s:i,s:s}", "cpus",
				 vh_range_sample(&w->cpu_milli, rand) / 1000.0,
				 "memory_mb",
				 (int)vh_range_sample(&w->memory_mb, rand),
				 "accelerators",
				 (int)vh_range_sample(&w->accelerators, rand),
				 "run_ms", (int)run_ms, "input", input);

	g_free(input);
	return json;
}

static void make_job(struct vh_loadgen_item *item)
{
	const struct vh_profile_workload *w = item->workload;
	json_t *tasks = json_array(), *job;

	for (uint32_t i = 0; i < item->n_tasks; i++)
		json_array_append_new(tasks, task_json(item, i));
	job = json_pack("{s:o,s:b,s:b}", "tasks", tasks, "gang", (int)w->gang,
			"idempotent", (int)w->idempotent);
	if (w->deadline_s)
		json_object_set_new(job, "deadline_s",
				    json_integer(w->deadline_s));
	item->body = json_dumps(job, JSON_COMPACT);
	item->path = g_strdup_printf("/v1/queues/%s/jobs", w->queue);
	json_decref(job);
}

static void make_request(struct vh_loadgen_item *item)
{
	const struct vh_profile_workload *w = item->workload;

	item->cls = g_strdup("request");
	item->run_ms = vh_range_sample(&w->run_ms, item->loadgen->rand);
	item->body = strdup(item->tokens[0]);
	item->path = g_strdup_printf(
		"/v1/services/%s/requests?run_ms=%u&token=%s&idempotent=%d",
		w->service, item->run_ms, item->tokens[0], w->idempotent);
}

struct vh_loadgen_item *vh_loadgen_item_new(struct vh_loadgen *l)
{
	struct vh_loadgen_item *item = g_new0(struct vh_loadgen_item, 1);

	item->loadgen = l;
	item->outcome = VH_LOADGEN_OUTCOME_COUNT;
	vh_profile_sample(l->settings.profile, l->rand, &item->team,
			  &item->workload);
	item->n_tasks =
		item->workload->queue
			? vh_range_sample(&item->workload->tasks, l->rand)
			: 1;
	item->key = g_strdup_printf("load-%u-%" G_GUINT64_FORMAT,
				    l->settings.seed, ++l->serial);
	item->authorization = g_strdup_printf("Bearer %s", item->team->key);
	item->tokens = g_new0(char *, item->n_tasks + 1);
	for (uint32_t i = 0; i < item->n_tasks; i++)
		item->tokens[i] = g_strdup_printf("%s.%u", item->key, i);
	item->node = (size_t)g_rand_int_range(l->rand, 0,
					      (int32_t)l->settings.n_nodes);
	vh_timer_init(&item->retry_timer, l->kernel, on_retry, item);
	if (item->workload->queue)
		make_job(item);
	else
		make_request(item);
	return item;
}

void vh_loadgen_item_free(void *ptr)
{
	struct vh_loadgen_item *item = ptr;

	vh_timer_finish(&item->retry_timer);
	g_free(item->key);
	g_free(item->authorization);
	g_free(item->path);
	free(item->body);
	g_free(item->id);
	g_free(item->cls);
	g_strfreev(item->tokens);
	g_free(item);
}
