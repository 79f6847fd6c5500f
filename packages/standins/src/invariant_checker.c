#include "invariant_checker.h"

#include <string.h>

#define MAX_TRACES 200

struct team_usage {
	struct vh_res running;
	uint32_t tasks;
	bool has_limit;
	struct vh_checker_limit limit;
	struct vh_checker_limit replaced; /* maximum of the replaced limits
					   * that are in their grace time */
	int64_t replaced_until_ms;
	uint32_t max_running_tasks;
};

struct token_usage {
	uint32_t starts;
	int64_t first_ms;
	char *first_run; /* place and time of the first start */
};

static void free_run(void *ptr)
{
	struct vh_checker_run *r = ptr;

	g_free(r->task);
	g_free(r->team);
	g_free(r->worker);
	g_free(r->token);
	g_free(r);
}

static void free_runs(void *ptr)
{
	GPtrArray *runs = ptr;

	g_ptr_array_foreach(runs, (GFunc)(void (*)(void))free_run, NULL);
	g_ptr_array_free(runs, TRUE);
}

static void free_token(void *ptr)
{
	struct token_usage *t = ptr;

	g_free(t->first_run);
	g_free(t);
}

void vh_checker_init(struct vh_checker *c, size_t max_runs, size_t max_tokens,
		     int64_t grace_ms)
{
	memset(c, 0, sizeof(*c));
	c->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_runs);
	c->ended = g_queue_new();
	c->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_token);
	c->violations = g_ptr_array_new_with_free_func(g_free);
	c->max_runs = max_runs;
	c->max_tokens = max_tokens;
	c->grace_ms = grace_ms;
}

void vh_checker_finish(struct vh_checker *c)
{
	g_hash_table_destroy(c->running);
	g_queue_free_full(c->ended, free_run);
	g_hash_table_destroy(c->teams);
	g_hash_table_destroy(c->tokens);
	g_ptr_array_free(c->violations, TRUE);
}

bool vh_checker_record_check(struct vh_checker *c, enum vh_invariant_id inv,
			     bool ok, const char *fmt, ...)
{
	va_list ap;
	char *text;

	c->check_counts[inv]++;
	if (ok)
		return true;
	c->violation_counts[inv]++;
	if (c->violations->len >= MAX_TRACES)
		return false;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(c->violations,
			g_strdup_printf("%s: %s", vh_invariant_name(inv),
					text));
	g_free(text);
	return false;
}

static struct team_usage *get_team(struct vh_checker *c, const char *name)
{
	struct team_usage *t = g_hash_table_lookup(c->teams, name);

	if (!t) {
		t = g_new0(struct team_usage, 1);
		g_hash_table_insert(c->teams, g_strdup(name), t);
	}
	return t;
}

static void raise_limit_to(struct vh_checker_limit *to,
			   const struct vh_checker_limit *from)
{
	for (int d = 0; d < VH_DIM_COUNT; d++)
		to->running.v[d] = MAX(to->running.v[d], from->running.v[d]);
	to->tasks = MAX(to->tasks, from->tasks);
}

void vh_checker_set_limit(struct vh_checker *c, const char *team,
			  const struct vh_checker_limit *limit, int64_t now_ms)
{
	struct team_usage *t = get_team(c, team);

	if (t->has_limit) {
		if (now_ms >= t->replaced_until_ms)
			t->replaced = t->limit;
		else
			raise_limit_to(&t->replaced, &t->limit);
		t->replaced_until_ms = now_ms + c->grace_ms;
	}
	t->has_limit = true;
	t->limit = *limit;
}

static void check_single_attempt(struct vh_checker *c,
				 const struct vh_checker_run *run)
{
	const GPtrArray *others = g_hash_table_lookup(c->running, run->task);
	const struct vh_checker_run *o =
		others && others->len ? others->pdata[0] : NULL;

	vh_checker_record_check(
		c, VH_I2_ONE_PLACE, !o,
		"%s/%u started on %s at %" G_GINT64_FORMAT
		" ms while attempt %u ran on %s since %" G_GINT64_FORMAT,
		run->task, run->attempt, run->worker, run->begin_ms,
		o ? o->attempt : 0, o ? o->worker : "", o ? o->begin_ms : 0);
}

static void check_limit(struct vh_checker *c, const struct vh_checker_run *run)
{
	struct team_usage *t = get_team(c, run->team);
	struct vh_checker_limit limit = t->limit;

	vh_res_add(&t->running, &run->size);
	t->tasks++;
	t->max_running_tasks = MAX(t->max_running_tasks, t->tasks);
	if (!t->has_limit)
		return;
	if (run->begin_ms < t->replaced_until_ms)
		raise_limit_to(&limit, &t->replaced);
	vh_checker_record_check(
		c, VH_I4_LIMITS,
		t->tasks <= limit.tasks &&
			vh_res_fits(&t->running, &limit.running),
		"team %s has %u tasks, %u cpu_milli, %u MB running "
		"with %s/%u on %s at %" G_GINT64_FORMAT
		" ms; its limit is %u, %u, %u",
		run->team, t->tasks, t->running.v[VH_CPU], t->running.v[VH_MEM],
		run->task, run->attempt, run->worker, run->begin_ms,
		limit.tasks, limit.running.v[VH_CPU], limit.running.v[VH_MEM]);
}

