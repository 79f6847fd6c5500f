#include "config.h"

#include <inttypes.h>
#include <jansson.h>

#include "vh/codec.h"
#include "vh/delta.h"
#include "vh/invariant.h"
#include "vh/log.h"

#define PUBLISH_TIMEOUT_MS 10000
#define HISTORY_MAX 256
#define TEXTS_MAX 16 /* newest versions whose text is retained */
#define MAX_WATCHERS 8

struct publish {
	struct publish *next;
	struct vh_config *config;
	struct vh_timer timer;
	char id[64];
	bool decided;
	enum vh_err result;
	uint64_t version;
	void (*done)(void *ctx, enum vh_err err, uint64_t version,
		     struct vh_slice message);
	void *ctx;
};

struct history_row {
	uint64_t version;
	uint64_t base;
	int64_t wall_ms;
	char *author;
	char *id;
	size_t bytes;
	json_t *changed; /* array of group names */
	char *text;	 /* canonical; NULL if no longer retained */
};

struct watcher {
	void (*fn)(void *ctx);
	void *ctx;
};

struct vh_config {
	struct vh_core *core;
	struct vh_service service;
	struct vh_log_stream *stream;
	struct vh_objects *objects; /* NULL until the first version */
	struct vh_buf text;
	uint64_t version;
	uint64_t publishes; /* number of own publishes, for their ids */
	struct publish *pending;
	struct history_row history[HISTORY_MAX];
	size_t n_history;
	struct watcher watchers[MAX_WATCHERS];
	size_t n_watchers;
};

/*
 * The fields of a VH_REC_PUBLISH; the slices point into the record. @delta
 * contains only the groups that differ from the base version.
 */
struct publish_record {
	struct vh_slice serial; /* unique id from the publishing process */
	struct vh_slice id;	/* id from the operator, may be empty */
	uint64_t base;
	struct vh_slice author;
	int64_t wall_ms;
	struct vh_slice delta;
};

static bool record_unpack(struct vh_unpack *u, struct vh_slice body,
			  struct publish_record *r)
{
	if (!vh_unpack_init(u, body, NULL))
		return false;
	r->serial = vh_unpack_slice(u);
	r->id = vh_unpack_slice(u);
	r->base = vh_unpack_u64(u);
	r->author = vh_unpack_slice(u);
	r->wall_ms = vh_unpack_i64(u);
	r->delta = vh_unpack_slice(u);
	return u->ok;
}

static void objects_release(void *ctx)
{
	vh_objects_finish(ctx);
	g_free(ctx);
}

/* Parses and validates a set; NULL and the problems in *@message if invalid. */
static struct vh_objects *objects_parse(struct vh_slice text, char **message)
{
	struct vh_objects *set = g_new0(struct vh_objects, 1);
	struct vh_ini_source source = { VH_SLICE("publish"), text };
	struct vh_problems problems;
	bool ok;

	vh_problems_init(&problems);
	ok = vh_objects_load(set, &source, 1, &problems);
	if (!ok && message) {
		GString *all = g_string_new(NULL);

		for (size_t i = 0; i < problems.n; i++) {
			const struct vh_problem *p = &problems.items[i];

			if (p->warning)
				continue;
			g_string_append_printf(all, "%s[%s] %s%s%s",
					       all->len ? "; " : "", p->group,
					       p->key ? p->key : "",
					       p->key ? ": " : "", p->text);
		}
		*message = g_string_free(all, FALSE);
	}
	vh_problems_finish(&problems);
	if (ok)
		return set;
	g_free(set);
	return NULL;
}

static void row_finish(struct history_row *row)
{
	g_free(row->author);
	g_free(row->id);
	g_free(row->text);
	json_decref(row->changed);
}

static void add_change(void *ctx, const struct vh_group_change *c)
{
	json_array_append_new(ctx, json_stringn(c->group.data, c->group.len));
}

/* Adds a version to the history; @text is its canonical text. */
static void history_add(struct vh_config *c, const struct publish_record *r,
			uint64_t version, struct vh_slice text)
{
	struct history_row *row;

	if (c->n_history == HISTORY_MAX) {
		row_finish(&c->history[0]);
		memmove(&c->history[0], &c->history[1],
			(HISTORY_MAX - 1) * sizeof(c->history[0]));
		c->n_history--;
	}
	if (c->n_history >= TEXTS_MAX) {
		row = &c->history[c->n_history - TEXTS_MAX];
		g_free(row->text);
		row->text = NULL;
	}
	row = &c->history[c->n_history++];
	row->version = version;
	row->base = r->base;
	row->wall_ms = r->wall_ms;
	row->author = vh_slice_dup(r->author);
	row->id = vh_slice_dup(r->id);
	row->bytes = text.len;
	row->changed = json_array();
	row->text = vh_slice_dup(text);
	vh_objects_diff(vh_buf_slice(&c->text), text, add_change, row->changed);
}

