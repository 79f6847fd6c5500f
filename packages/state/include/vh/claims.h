#ifndef VH_CLAIMS_H
#define VH_CLAIMS_H

/*
 * Replays the stream "claims" to determine which node owns each unit, and under
 * which epoch. Called by packages/core, which claims and releases units.
 */

#include "vh/record.h"

#define VH_NODE_ID_MAX 48
#define VH_UNIT_MAX 80

/**
 * struct vh_claim - the current owner of a unit
 * @unit: "rack/RACK" or "home/TEAM/K"
 * @node: id of the owning node, empty if released
 * @incarnation: incarnation of the owner's process
 * @epoch: log offset of the claim or release; the fencing token
 */
struct vh_claim {
	struct vh_slice unit;
	struct vh_slice node;
	uint64_t incarnation;
	uint64_t epoch;
};

/**
 * struct vh_claims - the owners of all units
 *
 * A claim names the epoch that it supersedes and takes effect only if that is
 * still the unit's epoch. The first claim in log order therefore wins, and all
 * readers agree on the owner.
 */
struct vh_claims;

struct vh_claims *vh_claims_new(void);
void vh_claims_free(struct vh_claims *c);

/**
 * vh_claims_apply - applies one record
 *
 * Returns true and sets @changed if the record changed an owner. Records of
 * other kinds are ignored. A batch can hold several claims; all of them get the
 * batch's offset as their epoch.
 */
bool vh_claims_apply(struct vh_claims *c, uint64_t offset, uint32_t kind,
		     struct vh_slice body, struct vh_claim *changed);

/* vh_claims_get - returns false if the unit was never claimed (epoch 0) */
bool vh_claims_get(const struct vh_claims *c, struct vh_slice unit,
		   struct vh_claim *out);

void vh_claims_each(const struct vh_claims *c,
		    void (*fn)(void *ctx, const struct vh_claim *claim),
		    void *ctx);
size_t vh_claims_count(const struct vh_claims *c);

/*
 * vh_claims_dump, vh_claims_load - serialise and restore all claims for a
 * snapshot. Loading replaces the current contents; on malformed @bytes it
 * returns false and leaves @c empty.
 */
void vh_claims_dump(const struct vh_claims *c, struct vh_buf *out);
bool vh_claims_load(struct vh_claims *c, struct vh_slice bytes);

/* Bodies of VH_REC_CLAIM and VH_REC_RELEASE. @prev is the epoch superseded. */
void vh_claim_pack(struct vh_buf *out, struct vh_slice unit,
		   struct vh_slice node, uint64_t incarnation, uint64_t prev);

/**
 * vh_rendezvous - chooses the preferred owner of a unit
 * @members: @n node ids
 *
 * Uses highest-random-weight hashing. Returns an index, or @n if @n is 0.
 */
size_t vh_rendezvous(struct vh_slice unit, const struct vh_slice *members,
		     size_t n);

#endif
