#include "gateway_impl.h"

#include "vh/delta.h"
#include "vh/invariant.h"

#define EXPLAIN "/v1/explain/"
#define PUBLISH_ID_MAX 64 /* bytes */
#define HISTORY_LIMIT 100

static const struct vh_config_ops *config_ops(const struct vh_gateway *g)
{
	return g->config ? g->config->ops : NULL;
}

static bool is_get(const struct vh_exchange *ex)
{
	return vh_exchange_method(ex) == EVHTTP_REQ_GET;
}

static const struct vh_operator_token *
find_operator(const struct vh_gateway *g, const struct vh_exchange *ex)
{
	const struct vh_operator_token *found = NULL;
	struct vh_slice token = vh_exchange_bearer_token(ex);
	unsigned char hash[VH_KEY_HASH_BYTES];

	vh_key_hash(token, hash);
	for (size_t i = 0; i < g->settings.n_operators; i++) {
		const struct vh_operator_token *t = &g->settings.operators[i];

		if (vh_slice_eq_consttime(
			    vh_slice((const char *)t->hash, sizeof(t->hash)),
			    vh_slice((const char *)hash, sizeof(hash))))
			found = t;
	}
	return token.len ? found : NULL;
}

static void answer_set(struct vh_gateway *g, struct vh_exchange *ex,
		       uint64_t version, struct vh_slice set)
{
	const struct vh_config_ops *ops = config_ops(g);
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
	vh_exchange_set_header(ex, "Vh-Version", text);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		   ops->age_ms(g->config->self));
	vh_exchange_set_header(ex, "Vh-Age-Ms", text);
	vh_exchange_respond(ex, 200, "text/plain", set);
}

static void get_config(struct vh_gateway *g, struct vh_exchange *ex)
{
	const struct vh_config_ops *ops = config_ops(g);
	uint64_t version = ops->version(g->config->self), wanted;
	struct vh_slice param;
	struct vh_buf old;

	if (!vh_exchange_query_param(ex, "version", &param)) {
		answer_set(g, ex, version, ops->text(g->config->self));
		return;
	}
	vh_buf_init(&old);
	if (!vh_slice_to_u64(param, &wanted))
		vh_exchange_respond_error(
			ex, VH_ERR_BAD_REQUEST,
			vh_slice_str("version: must be a number"));
	else if (ops->text_at(g->config->self, wanted, &old))
		answer_set(g, ex, wanted, vh_buf_slice(&old));
	else
		vh_exchange_respond_error(
			ex, VH_ERR_NOT_FOUND,
			vh_slice_str("version is not kept here"));
	vh_buf_finish(&old);
}

static void get_history(struct vh_gateway *g, struct vh_exchange *ex)
{
	uint64_t limit = HISTORY_LIMIT;
	struct vh_slice param;
	struct vh_buf json;

	if (vh_exchange_query_param(ex, "limit", &param) &&
	    !vh_slice_to_u64(param, &limit)) {
		vh_exchange_respond_error(
			ex, VH_ERR_BAD_REQUEST,
			vh_slice_str("limit: must be a number"));
		return;
	}
	vh_buf_init(&json);
	config_ops(g)->history(g->config->self, limit, &json);
	vh_exchange_respond_json(ex, 200, vh_buf_slice(&json));
	vh_buf_finish(&json);
}

/**
 * struct publication - a publish under way
 * @ex: NULL once the operator has gone
 * @text: canonical text of the set
 */
struct publication {
	struct vh_gateway *g;
	struct vh_exchange *ex;
	uint64_t base;
	struct vh_buf text;
};

static void operator_gone(void *ctx)
{
	struct publication *p = ctx;

	vh_exchange_respond_error(p->ex, VH_ERR_CANCELLED, vh_slice(NULL, 0));
	p->ex = NULL;
}

static void add_group(void *ctx, const struct vh_group_change *c)
{
	struct vh_buf *out = ctx;

	if (out->data[out->len - 1] != '[')
		vh_buf_add_str(out, ",");
	vh_json_append_string(out, c->group);
}

