#include "members.h"

#include "vh/log.h"

/* Dead nodes are removed after this multiple of dead_ms. */
#define DEAD_RETENTION_FACTOR 10

static struct vh_slice dup_slice(struct vh_slice s)
{
	return vh_slice(vh_slice_dup(s), s.len);
}

static void set_slice(struct vh_slice *to, struct vh_slice s)
{
	struct vh_slice old = *to;

	if (vh_slice_eq(old, s))
		return;
	*to = dup_slice(s);
	g_free((char *)old.data);
}

static size_t add_node(struct vh_members *t, const struct vh_node *node)
{
	struct vh_node *n;

	if (t->n == t->cap) {
		t->cap = t->cap ? t->cap * 2 : 8;
		t->nodes = g_renew(struct vh_node, t->nodes, t->cap);
		t->members = g_renew(struct vh_member, t->members, t->cap);
	}
	n = &t->nodes[t->n];
	*n = *node;
	n->id = dup_slice(node->id);
	n->address = dup_slice(node->address);
	n->region = dup_slice(node->region);
	n->zone = dup_slice(node->zone);
	n->summary = dup_slice(node->summary);
	memset(&t->members[t->n], 0, sizeof(t->members[t->n]));
	t->changed = true;
	return t->n++;
}

static void free_node(struct vh_node *n)
{
	g_free((char *)n->id.data);
	g_free((char *)n->address.data);
	g_free((char *)n->region.data);
	g_free((char *)n->zone.data);
	g_free((char *)n->summary.data);
}

static void remove_node(struct vh_members *t, size_t i)
{
	free_node(&t->nodes[i]);
	t->n--;
	t->nodes[i] = t->nodes[t->n];
	t->members[i] = t->members[t->n];
	t->n_probe_order = 0;
	t->changed = true;
}

void vh_members_init(struct vh_members *t, const struct vh_node *self,
		     int64_t suspect_ms, int64_t dead_ms, uint32_t seed)
{
	memset(t, 0, sizeof(*t));
	t->suspect_ms = suspect_ms;
	t->dead_ms = dead_ms;
	t->rng = g_rand_new_with_seed(seed);
	add_node(t, self);
}

void vh_members_finish(struct vh_members *t)
{
	for (size_t i = 0; i < t->n; i++)
		free_node(&t->nodes[i]);
	g_free(t->nodes);
	g_free(t->members);
	g_free(t->probe_order);
	g_rand_free(t->rng);
	memset(t, 0, sizeof(*t));
}

size_t vh_members_find(const struct vh_members *t, struct vh_slice id)
{
	size_t i = 0;

	while (i < t->n && !vh_slice_eq(t->nodes[i].id, id))
		i++;
	return i;
}

static void set_state(struct vh_members *t, size_t i, enum vh_node_state state,
		      int64_t now_ms)
{
	struct vh_member *m = &t->members[i];

	if (t->nodes[i].state != state)
		t->changed = true;
	t->nodes[i].state = state;
	m->transmits = 0;
	m->changed_ms = now_ms;
	if (state == VH_NODE_SUSPECT && !m->suspect_since_ms)
		m->suspect_since_ms = now_ms;
	if (state == VH_NODE_ALIVE || state == VH_NODE_DEAD)
		m->suspect_since_ms = 0;
}

/* True if @update supersedes the local entry. */
static bool supersedes(const struct vh_node *n, const struct vh_member *m,
		       const struct vh_member_update *update)
{
	if (update->state_version != m->state_version)
		return update->state_version > m->state_version;
	if (update->node.incarnation != n->incarnation)
		return update->node.incarnation > n->incarnation;
	return update->node.state > n->state;
}

/*
 * Handles an update about the local node. Raises the state version above the
 * update's if another process had or has the same id, or if other nodes claim a
 * newer version or a worse state.
 */
static void refute(struct vh_members *t, const struct vh_member_update *update)
{
	struct vh_node *self = &t->nodes[0];
	struct vh_member *m = &t->members[0];
	bool same = update->node.incarnation == self->incarnation;

	if (same && (update->state_version < m->state_version ||
		     (update->state_version == m->state_version &&
		      update->node.state <= self->state)))
		return;
	if (!same && update->state_version < m->state_version)
		return;
	m->state_version = update->state_version + 1;
	m->transmits = 0;
	m->summary_transmits = 0;
}

static void merge_summary(struct vh_members *t, size_t i,
			  const struct vh_member_update *update)
{
	struct vh_member *m = &t->members[i];

	if (!update->has_summary ||
	    update->summary_version <= m->summary_version)
		return;
	set_slice(&t->nodes[i].summary, update->node.summary);
	m->summary_version = update->summary_version;
	m->summary_transmits = 0;
}

