#include "peer_impl.h"

#include <arpa/inet.h>

#include "vh/log.h"

/*
 * Failure detector after SWIM: each node pings one other node per heartbeat, in
 * random order, so that the load of a node does not grow with the size of the
 * cluster. If a ping has no answer after half of suspect_ms, other nodes are
 * asked to ping the node (indirect probes).
 */
#define INDIRECT_PROBES 2
#define SEED_PROBE_ROUNDS 8 /* rounds between pings to a seed or dead node */
#define GOSSIP_BYTES_PER_S 8000	    /* pings and acknowledgements together */
#define GOSSIP_MESSAGES_PER_ROUND 4 /* ping and acknowledgement, both ways */
#define GOSSIP_JOIN_BYTES 32768	    /* first acknowledgement to a new node */
#define GOSSIP_MIN_BYTES 700 /* the local entry with a full-size summary */

static size_t gossip_budget(const struct vh_peer *p)
{
	int64_t n = GOSSIP_BYTES_PER_S * p->settings.heartbeat_ms /
		    VH_MS_PER_S / GOSSIP_MESSAGES_PER_ROUND;

	return n < GOSSIP_MIN_BYTES ? GOSSIP_MIN_BYTES : (size_t)n;
}

/* @budget: bytes of member updates; 0: send none */
static void send_gossip(struct vh_peer *p, struct vh_link *link,
			enum vh_frame_type type, uint64_t seq, size_t budget)
{
	size_t to = vh_members_find(&p->members, vh_link_id(link));
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, type);
	msgpack_pack_uint64(&pk, seq);
	if (budget)
		vh_members_pack_updates(&p->members, to, budget, &pk);
	else
		msgpack_pack_array(&pk, 0);
	vh_link_send(link, &buf);
	msgpack_sbuffer_destroy(&buf);
}

static void send_ping_req(struct vh_link *link, uint64_t seq,
			  struct vh_slice id)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, VH_FRAME_PING_REQ);
	msgpack_pack_uint64(&pk, seq);
	vh_frame_pack_bytes(&pk, id);
	vh_link_send(link, &buf);
	msgpack_sbuffer_destroy(&buf);
}

static void free_probe(struct vh_probe *probe)
{
	if (probe->link) {
		vh_link_answer_received(probe->link);
		vh_link_unref(probe->link);
	}
	if (probe->requester)
		vh_link_unref(probe->requester);
	g_free(probe);
}

static void remove_probe(struct vh_peer *p, struct vh_probe *probe)
{
	struct vh_probe **at = &p->probes.head;

	while (*at != probe)
		at = &(*at)->next;
	*at = probe->next;
	free_probe(probe);
}

static void send_probe(struct vh_peer *p, struct vh_probe *probe,
		       struct vh_link *link)
{
	probe->link = vh_link_ref(link);
	vh_link_expect_answer(link);
	send_gossip(p, link, VH_FRAME_PING, probe->seq, gossip_budget(p));
}

/* Starts a probe; @id is empty if only the address is known. */
static struct vh_probe *start_probe(struct vh_peer *p, struct vh_slice id,
				    struct vh_slice address, uint16_t port)
{
	struct vh_probe *probe = g_new0(struct vh_probe, 1);
	struct vh_link *link = id.len ? vh_peer_ready_link(p, id) : NULL;

	probe->seq = ++p->probes.last_seq;
	probe->started_ms = vh_kernel_now_ms(p->kernel);
	probe->port = port;
	if (id.len)
		memcpy(probe->id, id.data, id.len);
	memcpy(probe->address, address.data, address.len);
	probe->next = p->probes.head;
	p->probes.head = probe;
	if (link)
		send_probe(p, probe, link);
	else
		vh_peer_connect(p, address, port);
	return probe;
}

static void probe_node(struct vh_peer *p, size_t i)
{
	const struct vh_node *n = &p->members.nodes[i];

	for (struct vh_probe *q = p->probes.head; q; q = q->next) {
		if (!q->requester && vh_slice_eq_str(n->id, q->id))
			return;
	}
	start_probe(p, n->id, n->address, n->port);
}

static bool parse_address(struct vh_slice s, struct vh_slice *address,
			  uint16_t *port)
{
	const char *colon = memchr(s.data, ':', s.len);
	uint64_t n;

	if (!colon)
		return false;
	*address = vh_slice(s.data, (size_t)(colon - s.data));
	s = vh_slice(colon + 1, s.len - address->len - 1);
	if (address->len >= VH_ADDRESS_MAX || !vh_slice_to_u64(s, &n) || !n ||
	    n > UINT16_MAX)
		return false;
	*port = (uint16_t)n;
	return true;
}

