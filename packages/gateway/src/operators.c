#include "gateway_impl.h"

#include "vh/delta.h"
#include "vh/invariant.h"

#define EXPLAIN_PREFIX "/v1/explain/"
#define PUBLISH_ID_MAX 64	  /* bytes */
#define HISTORY_DEFAULT_LIMIT 100 /* versions */

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

static void respond_config(struct vh_gateway *g, struct vh_exchange *ex,
			   uint64_t version, struct vh_slice config_text)
{
	const struct vh_config_ops *ops = config_ops(g);
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
	vh_exchange_set_header(ex, "Vh-Version", text);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		   ops->age_ms(g->config->self));
	vh_exchange_set_header(ex, "Vh-Age-Ms", text);
	vh_exchange_respond(ex, 200, "text/plain", config_text);
}

static void get_config(struct vh_gateway *g, struct vh_exchange *ex)
{
	const struct vh_config_ops *ops = config_ops(g);
	uint64_t version = ops->version(g->config->self), requested;
	struct vh_slice param;
	struct vh_buf old_text;

	if (!vh_exchange_query_param(ex, "version", &param)) {
		respond_config(g, ex, version, ops->text(g->config->self));
		return;
	}
	vh_buf_init(&old_text);
	if (!vh_slice_to_u64(param, &requested))
		vh_exchange_respond_error(
			ex, VH_ERR_BAD_REQUEST,
			vh_slice_str("version: must be a number"));
	else if (ops->text_at(g->config->self, requested, &old_text))
		respond_config(g, ex, requested, vh_buf_slice(&old_text));
	else
		vh_exchange_respond_error(
			ex, VH_ERR_NOT_FOUND,
			vh_slice_str("this version is not kept on this node"));
	vh_buf_finish(&old_text);
}

