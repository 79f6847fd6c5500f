#ifndef VH_OWNERS_H
#define VH_OWNERS_H

/*
 * Service "owners": which node owns each unit, that is, each rack or home.
 * Internal to the package: the other services of the core look up and watch
 * owners here.
 */

#include "core_priv.h"

/*
 * Replays the stream "claims" and appends this node's claims. The preferred
 * owner of a unit is chosen by rendezvous hashing over the live nodes (for
 * racks: those of the rack's region, if any). A node claims a unit if it is
 * the preferred owner and no live node owns the unit, and releases units whose
 * preferred owner is another live node.
 */
struct vh_owners *owners_new(struct vh_core *core);
void owners_free(struct vh_owners *o);
struct vh_service *owners_service(struct vh_owners *o);

/* Returns false if @unit has no owner; @claim then still has its last epoch. */
bool owners_get(const struct vh_owners *o, struct vh_slice unit,
		struct vh_claim *claim);

/* Registers @fn, which is called for each change of owner, in log order. */
void owners_watch(struct vh_owners *o,
		  void (*fn)(void *ctx, const struct vh_claim *claim),
		  void *ctx);

void owners_each(const struct vh_owners *o,
		 void (*fn)(void *ctx, const struct vh_claim *claim),
		 void *ctx);

/* Whether the stream has been read to its end. */
bool owners_loaded(const struct vh_owners *o);
/* Monotonic time at which the claims were last known to be up to date;
 * INT64_MIN: never. */
int64_t owners_confirmed_ms(const struct vh_owners *o);
int64_t owners_age_ms(const struct vh_owners *o);

/* Sets a predicate that may delay the release of a unit; default: no delay. */
void owners_set_release_filter(struct vh_owners *o,
			       bool (*may)(void *ctx, struct vh_slice unit),
			       void *ctx);

#endif