static void answer_superseded(struct publication *p, uint64_t version)
{
	const struct vh_config_ops *ops = config_ops(p->g);
	struct vh_buf out;

	vh_buf_init(&out);
	vh_json_append_error(&out, VH_ERR_VERSION_SUPERSEDED,
			     VH_OUTCOME_NOT_RUN,
			     vh_slice_str("another publish came first"));
	vh_buf_printf(&out,
		      ",\"base\":%" G_GUINT64_FORMAT
		      ",\"version\":%" G_GUINT64_FORMAT ",\"differs\":[",
		      p->base, version);
	vh_objects_diff(ops->text(p->g->config->self), vh_buf_slice(&p->text),
			add_group, &out);
	vh_buf_add_str(&out, "]}");
	vh_exchange_respond_json(p->ex,
				 vh_err_info(VH_ERR_VERSION_SUPERSEDED)->status,
				 vh_buf_slice(&out));
	vh_buf_finish(&out);
}

static void published(void *ctx, enum vh_err err, uint64_t version,
		      struct vh_slice message)
{
	struct publication *p = ctx;
	char body[48];

	if (p->ex && err == VH_OK) {
		g_snprintf(body, sizeof(body),
			   "{\"version\":%" G_GUINT64_FORMAT "}", version);
		vh_exchange_respond_json(p->ex, 200, vh_slice_str(body));
	} else if (p->ex && err == VH_ERR_VERSION_SUPERSEDED) {
		answer_superseded(p, version);
	} else if (p->ex) {
		vh_exchange_respond_error(p->ex, err, message);
	}
	vh_buf_finish(&p->text);
	g_free(p);
}

static void add_problem(struct vh_buf *out, const struct vh_problem *p)
{
	vh_buf_add_str(out, "{\"file\":");
	vh_json_append_string(out, vh_slice_str(p->file));
	vh_buf_add_str(out, ",\"group\":");
	vh_json_append_string(out, vh_slice_str(p->group));
	vh_buf_add_str(out, ",\"key\":");
	vh_json_append_string(out, vh_slice_str(p->key));
	vh_buf_add_str(out, ",\"text\":");
	vh_json_append_string(out, vh_slice_str(p->text));
	vh_buf_printf(out, ",\"warning\":%s}", p->warning ? "true" : "false");
}

static void answer_invalid(struct vh_exchange *ex,
			   const struct vh_problems *problems)
{
	struct vh_buf out;

	vh_buf_init(&out);
	vh_json_append_error(&out, VH_ERR_INVALID_CONFIG, VH_OUTCOME_NOT_RUN,
			     vh_slice_str("the set has mistakes"));
	vh_buf_add_str(&out, ",\"problems\":[");
	for (size_t i = 0; i < problems->n; i++) {
		if (i)
			vh_buf_add_str(&out, ",");
		add_problem(&out, &problems->items[i]);
	}
	vh_buf_add_str(&out, "]}");
	vh_exchange_respond_json(ex, vh_err_info(VH_ERR_INVALID_CONFIG)->status,
				 vh_buf_slice(&out));
	vh_buf_finish(&out);
}

/* Checks the set and renders it; false when @ex has been answered. */
static bool check_set(struct vh_exchange *ex, struct vh_buf *text)
{
	struct vh_source source = { .text = vh_exchange_body(ex) };
	struct vh_problems problems;
	struct vh_objects set;
	bool ok;

	vh_problems_init(&problems);
	ok = vh_objects_load(&set, &source, 1, &problems);
	if (ok) {
		vh_objects_render(&set, text);
		vh_objects_finish(&set);
	} else {
		answer_invalid(ex, &problems);
	}
	vh_problems_finish(&problems);
	return ok;
}

/* Empty is valid: the header is optional. */
static bool valid_publish_id(struct vh_slice id)
{
	for (size_t i = 0; i < id.len; i++) {
		if (!g_ascii_islower(id.data[i]) &&
		    !g_ascii_isdigit(id.data[i]) && id.data[i] != '-')
			return false;
	}
	return id.len <= PUBLISH_ID_MAX;
}

