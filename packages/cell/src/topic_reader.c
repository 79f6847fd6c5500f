#include "topic_reader.h"

#include "vh/log.h"

#define RETRY_MIN_MS 100 /* doubles with each failed read */
#define RETRY_MAX_MS 800
#define AGE_NEVER INT64_MAX
#define LOGGED_KEY_BYTES 64
#define SNAPSHOT_TRIES_MAX 3 /* until the rest of a topic is left out */
#define STUCK_READS_MAX 5    /* until the snapshot is read instead */

static void send_read(void *ctx);

static void schedule(struct topic_reader *t, int64_t delay_ms)
{
	vh_timer_start(&t->timer, delay_ms);
}

/* After a reading that has ended; @more records are known to be there. */
static void schedule_next(struct topic_reader *t, bool more)
{
	schedule(t, more || t->outdated_read ? 0 : t->poll_interval_ms);
}

static const char *topic_name(const struct topic_reader *t)
{
	static const char *const names[VH_TOPIC_COUNT] = {
		[VH_TOPIC_OBJECTS] = "objects", [VH_TOPIC_FLEET] = "fleet",
		[VH_TOPIC_OWNER] = "owner",	[VH_TOPIC_JOBS] = "jobs",
		[VH_TOPIC_STATE] = "state",
	};

	return names[t->topic];
}

/* Workers write their entries again and again, so what a snapshot has left out is
 * read soon. Of other topics, a snapshot is not complete without all records. */
static bool repeated_by_writers(const struct topic_reader *t)
{
	return t->topic == VH_TOPIC_FLEET;
}

static void log_topic(const struct topic_reader *t, GLogLevelFlags level,
		      const char *what, const char *why)
{
	vh_log(level, what, "topic", topic_name(t), "reason", why, NULL);
}

static void count(const struct topic_reader *t, const char *metric)
{
	char labels[32];

	g_snprintf(labels, sizeof(labels), "topic=\"%s\"", topic_name(t));
	++*vh_metrics_counter(&t->kernel->metrics, metric, labels);
}

/* Logs a line with the key after which the present page starts. */
static void log_page(const struct topic_reader *t, const char *what)
{
	struct vh_slice after = page_cursor_after(&t->page);
	char *key = g_uri_escape_bytes((const guint8 *)after.data,
				       MIN(after.len, LOGGED_KEY_BYTES), NULL);

	vh_log(G_LOG_LEVEL_WARNING, what, "topic", topic_name(t), "after", key,
	       NULL);
	g_free(key);
}

static void begin_snapshot(struct topic_reader *t)
{
	t->snapshot_read = false;
	t->next_offset = 0;
	t->stuck_reads = 0;
	page_cursor_reset(&t->page);
}

static void on_failure(struct topic_reader *t, const char *why)
{
	int64_t wait = (int64_t)RETRY_MIN_MS << MIN(t->failures, 3u);

	count(t, "vh_topic_read_failures_total");
	if (!t->failures++)
		log_topic(t, G_LOG_LEVEL_WARNING,
			  "topic cannot be read from the store", why);
	schedule(t, MIN(wait, RETRY_MAX_MS));
}

static const char *failure_name(enum vh_store_result result)
{
	static const char *const names[] = {
		[VH_STORE_OK] = "the reply holds no record to go on after",
		[VH_STORE_UNKNOWN] = "no answer",
		[VH_STORE_REFUSED] = "refused",
		[VH_STORE_INVALID] = "request taken for invalid",
		[VH_STORE_OFFSET_GONE] = "records no longer retained",
	};

	return result < G_N_ELEMENTS(names) && names[result] ? names[result]
							     : "other";
}

static void deliver_records(struct topic_reader *t,
			    const struct vh_read_reply *r)
{
	for (size_t i = 0; i < r->n && !t->stopped; i++)
		t->on_record(t->ctx, &r->records[i]);
}

static void mark_caught_up(struct topic_reader *t)
{
	t->caught_up_ms = t->read_sent_ms;
	t->refreshed = !t->outdated_read;
	if (t->on_caught_up && !t->stopped)
		t->on_caught_up(t->ctx, t->read_sent_ms);
}

static void report_snapshot(const struct topic_reader *t, bool begins)
{
	if (t->on_snapshot)
		t->on_snapshot(t->ctx, begins);
}

static void complete_snapshot(struct topic_reader *t, bool several_pages)
{
	page_cursor_reset(&t->page);
	t->restarts = 0;
	t->snapshot_read = true;
	report_snapshot(t, false);
	mark_caught_up(t);
	schedule_next(t, several_pages);
}

/*
 * The store starts no further page. A key may have been deleted meanwhile, so the
 * snapshot is begun again a few times.
 */
