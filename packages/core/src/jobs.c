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
	struct ask *asks;
};

/* One question to a home, asked until it is answered or the time is up. */
struct ask {
	struct ask *next;
	struct vh_jobs *jobs;
	struct vh_timer timer;
	char unit[VH_UNIT_MAX + 1];
	unsigned int method;
	struct vh_buf body;
	int64_t deadline_ms;
	int64_t call_timeout_ms;
	bool once;    /* never repeated after an unknown outcome */
	bool unknown; /* some try may have taken effect */
	enum vh_err last;
	void (*done)(struct ask *a, enum vh_err err, struct vh_slice body);
	union {
		void (*submit)(void *ctx, enum vh_err err, struct vh_slice id,
			       struct vh_slice message);
		void (*json)(void *ctx, enum vh_err err, struct vh_slice json);
		void (*begin)(void *ctx, enum vh_err err, uint32_t status);
		void (*end)(void *ctx, enum vh_err err);
	} fn;
	void *ctx;
};

static void ask_free(struct ask *a)
{
	vh_timer_finish(&a->timer);
	vh_buf_finish(&a->body);
	g_free(a);
}

static void ask_release(void *ctx)
{
	struct ask *a = ctx;
	struct ask **at = &a->jobs->asks;

	while (*at != a)
		at = &(*at)->next;
	*at = a->next;
	ask_free(a);
}

static void ask_end(struct ask *a, enum vh_err err, struct vh_slice body)
{
	vh_timer_stop(&a->timer);
	a->done(a, err, body);
	vh_kernel_defer(a->jobs->core->kernel, ask_release, a);
}

static void ask_try(void *ctx);

/* Kinds after which another try can help. */
static bool worth_retry(enum vh_err err)
{
	return err == VH_ERR_NOT_OWNER || err == VH_ERR_NOT_READY ||
	       err == VH_ERR_UNREACHABLE || err == VH_ERR_UNKNOWN_OUTCOME ||
	       err == VH_ERR_STALE_EPOCH;
}

static void ask_again(struct ask *a, enum vh_err err)
{
	int64_t now = vh_kernel_now_ms(a->jobs->core->kernel);

	a->last = err;
	a->unknown = a->unknown || err == VH_ERR_UNKNOWN_OUTCOME;
	if (now + RETRY_MS < a->deadline_ms && !(a->once && a->unknown)) {
		vh_timer_start(&a->timer, RETRY_MS);
		return;
	}
	ask_end(a, a->unknown ? VH_ERR_UNKNOWN_OUTCOME : a->last,
		vh_slice("", 0));
}

static void ask_answered(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct ask *a = ctx;

	/* An earlier try may have taken effect: no word of "not run" now. */
	if (a->unknown && err == VH_ERR_LOG_UNAVAILABLE)
		err = VH_ERR_UNKNOWN_OUTCOME;
	if (worth_retry(err) && !(a->once && err == VH_ERR_UNKNOWN_OUTCOME &&
				  a->method == VH_METHOD_REQUEST_BEGIN))
		ask_again(a, err);
	else
		ask_end(a, err, body);
}

static void ask_try(void *ctx)
{
	struct ask *a = ctx;
	int64_t now = vh_kernel_now_ms(a->jobs->core->kernel);
	int64_t left = a->deadline_ms - now;
	struct vh_claim claim;

	if (!owners_get(a->jobs->core->owners, vh_slice_str(a->unit), &claim)) {
		ask_again(a, VH_ERR_NOT_READY);
		return;
	}
	vh_peer_call(a->jobs->core->peer, claim.node, a->method,
		     vh_buf_slice(&a->body),
		     left < a->call_timeout_ms ? left : a->call_timeout_ms,
		     ask_answered, a);
}

static struct ask *ask_new(struct vh_jobs *j, unsigned int method,
			   int64_t timeout_ms)
{
	struct ask *a = g_new0(struct ask, 1);

	a->jobs = j;
	a->method = method;
	a->last = VH_ERR_NOT_READY;
	a->deadline_ms = vh_kernel_now_ms(j->core->kernel) + timeout_ms;
	a->call_timeout_ms = CALL_TIMEOUT_MS;
	vh_timer_init(&a->timer, j->core->kernel, ask_try, a);
	a->next = j->asks;
	j->asks = a;
	return a;
}

/* The home of @team that @key belongs to. */
static void unit_of_key(struct ask *a, const struct vh_team *team,
			struct vh_slice key)
{
	uint32_t k = (uint32_t)(vh_slice_hash(key, 0) % team->homes);

	g_snprintf(a->unit, sizeof(a->unit), "home/%.*s/%u",
		   VH_SLICE_ARGS(team->name), k);
}

/* "TEAM.K.EPOCH.N" to "home/TEAM/K"; false if it is another team's or none. */
static bool unit_of_job(struct ask *a, struct vh_slice team, struct vh_slice id)
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
	g_snprintf(a->unit, sizeof(a->unit), "home/%.*s/%.*s", (int)len,
		   id.data, (int)(end - dot - 1), dot + 1);
	return true;
}

static struct vh_slice explain_error(enum vh_err err)
{
	switch (err) {
	case VH_OK:
		return vh_slice_str("");
	case VH_ERR_LOG_UNAVAILABLE:
		return vh_slice_str("the platform's log takes no records now");
	case VH_ERR_UNKNOWN_OUTCOME:
		return vh_slice_str("the job may have been accepted; send it "
				    "again with the same Idempotency-Key");
	case VH_ERR_CONFLICT:
		return vh_slice_str("this Idempotency-Key was used for another "
				    "request");
	default:
		return vh_slice_str("the team's home cannot be reached now");
	}
}