static void publish(struct vh_gateway *g, struct vh_exchange *ex,
		    const struct vh_operator_token *who)
{
	struct publication *p;
	struct vh_slice id = vh_exchange_header(ex, "Vh-Publish-Id");
	struct vh_slice base_text;
	uint64_t base;

	if (!vh_exchange_query_param(ex, "base", &base_text) ||
	    !vh_slice_to_u64(base_text, &base)) {
		vh_exchange_respond_error(
			ex, VH_ERR_BAD_REQUEST,
			vh_slice_str("base: must be the version that "
				     "the set was made from"));
		return;
	}
	if (!valid_publish_id(id)) {
		vh_exchange_respond_error(ex, VH_ERR_BAD_REQUEST,
					  vh_slice_str(
						  "Vh-Publish-Id: 1 to 64 of "
						  "a-z, 0-9 and -"));
		return;
	}
	p = g_new0(struct publication, 1);
	if (!check_set(ex, &p->text)) {
		g_free(p);
		return;
	}
	p->g = g;
	p->ex = ex;
	p->base = base;
	ex->on_gone = operator_gone;
	ex->gone_ctx = p;
	config_ops(g)->publish(g->config->self, base, who->name, id,
			       vh_buf_slice(&p->text), published, p);
}

static void explained(void *ctx, enum vh_err err, struct vh_slice json)
{
	struct publication *p = ctx;

	if (p->ex && err == VH_OK)
		vh_exchange_respond_json(p->ex, 200, json);
	else if (p->ex)
		vh_exchange_respond_error(p->ex, err, vh_slice(NULL, 0));
	g_free(p);
}

static void explain(struct vh_gateway *g, struct vh_exchange *ex,
		    struct vh_slice id)
{
	const struct vh_jobs_ops *ops = g->jobs ? g->jobs->ops : NULL;
	struct publication *p;

	if (!ops) {
		vh_exchange_respond_error(ex, VH_ERR_NOT_READY,
					  vh_slice(NULL, 0));
		return;
	}
	p = g_new0(struct publication, 1);
	p->g = g;
	p->ex = ex;
	ex->on_gone = operator_gone;
	ex->gone_ctx = p;
	ops->explain(g->jobs->self, id, explained, p);
}

static void answer_view(struct vh_gateway *g, struct vh_exchange *ex,
			void (*view)(void *self, struct vh_buf *json))
{
	struct vh_buf json;

	vh_buf_init(&json);
	view(g->status->self, &json);
	vh_exchange_respond_json(ex, 200, vh_buf_slice(&json));
	vh_buf_finish(&json);
}

static void add_invariants(struct vh_buf *out)
{
	vh_buf_add_str(out, "# TYPE vh_invariant_checked_total counter\n");
	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		vh_buf_printf(out,
			      "vh_invariant_checked_total{invariant=\"%s\"} "
			      "%" G_GUINT64_FORMAT "\n",
			      vh_invariant_name((enum vh_invariant_id)i),
			      vh_invariant_checked((enum vh_invariant_id)i));
	vh_buf_add_str(out, "# TYPE vh_invariant_violated_total counter\n");
	for (int i = 0; i < VH_INVARIANT_COUNT; i++)
		vh_buf_printf(out,
			      "vh_invariant_violated_total{invariant=\"%s\"} "
			      "%" G_GUINT64_FORMAT "\n",
			      vh_invariant_name((enum vh_invariant_id)i),
			      vh_invariant_violated((enum vh_invariant_id)i));
}

static void answer_metrics(struct vh_gateway *g, struct vh_exchange *ex)
{
	struct vh_metrics *m = &g->kernel->metrics;
	struct vh_buf out;

	*vh_metrics_gauge(m, "vh_requests_active", "") = g->admit.active;
	*vh_metrics_gauge(m, "vh_requests_waiting", "") =
		(double)g->admit.waiting.n;
	*vh_metrics_gauge(m, "vh_callers_connections", "") =
		(double)vh_listener_connections(g->callers);
	vh_buf_init(&out);
	vh_metrics_render(m, &out);
	add_invariants(&out);
	vh_exchange_respond(ex, 200, "text/plain; version=0.0.4",
			    vh_buf_slice(&out));
	vh_buf_finish(&out);
}

