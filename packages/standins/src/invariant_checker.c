#include "invariant_checker.h"

#include <string.h>

#define MAX_TRACES 200

struct team {
	struct vh_res running;
	uint32_t tasks;
	bool limited;
	struct vh_checker_limit limit;
	struct vh_checker_limit replaced; /* largest within the grace time */
	int64_t replaced_until_ms;
	uint32_t max_running_tasks;
};

struct token {
	uint32_t begins;
	int64_t first_ms;
	char *first; /* the first run, for the trace */
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
	struct token *t = ptr;

	g_free(t->first);
	g_free(t);
}

void vh_checker_init(struct vh_checker *w, size_t max_runs, size_t max_tokens,
		     int64_t grace_ms)
{
	memset(w, 0, sizeof(*w));
	w->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_runs);
	w->ended = g_queue_new();
	w->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_token);
	w->violations = g_ptr_array_new_with_free_func(g_free);
	w->max_runs = max_runs;
	w->max_tokens = max_tokens;
	w->grace_ms = grace_ms;
}

void vh_checker_finish(struct vh_checker *w)
{
	g_hash_table_destroy(w->running);
	g_queue_free_full(w->ended, free_run);
	g_hash_table_destroy(w->teams);
	g_hash_table_destroy(w->tokens);
	g_ptr_array_free(w->violations, TRUE);
}

bool vh_checker_record_check(struct vh_checker *w, enum vh_invariant_id inv,
			     bool ok, const char *fmt, ...)
{
	va_list ap;
	char *text;

	w->checks[inv]++;
	if (ok)
		return true;
	w->violated[inv]++;
	if (w->violations->len >= MAX_TRACES)
		return false;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(w->violations,
			g_strdup_printf("%s: %s", vh_invariant_name(inv),
					text));
	g_free(text);
	return false;
}

static struct team *team_of(struct vh_checker *w, const char *name)
{
	struct team *t = g_hash_table_lookup(w->teams, name);

	if (!t) {
		t = g_new0(struct team, 1);
		g_hash_table_insert(w->teams, g_strdup(name), t);
	}
	return t;
}

static void raise_limit(struct vh_checker_limit *to,
			const struct vh_checker_limit *from)
{
	for (int d = 0; d < VH_DIM_COUNT; d++)
		to->running.v[d] = MAX(to->running.v[d], from->running.v[d]);
	to->tasks = MAX(to->tasks, from->tasks);
}

void vh_checker_set_limit(struct vh_checker *w, const char *team,
			  const struct vh_checker_limit *limit, int64_t now_ms)
{
	struct team *t = team_of(w, team);

	if (t->limited) {
		if (now_ms >= t->replaced_until_ms)
			t->replaced = t->limit;
		else
			raise_limit(&t->replaced, &t->limit);
		t->replaced_until_ms = now_ms + w->grace_ms;
	}
	t->limited = true;
	t->limit = *limit;
}

static void check_one_place(struct vh_checker *w,
			    const struct vh_checker_run *run)
{
	const GPtrArray *others = g_hash_table_lookup(w->running, run->task);
	const struct vh_checker_run *o =
		others && others->len ? others->pdata[0] : NULL;

	vh_checker_record_check(
		w, VH_I2_ONE_PLACE, !o,
		"%s/%u began on %s at %" G_GINT64_FORMAT
		" ms while %u ran on %s since %" G_GINT64_FORMAT,
		run->task, run->attempt, run->worker, run->begin_ms,
		o ? o->attempt : 0, o ? o->worker : "", o ? o->begin_ms : 0);
}

static void check_limit(struct vh_checker *w, const struct vh_checker_run *run)
{
	struct team *t = team_of(w, run->team);
	struct vh_checker_limit limit = t->limit;

	vh_res_add(&t->running, &run->size);
	t->tasks++;
	t->max_running_tasks = MAX(t->max_running_tasks, t->tasks);
	if (!t->limited)
		return;
	if (run->begin_ms < t->replaced_until_ms)
		raise_limit(&limit, &t->replaced);
	vh_checker_record_check(
		w, VH_I4_LIMITS,
		t->tasks <= limit.tasks &&
			vh_res_fits(&t->running, &limit.running),
		"team %s has %u tasks, %u cpu_milli, %u MB running "
		"with %s/%u on %s at %" G_GINT64_FORMAT
		" ms; its limit is %u, %u, %u",
		run->team, t->tasks, t->running.v[VH_CPU], t->running.v[VH_MEM],
		run->task, run->attempt, run->worker, run->begin_ms,
		limit.tasks, limit.running.v[VH_CPU], limit.running.v[VH_MEM]);
}

void vh_checker_token_started(struct vh_checker *w, const char *token,
			      bool idempotent, const char *where,
			      int64_t now_ms)
{
	struct token *t = g_hash_table_lookup(w->tokens, token);

	if (!t && g_hash_table_size(w->tokens) >= w->max_tokens) {
		w->untracked++;
		return;
	}
	if (!t) {
		t = g_new0(struct token, 1);
		t->first_ms = now_ms;
		t->first = g_strdup_printf("%s at %" G_GINT64_FORMAT " ms",
					   where, now_ms);
		g_hash_table_insert(w->tokens, g_strdup(token), t);
	}
	t->begins++;
	if (!idempotent)
		vh_checker_record_check(
			w, VH_I7_AT_MOST_ONCE, t->begins == 1,
			"%s began again on %s at %" G_GINT64_FORMAT
			" ms; first on %s",
			token, where, now_ms, t->first);
}