static void objects_replace(struct vh_config *c, const struct publish_record *r,
			    uint64_t offset, struct vh_objects *set)
{
	struct vh_buf text;

	vh_invariant_check(VH_I10_CONFIG, offset > c->version,
			   "version %" PRIu64 " after %" PRIu64, offset,
			   c->version);
	if (c->objects)
		vh_kernel_defer(c->core->kernel, objects_release, c->objects);
	c->objects = set;
	c->version = offset;
	vh_buf_init(&text);
	vh_objects_render(set, &text);
	history_add(c, r, offset, vh_buf_slice(&text));
	vh_buf_finish(&c->text);
	c->text = text;
}

/* Applies a publish if it is valid. Depends on the log alone, so every node
 * comes to the same result. */
static enum vh_err apply_publish(struct vh_config *c,
				 const struct publish_record *r,
				 uint64_t offset)
{
	struct vh_objects *set = NULL;
	struct vh_buf text;

	if (r->base != c->version)
		return VH_ERR_VERSION_SUPERSEDED;
	vh_buf_init(&text);
	if (vh_objects_delta_apply(vh_buf_slice(&c->text), r->delta, &text))
		set = objects_parse(vh_buf_slice(&text), NULL);
	vh_buf_finish(&text);
	if (!set)
		return VH_ERR_INVALID_CONFIG;
	objects_replace(c, r, offset, set);
	return VH_OK;
}

static struct publish *find_pending(struct vh_config *c, struct vh_slice id)
{
	struct publish *p = c->pending;

	while (p && !vh_slice_eq_str(id, p->id))
		p = p->next;
	return p;
}

static void notify_watchers(struct vh_config *c)
{
	vh_log(G_LOG_LEVEL_INFO, "configuration applied", NULL);
	for (size_t i = 0; i < c->n_watchers; i++)
		c->watchers[i].fn(c->watchers[i].ctx);
}

static void handle_record(struct vh_config *c, uint64_t offset,
			  struct vh_slice body)
{
	struct publish_record r;
	struct vh_unpack u;
	struct publish *p;
	enum vh_err result = VH_ERR_CORRUPT;

	if (record_unpack(&u, body, &r)) {
		result = apply_publish(c, &r, offset);
		p = find_pending(c, r.serial);
		if (p) {
			p->decided = true;
			p->result = result;
			p->version = c->version;
		}
	}
	vh_unpack_finish(&u);
	if (result != VH_OK)
		return;
	notify_watchers(c);
}

static void on_batch(void *ctx, uint64_t offset, const struct vh_batch *batch)
{
	struct vh_slice rest = batch->records;
	struct vh_slice body;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body)) {
		if (kind == VH_REC_PUBLISH)
			handle_record(ctx, offset, body);
	}
}

static void dump(void *ctx, struct vh_buf *out)
{
	struct vh_config *c = ctx;

	vh_pack_array(out, 2);
	vh_pack_u64(out, c->version);
	vh_pack_slice(out, vh_buf_slice(&c->text));
}

static bool load_version(struct vh_config *c, uint64_t version,
			 struct vh_slice text)
{
	struct publish_record r = { .author = VH_SLICE("snapshot") };
	struct vh_objects *set;

	if (version <= c->version)
		return version == c->version;
	set = objects_parse(text, NULL);
	if (!set)
		return false;
	objects_replace(c, &r, version, set);
	notify_watchers(c);
	return true;
}

static bool load(void *ctx, struct vh_slice state)
{
	struct vh_unpack u;
	uint64_t version;
	struct vh_slice text;
	bool ok = vh_unpack_init(&u, state, NULL);

	version = vh_unpack_u64(&u);
	text = vh_unpack_slice(&u);
	ok = ok && u.ok && (!version || load_version(ctx, version, text));
	vh_unpack_finish(&u);
	return ok;
}

static void publish_free(void *ctx)
{
	struct publish *p = ctx;

	vh_timer_finish(&p->timer);
	g_free(p);
}

/* Completes @p towards its caller; it is freed in the next iteration of the
 * event loop. */
