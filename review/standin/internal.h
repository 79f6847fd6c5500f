#ifndef REVIEW_INTERNAL_H
#define REVIEW_INTERNAL_H

/* What the parts of the stand-in share. The lock is held by callers of the
 * functions below, but for the request handlers, which take it. */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>

#include "cell.h"

extern struct event_base *base;
extern pthread_mutex_t lock;

/* The store's address for one node. */
struct store_port {
	unsigned int far_ms;
};

/* http_reply_later - answers after a delay; frees @out */
void http_reply_later(struct evhttp_request *req, int status,
		      struct evbuffer *out, unsigned int delay_ms);
/* http_no_delay - replies are not held back until earlier ones are confirmed */
void http_no_delay(struct evhttp_request *req);
/* http_listen - listens on a free port of the loopback address */
uint16_t http_listen(void (*fn)(struct evhttp_request *, void *), void *ctx);

void store_request(struct evhttp_request *req, void *ctx);
/* store_put - adds a record and wakes the readers */
void store_put(const char *topic, const char *key, const void *value,
	       size_t len);

void workers_init(unsigned int n, unsigned int far_ms, bool all_far);

#endif