static bool is_live_address(const struct vh_peer *p, struct vh_slice address,
			    uint16_t port)
{
	for (size_t i = 0; i < p->members.n; i++) {
		const struct vh_node *n = &p->members.nodes[i];

		if (n->port == port && n->state != VH_NODE_DEAD &&
		    vh_slice_eq(n->address, address))
			return true;
	}
	return false;
}

/*
 * Pings a seed at whose address no live node is known, so that the parts of a
 * partitioned cluster merge again.
 */
static bool probe_seed(struct vh_peer *p)
{
	const struct vh_peer_settings *s = &p->settings;

	for (size_t k = 0; k < s->n_seeds; k++) {
		struct vh_slice seed =
			s->seeds[p->probes.next_seed++ % s->n_seeds];
		struct vh_slice address;
		uint16_t port;

		if (!parse_address(seed, &address, &port) ||
		    is_live_address(p, address, port))
			continue;
		start_probe(p, vh_slice(NULL, 0), address, port);
		return true;
	}
	return false;
}

static void probe_dead(struct vh_peer *p)
{
	size_t n = p->members.n;
	size_t start = (size_t)g_rand_int_range(p->rng, 0, (gint32)n);

	for (size_t k = 0; k < n; k++) {
		size_t i = (start + k) % n;

		if (p->members.nodes[i].state == VH_NODE_DEAD) {
			probe_node(p, i);
			return;
		}
	}
}

static void start_round(struct vh_peer *p)
{
	size_t i = vh_members_next_probe(&p->members);

	if (i < p->members.n)
		probe_node(p, i);
	p->probes.rounds++;
	/* A node that knows no other probes a seed in each round. */
	if (i == p->members.n || p->probes.rounds % SEED_PROBE_ROUNDS == 0)
		probe_seed(p);
	if (p->probes.rounds % SEED_PROBE_ROUNDS == SEED_PROBE_ROUNDS / 2)
		probe_dead(p);
}

static void send_indirect_probes(struct vh_peer *p, struct vh_probe *probe)
{
	size_t target = vh_members_find(&p->members, vh_slice_str(probe->id));
	size_t relays[INDIRECT_PROBES];
	size_t n = vh_members_sample_alive(&p->members, target, relays,
					   INDIRECT_PROBES);

	probe->indirect_sent = true;
	for (size_t i = 0; i < n; i++) {
		struct vh_link *link =
			vh_peer_ready_link(p, p->members.nodes[relays[i]].id);

		if (link)
			send_ping_req(link, probe->seq,
				      vh_slice_str(probe->id));
	}
}

static void check_probe_timeouts(struct vh_peer *p, int64_t now_ms)
{
	struct vh_probe *next;

	for (struct vh_probe *q = p->probes.head; q; q = next) {
		int64_t elapsed_ms = now_ms - q->started_ms;
		size_t i;

		next = q->next;
		if (!q->requester && q->id[0] && !q->indirect_sent &&
		    elapsed_ms * 2 >= p->settings.suspect_ms)
			send_indirect_probes(p, q);
		if (elapsed_ms < p->settings.suspect_ms)
			continue;
		i = vh_members_find(&p->members, vh_slice_str(q->id));
		if (!q->requester && q->id[0] && i < p->members.n)
			vh_members_mark_suspect(&p->members, i, now_ms);
		remove_probe(p, q);
	}
}

void vh_probes_tick(struct vh_peer *p, int64_t now_ms)
{
	struct vh_probes *s = &p->probes;
	int64_t gap = now_ms - s->last_tick_ms;

	if (s->last_tick_ms && gap > p->settings.heartbeat_ms) {
		/* This process was paused, so that missing answers do not show
		 * that the other nodes failed. */
		for (struct vh_probe *q = s->head; q; q = q->next)
			q->started_ms += gap;
		for (struct vh_link *l = p->links; l; l = l->next) {
			l->last_received_ms += gap;
			l->created_ms += gap;
		}
		vh_members_compensate_pause(&p->members, gap);
	}
	s->last_tick_ms = now_ms;
	check_probe_timeouts(p, now_ms);
	vh_members_tick(&p->members, now_ms);
	if (now_ms < s->next_ms)
		return;
	s->next_ms = now_ms + p->settings.heartbeat_ms;
	start_round(p);
}

