#include <inttypes.h>

#include "keys.h"
#include "owner_priv.h"
#include "vh/log.h"

/*
 * The owner's appends to the topic of states. A batch of the engine may need several:
 * the store bounds the bytes of a call, and one that takes long over a slow link would
 * time out again and again. A record that the store refuses for good must not keep the
 * others from being stored: the append is divided until it stands alone, and the engine
 * is asked for smaller ones in its place.
 */
#define HEARTBEAT_WRITE_MS 500 /* longest time without a write */
#define APPEND_TIMEOUT_MS 900
#define APPEND_RETRY_MS 60
#define APPEND_REFUSED_WITHIN_MS 450 /* a faster failure counts as refused */
/* Half of the time-out over a link of 5 Mbit/s. */
#define APPEND_BYTES (256 * 1024)

void owner_append_init(struct owner *o, const struct vh_store_limits *limits)
{
	o->append_bytes_max = APPEND_BYTES;
	if (limits->call_bytes)
		o->append_bytes_max = MIN(APPEND_BYTES, limits->call_bytes);
	o->append_bytes = o->append_bytes_max;
	vh_timer_init(&o->append_retry_timer, o->kernel, owner_append_send, o);
}

void owner_append_finish(struct owner *o)
{
	vh_timer_finish(&o->append_retry_timer);
	eng_records_free(o->append_records, o->n_append_records);
}

static void record_key(const struct eng_record *r,
		       char out[VH_KEY_BYTES + ENG_NAME_MAX])
{
	if (r->name)
		g_snprintf(out, VH_KEY_BYTES + ENG_NAME_MAX, "%c%s",
			   VH_KEY_LEARNED, r->name);
	else if (r->is_part)
		vh_key_format_part(out, r->job, r->first_task);
	else
		vh_key_format(out, VH_KEY_STATE, r->job);
}

static size_t record_bytes(const struct eng_record *r)
{
	char key[VH_KEY_BYTES + ENG_NAME_MAX];

	record_key(r, key);
	return VH_RECORD_OVERHEAD + strlen(key) + r->bytes.len;
}

/* How many of the records that are left the next append takes: at least one. */
static size_t choose_records(const struct owner *o)
{
	size_t bytes = 0;
	size_t n = 0;

	while (o->append_at + n < o->n_append_records) {
		bytes += record_bytes(&o->append_records[o->append_at + n]);
		if (n && bytes > o->append_bytes)
			break;
		n++;
	}
	return n;
}

static void free_batch(struct owner *o)
{
	eng_records_free(o->append_records, o->n_append_records);
	o->append_records = NULL;
	o->n_append_records = 0;
	o->append_at = 0;
	o->append_n = 0;
}

static void fill_records(const struct owner *o, struct vh_append *a,
			 struct vh_record *out, GStringChunk *keys)
{
	char key[VH_KEY_BYTES + ENG_NAME_MAX];

	for (size_t i = 0; i < o->append_n; i++) {
		const struct eng_record *r =
			&o->append_records[o->append_at + i];

		record_key(r, key);
		out[i].key = vh_slice_str(g_string_chunk_insert(keys, key));
		out[i].value = vh_buf_slice(&r->bytes);
	}
	a->n = o->append_n;
	if (!a->n && o->phase != OWNER_FENCING) {
		out[0].key = vh_slice_str(VH_KEY_HEARTBEAT);
		out[0].value = vh_slice_str("1");
		a->n = 1;
	}
	a->records = out;
}

static void on_append(void *ctx, const struct vh_append_reply *r);

void owner_append_send(void *ctx)
{
	struct owner *o = ctx;
	struct vh_append a = { .topic = VH_TOPIC_STATE,
			       .epoch = o->epoch,
			       .sequence = o->sequence,
			       .timeout_ms = APPEND_TIMEOUT_MS };
	struct vh_record *out = g_new0(struct vh_record, o->append_n + 1);
	GStringChunk *keys = g_string_chunk_new(4096);

	fill_records(o, &a, out, keys);
	o->append_sent_ms = owner_now_ms(o);
	o->pending_calls++;
	o->ports->store->append(o->ports->store_self, &a, on_append, o);
	g_free(out);
	g_string_chunk_free(keys);
}

/* Begins with the next append of the batch. */
static void send_next(struct owner *o)
{
	o->append_n = choose_records(o);
	o->append_first_sent_ms = owner_now_ms(o);
	o->sequence++;
	owner_append_send(o);
}

static void note_stored(struct owner *o)
{
	owner_note_pause(o);
	if (o->append_failures)
		vh_log(G_LOG_LEVEL_INFO, "job state is stored again", NULL);
	o->append_failures = 0;
	o->append_refused = false;
	o->last_write_ms = owner_now_ms(o);
	owner_record_append_time(o, o->last_write_ms - o->append_sent_ms);
	o->ops.confirmed(o->ctx, o->append_sent_ms);
}

static void on_stored(struct owner *o)
{
	note_stored(o);
	o->append_at += o->append_n;
	if (o->append_at < o->n_append_records) {
		owner_write_stored(o);
		send_next(o);
		return;
	}
	o->append_in_flight = false;
	if (o->append_batch)
		o->stored_batch = o->append_batch;
	o->append_batch = 0;
	owner_write_stored(o);
	owner_batch_stored(o);
	free_batch(o);
	owner_schedule_run(o);
}

static void log_refused(const struct owner *o, const struct eng_record *r,
			const char *what)
{
	char key[VH_KEY_BYTES + ENG_NAME_MAX];
	char job[20];
	char bytes[24];

	record_key(r, key);
	g_snprintf(job, sizeof(job), "%016" PRIx64, r->job);
	g_snprintf(bytes, sizeof(bytes), "%zu", r->bytes.len);
	++*vh_metrics_counter(&o->kernel->metrics,
			      "vh_state_records_refused_total", NULL);
	vh_log(G_LOG_LEVEL_WARNING, what, "job", r->name ? "" : job, "key", key,
	       "bytes", bytes, NULL);
}