static void publish_complete(struct publish *p, enum vh_err err,
			     const char *message)
{
	struct publish **at = &p->config->pending;
	void (*done)(void *ctx, enum vh_err err, uint64_t version,
		     struct vh_slice message) = p->done;

	while (*at != p)
		at = &(*at)->next;
	*at = p->next;
	vh_timer_stop(&p->timer);
	vh_kernel_defer(p->config->core->kernel, publish_free, p);
	done(p->ctx, err, p->decided ? p->version : p->config->version,
	     vh_slice_str(message));
}

static const char *result_message(enum vh_err result)
{
	switch (result) {
	case VH_OK:
		return "";
	case VH_ERR_VERSION_SUPERSEDED:
		return "another publish came first: the base version is not "
		       "the current one; nothing was published";
	case VH_ERR_LOG_UNAVAILABLE:
		return "platform log accepts no records; nothing was published";
	case VH_ERR_UNKNOWN_OUTCOME:
		return "platform log did not confirm the publish in time; "
		       "check the version later";
	default:
		return "the set was refused; nothing was published";
	}
}

static struct publish *find_pending_by_number(struct vh_config *c,
					      uintptr_t number)
{
	char id[64];

	g_snprintf(id, sizeof(id), "%s/%" PRIuPTR, c->core->writer, number);
	return find_pending(c, vh_slice_str(id));
}

struct append_call {
	struct vh_config *config;
	uintptr_t number;
};

static void append_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct append_call call = *(struct append_call *)arg;
	struct publish *p = find_pending_by_number(call.config, call.number);

	(void)offset;
	g_free(arg);
	if (!p)
		return;
	if (err == VH_OK)
		err = p->decided ? p->result : VH_ERR_UNKNOWN_OUTCOME;
	publish_complete(p, err, result_message(err));
}

static void publish_timeout(void *ctx)
{
	publish_complete(ctx, VH_ERR_UNKNOWN_OUTCOME,
			 result_message(VH_ERR_UNKNOWN_OUTCOME));
}

static void publish_append(struct vh_config *c, struct publish *p,
			   const struct publish_record *r)
{
	struct append_call *call = g_new(struct append_call, 1);
	struct vh_buf body;

	call->config = c;
	call->number = c->publishes;
	vh_buf_init(&body);
	vh_pack_array(&body, 6);
	vh_pack_slice(&body, vh_slice_str(p->id));
	vh_pack_slice(&body, r->id);
	vh_pack_u64(&body, r->base);
	vh_pack_slice(&body, r->author);
	vh_pack_i64(&body, r->wall_ms);
	vh_pack_slice(&body, r->delta);
	vh_log_stream_append(c->stream, VH_REC_PUBLISH, vh_buf_slice(&body),
			     append_done, call);
	vh_buf_finish(&body);
}

static struct publish *publish_new(struct vh_config *c)
{
	struct publish *p = g_new0(struct publish, 1);

	p->config = c;
	g_snprintf(p->id, sizeof(p->id), "%s/%" PRIu64, c->core->writer,
		   ++c->publishes);
	p->next = c->pending;
	c->pending = p;
	vh_timer_init(&p->timer, c->core->kernel, publish_timeout, p);
	vh_timer_start(&p->timer, PUBLISH_TIMEOUT_MS);
	return p;
}

static void ops_publish(void *self, uint64_t base, struct vh_slice author,
			struct vh_slice id, struct vh_slice text,
			void (*done)(void *ctx, enum vh_err err,
				     uint64_t version, struct vh_slice message),
			void *ctx)
{
	struct vh_config *c = self;
	struct publish_record r = { .id = id, .base = base, .author = author };
	char *message = NULL;
	struct vh_objects *set = objects_parse(text, &message);
	struct vh_buf canonical, delta;
	struct publish *p;

	if (!set) {
		done(ctx, VH_ERR_INVALID_CONFIG, c->version,
		     vh_slice_str(message));
		g_free(message);
		return;
	}
	if (base != c->version) {
		objects_release(set);
		done(ctx, VH_ERR_VERSION_SUPERSEDED, c->version,
		     vh_slice_str(result_message(VH_ERR_VERSION_SUPERSEDED)));
		return;
	}
	if (vh_log_stream_is_stale(c->stream)) {
		objects_release(set);
		done(ctx, VH_ERR_LOG_UNAVAILABLE, c->version,
		     vh_slice_str(result_message(VH_ERR_LOG_UNAVAILABLE)));
		return;
	}
	vh_buf_init(&canonical);
	vh_buf_init(&delta);
	vh_objects_render(set, &canonical);
	objects_release(set);
	vh_objects_delta_make(vh_buf_slice(&c->text), vh_buf_slice(&canonical),
			      &delta);
	r.delta = vh_buf_slice(&delta);
	r.wall_ms = vh_clock_wall_ms(c->core->kernel->clock);
	p = publish_new(c);
	p->done = done;
	p->ctx = ctx;
	publish_append(c, p, &r);
	vh_buf_finish(&canonical);
	vh_buf_finish(&delta);
}