static void submit_done(struct ask *a, enum vh_err err, struct vh_slice body)
{
	a->fn.submit(a->ctx, err, body, explain_error(err));
}

static void ops_submit(void *self, const struct vh_submit_request *submit,
		       int64_t timeout_ms,
		       void (*done)(void *ctx, enum vh_err err,
				    struct vh_slice id,
				    struct vh_slice message),
		       void *ctx)
{
	struct ask *a = ask_new(self, VH_METHOD_SUBMIT, timeout_ms);
	bool has_key = submit->key.len > 0;
	struct vh_slice given = has_key ? submit->key : submit->request;
	char *key = g_strdup_printf("%s/%.*s", has_key ? "k" : "r",
				    VH_SLICE_ARGS(given));
	struct vh_buf spec;

	a->done = submit_done;
	a->fn.submit = done;
	a->ctx = ctx;
	unit_of_key(a, submit->team, vh_slice_str(key));
	vh_buf_init(&spec);
	vh_job_spec_pack(submit->spec, &spec);
	vh_pack_array(&a->body, 5);
	vh_pack_slice(&a->body, vh_slice_str(a->unit));
	vh_pack_slice(&a->body, vh_slice_str(key));
	vh_pack_u64(&a->body, submit->fingerprint);
	vh_pack_i64(&a->body, CALL_TIMEOUT_MS);
	vh_pack_slice(&a->body, vh_buf_slice(&spec));
	vh_buf_finish(&spec);
	g_free(key);
	ask_try(a);
}

static void json_done(struct ask *a, enum vh_err err, struct vh_slice body)
{
	a->fn.json(a->ctx, err, body);
}

static void ask_job(struct vh_jobs *j, unsigned int method,
		    struct vh_slice team, struct vh_slice id, int64_t wait_ms,
		    void (*done)(void *ctx, enum vh_err err,
				 struct vh_slice json),
		    void *ctx)
{
	struct ask *a = ask_new(j, method, GET_TIMEOUT_MS + wait_ms);

	a->done = json_done;
	a->fn.json = done;
	a->ctx = ctx;
	a->call_timeout_ms = wait_ms + GET_MARGIN_MS;
	if (!unit_of_job(a, team, id)) {
		ask_end(a, VH_ERR_NOT_FOUND, vh_slice("", 0));
		return;
	}
	vh_pack_array(&a->body, 3);
	vh_pack_slice(&a->body, vh_slice_str(a->unit));
	vh_pack_slice(&a->body, id);
	vh_pack_i64(&a->body, wait_ms);
	ask_try(a);
}

static void
ops_get(void *self, struct vh_slice team, struct vh_slice id, int64_t wait_ms,
	void (*done)(void *ctx, enum vh_err err, struct vh_slice json),
	void *ctx)
{
	ask_job(self, VH_METHOD_JOB_GET, team, id, wait_ms, done, ctx);
}

static void ops_cancel(void *self, struct vh_slice team, struct vh_slice id,
		       void (*done)(void *ctx, enum vh_err err,
				    struct vh_slice json),
		       void *ctx)
{
	ask_job(self, VH_METHOD_JOB_CANCEL, team, id, 0, done, ctx);
}

static void ops_explain(void *self, struct vh_slice id,
			void (*done)(void *ctx, enum vh_err err,
				     struct vh_slice json),
			void *ctx)
{
	ask_job(self, VH_METHOD_JOB_GET, vh_slice("", 0), id, 0, done, ctx);
}

static void begin_done(struct ask *a, enum vh_err err, struct vh_slice body)
{
	struct vh_unpack u;
	uint32_t status = 0;

	if (err == VH_ERR_CANCELLED) {
		vh_unpack_init(&u, body, NULL);
		status = vh_unpack_u32(&u);
		vh_unpack_finish(&u);
	}
	a->fn.begin(a->ctx, err, status);
}

static void ops_request_begin(void *self, const struct vh_team *team,
			      struct vh_slice key, uint64_t fingerprint,
			      void (*done)(void *ctx, enum vh_err err,
					   uint32_t status),
			      void *ctx)
{
	struct ask *a =
		ask_new(self, VH_METHOD_REQUEST_BEGIN, REQUEST_TIMEOUT_MS);

	a->done = begin_done;
	a->fn.begin = done;
	a->ctx = ctx;
	a->once = true;
	unit_of_key(a, team, key);
	vh_pack_array(&a->body, 3);
	vh_pack_slice(&a->body, vh_slice_str(a->unit));
	vh_pack_slice(&a->body, key);
	vh_pack_u64(&a->body, fingerprint);
	ask_try(a);
}

static void end_done(struct ask *a, enum vh_err err, struct vh_slice body)
{
	(void)body;
	a->fn.end(a->ctx, err);
}

static void ops_request_end(void *self, const struct vh_team *team,
			    struct vh_slice key, uint32_t status,
			    void (*done)(void *ctx, enum vh_err err), void *ctx)
{
	struct ask *a =
		ask_new(self, VH_METHOD_REQUEST_END, REQUEST_TIMEOUT_MS);

	a->done = end_done;
	a->fn.end = done;
	a->ctx = ctx;
	unit_of_key(a, team, key);
	vh_pack_array(&a->body, 3);
	vh_pack_slice(&a->body, vh_slice_str(a->unit));
	vh_pack_slice(&a->body, key);
	vh_pack_u64(&a->body, status);
	ask_try(a);
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
	while (j->asks) {
		struct ask *a = j->asks;

		j->asks = a->next;
		ask_free(a);
	}
	g_free(j);
}

struct vh_service *jobs_service(struct vh_jobs *j)
{
	return &j->service;
}
