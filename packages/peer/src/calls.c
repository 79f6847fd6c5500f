#include "peer_impl.h"

#define FRAME_OVERHEAD_MAX 64 /* bytes of a call frame besides the body */

static void run_deferred(void *ctx);

static struct vh_call **call_bucket(struct vh_calls *c, uint64_t id)
{
	return &c->buckets[id % VH_PEER_CALL_BUCKETS];
}

static struct vh_call *find_call(struct vh_calls *c, uint64_t id)
{
	struct vh_call *call = *call_bucket(c, id);

	while (call && call->id != id)
		call = call->next;
	return call;
}

static struct vh_deferred *defer(struct vh_peer *p, enum vh_err err,
				 struct vh_slice body)
{
	struct vh_calls *c = &p->calls;
	struct vh_deferred *d = g_new0(struct vh_deferred, 1);

	d->err = err;
	vh_buf_add_slice(&d->body, body);
	*c->deferred_tail = d;
	c->deferred_tail = &d->next;
	if (!vh_timer_pending(&c->timer))
		vh_timer_start(&c->timer, 0);
	return d;
}

static void free_call(struct vh_call *call)
{
	*call->prev = call->next;
	if (call->next)
		call->next->prev = call->prev;
	if (call->timeout)
		event_free(call->timeout);
	if (call->link) {
		vh_link_answer_received(call->link);
		vh_link_unref(call->link);
	}
	vh_buf_finish(&call->body);
	g_free(call);
}

/* Defers the completion callback of @call and frees the call. */
static void complete_call(struct vh_call *call, enum vh_err err,
			  struct vh_slice body)
{
	struct vh_deferred *d = defer(call->peer, err, body);

	d->done = call->done;
	d->ctx = call->ctx;
	free_call(call);
}

static void on_call_timeout(evutil_socket_t fd, short events, void *ctx)
{
	struct vh_call *call = ctx;
	bool sent = call->link || call->local;

	(void)fd;
	(void)events;
	complete_call(call, sent ? VH_ERR_UNKNOWN_OUTCOME : VH_ERR_UNREACHABLE,
		      vh_slice(NULL, 0));
}

static bool send_call(struct vh_call *call, struct vh_link *link)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	bool sent;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_int(&pk, VH_FRAME_CALL);
	msgpack_pack_uint64(&pk, call->id);
	msgpack_pack_unsigned_int(&pk, call->method);
	vh_frame_pack_bytes(&pk, vh_buf_slice(&call->body));
	sent = vh_link_send(link, &buf);
	msgpack_sbuffer_destroy(&buf);
	if (!sent)
		return false;
	call->link = vh_link_ref(link);
	vh_link_expect_answer(link);
	vh_buf_finish(&call->body);
	return true;
}

static struct vh_call *new_call(struct vh_peer *p, struct vh_slice node,
				unsigned int method, struct vh_slice body,
				int64_t timeout_ms)
{
	struct vh_call *call = g_new0(struct vh_call, 1);
	struct vh_call **bucket;
	struct timeval tv;

	call->peer = p;
	call->id = ++p->calls.last_id;
	call->method = method;
	if (node.len && node.len <= VH_NODE_NAME_MAX)
		memcpy(call->node, node.data, node.len);
	vh_buf_add_slice(&call->body, body);
	bucket = call_bucket(&p->calls, call->id);
	call->next = *bucket;
	call->prev = bucket;
	if (call->next)
		call->next->prev = &call->next;
	*bucket = call;
	if (timeout_ms < 0)
		timeout_ms = 0;
	tv.tv_sec = (time_t)(timeout_ms / VH_MS_PER_S);
	tv.tv_usec = (suseconds_t)(timeout_ms % VH_MS_PER_S) * 1000;
	call->timeout = evtimer_new(p->kernel->base, on_call_timeout, call);
	evtimer_add(call->timeout, &tv);
	return call;
}

/* Sends the call, or starts the connection to send it on. */
static enum vh_err start_call(struct vh_peer *p, struct vh_call *call)
{
	struct vh_slice node = vh_slice_str(call->node);
	struct vh_link *link = vh_peer_ready_link(p, node);
	const struct vh_node *n;

	if (link)
		return send_call(call, link) ? VH_OK : VH_ERR_UNREACHABLE;
	n = vh_peer_node(p, node);
	if (!n || n->state == VH_NODE_DEAD ||
	    !vh_peer_connect(p, n->address, n->port))
		return VH_ERR_UNREACHABLE;
	memcpy(call->address, n->address.data, n->address.len);
	call->port = n->port;
	return VH_OK;
}

