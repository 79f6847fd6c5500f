#include "vh/infeasible.h"

#include <glib.h>

void vh_infeasible_init(struct vh_infeasible_list *p)
{
	*p = (struct vh_infeasible_list){ 0 };
}

void vh_infeasible_finish(struct vh_infeasible_list *p)
{
	g_free(p->items);
	vh_infeasible_init(p);
}

void vh_infeasible_add(struct vh_infeasible_list *p, uint64_t id,
		       const struct vh_res *size)
{
	if (p->n == p->cap) {
		p->cap = p->cap ? 2 * p->cap : 16;
		p->items = g_renew(struct vh_infeasible_task, p->items, p->cap);
	}
	p->items[p->n++] = (struct vh_infeasible_task){ id, *size };
}

static bool fits_any(const struct vh_res *size, const struct vh_res *capacities,
		     size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (vh_res_fits(size, &capacities[i]))
			return true;
	}
	return false;
}

void vh_infeasible_recheck(struct vh_infeasible_list *p,
			   const struct vh_res *capacities, size_t n,
			   void (*fn)(void *ctx, uint64_t id), void *ctx)
{
	size_t kept = 0;

	for (size_t i = 0; i < p->n; i++) {
		struct vh_infeasible_task item = p->items[i];

		if (fits_any(&item.size, capacities, n))
			fn(ctx, item.id);
		else
			p->items[kept++] = item;
	}
	p->n = kept;
}

void vh_infeasible_remove(struct vh_infeasible_list *p,
			  bool (*gone)(void *ctx, uint64_t id), void *ctx)
{
	size_t kept = 0;

	for (size_t i = 0; i < p->n; i++) {
		if (!gone(ctx, p->items[i].id))
			p->items[kept++] = p->items[i];
	}
	p->n = kept;
}
