#include "jobs.h"

#include "config.h"
#include "owners.h"
#include "vh/codec.h"

#define CALL_TIMEOUT_MS 3000
#define RETRY_MS 60
#define GET_TIMEOUT_MS 8000
#define GET_MARGIN_MS 2000
#define REQUEST_TIMEOUT_MS 8000

struct vh_jobs {
	struct vh_core *core;
	struct vh_service service;
	struct home_call *calls;
};

/* A call to a home, retried until it is answered or the deadline passes. */
struct home_call {
	struct home_call *next;
	struct vh_jobs *jobs;
	struct vh_timer timer;
	char unit[VH_UNIT_MAX + 1];
	unsigned int method;
	struct vh_buf body;
	int64_t deadline_ms;
	int64_t call_timeout_ms;
	bool at_most_once;    /* not retried after an unknown outcome */
	bool outcome_unknown; /* an attempt may have taken effect */
	enum vh_err last_err;
	void (*done)(struct home_call *c, enum vh_err err,
		     struct vh_slice body);
	union {
		void (*submit)(void *ctx, enum vh_err err, struct vh_slice id,
			       struct vh_slice message);
		void (*json)(void *ctx, enum vh_err err, struct vh_slice json);
		void (*begin)(void *ctx, enum vh_err err, uint32_t status);
		void (*end)(void *ctx, enum vh_err err);
	} fn;
	void *ctx;
};

static void call_free(struct home_call *c)
{
	vh_timer_finish(&c->timer);
	vh_buf_finish(&c->body);
	g_free(c);
}

static void call_release(void *ctx)
{
	struct home_call *c = ctx;
	struct home_call **at = &c->jobs->calls;

	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	call_free(c);
}

static void call_complete(struct home_call *c, enum vh_err err,
			  struct vh_slice body)
{
	vh_timer_stop(&c->timer);
	c->done(c, err, body);
	vh_kernel_defer(c->jobs->core->kernel, call_release, c);
}

static void call_send(void *ctx);

/* Errors after which a retry may succeed. */
static bool is_retryable(enum vh_err err)
{
	return err == VH_ERR_NOT_OWNER || err == VH_ERR_NOT_READY ||
	       err == VH_ERR_UNREACHABLE || err == VH_ERR_UNKNOWN_OUTCOME ||
	       err == VH_ERR_STALE_EPOCH;
}

static void call_retry(struct home_call *c, enum vh_err err)
{
	int64_t now = vh_kernel_now_ms(c->jobs->core->kernel);

	c->last_err = err;
	c->outcome_unknown =
		c->outcome_unknown || err == VH_ERR_UNKNOWN_OUTCOME;
	if (now + RETRY_MS < c->deadline_ms &&
	    !(c->at_most_once && c->outcome_unknown)) {
		vh_timer_start(&c->timer, RETRY_MS);
		return;
	}
	call_complete(c,
		      c->outcome_unknown ? VH_ERR_UNKNOWN_OUTCOME : c->last_err,
		      vh_slice("", 0));
}

static void call_answered(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_call *c = ctx;

	/* An earlier attempt may have taken effect, so this one's error must
	 * not be reported as "not run". */
	if (c->outcome_unknown && err == VH_ERR_LOG_UNAVAILABLE)
		err = VH_ERR_UNKNOWN_OUTCOME;
	if (is_retryable(err) &&
	    !(c->at_most_once && err == VH_ERR_UNKNOWN_OUTCOME &&
	      c->method == VH_METHOD_REQUEST_BEGIN))
		call_retry(c, err);
	else
		call_complete(c, err, body);
}

static void call_send(void *ctx)
{
	struct home_call *c = ctx;
	int64_t now = vh_kernel_now_ms(c->jobs->core->kernel);
	int64_t left = c->deadline_ms - now;
	struct vh_claim claim;

	if (!owners_get(c->jobs->core->owners, vh_slice_str(c->unit), &claim)) {
		call_retry(c, VH_ERR_NOT_READY);
		return;
	}
	vh_peer_call(c->jobs->core->peer, claim.node, c->method,
		     vh_buf_slice(&c->body),
		     left < c->call_timeout_ms ? left : c->call_timeout_ms,
		     call_answered, c);
}

