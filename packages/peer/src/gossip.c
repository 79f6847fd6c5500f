#include <arpa/inet.h>

#include "vh/frame.h"
#include "link.h"
#include "members.h"

/* An update is sent this often for each doubling of the number of nodes. */
#define TRANSMIT_FACTOR 3
#define REFRESH_PER_MESSAGE 2
#define STATE_PERCENT 60 /* share of a message available to states */
#define UPDATE_FIELDS 10

static void pack_update(msgpack_packer *pk, const struct vh_node *node,
			const struct vh_member *m, bool with_summary)
{
	msgpack_pack_array(pk, UPDATE_FIELDS);
	vh_frame_pack_bytes(pk, node->id);
	msgpack_pack_uint64(pk, node->incarnation);
	msgpack_pack_uint64(pk, m->state_version);
	msgpack_pack_int(pk, node->state);
	vh_frame_pack_bytes(pk, node->address);
	msgpack_pack_int(pk, node->port);
	vh_frame_pack_bytes(pk, node->region);
	vh_frame_pack_bytes(pk, node->zone);
	msgpack_pack_uint64(pk, m->summary_version);
	if (with_summary)
		vh_frame_pack_bytes(pk, node->summary);
	else
		msgpack_pack_nil(pk);
}

static uint32_t transmit_limit(const struct vh_members *t)
{
	uint32_t limit = TRANSMIT_FACTOR;

	for (size_t n = t->n; n > 1; n /= 2)
		limit += TRANSMIT_FACTOR;
	return limit;
}

struct gossip_writer {
	struct vh_members *t;
	msgpack_sbuffer out;
	msgpack_packer pk;
	size_t budget;
	uint32_t count;
	uint32_t limit;
};

/* Adds an update of node @i; false, with nothing added, if it does not fit. */
static bool add_update(struct gossip_writer *p, size_t i, bool summary)
{
	struct vh_member *m = &p->t->members[i];
	size_t before = p->out.size;

	pack_update(&p->pk, &p->t->nodes[i], m, summary);
	if (p->out.size > p->budget) {
		p->out.size = before;
		return false;
	}
	p->count++;
	m->transmits++;
	if (summary)
		m->summary_transmits++;
	return true;
}

static uint32_t transmit_count(const struct vh_member *m, bool summary)
{
	return summary ? m->summary_transmits : m->transmits;
}

/* The lowest transmit count above @above; p->limit if there is none. */
static uint32_t next_transmit_count(const struct gossip_writer *p,
				    int64_t above, bool summary)
{
	uint32_t n_transmits = p->limit;

	for (size_t i = 1; i < p->t->n; i++) {
		uint32_t s = transmit_count(&p->t->members[i], summary);

		if ((int64_t)s > above && s < n_transmits)
			n_transmits = s;
	}
	return n_transmits;
}

/*
 * Adds updates that are not fully propagated, those sent least often first:
 * states without summaries, or with @summary, summaries. The caller adds states
 * first, within STATE_PERCENT of the message: summaries that change all the
 * time would otherwise fill every message, and live nodes would be marked dead.
 */
static void add_pending(struct gossip_writer *p, size_t to, bool summary)
{
	struct vh_members *t = p->t;
	int64_t n_transmits = -1;
	size_t start =
		t->n > 1 ? (size_t)g_rand_int_range(t->rng, 0, (gint32)t->n)
			 : 0;
	bool *done = g_new0(bool, t->n);

	while ((n_transmits = next_transmit_count(p, n_transmits, summary)) <
	       p->limit) {
		for (size_t k = 0; k < t->n; k++) {
			size_t i = (start + k) % t->n;

			if (!i || i == to || done[i] ||
			    transmit_count(&t->members[i], summary) !=
				    n_transmits)
				continue;
			done[i] = true;
			if (!add_update(p, i, summary))
				goto full;
		}
	}
full:
	g_free(done);
}

static void add_refresh(struct gossip_writer *p, size_t to)
{
	struct vh_members *t = p->t;

	for (int k = 0; k < REFRESH_PER_MESSAGE && t->n > 1; k++) {
		size_t i = 1 + t->refresh_next++ % (t->n - 1);

		if (i == to || t->nodes[i].state == VH_NODE_DEAD ||
		    t->members[i].summary_transmits < p->limit)
			continue;
		if (!add_update(p, i, true))
			break;
	}
}

void vh_members_pack_updates(struct vh_members *t, size_t to, size_t budget,
			     msgpack_packer *pk)
{
	struct gossip_writer p = { .t = t, .budget = budget };

	p.limit = transmit_limit(t);
	msgpack_sbuffer_init(&p.out);
	msgpack_packer_init(&p.pk, &p.out, msgpack_sbuffer_write);
	add_update(&p, 0, false);
	if (to > 0 && to < t->n &&
	    (t->nodes[to].state != VH_NODE_ALIVE || t->members[to].id_conflict))
		add_update(&p, to, false);
	p.budget = budget * STATE_PERCENT / 100;
	add_pending(&p, to, false);
	p.budget = budget;
	if (t->members[0].summary_transmits < p.limit)
		add_update(&p, 0, true);
	add_pending(&p, to, true);
	add_refresh(&p, to);
	msgpack_pack_array(pk, p.count);
	pk->callback(pk->data, p.out.data, p.out.size);
	msgpack_sbuffer_destroy(&p.out);
}

static bool is_ipv4(struct vh_slice s)
{
	char text[VH_ADDRESS_MAX];
	struct in_addr addr;

	if (s.len >= sizeof(text))
		return false;
	memcpy(text, s.data, s.len);
	text[s.len] = '\0';
	return inet_pton(AF_INET, text, &addr) == 1;
}

bool vh_member_update_unpack(const msgpack_object *o,
			     struct vh_member_update *update)
{
	const msgpack_object *f;
	struct vh_node *n = &update->node;
	uint64_t state, port;

	memset(update, 0, sizeof(*update));
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != UPDATE_FIELDS)
		return false;
	f = o->via.array.ptr;
	if (!vh_frame_read_bytes(&f[0], VH_NODE_NAME_MAX, &n->id) ||
	    !n->id.len ||
	    !vh_frame_read_u64(&f[1], UINT64_MAX, &n->incarnation) ||
	    !vh_frame_read_u64(&f[2], UINT32_MAX, &update->state_version) ||
	    !vh_frame_read_u64(&f[3], VH_NODE_DEAD, &state) ||
	    !vh_frame_read_bytes(&f[4], VH_ADDRESS_MAX, &n->address) ||
	    !vh_frame_read_u64(&f[5], UINT16_MAX, &port) ||
	    !vh_frame_read_bytes(&f[6], VH_NODE_NAME_MAX, &n->region) ||
	    !vh_frame_read_bytes(&f[7], VH_NODE_NAME_MAX, &n->zone) ||
	    !vh_frame_read_u64(&f[8], UINT32_MAX, &update->summary_version))
		return false;
	if (!is_ipv4(n->address) || !port)
		return false;
	n->state = (enum vh_node_state)state;
	n->port = (uint16_t)port;
	update->has_summary = f[9].type != MSGPACK_OBJECT_NIL;
	return !update->has_summary ||
	       vh_frame_read_bytes(&f[9], VH_PEER_SUMMARY_MAX, &n->summary);
}