void vh_peer_call(struct vh_peer *p, struct vh_slice node, unsigned int method,
		  struct vh_slice body, int64_t timeout_ms,
		  void (*done)(void *ctx, enum vh_err err,
			       struct vh_slice body),
		  void *ctx)
{
	struct vh_call *call = new_call(p, node, method, body, timeout_ms);
	enum vh_err err;

	call->done = done;
	call->ctx = ctx;
	if (body.len > VH_PEER_FRAME_MAX - FRAME_OVERHEAD_MAX) {
		complete_call(call, VH_ERR_TOO_LARGE, vh_slice(NULL, 0));
		return;
	}
	if (vh_slice_eq(node, p->members.nodes[0].id)) {
		call->local = true;
		defer(p, VH_OK, vh_slice(NULL, 0))->local_call = call->id;
		return;
	}
	err = start_call(p, call);
	if (err != VH_OK)
		complete_call(call, err, vh_slice(NULL, 0));
}

static struct vh_peer_reply *new_reply(struct vh_peer *p, struct vh_link *link,
				       uint64_t call)
{
	struct vh_peer_reply *r = g_new0(struct vh_peer_reply, 1);

	r->peer = p;
	r->link = link ? vh_link_ref(link) : NULL;
	r->call = call;
	r->next = p->calls.replies;
	r->prev = &p->calls.replies;
	if (r->next)
		r->next->prev = &r->next;
	p->calls.replies = r;
	return r;
}

static void free_reply(struct vh_peer_reply *r)
{
	*r->prev = r->next;
	if (r->next)
		r->next->prev = r->prev;
	if (r->link)
		vh_link_unref(r->link);
	g_free(r);
}

static void free_all_replies(struct vh_calls *c)
{
	struct vh_peer_reply *next;

	for (struct vh_peer_reply *r = c->replies; r; r = next) {
		next = r->next;
		free_reply(r);
	}
}

static void dispatch(struct vh_peer *p, const struct vh_node *from,
		     unsigned int method, struct vh_slice body,
		     struct vh_peer_reply *reply)
{
	const struct vh_handler *h = &p->handlers[method];

	if (h->fn)
		h->fn(h->ctx, from, body, reply);
	else
		vh_peer_answer(reply, VH_ERR_METHOD_NOT_ALLOWED,
			       vh_slice(NULL, 0));
}

