#ifndef VH_LISTENER_IMPL_H
#define VH_LISTENER_IMPL_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "listener.h"

#define VH_CONN_BUCKETS 4096

enum vh_conn_state {
	VH_CONN_IDLE,	   /* no byte of a request yet */
	VH_CONN_READING,   /* part of a request */
	VH_CONN_SERVING,   /* a whole request that has no answer yet */
	VH_CONN_STREAMING, /* an answer that is made while it is sent */
	VH_CONN_WRITING	   /* part of an answer is still to be sent */
};

/**
 * struct vh_conn - one connection of a caller
 * @bev: a reference of our own, so that it can be looked at even when the
 *	 library has dropped it
 * @since_ms: time of the last change of state, or of progress in writing
 */
struct vh_conn {
	struct vh_listener *listener;
	struct bufferevent *bev;
	struct evhttp_connection *evcon; /* NULL before the first request */
	struct vh_exchange *exchange;
	enum vh_conn_state state;
	int64_t since_ms;
	size_t unsent;
	bool cut;
	struct vh_conn *next;
	struct vh_conn **prev;
	struct vh_conn *bucket_next;
};

struct vh_listener {
	struct vh_listener_settings settings;
	char *address;
	struct vh_kernel *kernel;
	struct evhttp *http;
	struct evhttp_bound_socket *bound;
	uint16_t port;
	struct vh_conn *conns;
	struct vh_conn *buckets[VH_CONN_BUCKETS];
	size_t n_conns;
	struct vh_exchange *exchanges;
	struct vh_timer sweep;
	bool paused;
	bool draining;
	int64_t close_at_ms;
	int64_t settle_ms;
	void (*drained)(void *ctx);
	void *drained_ctx;
	uint64_t *accepted;
	uint64_t *slow;
};

/* conn.c */
struct bufferevent *vh_conn_accept(struct event_base *base, void *listener);
struct vh_conn *vh_conn_find(struct vh_listener *l, struct bufferevent *bev);

/* vh_conn_watch_eof - while a request is served the library does not read;
 * reads, so that the end of the connection is seen */
void vh_conn_watch_eof(struct vh_conn *c);
void vh_conn_on_close(struct evhttp_connection *evcon, void *conn);
void vh_conn_set_state(struct vh_conn *c, enum vh_conn_state state);
void vh_conn_free(struct vh_conn *c);

/* vh_conn_check_timeouts - cuts off slow callers, forgets dead connections */
void vh_conn_check_timeouts(struct vh_listener *l, int64_t now_ms);

#endif
