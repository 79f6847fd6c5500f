#ifndef VH_MEMBERS_H
#define VH_MEMBERS_H

#include <msgpack.h>

#include "vh/peer.h"

/**
 * struct vh_member_update - what one node says about a node
 * @counter: raised by the node itself whenever it refutes or changes state;
 *	     the higher one wins
 * @summary_version: raised with each change of the summary
 * @has_summary: @node.summary is part of the news
 */
struct vh_member_update {
	struct vh_node node;
	uint64_t counter;
	uint64_t summary_version;
	bool has_summary;
};

/* How much better known a node is here than its public view tells. */
struct vh_member {
	uint64_t counter;
	uint64_t summary_version;
	uint32_t spread; /* times sent since it last changed */
	uint32_t summary_transmits;
	bool contested; /* another process has used its id; it is told */
	int64_t suspect_since_ms; /* 0: not suspected */
	int64_t changed_ms;
};

/**
 * struct vh_members - the table of nodes; pure, no I/O
 * @nodes: oneself first
 * @members: same index as @nodes
 * @order: random order of indexes to probe, @next the position in it
 *
 * Nodes are kept for a while after their death so that old news about them
 * does not bring them back.
 */
struct vh_members {
	struct vh_node *nodes;
	struct vh_member *members;
	size_t n;
	size_t cap;
	size_t *order;
	size_t n_order;
	size_t next;
	size_t stale; /* position of the round through well-known nodes */
	int64_t suspect_ms;
	int64_t dead_ms;
	GRand *rng;
	bool changed; /* a node came, went or changed state; user resets */
};

/* vh_members_init - @self is copied and becomes index 0 */
void vh_members_init(struct vh_members *t, const struct vh_node *self,
		     int64_t suspect_ms, int64_t dead_ms, uint32_t seed);
void vh_members_finish(struct vh_members *t);

/* vh_members_find - index of a node, or t->n */
size_t vh_members_find(const struct vh_members *t, struct vh_slice id);

/**
 * vh_members_merge - takes in news
 *
 * News about oneself that would make one look older, suspect or dead is
 * refuted with a higher counter.
 */
void vh_members_merge(struct vh_members *t, const struct vh_member_update *news,
		      int64_t now_ms);

/* vh_members_mark_heard - the node itself was heard; ends a local suspicion */
void vh_members_mark_heard(struct vh_members *t, size_t i, int64_t now_ms);

/* vh_members_mark_suspect - the node did not answer a probe nor the helpers' */
void vh_members_mark_suspect(struct vh_members *t, size_t i, int64_t now_ms);

/* vh_members_mark_dead - its machine says that nobody listens at its address: the
 * process is gone, there is nothing to wait for */
void vh_members_mark_dead(struct vh_members *t, size_t i, int64_t now_ms);

/* vh_members_tick - suspicion becomes death, the dead are forgotten */
void vh_members_tick(struct vh_members *t, int64_t now_ms);

/* vh_members_compensate_pause - this process stood still for @ms; shifts suspicions */
void vh_members_compensate_pause(struct vh_members *t, int64_t ms);

/* vh_members_next_probe - next node to probe, or t->n if there is none */
size_t vh_members_next_probe(struct vh_members *t);

/* vh_members_sample_alive - up to @n living nodes but oneself and @except */
size_t vh_members_sample_alive(struct vh_members *t, size_t except, size_t *out,
			       size_t n);

void vh_members_leave(struct vh_members *t, int64_t now_ms);
void vh_members_set_summary(struct vh_members *t, struct vh_slice summary);

/**
 * vh_members_pack_updates - packs an array of news of at most @budget bytes
 * @to: index of the receiver, which is told if it is not known as alive; t->n
 *	if it is not known
 *
 * Oneself first, then what is least spread, then a few well-known nodes in
 * turn, so that lost news arrives in the end.
 */
void vh_members_pack_updates(struct vh_members *t, size_t to, size_t budget,
			     msgpack_packer *pk);

/* vh_member_update_unpack - false if @o is malformed; slices point into it */
bool vh_member_update_unpack(const msgpack_object *o,
			     struct vh_member_update *news);

#endif
