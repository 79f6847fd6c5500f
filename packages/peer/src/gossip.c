#include <arpa/inet.h>

#include "vh/frame.h"
#include "link.h"
#include "members.h"

/* State and summary of a node are sent this often for each doubling of N. */
#define SPREAD_FACTOR 3
#define STALE_PER_MESSAGE 2
#define STATE_PERCENT 60 /* of a message, which states may take */
#define NEWS_FIELDS 10

static void pack_one(msgpack_packer *pk, const struct vh_node *node,
		     const struct vh_member *m, bool with_summary)
{
	msgpack_pack_array(pk, NEWS_FIELDS);
	vh_frame_pack_bytes(pk, node->id);
	msgpack_pack_uint64(pk, node->incarnation);
	msgpack_pack_uint64(pk, m->counter);
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

static uint32_t spread_limit(const struct vh_members *t)
{
	uint32_t limit = SPREAD_FACTOR;

	for (size_t n = t->n; n > 1; n /= 2)
		limit += SPREAD_FACTOR;
	return limit;
}

struct packing {
	struct vh_members *t;
	msgpack_sbuffer out;
	msgpack_packer pk;
	size_t budget;
	uint32_t count;
	uint32_t limit;
};

/* Adds news of node @i; false, and nothing added, when it does not fit. */
static bool add_news(struct packing *p, size_t i, bool summary)
{
	struct vh_member *m = &p->t->members[i];
	size_t before = p->out.size;

	pack_one(&p->pk, &p->t->nodes[i], m, summary);
	if (p->out.size > p->budget) {
		p->out.size = before;
		return false;
	}
	p->count++;
	m->spread++;
	if (summary)
		m->summary_transmits++;
	return true;
}

static uint32_t times_spread(const struct vh_member *m, bool summary)
{
	return summary ? m->summary_transmits : m->spread;
}

/* How often the least spread node among those above @above was spread. */
static uint32_t next_level(const struct packing *p, int64_t above, bool summary)
{
	uint32_t level = p->limit;

	for (size_t i = 1; i < p->t->n; i++) {
		uint32_t s = times_spread(&p->t->members[i], summary);

		if ((int64_t)s > above && s < level)
			level = s;
	}
	return level;
}

/*
 * Adds fresh states without summaries, or fresh summaries, least spread first.
 * States go first, in a part of each message: summaries that change all the time would fill every message
 * and the living would be taken for dead.
 */
static void add_fresh(struct packing *p, size_t to, bool summary)
{
	struct vh_members *t = p->t;
	int64_t level = -1;
	size_t start =
		t->n > 1 ? (size_t)g_rand_int_range(t->rng, 0, (gint32)t->n)
			 : 0;
	bool *done = g_new0(bool, t->n);

	while ((level = next_level(p, level, summary)) < p->limit) {
		for (size_t k = 0; k < t->n; k++) {
			size_t i = (start + k) % t->n;

			if (!i || i == to || done[i] ||
			    times_spread(&t->members[i], summary) != level)
				continue;
			done[i] = true;
			if (!add_news(p, i, summary))
				goto full;
		}
	}
full:
	g_free(done);
}

static void add_stale(struct packing *p, size_t to)
{
	struct vh_members *t = p->t;

	for (int k = 0; k < STALE_PER_MESSAGE && t->n > 1; k++) {
		size_t i = 1 + t->stale++ % (t->n - 1);

		if (i == to || t->nodes[i].state == VH_NODE_DEAD ||
		    t->members[i].summary_transmits < p->limit)
			continue;
		if (!add_news(p, i, true))
			break;
	}
}

void vh_members_pack_updates(struct vh_members *t, size_t to, size_t budget,
			     msgpack_packer *pk)
{
	struct packing p = { .t = t, .budget = budget };

	p.limit = spread_limit(t);
	msgpack_sbuffer_init(&p.out);
	msgpack_packer_init(&p.pk, &p.out, msgpack_sbuffer_write);
	add_news(&p, 0, false);
	if (to > 0 && to < t->n &&
	    (t->nodes[to].state != VH_NODE_ALIVE || t->members[to].contested))
		add_news(&p, to, false);
	p.budget = budget * STATE_PERCENT / 100;
	add_fresh(&p, to, false);
	p.budget = budget;
	if (t->members[0].summary_transmits < p.limit)
		add_news(&p, 0, true);
	add_fresh(&p, to, true);
	add_stale(&p, to);
	msgpack_pack_array(pk, p.count);
	pk->callback(pk->data, p.out.data, p.out.size);
	msgpack_sbuffer_destroy(&p.out);
}

static bool is_ip(struct vh_slice s)
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
			     struct vh_member_update *news)
{
	const msgpack_object *f;
	struct vh_node *n = &news->node;
	uint64_t state, port;

	memset(news, 0, sizeof(*news));
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != NEWS_FIELDS)
		return false;
	f = o->via.array.ptr;
	if (!vh_frame_read_bytes(&f[0], VH_NODE_NAME_MAX, &n->id) ||
	    !n->id.len ||
	    !vh_frame_read_u64(&f[1], UINT64_MAX, &n->incarnation) ||
	    !vh_frame_read_u64(&f[2], UINT32_MAX, &news->counter) ||
	    !vh_frame_read_u64(&f[3], VH_NODE_DEAD, &state) ||
	    !vh_frame_read_bytes(&f[4], VH_ADDRESS_MAX, &n->address) ||
	    !vh_frame_read_u64(&f[5], UINT16_MAX, &port) ||
	    !vh_frame_read_bytes(&f[6], VH_NODE_NAME_MAX, &n->region) ||
	    !vh_frame_read_bytes(&f[7], VH_NODE_NAME_MAX, &n->zone) ||
	    !vh_frame_read_u64(&f[8], UINT32_MAX, &news->summary_version))
		return false;
	if (!is_ip(n->address) || !port)
		return false;
	n->state = (enum vh_node_state)state;
	n->port = (uint16_t)port;
	news->has_summary = f[9].type != MSGPACK_OBJECT_NIL;
	return !news->has_summary ||
	       vh_frame_read_bytes(&f[9], VH_PEER_SUMMARY_MAX, &n->summary);
}