void vh_checker_token_started(struct vh_checker *c, const char *token,
			      bool idempotent, const char *where,
			      int64_t now_ms)
{
	struct token_usage *t = g_hash_table_lookup(c->tokens, token);

	if (!t && g_hash_table_size(c->tokens) >= c->max_tokens) {
		c->untracked++;
		return;
	}
	if (!t) {
		t = g_new0(struct token_usage, 1);
		t->first_ms = now_ms;
		t->first_run = g_strdup_printf("%s at %" G_GINT64_FORMAT " ms",
					       where, now_ms);
		g_hash_table_insert(c->tokens, g_strdup(token), t);
	}
	t->starts++;
	if (!idempotent)
		vh_checker_record_check(
			c, VH_I7_AT_MOST_ONCE, t->starts == 1,
			"%s started again on %s at %" G_GINT64_FORMAT
			" ms; first started on %s",
			token, where, now_ms, t->first_run);
}

static void check_at_most_once(struct vh_checker *c,
			       const struct vh_checker_run *run)
{
	char *where = g_strdup_printf("%s as %s/%u", run->worker, run->task,
				      run->attempt);

	vh_checker_token_started(c, run->token ? run->token : run->task,
				 run->idempotent, where, run->begin_ms);
	g_free(where);
}

void vh_checker_run_started(struct vh_checker *c,
			    const struct vh_checker_run *run)
{
	struct vh_checker_run *copy = g_new(struct vh_checker_run, 1);
	GPtrArray *runs;

	c->run_starts++;
	check_single_attempt(c, run);
	check_limit(c, run);
	check_at_most_once(c, run);
	*copy = *run;
	copy->task = g_strdup(run->task);
	copy->team = g_strdup(run->team);
	copy->worker = g_strdup(run->worker);
	copy->token = g_strdup(run->token);
	copy->end = "running";
	runs = g_hash_table_lookup(c->running, run->task);
	if (!runs) {
		runs = g_ptr_array_new();
		g_hash_table_insert(c->running, g_strdup(run->task), runs);
	}
	g_ptr_array_add(runs, copy);
}

static struct vh_checker_run *take_running(struct vh_checker *c,
					   const char *task, uint32_t attempt,
					   const char *worker)
{
	GPtrArray *runs = g_hash_table_lookup(c->running, task);

	for (unsigned int i = 0; runs && i < runs->len; i++) {
		struct vh_checker_run *r = runs->pdata[i];

		if (r->attempt != attempt || strcmp(r->worker, worker))
			continue;
		g_ptr_array_remove_index_fast(runs, i);
		if (!runs->len)
			g_hash_table_remove(c->running, task);
		return r;
	}
	return NULL;
}

void vh_checker_run_ended(struct vh_checker *c, const char *task,
			  uint32_t attempt, const char *worker, const char *end,
			  int64_t now_ms)
{
	struct vh_checker_run *r = take_running(c, task, attempt, worker);
	struct team_usage *t;

	if (!r)
		return;
	t = get_team(c, r->team);
	vh_res_sub(&t->running, &r->size);
	t->tasks--;
	r->end = end;
	r->end_ms = now_ms;
	g_queue_push_tail(c->ended, r);
	if (c->ended->length > c->max_runs)
		free_run(g_queue_pop_head(c->ended));
}

uint32_t vh_checker_token_starts(const struct vh_checker *c, const char *token,
				 int64_t *first_ms)
{
	const struct token_usage *t = g_hash_table_lookup(c->tokens, token);

	*first_ms = t ? t->first_ms : 0;
	return t ? t->starts : 0;
}

static json_t *invariants_json(const uint64_t *counts)
{
	json_t *json = json_object();

	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		json_object_set_new(json, vh_invariant_name(i),
				    json_integer((json_int_t)counts[i]));
	return json;
}

static json_t *teams_json(const struct vh_checker *c)
{
	json_t *json = json_object();
	GHashTableIter it;
	void *name, *ptr;

	g_hash_table_iter_init(&it, c->teams);
	while (g_hash_table_iter_next(&it, &name, &ptr)) {
		const struct team_usage *t = ptr;

		json_object_set_new(
			json, name,
			json_pack("{s:i,s:i,s:i}", "tasks", (int)t->tasks,
				  "most_tasks", (int)t->max_running_tasks,
				  "cpu_milli", (int)t->running.v[VH_CPU]));
	}
	return json;
}

json_t *vh_checker_json(const struct vh_checker *c)
{
	json_t *trace = json_array();

	for (unsigned int i = 0; i < c->violations->len; i++)
		json_array_append_new(trace,
				      json_string(c->violations->pdata[i]));
	return json_pack("{s:o,s:o,s:o,s:I,s:I,s:i,s:o}", "checks",
			 invariants_json(c->check_counts), "violations",
			 invariants_json(c->violation_counts), "trace", trace,
			 "begun", (json_int_t)c->run_starts, "untracked",
			 (json_int_t)c->untracked, "running",
			 (int)g_hash_table_size(c->running), "teams",
			 teams_json(c));
}

static json_t *run_json(const struct vh_checker_run *r)
{
	return json_pack("{s:s,s:i,s:s,s:s,s:s*,s:b,s:I,s:I,s:s}", "task",
			 r->task, "attempt", (int)r->attempt, "team", r->team,
			 "worker", r->worker, "token", r->token, "idempotent",
			 (int)r->idempotent, "begin_ms",
			 (json_int_t)r->begin_ms, "end_ms",
			 (json_int_t)r->end_ms, "end", r->end);
}

json_t *vh_checker_runs_json(const struct vh_checker *c)
{
	json_t *list = json_array();
	GHashTableIter it;
	void *ptr;

	g_hash_table_iter_init(&it, c->running);
	while (g_hash_table_iter_next(&it, NULL, &ptr)) {
		const GPtrArray *runs = ptr;

		for (unsigned int i = 0; i < runs->len; i++)
			json_array_append_new(list, run_json(runs->pdata[i]));
	}
	for (GList *l = c->ended->head; l; l = l->next)
		json_array_append_new(list, run_json(l->data));
	return json_pack("{s:o}", "runs", list);
}
