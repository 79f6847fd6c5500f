#ifndef VH_OWNERS_H
#define VH_OWNERS_H

#include "core_priv.h"

/*
 * Service "owners": follows the stream "claims" and makes this node's claims.
 * Rendezvous hashing over live nodes (for racks: of the rack's region, if
 * there is one) says who should own a unit. A node claims what it should own
 * and nobody alive owns, and releases what another live node should own.
 */
struct vh_owners *owners_new(struct vh_core *core);
void owners_free(struct vh_owners *o);
struct vh_service *owners_service(struct vh_owners *o);

/* False if nobody owns @unit now; @claim then still holds its epoch. */
bool owners_get(const struct vh_owners *o, struct vh_slice unit,
		struct vh_claim *claim);

/* @fn is called for each change of owner, in log order. */
void owners_watch(struct vh_owners *o,
		  void (*fn)(void *ctx, const struct vh_claim *claim),
		  void *ctx);

void owners_each(const struct vh_owners *o,
		 void (*fn)(void *ctx, const struct vh_claim *claim),
		 void *ctx);

/* Has the stream been read to its end once? */
bool owners_loaded(const struct vh_owners *o);
/* Monotonic time at which the claims were last known to be up to date;
 * INT64_MIN: never. */
int64_t owners_confirmed_ms(const struct vh_owners *o);
int64_t owners_age_ms(const struct vh_owners *o);

/* Whether a unit that is to be released may go now; default: always. */
void owners_set_release_filter(struct vh_owners *o,
			       bool (*may)(void *ctx, struct vh_slice unit),
			       void *ctx);

#endif
