#include "peer_impl.h"

#include "vh/log.h"

#define TICKS_PER_HEARTBEAT 4
#define DRAIN_HEARTBEATS 3 /* time for the LEAVING update to propagate */
#define ANSWER_TIMEOUT_MIN_MS 2000

static struct vh_slice dup_slice(struct vh_slice s)
{
	return vh_slice(vh_slice_dup(s), s.len);
}

static void copy_settings(struct vh_peer_settings *to,
			  const struct vh_peer_settings *from)
{
	struct vh_slice *seeds = g_new0(struct vh_slice, from->n_seeds + 1);

	*to = *from;
	to->id = dup_slice(from->id);
	to->address = dup_slice(from->address);
	to->region = dup_slice(from->region);
	to->zone = dup_slice(from->zone);
	to->secret = dup_slice(from->secret);
	for (size_t i = 0; i < from->n_seeds; i++)
		seeds[i] = dup_slice(from->seeds[i]);
	to->seeds = seeds;
}

static void free_settings(struct vh_peer_settings *s)
{
	for (size_t i = 0; i < s->n_seeds; i++)
		g_free((char *)s->seeds[i].data);
	g_free((struct vh_slice *)s->seeds);
	g_free((char *)s->id.data);
	g_free((char *)s->address.data);
	g_free((char *)s->region.data);
	g_free((char *)s->zone.data);
	g_free((char *)s->secret.data);
}

static void notify_watchers(struct vh_peer *p)
{
	if (!p->members.changed)
		return;
	p->members.changed = false;
	for (struct vh_watch *w = p->watches; w; w = w->next)
		w->fn(w->ctx);
}

static void link_ready(void *ctx, struct vh_link *link)
{
	struct vh_peer *p = ctx;

	vh_peer_connect_succeeded(p, link);
	if (vh_slice_eq(vh_link_id(link), p->members.nodes[0].id) &&
	    link->incarnation == p->members.nodes[0].incarnation) {
		/* The seed address is the node's own. */
		vh_link_close(link);
		return;
	}
	vh_probes_link_ready(p, link);
	vh_calls_link_ready(p, link);
}

static void link_frame(void *ctx, struct vh_link *link,
		       const struct vh_frame *f)
{
	struct vh_peer *p = ctx;
	size_t i = vh_members_find(&p->members, vh_link_id(link));
	bool ok = false;

	if (i < p->members.n)
		vh_members_mark_heard(&p->members, i,
				      vh_kernel_now_ms(p->kernel));
	switch (f->type) {
	case VH_FRAME_PING:
	case VH_FRAME_ACK:
	case VH_FRAME_PING_REQ:
		ok = vh_probes_handle_frame(p, link, f);
		break;
	case VH_FRAME_CALL:
		ok = vh_calls_handle_call(p, link, f);
		break;
	case VH_FRAME_ANSWER:
		ok = vh_calls_handle_answer(p, f);
		break;
	default:
		break;
	}
	if (!ok) {
		vh_log(G_LOG_LEVEL_WARNING,
		       "malformed frame from peer; closing connection", "peer",
		       link->id, NULL);
		vh_link_close(link);
	}
	notify_watchers(p);
}

static void link_closed(void *ctx, struct vh_link *link)
{
	struct vh_peer *p = ctx;

	vh_probes_link_closed(p, link);
	vh_calls_link_closed(p, link);
	vh_probes_link_dropped(p, link);
	vh_peer_remove_link(p, link);
}

static void tick(void *ctx)
{
	struct vh_peer *p = ctx;
	int64_t now_ms = vh_kernel_now_ms(p->kernel);

	vh_probes_tick(p, now_ms);
	vh_peer_check_links(p, now_ms);
	notify_watchers(p);
	if (p->drain_done_ms && now_ms >= p->drain_done_ms) {
		p->drain_done_ms = 0;
		vh_kernel_drained(p->kernel, &p->service);
	}
	vh_timer_start(&p->tick,
		       p->settings.heartbeat_ms / TICKS_PER_HEARTBEAT);
}

static bool peer_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_peer *p = self;

	(void)kernel;
	if (!vh_peer_listen(p, err))
		return false;
	p->members.nodes[0].port = p->port;
	p->members.nodes[0].heard_ms = vh_kernel_now_ms(p->kernel);
	vh_timer_start(&p->tick, 0);
	return true;
}

static void peer_drain(void *self)
{
	struct vh_peer *p = self;

	vh_peer_leave(p);
	p->drain_done_ms = vh_kernel_now_ms(p->kernel) +
			   DRAIN_HEARTBEATS * p->settings.heartbeat_ms;
}