void vh_probes_finish(struct vh_peer *p)
{
	struct vh_probe *next;

	for (struct vh_probe *q = p->probes.head; q; q = next) {
		next = q->next;
		free_probe(q);
	}
	p->probes.head = NULL;
}

void vh_probes_link_ready(struct vh_peer *p, struct vh_link *link)
{
	struct vh_slice id = vh_link_id(link);

	for (struct vh_probe *q = p->probes.head; q; q = q->next) {
		bool same =
			q->id[0] ? vh_slice_eq_str(id, q->id)
				 : link->outgoing && q->port == link->port &&
					   !strcmp(q->address, link->address);

		if (!q->link && same)
			send_probe(p, q, link);
	}
}

static size_t find_by_address(const struct vh_peer *p,
			      const struct vh_link *link)
{
	size_t i;

	for (i = 1; i < p->members.n; i++) {
		const struct vh_node *n = &p->members.nodes[i];

		if (n->port == link->port &&
		    vh_slice_eq_str(n->address, link->address))
			break;
	}
	return i;
}

void vh_probes_link_dropped(struct vh_peer *p, const struct vh_link *link)
{
	size_t i;

	if (link->ready && link->disconnected) {
		i = vh_members_find(&p->members, vh_link_id(link));
		if (i > 0 && i < p->members.n &&
		    p->members.nodes[i].state != VH_NODE_DEAD)
			vh_peer_connect(p, p->members.nodes[i].address,
					p->members.nodes[i].port);
	} else if (link->outgoing && link->conn_refused) {
		i = find_by_address(p, link);
		if (i < p->members.n)
			vh_members_mark_dead(&p->members, i,
					     vh_kernel_now_ms(p->kernel));
	}
}

void vh_probes_link_closed(struct vh_peer *p, struct vh_link *link)
{
	for (struct vh_probe *q = p->probes.head; q; q = q->next) {
		if (q->link != link)
			continue;
		vh_link_unref(q->link);
		q->link = NULL;
	}
}

void vh_probes_send_keepalive(struct vh_peer *p, struct vh_link *link)
{
	send_gossip(p, link, VH_FRAME_PING, 0, 0);
}

static bool merge_updates(struct vh_peer *p, const msgpack_object *list)
{
	int64_t now_ms = vh_kernel_now_ms(p->kernel);

	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		struct vh_member_update update;

		if (!vh_member_update_unpack(&list->via.array.ptr[i], &update))
			return false;
		vh_members_merge(&p->members, &update, now_ms);
	}
	return true;
}

static void handle_ack(struct vh_peer *p, uint64_t seq)
{
	struct vh_probe *q = p->probes.head;

	while (q && q->seq != seq)
		q = q->next;
	if (!q)
		return;
	if (q->requester)
		send_gossip(p, q->requester, VH_FRAME_ACK, q->requester_seq, 0);
	remove_probe(p, q);
}

static bool handle_ping_req(struct vh_peer *p, struct vh_link *link,
			    uint64_t seq, const msgpack_object *target)
{
	struct vh_probe *probe;
	const struct vh_node *n;
	struct vh_slice id;

	if (!vh_frame_read_bytes(target, VH_NODE_NAME_MAX, &id))
		return false;
	n = vh_peer_node(p, id);
	if (!n || n == &p->members.nodes[0])
		return true;
	probe = start_probe(p, n->id, n->address, n->port);
	probe->requester = vh_link_ref(link);
	probe->requester_seq = seq;
	return true;
}

bool vh_probes_handle_frame(struct vh_peer *p, struct vh_link *link,
			    const struct vh_frame *f)
{
	bool known = vh_peer_node(p, vh_link_id(link)) != NULL;
	size_t budget = known ? gossip_budget(p) : GOSSIP_JOIN_BYTES;
	uint64_t seq;

	if (f->n != 2 || !vh_frame_read_u64(&f->args[0], UINT64_MAX, &seq))
		return false;
	if (f->type == VH_FRAME_PING_REQ)
		return handle_ping_req(p, link, seq, &f->args[1]);
	if (!merge_updates(p, &f->args[1]))
		return false;
	if (f->type == VH_FRAME_PING)
		send_gossip(p, link, VH_FRAME_ACK, seq, seq ? budget : 0);
	else
		handle_ack(p, seq);
	return true;
}
