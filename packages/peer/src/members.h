#ifndef VH_MEMBERS_H
#define VH_MEMBERS_H

/*
 * The membership table: merges the updates received by gossip and selects those
 * to send. Internal to the package: called by peer.c, connect.c and probe.c;
 * gossip.c has its message format.
 */

#include <msgpack.h>

#include "vh/peer.h"

/**
 * struct vh_member_update - one node's view of a node, as sent in gossip
 * @state_version: incremented by the node itself when it refutes an update or
 *		   changes its state; the higher version wins
 * @summary_version: incremented with each change of the summary
 * @has_summary: the update carries @node.summary
 */
struct vh_member_update {
	struct vh_node node;
	uint64_t state_version;
	uint64_t summary_version;
	bool has_summary;
};

/**
 * struct vh_member - internal state of a node, beside the public vh_node
 * @transmits: how often the state was sent since it last changed
 * @summary_transmits: how often the summary was sent since it last changed
 * @id_conflict: another process claims the id; the node is sent its own entry,
 *		 so that it refutes the other
 */
struct vh_member {
	uint64_t state_version;
	uint64_t summary_version;
	uint32_t transmits;
	uint32_t summary_transmits;
	bool id_conflict;
	int64_t suspect_since_ms; /* 0: not suspected */
	int64_t changed_ms;
};

/**
 * struct vh_members - the membership table; does no I/O
 * @nodes: the local node first
 * @members: internal state, by the same index as @nodes
 * @probe_order: node indexes in random order, to be probed
 * @next_probe: position in @probe_order
 * @changed: a node was added, removed, restarted or changed its state; the
 *	     caller clears it
 *
 * Dead nodes are kept for a while so that outdated updates do not add them
 * again as alive.
 */
struct vh_members {
	struct vh_node *nodes;
	struct vh_member *members;
	size_t n;
	size_t cap;
	size_t *probe_order;
	size_t n_probe_order;
	size_t next_probe;
	size_t refresh_next; /* round-robin position for refresh updates */
	int64_t suspect_ms;
	int64_t dead_ms;
	GRand *rng;
	bool changed;
};

/* vh_members_init - @self is copied to index 0 */
void vh_members_init(struct vh_members *t, const struct vh_node *self,
		     int64_t suspect_ms, int64_t dead_ms, uint32_t seed);
void vh_members_finish(struct vh_members *t);

/* vh_members_find - index of a node, or t->n if it is not known */
size_t vh_members_find(const struct vh_members *t, struct vh_slice id);

/**
 * vh_members_merge - applies an update if it supersedes the local entry
 *
 * An update about the local node that comes from another incarnation, or has a
 * newer state version or a worse state, is refuted with a higher state version.
 */
void vh_members_merge(struct vh_members *t,
		      const struct vh_member_update *update, int64_t now_ms);

/* vh_members_mark_heard - records a frame from the node; ends the pending
 * suspicion of a leaving node */
void vh_members_mark_heard(struct vh_members *t, size_t i, int64_t now_ms);

/* vh_members_mark_suspect - the node answered neither a direct nor an indirect
 * probe */
void vh_members_mark_suspect(struct vh_members *t, size_t i, int64_t now_ms);

/* vh_members_mark_dead - marks a node dead without a suspicion period, because
 * its host refused a connection: no process listens at its address */
void vh_members_mark_dead(struct vh_members *t, size_t i, int64_t now_ms);

/* vh_members_tick - marks nodes dead whose suspicion expired and removes nodes
 * that have been dead for long enough */
void vh_members_tick(struct vh_members *t, int64_t now_ms);

/* vh_members_compensate_pause - shifts suspicion and removal times by @ms, for
 * which this process was paused */
void vh_members_compensate_pause(struct vh_members *t, int64_t ms);

/* vh_members_next_probe - index of the next node to probe, or t->n if there is
 * none */
size_t vh_members_next_probe(struct vh_members *t);

/* vh_members_sample_alive - random sample of up to @n alive nodes, without the
 * local node and @except */
size_t vh_members_sample_alive(struct vh_members *t, size_t except, size_t *out,
			       size_t n);

void vh_members_leave(struct vh_members *t, int64_t now_ms);
void vh_members_set_summary(struct vh_members *t, struct vh_slice summary);

/**
 * vh_members_pack_updates - packs an array of updates of at most @budget bytes,
 * not counting the array header
 * @to: index of the receiver, or t->n if it is not known; if it is not alive
 *	here or its id is claimed by another process, it is sent its own entry
 *	so that it can refute
 *
 * The local node comes first, then the updates sent least often, then a few
 * fully propagated entries in round-robin order, so that lost updates arrive
 * eventually.
 */
void vh_members_pack_updates(struct vh_members *t, size_t to, size_t budget,
			     msgpack_packer *pk);

/* vh_member_update_unpack - false if @o is malformed; slices point into it */
bool vh_member_update_unpack(const msgpack_object *o,
			     struct vh_member_update *update);

#endif