static void peer_stop(void *self)
{
	struct vh_peer *p = self;

	vh_timer_stop(&p->tick);
	vh_peer_close_all(p);
}

static void init_membership(struct vh_peer *p)
{
	const struct vh_peer_settings *s = &p->settings;
	struct vh_node self = { .id = s->id,
				.incarnation = p->owner.incarnation,
				.address = s->address,
				.port = s->port,
				.region = s->region,
				.zone = s->zone,
				.state = VH_NODE_ALIVE };

	vh_members_init(&p->members, &self, s->suspect_ms, s->dead_ms,
			(uint32_t)p->owner.incarnation);
}

struct vh_peer *vh_peer_new(const struct vh_peer_settings *settings,
			    struct vh_kernel *kernel)
{
	struct vh_peer *p = g_new0(struct vh_peer, 1);
	unsigned char random[VH_AUTH_NONCE_SIZE];

	p->kernel = kernel;
	copy_settings(&p->settings, settings);
	vh_auth_generate_nonce(random);
	memcpy(&p->owner.incarnation, random, sizeof(p->owner.incarnation));
	p->owner.kernel = kernel;
	p->owner.id = p->settings.id;
	p->owner.secret = p->settings.secret;
	p->owner.answer_timeout_ms = settings->dead_ms > ANSWER_TIMEOUT_MIN_MS
					     ? settings->dead_ms
					     : ANSWER_TIMEOUT_MIN_MS;
	p->owner.on_ready = link_ready;
	p->owner.on_frame = link_frame;
	p->owner.on_closed = link_closed;
	p->owner.ctx = p;
	p->rng = g_rand_new_with_seed((guint32)p->owner.incarnation);
	init_membership(p);
	vh_calls_init(p);
	vh_timer_init(&p->tick, kernel, tick, p);
	p->service.name = "peer";
	p->service.self = p;
	p->service.start = peer_start;
	p->service.drain = peer_drain;
	p->service.stop = peer_stop;
	return p;
}

void vh_peer_free(struct vh_peer *p)
{
	if (!p)
		return;
	vh_probes_finish(p);
	vh_calls_finish(p);
	vh_peer_close_all(p);
	vh_timer_finish(&p->tick);
	vh_members_finish(&p->members);
	while (p->watches) {
		struct vh_watch *w = p->watches;

		p->watches = w->next;
		g_free(w);
	}
	free_settings(&p->settings);
	g_rand_free(p->rng);
	g_free(p);
}

struct vh_service *vh_peer_service(struct vh_peer *p)
{
	return &p->service;
}

uint16_t vh_peer_port(const struct vh_peer *p)
{
	return p->port;
}

const struct vh_node *vh_peer_self(const struct vh_peer *p)
{
	return &p->members.nodes[0];
}

void vh_peer_set_handler(struct vh_peer *p, unsigned int method,
			 void (*fn)(void *ctx, const struct vh_node *from,
				    struct vh_slice body,
				    struct vh_peer_reply *reply),
			 void *ctx)
{
	p->handlers[method].fn = fn;
	p->handlers[method].ctx = ctx;
}

size_t vh_peer_nodes(const struct vh_peer *p, const struct vh_node **out)
{
	*out = p->members.nodes;
	return p->members.n;
}

const struct vh_node *vh_peer_node(const struct vh_peer *p, struct vh_slice id)
{
	size_t i = vh_members_find(&p->members, id);

	return i < p->members.n ? &p->members.nodes[i] : NULL;
}

void vh_peer_set_summary(struct vh_peer *p, struct vh_slice summary)
{
	if (summary.len > VH_PEER_SUMMARY_MAX)
		summary.len = VH_PEER_SUMMARY_MAX;
	vh_members_set_summary(&p->members, summary);
}

void vh_peer_watch(struct vh_peer *p, void (*fn)(void *ctx), void *ctx)
{
	struct vh_watch *w = g_new0(struct vh_watch, 1);

	w->fn = fn;
	w->ctx = ctx;
	w->next = p->watches;
	p->watches = w;
}

void vh_peer_leave(struct vh_peer *p)
{
	if (p->members.nodes[0].state != VH_NODE_LEAVING)
		vh_members_leave(&p->members, vh_kernel_now_ms(p->kernel));
}

void vh_peer_byte_counts(const struct vh_peer *p, uint64_t *sent,
			 uint64_t *received)
{
	*sent = p->owner.bytes_sent;
	*received = p->owner.bytes_received;
}
