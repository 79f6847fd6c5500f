#include "worker.h"

#include <string.h>

#define ENDED_KEYS_MAX 8192
#define DEFAULT_RUN_MS 100
#define NEVER_MS INT64_MAX

static void free_task(void *ptr)
{
	struct vh_worker_task *t = ptr;

	g_free(t->task);
	g_free(t->home);
	g_free(t->cls);
	g_free(t->service);
	g_free(t->echo);
	g_free(t->token);
	g_free(t);
}

static void free_task_end(void *ptr)
{
	struct vh_worker_task_end *e = ptr;

	g_free(e->task);
	g_free(e->home);
	g_free(e->result);
	g_free(e);
}

void vh_worker_init(struct vh_worker *w, const char *id,
		    const struct vh_res *capacity, int64_t clock_offset_ms,
		    uint32_t seed, const struct vh_worker_callbacks *callbacks)
{
	memset(w, 0, sizeof(*w));
	w->id = g_strdup(id);
	w->capacity = *capacity;
	w->clock_offset_ms = clock_offset_ms;
	w->incarnation = 1;
	w->lease_until_ms = INT64_MIN;
	w->paused_at_ms = NEVER_MS;
	w->rand = g_rand_new_with_seed(seed);
	w->tasks = g_ptr_array_new_with_free_func(free_task);
	w->next_seq = 1;
	w->ended_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->callbacks = *callbacks;
}

static void clear_state(struct vh_worker *w)
{
	g_ptr_array_set_size(w->tasks, 0);
	g_queue_clear_full(&w->unacked_ends, free_task_end);
	g_queue_clear(&w->ended_fifo);
	g_hash_table_remove_all(w->ended_keys);
	memset(&w->committed, 0, sizeof(w->committed));
}

void vh_worker_finish(struct vh_worker *w)
{
	clear_state(w);
	g_ptr_array_free(w->tasks, TRUE);
	g_hash_table_destroy(w->ended_keys);
	g_rand_free(w->rand);
	g_free(w->id);
}

static void record_end(struct vh_worker *w, const char *task, uint32_t attempt)
{
	char *key = g_strdup_printf("%s/%u", task, attempt);

	g_queue_push_tail(&w->ended_fifo, key);
	g_hash_table_add(w->ended_keys, key);
	if (w->ended_fifo.length > ENDED_KEYS_MAX)
		g_hash_table_remove(w->ended_keys,
				    g_queue_pop_head(&w->ended_fifo));
}

/* Ends the task at index @i; the last task moves to that index. */
static void end_task(struct vh_worker *w, unsigned int i, const char *end,
		     int64_t at_ms)
{
	struct vh_worker_task *t = w->tasks->pdata[i];
	struct vh_worker_task_end *e = g_new0(struct vh_worker_task_end, 1);

	e->seq = w->next_seq++;
	e->task = g_strdup(t->task);
	e->attempt = t->attempt;
	e->home = g_strdup(t->home);
	e->end = end;
	e->exit_code = t->exit_code;
	e->result = t->echo ? g_strdup_printf("%s echo=%s", t->task, t->echo)
			    : g_strdup(t->task);
	g_queue_push_tail(&w->unacked_ends, e);
	record_end(w, t->task, t->attempt);
	vh_res_sub(&w->committed, &t->size);
	w->callbacks.task_ended(w->callbacks.ctx, w, t, end, at_ms);
	g_ptr_array_remove_index_fast(w->tasks, i);
}

static void end_all(struct vh_worker *w, const char *end, int64_t at_ms)
{
	while (w->tasks->len)
		end_task(w, w->tasks->len - 1, end, at_ms);
}

/* Returns the index of the task that ends first; there must be one. */
static unsigned int find_next_to_end(const struct vh_worker *w)
{
	unsigned int first = 0;

	for (unsigned int i = 1; i < w->tasks->len; i++) {
		const struct vh_worker_task *t = w->tasks->pdata[i];
		const struct vh_worker_task *f = w->tasks->pdata[first];

		if (t->program_end_ms < f->program_end_ms)
			first = i;
	}
	return first;
}