static void leave_page(struct topic_reader *t, const char *why)
{
	bool give_up = ++t->restarts >= SNAPSHOT_TRIES_MAX;

	if (give_up && repeated_by_writers(t)) {
		count(t, "vh_topic_pages_skipped_total");
		log_page(t, "the rest of a topic is left out, it is followed "
			    "from here on");
		complete_snapshot(t, true);
		return;
	}
	begin_snapshot(t);
	on_failure(t, why);
}

static void read_next_page(struct topic_reader *t)
{
	if (page_cursor_skips(&t->page)) {
		count(t, "vh_topic_pages_skipped_total");
		log_page(t, "records of a topic may be skipped");
	}
	schedule(t, 0);
}

/* The store has more records, and the reply holds none after which to go on. */
static bool no_progress(const struct topic_reader *t,
			const struct vh_read_reply *r)
{
	if (t->snapshot_read)
		return !r->n && t->next_offset < r->end;
	return r->more && !r->n && !r->last_key.len;
}

static void on_refusal(struct topic_reader *t, const struct vh_read_reply *r)
{
	bool later_page = !t->snapshot_read && t->page.after;

	if (r->result == VH_STORE_INVALID && later_page) {
		if (page_cursor_try_other(&t->page))
			read_next_page(t);
		else
			leave_page(t, failure_name(r->result));
		return;
	}
	if (r->result == VH_STORE_OK && t->snapshot_read)
		t->stuck_reads++;
	if (r->result == VH_STORE_OFFSET_GONE ||
	    t->stuck_reads >= STUCK_READS_MAX)
		begin_snapshot(t);
	on_failure(t, failure_name(r->result));
}

/* Returns whether the reply holds records to be delivered. */
static bool accept_reply(struct topic_reader *t, const struct vh_read_reply *r)
{
	t->in_flight = false;
	if (t->stopped)
		return false;
	if (r->result != VH_STORE_OK || no_progress(t, r)) {
		on_refusal(t, r);
		return false;
	}
	if (t->failures)
		log_topic(t, G_LOG_LEVEL_INFO, "topic is read again", "");
	t->failures = 0;
	t->stuck_reads = 0;
	return true;
}

static void on_newest(void *ctx, const struct vh_read_reply *r)
{
	struct topic_reader *t = ctx;
	bool several_pages = t->page.after;

	if (!accept_reply(t, r))
		return;
	/* The pages are read at different times, so changes that were made
	 * meanwhile are read again from the end of the first page on. */
	if (!several_pages) {
		t->next_offset = r->end;
		report_snapshot(t, true);
	}
	deliver_records(t, r);
	if (t->stopped)
		return;
	if (!r->more)
		complete_snapshot(t, several_pages);
	else if (page_cursor_advance(&t->page, r))
		read_next_page(t);
	else
		leave_page(t, "the same page comes again");
}

static void on_read(void *ctx, const struct vh_read_reply *r)
{
	struct topic_reader *t = ctx;

	if (!accept_reply(t, r))
		return;
	deliver_records(t, r);
	if (t->stopped)
		return;
	t->next_offset += r->n;
	if (t->next_offset >= r->end)
		mark_caught_up(t);
	schedule_next(t, t->next_offset < r->end);
}

static void send_read(void *ctx)
{
	struct topic_reader *t = ctx;
	const struct vh_store_ops *ops = t->ports->store;

	if (t->stopped || t->in_flight)
		return;
	t->in_flight = true;
	if (!t->page.after) { /* the first page tells as of when all are */
		t->outdated_read = false;
		t->read_sent_ms = vh_kernel_now_ms(t->kernel);
	}
	if (t->snapshot_read)
		ops->read(t->ports->store_self, t->topic, t->next_offset,
			  t->at_once ? 0 : t->wait_ms, on_read, t);
	else
		ops->newest(t->ports->store_self, t->topic,
			    page_cursor_after(&t->page), on_newest, t);
	t->at_once = false;
}

void topic_reader_start(struct topic_reader *t)
{
	t->stopped = false;
	vh_timer_init(&t->timer, t->kernel, send_read, t);
	page_cursor_init(&t->page);
	schedule(t, 0);
}

void topic_reader_hurry(struct topic_reader *t)
{
	if (t->stopped)
		return;
	t->at_once = true;
	if (!t->in_flight)
		schedule(t, 0);
}

void topic_reader_refresh(struct topic_reader *t)
{
	t->refreshed = false;
	t->outdated_read = t->in_flight || t->page.after;
	topic_reader_hurry(t);
}

void topic_reader_stop(struct topic_reader *t)
{
	t->stopped = true;
	vh_timer_stop(&t->timer);
}

bool topic_reader_idle(const struct topic_reader *t)
{
	return !t->in_flight;
}

void topic_reader_finish(struct topic_reader *t)
{
	vh_timer_finish(&t->timer);
	page_cursor_finish(&t->page);
}

int64_t topic_reader_age_ms(const struct topic_reader *t, int64_t now_ms)
{
	return t->caught_up_ms ? now_ms - t->caught_up_ms : AGE_NEVER;
}
