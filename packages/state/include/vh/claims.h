#ifndef VH_CLAIMS_H
#define VH_CLAIMS_H

#include "vh/record.h"

#define VH_NODE_ID_MAX 48
#define VH_UNIT_MAX 80

/**
 * struct vh_claim - who owns a unit
 * @unit: "rack/RACK" or "home/TEAM/K"
 * @node: id of the owning node, empty if released
 * @incarnation: of that node's process
 * @epoch: log offset of the claim or release; the fencing token
 */
struct vh_claim {
	struct vh_slice unit;
	struct vh_slice node;
	uint64_t incarnation;
	uint64_t epoch;
};

/**
 * struct vh_claims - ownership as the stream "claims" says
 *
 * A claim names the epoch that it supersedes; it counts if that is still the
 * unit's epoch, so the first in log order wins and every reader agrees.
 */
struct vh_claims;

struct vh_claims *vh_claims_new(void);
void vh_claims_free(struct vh_claims *c);

/**
 * vh_claims_apply - applies one record
 *
 * Returns true if it changed an owner and then sets @changed. Records of
 * other kinds change nothing. One batch can hold many claims: all of them
 * get the batch's offset as epoch.
 */
bool vh_claims_apply(struct vh_claims *c, uint64_t offset, uint32_t kind,
		     struct vh_slice body, struct vh_claim *changed);

/* vh_claims_get - false if the unit was never claimed (epoch 0) */
bool vh_claims_get(const struct vh_claims *c, struct vh_slice unit,
		   struct vh_claim *out);

void vh_claims_each(const struct vh_claims *c,
		    void (*fn)(void *ctx, const struct vh_claim *claim),
		    void *ctx);
size_t vh_claims_count(const struct vh_claims *c);

/* vh_claims_dump, vh_claims_load - all of it, for a snapshot; load replaces
 * what was there, and returns false, with nothing left, if @bytes are torn */
void vh_claims_dump(const struct vh_claims *c, struct vh_buf *out);
bool vh_claims_load(struct vh_claims *c, struct vh_slice bytes);

/* Bodies of VH_REC_CLAIM and VH_REC_RELEASE. @prev is the epoch superseded. */
void vh_claim_pack(struct vh_buf *out, struct vh_slice unit,
		   struct vh_slice node, uint64_t incarnation, uint64_t prev);

/**
 * vh_rendezvous - the member that should own a unit
 * @members: @n node ids
 *
 * Highest-random-weight hashing; returns an index, or @n if @n is 0.
 */
size_t vh_rendezvous(struct vh_slice unit, const struct vh_slice *members,
		     size_t n);

#endif
