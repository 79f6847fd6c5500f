#include "topic_reader.h"

#include "vh/log.h"

#define RETRY_MIN_MS 100 /* doubles with each failed read */
#define RETRY_MAX_MS 800
#define AGE_NEVER INT64_MAX

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

static void log_topic(const struct topic_reader *t, GLogLevelFlags level,
		      const char *what)
{
	static const char *const names[VH_TOPIC_COUNT] = {
		[VH_TOPIC_OBJECTS] = "objects", [VH_TOPIC_FLEET] = "fleet",
		[VH_TOPIC_OWNER] = "owner",	[VH_TOPIC_JOBS] = "jobs",
		[VH_TOPIC_STATE] = "state",
	};

	vh_log(level, what, "topic", names[t->topic], NULL);
}

static void on_failure(struct topic_reader *t, enum vh_store_result result)
{
	int64_t wait = (int64_t)RETRY_MIN_MS << MIN(t->failures, 3u);

	if (!t->failures++)
		log_topic(t, G_LOG_LEVEL_WARNING,
			  "topic cannot be read from the store");
	if (result == VH_STORE_OFFSET_GONE) {
		t->snapshot_read = false;
		t->next_offset = 0;
		g_clear_pointer(&t->page_after, g_free);
	}
	schedule(t, MIN(wait, RETRY_MAX_MS));
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

/* The store has more records, and the reply holds none after which to go on. */
static bool no_progress(const struct topic_reader *t,
			const struct vh_read_reply *r)
{
	if (r->n)
		return false;
	return t->snapshot_read ? t->next_offset < r->end : r->more;
}

/* Returns whether the reply holds records to be delivered. */
static bool accept_reply(struct topic_reader *t, const struct vh_read_reply *r)
{
	t->in_flight = false;
	if (t->stopped)
		return false;
	if (r->result != VH_STORE_OK || no_progress(t, r)) {
		on_failure(t, r->result);
		return false;
	}
	if (t->failures)
		log_topic(t, G_LOG_LEVEL_INFO, "topic is read again");
	t->failures = 0;
	return true;
}

static void on_newest(void *ctx, const struct vh_read_reply *r)
{
	struct topic_reader *t = ctx;
	bool several_pages = t->page_after;

	if (!accept_reply(t, r))
		return;
	/* The pages are read at different times, so changes that were made
	 * meanwhile are read again from the end of the first page on. */
	if (!t->page_after) {
		t->next_offset = r->end;
		report_snapshot(t, true);
	}
	deliver_records(t, r);
	if (t->stopped)
		return;
	if (r->more) {
		g_free(t->page_after);
		t->page_after = vh_slice_dup(r->records[r->n - 1].key);
		schedule(t, 0);
		return;
	}
	g_clear_pointer(&t->page_after, g_free);
	t->snapshot_read = true;
	report_snapshot(t, false);
	mark_caught_up(t);
	schedule_next(t, several_pages);
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
	if (!t->page_after) { /* the first page tells as of when all are */
		t->outdated_read = false;
		t->read_sent_ms = vh_kernel_now_ms(t->kernel);
	}
	if (t->snapshot_read)
		ops->read(t->ports->store_self, t->topic, t->next_offset,
			  t->at_once ? 0 : t->wait_ms, on_read, t);
	else
		ops->newest(t->ports->store_self, t->topic,
			    vh_slice_str(t->page_after), on_newest, t);
	t->at_once = false;
}

void topic_reader_start(struct topic_reader *t)
{
	t->stopped = false;
	vh_timer_init(&t->timer, t->kernel, send_read, t);
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
	t->outdated_read = t->in_flight || t->page_after;
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
	g_clear_pointer(&t->page_after, g_free);
}

int64_t topic_reader_age_ms(const struct topic_reader *t, int64_t now_ms)
{
	return t->caught_up_ms ? now_ms - t->caught_up_ms : AGE_NEVER;
}