const struct vh_objects *config_objects(const struct vh_config *c)
{
	return c->objects;
}

uint64_t config_version(const struct vh_config *c)
{
	return c->version;
}

int64_t config_age_ms(const struct vh_config *c)
{
	return c->stream ? vh_log_stream_age_ms(c->stream) : INT64_MAX;
}

void config_watch(struct vh_config *c, void (*fn)(void *ctx), void *ctx)
{
	g_return_if_fail(c->n_watchers < MAX_WATCHERS);
	c->watchers[c->n_watchers].fn = fn;
	c->watchers[c->n_watchers++].ctx = ctx;
}

static const struct vh_objects *ops_objects(void *self)
{
	return config_objects(self);
}

static uint64_t ops_version(void *self)
{
	return config_version(self);
}

static int64_t ops_age_ms(void *self)
{
	return config_age_ms(self);
}

static struct vh_slice ops_text(void *self)
{
	return vh_buf_slice(&((struct vh_config *)self)->text);
}

static void ops_watch(void *self, void (*fn)(void *ctx), void *ctx)
{
	config_watch(self, fn, ctx);
}

static json_t *row_json(const struct history_row *r)
{
	return json_pack("{s:I,s:I,s:s,s:I,s:s,s:I,s:O}", "version",
			 (json_int_t)r->version, "base", (json_int_t)r->base,
			 "author", r->author, "at_ms", (json_int_t)r->wall_ms,
			 "id", r->id, "bytes", (json_int_t)r->bytes, "changed",
			 r->changed);
}

static void ops_history(void *self, size_t limit, struct vh_buf *json)
{
	struct vh_config *c = self;
	json_t *rows = json_array();
	json_t *root = json_pack("{s:o}", "versions", rows);
	char *out;

	for (size_t i = c->n_history; i-- > 0 && limit-- > 0;)
		json_array_append_new(rows, row_json(&c->history[i]));
	out = json_dumps(root, JSON_COMPACT);
	vh_buf_add_str(json, out);
	free(out);
	json_decref(root);
}

static bool ops_text_at(void *self, uint64_t version, struct vh_buf *text)
{
	struct vh_config *c = self;

	for (size_t i = 0; i < c->n_history; i++) {
		if (c->history[i].version != version || !c->history[i].text)
			continue;
		vh_buf_add_str(text, c->history[i].text);
		return true;
	}
	return false;
}

static uint32_t rank(void *ctx)
{
	return core_rendezvous_rank(((struct vh_config *)ctx)->core, "config");
}

static bool config_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_config *c = self;
	struct vh_log_stream_user user = { on_batch, dump, load, rank, c };

	(void)kernel;
	(void)err;
	c->stream = vh_log_stream_open(&c->core->streams,
				       vh_slice_str("config"), 0, &user);
	return true;
}

static void config_stop(void *self)
{
	struct vh_config *c = self;

	vh_log_stream_close(c->stream);
	c->stream = NULL;
}

struct vh_config *config_new(struct vh_core *core)
{
	static const struct vh_config_ops ops = {
		.objects = ops_objects,
		.version = ops_version,
		.age_ms = ops_age_ms,
		.publish = ops_publish,
		.text = ops_text,
		.watch = ops_watch,
		.history = ops_history,
		.text_at = ops_text_at,
	};
	struct vh_config *c = g_new0(struct vh_config, 1);

	c->core = core;
	c->service.name = "config";
	c->service.self = c;
	c->service.ops = &ops;
	c->service.start = config_start;
	c->service.stop = config_stop;
	return c;
}

void config_free(struct vh_config *c)
{
	if (!c)
		return;
	while (c->pending) {
		struct publish *p = c->pending;

		c->pending = p->next;
		publish_free(p);
	}
	if (c->objects)
		objects_release(c->objects);
	for (size_t i = 0; i < c->n_history; i++)
		row_finish(&c->history[i]);
	vh_buf_finish(&c->text);
	g_free(c);
}

struct vh_service *config_service(struct vh_config *c)
{
	return &c->service;
}
