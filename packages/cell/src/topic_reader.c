#include "topic_reader.h"

#include "vh/log.h"

#define RETRY_FIRST_MS 100 /* after a read that failed */
#define RETRY_LAST_MS 800  /* after many that failed */
#define AGE_NEVER INT64_MAX

static void step(void *ctx);

static void again(struct topic_reader *f, int64_t delay_ms)
{
	vh_timer_start(&f->timer, delay_ms);
}

static void say(const struct topic_reader *f, GLogLevelFlags level,
		const char *what)
{
	static const char *const names[VH_TOPIC_COUNT] = {
		[VH_TOPIC_OBJECTS] = "objects", [VH_TOPIC_FLEET] = "fleet",
		[VH_TOPIC_OWNER] = "owner",	[VH_TOPIC_JOBS] = "jobs",
		[VH_TOPIC_STATE] = "state",
	};

	vh_log(level, what, "topic", names[f->topic], NULL);
}

static void failed(struct topic_reader *f, enum vh_store_result result)
{
	int64_t wait = (int64_t)RETRY_FIRST_MS << MIN(f->failures, 3u);

	if (!f->failures++)
		say(f, G_LOG_LEVEL_WARNING, "topic cannot be read");
	if (result == VH_STORE_OFFSET_GONE) {
		f->loaded = false;
		f->next = 0;
		g_clear_pointer(&f->after, g_free);
	}
	again(f, MIN(wait, RETRY_LAST_MS));
}

static void give(struct topic_reader *f, const struct vh_read_reply *r)
{
	for (size_t i = 0; i < r->n && !f->stopped; i++)
		f->record(f->ctx, &r->records[i]);
}

static void mark_fresh(struct topic_reader *f)
{
	f->fresh_ms = f->sent_ms;
	if (f->fresh && !f->stopped)
		f->fresh(f->ctx, f->sent_ms);
}

/* Whether an answer is to be used. */
static bool answered(struct topic_reader *f, const struct vh_read_reply *r)
{
	f->open = false;
	if (f->stopped)
		return false;
	if (r->result != VH_STORE_OK) {
		failed(f, r->result);
		return false;
	}
	if (f->failures)
		say(f, G_LOG_LEVEL_INFO, "topic is read again");
	f->failures = 0;
	return true;
}

static void on_newest(void *ctx, const struct vh_read_reply *r)
{
	struct topic_reader *f = ctx;

	if (!answered(f, r))
		return;
	/* Pages are no snapshot: the tail starts where the first one ended. */
	if (!f->after)
		f->next = r->end;
	give(f, r);
	if (f->stopped)
		return;
	if (r->more && r->n) {
		g_free(f->after);
		f->after = vh_slice_dup(r->records[r->n - 1].key);
		again(f, 0);
		return;
	}
	g_clear_pointer(&f->after, g_free);
	f->loaded = true;
	mark_fresh(f);
	again(f, f->pause_ms);
}

static void on_read(void *ctx, const struct vh_read_reply *r)
{
	struct topic_reader *f = ctx;

	if (!answered(f, r))
		return;
	give(f, r);
	if (f->stopped)
		return;
	f->next += r->n;
	if (f->next >= r->end)
		mark_fresh(f);
	again(f, f->next < r->end ? 0 : f->pause_ms);
}

static void step(void *ctx)
{
	struct topic_reader *f = ctx;
	const struct vh_store_ops *ops = f->ports->store;

	if (f->stopped || f->open)
		return;
	f->open = true;
	f->sent_ms = vh_kernel_now_ms(f->kernel);
	if (f->loaded)
		ops->read(f->ports->store_self, f->topic, f->next, f->wait_ms,
			  on_read, f);
	else
		ops->newest(f->ports->store_self, f->topic,
			    vh_slice_str(f->after), on_newest, f);
}

void topic_reader_start(struct topic_reader *f)
{
	f->stopped = false;
	vh_timer_init(&f->timer, f->kernel, step, f);
	again(f, 0);
}

void topic_reader_stop(struct topic_reader *f)
{
	f->stopped = true;
	vh_timer_stop(&f->timer);
}

bool topic_reader_idle(const struct topic_reader *f)
{
	return !f->open;
}

void topic_reader_finish(struct topic_reader *f)
{
	vh_timer_finish(&f->timer);
	g_clear_pointer(&f->after, g_free);
}

int64_t topic_reader_age_ms(const struct topic_reader *f, int64_t now_ms)
{
	return f->fresh_ms ? now_ms - f->fresh_ms : AGE_NEVER;
}
