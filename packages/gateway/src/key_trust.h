#ifndef VH_KEY_TRUST_H
#define VH_KEY_TRUST_H

/*
 * Decides whether a node that has lost contact with the log may go on accepting
 * API keys. Performs no I/O. Internal to the package; called by gateway.c and
 * test_admission.cc.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct vh_key_trust - whether the API keys known here are current enough to
 * authenticate with
 * @max_age_ms: while the last contact with the log is not older than this, keys
 *		are trusted whatever the number of live nodes
 * @last_live: live nodes, this one included, at the last update at which the
 *	       contact with the log was not older than @max_age_ms
 * @untrusted: keys are refused until the log is reached again
 *
 * Publishing requires a node that reaches the log. A node that sees more than
 * half of @last_live nodes, none of which reaches the log, continues: the log
 * is down for most nodes that could publish. A node that sees half of them or
 * fewer may be partitioned from a majority that has already withdrawn a key.
 */
struct vh_key_trust {
	int64_t max_age_ms;
	size_t last_live;
	bool untrusted;
};

void vh_key_trust_init(struct vh_key_trust *t, int64_t max_age_ms);

/**
 * vh_key_trust_update - updates the decision from the current state
 * @age_ms: time since the last contact with the log, directly or through a peer
 * @live: live nodes, this one included
 *
 * Returns whether keys may be trusted.
 */
bool vh_key_trust_update(struct vh_key_trust *t, int64_t age_ms, size_t live);

#endif
