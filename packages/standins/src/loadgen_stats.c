#include "loadgen_stats.h"

#include <inttypes.h>
#include <string.h>

#define MAX_ERROR_TEXTS 100

static const char *const outcome_names[VH_LOADGEN_OUTCOME_COUNT] = {
	"answered", "failed", "refused", "unknown", "wrong", "lost",
};

const char *vh_loadgen_outcome_name(enum vh_loadgen_outcome outcome)
{
	return outcome_names[outcome];
}

static int compare_names(const void *a, const void *b, void *ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static void free_array(void *ptr)
{
	g_array_free(ptr, TRUE);
}

void vh_loadgen_stats_init(struct vh_loadgen_stats *t)
{
	memset(t, 0, sizeof(*t));
	t->waits = g_tree_new_full(compare_names, NULL, g_free, free_array);
	t->refusals = g_tree_new_full(compare_names, NULL, g_free, g_free);
	t->errors = g_ptr_array_new_with_free_func(g_free);
}

void vh_loadgen_stats_finish(struct vh_loadgen_stats *t)
{
	g_tree_destroy(t->waits);
	g_tree_destroy(t->refusals);
	g_ptr_array_free(t->errors, TRUE);
}

void vh_loadgen_stats_add_wait(struct vh_loadgen_stats *t, const char *team,
			       const char *cls, int64_t ms)
{
	char *key = g_strdup_printf("%s/%s", team, cls);
	GArray *samples = g_tree_lookup(t->waits, key);

	if (!samples) {
		samples = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_tree_insert(t->waits, key, samples);
	} else {
		g_free(key);
	}
	g_array_append_val(samples, ms);
}

void vh_loadgen_stats_add_refusal(struct vh_loadgen_stats *t, const char *kind)
{
	uint64_t *count = g_tree_lookup(t->refusals, kind);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_tree_insert(t->refusals, g_strdup(kind), count);
	}
	++*count;
}

void vh_loadgen_stats_add_outcome(struct vh_loadgen_stats *t,
				  enum vh_loadgen_outcome outcome)
{
	t->outcomes[outcome]++;
}

void vh_loadgen_stats_add_error(struct vh_loadgen_stats *t, const char *fmt,
				...)
{
	va_list ap;

	if (t->errors->len >= MAX_ERROR_TEXTS)
		return;
	va_start(ap, fmt);
	g_ptr_array_add(t->errors, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

static int compare_values(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t vh_loadgen_stats_quantile(GArray *samples, double q)
{
	if (!samples->len)
		return 0;
	g_array_sort(samples, compare_values);
	return g_array_index(samples, int64_t,
			     (unsigned int)(q * (samples->len - 1) + 0.5));
}

bool vh_loadgen_stats_consistent(const struct vh_loadgen_stats *t)
{
	uint64_t sum = 0;

	for (int i = 0; i < VH_LOADGEN_OUTCOME_COUNT; i++)
		sum += t->outcomes[i];
	return sum == t->sent && !t->outcomes[VH_LOADGEN_INCORRECT] &&
	       !t->outcomes[VH_LOADGEN_TIMED_OUT] && !t->errors->len;
}

static int print_wait(void *key, void *value, void *ctx)
{
	GArray *samples = value;

	fprintf(ctx,
		"%-32s %8u %8" PRId64 " %8" PRId64 " %8" PRId64 " %8" PRId64
		"\n",
		(char *)key, samples->len,
		vh_loadgen_stats_quantile(samples, 0.5),
		vh_loadgen_stats_quantile(samples, 0.95),
		vh_loadgen_stats_quantile(samples, 0.99),
		vh_loadgen_stats_quantile(samples, 1));
	return FALSE;
}

static int print_refusal(void *key, void *value, void *ctx)
{
	fprintf(ctx, " %s=%" PRIu64, (char *)key, *(uint64_t *)value);
	return FALSE;
}

void vh_loadgen_stats_print(const struct vh_loadgen_stats *t, FILE *out)
{
	fprintf(out, "%-32s %8s %8s %8s %8s %8s\n", "waiting time, ms",
		"starts", "p50", "p95", "p99", "max");
	g_tree_foreach(t->waits, print_wait, out);
	fprintf(out, "placements %" PRIu64 ", retries %" PRIu64 "\n",
		t->task_starts, t->retries);
	fprintf(out, "refusals seen:");
	g_tree_foreach(t->refusals, print_refusal, out);
	fprintf(out, "%s\n", g_tree_nnodes(t->refusals) ? "" : " none");
	fprintf(out, "sent %" PRIu64 " =", t->sent);
	for (int i = 0; i < VH_LOADGEN_OUTCOME_COUNT; i++)
		fprintf(out, "%s %" PRIu64 " %s", i ? " +" : "", t->outcomes[i],
			outcome_names[i]);
	fprintf(out, ": %s\n",
		vh_loadgen_stats_consistent(t) ? "adds up" : "DOES NOT ADD UP");
	for (unsigned int i = 0; i < t->errors->len; i++)
		fprintf(out, "wrong: %s\n", (char *)t->errors->pdata[i]);
}

static int wait_json(void *key, void *value, void *ctx)
{
	GArray *samples = value;

	json_object_set_new(
		ctx, key,
		json_pack("{s:i,s:I,s:I,s:I,s:I}", "starts", (int)samples->len,
			  "p50_ms",
			  (json_int_t)vh_loadgen_stats_quantile(samples, 0.5),
			  "p95_ms",
			  (json_int_t)vh_loadgen_stats_quantile(samples, 0.95),
			  "p99_ms",
			  (json_int_t)vh_loadgen_stats_quantile(samples, 0.99),
			  "max_ms",
			  (json_int_t)vh_loadgen_stats_quantile(samples, 1)));
	return FALSE;
}

static int refusal_json(void *key, void *value, void *ctx)
{
	json_object_set_new(ctx, key,
			    json_integer((json_int_t) * (uint64_t *)value));
	return FALSE;
}

json_t *vh_loadgen_stats_json(const struct vh_loadgen_stats *t)
{
	json_t *waits = json_object(), *refusals = json_object();
	json_t *errors = json_array(), *outcomes = json_object();

	g_tree_foreach(t->waits, wait_json, waits);
	g_tree_foreach(t->refusals, refusal_json, refusals);
	for (unsigned int i = 0; i < t->errors->len; i++)
		json_array_append_new(errors, json_string(t->errors->pdata[i]));
	for (int i = 0; i < VH_LOADGEN_OUTCOME_COUNT; i++)
		json_object_set_new(outcomes, outcome_names[i],
				    json_integer((json_int_t)t->outcomes[i]));
	return json_pack("{s:I,s:o,s:I,s:I,s:o,s:o,s:o,s:b}", "sent",
			 (json_int_t)t->sent, "fates", outcomes, "placements",
			 (json_int_t)t->task_starts, "retries",
			 (json_int_t)t->retries, "waits", waits, "refusals",
			 refusals, "wrong", errors, "adds_up",
			 (int)vh_loadgen_stats_consistent(t));
}