static void check_at_most_once(struct vh_checker *w,
			       const struct vh_checker_run *run)
{
	char *where = g_strdup_printf("%s as %s/%u", run->worker, run->task,
				      run->attempt);

	vh_checker_token_started(w, run->token ? run->token : run->task,
				 run->idempotent, where, run->begin_ms);
	g_free(where);
}

void vh_checker_run_started(struct vh_checker *w,
			    const struct vh_checker_run *run)
{
	struct vh_checker_run *copy = g_new(struct vh_checker_run, 1);
	GPtrArray *runs;

	w->begun++;
	check_one_place(w, run);
	check_limit(w, run);
	check_at_most_once(w, run);
	*copy = *run;
	copy->task = g_strdup(run->task);
	copy->team = g_strdup(run->team);
	copy->worker = g_strdup(run->worker);
	copy->token = g_strdup(run->token);
	copy->end = "running";
	runs = g_hash_table_lookup(w->running, run->task);
	if (!runs) {
		runs = g_ptr_array_new();
		g_hash_table_insert(w->running, g_strdup(run->task), runs);
	}
	g_ptr_array_add(runs, copy);
}

static struct vh_checker_run *take_run(struct vh_checker *w, const char *task,
				       uint32_t attempt, const char *worker)
{
	GPtrArray *runs = g_hash_table_lookup(w->running, task);

	for (unsigned int i = 0; runs && i < runs->len; i++) {
		struct vh_checker_run *r = runs->pdata[i];

		if (r->attempt != attempt || strcmp(r->worker, worker))
			continue;
		g_ptr_array_remove_index_fast(runs, i);
		if (!runs->len)
			g_hash_table_remove(w->running, task);
		return r;
	}
	return NULL;
}

void vh_checker_run_ended(struct vh_checker *w, const char *task,
			  uint32_t attempt, const char *worker, const char *end,
			  int64_t now_ms)
{
	struct vh_checker_run *r = take_run(w, task, attempt, worker);
	struct team *t;

	if (!r)
		return;
	t = team_of(w, r->team);
	vh_res_sub(&t->running, &r->size);
	t->tasks--;
	r->end = end;
	r->end_ms = now_ms;
	g_queue_push_tail(w->ended, r);
	if (w->ended->length > w->max_runs)
		free_run(g_queue_pop_head(w->ended));
}

uint32_t vh_checker_token_starts(const struct vh_checker *w, const char *token,
				 int64_t *first_ms)
{
	const struct token *t = g_hash_table_lookup(w->tokens, token);

	*first_ms = t ? t->first_ms : 0;
	return t ? t->begins : 0;
}

static json_t *counts_json(const uint64_t *counts)
{
	json_t *json = json_object();

	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		json_object_set_new(json, vh_invariant_name(i),
				    json_integer((json_int_t)counts[i]));
	return json;
}

static json_t *teams_json(const struct vh_checker *w)
{
	json_t *json = json_object();
	GHashTableIter it;
	void *name, *ptr;

	g_hash_table_iter_init(&it, w->teams);
	while (g_hash_table_iter_next(&it, &name, &ptr)) {
		const struct team *t = ptr;

		json_object_set_new(
			json, name,
			json_pack("{s:i,s:i,s:i}", "tasks", (int)t->tasks,
				  "most_tasks", (int)t->max_running_tasks,
				  "cpu_milli", (int)t->running.v[VH_CPU]));
	}
	return json;
}

json_t *vh_checker_json(const struct vh_checker *w)
{
	json_t *trace = json_array();

	for (unsigned int i = 0; i < w->violations->len; i++)
		json_array_append_new(trace,
				      json_string(w->violations->pdata[i]));
	return json_pack("{s:o,s:o,s:o,s:I,s:I,s:i,s:o}", "checks",
			 counts_json(w->checks), "violations",
			 counts_json(w->violated), "trace", trace, "begun",
			 (json_int_t)w->begun, "untracked",
			 (json_int_t)w->untracked, "running",
			 (int)g_hash_table_size(w->running), "teams",
			 teams_json(w));
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

json_t *vh_checker_runs_json(const struct vh_checker *w)
{
	json_t *list = json_array();
	GHashTableIter it;
	void *ptr;

	g_hash_table_iter_init(&it, w->running);
	while (g_hash_table_iter_next(&it, NULL, &ptr)) {
		const GPtrArray *runs = ptr;

		for (unsigned int i = 0; i < runs->len; i++)
			json_array_append_new(list, run_json(runs->pdata[i]));
	}
	for (GList *l = w->ended->head; l; l = l->next)
		json_array_append_new(list, run_json(l->data));
	return json_pack("{s:o}", "runs", list);
}