static struct home_call *call_new(struct vh_jobs *j, unsigned int method,
				  int64_t timeout_ms)
{
	struct home_call *c = g_new0(struct home_call, 1);

	c->jobs = j;
	c->method = method;
	c->last_err = VH_ERR_NOT_READY;
	c->deadline_ms = vh_kernel_now_ms(j->core->kernel) + timeout_ms;
	c->call_timeout_ms = CALL_TIMEOUT_MS;
	vh_timer_init(&c->timer, j->core->kernel, call_send, c);
	c->next = j->calls;
	j->calls = c;
	return c;
}

/* Sets the unit to the home of @team that @key hashes to. */
static void set_unit_of_key(struct home_call *c, const struct vh_team *team,
			    struct vh_slice key)
{
	uint32_t k = (uint32_t)(vh_slice_hash(key, 0) % team->homes);

	g_snprintf(c->unit, sizeof(c->unit), "home/%.*s/%u",
		   VH_SLICE_ARGS(team->name), k);
}

/* Sets the unit "home/TEAM/K" for job id "TEAM.K.EPOCH.N"; false if the id is
 * malformed or belongs to another team. An empty @team matches any. */
static bool set_unit_of_job(struct home_call *c, struct vh_slice team,
			    struct vh_slice id)
{
	const char *dot = memchr(id.data, '.', id.len);
	const char *end;
	size_t len;

	if (!dot)
		return false;
	len = (size_t)(dot - id.data);
	if (team.len && !vh_slice_eq(vh_slice(id.data, len), team))
		return false;
	end = memchr(dot + 1, '.', id.len - len - 1);
	if (!end || len > VH_NAME_MAX || end - dot > 12)
		return false;
	g_snprintf(c->unit, sizeof(c->unit), "home/%.*s/%.*s", (int)len,
		   id.data, (int)(end - dot - 1), dot + 1);
	return true;
}

static struct vh_slice submit_message(enum vh_err err)
{
	switch (err) {
	case VH_OK:
		return vh_slice_str("");
	case VH_ERR_LOG_UNAVAILABLE:
		return vh_slice_str("platform log accepts no records; the job "
				    "was not accepted");
	case VH_ERR_UNKNOWN_OUTCOME:
		return vh_slice_str("the job may have been accepted; retry "
				    "with the same Idempotency-Key");
	case VH_ERR_CONFLICT:
		return vh_slice_str("this Idempotency-Key was already used for "
				    "a different request");
	default:
		return vh_slice_str("no owner of the team's home answered "
				    "in time");
	}
}

static void submit_done(struct home_call *c, enum vh_err err,
			struct vh_slice body)
{
	c->fn.submit(c->ctx, err, body, submit_message(err));
}

static void ops_submit(void *self, const struct vh_submit_request *submit,
		       int64_t timeout_ms,
		       void (*done)(void *ctx, enum vh_err err,
				    struct vh_slice id,
				    struct vh_slice message),
		       void *ctx)
{
	struct home_call *c = call_new(self, VH_METHOD_SUBMIT, timeout_ms);
	bool has_key = submit->key.len > 0;
	struct vh_slice raw_key = has_key ? submit->key : submit->request;
	char *key = g_strdup_printf("%s/%.*s", has_key ? "k" : "r",
				    VH_SLICE_ARGS(raw_key));
	struct vh_buf spec;

	c->done = submit_done;
	c->fn.submit = done;
	c->ctx = ctx;
	set_unit_of_key(c, submit->team, vh_slice_str(key));
	vh_buf_init(&spec);
	vh_job_spec_pack(submit->spec, &spec);
	vh_pack_array(&c->body, 5);
	vh_pack_slice(&c->body, vh_slice_str(c->unit));
	vh_pack_slice(&c->body, vh_slice_str(key));
	vh_pack_u64(&c->body, submit->fingerprint);
	vh_pack_i64(&c->body, CALL_TIMEOUT_MS);
	vh_pack_slice(&c->body, vh_buf_slice(&spec));
	vh_buf_finish(&spec);
	g_free(key);
	call_send(c);
}

static void json_done(struct home_call *c, enum vh_err err,
		      struct vh_slice body)
{
	c->fn.json(c->ctx, err, body);
}