static void send_answer(struct vh_peer_reply *r, enum vh_err err,
			struct vh_slice body)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	if (body.len > VH_PEER_FRAME_MAX - FRAME_OVERHEAD_MAX) {
		err = VH_ERR_TOO_LARGE;
		body = vh_slice(NULL, 0);
	}
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_int(&pk, VH_FRAME_ANSWER);
	msgpack_pack_uint64(&pk, r->call);
	msgpack_pack_int(&pk, err);
	vh_frame_pack_bytes(&pk, body);
	/* A send failure needs no handling: on a closed link, the caller has
	 * already completed the call with an unknown outcome; a link whose
	 * buffer is full is closed by the caller's answer timeout. */
	vh_link_send(r->link, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void vh_peer_answer(struct vh_peer_reply *reply, enum vh_err err,
		    struct vh_slice body)
{
	struct vh_call *call;

	if (reply->link) {
		send_answer(reply, err, body);
	} else {
		call = find_call(&reply->peer->calls, reply->call);
		if (call)
			complete_call(call, err, body);
	}
	free_reply(reply);
}

bool vh_calls_handle_call(struct vh_peer *p, struct vh_link *link,
			  const struct vh_frame *f)
{
	const struct vh_node *from = vh_peer_node(p, vh_link_id(link));
	struct vh_node unknown = { .id = vh_link_id(link),
				   .incarnation = link->incarnation };
	struct vh_slice body;
	uint64_t call, method;

	if (f->n != 3 || !vh_frame_read_u64(&f->args[0], UINT64_MAX, &call) ||
	    !vh_frame_read_u64(&f->args[1], VH_PEER_METHODS_MAX - 1, &method) ||
	    !vh_frame_read_bytes(&f->args[2], VH_PEER_FRAME_MAX, &body))
		return false;
	dispatch(p, from ? from : &unknown, (unsigned int)method, body,
		 new_reply(p, link, call));
	return true;
}

bool vh_calls_handle_answer(struct vh_peer *p, const struct vh_frame *f)
{
	struct vh_call *call;
	struct vh_slice body;
	uint64_t id, err;

	if (f->n != 3 || !vh_frame_read_u64(&f->args[0], UINT64_MAX, &id) ||
	    !vh_frame_read_u64(&f->args[1], UINT8_MAX, &err) ||
	    !vh_frame_read_bytes(&f->args[2], VH_PEER_FRAME_MAX, &body))
		return false;
	call = find_call(&p->calls, id);
	if (call)
		complete_call(call,
			      err < VH_ERR_COUNT ? (enum vh_err)err
						 : VH_ERR_INTERNAL,
			      body);
	return true;
}

/* True if @call is unsent and @link was opened to its address. */
static bool awaits_link(const struct vh_call *call, const struct vh_link *link)
{
	return !call->link && !call->local && link->outgoing &&
	       call->port == link->port &&
	       !strcmp(call->address, link->address);
}

static void call_link_ready(struct vh_call *call, struct vh_link *link)
{
	bool unsent = !call->link && !call->local;

	if (unsent && !strcmp(call->node, link->id)) {
		if (!send_call(call, link))
			complete_call(call, VH_ERR_UNREACHABLE,
				      vh_slice(NULL, 0));
	} else if (awaits_link(call, link)) {
		complete_call(call, VH_ERR_UNREACHABLE, vh_slice(NULL, 0));
	}
}

static void call_link_closed(struct vh_call *call, struct vh_link *link)
{
	if (call->link && call->link == link)
		complete_call(call, VH_ERR_UNKNOWN_OUTCOME, vh_slice(NULL, 0));
	else if (awaits_link(call, link))
		complete_call(call, VH_ERR_UNREACHABLE, vh_slice(NULL, 0));
}

static void for_each_call(struct vh_peer *p, struct vh_link *link,
			  void (*fn)(struct vh_call *call,
				     struct vh_link *link))
{
	for (size_t b = 0; b < VH_PEER_CALL_BUCKETS; b++) {
		struct vh_call *next;

		for (struct vh_call *c = p->calls.buckets[b]; c; c = next) {
			next = c->next;
			fn(c, link);
		}
	}
}

void vh_calls_link_ready(struct vh_peer *p, struct vh_link *link)
{
	for_each_call(p, link, call_link_ready);
}

void vh_calls_link_closed(struct vh_peer *p, struct vh_link *link)
{
	for_each_call(p, link, call_link_closed);
}

static void serve_local_call(struct vh_peer *p, uint64_t id)
{
	struct vh_call *call = find_call(&p->calls, id);
	struct vh_buf body;

	if (!call)
		return;
	/* The handler may answer, which frees the call, before it returns. */
	body = call->body;
	vh_buf_init(&call->body);
	dispatch(p, &p->members.nodes[0], call->method, vh_buf_slice(&body),
		 new_reply(p, NULL, id));
	vh_buf_finish(&body);
}

static void run_deferred(void *ctx)
{
	struct vh_peer *p = ctx;
	struct vh_calls *c = &p->calls;
	struct vh_deferred *d = c->deferred;

	/* Items added by the callbacks run in the next iteration. */
	c->deferred = NULL;
	c->deferred_tail = &c->deferred;
	while (d) {
		struct vh_deferred *next = d->next;

		if (d->local_call)
			serve_local_call(p, d->local_call);
		else
			d->done(d->ctx, d->err, vh_buf_slice(&d->body));
		vh_buf_finish(&d->body);
		g_free(d);
		d = next;
	}
}

void vh_calls_init(struct vh_peer *p)
{
	p->calls.deferred_tail = &p->calls.deferred;
	vh_timer_init(&p->calls.timer, p->kernel, run_deferred, p);
}

void vh_calls_finish(struct vh_peer *p)
{
	struct vh_calls *c = &p->calls;

	for (size_t b = 0; b < VH_PEER_CALL_BUCKETS; b++) {
		struct vh_call *next;

		for (struct vh_call *call = c->buckets[b]; call; call = next) {
			next = call->next;
			free_call(call);
		}
	}
	free_all_replies(c);
	while (c->deferred) {
		struct vh_deferred *d = c->deferred;

		c->deferred = d->next;
		vh_buf_finish(&d->body);
		g_free(d);
	}
	vh_timer_finish(&c->timer);
}
