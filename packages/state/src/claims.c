#include "vh/claims.h"

#include <glib.h>
#include <stdlib.h>

#include "table.h"
#include "vh/codec.h"

struct claim_entry {
	struct vh_table_node node;
	char *owner;
	size_t owner_len;
	uint64_t incarnation;
	uint64_t epoch;
	char unit[];
};

struct vh_claims {
	struct vh_table units;
};

struct vh_claims *vh_claims_new(void)
{
	return g_new0(struct vh_claims, 1);
}

static void claims_clear(struct vh_claims *c)
{
	struct vh_table_iter it = { 0 };
	struct vh_table_node *node;

	while ((node = vh_table_next(&c->units, &it))) {
		g_free(((struct claim_entry *)node)->owner);
		g_free(node);
	}
	vh_table_finish(&c->units);
}

void vh_claims_free(struct vh_claims *c)
{
	if (!c)
		return;
	claims_clear(c);
	g_free(c);
}

static struct claim_entry *entry_find(const struct vh_claims *c,
				      struct vh_slice unit)
{
	return (struct claim_entry *)vh_table_find(&c->units, unit);
}

static struct claim_entry *entry_add(struct vh_claims *c, struct vh_slice unit)
{
	struct claim_entry *e = g_malloc0(sizeof(*e) + unit.len);

	memcpy(e->unit, unit.data, unit.len);
	e->node.key = vh_slice(e->unit, unit.len);
	vh_table_add(&c->units, &e->node);
	return e;
}

static struct vh_claim entry_view(const struct claim_entry *e)
{
	struct vh_claim claim = {
		.unit = e->node.key,
		.node = vh_slice(e->owner, e->owner_len),
		.incarnation = e->incarnation,
		.epoch = e->epoch,
	};

	return claim;
}

static bool claim_unpack(struct vh_slice body, struct vh_claim *out,
			 uint64_t *prev)
{
	struct vh_unpack u;
	bool ok;

	vh_unpack_init(&u, body, NULL);
	out->unit = vh_unpack_slice(&u);
	out->node = vh_unpack_slice(&u);
	out->incarnation = vh_unpack_u64(&u);
	*prev = vh_unpack_u64(&u);
	ok = u.ok && out->unit.len > 0 && out->unit.len <= VH_UNIT_MAX &&
	     out->node.len > 0 && out->node.len <= VH_NODE_ID_MAX;
	vh_unpack_finish(&u);
	return ok;
}

static void entry_set(struct claim_entry *e, const struct vh_claim *claim,
		      uint64_t offset)
{
	g_free(e->owner);
	e->owner = vh_slice_dup(claim->node);
	e->owner_len = claim->node.len;
	e->incarnation = claim->incarnation;
	e->epoch = offset;
}

bool vh_claims_apply(struct vh_claims *c, uint64_t offset, uint32_t kind,
		     struct vh_slice body, struct vh_claim *changed)
{
	struct claim_entry *e;
	struct vh_claim claim;
	uint64_t prev;

	if (kind != VH_REC_CLAIM && kind != VH_REC_RELEASE)
		return false;
	if (!claim_unpack(body, &claim, &prev))
		return false;
	e = entry_find(c, claim.unit);
	if (prev != (e ? e->epoch : 0))
		return false;
	if (kind == VH_REC_RELEASE) {
		struct vh_claim nobody = { .incarnation = 0 };

		if (!e || !vh_slice_eq(claim.node, entry_view(e).node))
			return false;
		entry_set(e, &nobody, offset);
	} else {
		if (!e)
			e = entry_add(c, claim.unit);
		entry_set(e, &claim, offset);
	}
	*changed = entry_view(e);
	return true;
}

bool vh_claims_get(const struct vh_claims *c, struct vh_slice unit,
		   struct vh_claim *out)
{
	const struct claim_entry *e = entry_find(c, unit);

	memset(out, 0, sizeof(*out));
	if (!e)
		return false;
	*out = entry_view(e);
	return true;
}

void vh_claims_each(const struct vh_claims *c,
		    void (*fn)(void *ctx, const struct vh_claim *claim),
		    void *ctx)
{
	struct vh_table_iter it = { 0 };
	struct vh_table_node *node;

	while ((node = vh_table_next(&c->units, &it))) {
		struct vh_claim claim =
			entry_view((const struct claim_entry *)node);

		fn(ctx, &claim);
	}
}

size_t vh_claims_count(const struct vh_claims *c)
{
	return c->units.n;
}

void vh_claim_pack(struct vh_buf *out, struct vh_slice unit,
		   struct vh_slice node, uint64_t incarnation, uint64_t prev)
{
	vh_pack_array(out, 4);
	vh_pack_slice(out, unit);
	vh_pack_slice(out, node);
	vh_pack_u64(out, incarnation);
	vh_pack_u64(out, prev);
}

static int entry_cmp(const void *a, const void *b)
{
	const struct claim_entry *const *x = a;
	const struct claim_entry *const *y = b;

	return vh_slice_cmp((*x)->node.key, (*y)->node.key);
}

/* Sorted, so that equal states serialise to equal bytes. */
void vh_claims_dump(const struct vh_claims *c, struct vh_buf *out)
{
	struct claim_entry **all = g_new(struct claim_entry *, c->units.n + 1);
	struct vh_table_iter it = { 0 };
	struct vh_table_node *node;
	size_t n = 0;

	while ((node = vh_table_next(&c->units, &it)))
		all[n++] = (struct claim_entry *)node;
	qsort(all, n, sizeof(*all), entry_cmp);
	vh_pack_array(out, n);
	for (size_t i = 0; i < n; i++)
		vh_claim_pack(out, all[i]->node.key, entry_view(all[i]).node,
			      all[i]->incarnation, all[i]->epoch);
	g_free(all);
}

static bool entry_load(struct vh_claims *c, struct vh_unpack *u)
{
	struct vh_claim claim;
	uint64_t epoch;

	claim.unit = vh_unpack_slice(u);
	claim.node = vh_unpack_slice(u);
	claim.incarnation = vh_unpack_u64(u);
	epoch = vh_unpack_u64(u);
	if (!u->ok || entry_find(c, claim.unit))
		return false;
	entry_set(entry_add(c, claim.unit), &claim, epoch);
	return true;
}

bool vh_claims_load(struct vh_claims *c, struct vh_slice bytes)
{
	struct vh_unpack u, item;
	bool ok;

	claims_clear(c);
	ok = vh_unpack_init(&u, bytes, NULL);
	for (uint32_t i = 0; ok && i < u.n; i++) {
		vh_unpack_array(&u, &item);
		ok = entry_load(c, &item);
	}
	vh_unpack_finish(&u);
	if (!ok)
		claims_clear(c);
	return ok;
}

size_t vh_rendezvous(struct vh_slice unit, const struct vh_slice *members,
		     size_t n)
{
	uint64_t best_weight = 0;
	size_t best = n;

	for (size_t i = 0; i < n; i++) {
		uint64_t seed = vh_slice_hash(members[i], 0);
		uint64_t weight = vh_slice_hash(unit, seed);
		bool better = best == n || weight > best_weight;

		if (best < n && weight == best_weight)
			better = vh_slice_cmp(members[i], members[best]) > 0;
		if (better) {
			best = i;
			best_weight = weight;
		}
	}
	return best;
}