static void call_job(struct vh_jobs *j, unsigned int method,
		     struct vh_slice team, struct vh_slice id, int64_t wait_ms,
		     void (*done)(void *ctx, enum vh_err err,
				  struct vh_slice json),
		     void *ctx)
{
	struct home_call *c = call_new(j, method, GET_TIMEOUT_MS + wait_ms);

	c->done = json_done;
	c->fn.json = done;
	c->ctx = ctx;
	c->call_timeout_ms = wait_ms + GET_MARGIN_MS;
	if (!set_unit_of_job(c, team, id)) {
		call_complete(c, VH_ERR_NOT_FOUND, vh_slice("", 0));
		return;
	}
	vh_pack_array(&c->body, 3);
	vh_pack_slice(&c->body, vh_slice_str(c->unit));
	vh_pack_slice(&c->body, id);
	vh_pack_i64(&c->body, wait_ms);
	call_send(c);
}

static void
ops_get(void *self, struct vh_slice team, struct vh_slice id, int64_t wait_ms,
	void (*done)(void *ctx, enum vh_err err, struct vh_slice json),
	void *ctx)
{
	call_job(self, VH_METHOD_JOB_GET, team, id, wait_ms, done, ctx);
}

static void ops_cancel(void *self, struct vh_slice team, struct vh_slice id,
		       void (*done)(void *ctx, enum vh_err err,
				    struct vh_slice json),
		       void *ctx)
{
	call_job(self, VH_METHOD_JOB_CANCEL, team, id, 0, done, ctx);
}

static void ops_explain(void *self, struct vh_slice id,
			void (*done)(void *ctx, enum vh_err err,
				     struct vh_slice json),
			void *ctx)
{
	call_job(self, VH_METHOD_JOB_GET, vh_slice("", 0), id, 0, done, ctx);
}

static void begin_done(struct home_call *c, enum vh_err err,
		       struct vh_slice body)
{
	struct vh_unpack u;
	uint32_t status = 0;

	if (err == VH_ERR_CANCELLED) {
		vh_unpack_init(&u, body, NULL);
		status = vh_unpack_u32(&u);
		vh_unpack_finish(&u);
	}
	c->fn.begin(c->ctx, err, status);
}

static void ops_request_begin(void *self, const struct vh_team *team,
			      struct vh_slice key, uint64_t fingerprint,
			      void (*done)(void *ctx, enum vh_err err,
					   uint32_t status),
			      void *ctx)
{
	struct home_call *c =
		call_new(self, VH_METHOD_REQUEST_BEGIN, REQUEST_TIMEOUT_MS);

	c->done = begin_done;
	c->fn.begin = done;
	c->ctx = ctx;
	c->at_most_once = true;
	set_unit_of_key(c, team, key);
	vh_pack_array(&c->body, 3);
	vh_pack_slice(&c->body, vh_slice_str(c->unit));
	vh_pack_slice(&c->body, key);
	vh_pack_u64(&c->body, fingerprint);
	call_send(c);
}

static void end_done(struct home_call *c, enum vh_err err, struct vh_slice body)
{
	(void)body;
	c->fn.end(c->ctx, err);
}

static void ops_request_end(void *self, const struct vh_team *team,
			    struct vh_slice key, uint32_t status,
			    void (*done)(void *ctx, enum vh_err err), void *ctx)
{
	struct home_call *c =
		call_new(self, VH_METHOD_REQUEST_END, REQUEST_TIMEOUT_MS);

	c->done = end_done;
	c->fn.end = done;
	c->ctx = ctx;
	set_unit_of_key(c, team, key);
	vh_pack_array(&c->body, 3);
	vh_pack_slice(&c->body, vh_slice_str(c->unit));
	vh_pack_slice(&c->body, key);
	vh_pack_u64(&c->body, status);
	call_send(c);
}

struct vh_jobs *jobs_new(struct vh_core *core)
{
	static const struct vh_jobs_ops ops = {
		.submit = ops_submit,
		.get = ops_get,
		.cancel = ops_cancel,
		.explain = ops_explain,
		.request_begin = ops_request_begin,
		.request_end = ops_request_end,
	};
	struct vh_jobs *j = g_new0(struct vh_jobs, 1);

	j->core = core;
	j->service.name = "jobs";
	j->service.self = j;
	j->service.ops = &ops;
	return j;
}

void jobs_free(struct vh_jobs *j)
{
	if (!j)
		return;
	while (j->calls) {
		struct home_call *c = j->calls;

		j->calls = c->next;
		call_free(c);
	}
	g_free(j);
}

struct vh_service *jobs_service(struct vh_jobs *j)
{
	return &j->service;
}