/* Returns when the next program ends; the programs of a paused worker make no
 * progress. */
static int64_t next_program_end_ms(const struct vh_worker *w)
{
	const struct vh_worker_task *t;

	if (!w->tasks->len || w->paused_at_ms != NEVER_MS)
		return NEVER_MS;
	t = w->tasks->pdata[find_next_to_end(w)];
	return t->program_end_ms;
}

int64_t vh_worker_next_due_ms(const struct vh_worker *w)
{
	if (!w->tasks->len)
		return NEVER_MS;
	return MIN(next_program_end_ms(w), w->lease_until_ms);
}

void vh_worker_advance(struct vh_worker *w, int64_t now_ms)
{
	while (w->tasks->len && vh_worker_next_due_ms(w) <= now_ms) {
		int64_t program_ms = next_program_end_ms(w);

		if (w->lease_until_ms <= program_ms) {
			end_all(w, "lost", w->lease_until_ms);
		} else {
			unsigned int i = find_next_to_end(w);
			const struct vh_worker_task *t = w->tasks->pdata[i];

			end_task(w, i, t->exit_code ? "failed" : "done",
				 program_ms);
		}
	}
}

bool vh_worker_accept_epoch(struct vh_worker *w, uint64_t epoch)
{
	if (epoch < w->epoch)
		return false;
	w->epoch = epoch;
	return true;
}

void vh_worker_renew_lease(struct vh_worker *w, int64_t until_ms)
{
	if (until_ms)
		w->lease_until_ms =
			MAX(w->lease_until_ms, until_ms - w->clock_offset_ms);
}

void vh_worker_ack_ends(struct vh_worker *w, uint64_t seq)
{
	struct vh_worker_task_end *e = g_queue_peek_head(&w->unacked_ends);

	while (e && e->seq <= seq) {
		free_task_end(g_queue_pop_head(&w->unacked_ends));
		e = g_queue_peek_head(&w->unacked_ends);
	}
}

static unsigned int find_task(const struct vh_worker *w, const char *task,
			      uint32_t attempt)
{
	for (unsigned int i = 0; i < w->tasks->len; i++) {
		const struct vh_worker_task *t = w->tasks->pdata[i];

		if (t->attempt == attempt && !strcmp(t->task, task))
			return i;
	}
	return w->tasks->len;
}

static bool has_ended(const struct vh_worker *w, const char *task,
		      uint32_t attempt)
{
	char *key = g_strdup_printf("%s/%u", task, attempt);
	bool ended = g_hash_table_contains(w->ended_keys, key);

	g_free(key);
	return ended;
}

static bool has_capacity_for(const struct vh_worker *w,
			     const struct vh_res *size)
{
	struct vh_res sum = w->committed;

	vh_res_add(&sum, size);
	return vh_res_fits(&sum, &w->capacity);
}

/* Parses "run_ms=200 exit=0 echo=TEXT token=T idempotent=0". */
static void parse_input(struct vh_worker_task *t, const char *input,
			int64_t now_ms)
{
	char **words = g_strsplit(input ? input : "", " ", -1);
	int64_t run_ms = *t->service ? NEVER_MS : DEFAULT_RUN_MS;

	t->idempotent = true;
	for (char **word = words; *word; word++) {
		if (g_str_has_prefix(*word, "run_ms="))
			run_ms = g_ascii_strtoll(*word + 7, NULL, 10);
		else if (g_str_has_prefix(*word, "exit="))
			t->exit_code =
				(int)g_ascii_strtoll(*word + 5, NULL, 10);
		else if (g_str_has_prefix(*word, "echo=") && !t->echo)
			t->echo = g_strdup(*word + 5);
		else if (g_str_has_prefix(*word, "token=") && !t->token)
			t->token = g_strdup(*word + 6);
		else if (!strcmp(*word, "idempotent=0"))
			t->idempotent = false;
	}
	g_strfreev(words);
	t->program_end_ms = run_ms == NEVER_MS ? NEVER_MS : now_ms + run_ms;
}

