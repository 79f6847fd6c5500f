#include <sys/ioctl.h>
#include <sys/socket.h>

#include "listener_impl.h"
#include "vh/invariant.h"

#define READ_AHEAD_MAX_BYTES 65536 /* read from the socket but not yet parsed */

static size_t bucket_of(const struct bufferevent *bev)
{
	return ((uintptr_t)bev >> 6) % VH_CONN_BUCKETS;
}

static int64_t now_ms(const struct vh_conn *c)
{
	return vh_kernel_now_ms(c->listener->kernel);
}

void vh_conn_set_state(struct vh_conn *c, enum vh_conn_state state)
{
	c->state = state;
	c->last_progress_ms = now_ms(c);
}

static void on_input_changed(struct evbuffer *buf,
			     const struct evbuffer_cb_info *info, void *ctx)
{
	struct vh_conn *c = ctx;

	(void)buf;
	if (info->n_added && c->state == VH_CONN_IDLE)
		vh_conn_set_state(c, VH_CONN_READING);
}

static void on_output_changed(struct evbuffer *buf,
			      const struct evbuffer_cb_info *info, void *ctx)
{
	struct vh_conn *c = ctx;

	c->unsent_bytes = evbuffer_get_length(buf);
	if (info->n_deleted && c->state == VH_CONN_STREAMING) {
		c->last_progress_ms = now_ms(c);
		if (!c->unsent_bytes && c->exchange && c->exchange->on_flushed)
			c->exchange->on_flushed(c->exchange->flushed_ctx);
	}
	if (!info->n_deleted || c->state != VH_CONN_WRITING)
		return;
	c->last_progress_ms = now_ms(c);
	if (c->unsent_bytes)
		return;
	vh_conn_set_state(c, evbuffer_get_length(bufferevent_get_input(c->bev))
				     ? VH_CONN_READING
				     : VH_CONN_IDLE);
}

/* Accepting is paused at the connection limit until a connection closes. */
static void set_accept_paused(struct vh_listener *l, bool paused)
{
	if (!l->bound_socket || l->accept_paused == paused)
		return;
	l->accept_paused = paused;
	if (paused)
		evconnlistener_disable(
			evhttp_bound_socket_get_listener(l->bound_socket));
	else
		evconnlistener_enable(
			evhttp_bound_socket_get_listener(l->bound_socket));
}

struct bufferevent *vh_conn_accept(struct event_base *base, void *listener)
{
	struct vh_listener *l = listener;
	struct vh_conn *c = g_new0(struct vh_conn, 1);
	struct vh_conn **bucket;

	/* Without BEV_OPT_CLOSE_ON_FREE evhttp closes the socket itself, so our
	 * reference does not keep it open. */
	c->bev = bufferevent_socket_new(base, -1, 0);
	bufferevent_incref(c->bev);
	bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_MAX_BYTES);
	c->listener = l;
	vh_conn_set_state(c, VH_CONN_IDLE);
	evbuffer_add_cb(bufferevent_get_input(c->bev), on_input_changed, c);
	evbuffer_add_cb(bufferevent_get_output(c->bev), on_output_changed, c);
	c->next = l->conns;
	c->prev = &l->conns;
	if (c->next)
		c->next->prev = &c->next;
	l->conns = c;
	bucket = &l->buckets[bucket_of(c->bev)];
	c->bucket_next = *bucket;
	*bucket = c;
	++*l->accepted_conns;
	if (++l->n_conns >= l->settings.max_connections)
		set_accept_paused(l, true);
	return c->bev;
}

void vh_conn_watch_eof(struct vh_conn *c)
{
	bufferevent_data_cb readcb, writecb;
	bufferevent_event_cb eventcb;
	void *arg;

	/* evhttp must not read a pipelined request before the current one has
	 * been answered. */
	bufferevent_getcb(c->bev, &readcb, &writecb, &eventcb, &arg);
	bufferevent_setcb(c->bev, NULL, writecb, eventcb, arg);
	bufferevent_enable(c->bev, EV_READ);
}

struct vh_conn *vh_conn_find(struct vh_listener *l, struct bufferevent *bev)
{
	struct vh_conn *c = l->buckets[bucket_of(bev)];

	while (c && c->bev != bev)
		c = c->bucket_next;
	return c;
}

void vh_conn_free(struct vh_conn *c)
{
	struct vh_listener *l = c->listener;
	struct vh_conn **at = &l->buckets[bucket_of(c->bev)];

	while (*at != c)
		at = &(*at)->bucket_next;
	*at = c->bucket_next;
	*c->prev = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->exchange)
		c->exchange->conn = NULL;
	evbuffer_remove_cb(bufferevent_get_input(c->bev), on_input_changed, c);
	evbuffer_remove_cb(bufferevent_get_output(c->bev), on_output_changed,
			   c);
	bufferevent_decref(c->bev);
	if (--l->n_conns < l->settings.max_connections)
		set_accept_paused(l, false);
	g_free(c);
}

void vh_conn_on_close(struct evhttp_connection *evcon, void *conn)
{
	struct vh_conn *c = conn;
	struct vh_exchange *ex = c->exchange;

	(void)evcon;
	vh_conn_free(c);
	if (ex && ex->on_disconnect)
		ex->on_disconnect(ex->disconnect_ctx);
}

/*
 * True if evhttp has released the connection, which clears the callbacks. Used
 * before the first request, while no close callback is set.
 */
static bool is_released_by_libevent(const struct vh_conn *c)
{
	bufferevent_data_cb readcb, writecb;
	bufferevent_event_cb eventcb;
	void *arg;

	bufferevent_getcb(c->bev, &readcb, &writecb, &eventcb, &arg);
	return !eventcb;
}

/* After the shutdown evhttp sees end of file and frees the connection. */
static void shut_down_conn(struct vh_conn *c)
{
	c->shut_down = true;
	shutdown(bufferevent_getfd(c->bev), SHUT_RDWR);
}

static bool has_unread_bytes(const struct vh_conn *c)
{
	int n = 0;

	return !ioctl(bufferevent_getfd(c->bev), FIONREAD, &n) && n > 0;
}

static void check_timeout(struct vh_conn *c, int64_t now)
{
	struct vh_listener *l = c->listener;
	int64_t idle_ms = now - c->last_progress_ms;
	bool timed_out = false;

	if (c->shut_down)
		return;
	switch (c->state) {
	case VH_CONN_IDLE:
		if (l->draining && now >= l->close_at_ms &&
		    idle_ms >= l->settle_ms && !has_unread_bytes(c)) {
			vh_invariant_check(
				VH_I9_DRAIN, !c->exchange && !c->unsent_bytes,
				"drain closes a connection that is in use");
			shut_down_conn(c);
		} else if (idle_ms > l->settings.idle_timeout_ms &&
			   !has_unread_bytes(c))
			shut_down_conn(c);
		return;
	case VH_CONN_READING:
	case VH_CONN_WRITING:
		timed_out = idle_ms > l->settings.read_timeout_ms;
		break;
	case VH_CONN_STREAMING:
		timed_out = c->unsent_bytes &&
			    idle_ms > l->settings.read_timeout_ms;
		break;
	case VH_CONN_SERVING:
		break;
	}
	if (timed_out) {
		++*l->slow_closed;
		shut_down_conn(c);
	}
}

void vh_conn_check_timeouts(struct vh_listener *l, int64_t now)
{
	struct vh_conn *next;

	for (struct vh_conn *c = l->conns; c; c = next) {
		next = c->next;
		if (!c->evcon && is_released_by_libevent(c))
			vh_conn_free(c);
		else
			check_timeout(c, now);
	}
}