void vh_members_merge(struct vh_members *t,
		      const struct vh_member_update *update, int64_t now_ms)
{
	const struct vh_node *remote = &update->node;
	size_t i = vh_members_find(t, remote->id);
	struct vh_node *n;
	struct vh_member *m;

	if (!i) {
		refute(t, update);
		return;
	}
	if (i == t->n) {
		struct vh_node added = *remote;

		if (remote->state == VH_NODE_DEAD)
			return;
		added.summary = vh_slice(NULL, 0);
		i = add_node(t, &added);
		t->members[i].state_version = update->state_version;
		t->nodes[i].heard_ms = now_ms;
		set_state(t, i, remote->state, now_ms);
		merge_summary(t, i, update);
		return;
	}
	n = &t->nodes[i];
	m = &t->members[i];
	if (supersedes(n, m, update)) {
		bool restarted = remote->incarnation != n->incarnation;
		bool refuted = update->state_version > m->state_version;

		if (restarted)
			m->summary_version = 0;
		n->incarnation = remote->incarnation;
		n->port = remote->port;
		set_slice(&n->address, remote->address);
		set_slice(&n->region, remote->region);
		set_slice(&n->zone, remote->zone);
		m->state_version = update->state_version;
		m->id_conflict = false;
		if (restarted || refuted) {
			m->suspect_since_ms = 0;
			n->heard_ms = now_ms;
		}
		t->changed |= restarted;
		set_state(t, i, remote->state, now_ms);
	}
	if (remote->incarnation == n->incarnation)
		merge_summary(t, i, update);
	else
		m->id_conflict = true;
}

void vh_members_mark_heard(struct vh_members *t, size_t i, int64_t now_ms)
{
	t->nodes[i].heard_ms = now_ms;
	if (t->nodes[i].state == VH_NODE_LEAVING)
		t->members[i].suspect_since_ms = 0;
}

void vh_members_mark_suspect(struct vh_members *t, size_t i, int64_t now_ms)
{
	struct vh_member *m = &t->members[i];

	if (t->nodes[i].state == VH_NODE_ALIVE)
		set_state(t, i, VH_NODE_SUSPECT, now_ms);
	else if (!m->suspect_since_ms && t->nodes[i].state != VH_NODE_DEAD)
		m->suspect_since_ms = now_ms;
}

void vh_members_mark_dead(struct vh_members *t, size_t i, int64_t now_ms)
{
	if (i > 0 && t->nodes[i].state != VH_NODE_DEAD)
		set_state(t, i, VH_NODE_DEAD, now_ms);
}

void vh_members_tick(struct vh_members *t, int64_t now_ms)
{
	for (size_t i = t->n; i-- > 1;) {
		struct vh_member *m = &t->members[i];

		if (t->nodes[i].state == VH_NODE_DEAD) {
			if (now_ms - m->changed_ms >
			    t->dead_ms * DEAD_RETENTION_FACTOR)
				remove_node(t, i);
		} else if (m->suspect_since_ms &&
			   now_ms - m->suspect_since_ms >=
				   t->dead_ms - t->suspect_ms) {
			set_state(t, i, VH_NODE_DEAD, now_ms);
		}
	}
}

void vh_members_compensate_pause(struct vh_members *t, int64_t ms)
{
	for (size_t i = 1; i < t->n; i++) {
		t->members[i].changed_ms += ms;
		if (t->members[i].suspect_since_ms)
			t->members[i].suspect_since_ms += ms;
	}
}

static void shuffle_probe_order(struct vh_members *t)
{
	t->probe_order = g_renew(size_t, t->probe_order, t->cap);
	t->n_probe_order = 0;
	t->next_probe = 0;
	for (size_t i = 1; i < t->n; i++) {
		size_t at;

		if (t->nodes[i].state == VH_NODE_DEAD)
			continue;
		at = (size_t)g_rand_int_range(t->rng, 0,
					      (gint32)t->n_probe_order + 1);
		if (at != t->n_probe_order)
			t->probe_order[t->n_probe_order] = t->probe_order[at];
		t->probe_order[at] = i;
		t->n_probe_order++;
	}
}

size_t vh_members_next_probe(struct vh_members *t)
{
	for (int round = 0; round < 2; round++) {
		while (t->next_probe < t->n_probe_order) {
			size_t i = t->probe_order[t->next_probe++];

			if (i < t->n && t->nodes[i].state != VH_NODE_DEAD)
				return i;
		}
		shuffle_probe_order(t);
	}
	return t->n;
}

size_t vh_members_sample_alive(struct vh_members *t, size_t except, size_t *out,
			       size_t n)
{
	size_t n_out = 0, n_seen = 0;

	for (size_t i = 1; i < t->n; i++) {
		size_t at;

		if (i == except || t->nodes[i].state != VH_NODE_ALIVE)
			continue;
		n_seen++;
		if (n_out < n) {
			out[n_out++] = i;
			continue;
		}
		at = (size_t)g_rand_int_range(t->rng, 0, (gint32)n_seen);
		if (at < n)
			out[at] = i;
	}
	return n_out;
}

void vh_members_leave(struct vh_members *t, int64_t now_ms)
{
	t->members[0].state_version++;
	set_state(t, 0, VH_NODE_LEAVING, now_ms);
}

void vh_members_set_summary(struct vh_members *t, struct vh_slice summary)
{
	if (vh_slice_eq(t->nodes[0].summary, summary))
		return;
	set_slice(&t->nodes[0].summary, summary);
	t->members[0].summary_version++;
	t->members[0].summary_transmits = 0;
}
