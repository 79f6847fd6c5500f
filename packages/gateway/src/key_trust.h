#ifndef VH_KEY_TRUST_H
#define VH_KEY_TRUST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct vh_key_trust - may this node still go by the keys that it knows? Pure.
 * @max_age_ms: how old the newest word from the log may be
 * @nodes: living nodes, oneself included, when the log was last heard
 * @closed: it may not; holds until the log is heard again
 *
 * A publish needs a node that reaches the log. A node that hears more than
 * half of the nodes, none of which hears the log, goes on: the log is down and
 * most of those who could publish cannot. One that hears half of them or fewer
 * may be the only one that does not know of a withdrawn key.
 */
struct vh_key_trust {
	int64_t max_age_ms;
	size_t nodes;
	bool closed;
};

void vh_key_trust_init(struct vh_key_trust *t, int64_t max_age_ms);

/**
 * vh_key_trust_update - takes in what is known now
 * @age_ms: age of the newest word from the log, directly or through a peer
 * @living: nodes that are heard, oneself included
 *
 * Returns whether keys may be trusted.
 */
bool vh_key_trust_update(struct vh_key_trust *t, int64_t age_ms, size_t living);

#endif
