#include "listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>

#include "listener_impl.h"

#define SWEEP_INTERVAL_MS 250
#define LIBEVENT_TIMEOUT_S 86400 /* on_sweep_timer() enforces time-outs */
#define ALLOWED_METHODS                                         \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE | \
	 EVHTTP_REQ_PUT | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |  \
	 EVHTTP_REQ_OPTIONS)

static void on_request(struct evhttp_request *req, void *ctx)
{
	struct vh_listener *l = ctx;
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);
	struct vh_conn *c =
		vh_conn_find(l, evhttp_connection_get_bufferevent(evcon));
	struct vh_exchange *ex = g_new0(struct vh_exchange, 1);

	if (!c->evcon) {
		c->evcon = evcon;
		evhttp_connection_set_closecb(evcon, vh_conn_on_close, c);
	}
	vh_conn_set_state(c, VH_CONN_SERVING);
	vh_conn_watch_eof(c);
	c->exchange = ex;
	ex->listener = l;
	ex->conn = c;
	ex->req = req;
	ex->received_ms = c->last_progress_ms;
	ex->next = l->exchanges;
	ex->prev = &l->exchanges;
	if (ex->next)
		ex->next->prev = &ex->next;
	l->exchanges = ex;
	l->settings.handle(l->settings.ctx, ex);
}

/*
 * Waits for an idle loop, on which no connection is left in the backlog. While
 * accepting is paused the backlog is not polled; idle connections then close until
 * accepting goes on.
 */
static void on_close_timer(void *ctx)
{
	struct vh_listener *l = ctx;

	if (!l->bound_socket || l->accept_paused)
		return;
	evhttp_del_accept_socket(l->http, l->bound_socket);
	l->bound_socket = NULL;
}

static void on_sweep_timer(void *ctx)
{
	struct vh_listener *l = ctx;
	int64_t now = vh_kernel_now_ms(l->kernel);

	if (l->draining && l->bound_socket && now >= l->close_at_ms &&
	    !vh_timer_pending(&l->close_timer))
		vh_timer_start(&l->close_timer, 0);
	vh_conn_check_timeouts(l, now);
	if (l->draining && !l->bound_socket && !l->n_conns && l->on_drained) {
		void (*on_drained)(void *ctx) = l->on_drained;

		l->on_drained = NULL;
		on_drained(l->drained_ctx);
	}
	vh_timer_start(&l->sweep_timer, SWEEP_INTERVAL_MS);
}

struct vh_listener *vh_listener_new(const struct vh_listener_settings *settings,
				    struct vh_kernel *kernel)
{
	struct vh_listener *l = g_new0(struct vh_listener, 1);
	char labels[64];

	l->settings = *settings;
	l->address = vh_slice_dup(settings->address);
	l->kernel = kernel;
	g_snprintf(labels, sizeof(labels), "listener=\"%s\"", settings->name);
	l->accepted_conns = vh_metrics_counter(
		&kernel->metrics, "vh_http_connections_total", labels);
	l->slow_closed = vh_metrics_counter(
		&kernel->metrics, "vh_http_slow_cut_off_total", labels);
	vh_timer_init(&l->sweep_timer, kernel, on_sweep_timer, l);
	vh_timer_init(&l->close_timer, kernel, on_close_timer, l);
	vh_timer_wait_idle(&l->close_timer);
	return l;
}

bool vh_listener_start(struct vh_listener *l, GError **err)
{
	struct sockaddr_in at = { 0 };
	socklen_t len = sizeof(at);

	l->http = evhttp_new(l->kernel->base);
	evhttp_set_bevcb(l->http, vh_conn_accept, l);
	evhttp_set_gencb(l->http, on_request, l);
	evhttp_set_allowed_methods(l->http, ALLOWED_METHODS);
	evhttp_set_max_headers_size(l->http,
				    (ev_ssize_t)l->settings.max_header_bytes);
	evhttp_set_max_body_size(l->http,
				 (ev_ssize_t)l->settings.max_body_bytes);
	evhttp_set_flags(l->http, EVHTTP_SERVER_LINGERING_CLOSE);
	evhttp_set_timeout(l->http, LIBEVENT_TIMEOUT_S);
	evhttp_set_default_content_type(l->http, NULL);
	l->bound_socket = evhttp_bind_socket_with_handle(l->http, l->address,
							 l->settings.port);
	if (!l->bound_socket) {
		g_set_error(err, VH_ERROR, VH_ERR_INTERNAL,
			    "cannot listen on %s:%u for %s: %s", l->address,
			    l->settings.port, l->settings.name,
			    g_strerror(errno));
		return false;
	}
	getsockname(evhttp_bound_socket_get_fd(l->bound_socket),
		    (struct sockaddr *)&at, &len);
	l->port = ntohs(at.sin_port);
	vh_timer_start(&l->sweep_timer, SWEEP_INTERVAL_MS);
	return true;
}

void vh_listener_free(struct vh_listener *l)
{
	struct vh_conn *next;

	if (!l)
		return;
	for (struct vh_exchange *ex = l->exchanges; ex; ex = ex->next) {
		ex->on_disconnect = NULL;
		if (!ex->conn)
			evhttp_request_free(ex->req);
	}
	if (l->http)
		evhttp_free(l->http);
	while (l->exchanges) {
		struct vh_exchange *ex = l->exchanges;

		l->exchanges = ex->next;
		g_free(ex);
	}
	for (struct vh_conn *c = l->conns; c; c = next) {
		next = c->next;
		vh_conn_free(c);
	}
	vh_timer_finish(&l->sweep_timer);
	vh_timer_finish(&l->close_timer);
	g_free(l->address);
	g_free(l);
}

uint16_t vh_listener_port(const struct vh_listener *l)
{
	return l->port;
}

size_t vh_listener_connections(const struct vh_listener *l)
{
	return l->n_conns;
}

void vh_listener_drain(struct vh_listener *l, int64_t settle_ms,
		       void (*done)(void *ctx), void *ctx)
{
	l->draining = true;
	l->settle_ms = settle_ms;
	l->close_at_ms = vh_kernel_now_ms(l->kernel) + settle_ms;
	l->on_drained = done;
	l->drained_ctx = ctx;
}
