#include "gateway_impl.h"

#include <event2/util.h>

#include "upstream.h"

#define MAX_HEADER_BYTES 16384
#define OPERATORS_MAX_BODY_BYTES (1u << 20)
#define OPERATORS_MAX_CONNECTIONS 256
#define DEFAULT_MAX_BODY_BYTES (16u << 20)
#define DEFAULT_MAX_CONNECTIONS 10240
#define DEFAULT_READ_TIMEOUT_MS 10000
#define DEFAULT_IDLE_TIMEOUT_MS 60000
#define DEFAULT_MAX_ACTIVE 2048
#define DEFAULT_BUFFERED_BYTES (32u << 20)
#define DEFAULT_CONFIG_MAX_AGE_MS 5000
#define DEFAULT_DRAIN_SETTLE_MS 1000
#define MAX_WAITING_PER_ACTIVE 2 /* queue limit as a multiple of max_active */
#define TICK_INTERVAL_MS 500

const struct vh_objects *vh_gateway_objects(const struct vh_gateway *g)
{
	const struct vh_config_ops *ops = g->config ? g->config->ops : NULL;

	return ops ? ops->objects(g->config->self) : NULL;
}

/* Nodes that are alive or leaving; this node is nodes[0] and is included. */
static size_t count_live_nodes(const struct vh_gateway *g)
{
	const struct vh_node *nodes;
	size_t n, live = 1;

	if (!g->peer)
		return 1;
	n = vh_peer_nodes(g->peer, &nodes);
	for (size_t i = 1; i < n; i++)
		live += nodes[i].state == VH_NODE_ALIVE ||
			nodes[i].state == VH_NODE_LEAVING;
	return live;
}

bool vh_gateway_trusts_keys(struct vh_gateway *g)
{
	const struct vh_config_ops *ops = g->config ? g->config->ops : NULL;

	if (!ops)
		return false;
	return vh_key_trust_update(&g->key_trust, ops->age_ms(g->config->self),
				   count_live_nodes(g));
}

void vh_gateway_make_request_id(struct vh_gateway *g,
				char id[VH_REQUEST_ID_MAX])
{
	g_snprintf(id, VH_REQUEST_ID_MAX,
		   "%.*s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
		   VH_SLICE_ARGS(g->settings.node), g->incarnation,
		   ++g->last_request_seq);
}

int64_t vh_gateway_now_us(const struct vh_gateway *g)
{
	struct timespec t = g->kernel->clock->mono(g->kernel->clock->ctx);

	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

void vh_gateway_count_refusal(struct vh_gateway *g, const char *team,
			      enum vh_err err)
{
	char labels[128];

	g_snprintf(labels, sizeof(labels), "team=\"%s\",kind=\"%s\"", team,
		   vh_err_info(err)->name);
	++*vh_metrics_counter(&g->kernel->metrics, "vh_refusals_total", labels);
}

struct vh_latency_stats *vh_gateway_latency_stats(struct vh_gateway *g,
						  const char *team,
						  enum vh_class cls)
{
	struct vh_metrics *m = &g->kernel->metrics;
	struct vh_latency_stats *s = g->latency_stats;
	char labels[96];

	while (s && (s->cls != cls || strcmp(s->team, team)))
		s = s->next;
	if (s)
		return s;
	s = g_new0(struct vh_latency_stats, 1);
	g_strlcpy(s->team, team, sizeof(s->team));
	s->cls = cls;
	g_snprintf(labels, sizeof(labels), "team=\"%s\",class=\"%s\"", team,
		   vh_class_name(cls));
	s->waiting =
		vh_metrics_histogram(m, "vh_request_waiting_seconds", labels);
	s->service =
		vh_metrics_histogram(m, "vh_request_service_seconds", labels);
	s->total = vh_metrics_histogram(m, "vh_request_total_seconds", labels);
	s->next = g->latency_stats;
	g->latency_stats = s;
	return s;
}

static void on_config_changed(void *ctx)
{
	vh_request_recheck_keys(ctx);
}

static void on_tick(void *ctx)
{
	struct vh_gateway *g = ctx;

	g->admission.nodes = (uint32_t)count_live_nodes(g);
	vh_gateway_trusts_keys(g);
	vh_upstream_close_idle(g);
	vh_timer_start(&g->tick_timer, TICK_INTERVAL_MS);
}

static void on_cleanup(void *ctx)
{
	struct vh_gateway *g = ctx;

	vh_request_free_completed(g);
	vh_upstream_free_closed(g);
}

static bool gateway_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_gateway *g = self;
	struct vh_service *peer = vh_kernel_find(kernel, "peer");

	g->config = vh_kernel_find(kernel, "config");
	g->jobs = vh_kernel_find(kernel, "jobs");
	g->upstreams = vh_kernel_find(kernel, "upstreams");
	g->status = vh_kernel_find(kernel, "status");
	if (peer) {
		g->peer = peer->self;
		g->incarnation = vh_peer_self(g->peer)->incarnation;
	}
	if (g->config) {
		const struct vh_config_ops *ops = g->config->ops;

		ops->watch(g->config->self, on_config_changed, g);
	}
	if (!vh_listener_start(g->operators, err) ||
	    !vh_listener_start(g->callers, err))
		return false;
	vh_timer_start(&g->tick_timer, 0);
	return true;
}

static void on_callers_drained(void *ctx)
{
	struct vh_gateway *g = ctx;

	vh_kernel_drained(g->kernel, &g->service);
}

