#include "owner_priv.h"

#include "vh/log.h"

/*
 * The list of workers. Other programs write records to it too. A record that
 * names no worker is counted on each read, and logged once for each reason.
 */
#define LOGGED_KEY_BYTES 64

void owner_fleet_init(struct owner *o)
{
	o->ignored_entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void owner_fleet_free(struct owner *o)
{
	g_hash_table_destroy(o->ignored_entries);
}

/* A key that is no id is not passed on: the engine's names end at a NUL byte,
 * and an id is sent to the worker in a header. */
static bool id_valid(struct vh_slice key)
{
	if (!key.len || key.len > ENG_NAME_MAX ||
	    !g_utf8_validate_len(key.data, key.len, NULL))
		return false;
	for (size_t i = 0; i < key.len; i++) {
		if (g_ascii_iscntrl(key.data[i]))
			return false;
	}
	return true;
}

static char *printable_key(struct vh_slice key)
{
	GString *s = g_string_new(NULL);

	for (size_t i = 0; i < MIN(key.len, LOGGED_KEY_BYTES); i++)
		g_string_append_c(s, g_ascii_isprint(key.data[i]) ? key.data[i]
								  : '?');
	if (key.len > LOGGED_KEY_BYTES)
		g_string_append(s, "...");
	return g_string_free(s, FALSE);
}

static void log_ignored(struct owner *o, struct vh_slice key,
			const char *problem)
{
	guint n = g_hash_table_size(o->ignored_entries) + 1;
	char *entry;

	if (n > OWNER_IGNORED_ENTRIES_MAX)
		return;
	entry = printable_key(key);
	if (g_hash_table_add(o->ignored_entries,
			     g_strdup_printf("%s %s", problem, entry)))
		vh_log(G_LOG_LEVEL_WARNING, "entry of a worker ignored", "key",
		       entry, "reason", problem, "further",
		       n < OWNER_IGNORED_ENTRIES_MAX ? "logged" : "not logged",
		       NULL);
	g_free(entry);
}

static void ignore_record(struct owner *o, struct vh_slice key,
			  const char *problem)
{
	char labels[80];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", problem);
	++*vh_metrics_counter(&o->kernel->metrics,
			      "vh_worker_entries_ignored_total", labels);
	log_ignored(o, key, problem);
}

void owner_fleet_record(struct owner *o, const struct vh_record *r)
{
	struct eng_worker_info info = { 0 };
	const char *problem = NULL;
	GStringChunk *scratch;

	if (!id_valid(r->key)) {
		if (r->value.len)
			ignore_record(o, r->key, "key is no id");
		return;
	}
	scratch = g_string_chunk_new(512);
	if (o->ports->decode->worker(r->key, r->value, &info, scratch,
				     &problem))
		eng_worker_listed(o->engine, &info, owner_now_ms(o));
	else
		eng_worker_unlisted(o->engine, r->key, owner_now_ms(o));
	if (problem)
		ignore_record(o, r->key, problem);
	g_string_chunk_free(scratch);
}
