#ifndef VH_LISTENER_IMPL_H
#define VH_LISTENER_IMPL_H

/*
 * Defines the connection states and listener fields that listener.h hides from
 * its users. Internal to the package; shared by listener.c, conn.c and
 * exchange.c.
 */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "listener.h"

#define VH_CONN_BUCKETS 4096

enum vh_conn_state {
	VH_CONN_IDLE,	   /* no byte of the next request received */
	VH_CONN_READING,   /* request partly received */
	VH_CONN_SERVING,   /* request complete, no response yet */
	VH_CONN_STREAMING, /* response produced while it is being sent */
	VH_CONN_WRITING	   /* response complete but partly unsent */
};

/**
 * struct vh_conn - a caller's connection
 * @bev: the connection holds a reference, so that it stays valid after libevent
 *	 has released its own reference
 * @evcon: NULL before the first request
 * @last_progress_ms: time of the last state change or write progress
 * @shut_down: the socket was shut down and awaits closing by libevent
 * @bucket_next: chain in vh_listener.buckets
 */
struct vh_conn {
	struct vh_listener *listener;
	struct bufferevent *bev;
	struct evhttp_connection *evcon;
	struct vh_exchange *exchange;
	enum vh_conn_state state;
	int64_t last_progress_ms;
	size_t unsent_bytes;
	bool shut_down;
	struct vh_conn *next;
	struct vh_conn **prev;
	struct vh_conn *bucket_next;
};

/**
 * struct vh_listener - an HTTP listener and its connections
 * @buckets: hash table of the connections by bufferevent
 * @accept_paused: accepting is paused at the connection limit
 * @close_timer: closes the listening socket
 * @close_at_ms: while draining, when the listening socket may be closed
 * @on_drained: called once when draining and no connection is left
 * @accepted_conns, @slow_closed: metrics counters of the accepted connections
 *				  and of those closed because reading a request
 *				  or sending a response timed out
 */
struct vh_listener {
	struct vh_listener_settings settings;
	char *address;
	struct vh_kernel *kernel;
	struct evhttp *http;
	struct evhttp_bound_socket *bound_socket;
	uint16_t port;
	struct vh_conn *conns;
	struct vh_conn *buckets[VH_CONN_BUCKETS];
	size_t n_conns;
	struct vh_exchange *exchanges;
	struct vh_timer sweep_timer;
	struct vh_timer close_timer;
	bool accept_paused;
	bool draining;
	int64_t close_at_ms;
	int64_t settle_ms;
	void (*on_drained)(void *ctx);
	void *drained_ctx;
	uint64_t *accepted_conns;
	uint64_t *slow_closed;
};

/* conn.c */
struct bufferevent *vh_conn_accept(struct event_base *base, void *listener);
struct vh_conn *vh_conn_find(struct vh_listener *l, struct bufferevent *bev);

/* vh_conn_watch_eof - keeps reading while a request is served, which libevent
 * does not, so that the caller's disconnect is noticed */
void vh_conn_watch_eof(struct vh_conn *c);
void vh_conn_on_close(struct evhttp_connection *evcon, void *conn);
void vh_conn_set_state(struct vh_conn *c, enum vh_conn_state state);

/* vh_conn_free - removes the connection from its listener and frees it */
void vh_conn_free(struct vh_conn *c);

/* vh_conn_check_timeouts - closes slow and idle connections; frees those that
 * libevent released before their first request */
void vh_conn_check_timeouts(struct vh_listener *l, int64_t now_ms);

#endif