static bool serve_health(struct vh_gateway *g, struct vh_exchange *ex,
			 struct vh_slice path)
{
	bool ready = vh_gateway_objects(g) && vh_gateway_trusts_keys(g) &&
		     !g->draining;

	if (vh_slice_eq_str(path, "/healthz")) {
		vh_exchange_respond(ex, 200, "text/plain",
				    vh_slice_str("ok\n"));
		return true;
	}
	if (!vh_slice_eq_str(path, "/readyz"))
		return false;
	if (ready)
		vh_exchange_respond(ex, 200, "text/plain",
				    vh_slice_str("ready\n"));
	else
		vh_exchange_respond_error(
			ex, g->draining ? VH_ERR_DRAINING : VH_ERR_NOT_READY,
			vh_slice(NULL, 0));
	return true;
}

static void serve_config(struct vh_gateway *g, struct vh_exchange *ex,
			 struct vh_slice path,
			 const struct vh_operator_token *who)
{
	if (!config_ops(g)) {
		vh_exchange_respond_error(ex, VH_ERR_NOT_READY,
					  vh_slice(NULL, 0));
	} else if (vh_slice_eq_str(path, "/v1/config/history")) {
		get_history(g, ex);
	} else if (is_get(ex)) {
		get_config(g, ex);
	} else if (vh_exchange_method(ex) == EVHTTP_REQ_POST) {
		publish(g, ex, who);
	} else {
		vh_exchange_respond_error(ex, VH_ERR_METHOD_NOT_ALLOWED,
					  vh_slice(NULL, 0));
	}
}

static bool serve_views(struct vh_gateway *g, struct vh_exchange *ex,
			struct vh_slice path)
{
	const struct vh_status_ops *ops = g->status ? g->status->ops : NULL;
	const struct {
		const char *path;
		void (*view)(void *self, struct vh_buf *json);
	} views[] = {
		{ "/v1/status", ops ? ops->status : NULL },
		{ "/v1/nodes", ops ? ops->nodes : NULL },
		{ "/v1/workers", ops ? ops->workers : NULL },
		{ "/v1/jobs", ops ? ops->jobs : NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
		if (!vh_slice_eq_str(path, views[i].path))
			continue;
		if (views[i].view)
			answer_view(g, ex, views[i].view);
		else
			vh_exchange_respond_error(ex, VH_ERR_NOT_READY,
						  vh_slice(NULL, 0));
		return true;
	}
	return false;
}

static void serve_drain(struct vh_gateway *g, struct vh_exchange *ex)
{
	if (vh_exchange_method(ex) != EVHTTP_REQ_POST) {
		vh_exchange_respond_error(ex, VH_ERR_METHOD_NOT_ALLOWED,
					  vh_slice(NULL, 0));
		return;
	}
	vh_exchange_respond_json(ex, 202, vh_slice_str("{\"draining\":true}"));
	vh_kernel_drain(g->kernel);
}

void vh_operators_handle(void *gateway, struct vh_exchange *ex)
{
	struct vh_gateway *g = gateway;
	struct vh_slice path = vh_exchange_path(ex);
	const struct vh_operator_token *who;
	size_t n = strlen(EXPLAIN);

	if (serve_health(g, ex, path))
		return;
	who = find_operator(g, ex);
	if (!who) {
		vh_exchange_set_header(ex, "WWW-Authenticate", "Bearer");
		vh_exchange_respond_error(ex, VH_ERR_UNAUTHENTICATED,
					  vh_slice_str("no valid token"));
		return;
	}
	if (vh_slice_eq_str(path, "/metrics"))
		answer_metrics(g, ex);
	else if (vh_slice_eq_str(path, "/v1/config") ||
		 vh_slice_eq_str(path, "/v1/config/history"))
		serve_config(g, ex, path, who);
	else if (vh_slice_eq_str(path, "/v1/drain"))
		serve_drain(g, ex);
	else if (path.len > n && !memcmp(path.data, EXPLAIN, n))
		explain(g, ex, vh_slice(path.data + n, path.len - n));
	else if (!serve_views(g, ex, path))
		vh_exchange_respond_error(ex, VH_ERR_NOT_FOUND,
					  vh_slice_str("no such path"));
}