/* Takes the records of a job out of those that are left of the batch. */
static void drop_job(struct owner *o, uint64_t job)
{
	size_t n = o->append_at;

	for (size_t i = o->append_at; i < o->n_append_records; i++) {
		struct eng_record *r = &o->append_records[i];

		if (!r->name && r->job == job)
			vh_buf_finish(&r->bytes);
		else
			o->append_records[n++] = *r;
	}
	o->n_append_records = n;
}

static void add_to_batch(struct owner *o, struct eng_record *records, size_t n)
{
	o->append_records = g_renew(struct eng_record, o->append_records,
				    o->n_append_records + n);
	for (size_t i = 0; i < n; i++)
		o->append_records[o->n_append_records++] = records[i];
	g_free(records);
}

static void drop_learned(struct owner *o)
{
	struct eng_record *r = &o->append_records[o->append_at];

	log_refused(o, r, "learned record refused by the store, left out");
	g_free(r->name);
	vh_buf_finish(&r->bytes);
	o->n_append_records--;
	memmove(r, r + 1, (o->n_append_records - o->append_at) * sizeof(*r));
}

static void replace_state(struct owner *o)
{
	const struct eng_record *r = &o->append_records[o->append_at];
	struct eng_record *smaller = NULL;
	uint64_t job = r->job;
	size_t n = 0;

	if (eng_record_refused(o->engine, job, r->bytes.len, &smaller, &n)) {
		log_refused(o, r, "record refused by the store, divided");
		drop_job(o, job);
		add_to_batch(o, smaller, n);
		return;
	}
	log_refused(o, r, "state of a job refused by the store for good");
	drop_job(o, job);
	eng_job_unstored(o->engine, job, owner_now_ms(o));
}

/* The store would refuse the same append again. */
static void on_invalid(struct owner *o)
{
	if (o->append_n > 1) {
		size_t bytes = 0;

		for (size_t i = 0; i < o->append_n; i++)
			bytes += record_bytes(
				&o->append_records[o->append_at + i]);
		o->append_bytes = bytes / 2;
	} else {
		if (o->append_records[o->append_at].name)
			drop_learned(o);
		else
			replace_state(o);
		o->append_bytes = o->append_bytes_max;
	}
	/* Without records, a heartbeat completes the batch. */
	o->append_n = choose_records(o);
	owner_append_send(o);
}

static const char *failure_name(enum vh_store_result result)
{
	return result == VH_STORE_UNKNOWN   ? "no answer"
	       : result == VH_STORE_REFUSED ? "refused for now"
	       : result == VH_STORE_INVALID ? "refused for good"
					    : "conflict";
}

static void on_failure(struct owner *o, enum vh_store_result result)
{
	o->append_refused =
		result != VH_STORE_INVALID &&
		owner_now_ms(o) - o->append_sent_ms < APPEND_REFUSED_WITHIN_MS;
	if (o->append_refused)
		o->refused_sent_ms = o->append_sent_ms;
	if (!o->append_failures++)
		vh_log(G_LOG_LEVEL_WARNING, "job state cannot be stored",
		       "reason", failure_name(result), NULL);
	vh_timer_start(&o->append_retry_timer, APPEND_RETRY_MS);
}

static void on_append(void *ctx, const struct vh_append_reply *r)
{
	struct owner *o = ctx;

	o->pending_calls--;
	if (owner_has_ended(o))
		return;
	switch (r->result) {
	case VH_STORE_OK:
		on_stored(o);
		return;
	case VH_STORE_BAD_SEQUENCE:
		if (r->expected == o->sequence + 1)
			on_stored(o); /* an earlier attempt succeeded */
		else
			o->ops.ownership_lost(
				o->ctx, "another writer has used this epoch");
		return;
	case VH_STORE_FENCED:
		o->ops.ownership_lost(o->ctx,
				      "fenced at the store by a newer owner");
		return;
	case VH_STORE_INVALID:
		if (o->append_n) {
			on_invalid(o);
			return;
		}
		break;
	default:
		break;
	}
	on_failure(o, r->result);
}

/* Learned records whose key the store cannot name are left out. */
static void drop_long_keys(struct owner *o)
{
	size_t n = 0;

	for (size_t i = 0; i < o->n_append_records; i++) {
		struct eng_record *r = &o->append_records[i];

		if (!r->name || 1 + strlen(r->name) <= VH_KEY_BYTES_MAX) {
			o->append_records[n++] = *r;
			continue;
		}
		g_free(r->name);
		vh_buf_finish(&r->bytes);
	}
	o->n_append_records = n;
}

/*
 * Appends the changed job states. If there are none, appends a heartbeat after
 * HEARTBEAT_WRITE_MS without an append, or at once if the owner may not act.
 * The other nodes take these writes as a sign of a live owner.
 */
void owner_append_flush(struct owner *o)
{
	if (o->append_in_flight || o->phase == OWNER_ENDED)
		return;
	if (o->phase == OWNER_ACTIVE)
		o->append_batch = eng_flush(o->engine, &o->append_records,
					    &o->n_append_records);
	if (!o->append_batch &&
	    owner_now_ms(o) - o->last_write_ms < HEARTBEAT_WRITE_MS &&
	    owner_is_permitted(o))
		return;
	drop_long_keys(o);
	o->append_in_flight = true;
	send_next(o);
}

void owner_append_fence(struct owner *o)
{
	o->append_in_flight = true;
	o->append_first_sent_ms = owner_now_ms(o);
	owner_append_send(o);
}