static struct vh_worker_task *new_task(struct vh_worker *w,
				       const struct vh_worker_start_order *s,
				       int64_t now_ms)
{
	struct vh_worker_task *t = g_new0(struct vh_worker_task, 1);

	t->task = g_strdup(s->task);
	t->attempt = s->attempt;
	t->home = g_strdup(s->home);
	t->home_epoch = s->home_epoch;
	t->cls = g_strdup(s->cls);
	t->size = s->size;
	t->service = g_strdup(s->service ? s->service : "");
	t->started_ms = now_ms;
	t->declared_idempotent = s->declared_idempotent;
	parse_input(t, s->input, now_ms);
	if (w->fail_tasks > 0 && g_rand_double(w->rand) < w->fail_tasks) {
		t->exit_code = 1;
		t->program_end_ms = now_ms;
	}
	return t;
}

const char *vh_worker_start_task(struct vh_worker *w,
				 const struct vh_worker_start_order *start,
				 int64_t now_ms)
{
	struct vh_worker_task *t;

	if (find_task(w, start->task, start->attempt) < w->tasks->len)
		return NULL;
	if (has_ended(w, start->task, start->attempt))
		return "duplicate";
	if (now_ms + w->clock_offset_ms > start->not_after_ms)
		return "late";
	if (now_ms >= w->lease_until_ms)
		return "no_lease";
	if (!has_capacity_for(w, &start->size)) {
		w->callbacks.start_overcommitted(w->callbacks.ctx, w, start);
		return "full";
	}
	t = new_task(w, start, now_ms);
	vh_res_add(&w->committed, &t->size);
	w->callbacks.task_started(w->callbacks.ctx, w, t);
	g_ptr_array_add(w->tasks, t);
	return NULL;
}

void vh_worker_stop_task(struct vh_worker *w, const char *task,
			 uint32_t attempt, const char *mode, int64_t now_ms)
{
	unsigned int i = find_task(w, task, attempt);
	struct vh_worker_task *t;

	if (i == w->tasks->len)
		return;
	t = w->tasks->pdata[i];
	if (strcmp(mode, "throttle")) {
		end_task(w, i, "stopped", now_ms);
	} else if (t->program_end_ms != NEVER_MS) {
		/* Half the speed doubles the remaining time. */
		t->program_end_ms += t->program_end_ms - now_ms;
	}
}

void vh_worker_restart(struct vh_worker *w, int64_t now_ms)
{
	end_all(w, "lost", now_ms);
	clear_state(w);
	w->incarnation++;
	w->epoch = 0;
	w->lease_until_ms = INT64_MIN;
	w->paused_at_ms = NEVER_MS;
	w->leaving = false;
	w->next_seq = 1;
	w->clock_offset_ms = VH_WORKER_BOOT_CLOCK_MS - now_ms;
}

void vh_worker_pause(struct vh_worker *w, int64_t now_ms)
{
	if (w->paused_at_ms == NEVER_MS)
		w->paused_at_ms = now_ms;
}

void vh_worker_resume(struct vh_worker *w, int64_t now_ms)
{
	if (w->paused_at_ms == NEVER_MS)
		return;
	for (unsigned int i = 0; i < w->tasks->len; i++) {
		struct vh_worker_task *t = w->tasks->pdata[i];

		if (t->program_end_ms != NEVER_MS)
			t->program_end_ms += now_ms - w->paused_at_ms;
	}
	w->paused_at_ms = NEVER_MS;
}

void vh_worker_set_leaving(struct vh_worker *w, bool leaving, int64_t now_ms)
{
	if (leaving && !w->leaving)
		w->leaving_since_ms = now_ms;
	w->leaving = leaving;
}

struct vh_worker_task *vh_worker_find_replica(const struct vh_worker *w,
					      const char *service)
{
	struct vh_worker_task *best = NULL;

	if (w->leaving)
		return NULL;
	for (unsigned int i = 0; i < w->tasks->len; i++) {
		struct vh_worker_task *t = w->tasks->pdata[i];

		if (strcmp(t->service, service) ||
		    t->requests >=
			    MIN(t->size.v[VH_SLOTS], t->size.v[VH_CONNS]))
			continue;
		if (!best || t->requests < best->requests)
			best = t;
	}
	return best;
}