static void gateway_drain(void *self)
{
	struct vh_gateway *g = self;

	g->draining = true;
	vh_listener_drain(g->callers, g->settings.drain_settle_ms,
			  on_callers_drained, g);
	vh_callers_end_long_polls(g);
}

static void gateway_stop(void *self)
{
	struct vh_gateway *g = self;

	vh_timer_stop(&g->tick_timer);
}

static struct vh_slice copy_slice(struct vh_slice s)
{
	return vh_slice(vh_slice_dup(s), s.len);
}

static void copy_settings(struct vh_gateway_settings *to,
			  const struct vh_gateway_settings *from)
{
	struct vh_operator_token *tokens =
		g_new0(struct vh_operator_token, from->n_operators + 1);

	*to = *from;
	to->node = copy_slice(from->node);
	to->region = copy_slice(from->region);
	to->zone = copy_slice(from->zone);
	to->callers_address = copy_slice(from->callers_address);
	to->operators_address = copy_slice(from->operators_address);
	for (size_t i = 0; i < from->n_operators; i++) {
		tokens[i] = from->operators[i];
		tokens[i].name = copy_slice(from->operators[i].name);
	}
	to->operators = tokens;
	if (!to->max_body_bytes)
		to->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	if (!to->max_connections)
		to->max_connections = DEFAULT_MAX_CONNECTIONS;
	if (!to->read_timeout_ms)
		to->read_timeout_ms = DEFAULT_READ_TIMEOUT_MS;
	if (!to->idle_timeout_ms)
		to->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	if (!to->max_active)
		to->max_active = DEFAULT_MAX_ACTIVE;
	if (!to->buffered_bytes)
		to->buffered_bytes = DEFAULT_BUFFERED_BYTES;
	if (!to->config_max_age_ms)
		to->config_max_age_ms = DEFAULT_CONFIG_MAX_AGE_MS;
	if (!to->drain_settle_ms)
		to->drain_settle_ms = DEFAULT_DRAIN_SETTLE_MS;
}

static void free_settings(struct vh_gateway_settings *s)
{
	for (size_t i = 0; i < s->n_operators; i++)
		g_free((char *)s->operators[i].name.data);
	g_free((struct vh_operator_token *)s->operators);
	g_free((char *)s->node.data);
	g_free((char *)s->region.data);
	g_free((char *)s->zone.data);
	g_free((char *)s->callers_address.data);
	g_free((char *)s->operators_address.data);
}

static void create_listeners(struct vh_gateway *g)
{
	const struct vh_gateway_settings *s = &g->settings;
	struct vh_listener_settings callers = {
		.name = "callers",
		.address = s->callers_address,
		.port = s->callers_port,
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_body_bytes = s->max_body_bytes,
		.max_connections = s->max_connections,
		.read_timeout_ms = s->read_timeout_ms,
		.idle_timeout_ms = s->idle_timeout_ms,
		.buffered_bytes = s->buffered_bytes,
		.handle = vh_callers_handle,
		.ctx = g,
	};
	struct vh_listener_settings operators = callers;

	operators.name = "operators";
	operators.address = s->operators_address;
	operators.port = s->operators_port;
	operators.max_body_bytes = OPERATORS_MAX_BODY_BYTES;
	operators.max_connections = OPERATORS_MAX_CONNECTIONS;
	operators.handle = vh_operators_handle;
	g->callers = vh_listener_new(&callers, g->kernel);
	g->operators = vh_listener_new(&operators, g->kernel);
}

struct vh_gateway *vh_gateway_new(const struct vh_gateway_settings *settings,
				  struct vh_kernel *kernel)
{
	struct vh_gateway *g = g_new0(struct vh_gateway, 1);

	g->kernel = kernel;
	copy_settings(&g->settings, settings);
	evutil_secure_rng_get_bytes(&g->incarnation, sizeof(g->incarnation));
	g->rng = g_rand_new_with_seed((guint32)g->incarnation);
	vh_key_trust_init(&g->key_trust, g->settings.config_max_age_ms);
	vh_admission_init(&g->admission, g->settings.max_active,
			  g->settings.max_active * MAX_WAITING_PER_ACTIVE);
	create_listeners(g);
	vh_timer_init(&g->tick_timer, kernel, on_tick, g);
	vh_timer_init(&g->cleanup_timer, kernel, on_cleanup, g);
	g->service.name = "gateway";
	g->service.self = g;
	g->service.start = gateway_start;
	g->service.drain = gateway_drain;
	g->service.stop = gateway_stop;
	return g;
}

void vh_gateway_free(struct vh_gateway *g)
{
	struct vh_request *next;

	if (!g)
		return;
	for (struct vh_request *req = g->requests; req; req = next) {
		next = req->next;
		if (req->release)
			req->release(req);
		g_free(req);
	}
	vh_request_free_completed(g);
	vh_upstream_free_services(g);
	vh_listener_free(g->callers);
	vh_listener_free(g->operators);
	vh_timer_finish(&g->tick_timer);
	vh_timer_finish(&g->cleanup_timer);
	vh_admission_finish(&g->admission);
	while (g->latency_stats) {
		struct vh_latency_stats *s = g->latency_stats;

		g->latency_stats = s->next;
		g_free(s);
	}
	free_settings(&g->settings);
	g_rand_free(g->rng);
	g_free(g);
}

struct vh_service *vh_gateway_service(struct vh_gateway *g)
{
	return &g->service;
}

uint16_t vh_gateway_callers_port(const struct vh_gateway *g)
{
	return vh_listener_port(g->callers);
}

uint16_t vh_gateway_operators_port(const struct vh_gateway *g)
{
	return vh_listener_port(g->operators);
}