static void get_history(struct vh_gateway *g, struct vh_exchange *ex)
{
	uint64_t limit = HISTORY_DEFAULT_LIMIT;
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
 * struct operator_request - a publish or explain request in progress
 * @ex: NULL after the operator has disconnected
 * @base: version that a published configuration is based on
 * @text: canonical text of a published configuration
 */
struct operator_request {
	struct vh_gateway *g;
	struct vh_exchange *ex;
	uint64_t base;
	struct vh_buf text;
};

static void on_operator_disconnect(void *ctx)
{
	struct operator_request *opreq = ctx;

	vh_exchange_respond_error(opreq->ex, VH_ERR_CANCELLED,
				  vh_slice(NULL, 0));
	opreq->ex = NULL;
}

static void append_group(void *ctx, const struct vh_group_change *c)
{
	struct vh_buf *out = ctx;

	if (out->data[out->len - 1] != '[')
		vh_buf_add_str(out, ",");
	vh_json_append_string(out, c->group);
}

static void respond_superseded(struct operator_request *opreq, uint64_t version)
{
	const struct vh_config_ops *ops = config_ops(opreq->g);
	struct vh_buf out;

	vh_buf_init(&out);
	vh_json_append_error(
		&out, VH_ERR_VERSION_SUPERSEDED, VH_OUTCOME_NOT_RUN,
		vh_slice_str("another publish was committed first"));
	vh_buf_printf(&out,
		      ",\"base\":%" G_GUINT64_FORMAT
		      ",\"version\":%" G_GUINT64_FORMAT ",\"differs\":[",
		      opreq->base, version);
	vh_objects_diff(ops->text(opreq->g->config->self),
			vh_buf_slice(&opreq->text), append_group, &out);
	vh_buf_add_str(&out, "]}");
	vh_exchange_respond_json(opreq->ex,
				 vh_err_info(VH_ERR_VERSION_SUPERSEDED)->status,
				 vh_buf_slice(&out));
	vh_buf_finish(&out);
}

static void on_published(void *ctx, enum vh_err err, uint64_t version,
			 struct vh_slice message)
{
	struct operator_request *opreq = ctx;
	char body[48];

	if (opreq->ex && err == VH_OK) {
		g_snprintf(body, sizeof(body),
			   "{\"version\":%" G_GUINT64_FORMAT "}", version);
		vh_exchange_respond_json(opreq->ex, 200, vh_slice_str(body));
	} else if (opreq->ex && err == VH_ERR_VERSION_SUPERSEDED) {
		respond_superseded(opreq, version);
	} else if (opreq->ex) {
		vh_exchange_respond_error(opreq->ex, err, message);
	}
	vh_buf_finish(&opreq->text);
	g_free(opreq);
}

static void append_problem(struct vh_buf *out, const struct vh_problem *p)
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

static void respond_invalid(struct vh_exchange *ex,
			    const struct vh_problems *problems)
{
	struct vh_buf out;

	vh_buf_init(&out);
	vh_json_append_error(&out, VH_ERR_INVALID_CONFIG, VH_OUTCOME_NOT_RUN,
			     vh_slice_str("the configuration is invalid"));
	vh_buf_add_str(&out, ",\"problems\":[");
	for (size_t i = 0; i < problems->n; i++) {
		if (i)
			vh_buf_add_str(&out, ",");
		append_problem(&out, &problems->items[i]);
	}
	vh_buf_add_str(&out, "]}");
	vh_exchange_respond_json(ex, vh_err_info(VH_ERR_INVALID_CONFIG)->status,
				 vh_buf_slice(&out));
	vh_buf_finish(&out);
}

/* Validates and renders the configuration; false if @ex was responded to. */
static bool validate_config(struct vh_exchange *ex, struct vh_buf *text)
{
	struct vh_ini_source source = { .text = vh_exchange_body(ex) };
	struct vh_problems problems;
	struct vh_objects objects;
	bool ok;

	vh_problems_init(&problems);
	ok = vh_objects_load(&objects, &source, 1, &problems);
	if (ok) {
		vh_objects_render(&objects, text);
		vh_objects_finish(&objects);
	} else {
		respond_invalid(ex, &problems);
	}
	vh_problems_finish(&problems);
	return ok;
}

/* An empty id is valid: the header is optional. */
static bool is_valid_publish_id(struct vh_slice id)
{
	for (size_t i = 0; i < id.len; i++) {
		if (!g_ascii_islower(id.data[i]) &&
		    !g_ascii_isdigit(id.data[i]) && id.data[i] != '-')
			return false;
	}
	return id.len <= PUBLISH_ID_MAX;
}

static void publish(struct vh_gateway *g, struct vh_exchange *ex,
		    const struct vh_operator_token *token)
{
	struct operator_request *opreq;
	struct vh_slice id = vh_exchange_header(ex, "Vh-Publish-Id");
	struct vh_slice base_text;
	uint64_t base;

	if (!vh_exchange_query_param(ex, "base", &base_text) ||
	    !vh_slice_to_u64(base_text, &base)) {
		vh_exchange_respond_error(
			ex, VH_ERR_BAD_REQUEST,
			vh_slice_str("base: must be the version that "
				     "the configuration was made from"));
		return;
	}
	if (!is_valid_publish_id(id)) {
		vh_exchange_respond_error(ex, VH_ERR_BAD_REQUEST,
					  vh_slice_str(
						  "Vh-Publish-Id: 1 to 64 of "
						  "a-z, 0-9 and -"));
		return;
	}
	opreq = g_new0(struct operator_request, 1);
	if (!validate_config(ex, &opreq->text)) {
		g_free(opreq);
		return;
	}
	opreq->g = g;
	opreq->ex = ex;
	opreq->base = base;
	ex->on_disconnect = on_operator_disconnect;
	ex->disconnect_ctx = opreq;
	config_ops(g)->publish(g->config->self, base, token->name, id,
			       vh_buf_slice(&opreq->text), on_published, opreq);
}

static void on_explained(void *ctx, enum vh_err err, struct vh_slice json)
{
	struct operator_request *opreq = ctx;

	if (opreq->ex && err == VH_OK)
		vh_exchange_respond_json(opreq->ex, 200, json);
	else if (opreq->ex)
		vh_exchange_respond_error(opreq->ex, err, vh_slice(NULL, 0));
	g_free(opreq);
}

static void explain(struct vh_gateway *g, struct vh_exchange *ex,
		    struct vh_slice id)
{
	const struct vh_jobs_ops *ops = g->jobs ? g->jobs->ops : NULL;
	struct operator_request *opreq;

	if (!ops) {
		vh_exchange_respond_error(ex, VH_ERR_NOT_READY,
					  vh_slice(NULL, 0));
		return;
	}
	opreq = g_new0(struct operator_request, 1);
	opreq->g = g;
	opreq->ex = ex;
	ex->on_disconnect = on_operator_disconnect;
	ex->disconnect_ctx = opreq;
	ops->explain(g->jobs->self, id, on_explained, opreq);
}

static void respond_view(struct vh_gateway *g, struct vh_exchange *ex,
			 void (*view)(void *self, struct vh_buf *json))
{
	struct vh_buf json;

	vh_buf_init(&json);
	view(g->status->self, &json);
	vh_exchange_respond_json(ex, 200, vh_buf_slice(&json));
	vh_buf_finish(&json);
}

static void append_invariant_metrics(struct vh_buf *out)
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

static void respond_metrics(struct vh_gateway *g, struct vh_exchange *ex)
{
	struct vh_metrics *m = &g->kernel->metrics;
	struct vh_buf out;

	*vh_metrics_gauge(m, "vh_requests_active", "") = g->admission.active;
	*vh_metrics_gauge(m, "vh_requests_waiting", "") =
		(double)g->admission.waiting.n;
	*vh_metrics_gauge(m, "vh_callers_connections", "") =
		(double)vh_listener_connections(g->callers);
	vh_buf_init(&out);
	vh_metrics_render(m, &out);
	append_invariant_metrics(&out);
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
			 const struct vh_operator_token *token)
{
	if (!config_ops(g)) {
		vh_exchange_respond_error(ex, VH_ERR_NOT_READY,
					  vh_slice(NULL, 0));
	} else if (vh_slice_eq_str(path, "/v1/config/history")) {
		get_history(g, ex);
	} else if (is_get(ex)) {
		get_config(g, ex);
	} else if (vh_exchange_method(ex) == EVHTTP_REQ_POST) {
		publish(g, ex, token);
	} else {
		vh_exchange_respond_error(ex, VH_ERR_METHOD_NOT_ALLOWED,
					  vh_slice(NULL, 0));
	}
}

static bool serve_status_view(struct vh_gateway *g, struct vh_exchange *ex,
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
			respond_view(g, ex, views[i].view);
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
	const struct vh_operator_token *token;
	size_t n = strlen(EXPLAIN_PREFIX);

	if (serve_health(g, ex, path))
		return;
	token = find_operator(g, ex);
	if (!token) {
		vh_exchange_set_header(ex, "WWW-Authenticate", "Bearer");
		vh_exchange_respond_error(
			ex, VH_ERR_UNAUTHENTICATED,
			vh_slice_str("missing or invalid token"));
		return;
	}
	if (vh_slice_eq_str(path, "/metrics"))
		respond_metrics(g, ex);
	else if (vh_slice_eq_str(path, "/v1/config") ||
		 vh_slice_eq_str(path, "/v1/config/history"))
		serve_config(g, ex, path, token);
	else if (vh_slice_eq_str(path, "/v1/drain"))
		serve_drain(g, ex);
	else if (path.len > n && !memcmp(path.data, EXPLAIN_PREFIX, n))
		explain(g, ex, vh_slice(path.data + n, path.len - n));
	else if (!serve_status_view(g, ex, path))
		vh_exchange_respond_error(ex, VH_ERR_NOT_FOUND,
					  vh_slice_str("no such path"));
}
